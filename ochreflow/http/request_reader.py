"""Reads requests from a client connection, checks their framing, and queues them.

Backpressure: reading is paused while too many requests are queued, or while a body that is streamed to a
server waits for that server. Size limits are checked here, before anything is buffered.
"""

from __future__ import annotations

from abc import abstractmethod
from collections import deque
from dataclasses import dataclass
from enum import Enum, auto

import httptools

from ..core.body import MAX_BUFFERED_BYTES, Body
from ..core.engine import Engine
from ..core.frontend_binding import FrontendBinding
from .clients import Client, Clients
from .paced_protocol import PacedProtocol, ReceiveBuffer
from .read_scheduler import ReadScheduler
from .request_parser import HttpRequest, RequestError, RequestParser
from .response import HOP_BY_HOP
from .response_format import disposition_of
from .socket_progress import DisconnectMonitor

MAX_BODY_BYTES = 40 * 1024 * 1024  # the longest requests have 32 MB
MAX_HEADERS_BYTES = 32 * 1024
MAX_HEADER_LINES = 256
MAX_FRAMING_FACTOR = 8  # bytes on the socket per byte of body, with the smallest chunks
MAX_FRAMING_BYTES = 32 * 1024  # chunk extensions or trailer without a byte of body in between
MAX_PIPELINED_REQUESTS = 16  # number of queued requests at which reading is paused
QUEUED_ITEM_BYTES = 1024  # memory of a queued request apart from its headers and body
# The parts of a message that arrives in many pieces are reserved in steps, which take less time than bytes.
RESERVATION_STEP_BYTES = 1024
READY_TARGET = b"/-/ready"
# If one of these headers is repeated, in the same or another form, sidecar and server may use different
# values.
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
USED_HEADERS = SINGLE_VALUE_HEADERS | {b"content-length", b"expect", b"x-cost-hint", b"x-retry"}
NOT_FORWARDED = HOP_BY_HOP | {b"expect", b"x-deadline"}


class ReadState(Enum):
    """Whether a connection is still read. States only change in this order."""

    OPEN = auto()
    CLOSING_AFTER_MESSAGE = auto()  # the response is written; the close follows the rest of the request
    ENDED = auto()  # nothing more is parsed: the framing is lost, or the connection is closing


# Looking up an enum member takes 196 ns, a global 14 ns; these are used several times per request.
READ_ENDED = ReadState.ENDED
CLOSING_AFTER_MESSAGE = ReadState.CLOSING_AFTER_MESSAGE


@dataclass(slots=True)
class ReadinessCheck:
    """A request for the readiness of this sidecar."""

    keep_alive: bool
    reserved_bytes: int = 0  # memory reserved while it is queued


@dataclass(frozen=True, slots=True)
class ConnectionContext:
    """What all client connections of a frontend share."""

    engine: Engine
    frontend_binding: FrontendBinding
    clients: Clients
    request_parser: RequestParser
    disconnect_monitor: DisconnectMonitor  # watches connections whose reading is paused
    read_scheduler: ReadScheduler
    receive_buffer: ReceiveBuffer


