"""Converts times of the system's wall clock, which may be stepped, into times of the monotonic clock.

Discovery reports the start of a server in Unix time, by the same wall clock that this machine reads. After a
step of that clock, such a time no longer says how long ago the server started. So the steps that happen while
the process runs are recorded, and each time is read by the clock as it was set at that moment.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from time import time_ns

from .clock import NS_PER_MS

STEP_TOLERANCE_NS = 50 * NS_PER_MS  # a smaller difference is no step, but drift or a delay between two reads
MAX_SETTINGS = 16  # the oldest ones are forgotten


@dataclass(frozen=True, slots=True)
class Setting:
    """How the wall clock was set in one span of time."""

    # The step that began the span happened between these two observations, in monotonic time.
    begins_after_ns: int
    begins_by_ns: int
    ahead_ns: int  # wall clock time minus monotonic time


class WallClock:
    """Owns the record of the wall clock's steps since the process started."""

    def __init__(self, monotonic: Callable[[], int], wall: Callable[[], int] = time_ns) -> None:
        """`monotonic` returns monotonic time that agrees with Unix time at the start; all in nanoseconds."""
        self.monotonic = monotonic
        self.wall = wall
        self.observed_at = monotonic()  # time of the latest observation
        self.settings: deque[Setting] = deque([Setting(0, 0, 0)], maxlen=MAX_SETTINGS)  # the current one last

    def observe(self) -> None:
        """Record a step of the wall clock, if there was one since the latest observation."""
        now = self.monotonic()
        ahead_ns = self.wall() - now
        if abs(ahead_ns - self.settings[-1].ahead_ns) > STEP_TOLERANCE_NS:
            self.settings.append(Setting(self.observed_at, now, ahead_ns))
        self.observed_at = now

    def to_monotonic(self, wall_ns: int) -> int:
        """Return the latest monotonic time, not in the future, at which the wall clock showed `wall_ns`.

        If it has not shown that time since the process started, nor could have before, the result is the
        current time: a server that is known to have started counts as just started.
        """
        self.observe()
        ends_ns = self.observed_at
        for setting in reversed(self.settings):
            start_ns = wall_ns - setting.ahead_ns
            if setting.begins_after_ns <= start_ns <= ends_ns:
                return start_ns
            ends_ns = setting.begins_by_ns
        before_all_ns = wall_ns - self.settings[0].ahead_ns
        return before_all_ns if before_all_ns < self.settings[0].begins_after_ns else self.observed_at
