"""Crowds of clients that make a sidecar hold as much memory as they can, and the usual clients beside them.

    PYTHONPATH=.:tests python tests/crowd.py --memory 32 --clients 470 --seconds 6 [ROW ...]

Each row is played on a process of its own. The figure is the peak of the whole process (`VmHWM`).
"""

import argparse
import asyncio
import contextlib
import itertools
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from net_helpers import HOST, config, endpoint_update, entry, http_request, read_message
from test_process import ROOT, Process

KB = 1024
USUAL_PER_SECOND = 20
USUAL_DEADLINE_S = 3.0
LATE_S = 0.5  # an answer later than its deadline by more counts as lost
RECONNECT_S = 0.3
LAG_INTERVAL_S = 0.01
SMALL_BUFFER_BYTES = 8 * KB
SLOW_READER_BYTES_PER_S = 5_000
SLOW_BODY_BYTES_PER_S = 64_000
LONG_ANSWER_BYTES = 1_000_000
STEP_S = 0.25
SHUTDOWN_S = 2.5  # from SIGTERM on, less than a process takes that has open requests
ids = itertools.count()


def new_id():
    return f"{random.getrandbits(32):08x}-{next(ids)}"


class Server(asyncio.Protocol):
    """Answers each request once it is complete; its header `X-Answer` states how long the body is.

    Requests without it get a short answer. Those with `X-Stall` are never answered; `X-Head` asks for as many
    bytes of header lines, `X-Part` for an answer that ends after as many bytes.
    """

    def connection_made(self, transport):
        self.transport = transport
        self.buffer = bytearray()
        self.writable = asyncio.Event()
        self.writable.set()
        self.task = asyncio.create_task(self.serve())
        self.arrived = asyncio.Event()
        transport.set_write_buffer_limits(high=64 * KB)

    def data_received(self, data):
        self.buffer += data
        self.arrived.set()

    def pause_writing(self):
        self.writable.clear()

    def resume_writing(self):
        self.writable.set()

    def connection_lost(self, exc):
        self.task.cancel()

    async def until(self, found):
        while (value := found()) is None:
            self.arrived.clear()
            await self.arrived.wait()
        return value

    async def skip_body(self, head):
        if b"transfer-encoding" in head:
            end = await self.until(lambda: at + 5 if (at := self.buffer.find(b"0\r\n\r\n")) >= 0 else None)
            del self.buffer[:end]
            return
        length = next(
            (int(line.split(b":")[1]) for line in head.split(b"\r\n") if b"content-length:" in line), 0
        )
        while length:
            taken = min(length, await self.until(lambda: len(self.buffer) or None))
            del self.buffer[:taken]
            length -= taken

    async def serve(self):
        while True:
            end = await self.until(lambda: at + 4 if (at := self.buffer.find(b"\r\n\r\n")) >= 0 else None)
            head = bytes(self.buffer[:end]).lower()
            del self.buffer[:end]
            asked = {
                name: int(line.split(b":")[1])
                for line in head.split(b"\r\n")
                for name in (b"x-answer", b"x-stall", b"x-head", b"x-part")
                if line.startswith(name + b":")
            }
            await self.skip_body(head)
            if b"x-stall" in asked:
                await asyncio.sleep(60)
            await self.answer(asked)

    async def answer(self, asked):
        size = asked.get(b"x-answer", 2)
        lines = b"".join(
            b"x-line-%d: %s\r\n" % (n, b"v" * 100) for n in range(asked.get(b"x-head", 0) // 112)
        )
        self.transport.write(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (lines, size))
        end = asked.get(b"x-part", size)
        for start in range(0, end, 64 * KB):
            await self.writable.wait()
            if self.transport.is_closing():
                return
            self.transport.write(bytes(min(64 * KB, end - start)))
        if b"x-part" in asked:
            await asyncio.sleep(60)


class Client:
    """One client of a crowd, which connects again whenever its connection ends."""

    def __init__(self, port, act, receive_buffer=0):
        self.port, self.act, self.receive_buffer = port, act, receive_buffer
        self.connections = 0

    async def run(self):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError), socket.socket() as sock:
                sock.setblocking(False)
                if self.receive_buffer:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
                await asyncio.get_running_loop().sock_connect(sock, (HOST, self.port))
                self.connections += 1
                await self.act(sock)
            await asyncio.sleep(RECONNECT_S)


