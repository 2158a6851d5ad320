"""Accepting while descriptors are short, eviction, and the reputation that a new process inherits."""

import asyncio
import contextlib
import errno
import itertools
import os
import resource
import signal
import socket

import pytest
from disconnecting_clients import DISCONNECT_MODES, connect, disconnect
from hypothesis import given
from hypothesis import strategies as st
from net_helpers import (
    HOST,
    FakePeer,
    Sidecar,
    answer_ok,
    config,
    endpoint_update,
    entry,
    http_request,
    never_answer,
    read_message,
    run,
    send_request,
    wait_until,
)
from test_operator_file import command
from test_process import Process

from ochreflow.admission.connection_admission import (
    MAX_SNAPSHOT_ENTRIES,
    MIN_KNOWN_REPUTATION,
    ConnectionAdmission,
)
from ochreflow.admission.limits import Limits
from ochreflow.http.accept_throttle import (
    DESCRIPTOR_ERRNOS,
    MAX_ACCEPTS_PER_ITERATION,
    MAX_PAUSE_S,
    MIN_ACCEPTS_PER_ITERATION,
    MIN_PAUSE_S,
    AcceptThrottle,
)
from ochreflow.http.acceptor import Acceptor

pytestmark = pytest.mark.xdist_group("processes")

ADMISSION_ON = '[operators]\nlisten = "127.0.0.1:0"\n[admission]\non = true\n'


def test_the_throttle_pauses_without_descriptors_and_then_doubles_its_allowance():
    throttle = AcceptThrottle()
    assert throttle.accepts_allowed(0.0) == MAX_ACCEPTS_PER_ITERATION
    assert throttle.out_of_descriptors(1.0) == MIN_PAUSE_S
    assert throttle.accepts_allowed(1.0) == 0
    now = 1.0 + MIN_PAUSE_S
    allowances = []
    while not allowances or allowances[-1] < MAX_ACCEPTS_PER_ITERATION:
        allowances.append(throttle.accepts_allowed(now))
        throttle.accepted(allowances[-1])
    assert allowances[0] == MIN_ACCEPTS_PER_ITERATION and all(
        b <= 2 * a for a, b in itertools.pairwise(allowances)
    )


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 1.0)), max_size=60))
def test_the_throttle_pauses_within_its_bounds_and_accepts_neither_early_nor_late(events):
    throttle, now, paused_until = AcceptThrottle(), 0.0, 0.0
    for out_of_descriptors, gap in events:
        now += gap
        assert (throttle.accepts_allowed(now) > 0) == (now >= paused_until)
        assert throttle.accepts_allowed(now) <= MAX_ACCEPTS_PER_ITERATION
        if now >= paused_until:
            if out_of_descriptors:
                pause = throttle.out_of_descriptors(now)
                assert MIN_PAUSE_S <= pause <= MAX_PAUSE_S
                paused_until = now + pause
            else:
                throttle.accepted(throttle.accepts_allowed(now))


def test_descriptor_errnos_include_exhaustion_but_not_a_bad_descriptor():
    assert {errno.EMFILE, errno.ENFILE} <= DESCRIPTOR_ERRNOS and errno.EBADF not in DESCRIPTOR_ERRNOS


def test_an_idle_connection_is_evicted_before_one_that_waits_for_its_response(tmp_path):
    async def scenario():
        async def act(got, reader, writer):
            await release.wait()
            await answer_ok(got, reader, writer)

        release = asyncio.Event()
        node = await FakePeer(act).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("a", node.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(http_request("lookup", "owed"))
            await wait_until(lambda: node.received)
            silent_connections = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(2)]
            clients = sidecar.http.clients
            await wait_until(lambda: len(clients.connections) == 3)
            descriptors = clients.descriptors
            assert descriptors.evict_idle_connection() and descriptors.evict_idle_connection()
            for silent_reader, _ in silent_connections:
                assert await silent_reader.read() == b""
            assert not descriptors.evict_idle_connection()  # the remaining one waits for its response
            release.set()
            assert (await read_message(reader)).code == 200
            writer.close()

    run(scenario())


