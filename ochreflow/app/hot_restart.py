"""Hot restart: several processes share one listening socket and count as one sidecar.

Each process listens on a Unix socket of its own in $TMPDIR and connects to the sockets of the others. A link
stays open while both processes run, so its end shows that the other process has ended. Over the links a new
process receives the endpoint list and the known clients to start with, and all processes report their
resource usage to each other, so that together they stay within the limits of one sidecar. They also tell each
other which request ids are in use, see `request_id_sharing`.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from ..core.limits import Usage
from ..core.log import log
from ..core.request_ids import RequestIdRegistries
from .endpoint_list_sharing import EndpointListSharing
from .hot_restart_form import NO_INHERITANCE, NO_USAGE, Inheritance, format_usage
from .hot_restart_link import Link
from .request_id_sharing import RequestIdSharing

SOCKET_PREFIX = "sidecar-"
SOCKET_SUFFIX = ".sock"
# A system's process id is not unique: a later process may get it again, and in process-id namespaces of their
# own two processes have it at once.
PROCESS_ID_BYTES = 4
MAX_PATH_BYTES = 107  # a longer path does not fit into the address of a Unix socket, see unix(7)
CONNECT_TIMEOUT_S = 0.25
# A process starts without the greetings that arrive later. Until one arrives, the request ids of its sender
# are unknown.
GREETING_TIMEOUT_S = 1.0
HEARTBEAT_INTERVAL_S = 0.5  # longest time without a line to the others
PEER_TIMEOUT_S = 1.5  # time without a line after which another process may fail to pass on endpoint lists
SHARE_INTERVAL_S = 0.1  # time between checks whether the usage of this process has changed
RECONNECT_INTERVAL_S = 0.05


class HotRestart:
    """Owns the links to the other processes of this sidecar, the socket for new ones and the timer."""

    def __init__(  # noqa: PLR0913  # it is given each of its parts
        self,
        loop: asyncio.AbstractEventLoop,
        directory: str,
        usage: Usage,
        own_inheritance: Callable[[], Inheritance],
        process_id: int | None = None,
        request_ids: RequestIdRegistries | None = None,
    ) -> None:
        """`own_inheritance` returns the state to hand over to a new process.

        `process_id` identifies this process among those of the sidecar, by default a random number.
        `request_ids` are those of this process, by default none.
        """
        self.loop = loop
        self.directory = Path(directory)
        self.usage = usage
        self.own_inheritance = own_inheritance
        self.lists: EndpointListSharing | None = None  # set by `share_lists`
        self.known_clients: list[object] = []  # snapshots received from the other processes at the start
        self.process_id = process_id or int.from_bytes(os.urandom(PROCESS_ID_BYTES), "big")
        self.sharing = RequestIdSharing(self.process_id, request_ids or RequestIdRegistries())
        self.reconnecting: set[asyncio.Task[None]] = set()
        self.closed = False
        self.inherited = NO_INHERITANCE  # the newest list of another process at the start
        self.path = self.directory / f"{SOCKET_PREFIX}{self.process_id}{SOCKET_SUFFIX}"
        self.server: asyncio.Server | None = None
        self.links: dict[Link, None] = {}
        self.last_shared_usage: tuple[int, ...] = ()  # usage last sent to the other processes
        self.last_shared_at = 0.0  # when that was, on the loop's clock, in seconds
        self.timer: asyncio.TimerHandle | None = None

    async def start(self) -> object:
        """Listen, link to the other processes, and return the newest of their endpoint lists, or None."""
        if len(os.fsencode(self.path)) > MAX_PATH_BYTES:
            log.warning("hot_restart_unavailable", reason=f"the socket path {self.path} is too long")
            return None
        try:
            self.server = await self.loop.create_unix_server(lambda: Link(self), str(self.path))
        except OSError as error:
            log.warning("hot_restart_unavailable", reason=str(error))
            return None
        log.info("hot_restart_available", pid=os.getpid(), process=self.process_id)
        links = [link for path in self._other_paths() if (link := await self._connect(path)) is not None]
        if links:
            await asyncio.wait([link.greeted for link in links], timeout=GREETING_TIMEOUT_S)
        inheritances = [link.inheritance for link in links]
        self.known_clients = [item.known_clients for item in inheritances if item.known_clients is not None]
        self.inherited = _newest(inheritances)
        self._share_usage()
        return self.inherited.endpoint_list

    # Endpoint lists

    def share_lists(self, lists: EndpointListSharing) -> None:
        """Exchange endpoint lists with the other processes from now on."""
        self.lists = lists
        self.inherited = NO_INHERITANCE  # the list is in effect now, and is not kept twice
        lists.on_change = self._send_list
        for link in list(self.links):
            if link.process_id is not None:
                self.list_received(link)
            link.send_list()

    def list_received(self, link: Link) -> None:
        """Apply the list of another process, unless it is older than the own one."""
        inheritance = link.inheritance
        if self.lists is None:
            return
        if inheritance.origin is not None:
            self.lists.on_shared_list(inheritance.endpoint_list, inheritance.origin)
        elif inheritance.endpoint_list is not None and not link.silent:
            link.silent = True  # a process of an earlier version, which does not pass on its lists
            self.lists.on_peer_silent()
        link.inheritance = replace(inheritance, endpoint_list=None)

    def _send_list(self) -> None:
        for link in list(self.links):
            link.send_list()

    def _detect_silent_peers(self) -> None:
        """Notice another process that may not pass on endpoint lists, since nothing was heard of it."""
        heard_before = self.loop.time() - PEER_TIMEOUT_S
        for link in list(self.links):
            if link.process_id is not None and not link.silent and link.heard_at < heard_before:
                link.silent = True
                if self.lists is not None:
                    self.lists.on_peer_silent()

    @property
    def processes(self) -> int:
        """The number of other running processes; two links to the same process count once."""
        return len({link.process_id for link in self.links if link.process_id is not None})

    def own_usage(self) -> tuple[int, ...]:
        """Return the usage of this process: descriptors, client connections, bytes of memory."""
        return self.usage.own_usage()

    def update_others(self) -> None:
        """Add up the usage of the other processes, counting each process once."""
        usages = {link.process_id: link.usage for link in self.links if link.process_id is not None}
        totals = (sum(amounts) for amounts in zip(NO_USAGE, *usages.values(), strict=True))
        descriptors, clients, memory_bytes = totals
        self.usage.set_others(len(usages), descriptors, clients, memory_bytes)

    def link_ended(self, link: Link) -> None:
        """Connect again if the other process may still run."""
        if self.sharing.closed(link) and link.process_id is not None and not self.closed:
            task = self.loop.create_task(self._reconnect(link.process_id))
            self.reconnecting.add(task)
            task.add_done_callback(self.reconnecting.discard)

    async def _reconnect(self, process_id: int) -> None:
        """Link to a process again, or record that it has ended."""
        path = self.directory / f"{SOCKET_PREFIX}{process_id}{SOCKET_SUFFIX}"
        reported = False  # whether the balancer knows that the other process can't be heard
        while self.sharing.is_unlinked(process_id):
            try:
                link = await self._open_link(path)
            except (ConnectionRefusedError, FileNotFoundError):
                _remove_file(path)
                self.sharing.gone(process_id)
                return
            except (OSError, TimeoutError):
                if self.lists is not None and not reported:
                    reported = True
                    self.lists.on_peer_silent()
                await asyncio.sleep(RECONNECT_INTERVAL_S)
                continue
            await link.greeted  # also if the link has ended
            if link.process_id is None:
                await asyncio.sleep(RECONNECT_INTERVAL_S)

    def close(self) -> None:
        """Close the links and the socket, and remove the socket's file."""
        self.closed = True
        for task in self.reconnecting:
            task.cancel()
        if self.timer is not None:
            self.timer.cancel()
        if self.server is not None:
            self.server.close()
            _remove_file(self.path)
        for link in list(self.links):
            link.close()

    def _other_paths(self) -> list[Path]:
        return [path for path in self.directory.glob(f"{SOCKET_PREFIX}*{SOCKET_SUFFIX}") if path != self.path]

    async def _connect(self, path: Path) -> Link | None:
        """Link to the process that listens at `path`; remove the file if its process has ended."""
        try:
            return await self._open_link(path)
        except (ConnectionRefusedError, FileNotFoundError):
            _remove_file(path)
            return None
        except (OSError, TimeoutError):
            return None

    async def _open_link(self, path: Path) -> Link:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, link = await self.loop.create_unix_connection(lambda: Link(self), str(path))
        return link

    def _share_usage(self) -> None:
        """Notify the others of the own usage if it has changed, and schedule the next check."""
        self.sharing.tick()
        self._detect_silent_peers()
        usage, now = self.own_usage(), self.loop.time()
        is_due = usage != self.last_shared_usage or now - self.last_shared_at >= HEARTBEAT_INTERVAL_S
        if is_due and self.links:
            self.last_shared_usage, self.last_shared_at = usage, now
            for link in list(self.links):
                link.write(format_usage(usage))
        self.timer = self.loop.call_later(SHARE_INTERVAL_S, self._share_usage)


def _newest(inheritances: list[Inheritance]) -> Inheritance:
    """Return the one with the newest list; lists of earlier versions, without an origin, come last."""
    newest = NO_INHERITANCE
    for item in inheritances:
        if item.endpoint_list is None:
            continue
        if item.origin is None:
            newest = item if newest.origin is None else newest
        elif newest.origin is None or item.origin.is_newer_than(newest.origin):
            newest = item
    return newest


def _remove_file(path: Path) -> None:
    with contextlib.suppress(OSError):
        path.unlink()
