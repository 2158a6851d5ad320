"""One sidecar in simulated time: the decision module, and as little around it as its actions need.

What the engine of the program guarantees, this keeps in the same way: an attempt ends some time before its
request's deadline, and a request that then has no final response gets one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ..lab.arrivals import Idempotency, ScheduledRequest
from ..lab.event_log import ClientOutcome, EventKind, MemoryEventLog
from ..lab.node_messages import Malformation, NodeRequest, Reply
from .clock import NS_PER_S, Clock
from .policy_loader import PolicyModules
from .simulated_node import NETWORK_DELAY_S, SimulatedNode

NS_PER_MS = 1_000_000
ATTEMPT_MARGIN_NS = 15 * NS_PER_MS
WATCHDOG_MARGIN_NS = 8 * NS_PER_MS
STATUS_OK = 200
EJECTION_LOG_PREFIX = "ejected "

OnResponse = Callable[[ClientOutcome, str, float], None]  # outcome, body, seconds after which to retry


class EndpointSource(Protocol):
    """Where a sidecar learns of nodes."""

    def watch(self, sidecar: SimulatedSidecar) -> None:
        """Answer with the complete list, then notify of changes."""

    def node(self, number: int) -> SimulatedNode | None:
        """Return the node of this number."""

    def name(self, number: int) -> str:
        """Return the name of the node of this number."""


@dataclass(frozen=True, slots=True)
class SidecarConfig:
    """The name, the settings in the platform's form, and the seed of a sidecar."""

    name: str
    settings: dict[str, Any]
    seed: int


@dataclass(slots=True)
class PendingRequest:
    """A request that has no final response yet."""

    scheduled: ScheduledRequest
    request_id: str
    deadline: int  # nanoseconds
    on_response: OnResponse
    attempts: int = 0
    may_have_run: bool = False


@dataclass(slots=True)
class Attempt:
    """An attempt that has not ended."""

    server: int
    sent_at: int  # nanoseconds
    node: SimulatedNode | None = None
    number: int = 0  # of its request at the node


