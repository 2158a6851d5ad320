"""The time that the core counts in: nanoseconds, on one clock for a process."""

from __future__ import annotations

from time import monotonic_ns, time_ns

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000


class Clock:
    """Monotonic time on the scale of Unix time, in which discovery gives the starts of servers."""

    def __init__(self) -> None:
        """Fix the offset between the two now; later steps of the system's clock don't matter."""
        self.offset = time_ns() - monotonic_ns()

    def now(self) -> int:
        """Return the present time in nanoseconds."""
        return self.offset + monotonic_ns()
