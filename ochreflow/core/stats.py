"""What operators are told: counters since the process began, and how they are written.

Nothing here knows of a protocol: a second front counts through the same object.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum


class Disposition(IntEnum):
    """How a request ended, as its client saw it."""

    SUCCEEDED = 0
    DECLINED = 1
    ABORTED = 2


@dataclass(frozen=True, slots=True)
class Gauges:
    """What is true at this moment; each figure is read from its owner when it is asked for."""

    outstanding: int  # requests taken and not yet ended
    discovered: int  # servers in the list
    ejected: int  # of these, those that the module avoids


class Stats:
    """Counters that only grow. Each is raised at one place in the program."""

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = list(classes)
        self.results = [[0] * len(Disposition) for _ in self.classes]
        self.frontends: dict[str, list[int]] = {}  # by label, the same results counted once more
        self.forwards = 0

    def add_frontend(self, label: str) -> list[int]:
        """The counts of one front, by disposition: requests of all classes."""
        return self.frontends.setdefault(label, [0] * len(Disposition))

    def ended(self, cls: int, disposition: Disposition, frontend: list[int]) -> None:
        """The one final answer to a request has been decided."""
        self.results[cls][disposition] += 1
        frontend[disposition] += 1

    def forwarded(self) -> None:
        """The last byte of an attempt has been written."""
        self.forwards += 1


def render(stats: Stats, gauges: Gauges) -> str:
    """One `app.` line for each figure; a class that nobody has asked for yet stands there with 0."""
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
    ]
    return "\n".join(lines) + "\n"
