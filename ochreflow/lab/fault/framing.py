"""Which part of a message each byte of a stream belongs to, however the bytes are cut into pieces.

It follows HTTP/1.1 only as far as faults need places to be named. What it can't follow counts as body, to
the end of the stream.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum
from typing import NamedTuple

MAX_LINE_BYTES = 64 * 1024  # a line that is longer is no line
LINE_END_BYTES = 2  # CR LF behind a chunk


class Place(Enum):
    """A part of a message; the values are the script's words."""

    START = "start"  # before the first byte of a message
    HEAD = "head"
    LENGTH = "length"  # the value of Content-Length
    CHUNK_SIZE = "chunk_size"
    BODY = "body"
    END = "end"  # after the last byte of a message


class Piece(NamedTuple):
    """Bytes that follow each other in one part of a message."""

    place: Place
    data: bytes


class Step(NamedTuple):
    """What one state of the framer took: how many bytes, and the pieces that they are."""

    size: int
    pieces: list[Piece]


State = Callable[[bytes, int], Step]
"""Takes bytes of what was read, from an offset on."""


class Framer:
    """Cuts one direction of a connection into labelled pieces; START and END come with no bytes."""

    def __init__(self) -> None:
        """Begin in front of a message."""
        self.state: State = self._start
        self.line = bytearray()
        self.remaining = 0  # bytes of a body or chunk
        self._reset_message()

    def _reset_message(self) -> None:
        self.length: int | None = None
        self.chunked = False
        self.first_line = b""
        self.value = bytearray()

    def feed(self, data: bytes) -> Iterator[Piece]:
        """The pieces of what comes next. Joined, they are the data."""
        at = 0
        while at < len(data):
            size, pieces = self.state(data, at)
            yield from pieces
            at += size

    # The states: each takes bytes from `at` on.

    def _start(self, _data: bytes, _at: int) -> Step:
        self._reset_message()
        self.state = self._name
        return Step(0, [Piece(Place.START, b"")])

    def _name(self, data: bytes, at: int) -> Step:
        """A line up to its end, or up to the colon of a header whose value has a place of its own."""
        byte = data[at : at + 1]
        self.line += byte
        if byte == b"\n":
            return Step(1, [Piece(Place.HEAD, byte), *self._end_line()])
        if byte == b":" and self.line[:-1].lower() == b"content-length":
            self.state = self._value
            self.value.clear()
        elif len(self.line) > MAX_LINE_BYTES:
            self.state = self._until_eof
        return Step(1, [Piece(Place.HEAD, byte)])

    def _value(self, data: bytes, at: int) -> Step:
        byte = data[at : at + 1]
        if byte in b"\r\n":
            self.state = self._name
            self.length = int(self.value) if self.value.strip().isdigit() else None
            return Step(0, [])
        self.value += byte
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
            return []  # an empty line in front of a message
        return self._end_head()

    def _end_head(self) -> list[Piece]:
        words = self.first_line.split()
        answer = self.first_line.startswith(b"HTTP/")
        if self.chunked:
            self.state = self._chunk_size
        elif answer and (words[1:2] and words[1][:1] == b"1"):
            self.state = self._start  # an interim answer: the real one follows
        elif self.length:
            self.remaining, self.state = self.length, self._body
        elif answer and self.length is None:
            self.state = self._until_eof
        else:
            return self._end_message()
        return []

    def _end_message(self) -> list[Piece]:
        self.state = self._start
        return [Piece(Place.END, b"")]

    def _body(self, data: bytes, at: int) -> Step:
        part = data[at : at + self.remaining]
        self.remaining -= len(part)
        end = [] if self.remaining else self._end_message()
        return Step(len(part), [Piece(Place.BODY, part), *end])

    def _chunk_size(self, data: bytes, at: int) -> Step:
        byte = data[at : at + 1]
        self.line += byte
        if byte != b"\n":
            return Step(1, [Piece(Place.CHUNK_SIZE, byte)])
        text = bytes(self.line).split(b";")[0].strip()
        self.line.clear()
        try:
            size = int(text, 16)
            self.remaining = size + LINE_END_BYTES
            self.state = self._chunk if size > 0 else self._trailer
        except ValueError:
            self.state = self._until_eof
        return Step(1, [Piece(Place.CHUNK_SIZE, byte)])

    def _chunk(self, data: bytes, at: int) -> Step:
        part = data[at : at + self.remaining]
        self.remaining -= len(part)
        if not self.remaining:
            self.state = self._chunk_size
        return Step(len(part), [Piece(Place.BODY, part)])

    def _trailer(self, data: bytes, at: int) -> Step:
        byte = data[at : at + 1]
        self.line += byte
        if byte != b"\n":
            return Step(1, [Piece(Place.BODY, byte)])
        line = bytes(self.line).strip()
        self.line.clear()
        return Step(1, [Piece(Place.BODY, byte), *(self._end_message() if not line else [])])

    def _until_eof(self, data: bytes, at: int) -> Step:
        return Step(len(data) - at, [Piece(Place.BODY, data[at:])])