async def send(sock, data):
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def read_until_closed(sock, bytes_per_s=0):
    loop = asyncio.get_running_loop()
    while await loop.sock_recv(sock, int(bytes_per_s * STEP_S) or 64 * KB):
        if bytes_per_s:
            await asyncio.sleep(STEP_S)


def head(kind, *lines):
    method, target = ("GET", "lookup") if kind == "GET" else ("POST", "order")
    first = [f"{method} /{target}/part HTTP/1.1", "Host: origin.svc", f"X-Request-Id: {new_id()}"]
    return "\r\n".join([*first, "X-Deadline: 3000m", *lines, ""]).encode()


def fields(count, size):
    return [f"f{n:03d}: {'v' * max(size - 8, 0)}" for n in range(count)]


async def unfinished_heads(sock, count=250, size=120):
    await send(sock, head("GET", *fields(count, size)))
    await read_until_closed(sock)


async def short_fields(sock):
    await unfinished_heads(sock, size=8)


async def one_line(sock):
    await send(sock, head("GET") + b"x-long: " + b"l" * 31_000)
    await read_until_closed(sock)


async def long_target(sock):
    await send(sock, b"GET /lookup/" + b"t" * 31_000)
    await read_until_closed(sock)


async def heads_byte_by_byte(sock):
    data = head("GET", *fields(200, 120))
    for start in range(0, len(data), 400):
        await send(sock, data[start : start + 400])
        await asyncio.sleep(0.03)
    await read_until_closed(sock)


