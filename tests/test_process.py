"""The programs themselves: `python -m ochreflow` from start to SIGTERM, and the adapter's start."""

import asyncio
import contextlib
import json
import os
import re
import resource
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from net_helpers import (
    HOST,
    WAIT_TIMEOUT_S,
    FakePeer,
    Sidecar,
    answer_ok,
    config,
    endpoint_update,
    entry,
    http_request,
    http_response,
    read_message,
    reset,
    run,
    send_request,
    wait_until,
)

from ochreflow.policy.settings import nested_settings, parse_settings

pytestmark = pytest.mark.xdist_group("processes")

ROOT = Path(__file__).parent.parent
READY = b"GET /-/ready HTTP/1.1\r\n\r\n"


class Process:
    """The real program, with the port that it says it listens at."""

    def __init__(self, path, data, descriptors=None, inherited=None, folder=None):
        path.write_text(json.dumps(data))
        self.path = path
        self.descriptors = descriptors
        self.inherited = inherited
        self.folder = folder  # what the processes of a sidecar share
        self.port = 0
        self.operators = 0
        self.arguments = []
        self.lines = []  # of its log
        self.said = asyncio.Condition()

    def _limit(self):
        if self.descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    def _inherited_environment(self):
        environment = {"GW_FD": str(self.inherited.fileno())} if self.inherited else {}
        return {**environment, "TMPDIR": str(self.folder)} if self.folder else environment

    async def __aenter__(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ochreflow",
            *self.arguments,
            cwd=ROOT,
            env={**os.environ, "GW_CONFIG": str(self.path), **self._inherited_environment()},
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=self._limit,
            pass_fds=[self.inherited.fileno()] if self.inherited else [],
        )
        self.log = asyncio.create_task(self._read())
        await self.heard(rb"listen(s at|ing)")
        return self

    async def _read(self):
        """All of its log; what it says of its ports is noted."""
        async for line in self.process.stderr:
            for name, before in (("operators", rb"management interface is at"), ("port", rb"listens at")):
                if match := re.search(before + rb" 127\.0\.0\.1:(\d+)", line):
                    setattr(self, name, int(match[1]))
            if match := re.search(rb'"port": (\d+), "event": "listening"', line):
                self.port = int(match[1])
            async with self.said:
                self.lines.append(line)
                self.said.notify_all()
        async with self.said:
            self.said.notify_all()
        return b"".join(self.lines)

    async def heard(self, pattern):
        """Wait for a line that matches."""
        async with self.said, asyncio.timeout(WAIT_TIMEOUT_S):
            while not any(re.search(pattern, line) for line in self.lines):
                assert not self.log.done(), "it ended before it said so"
                await self.said.wait()

    async def rest(self):
        """The lines of a process that has ended."""
        await self.log
        return self.lines

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


