"""Hot restart: two versions at once on one listening socket, which count as one sidecar.

Each process listens on a Unix socket of its own in $TMPDIR and connects to those of the others. A link lasts
as long as both processes do, so its end shows that the other one is gone. Over it they hand over the endpoint
list and the known clients, which a new process starts with, and share what they hold, so that all of them
together keep the limits.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Callable
from pathlib import Path

from ..core.limits import Usage
from ..core.log import log
from .hot_restart_form import NO_USAGE, Inheritance, format_usage
from .hot_restart_link import Link

PREFIX = "sidecar-"
SUFFIX = ".sock"
MAX_PATH_BYTES = 100  # what the address of a Unix socket has room for
GREETING_TIMEOUT_S = 0.25  # for the others' greetings; a process starts without them too
SHARE_INTERVAL_S = 0.1  # between looks at what this process holds


class HotRestart:
    """Owns the links to all other processes of this sidecar, the socket for new ones and the timer."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        directory: str,
        usage: Usage,
        own_inheritance: Callable[[], Inheritance],
        pid: int | None = None,
    ) -> None:
        """`own_inheritance` gives what this process would hand over now. `pid`: that of this process."""
        self.loop = loop
        self.directory = Path(directory)
        self.usage = usage
        self.own_inheritance = own_inheritance
        self.known_clients: list[object] = []  # the snapshots of the others, as this process started
        self.pid = pid or os.getpid()
        self.path = self.directory / f"{PREFIX}{self.pid}{SUFFIX}"
        self.server: asyncio.Server | None = None
        self.links: dict[Link, None] = {}
        self.shared: tuple[int, ...] = ()  # what the others were last notified of
        self.timer: asyncio.TimerHandle | None = None

    async def start(self) -> object:
        """Listen, link to the other processes, and return the newest one's endpoint list, if there is any."""
        if len(os.fsencode(self.path)) > MAX_PATH_BYTES:
            log.warning("hot_restart_unavailable", reason=f"the name {self.path} is too long")
            return None
        _remove(self.path)  # left by an earlier process of this number
        try:
            self.server = await self.loop.create_unix_server(lambda: Link(self), str(self.path))
        except OSError as error:
            log.warning("hot_restart_unavailable", reason=str(error))
            return None
        links = [link for path in self._other_paths() if (link := await self._connect(path)) is not None]
        if links:
            await asyncio.wait([link.greeted for link in links], timeout=GREETING_TIMEOUT_S)
        inherited = [link.inheritance for link in links]
        self.known_clients = [one.known_clients for one in inherited if one.known_clients is not None]
        lists = [one.endpoint_list for one in inherited if one.endpoint_list is not None]
        self._share()
        return lists[-1] if lists else None

    @property
    def processes(self) -> int:
        """How many other processes live; two links to one of them count once."""
        return len({link.pid for link in self.links if link.pid is not None})

    def own_usage(self) -> tuple[int, ...]:
        """What this process holds: descriptors, clients' connections, bytes of memory."""
        return self.usage.own_usage()

    def update_others(self) -> None:
        """Count what the other processes hold, each process once."""
        usages = {link.pid: link.usage for link in self.links if link.pid is not None}
        totals = (sum(parts) for parts in zip(NO_USAGE, *usages.values(), strict=True))
        descriptors, clients, memory_bytes = totals
        self.usage.set_others(len(usages), descriptors, clients, memory_bytes)

    def close(self) -> None:
        """Close the links and the socket, and remove its file."""
        if self.timer is not None:
            self.timer.cancel()
        if self.server is not None:
            self.server.close()
            _remove(self.path)
        for link in list(self.links):
            link.close()

    def _other_paths(self) -> list[Path]:
        return [path for path in self.directory.glob(f"{PREFIX}*{SUFFIX}") if path != self.path]

    async def _connect(self, path: Path) -> Link | None:
        """A link to the process that listens there, if any; the file of one that is gone is removed."""
        try:
            async with asyncio.timeout(GREETING_TIMEOUT_S):
                _, link = await self.loop.create_unix_connection(lambda: Link(self), str(path))
        except (ConnectionRefusedError, FileNotFoundError):
            _remove(path)
            return None
        except (OSError, TimeoutError):
            return None
        return link

    def _share(self) -> None:
        """Notify the others of what this process holds, when that has changed."""
        usage = self.own_usage()
        if usage != self.shared and self.links:
            self.shared = usage
            for link in list(self.links):
                link.write(format_usage(usage))
        self.timer = self.loop.call_later(SHARE_INTERVAL_S, self._share)


def _remove(path: Path) -> None:
    with contextlib.suppress(OSError):
        path.unlink()
