"""A client with a small buffer that writes two requests at once, then an empty line, and reads late."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import httptools

from .client import CONNECT_WITHIN, PATIENCE, message
from .events import Answered, Closed, Left, Written
from .plan import PipelinedPair
from .record import Record

RECEIVE_BUFFER = 4096  # bytes
EMPTY_LINE = b"\r\n"  # behind a request; a server ignores it (RFC 9112, 2.2)
NO_CONNECTION = 0  # such a connection has no number: it is not used again


class PairConnection(asyncio.Protocol):
    """A connection that reads nothing until it is told to, and then the answers in their order."""

    def __init__(self, record: Record, idents: tuple[str, ...]) -> None:
        self.record = record
        self.unanswered = list(idents)
        self.begun = False  # a part of the next answer has come
        self.over = asyncio.get_running_loop().create_future()
        self.parser = httptools.HttpResponseParser(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end()

    def _end(self) -> None:
        if not self.over.done():
            self.over.set_result(None)

    # The parser's calls

    def on_message_begin(self) -> None:
        self.begun = True

    def on_message_complete(self) -> None:
        self.begun = False
        self.record.add(self.unanswered.pop(0), Answered(self.record.now(), self.parser.get_status_code()))
        if not self.unanswered:
            self._end()


async def play_pair(pair: PipelinedPair, address: tuple[str, int], record: Record) -> None:
    """Play a pair to its end."""
    requests = (pair.lookup, pair.order)
    connection = PairConnection(record, tuple(request.id for request in requests))
    try:
        async with asyncio.timeout(CONNECT_WITHIN):
            transport = await _connect(connection, address)
    except OSError:  # also a time-out
        return
    for request in requests:
        record.add(
            request.id, Written(record.now(), request.sidecar, request.cls.name, request.size, NO_CONNECTION)
        )
    transport.write(b"".join(message(request) for request in requests))
    await asyncio.sleep(pair.line_after)
    if not transport.is_closing():
        transport.write(EMPTY_LINE)
    await asyncio.sleep(pair.reads_after - pair.line_after)
    if not transport.is_closing():
        transport.resume_reading()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(sum(request.deadline for request in requests) + PATIENCE):
            await connection.over
    _record_missing(connection, record)
    transport.abort()


async def _connect(connection: PairConnection, address: tuple[str, int]) -> asyncio.Transport:
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    try:
        await loop.sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    transport, _ = await loop.create_connection(lambda: connection, sock=sock)
    transport.pause_reading()  # not sooner: the loop begins to read once the connection is made
    return transport


def _record_missing(connection: PairConnection, record: Record) -> None:
    """Say how the requests ended that have no answer."""
    begun = connection.begun
    for ident in connection.unanswered:
        if connection.over.done():
            record.add(ident, Closed(record.now(), begun, killed=False))
        else:
            record.add(ident, Left(record.now(), "waited long enough"))
        begun = False
