"""How often something came of late, for any number of different somethings, in fixed memory.

A count-min sketch (Cormode and Muthukrishnan, 2005) of two spans of time: it never counts too little, and
too much only where many others came.
"""

from __future__ import annotations

from array import array
from hashlib import blake2b

ROWS = 4
WIDTH = 2048


class Sketch:
    """Counts by name within the current span of time and the one before it. Times in seconds."""

    def __init__(self, span: float = 1.0) -> None:
        self.span = span
        self.begun = 0.0
        self.now = array("I", bytes(4 * ROWS * WIDTH))
        self.before = array("I", bytes(4 * ROWS * WIDTH))

    def add(self, name: str, now: float) -> float:
        """Count one; how many came within the last span, itself included."""
        self._turn(now)
        places = self._places(name)
        for place in places:
            self.now[place] += 1
        rest = 1.0 - min((now - self.begun) / self.span, 1.0)
        return min(self.now[place] + self.before[place] * rest for place in places)

    def _turn(self, now: float) -> None:
        if now - self.begun < self.span:
            return
        fresh = array("I", bytes(4 * ROWS * WIDTH))
        self.before = self.now if now - self.begun < 2 * self.span else array("I", fresh)
        self.now, self.begun = fresh, now

    @staticmethod
    def _places(name: str) -> list[int]:
        digest = blake2b(name.encode(), digest_size=2 * ROWS).digest()
        return [
            row * WIDTH + int.from_bytes(digest[2 * row : 2 * row + 2], "little") % WIDTH
            for row in range(ROWS)
        ]
