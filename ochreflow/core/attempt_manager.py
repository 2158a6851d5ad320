"""Attempts of requests: whether their first byte may be sent, and how they end.

`PendingRequest` and `Attempt` are both defined here, since each refers to the other.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from typing import Protocol

from ..policy import interface as api
from ..policy.interface import Status
from ..policy.safety_rules import NO_END
from ..policy.state_records import PROVES_NOT_RUN, UNWRITTEN
from .clock import NS_PER_MS, NS_PER_S
from .dispatcher import EventDispatcher
from .frontend_binding import FrontendBinding
from .log import log
from .ports import FinalResponse, IncomingRequest, Reason, ResponseSink, UpstreamAttempt
from .stats import Disposition, Stats

ATTEMPT_MARGIN_NS = 15 * NS_PER_MS  # attempts have to end this long before the client's deadline


def format_request_id(request: IncomingRequest) -> str:
    """Return a request's id as text, for the log."""
    request_id = request.request_id
    return request_id.decode("latin-1") if isinstance(request_id, bytes) else str(request_id)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has been accepted."""

    id: int
    request: IncomingRequest
    response_sink: ResponseSink
    frontend_binding: FrontendBinding
    watchdog: asyncio.TimerHandle | None = None
    attempts: int = 0  # started so far
    may_have_run: bool = False  # an attempt has ended without proof that it did not run
    unanswered: bool = True  # the final response has not been given yet
    has_id: bool = True  # its id was neither released nor denied by another process of this sidecar
    uploading: bool = False  # the balancer counts its body as still being received
    streaming: Attempt | None = None  # the attempt whose response is being streamed to the client


class ResponsePath(Protocol):
    """Forwards a server's response to the client; see `RequestManager`."""

    def finish(self, pending: PendingRequest, response: FinalResponse) -> None:
        """Give the one final response."""
        ...

    def end_response(self, pending: PendingRequest, *, complete: bool) -> None:
        """End a response that was streamed."""
        ...

    def attempts_ended(self, pending: PendingRequest) -> None:
        """Record that an answered request has no attempt in flight any more."""
        ...


class Attempt:
    """One attempt, to which its transport reports until the attempt ends; implements `AttemptObserver`."""

    __slots__ = (
        "first_byte_permitted",
        "fully_written",
        "manager",
        "measured_from_ns",
        "number",
        "pending",
        "response_started_ns",
        "sent_ns",
        "server",
        "timeout_ns",
        "upstream_attempt",
    )

    def __init__(
        self, manager: AttemptManager, pending: PendingRequest, server: int, sent_ns: int, timeout_ns: int
    ) -> None:
        """Create the next attempt of `pending`, started at `sent_ns`; `timeout_ns` is as in `api.Send`."""
        self.manager = manager
        self.pending = pending
        self.number = pending.attempts
        self.server = server
        self.sent_ns = sent_ns  # start of the attempt; after an upload, when its last byte was written
        # Start of the duration that the balancer gets: the write of the first byte, once it is permitted. A
        # wait for a connection says nothing of how fast a server is.
        self.measured_from_ns = sent_ns
        self.timeout_ns = timeout_ns  # time limit from its start; 0: the remaining time of its request
        self.response_started_ns = 0  # when its response began to be streamed to the client
        self.upstream_attempt: UpstreamAttempt | None = None  # None: still being started, or failed to start
        self.first_byte_permitted = False  # its first byte may have been written
        self.fully_written = False  # its last byte has been written

    @property
    def has_ended(self) -> bool:
        """Whether the end of the attempt has been reported."""
        return self.manager.in_flight.get((self.pending.id, self.number)) is not self

    @property
    def may_run(self) -> bool:
        """Whether the server may have received the whole request, as far as is known before the end."""
        if self.upstream_attempt is None:
            return self.first_byte_permitted
        return self.fully_written or self.upstream_attempt.may_run

    def write_timeout_s(self) -> float:
        """See `AttemptObserver.write_timeout_s`."""
        timeout_s = 0.0 if self.has_ended else self.manager.write_timeout_s(self)
        if timeout_s > 0.0 and not self.first_byte_permitted:
            self.first_byte_permitted = True
            self.measured_from_ns = self.manager.clock.now()
        return timeout_s

    def remaining_time_ns(self) -> int:
        """See `AttemptObserver.remaining_time_ns`."""
        return self.manager.remaining_time_ns(self)

    def begin_wait(self) -> None:
        """See `AttemptObserver.begin_wait`."""
        self.manager.begin_wait(self)

    def written(self) -> None:
        """See `AttemptObserver.written`."""
        self.fully_written = True
        self.manager.stats.forwarded()
        if self.pending.uploading:
            self.manager.body_uploaded(self)

    def begin(self, head: object, length: int | None) -> bool:
        """See `AttemptObserver.begin`."""
        return self.manager.begin_response(self, head, length)

    def part(self, data: bytes) -> None:
        """See `AttemptObserver.part`."""
        self.pending.response_sink.part(self.pending.request, data)

    def ended(self, status: Status, answer: object, report: tuple[float, ...]) -> None:
        """See `AttemptObserver.ended`."""
        self.manager.end(self, status, answer, report)