async def slow_bodies(sock):
    await send(sock, head("POST", "Content-Length: 1000000") + b"\r\n")
    for _ in range(1_000_000 // int(SLOW_BODY_BYTES_PER_S * STEP_S)):
        await send(sock, bytes(int(SLOW_BODY_BYTES_PER_S * STEP_S)))
        await asyncio.sleep(STEP_S)
    await read_until_closed(sock)


async def half_bodies(sock):
    await send(sock, head("POST", "Transfer-Encoding: chunked") + b"\r\n")
    for _ in range(8):
        await send(sock, b"1000\r\n" + bytes(0x1000) + b"\r\n")
    await read_until_closed(sock)


async def almost_buffered_bodies(sock):
    await send(sock, head("POST", "Content-Length: 65536") + b"\r\n" + bytes(65_000))
    await read_until_closed(sock)


async def stalled_bodies(sock):
    await send(sock, head("POST", "X-Stall: 1", "Content-Length: 60000") + b"\r\n" + bytes(60_000))
    await read_until_closed(sock)


async def heads_ahead(sock):
    message = head("GET", *fields(250, 8)) + b"\r\n"
    await send(sock, b"".join(message.replace(b"X-Request-Id: ", b"X-Request-Id: %d" % n) for n in range(40)))
    await read_until_closed(sock)


async def small_requests_ahead(sock):
    await send(sock, b"".join(head("GET", "X-Stall: 1") + b"\r\n" for _ in range(60)))
    await read_until_closed(sock)


async def faulty_requests_ahead(sock):
    await send(sock, (head("GET", "X-Stall: 1") + b"\r\n") + b"GET /lookup HTTP/1.1\r\n\r\n" * 700)
    await read_until_closed(sock)


async def slow_readers(sock):
    await send(sock, head("GET", f"X-Answer: {LONG_ANSWER_BYTES}") + b"\r\n")
    await read_until_closed(sock, SLOW_READER_BYTES_PER_S)


async def unread_answers(sock):
    await send(sock, b"".join(head("GET", "X-Answer: 60000") + b"\r\n" for _ in range(60)))
    await asyncio.sleep(60)


async def long_answer_heads(sock):
    await send(sock, head("GET", "X-Head: 28000", "X-Answer: 100", "X-Part: 50") + b"\r\n")
    await read_until_closed(sock)


async def parts_of_answers(sock):
    await send(sock, head("GET", "X-Answer: 60000", "X-Part: 59000") + b"\r\n")
    await read_until_closed(sock)


async def pending_requests(sock):
    await send(sock, head("POST", "X-Stall: 1", "Content-Length: 10") + b"\r\n" + bytes(10))
    await read_until_closed(sock)


async def silent(sock):
    await read_until_closed(sock)


async def new_names(sock):
    while True:
        await send(sock, head("GET", f"X-Key: {new_id()}") + b"\r\n")
        await asyncio.get_running_loop().sock_recv(sock, 64 * KB)


@dataclass(frozen=True)
class Row:
    """A kind of crowd, and the receive buffer of its clients; 0 for the system's."""

    act: object
    receive_buffer: int = 0


ROWS = {
    "silent": Row(silent),
    "heads of 250 fields of 120 bytes": Row(unfinished_heads),
    "heads of 250 fields of 8 bytes": Row(short_fields),
    "heads of one line": Row(one_line),
    "targets without end": Row(long_target),
    "heads that come slowly": Row(heads_byte_by_byte),
    "bodies at 64 kB a second": Row(slow_bodies),
    "halves of bodies in chunks": Row(half_bodies),
    "bodies that are almost complete": Row(almost_buffered_bodies),
    "bodies at servers that do not answer": Row(stalled_bodies),
    "requests that are open": Row(pending_requests),
    "40 heads ahead": Row(heads_ahead),
    "60 requests ahead": Row(small_requests_ahead),
    "700 faulty requests ahead": Row(faulty_requests_ahead),
    "slow readers": Row(slow_readers, SMALL_BUFFER_BYTES),
    "readers of nothing": Row(unread_answers, SMALL_BUFFER_BYTES),
    "long heads of answers": Row(long_answer_heads),
    "parts of answers": Row(parts_of_answers),
    "new names": Row(new_names),
}


@dataclass
class Result:
    """What the usual clients saw, and what the process took, in MB."""

    codes: dict[str, int] = field(default_factory=dict)
    longest_s: float = 0.0
    lost: list[list[str]] = field(default_factory=list)
    at_rest_mb: float = 0.0
    peak_mb: float = 0.0
    lag_s: float = 0.0  # greatest delay of this program's own loop

    def count(self, code):
        self.codes[code] = self.codes.get(code, 0) + 1


def resident_mb(pid, name="VmHWM"):
    line = next(
        line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if line.startswith(name)
    )
    return int(line.split()[1]) / 1024


class Crowd:
    """Plays rows of clients at a sidecar, and the usual clients beside them."""

    def __init__(self, sidecar, result):
        self.sidecar, self.result = sidecar, result
        self.process = None

    def start(self, names, count):
        """Start the clients in a process of their own, so that they delay no usual client."""
        arguments = [
            sys.executable,
            __file__,
            "--port",
            str(self.sidecar.port),
            "--clients",
            str(count),
            *names,
        ]
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        self.process = subprocess.Popen(arguments, env=environment, stderr=subprocess.DEVNULL)

    async def stop(self):
        self.process.kill()
        self.process.wait()

    async def usual(self, seconds):
        """Send usual requests, each on a connection of its own."""
        requests = set()
        lag = asyncio.create_task(self.watch_lag())
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            requests.add(asyncio.create_task(self.usual_request()))
            await asyncio.sleep(1 / USUAL_PER_SECOND)
        await asyncio.gather(*requests)
        lag.cancel()

    async def watch_lag(self):
        while True:
            began = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            self.result.lag_s = max(self.result.lag_s, time.monotonic() - began - LAG_INTERVAL_S)

    async def usual_request(self):
        message = http_request("lookup", new_id(), f"{USUAL_DEADLINE_S * 1000:.0f}m")
        began = time.monotonic()
        steps = []
        try:
            async with asyncio.timeout(USUAL_DEADLINE_S + LATE_S):
                for _ in range(3):  # a connection that is closed before it is read may be tried again
                    reader, writer = await asyncio.open_connection(HOST, self.sidecar.port)
                    steps.append(f"connected after {time.monotonic() - began:.2f} s")
                    writer.write(message)
                    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                        answer = await read_message(reader)
                        self.result.count(f"{answer.code} {answer.body[:24].decode().strip()}")
                        break
                    self.result.count("closed")
                writer.close()
        except TimeoutError:
            self.result.lost.append(["no answer in time", *steps])
        except OSError as error:
            self.result.lost.append([repr(error), *steps])
        self.result.longest_s = max(self.result.longest_s, time.monotonic() - began)


async def run_clients(names, port, count):
    """Play clients of these rows until killed, or until the parent process has ended."""
    rows = [ROWS[name] for name in names]
    clients = [
        Client(port, rows[n % len(rows)].act, rows[n % len(rows)].receive_buffer) for n in range(count)
    ]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    parent = os.getppid()
    while os.getppid() == parent:
        await asyncio.sleep(1.0)
    for task in tasks:
        task.cancel()


async def start_servers(count=4):
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Server, HOST, 0, backlog=1024) for _ in range(count)]
    addresses = [server.sockets[0].getsockname() for server in servers]
    entries = [entry(f"s{n}", f"{host}:{port}") for n, (host, port) in enumerate(addresses)]
    return endpoint_update(1, *entries)


