"""Event logs of the lab's parts: one JSON object per line, with its Unix time in nanoseconds.

Existing log files fix the event names; `EventKind` and `ClientOutcome` map them to the terms of the code.
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

Event = dict[str, Any]  # "what" (an EventKind), "at" (nanoseconds), and the fields of that kind


class EventKind(StrEnum):
    """Kinds of events; the values are the names in event logs."""

    # A node
    ACCEPTED = "taken"
    STARTED_WORK = "began"
    COMPLETED = "ran"
    FAILED = "failed"
    REJECTED = "turned_away"
    DEDUPLICATED = "dropped"
    DISCARDED = "put_aside"  # the client disconnected before the work started
    COLLAPSED = "fell"
    CONTROLLED = "ordered"  # received a control order
    # The directory
    CHANGED = "changed"
    NOTIFIED = "told"  # answered a watch request
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
    EJECTED = "ejected"  # a sidecar stopped choosing a node


class ClientOutcome(StrEnum):
    """How a request ended for its client; the values are the names in event logs."""

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
    runner: list[Event] = field(default_factory=list)  # the scenario runner's: steps, processes, resources


class EventLogError(OchreflowError, ValueError):
    """Raised if a line of an event log, other than a truncated last one, is not valid JSON."""


class EventLog:
    """An event log in a file, written line by line: killing the process truncates at most the last line."""

    def __init__(self, path: Path | None) -> None:
        """Append to the file at `path`; without a path, discard all events."""
        self.path = path
        self.file = path.open("a", buffering=1, encoding="utf-8") if path is not None else None

    def record(self, event_kind: str, **fields: object) -> None:
        """Write an event of this kind with the current time."""
        if self.file is not None:
            event = {"what": event_kind, "at": time_ns(), **fields}
            self.file.write(json.dumps(event, separators=(",", ":")) + "\n")

    def close(self) -> None:
        """Close the file, if there is one."""
        if self.file is not None:
            self.file.close()


class MemoryEventLog:
    """An event log in memory, with the times of the clock `now` in nanoseconds."""

    def __init__(self, now: Callable[[], int]) -> None:
        """Create an empty log."""
        self.now = now
        self.events: list[Event] = []

    def record(self, event_kind: str, **fields: object) -> None:
        """Add an event of this kind with the current time."""
        self.events.append({"what": event_kind, "at": self.now(), **fields})


def read_events(path: Path) -> Iterator[Event]:
    """Yield the events of a log, without a truncated last line; raise EventLogError on any other bad line."""
    lines = path.read_bytes().split(b"\n")
    for number, line in enumerate(lines, 1):
        if not line:
            continue
        try:
            yield json.loads(line)
        except ValueError:
            if number < len(lines):
                message = f"{path}: line {number} is not a valid JSON event"
                raise EventLogError(message) from None
