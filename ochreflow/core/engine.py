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
GUARD_MARGIN_NS = 8 * MS  # ... and a request that then still has no answer gets one
PROBE_TIMEOUT = 0.4  # seconds
SWEEP_EVERY = 0.1


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
        "answered_ns",
        "engine",
        "held",
        "let_begin",
        "number",
        "sent_ns",
        "server",
        "timeout_ns",
        "upstream_attempt",
        "whole",
    )

    def __init__(
        self, engine: Engine, held: Held, number: int, server: int, sent_ns: int, timeout_ns: int
    ) -> None:
        self.engine = engine
        self.held = held
        self.number = number
        self.server = server
        self.sent_ns = sent_ns  # when it began: for a body that was still coming, when that was through
        self.timeout_ns = timeout_ns  # from its start, as the module has it; 0: what its request has left
        self.answered_ns = 0  # when its answer began to go on to the client
        self.upstream_attempt: UpstreamAttempt | None = None  # None: it is being made, or failed meanwhile
        self.let_begin = False  # its first byte may have gone out
        self.whole = False  # its last byte has

    @property
    def over(self) -> bool:
        """Whether its end has been told."""
        return self.engine.attempts.get((self.held.id, self.number)) is not self

    @property
    def may_run(self) -> bool:
        """Whether its server may have all of it, as far as is known before its end."""
        if self.upstream_attempt is None:
            return self.let_begin
        return self.whole or self.upstream_attempt.may_run

    def write_timeout_s(self) -> float:
        within = 0.0 if self.over else self.engine.write_timeout_s(self.held, self)
        self.let_begin = self.let_begin or within > 0.0
        return within

    def remaining_time_ns(self) -> int:
        return self.engine.remaining_time_ns(self.held, self)

    def written(self) -> None:
        self.whole = True
        self.engine.stats.forwarded()
        if self.held.uploading:
            self.engine.uploaded(self.held, self)

    def begin(self, head: object, length: int | None) -> bool:
        return self.engine.begin_answer(self.held, self, head, length)

    def part(self, data: bytes) -> None:
        self.held.response_sink.part(self.held.request, data)

    def ended(self, status: Status, answer: object, report: tuple[float, ...]) -> None:
        self.engine.end_attempt(self.held, self, status, answer, report)


@dataclass(slots=True, eq=False)
class Held:
    """A request that has been taken."""

    id: int
    request: IncomingRequest
    response_sink: ResponseSink
    frontend_binding: FrontendBinding
    timer: asyncio.TimerHandle | None = None
    attempts: int = 0
    may_have_run: bool = False  # some attempt has ended without a proof that it did not
    owed: bool = True  # its final answer
    uploading: bool = False  # the module was told that its body is still coming
    relaying: Attempt | None = None  # whose answer is on its way to the client already


