"""The clients of the sidecars: each request on a kept connection if one is free, as the protocol has it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import defaultdict
from collections.abc import Callable
from enum import Enum, auto
from typing import cast

import httptools

from ..platform_config import HOST
from .classes import Effect
from .events import Answered, Closed, Left, SendingEnded, Written
from .plan import ClientRequest
from .record import Record

PATIENCE = 0.8  # seconds for which a client waits beyond its deadline
CONNECT_WITHIN = 6.0  # seconds: a sidecar may take so long to end and come back
CONNECT_AGAIN = 0.05  # seconds until a client tries again where nobody listens
PIECE_PAUSE = 0.005  # seconds between the pieces of a request that is written slowly
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Ended(Enum):
    """How a request ended for its client on one connection."""

    ANSWERED = auto()
    UNREAD = auto()  # closed without a byte of an answer: if it was a kept one, perhaps not read
    CUT = auto()


class ClientConnection(asyncio.Protocol):
    """A connection to a sidecar, with at most one request on it."""

    def __init__(self, number: int, opened: float) -> None:
        self.number = number
        self.opened = opened  # when it was asked for
        self.transport: asyncio.Transport | None = None
        self.used = False  # an answer has come on it
        self.code: asyncio.Future[int] | None = None  # of the request that is out
        self.heard = False  # bytes of its answer have come
        self.closed = False
        self.wrote_all = False  # of the request that is out
        self.left = False  # by the client itself
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.heard = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_complete(self) -> None:
        if self.code is not None and not self.code.done():
            self.used = True
            self.closed = self.closed or not self.parser.should_keep_alive()
            self.code.set_result(self.parser.get_status_code())

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.code is not None and not self.code.done():
            self.code.set_exception(ConnectionResetError())

    def abort(self) -> None:
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def end_sending(self) -> None:
        """Send nothing more, also no further request, and wait for the answer."""
        self.closed = True
        assert self.transport is not None
        self.transport.write_eof()

    def leave(self, disconnect_mode: str) -> None:
        """Go away as the plan says."""
        self.closed = self.left = True
        assert self.transport is not None
        if disconnect_mode == "half_close":
            self.transport.write_eof()
            return
        if disconnect_mode == "reset":
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()


class Clients:
    """The clients of all sidecars."""

    def __init__(
        self, record: Record, address: Callable[[int], tuple[str, int]], killed_at: Callable[[int], float]
    ) -> None:
        self.record = record
        self.address = address
        self.killed_at = killed_at  # connections to a sidecar that were opened before ended with it
        self.idle: dict[int, list[ClientConnection]] = defaultdict(list)
        self.connections = 0

    async def send(self, request: ClientRequest) -> None:
        """Play one request to its end; once more where a kept connection ended as if it had not been read."""
        fresh = False
        while True:
            try:
                async with asyncio.timeout(CONNECT_WITHIN):
                    connection = await self._connection(request.sidecar, fresh)
            except TimeoutError:
                return
            reused = connection.used
            ended = await self._send(request, connection)
            if fresh or not reused or ended is not Ended.UNREAD:
                return
            fresh = True

    async def _send(self, request: ClientRequest, connection: ClientConnection) -> Ended:
        """Send it on a connection, and wait for what comes."""
        loop = asyncio.get_running_loop()
        connection.heard = connection.wrote_all = False
        code = connection.code = loop.create_future()
        leaving = None
        if request.disconnects_after is not None:
            leaving = loop.call_later(request.disconnects_after, self._leave, request, connection)
        try:
            async with asyncio.timeout(request.deadline + PATIENCE):
                await self._write(request, connection)
                answered = await code
            self.record.add(request.id, Answered(self.record.now(), answered))
            if not connection.closed:
                self.idle[request.sidecar].append(connection)
            return Ended.ANSWERED
        except ConnectionResetError:
            if connection.left:
                return Ended.CUT
            killed = self.killed_at(request.sidecar) >= connection.opened
            self.record.add(request.id, Closed(self.record.now(), connection.heard, killed))
            return Ended.CUT if killed or connection.heard else Ended.UNREAD
        except TimeoutError:
            self.record.add(request.id, Left(self.record.now(), "waited long enough"))
            return Ended.CUT
        finally:
            if leaving is not None:
                leaving.cancel()
            connection.code = None
            if connection.closed or code.cancelled() or not code.done():
                connection.abort()

    def _leave(self, request: ClientRequest, connection: ClientConnection) -> None:
        if connection.code is None or connection.code.done() or connection.closed:
            return
        if request.disconnect_mode != "end_sending":
            self.record.add(request.id, Left(self.record.now(), request.disconnect_mode))
            connection.leave(request.disconnect_mode)
        elif connection.wrote_all:
            self.record.add(request.id, SendingEnded(self.record.now()))
            connection.end_sending()

    async def _connection(self, sidecar: int, fresh: bool) -> ClientConnection:
        idle = self.idle[sidecar]
        while idle and not fresh:
            connection = idle.pop()
            if not connection.closed:
                return connection
        loop = asyncio.get_running_loop()
        while True:
            with contextlib.suppress(OSError):
                _, connection = await loop.create_connection(self._new, *self.address(sidecar))
                return connection
            await asyncio.sleep(CONNECT_AGAIN)

    def _new(self) -> ClientConnection:
        self.connections += 1
        return ClientConnection(self.connections, self.record.now())

    async def _write(self, request: ClientRequest, connection: ClientConnection) -> None:
        transport = connection.transport
        assert transport is not None
        written = Written(
            self.record.now(), request.sidecar, request.cls.name, request.size, connection.number
        )
        self.record.add(request.id, written)
        data = message(request)
        step = -(-len(data) // request.pieces)
        for begin in range(0, len(data), step):
            if begin:
                await asyncio.sleep(PIECE_PAUSE)
            if connection.closed:
                return
            transport.write(data[begin : begin + step])
        connection.wrote_all = True

    def close(self) -> None:
        for idle in self.idle.values():
            for connection in idle:
                connection.abort()


def message(request: ClientRequest) -> bytes:
    """The request as it goes over the wire."""
    safe = request.cls.effect is Effect.SAFE
    head = [
        f"{'GET' if safe else 'POST'} /{request.cls.name}/part HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request.id}",
        f"X-Deadline: {round(request.deadline * 1000)}m",
    ]
    if request.last:
        head.append("Connection: close")
    if request.cls.effect is Effect.KEYED:
        head.append(f"Idempotency-Key: key-of-{request.id}")
    body = b"x" * request.size
    if request.chunked:
        head.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        body += b"0\r\n\r\n"
    elif not safe:
        head.append(f"Content-Length: {request.size}")
    return "\r\n".join([*head, "", ""]).encode() + body
