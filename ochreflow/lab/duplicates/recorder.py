"""Records the events of a run by request, on one clock."""

from __future__ import annotations

from collections import defaultdict
from time import monotonic

from .events import Event, ProcessEvent

PROCESS_EVENTS_BEFORE_S = 1.0  # process events this long before a request may explain its events


class EventRecorder:
    """Owns the run's clock and its events."""

    def __init__(self) -> None:
        """Start the clock."""
        self.started_at = monotonic()
        self.requests: dict[str, list[Event]] = defaultdict(list)
        self.process_events: list[ProcessEvent] = []

    def now(self) -> float:
        """Return the seconds since the run began."""
        return monotonic() - self.started_at

    def add(self, request_id: str, event: Event) -> None:
        """Record an event of a request."""
        self.requests[request_id].append(event)

    def record_process_event(self, text: str) -> None:
        """Record an event of a whole sidecar or server."""
        self.process_events.append(ProcessEvent(self.now(), text))

    def timeline(self, request_id: str) -> list[Event]:
        """Return the events of one request with the process events around them, in order of time."""
        events = self.requests[request_id]
        begin, end = min(event.at for event in events), max(event.at for event in events)
        around = [
            event for event in self.process_events if begin - PROCESS_EVENTS_BEFORE_S <= event.at <= end
        ]
        return sorted([*events, *around], key=lambda event: event.at)
