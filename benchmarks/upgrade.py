"""Hot restart between this build and an earlier one on one listening socket, under load, in both directions.

    python benchmarks/upgrade.py --before REVISION

Starts one build, then the other on the same socket with the same $TMPDIR, stops the first with SIGTERM and
counts the results of the clients. Prints one JSON object for each direction. Exit code 1 if a request was
lost, a connection was refused, or the two processes did not detect each other.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import multiprocessing
import os
import signal
import socket
import subprocess
import sys
import tempfile
from http import HTTPStatus
from pathlib import Path

import uvloop
from checkout import ROOT, checkout_of
from overhead import HOST, NODE_NAMES, config, node, request

from ochreflow.lab.client_connection import ClientConnection

CLIENTS = 4
SINGLE_PROCESS_LOAD_S = 1.0  # duration of the load on the first process alone, and later on the second alone
LOG_TIMEOUT_S = 10
EXIT_TIMEOUT_S = 10
LOG_POLL_INTERVAL_S = 0.01


class Process:
    """A process of one build of the sidecar on a listening socket shared with other processes."""

    def __init__(self, checkout: Path, node_port: int, listener: socket.socket, shared: str) -> None:
        """Start the build in `checkout` with a node at `node_port`; it finds other processes in `shared`."""
        entry = {"address": f"{HOST}:{node_port}", "zone": "amman", "type": "gen3", "group": 1}
        entry.update(status="SERVING", weight=1.0, since_ms=0)
        endpoints = [{**entry, "name": f"node-{number}"} for number in range(NODE_NAMES)]
        packages = [path.parent.name for path in checkout.glob("*/__main__.py")]
        package = next(name for name in packages if name in ("ochreflow", "dykefold"))
        path = Path(shared) / f"{package}-{checkout.name}.json"
        path.write_text(json.dumps(config(f"{HOST}:9", endpoints)))
        self.log = Path(shared) / f"{package}-{checkout.name}.log"
        fd = str(listener.fileno())
        self.process = subprocess.Popen(
            [sys.executable, "-m", package],
            cwd=checkout,
            env={**os.environ, "GW_CONFIG": str(path), "GW_FD": fd, "TMPDIR": shared},
            stderr=self.log.open("wb"),
            pass_fds=[listener.fileno()],
        )

    async def wait_for_log(self, text: str) -> None:
        """Wait until the log contains `text`; raise TimeoutError after LOG_TIMEOUT_S."""
        async with asyncio.timeout(LOG_TIMEOUT_S):
            while text not in self.log.read_text():
                await asyncio.sleep(LOG_POLL_INTERVAL_S)


async def load(port: int, counts: dict[str, int], stop: asyncio.Event) -> None:
    """Send requests one after another until `stop` is set, and count their outcomes.

    If the server closes the connection before it reads a request, the next request uses a new connection.
    """
    loop = asyncio.get_running_loop()
    client = None
    while not stop.is_set():
        if client is None or not client.open:
            try:
                _, client = await loop.create_connection(ClientConnection, HOST, port)
            except OSError:
                counts["refused connections"] += 1
                continue
        response = loop.create_future()
        client.send(request(), response)
        try:
            code, _ = await response
            counts["served" if code == HTTPStatus.OK else "other answers"] += 1
        except OSError:
            counts["crossed"] += 1
            client = None
    if client is not None:
        client.close()


async def run_upgrade(first: Path, second: Path, node_port: int) -> dict[str, int | bool]:
    """Start one build, then the other on the same socket, stop the first; return the clients' counts."""
    counts = dict.fromkeys(("served", "other answers", "crossed", "refused connections"), 0)
    with socket.create_server((HOST, 0), backlog=512) as listener, tempfile.TemporaryDirectory() as shared:
        port = listener.getsockname()[1]
        old = Process(first, node_port, listener, shared)
        new = None
        try:
            await old.wait_for_log(" listens at ")
            stop = asyncio.Event()
            clients = [asyncio.create_task(load(port, counts, stop)) for _ in range(CLIENTS)]
            await asyncio.sleep(SINGLE_PROCESS_LOAD_S)
            new = Process(second, node_port, listener, shared)
            await new.wait_for_log(" listens at ")
            await old.wait_for_log(" serves beside this one")
            await new.wait_for_log(" serves beside this one")
            old.process.send_signal(signal.SIGTERM)
            code = await asyncio.to_thread(old.process.wait, EXIT_TIMEOUT_S)
            await new.wait_for_log(" is gone")
            await asyncio.sleep(SINGLE_PROCESS_LOAD_S)
            stop.set()
            await asyncio.gather(*clients)
            return {**counts, "exit code of the first": code, "both alive saw each other": True}
        finally:
            for process in (old, new):
                if process is not None:
                    with contextlib.suppress(ProcessLookupError):
                        process.process.kill()
                    process.process.wait()


def main() -> int:
    """Run both directions and print the counts; return 1 if a direction failed."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--before", required=True, help="a git revision")
    options = parser.parse_args()
    pipe, child_pipe = multiprocessing.Pipe()
    multiprocessing.Process(target=node, args=(child_pipe,), daemon=True).start()
    node_port = pipe.recv()
    passed = True
    with checkout_of(options.before) as before:
        for name, pair in {"upgrade": (before, ROOT), "way back": (ROOT, before)}.items():
            counts = uvloop.run(run_upgrade(*pair, node_port))
            print(json.dumps({name: counts}))
            failures = (
                counts["other answers"] + counts["refused connections"] + counts["exit code of the first"]
            )
            passed = passed and not failures and counts["served"] > 0
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
