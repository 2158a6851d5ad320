"""A client that has left is noticed wherever its end hides, by its connection alone.

The end lies where no reader of the loop looks: in a loop that is busy, behind bytes that are not read, behind
a whole request in the backlog. What is asked as an attempt is written is in `test_client_left_attempts`.
"""

import asyncio
import socket
import time

import pytest
from disconnecting_clients import (
    ATTEMPT_START_LIMIT_S,
    DISCONNECT_MODES,
    LOOP_BLOCK_S,
    Server,
    block_until_eof_readable,
    connect,
    disconnect,
    disconnect_while_loop_blocked,
    sidecar_connection,
)
from net_helpers import (
    HOST,
    Sidecar,
    config,
    endpoint_update,
    entry,
    http_request,
    http_response,
    run,
    send_request,
    wait_until,
)

from ochreflow.core.body import MAX_BUFFERED_BYTES
from ochreflow.http import closing_connection
from ochreflow.http.acceptor import Acceptor
from ochreflow.http.request_reader import MAX_PIPELINED_REQUESTS
from ochreflow.http.socket_progress import DISCONNECT_POLL_INTERVAL_S, DisconnectMonitor

pytestmark = pytest.mark.xdist_group("real-time")

FLOWING = 2 * MAX_BUFFERED_BYTES  # bytes of a body that goes on to its server while it comes
# more than is read while one waits
PIPELINED = b"".join(http_request("order", f"more{n}") for n in range(400))


async def behind_one(sidecar, server, sent=b""):
    """A client whose first request the server holds, with what it sent after that, and the server's side."""
    client = connect(sidecar.port)
    client.sendall(http_request("order", "held") + sent)
    taken = await server.accept()
    await taken.wait_for(b"held")
    return client, taken


async def paused(sidecar, server):
    """The same with so many behind it that the client is read no further."""
    client, taken = await behind_one(sidecar, server)
    front = sidecar_connection(sidecar, client)
    client.sendall(b"".join(http_request("order", f"id{n}") for n in range(MAX_PIPELINED_REQUESTS)))
    await wait_until(lambda: front.paused)
    client.sendall(PIPELINED)
    return client, taken, front


@pytest.mark.parametrize("how", DISCONNECT_MODES)
@pytest.mark.parametrize("where", ["unread", "behind bytes", "paused"])
def test_whether_a_client_has_left_is_known_in_the_instant_of_asking(tmp_path, where, how):
    """The loop has not turned since: the end lies in the socket, and nothing has told of it."""

    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            if where == "paused":
                client, _, front = await paused(sidecar, server)
            else:
                client, _ = await behind_one(sidecar, server)
                front = sidecar_connection(sidecar, client)
            call = front.current
            if where == "behind bytes":
                client.sendall(PIPELINED)
            assert not front.is_disconnected(call) and not front.transport.is_closing()  # it is there still
            disconnect(client, how)
            block_until_eof_readable(front)
            assert front.is_disconnected(call) and front.transport.is_closing()
            assert front.is_disconnected(call)  # asked again before the loop has turned, too
            await wait_until(
                lambda: not sidecar.engine.requests.pending and not sidecar.http.clients.connections
            )
            assert front.is_disconnected(call)  # ... and by an attempt that comes later still
            client.close()
        server.close()

    run(play())


@pytest.mark.parametrize("after", ["look", "sweep"])
@pytest.mark.parametrize("turn", [0.0, 0.02], ids=["idle", "busy"])
@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_the_end_of_a_client_that_is_not_read_is_seen_within_half_of_the_time(tmp_path, how, turn, after):
    """Before a bell that is set as the end can be read has rung, also where each turn of the loop is long.

    The client leaves just after somebody has looked. Bells ring in the order of their times, so a machine
    that stands still for a while changes nothing.
    """

    async def play():
        server = Server()
        loop = asyncio.get_running_loop()

        def work():
            time.sleep(turn)
            loop.call_soon(work)

        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client, taken, front = await paused(sidecar, server)
            if turn:
                work()
            left = loop.create_future()
            looking, name = (
                (sidecar.http, "sweep") if after == "sweep" else (sidecar.http.disconnect_monitor, "_poll")
            )
            look = getattr(looking, name)

            def look_and_leave():
                look()
                setattr(looking, name, look)
                disconnect(client, how)
                block_until_eof_readable(front)
                loop.call_later(
                    ATTEMPT_START_LIMIT_S / 2, lambda: left.set_result(front.transport.is_closing())
                )

            setattr(looking, name, look_and_leave)
            assert await left
            await wait_until(lambda: not sidecar.engine.requests.pending)
            client.close()
            taken.read_available()
            assert taken.received.count(b"X-Request-Id") == 1
        server.close()

    run(play())


@pytest.mark.parametrize("first", ["answer", "end"])
@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_what_waits_behind_others_is_not_sent_once_its_client_has_left(tmp_path, how, first):
    """The answer before it and the end come in one turn, in either order."""

    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client, taken = await behind_one(sidecar, server, http_request("order", "gone"))
            await wait_until(lambda: sidecar_connection(sidecar, client).queue)
            if first == "answer":
                taken.answer()
            disconnect_while_loop_blocked(sidecar, client, how)
            if first == "end":
                taken.answer()
            await wait_until(
                lambda: not sidecar.http.clients.connections and not sidecar.engine.attempts.in_flight
            )
            assert b"gone" not in server.read_all()
            client.close()
        server.close()

    run(play())


