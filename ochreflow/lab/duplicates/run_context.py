"""What all servers of a run have in common."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field

from .plan import ClientRequest, Plan
from .recorder import EventRecorder

Freezer = Callable[[int], AbstractAsyncContextManager[None]]
"""Freezes a sidecar, by its number, for as long as the context lasts."""
Mover = Callable[[int, int], None]
"""Moves a server, by its number, to the group of the server so many numbers further."""


class AttemptCounter:
    """Numbers the attempts of each request over all servers, in the order in which their heads come."""

    def __init__(self) -> None:
        """Start with no attempts."""
        self.counts: dict[str, int] = defaultdict(int)

    def next_number(self, request_id: str) -> int:
        """The number of an attempt that has just come, from 0."""
        self.counts[request_id] += 1
        return self.counts[request_id] - 1


@dataclass(slots=True)
class RunContext:
    """The plan of a run, its recorder, and what a server may do to others."""

    plan: Plan
    recorder: EventRecorder
    freeze: Freezer
    move: Mover
    requests: dict[str, ClientRequest]  # by request id
    attempts: AttemptCounter = field(default_factory=AttemptCounter)
