"""Simulated time: a queue of calls in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

NS_PER_S = 1_000_000_000
START_NS = 1_700_000_000 * NS_PER_S  # on the scale of Unix time, which the starts of nodes are given in


class Clock:
    """Nanoseconds. Calls due at one moment happen in the order in which they were scheduled."""

    def __init__(self) -> None:
        """Begin at START_NS with nothing scheduled."""
        self.now = START_NS
        self.queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number = 0

    def read(self) -> int:
        """Return the present time in nanoseconds."""
        return self.now

    @property
    def seconds(self) -> float:
        """Seconds since the start."""
        return (self.now - START_NS) / NS_PER_S

    def at(self, when: int, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call at a time, or now if that has passed."""
        self.number += 1
        heapq.heappush(self.queue, (max(when, self.now), self.number, call, arguments))

    def after(self, seconds: float, call: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call after so many seconds."""
        self.at(self.now + int(seconds * NS_PER_S), call, *arguments)

    def run(self, until: int) -> None:
        """Let time pass up to this moment."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now = until
