"""Fake servers as a process: `python -m ochreflow.lab.fake_server nodes|directory FOLDER JSON`.

The JSON is a list of what to be: nodes of one pod, which share what they drop, or one directory; each
with a name, a seed and, for an address that was used before, a port. It prints a line for each as soon as
it listens, and ends with SIGTERM or with the process that started it.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

import uvloop

from .event_log import EventLog
from .fake_directory import FakeDirectory, Manners
from .fake_node import FakeNode
from .node_model import Pod, Traits

HOST = "127.0.0.1"
PARENT_EVERY = 0.5  # seconds between looks whether the parent lives


class FakeServer:
    """One fake server and its socket."""

    def __init__(
        self, handler: FakeNode | FakeDirectory, event_log: EventLog, server: asyncio.Server
    ) -> None:
        self.handler = handler
        self.event_log = event_log
        self.server = server

    @property
    def address(self) -> str:
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def end(self) -> None:
        self.server.close()
        self.handler.close()
        self.event_log.close()


async def open_server(kind: str, folder: Path, options: dict[str, Any], pod: Pod) -> FakeServer:
    loop = asyncio.get_running_loop()
    name, seed, port = options["name"], options.pop("seed", 0), options.pop("port", 0)
    event_log = EventLog(folder / f"{name}.jsonl")
    handler: FakeNode | FakeDirectory
    if kind == "nodes":
        handler = FakeNode(Traits(**options), event_log, seed, loop, pod)
    else:
        handler = FakeDirectory(event_log, loop, Manners(**options.get("manners", {})), seed)
    server = await loop.create_server(handler.service.connection, HOST, port, backlog=512, reuse_address=True)
    return FakeServer(handler, event_log, server)


async def serve(kind: str, folder: Path, wanted: list[dict[str, Any]]) -> None:
    loop = asyncio.get_running_loop()
    pod = Pod()
    servers = [await open_server(kind, folder, options, pod) for options in wanted]
    for fake_server in servers:
        if isinstance(fake_server.handler, FakeNode):
            fake_server.handler.end = fake_server.end
        print(fake_server.address, flush=True)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    parent = os.getppid()
    while not ended.is_set() and os.getppid() == parent:
        try:
            await asyncio.wait_for(ended.wait(), PARENT_EVERY)
        except TimeoutError:
            continue
    for fake_server in servers:
        fake_server.end()


if __name__ == "__main__":
    kind, folder, wanted = sys.argv[1:]
    uvloop.run(serve(kind, Path(folder), json.loads(wanted)))
