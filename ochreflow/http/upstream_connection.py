"""Connections to servers, each with at most one exchange at a time."""

from __future__ import annotations

import asyncio
import math
import socket
from time import monotonic
from typing import Protocol

from ..core.body import Body
from ..core.limits import Memory
from ..core.log import log
from ..policy.interface import Status
from .exchange import Exchange
from .framing import LAST_CHUNK, chunk, frame_body
from .idle_connections import IdleConnections
from .read_scheduler import ReadScheduler
from .response import ResponseParser, classify
from .running_clock import RunningClock
from .socket_progress import StallTimer
from .socket_stream import SocketStream

# Time-outs without a byte of progress. Another attempt can replace a buffered response, so its time-out is
# shorter than that of a relayed response or of a request that a server reads slowly.
RESPONSE_STALL_TIMEOUT_S = 1.0
RELAY_STALL_TIMEOUT_S = 2.5
MS_PER_S = 1000
CONNECTION_BYTES = 5 * 1024  # memory of a connection without a message


class ConnectionPool(Protocol):
    """Owns the connections to servers; each connection reports when it is free or closing."""

    loop: asyncio.AbstractEventLoop
    memory: Memory
    read_scheduler: ReadScheduler
    response_stall_s: float  # time for which a buffered response may stall

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, so that another exchange can use it once it is settled."""
        ...

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is closing."""
        ...


class Target:
    """A server's address, the idle connections to it, and the exchanges that wait for a connection."""

    def __init__(
        self, address: tuple[str, int], since_ms: int, clock: RunningClock, *, settle: bool = True
    ) -> None:
        """Describe a server at `address` that started at `since_ms`; the rest is as in `IdleConnections`."""
        self.address = address
        self.since_ms = since_ms
        self.generation = 0  # incremented by a restart or move; earlier connections are not reused
        self.accepts_requests = True
        self.idle: IdleConnections[Connection] = IdleConnections(clock, settle=settle)
        # Exchanges that wait, in order of arrival, and whether a connection is being opened for each.
        self.waiting: dict[Exchange, bool] = {}
        self.settle_timer: asyncio.TimerHandle | None = None  # fires when another idle connection is settled
        self.nobody_listens = False  # whether the latest new connection was refused: no process listens there
        self.refused_at = -math.inf  # when it last refused a new connection, or broke it on the first request
        self.rejected_at = -math.inf  # when it last rejected the first request on a new connection

    @property
    def sendable(self) -> list[Exchange]:
        """The waiting exchanges that may still be sent."""
        return [exchange for exchange in self.waiting if not exchange.ended and not exchange.rejected]


