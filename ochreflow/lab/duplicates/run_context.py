"""The state that all servers of a run share."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field

from .plan import ClientRequest, Plan
from .recorder import EventRecorder

Freezer = Callable[[int], AbstractAsyncContextManager[None]]
"""Freezes a sidecar, by its number, while the context lasts."""
Mover = Callable[[int, int], None]
"""Moves a server, by its number, to the group of the server whose number is higher by an offset."""


class AttemptCounter:
    """Numbers the attempts of each request over all servers, in the order in which their heads arrive."""

    def __init__(self) -> None:
        """Start with no attempts."""
        self.counts: dict[str, int] = defaultdict(int)

    def next_number(self, request_id: str) -> int:
        """Return the number, from 0, of an attempt that has just arrived."""
        self.counts[request_id] += 1
        return self.counts[request_id] - 1


@dataclass(slots=True)
class RunContext:
    """The plan of a run, its recorder, and the functions with which a server freezes sidecars or moves."""

    plan: Plan
    recorder: EventRecorder
    freeze: Freezer
    move: Mover
    requests: dict[str, ClientRequest]  # requests by their id
    attempts: AttemptCounter = field(default_factory=AttemptCounter)
