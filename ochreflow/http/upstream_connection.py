"""Connections to servers, each with at most one exchange on it."""

from __future__ import annotations

import asyncio
import math
import socket
from time import monotonic
from typing import Protocol

from ..core.body import Body
from ..core.limits import Memory
from ..policy.interface import Status
from .exchange import Exchange
from .framing import LAST_CHUNK, chunk, frame_body
from .response import ResponseParser, classify
from .socket_progress import StallTimer
from .socket_stream import SocketStream

# Seconds without a byte after which a peer is given up. A buffered response can be replaced by another
# attempt, so it is given up sooner than one that is relayed, or than a request that a server reads slowly.
RESPONSE_STALL_TIMEOUT_S = 1.0
RELAY_STALL_TIMEOUT_S = 2.5
# Seconds after a response within which a second one to the same request may come. No setting says how late it
# can be; this is the slack by which the protocol lets each time limit on sockets grow.
SETTLING_TIME_S = 0.05


class ConnectionPool(Protocol):
    """Owns the connections to servers, and is told when one comes free or closes."""

    loop: asyncio.AbstractEventLoop
    memory: Memory

    def keep(self, connection: Connection) -> None:
        """Take a connection that can carry another exchange."""
        ...

    def dropped(self, connection: Connection) -> None:
        """Neither count nor use a connection any more: it closes."""
        ...


class Target:
    """A server's address, and the connections to it."""

    def __init__(self, address: tuple[str, int], since_ms: int) -> None:
        """A server at `address` that started at `since_ms`."""
        self.address = address
        self.since_ms = since_ms
        self.generation = 0  # grows with each restart or move; connections of an earlier one are not reused
        self.accepts_requests = True
        self.idle: list[Connection] = []  # by `idle_since`, the most recently used last
        self.opening: dict[Exchange, None] = {}  # exchanges that wait for a connection, in their order
        self.settling = 0  # of these, those that wait for an idle connection to settle


