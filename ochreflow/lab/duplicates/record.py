"""All that was seen in a run, by request, on one clock."""

from __future__ import annotations

from collections import defaultdict
from time import monotonic

from .events import Event, Trouble


class Record:
    """Owns the run's clock and its events."""

    def __init__(self) -> None:
        self.began = monotonic()
        self.requests: dict[str, list[Event]] = defaultdict(list)
        self.troubles: list[Trouble] = []

    def now(self) -> float:
        """Seconds since the run began."""
        return monotonic() - self.began

    def add(self, ident: str, event: Event) -> None:
        self.requests[ident].append(event)

    def trouble(self, text: str) -> None:
        self.troubles.append(Trouble(self.now(), text))

    def story(self, ident: str) -> list[Event]:
        """The events of one request in order, with the troubles that fell between the first and the last."""
        events = self.requests[ident]
        begin, end = min(event.at for event in events), max(event.at for event in events)
        around = [trouble for trouble in self.troubles if begin - 1.0 <= trouble.at <= end]
        return sorted([*events, *around], key=lambda event: event.at)
