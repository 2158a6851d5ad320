"""Stand-ins for the platform around one sidecar: servers, discovery and clients, on loopback addresses.

Only the standard library is used. Each case runs them in one process and starts the sidecar by the line `run`
of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic, time

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MS = 1_000_000  # nanoseconds
LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1
END_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
READY_WITHIN_S = 30.0
STOP_WITHIN_S = 5.0
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
LIMITS: dict[str, float] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
OK_CODE = 200
REFUSED_CODES = (429, 503)


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        """Begin a new record in `folder`."""
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{monotonic() - self.started:9.4f} {event} {text}\n")

    def close(self) -> None:
        """Write out the rest."""
        self.file.close()


@dataclass
class Message:
    """A request or a response as read from a connection."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def code(self) -> int:
        """The status code of a response."""
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body is delimited by its length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, value in pairs}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Message(head[0], headers, await _read_chunks(reader))
    return Message(head[0], headers, await reader.readexactly(int(headers.get("content-length", "0"))))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


def response(code: int, body: bytes, *lines: str) -> bytes:
    """Return a response with a length."""
    head = "\r\n".join([f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}", *lines])
    return head.encode() + b"\r\n\r\n" + body


def request(path: str, request_id: str, deadline_ms: int, *lines: str, body: bytes | None = None) -> bytes:
    """Return a request of the application: a GET, or a POST if it has a body."""
    head = [
        f"{'GET' if body is None else 'POST'} {path} HTTP/1.1",
        "Host: origin.svc",
        f"X-Request-Id: {request_id}",
        f"X-Deadline: {deadline_ms}m",
        *lines,
    ]
    if body is not None:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + (body or b"")


Handler = Callable[[Message, "ServerConnection"], Awaitable[None]]


@dataclass(eq=False)
class ServerConnection:
    """A connection that a server has accepted, with the time that its network takes one way."""

    writer: asyncio.StreamWriter
    one_way_s: float
    waiting: int = 0  # requests that have come to the server and are not answered

    def write(self, data: bytes) -> None:
        """Send bytes, which arrive after the time of the network."""
        if self.one_way_s:
            asyncio.get_running_loop().call_later(self.one_way_s, self._arrive, data)
        else:
            self._arrive(data)

    def _arrive(self, data: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)


class Server:
    """A server; `handler` answers each request that has come."""

    def __init__(self, name: str, handler: Handler, one_way_s: float = 0.0) -> None:
        """Describe a server that is `one_way_s` seconds away."""
        self.name = name
        self.handler = handler
        self.one_way_s = one_way_s
        self.address = ""
        self.listener: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self.listener.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(writer, self.one_way_s)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                task = asyncio.create_task(self._handle(message, connection))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        writer.close()

    async def _handle(self, message: Message, connection: ServerConnection) -> None:
        await asyncio.sleep(self.one_way_s)  # the request is on its way
        connection.waiting += 1
        await self.handler(message, connection)

    def entry(self, **changes: object) -> dict[str, object]:
        """Return the server's entry of the list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "amman",
            "type": "gen2-1c",
            "group": 1,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
            **changes,
        }


class Discovery:
    """Discovery, which is asked: complete lists, and watches that are held for their whole wait."""

    def __init__(self, entries: list[dict[str, object]]) -> None:
        """List `entries`; the list never changes."""
        self.entries = entries
        self.address = ""
        self.listener: asyncio.Server | None = None

    def body(self, *, snapshot: bool) -> dict[str, object]:
        """Return an answer: the complete list, or no changes."""
        return {"index": 41, "snapshot": snapshot, "endpoints": self.entries if snapshot else []}

    async def start(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self.listener.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                target = (await read_message(reader)).start.split()[1]
                query = dict(pair.split("=", 1) for pair in target.partition("?")[2].split("&") if pair)
                if "after" in query:
                    await asyncio.sleep(int(query.get("wait_ms", "0")) / 1000)
                body = json.dumps(self.body(snapshot="after" not in query)).encode()
                writer.write(response(OK_CODE, body, "Content-Type: application/json"))
        writer.close()


def request_class(name: str, repeat: str, deadline_ms: int, **changes: object) -> dict[str, object]:
    """Return the settings of a class."""
    return {
        "name": name,
        "deadline-ns": deadline_ms * MS,
        "objective-ns": deadline_ms * MS // 2,
        "repeat": repeat,
        "key-scope": "cell",
        "window-ns": 4000 * MS,
        "points": 8.0,
        "late-value": 0.0,
        "stream": False,
        **changes,
    }


def settings(classes: list[dict[str, object]]) -> dict[str, object]:
    """Return the settings of a small deployment that asks discovery."""
    return {
        "accounts": [],
        "ceilings": {
            "cancel": True,
            "conn-idle-ns": 60_000 * MS,
            "connect-timeout-ns": 250 * MS,
            "max-open": 20_518,
            "max-retry-after-ns": 2000 * MS,
            "peers": False,
            "probing": False,
            "retry-after": True,
            "second-copies": True,
            "send-cap": 4,
            "streams-per-conn": 1,
        },
        "classes": classes,
        "clients": {"marks-retry": True},
        "dcs": ["amman", "aqaba"],
        "discovery": "ask",
        "fleet-size": 4,
        "index": 1,
        "kinds": ["gen3-2c", "gen2-1c", "gen1-2c"],
        "my-zone": 0,
        "prices": {"cross-zone": 0.03, "waste": 0.25},
        "rules": {
            "answer-slack-ns": 20 * MS,
            "drain-grace-ns": 2500 * MS,
            "must-ask-in-ns": 10_000 * MS,
            "overload-factor": 2.5,
            "overload-for-ns": 3000 * MS,
            "start-capacity": 0.15,
            "warm-within-ns": 23_000 * MS,
        },
        "telemetry": {"columns": [], "how": "silent"},
        "tick-ns": 5 * MS,
        "weight-source": "silent",
        "worth-by": "work",
    }


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


@dataclass
class Sidecar:
    """One process of the sidecar, started by the line `run` of the deploy file."""

    folder: Path
    discovery: Discovery
    settings: dict[str, object]
    listen: str = field(default_factory=lambda: f"{HOST}:{free_port()}")
    management: str = field(default_factory=lambda: f"{HOST}:{free_port()}")
    inherited: socket.socket | None = None  # the clients' listening socket, if the platform holds it
    limits: dict[str, float] = field(default_factory=lambda: dict(LIMITS))
    process: asyncio.subprocess.Process | None = None

    @property
    def port(self) -> int:
        """The port at which clients connect."""
        return int(self.listen.rpartition(":")[2])

    async def start(self) -> None:
        """Start the process, and wait until it is ready."""
        log = self.folder / f"sidecar-{self.management.rpartition(':')[2]}.log"
        config = log.with_suffix(".json")
        config.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": self.listen,
                    "discovery": self.discovery.address,
                    "management": self.management,
                    "seed": f"{time_seed():016x}",
                    "limits": self.limits,
                    "known": self.discovery.body(snapshot=True),
                    "settings": self.settings,
                }
            ),
            encoding="utf-8",
        )
        environment = {
            **os.environ,
            "GW_NAME": "n1",
            "GW_LISTEN": self.listen,
            "GW_DISCOVERY": self.discovery.address,
            "GW_CONFIG": str(config),
            "GW_MANAGEMENT": self.management,
            "TMPDIR": str(self.folder),
        }
        if self.inherited is not None:
            environment["GW_FD"] = str(self.inherited.fileno())
        with (ROOT / "deploy/balancer.toml").open("rb") as deploy:
            command = tomllib.load(deploy)["run"]
        with log.open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                pass_fds=[self.inherited.fileno()] if self.inherited is not None else [],
                preexec_fn=end_with_parent,
            )
        address = self.management if self.inherited is not None else self.listen
        await self._wait_until_ready(address, "/healthcheck" if self.inherited is not None else "/-/ready")

    async def _wait_until_ready(self, address: str, path: str) -> None:
        give_up_at = monotonic() + READY_WITHIN_S
        while monotonic() < give_up_at:
            if self.process is None or self.process.returncode is not None:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await call(address, "GET", path)).code == OK_CODE:
                    return
            await asyncio.sleep(0.05)
        message = "the sidecar is not ready"
        raise CaseError(message)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        if self.process is None:
            return
        self.signal(signal.SIGKILL)
        async with asyncio.timeout(STOP_WITHIN_S):
            await self.process.wait()


def end_with_parent() -> None:
    """Let this process be killed when its parent ends, however that ends; called in a new process."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def time_seed() -> int:
    """Return a seed for the sidecar, which is new with each start."""
    return int(time() * 1e6) & 0xFFFFFFFFFFFF


async def call(address: str, method: str, path: str) -> Message:
    """Make one call on a connection of its own."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        async with asyncio.timeout(2.0):
            return await read_message(reader)
    except TimeoutError as error:
        raise OSError from error
    finally:
        writer.close()


Case = Callable[[Record, Path, bool], Awaitable[int]]


def main(case: Case, folder: Path, limit_s: float) -> int:
    """Run a case with a time limit; return the exit code of its script."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))

    async def bounded() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in END_SIGNALS:  # ended early: the case ends its processes first
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record, temporary, trouble)

    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:  # a fault of a stand-in says nothing of the rule
        print(f"the case could not run: {type(error).__name__} {error}", file=sys.stderr)
        code = NOT_RUN
    finally:
        record.close()
        shutil.rmtree(temporary, ignore_errors=True)
    return code
