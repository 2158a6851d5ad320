"""One sidecar in simulated time: the decision module, and as little around it as its actions need.

What the engine of the program guards, this keeps in the same way: an attempt ends some time before its
request's deadline, and a request that then has no answer gets one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ..lab.arrivals import Due
from ..lab.event_log import MemoryEventLog
from ..lab.node_model import Reply, Work
from .build import Policy
from .clock import SECOND, Clock
from .simulated_node import HOP, SimulatedNode

MS = 1_000_000
ATTEMPT_MARGIN_NS = 15 * MS
GUARD_MARGIN_NS = 8 * MS

Answered = Callable[[str, str, float], None]  # outcome, body, seconds after which to return


class List(Protocol):
    """Where a sidecar hears of nodes."""

    def watch(self, sidecar: Sidecar) -> None: ...

    def node(self, server: int) -> SimulatedNode | None: ...

    def name(self, server: int) -> str: ...


@dataclass(slots=True)
class Held:
    """A request that is owed an answer."""

    due: Due
    ident: str
    deadline: int
    answered: Answered
    attempts: int = 0
    may_have_run: bool = False


@dataclass(slots=True)
class Attempt:
    server: int
    sent: int
    node: SimulatedNode | None = None
    number: int = 0


class Sidecar:
    def __init__(
        self,
        name: str,
        policy: Policy,
        given: dict,
        seed: int,
        clock: Clock,
        nodes: List,
        stage: MemoryEventLog,
    ) -> None:
        self.name = name
        self.api = policy.interface
        self.settings = policy.settings.nested_settings(given)
        self.classes = {spec.name: number for number, spec in enumerate(self.settings.classes)}
        self.balancer = policy.balancer.Balancer(self.settings, seed)
        self.clock = clock
        self.nodes = nodes
        self.stage = stage
        self.alive = True
        self.held: dict[int, Held] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.next_id = 1
        self.events: list[Any] = []
        self.handling = False

    def post(self, event: Any) -> None:
        """Hand the module an event after those that came before it; then do what it says."""
        if not self.alive:
            return
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        while self.events:
            for action in self.balancer.handle(self.clock.now, self.events.pop(0)):
                self._act(action)
        self.handling = False

    def kill(self) -> None:
        """Gone without a word: whoever waits loses the connection."""
        self.alive = False
        for held in list(self.held.values()):
            held.answered("lost", "", 0.0)
        for attempt in self.attempts.values():
            if attempt.node is not None:
                attempt.node.leave(attempt.number)
        self.held.clear()

    # Requests

    def ask(self, due: Due, ident: str, wait: float, again: bool, answered: Answered) -> int:
        """Take a request; its number here."""
        number = self.next_id
        self.next_id += 1
        deadline = self.clock.now + int(wait * SECOND)
        self.held[number] = Held(due, ident, deadline, answered)
        self.clock.at(deadline - GUARD_MARGIN_NS, self._guard, number)
        cls = self.classes[due.kind.name]
        hint = int(due.hint * SECOND)
        write = due.kind.repeat != "safe"
        self.post(self.api.Request(number, cls, 0, deadline, due.key + 1, hint, again, write))
        return number

    def left(self, number: int) -> None:
        """Its client has gone."""
        if self.held.pop(number, None) is not None:
            self.post(self.api.RequestCancelled(number))

    def _finish(self, number: int, outcome: str, body: str = "", retry_after_ns: int = 0) -> None:
        held = self.held.pop(number, None)
        if held is not None:
            held.answered(outcome, body, retry_after_ns / SECOND)

    def _guard(self, number: int) -> None:
        held = self.held.get(number)
        if held is None or not self.alive:
            return
        for at in range(held.attempts):
            if (number, at) in self.attempts:
                self._end(number, at, self.api.Status.TIMEOUT)
        if number in self.held:
            self._finish(number, "failed" if held.may_have_run else "refused")
            self.post(self.api.RequestCancelled(number))

    # Attempts

    def _send(self, action: Any) -> None:
        held = self.held.get(action.id)
        if held is None:
            return
        at = held.attempts
        held.attempts += 1
        attempt = Attempt(action.server, self.clock.now)
        self.attempts[action.id, at] = attempt
        last = held.deadline - ATTEMPT_MARGIN_NS - self.clock.now
        wait = min(action.timeout_ns, last) if action.timeout_ns > 0 else last
        node = self.nodes.node(action.server)
        if held.attempts > self.settings.max_attempts or wait <= 0:
            self._end(action.id, at, self.api.Status.NOT_SENT)
        elif node is None or not node.alive:
            self.clock.after(2 * HOP, self._end, action.id, at, self.api.Status.CONNECT_FAILED)
        else:
            token = held.due.ident if held.due.kind.repeat == "keyed" else None
            work = Work(held.ident, held.due.kind.name, f"user-{held.due.key}", token, held.due.work)
            attempt.node = node
            attempt.number = node.ask(work, lambda reply: self._came(action.id, at, reply))
            self.clock.at(self.clock.now + wait, self._end, action.id, at, self.api.Status.TIMEOUT)

    def _came(self, number: int, at: int, reply: Reply | None) -> None:
        """Something has come back from a node."""
        status = self.api.Status
        if reply is None or reply.form in ("cut", "garbled"):
            self._end(number, at, status.RESET)
        elif reply.form == "stalled":
            return  # what would complete it never comes
        elif reply.code == 200:
            self._end(number, at, status.OK, reply.body)
        else:
            self._end(number, at, status.REJECTED if reply.not_run else status.ERROR)

    def _end(self, number: int, at: int, status: Any, body: str = "") -> None:
        attempt = self.attempts.pop((number, at), None)
        if attempt is None or not self.alive:
            return
        if attempt.node is not None:
            attempt.node.leave(attempt.number)
        known = self.api.Status
        held = self.held.get(number)
        if held is not None:
            held.may_have_run |= status not in (known.REJECTED, known.CONNECT_FAILED, known.NOT_SENT)
            if status is known.OK:
                self._finish(number, "served", body)
        took = self.clock.now - attempt.sent
        final = number not in self.held
        self.post(self.api.Outcome(number, at, attempt.server, status, took, final))

    # What the module says

    def _act(self, action: Any) -> None:
        api = self.api
        kind = type(action)
        if kind is api.Send:
            self._send(action)
        elif kind is api.Reject:
            self._finish(action.id, "refused", "", action.retry_after_ns)
        elif kind is api.Fail:
            self._finish(action.id, "failed")
        elif kind is api.Cancel:
            self._end(action.id, action.attempt, api.Status.CANCELLED)
        elif kind is api.SetTimer:
            whole = -(-action.after_ns // MS) * MS  # as the engine rounds it
            self.clock.at(self.clock.now + whole, self.post, api.Timer(action.token))
        elif kind is api.Watch:
            self.nodes.watch(self)
        elif kind is api.Log and action.text.startswith("ejected "):
            self.stage.record("ejected", name=self.nodes.name(int(action.text.split()[1])), by=self.name)
