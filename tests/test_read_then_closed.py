"""A request that was read is answered before its connection closes, and its answer reaches the client.

A client whose connection closes without an answer sends its request once more. That is harmless only where
the first one was never read: each crossing of a close with bytes that arrive is forced here.
"""

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest
from disconnecting_clients import Server, block_until_eof_readable, connect, sidecar_connection
from httptools import HttpRequestParser
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
    run,
    send_request,
    wait_until,
)

from ochreflow.core.body import MAX_BUFFERED_BYTES
from ochreflow.http import closing_connection, connection
from ochreflow.http.connection import ClientConnection
from ochreflow.http.request_reader import MAX_PIPELINED_REQUESTS
from ochreflow.http.socket_progress import unacknowledged
from ochreflow.policy.interface import Status

LONG = b"a" * (MAX_BUFFERED_BYTES * 3 // 4)  # an answer that is held until it is whole
NARROW = 4096  # bytes that a client's machine takes before its application reads


def connect_narrow(port):
    """A client whose machine takes little: the rest of an answer stays with the sidecar's."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, NARROW)
    sock.connect((HOST, port))
    return sock


async def receive(sock, enough=lambda data: False):
    """What a client reads until it is enough, or until the end; and whether the end was a reset."""
    sock.setblocking(False)
    data = b""
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not enough(data):
                piece = await asyncio.get_running_loop().sock_recv(sock, 1 << 16)
                if not piece:
                    return data, False
                data += piece
    except ConnectionResetError:
        return data, True
    return data, False


def whole(body):
    """Whether an answer with this body has come."""
    return lambda data: data.endswith(body)


async def answer_long(message, reader, writer):
    writer.write(http_response(200, LONG))


def ids(fake):
    return [got.headers["x-request-id"] for got in fake.received]


@asynccontextmanager
async def sidecar_before(path, *peers):
    known = endpoint_update(1, *(entry(f"s{n}", peer.address) for n, peer in enumerate(peers)))
    async with Sidecar(path / "c", config(known)) as sidecar:
        yield sidecar


def send_after_look(monkeypatch, sock, data):
    """Have bytes arrive right after it was found that none wait to be read."""
    looked = connection.unread_bytes

    def look(transport):
        count = looked(transport)
        if transport.get_extra_info("peername") == sock.getsockname() and not sent:
            sent.append(data)
            sock.sendall(data)
        return count

    sent = []
    monkeypatch.setattr(connection, "unread_bytes", look)


def close_by(sidecar, path):
    """Have a resting connection closed."""
    clients = sidecar.http.clients
    if path == "idle":
        clients.timeouts.idle_s = 0.0
        clients.sweep()
    elif path == "drain":
        sidecar.http.close_idle_connections()
    else:
        clients.evict_one()


CLOSES = ["idle", "drain", "descriptors"]


# What arrives in the turn of a close


@pytest.mark.parametrize("path", CLOSES)
def test_a_request_that_crosses_the_close_of_a_resting_connection_is_not_read(tmp_path, monkeypatch, path):
    async def play():
        fake = await FakePeer(answer_ok).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            client = connect(sidecar.port)
            client.sendall(http_request("order", "first"))
            await receive(client, whole(b"served "))
            front = sidecar_connection(sidecar, client)
            await wait_until(lambda: unacknowledged(front.transport) == 0)
            send_after_look(monkeypatch, client, http_request("order", "crossing"))
            close_by(sidecar, path)
            assert front.transport.is_closing()
            data, _ = await receive(client)
            assert data == b"" and ids(fake) == ["first"]
            assert (await send_request(sidecar.port, http_request("order", "crossing"))).code == 200
            assert ids(fake) == ["first", "crossing"]
            client.close()

    run(play())


def test_a_connection_that_is_closed_in_the_poll_that_finds_it_readable_is_not_read(tmp_path, monkeypatch):
    """Two clients' requests are found by one poll: whichever is read first closes the other."""
    received = ClientConnection.data_received
    read = []

    def close_others(front, data):
        read.append(front)
        for other in list(front.clients.connections):
            if other is not front:
                other.close()
        received(front, data)

    monkeypatch.setattr(ClientConnection, "data_received", close_others)

    async def play():
        fake = await FakePeer(answer_ok).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            socks = [connect(sidecar.port) for _ in range(2)]
            await wait_until(lambda: len(sidecar.http.clients.connections) == 2)
            for number, sock in enumerate(socks):
                sock.sendall(http_request("order", f"id{number}"))
            await wait_until(lambda: fake.received and len(sidecar.http.clients.connections) == 1)
            assert len(read) == len(fake.received) == 1
            for sock in socks:
                sock.close()

    run(play())


@pytest.mark.parametrize("closing", ["taken", "parsed"])
def test_what_was_read_in_the_turn_of_a_close_is_not_sent_on(tmp_path, closing):
    """The connection is closed while several requests that came at once are parsed and taken up."""

    async def play():
        fake = await FakePeer(answer_ok).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            assert (await send_request(sidecar.port, http_request("order", "warm"))).code == 200
            await wait_until(lambda: not sidecar.http.clients.connections)
            client = connect(sidecar.port)
            await wait_until(lambda: sidecar.http.clients.connections)
            front = sidecar_connection(sidecar, client)
            engine = sidecar.engine
            take, complete = engine.requests.accept, front.on_message_complete

            def take_and_close(*args):
                front.close()
                take(*args)

            def complete_and_close():
                complete()
                front.close()

            if closing == "taken":
                engine.requests.accept = take_and_close
            else:
                front.on_message_complete = complete_and_close
                front.parser = HttpRequestParser(front)
            client.sendall(b"".join(http_request("order", f"id{n}") for n in range(3)))
            await wait_until(
                lambda: (
                    not sidecar.http.clients.connections
                    and not engine.requests.pending
                    and not engine.attempts.in_flight
                )
            )
            engine.requests.accept = take
            assert (await send_request(sidecar.port, http_request("order", "other"))).code == 200
            assert ids(fake) == ["warm", "other"]
            client.close()

    run(play())


def test_a_connection_that_is_refused_as_it_is_made_is_not_read(tmp_path, monkeypatch):
    async def play():
        fake = await FakePeer(answer_ok).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            monkeypatch.setattr(sidecar.http.clients, "admit", lambda client, host: False)
            client = connect(sidecar.port)
            client.sendall(http_request("order", "refused"))
            data, _ = await receive(client)
            assert data == b"" and not fake.received
            client.close()

    run(play())


# An answer that its client has not read yet


async def answered(sidecar, sock, sent):
    """Send, and wait until the sidecar has written an answer that the client's machine can't take whole."""
    sock.sendall(sent)
    await wait_until(lambda: sidecar.http.clients.connections)
    front = sidecar_connection(sidecar, sock)
    await wait_until(lambda: front.has_sent_request and front.idle and unacknowledged(front.transport))
    assert unacknowledged(front.transport) > NARROW
    return front


@pytest.mark.parametrize("path", CLOSES)
def test_a_close_that_a_request_crosses_takes_no_answer_away(tmp_path, monkeypatch, path):
    """A close over unread bytes resets the connection: what the client's machine has not got is gone."""

    async def play():
        fake = await FakePeer(answer_long).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            client = connect_narrow(sidecar.port)
            await answered(sidecar, client, http_request("order", "first"))
            send_after_look(monkeypatch, client, http_request("order", "crossing"))
            close_by(sidecar, path)
            data, _ = await receive(client, whole(LONG))
            assert data.endswith(LONG)
            client.close()

    run(play())


def test_a_half_written_request_that_makes_room_takes_no_answer_away(tmp_path):
    async def play():
        fake = await FakePeer(answer_long).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            client = connect_narrow(sidecar.port)
            front = await answered(sidecar, client, http_request("order", "first"))
            client.sendall(b"POST /order")
            await wait_until(lambda: front.message_begun)
            client.sendall(b"/part")  # unread as the connection closes
            sidecar.http.clients.evict_one()
            data, _ = await receive(client, whole(LONG))
            assert data.endswith(LONG)
            client.close()

    run(play())


@pytest.mark.parametrize("why", ["asked", "leaving"])
def test_a_last_answer_reaches_a_client_that_has_sent_more(tmp_path, why):
    """The connection closes after it, with bytes unread."""

    async def play():
        fake = await FakePeer(answer_long).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            sidecar.engine.lifecycle.announcing_close = why == "leaving"
            client = connect_narrow(sidecar.port)
            client.sendall(b"")
            await wait_until(lambda: sidecar.http.clients.connections)
            front = sidecar_connection(sidecar, client)
            leave = front._close_gracefully

            def send_and_leave():
                client.sendall(http_request("order", "crossing"))
                leave()

            front._close_gracefully = send_and_leave
            last = ["Connection: close"] if why == "asked" else []
            client.sendall(http_request("order", "first", "3000m", b"", *last))
            data, _ = await receive(client)
            assert data.endswith(LONG) and ids(fake) == ["first"]
            client.close()
            await wait_until(lambda: not sidecar.http.clients.connections)

    run(play())


@pytest.mark.parametrize("framing", [b"Content-Length: 1000000", b"Transfer-Encoding: chunked"])
def test_an_answer_that_breaks_off_takes_none_away_that_went_before_it(tmp_path, framing):
    """Nor its own beginning: a client that has read nothing of an answer sends its request again."""

    async def play():
        async def break_off(got, reader, writer):
            if got.headers["x-request-id"] == "first":
                writer.write(http_response(200, LONG))
                return
            part = bytes(2 * MAX_BUFFERED_BYTES)
            part = b"%x\r\n%s\r\n" % (len(part), part) if b"chunked" in framing else part
            writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + part)
            await writer.drain()
            writer.close()

        fake = await FakePeer(break_off).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            client = connect_narrow(sidecar.port)
            client.sendall(http_request("order", "first") + http_request("order", "second"))
            await wait_until(lambda: len(fake.received) == 2 and not sidecar.engine.requests.pending)
            data, _ = await receive(client)
            first, _, rest = data.partition(LONG)
            assert first.startswith(b"HTTP/1.1 200") and rest.startswith(b"HTTP/1.1 200")
            assert (
                framing.lower() in rest.lower() and len(rest) < 1_000_000 and not rest.endswith(b"0\r\n\r\n")
            )
            client.close()
            await wait_until(lambda: not sidecar.http.clients.connections)

    run(play())


