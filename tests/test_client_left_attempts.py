"""Nothing of an attempt is written once its client has left, wherever the attempt has waited until then.

In each test the end can be read, and the loop has not turned since, in the very turn in which the attempt
would be written. So it is not the reading of the end that keeps it back, but what is asked at its first byte.
"""

import asyncio
import time

import pytest
from disconnecting_clients import (
    DISCONNECT_MODES,
    LOOP_BLOCK_S,
    DelayedConnectLoop,
    Server,
    connect,
    disconnect,
    disconnect_while_loop_blocked,
    sidecar_connection,
)
from net_helpers import Sidecar, config, endpoint_update, entry, http_request, run, send_request, wait_until

from ochreflow.core.body import MAX_BUFFERED_BYTES
from ochreflow.policy import interface as api

pytestmark = pytest.mark.xdist_group("real-time")


async def nothing_open(sidecar):
    await wait_until(lambda: not sidecar.engine.requests.pending and not sidecar.engine.attempts.in_flight)
    await wait_until(lambda: not sidecar.http.clients.connections)


async def warm(sidecar, server):
    """A connection to the server that stands ready: what is sent next is written at once."""
    asked = asyncio.create_task(send_request(sidecar.port, http_request("order", "first")))
    taken = await server.accept()
    await taken.wait_for(b"first")
    taken.answer()
    assert (await asked).code == 200
    await wait_until(lambda: not sidecar.http.clients.connections)


@pytest.mark.parametrize("body", ["none", "half"])
@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_a_connection_that_comes_up_late_is_not_written_to(tmp_path, how, body):
    """With half a body, which is read no further until it can be written: its end lies behind the rest."""

    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            held = sidecar.upstreams.loop = DelayedConnectLoop(asyncio.get_running_loop())
            client = connect(sidecar.port)
            if body == "none":
                client.sendall(http_request("order", "gone"))
            else:
                whole = http_request("order", "gone", "3000m", bytes(2 * MAX_BUFFERED_BYTES))
                client.sendall(whole[: -MAX_BUFFERED_BYTES // 2])
            taken = await server.accept()
            await wait_until(lambda: sidecar.engine.requests.pending)
            front = sidecar_connection(sidecar, client)
            if body == "half":
                await wait_until(lambda: front.paused)
                client.sendall(whole[-MAX_BUFFERED_BYTES // 2 :])
            held.before_use = lambda: disconnect_while_loop_blocked(sidecar, client, how)
            held.connect_allowed.set()
            await nothing_open(sidecar)
            taken.read_available()
            assert not taken.received
            client.close()
        server.close()

    run(play())


@pytest.mark.parametrize("first", ["answer", "end"])
@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_a_connection_that_comes_free_is_not_written_to(tmp_path, how, first):
    """It waits for a connection of its own in the pool, and takes the one whose answer comes in this turn."""

    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            asked = asyncio.create_task(send_request(sidecar.port, http_request("order", "first")))
            taken = await server.accept()
            await taken.wait_for(b"first")
            held = sidecar.upstreams.loop = DelayedConnectLoop(asyncio.get_running_loop())
            client = connect(sidecar.port)
            client.sendall(http_request("order", "gone"))
            await wait_until(lambda: any(target.opening for target in sidecar.upstreams.targets.values()))
            if first == "answer":
                taken.answer()
            disconnect_while_loop_blocked(sidecar, client, how)
            if first == "end":
                taken.answer()
            assert (await asked).code == 200
            await nothing_open(sidecar)
            held.connect_allowed.set()
            await wait_until(lambda: not any(target.opening for target in sidecar.upstreams.targets.values()))
            assert b"gone" not in server.read_all()
            client.close()
        server.close()

    run(play())


@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_a_delayed_repeat_is_not_written(tmp_path, how):
    """Its bell rings in the turn that begins after the loop was blocked, before any socket is read."""

    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client = connect(sidecar.port)
            client.sendall(http_request("lookup", "gone"))
            taken = await server.accept()
            await taken.wait_for(b"gone")
            bells = []
            sidecar.engine.actions.set_timer = bells.append
            taken.answer(503, "X-Not-Run: 1")
            await wait_until(lambda: bells)
            # It waits for its repeat, which will find a connection that stands ready.
            assert sidecar.engine.requests.pending and not sidecar.engine.attempts.in_flight
            disconnect_while_loop_blocked(sidecar, client, how)
            for bell in bells:
                sidecar.engine.dispatcher.dispatch(api.Timer(bell.token))
            await nothing_open(sidecar)
            assert server.read_all().count(b"gone") == 1
            client.close()
        server.close()

    run(play())


@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_what_is_taken_up_and_left_in_one_turn_is_not_written(tmp_path, how):
    """It was taken while its client was there; the decision took long."""

    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            await warm(sidecar, server)
            client = connect(sidecar.port)
            handle = sidecar.engine.balancer.handle

            def slowly(now, event):
                if isinstance(event, api.Request):
                    disconnect(client, how)
                    time.sleep(LOOP_BLOCK_S)
                return handle(now, event)

            sidecar.engine.balancer.handle = slowly
            client.sendall(http_request("order", "gone"))
            await wait_until(lambda: client.fileno() < 0 or sidecar.engine.requests.next_id > 2)
            await nothing_open(sidecar)
            assert b"gone" not in server.read_all()
            client.close()
        server.close()

    run(play())
