"""A client's connection to a sidecar."""

from __future__ import annotations

import asyncio
from typing import cast

import httptools

from ..socket_reset import reset_when_closed
from .plan import DisconnectMode


class ClientConnection(asyncio.Protocol):
    """A connection to a sidecar, with at most one request on it."""

    def __init__(self, number: int, opened_at: float) -> None:
        """Start without a transport; `number` is unique in the run, `opened_at` is when connecting began."""
        self.number = number
        self.opened_at = opened_at
        self.transport: asyncio.Transport | None = None
        self.used = False  # a complete response was received on this connection
        self.status: asyncio.Future[int] | None = None  # status of the request in flight
        self.response_begun = False  # whether bytes of the response have arrived
        self.closed = False
        self.request_written = False  # whether the request in flight is written completely
        self.disconnected_by_client = False
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response; abort the connection if it is malformed."""
        self.response_begun = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_complete(self) -> None:
        """Set the status code of the complete response as the result of the request in flight."""
        if self.status is not None and not self.status.done():
            self.used = True
            self.closed = self.closed or not self.parser.should_keep_alive()
            self.status.set_result(self.parser.get_status_code())

    def connection_lost(self, _exc: Exception | None) -> None:
        """Fail the request in flight with ConnectionResetError."""
        self.closed = True
        if self.status is not None and not self.status.done():
            self.status.set_exception(ConnectionResetError())

    def abort(self) -> None:
        """Close the connection without sending buffered data."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def half_close(self) -> None:
        """Shut down sending, so that no further request follows, and wait for the response."""
        self.closed = True
        assert self.transport is not None
        self.transport.write_eof()

    def disconnect(self, mode: DisconnectMode) -> None:
        """Disconnect in the planned manner, without waiting for the response."""
        self.closed = self.disconnected_by_client = True
        assert self.transport is not None
        if mode is DisconnectMode.HALF_CLOSE:
            self.transport.write_eof()
            return
        if mode is DisconnectMode.RESET:
            reset_when_closed(self.transport.get_extra_info("socket"))
        self.transport.abort()
