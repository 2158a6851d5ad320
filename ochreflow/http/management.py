"""The management interface: one small HTTP/1.1 request per connection, passed on to `Operations`.

The interface holds no state of the sidecar. Its limits are its own, so that callers that send nothing can
block neither the next caller nor any client.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

import httptools

from ..core.log import log
from ..core.ports import Address

BACKLOG = 512
MAX_CONNECTIONS = 8  # most connections open at a time; `Descriptors.RESERVE` has room for them
MAX_REQUEST_BYTES = 8 * 1024
READ_TIMEOUT_S = 0.9  # time from connecting until the request is complete
RESPONSE_READ_TIMEOUT_S = 2.0  # time for the caller to receive the response
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


Route = tuple[bytes, Callable[[], tuple[int, str]]]  # the method, and the handler that returns code and body


class Operations(Protocol):
    """The operations of a sidecar that operators may request, independent of the protocol."""

    def healthy(self) -> bool:
        """Return whether clients may be sent to this sidecar."""
        ...

    def report(self) -> str:
        """Return the statistics, one per line."""
        ...

    def drain(self) -> bool:
        """Begin a drain; return False if the process is terminating."""
        ...

    def undrain(self) -> bool:
        """Cancel a drain; return False if the process is terminating."""
        ...


class Management:
    """The management server: its listening socket, routes and connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, operations: Operations) -> None:
        """Set up the routes; `listen` opens the socket."""
        self.loop = loop
        self.connections: dict[ManagementConnection, None] = {}  # in the order of their arrival
        self.server: asyncio.Server | None = None
        self.address: Address | None = None  # as requested; port 0 is not resolved
        self.routes: dict[bytes, Route] = {
            b"/healthcheck": (b"GET", lambda: _yes_or_no_response(yes=operations.healthy())),
            b"/stats": (b"GET", lambda: (200, operations.report())),
            b"/healthcheck/fail": (b"POST", lambda: _yes_or_no_response(yes=operations.drain())),
            b"/healthcheck/ok": (b"POST", lambda: _yes_or_no_response(yes=operations.undrain())),
        }

    async def listen(self, address: Address | None) -> None:
        """Listen on `address` only, or nowhere if None. On OSError from binding, the old address stays."""
        if address == self.address:
            return
        server = None
        if address is not None:
            server = await self.loop.create_server(self.connection, *address, backlog=BACKLOG)
            host, port = server.sockets[0].getsockname()
            log.info("management_listening", host=host, port=port)
        if self.server is not None:
            self.server.close()
        self.server, self.address = server, address

    def connection(self) -> ManagementConnection:
        """Create the protocol for a new connection."""
        return ManagementConnection(self)

    def admit(self, connection: ManagementConnection) -> None:
        """Add a new connection; over the limit, drop an older one."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            # Drop the oldest one without a response. The new caller has had no time to send a request.
            others = [other for other in self.connections if other is not connection]
            next((other for other in others if not other.answered), others[0]).drop()

    def answer(self, method: bytes, target: bytes) -> tuple[int, str, str]:
        """Return status code, body and additional header lines."""
        route = self.routes.get(target.split(b"?", 1)[0])
        if route is None:
            return 404, "unknown path\n", ""
        allowed, handler = route
        if method != allowed:
            return 405, "wrong method\n", f"Allow: {allowed.decode()}\r\n"
        code, body = handler()
        return code, body, ""

    def close(self) -> None:
        """Stop listening and drop all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.drop()


def _yes_or_no_response(*, yes: bool) -> tuple[int, str]:
    return (200, "yes\n") if yes else (503, "no\n")


class ManagementConnection(asyncio.Protocol):
    """One connection: reads one request, responds and closes."""

    def __init__(self, management: Management) -> None:
        """Start without a transport, expecting one request."""
        self.management = management
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.target = b""
        self.size = 0
        self.complete = False
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time-out of the request."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.management.loop.call_later(READ_TIMEOUT_S, self._expire)
        self.management.admit(self)

    def data_received(self, data: bytes) -> None:
        """Parse received data, and respond once the request is complete, invalid or too long."""
        if self.answered:
            return  # one request per connection: later data is ignored
        self.size += len(data)
        try:
            self.parser.feed_data(data[: MAX_REQUEST_BYTES + 1])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._write(400, "unreadable call\n")
            return
        if self.complete:
            method = self.parser.get_method()
            try:
                answer = self.management.answer(method, self.target)
            except Exception:
                self._write(500, "the call failed\n")
                raise  # the event loop logs it
            self._write(*answer)
        elif self.size > MAX_REQUEST_BYTES:
            self._write(400, "the call is too long\n")

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self.target += url

    def on_message_complete(self) -> None:
        """Record that the request is complete."""
        self.complete = True

    def connection_lost(self, _exc: Exception | None) -> None:
        """Release the slot and the timer of the connection."""
        self.management.connections.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
        del self.parser  # breaks the reference cycle

    def _expire(self) -> None:
        if self.size:
            self._write(408, "the call took too long to come\n")
        else:
            self.drop()

    def _write(self, code: int, body: str, headers: str = "") -> None:
        if self.answered or self.transport is None or self.transport.is_closing():
            return
        self.answered = True
        head = f"HTTP/1.1 {code} {REASONS[code]}\r\nContent-Type: text/plain\r\n{headers}"
        self.transport.write(
            f"{head}Content-Length: {len(body.encode())}\r\nConnection: close\r\n\r\n{body}".encode()
        )
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.management.loop.call_later(RESPONSE_READ_TIMEOUT_S, self.drop)
        self.transport.close()  # after all written data has been sent

    def drop(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()
        self.management.connections.pop(self, None)
