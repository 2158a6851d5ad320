"""One request to one server, from its start to its end.

An exchange is written at most once and never retried. The decision module decides about retries, so the
status of an exchange must be exact: a request cannot have run if the kernel never accepted its last byte;
any other request may have run.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from ..core.body import Body
from ..policy.interface import Status
from .response import Response

MIN_TIMER_DELAY_S = 0.001  # a timer without delay would fire within the call that sets it

Done = Callable[["Exchange", Status, Response | None], None]


class Relay(Protocol):
    """Receives a response that is forwarded while it arrives; the exchange reports how the response ended."""

    def begin(self, head: Response, length: int | None) -> bool:
        """Receive the head; return False if no client waits for the response any more."""
        ...

    def part(self, data: bytes) -> None:
        """Receive the next part of the body."""
        ...


class ServerConnection(Protocol):
    """The connection of an exchange, as far as the exchange uses it."""

    exchange: Exchange | None

    @property
    def unwritten(self) -> bool:
        """Whether part of the request is yet to be passed to the kernel; the request cannot have run then."""
        ...

    @property
    def responding(self) -> bool:
        """Whether part of the response has arrived."""
        ...

    @property
    def silent_s(self) -> float:
        """Time since the latest part of the response arrived; 0 before the first one."""
        ...

    @property
    def arrived(self) -> bool:
        """Whether the server's host has acknowledged the whole request."""
        ...

    def discard_unsent(self) -> None:
        """Make the kernel discard unsent bytes when the connection is closed."""
        ...

    def pause_response(self, *, paused: bool) -> None:
        """Pause or resume reading the response."""
        ...

    def close(self) -> None:
        """Close at once: nothing is sent or received after this call."""
        ...


class Exchange:
    """One request to one server, and its response."""

    __slots__ = (
        "begin_wait",
        "body",
        "connection",
        "done",
        "generation",
        "head",
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
        begin_wait: Callable[[], None] | None = None,
    ) -> None:
        """Create an exchange; nothing is sent before `Upstreams.start`."""
        # Called when the request is written, since the head states the remaining time; None after the end.
        self.head: Callable[[], bytes] | None = head
        self.done: Done | None = done
        self.response_limit = response_limit  # bytes of a response's body that are buffered
        self.written = written  # called once, when the kernel has accepted the request's last byte
        self.body = body  # sent after the head, and may be incomplete
        self.relay = relay  # gets a response too long to be buffered; None: every response is buffered
        self.write_timeout_s = write_timeout_s  # called just before the first byte is written
        self.begin_wait = begin_wait  # called if the exchange waits until a connection in use is free
        self.generation = 0  # generation of the target when the exchange was started
        self.rejected = False  # whether it must not be sent any more, and its end is scheduled
        self.write_timer: asyncio.TimerHandle | None = None  # fires when the request must be acknowledged
        self.paused = False  # whether the relay accepts no more data at present
        self.connection: ServerConnection | None = None  # set when the first byte is written
        self.opening: asyncio.Task[None] | None = None  # opens a connection for the exchange
        self.timer: asyncio.TimerHandle | None = None
        self.loop: asyncio.AbstractEventLoop | None = None  # set by `Upstreams.start`

    @property
    def ended(self) -> bool:
        """Whether the exchange has ended and its result has been reported."""
        return self.done is None

    @property
    def begun(self) -> bool:
        """Whether the kernel has accepted the first byte of the request."""
        return self.connection is not None

    @property
    def responding(self) -> bool:
        """Whether part of the response has arrived."""
        return self.connection is not None and self.connection.responding

    @property
    def silent_s(self) -> float:
        """Time since the latest part of the response arrived; 0 before the first one."""
        return self.connection.silent_s if self.connection is not None else 0.0

    @property
    def may_run(self) -> bool:
        """Whether the kernel has accepted the last byte of the request."""
        return self.connection is not None and not self.connection.unwritten

    def end(self, status: Status, response: Response | None = None) -> None:
        """End the exchange and report its result; only the first call has an effect."""
        done, self.done = self.done, None
        if done is None:
            return
        self.clear_timeout()
        if self.write_timer is not None:
            self.write_timer.cancel()
            self.write_timer = None
        # These refer back to the exchange, a cycle that only the garbage collector would free.
        self.head = self.written = self.relay = self.write_timeout_s = self.begin_wait = None
        done(self, status, response)

    def set_timeout(self, seconds: float) -> None:
        """Give up the exchange after `seconds`, in place of any earlier time-out."""
        self.clear_timeout()
        if not self.ended and self.loop is not None:
            self.timer = self.loop.call_later(max(seconds, MIN_TIMER_DELAY_S), self.give_up, Status.TIMEOUT)

    def clear_timeout(self) -> None:
        """Cancel the time-out."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def pause(self, *, paused: bool) -> None:
        """Pause or resume reading the response, as backpressure from its relay."""
        self.paused = paused
        if self.connection is not None and not self.ended:
            self.connection.pause_response(paused=paused)

    def set_write_timeout(self, seconds: float) -> None:
        """Give up the exchange if the server's host has not acknowledged the request after `seconds`."""
        if self.loop is not None and not self.ended and seconds < math.inf:
            self.write_timer = self.loop.call_later(seconds, self._on_write_timeout)

    def _on_write_timeout(self) -> None:
        connection = self.connection
        if connection is None or connection.arrived:
            return
        connection.discard_unsent()
        # Bytes still in the send buffer may have arrived already, with their acknowledgement in flight.
        self.give_up(Status.NOT_SENT if connection.unwritten else Status.CANCELLED)

    def give_up(self, status: Status) -> None:
        """End the exchange, after closing its connection, so that no later attempt overlaps with it."""
        if self.ended:
            return
        if self.opening is not None:
            self.opening.cancel()
        connection = self.connection
        if (connection is None or connection.unwritten) and status is not Status.NOT_SENT:
            # The kernel never accepted the last byte, so the request cannot have run.
            status = Status.CONNECT_FAILED
        if connection is not None:
            connection.exchange = None
            connection.close()
        self.end(status)
