"""Reads one attempt from a server's connection and tracks how much of it has arrived."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import httptools

MAX_READ_BYTES = 16 * 1024
SMALL_READ_BYTES = 1024  # bytes per read where the unread rest is to stay in the sender's buffers
MAX_LOOP_LAG_S = 0.02  # longest time from the arrival of bytes until a waiting reader is resumed


class AttemptReader:
    """Reads one request from a connection and bounds the time at which its last byte arrived."""

    def __init__(self, sock: socket.socket, now: Callable[[], float], last_empty_at: float) -> None:
        """Use `now` as the run's clock; no byte of this attempt had arrived at `last_empty_at`."""
        self.sock = sock
        self.now = now
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: dict[str, str] = {}
        self.head_complete = False
        self.complete = False
        self.body_bytes = 0  # bytes of the body received so far
        self.began_at = -1.0  # time at which the attempt's first byte was read; negative before
        self.last_empty_at = last_empty_at  # the socket was seen empty then: bytes read since arrived later

    async def read(self, max_bytes: int = MAX_READ_BYTES) -> bool:
        """Read the next bytes; return False once the peer has closed or reset the connection."""
        try:
            try:
                data = self.sock.recv(max_bytes)
            except BlockingIOError:
                data = await asyncio.get_running_loop().sock_recv(self.sock, max_bytes)
                self.last_empty_at = self.now() - MAX_LOOP_LAG_S
        except OSError:
            return False
        return self._feed(data)

    def read_buffered(self) -> bool:
        """Read what is in the socket's receive buffer; return False if it is empty."""
        try:
            data = self.sock.recv(MAX_READ_BYTES)
        except OSError:
            return False
        return self._feed(data)

    def _feed(self, data: bytes) -> bool:
        if not data:
            return False
        if self.began_at < 0.0:
            self.began_at = self.now()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            return False
        return True

    @property
    def request_id(self) -> str:
        """Return the value of X-Request-Id, or an empty string without that header."""
        return self.headers.get("x-request-id", "")

    # Callbacks of the parser

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Mark the head as complete."""
        self.head_complete = True

    def on_body(self, data: bytes) -> None:
        """Count the bytes of a part of the body."""
        self.body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self.complete = True
