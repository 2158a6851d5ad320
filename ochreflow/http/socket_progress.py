"""Detects peers that have disconnected, and peers that have stopped reading.

The kernel reports both: `TIOCOUTQ` and `FIONREAD` return the bytes in its buffers, and `POLLRDHUP` shows that
the peer has shut down sending, even behind bytes that have not been read.
"""

from __future__ import annotations

import asyncio
import select
import sys
import termios
from collections.abc import Callable
from fcntl import ioctl

IOCTL_BUFFER = bytes(4)  # the buffer for the integer that `ioctl` returns
# Time between two polls of the connections that are not read. The protocol allows no attempt to begin more
# than 0.1 s after its client has disconnected. Two polls take half of that, which leaves the other half for
# an iteration of the loop.
DISCONNECT_POLL_INTERVAL_S = 0.1 / 4


def queued_by_system(fd: int) -> int:
    """Return the bytes written to a socket that the peer's host has not acknowledged; 0 if it is closed."""
    return int.from_bytes(ioctl(fd, termios.TIOCOUTQ, IOCTL_BUFFER), sys.byteorder) if fd >= 0 else 0


def unacknowledged(transport: asyncio.Transport) -> int:
    """Return the bytes that the peer's host has not acknowledged, in the buffers of transport and kernel."""
    fd = transport.get_extra_info("socket").fileno()
    return transport.get_write_buffer_size() + queued_by_system(fd)


def unread_by_system(fd: int) -> int:
    """Return the number of bytes in the kernel's receive buffer of a socket; 0 if it is closed."""
    return int.from_bytes(ioctl(fd, termios.FIONREAD, IOCTL_BUFFER), sys.byteorder) if fd >= 0 else 0


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return the number of bytes in the kernel's receive buffer."""
    return unread_by_system(transport.get_extra_info("socket").fileno())


def peer_disconnected(transport: asyncio.Transport) -> bool:
    """Return whether the peer has shut down sending or reset the connection, even behind unread bytes."""
    fd = transport.get_extra_info("socket").fileno()
    if fd < 0:
        return True
    poller = select.poll()
    poller.register(fd, select.POLLRDHUP)  # a reset and a full close are always reported
    return bool(poller.poll(0))


class DisconnectMonitor:
    """Reports peers that disconnect while reading is paused, when the event loop does not report disconnects.

    One system call polls all connections, at a cost of a tenth of a microsecond for each, and only while
    connections are watched. The monitor owns its timer, which `close` stops.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without connections to watch."""
        self.loop = loop
        self.poller = select.poll()
        self.fds: dict[asyncio.Transport, int] = {}
        self.callbacks: dict[int, Callable[[], object]] = {}  # by file descriptor
        self.timer: asyncio.TimerHandle | None = None

    def add(self, transport: asyncio.Transport, callback: Callable[[], object]) -> None:
        """Call `callback` when the peer has disconnected, and at each later poll until `remove`.

        The first call comes at most `DISCONNECT_POLL_INTERVAL_S` and an iteration of the loop after the
        kernel can report the disconnect. The transport must be removed before its socket is closed, at the
        latest in `connection_lost`.
        """
        fd = transport.get_extra_info("socket").fileno()
        self.fds[transport] = fd
        self.callbacks[fd] = callback
        self.poller.register(fd, select.POLLRDHUP)  # a reset and a full close are always reported
        if self.timer is None:
            self.timer = self.loop.call_later(DISCONNECT_POLL_INTERVAL_S, self._poll)

    def remove(self, transport: asyncio.Transport) -> None:
        """Stop watching a transport, if it is watched."""
        fd = self.fds.pop(transport, None)
        if fd is not None:
            del self.callbacks[fd]
            self.poller.unregister(fd)

    def _poll(self) -> None:
        self.timer = None
        if not self.fds:
            return
        for fd, _ in self.poller.poll(0):
            if fd in self.callbacks:  # a callback may have removed another transport
                self.callbacks[fd]()
        self.timer = self.loop.call_later(DISCONNECT_POLL_INTERVAL_S, self._poll)

    def close(self) -> None:
        """Stop polling."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class StallTimer:
    """Detects a peer that acknowledges none of the pending bytes for `timeout_s` seconds."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pending_bytes: Callable[[], int],
        timeout_s: float,
        on_stall: Callable[[], None],
    ) -> None:
        """Start the timer; `on_stall` is called at most once."""
        self.loop = loop
        self.pending_bytes = pending_bytes  # returns the bytes that the peer's host has not acknowledged
        self.timeout_s = timeout_s
        self.on_stall = on_stall
        self.last_pending = pending_bytes()
        self.timer: asyncio.TimerHandle | None = loop.call_later(timeout_s, self._check)

    def _check(self) -> None:
        pending = self.pending_bytes()
        if pending == self.last_pending:  # also if the transport is closing: it would never finish writing
            self.timer = None
            self.on_stall()
            return
        self.last_pending = pending
        self.timer = self.loop.call_later(self.timeout_s, self._check)

    def stop(self) -> None:
        """Cancel the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
