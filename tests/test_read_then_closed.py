"""A request that was read is answered before its connection closes, and its response reaches the client.

A client whose connection closes without a response sends its request again, which is harmless only if the
first one was never read. These tests force each race between a close and arriving bytes.
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

LONG_BODY = b"a" * (MAX_BUFFERED_BYTES * 3 // 4)  # a response that is buffered until it is complete
SMALL_BUFFER = 4096  # bytes that a client's host accepts before its application reads


def connect_with_small_buffer(port):
    """Connect a client with a small receive buffer: the rest of a response stays in the sidecar's buffers."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    sock.connect((HOST, port))
    return sock


async def receive(sock, enough=lambda data: False):
    """Return what a client reads until `enough` or the end, and whether the end was a reset."""
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


def ends_with(body):
    """Return a check whether a response with this body has been received."""
    return lambda data: data.endswith(body)


async def respond_long(message, reader, writer):
    writer.write(http_response(200, LONG_BODY))


def request_ids(fake):
    return [got.headers["x-request-id"] for got in fake.received]


@asynccontextmanager
async def sidecar_before(path, *peers):
    known = endpoint_update(1, *(entry(f"s{n}", peer.address) for n, peer in enumerate(peers)))
    async with Sidecar(path / "c", config(known)) as sidecar:
        yield sidecar


def send_after_check(monkeypatch, sock, data):
    """Make bytes arrive right after the check whether the socket has unread bytes."""
    unread_bytes = connection.unread_bytes

    def check(transport):
        count = unread_bytes(transport)
        if transport.get_extra_info("peername") == sock.getsockname() and not sent:
            sent.append(data)
            sock.sendall(data)
        return count

    sent = []
    monkeypatch.setattr(connection, "unread_bytes", check)


def close_by(sidecar, path):
    """Make the sidecar close an idle connection, for the reason `path`."""
    clients = sidecar.http.clients
    if path == "idle":
        clients.timeouts.idle_s = 0.0
        clients.sweep()
    elif path == "drain":
        sidecar.http.close_idle_connections()
    else:
        clients.evict_one()


CLOSES = ["idle", "drain", "descriptors"]


# Bytes that arrive during a close


@pytest.mark.parametrize("path", CLOSES)
def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_read(tmp_path, monkeypatch, path):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            client = connect(sidecar.port)
            client.sendall(http_request("order", "first"))
            await receive(client, ends_with(b"served "))
            client_connection = sidecar_connection(sidecar, client)
            await wait_until(lambda: unacknowledged(client_connection.transport) == 0)
            send_after_check(monkeypatch, client, http_request("order", "crossing"))
            close_by(sidecar, path)
            assert client_connection.transport.is_closing()
            data, _ = await receive(client)
            assert data == b"" and request_ids(fake) == ["first"]
            assert (await send_request(sidecar.port, http_request("order", "crossing"))).code == 200
            assert request_ids(fake) == ["first", "crossing"]
            client.close()

    run(scenario())


def test_a_connection_that_is_closed_after_it_was_polled_as_readable_is_not_read(tmp_path, monkeypatch):
    """One poll reports the requests of two clients, and the one read first closes the other connection."""
    received = ClientConnection.data_received
    read = []

    def close_others(client_connection, data):
        read.append(client_connection)
        for other in list(client_connection.clients.connections):
            if other is not client_connection:
                other.close()
        received(client_connection, data)

    monkeypatch.setattr(ClientConnection, "data_received", close_others)

    async def scenario():
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

    run(scenario())


@pytest.mark.parametrize("closing", ["accepted", "parsed"])
def test_requests_read_together_with_a_close_are_not_forwarded(tmp_path, closing):
    """The connection is closed while several requests that arrived at once are parsed or accepted."""

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            assert (await send_request(sidecar.port, http_request("order", "warm"))).code == 200
            await wait_until(lambda: not sidecar.http.clients.connections)
            client = connect(sidecar.port)
            await wait_until(lambda: sidecar.http.clients.connections)
            client_connection = sidecar_connection(sidecar, client)
            engine = sidecar.engine
            accept, complete = engine.requests.accept, client_connection.on_message_complete

            def accept_and_close(*args):
                client_connection.close()
                accept(*args)

            def complete_and_close():
                complete()
                client_connection.close()

            if closing == "accepted":
                engine.requests.accept = accept_and_close
            else:
                client_connection.on_message_complete = complete_and_close
                client_connection.parser = HttpRequestParser(client_connection)
            client.sendall(b"".join(http_request("order", f"id{n}") for n in range(3)))
            await wait_until(
                lambda: (
                    not sidecar.http.clients.connections
                    and not engine.requests.pending
                    and not engine.attempts.in_flight
                )
            )
            engine.requests.accept = accept
            assert (await send_request(sidecar.port, http_request("order", "other"))).code == 200
            assert request_ids(fake) == ["warm", "other"]
            client.close()

    run(scenario())


def test_a_connection_that_is_not_admitted_is_not_read(tmp_path, monkeypatch):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            monkeypatch.setattr(sidecar.http.clients, "admit", lambda client, host: False)
            client = connect(sidecar.port)
            client.sendall(http_request("order", "refused"))
            data, _ = await receive(client)
            assert data == b"" and not fake.received
            client.close()

    run(scenario())


