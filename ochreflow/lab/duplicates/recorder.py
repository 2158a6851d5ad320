"""All that was seen in a run, by request, on one clock."""

from __future__ import annotations

from collections import defaultdict
from time import monotonic

from .events import Event, ProcessEvent

PROCESS_EVENTS_BEFORE_S = 1.0  # before a request: what happened to processes then may explain it


class EventRecorder:
    """Owns the run's clock and its events."""

    def __init__(self) -> None:
        """Start the clock."""
        self.began = monotonic()
        self.requests: dict[str, list[Event]] = defaultdict(list)
        self.process_events: list[ProcessEvent] = []

    def now(self) -> float:
        """Seconds since the run began."""
        return monotonic() - self.began

    def add(self, request_id: str, event: Event) -> None:
        """Record what happened to a request."""
        self.requests[request_id].append(event)

    def record_process_event(self, text: str) -> None:
        """Record what happened to a sidecar or a server as a whole."""
        self.process_events.append(ProcessEvent(self.now(), text))

    def timeline(self, request_id: str) -> list[Event]:
        """The events of one request in order, with what happened to processes meanwhile."""
        events = self.requests[request_id]
        begin, end = min(event.at for event in events), max(event.at for event in events)
        around = [
            event for event in self.process_events if begin - PROCESS_EVENTS_BEFORE_S <= event.at <= end
        ]
        return sorted([*events, *around], key=lambda event: event.at)
