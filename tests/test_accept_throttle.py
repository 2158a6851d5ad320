"""Accepting while descriptors are short, what is evicted, and what the next process knows of clients."""

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

from ochreflow.admission.accept_throttle import (
    DESCRIPTOR_ERRNOS,
    MAX_ACCEPTS_PER_ITERATION,
    MAX_PAUSE_S,
    MIN_ACCEPTS_PER_ITERATION,
    MIN_PAUSE_S,
    AcceptThrottle,
)
from ochreflow.admission.connection_admission import (
    MAX_SNAPSHOT_ENTRIES,
    MIN_KNOWN_REPUTATION,
    ConnectionAdmission,
)
from ochreflow.admission.limits import Limits
from ochreflow.http.acceptor import Acceptor

pytestmark = pytest.mark.xdist_group("processes")

ADMISSION_ON = '[operators]\nlisten = "127.0.0.1:0"\n[admission]\non = true\n'


def test_a_throttle_that_found_no_descriptor_pauses_and_opens_by_steps():
    throttle = AcceptThrottle()
    assert throttle.accepts_allowed(0.0) == MAX_ACCEPTS_PER_ITERATION
    assert throttle.out_of_descriptors(1.0) == MIN_PAUSE_S
    assert throttle.accepts_allowed(1.0) == 0
    now = 1.0 + MIN_PAUSE_S
    taken = []
    while not taken or taken[-1] < MAX_ACCEPTS_PER_ITERATION:
        taken.append(throttle.accepts_allowed(now))
        throttle.accepted(taken[-1])
    assert taken[0] == MIN_ACCEPTS_PER_ITERATION and all(b <= 2 * a for a, b in itertools.pairwise(taken))


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 1.0)), max_size=60))
def test_a_throttle_never_stays_shut_for_long_nor_opens_early(events):
    throttle, now, shut = AcceptThrottle(), 0.0, 0.0
    for short, gap in events:
        now += gap
        assert (throttle.accepts_allowed(now) > 0) == (now >= shut)
        assert throttle.accepts_allowed(now) <= MAX_ACCEPTS_PER_ITERATION
        if now >= shut:
            if short:
                wait = throttle.out_of_descriptors(now)
                assert MIN_PAUSE_S <= wait <= MAX_PAUSE_S
                shut = now + wait
            else:
                throttle.accepted(throttle.accepts_allowed(now))


def test_the_errors_of_accepting_without_a_free_descriptor():
    assert {errno.EMFILE, errno.ENFILE} <= DESCRIPTOR_ERRNOS and errno.EBADF not in DESCRIPTOR_ERRNOS


def test_an_idle_connection_is_evicted_before_one_that_waits_for_its_response(tmp_path):
    async def play():
        async def act(got, reader, writer):
            await go.wait()
            await answer_ok(got, reader, writer)

        go = asyncio.Event()
        node = await FakePeer(act).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("a", node.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(http_request("lookup", "owed"))
            await wait_until(lambda: node.received)
            silent = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(2)]
            clients = sidecar.http.clients
            await wait_until(lambda: len(clients.connections) == 3)
            descriptors = clients.descriptors
            assert descriptors.evict_idle_connection() and descriptors.evict_idle_connection()
            for silent_reader, _ in silent:
                assert await silent_reader.read() == b""
            assert not descriptors.evict_idle_connection()  # the one that is left is owed an answer
            go.set()
            assert (await read_message(reader)).code == 200
            writer.close()

    run(play())


def test_an_attempt_gets_a_descriptor_though_silent_clients_hold_all(tmp_path):
    async def play():
        node = await FakePeer(answer_ok).start()
        given = config(endpoint_update(1, entry("a", node.address)))
        async with Sidecar(tmp_path / "c", given) as sidecar:
            clients = sidecar.http.clients
            silent = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(5)]
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            await wait_until(lambda: len(clients.connections) == 6)
            descriptors = clients.descriptors
            descriptors.others_in_use = descriptors.limit - descriptors.in_use  # another process has the rest
            assert descriptors.full
            writer.write(http_request("order", "k"))
            got = await read_message(reader)
            assert got.code == 200 and len(node.received) == 1
            assert len(clients.connections) < 6
            for _, one in [*silent, (None, writer)]:
                one.close()

    run(play())


def from_address(host):
    made = socket.socket()
    made.bind((host, 0))
    made.setblocking(False)
    return made


FREE_DESCRIPTORS = 2  # descriptors, fewer than admission allows unknown addresses of the smallest sidecar


@contextlib.asynccontextmanager
async def process_with_admission(tmp_path):
    """A process with connection admission and a fixed number of descriptors of its own.

    Its call to the directory stays open.
    """
    node = await FakePeer(answer_ok).start()
    directory = await FakePeer(never_answer).start()
    (tmp_path / "o.toml").write_text(ADMISSION_ON)
    known = config(endpoint_update(1, entry("a", node.address)), directory.address)
    process = Process(tmp_path / "c", known)
    process.arguments = ["--config", str(tmp_path / "o.toml")]
    async with process:
        await wait_until(lambda: directory.received)
        yield process


def leave_few(process):
    """Take all descriptors but a few from a process that runs, so that it accepts in vain.

    So few that it does not matter whether it has counted with the new limit yet, which it does ten times a
    second: admission allows more unknown connections than there are descriptors, before as well as after.
    """
    ident = process.process.pid
    in_use = {int(name) for name in os.listdir(f"/proc/{ident}/fd")}
    free = (number for number in itertools.count() if number not in in_use)
    *_, last = itertools.islice(free, FREE_DESCRIPTORS)
    limit = last + 1  # the limit is on the number of a new descriptor: higher ones that are open stay so
    resource.prlimit(ident, resource.RLIMIT_NOFILE, (limit, limit))


