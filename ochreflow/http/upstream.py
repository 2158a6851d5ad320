"""The servers' side: attempts and probes as exchanges over pooled connections.

An exchange is written once and ends once. Whether it still may be is asked in the turn of its first byte, in
one place (`Upstreams._put`): a connection may come up long after the decision to send. It is never written
again by itself: what may have run, and whether to try again, is the module's to judge, so the end of each one
says exactly what is known.

A short answer is held until it is whole. A longer one, and one whose length is not stated, goes on to
its `Relay` piece by piece; a request body that is still coming goes out in the same way.
"""

from __future__ import annotations

import asyncio
import math
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from time import monotonic
from typing import Protocol, cast

import httptools

from ..core.body import Body
from ..core.limits import Descriptors, Memory
from ..policy.interface import State, Status
from .progress import Patience, unsent

HEADERS_MOST = 32 * 1024
RELAY_MOST = 40 * 1024 * 1024  # of an answer that is passed on as it comes; messages reach 32 MB
FRAMING_MOST = 8  # bytes on the socket for each one of a body, in the smallest of chunks
STALL_MOST = 1.0  # seconds without a byte in an answer that is held: nobody knows of it yet
RELAY_STALL_MOST = 2.5  # ... in one that the client has begun to get, and in what a server reads
IDLE_PART = 0.7  # of the time after which a server may close an idle connection
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


@dataclass(slots=True)
class Answer:
    """A whole answer."""

    code: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    not_run: bool
    load: bytes


class Put(Enum):
    """What became of putting an exchange on a connection."""

    BEGUN = auto()
    BARRED = auto()  # it must not be sent any more; the connection is as good as before
    DEAD = auto()  # the connection was found dead, with nothing of the exchange sent


Done = Callable[["Exchange", Status, Answer | None], None]


class Relay(Protocol):
    """Who takes an answer that is passed on as it comes. The exchange's end says how it ended."""

    def begin(self, answer: Answer, length: int | None) -> bool:
        """Take the head; False if nobody wants it any more."""
        ...

    def part(self, data: bytes) -> None: ...


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
        self.connection: Connection | None = None  # once the first byte has gone out
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

    def end(self, status: Status, answer: Answer | None = None) -> None:
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


def _chunk(data: bytes | bytearray) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def _framed(body: Body) -> bytes:
    """The end of the head, which says how the body is framed, and all that is held of it."""
    length = len(body.held) if body.complete else body.length
    if length is not None:
        return b"Content-Length: %d\r\n\r\n%s" % (length, body.held)
    return b"Transfer-Encoding: chunked\r\n\r\n" + _chunk(body.held)


class Target:
    """A server as an address with its connections."""

    def __init__(self, address: tuple[str, int], since_ms: int) -> None:
        self.address = address
        self.since_ms = since_ms
        self.generation = 0  # grows with each restart or move: connections of an earlier one are not kept
        self.takes_new = True
        self.idle: list[Connection] = []  # the most recently used last
        self.opening: dict[Exchange, None] = {}  # those that wait for a connection, in their order


