"""`python -m ochreflow` as a process, from start to SIGTERM, and the start of the simulator's adapter."""

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
    """The sidecar as a process, with the ports that its log reports."""

    def __init__(self, path, data, descriptors=None, inherited=None, shared_dir=None):
        path.write_text(json.dumps(data))
        self.path = path
        self.descriptors = descriptors
        self.inherited = inherited
        self.shared_dir = shared_dir  # $TMPDIR of the processes that are one sidecar
        self.port = 0
        self.management_port = 0
        self.arguments = []
        self.lines = []  # lines of the log
        self.log_changed = asyncio.Condition()

    def _limit(self):
        if self.descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    def _inherited_environment(self):
        environment = {"GW_FD": str(self.inherited.fileno())} if self.inherited else {}
        return {**environment, "TMPDIR": str(self.shared_dir)} if self.shared_dir else environment

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
        await self.wait_for_log(rb"listen(s at|ing)")
        return self

    async def _read(self):
        """Read and return the complete log, and note the ports that it reports."""
        async for line in self.process.stderr:
            for name, text in (("management_port", rb"management interface is at"), ("port", rb"listens at")):
                if match := re.search(text + rb" 127\.0\.0\.1:(\d+)", line):
                    setattr(self, name, int(match[1]))
            if match := re.search(rb'"port": (\d+), "event": "listening"', line):
                self.port = int(match[1])
            async with self.log_changed:
                self.lines.append(line)
                self.log_changed.notify_all()
        async with self.log_changed:
            self.log_changed.notify_all()
        return b"".join(self.lines)

    async def wait_for_log(self, pattern):
        """Wait for a log line that matches."""
        async with self.log_changed, asyncio.timeout(WAIT_TIMEOUT_S):
            while not any(re.search(pattern, line) for line in self.lines):
                assert not self.log.done(), "the process ended without a log line that matches"
                await self.log_changed.wait()

    async def all_lines(self):
        """Return all log lines, once the process has ended."""
        await self.log
        return self.lines

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


def test_a_graceful_shutdown_answers_pending_and_late_requests(tmp_path):
    async def scenario():
        async def act(message, reader, writer):
            if message.headers["x-request-id"] == "pending":
                await release.wait()
            writer.write(http_response(200, b"served"))

        release = asyncio.Event()
        fake = await FakePeer(act).start()
        async with Process(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            got = await send_request(sidecar.port, READY)
            assert got.code == 200 and "connection" not in got.headers
            idle_reader, idle_writer = await asyncio.open_connection(HOST, sidecar.port)
            kept_reader, kept_writer = await asyncio.open_connection(HOST, sidecar.port)
            pending_reader, pending_writer = await asyncio.open_connection(HOST, sidecar.port)
            pending_writer.write(http_request("order", "pending"))
            await wait_until(lambda: fake.received)
            sidecar.process.send_signal(signal.SIGTERM)
            await sidecar.wait_for_log(b"terminating")  # else a request may be read before the signal
            assert (await send_request(sidecar.port, READY)).code == 503
            got = await send_request(sidecar.port, http_request("order", "new"))
            assert got.code == 200
            kept_writer.write(http_request("order", "kept"))
            got = await read_message(kept_reader)
            # No close is announced, since there may be no other process yet to which the client can connect.
            assert got.code == 200 and "connection" not in got.headers
            assert await kept_reader.read() == b""
            assert await idle_reader.read() == b""  # closed once no new connections are accepted
            with pytest.raises(OSError):
                await asyncio.open_connection(HOST, sidecar.port)
            assert sidecar.process.returncode is None
            release.set()
            assert (await read_message(pending_reader)).code == 200
            assert await pending_reader.read() == b""
            assert await sidecar.process.wait() == 0
            assert b"Traceback" not in await sidecar.log
            for writer in (idle_writer, kept_writer, pending_writer):
                writer.close()

    run(scenario())


def test_a_graceful_shutdown_ends_before_the_platform_kills_the_process(tmp_path):
    """Guards against a request without a response, because its deadline is after the platform's kill."""

    async def scenario():
        async def never_answer(message, reader, writer):
            await reader.read()

        fake = await FakePeer(never_answer).start()
        async with Process(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            pending = asyncio.create_task(
                send_request(sidecar.port, http_request("order", "pending", "30000m"))
            )
            await wait_until(lambda: fake.received)
            loop = asyncio.get_running_loop()
            start = loop.time()
            sidecar.process.send_signal(signal.SIGTERM)
            assert (await pending).code == 502
            assert await sidecar.process.wait() == 0
            assert loop.time() - start < 3.7

    run(scenario())


def test_the_process_survives_running_out_of_descriptors(tmp_path):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        data = config(endpoint_update(1, entry("s1", fake.address)))
        async with Process(tmp_path / "c", data) as sidecar:
            # With a limit that the process finds at its start, accept() would not fail.
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

    run(scenario())


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
def test_an_invalid_configuration_prints_one_line_and_fails(tmp_path, change):
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


def test_the_sidecar_is_ready_while_discovery_is_down(tmp_path):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)), f"{HOST}:9")
        ) as sidecar:
            assert (await send_request(sidecar.port, READY)).code == 200
            assert (await send_request(sidecar.port, http_request("order", "ab"))).code == 200

    run(scenario())


