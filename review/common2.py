"""Stand-ins for the cases 6 to 10: discovery, servers, clients, and one sidecar started by the deploy file.

Standard library only. Every address is a loopback address, every port is one that the system picks.
"""

# A script of a review: its names say what it does, and its stand-ins take what varies as arguments.
# ruff: noqa: D102, D103, D107, EM101, EM102, PLR0913, TRY300

import asyncio
import contextlib
import ctypes
import json
import os
import random
import signal
import socket
import struct
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MS = 1_000_000
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run; its verdict is 2."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115  # closed by `close`
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, what, **fields):
        self.file.write(json.dumps({"t": round(self.now(), 4), "what": what, **fields}) + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


def reset(writer):
    """Reset a connection, as a process that dies does."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader):
    """Return start line and header fields (lower-case names) of one message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = [line.split(":", 1) for line in head[1:] if line]
    return head[0], {name.strip().lower(): value.strip() for name, value in fields}


async def read_body(reader, headers):
    """Return the body of a message, chunked, with a length, or empty."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def response(code=200, body=b"", *lines, close=False):
    head = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}", *lines]
    if close:
        head.append("Connection: close")
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


class Server:
    """A server: awaits `handler(self, request, writer)` for each request, once its last byte has come."""

    def __init__(self, name, record, handler=None):
        self.name, self.record, self.handler = name, record, handler
        self.requests = []
        self.writers = set()
        self.port = 0
        self.listener = None

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self._serve, HOST, port, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                began = time.monotonic()
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                request = {
                    "server": self.name,
                    "id": headers.get("x-request-id"),
                    "method": method,
                    "target": target,
                    "headers": headers,
                    "body": body,
                    "first": began,
                    "last": time.monotonic(),
                    "connection": id(writer),
                }
                self.requests.append(request)
                self.record.add(
                    "server got", server=self.name, id=request["id"], told=headers.get("x-deadline")
                )
                if self.handler is None:
                    writer.write(response(200, b"by " + self.name.encode()))
                else:
                    await self.handler(self, request, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def die(self):
        """End as a process does: connections are reset, new ones refused."""
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)


def entry(server, status="SERVING", since_ms=0, group=1, zone="a", kind="std", name=None):
    return {
        "name": name or server.name,
        "address": server.address,
        "zone": zone,
        "type": kind,
        "group": group,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


class Discovery:
    """Discovery as the protocol page has it: `GET /api/targets`, and a watch with `after` and `wait_ms`."""

    def __init__(self, record, entries, index=1):
        self.record = record
        self.index = index
        self.entries = {item["name"]: item for item in entries}
        self.changed = dict.fromkeys(self.entries, index)
        self.news = asyncio.Event()
        self.writers = set()
        self.listener = None
        self.port = 0
        self.silent = set()  # writers on which nothing is written any more
        self.told = {}  # (name, status) -> monotonic time of the first write that tells it

    async def start(self, port=0):
        # A discovery that goes down and comes back needs a port that no connection gets meanwhile.
        self.listener = await asyncio.start_server(self._serve, HOST, port or free_port())
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def listing(self):
        alive = [item for item in self.entries.values() if item["status"] != "DELETED"]
        return {"index": self.index, "snapshot": True, "endpoints": alive}

    def change(self, *items):
        self.index += 1
        for item in items:
            self.entries[item["name"]] = item
            self.changed[item["name"]] = self.index
            self.record.add("list changed", index=self.index, name=item["name"], status=item["status"])
        news, self.news = self.news, asyncio.Event()
        news.set()

    def _answer(self, after):
        if after is None or after < 1:
            return self.listing()
        items = [self.entries[name] for name, index in self.changed.items() if index > after]
        return {"index": self.index, "snapshot": False, "endpoints": items}

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, _ = await read_head(reader)
                target = line.split(" ")[1]
                query = dict(part.split("=", 1) for part in target.partition("?")[2].split("&") if part)
                self.record.add("discovery called", target=target, port=self.port)
                after = int(query["after"]) if "after" in query else None
                if after is not None and self.index <= after:
                    end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
                    while self.index <= after and (left := end - time.monotonic()) > 0:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.news.wait(), left)
                if writer in self.silent:
                    await asyncio.sleep(3600)
                answer = self._answer(after)
                writer.write(response(200, json.dumps(answer).encode()))
                self.record.add("discovery told", index=answer["index"], whole=answer["snapshot"])
                for item in answer["endpoints"]:
                    self.told.setdefault((item["name"], item["status"]), time.monotonic())
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def request_class(name, repeat, **overrides):
    values = {
        "name": name,
        "deadline-ns": 6000 * MS,
        "objective-ns": 2500 * MS,
        "repeat": repeat,
        "key-scope": "cell" if repeat == "token" else "all",
        "window-ns": 4000 * MS,
        "points": 8.0,
        "late-value": 0.0,
        "stream": False,
    }
    return {**values, **overrides}


def configuration(discovery, known, classes=None, limits=None, **settings):
    """Return the configuration of one sidecar, as the deployment page has it."""
    values = {
        "accounts": [],
        "ceilings": {
            "cancel": True,
            "conn-idle-ns": 60_000 * MS,
            "connect-timeout-ns": 250 * MS,
            "cpu-us-per-request": 10.0,
            "cpu-us-per-s": 8207,
            "max-open": 20518,
            "max-retry-after-ns": 2000 * MS,
            "peers": False,
            "probing": False,
            "retry-after": True,
            "second-copies": True,
            "send-cap": 4,
            "streams-per-conn": 1,
        },
        "classes": classes
        or [request_class("exposure", "token"), request_class("assign", "side_effect", **{"points": 24.0})],
        "clients": {"marks-retry": True},
        "dcs": ["a", "b"],
        "discovery": "ask",
        "domain-type": "mesh",
        "fleet-size": 4,
        "goal": {"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.2},
        "index": 1,
        "kinds": ["std"],
        "layer": 0,
        "my-zone": 0,
        "over-share-worth": 0.05,
        "prices": {"cross-zone": 0.03, "late-fail": 0.05, "waste": 0.25},
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
        "tiers": ["flag-nodes"],
        "weight-source": "silent",
        "worth-by": "work",
    }
    values.update(settings)
    return {
        "name": "n1",
        "listen": f"{HOST}:0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": values,
    }


def free_port():
    """Return a free port outside the range from which the system picks those of connections."""
    for _ in range(1000):
        port = random.randrange(12_000, 30_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port
    msg = "no free port was found"
    raise CaseError(msg)


def end_with_parent():
    """Let the system kill this process when its parent ends, however that ends: see prctl(2)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Sidecar:
    """One sidecar, started by the line `run` of the deploy file in a process group of its own."""

    def __init__(self, record, data, folder, environment=None, pass_fds=()):
        self.record, self.data, self.folder = record, data, Path(folder)
        self.environment, self.pass_fds = environment or {}, pass_fds
        self.process = None
        self.log = None
        data["listen"] = f"{HOST}:{free_port()}" if data["listen"].endswith(":0") else data["listen"]
        self.port = int(data["listen"].rsplit(":", 1)[1])
        self.path = self.folder / "config.json"

    def write_configuration(self):
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.data), encoding="utf-8")
        new.replace(self.path)

    async def start(self, log_name="sidecar.log"):
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.write_configuration()
        private = tempfile.mkdtemp(dir=self.folder)
        self.log = (self.folder / log_name).open("ab")
        environment = {
            **os.environ,
            "GW_NAME": self.data["name"],
            "GW_LISTEN": self.data["listen"],
            "GW_DISCOVERY": self.data["discovery"],
            "GW_CONFIG": str(self.path),
            "TMPDIR": private,
            **self.environment,
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            deploy["run"],
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
            pass_fds=self.pass_fds,
            start_new_session=True,
            preexec_fn=end_with_parent,
        )
        self.record.add("sidecar started", pid=self.process.pid)
        end = time.monotonic() + 30
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CaseError(f"the sidecar ended with {self.process.returncode} before it was ready")
            if await self.ready():
                self.record.add("sidecar ready")
                return self
            await asyncio.sleep(0.05)
        raise CaseError("the sidecar was not ready within 30 s")

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
            async with asyncio.timeout(2):
                line, _ = await read_head(reader)
            return " 200 " in line
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number):
        self.record.add("signal", number=signal.Signals(number).name)
        os.kill(self.process.pid, number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        if self.log is not None:
            self.log.close()


def request(class_name, request_id, deadline_ms=5000, body=b"", method="POST", *lines):
    head = [
        f"{method} /{class_name} HTTP/1.1",
        "Host: origin.svc",
        f"X-Request-Id: {request_id}",
        f"X-Key: {request_id[-4:]}",
        f"X-Deadline: {deadline_ms}m",
    ]
    if class_name == "exposure":
        head.append(f"Idempotency-Key: {request_id}{request_id}")
    if method == "POST":
        head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join([*head, *lines]) + "\r\n\r\n").encode() + body


async def bounded(case, record, folder, trouble):
    """Run a case for 110 s at most; SIGTERM, SIGINT and SIGHUP end it early."""
    task = asyncio.ensure_future(case(record, folder, trouble))
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return await asyncio.wait_for(task, 110)
    except asyncio.CancelledError:
        return NOT_RUN, "ended early by a signal"
    finally:
        for _ in range(10):  # `wait_for` may lose a cancellation
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for other in others:
                other.cancel()
            if not others or not (await asyncio.wait(others, timeout=0.3))[1]:
                break
        await asyncio.sleep(0.05)  # the transports that they have closed end in the loop's next turns


def main(case, record_path):
    """Run `case(record, folder, trouble)` and return its verdict as the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    with tempfile.TemporaryDirectory() as folder:
        try:
            verdict, text = asyncio.run(bounded(case, record, folder, trouble))
        except Exception as error:  # an unexpected error of a stand-in is no verdict either
            verdict, text = NOT_RUN, f"the case could not run: {error!r}"
    record.add("verdict", exit=verdict, text=text, trouble=trouble)
    record.close()
    print(text)
    return verdict
