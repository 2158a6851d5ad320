"""Whether a peer that is slow still takes what is written to it."""

from __future__ import annotations

import asyncio
import select
import sys
import termios
from collections.abc import Callable
from fcntl import ioctl

NOTHING = bytes(4)


def unsent(transport: asyncio.Transport) -> int:
    """Bytes that the peer's machine has not taken: the own buffer's and the system's."""
    fd = transport.get_extra_info("socket").fileno()
    kept = int.from_bytes(ioctl(fd, termios.TIOCOUTQ, NOTHING), sys.byteorder) if fd >= 0 else 0
    return transport.get_write_buffer_size() + kept


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


class Patience:
    """Watches what waits to be written; a peer that takes nothing of it for so long is given up."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transport: asyncio.Transport,
        seconds: float,
        give_up: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.transport = transport
        self.seconds = seconds
        self.give_up = give_up
        self.left = unsent(transport)
        self.timer: asyncio.TimerHandle | None = loop.call_later(seconds, self._look)

    def _look(self) -> None:
        left = unsent(self.transport)
        if left == self.left and not self.transport.is_closing():
            self.timer = None
            self.give_up()
            return
        self.left = left
        self.timer = self.loop.call_later(self.seconds, self._look)

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
