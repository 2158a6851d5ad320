"""The lifecycle phase of the process, which determines readiness, accepting, keep-alive and shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from .limits import Descriptors
from .log import log
from .ports import Frontend

ACCEPT_AFTER_SIGTERM_S = 0.5  # new connections may still arrive for this time after SIGTERM
# Delay from the start of a drain, during which responses tell clients to reconnect elsewhere.
IDLE_CLOSE_DELAY_S = 1.0
IDLE_CLOSE_INTERVAL_S = 0.1  # time between two rounds of closing idle connections
# After SIGTERM, the platform waits for the longest deadline plus at least this time before it kills the
# process.
KILL_AFTER_DEADLINE_S = 0.7
MAX_DEADLINE_S = 3.0  # a longer deadline delays the kill by this time only
# The steps of the shutdown, in seconds before the earliest possible kill.
ANNOUNCE_CLOSE_BEFORE_KILL_S = 1.6  # if no other process takes over, responses announce the close
ANSWER_BEFORE_KILL_S = 0.4  # pending requests get their final responses
STOP_BEFORE_KILL_S = 0.1  # the process stops; clients have had time to read their responses


class Phase(Enum):
    """The phases of the process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"  # requested by an operator; can be cancelled
    TERMINATING = "terminating"  # shutting down; can't be cancelled


class Lifecycle:
    """Owns the phase, the timers of a drain and of the shutdown, and the future that ends the process."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        longest_deadline_s: float,
        answer_pending: Callable[[], None],
    ) -> None:
        """Begin in phase STARTING; `answer_pending` gives every pending request its final response."""
        self.loop = loop
        self.descriptors = descriptors
        self.frontends: list[Frontend] = []
        self.answer_pending = answer_pending
        self.kill_after_s = min(longest_deadline_s, MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S
        self.phase = Phase.STARTING
        # Whether idle connections are closed periodically; during a drain, new requests are rejected then.
        self.closing_idle_connections = False
        self.announcing_close = False  # shutdown is near: clients should reconnect elsewhere
        self.final_answers_given = False  # all pending requests are answered, new ones are rejected
        self.accepting = False
        self.stopped: asyncio.Future[None] = loop.create_future()
        self.idle_closer: asyncio.TimerHandle | None = None

    @property
    def ready(self) -> bool:
        """Whether this sidecar is ready for new clients."""
        return self.phase is Phase.SERVING

    @property
    def responses_announce_close(self) -> bool:
        """Whether responses announce that their connection will be closed."""
        return self.phase is Phase.DRAINING or self.announcing_close

    @property
    def rejects_new_requests(self) -> bool:
        """Whether a drain or the shutdown has advanced so far that a new request would delay it.

        A request that arrives after the final responses at shutdown has no timer that would answer it: it
        would be lost with the process.
        """
        return self.final_answers_given or (self.phase is Phase.DRAINING and self.closing_idle_connections)

    @property
    def connected(self) -> int:
        """Number of connected clients of all frontends."""
        return sum(frontend.connected for frontend in self.frontends)

    def serve(self) -> None:
        """Begin to serve, once the listening sockets are open."""
        self.accepting = True
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING

    # An operator's drain

    def drain(self) -> bool:
        """Begin to drain; return False if the process is already terminating."""
        if self.phase is Phase.TERMINATING:
            return False
        if self.phase is not Phase.DRAINING:
            self.phase = Phase.DRAINING
            log.info("draining")
            self.idle_closer = self.loop.call_later(IDLE_CLOSE_DELAY_S, self._close_idle_connections)
        return True

    def undrain(self) -> bool:
        """Cancel a drain; return False if the process is terminating."""
        if self.phase is Phase.TERMINATING:
            return False
        if self.phase is Phase.DRAINING:
            self.phase = Phase.SERVING
            self._stop_closing_idle_connections()
            log.info("drain_cancelled")
        return True

    def _close_idle_connections(self) -> None:
        """Close idle connections, and repeat: connections that are busy now may become idle later."""
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
        """Answer pending requests, and those that still arrive for a short time, then stop.

        If no other process of this sidecar listens yet, clients have only their open connections: these are
        kept until the remaining time is needed for responses. If another process does, clients reconnect at
        once.
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
            self._schedule_before_kill(ANNOUNCE_CLOSE_BEFORE_KILL_S, self._announce_close)
        self._schedule_before_kill(ANSWER_BEFORE_KILL_S, self._give_final_answers)
        self._schedule_before_kill(STOP_BEFORE_KILL_S, self._stop)

    def _schedule_before_kill(self, seconds: float, callback: Callable[[], None]) -> None:
        self.loop.call_later(max(self.kill_after_s - seconds, 0.0), callback)

    def _stop_accepting(self) -> None:
        """Close only this process's descriptors: another process may still listen on the same sockets."""
        self._stop_listening()
        if self.announcing_close:
            self._close_idle_connections()

    def _announce_close(self) -> None:
        self.announcing_close = True
        if not self.accepting:
            self._close_idle_connections()

    def _give_final_answers(self) -> None:
        """Answer the pending requests; from now on no new request is accepted."""
        self.final_answers_given = True
        self.answer_pending()

    def client_disconnected(self) -> None:
        """Stop the process if the last client has disconnected during the shutdown."""
        self._stop_if_unused()

    def _stop_if_unused(self) -> None:
        """Stop once no client is connected: then every response has been flushed."""
        if self.phase is Phase.TERMINATING and not self.accepting and not self.connected:
            self._stop()

    def _stop(self) -> None:
        # A request that was read in the meantime would otherwise get no response.
        self._give_final_answers()
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """Answer pending requests and stop accepting, so that the sockets can be closed."""
        self._stop_closing_idle_connections()
        self._stop_listening()
        self._give_final_answers()

    def _stop_listening(self) -> None:
        self.accepting = False
        for frontend in self.frontends:
            frontend.stop_accepting()
