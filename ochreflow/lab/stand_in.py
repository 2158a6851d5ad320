"""Stand-ins as a process: `python -m ochreflow.lab.stand_in nodes|directory FOLDER JSON`.

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

from .directory import Directory, Manners
from .event_log import EventLog
from .model import Pod, Traits
from .node import Node

HOST = "127.0.0.1"
PARENT_EVERY = 0.5  # seconds between looks whether the parent lives


class Place:
    """One stand-in and its socket."""

    def __init__(self, made: Node | Directory, event_log: EventLog, server: asyncio.Server) -> None:
        self.made = made
        self.event_log = event_log
        self.server = server

    @property
    def address(self) -> str:
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def end(self) -> None:
        self.server.close()
        self.made.close()
        self.event_log.close()


async def open_place(kind: str, folder: Path, options: dict[str, Any], pod: Pod) -> Place:
    loop = asyncio.get_running_loop()
    name, seed, port = options["name"], options.pop("seed", 0), options.pop("port", 0)
    event_log = EventLog(folder / f"{name}.jsonl")
    made: Node | Directory
    if kind == "nodes":
        made = Node(Traits(**options), event_log, seed, loop, pod)
    else:
        made = Directory(event_log, loop, Manners(**options.get("manners", {})), seed)
    server = await loop.create_server(made.service.connection, HOST, port, backlog=512, reuse_address=True)
    return Place(made, event_log, server)


async def serve(kind: str, folder: Path, wanted: list[dict[str, Any]]) -> None:
    loop = asyncio.get_running_loop()
    pod = Pod()
    places = [await open_place(kind, folder, options, pod) for options in wanted]
    for place in places:
        if isinstance(place.made, Node):
            place.made.end = place.end
        print(place.address, flush=True)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    parent = os.getppid()
    while not ended.is_set() and os.getppid() == parent:
        try:
            await asyncio.wait_for(ended.wait(), PARENT_EVERY)
        except TimeoutError:
            continue
    for place in places:
        place.end()


if __name__ == "__main__":
    kind, folder, wanted = sys.argv[1:]
    uvloop.run(serve(kind, Path(folder), json.loads(wanted)))
