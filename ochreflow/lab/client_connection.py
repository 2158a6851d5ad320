"""A client's HTTP/1.1 connection, which carries one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import httptools


class ClientConnection(asyncio.Protocol):
    """A client connection with one request at a time; surplus responses go to `on_extra_response`."""

    def __init__(
        self, on_extra_response: Callable[[str, int], None] = lambda _request_id, _status: None
    ) -> None:
        """Create a connection that is not open yet."""
        self.on_extra_response = on_extra_response
        self.request_id = ""  # id of the latest request
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.response: asyncio.Future[tuple[int, bytes]] | None = None
        self.body = b""
        self.retry_after_s = 0.0  # `Retry-After` of the latest response; 0: none

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending response, if any."""
        self.transport = None
        if self.response is not None and not self.response.done():
            self.response.set_exception(
                exc or ConnectionResetError("connection closed before the response was complete")
            )

    @property
    def open(self) -> bool:
        """Whether a request can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def send(self, data: bytes, response: asyncio.Future[tuple[int, bytes]], request_id: str = "") -> None:
        """Write a request; `response` completes with the status and the body."""
        assert self.transport is not None
        self.response, self.body, self.request_id, self.retry_after_s = response, b"", request_id, 0.0
        self.transport.write(data)

    def send_more(self, data: bytes) -> None:
        """Write another piece of the request."""
        if self.transport is not None:
            self.transport.write(data)

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading` is called."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes; close the connection if they are invalid."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the value of a `Retry-After` header."""
        if name.lower() == b"retry-after":
            self.retry_after_s = float(value)

    def on_body(self, data: bytes) -> None:
        """Append a piece of the response body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Complete the pending response, or report a surplus one."""
        status, keep_alive = self.parser.get_status_code(), self.parser.should_keep_alive()
        if not keep_alive:
            self.close()
        if self.response is None or self.response.done():
            self.on_extra_response(self.request_id, status)
        else:
            self.response.set_result((status, self.body))

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.close()