def test_a_graceful_shutdown_answers_pending_and_late_requests(tmp_path):
    async def play():
        async def act(message, reader, writer):
            if message.headers["x-request-id"] == "held":
                await go.wait()
            writer.write(http_response(200, b"served"))

        go = asyncio.Event()
        fake = await FakePeer(act).start()
        async with Process(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            got = await send_request(sidecar.port, READY)
            assert got.code == 200 and "connection" not in got.headers
            idle_reader, idle_writer = await asyncio.open_connection(HOST, sidecar.port)
            used_reader, used_writer = await asyncio.open_connection(HOST, sidecar.port)
            held_reader, held_writer = await asyncio.open_connection(HOST, sidecar.port)
            held_writer.write(http_request("order", "held"))
            await wait_until(lambda: fake.received)
            sidecar.process.send_signal(signal.SIGTERM)
            await sidecar.heard(b"terminating")  # a request may be read before a signal sent before it
            assert (await send_request(sidecar.port, READY)).code == 503
            got = await send_request(sidecar.port, http_request("order", "new"))
            assert got.code == 200
            used_writer.write(http_request("order", "kept"))
            got = await read_message(used_reader)
            assert got.code == 200 and "connection" not in got.headers  # it may have nowhere else to go yet
            assert await used_reader.read() == b""
            assert await idle_reader.read() == b""  # closed when nothing more is taken
            with pytest.raises(OSError):
                await asyncio.open_connection(HOST, sidecar.port)
            assert sidecar.process.returncode is None
            go.set()
            assert (await read_message(held_reader)).code == 200
            assert await held_reader.read() == b""
            assert await sidecar.process.wait() == 0
            assert b"Traceback" not in await sidecar.log
            for writer in (idle_writer, used_writer, held_writer):
                writer.close()

    run(play())


def test_a_planned_end_leaves_nothing_unanswered_when_the_platform_kills(tmp_path):
    """Guards requests with longer deadlines than the platform waits before it kills."""

    async def play():
        async def silent_always(message, reader, writer):
            await reader.read()

        fake = await FakePeer(silent_always).start()
        async with Process(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            held = asyncio.create_task(send_request(sidecar.port, http_request("order", "held", "30000m")))
            await wait_until(lambda: fake.received)
            loop = asyncio.get_running_loop()
            start = loop.time()
            sidecar.process.send_signal(signal.SIGTERM)
            assert (await held).code == 502
            assert await sidecar.process.wait() == 0
            assert loop.time() - start < 3.7

    run(play())


def test_it_survives_running_out_of_descriptors(tmp_path):
    async def play():
        fake = await FakePeer(answer_ok).start()
        data = config(endpoint_update(1, entry("s1", fake.address)))
        async with Process(tmp_path / "c", data) as sidecar:
            # It counts with the limit that it finds at its start, so accept fails by a later one only.
            resource.prlimit(sidecar.process.pid, resource.RLIMIT_NOFILE, (40, 40))
            assert (await send_request(sidecar.port, http_request("lookup", "before"))).code == 200
            flood = []
            for _ in range(60):
                flood.append(await asyncio.open_connection(HOST, sidecar.port))
            for _, writer in flood:
                writer.close()

            async def served():
                try:
                    return (await send_request(sidecar.port, http_request("lookup", "after"))).code == 200
                except (OSError, asyncio.IncompleteReadError):
                    return False

            while not await served():
                await asyncio.sleep(0.02)
            assert sidecar.process.returncode is None

    run(play())


@pytest.mark.parametrize(
    "change",
    [
        {"seed": "no hex"},
        {"listen": "nowhere"},
        {"discovery": None},
        {"settings": 7},
        {"settings": {}},
        {"known": {"index": 1}},
        {"listen": "192.0.2.1:80"},
        "no json",
        "[]",
        None,
    ],
    ids=str,
)
def test_a_bad_configuration_is_one_line_and_a_failure(tmp_path, change):
    path = tmp_path / "c"
    env = {**os.environ, "GW_CONFIG": str(path)}
    if isinstance(change, str):
        path.write_text(change)
    elif change is None:
        del env["GW_CONFIG"]
    else:
        path.write_text(json.dumps({**config(endpoint_update(1)), **change}))
    done = subprocess.run(
        [sys.executable, "-m", "ochreflow"], cwd=ROOT, env=env, capture_output=True, timeout=60, check=False
    )
    assert done.returncode not in (0, None)
    assert done.stderr.startswith(b"ochreflow: ") and done.stderr.count(b"\n") == 1


def test_it_is_ready_while_discovery_is_down(tmp_path):
    async def play():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)), f"{HOST}:9")
        ) as sidecar:
            assert (await send_request(sidecar.port, READY)).code == 200
            assert (await send_request(sidecar.port, http_request("order", "ab"))).code == 200

    run(play())


