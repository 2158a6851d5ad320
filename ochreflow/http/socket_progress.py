"""Whether a peer is still connected, and whether a slow one still reads what is written to it.

All of it is asked of the system: `TIOCOUTQ` and `FIONREAD` for the bytes in its buffers, `POLLRDHUP` for the
end of the peer's sending, which can be seen behind bytes that have not been read.
"""

from __future__ import annotations

import asyncio
import select
import sys
import termios
from collections.abc import Callable
from fcntl import ioctl

IOCTL_RESULT = bytes(4)  # the buffer for the integer that a request of `ioctl` gives
# Between two polls of the connections that are not read. By the protocol no attempt may begin more than 0.1 s
# after its client has left. Two polls in half of that allow for an iteration of the loop as long.
DISCONNECT_POLL_INTERVAL_S = 0.1 / 4


def queued_by_system(fd: int) -> int:
    """Bytes written to a socket that its peer's machine has not acknowledged; 0 for one that is closed."""
    return int.from_bytes(ioctl(fd, termios.TIOCOUTQ, IOCTL_RESULT), sys.byteorder) if fd >= 0 else 0


def unacknowledged(transport: asyncio.Transport) -> int:
    """Bytes that the peer's machine has not acknowledged: the transport's own buffer and the system's."""
    fd = transport.get_extra_info("socket").fileno()
    return transport.get_write_buffer_size() + queued_by_system(fd)


def unread_bytes(transport: asyncio.Transport) -> int:
    """Bytes that have arrived and that the system still holds."""
    fd = transport.get_extra_info("socket").fileno()
    return int.from_bytes(ioctl(fd, termios.FIONREAD, IOCTL_RESULT), sys.byteorder) if fd >= 0 else 0


def peer_disconnected(transport: asyncio.Transport) -> bool:
    """Whether the peer has ended its sending or reset the connection, also behind bytes not read yet."""
    fd = transport.get_extra_info("socket").fileno()
    if fd < 0:
        return True
    poller = select.poll()
    poller.register(fd, select.POLLRDHUP)  # a reset and an end of both ways are always told
    return bool(poller.poll(0))


class DisconnectMonitor:
    """Reports peers that disconnect while nothing is read from them, which no reader of the loop reports.

    One system call polls all of them, and only while there are any: its cost grows with their number by a
    tenth of a microsecond each. It owns its timer; `close` stops it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Watch nothing yet."""
        self.loop = loop
        self.poller = select.poll()
        self.fds: dict[asyncio.Transport, int] = {}
        self.callbacks: dict[int, Callable[[], object]] = {}  # by descriptor
        self.timer: asyncio.TimerHandle | None = None

    def add(self, transport: asyncio.Transport, callback: Callable[[], object]) -> None:
        """Call `callback` once the peer has disconnected, and at each poll after that until it is removed.

        The first call comes at most `DISCONNECT_POLL_INTERVAL_S` and an iteration of the loop after the end
        can be read. The transport has to be removed before its socket is closed, at the latest in
        `connection_lost`.
        """
        fd = transport.get_extra_info("socket").fileno()
        self.fds[transport] = fd
        self.callbacks[fd] = callback
        self.poller.register(fd, select.POLLRDHUP)  # a reset and an end of both ways are always told
        if self.timer is None:
            self.timer = self.loop.call_later(DISCONNECT_POLL_INTERVAL_S, self._poll)

    def remove(self, transport: asyncio.Transport) -> None:
        """Watch a transport no longer; one that is not watched is ignored."""
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
    """Gives up a peer that has acknowledged nothing of what is to be written for `timeout_s` seconds."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pending_bytes: Callable[[], int],
        timeout_s: float,
        give_up: Callable[[], None],
    ) -> None:
        """Start at once; `give_up` is called at most once."""
        self.loop = loop
        self.pending_bytes = pending_bytes  # how many the peer's machine has not acknowledged
        self.timeout_s = timeout_s
        self.give_up = give_up
        self.last_pending = pending_bytes()
        self.timer: asyncio.TimerHandle | None = loop.call_later(timeout_s, self._check)

    def _check(self) -> None:
        pending = self.pending_bytes()
        if pending == self.last_pending:  # also of one that closes once all is written: it never would
            self.timer = None
            self.give_up()
            return
        self.last_pending = pending
        self.timer = self.loop.call_later(self.timeout_s, self._check)

    def stop(self) -> None:
        """Give up nothing any more."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
