"""One request on its way to one server, from its start to its one end.

An exchange is written at most once and never repeats itself. Whether to try again is for the decision module,
so the end of an exchange has to say exactly what is known: a request that the system never took whole can't
have run, and any other may have.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from ..core.body import Body
from ..policy.interface import Status
from .response import Response

MIN_TIMER_DELAY_S = 0.001  # seconds: a timer that is due at once would fire within the call that sets it

Done = Callable[["Exchange", Status, Response | None], None]


class Relay(Protocol):
    """Receives a response that is passed on while it comes. The end of the exchange says how it ended."""

    def begin(self, answer: Response, length: int | None) -> bool:
        """Take the head; False if nobody wants the response any more."""
        ...

    def part(self, data: bytes) -> None:
        """Take the next part of the body."""
        ...


class ServerConnection(Protocol):
    """What an exchange needs of the connection that it is written on."""

    exchange: Exchange | None

    @property
    def unwritten(self) -> bool:
        """Whether the system has not taken the last byte of the request, so that it can't have run."""
        ...

    @property
    def arrived(self) -> bool:
        """Whether the server's machine has acknowledged all of the request."""
        ...

    def discard_unsent(self) -> None:
        """Have the system discard what it still holds when the connection is closed."""
        ...

    def pause_response(self, *, paused: bool) -> None:
        """Stop reading the response for now, or read on."""
        ...

    def close(self) -> None:
        """Close at once: nothing is sent or received after this call."""
        ...


class Exchange:
    """One request to one server, and its response."""

    __slots__ = (
        "body",
        "connection",
        "done",
        "generation",
        "head",
        "idempotent",
        "loop",
        "opening",
        "paused",
        "rejected",
        "relay",
        "response_limit",
        "timer",
        "write_timeout_s",
        "write_timer",
        "written",
    )

    def __init__(  # noqa: PLR0913  # a record of these would be one more object for each attempt
        self,
        head: Callable[[], bytes],
        done: Done,
        response_limit: int,
        written: Callable[[], None] | None = None,
        body: Body | None = None,
        relay: Relay | None = None,
        write_timeout_s: Callable[[], float] | None = None,
        *,
        idempotent: bool = True,
    ) -> None:
        """Make an exchange; nothing is sent until it is given to the pool."""
        # Called as the request is written, since its head tells the time that is left. None: it has ended.
        self.head: Callable[[], bytes] | None = head
        self.done: Done | None = done
        self.response_limit = response_limit  # bytes of a response's body that are buffered
        self.written = written  # called once, when the last byte has been handed to the system
        self.body = body  # follows the head, and may still be coming
        self.relay = relay  # for a response too long to be buffered; None: every response is buffered
        self.write_timeout_s = write_timeout_s  # called as its first byte is due
        self.idempotent = idempotent  # its method is: sending it again does no harm
        self.generation = 0  # of its server when it was started
        self.rejected = False  # it must not begin any more, and its end has been scheduled
        self.write_timer: asyncio.TimerHandle | None = None  # fires when the request must have arrived
        self.paused = False  # the relay takes no more at present
        self.connection: ServerConnection | None = None  # from the first byte on
        self.opening: asyncio.Task[None] | None = None  # while a connection is being made
        self.timer: asyncio.TimerHandle | None = None
        self.loop: asyncio.AbstractEventLoop | None = None  # from its start on

    @property
    def ended(self) -> bool:
        """Whether its one end has been told."""
        return self.done is None

    @property
    def begun(self) -> bool:
        """Whether its first byte has been handed to the system."""
        return self.connection is not None

    @property
    def may_run(self) -> bool:
        """Whether its last byte has been handed to the system."""
        return self.connection is not None and not self.connection.unwritten

    def end(self, status: Status, answer: Response | None = None) -> None:
        """End it; only the first call counts."""
        done, self.done = self.done, None
        if done is None:
            return
        self.clear_timeout()
        if self.write_timer is not None:
            self.write_timer.cancel()
            self.write_timer = None
        # These refer to whoever refers to this exchange, a cycle that only the collector would free.
        self.head = self.written = self.relay = self.write_timeout_s = None
        done(self, status, answer)

    def set_timeout(self, seconds: float) -> None:
        """Give it up after so long."""
        self.clear_timeout()
        if not self.ended and self.loop is not None:
            self.timer = self.loop.call_later(max(seconds, MIN_TIMER_DELAY_S), self.give_up, Status.TIMEOUT)

    def clear_timeout(self) -> None:
        """Cancel the time-out."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def pause(self, *, paused: bool) -> None:
        """Backpressure: read the response no further until its relay can take more."""
        self.paused = paused
        if self.connection is not None and not self.ended:
            self.connection.pause_response(paused=paused)

    def limit_write_time(self, seconds: float) -> None:
        """Cut it off if the server's machine has not got all of it after so long."""
        if self.loop is not None and not self.ended and seconds < math.inf:
            self.write_timer = self.loop.call_later(seconds, self._on_write_timeout)

    def _on_write_timeout(self) -> None:
        connection = self.connection
        if connection is None or connection.arrived:
            return
        connection.discard_unsent()
        # What the system still held may have arrived all the same, with its acknowledgement on the way.
        self.give_up(Status.NOT_SENT if connection.unwritten else Status.CANCELLED)

    def give_up(self, status: Status) -> None:
        """Stop waiting. Its connection is closed first, so that no later attempt overlaps with it."""
        if self.ended:
            return
        if self.opening is not None:
            self.opening.cancel()
        connection = self.connection
        if (connection is None or connection.unwritten) and status is not Status.NOT_SENT:
            status = Status.CONNECT_FAILED  # the system never took its last byte: it can't have run
        if connection is not None:
            connection.exchange = None
            connection.close()
        self.end(status)
