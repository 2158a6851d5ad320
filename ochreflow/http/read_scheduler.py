"""Shares the time of the event loop among the connections that are read.

The loop runs timers, and serves other connections, only between two iterations. A peer that sends data at
full speed would otherwise fill an iteration: the kernel holds several megabytes for each connection, and
parsing them takes a second if they come in small pieces.

Three limits bound an iteration, without any loss of throughput while the loop has nothing else to do:

- One read takes few bytes, and fewer if those of the last one took long to process (`ReadPace.read_bytes`)
  or if little memory is left.
- A connection that has more to read when its time slice is over waits. Of the connections that wait for this
  reason, a few are resumed in each iteration, in turn.
- When the time of an iteration is over, the other connections wait for the next one, which serves them first,
  those that have lately taken little time before those that have taken much.
"""

from __future__ import annotations

import asyncio
from itertools import islice
from time import monotonic
from typing import Protocol

from ..core.limits import Memory

MIN_READ_BYTES = 1024
FIRST_READ_BYTES = 4 * 1024  # a whole message, in most cases
MAX_READ_BYTES = 48 * 1024
SHORT_READ_S = 0.000_25  # after a read that takes less, the next one is larger
LONG_READ_S = 0.001  # after a read that takes more, the next one is smaller
TIME_SLICE_S = 0.000_5  # time of one connection in one iteration
ITERATION_TIME_S = 0.01  # time of all connections in one iteration
SAME_ITERATION_GAP_S = 0.000_2  # reads with a longer gap between them are not in one series
LONG_SERIES_S = 0.005  # after a series of reads that takes more, the loop is asked to mark the next iteration
HEAVY_FOR_S = 1.0  # time for which a connection waits behind others, since it has taken much time
RESUMED_PER_ITERATION = 4  # connections that go on after their time slice was over


class PacedReader(Protocol):
    """A connection whose reading the scheduler can delay."""

    def continue_reading(self) -> None:
        """Read on, in this call or from the next poll of the loop on."""
        ...


class ReadPace:
    """What the scheduler knows of one connection."""

    __slots__ = (
        "allowed_bytes",
        "heavy_until_s",
        "iteration",
        "read_began_s",
        "read_bytes",
        "slice_began_s",
    )

    def __init__(self) -> None:
        """Begin with a small read."""
        self.read_bytes = FIRST_READ_BYTES  # most bytes of the next read, if there is memory for them
        self.allowed_bytes = FIRST_READ_BYTES  # most bytes of the current read
        self.iteration = 0  # the iteration in which the connection was last read
        self.slice_began_s = 0.0  # when it was first read in that iteration
        self.read_began_s = 0.0
        self.heavy_until_s = 0.0  # until when it counts as one that takes much time


class ReadScheduler:
    """Decides how much each connection may read in an iteration of the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, memory: Memory | None = None) -> None:
        """Start without connections that wait; without a `memory`, reads are not limited by it."""
        self.loop = loop
        self.memory = memory
        self.iteration = 0
        self.iteration_began_s = 0.0  # when the first connection was read in it
        self.last_read_s = 0.0
        self.next_iteration_scheduled = False
        self.delayed: dict[PacedReader, None] = {}  # their iteration was over
        self.delayed_heavy: dict[PacedReader, None] = {}  # the same, and they have lately taken much time
        self.preempted: dict[PacedReader, None] = {}  # their time slice was over

    def begin_read(self, pace: ReadPace) -> bool:
        """Begin a read of `pace.allowed_bytes`; return False if the iteration has no time left."""
        now = monotonic()
        pace.allowed_bytes = pace.read_bytes
        if self.memory is not None:
            pace.allowed_bytes = min(pace.read_bytes, self.memory.max_read_bytes)
        if not self.next_iteration_scheduled:
            self._observe_series(now)
        self.last_read_s = now
        if pace.iteration != self.iteration:
            pace.iteration = self.iteration
            pace.slice_began_s = now
        pace.read_began_s = now
        return now - self.iteration_began_s < ITERATION_TIME_S

    def _observe_series(self, now: float) -> None:
        """Recognize a new iteration by the time since the last read; while that is short, by a callback.

        The callback alone would be exact, but it costs the loop one more poll in each iteration.
        """
        if now - self.last_read_s > SAME_ITERATION_GAP_S:
            self.iteration += 1
            self.iteration_began_s = now
        elif now - self.iteration_began_s > LONG_SERIES_S:
            self._schedule_next_iteration()

    def end_read(self, pace: ReadPace, size: int) -> bool:
        """Record that `size` bytes were read and processed; return False if the connection has to wait."""
        now = self.last_read_s = monotonic()
        duration = now - pace.read_began_s
        in_slice = now - pace.slice_began_s < TIME_SLICE_S
        if duration > LONG_READ_S or not in_slice:
            pace.heavy_until_s = now + HEAVY_FOR_S
        if size < pace.allowed_bytes:
            return True  # nothing more has arrived
        if duration > LONG_READ_S:
            pace.read_bytes = max(pace.read_bytes // 2, MIN_READ_BYTES)
        elif duration < SHORT_READ_S:
            pace.read_bytes = min(pace.read_bytes * 2, MAX_READ_BYTES)
        return in_slice

    def delay(self, reader: PacedReader, pace: ReadPace | None = None) -> None:
        """Resume a connection in the next iteration, before others: this one has no time left."""
        heavy = pace is not None and self.last_read_s < pace.heavy_until_s
        (self.delayed_heavy if heavy else self.delayed)[reader] = None
        self._schedule_next_iteration()

    def preempt(self, reader: PacedReader) -> None:
        """Resume a connection whose time slice is over once its turn has come."""
        self.preempted[reader] = None
        self._schedule_next_iteration()

    def remove(self, reader: PacedReader) -> None:
        """Forget a connection that is closed."""
        self.delayed.pop(reader, None)
        self.delayed_heavy.pop(reader, None)
        self.preempted.pop(reader, None)

    def _schedule_next_iteration(self) -> None:
        if not self.next_iteration_scheduled:
            self.next_iteration_scheduled = True
            self.loop.call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        """Resume the connections that wait, as many as this iteration has time for."""
        self.next_iteration_scheduled = False
        self.iteration += 1
        self.iteration_began_s = monotonic()
        try:
            self._resume(self.delayed, len(self.delayed))
            self._resume(self.delayed_heavy, RESUMED_PER_ITERATION)
            self._resume(self.preempted, RESUMED_PER_ITERATION)
        finally:  # a fault of one connection must not keep the others waiting
            if self.delayed or self.delayed_heavy or self.preempted:
                self._schedule_next_iteration()

    @staticmethod
    def _resume(waiting: dict[PacedReader, None], limit: int) -> None:
        """Resume up to `limit` connections, the first one in any case."""
        end_s = monotonic() + ITERATION_TIME_S
        for reader in list(islice(waiting, limit)):
            if reader not in waiting:  # another one has removed it
                continue
            del waiting[reader]
            reader.continue_reading()
            if monotonic() >= end_s:
                return
