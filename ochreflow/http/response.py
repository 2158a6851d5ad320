"""Parses a server's responses, one after another, from the bytes of one connection.

Nothing is known here of sockets or of what waits for the response: whoever reads the connection feeds the
bytes in, and asks afterwards whether the response is complete, invalid, or to be relayed.

A short response is buffered until it is complete. A longer one, and one whose length is not stated, can be
taken out in parts as it comes.
"""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from ..core.limits import Memory
from ..policy.interface import Status

MAX_HEADERS_BYTES = 32 * 1024  # bytes of a response's head and of all its framing
MAX_RELAYED_BODY_BYTES = 40 * 1024 * 1024  # of the body of a response that is relayed; messages reach 32 MB
MAX_FRAMING_FACTOR = 8  # bytes on the socket for each one of a body, in the smallest of chunks
OK = 200
MIN_FINAL_CODE = 200  # a response below is an interim one
REJECTION_CODES = (503, 504)  # the codes with which a server may say that it did not run the request
NOT_RUN = b"1"  # the value of the header that says so
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
    headers: list[tuple[bytes, bytes]]
    body: bytes
    not_run: bool  # the server says that it did not run the request
    load: bytes


def classify(response: Response) -> Status:
    """What a response proves. Only the header proves that a request never ran, not the code alone."""
    if response.code == OK:
        return Status.OK
    if response.code in REJECTION_CODES and response.not_run:
        return Status.REJECTED
    return Status.ERROR


class ResponseParser:
    """Parses a response at a time: `start` for each request, then `feed`, and `end` at the end of stream."""

    def __init__(self, memory: Memory) -> None:
        """Reserve what is buffered in `memory`."""
        self._memory = memory
        self._parser = httptools.HttpResponseParser(self)
        self._reserved = 0  # bytes of the body that the memory is reserved for
        self.start(0, may_relay=False)

    # What the connection calls

    def start(self, buffer_limit: int, *, may_relay: bool) -> None:
        """Expect the response to the next request, of which at most `buffer_limit` bytes are buffered."""
        self._buffer_limit = buffer_limit
        self._may_relay = may_relay
        self._size = 0  # of all that came for this request
        self._relayed = 0  # bytes of the body that have been taken out
        self.relaying = False
        self.invalid = False
        self._start_message()

    def _start_message(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._in_body = False
        self._length = b""
        self._encoding = b""
        self._not_run: set[bytes] = set()  # the values of the header that says so
        self._load = b""
        self._until_end = False  # only the connection's end delimits it
        self.keep_alive = False
        self.complete: Response | None = None
        self.surplus = False  # more came after the complete response

    def feed(self, data: bytes) -> None:
        """Parse what has come. Afterwards the response may be `complete` or `invalid`."""
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.complete is None:
                self.invalid = True
            else:
                self._note_surplus()
        if self.complete is None and self._size > self._size_limit():
            self.invalid = True  # guards against an endless response filling the memory

    def end(self) -> bool:
        """Take the end of the stream; whether the response is complete by it."""
        if not self._until_end or self.invalid:
            return False
        self._complete()
        return True

    def needs_relay(self) -> bool:
        """Whether the response is of use to its client, and too long to buffer or of a length not told."""
        if not self._may_relay or not self._in_body or not self._body:
            return False
        return self._parser.get_status_code() == OK and (
            bool(self._encoding) or self._until_end or int(self._length) > self._buffer_limit
        )

    def start_relay(self) -> tuple[Response, int | None]:
        """Its head, and the length of its body if that is told. The body is to be taken out in parts."""
        self.relaying = True
        length = None if self._encoding or self._until_end else int(self._length)
        return self._response(b""), length

    def take_part(self) -> bytes:
        """Take out what has come of the body."""
        data = b"".join(self._body)
        self._body = []
        self._release_memory()
        self._relayed += len(data)
        return data

    def release(self) -> None:
        """Let go of what the response took."""
        self._release_memory()
        self._body, self._headers, self.complete = [], [], None

    def close(self) -> None:
        """Drop the reference cycle with the underlying parser; nothing can be fed in any more."""
        del self._parser

    def _size_limit(self) -> int:
        if not self._in_body:
            return MAX_HEADERS_BYTES
        return MAX_HEADERS_BYTES + (
            MAX_RELAYED_BODY_BYTES * MAX_FRAMING_FACTOR if self._may_relay else self._buffer_limit
        )

    @property
    def _says_not_run(self) -> bool:
        """Whether the server says so without contradicting itself."""
        return self._not_run == {NOT_RUN}

    def _note_surplus(self) -> None:
        """More has come after the complete response: one of the two belongs to another request."""
        assert self.complete is not None
        self.surplus = True
        self.complete.not_run = False

    def _release_memory(self) -> None:
        self._memory.release(self._reserved)
        self._reserved = 0

    # What the underlying parser calls

    def on_message_begin(self) -> None:
        """Note a surplus message."""
        if self.complete is not None:
            self._note_surplus()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header line of the head or a trailer."""
        if self.complete is not None:
            return
        low, value = name.lower(), value.strip(b" \t")
        if low == b"x-not-run":
            if not self._in_body or value != NOT_RUN:  # a trailer can contradict the head, but proves nothing
                self._not_run.add(value)
        elif self._in_body:
            return  # another trailer
        elif low == b"x-load":
            self._load = value
        elif low == b"content-length":
            self._length = value
        elif low == b"transfer-encoding":
            self._encoding = self._encoding + b", " + value if self._encoding else value
        elif low not in HOP_BY_HOP:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Find out how the body is delimited, and whether it can fit."""
        code = self._parser.get_status_code()
        if self.complete is not None or code < MIN_FINAL_CODE:
            return
        self._in_body = True
        max_body_bytes = MAX_RELAYED_BODY_BYTES if self._may_relay and code == OK else self._buffer_limit
        # What can't fit is known to be of no use before it comes.
        if self._encoding:
            self.invalid = self._encoding.lower() != b"chunked"
        elif self._length:
            self.invalid = not self._length.isdigit() or int(self._length) > max_body_bytes
        elif code == OK or (code in REJECTION_CODES and self._says_not_run):
            self._until_end = True  # only a whole response is of use to a client, or proves anything
        else:
            self._complete()  # the head says all; its body has no end but the connection's

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        if self.complete is not None or self.invalid:
            return
        if self._relayed + self._reserved + len(data) > MAX_RELAYED_BODY_BYTES or not self._memory.reserve(
            len(data)
        ):
            self.invalid = True
            return
        self._reserved += len(data)
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Complete the response; an interim one is dropped."""
        if self.complete is not None:
            return
        code = self._parser.get_status_code()
        if (
            code < MIN_FINAL_CODE
        ):  # an interim response, the final one follows; its size counts on, or it had no bound
            self._start_message()
            return
        if self.invalid:
            return
        # Asked here, since the parser answers for the next message as soon as this call is over: asked
        # later it is always no, and every request pays for a connection of its own.
        self.keep_alive = self._parser.should_keep_alive()
        self._complete()

    def _complete(self) -> None:
        self.complete = self._response(b"" if self.relaying else b"".join(self._body))

    def _response(self, body: bytes) -> Response:
        return Response(self._parser.get_status_code(), self._headers, body, self._says_not_run, self._load)