def test_what_waits_behind_an_answer_that_breaks_off_is_not_sent_on(tmp_path):
    """No answer could follow: also once a client that is slow to read has taken what there is."""

    async def play():
        async def answer_in_part(got, reader, writer):
            if got.headers["x-request-id"] == "first":
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + bytes(3 * MAX_BUFFERED_BYTES)
                )
            await reader.read()

        fakes = [await FakePeer(answer_in_part).start() for _ in range(4)]  # so that one is left to send to
        async with sidecar_before(tmp_path, *fakes) as sidecar:
            client = connect_narrow(sidecar.port)
            await wait_until(lambda: sidecar.http.clients.connections)
            front = sidecar_connection(sidecar, client)
            front.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, NARROW)
            client.sendall(
                http_request("order", "first") + http_request("order", "second", "3000m", bytes(1000))
            )
            await wait_until(lambda: front.write_paused)
            (attempt,) = sidecar.engine.attempts.in_flight.values()
            attempt.upstream_attempt.give_up(Status.CANCELLED)
            assert front.write_paused and not front.current
            data, _ = await receive(client)
            assert data.count(b"HTTP/1.1") == 1 and len(data) < 1_000_000
            assert not front.current and not front.queue
            client.close()
            await wait_until(lambda: not sidecar.http.clients.connections)
            assert [ident for fake in fakes for ident in ids(fake)] == ["first"]
            assert sidecar.engine.memory.reserved_bytes == 0

    run(play())