def test_an_attempt_gets_a_descriptor_although_silent_clients_use_all(tmp_path):
    async def scenario():
        node = await FakePeer(answer_ok).start()
        data = config(endpoint_update(1, entry("a", node.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            clients = sidecar.http.clients
            silent_connections = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(5)]
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            await wait_until(lambda: len(clients.connections) == 6)
            descriptors = clients.descriptors
            descriptors.others_in_use = (
                descriptors.limit - descriptors.in_use
            )  # another process uses the rest
            assert descriptors.full
            writer.write(http_request("order", "k"))
            got = await read_message(reader)
            assert got.code == 200 and len(node.received) == 1
            assert len(clients.connections) < 6
            for _, open_writer in [*silent_connections, (None, writer)]:
                open_writer.close()

    run(scenario())


def bound_socket(host):
    sock = socket.socket()
    sock.bind((host, 0))
    sock.setblocking(False)
    return sock


FREE_DESCRIPTORS = 2  # less than admission allows unknown addresses even in the smallest sidecar


@contextlib.asynccontextmanager
async def process_with_admission(tmp_path):
    """Run a process with connection admission, whose own number of descriptors stays constant.

    Its long poll of the directory stays open.
    """
    node = await FakePeer(answer_ok).start()
    directory = await FakePeer(never_answer).start()
    (tmp_path / "o.toml").write_text(ADMISSION_ON)
    data = config(endpoint_update(1, entry("a", node.address)), directory.address)
    process = Process(tmp_path / "c", data)
    process.arguments = ["--config", str(tmp_path / "o.toml")]
    async with process:
        await wait_until(lambda: directory.received)
        yield process


def leave_few_descriptors(process):
    """Lower the limit of a running process so that only `FREE_DESCRIPTORS` are left and accept() fails.

    The process looks for a new limit ten times a second. With so few descriptors it does not matter whether
    it has applied it: before and after, admission allows more unknown connections than descriptors are left.
    """
    pid = process.process.pid
    in_use = {int(name) for name in os.listdir(f"/proc/{pid}/fd")}
    free = (number for number in itertools.count() if number not in in_use)
    *_, last = itertools.islice(free, FREE_DESCRIPTORS)
    limit = last + 1  # it bounds the number of a new descriptor; higher ones stay open
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, limit))


def test_without_descriptors_the_process_keeps_responding_and_shuts_down_gracefully(tmp_path):
    """Guards kept connections against a flood that uses up the system's limit, also during a drain."""

    async def scenario():
        async with process_with_admission(tmp_path) as process:
            reader, writer = await asyncio.open_connection(HOST, process.port)
            for number in range(int(MIN_KNOWN_REPUTATION) + 1):
                writer.write(http_request("lookup", f"a{number}"))
                assert (await read_message(reader)).code == 200
            leave_few_descriptors(process)
            loop = asyncio.get_running_loop()
            flood = [bound_socket(f"127.1.{number}.1") for number in range(100)]
            for sock in flood:
                await loop.sock_connect(sock, (HOST, process.port))
            await process.wait_for_log(b"no file descriptor")
            writer.write(http_request("order", "b"))
            assert (await read_message(reader)).code == 200
            process.process.send_signal(signal.SIGTERM)
            await process.wait_for_log(b"terminating|asked to end")
            writer.write(http_request("order", "c"))
            assert (await read_message(reader)).code == 200
            for sock in flood:
                sock.close()
            writer.close()
            assert await process.process.wait() == 0

    run(scenario())


def test_new_clients_are_accepted_once_descriptors_are_free_again(tmp_path):
    """Guards the first new client, behind a flood of clients in the backlog that have already left."""

    async def scenario():
        async with process_with_admission(tmp_path) as process:
            leave_few_descriptors(process)
            loop = asyncio.get_running_loop()
            flood = [bound_socket(f"127.1.{number}.1") for number in range(100)]
            for sock in flood:
                await loop.sock_connect(sock, (HOST, process.port))
            await process.wait_for_log(b"no file descriptor")
            for sock in flood:
                sock.close()
            assert (await send_request(process.port, http_request("order", "d"))).code == 200

    run(scenario())


