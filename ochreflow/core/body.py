"""A request's body: buffered while another attempt may need it, or streamed once it is too long for that."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .limits import Memory

MAX_BUFFERED_BYTES = 64 * 1024  # a body up to this size is buffered whole, so that a retry can send it again


class BodySink(Protocol):
    """Where a streamed body goes: the connection of the one attempt that it can be sent with."""

    def body_part(self, data: bytes) -> None:
        """Write the next bytes of the body."""
        ...

    def body_end(self) -> None:
        """Write what ends the body: all of it has come."""
        ...


class Body:
    """A body is buffered until it is complete, streamed into a sink, or discarded as it comes."""

    def __init__(self, memory: Memory, length: int | None) -> None:
        """Begin an empty body of `length` bytes as its headers state it; None: it comes in chunks."""
        self.memory = memory
        self.length = length
        self.buffered = bytearray()
        self.size = 0  # bytes that have come so far, buffered or not
        self.complete = False
        self.discarded = False  # not buffered whole any more: no further attempt could send it
        self.discarding = False
        self.sink: BodySink | None = None
        self.blocked = False  # the sink takes no more bytes at present
        # Called when `reading_paused` may have changed.
        self.on_reading_change: Callable[[], None] | None = None
        self.on_discarded: Callable[[], None] | None = None

    @property
    def reading_paused(self) -> bool:
        """Whether no more of it should be read from the client for now."""
        if self.discarding or self.complete:
            return False
        return self.blocked if self.sink is not None else len(self.buffered) > MAX_BUFFERED_BYTES

    def add(self, data: bytes) -> bool:
        """Accept the next bytes; False if there is no memory to buffer them."""
        self.size += len(data)
        if self.discarding:
            return True
        if self.sink is not None:
            self.sink.body_part(data)
            return True
        if not self.memory.reserve(len(data)):
            return False
        self.buffered += data
        return True

    def end(self) -> None:
        """Note that its last byte has come."""
        self.complete = True
        if self.sink is not None:
            self.sink.body_end()

    def stream_to(self, sink: BodySink) -> None:
        """Stream into `sink` from here on; the sink has written what was buffered."""
        self.sink = sink
        self._release_buffer()
        if not self.discarded:
            self.discarded = True
            if self.on_discarded is not None:
                self.on_discarded()

    def set_blocked(self, *, blocked: bool) -> None:
        """Note whether the sink takes more bytes at present."""
        self.blocked = blocked
        if self.on_reading_change is not None:
            self.on_reading_change()

    def discard(self) -> None:
        """Release what is buffered; what still comes is read and thrown away."""
        self.discarding = True
        self.discarded = True
        self.sink = None
        self._release_buffer()
        # Cleared, since body and connection would keep each other alive.
        on_reading_change, self.on_reading_change, self.on_discarded = self.on_reading_change, None, None
        if on_reading_change is not None:
            on_reading_change()

    def _release_buffer(self) -> None:
        self.memory.release(len(self.buffered))
        self.buffered = bytearray()
