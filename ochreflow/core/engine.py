"""Drives the decision module: what fronts, carriers and sources tell it, its actions, and a last guard.

It knows no protocol. A front takes requests in and is owed a response on each; a carrier brings attempts
to servers and says what their ends prove; a source tells of servers (`ports.py`).
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from time import monotonic, monotonic_ns, time_ns
from typing import Any

from ..policy import interface as api
from ..policy.balancer import Balancer
from ..policy.interface import Settings, Status
from ..policy.safety_rules import NO_END
from ..policy.state_records import PROVES_NOT_RUN, UNWRITTEN
from .endpoints import EndpointIds, EndpointTable, EndpointUpdate
from .lifecycle import Lifecycle
from .limits import Usage
from .log import log
from .ports import (
    EndpointSource,
    FinalResponse,
    Frontend,
    GossipSender,
    IncomingRequest,
    Reason,
    ResponseSink,
    UpstreamAttempt,
    UpstreamTransport,
)
from .request_ids import RequestIdRegistry
from .stats import Disposition, Gauges, Stats, render

MS = 1_000_000
SECOND = 1_000_000_000
ATTEMPT_MARGIN_NS = 15 * MS  # before the client's deadline the last attempt is given up
WATCHDOG_MARGIN_NS = 8 * MS  # ... and a request that then still has no answer gets one
PROBE_TIMEOUT_S = 0.4
SWEEP_INTERVAL_S = 0.1


class Clock:
    """Monotonic time on the scale of Unix time, which the starts of servers are told in."""

    def __init__(self) -> None:
        self.offset = time_ns() - monotonic_ns()

    def now(self) -> int:
        return self.offset + monotonic_ns()


class FrontendBinding:
    """A front as the core knows it: where its requests come in, and what carries them on."""

    def __init__(
        self, label: str, frontend: Frontend, upstream_transport: UpstreamTransport, counts: list[int]
    ) -> None:
        self.label = label
        self.frontend = frontend
        self.upstream_transport = upstream_transport
        self.counts = counts
        self.names = RequestIdRegistry()  # a name means a request of this front only


class Attempt:
    """One attempt, from its start to its one end. Its carrier tells it what becomes of it."""

    __slots__ = (
        "engine",
        "first_byte_permitted",
        "fully_written",
        "number",
        "pending",
        "response_started_ns",
        "sent_ns",
        "server",
        "timeout_ns",
        "upstream_attempt",
    )

    def __init__(
        self, engine: Engine, pending: PendingRequest, number: int, server: int, sent_ns: int, timeout_ns: int
    ) -> None:
        self.engine = engine
        self.pending = pending
        self.number = number
        self.server = server
        self.sent_ns = sent_ns  # when it began: for a body that was still coming, when that was through
        self.timeout_ns = timeout_ns  # from its start, as the module has it; 0: what its request has left
        self.response_started_ns = 0  # when its answer began to go on to the client
        self.upstream_attempt: UpstreamAttempt | None = None  # None: it is being made, or failed meanwhile
        self.first_byte_permitted = False  # its first byte may have gone out
        self.fully_written = False  # its last byte has

    @property
    def has_ended(self) -> bool:
        """Whether its end has been told."""
        return self.engine.attempts.get((self.pending.id, self.number)) is not self

    @property
    def may_run(self) -> bool:
        """Whether its server may have all of it, as far as is known before its end."""
        if self.upstream_attempt is None:
            return self.first_byte_permitted
        return self.fully_written or self.upstream_attempt.may_run

    def write_timeout_s(self) -> float:
        timeout_s = 0.0 if self.has_ended else self.engine.write_timeout_s(self.pending, self)
        self.first_byte_permitted = self.first_byte_permitted or timeout_s > 0.0
        return timeout_s

    def remaining_time_ns(self) -> int:
        return self.engine.remaining_time_ns(self.pending, self)

    def written(self) -> None:
        self.fully_written = True
        self.engine.stats.forwarded()
        if self.pending.uploading:
            self.engine.body_uploaded(self.pending, self)

    def begin(self, head: object, length: int | None) -> bool:
        return self.engine.begin_response(self.pending, self, head, length)

    def part(self, data: bytes) -> None:
        self.pending.response_sink.part(self.pending.request, data)

    def ended(self, status: Status, answer: object, report: tuple[float, ...]) -> None:
        self.engine.end_attempt(self.pending, self, status, answer, report)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has been taken."""

    id: int
    request: IncomingRequest
    response_sink: ResponseSink
    frontend_binding: FrontendBinding
    timer: asyncio.TimerHandle | None = None
    attempts: int = 0
    may_have_run: bool = False  # some attempt has ended without a proof that it did not
    unanswered: bool = True  # its final answer
    uploading: bool = False  # the module was told that its body is still coming
    streaming: Attempt | None = None  # whose answer is on its way to the client already


