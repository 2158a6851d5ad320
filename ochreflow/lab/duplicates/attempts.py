"""One attempt as a server reads it: what has come of it so far, and whether it is whole."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import httptools

READ_MOST = 16 * 1024
SIP = 1024  # bytes read at a time where the rest is to stay with the sender
LOOP_LAG = 0.02  # seconds that may pass from the arrival of bytes until a waiting reader sees them


class AttemptReader:
    """Reads one request from a connection, and knows when its last byte came."""

    def __init__(self, sock: socket.socket, now: Callable[[], float], empty_at: float) -> None:
        self.sock = sock
        self.now = now
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: dict[str, str] = {}
        self.has_head = False
        self.whole = False
        self.size = 0  # of the body, as far as it has come
        self.began = -1.0  # when its first byte was read
        self.empty_at = empty_at  # what was read last came no sooner

    async def read(self, most: int = READ_MOST) -> bool:
        """Take what comes next; False once the peer has ended or reset the connection."""
        try:
            try:
                data = self.sock.recv(most)
            except BlockingIOError:
                data = await asyncio.get_running_loop().sock_recv(self.sock, most)
                self.empty_at = self.now() - LOOP_LAG
        except OSError:
            return False
        return self._feed(data)

    def read_held(self) -> bool:
        """Take what the system holds; False if that is nothing."""
        try:
            data = self.sock.recv(READ_MOST)
        except OSError:
            return False
        return self._feed(data)

    def _feed(self, data: bytes) -> bool:
        if not data:
            return False
        if self.began < 0.0:
            self.began = self.now()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            return False
        return True

    @property
    def ident(self) -> str:
        return self.headers.get("x-request-id", "")

    # The parser's calls

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.has_head = True

    def on_body(self, data: bytes) -> None:
        self.size += len(data)

    def on_message_complete(self) -> None:
        self.whole = True
