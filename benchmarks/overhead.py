"""Overhead of the sidecar: the same load directly to a node, through an earlier build and through this one.

    python benchmarks/overhead.py [--before REVISION] [--rounds N] [--seconds S]

All three are measured in turn within one run on the same cores, one core for each sidecar; only the ratios
are meaningful. Prints one JSON object: the ratio of requests per second to those without a sidecar (median of
the rounds), the latency added at p50 and p99 with one request at a time, and the idle resident memory.
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
from http import HTTPStatus
from multiprocessing.connection import Connection
from pathlib import Path
from time import perf_counter

import uvloop
from checkout import checkouts

from ochreflow.lab.client_connection import ClientConnection
from ochreflow.lab.http_server import HttpRequest, HttpService
from ochreflow.lab.platform_config import platform_config
from ochreflow.lab.scenario import read_scenario
from ochreflow.lab.series import percentile

HOST = "127.0.0.1"
CONNECTIONS = 6  # saturates one core; below the policy's initial limit on open requests
NODE_NAMES = 4  # names of the one node: the limit on open requests scales with the number of endpoints
LATENCY_REQUESTS = 3000  # requests sent one at a time, to measure the latency added by the sidecar
CORES = {"node": 0, "sidecar": 1, "load": 2}


def pin(core: int) -> None:
    """Bind this process to a core, counted modulo the number of cores."""
    os.sched_setaffinity(0, {core % (os.cpu_count() or 1)})


def node(pipe: Connection) -> None:
    """Run a node that responds at once until killed; send its port into the pipe."""
    pin(CORES["node"])

    async def serve() -> None:
        def respond(request: HttpRequest) -> None:
            request.answer(200, b"ok")

        service = HttpService(respond)
        server = await asyncio.get_running_loop().create_server(service.connection, HOST, 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await asyncio.Event().wait()

    uvloop.run(serve())


class Build:
    """A process of one build of the sidecar."""

    def __init__(self, directory: Path, *node_ports: int, sockets: int | None = None) -> None:
        """Start the build in `directory`; raise SystemExit if that fails.

        It has `NODE_NAMES` endpoints, which are at `node_ports` in turn; `sockets` limits its descriptors.
        """
        packages = [path.parent.name for path in directory.glob("*/__main__.py")]
        package = next(name for name in packages if name in ("ochreflow", "dykefold"))
        entry = {"zone": "amman", "type": "gen3", "group": 1, "status": "SERVING", "weight": 1.0}
        entry["since_ms"] = 0
        addresses = [f"{HOST}:{node_ports[number % len(node_ports)]}" for number in range(NODE_NAMES)]
        endpoints = [
            {**entry, "name": f"node-{number}", "address": address}
            for number, address in enumerate(addresses)
        ]
        path = directory / ".bench-config.json"
        data = config(f"{HOST}:9", endpoints)
        if sockets is not None:
            data["limits"]["sockets"] = sockets
        path.write_text(json.dumps(data))
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
                message = f"the build in {directory.name} exited before it was listening"
                raise SystemExit(message)
            if match := re.search(r" listens at [\d.]+:(\d+)", line):
                self.port = int(match[1])
        path.unlink()

    def resident_mib(self) -> float:
        """Return the resident memory of the process, in MiB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024


def config(discovery: str, endpoints: list[dict]) -> dict:
    """Build the platform configuration of a sidecar with known endpoints and a discovery address.

    Requests of the class `exposure` are GETs, those of `assign` are POSTs that must not be repeated.
    """
    data = platform_config(read_scenario("quiet"), 1, f"{HOST}:0", discovery, endpoints)
    for request_class in data["settings"]["classes"]:
        if request_class["name"] == "exposure":
            request_class["repeat"] = "pure"
    return data


def request() -> bytes:
    """Build a request with a unique id."""
    request_id = f"{random.getrandbits(64):016x}"
    head = f"POST /assign/flags HTTP/1.1\r\nHost: nodes\r\nX-Request-Id: {request_id}\r\nX-Key: user-1\r\n"
    return f"{head}X-Deadline: 2000m\r\nContent-Length: 4\r\n\r\nbody".encode()


async def load(port: int, connections: int, seconds: float = 1e9, max_requests: int = 10**9) -> list[float]:
    """Keep a request open on each connection; return the latency of each response, in seconds."""
    loop = asyncio.get_running_loop()
    latencies: list[float] = []
    end = perf_counter() + seconds

    async def run_client() -> None:
        _, client = await loop.create_connection(ClientConnection, HOST, port)
        while perf_counter() < end and len(latencies) < max_requests:
            response = loop.create_future()
            sent_at = perf_counter()
            client.send(request(), response)
            code, _ = await response
            if code != HTTPStatus.OK:
                message = f"a response had status {code}, expected 200: {client.body.decode()}"
                raise SystemExit(message)
            latencies.append(perf_counter() - sent_at)
        client.close()

    await asyncio.gather(*(run_client() for _ in range(connections)))
    return latencies


def measure(ports: dict[str, int], rounds: int, seconds: float) -> dict[str, dict[str, float]]:
    """Load each port in turn, in random order in each round; return the results by name."""
    rates: dict[str, list[float]] = {name: [] for name in ports}
    latencies: dict[str, list[float]] = {name: [] for name in ports}
    for number in range(rounds + 1):
        order = list(ports)
        random.shuffle(order)
        for name in order:
            parallel = uvloop.run(load(ports[name], CONNECTIONS, seconds))
            sequential = uvloop.run(load(ports[name], 1, max_requests=LATENCY_REQUESTS // rounds))
            if number:  # the first round warms up
                rates[name].append(len(parallel) / seconds)
                latencies[name] += sequential
    direct = rates["direct"]
    result: dict[str, dict[str, float]] = {}
    for name in ports:
        ratio = statistics.median(rate / base for rate, base in zip(rates[name], direct, strict=True))
        if name == "after" and "before" in ports:
            pairs = zip(rates["after"], rates["before"], strict=True)
            result["after to before"] = {"ratio": round(statistics.median(a / b for a, b in pairs), 4)}
        result[name] = {"per_second": round(statistics.median(rates[name])), "ratio": round(ratio, 4)}
        for quantile, label in ((0.5, "p50_us"), (0.99, "p99_us")):
            added = percentile(latencies[name], quantile) - percentile(latencies["direct"], quantile)
            result[name][f"added_{label}"] = round(added * 1e6)
    return result


def main() -> None:
    """Start the node and the builds, measure them and print the results."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--before", help="a git revision to compare with")
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=1.5)
    options = parser.parse_args()
    pin(CORES["load"])
    pipe, child_pipe = multiprocessing.Pipe()
    multiprocessing.Process(target=node, args=(child_pipe,), daemon=True).start()
    node_port = pipe.recv()
    with checkouts(options.before) as paths:
        builds = {name: Build(path, node_port) for name, path in paths.items()}
        try:
            idle = {name: round(build.resident_mib(), 2) for name, build in builds.items()}
            ports = {"direct": node_port, **{name: build.port for name, build in builds.items()}}
            result = measure(ports, options.rounds, options.seconds)
        finally:
            for build in builds.values():
                build.process.kill()
    print(json.dumps({"rates": result, "idle_mb": idle}, indent=1))


if __name__ == "__main__":
    main()
