"""What each part of the lab saw, one JSON line an event, each with its time in nanoseconds of Unix time.

The words in the lines are those of the files that exist; `EventKind` and `ClientOutcome` translate them.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from time import time_ns
from typing import Any

from ..errors import OchreflowError

Event = dict[str, Any]  # "what" (an EventKind), "at" (nanoseconds), and fields of its kind


class EventKind(StrEnum):
    """The kinds of events, by the word that stands in a line."""

    # A node
    ACCEPTED = "taken"
    STARTED_WORK = "began"
    COMPLETED = "ran"
    FAILED = "failed"
    REJECTED = "turned_away"
    DEDUPLICATED = "dropped"
    DISCARDED = "put_aside"  # its client disconnected before it was started
    COLLAPSED = "fell"
    CONTROLLED = "ordered"  # it got a control order
    # The directory
    CHANGED = "changed"
    NOTIFIED = "told"  # it answered a watcher
    DOWN = "down"
    UP = "up"
    # Clients
    REQUEST_SENT = "asked"
    RESPONSE = "answered"
    # The scenario runner
    RUN_STARTED = "begin"
    STEP = "step"
    PROCESS_STARTED = "started"
    PROCESS_KILLED = "killed"
    PROCESS_TERMINATED = "ended"
    RESOURCES_USED = "used"
    EJECTED = "ejected"  # a sidecar avoids a node


class ClientOutcome(StrEnum):
    """How a request ended for its client, by the word that stands in a line."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    UNANSWERED = "lost"
    ABANDONED = "left"  # the client disconnected before the response
    DUPLICATE_RESPONSE = "extra"


@dataclass(slots=True)
class RunEvents:
    """All events of one run."""

    clients: list[list[Event]]
    nodes: dict[str, list[Event]]
    directory: list[Event] = field(default_factory=list)
    runner: list[Event] = field(default_factory=list)  # of the scenario runner: steps, processes, resources


class EventLogError(OchreflowError, ValueError):
    """A line of an event log that is no event."""


class EventLog:
    """An event log in a file. It is written line by line, so that a kill truncates the last line at most."""

    def __init__(self, path: Path | None) -> None:
        """Append to the file at `path`; without one, nothing is kept."""
        self.path = path
        self.file = path.open("a", buffering=1, encoding="utf-8") if path is not None else None

    def record(self, what: str, **fields: object) -> None:
        """Write an event of this kind, at the present time."""
        if self.file is not None:
            event = {"what": what, "at": time_ns(), **fields}
            self.file.write(json.dumps(event, separators=(",", ":")) + "\n")

    def close(self) -> None:
        """Close the file."""
        if self.file is not None:
            self.file.close()


class MemoryEventLog:
    """An event log that is kept in memory, on the clock it is given (nanoseconds)."""

    def __init__(self, now: Callable[[], int]) -> None:
        """Begin with no event."""
        self.now = now
        self.events: list[Event] = []

    def record(self, what: str, **fields: object) -> None:
        """Add an event of this kind, at the present time."""
        self.events.append({"what": what, "at": self.now(), **fields})


def read_events(path: Path) -> Iterator[Event]:
    """Read an event log. A truncated last line is left out; any other that is no event: EventLogError."""
    lines = path.read_bytes().split(b"\n")
    for number, line in enumerate(lines, 1):
        if not line:
            continue
        try:
            yield json.loads(line)
        except ValueError:
            if number < len(lines):
                message = f"{path}: line {number} is no event"
                raise EventLogError(message) from None
