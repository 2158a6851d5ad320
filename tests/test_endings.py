"""Clients that disconnect and the end of a process: a fake server holds each race open until its moment."""

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

SOON = 2.0  # seconds: the rule wants 0.3 from the leaving to the last send, the deadline would end all at 3


async def leave(writer, how):
    if how == "reset":
        reset(writer)
    elif how == "half-close":
        writer.write_eof()
    else:
        writer.close()


@pytest.mark.parametrize("how", ["close", "reset", "half-close"])
def test_a_queued_request_is_not_sent_once_its_client_has_disconnected_unread(tmp_path, how):
    """So many wait that the client is read no further: its end lies behind bytes that nobody reads."""

    async def play():
        async def hold(message, reader, writer):
            await go.wait()
            writer.write(http_response(200, b"late"))

        go = asyncio.Event()
        fake = await FakePeer(hold).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            _, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(b"".join(http_request("order", f"id{n}") for n in range(MAX_PIPELINED_REQUESTS + 4)))
            clients = sidecar.http.clients
            await wait_until(lambda: fake.received and all(client.paused for client in clients.connections))
            # More than is read of it now, so that the end is behind unread bytes in any case.
            writer.write(b"".join(http_request("order", f"more{n}") for n in range(400)))
            await writer.drain()
            await leave(writer, how)
            async with asyncio.timeout(SOON):
                await wait_until(lambda: not clients.connections, "its client is known to have left")
            go.set()
            assert (await send_request(sidecar.port, http_request("order", "other"))).code == 200
        assert [got.headers["x-request-id"] for got in fake.received] == ["id0", "other"]
        writer.close()

    run(play())


@pytest.mark.parametrize("how", ["close", "half-close"])
def test_a_request_whose_client_disconnected_before_it_was_accepted_is_not_sent(tmp_path, how):
    """It lies in the backlog of the listening socket, whole, with its client's end behind it."""

    async def play():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            # A connection to the server stands idle: what is taken is written at once.
            assert (await send_request(sidecar.port, http_request("order", "first"))).code == 200
            with socket.create_server((HOST, 0)) as listener:
                port = listener.getsockname()[1]
                _, writer = await asyncio.open_connection(HOST, port)
                writer.write(http_request("order", "gone"))
                await writer.drain()
                await leave(writer, how)
                arrived = []

                def connection():
                    arrived.append(sidecar.http.connection())
                    return arrived[-1]

                server = await asyncio.get_running_loop().create_server(connection, sock=listener)
                await wait_until(lambda: arrived and arrived[0].closed)
                server.close()
            assert (await send_request(sidecar.port, http_request("order", "other"))).code == 200
        assert [got.headers["x-request-id"] for got in fake.received] == ["first", "other"]
        writer.close()

    run(play())


def test_a_partly_written_request_is_truncated_when_its_client_disconnects_even_without_cancellation(
    tmp_path,
):
    async def play():
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
            async with asyncio.timeout(SOON):
                await wait_until(
                    lambda: not sidecar.engine.requests.pending and not sidecar.engine.attempts.in_flight
                )
            (upstream_attempt,) = next(iter(upstream_attempts.values()))
            assert upstream_attempt.observer is None and upstream_attempt.transport.is_closing()

    run(play())


def test_a_request_that_comes_after_all_pending_ones_were_answered_gets_its_answer_too(tmp_path, monkeypatch):
    """The server hangs; the client whose answer the end gave at once sends again on another connection."""
    monkeypatch.setattr(lifecycle, "ANSWER_BEFORE_KILL_S", 4.6)  # 0.1 s after SIGTERM with deadlines of 4 s
    monkeypatch.setattr(lifecycle, "MAX_DEADLINE_S", 4.0)

    async def play():
        async def hang(message, reader, writer):
            await reader.read()

        fake = await FakePeer(hang).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            open_before = await asyncio.open_connection(HOST, sidecar.port)
            pending = asyncio.create_task(send_request(sidecar.port, http_request("order", "held")))
            await wait_until(lambda: fake.received)
            await wait_until(lambda: len(sidecar.http.clients.connections) == 2)
            sidecar.engine.lifecycle.terminate()
            assert (await pending).code in (502, 504)
            open_before[1].write(http_request("order", "again"))
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                got = await read_message(open_before[0])
            assert got.code == 503 and not sidecar.engine.requests.pending
            assert sidecar.engine.lifecycle.stopped.done() is False  # answered before, not by the end
            open_before[1].close()
        assert len(fake.received) == 1

    run(play())


def test_an_answer_that_is_written_in_the_last_loop_iteration_still_reaches_its_client(tmp_path):
    async def play():
        async def hang(message, reader, writer):
            await reader.read()

        fake = await FakePeer(hang).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            pending = asyncio.create_task(send_request(sidecar.port, http_request("order", "held")))
            await wait_until(lambda: fake.received)
            sidecar.engine.lifecycle.answer_pending()  # what it writes waits for the turn to end
            sidecar.close()
            assert (await pending).code in (502, 504)

    run(play())
