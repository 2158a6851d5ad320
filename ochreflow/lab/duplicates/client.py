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
from .events import ClientDisconnected, ClientHalfClosed, ConnectionClosed, RequestSent, ResponseReceived
from .plan import ClientRequest, DisconnectMode
from .recorder import EventRecorder

RESPONSE_GRACE_S = 0.8  # seconds for which a client waits beyond its deadline
CONNECT_TIMEOUT_S = 6.0  # seconds: a sidecar may take so long to end and come back
CONNECT_RETRY_DELAY_S = 0.05  # seconds until a client tries again where nobody listens
PIECE_DELAY_S = 0.005  # seconds between the pieces of a request that is written slowly
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ExchangeResult(Enum):
    """How a request ended for its client on one connection."""

    ANSWERED = auto()
    CLOSED_UNANSWERED = auto()  # closed without a byte of an answer: if it was a kept one, perhaps not read
    ABANDONED = auto()


class ClientConnection(asyncio.Protocol):
    """A connection to a sidecar, with at most one request on it."""

    def __init__(self, number: int, opened: float) -> None:
        self.number = number
        self.opened = opened  # when it was asked for
        self.transport: asyncio.Transport | None = None
        self.used = False  # an answer has come on it
        self.status: asyncio.Future[int] | None = None  # of the request that is out
        self.answer_begun = False  # bytes of its answer have come
        self.closed = False
        self.request_written = False  # of the request that is out
        self.left_by_client = False  # by the client itself
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.answer_begun = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_complete(self) -> None:
        if self.status is not None and not self.status.done():
            self.used = True
            self.closed = self.closed or not self.parser.should_keep_alive()
            self.status.set_result(self.parser.get_status_code())

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.status is not None and not self.status.done():
            self.status.set_exception(ConnectionResetError())

    def abort(self) -> None:
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def half_close(self) -> None:
        """Send nothing more, also no further request, and wait for the answer."""
        self.closed = True
        assert self.transport is not None
        self.transport.write_eof()

    def disconnect(self, disconnect_mode: DisconnectMode) -> None:
        """Go away as the plan says."""
        self.closed = self.left_by_client = True
        assert self.transport is not None
        if disconnect_mode is DisconnectMode.HALF_CLOSE:
            self.transport.write_eof()
            return
        if disconnect_mode is DisconnectMode.RESET:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()


class Clients:
    """The clients of all sidecars."""

    def __init__(
        self,
        recorder: EventRecorder,
        address: Callable[[int], tuple[str, int]],
        killed_at: Callable[[int], float],
    ) -> None:
        self.recorder = recorder
        self.address = address
        self.killed_at = killed_at  # connections to a sidecar that were opened before ended with it
        self.idle: dict[int, list[ClientConnection]] = defaultdict(list)
        self.connections = 0

    async def send(self, request: ClientRequest) -> None:
        """Play one request to its end; once more where a kept connection ended as if it had not been read."""
        fresh = False
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    connection = await self._connection(request.sidecar, fresh)
            except TimeoutError:
                return
            reused = connection.used
            result = await self._send(request, connection)
            if fresh or not reused or result is not ExchangeResult.CLOSED_UNANSWERED:
                return
            fresh = True

    async def _send(self, request: ClientRequest, connection: ClientConnection) -> ExchangeResult:
        """Send it on a connection, and wait for what comes."""
        loop = asyncio.get_running_loop()
        connection.answer_begun = connection.request_written = False
        status = connection.status = loop.create_future()
        disconnect_timer = None
        if request.disconnects_after is not None:
            disconnect_timer = loop.call_later(
                request.disconnects_after, self._disconnect, request, connection
            )
        try:
            async with asyncio.timeout(request.deadline + RESPONSE_GRACE_S):
                await self._write(request, connection)
                answered = await status
            self.recorder.add(request.id, ResponseReceived(self.recorder.now(), answered))
            if not connection.closed:
                self.idle[request.sidecar].append(connection)
            return ExchangeResult.ANSWERED
        except ConnectionResetError:
            if connection.left_by_client:
                return ExchangeResult.ABANDONED
            killed = self.killed_at(request.sidecar) >= connection.opened
            self.recorder.add(
                request.id, ConnectionClosed(self.recorder.now(), connection.answer_begun, killed)
            )
            return (
                ExchangeResult.ABANDONED
                if killed or connection.answer_begun
                else ExchangeResult.CLOSED_UNANSWERED
            )
        except TimeoutError:
            self.recorder.add(request.id, ClientDisconnected(self.recorder.now(), "waited long enough"))
            return ExchangeResult.ABANDONED
        finally:
            if disconnect_timer is not None:
                disconnect_timer.cancel()
            connection.status = None
            if connection.closed or status.cancelled() or not status.done():
                connection.abort()

    def _disconnect(self, request: ClientRequest, connection: ClientConnection) -> None:
        """Leave as the plan says, if the answer is still waited for."""
        mode = request.disconnect_mode
        if mode is None or connection.status is None or connection.status.done() or connection.closed:
            return
        if mode is not DisconnectMode.END_SENDING:
            self.recorder.add(request.id, ClientDisconnected(self.recorder.now(), mode.value))
            connection.disconnect(mode)
        elif connection.request_written:
            self.recorder.add(request.id, ClientHalfClosed(self.recorder.now()))
            connection.half_close()

    async def _connection(self, sidecar: int, fresh: bool) -> ClientConnection:
        idle = self.idle[sidecar]
        while idle and not fresh:
            connection = idle.pop()
            if not connection.closed:
                return connection
        loop = asyncio.get_running_loop()
        while True:
            with contextlib.suppress(OSError):
                _, connection = await loop.create_connection(self._new_connection, *self.address(sidecar))
                return connection
            await asyncio.sleep(CONNECT_RETRY_DELAY_S)

    def _new_connection(self) -> ClientConnection:
        self.connections += 1
        return ClientConnection(self.connections, self.recorder.now())

    async def _write(self, request: ClientRequest, connection: ClientConnection) -> None:
        transport = connection.transport
        assert transport is not None
        written = RequestSent(
            self.recorder.now(), request.sidecar, request.cls.name, request.size, connection.number
        )
        self.recorder.add(request.id, written)
        data = request_bytes(request)
        step = -(-len(data) // request.pieces)
        for begin in range(0, len(data), step):
            if begin:
                await asyncio.sleep(PIECE_DELAY_S)
            if connection.closed:
                return
            transport.write(data[begin : begin + step])
        connection.request_written = True

    def close(self) -> None:
        for idle in self.idle.values():
            for connection in idle:
                connection.abort()


def request_bytes(request: ClientRequest) -> bytes:
    """The request as it goes over the wire."""
    safe = request.cls.effect is Effect.IDEMPOTENT
    head = [
        f"{'GET' if safe else 'POST'} /{request.cls.name}/part HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request.id}",
        f"X-Deadline: {round(request.deadline * 1000)}m",
    ]
    if request.last:
        head.append("Connection: close")
    if request.cls.effect is Effect.IDEMPOTENT_WITH_KEY:
        head.append(f"Idempotency-Key: key-of-{request.id}")
    body = b"x" * request.size
    if request.chunked:
        head.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        body += b"0\r\n\r\n"
    elif not safe:
        head.append(f"Content-Length: {request.size}")
    return "\r\n".join([*head, "", ""]).encode() + body