class RequestReader(PacedProtocol, Client):
    """The reading part of a client connection. Owns the parser, the incomplete message and the queue."""

    def __init__(self, context: ConnectionContext) -> None:
        """Start without a transport, expecting the first message."""
        super().__init__(
            context.read_scheduler,
            context.receive_buffer,
            context.disconnect_monitor,
            context.engine.clock,
        )
        self.context = context
        self.engine: Engine = context.engine
        self.clients: Clients = context.clients
        self.parser = httptools.HttpRequestParser(self)
        self.queue: deque[HttpRequest | ReadinessCheck | RequestError] = deque()
        self.current: HttpRequest | None = None  # the request that is being served
        self.uploading: HttpRequest | None = None  # a request whose body is still arriving
        self.read_state = ReadState.OPEN
        self.closed = False
        self.parsing = False
        self.paused = False  # whether reading is paused
        self.paused_recently = False  # whether it was paused since the last `recent_body_bytes`
        self.head_completed = False  # whether a head was completed since the last `Clients.reclassify`
        self.body_size_at_sweep = 0  # bytes of the body at the last `recent_body_bytes`
        self.has_sent_request = False  # whether it has ever sent a complete message
        self.reserved_bytes = 0  # memory reserved for the heads of its requests
        self._start_message()

    def _start_message(self) -> None:
        self.message_begun = False  # whether a message has begun and is incomplete
        self.duplicate_header = False
        self.target = b""
        self.headers: dict[bytes, bytes] = {}  # those in `USED_HEADERS`, by lower-case name
        self.forwarded_lines = bytearray()
        self.body: Body | None = None  # set at the end of the headers
        self.message_size = 0  # bytes received of this message
        self.unreserved_bytes = 0  # of these, bytes of an incomplete head that no memory is reserved for
        self.framing_bytes = 0  # bytes received since the last byte of the body
        self.headers_bytes = 0
        self.header_lines = 0
        self.message_reserved_bytes = 0  # memory reserved for its headers
        self.queued_item_bytes = 0  # of these, memory that it takes while it is queued behind others
        self.discarding = False  # the response is written: the rest of the message is discarded

    @property
    def in_body(self) -> bool:
        """Whether the headers of the message are complete."""
        return self.body is not None

    def recent_body_bytes(self) -> int | None:
        """Return the bytes of the body since the last call; None if reading was paused in between."""
        size = self.body.size if self.body is not None else 0
        received, self.body_size_at_sweep = size - self.body_size_at_sweep, size
        paused, self.paused_recently = self.paused_recently, False
        return None if paused else received

    def sample_arrival(self) -> None:
        """Record how much has arrived on a connection that is not read."""
        if self.uploading is not None and self.transport is not None:
            self.arrival.sample(self.socket)

    def _earliest_end_ns(self) -> int:
        """Return the earliest time at which the last byte of the current message can have been written."""
        body = self.body
        if body is None or self.transport is None:
            return self.engine.clock.now()
        missing_bytes = None if body.length is None else body.length - body.size
        return self.arrival.earliest_end_ns(self.socket, missing_bytes)

    def reading_delayed(self) -> None:
        """Let the time that the sidecar takes to read not count towards the limits on the client."""
        self.paused_recently = True

    def data_received(self, data: memoryview) -> None:
        """Parse received data, then serve the requests that it completed."""
        if self.read_state is READ_ENDED or self.closed:
            return
        # The rest of a body must not be sent to a server after its client has disconnected.
        if self.uploading is not None and self.close_if_disconnected():
            return
        self._parse(data)
        if self.uploading is not None:
            self.uploading.body.flush()
        self._serve_queue()
        self.clients.reclassify(self)

    def continue_processing(self) -> None:
        """Serve the rest of the queue."""
        self._serve_queue()
        self.clients.reclassify(self)

    def _parse(self, data: memoryview) -> None:
        self.message_size += len(data)
        self.unreserved_bytes += len(data)
        body, body_size = self.body, self.body.size if self.body is not None else 0
        self.parsing = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades are not known here")
        except httptools.HttpParserCallbackError:
            self.engine.log_fault("a request could not be read")
            self._reject(400, "unreadable request")
        except httptools.HttpParserError:
            self._reject(400, "malformed request")
        self.parsing = False
        self._check_framing(len(data), has_body_part=body is None or body.size > body_size)
        if self.message_begun and not self.in_body:
            if not self.message_size:  # it began behind another message, at an unknown place in the data
                self.unreserved_bytes = len(data)
            self._reserve_incomplete_head()

    def _check_framing(self, size: int, *, has_body_part: bool) -> None:
        """Reject a message that has too much besides its body; `size` is that of the data just parsed."""
        self.framing_bytes = 0 if has_body_part else self.framing_bytes + size
        # The parser itself buffers a line of the head or of the trailer, of any length.
        if self.message_size > (MAX_BODY_BYTES * MAX_FRAMING_FACTOR if self.in_body else MAX_HEADERS_BYTES):
            self._reject(431, "headers are too long")
        elif self.in_body and self.framing_bytes > MAX_FRAMING_BYTES:
            self._reject(431, "the trailer or a chunk extension is too long")

    # Called by the parser

    def on_message_begin(self) -> None:
        """Record that a message has begun."""
        self.message_begun = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header line; those of a trailer are ignored."""
        if self.in_body or self.read_state is READ_ENDED:  # a trailer, or the rest of a rejected head
            return
        self.headers_bytes += len(name) + len(value) + len(b": \r\n")
        lower_name, value = name.lower(), value.strip(b" \t")  # white space around a value is not part of it
        if lower_name in SINGLE_VALUE_HEADERS and lower_name in self.headers:
            self.duplicate_header = True
        if lower_name in USED_HEADERS:
            self.headers[lower_name] = value
        if lower_name not in NOT_FORWARDED:
            self.forwarded_lines += b"%s: %s\r\n" % (name, value)
        self.header_lines += 1
        if self.header_lines > MAX_HEADER_LINES:
            self._reject(431, "too many header lines")

    def on_headers_complete(self) -> None:
        """Check the framing and prepare for the body."""
        if self.read_state is READ_ENDED:
            return
        length = self.headers.get(b"content-length")
        chunked = b"transfer-encoding" in self.headers
        stated_length = int(length[:12]) if length is not None and length.isdigit() else 0
        if length is not None and not length.isdigit():
            self._reject(400, "Content-Length is no number")
            return
        self.body = Body(self.engine.memory, None if chunked else stated_length)
        self.body.on_reading_change = self._update_reading
        self.body.earliest_end_ns = self._earliest_end_ns
        self.head_completed = True
        self.body_size_at_sweep = 0
        if self.headers_bytes + len(self.target) > MAX_HEADERS_BYTES:
            self._reject(431, "headers are too long")
        elif chunked and self.parser.get_http_version() == "1.0":
            # The framing of such a message is faulty (RFC 9112, 6.1): its end cannot be determined.
            self._reject(400, "HTTP/1.0 knows no Transfer-Encoding")
        elif self.headers.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            self._reject(501, "Transfer-Encoding must be chunked")
        elif stated_length > MAX_BODY_BYTES:
            self._reject(413, "the body is too large")
        elif not self._reserve_head():
            self._reject(503, "too much is held")
        elif self.headers.get(b"expect", b"").lower() == b"100-continue" and self.idle:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        if self.read_state is READ_ENDED or self.body is None:
            return
        if self.body.size + len(data) > MAX_BODY_BYTES:
            self._reject(413, "the body is too large")
        elif not self.body.add(data):
            self._reject(503, "too much is held")
        elif self.uploading is None and not self.discarding and len(self.body.buffered) > MAX_BUFFERED_BYTES:
            self._enqueue_message()  # the body is too long to be buffered, so it is streamed

    def on_message_complete(self) -> None:
        """Queue the request, or end its body if the request is queued or served already."""
        if self.read_state is READ_ENDED or self.body is None:
            return
        if self.parser.should_upgrade():
            self._reject(400, "upgrades are not known here")
            return
        self.has_sent_request = True
        request = self.uploading
        if request is not None:
            self.uploading = None
            request.deadline_ns = self.arrival.earliest_write_ns() + request.timeout_ns
            self.body.end()
            self.engine.requests.body_ended(request)
        elif not self.discarding:
            self.body.end()
            self._enqueue_message()
        self._start_message()
        if self.read_state is CLOSING_AFTER_MESSAGE:
            self._close_gracefully()
        self._update_reading()

    def _enqueue_message(self) -> None:
        """Queue the current message, whose body may be incomplete."""
        assert self.body is not None
        keep_alive = self.parser.should_keep_alive()
        item: HttpRequest | ReadinessCheck | RequestError
        if self.target == READY_TARGET:
            item = ReadinessCheck(keep_alive)
        elif self.duplicate_header:
            item = RequestError(400, "a header came twice")
            item.keep_alive = keep_alive
        else:
            try:
                item = self.context.request_parser.parse(
                    self.arrival.earliest_write_ns(),
                    self.parser.get_method(),
                    self.target,
                    self.headers,
                    bytes(self.forwarded_lines),
                    self.body,
                    keep_alive=keep_alive,
                )
                item.reserved_bytes = self.message_reserved_bytes
                item.is_http_1_0 = self.parser.get_http_version() == "1.0"
            except RequestError as error:
                error.keep_alive = keep_alive
                # Its frames refer to the headers, and would be kept as long as it is queued.
                item = error.with_traceback(None)
        self.queue.append(item)
        if not isinstance(item, HttpRequest):
            item.reserved_bytes = self.queued_item_bytes
            self._release(self.message_reserved_bytes - self.queued_item_bytes)
            self.discarding = True
            self.body.discard()
        elif not self.body.complete:
            self.uploading = item

    def _reject(self, code: int, text: str) -> None:
        """Respond with an error after the requests before it, then close, since the framing is lost."""
        if self.read_state is READ_ENDED:
            return
        self.read_state = READ_ENDED
        self.message_begun = False
        self._discard_head()
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
            self.queue[self.queue.index(request)] = RequestError(code, text, request.class_index)
        elif self.current is None and not self.queue:
            self._close_gracefully()  # the message has been answered already

    def _discard_head(self) -> None:
        """Free the head of a message that is not read to its end, also what the parser has kept of it."""
        self.target = b""
        self.headers = {}
        self.forwarded_lines = bytearray()
        del self.parser

    def _discard_queue(self) -> None:
        """Discard the queued requests, which will not be served."""
        for item in self.queue:
            if isinstance(item, HttpRequest):
                item.body.discard()
        self.queue.clear()

    def _update_reading(self) -> None:
        """Pause or resume reading, depending on whether more data can be queued or forwarded."""
        if self.transport is None or self.transport.is_closing() or self.read_state is READ_ENDED:
            return
        stop = (
            len(self.queue) >= MAX_PIPELINED_REQUESTS
            or (bool(self.queue) and not self.message_begun and self.engine.memory.short)
            or (self.body is not None and self.body.reading_paused)
        )
        if stop == self.paused:
            return
        self.paused = stop
        if stop:
            self.paused_recently = True
        self.enable_reading(enabled=not stop)

    def _reserve_incomplete_head(self) -> None:
        """Reserve memory for what has arrived of a head, some of which the parser keeps."""
        if self.read_state is READ_ENDED or self.unreserved_bytes < RESERVATION_STEP_BYTES:
            return
        size, self.unreserved_bytes = self.unreserved_bytes, 0
        if self.engine.memory.reserve_incomplete(size):
            self._count_reserved(size)
        else:
            self._reject(503, "too much is held")

    def _reserve_head(self) -> bool:
        """Reserve memory for the complete head, and for the queued request if others are before it.

        What comes behind other requests, or has a body to come, may not use the last part of the budget.
        """
        queued = bool(self.queue) or self.current is not None
        if queued:
            self.queued_item_bytes = QUEUED_ITEM_BYTES
        self.unreserved_bytes = 0
        size = self.headers_bytes + len(self.target) + self.queued_item_bytes
        missing = size - self.message_reserved_bytes
        if missing <= 0:
            return True
        memory, body = self.engine.memory, self.body
        body_follows = body is not None and body.length != 0
        if not (memory.reserve_incomplete(missing) if queued or body_follows else memory.reserve(missing)):
            return False
        self._count_reserved(missing)
        return True

    def _count_reserved(self, size: int) -> None:
        self.reserved_bytes += size
        self.message_reserved_bytes += size

    def _release(self, size: int) -> None:
        self.engine.memory.release(size)
        self.reserved_bytes -= size

    # Implemented by the derived classes

    @abstractmethod
    def _serve_queue(self) -> None: ...

    @abstractmethod
    def _write(self, data: bytes) -> None: ...

    @abstractmethod
    def _close_gracefully(self) -> None: ...