def _format_request_id(request: IncomingRequest) -> str:
    """A request's name, for the log."""
    return (
        request.request_id.decode("latin-1")
        if isinstance(request.request_id, bytes)
        else str(request.request_id)
    )


class Engine:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        max_open: int,
        seed: int,
        usage: Usage,
        names: EndpointIds,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.max_open = max_open
        self.now = Clock().now
        self.balancer = Balancer(settings, seed)
        self.descriptors = usage.descriptors
        self.memory = usage.memory
        self.frontend_bindings: list[FrontendBinding] = []
        self.transports: list[UpstreamTransport] = []
        self.endpoints = EndpointTable(names, self.transports)
        self.source: EndpointSource | None = None
        self.gossip: GossipSender | None = None
        self.pending_requests: dict[int, PendingRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # those out, also of requests that are over
        self.next_id = 1
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.action_handlers = self._actions()
        self.stats = Stats([spec.name for spec in settings.classes])
        longest = max(spec.deadline_ns for spec in settings.classes) / SECOND
        self.lifecycle = Lifecycle(loop, self.descriptors, longest, self._answer_pending)
        self.fault_logged_at = -math.inf  # when an exception of the module was last logged

    # How it is put together

    def bind_frontend(
        self, label: str, frontend: Frontend, upstream_transport: UpstreamTransport
    ) -> FrontendBinding:
        """Let a front in. Its carrier is told of the servers that are known, and of all changes."""
        frontend_binding = FrontendBinding(
            label, frontend, upstream_transport, self.stats.add_frontend(label)
        )
        self.frontend_bindings.append(frontend_binding)
        self.lifecycle.frontends.append(frontend)
        if upstream_transport not in self.transports:
            self.endpoints.synchronize(upstream_transport)
            self.transports.append(upstream_transport)
        return frontend_binding

    def start(self, source: EndpointSource, known: EndpointUpdate) -> None:
        """Begin with the list as it was known last, and with whatever tells of its changes."""
        self.source = source
        self._apply(known, api.ListKind.CACHED)
        if not self.settings.polling_required:
            source.watch(True)
        self._sweep()

    # Events to the module, its actions

    def dispatch(self, event: api.Event) -> None:
        """Hand the module an event after those that came before it; then do what it says."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                event = self.events.popleft()
                self.balancer.ctx.actions = []  # else a fault would have those of an earlier event done again
                try:
                    actions = self.balancer.handle(self.now(), event)
                except Exception:
                    # Guards all other requests against a fault in one; the last guard answers that one.
                    self.log_fault("the module failed on an event")
                    actions = self.balancer.ctx.actions
                for action in actions:
                    try:
                        self._act(action)
                    except Exception:
                        self.log_fault("an action failed")
        finally:
            self.handling = False

    def log_fault(self, reason: str) -> None:
        if monotonic() - self.fault_logged_at >= 1.0:
            self.fault_logged_at = monotonic()
            log.exception("fault", reason=reason)

    def _actions(self) -> dict[type, Callable[[Any], None]]:
        """What is done for each kind of action."""
        return {
            api.Send: self._send,
            api.Reject: self._reject_pending,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.SetTimer: self._set_timer,
            api.Probe: self._probe,
            api.CloseIdle: self._close_idle,
            api.PublishGossip: self._publish_gossip,
            api.Watch: self._watch,
            api.Fetch: self._fetch,
            api.Log: self._log,
        }

    def _act(self, action: api.Action) -> None:
        self.action_handlers[type(action)](action)

    def _set_timer(self, action: api.SetTimer) -> None:
        # Whole milliseconds, upwards: the loop counts in these, and an early bell rings for nothing.
        self.loop.call_later(-(-action.after_ns // MS) / 1000, self.dispatch, api.Timer(action.token))

    def _reject_pending(self, action: api.Reject) -> None:
        self._finish_by_id(
            action.id,
            FinalResponse(
                Disposition.DECLINED, Reason.BALANCER_DECISION, retry_after_ns=action.retry_after_ns
            ),
        )

    def _fail(self, action: api.Fail) -> None:
        self._finish_by_id(action.id, FinalResponse(Disposition.ABORTED, Reason.BALANCER_DECISION))

    def _close_idle(self, action: api.CloseIdle) -> None:
        for upstream_transport in self.transports:
            upstream_transport.close_idle(action.server)

    def _publish_gossip(self, action: api.PublishGossip) -> None:
        if self.gossip is not None:
            self.gossip.send(action.data, action.peer)

    def _watch(self, action: api.Watch) -> None:
        if self.source is not None:
            self.source.watch(action.on)

    def _fetch(self, action: api.Fetch) -> None:
        if self.source is not None:
            self.source.fetch()

    def _log(self, action: api.Log) -> None:
        log.info("module", said=action.text)

    # Requests

    def accept(
        self, frontend_binding: FrontendBinding, response_sink: ResponseSink, request: IncomingRequest
    ) -> None:
        """Take a request: from here on it is owed one final answer, which may come within this call."""
        if self.lifecycle.rejects_new_requests and request.request_id not in frontend_binding.names.used:
            self._reject(frontend_binding, response_sink, request, Disposition.DECLINED, Reason.DRAINING)
            return
        # Guards servers against a second copy, here or elsewhere: a request of this name may still run.
        if not frontend_binding.names.claim(request.request_id):
            self._reject(
                frontend_binding, response_sink, request, Disposition.ABORTED, Reason.DUPLICATE_REQUEST_ID
            )
            return
        pending = PendingRequest(self.next_id, request, response_sink, frontend_binding)
        self.next_id += 1
        self.pending_requests[pending.id] = pending
        request.pending_id = pending.id
        if len(self.pending_requests) > self.max_open:
            self._finish(pending, FinalResponse(Disposition.DECLINED, Reason.OVERLOADED))
            return
        pending.uploading = not request.body.complete
        if pending.uploading:
            request.body.on_discarded = partial(self.dispatch, api.BodyDiscarded(pending.id))
        else:
            self._start_watchdog(pending)
        self.dispatch(
            api.Request(
                pending.id,
                request.cls,
                request.tenant,
                request.deadline_ns,
                request.key,
                request.cost_ns,
                request.is_retry,
                request.is_write,
                pending.uploading,
                max(self.now() - (request.deadline_ns - request.timeout_ns), 0),
            )
        )

    def body_ended(self, request: IncomingRequest) -> None:
        """The last byte of a request that was taken before has come: its time runs from now."""
        pending = self.pending_requests.get(request.pending_id)
        if pending is None:
            return
        self._start_watchdog(pending)
        remaining_ns = request.deadline_ns - ATTEMPT_MARGIN_NS - self.now()
        for attempt in self._attempts_in_flight(pending):
            if attempt.upstream_attempt is not None and pending.streaming is not attempt:
                attempt.upstream_attempt.set_timeout(remaining_ns / SECOND)

    def body_failed(self, request: IncomingRequest, disposition: Disposition, detail: object = None) -> None:
        """The body of a request that was taken before can't be read to its end."""
        pending = self.pending_requests.get(request.pending_id)
        if pending is None:
            return
        if pending.streaming is None:
            response = FinalResponse(disposition, Reason.INVALID_BODY, detail=detail)
            if disposition is Disposition.DECLINED and self._may_have_run(pending):
                response = FinalResponse(Disposition.ABORTED, Reason.BALANCER_DECISION)
            self._finish(pending, response)
        self._abandon(pending)
        self.dispatch(api.RequestCancelled(pending.id))

    def client_disconnected(self, request: IncomingRequest) -> None:
        """The client of a request has gone: it is over, and what is out for it the module may cancel."""
        pending = self.pending_requests.get(request.pending_id)
        if pending is not None:
            self._mark_answered(pending)
            if log.debugging:
                self._log_final_response(
                    pending.frontend_binding, request, Disposition.ABORTED, Reason.CLIENT_DISCONNECTED
                )
            self._abandon(pending)
            self.dispatch(api.RequestCancelled(pending.id))

    def record_rejection(self, frontend_binding: FrontendBinding, cls: int, disposition: Disposition) -> None:
        """A front answered by itself what never became a request: it is counted all the same."""
        self.stats.ended(cls, disposition, frontend_binding.counts)

    def _reject(
        self,
        frontend_binding: FrontendBinding,
        response_sink: ResponseSink,
        request: IncomingRequest,
        disposition: Disposition,
        reason: Reason,
    ) -> None:
        self.stats.ended(request.cls, disposition, frontend_binding.counts)
        if log.debugging:
            self._log_final_response(frontend_binding, request, disposition, reason)
        response_sink.respond(request, FinalResponse(disposition, reason))

    def _log_final_response(
        self,
        frontend_binding: FrontendBinding,
        request: IncomingRequest,
        disposition: Disposition,
        reason: Reason,
    ) -> None:
        log.debug(
            "final_response",
            frontend=frontend_binding.label,
            request=_format_request_id(request),
            outcome=disposition.name.lower(),
            reason=reason.value,
        )

    def _start_watchdog(self, pending: PendingRequest) -> None:
        remaining_ns = max(pending.request.deadline_ns - WATCHDOG_MARGIN_NS - self.now(), 0)
        pending.timer = self.loop.call_later(remaining_ns / SECOND, self._on_watchdog, pending)

    def _attempts_in_flight(self, pending: PendingRequest) -> list[Attempt]:
        """Its attempts that have no end yet."""
        numbers = range(pending.attempts)
        return [self.attempts[pending.id, n] for n in numbers if (pending.id, n) in self.attempts]

    def _may_have_run(self, pending: PendingRequest) -> bool:
        """Whether any server may have run it, by ends and by what is still out."""
        return pending.may_have_run or any(attempt.may_run for attempt in self._attempts_in_flight(pending))

    def _give_up_attempt(self, attempt: Attempt, status: Status) -> None:
        """End an attempt within this call, whatever becomes of its carrier."""
        if attempt.upstream_attempt is not None:
            try:
                attempt.upstream_attempt.give_up(status)
            except Exception:
                self.log_fault("an attempt could not be given up")
        if not attempt.has_ended:  # its carrier failed: whatever may have begun may have run
            end = status if attempt.first_byte_permitted else Status.NOT_SENT
            self.end_attempt(attempt.pending, attempt, end, None, ())

    def _abandon(self, pending: PendingRequest) -> None:
        """Give up what is out for a request whose client or body is gone."""
        for attempt in self._attempts_in_flight(pending):
            upstream_attempt = attempt.upstream_attempt
            # What is written in part is cut, so that it can't run any more.
            if upstream_attempt is not None and (
                not upstream_attempt.may_run or pending.streaming is attempt
            ):
                self._give_up_attempt(attempt, Status.CANCELLED)

    def _on_watchdog(self, pending: PendingRequest) -> None:
        """Time is up: whatever the module still plans, the client gets its answer now."""
        if not pending.unanswered or pending.streaming is not None:
            return
        for attempt in self._attempts_in_flight(pending):
            self._give_up_attempt(attempt, Status.TIMEOUT)
        if pending.unanswered:
            disposition = Disposition.ABORTED if pending.may_have_run else Disposition.DECLINED
            self._finish(pending, FinalResponse(disposition, Reason.DEADLINE_EXCEEDED))
            self.dispatch(api.RequestCancelled(pending.id))

    def _finish(self, pending: PendingRequest, response: FinalResponse) -> None:
        """Give the one final answer."""
        self._mark_answered(pending)
        self.stats.ended(pending.request.cls, response.disposition, pending.frontend_binding.counts)
        if log.debugging:
            self._log_final_response(
                pending.frontend_binding, pending.request, response.disposition, response.reason
            )
        pending.response_sink.respond(pending.request, response)

    def _mark_answered(self, pending: PendingRequest) -> None:
        pending.unanswered = False
        pending.frontend_binding.names.ended(pending.request.request_id)
        self.pending_requests.pop(pending.id, None)
        if pending.timer is not None:
            pending.timer.cancel()
        # Guards servers against a request without its body, which goes with the answer: what still waits
        # for a connection is not sent any more.
        for attempt in self._attempts_in_flight(pending):
            if attempt.upstream_attempt is not None and not attempt.upstream_attempt.begun:
                self._give_up_attempt(attempt, Status.CANCELLED)

    def _finish_by_id(self, ident: int, response: FinalResponse) -> None:
        pending = self.pending_requests.get(ident)
        if pending is not None:
            self._finish(pending, response)

    # Attempts

    def _send(self, action: api.Send) -> None:
        pending = self.pending_requests.get(action.id)
        if pending is None:
            return  # over already: the module was told, or will be by an event in the queue
        now = self.now()
        attempt = Attempt(self, pending, pending.attempts, action.server, now, action.timeout_ns)
        pending.attempts += 1
        self.attempts[pending.id, attempt.number] = attempt
        request = pending.request
        wait = self.remaining_time_ns(pending, attempt)
        if pending.attempts > self.settings.max_attempts or wait <= 0 or request.body.discarded:
            self.end_attempt(pending, attempt, Status.NOT_SENT, None, ())
            return
        timeout = wait / SECOND if request.body.complete else None
        try:
            attempt.upstream_attempt = pending.frontend_binding.upstream_transport.start(
                action.server, request, timeout, attempt
            )
        except Exception:
            self.log_fault("an attempt could not be started")
            if not attempt.first_byte_permitted:
                self.end_attempt(pending, attempt, Status.NOT_SENT, None, ())
            # Else it may run: its end is still told by its carrier, or by the last guard.

    def remaining_time_ns(self, pending: PendingRequest, attempt: Attempt) -> int:
        """What is left to an attempt at this instant: see `AttemptObserver.remaining_time_ns`.

        Guards a server against work for nobody: told at the decision, a connection that came up late made it
        more than the client still waited. The client's time runs from the last byte of its body.
        """
        request, now = pending.request, self.now()
        remaining_ns = (
            request.deadline_ns - ATTEMPT_MARGIN_NS - now if request.body.complete else request.timeout_ns
        )
        return (
            min(remaining_ns, attempt.sent_ns + attempt.timeout_ns - now)
            if attempt.timeout_ns > 0
            else remaining_ns
        )

    def write_timeout_s(self, pending: PendingRequest, attempt: Attempt) -> float:
        """The one guard of an attempt's first byte: see `AttemptObserver.write_timeout_s`.

        The rules are judged at this instant and not at that of the decision: connections come up late, and
        by then a window may be over, a server may drain, the client may have left or its time have run out.
        """
        request, now = pending.request, self.now()
        if not pending.unanswered or (
            request.body.complete and now >= request.deadline_ns - ATTEMPT_MARGIN_NS
        ):
            return 0.0
        if request.body.discarded:  # another attempt has taken it, and the module may not know
            return 0.0
        if pending.response_sink.gone(request):
            return 0.0
        try:
            end = self.balancer.write_by(now, pending.id, attempt.number)
        except Exception:
            # Guards the answer and the connection of whoever is being served in this turn.
            self.log_fault("the module failed on a first byte")
            return 0.0
        return math.inf if end >= NO_END else max(end - now, 0) / SECOND

    def body_uploaded(self, pending: PendingRequest, attempt: Attempt) -> None:
        """The last byte of an attempt whose body was still coming has been written: it begins now."""
        pending.uploading = False
        attempt.sent_ns = self.now()
        self.dispatch(api.BodyUploaded(pending.id, pending.request.deadline_ns))

    def begin_response(
        self, pending: PendingRequest, attempt: Attempt, head: object, length: int | None
    ) -> bool:
        """An answer begins to reach the client; from here on it has no deadline, only a pace."""
        if not pending.unanswered or pending.streaming is not None or attempt.upstream_attempt is None:
            return False
        pending.streaming = attempt
        pending.may_have_run = True
        if pending.timer is not None:
            pending.timer.cancel()
        attempt.upstream_attempt.clear_timeout()
        attempt.response_started_ns = self.now()
        pending.response_sink.begin(pending.request, head, length, attempt.upstream_attempt.pause)
        duration_ns = attempt.response_started_ns - attempt.sent_ns
        self.dispatch(api.StreamStarted(pending.id, attempt.number, attempt.server, duration_ns))
        return True

    def end_attempt(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        status: Status,
        answer: object,
        report: tuple[float, ...],
    ) -> None:
        """An attempt has ended: a served answer reaches the client, the module hears of all."""
        if attempt.has_ended:
            return  # only the first end counts, whatever a carrier that failed tells
        del self.attempts[pending.id, attempt.number]
        if attempt.fully_written and status in UNWRITTEN:
            status = Status.RESET  # what was told before is the truth: it may have run
        if status not in PROVES_NOT_RUN:
            pending.may_have_run = True
        if log.debugging:
            self._log_attempt(pending, attempt, status)
        if status is Status.OK and pending.unanswered and pending.streaming is None:
            self._finish(pending, FinalResponse(Disposition.SUCCEEDED, Reason.ANSWERED, answer))
        if pending.streaming is attempt and pending.unanswered:
            self._end_response(pending, complete=status is Status.OK)
        duration_ns = (attempt.response_started_ns or self.now()) - attempt.sent_ns
        self.dispatch(
            api.Outcome(
                pending.id,
                attempt.number,
                attempt.server,
                status,
                duration_ns,
                not pending.unanswered,
                report,
            )
        )

    def _end_response(self, pending: PendingRequest, *, complete: bool) -> None:
        self._mark_answered(pending)
        disposition = Disposition.SUCCEEDED if complete else Disposition.ABORTED
        self.stats.ended(pending.request.cls, disposition, pending.frontend_binding.counts)
        if log.debugging:
            self._log_final_response(
                pending.frontend_binding,
                pending.request,
                disposition,
                Reason.ANSWERED if complete else Reason.TRUNCATED,
            )
        pending.response_sink.end(pending.request, complete)

    def _log_attempt(self, pending: PendingRequest, attempt: Attempt, status: Status) -> None:
        log.debug(
            "attempt",
            frontend=pending.frontend_binding.label,
            request=_format_request_id(pending.request),
            attempt=attempt.number,
            server=attempt.server,
            status=status.name.lower(),
        )

    def _cancel(self, action: api.Cancel) -> None:
        attempt = self.attempts.get((action.id, action.attempt))
        if attempt is not None and attempt.upstream_attempt is not None:
            self._give_up_attempt(attempt, Status.CANCELLED)

    def _probe(self, action: api.Probe) -> None:
        server, started = action.server, self.now()

        def done(status: Status, report: tuple[float, ...]) -> None:
            self.dispatch(api.ProbeResult(server, status, self.now() - started, report))

        self.transports[0].probe(server, PROBE_TIMEOUT_S, done)

    # The list of servers

    def on_endpoint_update(self, news: EndpointUpdate | None) -> None:
        """A source has news; None: it has failed."""
        if news is None:
            self.dispatch(api.Membership(api.ListKind.FAILED, 0, []))
        else:
            self._apply(news)

    def _apply(self, news: EndpointUpdate, kind: api.ListKind | None = None) -> None:
        self.dispatch(news.membership(kind))
        self.endpoints.apply(news)
        # After changes too: on a day of replacements no whole list may ever come.
        self.endpoints.names.keep(set(self.balancer.endpoints.servers) | set(self.endpoints.listed))

    def on_gossip(self, sender: int, data: bytes) -> None:
        self.dispatch(api.GossipReceived(sender, data))

    # Housekeeping and the end

    def _sweep(self) -> None:
        for upstream_transport in self.transports:
            upstream_transport.sweep()
        for frontend_binding in self.frontend_bindings:
            frontend_binding.frontend.sweep()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _answer_pending(self) -> None:
        for pending in list(self.pending_requests.values()):
            try:
                self._on_watchdog(pending)
            except Exception:
                # Guards the answers to all others: they would end with the process, without a word.
                self.log_fault("a request could not be answered")

    # What operators ask and order

    def healthy(self) -> bool:
        return self.lifecycle.ready

    def report(self) -> str:
        gauges = Gauges(
            outstanding=len(self.pending_requests),
            discovered=len(self.endpoints.listed),
            ejected=len(self.balancer.endpoints.ejected),
        )
        return render(self.stats, gauges)

    def drain(self) -> bool:
        return self.lifecycle.drain()

    def undrain(self) -> bool:
        return self.lifecycle.undrain()

    def close(self) -> None:
        """Let go of all sockets."""
        self.lifecycle.close()
        if self.source is not None:
            self.source.close()
        for upstream_transport in self.transports:
            upstream_transport.close()
        if self.gossip is not None:
            self.gossip.close()
        for frontend_binding in self.frontend_bindings:
            frontend_binding.frontend.close()
