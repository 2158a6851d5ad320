"""All decisions of a sidecar. The types it takes and returns are in `ochreflow/policy/interface.py`.

`Balancer` handles events and owns the pending requests. Each concern has a module that owns its state:
`endpoint_set`, `latency`, `slow_start`, `safety_rules`, `endpoint_picker`, `concurrency_limiter`,
`tenant_quota`, `outlier_detection`, `outcome_recorder`, `retry_policy`. The usual path of a request is
`_on_request` -> `EndpointPicker.pick` -> `ConcurrencyLimiter.admit` -> `_send` -> `_on_outcome`, and for a
failed attempt `_schedule_retry` -> `_retry`.
"""

import heapq
from typing import assert_never

from . import interface as api
from .concurrency_limiter import ConcurrencyLimiter
from .endpoint_picker import EndpointPicker
from .endpoint_set import EndpointSet
from .interface import Action, Effect, Event, Outcome, Request, Settings, Status
from .latency import LatencyEstimates
from .outcome_recorder import OutcomeRecorder
from .outlier_detection import (
    MAX_EJECTED_SHARE,
    MAX_EJECTED_SHARE_ON_SILENCE,
    OVERDUE_FAILURE_WEIGHT,
    OutlierDetector,
)
from .retry_policy import RetryPolicy
from .safety_rules import SafetyRules
from .slow_start import SlowStart
from .state_records import (
    IN_FLIGHT,
    OVERDUE,
    POLL,
    RETRY,
    Attempt,
    Context,
    InFlightAttempt,
    RequestState,
    ScheduledTimer,
    Server,
)
from .tenant_quota import TenantQuotas

# Greatest Retry-After of a rejection, as a share of the remaining time: the client's retry has the rest.
RETRY_AFTER_SHARE = 0.5
MIN_RETRY_AFTER_JITTER = 0.5  # least share of Retry-After after jitter; clients must not return together
MAX_TIMER_TOKEN = 0xFFFFFFFF


