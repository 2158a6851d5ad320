"""The one state of the process: what readiness, accepting, keep-alive and the end follow from."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from .limits import Descriptors
from .log import log
from .ports import Frontend

ACCEPT_AFTER_TERM = 0.5  # seconds for which new connections still come after SIGTERM
EMPTY_AFTER = 1.0  # seconds of a drain in which clients' next answers tell them to leave by themselves
EMPTY_EVERY = 0.1  # seconds between looks for connections that have become idle since
KILL_AFTER_DEADLINE = 0.7  # seconds after the longest deadline at which the platform kills at the soonest
DEADLINE_MOST = 3.0  # seconds that the platform counts a longer deadline as
LEAVE_BEFORE_KILL = 1.6  # seconds before that at which clients are told to leave, where nobody takes over
ANSWER_BEFORE_KILL = 0.4  # seconds before that at which nothing held goes unanswered any more ...
STOP_BEFORE_KILL = 0.1  # ... and at which clients have had time to read their answers


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
        longest_deadline: float,
        answer_all: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.descriptors = descriptors
        self.frontends: list[Frontend] = []
        self.answer_all = answer_all
        self.kill_after = min(longest_deadline, DEADLINE_MOST) + KILL_AFTER_DEADLINE
        self.phase = Phase.STARTING
        self.emptying = False  # idle connections are closed, and what still comes is turned away
        self.sending_away = False  # the end is so near that clients do better elsewhere
        self.answered = False  # the end is so near that nothing held goes on, and nothing new begins
        self.accepting = False
        self.stopped: asyncio.Future[None] = loop.create_future()
        self.emptier: asyncio.TimerHandle | None = None

    @property
    def ready(self) -> bool:
        """Whether clients may be sent here."""
        return self.phase is Phase.SERVING

    @property
    def leaving(self) -> bool:
        """Whether answers tell their clients to come back on another connection."""
        return self.phase is Phase.DRAINING or self.sending_away

    @property
    def turns_away(self) -> bool:
        """Whether a drain, or the end, is so far on that a new request would hold it up.

        Guards the end against a request that comes when all that was held has just been answered: nobody
        would look after it any more, and it would end with the process.
        """
        return self.answered or (self.phase is Phase.DRAINING and self.emptying)

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

    def fail(self) -> bool:
        """Begin to empty the sidecar; False if it is ending anyway."""
        if self.phase is Phase.TERMINATING:
            return False
        if self.phase is not Phase.DRAINING:
            self.phase = Phase.DRAINING
            log.info("draining")
            self.emptier = self.loop.call_later(EMPTY_AFTER, self._empty)
        return True

    def ok(self) -> bool:
        """Go back to work; False if the process is ending."""
        if self.phase is Phase.TERMINATING:
            return False
        if self.phase is Phase.DRAINING:
            self.phase = Phase.SERVING
            self._stop_emptying()
            log.info("undrained")
        return True

    def _empty(self) -> None:
        """Close what stands idle, again and again: a connection may have been busy until now."""
        self.emptying = True
        for frontend in self.frontends:
            frontend.close_idle_connections()
        self.emptier = self.loop.call_later(EMPTY_EVERY, self._empty)
        self._end_if_done()

    def _stop_emptying(self) -> None:
        self.emptying = False
        if self.emptier is not None:
            self.emptier.cancel()
            self.emptier = None

    # The planned end

    def terminate(self) -> None:
        """Answer what is held and what still comes for a moment, then stop.

        Clients whose next sidecar is not back yet have only the connections that they hold: these stay
        until the time that is left is needed for answers. Where another process listens, they move at once.
        """
        if self.phase is Phase.TERMINATING:
            return
        self.phase = Phase.TERMINATING
        self._stop_emptying()
        log.info("terminating", clients=self.connected)
        taken_over = self.descriptors.others > 0
        self.loop.call_later(ACCEPT_AFTER_TERM, self._stop_accepting)
        if taken_over:
            self.sending_away = True
        else:
            self.loop.call_later(max(self.kill_after - LEAVE_BEFORE_KILL, 0.0), self._send_away)
        self.loop.call_later(max(self.kill_after - ANSWER_BEFORE_KILL, 0.0), self._answer_all)
        self.loop.call_later(max(self.kill_after - STOP_BEFORE_KILL, 0.0), self._stop)

    def _stop_accepting(self) -> None:
        """Close the own descriptors only: another process may go on listening on the same socket."""
        self._close_doors()
        if self.sending_away:
            self._empty()

    def _send_away(self) -> None:
        self.sending_away = True
        if not self.accepting:
            self._empty()

    def _answer_all(self) -> None:
        """Answer what is held; from here on nothing new is taken."""
        self.answered = True
        self.answer_all()

    def client_left(self) -> None:
        self._end_if_done()

    def _end_if_done(self) -> None:
        """The end has come when nobody is connected any more: every answer has been flushed."""
        if self.phase is Phase.TERMINATING and not self.accepting and not self.connected:
            self._stop()

    def _stop(self) -> None:
        # Guards a request that is read while the process ends: nobody would answer it any more.
        self._answer_all()
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """Nothing is owed or taken any more: the sockets can be closed."""
        self._stop_emptying()
        self._close_doors()
        self._answer_all()

    def _close_doors(self) -> None:
        self.accepting = False
        for frontend in self.frontends:
            frontend.stop_accepting()
