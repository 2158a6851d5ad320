"""Logs when the event loop is late, and whether this process was busy meanwhile."""

from __future__ import annotations

from time import monotonic, process_time

from .log import log

LOGGED_DELAY_S = 0.15  # requests may miss their deadlines by then


class LoopDelay:
    """Compares the times at which a periodic timer is due with those at which it runs."""

    def __init__(self) -> None:
        """Expect no timer yet."""
        self.due_s: float | None = None
        self.processor_s = 0.0

    def timer_set(self, delay_s: float) -> None:
        """Record that the timer has been set to run in `delay_s`."""
        self.due_s = monotonic() + delay_s
        self.processor_s = process_time()

    def timer_ran(self) -> None:
        """Log a long delay; `processor_s` is what this process computed since the timer was set."""
        if self.due_s is None:
            return
        late_s = monotonic() - self.due_s
        if late_s >= LOGGED_DELAY_S:
            processor_s = process_time() - self.processor_s
            log.warning("event_loop_delayed", late_s=round(late_s, 3), processor_s=round(processor_s, 3))