class Connection(asyncio.Protocol):
    """A connection to a server, with at most one exchange on it."""

    def __init__(self, upstreams: Upstreams, target: Target, sock: socket.socket) -> None:
        self.upstreams = upstreams
        self.target = target
        self.generation = target.generation
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.blocked = False  # something waits for the socket
        self.uploading: Body | None = None  # more of this body comes
        self.chunking = False  # it goes out in chunks
        self.patience: Patience | None = None  # with a server that does not read
        self.held_back = False  # not read at present: the answer's client is slower
        self.closed = False
        self.idle_since = 0.0
        self.parser = httptools.HttpResponseParser(self)
        self.held = 0  # bytes of an answer's body, until it is whole
        self.stalled: asyncio.TimerHandle | None = None
        self._reset()

    def _reset(self) -> None:
        self.size = 0  # of all that came for this exchange
        self.relayed = 0  # bytes of its body that have gone on
        self.relaying = False
        self.heard = 0.0
        self.spoilt = False
        self._begin()

    def _begin(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.in_body = False
        self.length = b""
        self.encoding = b""
        self.not_run = False
        self.keep_alive = False
        self.load = b""
        self.until_end = False  # only the connection's end delimits it
        self.whole: Answer | None = None
        self.stray = False

    # The transport's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        if self.closed:  # while the loop took it over
            transport.abort()
            return
        # Any byte that waits for the socket pauses writing, so `unwritten` tells whether the last one
        # has gone: the line between "never ran" and "may have run".
        transport.set_write_buffer_limits(high=0)

    @property
    def unwritten(self) -> bool:
        """Whether the last byte of the request has not gone out: it cannot have run."""
        return self.blocked or self.uploading is not None

    @property
    def arrived(self) -> bool:
        """Whether the server's machine has all of the request."""
        return not self.unwritten and (self.transport is None or unsent(self.transport) == 0)

    def drop_unsent(self) -> None:
        """Have the system throw away what it still holds when this is closed, in place of sending it on."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def pause_writing(self) -> None:
        self.blocked = True
        if self.uploading is not None:
            self.uploading.block(True)
            if self.patience is None and self.transport is not None:
                self.patience = Patience(self.upstreams.loop, self.transport, RELAY_STALL_MOST, self._break)

    def resume_writing(self) -> None:
        if not self.blocked:
            return
        self.blocked = False
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
        self._write(_chunk(data) if self.chunking else data)

    def body_end(self) -> None:
        assert self.uploading is not None
        self.uploading = None
        if self.chunking:
            self._write(b"0\r\n\r\n")
        if not self.blocked:
            self._tell_written()

    def _write(self, data: bytes | memoryview) -> None:
        if self.transport is None or self.transport.is_closing():
            self.blocked = True  # its end is on the way
            return
        self.transport.write(data)
        if self.transport.is_closing():
            self.blocked = True

    def hold_back(self, paused: bool) -> None:
        """Read no further for now; what the server then does not write is no fault of its own."""
        if self.transport is None or self.transport.is_closing() or paused == self.held_back:
            return
        self.held_back = paused
        if paused:
            self.transport.pause_reading()
        else:
            self.heard = monotonic()
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            self.close()  # bytes that nobody asked for: what follows could be taken for another's answer
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.whole is None:
                self._break()
                return
            self.stray = True
        if self.exchange is None:
            return
        if self.whole is None and (self.spoilt or self.size > self._size_most()):
            self._break()  # guards against an endless answer filling the memory
            return
        if not self._relay():
            self.exchange.give_up(Status.CANCELLED)
        elif self.whole is not None:
            self._finish()
        else:
            self.heard = monotonic()
            if self.stalled is None:
                self._watch_for_stall()

    def _size_most(self) -> int:
        assert self.exchange is not None
        if self.exchange.relay is not None and self.in_body:
            return HEADERS_MOST + RELAY_MOST * FRAMING_MOST
        return HEADERS_MOST + (self.exchange.answer_most if self.in_body else 0)

    def _watch_for_stall(self) -> None:
        """Guards against an answer that says more than comes: it would be waited for to the deadline."""
        most = RELAY_STALL_MOST if self.relaying else STALL_MOST
        silent = 0.0 if self.exchange is not None and self.exchange.paused else monotonic() - self.heard
        if silent >= most:
            self.stalled = None
            self._break()
            return
        self.stalled = self.upstreams.loop.call_later(most - silent, self._watch_for_stall)

    def _relay(self) -> bool:
        """Pass on what has come of an answer that is not held; False if nobody takes it."""
        exchange = self.exchange
        assert exchange is not None
        if not self.relaying:
            if self.whole is not None or not self._flows():
                return True
            self.relaying = True
            length = None if self.encoding or self.until_end else int(self.length)
            head = Answer(self.parser.get_status_code(), self.headers, b"", self.not_run, self.load)
            if exchange.relay is None or not exchange.relay.begin(head, length):
                return False
        if self.body and exchange.relay is not None:
            data = b"".join(self.body)
            self.body = []
            self._release()
            self.relayed += len(data)
            exchange.relay.part(data)
        return True

    def _flows(self) -> bool:
        """Whether the answer is of use to its client, and too long to be held or of a length not told."""
        if self.exchange is None or self.exchange.relay is None or not self.in_body or not self.body:
            return False
        return self.parser.get_status_code() == 200 and (
            bool(self.encoding) or self.until_end or int(self.length) > self.exchange.answer_most
        )

    def eof_received(self) -> None:
        if self.until_end and self.exchange is not None and not self.spoilt:
            self._complete()  # a process that dies resets its connections: this one has ended in order
            self._finish()
        else:
            self._break()

    def connection_lost(self, exc: Exception | None) -> None:
        self._break()
        # Guards the memory: the two refer to each other.
        del self.parser

    # The parser's calls

    def on_message_begin(self) -> None:
        if self.whole is not None:
            self.stray = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.whole is not None:
            return
        low, value = name.lower(), value.strip(b" \t")
        if low == b"x-not-run":
            self.not_run = value == b"1"
        elif low == b"x-load":
            self.load = value
        elif low == b"content-length":
            self.length = value
        elif low == b"transfer-encoding":
            self.encoding = value
        elif low not in HOP_BY_HOP:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self.whole is not None or self.parser.get_status_code() < 200:
            return
        self.in_body = True
        assert self.exchange is not None
        code = self.parser.get_status_code()
        most = self.exchange.answer_most
        if self.exchange.relay is not None and code == 200:
            most = RELAY_MOST
        # What can't fit is known to be of no use before it comes.
        if self.encoding:
            self.spoilt = self.encoding.lower() != b"chunked"
        elif self.length:
            self.spoilt = not self.length.isdigit() or int(self.length) > most
        elif code != 200:
            self._complete()  # the head says all; its body has no end but the connection's
        else:
            self.until_end = True

    def on_body(self, data: bytes) -> None:
        if self.whole is not None or self.spoilt:
            return
        if self.relayed + self.held + len(data) > RELAY_MOST or not self.upstreams.memory.reserve(len(data)):
            self.spoilt = True
            return
        self.held += len(data)
        self.body.append(data)

    def on_message_complete(self) -> None:
        if self.whole is not None:
            return
        code = self.parser.get_status_code()
        if code < 200:  # an interim answer, the real one follows; what came counts on, or it had no bound
            self._begin()
            return
        if self.spoilt:
            return
        # Asked here, since the parser answers for the next message as soon as this call is over: asked
        # later it is always no, and every request pays for a connection of its own.
        self.keep_alive = self.parser.should_keep_alive()
        self._complete()

    def _complete(self) -> None:
        body = b"" if self.relaying else b"".join(self.body)
        self.whole = Answer(self.parser.get_status_code(), self.headers, body, self.not_run, self.load)

    # Ends

    def send(self, exchange: Exchange) -> bool:
        """Write an exchange, which `Upstreams._put` has judged; False if the connection was found dead."""
        # Guards against the race with a server that closes an idle connection: its end may have come
        # while the loop was busy, and a request written after it would count as one that may have run.
        try:
            self.sock.recv(1, socket.MSG_PEEK)
            return False
        except BlockingIOError:
            pass
        except OSError:
            return False
        body = exchange.body
        assert exchange.head is not None
        payload = exchange.head() if body is None else exchange.head() + _framed(body)
        try:
            sent = self.sock.send(payload)
        except BlockingIOError:
            sent = 0
        except OSError:
            return False
        self._reset()
        self.exchange = exchange
        exchange.connection = self
        if body is not None and not body.complete:
            self.uploading = body
            self.chunking = body.length is None
            body.flow(self)
        if sent < len(payload):
            self._write(memoryview(payload)[sent:])
        if self.uploading is not None:
            self.uploading.block(self.blocked)
        elif not self.blocked:
            self._tell_written()
        return True

    def _finish(self) -> None:
        exchange, answer = self.exchange, self.whole
        assert exchange is not None and answer is not None
        self.exchange = None
        self.hold_back(False)
        self._let_go()
        if self.keep_alive and not self.unwritten and not self.stray:
            self.upstreams.keep(self)
        else:
            self.close()
        exchange.end(classify(answer), answer)

    def _let_go(self) -> None:
        """Of what an answer took while it came."""
        if self.stalled is not None:
            self.stalled.cancel()
            self.stalled = None
        self._no_patience()
        self._release()
        self.body, self.headers, self.whole = [], [], None

    def _release(self) -> None:
        self.upstreams.memory.release(self.held)
        self.held = 0

    def _break(self) -> None:
        """The connection is of no more use; what was on it has no whole answer."""
        exchange, self.exchange = self.exchange, None
        never = self.unwritten
        self.close()
        if exchange is not None:
            exchange.end(Status.CONNECT_FAILED if never else Status.RESET)

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.upstreams.dropped(self)
        self._let_go()
        if self.uploading is not None:
            self.uploading.drop()
        if self.transport is not None:
            self.transport.abort()


def classify(answer: Answer) -> Status:
    """What an answer proves. Only the header proves that a request never ran, not the code alone."""
    if answer.code == 200:
        return Status.OK
    if answer.code in (503, 504) and answer.not_run:
        return Status.FULL
    return Status.ERROR


class Upstreams:
    """All connections to servers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        memory: Memory,
        connect_timeout: float,
        idle_most: float,
    ) -> None:
        self.loop = loop
        self.descriptors = descriptors
        self.memory = memory
        self.connect_timeout = connect_timeout
        self.idle_most = idle_most * IDLE_PART
        self.targets: dict[int, Target] = {}
        self.connections: set[Connection] = set()

    # The list

    def update(self, server: int, address: tuple[str, int], since_ms: int, state: State) -> None:
        """Take news of a server. Idle connections to what it was before are of no use."""
        target = self.targets.get(server)
        if target is None:
            target = self.targets[server] = Target(address, since_ms)
        elif target.since_ms != since_ms or target.address != address:
            self.close_idle(server)
            target.since_ms, target.address = since_ms, address
            target.generation += 1
        target.takes_new = state is State.READY
        if not target.takes_new:
            self.close_idle(server)
            # Guards a drain against requests that still wait for a connection: their first byte would
            # go out after the server was told to be left alone.
            for exchange in list(target.opening):
                exchange.give_up(Status.CONNECT_FAILED)

    def forget(self, server: int) -> None:
        """Drop a server that is gone; what is out there keeps its connection."""
        target = self.targets.pop(server, None)
        if target is not None:
            target.takes_new = False

    # Exchanges

    def start(self, server: int, exchange: Exchange, timeout: float | None) -> None:
        """Send an exchange; its end is told later, never from within this call.

        Without a time-out it waits until it is told to wait no longer: its body is still coming.
        """
        target = self.targets.get(server)
        if target is None or not target.takes_new:
            self.loop.call_soon(exchange.end, Status.CONNECT_FAILED)
            return
        exchange.loop = self.loop
        exchange.generation = target.generation
        if timeout is not None:
            exchange.wait(timeout)
        while target.idle:
            connection = target.idle.pop()
            put = self._put(connection, exchange)
            if put is Put.BARRED:
                target.idle.append(connection)
                self.loop.call_soon(exchange.end, Status.MOOT)
            if put is not Put.DEAD:
                return
            connection.close()  # found dead before anything was written: no attempt was made
        self._open(target, exchange)

    @staticmethod
    def _put(connection: Connection, exchange: Exchange) -> Put:
        """The one place where an exchange begins: judge whether it still may, and write it.

        Guards a server that has started anew or moved since the exchange was meant for it, and all that its
        `within` knows of.
        """
        target = connection.target
        current = target.takes_new and exchange.generation == connection.generation == target.generation
        current = current and not exchange.barred  # its end will say that it never ran: that must stay true
        within = exchange.within() if exchange.within is not None and current else math.inf
        if not current or within <= 0.0:
            exchange.barred = True
            return Put.BARRED
        if not connection.send(exchange):
            return Put.DEAD
        exchange.finish_within(within)
        return Put.BEGUN

    def _open(self, target: Target, exchange: Exchange) -> None:
        if self.descriptors.full and not self.close_oldest() and not self.descriptors.make_room():
            # The own lack says nothing of the server, which must not be held to have failed.
            self.loop.call_soon(exchange.end, Status.MOOT)
            return
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError:  # out of descriptors in spite of the count: room for the repeat, which is due soon
            if not self.close_oldest():
                self.descriptors.make_room()
            self.loop.call_soon(exchange.end, Status.MOOT)
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self, target, sock)
        self.connections.add(connection)
        self.descriptors.held += 1
        target.opening[exchange] = None
        # Not to be cancelled before its first turn: nothing of it would run, nor let the connection go.
        self.loop.create_task(self._connect(target, exchange, connection))

    async def _connect(self, target: Target, exchange: Exchange, connection: Connection) -> None:
        sock = connection.sock
        exchange.opening = asyncio.current_task()
        try:
            if exchange.ended:
                raise ConnectionAbortedError
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.sock_connect(sock, target.address)
        except (OSError, asyncio.CancelledError):
            target.opening.pop(exchange, None)
            connection.connection_lost(None)  # it had no transport that would tell it
            sock.close()
            if exchange.connection is None:  # else it took one that came free meanwhile
                exchange.end(Status.CONNECT_FAILED)
            return
        # No cancelling from here on: the loop is taking the descriptor over, and it would be closed twice.
        exchange.opening = None
        try:
            await self.loop.create_connection(lambda: connection, sock=sock)
        except OSError:
            connection.close()
        finally:
            target.opening.pop(exchange, None)
        if exchange.ended or exchange.connection is not None:  # it is over, or took one that came free
            self.keep(connection)
            return
        put = Put.DEAD if connection.closed else self._put(connection, exchange)
        if put is Put.BARRED:
            self.keep(connection)
            exchange.end(Status.MOOT)
        elif put is Put.DEAD:
            connection.close()
            exchange.end(Status.CONNECT_FAILED)

    # The pool

    def keep(self, connection: Connection) -> None:
        target = connection.target
        if connection.closed or not target.takes_new or connection.generation != target.generation:
            connection.close()
            return
        # One that waits for a connection of its own need not: the one that is being made is kept instead.
        # One that has just been given up is still among them until its task has ended.
        for exchange in [exchange for exchange in target.opening if not exchange.ended]:
            put = self._put(connection, exchange)
            if put is Put.BARRED:
                self.loop.call_soon(exchange.end, Status.MOOT)
                continue
            if put is Put.BEGUN:
                del target.opening[exchange]
            else:
                connection.close()
            return
        connection.idle_since = monotonic()
        target.idle.append(connection)

    def dropped(self, connection: Connection) -> None:
        """A connection closes: from here on it is neither counted nor used."""
        self.connections.discard(connection)
        self.descriptors.held -= 1
        if connection in connection.target.idle:
            connection.target.idle.remove(connection)

    def close_idle(self, server: int) -> None:
        target = self.targets.get(server)
        if target is not None:
            for connection in list(target.idle):
                connection.close()

    def close_oldest(self) -> bool:
        """Make room: close the connection that has stood idle longest."""
        oldest = [target.idle[0] for target in self.targets.values() if target.idle]
        if not oldest:
            return False
        min(oldest, key=lambda connection: connection.idle_since).close()
        return True

    def sweep(self) -> None:
        """Close what has stood idle well before the server does, or a request would meet its end."""
        before = monotonic() - self.idle_most
        for target in self.targets.values():
            while target.idle and target.idle[0].idle_since < before:
                target.idle[0].close()

    def close(self) -> None:
        for target in self.targets.values():
            for exchange in list(target.opening):
                exchange.give_up(Status.CONNECT_FAILED)
        for connection in list(self.connections):
            connection.close()
