"""What the sidecar costs: the same load straight at a node, through an earlier build, and through this one.

    python benchmarks/overhead.py [--before REVISION] [--rounds N] [--seconds S]

All are measured in turn within one run on the same cores, one core for each sidecar, so that only ratios
are to be read. Prints one JSON object: requests a second as a ratio to straight at the node (median of
the rounds), time added at p50 and p99 with one request at a time, and idle resident memory.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import random
import re
import statistics
import subprocess
import sys
import tempfile
from http import HTTPStatus
from multiprocessing.connection import Connection
from pathlib import Path
from time import perf_counter

import uvloop
from checkout import ROOT

from ochreflow.lab.client_connection import ClientConnection
from ochreflow.lab.http_server import HttpRequest, HttpService
from ochreflow.lab.platform_config import platform_config
from ochreflow.lab.scenario import read_scenario
from ochreflow.lab.series import percentile

HOST = "127.0.0.1"
CONNECTIONS = 6  # fills a core, and stays under the module's limit on what is open at first
NODE_NAMES = 4  # under which the sidecar knows the one node: its limit on what is open goes by servers
LATENCY_REQUESTS = 3000  # one at a time, for the latency that the sidecar adds
CORES = {"node": 0, "sidecar": 1, "load": 2}


def pin(core: int) -> None:
    """Bind this process to a core; the numbers wrap round at the number of cores."""
    os.sched_setaffinity(0, {core % (os.cpu_count() or 1)})


def node(pipe: Connection) -> None:
    """Serve as a node that answers at once, for ever; its port goes into the pipe."""
    pin(CORES["node"])

    async def serve() -> None:
        def answer(request: HttpRequest) -> None:
            request.answer(200, b"ok")

        service = HttpService(answer)
        server = await asyncio.get_running_loop().create_server(service.connection, HOST, 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await asyncio.Event().wait()

    uvloop.run(serve())


class Build:
    """One build of the sidecar as a process."""

    def __init__(self, directory: Path, node_port: int) -> None:
        """Start the build of a checkout; it knows a node at the port. SystemExit if it does not start."""
        packages = [path.parent.name for path in directory.glob("*/__main__.py")]
        package = next(name for name in packages if name in ("ochreflow", "dykefold"))
        entry = {"address": f"{HOST}:{node_port}", "zone": "amman", "type": "gen3", "group": 1}
        entry.update(status="SERVING", weight=1.0, since_ms=0)
        endpoints = [{**entry, "name": f"node-{number}"} for number in range(NODE_NAMES)]
        path = directory / ".bench-config.json"
        path.write_text(json.dumps(config(f"{HOST}:9", endpoints)))
        self.process = subprocess.Popen(
            [sys.executable, "-m", package],
            cwd=directory,
            env={**os.environ, "GW_CONFIG": str(path)},
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=lambda: pin(CORES["sidecar"]),
        )
        self.port = 0
        assert self.process.stderr is not None
        while not self.port:
            line = self.process.stderr.readline()
            if not line:
                message = f"the build in {directory.name} did not start"
                raise SystemExit(message)
            if match := re.search(r" listens at [\d.]+:(\d+)", line):
                self.port = int(match[1])
        path.unlink()

    def resident_mb(self) -> float:
        """Read its resident memory, in MB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024


def config(discovery: str, endpoints: list[dict]) -> dict:
    """Make the platform's configuration of a sidecar that knows the endpoints from a discovery address."""
    return platform_config(read_scenario("quiet"), 1, f"{HOST}:0", discovery, endpoints)


def request() -> bytes:
    """Make a request with an id of its own."""
    ident = f"{random.getrandbits(64):016x}"
    head = f"POST /assign/flags HTTP/1.1\r\nHost: nodes\r\nX-Request-Id: {ident}\r\nX-Key: user-1\r\n"
    return f"{head}X-Deadline: 2000m\r\nContent-Length: 4\r\n\r\nbody".encode()


async def load(port: int, connections: int, seconds: float = 1e9, max_requests: int = 10**9) -> list[float]:
    """Keep a request open on each connection; the latency of each answer, in seconds."""
    loop = asyncio.get_running_loop()
    latencies: list[float] = []
    end = perf_counter() + seconds

    async def one() -> None:
        _, client = await loop.create_connection(ClientConnection, HOST, port)
        while perf_counter() < end and len(latencies) < max_requests:
            done = loop.create_future()
            begin = perf_counter()
            client.send(request(), done)
            code, _ = await done
            if code != HTTPStatus.OK:
                message = f"an answer was {code}: {client.body.decode()}"
                raise SystemExit(message)
            latencies.append(perf_counter() - begin)
        client.close()

    await asyncio.gather(*(one() for _ in range(connections)))
    return latencies


def measure(ports: dict[str, int], rounds: int, seconds: float) -> dict[str, dict[str, float]]:
    """Load what listens at each port in turn, in an order drawn for each round; the figures by name."""
    rates: dict[str, list[float]] = {name: [] for name in ports}
    times: dict[str, list[float]] = {name: [] for name in ports}
    for number in range(rounds + 1):
        order = list(ports)
        random.shuffle(order)
        for name in order:
            answered = uvloop.run(load(ports[name], CONNECTIONS, seconds))
            alone = uvloop.run(load(ports[name], 1, max_requests=LATENCY_REQUESTS // rounds))
            if number:  # the first round warms up
                rates[name].append(len(answered) / seconds)
                times[name] += alone
    direct = rates["direct"]
    result: dict[str, dict[str, float]] = {}
    for name in ports:
        ratio = statistics.median(rate / base for rate, base in zip(rates[name], direct, strict=True))
        if name == "after" and "before" in ports:
            pairs = zip(rates["after"], rates["before"], strict=True)
            result["after to before"] = {"ratio": round(statistics.median(a / b for a, b in pairs), 4)}
        result[name] = {"per_second": round(statistics.median(rates[name])), "ratio": round(ratio, 4)}
        for part, label in ((0.5, "p50_us"), (0.99, "p99_us")):
            added = percentile(times[name], part) - percentile(times["direct"], part)
            result[name][f"added_{label}"] = round(added * 1e6)
    return result


def main() -> None:
    """Start the node and the builds, measure, and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--before", help="a git revision to compare with")
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=1.5)
    given = parser.parse_args()
    pin(CORES["load"])
    pipe, far = multiprocessing.Pipe()
    multiprocessing.Process(target=node, args=(far,), daemon=True).start()
    node_port = pipe.recv()
    with tempfile.TemporaryDirectory() as temporary:
        checkouts = {"after": ROOT}
        if given.before:
            checkouts["before"] = Path(temporary) / "before"
            add = ["git", "worktree", "add", "-q", "--detach", str(checkouts["before"]), given.before]
            subprocess.run(add, cwd=ROOT, check=True)
        builds = {name: Build(checkout, node_port) for name, checkout in checkouts.items()}
        try:
            idle = {name: round(build.resident_mb(), 2) for name, build in builds.items()}
            ports = {"direct": node_port, **{name: build.port for name, build in builds.items()}}
            result = measure(ports, given.rounds, given.seconds)
        finally:
            for build in builds.values():
                build.process.kill()
            if given.before:
                remove = ["git", "worktree", "remove", "--force", str(checkouts["before"])]
                subprocess.run(remove, cwd=ROOT, check=True)
    print(json.dumps({"rates": result, "idle_mb": idle}, indent=1))


if __name__ == "__main__":
    main()
