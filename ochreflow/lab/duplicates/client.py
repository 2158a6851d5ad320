"""Clients of the sidecars, which reuse idle connections as the protocol allows."""

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

RESPONSE_GRACE_S = 0.8  # how long a client waits beyond the request's deadline
CONNECT_TIMEOUT_S = 6.0  # a sidecar may take this long to stop and start again
CONNECT_RETRY_DELAY_S = 0.05  # delay after a refused connection
PIECE_DELAY_S = 0.005  # delay between the pieces of a request that is written slowly
WAIT_EXPIRED = "waited long enough"  # recorded as the reason of a client whose time limit has expired


class ExchangeResult(Enum):
    """The result of a request on one connection, as its client sees it."""

    ANSWERED = auto()
    CLOSED_UNANSWERED = auto()  # no byte of a response arrived; a reused connection may leave requests unread
    ABANDONED = auto()


class Clients:
    """Sends requests to the sidecars and owns the idle connections to each of them."""

    def __init__(
        self,
        recorder: EventRecorder,
        sidecar_address: Callable[[int], tuple[str, int]],
        killed_at: Callable[[int], float],
    ) -> None:
        """Look up the address of a sidecar, and when it was last killed, by its number."""
        self.recorder = recorder
        self.sidecar_address = sidecar_address
        self.killed_at = killed_at  # connections to a sidecar opened before this time ended with its process
        self.idle: dict[int, list[ClientConnection]] = defaultdict(list)
        self.connections = 0

    async def send(self, request: ClientRequest) -> None:
        """Send a request and wait for the result; resend it once if a reused connection closes unanswered."""
        fresh = False
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    connection = await self._acquire_connection(request.sidecar, fresh=fresh)
            except TimeoutError:
                return
            reused = connection.used
            result = await self._send(request, connection)
            if fresh or not reused or result is not ExchangeResult.CLOSED_UNANSWERED:
                return
            fresh = True

    async def _send(self, request: ClientRequest, connection: ClientConnection) -> ExchangeResult:
        """Send a request on a connection and wait for its response, a close or the time limit."""
        loop = asyncio.get_running_loop()
        connection.response_begun = connection.request_written = False
        status = connection.status = loop.create_future()
        disconnect_timer = None
        if request.disconnects_after is not None:
            disconnect_timer = loop.call_later(
                request.disconnects_after, self._disconnect, request, connection
            )
        try:
            async with asyncio.timeout(request.deadline + RESPONSE_GRACE_S):
                await self._write(request, connection)
                status_code = await status
            self.recorder.add(request.id, ResponseReceived(self.recorder.now(), status_code))
            if not connection.closed:
                self.idle[request.sidecar].append(connection)
        except ConnectionResetError:
            return self._record_reset(request, connection)
        except TimeoutError:
            self.recorder.add(request.id, ClientDisconnected(self.recorder.now(), WAIT_EXPIRED))
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
        """Record a close before the response was complete, unless the client closed the connection."""
        if connection.disconnected_by_client:
            return ExchangeResult.ABANDONED
        killed = self.killed_at(request.sidecar) >= connection.opened_at
        closed = ConnectionClosed(self.recorder.now(), connection.response_begun, killed)
        self.recorder.add(request.id, closed)
        if killed or connection.response_begun:
            return ExchangeResult.ABANDONED
        return ExchangeResult.CLOSED_UNANSWERED

    def _disconnect(self, request: ClientRequest, connection: ClientConnection) -> None:
        """Disconnect as planned if the client still waits for the response."""
        mode = request.disconnect_mode
        if mode is None or connection.status is None or connection.status.done() or connection.closed:
            return
        if mode is not DisconnectMode.END_SENDING:
            self.recorder.add(request.id, ClientDisconnected(self.recorder.now(), mode.value))
            connection.disconnect(mode)
        elif connection.request_written:
            self.recorder.add(request.id, ClientHalfClosed(self.recorder.now()))
            connection.half_close()

    async def _acquire_connection(self, sidecar: int, *, fresh: bool) -> ClientConnection:
        idle = self.idle[sidecar]
        while idle and not fresh:
            connection = idle.pop()
            if not connection.closed:
                return connection
        loop = asyncio.get_running_loop()
        while True:
            with contextlib.suppress(OSError):
                _, connection = await loop.create_connection(
                    self._new_connection, *self.sidecar_address(sidecar)
                )
                return connection
            await asyncio.sleep(CONNECT_RETRY_DELAY_S)

    def _new_connection(self) -> ClientConnection:
        self.connections += 1
        return ClientConnection(self.connections, self.recorder.now())

    async def _write(self, request: ClientRequest, connection: ClientConnection) -> None:
        transport = connection.transport
        assert transport is not None
        sent = RequestSent(
            self.recorder.now(), request.sidecar, request.request_class.name, request.size, connection.number
        )
        self.recorder.add(request.id, sent)
        data = request_bytes(request)
        piece_bytes = -(-len(data) // request.pieces)
        for begin in range(0, len(data), piece_bytes):
            if begin:
                await asyncio.sleep(PIECE_DELAY_S)
            if connection.closed:
                return
            transport.write(data[begin : begin + piece_bytes])
        connection.request_written = True

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self.idle.values():
            for connection in idle:
                connection.abort()
