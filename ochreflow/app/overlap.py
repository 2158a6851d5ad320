"""Two versions at once: processes on one listening socket that count as one sidecar.

Each listens on a Unix socket of its own in $TMPDIR and connects to those of the others. A link lasts as
long as both processes do, so its end is the word that the other is gone, however it went. Over it they
tell each other the list of servers and the known clients, which a new process begins with, and what they
hold, so that all together keep the limits.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
from collections.abc import Callable
from pathlib import Path

from ..core.limits import Usage
from ..core.log import log

PREFIX = "sidecar-"
SUFFIX = ".sock"
PATH_MOST = 100  # what an address of a Unix socket has room for
LINE_MOST = 4 * 1024 * 1024
ANSWER_TIMEOUT_S = 0.25  # seconds for the others to greet; without them a process starts all the same
TELL_EVERY = 0.1  # seconds between looks at what is held


class Overlap:
    """The links to all other processes of this sidecar."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: str,
        usage: Usage,
        listed: Callable[[], object],
        pid: int | None = None,
        known: Callable[[], object] = lambda: None,
    ) -> None:
        self.loop = loop
        self.folder = Path(folder)
        self.usage = usage
        self.listed = listed  # the own list, in discovery's form; None before there is one
        self.known = known  # the own books of clients' addresses; None where none are kept
        self.books: list[object] = []  # those of the others
        self.pid = pid or os.getpid()
        self.path = self.folder / f"{PREFIX}{self.pid}{SUFFIX}"
        self.server: asyncio.Server | None = None
        self.links: dict[Link, None] = {}
        self.told: tuple[int, ...] = ()
        self.timer: asyncio.TimerHandle | None = None

    async def start(self) -> object:
        """Listen, link to who is there, and return the list that the newest of them has, if any."""
        if len(os.fsencode(self.path)) > PATH_MOST:
            log.warning("hot_restart_unavailable", reason=f"the name {self.path} is too long")
            return None
        with contextlib.suppress(OSError):
            self.path.unlink()  # of an earlier process of this number
        try:
            self.server = await self.loop.create_unix_server(lambda: Link(self), str(self.path))
        except OSError as error:
            log.warning("hot_restart_unavailable", reason=str(error))
            return None
        others = [path for path in self.folder.glob(f"{PREFIX}*{SUFFIX}") if path != self.path]
        links = [link for path in others if (link := await self._connect(path)) is not None]
        if links:
            await asyncio.wait([link.greeted for link in links], timeout=ANSWER_TIMEOUT_S)
        self.books = [link.books for link in links if link.books is not None]
        lists = [link.handed for link in links if link.handed is not None]
        self._tell()
        return lists[-1] if lists else None

    async def _connect(self, path: Path) -> Link | None:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                _, link = await self.loop.create_unix_connection(lambda: Link(self), str(path))
        except (ConnectionRefusedError, FileNotFoundError):
            with contextlib.suppress(OSError):
                path.unlink()  # nobody listens there any more
            return None
        except (OSError, TimeoutError):
            return None
        return link

    @property
    def processes(self) -> int:
        """The other processes that live; two links to one of them count once."""
        return len({link.pid for link in self.links if link.pid is not None})

    def changed(self) -> None:
        """Count what the others hold, each once."""
        holds = {link.pid: link.holds for link in self.links if link.pid is not None}
        descriptors, clients, memory = (sum(parts) for parts in zip((0, 0, 0), *holds.values(), strict=True))
        self.usage.set_others(len(holds), descriptors, clients, memory)

    def _tell(self) -> None:
        """Say what is held, when that has changed."""
        own = self.usage.own_usage()
        if own != self.told and self.links:
            self.told = own
            for link in list(self.links):
                link.write({"holds": own})
        self.timer = self.loop.call_later(TELL_EVERY, self._tell)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.server is not None:
            self.server.close()
            with contextlib.suppress(OSError):
                self.path.unlink()
        for link in list(self.links):
            link.close()


class Link(asyncio.Protocol):
    """One connection between two processes: lines of JSON either way."""

    def __init__(self, overlap: Overlap) -> None:
        self.overlap = overlap
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.pid: int | None = None  # known once it has greeted
        self.handed: object = None
        self.books: object = None
        self.holds = (0, 0, 0)
        self.greeted: asyncio.Future[None] = overlap.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.overlap.links[self] = None
        overlap = self.overlap
        own = {"list": overlap.listed(), "known": overlap.known(), "holds": overlap.usage.own_usage()}
        self.write({"pid": overlap.pid, **own})

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\n")) >= 0:
            line = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            try:
                self._read(json.loads(line))
            except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
                log.warning("hot_restart_message_invalid")
                self.close()
                return
        if len(self.buffer) > LINE_MOST:
            self.close()

    def _read(self, message: dict) -> None:
        if "pid" in message:
            self.pid = int(message["pid"])
            self.handed = message["list"]
            self.books = message.get("known")  # versions before this one do not tell any
            log.info("hot_restart_peer_connected", process=self.pid)
            if not self.greeted.done():
                self.greeted.set_result(None)
        descriptors, clients, memory = (max(int(part), 0) for part in message["holds"])
        self.holds = (descriptors, clients, memory)
        self.overlap.changed()

    def connection_lost(self, exc: Exception | None) -> None:
        self.overlap.links.pop(self, None)
        if not self.greeted.done():
            self.greeted.set_result(None)
        if self.pid is not None:
            log.info("hot_restart_peer_disconnected", process=self.pid)
        self.overlap.changed()

    def write(self, message: dict) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