DISCONNECTED = 20  # clients that left while they were in the backlog
CAPACITY = 4  # connections, of which 3 are for unknown addresses


@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_clients_that_disconnected_in_the_backlog_take_no_capacity(tmp_path, how):
    """All connect before the next loop iteration, which then finds them in the backlog in this order."""

    async def scenario():
        node = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("a", node.address)))) as sidecar:
            clients = sidecar.http.clients
            clients.admission = ConnectionAdmission(Limits(), lambda: CAPACITY)
            listening = socket.create_server((HOST, 0))
            port = listening.getsockname()[1]
            disconnected = [connect(port) for _ in range(DISCONNECTED)]
            for client in disconnected:
                disconnect(client, how)
            remaining = connect(port)
            remaining.sendall(http_request("order", "stays"))
            loop = asyncio.get_running_loop()
            sidecar.http.listen(Acceptor(loop, listening, sidecar.http.connection, clients))
            reader, writer = await asyncio.open_connection(sock=remaining)
            assert (await read_message(reader)).code == 200
            assert not clients.admission.rejected
            writer.close()
            for client in disconnected:
                client.close()

    run(scenario())


def test_a_snapshot_is_restored_and_malformed_ones_are_ignored():
    old: ConnectionAdmission[int] = ConnectionAdmission(Limits(), lambda: 100)
    for key, requests in ((1, 40), (2, 10), (3, 2)):
        old.admit(0.0, key, f"10.0.0.{key}")
        for _ in range(requests):
            old.request_completed(0.0, key)
    old.connection_closed(2)
    snapshot = old.snapshot(0.0)
    assert [name for name, _ in snapshot] == ["10.0.0.1", "10.0.0.2"]
    new: ConnectionAdmission[int] = ConnectionAdmission(Limits(), lambda: 100)
    new.restore(5.0, [list(reputation) for reputation in snapshot])
    assert new.snapshot(5.0) == snapshot
    # Inherited reputation decays like reputation earned here.
    assert new.snapshot(65.0) == [("10.0.0.1", 20.0), ("10.0.0.2", 5.0)]
    for malformed in (
        None,
        3,
        "x",
        [["a"]],
        [["a", "b"]],
        [[1, 2.0]],
        [["a", float("nan")]],
        [["a", -1]],
        [["a", 1e300]],
    ):
        new.restore(5.0, malformed)
    assert new.snapshot(5.0) == snapshot
    new.restore(5.0, [[f"10.1.{n >> 8}.{n & 255}", 9.0] for n in range(3 * MAX_SNAPSHOT_ENTRIES)])
    assert len(new.snapshot(5.0)) <= MAX_SNAPSHOT_ENTRIES


def test_a_new_process_inherits_the_known_clients(tmp_path):
    async def scenario():
        node = await FakePeer(answer_ok).start()
        (tmp_path / "o.toml").write_text(ADMISSION_ON)
        shared_dir = tmp_path / "shared"
        shared_dir.mkdir()
        with contextlib.closing(socket.create_server((HOST, 0))) as listening:
            port = listening.getsockname()[1]
            data = config(endpoint_update(1, entry("a", node.address)))
            first = Process(tmp_path / "c", data, inherited=listening, shared_dir=shared_dir)
            second = Process(tmp_path / "d", data, inherited=listening, shared_dir=shared_dir)
            for process in (first, second):
                process.arguments = ["--config", str(tmp_path / "o.toml")]
            async with first:
                for number in range(2 * int(MIN_KNOWN_REPUTATION)):
                    assert (await send_request(port, http_request("lookup", f"a{number}"))).code == 200
                async with second:
                    status = await asyncio.to_thread(
                        command, "admission", "show", f"{HOST}:{second.management_port}"
                    )
                    assert "known addresses: 1\n" in status.stdout, status.stdout + status.stderr

    run(scenario())
