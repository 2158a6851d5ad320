"""Hot restart: what the processes of one sidecar hand over, how they share limits, and how they end."""

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
async def process(shared_dir, process_id, endpoint_list=None):
    """One process of a sidecar: its `HotRestart`, and the endpoint list that it inherited."""
    inheritance = Inheritance(endpoint_list, None)
    loop = asyncio.get_running_loop()
    hot_restart = HotRestart(loop, str(shared_dir), usage(), lambda: inheritance, process_id)
    inherited = await hot_restart.start()
    try:
        yield hot_restart, inherited
    finally:
        hot_restart.close()


def test_a_new_process_inherits_the_endpoint_list_and_shares_the_limits(tmp_path):
    async def scenario():
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

    run(scenario())


def test_two_processes_with_the_same_pid_are_told_apart(tmp_path, monkeypatch):
    """Guards against a process that removes the socket of one with its pid, as in two pid namespaces."""
    monkeypatch.setattr("os.getpid", lambda: 1)

    async def scenario():
        async with process(tmp_path, None, {"index": 5}) as (old, _):
            assert await claim(old, "open")
            async with process(tmp_path, None) as (new, inherited):
                assert inherited == {"index": 5}
                assert old.processes == new.processes == 1
                assert not await claim(new, "open")
            await wait_until(lambda: old.processes == 0)

    run(scenario())


def test_a_process_with_the_pid_of_one_that_has_ended_is_not_taken_for_it(tmp_path, monkeypatch):
    """Guards against ids that stay in use, or are free too early, since their owner seems to run on."""
    monkeypatch.setattr("os.getpid", lambda: 7)

    async def scenario():
        async with process(tmp_path, None) as (old, _):
            async with process(tmp_path, None) as (first, _):
                assert await claim(first, "open")
                await wait_until(lambda: not old.sharing.registries.of("http").claim(b"open"))
            async with process(tmp_path, None) as (second, _):
                await wait_until(lambda: old.processes == second.processes == 1)
                registry = old.sharing.registries.of("http")
                assert second.process_id != first.process_id
                await wait_until(lambda: not registry.owners)
                assert not await claim(second, "open")  # for as long as the id of an ended request is kept

    run(scenario())


async def claim(hot_restart, key):
    """Return whether a process may use a request id."""
    decided = asyncio.get_running_loop().create_future()
    if not hot_restart.sharing.registries.of("http").claim(key.encode()):
        return False
    hot_restart.sharing.claim("http", key, decided.set_result)
    return await asyncio.wait_for(decided, 2.0)


def test_stale_socket_files_and_invalid_greetings_are_ignored(tmp_path):
    """Guards against a start that fails on a killed process's socket, another file or an invalid greeting."""

    async def scenario():
        dead = socket.socket(socket.AF_UNIX)
        dead.bind(str(tmp_path / "sidecar-7.sock"))
        dead.close()
        (tmp_path / "sidecar-8.sock").write_text("no socket")

        async def send_invalid_greeting(reader, writer):
            writer.write(b'{"pid":"x"}\n')
            await reader.read()
            writer.close()

        server = await asyncio.start_unix_server(send_invalid_greeting, str(tmp_path / "sidecar-9.sock"))
        async with process(tmp_path, 1) as (hot_restart, inherited):
            assert inherited is None
            await wait_until(lambda: not hot_restart.links)
            assert hot_restart.processes == 0 and not (tmp_path / "sidecar-7.sock").exists()
        server.close()

    run(scenario())


def test_a_process_starts_although_a_peer_sends_no_greeting(tmp_path):
    async def scenario():
        silent = socket.socket(socket.AF_UNIX)
        silent.bind(str(tmp_path / "sidecar-9.sock"))
        silent.listen()
        async with process(tmp_path, 1) as (hot_restart, inherited):
            assert inherited is None and hot_restart.processes == 0
        silent.close()

    run(scenario())


def test_an_endpoint_list_is_unchanged_by_parsing_and_formatting():
    ids = EndpointIds(["a", "b"], ["std"])
    written = endpoint_update(
        7,
        entry("s1", "127.0.0.1:1", since_ms=5, group=3, zone="b"),
        entry("s2", "127.0.0.1:2", status="DRAINING"),
    )
    assert format_endpoint_list(7, parse_endpoint_update(written, ids).entries, ids) == written


def test_a_new_process_prefers_the_inherited_list_to_its_configuration(tmp_path):
    """Guards against a request to a server that has left and is still named in the configuration."""

    async def scenario():
        present = await FakePeer(answer_ok).start()
        departed = await FakePeer(answer_ok).start()
        listening = socket.create_server((HOST, 0))
        port = listening.getsockname()[1]
        shared_dir = tmp_path / "run"
        shared_dir.mkdir()
        current_config = config(endpoint_update(5, entry("s2", present.address)), management=f"{HOST}:0")
        outdated_config = config(endpoint_update(1, entry("s1", departed.address)), management=f"{HOST}:0")
        shared = {"inherited": listening, "shared_dir": shared_dir}
        async with (
            Process(tmp_path / "a", current_config, **shared) as old,
            Process(tmp_path / "b", outdated_config, **shared) as new,
        ):
            old.process.kill()  # its socket file remains
            await old.process.wait()
            for n in range(5):
                assert (await send_request(port, http_request("order", f"id{n}"))).code == 200
            async with Process(tmp_path / "c", outdated_config, **shared) as newest:
                assert len(os.listdir(shared_dir)) == 2  # the socket file of the killed process is removed
                new.process.send_signal(signal.SIGTERM)
                for n in range(50):
                    assert (await send_request(port, http_request("order", f"more{n}"))).code == 200
                assert await new.process.wait() == 0
                assert (
                    await send_request(newest.management_port, b"GET /healthcheck HTTP/1.1\r\n\r\n")
                ).code == 200
                assert len(os.listdir(shared_dir)) == 1
        assert not departed.received and len(present.received) == 55
        listening.close()

    run(scenario())


@pytest.fixture
def recorded():
    """The greeting of a process of an earlier version (commit e51ca60)."""
    return RECORDED.read_bytes()


def test_a_greeting_of_an_earlier_version_is_accepted(tmp_path, recorded):
    async def scenario():
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
            assert [endpoint.state for endpoint in endpoints] == [State.READY, State.DRAINING, State.READY]
            assert [(endpoint.cell, endpoint.zone, endpoint.weight) for endpoint in endpoints] == [
                (3, 1, 1.0),
                (1, 0, 1.0),
                (1, 0, 0.5),
            ]
            assert update.entries[0].since_ms == 5 and endpoints[0].started_ns == 5_000_000
            assert hot_restart.known_clients == [[["127.0.0.1", 7.983476327330779]]]
            descriptors = hot_restart.usage.descriptors
            assert (descriptors.others_in_use, descriptors.others_connected) == (2, 1)
        server.close()

    run(scenario())


def test_a_greeting_is_byte_for_byte_that_of_an_earlier_version(recorded):
    greeting = json.loads(recorded)
    ids = EndpointIds(["a", "b"], ["std"])
    update = parse_endpoint_update(greeting["list"], ids)
    written = format_endpoint_list(update.version, update.entries, ids)
    assert format_greeting(14024, Inheritance(written, greeting["known"]), (2, 1, 0)) == recorded
    assert format_usage((2, 1, 0)) == b'{"holds":[2,1,0]}\n'