class Discovery:
    """One that is of no use, in each way; what it gets is in `called`."""

    def __init__(self):
        self.called = asyncio.Event()  # a call is under way, or was broken

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._meet, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def _meet(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.write(writer)
        self.called.set()
        with contextlib.suppress(OSError):
            await reader.read()  # until the sidecar lets go
        writer.close()

    def write(self, writer):
        """It hangs."""


class Silent(Discovery):
    """Half an answer, and no more."""

    def write(self, writer):
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"index": 1,')


class Unavailable(Discovery):
    def write(self, writer):
        writer.write(http_response(503, b""))


class Resetting(Discovery):
    def write(self, writer):
        reset(writer)


class Refusing(Discovery):
    """Nobody listens at its address."""

    async def __aenter__(self):
        with socket.create_server((HOST, 0)) as sock:
            self.address = f"{HOST}:{sock.getsockname()[1]}"
        self.called.set()
        return self

    async def __aexit__(self, *_):
        pass


class Unconnected(Refusing):
    """Connections to it never come up: its backlog is full, and it takes none."""

    async def __aenter__(self):
        self.sock = socket.socket()
        self.sock.bind((HOST, 0))
        self.sock.listen(0)
        where = self.sock.getsockname()
        self.address = f"{HOST}:{where[1]}"
        self.waiting = []
        for _ in range(4):
            one = socket.socket()
            one.setblocking(False)
            self.waiting.append(one)
            with contextlib.suppress(BlockingIOError):
                one.connect(where)
        self.called.set()
        return self

    async def __aexit__(self, *_):
        for one in (*self.waiting, self.sock):
            one.close()


@pytest.mark.parametrize("kind", [Refusing, Unconnected, Discovery, Silent, Resetting, Unavailable])
def test_readiness_does_not_depend_on_discovery(tmp_path, kind):
    """Ready, and serving from the list of its configuration, with its first call open or broken."""

    async def play():
        fake = await FakePeer(answer_ok).start()
        async with kind() as discovery:
            data = config(endpoint_update(1, entry("s1", fake.address)), discovery.address)
            async with Process(tmp_path / "c", data) as sidecar:
                assert (await send_request(sidecar.port, READY)).code == 200
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    await discovery.called.wait()
                assert (await send_request(sidecar.port, READY)).code == 200
                assert (await send_request(sidecar.port, http_request("order", "ab"))).code == 200
                sidecar.process.send_signal(signal.SIGTERM)
                assert await sidecar.process.wait() == 0

    run(play())


@pytest.mark.parametrize("linked", [False, True])
def test_a_start_loads_nothing_that_only_other_configurations_need(tmp_path, linked):
    """Guards the processor time of a start: what links to other processes is loaded where there are any."""
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.bind((HOST, 0))
        port = sock.getsockname()[1]
    data = config(endpoint_update(1), **({"peer_listen": f"{HOST}:{port}"} if linked else {}))
    (tmp_path / "c").write_text(json.dumps(data))
    code = """
import os, signal, sys
from ochreflow.app import process
said = process.log.info
def info(what, **fields):
    said(what, **fields)
    if what == "listening":
        print(" ".join(sys.modules))
        os.kill(os.getpid(), signal.SIGTERM)
process.log.info = info
sys.exit(process.main())
"""
    env = {**os.environ, "GW_CONFIG": str(tmp_path / "c")}
    listening = socket.create_server((HOST, 0))
    if linked:
        env |= {"GW_FD": str(listening.fileno()), "TMPDIR": str(tmp_path)}
    done = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        env=env,
        pass_fds=[listening.fileno()],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    listening.close()
    assert done.returncode == 0, done.stderr
    loaded = set(done.stdout.split())
    hot_restart = {f"ochreflow.app.hot_restart{part}" for part in ("", "_form", "_link")}
    links = hot_restart | {"ochreflow.membership.gossip"}
    assert loaded & links == (links if linked else set())
    assert linked or not loaded & {"pathlib", "urllib.parse", "ipaddress"}


def test_the_build_leaves_the_bytecode_of_all_that_a_start_loads(tmp_path):
    """Guards the processor time of a start: what is not compiled is compiled at each, on a read-only disk."""
    shutil.copytree(ROOT / "ochreflow", tmp_path / "ochreflow", ignore=shutil.ignore_patterns("__pycache__"))
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"].split(" && ")
    env = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
    env.pop("PYTHONPYCACHEPREFIX", None)
    compiles = [shlex.split(command) for command in build if "compileall" in command]
    for command in compiles:
        assert command[0] == ".venv/bin/python"
        subprocess.run([sys.executable, *command[1:]], cwd=tmp_path, env=env, timeout=60, check=True)
    code = """
import os, sys
import ochreflow.app.hot_restart, ochreflow.app.process, ochreflow.membership.gossip
loaded = [module for name, module in sys.modules.items() if name.partition(".")[0] == "ochreflow"]
print(len(loaded), *(module.__name__ for module in loaded if not os.path.exists(module.__cached__)))
print(loaded[0].__file__)
"""
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=tmp_path, env=env, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 0, done.stderr
    counted, place = done.stdout.splitlines()
    assert Path(place).is_relative_to(tmp_path)
    number, *uncompiled = counted.split()
    assert int(number) > 30 and not uncompiled


def test_the_deploy_file_starts_the_adapter():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    batch = bytes.fromhex("0c00000090bf68f50100000000000000")
    done = subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]], cwd=ROOT, input=batch, capture_output=True, timeout=60, check=False
    )
    assert (done.returncode, done.stdout, done.stderr) == (0, bytes(8), b"")
    for path in [*deploy["policy"], *deploy["node"]]:
        assert (ROOT / path).exists()


def test_both_forms_of_the_settings_read_alike():
    text = """\
ceilings.cancel=true
ceilings.send-cap=3
classes.count=1
classes.0.deadline-ns=1000000000
classes.0.name=lookup
classes.0.repeat=pure
dcs=a,b
goal.worst-class=0.3
accounts.count=1
accounts.0.name=acme
accounts.0.allowance-per-s=10.0
accounts.0.share=0.5
telemetry.columns=rps,cpu
telemetry.how=piggyback
"""
    nested = {
        "ceilings": {"cancel": True, "send-cap": 3},
        "classes": [{"deadline-ns": 1_000_000_000, "name": "lookup", "repeat": "pure"}],
        "dcs": ["a", "b"],
        "goal": {"worst-class": 0.3},
        "accounts": [{"name": "acme", "allowance-per-s": 10.0, "share": 0.5}],
        "telemetry": {"columns": ["rps", "cpu"], "how": "piggyback"},
    }
    assert nested_settings(nested) == parse_settings(text)