# Responses that the client has not read yet


async def send_and_wait_for_response(sidecar, sock, data):
    """Send, and wait until the sidecar has written a response that exceeds the client's receive buffer."""
    sock.sendall(data)
    await wait_until(lambda: sidecar.http.clients.connections)
    client_connection = sidecar_connection(sidecar, sock)
    await wait_until(
        lambda: (
            client_connection.has_sent_request
            and client_connection.idle
            and unacknowledged(client_connection.transport)
        )
    )
    assert unacknowledged(client_connection.transport) > SMALL_BUFFER
    return client_connection


@pytest.mark.parametrize("path", CLOSES)
def test_a_close_that_crosses_a_request_loses_no_response(tmp_path, monkeypatch, path):
    """A close with unread bytes resets the connection and discards what the client has not received."""

    async def scenario():
        fake = await FakePeer(respond_long).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            client = connect_with_small_buffer(sidecar.port)
            await send_and_wait_for_response(sidecar, client, http_request("order", "first"))
            send_after_check(monkeypatch, client, http_request("order", "crossing"))
            close_by(sidecar, path)
            data, _ = await receive(client, ends_with(LONG_BODY))
            assert data.endswith(LONG_BODY)
            client.close()

    run(scenario())


def test_evicting_a_client_with_a_half_written_request_loses_no_response(tmp_path):
    async def scenario():
        fake = await FakePeer(respond_long).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            client = connect_with_small_buffer(sidecar.port)
            client_connection = await send_and_wait_for_response(
                sidecar, client, http_request("order", "first")
            )
            client.sendall(b"POST /order")
            await wait_until(lambda: client_connection.message_begun)
            client.sendall(b"/part")  # unread when the connection is closed
            sidecar.http.clients.evict_one()
            data, _ = await receive(client, ends_with(LONG_BODY))
            assert data.endswith(LONG_BODY)
            client.close()

    run(scenario())


@pytest.mark.parametrize("reason", ["asked", "leaving"])
def test_a_last_response_reaches_a_client_that_has_sent_more(tmp_path, reason):
    """The connection is closed after the response, with bytes unread."""

    async def scenario():
        fake = await FakePeer(respond_long).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            sidecar.engine.lifecycle.announcing_close = reason == "leaving"
            client = connect_with_small_buffer(sidecar.port)
            client.sendall(b"")
            await wait_until(lambda: sidecar.http.clients.connections)
            client_connection = sidecar_connection(sidecar, client)
            close_gracefully = client_connection._close_gracefully

            def send_and_close():
                client.sendall(http_request("order", "crossing"))
                close_gracefully()

            client_connection._close_gracefully = send_and_close
            last = ["Connection: close"] if reason == "asked" else []
            client.sendall(http_request("order", "first", "3000m", b"", *last))
            data, _ = await receive(client)
            assert data.endswith(LONG_BODY) and request_ids(fake) == ["first"]
            client.close()
            await wait_until(lambda: not sidecar.http.clients.connections)

    run(scenario())


@pytest.mark.parametrize("framing", [b"Content-Length: 1000000", b"Transfer-Encoding: chunked"])
def test_a_truncated_response_does_not_lose_the_response_before_it(tmp_path, framing):
    """The truncated part must arrive too: a client that read no byte of a response resends its request."""

    async def scenario():
        async def truncate(got, reader, writer):
            if got.headers["x-request-id"] == "first":
                writer.write(http_response(200, LONG_BODY))
                return
            part = bytes(2 * MAX_BUFFERED_BYTES)
            part = b"%x\r\n%s\r\n" % (len(part), part) if b"chunked" in framing else part
            writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + part)
            await writer.drain()
            writer.close()

        fake = await FakePeer(truncate).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            client = connect_with_small_buffer(sidecar.port)
            client.sendall(http_request("order", "first") + http_request("order", "second"))
            await wait_until(lambda: len(fake.received) == 2 and not sidecar.engine.requests.pending)
            data, _ = await receive(client)
            first, _, rest = data.partition(LONG_BODY)
            assert first.startswith(b"HTTP/1.1 200") and rest.startswith(b"HTTP/1.1 200")
            assert (
                framing.lower() in rest.lower() and len(rest) < 1_000_000 and not rest.endswith(b"0\r\n\r\n")
            )
            client.close()
            await wait_until(lambda: not sidecar.http.clients.connections)

    run(scenario())