class Upgrade:
    """Processes of one sidecar, which share the clients' socket and `$TMPDIR`."""

    def __init__(self, directory, data):
        self.directory, self.data = Path(directory), data
        self.listening = socket.create_server((HOST, 0), backlog=1024)
        self.port = self.listening.getsockname()[1]
        self.peak_mb = 0.0  # of all processes together

    def process(self, name):
        return Process(self.directory / name, self.data, inherited=self.listening, shared_dir=self.directory)

    async def watch(self, *processes):
        """Note the sum of the resident memory of the processes that run."""
        while True:
            with contextlib.suppress(OSError, StopIteration):
                total = sum(resident_mb(process.process.pid, "VmRSS") for process in processes)
                self.peak_mb = max(self.peak_mb, total)
            await asyncio.sleep(LAG_INTERVAL_S)


async def play_upgrade(names, memory_mb, clients=470, seconds=3.0):
    """Let a second process take over under a crowd; return what was measured, the peak of both together."""
    result = Result()
    data = config(await start_servers())
    data["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    with tempfile.TemporaryDirectory(dir="/tmp") as directory:
        upgrade = Upgrade(directory, data)
        async with upgrade.process("old") as old:
            crowd = Crowd(upgrade, result)
            crowd.start(names, clients)
            await crowd.usual(seconds)
            async with upgrade.process("new") as new:
                watch = asyncio.create_task(upgrade.watch(old, new))
                await crowd.usual(seconds)
                old.process.send_signal(signal.SIGTERM)
                await crowd.usual(seconds)
                await crowd.stop()
                watch.cancel()
                assert new.process.returncode is None
        upgrade.listening.close()
        result.peak_mb = upgrade.peak_mb
    return result


async def play(names, memory_mb, clients=470, seconds=6.0, crowds=1, terminated=False):
    """Play crowds of these rows one after another, the last one after SIGTERM too if `terminated`."""
    result = Result()
    data = config(await start_servers())
    data["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    with tempfile.TemporaryDirectory() as directory:
        async with Process(Path(directory) / "c", data) as sidecar:
            pid = sidecar.process.pid
            await asyncio.sleep(0.3)
            result.at_rest_mb = resident_mb(pid)
            crowd = Crowd(sidecar, result)
            for _ in range(crowds):
                crowd.start(names, clients)
                await crowd.usual(seconds)
                if not terminated:
                    await crowd.stop()
            if terminated:
                sidecar.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(SHUTDOWN_S)
                await crowd.stop()
            result.peak_mb = resident_mb(pid)
            assert sidecar.process.returncode is None
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("rows", nargs="*")
    parser.add_argument("--memory", type=int, default=32)
    parser.add_argument("--clients", type=int, default=470)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--crowds", type=int, default=1)
    parser.add_argument("--port", type=int, help="play the clients only, at this port")
    options = parser.parse_args()
    if options.port:
        asyncio.run(run_clients(options.rows, options.port, options.clients))
        return
    for name in options.rows or [*ROWS, "mixed"]:
        names = list(ROWS) if name == "mixed" else [name]
        result = asyncio.run(play(names, options.memory, options.clients, options.seconds, options.crowds))
        print(
            f"{options.memory} MB  {name:40} peak {result.peak_mb:5.1f}  rest {result.at_rest_mb:4.1f}"
            f"  usual {result.codes} longest {result.longest_s:.2f} lost {result.lost}"
            f"  lag {result.lag_s:.2f}",
            flush=True,
        )


if __name__ == "__main__":
    sys.exit(main())