class Connection:
    """A connection to a server, with at most one exchange on it."""

    def __init__(self, pool: ConnectionPool, target: Target, sock: socket.socket) -> None:
        """Own a socket that is being connected."""
        self.pool = pool
        self.target = target
        self.generation = target.generation
        self.stream = SocketStream(pool.loop, sock, self)
        self.exchange: Exchange | None = None
        self.uploading: Body | None = None  # a request body of which more is to come
        self.chunking = False  # that body is sent in chunks
        self.write_stall: StallTimer | None = None  # runs while a body waits for the server to read
        self.response_paused = False  # nothing is read while the response's client is slower
        self.closed = False
        self.idle_since = 0.0
        self.answered_at = -math.inf  # when the last response on it was complete
        self.response = ResponseParser(pool.memory)
        self.last_read = 0.0  # when the last bytes of the response came
        self.read_stall: asyncio.TimerHandle | None = None  # runs while a response is incomplete

    def connected(self) -> None:
        """Start to read: the socket is connected."""
        self.stream.resume_reading()

    # What has been written

    @property
    def unwritten(self) -> bool:
        """Whether the system has not taken the last byte of the request: it can't have run.

        This is judged by the bytes that were handed over, and holds for good once the connection is closed.
        """
        return bool(self.stream.unsent) or self.uploading is not None

    @property
    def arrived(self) -> bool:
        """Whether the server's machine has acknowledged all of the request."""
        return not self.unwritten and self.stream.unacknowledged() == 0

    def discard_unsent(self) -> None:
        """Have the system discard what it still holds when this is closed, in place of sending it on."""
        self.stream.discard_on_close()

    def pause_writing(self) -> None:
        """Take no more of a body that is still coming: some of the request waits for the socket."""
        if self.uploading is None:
            return
        self.uploading.set_blocked(blocked=True)
        if self.write_stall is None and not self.closed:
            self.write_stall = StallTimer(
                self.pool.loop, self.stream.unacknowledged, RELAY_STALL_TIMEOUT_S, self.connection_broken
            )

    def resume_writing(self) -> None:
        """Go on with the body, or tell that the request is written: nothing waits for the socket any more."""
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
        """Send the next part of a body that is still coming."""
        self.stream.write(chunk(data) if self.chunking else data)

    def body_end(self) -> None:
        """Complete the request: the last part of its body has been sent."""
        assert self.uploading is not None
        self.uploading = None
        if self.chunking:
            self.stream.write(LAST_CHUNK)
        if not self.unwritten:
            self._notify_written()

    def pause_response(self, *, paused: bool) -> None:
        """Stop reading for now, or read on. A server is not blamed for the time in which it was not read."""
        if self.closed or paused == self.response_paused:
            return
        self.response_paused = paused
        if paused:
            self.stream.pause_reading()
        else:
            self.last_read = monotonic()
            self.stream.resume_reading()

    # The stream's calls

    def data_received(self, data: bytes) -> None:
        """Parse what has come of the response, and act on it."""
        if self.exchange is None:
            self.close()  # what follows could be taken for the response to the next request
            return
        self.response.feed(data)
        if self.response.invalid:
            self.connection_broken()
        elif not self._relay():
            self.exchange.give_up(Status.CANCELLED)
        elif self.response.complete is not None:
            self._finish()
        else:
            self.last_read = monotonic()
            if self.read_stall is None:
                self._watch_for_stall()

    def _watch_for_stall(self) -> None:
        """Give up a response that stops half-way: it would be waited for until the deadline."""
        timeout_s = RELAY_STALL_TIMEOUT_S if self.response.relaying else RESPONSE_STALL_TIMEOUT_S
        silent = 0.0 if self.exchange is not None and self.exchange.paused else monotonic() - self.last_read
        if silent >= timeout_s:
            self.read_stall = None
            self.connection_broken()
            return
        self.read_stall = self.pool.loop.call_later(timeout_s - silent, self._watch_for_stall)

    def _relay(self) -> bool:
        """Pass on what has come of a response that is not buffered; False if nobody takes it."""
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
        """Take the end of the stream for the end of a response that nothing else delimits."""
        if self.exchange is not None and self.response.end():
            self._finish()  # a process that dies resets its connections, so this is an orderly end
        else:
            self.connection_broken()

    def connection_broken(self) -> None:
        """Close it; the exchange on it, if any, has ended without a complete response."""
        exchange, self.exchange = self.exchange, None
        never_ran = self.unwritten
        self.close()
        if exchange is not None:
            exchange.end(Status.CONNECT_FAILED if never_ran else Status.RESET)

    # Requests

    def send(self, exchange: Exchange) -> bool:
        """Write an exchange that may be sent; False if the connection was found dead, with nothing sent."""
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
        """Send the rest of a body as it comes."""
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
        # Where part of the request is still on its way, what has come is no answer to it, and the rest may
        # arrive after the connection is closed.
        unproven = status is Status.REJECTED and not self.arrived
        self.exchange = None
        self.answered_at = monotonic()
        self.pause_response(paused=False)
        self._release_response()
        if self.response.keep_alive and not self.unwritten and not self.response.surplus and not unproven:
            self.pool.keep(self)
        else:
            self.close()
        if unproven and not self.unwritten:
            exchange.end(Status.CANCELLED)
        else:
            exchange.end(status, response)

    @property
    def settled(self) -> bool:
        """Whether its last response is so long ago that a second one to that request would have come.

        Only its place says which request a response belongs to: a late second one would be taken for that to
        the next request.
        """
        return self.settles_in() == 0.0

    def settles_in(self) -> float:
        """Seconds until it is settled."""
        return max(self.answered_at + SETTLING_TIME_S - monotonic(), 0.0)

    def _release_response(self) -> None:
        """Stop the timers of the exchange, and release the response's memory."""
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
        self.pool.dropped(self)
        self._release_response()
        if self.uploading is not None:
            self.uploading.discard()
        self.stream.close()
        # The response's parser may be at work in this very call, so its references are dropped later.
        self.pool.loop.call_soon(self.response.close)
