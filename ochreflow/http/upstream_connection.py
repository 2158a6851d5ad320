"""Connections to servers, each with at most one exchange on it."""

from __future__ import annotations

import asyncio
import socket
from time import monotonic
from typing import Protocol

from ..core.body import Body
from ..core.limits import Memory
from ..policy.interface import Status
from .exchange import Exchange
from .framing import LAST_CHUNK, chunk, framed
from .progress import Patience
from .response import ResponseParser, classify
from .socket_stream import SocketStream

STALL_MOST = 1.0  # seconds without a byte in an answer that is held: nobody knows of it yet
RELAY_STALL_MOST = 2.5  # ... in one that the client has begun to get, and in what a server reads


class ConnectionPool(Protocol):
    """Whoever owns the connections to servers, and is told when one comes free or closes."""

    loop: asyncio.AbstractEventLoop
    memory: Memory

    def keep(self, connection: Connection) -> None:
        """Take a connection that can carry another exchange."""
        ...

    def dropped(self, connection: Connection) -> None:
        """A connection closes: from here on it is neither counted nor used."""
        ...


class Target:
    """A server as an address with its connections."""

    def __init__(self, address: tuple[str, int], since_ms: int) -> None:
        self.address = address
        self.since_ms = since_ms
        self.generation = 0  # grows with each restart or move: connections of an earlier one are not kept
        self.takes_new = True
        self.idle: list[Connection] = []  # the most recently used last
        self.opening: dict[Exchange, None] = {}  # those that wait for a connection, in their order


class Connection:
    """A connection to a server, with at most one exchange on it."""

    def __init__(self, pool: ConnectionPool, target: Target, sock: socket.socket) -> None:
        self.pool = pool
        self.target = target
        self.generation = target.generation
        self.stream = SocketStream(pool.loop, sock, self)
        self.exchange: Exchange | None = None
        self.uploading: Body | None = None  # more of this body comes
        self.chunking = False  # it goes out in chunks
        self.patience: Patience | None = None  # with a server that does not read
        self.held_back = False  # not read at present: the answer's client is slower
        self.closed = False
        self.idle_since = 0.0
        self.response = ResponseParser(pool.memory)
        self.heard = 0.0  # when the last bytes of an answer came
        self.stalled: asyncio.TimerHandle | None = None

    def connected(self) -> None:
        """The socket is connected: the server's end, and any bytes of it, are heard of from now on."""
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
        """Whether the server's machine has all of the request."""
        return not self.unwritten and self.stream.unacknowledged() == 0

    def drop_unsent(self) -> None:
        """Have the system throw away what it still holds when this is closed, in place of sending it on."""
        self.stream.discard_on_close()

    def pause_writing(self) -> None:
        """Some of the request waits for the socket: take no more of a body that is still coming."""
        if self.uploading is None:
            return
        self.uploading.block(True)
        if self.patience is None and not self.closed:
            self.patience = Patience(
                self.pool.loop, self.stream.unacknowledged, RELAY_STALL_MOST, self.connection_broken
            )

    def resume_writing(self) -> None:
        """The socket has taken all that waited."""
        self._no_patience()
        if self.uploading is not None:
            self.uploading.block(False)
        else:
            self._tell_written()

    def _no_patience(self) -> None:
        if self.patience is not None:
            self.patience.stop()
            self.patience = None

    def _tell_written(self) -> None:
        if self.exchange is not None and self.exchange.written is not None:
            self.exchange.written()

    def body_part(self, data: bytes) -> None:
        self.stream.write(chunk(data) if self.chunking else data)

    def body_end(self) -> None:
        assert self.uploading is not None
        self.uploading = None
        if self.chunking:
            self.stream.write(LAST_CHUNK)
        if not self.unwritten:
            self._tell_written()

    def hold_back(self, paused: bool) -> None:
        """Read no further for now; what the server then does not write is no fault of its own."""
        if self.closed or paused == self.held_back:
            return
        self.held_back = paused
        if paused:
            self.stream.pause_reading()
        else:
            self.heard = monotonic()
            self.stream.resume_reading()

    # The stream's calls

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            self.close()  # bytes that nobody asked for: what follows could be taken for another's answer
            return
        self.response.feed(data)
        if self.response.invalid:
            self.connection_broken()
        elif not self._relay():
            self.exchange.give_up(Status.CANCELLED)
        elif self.response.complete is not None:
            self._finish()
        else:
            self.heard = monotonic()
            if self.stalled is None:
                self._watch_for_stall()

    def _watch_for_stall(self) -> None:
        """Guards against an answer that says more than comes: it would be waited for to the deadline."""
        most = RELAY_STALL_MOST if self.response.relaying else STALL_MOST
        silent = 0.0 if self.exchange is not None and self.exchange.paused else monotonic() - self.heard
        if silent >= most:
            self.stalled = None
            self.connection_broken()
            return
        self.stalled = self.pool.loop.call_later(most - silent, self._watch_for_stall)

    def _relay(self) -> bool:
        """Pass on what has come of an answer that is not held; False if nobody takes it."""
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
        if self.exchange is not None and self.response.end():
            self._finish()  # a process that dies resets its connections: this one has ended in order
        else:
            self.connection_broken()

    def connection_broken(self) -> None:
        """The connection is of no more use; what was on it has no whole answer."""
        exchange, self.exchange = self.exchange, None
        never_ran = self.unwritten
        self.close()
        if exchange is not None:
            exchange.end(Status.CONNECT_FAILED if never_ran else Status.RESET)

    # Requests

    def send(self, exchange: Exchange) -> bool:
        """Write an exchange, which `Upstreams._put` has judged; False if the connection was found dead."""
        # Guards against the race with a server that closes an idle connection: its end may have come
        # while the loop was busy, and a request written after it would count as one that may have run.
        if not self.stream.is_quiet():
            return False
        body = exchange.body
        assert exchange.head is not None
        payload = exchange.head() if body is None else exchange.head() + framed(body)
        if not self.stream.begin(payload):
            return False
        self.response.start(exchange.answer_most, may_relay=exchange.relay is not None)
        self.heard = 0.0
        self.exchange = exchange
        exchange.connection = self
        if body is not None and not body.complete:
            self._upload(body)
        if not self.unwritten:
            self._tell_written()
        return True

    def _upload(self, body: Body) -> None:
        """Pass the rest of a body on as it comes."""
        self.uploading = body
        self.chunking = body.length is None
        body.flow(self)
        if self.stream.unsent:
            self.pause_writing()
        else:
            body.block(False)

    def _finish(self) -> None:
        exchange, response = self.exchange, self.response.complete
        assert exchange is not None and response is not None
        self.exchange = None
        self.hold_back(False)
        self._let_go()
        if self.response.keep_alive and not self.unwritten and not self.response.surplus:
            self.pool.keep(self)
        else:
            self.close()
        exchange.end(classify(response), response)

    def _let_go(self) -> None:
        """Of what an answer took while it came."""
        if self.stalled is not None:
            self.stalled.cancel()
            self.stalled = None
        self._no_patience()
        self.response.release()

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.pool.dropped(self)
        self._let_go()
        if self.uploading is not None:
            self.uploading.drop()
        self.stream.close()
        # The response's parser may be at work in this very call, so its references are dropped later.
        self.pool.loop.call_soon(self.response.close)
