"""A client's connection: reads requests, hands them to the core, writes one answer to each."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import cast

import httptools

from ..core.body import MAX_BUFFERED_BYTES, Body
from ..core.engine import Engine
from ..core.frontend_binding import FrontendBinding
from ..core.ports import FinalResponse, IncomingRequest, Pause, Reason
from .clients import Clients
from .request_parser import HttpRequest, RequestError, RequestParser
from .response import HOP_BY_HOP, Response
from .response_format import (
    CLIENT_DISCONNECTED_RESPONSE,
    OK,
    disposition_of,
    format_final_response,
    format_head,
    format_headers,
    format_response,
)
from .socket_progress import DisconnectMonitor, StallTimer, peer_disconnected, unacknowledged, unread_bytes

MAX_BODY_BYTES = 40 * 1024 * 1024  # messages reach 32 MB
MAX_HEADERS_BYTES = 32 * 1024
MAX_FRAMING_FACTOR = 8  # bytes on the socket for each one of a body, in the smallest of chunks
MAX_PIPELINED_REQUESTS = 16  # that a client may send ahead of their answers before it is read no further
DRAINING_CLOSE_TIMEOUT_S = 2.0  # in which a client may take nothing more of its last answers, and not close
READY_TARGET = b"/-/ready"
# Twice or in two forms, each reader may believe another one.
SINGLE_VALUE_HEADERS = frozenset(
    (
        b"host",
        b"x-request-id",
        b"idempotency-key",
        b"x-deadline",
        b"x-key",
        b"x-tenant",
        b"transfer-encoding",
    )
)
NOT_FORWARDED = HOP_BY_HOP | {b"expect", b"x-deadline"}


@dataclass(slots=True)
class StreamedResponse:
    """An answer on its way to the client while it comes."""

    chunked: bool
    keep_alive: bool
    pause: Pause  # tells its source to hold back


@dataclass(slots=True)
class ReadinessCheck:
    """A question whether this sidecar takes requests."""

    keep_alive: bool


@dataclass(frozen=True, slots=True)
class ConnectionContext:
    """What all connections of the front have in common."""

    engine: Engine
    frontend_binding: FrontendBinding
    clients: Clients
    request_parser: RequestParser
    disconnect_monitor: DisconnectMonitor  # of those that are not read at present


class ClientConnection(asyncio.Protocol):
    """One request after another, one answer to each in their order. It is what the core owes them to."""

    def __init__(self, context: ConnectionContext) -> None:
        self.context = context
        self.engine = context.engine
        self.clients = context.clients
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.queue: deque[HttpRequest | ReadinessCheck | RequestError] = deque()
        self.current: HttpRequest | None = None
        self.uploading: HttpRequest | None = None  # taken up before its body had come
        self.streamed: StreamedResponse | None = None
        self.closes_after_message = False  # closes when the message that is still coming is through
        self.serving_queue = False
        self.reading_ended = False  # nothing more is read: what follows an error cannot be told apart
        self.closed = False
        self.paused = False  # no more is read until some of what waits goes on
        self.was_paused = False  # since `Clients` last looked
        self.write_paused = False  # the client leaves answers unread
        self.write_stall: StallTimer | None = None
        self.draining_timer: asyncio.TimerHandle | None = (
            None  # sending has ended, the client's close is awaited
        )
        self.unacknowledged_at_check = (
            0  # bytes that its client's machine had not got when it began to linger
        )
        self.end_delimits = False  # only its end delimits the answer that was last begun
        self.head_ended = False  # since `Clients` last looked
        self.looked_at = 0  # size of the body when `Clients` last looked
        self.asked = False  # whether it has ever sent a whole message
        self.reserved_bytes = 0
        self._begin()

    def _begin(self) -> None:
        self.begun = False  # a message has begun and not ended
        self.duplicate_header = False
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.forwarded_lines: list[bytes] = []
        self.body: Body | None = None  # from the end of the headers on
        self.size = 0  # of all that came of this message
        self.headers_bytes = 0
        self.message_reserved_bytes = 0  # of what is held of its headers
        self.discarding = False  # answered already: the rest is read and thrown away

    @property
    def in_body(self) -> bool:
        return self.body is not None

    @property
    def idle(self) -> bool:
        """Whether it can be closed without harm: no request waits, no answer is still on its way out."""
        return self.current is None and not self.queue and not self.write_paused and not self.reading_ended

    @property
    def serving(self) -> bool:
        """Whether its client is owed an answer, or the rest of one that it has not read yet."""
        return self.current is not None or bool(self.queue) or not self.delivered

    @property
    def delivered(self) -> bool:
        """Whether the client's machine has all that was written to it.

        Until then a close may take it away: one that crosses bytes from the client resets the connection, and
        the system throws away what it has not passed on.
        """
        if self.closed or self.transport is None or not self.asked:
            return True
        return unacknowledged(self.transport) == 0

    @property
    def lingering(self) -> bool:
        """Whether its sending has ended, and only its client's close is waited for."""
        return self.draining_timer is not None

    @property
    def nothing_begun(self) -> bool:
        """Whether its client owes no part of a message, not even in what the system holds unread."""
        if not self.idle or self.begun or self.closed or self.transport is None:
            return False
        return unread_bytes(self.transport) == 0

    @property
    def quiet(self) -> bool:
        """Whether it can be closed at once: nothing has begun, and its client has all of its answers."""
        return self.nothing_begun and self.delivered

    @property
    def host(self) -> str:
        """Where its client is; empty where that can't be told."""
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        return str(peer[0]) if isinstance(peer, tuple) else ""

    def came_since_look(self) -> int | None:
        """Bytes of the body that is coming; None if some of the time nothing was read."""
        size = self.body.size if self.body is not None else 0
        came, self.looked_at = size - self.looked_at, size
        paused, self.was_paused = self.was_paused, False
        return None if paused else came

    def close_if_disconnected(self) -> bool:
        """Close it if its client has left, as far as can be read at this instant; whether it has.

        The end may lie unread in the socket, behind other bytes or not: since the loop was busy, or since
        nothing is read at present. A client that has ended only its own sending is taken for one that has
        left: the protocol says that one that closes has gone away, and from here both look alike until
        something is written.
        """
        if self.closed or self.transport is None or self.transport.is_closing():
            return True
        if not peer_disconnected(self.transport):
            return False
        self._close_after_disconnect()
        return True

    def _close_after_disconnect(self) -> None:
        """Close after its client has ended its sending.

        Guards a request that may run against being sent again: by a client that only ended its sending and
        still reads, a close without an answer is taken for one of a request that was not read.
        """
        if self.current is not None and self.streamed is None:
            self._write(CLIENT_DISCONNECTED_RESPONSE)
        self.close()

    # The transport's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)
        self.clients.add(self)

    def data_received(self, data: bytes) -> None:
        if self.reading_ended or self.closed:
            return
        # Guards a server against the rest of a body that flows into it, and whose client has left by then.
        if self.uploading is not None and self.close_if_disconnected():
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades are not known here")
        except httptools.HttpParserCallbackError:
            self.engine.log_fault("a request could not be read")
            self._reject(400, "unreadable request")
        except httptools.HttpParserError:
            self._reject(400, "malformed request")
        # Guards the memory: the parser itself holds a header line of any length.
        if self.size > (MAX_BODY_BYTES * MAX_FRAMING_FACTOR if self.in_body else MAX_HEADERS_BYTES):
            self._reject(431, "headers are too long")
        self._serve_queue()
        self.clients.place(self)

    def expire(self) -> None:
        """Its next message has not come to an end in time; what was taken before it is answered first."""
        if self.begun:
            self._reject(408, "the request took too long to come")
            self._serve_queue()
        elif self.quiet:
            self.close()
        elif self.nothing_begun:
            self._close_gracefully()  # what its client has not taken yet keeps the time that it needs

    def eof_received(self) -> None:
        self._close_after_disconnect()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.write_stall is not None:
            self.write_stall.stop()
        if self.draining_timer is not None:
            self.draining_timer.cancel()
        self.engine.memory.release(self.reserved_bytes)
        self.reserved_bytes = 0
        request, self.current = self.current, None
        for body in (
            self.body,
            *(item.body for item in (request, *self.queue) if isinstance(item, HttpRequest)),
        ):
            if body is not None:
                body.discard()
        self.queue.clear()
        self.uploading = self.streamed = self.body = None
        # Guards the memory: the two refer to each other, and a day of ever new connections would leave
        # them all to the collector, which comes seldom.
        del self.parser
        self.clients.remove(self)
        if self.transport is not None:
            self.context.disconnect_monitor.remove(self.transport)
        if request is not None:
            self.engine.requests.client_disconnected(request)
        self.engine.lifecycle.client_disconnected()

    def pause_writing(self) -> None:
        # Guards the memory against clients that ask and do not read.
        self.write_paused = True
        if self.write_stall is None and self.transport is not None:
            pending_bytes = partial(unacknowledged, self.transport)
            self.write_stall = StallTimer(
                self.engine.loop, pending_bytes, self.clients.times.slow_reader, self.close
            )
        if self.streamed is not None:
            self.streamed.pause(paused=True)

    def resume_writing(self) -> None:
        self.write_paused = False
        if self.write_stall is not None:
            self.write_stall.stop()
            self.write_stall = None
        if self.streamed is not None:
            self.streamed.pause(paused=False)
        self._serve_queue()
        self.clients.place(self)
        if self.engine.lifecycle.closing_idle_connections and self.quiet:
            self.close()

    # The parser's calls

    def on_message_begin(self) -> None:
        self.begun = True

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_body:  # a trailer
            return
        self.headers_bytes += len(name) + len(value) + len(b": \r\n")
        low, value = name.lower(), value.strip(b" \t")  # white space round a value is not part of it
        if low in SINGLE_VALUE_HEADERS and low in self.headers:
            self.duplicate_header = True
        self.headers[low] = value
        if low not in NOT_FORWARDED:
            self.forwarded_lines.append(name + b": " + value + b"\r\n")

    def on_headers_complete(self) -> None:
        length = self.headers.get(b"content-length")
        chunked = b"transfer-encoding" in self.headers
        stated = int(length[:12]) if length is not None and length.isdigit() else 0
        if length is not None and not length.isdigit():
            self._reject(400, "Content-Length is no number")
            return
        self.body = Body(self.engine.memory, None if chunked else stated)
        self.body.on_reading_change = self._update_reading
        self.head_ended = True
        self.looked_at = 0
        if self.headers_bytes + len(self.target) > MAX_HEADERS_BYTES:
            self._reject(431, "headers are too long")
        elif chunked and self.parser.get_http_version() == "1.0":
            # Such a message's framing is faulty (RFC 9112, 6.1): where it ends can't be believed.
            self._reject(400, "HTTP/1.0 knows no Transfer-Encoding")
        elif self.headers.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            self._reject(501, "Transfer-Encoding must be chunked")
        elif stated > MAX_BODY_BYTES:
            self._reject(413, "the body is too large")
        elif not self._reserve(self.headers_bytes):
            self._reject(503, "too much is held")
        elif self.headers.get(b"expect", b"").lower() == b"100-continue" and self.idle:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        if self.reading_ended or self.discarding or self.body is None:
            return
        if self.body.size + len(data) > MAX_BODY_BYTES:
            self._reject(413, "the body is too large")
        elif not self.body.add(data):
            self._reject(503, "too much is held")
        elif self.uploading is None and len(self.body.buffered) > MAX_BUFFERED_BYTES:
            self._enqueue_message()  # too long to be held whole: it goes on while it comes

    def _reserve(self, size: int) -> bool:
        if not self.engine.memory.reserve(size):
            return False
        self.reserved_bytes += size
        self.message_reserved_bytes += size
        return True

    def on_message_complete(self) -> None:
        if self.reading_ended or self.body is None:
            return
        if self.parser.should_upgrade():
            self._reject(400, "upgrades are not known here")
            return
        self.asked = True
        request = self.uploading
        if request is not None:
            self.uploading = None
            request.deadline_ns = self.engine.clock.now() + request.timeout_ns
            self.body.end()
            self.engine.requests.body_ended(request)
        elif not self.discarding:
            self.body.end()
            self._enqueue_message()
        self._begin()
        if self.closes_after_message:
            self._close_gracefully()
        self._update_reading()

    def _enqueue_message(self) -> None:
        """Queue the message that has come, or whose body is still coming."""
        assert self.body is not None
        keep_alive = self.parser.should_keep_alive()
        item: HttpRequest | ReadinessCheck | RequestError
        if self.target == READY_TARGET:
            item = ReadinessCheck(keep_alive)
        else:
            try:
                if self.duplicate_header:
                    raise RequestError(400, "a header came twice")
                item = self.context.request_parser.parse(
                    self.engine.clock.now(),
                    self.parser.get_method(),
                    self.target,
                    self.headers,
                    self.forwarded_lines,
                    self.body,
                    keep_alive=keep_alive,
                )
                item.reserved_bytes = self.message_reserved_bytes
                item.is_http_1_0 = self.parser.get_http_version() == "1.0"
            except RequestError as problem:
                problem.keep_alive = keep_alive
                item = problem
        self.queue.append(item)
        if not isinstance(item, HttpRequest):
            self._release(self.message_reserved_bytes)
            self.discarding = True
            self.body.discard()
        elif not self.body.complete:
            self.uploading = item

    def _update_reading(self) -> None:
        """Read on only while what is read can be taken up: backpressure towards the client."""
        if self.transport is None or self.transport.is_closing() or self.reading_ended:
            return
        stop = len(self.queue) >= MAX_PIPELINED_REQUESTS or (
            self.body is not None and self.body.reading_paused
        )
        if stop == self.paused:
            return
        self.paused = stop
        if stop:
            self.was_paused = True
            self.transport.pause_reading()
            self.context.disconnect_monitor.add(self.transport, self.close_if_disconnected)
        else:
            self.context.disconnect_monitor.remove(self.transport)
            self.transport.resume_reading()

    def _release(self, size: int) -> None:
        self.engine.memory.release(size)
        self.reserved_bytes -= size

    # Answers

    def _reject(self, code: int, text: str) -> None:
        """Answer what was sent before it, then this, and close: where a next request begins is not known."""
        if self.reading_ended:
            return
        self.reading_ended = True
        self.begun = False
        request, self.uploading = self.uploading, None
        if self.body is not None:
            self.body.discard()
        if request is None and not self.discarding:
            self._release(self.message_reserved_bytes)
            self.queue.append(RequestError(code, text))
        elif request is not None and request is self.current:
            request.keep_alive = False
            self.engine.requests.body_failed(request, disposition_of(code), (code, f"{text}\n".encode()))
        elif request is not None and request in self.queue:
            self._release(request.reserved_bytes)
            self.queue[self.queue.index(request)] = RequestError(code, text, request.cls)
        elif self.current is None and not self.queue:
            self._close_gracefully()  # it has had its answer

    def _serve_queue(self) -> None:
        """Take up what waits, one at a time."""
        if self.serving_queue:
            return
        self.serving_queue = True
        try:
            while self.queue and self.current is None and not self.write_paused and not self.closed:
                if isinstance(self.queue[0], HttpRequest) and self.close_if_disconnected():
                    break  # its end may lie behind what has just been read, or was not read at all
                item = self.queue.popleft()
                if isinstance(item, HttpRequest):
                    self.current = item
                    self.engine.requests.accept(self.context.frontend_binding, self, item)
                elif isinstance(item, ReadinessCheck):
                    ok = self.engine.lifecycle.ready
                    text = b"ready\n" if ok else b"not ready\n"
                    self._respond(200 if ok else 503, b"", text, item.keep_alive)
                else:
                    if item.cls is not None:
                        self.engine.requests.record_rejection(
                            self.context.frontend_binding, item.cls, disposition_of(item.code)
                        )
                    keep_alive = item.keep_alive and not self.reading_ended
                    self._respond(item.code, b"", f"{item}\n".encode(), keep_alive)
        finally:
            self.serving_queue = False
        self._update_reading()

    # What the core owes: see `Owed`

    def is_disconnected(self, request: IncomingRequest) -> bool:
        """Whether its client has left: a request over HTTP/1.1 can't be cancelled but with its connection."""
        return self.current is not request or self.close_if_disconnected()

    def respond(self, request: IncomingRequest, response: FinalResponse) -> None:
        """The final answer to the request that is being served."""
        current = self.current
        if current is not request or current is None:
            return
        self.current = None
        self._release_request(current)
        keep_alive = current.keep_alive and response.reason is not Reason.DRAINING
        self._respond(*format_final_response(response), keep_alive)
        self._serve_queue()
        self.clients.place(self)

    def begin(self, request: IncomingRequest, head: object, length: int | None, pause: Pause) -> None:
        """The final answer has begun to come, and goes on to the client from its first bytes."""
        current = self.current
        if current is not request or current is None:
            return
        assert isinstance(head, Response)
        headers = format_headers(head)
        chunked = length is None and not current.is_http_1_0
        self.end_delimits = length is None and not chunked
        keep_alive = self._keeps_alive(current.keep_alive) and not self.end_delimits
        self.streamed = StreamedResponse(chunked, keep_alive, pause)
        if chunked:
            headers += b"Transfer-Encoding: chunked\r\n"
        elif length is not None:
            headers += b"Content-Length: %d\r\n" % length
        self._write(format_head(OK, headers, keep_alive=keep_alive))

    def part(self, request: IncomingRequest, data: bytes) -> None:
        if self.current is request and self.streamed is not None:
            self._write(b"%x\r\n%s\r\n" % (len(data), data) if self.streamed.chunked else data)

    def end(self, request: IncomingRequest, *, complete: bool) -> None:
        """The answer has ended; one that is not whole must not look as if it were."""
        current, streamed = self.current, self.streamed
        if current is not request or current is None or streamed is None:
            return
        self.current = self.streamed = None
        self._release_request(current)
        if not complete:
            self._truncate()
            return
        if streamed.chunked:
            self._write(b"0\r\n\r\n")
        if not streamed.keep_alive:
            self._close_gracefully()
        self._serve_queue()
        self.clients.place(self)

    def _truncate(self) -> None:
        """Close after a part of an answer, so that its client sees that it is not whole."""
        if self.end_delimits:
            self._reset()
        else:
            # Its framing tells. A reset would take away what went before it, and its own beginning: a client
            # that has read nothing of an answer sends its request again.
            self._start_draining_close()

    def _release_request(self, request: HttpRequest) -> None:
        """Of what was held of a request; what still comes of it is read and thrown away."""
        self._release(request.reserved_bytes)
        request.body.discard()
        if request is self.uploading:
            self.uploading = None
            self.discarding = True

    def _keeps_alive(self, keep_alive: bool) -> bool:
        return keep_alive and not (self.engine.lifecycle.responses_announce_close and not self.queue)

    def _respond(self, code: int, headers: bytes, body: bytes, keep_alive: bool) -> None:
        keep_alive = self._keeps_alive(keep_alive)
        self._write(format_response(code, headers, body, keep_alive=keep_alive))
        if not keep_alive:
            self._close_gracefully()

    def _close_gracefully(self) -> None:
        """Close once what was written has gone, in a way that lets the client read it."""
        if self.transport is None or self.transport.is_closing():
            return
        if not self.reading_ended and self.discarding and self.begun:
            self._discard_queue()
            self.closes_after_message = True
        else:
            self._start_draining_close()

    def _discard_queue(self) -> None:
        """Let go of the requests that are not taken up any more."""
        for item in self.queue:
            if isinstance(item, HttpRequest):
                item.body.discard()
        self.queue.clear()

    def _start_draining_close(self) -> None:
        """End the own sending, and close when the client does.

        Guards the last answers against being lost: closing with input unread resets the connection. The rest
        of a message that was answered before its end is read and thrown away, or its client might never come
        to read. What else a client sends is left unread: it was never taken, so it can be sent again.
        """
        if self.transport is None or self.transport.is_closing() or self.draining_timer is not None:
            return
        self._discard_queue()
        rest_comes = self.reading_ended or (self.discarding and self.begun)
        self.reading_ended = True
        if rest_comes:
            self.context.disconnect_monitor.remove(self.transport)
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
            self.context.disconnect_monitor.add(self.transport, self.close_if_disconnected)
        self.transport.write_eof()
        self._schedule_draining_check()
        self.clients.place(self)

    def _schedule_draining_check(self) -> None:
        assert self.transport is not None
        self.unacknowledged_at_check = unacknowledged(self.transport)
        self.draining_timer = self.engine.loop.call_later(
            DRAINING_CLOSE_TIMEOUT_S, self._check_draining_close
        )

    def _check_draining_close(self) -> None:
        assert self.transport is not None
        # A slow client may go on reading. One that takes nothing of what waits to be written has a time of
        # its own, `Times.slow_reader`.
        if self.write_paused or 0 < unacknowledged(self.transport) < self.unacknowledged_at_check:
            self._schedule_draining_check()
        else:
            self.close()

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing() and self.draining_timer is None:
            self.transport.write(data)

    def close(self) -> None:
        """Close at once: what its client's machine has not got of its answers may be lost."""
        if self.end_delimits and (self.streamed is not None or self.write_paused):
            self._reset()  # the end alone would look like that of a whole answer
        elif self.transport is not None:
            self.transport.abort()

    def _reset(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()
