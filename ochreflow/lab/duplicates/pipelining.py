"""A client with a small receive buffer that pipelines two requests, sends an empty line and reads late."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import httptools

from .client import CONNECT_TIMEOUT_S, RESPONSE_GRACE_S, WAIT_EXPIRED
from .events import ClientDisconnected, ConnectionClosed, RequestSent, ResponseReceived
from .plan import PipelinedPair
from .recorder import EventRecorder
from .wire import request_bytes

RECEIVE_BUFFER_BYTES = 4096
EMPTY_LINE = b"\r\n"  # after a request; a server ignores it (RFC 9112, 2.2)
NO_CONNECTION = 0  # recorded in place of a connection number: the connection is not reused


class PairConnection(asyncio.Protocol):
    """A connection that reads the responses in order once its reading is resumed."""

    def __init__(self, recorder: EventRecorder, request_ids: tuple[str, ...]) -> None:
        """Expect a response to each of these requests, in this order."""
        self.recorder = recorder
        self.unanswered = list(request_ids)
        self.response_begun = False  # a part of the next response has arrived
        self.finished = asyncio.get_running_loop().create_future()
        self.parser = httptools.HttpResponseParser(self)

    def data_received(self, data: bytes) -> None:
        """Parse responses; end the exchange on a malformed one."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._finish()

    def connection_lost(self, _exc: Exception | None) -> None:
        """End the exchange."""
        self._finish()

    def _finish(self) -> None:
        if not self.finished.done():
            self.finished.set_result(None)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Mark the next response as begun."""
        self.response_begun = True

    def on_message_complete(self) -> None:
        """Record a complete response."""
        self.response_begun = False
        response = ResponseReceived(self.recorder.now(), self.parser.get_status_code())
        self.recorder.add(self.unanswered.pop(0), response)
        if not self.unanswered:
            self._finish()


async def send_pair(pair: PipelinedPair, address: tuple[str, int], recorder: EventRecorder) -> None:
    """Send a pair of requests and record how each of them ended."""
    requests = (pair.first_request, pair.second_request)
    connection = PairConnection(recorder, tuple(request.id for request in requests))
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport = await _connect(connection, address)
    except OSError:  # includes TimeoutError
        return
    for request in requests:
        recorder.add(
            request.id,
            RequestSent(
                recorder.now(), request.sidecar, request.request_class.name, request.size, NO_CONNECTION
            ),
        )
    transport.write(b"".join(request_bytes(request) for request in requests))
    await asyncio.sleep(pair.empty_line_after)
    if not transport.is_closing():
        transport.write(EMPTY_LINE)
    await asyncio.sleep(pair.reads_after - pair.empty_line_after)
    if not transport.is_closing():
        transport.resume_reading()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(sum(request.deadline for request in requests) + RESPONSE_GRACE_S):
            await connection.finished
    _record_missing(connection, recorder)
    transport.abort()


async def _connect(connection: PairConnection, address: tuple[str, int]) -> asyncio.Transport:
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        await loop.sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    transport, _ = await loop.create_connection(lambda: connection, sock=sock)
    transport.pause_reading()  # only now, since the event loop starts reading when the connection is made
    return transport


def _record_missing(connection: PairConnection, recorder: EventRecorder) -> None:
    """Record how the requests without a complete response ended."""
    response_begun = connection.response_begun
    for request_id in connection.unanswered:
        if connection.finished.done():
            recorder.add(
                request_id, ConnectionClosed(recorder.now(), response_begun=response_begun, killed=False)
            )
        else:
            recorder.add(request_id, ClientDisconnected(recorder.now(), WAIT_EXPIRED))
        response_begun = False