def test_a_client_that_does_not_close_after_its_last_answer_is_let_go(tmp_path, monkeypatch):
    """One look is enough where its machine has all: the time to linger does not begin anew."""
    monkeypatch.setattr(closing_connection, "DRAINING_CLOSE_TIMEOUT_S", 0.3)

    async def play():
        fake = await FakePeer(answer_ok).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            client = connect(sidecar.port)
            client.sendall(http_request("order", "last", "3000m", b"", "Connection: close"))
            await wait_until(lambda: any(front.draining for front in sidecar.http.clients.connections))
            rang = asyncio.get_running_loop().create_future()
            # Bells ring in the order of their times, and its own was set before.
            asyncio.get_running_loop().call_later(
                closing_connection.DRAINING_CLOSE_TIMEOUT_S + 0.05, rang.set_result, None
            )
            await rang
            assert not sidecar.http.clients.connections
            client.close()

    run(play())


def test_a_slow_client_can_tell_that_an_answer_without_a_length_was_cut(tmp_path):
    async def play():
        async def endless(got, reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(8 << 20))
            await reader.read()

        fake = await FakePeer(endless).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            sidecar.http.clients.timeouts.slow_reader_s = 0.1
            client = connect_narrow(sidecar.port)
            client.sendall(http_request("order", "old").replace(b"HTTP/1.1", b"HTTP/1.0"))
            await wait_until(lambda: fake.received)
            await wait_until(lambda: not sidecar.http.clients.connections)
            _, was_reset = await receive(client)
            assert was_reset
            client.close()

    run(play())


