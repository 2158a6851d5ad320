"""Simulated time: a queue of scheduled calls, ordered by their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

NS_PER_S = 1_000_000_000
START_NS = 1_700_000_000 * NS_PER_S  # Unix time, like the start times of nodes


class Clock:
    """Clock in nanoseconds. Calls with the same due time run in the order in which they were scheduled."""

    def __init__(self) -> None:
        """Begin at `START_NS` with no scheduled calls."""
        self.now_ns = START_NS
        self.scheduled: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence_number = 0

    def read(self) -> int:
        """Return the current time in nanoseconds."""
        return self.now_ns

    @property
    def seconds(self) -> float:
        """Time since the start in seconds."""
        return (self.now_ns - START_NS) / NS_PER_S

    def call_at(self, when_ns: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call at a time, or now if that time has passed."""
        self.sequence_number += 1
        heapq.heappush(self.scheduled, (max(when_ns, self.now_ns), self.sequence_number, callback, arguments))

    def call_later(self, delay_s: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after a delay."""
        self.call_at(self.now_ns + int(delay_s * NS_PER_S), callback, *arguments)

    def run(self, until_ns: int) -> None:
        """Advance the time to `until_ns`, and run the calls that are due by then."""
        while self.scheduled and self.scheduled[0][0] <= until_ns:
            self.now_ns, _, callback, arguments = heapq.heappop(self.scheduled)
            callback(*arguments)
        self.now_ns = until_ns
