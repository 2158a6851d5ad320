"""What a fake server saw, one JSON line an event, each with its time in nanoseconds of Unix time."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from pathlib import Path
from time import time_ns
from typing import Any

Event = dict[str, Any]


class EventLog:
    """Written line by line, so that a kill cuts off no more than the last one."""

    def __init__(self, path: Path | None) -> None:
        self.path = path
        self.file = path.open("a", buffering=1, encoding="utf-8") if path is not None else None

    def record(self, what: str, **fields: object) -> None:
        if self.file is not None:
            event = {"what": what, "at": time_ns(), **fields}
            self.file.write(json.dumps(event, separators=(",", ":")) + "\n")

    def close(self) -> None:
        if self.file is not None:
            self.file.close()


class MemoryEventLog:
    """An event log that is kept in memory, on the clock it is given (nanoseconds)."""

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self.events: list[Event] = []

    def record(self, what: str, **fields: object) -> None:
        self.events.append({"what": what, "at": self.now(), **fields})


def read_events(path: Path) -> Iterator[Event]:
    """The events of an event log. A last line that a kill cut off is left out; any other is a ValueError."""
    lines = path.read_bytes().split(b"\n")
    for number, line in enumerate(lines, 1):
        if not line:
            continue
        try:
            yield json.loads(line)
        except ValueError:
            if number < len(lines):
                raise ValueError(f"{path}: line {number} is no event") from None
