"""The client of discovery: long polls for changes of the endpoint list, and requests for the complete list.

Discovery holds a long poll (`?after=VERSION&wait_ms=N`) until there is a change. `timeouts` defines when a
poll without an answer counts as stalled; a request for the complete list (a resync) is then sent in parallel.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from ..core.call_failures import CONNECT_FAILED, CONNECTION_REFUSED, NO_ANSWER, TIMEOUT
from ..core.clock import NS_PER_S
from ..core.endpoints import EndpointIds, EndpointUpdate
from ..core.log import log
from ..core.ports import Address
from ..policy.interface import PollFailure
from .answer_order import AnswerOrder
from .endpoint_list import parse_endpoint_update
from .stall_timer import StallTimer
from .timeouts import NOTIFIED_AFTER_S, LongPollTimeouts

if TYPE_CHECKING:
    from .transport import AnswerHandler, DiscoveryTransport

COMPLETE_LIST_PATH = "/api/targets"
# Longest time of a call, added to a poll's wait: discovery processes its requests one at a time, and answers
# may arrive in pieces. Another call is made long before that, but a late answer is still applied.
ANSWER_TIMEOUT_S = 30.0
MS_PER_S = 1000
MIN_POLL_INTERVAL_S = 0.1  # least time between polls that are answered immediately without changes
FAILURE_OF_REASON = {
    CONNECTION_REFUSED: PollFailure.REFUSED,
    CONNECT_FAILED: PollFailure.TIMED_OUT,
    TIMEOUT: PollFailure.TIMED_OUT,
    NO_ANSWER: PollFailure.TIMED_OUT,
}

FailureHandler = Callable[[PollFailure, int | None], None]
"""Called with the kind of a failure, and the time in ns in which changes missed before count as notified."""

UpdateHandler = Callable[[EndpointUpdate | None, str], None]
"""Called with an update, or with None and the reason of the failure."""


class DiscoveryClient:
    """Watches and fetches the endpoint list on request.

    A failure is passed on as its kind to `on_failure`; without that, as an update of None.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        create_transport: Callable[[Address], DiscoveryTransport],
        address: Address,
        ids: EndpointIds,
        version: int,
        on_update: Callable[[EndpointUpdate | None], None],
        *,
        on_relocated: Callable[[], None],
        pushed: bool,
        timeouts: LongPollTimeouts,
        on_failure: FailureHandler | None = None,
    ) -> None:
        """Open a transport to `address`; nothing is sent before `watch` or `fetch`.

        `version` is the version of the list that is already known. `pushed` means that discovery is an agent
        on the same machine that pushes lists and has this client only.
        """
        self.loop = loop
        self.timeouts = timeouts
        self.create_transport = create_transport
        self.ids = ids
        self.answer_order = AnswerOrder(version)
        self.on_update = on_update
        self.on_failure = on_failure
        self.on_relocated = on_relocated  # called after a switch to another address, which is to be polled
        self.pushed = pushed
        self.watching = False
        self.resync_pending = False  # whether a poll has stalled; a complete list is requested then
        # The answer to a poll of an earlier generation is still applied, but no poll follows it.
        self.watch_generation = 0
        self.stall_timer = StallTimer(loop)  # runs while the latest poll is unanswered
        self.wait_ended_at: float | None = None  # end of the wait of a long poll that has stalled, in seconds
        self.polling_complete = False  # whether the latest poll asks for a complete list
        self.polled_at = 0.0  # time of the latest poll, on the loop's clock, in seconds
        self.requested_at = loop.time()  # time of the latest call, on the loop's clock, in seconds
        self.failures = 0  # calls that have failed since the last answer
        self.answered_at = loop.time()  # time of the last answer, on the loop's clock, in seconds
        self.closed = False
        self.address = address
        self.transport = self._open_transport()
        self.latest_handler: AnswerHandler | None = None  # of the latest call

    def _open_transport(self) -> DiscoveryTransport:
        transport = self.create_transport(self.address)
        transport.on_answer_stalled = self._on_answer_stalled
        return transport

    @property
    def version(self) -> int | None:
        """The version of the known endpoint list; None while a complete list is needed first."""
        return self.answer_order.version

    def switch_address(self, address: Address, known: EndpointUpdate | None = None) -> None:
        """Switch to another discovery at once, and request a complete list from it first.

        The versions of the new discovery may start again, and answers from the previous address are ignored.
        Only if its list is `known` from another process, changes of that one are requested.
        The balancer decides when to poll the new address, since all sidecars switch at once; a local agent is
        polled immediately.
        """
        if self.closed or address == self.address:
            return
        log.info("discovery_address_changed", host=address[0], port=address[1])
        old_transport, self.address = self.transport, address
        self.transport = self._open_transport()
        old_transport.close()
        self.wait_ended_at = None
        self.answer_order.require_complete_list()
        if known is not None:
            self.answer_order.accept(known)
        self.watch(on=False)
        if self.pushed:
            self.watch(on=True)
        else:
            self.on_relocated()

    def require_complete_list(self) -> None:
        """Request a complete list first, since the known one is of another discovery."""
        self.answer_order.require_complete_list()

    def set_version(self, known: EndpointUpdate) -> None:
        """Go on from the version of a list of this discovery that another process has received."""
        self.answer_order.accept(known)

    def watch(self, *, on: bool) -> None:
        """Start or stop long polling; do nothing if `on` is the current state."""
        if on == self.watching:
            return
        self.watching = on
        self._start_generation(resync=False)

    def fetch(self) -> None:
        """Request the complete list once."""
        self._request(COMPLETE_LIST_PATH, ANSWER_TIMEOUT_S, self._on_fetch_answer)

    def close(self) -> None:
        """Stop polling and close the connections; late answers are ignored."""
        self.closed = True
        self.watch(on=False)
        self.transport.close()

    # Long polls

    def _start_generation(self, *, resync: bool) -> None:
        self.watch_generation += 1
        self.resync_pending = resync
        self.stall_timer.stop()
        if self.watching:
            self._next_poll(self.watch_generation)

    def _next_poll(self, generation: int) -> None:
        if generation != self.watch_generation:
            return
        self.polled_at = self.loop.time()
        complete = self.polling_complete = self.resync_pending or self.version is None
        target, wait_s = COMPLETE_LIST_PATH, 0.0
        if not complete:
            target += f"?after={self.version}&wait_ms={self.timeouts.wait_ms}"
            wait_s, stall_s = self.timeouts.wait_ms / MS_PER_S, self.timeouts.poll_stall_s
        elif self.resync_pending:
            stall_s = self.timeouts.resync_stall_s
        else:
            stall_s = self.timeouts.complete_list_stall_s
        log.debug("discovery_polled", target=target)
        self.stall_timer.start(wait_s + stall_s, partial(self._on_stall, generation, complete=complete))
        self._request(target, wait_s + ANSWER_TIMEOUT_S, partial(self._on_poll_answer, generation))

    def _on_stall(self, generation: int, *, complete: bool) -> None:
        """Stop waiting for a poll that was not answered in time; a later answer is still applied."""
        if generation != self.watch_generation:
            return
        if not complete or self.resync_pending:
            log.info("discovery_poll_overdue", version=self.version)
        if not complete:
            self.wait_ended_at = min(self.polled_at + self.timeouts.wait_ms / MS_PER_S, self.loop.time())
            self._start_generation(resync=True)
            return
        resync_stalled = self.resync_pending
        self._on_failure(NO_ANSWER)
        if resync_stalled:
            # After this failure, the balancer polls again only after a delay, which may be too late to notice
            # a drain. One more request sent now can be answered in the rest of the time.
            self._request(COMPLETE_LIST_PATH, ANSWER_TIMEOUT_S, partial(self._on_poll_answer, generation))

    def _on_answer_stalled(self, handler: AnswerHandler) -> None:
        """Do not wait alone for an answer that has begun and does not go on; its end is still applied."""
        if self.watching and handler is self.latest_handler and self.stall_timer.running:
            self.stall_timer.stop()
            self._on_stall(self.watch_generation, complete=self.polling_complete)

    def _on_poll_answer(self, generation: int, update: EndpointUpdate | None, reason: str) -> None:
        if generation != self.watch_generation:
            if update is not None:
                self._accept_late(update)
            return
        self.stall_timer.stop()
        if update is None:
            self._on_failure(reason)
            return
        self._log_result(update, reason)
        self.resync_pending = False
        try:
            self._accept(update)
        finally:
            self._schedule_next_poll(generation, update)

    def _schedule_next_poll(self, generation: int, update: EndpointUpdate) -> None:
        """Poll again: at once after changes, otherwise `MIN_POLL_INTERVAL_S` after the last poll or later.

        This avoids a tight loop if an agent answers at once; the protocol allows 200 ms between two polls.
        """
        pause_s = 0.0 if update.entries else MIN_POLL_INTERVAL_S - (self.loop.time() - self.polled_at)
        if pause_s > 0.0:
            self.loop.call_later(pause_s, self._next_poll, generation)
        else:
            self._next_poll(generation)

    def _accept_late(self, update: EndpointUpdate) -> None:
        """Apply a late answer to a stalled poll, since discovery counts this sidecar as notified."""
        complete_requested = self.version is None
        try:
            self._accept(update)
        finally:
            # From this update on, the balancer relies on a running watch.
            if self.watching and self.polling_complete and complete_requested:
                self._start_generation(resync=False)
            else:
                self.watch(on=True)

    # Requests and their answers

    def _request(self, target: str, timeout_s: float, on_answer: UpdateHandler) -> None:
        self.requested_at = self.loop.time()
        transport, accepted_before = self.transport, self.answer_order.answers_accepted

        def on_body(body: bytes | None, reason: str) -> None:
            if transport is not self.transport or self.closed:
                return  # the answer is from a previous address, or arrived after `close`
            update = None
            if body is not None:
                try:
                    parsed = parse_endpoint_update(json.loads(body), self.ids)
                    update = self.answer_order.check(parsed, accepted_before)
                except (ValueError, RecursionError) as error:
                    reason = str(error)
            on_answer(update, reason)

        self.latest_handler = on_body
        transport.get(target, timeout_s, on_body)

    def _on_fetch_answer(self, update: EndpointUpdate | None, reason: str) -> None:
        self._log_result(update, reason)
        if update is None:
            self._report_failure(reason)
        else:
            self._accept(update)

    def _on_failure(self, reason: str) -> None:
        self._log_result(None, reason)
        self.watch(on=False)
        if self.pushed:  # for a pushing agent, the balancer does not schedule another poll
            self.loop.call_later(self.timeouts.agent_retry_s, partial(self.watch, on=True))
        self._report_failure(reason)

    def _report_failure(self, reason: str) -> None:
        if self.on_failure is None:
            self.on_update(None)
        else:
            failure = FAILURE_OF_REASON.get(reason, PollFailure.REJECTED)
            self.on_failure(failure, self._missed_changes_notified_ns())

    def _missed_changes_notified_ns(self) -> int | None:
        """Return the time in which changes missed by a stalled poll count as notified; None without one."""
        if self.wait_ended_at is None:
            return None
        left_s = self.wait_ended_at + NOTIFIED_AFTER_S - self.loop.time()
        self.wait_ended_at = None
        return max(int(left_s * NS_PER_S), 0)

    def _accept(self, update: EndpointUpdate) -> None:
        self.wait_ended_at = None
        self.answer_order.accept(update)
        self.on_update(update)

    def _log_result(self, update: EndpointUpdate | None, reason: str) -> None:
        """Log each failure, and the recovery with the number of failures before it."""
        now = self.loop.time()
        if update is not None:
            if self.failures:
                outage_s = round(now - self.answered_at, 3)
                log.info("discovery_recovered", failures=self.failures, outage_s=outage_s)
            self.failures, self.answered_at = 0, now
            return
        self.failures += 1
        after_s = round(now - self.requested_at, 3)
        if self.failures == 1:
            log.warning("discovery_failed", reason=reason, after_s=after_s)
        else:
            log.info("discovery_failed_again", reason=reason, after_s=after_s, failures=self.failures)
