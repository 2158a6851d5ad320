"""The sidecar as a process: its sockets, signals and exit code."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
from time import monotonic
from typing import TYPE_CHECKING

import uvloop

from ..core.limits import Descriptors, Memory, Usage
from ..core.log import log
from ..core.ports import Address
from ..core.request_ids import RequestIdRegistries
from ..http.acceptor import Acceptor
from ..http.management import Management
from .config import Config, ConfigError, read_config
from .inherited import InheritedList, inherited_endpoint_list, inherited_socket
from .options import Options
from .reload import Reloader
from .resident_memory import resident_bytes
from .sidecar import Sidecar

if TYPE_CHECKING:
    from .hot_restart import HotRestart
    from .hot_restart_form import Inheritance

BACKLOG = 512  # connections that may wait to be accepted
PROCESSES_OF_HOT_RESTART = 2
GC_THRESHOLDS = (20_000, 20, 50)  # net allocations, then collections of generation 0 and of generation 1


class Process:
    """Owns the components of the process, and the order in which they start and close."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, options: Options) -> None:
        """Take over the inherited listening socket, if there is one; start nothing yet."""
        self.loop = loop
        self.config = config
        self.options = options
        self.inherited = inherited_socket(os.environ.get("GW_FD"))
        self.usage = Usage(
            Descriptors(min(config.sockets, options.descriptors or config.sockets)),
            Memory(min(config.memory, options.memory or config.memory)),
        )
        self.request_ids = RequestIdRegistries(self.usage.memory)
        self.hot_restart: HotRestart | None = None
        self.sidecar: Sidecar | None = None
        self.management: Management | None = None

    async def start(self, path: str | None) -> None:
        """Start all components. Raise ConfigError if an address can't be bound.

        `path` names the platform's configuration.
        """
        inherited = await self._start_hot_restart()
        sidecar = self.sidecar = Sidecar(self.loop, self.config, self.usage, inherited, self.request_ids)
        if self.hot_restart is not None:
            sidecar.engine.requests.arbiter = self.hot_restart.sharing
            self.hot_restart.share_lists(sidecar.lists)
        management = self.management = Management(self.loop, sidecar.engine)
        reloader = Reloader(self.loop, sidecar, management, self.options, path)
        reloader.apply_options(self.options, self.options.sink())
        self._restore_known_clients(sidecar)
        self._handle_signals(sidecar, reloader)
        try:
            await self._open_gossip(sidecar)
            await management.listen(self.options.operators or self.config.management)
            host, port = self._listen(sidecar)
        except OSError as error:
            msg = f"can't bind a listening socket: {error}"
            raise ConfigError(msg) from None
        _freeze_collector()
        processes = 1 if self.hot_restart is None else PROCESSES_OF_HOT_RESTART
        self.usage.memory.start_measuring(resident_bytes, processes)
        sidecar.engine.lifecycle.serve()
        log.info("listening", name=self.config.name, host=host, port=port)

    async def run_until_stopped(self) -> None:
        """Wait for the end of the graceful shutdown, then close all components."""
        if self.sidecar is None or self.management is None:
            return
        await self.sidecar.engine.lifecycle.stopped
        self.management.close()
        if self.hot_restart is not None:
            self.hot_restart.close()
        self.sidecar.close()

    async def _start_hot_restart(self) -> InheritedList | None:
        """Link to the other processes, and return the endpoint list that one of them hands over, or None."""
        directory = os.environ.get("TMPDIR")
        if self.inherited is None or not directory:
            return None  # only a socket that the platform passes on can be shared with another process
        from .hot_restart import HotRestart

        self.hot_restart = HotRestart(
            self.loop, directory, self.usage, self._own_inheritance, request_ids=self.request_ids
        )
        await self.hot_restart.start()
        return inherited_endpoint_list(self.hot_restart.inherited, self.config)

    def _own_inheritance(self) -> Inheritance:
        """Return the state that this process hands over to a new one."""
        from .hot_restart_form import Inheritance

        if self.sidecar is None:
            return Inheritance(None, None)
        endpoint_list, origin = self.sidecar.lists.snapshot()
        return Inheritance(endpoint_list, self.sidecar.known_clients(), origin)

    def _restore_known_clients(self, sidecar: Sidecar) -> None:
        admission = sidecar.http.clients.admission
        if admission is None or self.hot_restart is None:
            return
        for snapshot in self.hot_restart.known_clients:
            admission.restore(monotonic(), snapshot)

    def _handle_signals(self, sidecar: Sidecar, reloader: Reloader) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, sidecar.engine.lifecycle.terminate)
        self.loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)

    async def _open_gossip(self, sidecar: Sidecar) -> None:
        config = self.config
        if config.peer_listen is None:
            return
        from ..membership.gossip import Gossip

        gossip = Gossip(config.settings.index, config.peers, config.peers_all, sidecar.engine.on_gossip)
        await self.loop.create_datagram_endpoint(lambda: gossip, local_addr=config.peer_listen)
        sidecar.engine.set_gossip_sender(gossip)

    def _listen(self, sidecar: Sidecar) -> Address:
        """Start to accept client connections; return the address of the listening socket."""
        sock = self.inherited or socket.create_server(self.config.listen)
        sock.listen(BACKLOG)
        host, port = sock.getsockname()[:2]
        sidecar.http.listen(Acceptor(self.loop, sock, sidecar.http.connection, sidecar.http.clients))
        return host, port


def _freeze_collector() -> None:
    """Exclude the objects that live as long as the process from garbage collection.

    Raise the thresholds too, because the program creates few reference cycles.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


async def run(config: Config, options: Options, path: str | None) -> None:
    """Serve until the end of the graceful shutdown; `path` names the platform's configuration."""
    process = Process(asyncio.get_running_loop(), config, options)
    await process.start(path)
    await process.run_until_stopped()


def main(operator_file: str | None = None) -> int:
    """Run until SIGTERM or SIGINT and return the exit code. `operator_file` is a path, or None."""
    # The event loop reports uncaught exceptions through `logging`.
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    # SIGHUP ends a process by default, so it is ignored whenever the event loop does not handle it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = os.environ.get("GW_CONFIG")
    try:
        config = read_config(path)
        options = Options.read(operator_file)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(config, options, path))
            signal.signal(signal.SIGHUP, signal.SIG_IGN)
    except ConfigError as error:
        print(f"ochreflow: {error}", file=sys.stderr)
        return 1
    return 0