def test_what_waits_behind_a_last_answer_is_let_go_of(tmp_path):
    """Guards the memory of messages: what was held of requests that are not taken up any more."""

    async def play():
        server = Server()
        async with sidecar_before(tmp_path, server) as sidecar:
            client = connect(sidecar.port)
            behind = b"".join(http_request("order", f"id{n}", "3000m", bytes(1000)) for n in range(4))
            client.sendall(http_request("order", "first") + behind)
            taken = await server.accept()
            await taken.wait_for(b"first")
            await wait_until(lambda: len(sidecar_connection(sidecar, client).queue) == 4)
            sidecar.engine.lifecycle.final_answers_given = True
            taken.answer()
            data, _ = await receive(client)
            assert data.count(b"HTTP/1.1 200") == data.count(b"HTTP/1.1 503") == 1
            client.close()
            await wait_until(lambda: not sidecar.http.clients.connections)
            assert sidecar.engine.memory.reserved_bytes == 0
            assert b"id" not in server.read_all()
        server.close()

    run(play())


# A client that has ended its sending


@pytest.mark.parametrize("seen", ["read", "behind unread bytes", "asked"])
def test_a_client_that_still_reads_is_told_that_what_was_sent_on_has_failed(tmp_path, seen):
    """A half-close looks like leaving. A bare close would tell such a client to send its request again."""

    async def play():
        server = Server()
        async with sidecar_before(tmp_path, server) as sidecar:
            client = connect(sidecar.port)
            client.sendall(http_request("order", "held"))
            taken = await server.accept()
            await taken.wait_for(b"held")
            front = sidecar_connection(sidecar, client)
            if seen == "behind unread bytes":
                client.sendall(
                    b"".join(http_request("order", f"id{n}") for n in range(MAX_PIPELINED_REQUESTS))
                )
                await wait_until(lambda: front.paused)
                client.sendall(http_request("order", "unread"))
            client.shutdown(socket.SHUT_WR)
            if seen == "asked":
                block_until_eof_readable(front)
                assert front.is_disconnected(front.current)
            data, _ = await receive(client)
            assert data.startswith(b"HTTP/1.1 502") and data.count(b"HTTP/1.1") == 1
            await wait_until(
                lambda: not sidecar.http.clients.connections and not sidecar.engine.requests.pending
            )
            assert server.read_all().count(b"X-Request-Id") == 1
            client.close()
        server.close()

    run(play())
