"""HTTP/1.1 as the fake servers serve it: whole requests in, answers out, one at a time on a connection."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

import httptools

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 500: "Internal Server Error"}


class HttpRequest:
    """One request, and the way back."""

    __slots__ = ("body", "connection", "headers", "method", "target")

    def __init__(
        self, connection: ServerConnection, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def answer(self, code: int, body: bytes = b"", *lines: str) -> bool:
        """Write the answer; False if the one who asked has gone."""
        return self.connection.answer(code, body, lines)

    @property
    def gone(self) -> bool:
        return self.connection.transport is None


class ServerConnection(asyncio.Protocol):
    def __init__(
        self, number: int, serve: Callable[[HttpRequest], None], left: Callable[[ServerConnection], None]
    ) -> None:
        self.number = number
        self.serve = serve
        self.left = left
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.waiting: deque[HttpRequest] = deque()
        self.busy = False
        self.unwelcome = False  # there are too many, or it was cut before its transport came up
        self._begin()

    def _begin(self) -> None:
        self.target = b""
        self.headers: dict[str, str] = {}
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.unwelcome:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.waiting.clear()
        self.left(self)
        del self.parser

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.cut()
            return
        self._next()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        method, target = self.parser.get_method().decode(), self.target.decode("latin-1")
        self.waiting.append(HttpRequest(self, method, target, self.headers, self.body))
        self._begin()

    def _next(self) -> None:
        if self.waiting and not self.busy:
            self.busy = True
            self.serve(self.waiting.popleft())

    def answer(self, code: int, body: bytes, lines: tuple[str, ...]) -> bool:
        if self.transport is None or self.transport.is_closing():
            return False
        head = [
            f"HTTP/1.1 {code} {REASONS.get(code, 'Service Unavailable')}",
            f"Content-Length: {len(body)}",
        ]
        self.transport.write("\r\n".join([*head, *lines, "", ""]).encode("latin-1") + body)
        self.busy = False
        self._next()
        return True

    def spoil(self, form: str, code: int, body: bytes) -> None:
        """Write an answer in a form that no good server uses; the connection is of no further use."""
        if self.transport is None or self.transport.is_closing():
            return
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        line = f"HTTP/1.1 {code} {REASONS.get(code, 'Service Unavailable')}\r\n".encode()
        if form == "interim":  # a 1xx in front, which is no answer
            self.transport.write(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
            self.answer(code, body, ())
        elif form == "extra":  # bytes behind the answer, which belong to nothing
            self.transport.write(line + length + body + b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n!")
            self.busy = False
            self._next()
        elif form == "cut":  # the head, and half of the body
            self.transport.write(line + length + body[: len(body) // 2])
            self.transport.close()
        elif form == "stalled":  # the same, and silence
            self.transport.write(line + length + body[: len(body) // 2])
        else:  # garbled
            self.transport.write(b"HTP/1.1 2O0 \x00K\r\n" + length + body)

    def cut(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        else:
            self.unwelcome = True


class HttpService:
    """All connections of a fake server that listens."""

    def __init__(
        self,
        serve: Callable[[HttpRequest], None],
        left: Callable[[ServerConnection], None] = lambda connection: None,
        most: int = 0,
    ) -> None:
        self.serve = serve
        self.left = left
        self.most = most  # connections; one beyond is ended as soon as it comes; 0: any number
        self.connections: set[ServerConnection] = set()
        self.number = 0

    def connection(self) -> ServerConnection:
        self.number += 1
        made = ServerConnection(self.number, self.serve, self._lost)
        made.unwelcome = 0 < self.most <= len(self.connections)
        self.connections.add(made)
        return made

    def _lost(self, connection: ServerConnection) -> None:
        self.connections.discard(connection)
        self.left(connection)

    def cut_all(self) -> None:
        """End every connection, as a process that dies does."""
        for connection in list(self.connections):
            connection.cut()