def _shown(request: IncomingRequest) -> str:
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
        self.held: dict[int, Held] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # those out, also of requests that are over
        self.next_id = 1
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.doing = self._actions()
        self.stats = Stats([spec.name for spec in settings.classes])
        longest = max(spec.deadline_ns for spec in settings.classes) / SECOND
        self.lifecycle = Lifecycle(loop, self.descriptors, longest, self._answer_all)
        self.reported_at = -math.inf  # when an exception of the module was last logged

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

    def post(self, event: api.Event) -> None:
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
                    self.fault("the module failed on an event")
                    actions = self.balancer.ctx.actions
                for action in actions:
                    try:
                        self._act(action)
                    except Exception:
                        self.fault("an action failed")
        finally:
            self.handling = False

    def fault(self, reason: str) -> None:
        if monotonic() - self.reported_at >= 1.0:
            self.reported_at = monotonic()
            log.exception("fault", reason=reason)

    def _actions(self) -> dict[type, Callable[[Any], None]]:
        """What is done for each kind of action."""
        return {
            api.Send: self._send,
            api.Reject: self._refuse,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.SetTimer: self._set_timer,
            api.Probe: self._probe,
            api.CloseIdle: self._close_idle,
            api.PublishGossip: self._tell,
            api.Watch: self._watch,
            api.Fetch: self._fetch,
            api.Log: self._log,
        }

    def _act(self, action: api.Action) -> None:
        self.doing[type(action)](action)

    def _set_timer(self, action: api.SetTimer) -> None:
        # Whole milliseconds, upwards: the loop counts in these, and an early bell rings for nothing.
        self.loop.call_later(-(-action.after_ns // MS) / 1000, self.post, api.Timer(action.token))

    def _refuse(self, action: api.Reject) -> None:
        self._decided(
            action.id,
            FinalResponse(
                Disposition.DECLINED, Reason.BALANCER_DECISION, retry_after_ns=action.retry_after_ns
            ),
        )

    def _fail(self, action: api.Fail) -> None:
        self._decided(action.id, FinalResponse(Disposition.ABORTED, Reason.BALANCER_DECISION))

    def _close_idle(self, action: api.CloseIdle) -> None:
        for upstream_transport in self.transports:
            upstream_transport.close_idle(action.server)

    def _tell(self, action: api.PublishGossip) -> None:
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

    def take(
        self, frontend_binding: FrontendBinding, response_sink: ResponseSink, request: IncomingRequest
    ) -> None:
        """Take a request: from here on it is owed one final answer, which may come within this call."""
        if self.lifecycle.turns_away and request.request_id not in frontend_binding.names.used:
            self._turn_away(frontend_binding, response_sink, request, Disposition.DECLINED, Reason.DRAINING)
            return
        # Guards servers against a second copy, here or elsewhere: a request of this name may still run.
        if not frontend_binding.names.claim(request.request_id):
            self._turn_away(
                frontend_binding, response_sink, request, Disposition.ABORTED, Reason.DUPLICATE_REQUEST_ID
            )
            return
        held = Held(self.next_id, request, response_sink, frontend_binding)
        self.next_id += 1
        self.held[held.id] = held
        request.pending_id = held.id
        if len(self.held) > self.max_open:
            self._finish(held, FinalResponse(Disposition.DECLINED, Reason.OVERLOADED))
            return
        held.uploading = not request.body.complete
        if held.uploading:
            request.body.on_spent = partial(self.post, api.BodyDiscarded(held.id))
        else:
            self._set_guard(held)
        self.post(
            api.Request(
                held.id,
                request.cls,
                request.tenant,
                request.deadline_ns,
                request.key,
                request.cost_ns,
                request.is_retry,
                request.is_write,
                held.uploading,
                max(self.now() - (request.deadline_ns - request.timeout_ns), 0),
            )
        )

    def body_ended(self, request: IncomingRequest) -> None:
        """The last byte of a request that was taken before has come: its time runs from now."""
        held = self.held.get(request.pending_id)
        if held is None:
            return
        self._set_guard(held)
        left = request.deadline_ns - ATTEMPT_MARGIN_NS - self.now()
        for attempt in self._out(held):
            if attempt.upstream_attempt is not None and held.relaying is not attempt:
                attempt.upstream_attempt.set_timeout(left / SECOND)

    def body_broken(self, request: IncomingRequest, disposition: Disposition, detail: object = None) -> None:
        """The body of a request that was taken before can't be read to its end."""
        held = self.held.get(request.pending_id)
        if held is None:
            return
        if held.relaying is None:
            response = FinalResponse(disposition, Reason.INVALID_BODY, detail=detail)
            if disposition is Disposition.DECLINED and self._may_have_run(held):
                response = FinalResponse(Disposition.ABORTED, Reason.BALANCER_DECISION)
            self._finish(held, response)
        self._abandon(held)
        self.post(api.RequestCancelled(held.id))

    def left(self, request: IncomingRequest) -> None:
        """The client of a request has gone: it is over, and what is out for it the module may cancel."""
        held = self.held.get(request.pending_id)
        if held is not None:
            self._settle(held)
            if log.debugging:
                self._tell_verdict(
                    held.frontend_binding, request, Disposition.ABORTED, Reason.CLIENT_DISCONNECTED
                )
            self._abandon(held)
            self.post(api.RequestCancelled(held.id))

    def turned_away(self, frontend_binding: FrontendBinding, cls: int, disposition: Disposition) -> None:
        """A front answered by itself what never became a request: it is counted all the same."""
        self.stats.ended(cls, disposition, frontend_binding.counts)

    def _turn_away(
        self,
        frontend_binding: FrontendBinding,
        response_sink: ResponseSink,
        request: IncomingRequest,
        disposition: Disposition,
        reason: Reason,
    ) -> None:
        self.stats.ended(request.cls, disposition, frontend_binding.counts)
        if log.debugging:
            self._tell_verdict(frontend_binding, request, disposition, reason)
        response_sink.respond(request, FinalResponse(disposition, reason))

    def _tell_verdict(
        self,
        frontend_binding: FrontendBinding,
        request: IncomingRequest,
        disposition: Disposition,
        reason: Reason,
    ) -> None:
        log.debug(
            "final_response",
            frontend=frontend_binding.label,
            request=_shown(request),
            outcome=disposition.name.lower(),
            reason=reason.value,
        )

    def _set_guard(self, held: Held) -> None:
        left = max(held.request.deadline_ns - GUARD_MARGIN_NS - self.now(), 0)
        held.timer = self.loop.call_later(left / SECOND, self._guard, held)

    def _out(self, held: Held) -> list[Attempt]:
        """Its attempts that have no end yet."""
        numbers = range(held.attempts)
        return [self.attempts[held.id, n] for n in numbers if (held.id, n) in self.attempts]

    def _may_have_run(self, held: Held) -> bool:
        """Whether any server may have run it, by ends and by what is still out."""
        return held.may_have_run or any(attempt.may_run for attempt in self._out(held))

    def _give_up(self, attempt: Attempt, status: Status) -> None:
        """End an attempt within this call, whatever becomes of its carrier."""
        if attempt.upstream_attempt is not None:
            try:
                attempt.upstream_attempt.give_up(status)
            except Exception:
                self.fault("an attempt could not be given up")
        if not attempt.over:  # its carrier failed: whatever may have begun may have run
            end = status if attempt.let_begin else Status.NOT_SENT
            self.end_attempt(attempt.held, attempt, end, None, ())

    def _abandon(self, held: Held) -> None:
        """Give up what is out for a request whose client or body is gone."""
        for attempt in self._out(held):
            upstream_attempt = attempt.upstream_attempt
            # What is written in part is cut, so that it can't run any more.
            if upstream_attempt is not None and (not upstream_attempt.may_run or held.relaying is attempt):
                self._give_up(attempt, Status.CANCELLED)

    def _guard(self, held: Held) -> None:
        """Time is up: whatever the module still plans, the client gets its answer now."""
        if not held.owed or held.relaying is not None:
            return
        for attempt in self._out(held):
            self._give_up(attempt, Status.TIMEOUT)
        if held.owed:
            disposition = Disposition.ABORTED if held.may_have_run else Disposition.DECLINED
            self._finish(held, FinalResponse(disposition, Reason.DEADLINE_EXCEEDED))
            self.post(api.RequestCancelled(held.id))

    def _finish(self, held: Held, response: FinalResponse) -> None:
        """Give the one final answer."""
        self._settle(held)
        self.stats.ended(held.request.cls, response.disposition, held.frontend_binding.counts)
        if log.debugging:
            self._tell_verdict(held.frontend_binding, held.request, response.disposition, response.reason)
        held.response_sink.respond(held.request, response)

    def _settle(self, held: Held) -> None:
        held.owed = False
        held.frontend_binding.names.ended(held.request.request_id)
        self.held.pop(held.id, None)
        if held.timer is not None:
            held.timer.cancel()
        # Guards servers against a request without its body, which goes with the answer: what still waits
        # for a connection is not sent any more.
        for attempt in self._out(held):
            if attempt.upstream_attempt is not None and not attempt.upstream_attempt.begun:
                self._give_up(attempt, Status.CANCELLED)

    def _decided(self, ident: int, response: FinalResponse) -> None:
        held = self.held.get(ident)
        if held is not None:
            self._finish(held, response)

    # Attempts

    def _send(self, action: api.Send) -> None:
        held = self.held.get(action.id)
        if held is None:
            return  # over already: the module was told, or will be by an event in the queue
        now = self.now()
        attempt = Attempt(self, held, held.attempts, action.server, now, action.timeout_ns)
        held.attempts += 1
        self.attempts[held.id, attempt.number] = attempt
        request = held.request
        wait = self.remaining_time_ns(held, attempt)
        if held.attempts > self.settings.max_attempts or wait <= 0 or request.body.spent:
            self.end_attempt(held, attempt, Status.NOT_SENT, None, ())
            return
        timeout = wait / SECOND if request.body.complete else None
        try:
            attempt.upstream_attempt = held.frontend_binding.upstream_transport.start(
                action.server, request, timeout, attempt
            )
        except Exception:
            self.fault("an attempt could not be started")
            if not attempt.let_begin:
                self.end_attempt(held, attempt, Status.NOT_SENT, None, ())
            # Else it may run: its end is still told by its carrier, or by the last guard.

    def remaining_time_ns(self, held: Held, attempt: Attempt) -> int:
        """What is left to an attempt at this instant: see `AttemptObserver.remaining_time_ns`.

        Guards a server against work for nobody: told at the decision, a connection that came up late made it
        more than the client still waited. The client's time runs from the last byte of its body.
        """
        request, now = held.request, self.now()
        left = request.deadline_ns - ATTEMPT_MARGIN_NS - now if request.body.complete else request.timeout_ns
        return min(left, attempt.sent_ns + attempt.timeout_ns - now) if attempt.timeout_ns > 0 else left

    def write_timeout_s(self, held: Held, attempt: Attempt) -> float:
        """The one guard of an attempt's first byte: see `AttemptObserver.write_timeout_s`.

        The rules are judged at this instant and not at that of the decision: connections come up late, and
        by then a window may be over, a server may drain, the client may have left or its time have run out.
        """
        request, now = held.request, self.now()
        if not held.owed or (request.body.complete and now >= request.deadline_ns - ATTEMPT_MARGIN_NS):
            return 0.0
        if request.body.spent:  # another attempt has taken it, and the module may not know
            return 0.0
        if held.response_sink.gone(request):
            return 0.0
        try:
            end = self.balancer.write_by(now, held.id, attempt.number)
        except Exception:
            # Guards the answer and the connection of whoever is being served in this turn.
            self.fault("the module failed on a first byte")
            return 0.0
        return math.inf if end >= NO_END else max(end - now, 0) / SECOND

    def uploaded(self, held: Held, attempt: Attempt) -> None:
        """The last byte of an attempt whose body was still coming has been written: it begins now."""
        held.uploading = False
        attempt.sent_ns = self.now()
        self.post(api.BodyUploaded(held.id, held.request.deadline_ns))

    def begin_answer(self, held: Held, attempt: Attempt, head: object, length: int | None) -> bool:
        """An answer begins to reach the client; from here on it has no deadline, only a pace."""
        if not held.owed or held.relaying is not None or attempt.upstream_attempt is None:
            return False
        held.relaying = attempt
        held.may_have_run = True
        if held.timer is not None:
            held.timer.cancel()
        attempt.upstream_attempt.clear_timeout()
        attempt.answered_ns = self.now()
        held.response_sink.begin(held.request, head, length, attempt.upstream_attempt.pause)
        took = attempt.answered_ns - attempt.sent_ns
        self.post(api.StreamStarted(held.id, attempt.number, attempt.server, took))
        return True

    def end_attempt(
        self, held: Held, attempt: Attempt, status: Status, answer: object, report: tuple[float, ...]
    ) -> None:
        """An attempt has ended: a served answer reaches the client, the module hears of all."""
        if attempt.over:
            return  # only the first end counts, whatever a carrier that failed tells
        del self.attempts[held.id, attempt.number]
        if attempt.whole and status in UNWRITTEN:
            status = Status.RESET  # what was told before is the truth: it may have run
        if status not in PROVES_NOT_RUN:
            held.may_have_run = True
        if log.debugging:
            self._tell_attempt(held, attempt, status)
        if status is Status.OK and held.owed and held.relaying is None:
            self._finish(held, FinalResponse(Disposition.SUCCEEDED, Reason.ANSWERED, answer))
        if held.relaying is attempt and held.owed:
            self._end_answer(held, whole=status is Status.OK)
        took = (attempt.answered_ns or self.now()) - attempt.sent_ns
        self.post(api.Outcome(held.id, attempt.number, attempt.server, status, took, not held.owed, report))

    def _end_answer(self, held: Held, whole: bool) -> None:
        self._settle(held)
        disposition = Disposition.SUCCEEDED if whole else Disposition.ABORTED
        self.stats.ended(held.request.cls, disposition, held.frontend_binding.counts)
        if log.debugging:
            self._tell_verdict(
                held.frontend_binding,
                held.request,
                disposition,
                Reason.ANSWERED if whole else Reason.TRUNCATED,
            )
        held.response_sink.end(held.request, whole)

    def _tell_attempt(self, held: Held, attempt: Attempt, status: Status) -> None:
        log.debug(
            "attempt",
            frontend=held.frontend_binding.label,
            request=_shown(held.request),
            attempt=attempt.number,
            server=attempt.server,
            status=status.name.lower(),
        )

    def _cancel(self, action: api.Cancel) -> None:
        attempt = self.attempts.get((action.id, action.attempt))
        if attempt is not None and attempt.upstream_attempt is not None:
            self._give_up(attempt, Status.CANCELLED)

    def _probe(self, action: api.Probe) -> None:
        server, started = action.server, self.now()

        def done(status: Status, report: tuple[float, ...]) -> None:
            self.post(api.ProbeResult(server, status, self.now() - started, report))

        self.transports[0].probe(server, PROBE_TIMEOUT, done)

    # The list of servers

    def on_endpoint_update(self, news: EndpointUpdate | None) -> None:
        """A source has news; None: it has failed."""
        if news is None:
            self.post(api.Membership(api.ListKind.FAILED, 0, []))
        else:
            self._apply(news)

    def _apply(self, news: EndpointUpdate, kind: api.ListKind | None = None) -> None:
        self.post(news.membership(kind))
        self.endpoints.apply(news)
        # After changes too: on a day of replacements no whole list may ever come.
        self.endpoints.names.keep(set(self.balancer.endpoints.servers) | set(self.endpoints.listed))

    def on_gossip(self, sender: int, data: bytes) -> None:
        self.post(api.GossipReceived(sender, data))

    # Housekeeping and the end

    def _sweep(self) -> None:
        for upstream_transport in self.transports:
            upstream_transport.sweep()
        for frontend_binding in self.frontend_bindings:
            frontend_binding.frontend.sweep()
        self.loop.call_later(SWEEP_EVERY, self._sweep)

    def _answer_all(self) -> None:
        for held in list(self.held.values()):
            try:
                self._guard(held)
            except Exception:
                # Guards the answers to all others: they would end with the process, without a word.
                self.fault("a request could not be answered")

    # What operators ask and order

    def healthy(self) -> bool:
        return self.lifecycle.ready

    def report(self) -> str:
        gauges = Gauges(
            outstanding=len(self.held),
            discovered=len(self.endpoints.listed),
            ejected=len(self.balancer.endpoints.ejected),
        )
        return render(self.stats, gauges)

    def fail(self) -> bool:
        return self.lifecycle.fail()

    def ok(self) -> bool:
        return self.lifecycle.ok()

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
