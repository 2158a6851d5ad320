"""Labels each byte of a stream with the part of the message it belongs to, however the reads split it.

Parses HTTP/1.1 only as far as the places of faults require. Bytes that it cannot parse are labelled as
body up to the end of the stream.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum
from typing import NamedTuple

MAX_LINE_BYTES = 64 * 1024  # a longer line is treated as unparsable
LINE_END_BYTES = 2  # CR LF after the data of a chunk


class Place(Enum):
    """A part of a message; the values are written in scripts."""

    START = "start"  # before the first byte of a message
    HEAD = "head"
    LENGTH = "length"  # the value of Content-Length
    CHUNK_SIZE = "chunk_size"
    BODY = "body"
    END = "end"  # after the last byte of a message


class Piece(NamedTuple):
    """Consecutive bytes of one part of a message."""

    place: Place
    data: bytes


class Step(NamedTuple):
    """Result of one state of the framer: the number of bytes consumed, and the pieces they form."""

    size: int
    pieces: list[Piece]


State = Callable[[bytes, int], Step]
"""Consumes bytes of the data read, starting at an offset."""


class Framer:
    """Splits one direction of a connection into labelled pieces; those of START and END have no bytes."""

    def __init__(self) -> None:
        """Start before the first message."""
        self.state: State = self._start
        self.line = bytearray()
        self.remaining = 0  # bytes left of a body or chunk
        self._reset_message()

    def _reset_message(self) -> None:
        self.content_length: int | None = None
        self.chunked = False
        self.first_line = b""
        self.length_text = bytearray()

    def feed(self, data: bytes) -> Iterator[Piece]:
        """Yield the pieces of the next data. Joined, they equal `data`."""
        offset = 0
        while offset < len(data):
            size, pieces = self.state(data, offset)
            yield from pieces
            offset += size

    # The states: each consumes bytes starting at `offset`.

    def _start(self, _data: bytes, _offset: int) -> Step:
        self._reset_message()
        self.state = self._header_line
        return Step(0, [Piece(Place.START, b"")])

    def _header_line(self, data: bytes, offset: int) -> Step:
        """Consume a line of the head up to its end, or up to the colon of a Content-Length header."""
        byte = data[offset : offset + 1]
        self.line += byte
        if byte == b"\n":
            return Step(1, [Piece(Place.HEAD, byte), *self._end_line()])
        if byte == b":" and self.line[:-1].lower() == b"content-length":
            self.state = self._content_length_value
            self.length_text.clear()
        elif len(self.line) > MAX_LINE_BYTES:
            self.state = self._until_eof
        return Step(1, [Piece(Place.HEAD, byte)])

    def _content_length_value(self, data: bytes, offset: int) -> Step:
        byte = data[offset : offset + 1]
        if byte in b"\r\n":
            self.state = self._header_line
            self.content_length = int(self.length_text) if self.length_text.strip().isdigit() else None
            return Step(0, [])
        self.length_text += byte
        return Step(1, [Piece(Place.HEAD if byte == b" " else Place.LENGTH, byte)])

    def _end_line(self) -> list[Piece]:
        line = bytes(self.line).strip()
        self.line.clear()
        if line:
            if not self.first_line:
                self.first_line = line
            name, _, value = line.lower().partition(b":")
            if name == b"transfer-encoding" and value.strip() == b"chunked":
                self.chunked = True
            return []
        if not self.first_line:
            return []  # an empty line before a message
        return self._end_head()

    def _end_head(self) -> list[Piece]:
        words = self.first_line.split()
        is_response = self.first_line.startswith(b"HTTP/")
        if self.chunked:
            self.state = self._chunk_size
        elif is_response and (words[1:2] and words[1][:1] == b"1"):
            self.state = self._start  # an interim response: the final one follows
        elif self.content_length:
            self.remaining, self.state = self.content_length, self._body
        elif is_response and self.content_length is None:
            self.state = self._until_eof
        else:
            return self._end_message()
        return []

    def _end_message(self) -> list[Piece]:
        self.state = self._start
        return [Piece(Place.END, b"")]

    def _body(self, data: bytes, offset: int) -> Step:
        part = data[offset : offset + self.remaining]
        self.remaining -= len(part)
        end = [] if self.remaining else self._end_message()
        return Step(len(part), [Piece(Place.BODY, part), *end])

    def _chunk_size(self, data: bytes, offset: int) -> Step:
        byte = data[offset : offset + 1]
        self.line += byte
        if byte != b"\n":
            return Step(1, [Piece(Place.CHUNK_SIZE, byte)])
        text = bytes(self.line).split(b";")[0].strip()
        self.line.clear()
        try:
            size = int(text, 16)
            self.remaining = size + LINE_END_BYTES
            self.state = self._chunk if size > 0 else self._trailer_line
        except ValueError:
            self.state = self._until_eof
        return Step(1, [Piece(Place.CHUNK_SIZE, byte)])

    def _chunk(self, data: bytes, offset: int) -> Step:
        part = data[offset : offset + self.remaining]
        self.remaining -= len(part)
        if not self.remaining:
            self.state = self._chunk_size
        return Step(len(part), [Piece(Place.BODY, part)])

    def _trailer_line(self, data: bytes, offset: int) -> Step:
        byte = data[offset : offset + 1]
        self.line += byte
        if byte != b"\n":
            return Step(1, [Piece(Place.BODY, byte)])
        line = bytes(self.line).strip()
        self.line.clear()
        return Step(1, [Piece(Place.BODY, byte), *(self._end_message() if not line else [])])

    def _until_eof(self, data: bytes, offset: int) -> Step:
        return Step(len(data) - offset, [Piece(Place.BODY, data[offset:])])
