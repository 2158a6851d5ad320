"""Whether a peer is still connected, and whether a slow one still reads what is written to it."""

from __future__ import annotations

import asyncio
import select
import sys
import termios
from collections.abc import Callable
from fcntl import ioctl

NOTHING = bytes(4)
# Seconds between two looks at the connections that are not read. By the protocol no attempt may begin more
# than 0.1 s after its client has left. Two looks in half of that leave room for a turn of the loop as long.
DISCONNECT_POLL_INTERVAL_S = 0.1 / 4


def queued_by_system(fd: int) -> int:
    """Bytes written to a socket that its peer's machine has not acknowledged; 0 for one that is closed."""
    return int.from_bytes(ioctl(fd, termios.TIOCOUTQ, NOTHING), sys.byteorder) if fd >= 0 else 0


def unacknowledged(transport: asyncio.Transport) -> int:
    """Bytes that the peer's machine has not acknowledged: the transport's own buffer and the system's."""
    fd = transport.get_extra_info("socket").fileno()
    return transport.get_write_buffer_size() + queued_by_system(fd)


def unread(transport: asyncio.Transport) -> int:
    """Bytes that have come and that the system still holds."""
    fd = transport.get_extra_info("socket").fileno()
    return int.from_bytes(ioctl(fd, termios.FIONREAD, NOTHING), sys.byteorder) if fd >= 0 else 0


def peer_gone(transport: asyncio.Transport) -> bool:
    """Whether the peer has ended its sending or reset the connection, also behind bytes not read yet."""
    fd = transport.get_extra_info("socket").fileno()
    if fd < 0:
        return True
    poll = select.poll()
    poll.register(fd, select.POLLRDHUP)  # a reset and an end of both ways are always told
    return bool(poll.poll(0))


class HangupWatch:
    """Tells of peers that hang up while nothing is read from them, which no reader of the loop tells.

    One call to the system asks for all of them, and only while there are any: its cost grows with their
    number by a tenth of a microsecond each.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.poll = select.poll()
        self.fds: dict[asyncio.Transport, int] = {}
        self.told: dict[int, Callable[[], object]] = {}  # by descriptor, who is told
        self.timer: asyncio.TimerHandle | None = None

    def add(self, transport: asyncio.Transport, told: Callable[[], object]) -> None:
        """Call `told` at most `DISCONNECT_POLL_INTERVAL_S` and a turn of the loop after the end can be read.

        Again at each look, until the transport is removed: this has to be before its socket is closed, at the
        latest as its connection is lost.
        """
        fd = transport.get_extra_info("socket").fileno()
        self.fds[transport] = fd
        self.told[fd] = told
        self.poll.register(fd, select.POLLRDHUP)  # a reset and an end of both ways are always told
        if self.timer is None:
            self.timer = self.loop.call_later(DISCONNECT_POLL_INTERVAL_S, self._look)

    def remove(self, transport: asyncio.Transport) -> None:
        fd = self.fds.pop(transport, None)
        if fd is not None:
            del self.told[fd]
            self.poll.unregister(fd)

    def _look(self) -> None:
        self.timer = None
        if not self.fds:
            return
        for fd, _ in self.poll.poll(0):
            if fd in self.told:  # one that was told may have removed another
                self.told[fd]()
        self.timer = self.loop.call_later(DISCONNECT_POLL_INTERVAL_S, self._look)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class StallTimer:
    """Gives up a peer that has taken nothing of what waits to be written for so long."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        waiting: Callable[[], int],
        seconds: float,
        give_up: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.waiting = waiting  # the number of bytes that the peer's machine has not acknowledged
        self.seconds = seconds
        self.give_up = give_up
        self.left = waiting()
        self.timer: asyncio.TimerHandle | None = loop.call_later(seconds, self._look)

    def _look(self) -> None:
        left = self.waiting()
        if left == self.left:  # also of one that closes once all is written: it never would
            self.timer = None
            self.give_up()
            return
        self.left = left
        self.timer = self.loop.call_later(self.seconds, self._look)

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
