"""Several processes that are one sidecar: what they hand over, what they count, and how they part."""

import asyncio
import contextlib
import json
import os
import signal
import socket
from pathlib import Path

import pytest
from net_helpers import (
    HOST,
    FakePeer,
    answer_ok,
    config,
    endpoint_update,
    entry,
    http_request,
    run,
    send_request,
    wait_until,
)
from test_process import Process

from ochreflow.app.hot_restart import HotRestart
from ochreflow.app.hot_restart_form import Inheritance, format_greeting, format_usage
from ochreflow.core.endpoints import EndpointIds
from ochreflow.core.limits import MB, Descriptors, Memory, Usage
from ochreflow.membership.endpoint_list import format_endpoint_list, parse_endpoint_update
from ochreflow.policy.interface import State

RECORDED = Path(__file__).parent / "data" / "hot_restart_greeting_e51ca60.json"

pytestmark = pytest.mark.xdist_group("processes")


def usage(sockets=384, memory=80):
    return Usage(Descriptors(sockets), Memory(memory * MB))


@contextlib.asynccontextmanager
async def process(folder, pid, listed=None):
    """A process of a sidecar as the others see it: its links, and the list it inherited."""
    inheritance = Inheritance(listed, None)
    loop = asyncio.get_running_loop()
    hot_restart = HotRestart(loop, str(folder), usage(), lambda: inheritance, pid)
    inherited = await hot_restart.start()
    try:
        yield hot_restart, inherited
    finally:
        hot_restart.close()


def test_a_new_process_inherits_the_list_and_both_count_as_one(tmp_path):
    async def play():
        async with process(tmp_path, 1, {"index": 5}) as (old, inherited):
            assert inherited is None and old.usage.descriptors.limit == 334
            old.usage.descriptors.in_use = old.usage.descriptors.connected = 100
            old.usage.memory.reserved_bytes = MB
            async with process(tmp_path, 2, {"index": 5}) as (new, inherited):
                assert inherited == {"index": 5}
                assert old.processes == new.processes == 1
                limits = new.usage.descriptors
                assert limits.limit == 284 and limits.others_in_use == 100 and limits.max_clients == 94
                assert new.usage.memory.others_reserved_bytes == MB
                limits.in_use = 184
                assert limits.full
                await wait_until(lambda: old.usage.descriptors.others_in_use == 184)
                assert old.usage.descriptors.full
                async with process(tmp_path, 3) as (third, _):
                    assert third.processes == 2 and third.usage.descriptors.limit == 234
                    await wait_until(lambda: old.processes == new.processes == 2)
                await wait_until(lambda: old.processes == new.processes == 1)
            await wait_until(lambda: old.processes == 0)
            assert old.usage.descriptors.limit == 334 and old.usage.descriptors.others_in_use == 0
        assert not list(tmp_path.iterdir())

    run(play())


def test_stale_sockets_and_invalid_messages_do_no_harm(tmp_path):
    """A file whose process was killed, a file that is none, and a peer that talks nonsense."""

    async def play():
        dead = socket.socket(socket.AF_UNIX)
        dead.bind(str(tmp_path / "sidecar-7.sock"))
        dead.close()
        (tmp_path / "sidecar-8.sock").write_text("no socket")

        async def nonsense(reader, writer):
            writer.write(b'{"pid":"x"}\n')
            await reader.read()
            writer.close()

        server = await asyncio.start_unix_server(nonsense, str(tmp_path / "sidecar-9.sock"))
        async with process(tmp_path, 1) as (hot_restart, inherited):
            assert inherited is None
            await wait_until(lambda: not hot_restart.links)
            assert hot_restart.processes == 0 and not (tmp_path / "sidecar-7.sock").exists()
        server.close()

    run(play())


def test_a_peer_that_says_nothing_does_not_keep_a_new_process_waiting(tmp_path):
    async def play():
        silent = socket.socket(socket.AF_UNIX)
        silent.bind(str(tmp_path / "sidecar-9.sock"))
        silent.listen()
        async with process(tmp_path, 1) as (hot_restart, inherited):
            assert inherited is None and hot_restart.processes == 0
        silent.close()

    run(play())


