"""Reads one attempt from a server's connection: what has come of it so far, and whether it is complete."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import httptools

MAX_READ_BYTES = 16 * 1024
SMALL_READ_BYTES = 1024  # bytes read at a time where the rest is to stay with the sender
MAX_LOOP_LAG_S = 0.02  # that may pass from the arrival of bytes until a waiting reader sees them


class AttemptReader:
    """Reads one request from a connection, and knows when its last byte came."""

    def __init__(self, sock: socket.socket, now: Callable[[], float], last_empty_at: float) -> None:
        """Take the run's clock, and the time at which nothing of this attempt had come."""
        self.sock = sock
        self.now = now
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: dict[str, str] = {}
        self.head_complete = False
        self.complete = False
        self.body_bytes = 0  # of the body, as far as it has come
        self.began_at = -1.0  # when its first byte was read
        self.last_empty_at = last_empty_at  # what was read last came no sooner

    async def read(self, max_bytes: int = MAX_READ_BYTES) -> bool:
        """Take what comes next; False once the peer has ended or reset the connection."""
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
        """Take what the system holds; False if that is nothing."""
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
        """The value of X-Request-Id; empty if there is none."""
        return self.headers.get("x-request-id", "")

    # Called by the parser

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Note that the head is complete."""
        self.head_complete = True

    def on_body(self, data: bytes) -> None:
        """Count a part of the body."""
        self.body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Note that the request is complete."""
        self.complete = True
