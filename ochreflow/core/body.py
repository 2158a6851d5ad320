"""The body of a request: buffered so that a retry can send it again, or streamed if too long for that."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .limits import Memory

MAX_BUFFERED_BYTES = 64 * 1024  # a body up to this size is buffered whole, so that a retry can send it again


class BodySink(Protocol):
    """The destination of a streamed body: the connection of the only attempt that can send it."""

    def body_part(self, data: bytes) -> None:
        """Write the next bytes of the body."""
        ...

    def body_end(self) -> None:
        """Write the end of the body: all of it has arrived."""
        ...


class Body:
    """A request body that is buffered until complete, streamed into a sink, or discarded as it arrives."""

    def __init__(self, memory: Memory, length: int | None) -> None:
        """Start an empty body; `length` is the declared size in bytes, None for a chunked body."""
        self.memory = memory
        self.length = length
        self.buffered = bytearray()
        self.size = 0  # bytes received so far, buffered or not
        self.complete = False
        self.discarded = False  # the body is no longer buffered in full: no further attempt can send it
        self.discarding = False
        self.sink: BodySink | None = None
        self.unflushed: list[bytes] = []  # parts for the sink since the last `flush`
        self.blocked = False  # the sink accepts no more bytes at present
        # Called when `reading_paused` may have changed.
        self.on_reading_change: Callable[[], None] | None = None
        self.on_discarded: Callable[[], None] | None = None
        # Returns the earliest time at which the client can have written the last byte of an incomplete body,
        # in ns on the engine's clock. None: the body is read as it arrives.
        self.earliest_end_ns: Callable[[], int] | None = None

    @property
    def reading_paused(self) -> bool:
        """Whether reading the body from the client should pause for now."""
        if self.discarding or self.complete:
            return False
        return self.blocked if self.sink is not None else len(self.buffered) > MAX_BUFFERED_BYTES

    def add(self, data: bytes) -> bool:
        """Accept the next bytes; return False if there is no memory to buffer them.

        A sink gets them with the next `flush`: small chunks that are received together must not cost a system
        call each.
        """
        self.size += len(data)
        if self.discarding:
            return True
        if self.sink is not None:
            self.unflushed.append(data)
            return True
        reserve = self.memory.reserve if self.size == self.length else self.memory.reserve_incomplete
        if not reserve(len(data)):
            return False
        self.buffered += data
        return True

    def flush(self) -> None:
        """Pass the parts that have been added on to the sink."""
        if self.unflushed:
            parts, self.unflushed = self.unflushed, []
            if self.sink is not None:
                self.sink.body_part(parts[0] if len(parts) == 1 else b"".join(parts))

    def end(self) -> None:
        """Record that the last byte has arrived."""
        self.flush()
        self.complete = True
        self.earliest_end_ns = None
        if self.sink is not None:
            self.sink.body_end()

    def stream_to(self, sink: BodySink) -> None:
        """Stream into `sink` from now on; the sink has already written the buffered bytes."""
        self.sink = sink
        self._release_buffer()
        if not self.discarded:
            self.discarded = True
            if self.on_discarded is not None:
                self.on_discarded()

    def set_blocked(self, *, blocked: bool) -> None:
        """Record whether the sink is blocked, that is, accepts no more bytes at present."""
        self.blocked = blocked
        if self.on_reading_change is not None:
            self.on_reading_change()

    def discard(self) -> None:
        """Release the buffer; bytes that still arrive are read and discarded."""
        self.discarding = True
        self.discarded = True
        self.sink = None
        self.unflushed.clear()
        self._release_buffer()
        # Cleared to break the reference cycle between body and connection.
        self.earliest_end_ns = None
        on_reading_change, self.on_reading_change, self.on_discarded = self.on_reading_change, None, None
        if on_reading_change is not None:
            on_reading_change()

    def _release_buffer(self) -> None:
        self.memory.release(len(self.buffered))
        self.buffered = bytearray()
