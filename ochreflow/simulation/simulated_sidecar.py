"""Sidecar in simulated time: the decision module, and the minimum that its actions require.

The sidecar gives the same guarantees as the core's engine: an attempt ends `ATTEMPT_MARGIN_NS` before its
request's deadline, and a request without a final response gets one `WATCHDOG_MARGIN_NS` before its deadline.
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

OnResponse = Callable[[ClientOutcome, str, float], None]  # outcome, body, seconds to wait before a retry


class EndpointSource(Protocol):
    """Source of the list of nodes."""

    def watch(self, sidecar: SimulatedSidecar) -> None:
        """Answer with the complete list, then notify the sidecar of changes."""

    def node(self, number: int) -> SimulatedNode | None:
        """Return the node with this number; None if there is none."""

    def name(self, number: int) -> str:
        """Return the name of the node with this number."""


@dataclass(frozen=True, slots=True)
class SidecarConfig:
    """Configuration of a sidecar; the settings are in the platform's format."""

    name: str
    settings: dict[str, Any]
    seed: int


@dataclass(slots=True)
class SimulatedRequest:
    """A request without a final response."""

    scheduled: ScheduledRequest
    request_id: str
    deadline_ns: int
    on_response: OnResponse
    attempts: int = 0
    may_have_run: bool = False


@dataclass(slots=True)
class Attempt:
    """An attempt in flight."""

    server: int
    sent_ns: int
    node: SimulatedNode | None = None
    number: int = 0  # number of the request at the node


class SimulatedSidecar:
    """Passes requests, outcomes and timers to the decision module, and performs its actions."""

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
        self.pending: dict[int, SimulatedRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.next_id = 1
        self.event_queue: list[Any] = []
        self.handling = False

    def post(self, event: Any) -> None:
        """Let the decision module handle an event after all earlier ones, and perform its actions."""
        if not self.alive:
            return
        self.event_queue.append(event)
        if self.handling:
            return
        self.handling = True
        while self.event_queue:
            for action in self.balancer.handle(self.clock.now_ns, self.event_queue.pop(0)):
                self._perform(action)
        self.handling = False

    def kill(self) -> None:
        """Kill the sidecar: the connections of pending clients are closed."""
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
        """Accept a request; return its number at this sidecar."""
        number = self.next_id
        self.next_id += 1
        deadline_ns = self.clock.now_ns + int(timeout_s * NS_PER_S)
        self.pending[number] = SimulatedRequest(scheduled, request_id, deadline_ns, on_response)
        self.clock.call_at(deadline_ns - WATCHDOG_MARGIN_NS, self._time_out, number)
        class_number = self.class_numbers[scheduled.request_class.name]
        cost_hint_ns = int(scheduled.cost_hint_s * NS_PER_S)
        write = scheduled.request_class.idempotency != Idempotency.IDEMPOTENT
        key = scheduled.key + 1
        self.post(self.api.Request(number, class_number, 0, deadline_ns, key, cost_hint_ns, retry, write))
        return number

    def abandon(self, number: int) -> None:
        """Cancel a pending request whose client has disconnected."""
        if self.pending.pop(number, None) is not None:
            self.post(self.api.RequestCancelled(number))

    def _finish(self, number: int, outcome: ClientOutcome, body: str = "", retry_after_ns: int = 0) -> None:
        pending = self.pending.pop(number, None)
        if pending is not None:
            pending.on_response(outcome, body, retry_after_ns / NS_PER_S)

    def _time_out(self, number: int) -> None:
        """End the attempts of a request and give it a final response, shortly before its deadline."""
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
        attempt = Attempt(action.server, self.clock.now_ns)
        self.attempts[action.id, number] = attempt
        remaining_ns = pending.deadline_ns - ATTEMPT_MARGIN_NS - self.clock.now_ns
        timeout_ns = min(action.timeout_ns, remaining_ns) if action.timeout_ns > 0 else remaining_ns
        node = self.endpoints.node(action.server)
        if pending.attempts > self.settings.max_attempts or timeout_ns <= 0:
            self._end_attempt(action.id, number, self.api.Status.NOT_SENT)
        elif node is None or not node.alive:
            status = self.api.Status.CONNECT_FAILED
            self.clock.call_later(2 * NETWORK_DELAY_S, self._end_attempt, action.id, number, status)
        else:
            attempt.node = node
            attempt.number = node.send(
                _node_request(pending), lambda reply: self._handle_reply(action.id, number, reply)
            )
            status = self.api.Status.TIMEOUT
            self.clock.call_at(self.clock.now_ns + timeout_ns, self._end_attempt, action.id, number, status)

    def _handle_reply(self, number: int, attempt_number: int, reply: Reply | None) -> None:
        """Handle a node's response; None: the connection was closed."""
        status = self.api.Status
        if reply is None or reply.malformation in (Malformation.TRUNCATED, Malformation.GARBLED):
            self._end_attempt(number, attempt_number, status.RESET)
        elif reply.malformation is Malformation.STALLED:
            return  # the rest of the response never arrives
        elif reply.status == STATUS_OK:
            self._end_attempt(number, attempt_number, status.OK, reply.body)
        else:
            outcome = status.REJECTED if reply.not_run else status.ERROR
            self._end_attempt(number, attempt_number, outcome)

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
        duration_ns = self.clock.now_ns - attempt.sent_ns
        final = number not in self.pending
        self.post(self.api.Outcome(number, attempt_number, attempt.server, status, duration_ns, final))

    # Actions of the decision module

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
            delay_ns = -(-action.after_ns // NS_PER_MS) * NS_PER_MS  # rounded up to whole ms, as in the core
            self.clock.call_at(self.clock.now_ns + delay_ns, self.post, api.Timer(action.token))
        elif kind is api.Watch:
            self.endpoints.watch(self)
        elif kind is api.Log and action.text.startswith(EJECTION_LOG_PREFIX):
            node = self.endpoints.name(int(action.text.split()[1]))
            self.run_log.record(EventKind.EJECTED, name=node, by=self.name)


def _node_request(pending: SimulatedRequest) -> NodeRequest:
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
