"""An upgrade on one listening socket between this build and an earlier one, under load, both ways.

    python benchmarks/upgrade.py --before REVISION

Starts one build, then the other beside it on the same socket and the same $TMPDIR, ends the first with
SIGTERM, and counts what clients got meanwhile. Prints one JSON object for each direction; exit code 1 if
a request was lost, a connection refused, or the two did not see each other.
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
from checkout import ROOT
from overhead import HOST, NODE_NAMES, config, node, request

from ochreflow.lab.client_connection import ClientConnection

CLIENTS = 4
ALONE_S = 1.0  # of load on the first alone, and on the second alone
LOG_TIMEOUT_S = 10
EXIT_TIMEOUT_S = 10
LOG_POLL_INTERVAL_S = 0.01


class Process:
    """One build of the sidecar, started on a listening socket that others may share."""

    def __init__(self, checkout: Path, node_port: int, listening: socket.socket, shared: str) -> None:
        """Start the build of a checkout; it knows a node at the port, and finds the others in `shared`."""
        entry = {"address": f"{HOST}:{node_port}", "zone": "amman", "type": "gen3", "group": 1}
        entry.update(status="SERVING", weight=1.0, since_ms=0)
        endpoints = [{**entry, "name": f"node-{number}"} for number in range(NODE_NAMES)]
        packages = [path.parent.name for path in checkout.glob("*/__main__.py")]
        package = next(name for name in packages if name in ("ochreflow", "dykefold"))
        path = Path(shared) / f"{package}-{checkout.name}.json"
        path.write_text(json.dumps(config(f"{HOST}:9", endpoints)))
        self.log = Path(shared) / f"{package}-{checkout.name}.log"
        fd = str(listening.fileno())
        self.process = subprocess.Popen(
            [sys.executable, "-m", package],
            cwd=checkout,
            env={**os.environ, "GW_CONFIG": str(path), "GW_FD": fd, "TMPDIR": shared},
            stderr=self.log.open("wb"),
            pass_fds=[listening.fileno()],
        )

    async def wait_for_log(self, text: str) -> None:
        """Wait until its log has the text; TimeoutError after LOG_TIMEOUT_S."""
        async with asyncio.timeout(LOG_TIMEOUT_S):
            while text not in self.log.read_text():
                await asyncio.sleep(LOG_POLL_INTERVAL_S)


async def load(port: int, counts: dict[str, int], ending: asyncio.Event) -> None:
    """Send one request after another, and count how each ends.

    A close that crosses an unread request is met with a new connection.
    """
    loop = asyncio.get_running_loop()
    client = None
    while not ending.is_set():
        if client is None or not client.open:
            try:
                _, client = await loop.create_connection(ClientConnection, HOST, port)
            except OSError:
                counts["refused connections"] += 1
                continue
        done = loop.create_future()
        client.send(request(), done)
        try:
            code, _ = await done
            counts["served" if code == HTTPStatus.OK else "other answers"] += 1
        except OSError:
            counts["crossed"] += 1
            client = None
    if client is not None:
        client.close()


async def play(first: Path, second: Path, node_port: int) -> dict[str, int | bool]:
    """Start one build, then the other on the same socket, and end the first; counts of what clients got."""
    counts = dict.fromkeys(("served", "other answers", "crossed", "refused connections"), 0)
    with socket.create_server((HOST, 0), backlog=512) as listening, tempfile.TemporaryDirectory() as shared:
        port = listening.getsockname()[1]
        old = Process(first, node_port, listening, shared)
        new = None
        try:
            await old.wait_for_log(" listens at ")
            ending = asyncio.Event()
            clients = [asyncio.create_task(load(port, counts, ending)) for _ in range(CLIENTS)]
            await asyncio.sleep(ALONE_S)
            new = Process(second, node_port, listening, shared)
            await new.wait_for_log(" listens at ")
            await old.wait_for_log(" serves beside this one")
            await new.wait_for_log(" serves beside this one")
            old.process.send_signal(signal.SIGTERM)
            code = await asyncio.to_thread(old.process.wait, EXIT_TIMEOUT_S)
            await new.wait_for_log(" is gone")
            await asyncio.sleep(ALONE_S)
            ending.set()
            await asyncio.gather(*clients)
            return {**counts, "exit code of the first": code, "both alive saw each other": True}
        finally:
            for process in (old, new):
                if process is not None:
                    with contextlib.suppress(ProcessLookupError):
                        process.process.kill()
                    process.process.wait()


def main() -> int:
    """Try both directions, and print the counts; 1 if one of them lost something."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--before", required=True, help="a git revision")
    given = parser.parse_args()
    pipe, far = multiprocessing.Pipe()
    multiprocessing.Process(target=node, args=(far,), daemon=True).start()
    node_port = pipe.recv()
    fine = True
    with tempfile.TemporaryDirectory() as temporary:
        before = Path(temporary) / "before"
        add = ["git", "worktree", "add", "-q", "--detach", str(before), given.before]
        subprocess.run(add, cwd=ROOT, check=True)
        try:
            for name, pair in {"upgrade": (before, ROOT), "way back": (ROOT, before)}.items():
                got = uvloop.run(play(*pair, node_port))
                print(json.dumps({name: got}))
                wrong = got["other answers"] + got["refused connections"] + got["exit code of the first"]
                fine = fine and not wrong and got["served"] > 0
        finally:
            remove = ["git", "worktree", "remove", "--force", str(before)]
            subprocess.run(remove, cwd=ROOT, check=True)
    return 0 if fine else 1


if __name__ == "__main__":
    sys.exit(main())
