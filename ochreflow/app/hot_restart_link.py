"""One connection between two processes of a sidecar."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Protocol, cast

from ..core.log import log
from .hot_restart_form import (
    INVALID,
    MAX_LINE_BYTES,
    NO_USAGE,
    Inheritance,
    format_greeting,
    is_greeting,
    parse_inheritance,
    parse_process,
    parse_usage,
)


class LinkOwner(Protocol):
    """The process on this side, as its links see it."""

    loop: asyncio.AbstractEventLoop
    pid: int
    links: dict[Link, None]

    def own_inheritance(self) -> Inheritance:
        """What this process hands over."""
        ...

    def own_usage(self) -> tuple[int, ...]:
        """What this process holds."""
        ...

    def update_others(self) -> None:
        """What another process holds has changed."""
        ...


class Link(asyncio.Protocol):
    """Lines of JSON either way; see `hot_restart_form`. It lasts as long as both processes do."""

    def __init__(self, owner: LinkOwner) -> None:
        """Not connected yet."""
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.pid: int | None = None  # known from the greeting on
        self.inheritance = Inheritance(None, None)
        self.usage = NO_USAGE
        self.greeted: asyncio.Future[None] = owner.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the other process."""
        self.transport = cast("asyncio.Transport", transport)
        owner = self.owner
        owner.links[self] = None
        self.write(format_greeting(owner.pid, owner.own_inheritance(), owner.own_usage()))

    def data_received(self, data: bytes) -> None:
        """Apply the lines that are complete; the link is closed at the first invalid one."""
        self.buffer += data
        while (end := self.buffer.find(b"\n")) >= 0:
            line = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            try:
                self._apply(json.loads(line))
            except INVALID:
                log.warning("hot_restart_message_invalid")
                self.close()
                return
        if len(self.buffer) > MAX_LINE_BYTES:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 -- the event loop passes it
        """The other process has ended, in whatever way."""
        self.owner.links.pop(self, None)
        self._end_greeting()
        if self.pid is not None:
            log.info("hot_restart_peer_disconnected", process=self.pid)
        self.owner.update_others()

    def write(self, line: bytes) -> None:
        """Send one line, unless the link is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(line)

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def _apply(self, message: dict[str, Any]) -> None:
        if is_greeting(message):
            self.pid = parse_process(message)
            self.inheritance = parse_inheritance(message)
            log.info("hot_restart_peer_connected", process=self.pid)
            self._end_greeting()
        self.usage = parse_usage(message)
        self.owner.update_others()

    def _end_greeting(self) -> None:
        if not self.greeted.done():
            self.greeted.set_result(None)
