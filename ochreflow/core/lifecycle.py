"""The one state of the process: what readiness, accepting, keep-alive and the end follow from."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from .limits import Descriptors
from .log import log
from .ports import Frontend

ACCEPT_AFTER_SIGTERM_S = 0.5  # seconds for which new connections still come after SIGTERM
IDLE_CLOSE_DELAY_S = 1.0  # seconds of a drain in which clients' next answers tell them to leave by themselves
IDLE_CLOSE_INTERVAL_S = 0.1  # seconds between looks for connections that have become idle since
KILL_AFTER_DEADLINE_S = 0.7  # seconds after the longest deadline at which the platform kills at the soonest
MAX_DEADLINE_S = 3.0  # seconds that the platform counts a longer deadline as
ANNOUNCE_CLOSE_BEFORE_KILL_S = (
    1.6  # seconds before that at which clients are told to leave, where nobody takes over
)
ANSWER_BEFORE_KILL_S = 0.4  # seconds before that at which nothing held goes unanswered any more ...
STOP_BEFORE_KILL_S = 0.1  # ... and at which clients have had time to read their answers


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"  # emptied by an operator; can be undone
    TERMINATING = "terminating"  # the process ends; can't be undone


class Lifecycle:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        longest_deadline_s: float,
        answer_pending: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.descriptors = descriptors
        self.frontends: list[Frontend] = []
        self.answer_pending = answer_pending
        self.kill_after_s = min(longest_deadline_s, MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S
        self.phase = Phase.STARTING
        self.closing_idle_connections = (
            False  # idle connections are closed, and what still comes is turned away
        )
        self.announcing_close = False  # the end is so near that clients do better elsewhere
        self.final_answers_given = (
            False  # the end is so near that nothing held goes on, and nothing new begins
        )
        self.accepting = False
        self.stopped: asyncio.Future[None] = loop.create_future()
        self.idle_closer: asyncio.TimerHandle | None = None

    @property
    def ready(self) -> bool:
        """Whether clients may be sent here."""
        return self.phase is Phase.SERVING

    @property
    def responses_announce_close(self) -> bool:
        """Whether answers tell their clients to come back on another connection."""
        return self.phase is Phase.DRAINING or self.announcing_close

    @property
    def rejects_new_requests(self) -> bool:
        """Whether a drain, or the end, is so far on that a new request would hold it up.

        Guards the end against a request that comes when all that was held has just been answered: nobody
        would look after it any more, and it would end with the process.
        """
        return self.final_answers_given or (self.phase is Phase.DRAINING and self.closing_idle_connections)

    @property
    def connected(self) -> int:
        """Clients of all fronts."""
        return sum(frontend.connected for frontend in self.frontends)

    def serve(self) -> None:
        """The listening sockets are open."""
        self.accepting = True
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING

    # An operator's drain

    def drain(self) -> bool:
        """Begin to empty the sidecar; False if it is ending anyway."""
        if self.phase is Phase.TERMINATING:
            return False
        if self.phase is not Phase.DRAINING:
            self.phase = Phase.DRAINING
            log.info("draining")
            self.idle_closer = self.loop.call_later(IDLE_CLOSE_DELAY_S, self._close_idle_connections)
        return True

    def undrain(self) -> bool:
        """Go back to work; False if the process is ending."""
        if self.phase is Phase.TERMINATING:
            return False
        if self.phase is Phase.DRAINING:
            self.phase = Phase.SERVING
            self._stop_closing_idle_connections()
            log.info("undrained")
        return True

    def _close_idle_connections(self) -> None:
        """Close what stands idle, again and again: a connection may have been busy until now."""
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

    # The planned end

    def terminate(self) -> None:
        """Answer what is held and what still comes for a moment, then stop.

        Clients whose next sidecar is not back yet have only the connections that they hold: these stay
        until the time that is left is needed for answers. Where another process listens, they move at once.
        """
        if self.phase is Phase.TERMINATING:
            return
        self.phase = Phase.TERMINATING
        self._stop_closing_idle_connections()
        log.info("terminating", clients=self.connected)
        taken_over = self.descriptors.others > 0
        self.loop.call_later(ACCEPT_AFTER_SIGTERM_S, self._stop_accepting)
        if taken_over:
            self.announcing_close = True
        else:
            self.loop.call_later(
                max(self.kill_after_s - ANNOUNCE_CLOSE_BEFORE_KILL_S, 0.0), self._announce_close
            )
        self.loop.call_later(max(self.kill_after_s - ANSWER_BEFORE_KILL_S, 0.0), self._give_final_answers)
        self.loop.call_later(max(self.kill_after_s - STOP_BEFORE_KILL_S, 0.0), self._stop)

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
        """Answer what is held; from here on nothing new is taken."""
        self.final_answers_given = True
        self.answer_pending()

    def client_disconnected(self) -> None:
        self._stop_if_unused()

    def _stop_if_unused(self) -> None:
        """The end has come when nobody is connected any more: every answer has been flushed."""
        if self.phase is Phase.TERMINATING and not self.accepting and not self.connected:
            self._stop()

    def _stop(self) -> None:
        # Guards a request that is read while the process ends: nobody would answer it any more.
        self._give_final_answers()
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """Nothing is owed or taken any more: the sockets can be closed."""
        self._stop_closing_idle_connections()
        self._stop_listening()
        self._give_final_answers()

    def _stop_listening(self) -> None:
        self.accepting = False
        for frontend in self.frontends:
            frontend.stop_accepting()
