"""Client disconnects and process shutdown, each at a fixed point of a request that a fake server delays."""

import asyncio
import socket

import pytest
from line_frontend import DualProtocolServer, LineClient, LineFrontend
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

from ochreflow.core import lifecycle
from ochreflow.http.request_reader import MAX_PIPELINED_REQUESTS

# In seconds. The protocol allows 0.3 s from a disconnect to the last send; the deadline is at 3 s.
DISCONNECT_TIMEOUT_S = 2.0


async def disconnect(writer, how):
    if how == "reset":
        reset(writer)
    elif how == "half-close":
        writer.write_eof()
    else:
        writer.close()


@pytest.mark.parametrize("how", ["close", "reset", "half-close"])
def test_queued_requests_are_not_sent_after_an_unread_disconnect(tmp_path, how):
    """The client's connection is paused since its pipeline is full: its EOF is behind unread bytes."""

    async def scenario():
        async def answer_when_allowed(message, reader, writer):
            await answer_allowed.wait()
            writer.write(http_response(200, b"late"))

        answer_allowed = asyncio.Event()
        fake = await FakePeer(answer_when_allowed).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            _, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(b"".join(http_request("order", f"id{n}") for n in range(MAX_PIPELINED_REQUESTS + 4)))
            clients = sidecar.http.clients
            await wait_until(lambda: fake.received and all(client.paused for client in clients.connections))
            # More than the sidecar reads now, so that the EOF is certainly behind unread bytes.
            writer.write(b"".join(http_request("order", f"more{n}") for n in range(400)))
            await writer.drain()
            await disconnect(writer, how)
            async with asyncio.timeout(DISCONNECT_TIMEOUT_S):
                await wait_until(lambda: not clients.connections, "the client's disconnect is detected")
            answer_allowed.set()
            assert (await send_request(sidecar.port, http_request("order", "other"))).code == 200
        assert [request.headers["x-request-id"] for request in fake.received] == ["id0", "other"]
        writer.close()

    run(scenario())


@pytest.mark.parametrize("how", ["close", "half-close"])
def test_a_request_is_not_sent_if_its_client_disconnected_before_accept(tmp_path, how):
    """The complete request and the client's EOF are in the backlog of the listening socket."""

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            # An idle connection to the server exists, so an accepted request is written at once.
            assert (await send_request(sidecar.port, http_request("order", "first"))).code == 200
            with socket.create_server((HOST, 0)) as listener:
                port = listener.getsockname()[1]
                _, writer = await asyncio.open_connection(HOST, port)
                writer.write(http_request("order", "disconnected"))
                await writer.drain()
                await disconnect(writer, how)
                connections = []

                def make_connection():
                    connections.append(sidecar.http.connection())
                    return connections[-1]

                server = await asyncio.get_running_loop().create_server(make_connection, sock=listener)
                await wait_until(lambda: connections and connections[0].closed)
                server.close()
            assert (await send_request(sidecar.port, http_request("order", "other"))).code == 200
        assert [request.headers["x-request-id"] for request in fake.received] == ["first", "other"]
        writer.close()

    run(scenario())


def test_a_partly_written_request_is_truncated_on_disconnect_even_if_cancelling_is_disabled(
    tmp_path,
):
    async def scenario():
        server = await DualProtocolServer(lambda name: "ok").start()
        data = config(endpoint_update(1, entry("s1", server.address)))
        data["settings"]["ceilings"]["cancel"] = False
        async with Sidecar(tmp_path / "c", data) as sidecar:
            loop = asyncio.get_running_loop()
            lines = LineFrontend(sidecar.engine, loop)
            lines.upstream_transport.partial_writes = True
            lines.server = await loop.create_server(lambda: LineClient(lines), HOST, 0)
            _, writer = await asyncio.open_connection(HOST, lines.server.sockets[0].getsockname()[1])
            writer.write(b"order half 3000\n")
            upstream_attempts = lines.upstream_transport.waiting
            await wait_until(
                lambda: any(
                    upstream_attempt.begun for made in upstream_attempts.values() for upstream_attempt in made
                )
            )
            writer.close()
            async with asyncio.timeout(DISCONNECT_TIMEOUT_S):
                await wait_until(
                    lambda: not sidecar.engine.requests.pending and not sidecar.engine.attempts.in_flight
                )
            (upstream_attempt,) = next(iter(upstream_attempts.values()))
            assert upstream_attempt.observer is None and upstream_attempt.transport.is_closing()

    run(scenario())


def test_a_request_after_the_final_answers_at_shutdown_is_answered(tmp_path, monkeypatch):
    """The server never answers; the client sends again on another connection after its final response.

    No timer is left that would answer such a request before the process exits.
    """
    monkeypatch.setattr(lifecycle, "ANSWER_BEFORE_KILL_S", 4.6)  # 0.1 s after SIGTERM, for deadlines of 4 s
    monkeypatch.setattr(lifecycle, "MAX_DEADLINE_S", 4.0)

    async def scenario():
        async def hang(message, reader, writer):
            await reader.read()

        fake = await FakePeer(hang).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            idle_client = await asyncio.open_connection(HOST, sidecar.port)
            pending = asyncio.create_task(send_request(sidecar.port, http_request("order", "pending")))
            await wait_until(lambda: fake.received)
            await wait_until(lambda: len(sidecar.http.clients.connections) == 2)
            sidecar.engine.lifecycle.terminate()
            assert (await pending).code in (502, 504)
            idle_client[1].write(http_request("order", "again"))
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                response = await read_message(idle_client[0])
            assert response.code == 503 and not sidecar.engine.requests.pending
            assert sidecar.engine.lifecycle.stopped.done() is False  # answered before the process stops
            idle_client[1].close()
        assert len(fake.received) == 1

    run(scenario())


def test_an_answer_written_in_the_last_loop_iteration_reaches_the_client(tmp_path):
    async def scenario():
        async def hang(message, reader, writer):
            await reader.read()

        fake = await FakePeer(hang).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            pending = asyncio.create_task(send_request(sidecar.port, http_request("order", "pending")))
            await wait_until(lambda: fake.received)
            sidecar.engine.lifecycle.answer_pending()  # its bytes are flushed at the end of this iteration
            sidecar.close()
            assert (await pending).code in (502, 504)

    run(scenario())
