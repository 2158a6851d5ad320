"""A request's body: held while it may be needed again, or flowing through once it is too long for that."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .limits import Memory

HOLD_MOST = 64 * 1024  # held whole up to here, so that another attempt can bring it again


class Sink(Protocol):
    """Where a flowing body goes: the connection that the one attempt is made on."""

    def body_part(self, data: bytes) -> None: ...

    def body_end(self) -> None: ...


class Body:
    """Three ways on: held until it is complete, flowing into a sink, or dropped as it comes."""

    def __init__(self, memory: Memory, length: int | None) -> None:
        self.memory = memory
        self.length = length  # as stated; None: in chunks
        self.held = bytearray()
        self.size = 0  # of all that has come
        self.complete = False
        self.spent = False  # not held whole any more: no further attempt could bring it
        self.dropping = False
        self.sink: Sink | None = None
        self.blocked = False  # the sink takes no more at present
        self.changed: Callable[[], None] | None = None  # called when `stopped` may have changed
        self.on_spent: Callable[[], None] | None = None

    @property
    def stopped(self) -> bool:
        """Whether no more should be read of it for now."""
        if self.dropping or self.complete:
            return False
        return self.blocked if self.sink is not None else len(self.held) > HOLD_MOST

    def add(self, data: bytes) -> bool:
        """Take the next piece; False if there is no room to hold it."""
        self.size += len(data)
        if self.dropping:
            return True
        if self.sink is not None:
            self.sink.body_part(data)
            return True
        if not self.memory.reserve(len(data)):
            return False
        self.held += data
        return True

    def end(self) -> None:
        self.complete = True
        if self.sink is not None:
            self.sink.body_end()

    def flow(self, sink: Sink) -> None:
        """What was held has been written to this sink, and all the rest goes there."""
        self.sink = sink
        self._let_go()
        if not self.spent:
            self.spent = True
            if self.on_spent is not None:
                self.on_spent()

    def block(self, blocked: bool) -> None:
        self.blocked = blocked
        if self.changed is not None:
            self.changed()

    def drop(self) -> None:
        """Nobody needs it any more: what is held goes, what still comes is read and thrown away."""
        self.dropping = True
        self.spent = True
        self.sink = None
        self._let_go()
        changed, self.changed, self.on_spent = self.changed, None, None  # else they refer to each other
        if changed is not None:
            changed()

    def _let_go(self) -> None:
        self.memory.release(len(self.held))
        self.held = bytearray()
