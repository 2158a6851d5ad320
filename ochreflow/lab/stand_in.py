"""One stand-in as a process: `python -m ochreflow.lab.stand_in node|directory LEDGER [JSON]`.

It prints its address as soon as it listens, and ends with SIGTERM or with the process that started it.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import uvloop

from .directory import Directory
from .ledger import Ledger
from .node import Node, Traits

HOST = "127.0.0.1"
PARENT_EVERY = 0.5  # seconds between looks whether the parent lives


async def serve(kind: str, path: str, options: dict) -> None:
    loop = asyncio.get_running_loop()
    ledger = Ledger(Path(path))
    seed = options.pop("seed", 0)
    made: Node | Directory
    made = Node(Traits(**options), ledger, seed, loop) if kind == "node" else Directory(ledger, loop)
    server = await loop.create_server(made.service.connection, HOST, 0, backlog=512)
    print(f"{HOST}:{server.sockets[0].getsockname()[1]}", flush=True)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    parent = os.getppid()
    while not ended.is_set() and os.getppid() == parent:
        try:
            await asyncio.wait_for(ended.wait(), PARENT_EVERY)
        except TimeoutError:
            continue
    made.service.cut_all()
    ledger.close()


if __name__ == "__main__":
    kind, path, *more = sys.argv[1:]
    uvloop.run(serve(kind, path, json.loads(more[0]) if more else {}))
