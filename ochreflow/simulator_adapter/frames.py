"""Frames of the simulator's wire: a header, records of one size, and a tail for what has no fixed size.

All numbers are little-endian and packed without padding.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import BinaryIO

from .errors import RecordCountError, ShortFrameError, TailRangeError, TruncatedInputError

LENGTH = struct.Struct("<I")  # of a batch: how many bytes come after this field
BATCH_HEADER = struct.Struct("<QI")  # clock in nanoseconds, number of records
REPLY_HEADER = struct.Struct("<II")  # number of records, how many bytes come after this field
EVENT_SIZE_BYTES = 48


@dataclass(slots=True)
class EventBatch:
    """One frame of events, given without its length field."""

    now_ns: int
    body: bytes
    tail_at: int  # where the tail begins in `body`

    @classmethod
    def parse(cls, body: bytes) -> EventBatch:
        """Read the header. Raises `FrameError` where the frame is too short for it or for its records."""
        if len(body) < BATCH_HEADER.size:
            raise ShortFrameError
        now_ns, count = BATCH_HEADER.unpack_from(body)
        tail_at = BATCH_HEADER.size + count * EVENT_SIZE_BYTES
        if len(body) < tail_at:
            raise RecordCountError(len(body), count)
        return cls(now_ns, body, tail_at)

    def record_offsets(self) -> range:
        """Where each record begins in `body`, in the order of the events."""
        return range(BATCH_HEADER.size, self.tail_at, EVENT_SIZE_BYTES)

    def tail(self, offset: int, size: int) -> bytes:
        """Return a part of the tail. Raises `TailRangeError` where the tail ends before it does."""
        start = self.tail_at + offset
        if start + size > len(self.body):
            raise TailRangeError(offset + size)
        return self.body[start : start + size]


class Reply:
    """The frame of actions that answers one batch, while it is being written."""

    __slots__ = ("records", "tail")

    def __init__(self) -> None:
        """Begin without any action."""
        self.records: list[bytes] = []
        self.tail = bytearray()

    def to_bytes(self) -> bytes:
        """Return the whole frame."""
        payload = b"".join(self.records) + self.tail
        return REPLY_HEADER.pack(len(self.records), len(payload)) + payload


def read_batches(source: BinaryIO) -> Iterator[bytes]:
    """Yield each frame without its length field until the input ends.

    Raises `TruncatedInputError` where the input ends inside a frame.
    """
    while length := _read(source, LENGTH.size):
        size = LENGTH.unpack(length)[0]
        body = _read(source, size)
        if size and not body:
            raise TruncatedInputError(size)
        yield body


def _read(source: BinaryIO, size: int) -> bytes:
    """Read so many bytes, or none at the end of the input."""
    data = source.read(size)
    if data and len(data) < size:
        raise TruncatedInputError(size - len(data))
    return data
