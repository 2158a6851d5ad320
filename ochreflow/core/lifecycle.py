"""The one state of the process: readiness, accepting, keep-alive and the end follow from it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from .limits import Descriptors
from .log import log
from .ports import Frontend

ACCEPT_AFTER_SIGTERM_S = 0.5  # new connections still come for so long after SIGTERM
IDLE_CLOSE_DELAY_S = 1.0  # of a drain: until then, clients' next responses tell them to reconnect elsewhere
IDLE_CLOSE_INTERVAL_S = 0.1  # between two rounds of closing what has become idle
KILL_AFTER_DEADLINE_S = 0.7  # after the longest deadline: the platform kills no sooner than then
MAX_DEADLINE_S = 3.0  # what the platform counts a longer deadline as
# Before that kill:
ANNOUNCE_CLOSE_BEFORE_KILL_S = 1.6  # clients are told to reconnect, where no other process takes over
ANSWER_BEFORE_KILL_S = 0.4  # no request stays unanswered ...
STOP_BEFORE_KILL_S = 0.1  # ... and clients have had time to read their responses


class Phase(Enum):
    """What the process is about."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"  # by an operator's order; can be undone
    TERMINATING = "terminating"  # the process ends; can't be undone


class Lifecycle:
    """Owns the phase, the timers of a drain and of the end, and the future that ends the process."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        longest_deadline_s: float,
        answer_pending: Callable[[], None],
    ) -> None:
        """Begin in the phase of starting; `answer_pending` gives every pending request its final response."""
        self.loop = loop
        self.descriptors = descriptors
        self.frontends: list[Frontend] = []
        self.answer_pending = answer_pending
        self.kill_after_s = min(longest_deadline_s, MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S
        self.phase = Phase.STARTING
        self.closing_idle_connections = False  # again and again; during a drain, new requests are rejected
        self.announcing_close = False  # the end is so near that clients are better served elsewhere
        self.final_answers_given = False  # the end is so near that no request goes on or begins
        self.accepting = False
        self.stopped: asyncio.Future[None] = loop.create_future()
        self.idle_closer: asyncio.TimerHandle | None = None

    @property
    def ready(self) -> bool:
        """Whether clients may be sent here."""
        return self.phase is Phase.SERVING

    @property
    def responses_announce_close(self) -> bool:
        """Whether responses tell their clients to reconnect."""
        return self.phase is Phase.DRAINING or self.announcing_close

    @property
    def rejects_new_requests(self) -> bool:
        """Whether a drain, or the end, is so far on that a new request would hold it up.

        Guards the end against a request that comes when all others have just been answered: no timer would
        look after it any more, and it would end with the process.
        """
        return self.final_answers_given or (self.phase is Phase.DRAINING and self.closing_idle_connections)

    @property
    def connected(self) -> int:
        """Clients of all frontends."""
        return sum(frontend.connected for frontend in self.frontends)

    def serve(self) -> None:
        """Begin to serve: the listening sockets are open."""
        self.accepting = True
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING

    # An operator's drain

    def drain(self) -> bool:
        """Begin to drain; False if the process is ending anyway."""
        if self.phase is Phase.TERMINATING:
            return False
        if self.phase is not Phase.DRAINING:
            self.phase = Phase.DRAINING
            log.info("draining")
            self.idle_closer = self.loop.call_later(IDLE_CLOSE_DELAY_S, self._close_idle_connections)
        return True

    def undrain(self) -> bool:
        """Serve again; False if the process is ending."""
        if self.phase is Phase.TERMINATING:
            return False
        if self.phase is Phase.DRAINING:
            self.phase = Phase.SERVING
            self._stop_closing_idle_connections()
            log.info("drain_cancelled")
        return True

    def _close_idle_connections(self) -> None:
        """Close what is idle, again and again: a connection may have been busy until now."""
        self.closing_idle_connections = True
        for frontend in self.frontends:
            frontend.close_idle_connections()
        self.idle_closer = self.loop.call_later(IDLE_CLOSE_INTERVAL_S, self._close_idle_connections)
        self._stop_if_unused()

    def _stop_closing_idle_connections(self) -> None:
        self.closing_idle_connections = False
        if self.idle_closer is not None:
            self.idle_closer.cancel()
            self.idle_closer = None

    # Graceful shutdown

    def terminate(self) -> None:
        """Answer the pending requests and what still comes for a moment, then stop.

        Clients whose next sidecar is not back yet have only the connections that they keep: these stay open
        until the time that is left is needed for responses. Where another process listens, they move at once.
        """
        if self.phase is Phase.TERMINATING:
            return
        self.phase = Phase.TERMINATING
        self._stop_closing_idle_connections()
        log.info("terminating", clients=self.connected)
        taken_over = self.descriptors.other_processes > 0
        self.loop.call_later(ACCEPT_AFTER_SIGTERM_S, self._stop_accepting)
        if taken_over:
            self.announcing_close = True
        else:
            self._before_kill(ANNOUNCE_CLOSE_BEFORE_KILL_S, self._announce_close)
        self._before_kill(ANSWER_BEFORE_KILL_S, self._give_final_answers)
        self._before_kill(STOP_BEFORE_KILL_S, self._stop)

    def _before_kill(self, seconds: float, act: Callable[[], None]) -> None:
        self.loop.call_later(max(self.kill_after_s - seconds, 0.0), act)

    def _stop_accepting(self) -> None:
        """Close the own descriptors only: another process may go on listening on the same socket."""
        self._stop_listening()
        if self.announcing_close:
            self._close_idle_connections()

    def _announce_close(self) -> None:
        self.announcing_close = True
        if not self.accepting:
            self._close_idle_connections()

    def _give_final_answers(self) -> None:
        """Answer the pending requests; from here on no new one is accepted."""
        self.final_answers_given = True
        self.answer_pending()

    def client_disconnected(self) -> None:
        """Note that a client's connection has ended."""
        self._stop_if_unused()

    def _stop_if_unused(self) -> None:
        """Stop once nobody is connected any more: every response has been flushed."""
        if self.phase is Phase.TERMINATING and not self.accepting and not self.connected:
            self._stop()

    def _stop(self) -> None:
        # Guards a request that is read while the process ends: nobody would answer it any more.
        self._give_final_answers()
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """Answer what is pending and accept nothing more: the sockets can be closed."""
        self._stop_closing_idle_connections()
        self._stop_listening()
        self._give_final_answers()

    def _stop_listening(self) -> None:
        self.accepting = False
        for frontend in self.frontends:
            frontend.stop_accepting()