class Balancer:
    """Decides which actions one sidecar takes for each event, and holds its pending requests."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without servers or requests; the same seed and events yield the same actions."""
        self.context = context = Context(settings, seed)
        self.latency = LatencyEstimates(context)
        self.endpoints = EndpointSet(context)
        self.slow_start = SlowStart(context, self.latency, self.endpoints)
        self.safety_rules = SafetyRules(context, self.slow_start)
        self.picker = EndpointPicker(context, self.latency, self.endpoints, self.safety_rules)
        self.tenant_quotas = TenantQuotas(context)
        self.limiter = ConcurrencyLimiter(context, self.latency, self.tenant_quotas, self.endpoints)
        self.outlier_detector = OutlierDetector(
            context, self.latency, self.endpoints, self.safety_rules, self._retry_all_from
        )
        self.outcome_recorder = OutcomeRecorder(
            context,
            self.latency,
            self.endpoints,
            self.slow_start,
            self.limiter,
            self.picker,
            self.outlier_detector,
        )
        self.retry_policy = RetryPolicy(context, self.latency, self.safety_rules)
        self.pending: dict[int, RequestState] = {}
        self.timer_due_ns = self.timer_token = 0  # due time and token of the latest timer; 0: none is set

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Handle one event at the given time; return the actions to take, in order."""
        context = self.context
        context.now, context.actions = now_ns, []
        self._dispatch(event)
        if context.timers and (not self.timer_due_ns or context.timers[0].due_ns < self.timer_due_ns):
            self.timer_due_ns = context.timers[0].due_ns
            self.timer_token = (self.timer_token + 1) & MAX_TIMER_TOKEN
            context.actions.append(api.SetTimer(max(self.timer_due_ns - now_ns, 1), self.timer_token))
        return context.actions

    def actions_before_fault(self) -> list[Action]:
        """Return the actions decided before `handle` raised; the caller must still take them."""
        return self.context.actions

    def _dispatch(self, event: Event) -> None:  # noqa: C901  # one case for each event of the union
        match event:
            case Request():
                self._on_request(event)
            case Outcome():
                self._on_outcome(event)
            case api.Timer():
                self._on_timer(event)
            case api.RequestCancelled():
                self._on_cancelled(event)
            case api.Membership():
                self.limiter.scale_down(self.endpoints.apply(event))
            case api.GossipReceived():
                self.tenant_quotas.record_gossip(event)
            case api.ProbeResult():
                self._on_probe(event)
            case api.StreamStarted():
                self._on_stream(event)
            case api.BodyDiscarded():
                self._on_body_discarded(event)
            case api.BodyUploaded():
                self._on_uploaded(event)
            case _:
                assert_never(event)

    def write_by(self, now_ns: int, request_id: int, number: int) -> int:
        """Return the time in ns by which the last byte of an attempt must be sent; 0: do not send it.

        The caller asks again before it sends the first byte: the attempt may not be allowed any more.
        """
        self.context.now = now_ns
        if (request := self.pending.get(request_id)) is None:
            return 0
        server = request.attempts[number].server
        # An update of the list may have moved the server to another zone or cell since the decision.
        request.attempts[number] = request.attempts[number]._replace(zone=server.zone, cell=server.cell)
        end_ns = self.safety_rules.write_by(request, server, number)
        if end_ns > now_ns and (request_id, number) in server.waiting:
            request.attempts[number] = request.attempts[number]._replace(sent_at=now_ns)
            self.endpoints.end_wait(server, (request_id, number))
        return end_ns

    def begin_wait(self, now_ns: int, request_id: int, number: int) -> None:
        """Record that an attempt waits for a connection in use to be free; `write_by` ends the wait.

        Meanwhile it does not count against the limit on requests in flight: its server has no work with it.
        """
        self.context.now = now_ns
        request = self.pending.get(request_id)
        if request is not None:
            self.endpoints.begin_wait(request.attempts[number].server, (request_id, number))

    def _on_request(self, event: Request) -> None:
        spec = self.context.settings.classes[event.class_index]
        request = RequestState(event, spec, self.context.now)
        self.pending[request.id] = request
        self.retry_policy.earn()
        if self.tenant_quotas.request_rates and not event.is_retry:
            self.tenant_quotas.count(request.tenant)
        self.endpoints.count_request()
        if event.deadline_ns <= self.context.now:
            self._end(request)
            return
        server = self._pick(request)
        if server is None:
            self._schedule_retry(request)
        elif self.limiter.admit(request, self.limiter.expected_value(event, request)):
            self._send(request, server)
        elif fallback := self.outlier_detector.fallback_server(request):
            self._send(request, fallback)
        else:
            self._end(request)

    def _pick(self, request: RequestState) -> Server | None:
        if self.endpoints.ejected and (server := self.outlier_detector.half_open_server(request)):
            return server
        return self.picker.pick(request)

    def _on_outcome(self, event: Outcome) -> None:
        server = self.outcome_recorder.record_end(event)
        request = self.pending.get(event.id)
        if request is None:
            return
        if server and request.uploading:
            # The attempt ended before its upload was complete, so it was not counted as in flight.
            self.outcome_recorder.update_estimates(
                server, self.context.now, request.class_index, event, presumed_lost=False
            )
        elif server and request.streaming and event.status is Status.RESET:
            # The connection broke after the response had started.
            self.outlier_detector.record_failure(server, 1.0, MAX_EJECTED_SHARE)
        newly_ended = request.record_end(event.attempt, event.status)
        if event.final:
            self._forget(request)
        elif not newly_ended:
            return
        elif event.status is Status.ERROR:
            self._end(request)  # an error is a valid answer and is not retried
        elif not request.retry_scheduled:
            self._schedule_retry(request)

    def _on_cancelled(self, event: api.RequestCancelled) -> None:
        if event.id in self.pending:
            self._forget(self.pending[event.id])

    def _on_stream(self, event: api.StreamStarted) -> None:
        """Record the latency of a response that has started; its further duration depends on the client."""
        request = self.pending.get(event.id)
        if request is None:
            return
        request.streaming = True  # no further attempt may be sent
        self.outcome_recorder.record_end(
            Outcome(event.id, event.attempt, event.server, Status.OK, event.duration_ns, final=False)
        )
        self._cancel_others(request, event.attempt)

    def _on_body_discarded(self, event: api.BodyDiscarded) -> None:
        if event.id in self.pending:
            self.pending[event.id].body_discarded = True

    def _on_uploaded(self, event: api.BodyUploaded) -> None:
        """Count an attempt as in flight from now on: its server has the whole request."""
        request = self.pending.get(event.id)
        if request is None or not request.uploading:
            return
        request.uploading, request.deadline = False, event.deadline_ns
        attempt = request.attempts[-1] = request.attempts[-1]._replace(sent_at=self.context.now)
        server = attempt.server
        if self.endpoints.servers.get(server.id) is server:  # it may have been removed meanwhile
            self._count_in_flight(request, server, len(request.attempts) - 1)

    def _on_probe(self, event: api.ProbeResult) -> None:
        server = self.endpoints.servers.get(event.server)
        if server is not None and event.status is Status.OK:
            self.picker.record_load_report(server, event.report)

    def _on_timer(self, event: api.Timer) -> None:
        now = self.context.now
        if event.token == self.timer_token:
            self.timer_due_ns = 0
        while self.context.timers and self.context.timers[0].due_ns <= now:
            timer = heapq.heappop(self.context.timers)
            if timer.kind is POLL:
                self.endpoints.poll()
                continue
            request = self.pending.get(timer.request_id)
            if request is None or request.streaming:
                continue
            if timer.kind is OVERDUE:
                self._on_overdue(request, timer)
            elif timer.kind is RETRY and request.retry_scheduled:
                request.retry_scheduled = False
                self._retry(request)

    def _send(self, request: RequestState, server: Server) -> None:
        number = len(request.attempts)
        self.slow_start.allows(server, request.class_index, consume=True)
        # The attempt and its action are added with no step in between that can fail: otherwise the caller and
        # this module would number the attempts differently.
        request.attempts.append(Attempt(server, server.zone, server.cell, self.context.now, self.context.now))
        # The attempt has no time-out: `_on_overdue` decides by what its server has answered meanwhile.
        self.context.actions.append(api.Send(request.id, server.id))
        request.retry_paid = False
        if server.ejected:
            server.half_open_in_flight = True
        if not request.uploading:  # a server does not start to work before it has the whole body
            self._count_in_flight(request, server, number)

    def _count_in_flight(self, request: RequestState, server: Server, number: int) -> None:
        """Count an attempt as in flight: its server has the whole request."""
        overdue_after_ns = self.outlier_detector.overdue_after(
            server, request.class_index, request.deadline - self.context.now
        )
        server.in_flight[request.id, number] = InFlightAttempt(self.context.now, request.class_index)
        if not server.ejected:
            self.endpoints.inflight += 1
        due_ns = self.context.now + overdue_after_ns
        self.context.schedule(ScheduledTimer(due_ns, OVERDUE, request.id, 0, number))

    def _schedule_retry(self, request: RequestState) -> None:
        """Schedule a retry after a backoff, or end the request if a retry is not possible."""
        backoff_ns = self.retry_policy.reserve_retry(request)
        if backoff_ns is not None:
            request.retry_scheduled = True
            due_ns = self.context.now + max(backoff_ns, 1)
            self.context.schedule(ScheduledTimer(due_ns, RETRY, request.id))
        elif not request.any_in_flight():  # an attempt in flight may yet be answered
            self._end(request)

    def _retry(self, request: RequestState) -> None:
        server = self._pick(request)
        if server is not None:
            self._send(request, server)
        elif not request.any_in_flight():
            self._schedule_retry(request)

    def _end(self, request: RequestState) -> None:
        """End a request with a rejection, which invites the client to retry, or with a failure."""
        if self.safety_rules.may_reject(request):
            retry_after_ns = self._retry_after_ns(request) if self.context.settings.retry_after else 0
            self.context.actions.append(api.Reject(request.id, retry_after_ns))
        else:
            self.context.actions.append(api.Fail(request.id))
        self._forget(request)

    def _retry_after_ns(self, request: RequestState) -> int:
        remaining_ns: float = max(request.deadline - self.context.now, 0)
        until_objective_ns = (
            request.spec.objective_ns - request.age - self.latency.baseline[request.class_index]
        )
        if until_objective_ns > 0.0:
            # A retry can still be answered within the objective; a later one is worth little.
            remaining_ns = min(remaining_ns, until_objective_ns)
        max_wait_ns = min(self.context.settings.max_retry_after_ns, remaining_ns * RETRY_AFTER_SHARE)
        return int(max_wait_ns * self.context.random.uniform(MIN_RETRY_AFTER_JITTER, 1.0))

    def _forget(self, request: RequestState) -> None:
        del self.pending[request.id]
        self._cancel_others(request, -1)

    def _cancel_others(self, request: RequestState, keep: int) -> None:
        for number, attempt in enumerate(request.attempts):
            if attempt.state is IN_FLIGHT and number != keep and self.context.settings.can_cancel:
                self.context.actions.append(api.Cancel(request.id, number))

    def _on_overdue(self, request: RequestState, timer: ScheduledTimer) -> None:
        """Handle an overdue attempt: count a failure of a silent server, and retry if the server is ejected.

        Retries of all overdue attempts would cause retry storms: at a server that is no outlier either the
        request takes long, which a retry would not change, or all servers are slow, which retries would make
        worse. With low traffic a server may also be silent because it got few requests.
        """
        number = timer.attempt
        attempt = request.attempts[number]
        if attempt.state is not IN_FLIGHT:
            return
        server, sent_at = attempt.server, attempt.sent_at
        recheck_at = max(2 * self.context.now - sent_at, self.context.now + 1)
        if (request.id, number) in server.waiting:  # the wait says nothing of its server
            if recheck_at < request.deadline:
                self.context.schedule(timer._replace(due_ns=recheck_at))
            return
        silent = server.last_alive_at <= sent_at
        if timer.rechecks:
            if not silent:
                self.outlier_detector.presume_lost(server, (request.id, number))
        elif not silent:
            # Record the latency so far: the limiter must not wait for the answer.
            self.limiter.record_latency(server, request.class_index, self.context.now - sent_at)
        else:  # less weight than a failure has: one long request must not eject its server
            server.answering = False
            self.outlier_detector.record_failure(server, OVERDUE_FAILURE_WEIGHT, MAX_EJECTED_SHARE_ON_SILENCE)
        if server.ejected:
            self._retry_elsewhere(request, number)
        if recheck_at < request.deadline:
            self.context.schedule(ScheduledTimer(recheck_at, OVERDUE, request.id, 1, number))

    def _retry_all_from(self, server: Server) -> None:
        """Retry all attempts at a server that has just been ejected: they are most likely lost."""
        for request_id, number in list(server.in_flight):
            request = self.pending.get(request_id)
            if request is not None:
                self._retry_elsewhere(request, number)

    def _retry_elsewhere(self, request: RequestState, number: int) -> None:
        """Retry an attempt that is probably lost, if its class, the settings and the budget allow it."""
        non_idempotent = request.spec.effect is Effect.NON_IDEMPOTENT
        if (
            request.retry_scheduled
            or request.streaming
            or non_idempotent
            or not self.retry_policy.affordable(request)
        ):
            return
        if self.context.settings.hedging:
            self._schedule_retry(request)
        elif self.context.settings.can_cancel:
            self.context.actions.append(api.Cancel(request.id, number))