class AttemptManager:
    """Owns the attempts that have not ended, including those of requests that have been answered."""

    def __init__(
        self,
        response_path: ResponsePath,
        dispatcher: EventDispatcher,
        stats: Stats,
        max_attempts: int,
    ) -> None:
        """Allow `max_attempts` for each request; forward responses through `response_path`."""
        self.response_path = response_path
        self.dispatcher = dispatcher
        self.balancer = dispatcher.balancer
        self.clock = dispatcher.clock
        self.stats = stats
        self.fault_log = dispatcher.fault_log
        self.max_attempts = max_attempts
        self.in_flight: dict[tuple[int, int], Attempt] = {}  # by pending id and attempt number

    def of_request(self, pending: PendingRequest) -> list[Attempt]:
        """Return the attempts of a request that have not ended."""
        numbers = range(pending.attempts)
        return [
            self.in_flight[pending.id, number] for number in numbers if (pending.id, number) in self.in_flight
        ]

    def may_have_run(self, pending: PendingRequest) -> bool:
        """Return whether any server may have run the request, by its ended and in-flight attempts."""
        return pending.may_have_run or any(attempt.may_run for attempt in self.of_request(pending))

    # Starting

    def start(self, pending: PendingRequest, server: int, timeout_ns: int) -> None:
        """Start an attempt at `server`, or end it at once if it can no longer be sent."""
        attempt = Attempt(self, pending, server, self.clock.now(), timeout_ns)
        pending.attempts += 1
        self.in_flight[pending.id, attempt.number] = attempt
        request = pending.request
        remaining_ns = self.remaining_time_ns(attempt)
        if pending.attempts > self.max_attempts or remaining_ns <= 0 or request.body.discarded:
            self.end(attempt, Status.NOT_SENT, None, ())
            return
        timeout_s = remaining_ns / NS_PER_S if request.body.complete else None
        try:
            attempt.upstream_attempt = pending.frontend_binding.upstream_transport.start(
                server, request, timeout_s, attempt
            )
        except Exception:
            self.fault_log.log(
                "upstream transport failed to start an attempt: it ends as not sent, unless it may have begun"
            )
            if not attempt.first_byte_permitted:
                self.end(attempt, Status.NOT_SENT, None, ())
            # Otherwise the attempt may run: its transport or the deadline watchdog ends it.

    def remaining_time_ns(self, attempt: Attempt) -> int:
        """Return the time left to an attempt now: see `AttemptObserver.remaining_time_ns`.

        The time is computed again at the write, so that a server does no work that nobody waits for: a value
        from the time of the decision is too long if connecting took a while. The client's timeout runs
        from the last byte of its body, which may have been written and wait to be read.
        """
        request, now = attempt.pending.request, self.clock.now()
        remaining_ns = request.earliest_deadline_ns(now) - now
        if request.body.complete:
            remaining_ns -= ATTEMPT_MARGIN_NS
        if attempt.timeout_ns > 0:
            return min(remaining_ns, attempt.sent_ns + attempt.timeout_ns - now)
        return remaining_ns

    def write_timeout_s(self, attempt: Attempt) -> float:
        """Decide whether an attempt's first byte may be written: see `AttemptObserver.write_timeout_s`.

        The rules are evaluated now, not when the attempt was decided on: connecting takes time, in which a
        window may end, the server may begin to drain, or the client may disconnect or time out.
        """
        pending = attempt.pending
        request, now = pending.request, self.clock.now()
        if not pending.unanswered or now >= request.earliest_deadline_ns(now) - ATTEMPT_MARGIN_NS:
            return 0.0
        if request.body.discarded:  # another attempt has streamed the body; the balancer may not know yet
            return 0.0
        if pending.response_sink.is_disconnected(request):
            return 0.0
        try:
            end_ns = self.balancer.write_by(now, pending.id, attempt.number)
        except Exception:
            # The fault must not affect the response and the connection handled in this loop iteration.
            self.fault_log.log("balancer failed to decide whether an attempt may be written: it is not sent")
            return 0.0
        return math.inf if end_ns >= NO_END else max(end_ns - now, 0) / NS_PER_S

    def begin_wait(self, attempt: Attempt) -> None:
        """Notify the balancer that an attempt waits for a connection: see `AttemptObserver.begin_wait`."""
        try:
            self.balancer.begin_wait(self.clock.now(), attempt.pending.id, attempt.number)
        except Exception:
            # The fault must not affect the event that is being handled.
            self.fault_log.log("balancer failed to record a wait: the attempt counts as in flight")

    def body_uploaded(self, attempt: Attempt) -> None:
        """Restart the time of an attempt whose body was being received: its last byte has been written."""
        pending = attempt.pending
        pending.uploading = False
        attempt.sent_ns = attempt.measured_from_ns = self.clock.now()
        self.dispatcher.dispatch(api.BodyUploaded(pending.id, pending.request.deadline_ns))

    def set_timeouts(self, pending: PendingRequest) -> None:
        """Set the timeout of attempts that were started without one, from the client's deadline."""
        remaining_ns = pending.request.deadline_ns - ATTEMPT_MARGIN_NS - self.clock.now()
        for attempt in self.of_request(pending):
            if attempt.upstream_attempt is not None and pending.streaming is not attempt:
                attempt.upstream_attempt.set_timeout(remaining_ns / NS_PER_S)

    # Responses and ends

    def begin_response(self, attempt: Attempt, head: object, length: int | None) -> bool:
        """Begin to stream a response to the client; from now on only stall timeouts apply, no deadline."""
        pending = attempt.pending
        if not pending.unanswered or pending.streaming is not None or attempt.upstream_attempt is None:
            return False
        pending.streaming = attempt
        pending.may_have_run = True
        if pending.watchdog is not None:
            pending.watchdog.cancel()
        attempt.upstream_attempt.clear_timeout()
        attempt.response_started_ns = self.clock.now()
        pending.response_sink.begin(pending.request, head, length, attempt.upstream_attempt.pause)
        duration_ns = attempt.response_started_ns - attempt.measured_from_ns
        self.dispatcher.dispatch(api.StreamStarted(pending.id, attempt.number, attempt.server, duration_ns))
        return True

    def end(self, attempt: Attempt, status: Status, answer: object, report: tuple[float, ...]) -> None:
        """End an attempt: forward a successful response to the client, and notify the balancer of any end."""
        if attempt.has_ended:
            return  # only the first end counts, whatever a faulty transport reports later
        pending = attempt.pending
        del self.in_flight[pending.id, attempt.number]
        if attempt.fully_written and status in UNWRITTEN:
            status = Status.RESET  # `written` has been reported, so the server may have run the request
        if status not in PROVES_NOT_RUN:
            pending.may_have_run = True
        if log.debugging:
            _log_end(attempt, status)
        if status is Status.OK and pending.unanswered and pending.streaming is None:
            self.response_path.finish(pending, FinalResponse(Disposition.SUCCEEDED, Reason.ANSWERED, answer))
        if pending.streaming is attempt and pending.unanswered:
            self.response_path.end_response(pending, complete=status is Status.OK)
        duration_ns = (attempt.response_started_ns or self.clock.now()) - attempt.measured_from_ns
        final = not pending.unanswered
        self.dispatcher.dispatch(
            api.Outcome(pending.id, attempt.number, attempt.server, status, duration_ns, final, report)
        )
        if pending.has_id and not pending.unanswered and not self.of_request(pending):
            self.response_path.attempts_ended(pending)

    def give_up(self, attempt: Attempt, status: Status) -> None:
        """End an attempt within this call, even if its transport fails to."""
        if attempt.upstream_attempt is not None:
            try:
                attempt.upstream_attempt.give_up(status)
            except Exception:
                self.fault_log.log("upstream transport failed to give up an attempt: it counts as ended")
        if not attempt.has_ended:  # its transport failed; an attempt that may have begun may have run
            end = status if attempt.first_byte_permitted else Status.NOT_SENT
            self.end(attempt, end, None, ())

    def cancel(self, pending_id: int, number: int) -> None:
        """Cancel an attempt, if it is still in flight."""
        attempt = self.in_flight.get((pending_id, number))
        if attempt is not None and attempt.upstream_attempt is not None:
            self.give_up(attempt, Status.CANCELLED)

    def time_out(self, pending: PendingRequest) -> None:
        """Give up all attempts of a request that is answered at its deadline or at shutdown."""
        for attempt in self.of_request(pending):
            self.give_up(attempt, Status.TIMEOUT)

    def cancel_unwritten(self, pending: PendingRequest) -> None:
        """Cancel the attempts of a request that are still waiting for a connection.

        The body is discarded with the final response, so a server would get the request without its body.
        """
        for attempt in self.of_request(pending):
            if attempt.upstream_attempt is not None and not attempt.upstream_attempt.begun:
                self.give_up(attempt, Status.CANCELLED)

    def abandon(self, pending: PendingRequest) -> None:
        """Cancel the attempts of a request whose client or body is lost, unless they may already run."""
        for attempt in self.of_request(pending):
            upstream_attempt = attempt.upstream_attempt
            if upstream_attempt is None:
                continue
            # A partly written request is truncated, hence the server can't run it.
            if not upstream_attempt.may_run or pending.streaming is attempt:
                self.give_up(attempt, Status.CANCELLED)


def _log_end(attempt: Attempt, status: Status) -> None:
    log.debug(
        "attempt",
        frontend=attempt.pending.frontend_binding.label,
        request=format_request_id(attempt.pending.request),
        attempt=attempt.number,
        server=attempt.server,
        status=status.name.lower(),
    )