class SimulatedSidecar:
    """Feeds the decision module with requests, outcomes and timers, and performs its actions."""

    def __init__(
        self,
        config: SidecarConfig,
        policy: PolicyModules,
        clock: Clock,
        endpoints: EndpointSource,
        run_log: MemoryEventLog,
    ) -> None:
        """Start a sidecar."""
        self.name = config.name
        self.api = policy.interface
        self.settings = policy.settings.nested_settings(config.settings)
        self.class_numbers = {spec.name: number for number, spec in enumerate(self.settings.classes)}
        self.balancer = policy.balancer.Balancer(self.settings, config.seed)
        self.clock = clock
        self.endpoints = endpoints
        self.run_log = run_log
        self.alive = True
        self.pending: dict[int, PendingRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.next_id = 1
        self.events: list[Any] = []
        self.handling = False

    def post(self, event: Any) -> None:
        """Hand the module an event after those that came before it; then perform its actions."""
        if not self.alive:
            return
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        while self.events:
            for action in self.balancer.handle(self.clock.now, self.events.pop(0)):
                self._perform(action)
        self.handling = False

    def kill(self) -> None:
        """End at once: pending clients lose their connections."""
        self.alive = False
        for pending in list(self.pending.values()):
            pending.on_response(ClientOutcome.UNANSWERED, "", 0.0)
        for attempt in self.attempts.values():
            if attempt.node is not None:
                attempt.node.abandon(attempt.number)
        self.pending.clear()

    # Requests

    def accept(
        self,
        scheduled: ScheduledRequest,
        request_id: str,
        timeout_s: float,
        on_response: OnResponse,
        *,
        retry: bool,
    ) -> int:
        """Accept a request; return its number here."""
        number = self.next_id
        self.next_id += 1
        deadline = self.clock.now + int(timeout_s * NS_PER_S)
        self.pending[number] = PendingRequest(scheduled, request_id, deadline, on_response)
        self.clock.at(deadline - WATCHDOG_MARGIN_NS, self._give_up, number)
        class_number = self.class_numbers[scheduled.request_class.name]
        cost_hint_ns = int(scheduled.cost_hint_s * NS_PER_S)
        write = scheduled.request_class.idempotency != Idempotency.IDEMPOTENT
        key = scheduled.key + 1
        self.post(self.api.Request(number, class_number, 0, deadline, key, cost_hint_ns, retry, write))
        return number

    def abandon(self, number: int) -> None:
        """Disconnect the client of a request."""
        if self.pending.pop(number, None) is not None:
            self.post(self.api.RequestCancelled(number))

    def _finish(self, number: int, outcome: ClientOutcome, body: str = "", retry_after_ns: int = 0) -> None:
        pending = self.pending.pop(number, None)
        if pending is not None:
            pending.on_response(outcome, body, retry_after_ns / NS_PER_S)

    def _give_up(self, number: int) -> None:
        """End what is left of a request shortly before its deadline."""
        pending = self.pending.get(number)
        if pending is None or not self.alive:
            return
        for attempt_number in range(pending.attempts):
            if (number, attempt_number) in self.attempts:
                self._end_attempt(number, attempt_number, self.api.Status.TIMEOUT)
        if number in self.pending:
            outcome = ClientOutcome.FAILED if pending.may_have_run else ClientOutcome.REJECTED
            self._finish(number, outcome)
            self.post(self.api.RequestCancelled(number))

    # Attempts

    def _send(self, action: Any) -> None:
        pending = self.pending.get(action.id)
        if pending is None:
            return
        number = pending.attempts
        pending.attempts += 1
        attempt = Attempt(action.server, self.clock.now)
        self.attempts[action.id, number] = attempt
        remaining = pending.deadline - ATTEMPT_MARGIN_NS - self.clock.now
        timeout = min(action.timeout_ns, remaining) if action.timeout_ns > 0 else remaining
        node = self.endpoints.node(action.server)
        if pending.attempts > self.settings.max_attempts or timeout <= 0:
            self._end_attempt(action.id, number, self.api.Status.NOT_SENT)
        elif node is None or not node.alive:
            status = self.api.Status.CONNECT_FAILED
            self.clock.after(2 * NETWORK_DELAY_S, self._end_attempt, action.id, number, status)
        else:
            attempt.node = node
            attempt.number = node.send(
                _node_request(pending), lambda reply: self._handle_reply(action.id, number, reply)
            )
            status = self.api.Status.TIMEOUT
            self.clock.at(self.clock.now + timeout, self._end_attempt, action.id, number, status)

    def _handle_reply(self, number: int, attempt_number: int, reply: Reply | None) -> None:
        """Handle what came back from a node; None: the connection broke."""
        status = self.api.Status
        if reply is None or reply.malformation in (Malformation.TRUNCATED, Malformation.GARBLED):
            self._end_attempt(number, attempt_number, status.RESET)
        elif reply.malformation is Malformation.STALLED:
            return  # what would complete it never comes
        elif reply.status == STATUS_OK:
            self._end_attempt(number, attempt_number, status.OK, reply.body)
        else:
            ended = status.REJECTED if reply.not_run else status.ERROR
            self._end_attempt(number, attempt_number, ended)

    def _end_attempt(self, number: int, attempt_number: int, status: Any, body: str = "") -> None:
        attempt = self.attempts.pop((number, attempt_number), None)
        if attempt is None or not self.alive:
            return
        if attempt.node is not None:
            attempt.node.abandon(attempt.number)
        statuses = self.api.Status
        pending = self.pending.get(number)
        if pending is not None:
            never_ran = status in (statuses.REJECTED, statuses.CONNECT_FAILED, statuses.NOT_SENT)
            pending.may_have_run |= not never_ran
            if status is statuses.OK:
                self._finish(number, ClientOutcome.SERVED, body)
        duration = self.clock.now - attempt.sent_at
        final = number not in self.pending
        self.post(self.api.Outcome(number, attempt_number, attempt.server, status, duration, final))

    # Actions of the module

    def _perform(self, action: Any) -> None:
        api = self.api
        kind = type(action)
        if kind is api.Send:
            self._send(action)
        elif kind is api.Reject:
            self._finish(action.id, ClientOutcome.REJECTED, "", action.retry_after_ns)
        elif kind is api.Fail:
            self._finish(action.id, ClientOutcome.FAILED)
        elif kind is api.Cancel:
            self._end_attempt(action.id, action.attempt, api.Status.CANCELLED)
        elif kind is api.SetTimer:
            delay = -(-action.after_ns // NS_PER_MS) * NS_PER_MS  # as the engine rounds it
            self.clock.at(self.clock.now + delay, self.post, api.Timer(action.token))
        elif kind is api.Watch:
            self.endpoints.watch(self)
        elif kind is api.Log and action.text.startswith(EJECTION_LOG_PREFIX):
            node = self.endpoints.name(int(action.text.split()[1]))
            self.run_log.record(EventKind.EJECTED, name=node, by=self.name)


def _node_request(pending: PendingRequest) -> NodeRequest:
    scheduled = pending.scheduled
    request_class = scheduled.request_class
    keyed = request_class.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
    return NodeRequest(
        pending.request_id,
        request_class.name,
        f"user-{scheduled.key}",
        scheduled.request_id if keyed else None,
        scheduled.work_factor,
    )
