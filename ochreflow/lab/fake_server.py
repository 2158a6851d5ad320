"""A process that runs fake servers: `python -m ochreflow.lab.fake_server nodes|directory FOLDER JSON`.

The JSON lists the servers to start: the nodes of one group, which share their idempotency keys, or one
directory. Each has a name, a seed and optionally a port, to reuse an earlier address. The process prints the
address of each server once all listen, and ends on SIGTERM, on SIGINT or when its parent process ends.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from .directory_behaviour import DirectoryBehaviour
from .event_log import EventLog
from .fake_directory import FakeDirectory
from .fake_node import FakeNode
from .node_messages import NodeProfile
from .node_model import DeduplicationGroup

HOST = "127.0.0.1"
LISTEN_BACKLOG = 512
PARENT_CHECK_INTERVAL_S = 0.5


class FakeServer:
    """A fake server with its listening socket and its event log."""

    def __init__(
        self, handler: FakeNode | FakeDirectory, event_log: EventLog, server: asyncio.Server
    ) -> None:
        """Take ownership of the handler, its event log and its socket."""
        self.handler = handler
        self.event_log = event_log
        self.server = server

    @property
    def address(self) -> str:
        """The `host:port` at which the server listens."""
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def end(self) -> None:
        """Stop like a killed process; nothing more is recorded."""
        self.server.close()
        self.handler.close()
        self.event_log.close()


def make_handler(
    kind: str,
    options: dict[str, Any],
    seed: int,
    event_log: EventLog,
    dedup_group: DeduplicationGroup,
) -> FakeNode | FakeDirectory:
    """Create a node (kind "nodes") or a directory from its options."""
    loop = asyncio.get_running_loop()
    if kind == "nodes":
        return FakeNode(NodeProfile(**options), event_log, seed, loop, dedup_group)
    behaviour = msgspec.convert(options.get("manners", {}), DirectoryBehaviour)
    return FakeDirectory(event_log, loop, behaviour, seed)


async def open_server(
    kind: str, log_dir: Path, options: dict[str, Any], dedup_group: DeduplicationGroup
) -> FakeServer:
    """Start a fake server that records its events in `log_dir`/NAME.jsonl."""
    name, seed, port = options["name"], options.pop("seed", 0), options.pop("port", 0)
    event_log = EventLog(log_dir / f"{name}.jsonl")
    handler = make_handler(kind, options, seed, event_log, dedup_group)
    server = await asyncio.get_running_loop().create_server(
        handler.service.connection, HOST, port, backlog=LISTEN_BACKLOG, reuse_address=True
    )
    return FakeServer(handler, event_log, server)


async def serve(kind: str, log_dir: Path, server_options: list[dict[str, Any]]) -> None:
    """Start the servers, print their addresses and serve until a signal or the end of the parent process."""
    loop = asyncio.get_running_loop()
    dedup_group = DeduplicationGroup()
    servers = [await open_server(kind, log_dir, options, dedup_group) for options in server_options]
    for server in servers:
        if isinstance(server.handler, FakeNode):
            server.handler.on_end_order = server.end
        print(server.address, flush=True)
    stopping = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    parent = os.getppid()
    while not stopping.is_set() and os.getppid() == parent:
        try:
            await asyncio.wait_for(stopping.wait(), PARENT_CHECK_INTERVAL_S)
        except TimeoutError:
            continue
    for server in servers:
        server.end()


if __name__ == "__main__":
    kind, log_dir, server_options = sys.argv[1:]
    uvloop.run(serve(kind, Path(log_dir), json.loads(server_options)))
