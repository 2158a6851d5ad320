"""The HTTP/1.1 server of the fake servers: handles one complete request at a time on each connection."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

import httptools

from .node_messages import Malformation

REASON_PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found", 500: "Internal Server Error"}
DEFAULT_REASON_PHRASE = "Service Unavailable"


class HttpRequest:
    """A complete request and the connection to answer it on."""

    __slots__ = ("body", "connection", "headers", "method", "target")

    def __init__(
        self, connection: ServerConnection, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Store the parts of a request; header names are in lower case."""
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def answer(self, status: int, body: bytes = b"", *header_lines: str) -> bool:
        """Write the response; return False if the client has disconnected."""
        return self.connection.answer(status, body, header_lines)

    @property
    def disconnected(self) -> bool:
        """Whether the client's connection is closed."""
        return self.connection.transport is None


class ServerConnection(asyncio.Protocol):
    """An accepted connection; each request is handled once the previous one is answered."""

    def __init__(
        self,
        number: int,
        on_request: Callable[[HttpRequest], None],
        on_disconnect: Callable[[ServerConnection], None],
    ) -> None:
        """Create a connection that has no transport yet."""
        self.number = number
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.queue: deque[HttpRequest] = deque()
        self.busy = False  # a request is being handled
        self.abort_on_connect = False  # too many connections, or aborted before it had a transport
        self._reset_message()

    def _reset_message(self) -> None:
        self.target = b""
        self.headers: dict[str, str] = {}
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, or abort it if the connection is not accepted."""
        self.transport = cast(asyncio.Transport, transport)
        if self.abort_on_connect:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # part of asyncio's interface
        """Drop the queued requests and report the disconnect."""
        self.transport = None
        self.queue.clear()
        self.on_disconnect(self)
        del self.parser

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes; abort the connection if they are invalid."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()
            return
        self._serve_next()

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field under its name in lower case."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Append a piece of the request body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        method, target = self.parser.get_method().decode(), self.target.decode("latin-1")
        self.queue.append(HttpRequest(self, method, target, self.headers, self.body))
        self._reset_message()

    def _serve_next(self) -> None:
        if self.queue and not self.busy:
            self.busy = True
            self.on_request(self.queue.popleft())

    def answer(self, status: int, body: bytes, header_lines: tuple[str, ...]) -> bool:
        """Write a response; return False if the client has disconnected."""
        if self.transport is None or self.transport.is_closing():
            return False
        head = [_status_line(status), f"Content-Length: {len(body)}"]
        self.transport.write("\r\n".join([*head, *header_lines, "", ""]).encode("latin-1") + body)
        self.busy = False
        self._serve_next()
        return True

    def answer_malformed(self, malformation: Malformation, status: int, body: bytes) -> None:
        """Write a malformed response; most malformations leave the connection unusable."""
        if self.transport is None or self.transport.is_closing():
            return
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        head = f"{_status_line(status)}\r\n".encode() + length
        match malformation:
            case Malformation.INTERIM_RESPONSE:
                self.transport.write(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
                self.answer(status, body, ())
            case Malformation.EXTRA_BYTES:
                self.transport.write(head + body + b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n!")
                self.busy = False
                self._serve_next()
            case Malformation.TRUNCATED:
                self.transport.write(head + body[: len(body) // 2])
                self.transport.close()
            case Malformation.STALLED:
                self.transport.write(head + body[: len(body) // 2])
            case _:
                self.transport.write(b"HTP/1.1 2O0 \x00K\r\n" + length + body)

    def abort(self) -> None:
        """Reset the connection now, or as soon as it has a transport."""
        if self.transport is not None:
            self.transport.abort()
        else:
            self.abort_on_connect = True


def _status_line(status: int) -> str:
    return f"HTTP/1.1 {status} {REASON_PHRASES.get(status, DEFAULT_REASON_PHRASE)}"


class HttpService:
    """Owns all connections of a fake server."""

    def __init__(
        self,
        on_request: Callable[[HttpRequest], None],
        on_disconnect: Callable[[ServerConnection], None] = lambda _connection: None,
        max_connections: int = 0,
    ) -> None:
        """Accept up to `max_connections` at a time and abort further ones; 0 means no limit."""
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.max_connections = max_connections
        self.connections: set[ServerConnection] = set()
        self.last_number = 0

    def connection(self) -> ServerConnection:
        """Return the protocol instance for a new connection."""
        self.last_number += 1
        connection = ServerConnection(self.last_number, self.on_request, self._on_disconnect)
        connection.abort_on_connect = 0 < self.max_connections <= len(self.connections)
        self.connections.add(connection)
        return connection

    def _on_disconnect(self, connection: ServerConnection) -> None:
        self.connections.discard(connection)
        self.on_disconnect(connection)

    def abort_all(self) -> None:
        """Reset every connection, as the kernel does when a process dies."""
        for connection in list(self.connections):
            connection.abort()
