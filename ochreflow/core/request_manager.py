"""Manages requests from their acceptance to their one final response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial

from ..policy import interface as api
from .attempt_manager import AttemptManager, PendingRequest, format_request_id
from .clock import NS_PER_MS, NS_PER_S
from .dispatcher import EventDispatcher
from .frontend_binding import FrontendBinding
from .lifecycle import Lifecycle
from .limits import Memory
from .log import log
from .ports import FinalResponse, IncomingRequest, Reason, RequestIdArbiter, ResponseSink
from .request_ids import compact
from .stats import Disposition, Stats

OPEN_REQUEST_BYTES = 4 * 1024  # memory of a request and its attempts apart from its headers and body
WATCHDOG_MARGIN_NS = 8 * NS_PER_MS  # a request without a response is answered this long before its deadline


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on concurrent requests, on the attempts of each request, and on memory."""

    max_open: int
    max_attempts: int
    memory: Memory


class RequestManager:
    """Owns the requests without a final response, and gives each of them exactly one."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        lifecycle: Lifecycle,
        dispatcher: EventDispatcher,
        stats: Stats,
        limits: RequestLimits,
    ) -> None:
        """Begin without requests; `lifecycle` decides whether new ones are rejected."""
        self.loop = loop
        self.lifecycle = lifecycle
        self.dispatcher = dispatcher
        self.clock = dispatcher.clock
        self.stats = stats
        self.max_open = limits.max_open
        self.memory = limits.memory
        self.attempts = AttemptManager(self, dispatcher, stats, limits.max_attempts)
        self.pending: dict[int, PendingRequest] = {}
        self.next_id = 1
        self.arbiter: RequestIdArbiter | None = None  # decides on ids while other processes may have them

    # From frontends

    def accept(
        self, frontend_binding: FrontendBinding, response_sink: ResponseSink, request: IncomingRequest
    ) -> None:
        """Accept a request: it gets one final response, possibly within this call."""
        request_ids = frontend_binding.request_ids
        if self.lifecycle.rejects_new_requests and not request_ids.is_held(request.request_id):
            response = FinalResponse(Disposition.DECLINED, Reason.DRAINING)
            self._reject_new(frontend_binding, response_sink, request, response)
            return
        # A request with this id may still run: servers must not get a second copy of it.
        if not request_ids.claim(request.request_id):
            response = FinalResponse(Disposition.ABORTED, Reason.DUPLICATE_REQUEST_ID)
            self._reject_new(frontend_binding, response_sink, request, response)
            return
        pending = PendingRequest(self.next_id, request, response_sink, frontend_binding)
        self.next_id += 1
        self.pending[pending.id] = pending
        self.memory.add_overhead(OPEN_REQUEST_BYTES)
        request.pending_id = pending.id
        if len(self.pending) > self.max_open:
            self.finish(pending, FinalResponse(Disposition.DECLINED, Reason.OVERLOADED))
            return
        self._start_watchdog(pending)
        if self.arbiter is None:
            self._begin(pending)
        else:
            key = compact(request.request_id)
            self.arbiter.claim(frontend_binding.label, key, partial(self._id_decided, pending))

    def _id_decided(self, pending: PendingRequest, approved: bool) -> None:  # noqa: FBT001  # by position
        """Begin a request, or refuse it because another process of this sidecar has its id."""
        if not pending.unanswered:
            return
        if approved:
            self._begin(pending)
            return
        pending.has_id = False
        pending.frontend_binding.request_ids.withdraw(pending.request.request_id)
        self.finish(pending, FinalResponse(Disposition.ABORTED, Reason.DUPLICATE_REQUEST_ID))

    def _begin(self, pending: PendingRequest) -> None:
        """Pass a request to the balancer."""
        body = pending.request.body
        pending.uploading = not body.complete
        if pending.uploading:
            body.on_discarded = partial(self.dispatcher.dispatch, api.BodyDiscarded(pending.id))
        self.dispatcher.dispatch(self._request_event(pending))

    def _request_event(self, pending: PendingRequest) -> api.Request:
        request = pending.request
        return api.Request(
            pending.id,
            request.class_index,
            request.tenant,
            request.deadline_ns,
            request.key,
            request.cost_ns,
            request.is_retry,
            request.is_write,
            pending.uploading,
            max(self.clock.now() - (request.deadline_ns - request.timeout_ns), 0),
        )

    def body_ended(self, request: IncomingRequest) -> None:
        """Record that the last byte of an accepted request has been received, which starts its timeout."""
        pending = self.pending.get(request.pending_id)
        if pending is None:
            return
        self._start_watchdog(pending)
        self.attempts.set_timeouts(pending)

    def body_failed(self, request: IncomingRequest, disposition: Disposition, detail: object = None) -> None:
        """End an accepted request whose body can't be read completely; `detail` is passed to its frontend."""
        pending = self.pending.get(request.pending_id)
        if pending is None:
            return
        if pending.streaming is None:
            response = FinalResponse(disposition, Reason.INVALID_BODY, detail=detail)
            if disposition is Disposition.DECLINED and self.attempts.may_have_run(pending):
                response = FinalResponse(Disposition.ABORTED, Reason.BALANCER_DECISION)
            self.finish(pending, response)
        self.attempts.abandon(pending)
        self.dispatcher.dispatch(api.RequestCancelled(pending.id))

    def client_disconnected(self, request: IncomingRequest) -> None:
        """End a request without a response; the balancer may cancel its attempts."""
        pending = self.pending.get(request.pending_id)
        if pending is None:
            return
        self._mark_answered(pending)
        if log.debugging:
            response = FinalResponse(Disposition.ABORTED, Reason.CLIENT_DISCONNECTED)
            _log_final_response(pending.frontend_binding, request, response)
        self.attempts.abandon(pending)
        self.dispatcher.dispatch(api.RequestCancelled(pending.id))

    def record_rejection(
        self, frontend_binding: FrontendBinding, class_index: int, disposition: Disposition
    ) -> None:
        """Count a response that a frontend gave itself, without an accepted request."""
        self.stats.ended(class_index, disposition, frontend_binding.counts)

    def _reject_new(
        self,
        frontend_binding: FrontendBinding,
        response_sink: ResponseSink,
        request: IncomingRequest,
        response: FinalResponse,
    ) -> None:
        """Respond to a request without accepting it."""
        self.stats.ended(request.class_index, response.disposition, frontend_binding.counts)
        if log.debugging:
            _log_final_response(frontend_binding, request, response)
        response_sink.respond(request, response)

    # The final response

    def reject(self, pending_id: int, retry_after_ns: int) -> None:
        """Respond with the balancer's rejection, if there is no final response yet."""
        pending = self.pending.get(pending_id)
        if pending is not None:
            response = FinalResponse(
                Disposition.DECLINED, Reason.BALANCER_DECISION, retry_after_ns=retry_after_ns
            )
            self.finish(pending, response)

    def fail(self, pending_id: int) -> None:
        """Respond with the balancer's failure, if there is no final response yet."""
        pending = self.pending.get(pending_id)
        if pending is not None:
            self.finish(pending, FinalResponse(Disposition.ABORTED, Reason.BALANCER_DECISION))

    def finish(self, pending: PendingRequest, response: FinalResponse) -> None:
        """Give a request its one final response."""
        self._mark_answered(pending)
        self.stats.ended(pending.request.class_index, response.disposition, pending.frontend_binding.counts)
        if log.debugging:
            _log_final_response(pending.frontend_binding, pending.request, response)
        pending.response_sink.respond(pending.request, response)

    def end_response(self, pending: PendingRequest, *, complete: bool) -> None:
        """End the final response that was streamed to the client."""
        self._mark_answered(pending)
        disposition = Disposition.SUCCEEDED if complete else Disposition.ABORTED
        self.stats.ended(pending.request.class_index, disposition, pending.frontend_binding.counts)
        if log.debugging:
            response = FinalResponse(disposition, Reason.ANSWERED if complete else Reason.TRUNCATED)
            _log_final_response(pending.frontend_binding, pending.request, response)
        pending.response_sink.end(pending.request, complete=complete)

    def _mark_answered(self, pending: PendingRequest) -> None:
        pending.unanswered = False
        if self.pending.pop(pending.id, None) is not None:
            self.memory.add_overhead(-OPEN_REQUEST_BYTES)
        if pending.watchdog is not None:
            pending.watchdog.cancel()
        if not self.attempts.of_request(pending):
            self.attempts_ended(pending)
            return
        self.attempts.cancel_unwritten(pending)

    def attempts_ended(self, pending: PendingRequest) -> None:
        """Release the id of an answered request: until now a server may have been running it."""
        if not pending.has_id:
            return
        pending.has_id = False
        binding, request_id = pending.frontend_binding, pending.request.request_id
        binding.request_ids.release(request_id)
        if self.arbiter is not None:
            self.arbiter.release(binding.label, compact(request_id))

    # The deadline watchdog

    def _start_watchdog(self, pending: PendingRequest) -> None:
        """Wait for the earliest time at which the final response may be due."""
        if pending.watchdog is not None:
            pending.watchdog.cancel()
        now_ns = self.clock.now()
        due_ns = pending.request.earliest_deadline_ns(now_ns) - WATCHDOG_MARGIN_NS
        remaining_ns = max(due_ns - now_ns, 0)
        pending.watchdog = self.loop.call_later(remaining_ns / NS_PER_S, self._on_watchdog, pending)

    def _on_watchdog(self, pending: PendingRequest) -> None:
        """Give the final response, unless the client has been seen to write in the meantime."""
        if not pending.unanswered or pending.streaming is not None:
            return
        now_ns = self.clock.now()
        body_complete = pending.request.body.complete
        if body_complete or pending.request.earliest_deadline_ns(now_ns) - WATCHDOG_MARGIN_NS <= now_ns:
            if not body_complete:
                _log_due_unread(pending)
            self._time_out(pending)
        else:
            self._start_watchdog(pending)

    def _time_out(self, pending: PendingRequest) -> None:
        """Give the final response now, even if the balancer still plans attempts."""
        if not pending.unanswered or pending.streaming is not None:
            return
        self.attempts.time_out(pending)
        if pending.unanswered:
            disposition = Disposition.ABORTED if pending.may_have_run else Disposition.DECLINED
            self.finish(pending, FinalResponse(disposition, Reason.DEADLINE_EXCEEDED))
            self.dispatcher.dispatch(api.RequestCancelled(pending.id))

    def answer_all(self) -> None:
        """Give every pending request its final response now: the process is about to exit."""
        for pending in list(self.pending.values()):
            try:
                self._time_out(pending)
            except Exception:
                # The other requests still have to be answered before the process exits.
                self.dispatcher.fault_log.log(
                    "failed to answer a pending request at shutdown: the others are still answered"
                )


def _log_due_unread(pending: PendingRequest) -> None:
    body = pending.request.body
    log.info(
        "response_due_unread",
        request=format_request_id(pending.request),
        received=body.size,
        length=body.length,
    )


def _log_final_response(
    frontend_binding: FrontendBinding, request: IncomingRequest, response: FinalResponse
) -> None:
    log.debug(
        "final_response",
        frontend=frontend_binding.label,
        request=format_request_id(request),
        outcome=response.disposition.name.lower(),
        reason=response.reason.value,
    )