def test_a_new_configuration_switches_to_the_new_discovery_and_keeps_serving(tmp_path):
    """Guards SIGHUP, which ended the process: whole list first, the old one let go, bad files ignored."""

    async def play():
        async def old_watch(message, reader, writer):
            await reader.read()  # a watch that waits
            left.set()

        async def new_watch(message, reader, writer):
            if len(moved.received) > 1:
                await reader.read()
            else:  # its index is far behind the old one's
                writer.write(
                    http_response(200, json.dumps(endpoint_update(2, entry("s2", after.address))).encode())
                )

        left = asyncio.Event()
        before = await FakePeer(answer_ok).start()
        after = await FakePeer(answer_ok).start()
        old, moved = await FakePeer(old_watch).start(), await FakePeer(new_watch).start()
        data = config(endpoint_update(900, entry("s1", before.address)), old.address)
        async with Process(tmp_path / "c", data) as sidecar:
            await wait_until(lambda: old.received)
            sidecar.path.write_text("{")
            sidecar.process.send_signal(signal.SIGHUP)
            assert (await send_request(sidecar.port, http_request("order", "a1"))).code == 200 and len(
                before.received
            ) == 1
            sidecar.path.write_text(json.dumps({**data, "discovery": moved.address}))
            for _ in range(50):
                sidecar.process.send_signal(signal.SIGHUP)
            await left.wait()
            await wait_until(lambda: len(moved.received) == 2)
            assert moved.received[0].start_line == "GET /api/targets HTTP/1.1"
            assert "after=2&" in moved.received[1].start_line
            assert (await send_request(sidecar.port, http_request("order", "a2"))).code == 200 and len(
                after.received
            ) == 1
            sidecar.process.send_signal(signal.SIGTERM)
            sidecar.process.send_signal(signal.SIGHUP)
            assert await sidecar.process.wait() == 0
            log = await sidecar.log
            assert b"Traceback" not in log and len(old.received) == 1
            assert (
                log.count(b"configuration is unchanged") in (0, 1) and log.count(b"discovery is now at") == 1
            )

    run(play())


def test_the_listening_socket_is_inherited_and_outlives_its_processes(tmp_path):
    """Two processes on the platform's socket: the old one ends, and no connection is refused."""

    async def play():
        fake = await FakePeer(answer_ok).start()
        listening = socket.create_server((HOST, 0))
        port = listening.getsockname()[1]
        data = config(endpoint_update(1, entry("s1", fake.address)))
        async with (
            Process(tmp_path / "a", data, inherited=listening) as old,
            Process(tmp_path / "b", data, inherited=listening) as new,
        ):
            assert old.port == new.port == port
            old.process.send_signal(signal.SIGTERM)
            for n in range(100):
                assert (await send_request(port, http_request("order", f"id{n}"))).code == 200
            assert await old.process.wait() == 0
            assert (await send_request(port, http_request("order", "after"))).code == 200
            new.process.kill()
            await new.process.wait()
            # in the backlog
            waits = asyncio.create_task(send_request(port, http_request("order", "between")))
            async with Process(tmp_path / "c", data, inherited=listening):
                assert (await waits).code == 200
        listening.close()

    run(play())


@pytest.mark.parametrize("text", ["x", "99", "0"])
def test_a_descriptor_that_cannot_be_listened_at_is_one_line_and_a_failure(tmp_path, text):
    path = tmp_path / "c"
    path.write_text(json.dumps(config(endpoint_update(1))))
    done = subprocess.run(
        [sys.executable, "-m", "ochreflow"],
        cwd=ROOT,
        env={**os.environ, "GW_CONFIG": str(path), "GW_FD": text},
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert done.returncode == 1
    assert done.stderr.startswith("ochreflow: GW_FD") and done.stderr.count("\n") == 1


def test_the_management_interface_has_its_own_address(tmp_path):
    async def play():
        data = config(endpoint_update(1), management=f"{HOST}:0")
        async with Process(tmp_path / "c", data) as sidecar:
            assert (await send_request(sidecar.operators, b"GET /healthcheck HTTP/1.1\r\n\r\n")).code == 200
            assert (
                b"app.results.order.succeeded=0"
                in (await send_request(sidecar.operators, b"GET /stats HTTP/1.1\r\n\r\n")).body.splitlines()
            )

    run(play())
