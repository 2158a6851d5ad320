"""The real sidecar as a process: its sockets, signals and exit code."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
from time import monotonic

import uvloop

from ..core.endpoints import EndpointIds, EndpointUpdate
from ..core.limits import Descriptors, Memory, Usage
from ..core.log import log
from ..http.management import Management
from ..membership.endpoint_list import EndpointListError, parse_endpoint_update
from .config import Config, ConfigError, read_config
from .reload import Options, Reloader
from .sidecar import Sidecar

BACKLOG = 512


def inherited_socket(text: str | None) -> socket.socket | None:
    """The clients' listening socket, where the platform holds it for every process."""
    if not text:
        return None
    try:
        if not (text.isascii() and text.isdigit()):
            raise ValueError("no number")
        sock = socket.socket(fileno=int(text))
        try:
            listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        except OSError:
            listening = 0
        if not listening or sock.type != socket.SOCK_STREAM:
            sock.detach()
            raise ValueError("no listening socket")
    except (OSError, ValueError, OverflowError) as error:
        raise ConfigError(f"GW_FD {text!r} can't be used: {error}") from None
    return sock


def handed_list(data: object, names: EndpointIds) -> EndpointUpdate | None:
    """The list that a process beside this one has: it is fresher than the configuration's."""
    if data is None:
        return None
    try:
        return parse_endpoint_update(data, names)
    except EndpointListError as error:
        log.warning("inherited_list_invalid", reason=str(error))
        return None


async def run(config: Config, options: Options, path: str | None) -> None:
    loop = asyncio.get_running_loop()
    inherited = inherited_socket(os.environ.get("GW_FD"))
    usage = Usage(
        Descriptors(min(config.sockets, options.descriptors or config.sockets)),
        Memory(min(config.memory, options.memory or config.memory)),
    )
    sidecar: Sidecar | None = None
    overlap, known = None, None
    if inherited is not None and (folder := os.environ.get("TMPDIR")):
        # Only a socket that the platform holds can have another process on it.
        from .overlap import Overlap

        overlap = Overlap(
            loop,
            folder,
            usage,
            lambda: sidecar.list_now() if sidecar is not None else None,
            known=lambda: sidecar.known_clients() if sidecar is not None else None,
        )
        known = handed_list(await overlap.start(), config.names)
    sidecar = Sidecar(loop, config, usage, known)
    engine = sidecar.engine
    management = Management(loop, engine)
    reloader = Reloader(loop, sidecar, management, options, path)
    reloader.take_options(options, options.sink())
    admission = sidecar.http.clients.admission
    if admission is not None and overlap is not None:
        for books in overlap.books:
            admission.restore(monotonic(), books)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, engine.lifecycle.terminate)
    loop.add_signal_handler(signal.SIGHUP, reloader.ask)
    try:
        if config.peer_listen is not None:
            from ..membership.gossip import Gossip

            peers = Gossip(config.settings.index, config.peers, config.peers_all, engine.on_gossip)
            await loop.create_datagram_endpoint(lambda: peers, local_addr=config.peer_listen)
            engine.use_gossip(peers)
        await management.listen(options.operators or config.management)
        if admission is not None:
            from ..http.acceptor import Acceptor

            sock = inherited or socket.create_server(config.listen)
            sock.listen(BACKLOG)
            host, port = sock.getsockname()
            sidecar.http.listen(Acceptor(loop, sock, sidecar.http.connection, sidecar.http.clients))
        else:
            if inherited is not None:
                server = await loop.create_server(sidecar.http.connection, sock=inherited, backlog=BACKLOG)
            else:
                server = await loop.create_server(sidecar.http.connection, *config.listen, backlog=BACKLOG)
            host, port = server.sockets[0].getsockname()
            sidecar.http.listen(server)
    except OSError as error:
        raise ConfigError(f"can't listen: {error}") from None
    engine.lifecycle.serve()
    # What was made until now lives as long as the process: collections need not look at it again, nor
    # come as often as for a program that makes cycles.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    log.info("listening", name=config.name, host=host, port=port)
    await engine.lifecycle.stopped
    management.close()
    if overlap is not None:
        overlap.close()
    sidecar.close()


def main(operator_file: str | None = None) -> int:
    """Run until the end is asked for; the exit code. `operator_file` names the operator's own file."""
    # The loop's own reports of exceptions that nobody caught.
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    # Guards the start and the end, when no loop listens: the signal's default would end the process.
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
