"""Connections to servers, latency and memory at low, usual and saturated rates.

    python benchmarks/connections.py [--before REVISION] [--seconds S]

Measures an earlier build and this one in turn with the same servers and the same random arrivals, one core
for each sidecar. Prints one JSON object: for each rate and build the requests answered a second, the latency
that the sidecar adds at p50 and p99, the connections open at once (most, for one server and in all), the
connections opened for each thousand requests, and the resident memory of the sidecar.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import random
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
from multiprocessing.connection import Connection
from time import perf_counter

import uvloop
from checkout import checkouts
from overhead import CORES, HOST, Build, pin

from ochreflow.lab.client_connection import ClientConnection
from ochreflow.lab.http_server import HttpRequest, HttpService
from ochreflow.lab.series import percentile

SERVERS = 4
WORK_S = "X-Work"  # header with the time that a request takes, in seconds
REJECTED_SHARE = "X-Rejected-Share"  # header with the share of its attempts that a server rejects
GET_SHARE = 0.7
MS_PER_S = 1000


@dataclass(frozen=True)
class Load:
    """Requests that arrive at random, or on as many connections as `clients` if that is given."""

    name: str
    work_s: tuple[float, float]  # shortest and longest time that a request takes at its server
    rate: float = 0.0  # requests a second
    clients: int = 0  # each sends the next request once the last one is answered
    sockets: int | None = None  # limit of the sidecar's descriptors; None: the lab's
    server_connections: int = 0  # connections that each server accepts; 0: any number
    rejected_share: float = 0.0  # share of the attempts that a server rejects at once


LOADS = (
    Load("low: 4 a second, 110 to 190 ms", (0.11, 0.19), rate=4.0),
    Load("usual: 40 a second, 110 to 190 ms", (0.11, 0.19), rate=40.0),
    Load("busy: 320 a second, 5 to 15 ms", (0.005, 0.015), rate=320.0),
    Load("one client, 1 ms", (0.001, 0.001), clients=1),
    Load("saturated: 32 clients, no work", (0.0, 0.0), clients=32),
    Load("saturated, 128 descriptors", (0.0, 0.0), clients=32, sockets=128),
    Load("busy, 128 descriptors", (0.005, 0.015), rate=320.0, sockets=128),
    Load("busy, servers accept 8 connections", (0.005, 0.015), rate=320.0, server_connections=8),
    Load("usual, a fifth is rejected", (0.11, 0.19), rate=40.0, rejected_share=0.2),
    Load("busy, a fifth is rejected", (0.005, 0.015), rate=320.0, rejected_share=0.2),
    Load(
        "busy, a fifth is rejected, 128 descriptors", (0.005, 0.015), 320.0, sockets=128, rejected_share=0.2
    ),
)


def serve_nodes(pipe: Connection) -> None:
    """Run the servers until killed.

    Each message of the pipe is the number of connections that a server accepts, 0 for any number; it is
    answered with the counts since the last one.
    """
    pin(CORES["node"])
    services: list[HttpService] = []
    peaks = [0] * SERVERS
    peak_in_all = 0
    opened = 0
    chance = random.Random(2)

    async def serve() -> None:
        nonlocal peak_in_all, opened
        loop = asyncio.get_running_loop()

        def respond(request: HttpRequest) -> None:
            nonlocal peak_in_all
            counts = [len(service.connections) for service in services]
            peaks[:] = map(max, peaks, counts)
            peak_in_all = max(peak_in_all, sum(counts))
            work_s = float(request.headers.get(WORK_S.lower(), "0"))
            if chance.random() < float(request.headers.get(REJECTED_SHARE.lower(), "0")):
                request.answer(HTTPStatus.SERVICE_UNAVAILABLE, b"", "X-Not-Run: 1")
            elif work_s:
                loop.call_later(work_s, request.answer, HTTPStatus.OK, b"ok")
            else:
                request.answer(HTTPStatus.OK, b"ok")

        ports = []
        for _ in range(SERVERS):
            services.append(HttpService(respond))
            server = await loop.create_server(services[-1].connection, HOST, 0)
            ports.append(server.sockets[0].getsockname()[1])
        pipe.send(ports)
        while True:
            limit = await loop.run_in_executor(None, pipe.recv)
            for service in services:
                service.max_connections = limit
            opened_in_all = sum(service.last_number for service in services)
            pipe.send((max(peaks), peak_in_all, opened_in_all - opened))
            peaks[:] = [0] * SERVERS
            peak_in_all, opened = 0, opened_in_all

    uvloop.run(serve())


def make_request(chance: random.Random, work_s: float, rejected_share: float) -> bytes:
    """Return a request that takes `work_s` seconds: a GET, or a POST that must not be repeated."""
    request_id = f"{random.getrandbits(64):016x}"
    is_get = chance.random() < GET_SHARE
    lines = [
        "GET /exposure/flags HTTP/1.1" if is_get else "POST /assign/flags HTTP/1.1",
        f"Host: nodes\r\nX-Request-Id: {request_id}\r\nX-Deadline: 2000m\r\n{WORK_S}: {work_s:.4f}",
        f"{REJECTED_SHARE}: {rejected_share}",
        *([] if is_get else ["Content-Length: 4"]),
    ]
    return "\r\n".join([*lines, "", "" if is_get else "body"]).encode()


class Clients:
    """Sends requests on connections that are kept, and records what they took beyond their work."""

    def __init__(self, port: int, load: Load, seed: int) -> None:
        """Prepare the requests of one measurement."""
        self.port = port
        self.load = load
        self.chance = random.Random(seed)
        self.added_s: list[float] = []
        self.failed = 0
        self.closed = 0  # requests whose connection was closed
        self.idle: list[ClientConnection] = []

    async def send(self) -> None:
        """Send one request and record its result."""
        loop = asyncio.get_running_loop()
        work_s = self.chance.uniform(*self.load.work_s)
        data = make_request(self.chance, work_s, self.load.rejected_share)
        began = perf_counter()
        client = None
        while self.idle and (client is None or not client.open):
            client = self.idle.pop()
        if client is None or not client.open:
            _, client = await loop.create_connection(ClientConnection, HOST, self.port)
        response: asyncio.Future[tuple[int, bytes]] = loop.create_future()
        client.send(data, response)
        try:
            code, _ = await response
        except ConnectionError:
            self.closed += 1
            return
        if code == HTTPStatus.OK:
            self.added_s.append(perf_counter() - began - work_s)
        else:
            self.failed += 1
        self.idle.append(client)

    async def run(self, seconds: float) -> None:
        """Send for `seconds`, then wait for the responses."""
        end = perf_counter() + seconds

        async def run_client() -> None:
            while perf_counter() < end:
                await self.send()

        if self.load.clients:
            await asyncio.gather(*(run_client() for _ in range(self.load.clients)))
        else:
            tasks = []
            async with asyncio.timeout(2 * seconds):
                for arrival_s in self._arrivals(end):
                    await asyncio.sleep(max(arrival_s - perf_counter(), 0.0))
                    tasks.append(asyncio.create_task(self.send()))
                await asyncio.gather(*tasks)
        for client in self.idle:
            client.close()

    def _arrivals(self, end: float) -> Iterator[float]:
        arrival_s = perf_counter()
        while arrival_s < end:
            yield arrival_s
            arrival_s += self.chance.expovariate(self.load.rate)


def measure(build: Build, pipe: Connection, load: Load, seconds: float) -> dict[str, float]:
    """Play one load through one build."""
    pipe.send(load.server_connections)
    pipe.recv()
    clients = Clients(build.port, load, seed=1)
    uvloop.run(clients.run(seconds))
    pipe.send(0)
    for_one_server, in_all, opened = pipe.recv()
    answered = len(clients.added_s)
    return {
        "per_second": round(answered / seconds, 1),
        "failed": clients.failed,
        "closed": clients.closed,
        "added_p50_ms": round(percentile(clients.added_s, 0.5) * MS_PER_S, 2),
        "added_p99_ms": round(percentile(clients.added_s, 0.99) * MS_PER_S, 2),
        "connections_of_one_server": for_one_server,
        "connections_in_all": in_all,
        "opened_per_1000": round(opened / answered * 1000, 1),
        "resident_mb": round(build.resident_mib(), 1),
    }


def main() -> None:
    """Start the servers and the builds, measure each load and print the results."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--before", help="a git revision to compare with")
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    pin(CORES["load"])
    pipe, child_pipe = multiprocessing.Pipe()
    multiprocessing.Process(target=serve_nodes, args=(child_pipe,), daemon=True).start()
    ports = pipe.recv()
    results: dict[str, dict[str, dict[str, float]]] = {}
    with checkouts(options.before) as paths:
        for load in LOADS:
            for name, path in paths.items():
                # A new process: no connection of an earlier load.
                build = Build(path, *ports, sockets=load.sockets)
                try:
                    results.setdefault(load.name, {})[name] = measure(build, pipe, load, options.seconds)
                finally:
                    build.process.kill()
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
