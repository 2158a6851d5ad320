"""Large bodies through the sidecar: uploads and downloads, one at a time and several side by side.

    python benchmarks/large_bodies.py [--before REVISION] [--rounds N]

Measures an earlier build and this one in turn on the same cores, one core for each process. Prints one JSON
object: megabytes a second by kind of body (median of the rounds), and the ratio of the two builds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import random
import statistics
import subprocess
import tempfile
from multiprocessing.connection import Connection
from pathlib import Path
from time import perf_counter

from checkout import ROOT
from overhead import HOST, Build, pin

BODY_BYTES = 32 * 1024 * 1024
CLIENTS_CORE, NODE_CORE = 2, 0
PIECES = {"plain": 65536, "chunks of 64 KiB": 65536, "chunks of 4 KiB": 4096, "chunks of 64 B": 64}
BYTES_BY_KIND = {"chunks of 64 B": 4 * 1024 * 1024}  # a smaller body: its framing takes the time
SIDE_BY_SIDE = (1, 8)
BODIES = 8


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer an upload with its size, and any other request with a body of `BODY_BYTES`."""
    piece = bytes(PIECES["plain"])
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        if head.startswith(b"GET "):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
            for _ in range(BODY_BYTES // len(piece)):
                writer.write(piece)
                await writer.drain()
            continue
        if b"transfer-encoding: chunked" in head.lower():
            while not (await reader.read(1 << 20)).endswith(b"0\r\n\r\n"):
                pass
        else:
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            while length:
                length -= len(await reader.read(min(length, 1 << 20)))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def node(pipe: Connection) -> None:
    """Run the server until killed; send its port into the pipe."""
    pin(NODE_CORE)

    async def listen() -> None:
        server = await asyncio.start_server(serve, HOST, 0, limit=1 << 20)
        pipe.send(server.sockets[0].getsockname()[1])
        await asyncio.Event().wait()

    asyncio.run(listen())


def head(method: bytes, *lines: bytes) -> bytes:
    """Return the head of a request with an id of its own."""
    target = b"exposure" if method == b"GET" else b"assign"
    first = [b"%s /%s/flags HTTP/1.1" % (method, target), b"Host: nodes", b"X-Deadline: 60000m"]
    return b"\r\n".join([*first, b"X-Request-Id: %016x" % random.getrandbits(64), *lines, b"", b""])


async def upload(port: int, kind: str) -> int:
    """Send one body; return its size."""
    reader, writer = await asyncio.open_connection(HOST, port)
    size, piece = BYTES_BY_KIND.get(kind, BODY_BYTES), bytes(PIECES[kind])
    if kind == "plain":
        writer.write(head(b"POST", b"Content-Length: %d" % size))
        data = piece
    else:
        writer.write(head(b"POST", b"Transfer-Encoding: chunked"))
        data = b"%x\r\n%s\r\n" % (len(piece), piece)
    at_once = max(PIECES["plain"] // len(piece), 1)
    for _ in range(size // (len(piece) * at_once)):
        writer.write(data * at_once)
        await writer.drain()
    if kind != "plain":
        writer.write(b"0\r\n\r\n")
    answer = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    if not answer.startswith(b"HTTP/1.1 200 "):
        message = f"an upload was answered with {answer[:40]!r}"
        raise SystemExit(message)
    return size


async def transfer(port: int, kind: str, clients: int) -> float:
    """Send `BODIES` bodies, `clients` at a time; return megabytes a second."""
    began = perf_counter()
    size = 0
    for _ in range(BODIES // clients):
        size += sum(await asyncio.gather(*(upload(port, kind) for _ in range(clients))))
    return size / 1e6 / (perf_counter() - began)


def measure(ports: dict[str, int], rounds: int) -> dict[str, dict[str, float]]:
    """Measure each kind at each build in turn; return medians."""
    rates: dict[str, dict[str, list[float]]] = {}
    for _ in range(rounds):
        for kind in PIECES:
            for clients in SIDE_BY_SIDE:
                case = rates.setdefault(f"{kind}, {clients} at a time", {name: [] for name in ports})
                for name in random.sample(list(ports), len(ports)):
                    case[name].append(asyncio.run(transfer(ports[name], kind, clients)))
    result: dict[str, dict[str, float]] = {}
    for case_name, by_build in rates.items():
        result[case_name] = {name: round(statistics.median(values)) for name, values in by_build.items()}
        if "before" in by_build:
            pairs = zip(by_build["after"], by_build["before"], strict=True)
            result[case_name]["ratio"] = round(statistics.median(a / b for a, b in pairs), 3)
    return result


def main() -> None:
    """Start the server and the builds, measure them and print the results."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--before", help="a git revision to compare with")
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    parent, child = multiprocessing.Pipe()
    server = multiprocessing.Process(target=node, args=(child,), daemon=True)
    server.start()
    node_port = parent.recv()
    with tempfile.TemporaryDirectory() as directory:
        builds = {"after": Build(ROOT, node_port)}
        if options.before:
            clone = Path(directory) / "before"
            subprocess.run(["git", "clone", "-q", str(ROOT), str(clone)], check=True)
            subprocess.run(["git", "-C", str(clone), "checkout", "-q", options.before], check=True)
            builds["before"] = Build(clone, node_port)
        pin(CLIENTS_CORE)
        ports = {name: build.port for name, build in builds.items()}
        print(json.dumps(measure(ports, options.rounds), indent=1))
        for build in builds.values():
            build.process.kill()
    server.kill()


if __name__ == "__main__":
    main()
