"""One request on its way to one server, from its start to its one end.

An exchange is written once and ends once. It is never written again by itself: what may have run, and whether
to try again, is the module's to judge, so the end of each one says exactly what is known.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from ..core.body import Body
from ..policy.interface import Status
from .response import Response

Done = Callable[["Exchange", Status, Response | None], None]


class Relay(Protocol):
    """Who takes an answer that is passed on as it comes. The exchange's end says how it ended."""

    def begin(self, answer: Response, length: int | None) -> bool:
        """Take the head; False if nobody wants it any more."""
        ...

    def part(self, data: bytes) -> None: ...


class ServerConnection(Protocol):
    """What an exchange needs of the connection that it is written on."""

    exchange: Exchange | None

    @property
    def unwritten(self) -> bool:
        """Whether the last byte of the request has not gone out: it cannot have run."""
        ...

    @property
    def arrived(self) -> bool:
        """Whether the server's machine has all of the request."""
        ...

    def drop_unsent(self) -> None:
        """Have the system throw away what it still holds when the connection is closed."""
        ...

    def hold_back(self, paused: bool) -> None:
        """Read no further for now, or read on."""
        ...

    def close(self) -> None: ...


class Exchange:
    """One request on its way to one server, until its one end."""

    __slots__ = (
        "answer_most",
        "barred",
        "body",
        "connection",
        "done",
        "generation",
        "head",
        "late",
        "loop",
        "opening",
        "paused",
        "relay",
        "timer",
        "within",
        "written",
    )

    def __init__(
        self,
        head: Callable[[], bytes],
        done: Done,
        answer_most: int,
        written: Callable[[], None] | None = None,
        body: Body | None = None,
        relay: Relay | None = None,
        within: Callable[[], float] | None = None,
    ) -> None:
        # Made as it is written, since it tells the time that is left. None: it has ended.
        self.head: Callable[[], bytes] | None = head
        self.done: Done | None = done
        self.answer_most = answer_most  # of an answer that is held
        self.written = written  # called once, when its last byte has been written
        self.body = body  # follows the head, and may still be coming
        self.relay = relay  # for an answer that is not held; None: every answer is
        self.within = within  # asked as its first byte is to go out: see `Watcher.write_within`
        self.generation = 0  # of its server when it was started
        self.barred = False  # it was found that it must not begin any more, and its end is on the way
        self.late: asyncio.TimerHandle | None = None  # rings when its last byte must have gone out
        self.paused = False  # the relay takes no more at present
        self.connection: ServerConnection | None = None  # once the first byte has gone out
        self.opening: asyncio.Task[None] | None = None  # while a connection is being made
        self.timer: asyncio.TimerHandle | None = None
        self.loop: asyncio.AbstractEventLoop | None = None  # from its start on

    @property
    def ended(self) -> bool:
        return self.done is None

    @property
    def begun(self) -> bool:
        """Whether a first byte has gone out."""
        return self.connection is not None

    @property
    def may_run(self) -> bool:
        """Whether its last byte has gone out."""
        return self.connection is not None and not self.connection.unwritten

    def end(self, status: Status, answer: Response | None = None) -> None:
        # Guards the memory as well: who waits refers to this, and would else be left to the collector.
        done, self.done = self.done, None
        if done is None:
            return
        self.wait_no_more()
        if self.late is not None:
            self.late.cancel()
            self.late = None
        self.head = self.written = self.relay = self.within = None  # they refer to this as well
        done(self, status, answer)

    def wait(self, seconds: float) -> None:
        """Give it up after so long."""
        self.wait_no_more()
        if not self.ended and self.loop is not None:
            self.timer = self.loop.call_later(max(seconds, 0.001), self.give_up, Status.TIMEOUT)

    def wait_no_more(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def pause(self, paused: bool) -> None:
        """Backpressure: read the answer no further until its relay can take more."""
        self.paused = paused
        if self.connection is not None and not self.ended:
            self.connection.hold_back(paused)

    def finish_within(self, seconds: float) -> None:
        """Cut it if the server's machine has not all of it after so long: from then on it must not arrive."""
        if self.loop is not None and not self.ended and seconds < math.inf:
            self.late = self.loop.call_later(seconds, self._too_late)

    def _too_late(self) -> None:
        connection = self.connection
        if connection is None or connection.arrived:
            return
        connection.drop_unsent()
        # What the system still held may have arrived all the same, with its acknowledgement on the way.
        self.give_up(Status.MOOT if connection.unwritten else Status.CANCELLED)

    def give_up(self, status: Status) -> None:
        """Stop waiting. Its connection is closed first, so that no later attempt overlaps with it."""
        if self.ended:
            return
        if self.opening is not None:
            self.opening.cancel()
        connection = self.connection
        if (connection is None or connection.unwritten) and status is not Status.MOOT:
            status = Status.CONNECT_FAILED  # its last byte was never written: it cannot have run
        if connection is not None:
            connection.exchange = None
            connection.close()
        self.end(status)
