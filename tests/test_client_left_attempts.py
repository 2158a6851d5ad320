"""No byte of an attempt is written after its client's disconnect, wherever the attempt has waited before.

In each test the EOF becomes readable in the loop iteration in which the attempt would be written. So the
attempt is not stopped by reading the EOF, but by the check at its first byte.
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


async def wait_until_idle(sidecar):
    await wait_until(lambda: not sidecar.engine.requests.pending and not sidecar.engine.attempts.in_flight)
    await wait_until(lambda: not sidecar.http.clients.connections)


async def open_idle_connection(sidecar, server):
    """Open an idle connection to the server, so that the next attempt is written at once."""
    first_answer = asyncio.create_task(send_request(sidecar.port, http_request("order", "first")))
    server_connection = await server.accept()
    await server_connection.wait_for(b"first")
    server_connection.answer()
    assert (await first_answer).code == 200
    await wait_until(lambda: not sidecar.http.clients.connections)


@pytest.mark.parametrize("body", ["none", "half"])
@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_an_attempt_is_not_written_if_its_client_disconnects_during_a_slow_connect(tmp_path, how, body):
    """With half a body, the sidecar stops reading until it can write; the EOF is behind the body's rest."""

    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            delayed_loop = sidecar.upstreams.loop = DelayedConnectLoop(asyncio.get_running_loop())
            client = connect(sidecar.port)
            if body == "none":
                client.sendall(http_request("order", "disconnected"))
            else:
                message = http_request("order", "disconnected", "3000m", bytes(2 * MAX_BUFFERED_BYTES))
                client.sendall(message[: -MAX_BUFFERED_BYTES // 2])
            server_connection = await server.accept()
            await wait_until(lambda: sidecar.engine.requests.pending)
            connection = sidecar_connection(sidecar, client)
            if body == "half":
                await wait_until(lambda: connection.paused)
                client.sendall(message[-MAX_BUFFERED_BYTES // 2 :])
            delayed_loop.before_use = lambda: disconnect_while_loop_blocked(sidecar, client, how)
            delayed_loop.connect_allowed.set()
            await wait_until_idle(sidecar)
            server_connection.read_available()
            assert not server_connection.received
            client.close()
        server.close()

    run(scenario())


@pytest.mark.parametrize("first", ["answer", "end"])
@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_an_attempt_is_not_written_to_a_connection_that_becomes_free_after_a_disconnect(tmp_path, how, first):
    """An attempt that waits for its connect may take a connection whose answer arrives in this iteration."""

    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            first_answer = asyncio.create_task(send_request(sidecar.port, http_request("order", "first")))
            server_connection = await server.accept()
            await server_connection.wait_for(b"first")
            delayed_loop = sidecar.upstreams.loop = DelayedConnectLoop(asyncio.get_running_loop())
            client = connect(sidecar.port)
            client.sendall(http_request("order", "disconnected"))
            await wait_until(lambda: any(target.waiting for target in sidecar.upstreams.targets.values()))
            if first == "answer":
                server_connection.answer()
            disconnect_while_loop_blocked(sidecar, client, how)
            if first == "end":
                server_connection.answer()
            assert (await first_answer).code == 200
            await wait_until_idle(sidecar)
            delayed_loop.connect_allowed.set()
            await wait_until(lambda: not any(target.waiting for target in sidecar.upstreams.targets.values()))
            assert b"disconnected" not in server.read_all()
            client.close()
        server.close()

    run(scenario())


@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_a_delayed_retry_is_not_written_after_a_disconnect(tmp_path, how):
    """The retry timer fires in the first iteration after the loop was blocked, before any socket is read."""

    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client = connect(sidecar.port)
            client.sendall(http_request("lookup", "disconnected"))
            server_connection = await server.accept()
            await server_connection.wait_for(b"disconnected")
            timers = []
            sidecar.engine.actions.set_timer = timers.append
            server_connection.answer(503, "X-Not-Run: 1")
            await wait_until(lambda: timers)
            # The request waits for its retry, for which an idle connection exists.
            assert sidecar.engine.requests.pending and not sidecar.engine.attempts.in_flight
            disconnect_while_loop_blocked(sidecar, client, how)
            for timer in timers:
                sidecar.engine.dispatcher.dispatch(api.Timer(timer.token))
            await wait_until_idle(sidecar)
            assert server.read_all().count(b"disconnected") == 1
            client.close()
        server.close()

    run(scenario())


@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_an_attempt_is_not_written_if_its_client_disconnects_during_the_decision(tmp_path, how):
    """The client was connected when its request was accepted; the decision took long."""

    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            await open_idle_connection(sidecar, server)
            client = connect(sidecar.port)
            handle = sidecar.engine.balancer.handle

            def disconnect_and_handle(now, event):
                if isinstance(event, api.Request):
                    disconnect(client, how)
                    time.sleep(LOOP_BLOCK_S)
                return handle(now, event)

            sidecar.engine.balancer.handle = disconnect_and_handle
            client.sendall(http_request("order", "disconnected"))
            await wait_until(lambda: client.fileno() < 0 or sidecar.engine.requests.next_id > 2)
            await wait_until_idle(sidecar)
            assert b"disconnected" not in server.read_all()
            client.close()
        server.close()

    run(scenario())