def test_without_descriptors_the_process_goes_on_answering_and_ends_as_planned(tmp_path):
    """A flood that the system's own limit stops: kept connections are answered, in a drain as well."""

    async def play():
        async with process_with_admission(tmp_path) as process:
            reader, writer = await asyncio.open_connection(HOST, process.port)
            for number in range(int(MIN_KNOWN_REPUTATION) + 1):
                writer.write(http_request("lookup", f"a{number}"))
                assert (await read_message(reader)).code == 200
            leave_few(process)
            loop = asyncio.get_running_loop()
            flood = [from_address(f"127.1.{number}.1") for number in range(100)]
            for one in flood:
                await loop.sock_connect(one, (HOST, process.port))
            await process.heard(b"no file descriptor")
            writer.write(http_request("order", "b"))
            assert (await read_message(reader)).code == 200
            process.process.send_signal(signal.SIGTERM)
            await process.heard(b"terminating|asked to end")
            writer.write(http_request("order", "c"))
            assert (await read_message(reader)).code == 200
            for one in flood:
                one.close()
            writer.close()
            assert await process.process.wait() == 0

    run(play())


def test_when_descriptors_come_back_new_clients_are_accepted(tmp_path):
    """The first one too, behind all those of a flood that have left before they were accepted."""

    async def play():
        async with process_with_admission(tmp_path) as process:
            leave_few(process)
            loop = asyncio.get_running_loop()
            flood = [from_address(f"127.1.{number}.1") for number in range(100)]
            for one in flood:
                await loop.sock_connect(one, (HOST, process.port))
            await process.heard(b"no file descriptor")
            for one in flood:
                one.close()
            assert (await send_request(process.port, http_request("order", "d"))).code == 200

    run(play())


DISCONNECTED = 20  # clients in the backlog that have left
CAPACITY = 4  # of them three for unknown addresses


@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_clients_that_disconnected_in_the_backlog_take_no_capacity_from_those_that_stay(tmp_path, how):
    """All are connected before the loop turns, so they are found in the backlog at once, in their order."""

    async def play():
        node = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("a", node.address)))) as sidecar:
            clients = sidecar.http.clients
            clients.admission = ConnectionAdmission(Limits(), lambda: CAPACITY)
            listening = socket.create_server((HOST, 0))
            port = listening.getsockname()[1]
            disconnected = [connect(port) for _ in range(DISCONNECTED)]
            for one in disconnected:
                disconnect(one, how)
            stays = connect(port)
            stays.sendall(http_request("order", "stays"))
            loop = asyncio.get_running_loop()
            sidecar.http.listen(Acceptor(loop, listening, sidecar.http.connection, clients))
            reader, writer = await asyncio.open_connection(sock=stays)
            assert (await read_message(reader)).code == 200
            assert not clients.admission.rejected
            writer.close()
            for one in disconnected:
                one.close()

    run(play())


def test_a_snapshot_is_restored_and_malformed_ones_are_ignored():
    old: ConnectionAdmission[int] = ConnectionAdmission(Limits(), lambda: 100)
    for key, times in ((1, 40), (2, 10), (3, 2)):
        old.admit(0.0, key, f"10.0.0.{key}")
        for _ in range(times):
            old.request_completed(0.0, key)
    old.connection_closed(2)
    snapshot = old.snapshot(0.0)
    assert [name for name, _ in snapshot] == ["10.0.0.1", "10.0.0.2"]
    new: ConnectionAdmission[int] = ConnectionAdmission(Limits(), lambda: 100)
    new.restore(5.0, [list(one) for one in snapshot])
    assert new.snapshot(5.0) == snapshot
    # It decays as if it had been earned here.
    assert new.snapshot(65.0) == [("10.0.0.1", 20.0), ("10.0.0.2", 5.0)]
    for odd in (
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
        new.restore(5.0, odd)
    assert new.snapshot(5.0) == snapshot
    new.restore(5.0, [[f"10.1.{n >> 8}.{n & 255}", 9.0] for n in range(3 * MAX_SNAPSHOT_ENTRIES)])
    assert len(new.snapshot(5.0)) <= MAX_SNAPSHOT_ENTRIES


def test_the_next_process_knows_the_clients_of_this_one(tmp_path):
    async def play():
        node = await FakePeer(answer_ok).start()
        (tmp_path / "o.toml").write_text(ADMISSION_ON)
        folder = tmp_path / "shared"
        folder.mkdir()
        with contextlib.closing(socket.create_server((HOST, 0))) as listening:
            port = listening.getsockname()[1]
            known = config(endpoint_update(1, entry("a", node.address)))
            first = Process(tmp_path / "c", known, inherited=listening, folder=folder)
            second = Process(tmp_path / "d", known, inherited=listening, folder=folder)
            for process in (first, second):
                process.arguments = ["--config", str(tmp_path / "o.toml")]
            async with first:
                for number in range(2 * int(MIN_KNOWN_REPUTATION)):
                    assert (await send_request(port, http_request("lookup", f"a{number}"))).code == 200
                async with second:
                    status = await asyncio.to_thread(
                        command, "admission", "show", f"{HOST}:{second.operators}"
                    )
                    assert "known addresses: 1\n" in status.stdout, status.stdout + status.stderr

    run(play())
