"""When a client can have written its last bytes, although the sidecar has not read them yet.

A response is due some time after its client has written the last byte of the request. While the sidecar reads
data as soon as it arrives, that is the time of the read. Otherwise the last byte may wait in a socket: in the
receive buffer of this one, or in the send buffer of the client's once the receive buffer is full. The send
buffer can't be seen from here, but its size is limited.
"""

from __future__ import annotations

import socket
from collections import deque
from functools import cache
from typing import Protocol

from ..core.clock import Clock
from .socket_progress import unread_by_system

SEND_BUFFER_LIMITS = "/proc/sys/net/ipv4/tcp_wmem"  # minimum, default and maximum in bytes
DEFAULT_MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024
MARKS_PER_SEND_BUFFER = 4  # positions that are remembered in a stretch of data as long as a send buffer
OPEN_WINDOW_SHARE = 0.25  # with less of the receive buffer in use, the client's system holds nothing back


class ReadSocket(Protocol):
    """The part of a socket that is needed here; a transport of uvloop offers no more."""

    def fileno(self) -> int:
        """Return the descriptor, -1 once the socket is closed."""
        ...

    def getsockopt(self, level: int, option: int, /) -> int:
        """Return the value of an option."""
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
        return missing_bytes > unread_bytes and _window_open(sock, unread_bytes)

    def resume(self, sock: ReadSocket) -> None:
        """Record that the connection is read again as data arrives."""
        if self.behind_since_ns is not None and unread_by_system(sock.fileno()) == 0:
            self.behind_since_ns = self.marks = None

    def fall_behind(self) -> None:
        """Record that the connection is not read for now, although data may arrive."""
        if self.behind_since_ns is None:
            self.behind_since_ns = self.clock.now()

    def read(self, size: int, sock: ReadSocket, *, filled: bool) -> None:
        """Record a read before its data is processed; `filled` if it was as large as allowed."""
        self.received_bytes += size
        self.data_behind_since_ns = self.behind_since_ns
        if not filled or unread_by_system(sock.fileno()) == 0:
            self.behind_since_ns = self.marks = None
            return
        self.fall_behind()
        self._discard_early_times(sock)
        if self.data_behind_since_ns is not None:
            self.data_behind_since_ns = self.behind_since_ns

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
        window_open = _window_open(sock, unread_bytes)
        self.sampled_ns, self.sampled_bytes = (self.clock.now(), arrived_bytes) if window_open else (0, 0)


def _window_open(sock: ReadSocket, unread_bytes: int) -> bool:
    """Return whether the receive buffer has so much room that all that the client wrote has arrived."""
    if sock.fileno() < 0:
        return False
    return unread_bytes < sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) * OPEN_WINDOW_SHARE
