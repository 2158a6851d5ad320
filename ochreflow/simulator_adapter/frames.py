"""Frames of the simulator's wire protocol: a header, fixed-size records, and a tail for variable-size data.

All numbers are little-endian and packed without padding.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import BinaryIO

from .errors import RecordCountError, ShortFrameError, TailRangeError, TruncatedInputError

LENGTH = struct.Struct("<I")  # number of bytes of an event frame after this field
BATCH_HEADER = struct.Struct("<QI")  # clock in nanoseconds, number of records
REPLY_HEADER = struct.Struct("<II")  # number of records, number of bytes after this header
EVENT_SIZE_BYTES = 48


@dataclass(slots=True)
class EventBatch:
    """One frame of events, without its length field."""

    now_ns: int
    body: bytes
    tail_start: int  # offset into `body`

    @classmethod
    def parse(cls, body: bytes) -> EventBatch:
        """Parse the header. Raise `FrameError` if the frame is too short for its header or its records."""
        if len(body) < BATCH_HEADER.size:
            raise ShortFrameError
        now_ns, count = BATCH_HEADER.unpack_from(body)
        tail_start = BATCH_HEADER.size + count * EVENT_SIZE_BYTES
        if len(body) < tail_start:
            raise RecordCountError(len(body), count)
        return cls(now_ns, body, tail_start)

    def record_offsets(self) -> range:
        """Return the offset of each record in `body`, in the order of the events."""
        return range(BATCH_HEADER.size, self.tail_start, EVENT_SIZE_BYTES)

    def tail(self, offset: int, size: int) -> bytes:
        """Return `size` bytes of the tail. Raise `TailRangeError` if the tail ends before them."""
        start = self.tail_start + offset
        if start + size > len(self.body):
            raise TailRangeError(offset + size)
        return self.body[start : start + size]


class Reply:
    """Builder of the frame of actions that answers one frame of events."""

    __slots__ = ("records", "tail")

    def __init__(self) -> None:
        """Begin with no actions."""
        self.records: list[bytes] = []
        self.tail = bytearray()

    def to_bytes(self) -> bytes:
        """Return the frame with its header."""
        payload = b"".join(self.records) + self.tail
        return REPLY_HEADER.pack(len(self.records), len(payload)) + payload


def read_batches(source: BinaryIO) -> Iterator[bytes]:
    """Yield each frame without its length field until the input ends.

    Raise `TruncatedInputError` if the input ends inside a frame.
    """
    while length := _read_exactly(source, LENGTH.size):
        size = LENGTH.unpack(length)[0]
        body = _read_exactly(source, size)
        if size and not body:
            raise TruncatedInputError(size)
        yield body


def _read_exactly(source: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or none at the end of the input. Raise `TruncatedInputError` if there are fewer."""
    data = source.read(size)
    if data and len(data) < size:
        raise TruncatedInputError(size - len(data))
    return data
