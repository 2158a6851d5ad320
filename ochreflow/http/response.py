"""Parses a server's responses, one after another, from the bytes of one connection.

The parser does not know sockets or exchanges: the connection feeds it the received bytes, and checks
afterwards whether the response is complete, invalid, or to be relayed.

A short response is buffered until it is complete. A longer one, or one without a stated length, can be taken
out in parts as it arrives.
"""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from ..core.limits import Memory
from ..policy.interface import Status

MAX_HEADERS_BYTES = 32 * 1024  # limit for a response's head and the framing of its body
MAX_HEADER_LINES = 256
SHORT_HEAD_BYTES = 2 * 1024  # bytes of a head that count as part of the open request
MAX_FRAMING_BYTES = 32 * 1024  # chunk extensions or trailer without a byte of body in between
MAX_PARTS = 256  # parts of a body that are kept before they are joined
MAX_RELAYED_BODY_BYTES = 40 * 1024 * 1024  # the longest responses have 32 MB
MAX_FRAMING_FACTOR = 8  # bytes on the socket per byte of body, with the smallest chunks
OK = 200
MIN_FINAL_CODE = 200  # lower codes are interim responses
REJECTION_CODES = (503, 504)  # codes with which a server may state that it did not run the request
NOT_RUN = b"1"  # the value of `X-Not-Run` that states this
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


@dataclass(slots=True)
class Response:
    """A complete response, or the head of one that is relayed."""

    code: int
    header_lines: bytes  # as they are forwarded
    body: bytes
    not_run: bool  # the server states that it did not run the request
    load: bytes  # the load report; empty if there is none


def classify(response: Response) -> Status:
    """Return the status that a response proves; only `X-Not-Run` proves that the request did not run."""
    if response.code == OK:
        return Status.OK
    if response.code in REJECTION_CODES and response.not_run:
        return Status.REJECTED
    return Status.ERROR


