"""Statistics for operators: counters since the process started, and their text form.

Independent of any protocol: all frontends count in the same object.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum


class Disposition(IntEnum):
    """How a request ended from the client's point of view."""

    SUCCEEDED = 0
    DECLINED = 1
    ABORTED = 2


@dataclass(frozen=True, slots=True)
class Gauges:
    """Current values, read from their owners when an operator queries them."""

    outstanding: int  # requests accepted and not yet ended
    discovered: int  # servers in the endpoint list
    ejected: int  # listed servers that the balancer has ejected
    reserved_bytes: int  # memory reserved for messages
    max_reserved_bytes: int  # as many may be reserved at present
    overhead_bytes: int  # memory of connections, open requests and request ids


class Stats:
    """Monotonic counters. Each is incremented at one place in the program."""

    def __init__(self, classes: Sequence[str]) -> None:
        """Start with zeros for the request classes of these names."""
        self.classes = list(classes)
        self.results = [[0] * len(Disposition) for _ in self.classes]
        self.frontends: dict[str, list[int]] = {}  # the same results, by frontend label
        self.forwards = 0

    def add_frontend(self, label: str) -> list[int]:
        """Return the counts of one frontend by disposition, over all classes."""
        return self.frontends.setdefault(label, [0] * len(Disposition))

    def ended(self, class_index: int, disposition: Disposition, frontend: list[int]) -> None:
        """Count the one final response to a request."""
        self.results[class_index][disposition] += 1
        frontend[disposition] += 1

    def forwarded(self) -> None:
        """Count an attempt whose last byte has been written."""
        self.forwards += 1


def render(stats: Stats, gauges: Gauges) -> str:
    """Return one `app.` line for each figure; a class without requests so far has zeros."""
    lines = [
        f"app.results.{name}.{disposition.name.lower()}={counts[disposition]}"
        for name, counts in zip(stats.classes, stats.results, strict=True)
        for disposition in Disposition
    ]
    lines += [
        f"app.fronts.{label}.{disposition.name.lower()}={counts[disposition]}"
        for label, counts in stats.frontends.items()
        for disposition in Disposition
    ]
    lines += [
        f"app.forwards={stats.forwards}",
        f"app.outstanding={gauges.outstanding}",
        f"app.discovered={gauges.discovered}",
        f"app.ejected={gauges.ejected}",
        f"app.memory.reserved={gauges.reserved_bytes}",
        f"app.memory.max_reserved={gauges.max_reserved_bytes}",
        f"app.memory.overhead={gauges.overhead_bytes}",
    ]
    return "\n".join(lines) + "\n"