def test_the_list_that_is_inherited_reads_as_it_was():
    names = EndpointIds(["a", "b"], ["std"])
    written = endpoint_update(
        7,
        entry("s1", "127.0.0.1:1", since_ms=5, group=3, zone="b"),
        entry("s2", "127.0.0.1:2", status="DRAINING"),
    )
    assert format_endpoint_list(7, parse_endpoint_update(written, names).entries, names) == written


def test_a_new_process_knows_what_the_old_one_was_notified_of(tmp_path):
    """Its own configuration names a server that has left; the old process knows the present one."""

    async def play():
        fake = await FakePeer(answer_ok).start()
        gone = await FakePeer(answer_ok).start()
        listening = socket.create_server((HOST, 0))
        port = listening.getsockname()[1]
        folder = tmp_path / "run"
        folder.mkdir()
        fresh = config(endpoint_update(5, entry("s2", fake.address)), management=f"{HOST}:0")
        stale = config(endpoint_update(1, entry("s1", gone.address)), management=f"{HOST}:0")
        shared = {"inherited": listening, "folder": folder}
        async with (
            Process(tmp_path / "a", fresh, **shared) as old,
            Process(tmp_path / "b", stale, **shared) as new,
        ):
            old.process.kill()  # at any moment, with its file left behind
            await old.process.wait()
            for n in range(5):
                assert (await send_request(port, http_request("order", f"id{n}"))).code == 200
            async with Process(tmp_path / "c", stale, **shared) as newest:
                assert len(os.listdir(folder)) == 2  # the killed one's is gone
                new.process.send_signal(signal.SIGTERM)
                for n in range(50):
                    assert (await send_request(port, http_request("order", f"more{n}"))).code == 200
                assert await new.process.wait() == 0
                assert (
                    await send_request(newest.operators, b"GET /healthcheck HTTP/1.1\r\n\r\n")
                ).code == 200
                assert len(os.listdir(folder)) == 1
        assert not gone.received and len(fake.received) == 55
        listening.close()

    run(play())


@pytest.fixture
def recorded():
    """The greeting of a process of the version before the modules were renamed (commit e51ca60)."""
    return RECORDED.read_bytes()


def test_a_greeting_of_the_version_before_is_inherited(tmp_path, recorded):
    async def play():
        async def greet(reader, writer):
            writer.write(recorded)
            await reader.read()
            writer.close()

        server = await asyncio.start_unix_server(greet, str(tmp_path / "sidecar-14024.sock"))
        async with process(tmp_path, 1) as (hot_restart, inherited):
            assert hot_restart.processes == 1
            update = parse_endpoint_update(inherited, EndpointIds(["a", "b"], ["std"]))
            assert update.version == 7 and update.complete
            endpoints = [record.endpoint for record in update.entries]
            assert [record.name for record in update.entries] == ["s1", "s2", "s3"]
            assert [one.state for one in endpoints] == [State.READY, State.DRAINING, State.READY]
            assert [(one.cell, one.zone, one.weight) for one in endpoints] == [
                (3, 1, 1.0),
                (1, 0, 1.0),
                (1, 0, 0.5),
            ]
            assert update.entries[0].since_ms == 5 and endpoints[0].started_ns == 5_000_000
            assert hot_restart.known_clients == [[["127.0.0.1", 7.983476327330779]]]
            descriptors = hot_restart.usage.descriptors
            assert (descriptors.others_in_use, descriptors.others_connected) == (2, 1)
        server.close()

    run(play())


def test_a_greeting_has_the_form_of_the_version_before_byte_for_byte(recorded):
    greeting = json.loads(recorded)
    names = EndpointIds(["a", "b"], ["std"])
    update = parse_endpoint_update(greeting["list"], names)
    written = format_endpoint_list(update.version, update.entries, names)
    assert format_greeting(14024, Inheritance(written, greeting["known"]), (2, 1, 0)) == recorded
    assert format_usage((2, 1, 0)) == b'{"holds":[2,1,0]}\n'
