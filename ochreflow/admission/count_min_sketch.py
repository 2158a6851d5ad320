"""Estimates how often each name arrived recently, for any number of names, in fixed memory.

The estimator is a count-min sketch (Cormode and Muthukrishnan, 2005) over two time windows: its estimates are
never too low, and too high only if many other names arrived.
"""

from __future__ import annotations

from array import array
from hashlib import blake2b

ROWS = 4
CELLS_PER_ROW = 2048
CELL_BYTES = 4
HASH_BYTES = 2  # bytes of the digest that select the cell in a row


class CountMinSketch:
    """Counts by name in the current time window and the previous one. Times are in seconds."""

    def __init__(self, window_s: float = 1.0) -> None:
        """Start with all counts at 0."""
        self.window_s = window_s
        self.window_start = 0.0
        self.current = _empty_cells()
        self.previous = _empty_cells()

    def add(self, name: str, now: float) -> float:
        """Count one arrival; return the estimated number within the last `window_s`, including this one."""
        self._rotate(now)
        cells = self._cells(name)
        for cell in cells:
            self.current[cell] += 1
        previous_share = 1.0 - min((now - self.window_start) / self.window_s, 1.0)
        return min(self.current[cell] + self.previous[cell] * previous_share for cell in cells)

    def _rotate(self, now: float) -> None:
        """Start a new window if the current one is over."""
        age_s = now - self.window_start
        if age_s < self.window_s:
            return
        self.previous = self.current if age_s < 2 * self.window_s else _empty_cells()
        self.current, self.window_start = _empty_cells(), now

    @staticmethod
    def _cells(name: str) -> list[int]:
        """Return the index of the name's cell in each row."""
        digest = blake2b(name.encode(), digest_size=HASH_BYTES * ROWS).digest()
        return [
            row * CELLS_PER_ROW
            + int.from_bytes(digest[HASH_BYTES * row : HASH_BYTES * (row + 1)], "little") % CELLS_PER_ROW
            for row in range(ROWS)
        ]


def _empty_cells() -> array[int]:
    return array("I", bytes(CELL_BYTES * ROWS * CELLS_PER_ROW))