class ResponseParser:
    """Parses one response at a time: `start` for each request, then `feed`; `end` at the end of stream."""

    def __init__(self, memory: Memory) -> None:
        """Account for buffered data in `memory`."""
        self._memory = memory
        self._parser = httptools.HttpResponseParser(self)
        self._reserved = 0  # bytes of memory reserved for the body
        self._reserved_head = 0  # bytes of memory reserved for the head
        self.start(0, may_relay=False)

    # Called by the connection

    def start(self, buffer_limit: int, *, may_relay: bool) -> None:
        """Expect the response to the next request, of which at most `buffer_limit` bytes are buffered."""
        self._buffer_limit = buffer_limit
        self._may_relay = may_relay
        self._size = 0  # bytes received for this request
        self._head_bytes = 0  # of these, bytes received before the body began
        self._relayed = 0  # bytes of the body that have been taken out
        self._discarded = 0  # bytes of the body of an unsuccessful response
        self._framing_bytes = 0  # bytes received since the last byte of the body
        self._out_of_memory = False
        self.relaying = False
        self.invalid = False
        self._start_message()

    def _start_message(self) -> None:
        self._header_lines = bytearray()
        self._header_count = 0
        self._body: list[bytes] = []
        self._in_body = False
        self._length = b""
        self._encoding = b""
        self._not_run: set[bytes] = set()  # the values of `X-Not-Run`
        self._load = b""
        self._until_end = False  # only the end of the connection delimits the body
        self.keep_alive = False
        self.complete: Response | None = None
        self.surplus = False  # data followed the complete response

    def feed(self, data: bytes) -> None:
        """Parse received data; the response may be `complete` or `invalid` afterwards."""
        self._size += len(data)
        in_head, body_size = not self._in_body, self._received_body
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.complete is None:
                self.invalid = True
            else:
                self._note_surplus()
        if in_head and self.complete is None and not self._reserve_head(len(data)):
            self.invalid = True
        has_body_part = self._received_body > body_size
        self._framing_bytes = 0 if has_body_part else self._framing_bytes + len(data)
        if self.complete is None and (
            self._size > self._size_limit() or self._framing_bytes > MAX_FRAMING_BYTES
        ):
            self.invalid = True  # an endless response must not fill the memory

    def end(self) -> bool:
        """Handle the end of the stream; return whether it completes the response."""
        if not self._until_end or self.invalid:
            return False
        self._complete()
        return True

    def _reserve_head(self, size: int) -> bool:
        """Reserve memory for a long head that goes on with `size` bytes; return False if none is left."""
        self._head_bytes = len(self._header_lines) if self._in_body else self._head_bytes + size
        missing = self._head_bytes - SHORT_HEAD_BYTES - self._reserved_head
        if missing <= 0:
            return True
        if not self._memory.reserve(missing):
            return False
        self._reserved_head += missing
        return True

    @property
    def succeeding(self) -> bool:
        """Whether a successful response is complete, or about to be relayed."""
        if self.complete is not None:
            return self.complete.code == OK
        return not self.relaying and self.needs_relay()

    def needs_relay(self) -> bool:
        """Return whether the response is successful, and can't be buffered.

        It is too long for that, it has no stated length, or there is no memory.
        """
        if not self._may_relay or not self._in_body or not self._body:
            return False
        return self._parser.get_status_code() == OK and (
            self._out_of_memory
            or bool(self._encoding)
            or self._until_end
            or int(self._length) > self._buffer_limit
        )

    def start_relay(self) -> tuple[Response, int | None]:
        """Return the head and the stated length of the body, if any; `take_part` returns the body."""
        self.relaying = True
        length = None if self._encoding or self._until_end else int(self._length)
        head = self._response(b"")
        self._release_head()
        return head, length

    def take_part(self) -> bytes:
        """Remove and return the received part of the body."""
        data = b"".join(self._body)
        self._body = []
        self._release_memory()
        self._relayed += len(data)
        return data

    def release(self) -> None:
        """Release the memory of the response."""
        self._release_memory()
        self._release_head()
        self._body, self.complete = [], None

    def close(self) -> None:
        """Break the reference cycle with the underlying parser; `feed` must not be called any more."""
        del self._parser

    @property
    def _received_body(self) -> int:
        """The bytes of the body that have arrived."""
        return self._relayed + self._reserved + self._discarded

    def _size_limit(self) -> int:
        if not self._in_body:
            return MAX_HEADERS_BYTES
        return MAX_HEADERS_BYTES + (
            MAX_RELAYED_BODY_BYTES * MAX_FRAMING_FACTOR if self._may_relay else self._buffer_limit
        )

    @property
    def _states_not_run(self) -> bool:
        """Whether the server states, without contradicting itself, that it did not run the request."""
        return self._not_run == {NOT_RUN}

    def _note_surplus(self) -> None:
        """Handle data after the complete response: one of the two belongs to another request."""
        assert self.complete is not None
        self.surplus = True
        self.complete.not_run = False

    def _release_memory(self) -> None:
        self._memory.release(self._reserved)
        self._reserved = 0

    def _release_head(self) -> None:
        self._memory.release(self._reserved_head)
        self._reserved_head = 0
        self._header_lines = bytearray()

    # Called by the underlying parser

    def on_message_begin(self) -> None:
        """Record a message after the complete response."""
        if self.complete is not None:
            self._note_surplus()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process a header line of the head or of the trailer."""
        if self.complete is not None or self.invalid:
            return
        lower_name, value = name.lower(), value.strip(b" \t")
        if lower_name == b"x-not-run":
            if not self._in_body or value != NOT_RUN:  # a trailer can only contradict the head
                self._not_run.add(value)
        elif self._in_body:
            return  # any other trailer field
        elif lower_name == b"x-load":
            self._load = value
        elif lower_name == b"content-length":
            self._length = value
        elif lower_name == b"transfer-encoding":
            self._encoding = self._encoding + b", " + value if self._encoding else value
        elif lower_name not in HOP_BY_HOP:
            self._header_lines += b"%s: %s\r\n" % (name, value)
            self._header_count += 1
            if self._header_count > MAX_HEADER_LINES:
                self.invalid = True

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited, and whether it can fit."""
        code = self._parser.get_status_code()
        if self.complete is not None or code < MIN_FINAL_CODE or self.invalid:
            return
        self._in_body = True
        max_body_bytes = MAX_RELAYED_BODY_BYTES if self._may_relay and code == OK else self._buffer_limit
        # A body that cannot fit is rejected before it arrives.
        if self._encoding:
            self.invalid = self._encoding.lower() != b"chunked"
        elif self._length:
            self.invalid = not self._length.isdigit() or int(self._length) > max_body_bytes
        elif code == OK or (code in REJECTION_CODES and self._states_not_run):
            self._until_end = True  # only a complete response can be forwarded or prove a status
        else:
            self._complete()  # the head is sufficient; only the end of the connection would end the body

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        if self.complete is not None or self.invalid:
            return
        if self._relayed + self._reserved + len(data) > MAX_RELAYED_BODY_BYTES:
            self.invalid = True
        elif self._reserve_body(len(data)):
            self._body.append(data)
            if len(self._body) > MAX_PARTS:
                self._body = [b"".join(self._body)]  # a short part takes many times its size
        elif self._may_relay and self._parser.get_status_code() != OK:
            self._discarded += len(data)  # only the status of such a response is used
        else:
            self.invalid = True

    def _reserve_body(self, size: int) -> bool:
        """Reserve memory for a part of the body; without memory left, a successful one has to be relayed."""
        if self.relaying:
            self._memory.charge(size)  # the part leaves the parser before the next one arrives
        elif not self._memory.reserve(size):
            if not self._may_relay or self._parser.get_status_code() != OK:
                return False
            self._out_of_memory = True
            self._memory.charge(size)
        self._reserved += size
        return True

    def on_message_complete(self) -> None:
        """Complete the response; an interim response is dropped."""
        if self.complete is not None:
            return
        code = self._parser.get_status_code()
        if code < MIN_FINAL_CODE:
            # The final response follows. `_size` is kept, otherwise interim responses would have no limit.
            self._start_message()
            return
        if self.invalid:
            return
        # Read here, since the parser resets the flag for the next message after this call: later it would
        # always be False, and every request would need a new connection.
        self.keep_alive = self._parser.should_keep_alive()
        self._complete()

    def _complete(self) -> None:
        self.complete = self._response(b"" if self.relaying else b"".join(self._body))

    def _response(self, body: bytes) -> Response:
        return Response(
            self._parser.get_status_code(), bytes(self._header_lines), body, self._states_not_run, self._load
        )
