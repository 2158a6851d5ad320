"""Model of a server with a CPU quota: it works at full speed until the quota of a period is used up."""

from __future__ import annotations

from dataclasses import dataclass, field

from .slow_start_metrics import CAPACITY_PER_S, slow_start_ramp

MEAN_WORK_S = 0.02  # mean work of a request, at full speed
THROTTLE_PERIOD_S = 0.1  # period in which a server may use up its quota at full speed
MAX_QUEUE_S = 0.5  # waiting time above which a server rejects requests


@dataclass(slots=True)
class Server:
    """A server, with the times of its sends and the number of its responses."""

    started_s: float | None = None  # None: warm from the beginning
    slow_while_warming_up: bool = False  # works at its ramp's speed while cold, not at full speed
    capacity_per_s: float = CAPACITY_PER_S  # capacity when warm
    removed: bool = False
    free_at_s: float = 0.0  # time at which the accepted work fits the server's quota again
    sends: list[float] = field(default_factory=list)  # send times in seconds since the server's start
    answered: int = 0

    def accept(self, now_s: float, work_s: float) -> float | None:
        """Return the response time in seconds; None if the request is rejected."""
        speed = 1.0
        if self.slow_while_warming_up and self.started_s is not None:
            speed = slow_start_ramp(now_s - self.started_s)
        if self.free_at_s > now_s + MAX_QUEUE_S:
            return None
        busy_s = work_s / (self.capacity_per_s * MEAN_WORK_S * speed)
        self.free_at_s = max(self.free_at_s, now_s - THROTTLE_PERIOD_S) + busy_s
        return max(work_s / speed, self.free_at_s - now_s)
