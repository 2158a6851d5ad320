"""Several processes that are one sidecar: what they hand over, what they count, and how they part."""

import asyncio
import contextlib
import os
import signal
import socket

import pytest
from net_helpers import HOST, Fake, answer_ok, ask, config, entry, message, news, run, until
from test_process import Process

from ochreflow.app.overlap import Overlap
from ochreflow.core.endpoints import EndpointIds
from ochreflow.core.limits import MB, Descriptors, Memory, Usage
from ochreflow.membership.endpoint_list import format_endpoint_list, parse_endpoint_update

pytestmark = pytest.mark.xdist_group("processes")


def usage(sockets=384, memory=80):
    return Usage(Descriptors(sockets), Memory(memory * MB))


@contextlib.asynccontextmanager
async def process(folder, pid, listed=None):
    """A process of a sidecar as the others see it: its overlap, and the list it was handed."""
    overlap = Overlap(asyncio.get_running_loop(), str(folder), usage(), lambda: listed, pid)
    handed = await overlap.start()
    try:
        yield overlap, handed
    finally:
        overlap.close()


def test_a_new_process_is_handed_the_list_and_both_count_as_one(tmp_path):
    async def play():
        async with process(tmp_path, 1, {"index": 5}) as (old, handed):
            assert handed is None and old.usage.descriptors.limit == 334
            old.usage.descriptors.in_use = old.usage.descriptors.connected = 100
            old.usage.memory.reserved_bytes = MB
            async with process(tmp_path, 2, {"index": 5}) as (new, handed):
                assert handed == {"index": 5}
                assert old.processes == new.processes == 1
                limits = new.usage.descriptors
                assert limits.limit == 284 and limits.others_in_use == 100 and limits.max_clients == 94
                assert new.usage.memory.others_reserved_bytes == MB
                limits.in_use = 184
                assert limits.full
                await until(lambda: old.usage.descriptors.others_in_use == 184)
                assert old.usage.descriptors.full
                async with process(tmp_path, 3) as (third, _):
                    assert third.processes == 2 and third.usage.descriptors.limit == 234
                    await until(lambda: old.processes == new.processes == 2)
                await until(lambda: old.processes == new.processes == 1)
            await until(lambda: old.processes == 0)
            assert old.usage.descriptors.limit == 334 and old.usage.descriptors.others_in_use == 0
        assert not list(tmp_path.iterdir())

    run(play())


def test_what_was_left_behind_does_no_harm(tmp_path):
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
        async with process(tmp_path, 1) as (overlap, handed):
            assert handed is None
            await until(lambda: not overlap.links)
            assert overlap.processes == 0 and not (tmp_path / "sidecar-7.sock").exists()
        server.close()

    run(play())


def test_a_peer_that_says_nothing_does_not_keep_a_new_process_waiting(tmp_path):
    async def play():
        silent = socket.socket(socket.AF_UNIX)
        silent.bind(str(tmp_path / "sidecar-9.sock"))
        silent.listen()
        async with process(tmp_path, 1) as (overlap, handed):
            assert handed is None and overlap.processes == 0
        silent.close()

    run(play())


def test_the_list_that_is_handed_over_reads_as_it_was():
    names = EndpointIds(["a", "b"], ["std"])
    told = news(
        7,
        entry("s1", "127.0.0.1:1", since_ms=5, group=3, zone="b"),
        entry("s2", "127.0.0.1:2", status="DRAINING"),
    )
    assert format_endpoint_list(7, parse_endpoint_update(told, names).entries, names) == told


def test_a_new_process_knows_what_the_old_one_was_told(tmp_path):
    """Its own configuration names a server that has left; the old process knows the present one."""

    async def play():
        fake = await Fake(answer_ok).start()
        gone = await Fake(answer_ok).start()
        listening = socket.create_server((HOST, 0))
        port = listening.getsockname()[1]
        folder = tmp_path / "run"
        folder.mkdir()
        fresh = config(news(5, entry("s2", fake.address)), management=f"{HOST}:0")
        stale = config(news(1, entry("s1", gone.address)), management=f"{HOST}:0")
        handed = {"inherited": listening, "folder": folder}
        async with (
            Process(tmp_path / "a", fresh, **handed) as old,
            Process(tmp_path / "b", stale, **handed) as new,
        ):
            old.process.kill()  # at any moment, with its file left behind
            await old.process.wait()
            for n in range(5):
                assert (await ask(port, message("order", f"id{n}"))).code == 200
            async with Process(tmp_path / "c", stale, **handed) as newest:
                assert len(os.listdir(folder)) == 2  # the killed one's is gone
                new.process.send_signal(signal.SIGTERM)
                for n in range(50):
                    assert (await ask(port, message("order", f"more{n}"))).code == 200
                assert await new.process.wait() == 0
                assert (await ask(newest.operators, b"GET /healthcheck HTTP/1.1\r\n\r\n")).code == 200
                assert len(os.listdir(folder)) == 1
        assert not gone.got and len(fake.got) == 55
        listening.close()

    run(play())
