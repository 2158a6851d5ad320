"""The receiving side of a client connection: reads as much at a time as the `ReadScheduler` allows."""

from __future__ import annotations

import asyncio
from abc import abstractmethod

from ..core.clock import Clock
from .arrival import ArrivalTracker, ReadSocket
from .read_scheduler import MAX_READ_BYTES, MIN_READ_BYTES, ReadPace, ReadScheduler
from .socket_progress import DisconnectMonitor


class ReceiveBuffer:
    """The memory that connections receive into. They share it, since each processes its data at once."""

    def __init__(self) -> None:
        """Allocate the largest read."""
        self.view = memoryview(bytearray(MAX_READ_BYTES))


class PacedProtocol(asyncio.BufferedProtocol):
    """Reads from a transport in small portions, and pauses while the scheduler or the owner says so."""

    def __init__(
        self,
        scheduler: ReadScheduler,
        buffer: ReceiveBuffer,
        disconnect_monitor: DisconnectMonitor,
        clock: Clock,
    ) -> None:
        """Start without a transport; while reading is paused, `disconnect_monitor` watches the connection."""
        self.transport: asyncio.Transport | None = None
        self.read_scheduler = scheduler
        self.receive_buffer = buffer
        self.disconnect_monitor = disconnect_monitor
        self.read_pace = ReadPace()
        self.arrival = ArrivalTracker(clock)
        self.read_size = 0  # bytes that the current read may take
        self.has_read_time = True  # whether the data of the current read may be processed at once
        self.reading_enabled = True  # whether the owner wants data
        self.waits_to_read = False  # whether the scheduler resumes reading
        self.unprocessed = b""  # received in an iteration of the loop that had no time left

    @abstractmethod
    def data_received(self, data: memoryview) -> None:
        """Process received data, which is valid during this call only."""

    @abstractmethod
    def continue_processing(self) -> None:
        """Go on after `let_others_run`."""

    @abstractmethod
    def close_if_disconnected(self) -> bool:
        """Close the connection if its client has disconnected; return whether it has."""

    @abstractmethod
    def reading_delayed(self) -> None:
        """Record that the connection waits although it may have sent data."""

    @property
    def socket(self) -> ReadSocket:
        """The socket of the transport, which must be set."""
        assert self.transport is not None
        sock: ReadSocket = self.transport.get_extra_info("socket")
        return sock

    # Called by the transport

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002  # the event loop passes it
        """Return the memory for the next read."""
        self.has_read_time = self.read_scheduler.begin_read(self.read_pace)
        self.read_size = self.read_pace.allowed_bytes if self.has_read_time else MIN_READ_BYTES
        return self.receive_buffer.view[: self.read_size]

    def buffer_updated(self, nbytes: int) -> None:
        """Process received data, or keep it for the next iteration of the loop."""
        self.arrival.read(nbytes, self.socket, filled=nbytes == self.read_size)
        if not self.has_read_time:
            self.unprocessed = bytes(self.receive_buffer.view[:nbytes])
            self.read_scheduler.delay(self, self.read_pace)
            self._wait_to_read()
            return
        self.data_received(self.receive_buffer.view[:nbytes])
        may_go_on = self.read_scheduler.end_read(self.read_pace, nbytes)
        if not may_go_on and not self.waits_to_read:
            self.let_others_run()

    # Called by the scheduler

    def continue_reading(self) -> None:
        """Process what was left over, and read on."""
        self.waits_to_read = False
        data, self.unprocessed = self.unprocessed, b""
        try:
            if data:
                self.arrival.data_behind_since_ns = self.arrival.behind_since_ns
                self.data_received(memoryview(data))
            else:
                self.continue_processing()
        except Exception:
            if self.transport is not None:
                self.transport.abort()  # the state of the connection is unknown now
            raise
        self._apply_reading()

    # Called by the derived classes

    def enable_reading(self, *, enabled: bool) -> None:
        """Read on, once the scheduler allows it, or pause."""
        self.reading_enabled = enabled
        self._apply_reading()

    def stop_waiting(self) -> None:
        """Leave the scheduler: the connection is closed."""
        self.read_scheduler.remove(self)
        self.unprocessed = b""

    def let_others_run(self) -> None:
        """Go on once the turn of this connection has come again; read nothing meanwhile."""
        self.read_scheduler.preempt(self)
        self._wait_to_read()

    def _wait_to_read(self) -> None:
        self.waits_to_read = True
        self.reading_delayed()
        self._apply_reading()

    def _apply_reading(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.reading_enabled and not self.waits_to_read:
            self.disconnect_monitor.remove(self.transport)
            self.arrival.resume(self.socket)
            self.transport.resume_reading()
        else:
            self.arrival.pause()
            self.transport.pause_reading()
            self.disconnect_monitor.add(self.transport, self.close_if_disconnected)
