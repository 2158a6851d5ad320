"""When a client can have written its last bytes, although the sidecar has not read them yet.

A response is due some time after its client has written the last byte of the request. While the sidecar reads
data as soon as it arrives, that is the time of the read. Otherwise the last byte may wait in a socket: in the
receive buffer of this one, or in the send buffer of the client's once the receive buffer is full. The send
buffer can't be seen from here, but its size is limited.
"""

from __future__ import annotations

import socket
import struct
from collections import deque
from functools import cache
from typing import Protocol

from ..core.clock import Clock
from .socket_progress import unread_by_system

SEND_BUFFER_LIMITS = "/proc/sys/net/ipv4/tcp_wmem"  # minimum, default and maximum in bytes
DEFAULT_MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024
MARKS_PER_SEND_BUFFER = 4  # positions that are remembered in a stretch of data as long as a send buffer
# With less memory in use than both, the client's system holds nothing back. The window that is offered to it
# begins at 64 KiB, and grows more slowly than the receive buffer.
OPEN_WINDOW_SHARE = 0.25
OPEN_WINDOW_BYTES = 32 * 1024
REFILL_TIME_NS = (
    20_000_000  # time after which a socket that was emptied has got what the client's system held back
)
SO_MEMINFO = 55  # not in `socket`; its first two numbers are memory in use for received data, and its limit
MEMORY_NUMBERS = struct.Struct("=II")


class ReadSocket(Protocol):
    """The part of a socket that is needed here; a transport of uvloop offers no more."""

    def fileno(self) -> int:
        """Return the descriptor, -1 once the socket is closed."""
        ...

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """Return the value of an option, of at most `size` bytes."""
        ...


@cache
def max_send_buffer_bytes() -> int:
    """Return how much the system buffers for a client that sends, in bytes (tcp(7), `tcp_wmem`)."""
    try:
        with open(SEND_BUFFER_LIMITS, encoding="ascii") as file:  # noqa: PTH123  # pathlib isn't loaded
            return int(file.read().split()[-1])
    except (OSError, ValueError, IndexError):
        return DEFAULT_MAX_SEND_BUFFER_BYTES


class ArrivalTracker:
    """Knows since when data of a connection may wait to be read. Times are in ns on the engine's clock."""

    __slots__ = (
        "behind_since_ns",
        "clock",
        "data_behind_since_ns",
        "drained_ns",
        "marks",
        "received_bytes",
        "sampled_bytes",
        "sampled_ns",
    )

    def __init__(self, clock: Clock) -> None:
        """Start with a connection that is read as fast as data arrives."""
        self.clock = clock
        self.behind_since_ns: int | None = None  # None: all that has arrived has been read
        self.data_behind_since_ns: int | None = None  # the same, just before the data that is being processed
        self.drained_ns: int | None = None  # when the socket was emptied of a connection that is behind
        self.received_bytes = 0
        # Earlier times, each with the bytes that had arrived by then; None while not behind.
        self.marks: deque[tuple[int, int]] | None = None
        self.sampled_ns = 0  # the last time at which the receive window was seen to be open
        self.sampled_bytes = 0  # bytes that had arrived by then

    def earliest_write_ns(self) -> int:
        """Return the earliest time at which the data that is being processed can have been written."""
        return self.clock.now() if self.data_behind_since_ns is None else self.data_behind_since_ns

    def earliest_end_ns(self, sock: ReadSocket, missing_bytes: int | None) -> int:
        """Return the earliest time at which the last byte of an incomplete message can have been written.

        `missing_bytes` are those that have not been read, None if their number is unknown.
        """
        self._settle()
        if self.behind_since_ns is None or self._client_holds_the_end(sock, missing_bytes):
            return self.clock.now()
        return self.behind_since_ns

    @staticmethod
    def _client_holds_the_end(sock: ReadSocket, missing_bytes: int | None) -> bool:
        """Return whether the last byte can't have been written yet."""
        unread_bytes = unread_by_system(sock.fileno())
        if missing_bytes is None:
            return unread_bytes == 0
        if missing_bytes - unread_bytes > max_send_buffer_bytes():
            return True
        return missing_bytes > unread_bytes and _window_open(sock)

    def resume(self, sock: ReadSocket) -> None:
        """Record that the connection is read again as data arrives."""
        if self.behind_since_ns is not None and unread_by_system(sock.fileno()) == 0:
            self._drained()

    def pause(self) -> None:
        """Record that the connection is not read for now, although data may arrive."""
        self._settle()
        self.drained_ns = None
        if self.behind_since_ns is None:
            self.behind_since_ns = self.clock.now()

    def read(self, size: int, sock: ReadSocket, *, filled: bool) -> None:
        """Record a read before its data is processed; `filled` if it was as large as allowed."""
        self.received_bytes += size
        self._settle()
        self.data_behind_since_ns = self.behind_since_ns
        if not filled or unread_by_system(sock.fileno()) == 0:
            if self.behind_since_ns is not None:
                self._drained()
            return
        self.pause()
        self._discard_early_times(sock)
        if self.data_behind_since_ns is not None:
            self.data_behind_since_ns = self.behind_since_ns

    def responded(self) -> None:
        """Record that the client has all responses: what it writes from now on is new."""
        if self.drained_ns is not None:
            self.behind_since_ns = self.marks = self.drained_ns = None

    def _drained(self) -> None:
        if self.drained_ns is None:
            self.drained_ns = self.clock.now()

    def _settle(self) -> None:
        """Count the connection as read completely once its socket has been empty for long enough."""
        if self.drained_ns is not None and self.clock.now() - self.drained_ns >= REFILL_TIME_NS:
            self.behind_since_ns = self.marks = self.drained_ns = None

    def _discard_early_times(self, sock: ReadSocket) -> None:
        """Discard the times at which the client can't have written the data that has just been read."""
        if self.marks is None:
            self.marks = deque()
        buffer_bytes = max_send_buffer_bytes()
        if not self.marks or self.received_bytes - self.marks[-1][1] >= buffer_bytes // MARKS_PER_SEND_BUFFER:
            self.marks.append((self.clock.now(), self.received_bytes + unread_by_system(sock.fileno())))
        while self.marks and self.received_bytes > self.marks[0][1] + buffer_bytes:
            self.behind_since_ns = self.marks.popleft()[0]

    def sample(self, sock: ReadSocket) -> None:
        """Look at a connection that is not read: data that arrives at an open window is new."""
        if self.behind_since_ns is None or sock.fileno() < 0:
            return
        unread_bytes = unread_by_system(sock.fileno())
        arrived_bytes = self.received_bytes + unread_bytes
        if arrived_bytes > self.sampled_bytes and self.sampled_ns > self.behind_since_ns:
            self.behind_since_ns = self.sampled_ns
        window_open = _window_open(sock)
        self.sampled_ns, self.sampled_bytes = (self.clock.now(), arrived_bytes) if window_open else (0, 0)


def _window_open(sock: ReadSocket) -> bool:
    """Return whether the receive buffer has so much room that all that the client wrote has arrived.

    Data that has been read in part takes memory as a whole, so the unread bytes alone do not show it.
    """
    try:
        data = sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMORY_NUMBERS.size)
    except OSError:
        return False
    used_bytes, limit_bytes = MEMORY_NUMBERS.unpack(data)
    return bool(used_bytes < min(limit_bytes * OPEN_WINDOW_SHARE, OPEN_WINDOW_BYTES))
