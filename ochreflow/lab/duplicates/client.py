"""The clients of the sidecars: a request goes on an idle connection if there is one, as in the protocol."""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Callable
from enum import Enum, auto

from .client_connection import ClientConnection
from .events import ClientDisconnected, ClientHalfClosed, ConnectionClosed, RequestSent, ResponseReceived
from .plan import ClientRequest, DisconnectMode
from .recorder import EventRecorder
from .wire import request_bytes

RESPONSE_GRACE_S = 0.8  # for which a client waits beyond its deadline
CONNECT_TIMEOUT_S = 6.0  # a sidecar may take so long to end and come back
CONNECT_RETRY_DELAY_S = 0.05  # until a client tries again where nobody listens
PIECE_DELAY_S = 0.005  # between the pieces of a request that is written slowly
WAITED_LONG_ENOUGH = "waited long enough"  # what is recorded of a client whose wait is over


class ExchangeResult(Enum):
    """How a request ended for its client on one connection."""

    ANSWERED = auto()
    CLOSED_UNANSWERED = auto()  # without a byte of an answer: on a reused connection perhaps unread
    ABANDONED = auto()


class Clients:
    """Owns the clients of all sidecars: their idle connections, and the request on each of the others."""

    def __init__(
        self,
        recorder: EventRecorder,
        address: Callable[[int], tuple[str, int]],
        killed_at: Callable[[int], float],
    ) -> None:
        """Take what gives the address of a sidecar, and when it was last killed."""
        self.recorder = recorder
        self.address = address
        self.killed_at = killed_at  # connections to a sidecar that were opened before ended with it
        self.idle: dict[int, list[ClientConnection]] = defaultdict(list)
        self.connections = 0

    async def send(self, request: ClientRequest) -> None:
        """Play one request to its end; once more where a reused connection was closed without an answer."""
        fresh = False
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    connection = await self._connection(request.sidecar, fresh=fresh)
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
        except ConnectionResetError:
            return self._record_reset(request, connection)
        except TimeoutError:
            self.recorder.add(request.id, ClientDisconnected(self.recorder.now(), WAITED_LONG_ENOUGH))
            return ExchangeResult.ABANDONED
        else:
            return ExchangeResult.ANSWERED
        finally:
            if disconnect_timer is not None:
                disconnect_timer.cancel()
            connection.status = None
            if connection.closed or status.cancelled() or not status.done():
                connection.abort()

    def _record_reset(self, request: ClientRequest, connection: ClientConnection) -> ExchangeResult:
        """Record that the connection ended before the answer was complete, unless the client ended it."""
        if connection.disconnected_by_client:
            return ExchangeResult.ABANDONED
        killed = self.killed_at(request.sidecar) >= connection.opened_at
        closed = ConnectionClosed(self.recorder.now(), connection.answer_begun, killed)
        self.recorder.add(request.id, closed)
        if killed or connection.answer_begun:
            return ExchangeResult.ABANDONED
        return ExchangeResult.CLOSED_UNANSWERED

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

    async def _connection(self, sidecar: int, *, fresh: bool) -> ClientConnection:
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
        """Close the idle connections."""
        for idle in self.idle.values():
            for connection in idle:
                connection.abort()
