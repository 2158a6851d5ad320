"""The clock of the core: one for each process, in nanoseconds."""

from __future__ import annotations

from time import monotonic_ns, time_ns

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000


class Clock:
    """Monotonic time with the epoch of Unix time, in which discovery reports the start times of servers."""

    def __init__(self) -> None:
        """Fix the offset from monotonic to Unix time; later steps of the system clock have no effect."""
        self.offset = time_ns() - monotonic_ns()

    def now(self) -> int:
        """Return the current time in nanoseconds."""
        return self.offset + monotonic_ns()