def test_a_request_queued_behind_a_truncated_response_is_not_forwarded(tmp_path):
    """The queued request could not be answered, even after a slow client has read the truncated response."""

    async def scenario():
        async def answer_in_part(got, reader, writer):
            if got.headers["x-request-id"] == "first":
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + bytes(3 * MAX_BUFFERED_BYTES)
                )
            await reader.read()

        # Several servers, so that one would be eligible for the second request.
        fakes = [await FakePeer(answer_in_part).start() for _ in range(4)]
        async with sidecar_before(tmp_path, *fakes) as sidecar:
            client = connect_with_small_buffer(sidecar.port)
            await wait_until(lambda: sidecar.http.clients.connections)
            client_connection = sidecar_connection(sidecar, client)
            client_connection.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER
            )
            client.sendall(
                http_request("order", "first") + http_request("order", "second", "3000m", bytes(1000))
            )
            await wait_until(lambda: client_connection.write_paused)
            (attempt,) = sidecar.engine.attempts.in_flight.values()
            attempt.upstream_attempt.give_up(Status.CANCELLED)
            assert client_connection.write_paused and not client_connection.current
            data, _ = await receive(client)
            assert data.count(b"HTTP/1.1") == 1 and len(data) < 1_000_000
            assert not client_connection.current and not client_connection.queue
            client.close()
            await wait_until(lambda: not sidecar.http.clients.connections)
            assert [request_id for fake in fakes for request_id in request_ids(fake)] == ["first"]
            assert sidecar.engine.memory.reserved_bytes == 0

    run(scenario())


def test_a_client_that_does_not_close_after_its_last_response_is_disconnected(tmp_path, monkeypatch):
    """The timeout of the draining close is not restarted after the client's host has received all bytes."""
    monkeypatch.setattr(closing_connection, "DRAINING_CLOSE_TIMEOUT_S", 0.3)

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            client = connect(sidecar.port)
            client.sendall(http_request("order", "last", "3000m", b"", "Connection: close"))
            await wait_until(
                lambda: any(
                    client_connection.draining for client_connection in sidecar.http.clients.connections
                )
            )
            timer_fired = asyncio.get_running_loop().create_future()
            # Timers fire in the order of their times, and the timer of the draining close was set before.
            asyncio.get_running_loop().call_later(
                closing_connection.DRAINING_CLOSE_TIMEOUT_S + 0.05, timer_fired.set_result, None
            )
            await timer_fired
            assert not sidecar.http.clients.connections
            client.close()

    run(scenario())


def test_a_slow_client_gets_a_reset_if_a_response_without_a_length_is_truncated(tmp_path):
    async def scenario():
        async def endless(got, reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(8 << 20))
            await reader.read()

        fake = await FakePeer(endless).start()
        async with sidecar_before(tmp_path, fake) as sidecar:
            sidecar.http.clients.timeouts.slow_reader_s = 0.1
            client = connect_with_small_buffer(sidecar.port)
            client.sendall(http_request("order", "old").replace(b"HTTP/1.1", b"HTTP/1.0"))
            await wait_until(lambda: fake.received)
            await wait_until(lambda: not sidecar.http.clients.connections)
            _, was_reset = await receive(client)
            assert was_reset
            client.close()

    run(scenario())


def test_requests_queued_behind_the_last_response_are_released(tmp_path):
    """Guards against a leak of the memory that is reserved for queued requests, which are never served."""

    async def scenario():
        server = Server()
        async with sidecar_before(tmp_path, server) as sidecar:
            client = connect(sidecar.port)
            behind = b"".join(http_request("order", f"id{n}", "3000m", bytes(1000)) for n in range(4))
            client.sendall(http_request("order", "first") + behind)
            server_connection = await server.accept()
            await server_connection.wait_for(b"first")
            await wait_until(lambda: len(sidecar_connection(sidecar, client).queue) == 4)
            sidecar.engine.lifecycle.final_answers_given = True
            server_connection.answer()
            data, _ = await receive(client)
            assert data.count(b"HTTP/1.1 200") == data.count(b"HTTP/1.1 503") == 1
            client.close()
            await wait_until(lambda: not sidecar.http.clients.connections)
            assert sidecar.engine.memory.reserved_bytes == 0
            assert b"id" not in server.read_all()
        server.close()

    run(scenario())


# Clients that have shut down sending


@pytest.mark.parametrize("detection", ["read", "behind unread bytes", "asked"])
def test_a_half_closed_client_gets_502_for_a_request_that_was_forwarded(tmp_path, detection):
    """A half-close looks like a disconnect. After a close without a response, the client would retry."""

    async def scenario():
        server = Server()
        async with sidecar_before(tmp_path, server) as sidecar:
            client = connect(sidecar.port)
            client.sendall(http_request("order", "pending"))
            server_connection = await server.accept()
            await server_connection.wait_for(b"pending")
            client_connection = sidecar_connection(sidecar, client)
            if detection == "behind unread bytes":
                client.sendall(
                    b"".join(http_request("order", f"id{n}") for n in range(MAX_PIPELINED_REQUESTS))
                )
                await wait_until(lambda: client_connection.paused)
                client.sendall(http_request("order", "unread"))
            client.shutdown(socket.SHUT_WR)
            if detection == "asked":
                block_until_eof_readable(client_connection)
                assert client_connection.is_disconnected(client_connection.current)
            data, _ = await receive(client)
            assert data.startswith(b"HTTP/1.1 502") and data.count(b"HTTP/1.1") == 1
            await wait_until(
                lambda: not sidecar.http.clients.connections and not sidecar.engine.requests.pending
            )
            assert server.read_all().count(b"X-Request-Id") == 1
            client.close()
        server.close()

    run(scenario())