class Connection:
    """A connection to a server, with at most one exchange at a time."""

    def __init__(self, pool: ConnectionPool, target: Target, sock: socket.socket) -> None:
        """Take ownership of a socket that is not connected yet."""
        self.pool = pool
        self.target = target
        self.generation = target.generation
        self.stream = SocketStream(pool.loop, sock, self, pool.read_scheduler, pool.memory)
        self.exchange: Exchange | None = None
        self.uploading: Body | None = None  # a request body that is still arriving
        self.chunking = False  # whether that body is sent in chunks
        self.write_stall: StallTimer | None = None  # runs while a body waits for the server to read it
        self.response_paused = False  # whether reading is paused for a slower client
        self.closed = False
        self.idle_since = 0.0
        self.answered_at = -math.inf  # when its last response was complete
        self.settles_at = -math.inf  # see `IdleConnections`
        self.response = ResponseParser(pool.memory)
        self.last_read = 0.0  # when the last bytes of the response arrived
        self.read_stall: asyncio.TimerHandle | None = None  # runs while a response is incomplete

    def connected(self) -> None:
        """Start reading, since the socket is connected."""
        self.stream.resume_reading()

    # Writing

    @property
    def unwritten(self) -> bool:
        """Whether part of the request is yet to be passed to the kernel; the request cannot have run then.

        The value is final once the connection is closed.
        """
        return bool(self.stream.unsent) or self.uploading is not None

    @property
    def reused(self) -> bool:
        """Whether it has carried a response; if not, a failure may mean that its server accepts no more."""
        return self.answered_at > -math.inf

    @property
    def responding(self) -> bool:
        """Whether part of the response to the open request has arrived."""
        return self.last_read > 0.0

    @property
    def silent_s(self) -> float:
        """Time since the latest part of the response arrived; 0 before the first one."""
        return monotonic() - self.last_read if self.responding else 0.0

    @property
    def arrived(self) -> bool:
        """Whether the server's host has acknowledged the whole request."""
        return not self.unwritten and self.stream.unacknowledged() == 0

    def discard_unsent(self) -> None:
        """Make the kernel discard its send buffer when this connection is closed, instead of sending it."""
        self.stream.discard_on_close()

    def pause_writing(self) -> None:
        """Pause the streamed body: part of the request waits for the socket."""
        if self.uploading is None:
            return
        self.uploading.set_blocked(blocked=True)
        if self.write_stall is None and not self.closed:
            self.write_stall = StallTimer(
                self.pool.loop, self.stream.unacknowledged, RELAY_STALL_TIMEOUT_S, self.connection_broken
            )

    def resume_writing(self) -> None:
        """Resume the streamed body, or report the request as written: the kernel has accepted all bytes."""
        self._stop_write_stall()
        if self.uploading is not None:
            self.uploading.set_blocked(blocked=False)
        else:
            self._notify_written()

    def _stop_write_stall(self) -> None:
        if self.write_stall is not None:
            self.write_stall.stop()
            self.write_stall = None

    def _notify_written(self) -> None:
        if self.exchange is not None and self.exchange.written is not None:
            self.exchange.written()

    def body_part(self, data: bytes) -> None:
        """Send the next part of the streamed body."""
        self.stream.write(chunk(data) if self.chunking else data)

    def body_end(self) -> None:
        """Complete the request after the last part of its body."""
        assert self.uploading is not None
        self.uploading = None
        if self.chunking:
            self.stream.write(LAST_CHUNK)
        if not self.unwritten:
            self._notify_written()

    def pause_response(self, *, paused: bool) -> None:
        """Pause or resume reading; time while reading is paused does not count towards the stall time-out."""
        if self.closed or paused == self.response_paused:
            return
        self.response_paused = paused
        if paused:
            self.stream.pause_reading()
        else:
            self.last_read = monotonic()
            self.stream.resume_reading()

    # Called by the stream

    def data_received(self, data: bytes) -> None:
        """Parse received data, and relay or complete the response."""
        if self.exchange is None:
            self._log_unrequested("no request was open")
            self.close()  # the data could be taken for the response to the next request
            return
        self.response.feed(data)
        if self.response.invalid or self._responds_to_earlier_request():
            self.connection_broken()
        elif not self._relay():
            self.exchange.give_up(Status.CANCELLED)
        elif self.response.complete is not None:
            self._finish()
        else:
            self.last_read = monotonic()
            if self.read_stall is None:
                self._watch_for_stall()

    def _responds_to_earlier_request(self) -> bool:
        """Return whether a successful response came before the server's host had received the request."""
        if not self.response.succeeding or self.arrived:
            return False
        self._log_unrequested("the request had not arrived yet")
        return True

    def _watch_for_stall(self) -> None:
        """Give up a response that stalls; otherwise the exchange would wait until its deadline."""
        timeout_s = RELAY_STALL_TIMEOUT_S if self.response.relaying else self.pool.response_stall_s
        # While the sidecar itself does not read, the server is not silent.
        not_read = self.stream.waits_to_read or (self.exchange is not None and self.exchange.paused)
        silent_s = 0.0 if not_read else monotonic() - self.last_read
        if silent_s >= timeout_s:
            self.read_stall = None
            self.connection_broken()
            return
        self.read_stall = self.pool.loop.call_later(timeout_s - silent_s, self._watch_for_stall)

    def _relay(self) -> bool:
        """Relay received data of a response that is not buffered; return False if no client waits for it."""
        relay = self.exchange.relay if self.exchange is not None else None
        response = self.response
        if relay is None:
            return True
        if not response.relaying:
            if response.complete is not None or not response.needs_relay():
                return True
            if not relay.begin(*response.start_relay()):
                return False
        data = response.take_part()
        if data:
            relay.part(data)
        return True

    def eof_received(self) -> None:
        """Complete a response that only the end of the stream delimits, or treat the end as an error."""
        if self.exchange is not None and self.response.end() and not self._responds_to_earlier_request():
            self._finish()  # a process that dies resets its connections, so this is an orderly end
        else:
            self.connection_broken()

    def connection_broken(self) -> None:
        """Close the connection, and end its exchange, if any, without a complete response."""
        exchange, self.exchange = self.exchange, None
        if exchange is not None and not self.reused:
            self.target.refused_at = monotonic()
        never_ran = self.unwritten
        self.close()
        if exchange is not None:
            exchange.end(Status.CONNECT_FAILED if never_ran else Status.RESET)

    # Requests

    def send(self, exchange: Exchange) -> bool:
        """Write an exchange that may be sent; return False if the connection is dead and nothing was sent."""
        # A server may have closed an idle connection while the loop was busy. A request written after that
        # would count as one that may have run.
        if not self.stream.is_idle():
            return False
        body = exchange.body
        assert exchange.head is not None
        payload = exchange.head() if body is None else exchange.head() + frame_body(body)
        if not self.stream.begin(payload):
            return False
        self.response.start(exchange.response_limit, may_relay=exchange.relay is not None)
        self.last_read = 0.0
        self.exchange = exchange
        exchange.connection = self
        if body is not None and not body.complete:
            self._upload(body)
        if not self.unwritten:
            self._notify_written()
        return True

    def _upload(self, body: Body) -> None:
        """Stream the rest of a body as it arrives."""
        self.uploading = body
        self.chunking = body.length is None
        body.stream_to(self)
        if self.stream.unsent:
            self.pause_writing()
        else:
            body.set_blocked(blocked=False)

    def _finish(self) -> None:
        exchange, response = self.exchange, self.response.complete
        assert exchange is not None and response is not None
        status = classify(response)
        if status is Status.REJECTED and not self.reused:
            self.target.rejected_at = monotonic()
        # A rejection proves nothing while part of the request is in flight: it cannot be the response to the
        # whole request, whose rest may arrive after the connection is closed.
        unproven = status is Status.REJECTED and not self.arrived
        self.exchange = None
        self.answered_at = monotonic()
        self.target.idle.response_completed(self)
        if self.response.surplus:
            self._log_unrequested("the response was complete")
        self.pause_response(paused=False)
        self._release_response()
        # An error may have crossed the request instead of answering it: the response would still come. A
        # request that was rejected never ran, so it has no other response.
        answered = status is not Status.ERROR and not self.unwritten and not unproven
        if answered and self.response.keep_alive and not self.response.surplus:
            self.pool.release(self)
        else:
            self.close()
        if unproven and not self.unwritten:
            exchange.end(Status.CANCELLED)
        else:
            exchange.end(status, response)

    def _log_unrequested(self, state: str) -> None:
        """Log that data came which belongs to no request, and how long after the last response."""
        host, port = self.target.address
        after_ms = round((monotonic() - self.answered_at) * MS_PER_S, 1) if self.answered_at > 0.0 else None
        log.info("unrequested_data", host=host, port=port, state=state, after_ms=after_ms)

    def _release_response(self) -> None:
        """Stop the stall timers, and release the memory of the response."""
        if self.read_stall is not None:
            self.read_stall.cancel()
            self.read_stall = None
        self._stop_write_stall()
        self.response.release()

    def close(self) -> None:
        """Close at once: nothing is sent or received after this call."""
        if self.closed:
            return
        self.closed = True
        self.pool.remove(self)
        self._release_response()
        if self.uploading is not None:
            self.uploading.discard()
        self.stream.close()
        # This call may come from the parser, so its reference cycle is broken later.
        self.pool.loop.call_soon(self.response.close)