@pytest.mark.parametrize("accepts", ["loop", "own"])
@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_a_request_that_was_left_while_the_loop_was_blocked_is_not_sent(tmp_path, how, accepts):
    """It lies in the backlog with its client's end behind it; a connection to the server stands ready."""

    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            port = sidecar.port
            if accepts == "own":
                sock = Server().listening
                port = sock.getsockname()[1]
                clients = sidecar.http.clients
                loop = asyncio.get_running_loop()
                sidecar.http.listen(Acceptor(loop, sock, sidecar.http.connection, clients))
            asked = asyncio.create_task(send_request(port, http_request("order", "first")))
            taken = await server.accept()
            await taken.wait_for(b"first")
            taken.answer()
            assert (await asked).code == 200
            await wait_until(lambda: not sidecar.http.clients.connections)

            client = connect(port)
            client.sendall(http_request("order", "gone"))
            disconnect(client, how)
            time.sleep(LOOP_BLOCK_S)
            after = asyncio.create_task(send_request(port, http_request("order", "other")))
            await taken.wait_for(b"other")  # accepted after it
            taken.answer()
            assert (await after).code == 200
            assert b"gone" not in server.read_all()
            client.close()
        server.close()

    run(play())


@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_a_body_that_flows_is_not_completed_once_its_client_has_left(tmp_path, how):
    """Its last piece and the end come in one turn: what never was whole at the server has not run."""

    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client = connect(sidecar.port)
            client.sendall(http_request("order", "big", "3000m", b"a" * FLOWING + b"last")[: -len(b"last")])
            taken = await server.accept()
            await wait_until(lambda: taken.read_available() or taken.received.endswith(b"a" * FLOWING))
            client.sendall(b"last")
            disconnect_while_loop_blocked(sidecar, client, how)
            await wait_until(
                lambda: not sidecar.engine.requests.pending and not sidecar.engine.attempts.in_flight
            )
            await wait_until(lambda: taken.read_available() or taken.ended)
            assert b"big" in taken.received and b"last" not in taken.received
            assert sidecar.engine.stats.forwards == 0
            client.close()
        server.close()

    run(play())


def test_looking_for_ends_costs_nothing_while_all_are_read_and_one_call_otherwise(tmp_path, monkeypatch):
    """The price of the short time between two looks."""

    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            watch = sidecar.http.disconnect_monitor
            client, _ = await behind_one(sidecar, server)
            assert watch.timer is None and not watch.fds
            front = sidecar_connection(sidecar, client)
            client.sendall(b"".join(http_request("order", f"id{n}") for n in range(MAX_PIPELINED_REQUESTS)))
            await wait_until(lambda: front.paused)
            assert len(watch.fds) == len(watch.callbacks) == 1
            await asyncio.sleep(3 * DISCONNECT_POLL_INTERVAL_S)
            assert watch.timer is not None and not front.transport.is_closing()
            client.close()
            await wait_until(lambda: watch.timer is None)
            assert not watch.fds and not watch.callbacks and not watch.poller.poll(0)
        server.close()

    run(play())


def test_a_transport_is_watched_until_it_is_removed_and_one_that_is_told_may_remove_others():
    async def play():
        loop = asyncio.get_running_loop()
        watch, told = DisconnectMonitor(loop), []
        server = Server()
        ends = [connect(server.listening.getsockname()[1]) for _ in range(3)]
        transports = []
        for _ in ends:
            taken = await server.accept()
            transports.append((await loop.connect_accepted_socket(asyncio.Protocol, taken.sock))[0])
            transports[-1].pause_reading()

        def tell(transport):
            told.append(transport)
            for one in transports[:2]:
                watch.remove(one)

        for transport in transports:
            watch.add(transport, lambda transport=transport: tell(transport))
        for end in ends[:2]:
            end.close()
        await wait_until(lambda: told)
        await asyncio.sleep(2 * DISCONNECT_POLL_INTERVAL_S)
        assert len(told) == 1 and told[0] in transports[:2]
        assert list(watch.fds) == transports[2:]
        ends[2].close()
        await wait_until(lambda: transports[2] in told)
        watch.close()
        assert watch.timer is None
        for transport in transports:
            transport.abort()
        server.listening.close()

    run(play())


def test_a_client_that_asks_for_the_end_and_reads_nothing_is_let_go(tmp_path, monkeypatch):
    """Its connection closes once its answer has been written, which it never is."""
    monkeypatch.setattr(
        closing_connection, "DRAINING_CLOSE_TIMEOUT_S", 1000.0
    )  # it goes for being slow alone

    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            sidecar.http.clients.timeouts.slow_reader_s = 0.1
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect((HOST, sidecar.port))
            await wait_until(lambda: sidecar.http.clients.connections)
            (front,) = sidecar.http.clients.connections
            front.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client.sendall(http_request("order", "held", "3000m", b"", "Connection: close"))
            taken = await server.accept()
            await taken.wait_for(b"held")
            taken.sock.setblocking(True)
            taken.sock.sendall(http_response(200, bytes(MAX_BUFFERED_BYTES // 2)))
            await wait_until(lambda: front.draining)
            assert front.transport.get_write_buffer_size() > 0
            await wait_until(lambda: not sidecar.http.clients.connections)
            client.close()
        server.close()

    run(play())