class UnresponsiveDiscovery:
    """Discovery that never answers; `called` is set once a call is open or has failed."""

    def __init__(self):
        self.called = asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve_call, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def _serve_call(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.write(writer)
        self.called.set()
        with contextlib.suppress(OSError):
            await reader.read()  # until the sidecar closes the connection
        writer.close()

    def write(self, writer):
        """Write nothing."""


class PartialDiscovery(UnresponsiveDiscovery):
    """Sends half a response and no more."""

    def write(self, writer):
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"index": 1,')


class UnavailableDiscovery(UnresponsiveDiscovery):
    def write(self, writer):
        writer.write(http_response(503, b""))


class ResettingDiscovery(UnresponsiveDiscovery):
    def write(self, writer):
        reset(writer)


class RefusingDiscovery(UnresponsiveDiscovery):
    """Refuses connections: no socket listens at its address."""

    async def __aenter__(self):
        with socket.create_server((HOST, 0)) as sock:
            self.address = f"{HOST}:{sock.getsockname()[1]}"
        self.called.set()
        return self

    async def __aexit__(self, *_):
        pass


class UnconnectedDiscovery(RefusingDiscovery):
    """Never completes a connection: its backlog is full, and it accepts none."""

    async def __aenter__(self):
        self.sock = socket.socket()
        self.sock.bind((HOST, 0))
        self.sock.listen(0)
        address = self.sock.getsockname()
        self.address = f"{HOST}:{address[1]}"
        self.waiting = []
        for _ in range(4):
            client = socket.socket()
            client.setblocking(False)
            self.waiting.append(client)
            with contextlib.suppress(BlockingIOError):
                client.connect(address)
        self.called.set()
        return self

    async def __aexit__(self, *_):
        for sock in (*self.waiting, self.sock):
            sock.close()


@pytest.mark.parametrize(
    "kind",
    [
        RefusingDiscovery,
        UnconnectedDiscovery,
        UnresponsiveDiscovery,
        PartialDiscovery,
        ResettingDiscovery,
        UnavailableDiscovery,
    ],
)
def test_readiness_does_not_depend_on_discovery(tmp_path, kind):
    """Guards against a start that waits for discovery: the configuration's list is enough to serve."""

    async def scenario():
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

    run(scenario())


def test_openssl_is_not_loaded():
    """Guards the memory at rest: OpenSSL takes 5 MB, and no connection uses it."""
    code = "import sys, ochreflow.__main__; print(*(name for name, module in sys.modules.items() if module))"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    loaded = set(done.stdout.split())
    assert "uvloop" in loaded and not loaded & {"_ssl", "_hashlib"}


@pytest.mark.parametrize("linked", [False, True])
def test_a_start_imports_only_modules_that_its_configuration_needs(tmp_path, linked):
    """Guards the processor time of a start: links to other processes are imported only if configured."""
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.bind((HOST, 0))
        port = sock.getsockname()[1]
    data = config(endpoint_update(1), **({"peer_listen": f"{HOST}:{port}"} if linked else {}))
    (tmp_path / "c").write_text(json.dumps(data))
    code = """
import os, signal, sys
from ochreflow.app import process
log_info = process.log.info
def info(event, **fields):
    log_info(event, **fields)
    if event == "listening":
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


def test_the_build_compiles_all_modules_that_a_start_imports(tmp_path):
    """Guards the processor time of a start, which compiles missing bytecode each time on a read-only disk."""
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
    first_line, package_path = done.stdout.splitlines()
    assert Path(package_path).is_relative_to(tmp_path)
    module_count, *uncompiled = first_line.split()
    assert int(module_count) > 30 and not uncompiled


def test_the_deploy_file_starts_the_adapter():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    batch = bytes.fromhex("0c00000090bf68f50100000000000000")
    done = subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]], cwd=ROOT, input=batch, capture_output=True, timeout=60, check=False
    )
    assert (done.returncode, done.stdout, done.stderr) == (0, bytes(8), b"")
    for path in [*deploy["policy"], *deploy["node"]]:
        assert (ROOT / path).exists()


def test_nested_and_flat_settings_parse_alike():
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


def test_a_reload_switches_to_the_new_discovery_and_keeps_serving(tmp_path):
    """Guards against SIGHUP ending the process.

    Invalid files are ignored. The call to the old discovery is closed, and the new one sends a complete list.
    """

    async def scenario():
        async def poll_old(message, reader, writer):
            await reader.read()  # a long poll that stays open
            old_poll_closed.set()

        async def poll_new(message, reader, writer):
            if len(moved.received) > 1:
                await reader.read()
            else:  # the index of this list is far lower than the old discovery's
                writer.write(
                    http_response(200, json.dumps(endpoint_update(2, entry("s2", after.address))).encode())
                )

        old_poll_closed = asyncio.Event()
        before = await FakePeer(answer_ok).start()
        after = await FakePeer(answer_ok).start()
        old, moved = await FakePeer(poll_old).start(), await FakePeer(poll_new).start()
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
            await old_poll_closed.wait()
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

    run(scenario())


def test_the_listening_socket_is_inherited_and_outlives_its_processes(tmp_path):
    """Two processes share the platform's socket: when the old one ends, no connection is refused."""

    async def scenario():
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
            waiting = asyncio.create_task(
                send_request(port, http_request("order", "between"))
            )  # in the backlog
            async with Process(tmp_path / "c", data, inherited=listening):
                assert (await waiting).code == 200
        listening.close()

    run(scenario())


@pytest.mark.parametrize("text", ["x", "99", "0"])
def test_an_unusable_inherited_descriptor_prints_one_line_and_fails(tmp_path, text):
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
    async def scenario():
        data = config(endpoint_update(1), management=f"{HOST}:0")
        async with Process(tmp_path / "c", data) as sidecar:
            assert (
                await send_request(sidecar.management_port, b"GET /healthcheck HTTP/1.1\r\n\r\n")
            ).code == 200
            assert (
                b"app.results.order.succeeded=0"
                in (
                    await send_request(sidecar.management_port, b"GET /stats HTTP/1.1\r\n\r\n")
                ).body.splitlines()
            )

    run(scenario())
