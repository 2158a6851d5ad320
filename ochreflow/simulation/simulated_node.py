"""Nodes in simulated time: the lab's model with a network before it."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ..lab.event_log import MemoryEventLog
from ..lab.node_model import Cut, Fall, Model, Note, Pod, Reply, Traits, Work
from .clock import Clock

HOP = 0.0002  # seconds that a message takes one way

Told = Callable[[Reply | None], None]  # what came back; None: the connection broke


class SimulatedNode:
    """One node; it may be killed and never comes back as the same."""

    def __init__(self, traits: Traits, seed: int, clock: Clock, event_log: MemoryEventLog, pod: Pod) -> None:
        self.clock = clock
        self.event_log = event_log
        self.model = Model(traits, seed, clock.seconds, pod)
        self.alive = True
        self.number = 0
        self.asking: dict[int, Told] = {}
        self.due: float | None = None
        self.frozen = False
        self.met: list[Callable[[], None]] = []  # what came meanwhile

    def freeze(self) -> None:
        """Stop in the middle of everything; what comes waits."""
        self.frozen = True

    def thaw(self) -> None:
        self.frozen = False
        met, self.met = self.met, []
        self._do(self.model.advance(self.clock.seconds))
        for come in met:
            come()

    def ask(self, work: Work, told: Told) -> int:
        """Send a request that arrives a hop later; its number here."""
        self.number += 1
        self.asking[self.number] = told
        self.clock.after(HOP, self._arrive, self.number, work)
        return self.number

    def leave(self, number: int) -> None:
        """The one who asked does not wait any more."""
        if self.asking.pop(number, None) is not None:
            self.clock.after(HOP, self._left, number)

    def kill(self) -> None:
        self.alive = False
        self._break_all()

    def order(self, order: dict) -> None:
        self._do(self.model.order(self.clock.seconds, order))

    def _arrive(self, number: int, work: Work) -> None:
        if self.frozen and self.alive:
            self.met.append(partial(self._arrive, number, work))
        elif self.alive:
            self._do(self.model.arrive(self.clock.seconds, number, work))
        else:
            self._tell(number, None)

    def _left(self, number: int) -> None:
        if self.frozen and self.alive:
            self.met.append(partial(self._left, number))
        elif self.alive:
            self._do(self.model.leave(self.clock.seconds, number))

    def _do(self, acts: list) -> None:
        for act in acts:
            if isinstance(act, Note):
                self.event_log.record(act.what, **act.fields)
            elif isinstance(act, Fall):
                self._break_all()
            elif isinstance(act, Cut):
                self._tell(act.number, None)
            else:
                self._tell(act.number, act)
        self.due = self.model.next_at()
        if self.due is not None:
            self.clock.after(max(self.due - self.clock.seconds, 0.0) + 1e-9, self._wake, self.due)

    def _wake(self, due: float) -> None:
        if self.alive and not self.frozen and due == self.due:
            self._do(self.model.advance(self.clock.seconds))

    def _tell(self, number: int, reply: Reply | None) -> None:
        told = self.asking.pop(number, None)
        if told is not None:
            self.clock.after(HOP, told, reply)

    def _break_all(self) -> None:
        for number in list(self.asking):
            self._tell(number, None)
