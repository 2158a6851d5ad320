"""A clock that hardly advances while the event loop does not run.

A machine may be held up for some tenths of a second, with all its processes. What a peer would have sent
meanwhile arrives only afterwards, so a time within which it must arrive may not include the hold-up.
"""

from __future__ import annotations

import asyncio
from time import monotonic

TICK_S = 0.025  # interval of the timer that shows that the loop runs, and the most that a hold-up counts as


class RunningClock:
    """Counts the time in which the event loop runs, in seconds, while someone waits for a time of it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start at 0, without a timer."""
        self.loop = loop
        self._counted_s = 0.0  # up to the last tick
        self._ticked_at = monotonic()
        self._run_until_s = 0.0
        self._ticking = False

    def now(self) -> float:
        """Return the time of the clock in seconds."""
        return self._counted_s + min(monotonic() - self._ticked_at, TICK_S)

    def run_for(self, seconds: float) -> float:
        """Let the clock advance for at least `seconds`; return its time at the end of them."""
        self._run_until_s = self.now() + seconds
        if not self._ticking:
            self._ticking = True
            self._count()
            self.loop.call_later(TICK_S, self._tick)
        return self._run_until_s

    def _count(self) -> None:
        self._counted_s = self.now()
        self._ticked_at = monotonic()

    def _tick(self) -> None:
        self._count()
        self._ticking = self._counted_s < self._run_until_s
        if self._ticking:
            self.loop.call_later(TICK_S, self._tick)
