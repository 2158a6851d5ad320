"""A server of a simple kind: it has a share of a core, and works at full speed until that is used up."""

from __future__ import annotations

from dataclasses import dataclass, field

from .slow_start_metrics import CAPACITY_PER_S, slow_start_ramp

MEAN_WORK_S = 0.02  # that a request takes at full speed, in the mean
THROTTLE_PERIOD_S = 0.1  # in which a server may use up its share at full speed
MAX_QUEUE_S = 0.5  # of waiting, beyond which it rejects requests


@dataclass(slots=True)
class Server:
    """A server; the times of its sends and its answers are counted."""

    started_s: float | None = None  # None: warm since long ago
    slow_while_warming_up: bool = False  # it works at its ramp's speed, else as a warm one
    capacity_per_s: float = CAPACITY_PER_S  # when warm
    removed: bool = False
    free_at_s: float = 0.0  # when what it has accepted is within its share
    sends: list[float] = field(default_factory=list)  # seconds since its start
    answered: int = 0

    def accept(self, now_s: float, work_s: float) -> float | None:
        """Return the seconds that the answer takes; None: rejected."""
        speed = 1.0
        if self.slow_while_warming_up and self.started_s is not None:
            speed = slow_start_ramp(now_s - self.started_s)
        if self.free_at_s > now_s + MAX_QUEUE_S:
            return None
        busy_s = work_s / (self.capacity_per_s * MEAN_WORK_S * speed)
        self.free_at_s = max(self.free_at_s, now_s - THROTTLE_PERIOD_S) + busy_s
        return max(work_s / speed, self.free_at_s - now_s)
