"""Connections to servers: dead idle connections, connects that hang, drains, the descriptor limit."""

import asyncio
import contextlib
import errno
import gc
import socket
import weakref

import pytest
from net_helpers import (
    HOST,
    WAIT_TIMEOUT_S,
    FakePeer,
    answer_ok,
    http_response,
    never_answer,
    run,
    wait_until,
)

from ochreflow.core.limits import MB, Descriptors, Memory
from ochreflow.http import idle_connections, upstream, upstream_connection
from ochreflow.http.exchange import Exchange
from ochreflow.http.upstream import Upstreams
from ochreflow.policy.interface import State, Status

PAYLOAD = b"GET /lookup HTTP/1.1\r\nX-Request-Id: ab\r\n\r\n"


def make_pool(address, connect_timeout=5.0, limit=1024, idle=60.0):
    pool = Upstreams(asyncio.get_running_loop(), Descriptors(limit), Memory(192 * MB), connect_timeout, idle)
    pool.update(1, address, 0, State.READY)
    return pool


def start(pool, server=1, timeout=WAIT_TIMEOUT_S, payload=PAYLOAD):
    """Start an exchange; return it and the future of its result."""
    end = asyncio.get_running_loop().create_future()
    exchange = Exchange(
        lambda: payload, lambda _, status, response: end.set_result((status, response)), 64 * 1024
    )
    pool.start(server, exchange, timeout)
    return exchange, end


def listener(backlog=16):
    sock = socket.socket()
    sock.bind((HOST, 0))
    sock.listen(backlog)
    return sock


def full_listener():
    """Return a server at which connects hang, and the sockets that fill its backlog."""
    sock = listener(0)
    fill = []
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(sock.getsockname())
        fill.append(filler)
    return sock, fill


def test_an_idle_connection_that_the_server_closed_is_replaced_before_anything_is_written():
    """A server may close an idle connection just as a request is to be sent on it."""

    async def scenario():
        server = listener()
        server.setblocking(False)
        loop = asyncio.get_running_loop()
        pool = make_pool(server.getsockname())
        _, end = start(pool)
        first, _ = await loop.sock_accept(server)
        assert await loop.sock_recv(first, 4096) == PAYLOAD
        await loop.sock_sendall(first, http_response())
        assert (await end)[0] is Status.OK
        first.close()  # the EOF is in the socket; the loop has not read it yet
        _, end = start(pool)
        second, _ = await loop.sock_accept(server)
        assert await loop.sock_recv(second, 4096) == PAYLOAD
        await loop.sock_sendall(second, http_response())
        assert (await end)[0] is Status.OK
        pool.close()
        second.close()
        server.close()

    run(scenario())


@pytest.mark.parametrize("stray", [b"", b"HTTP/1.1 408 Too late\r\nContent-Length: 0\r\n\r\n"])
def test_an_idle_connection_is_closed_at_once_on_end_of_stream_or_stray_bytes(stray):
    async def scenario():
        async def act(message, reader, writer):
            writer.write(http_response())
            await proceed.wait()
            writer.write(stray)
            if not stray:
                writer.close()
            else:
                await reader.read()

        proceed = asyncio.Event()
        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        assert (await start(pool)[1])[0] is Status.OK
        assert len(pool.connections) == 1
        proceed.set()
        await wait_until(lambda: not pool.connections)
        assert not pool.targets[1].idle and not pool.descriptors.in_use

    run(scenario())


def test_a_response_followed_by_more_data_is_complete_but_its_connection_is_not_reused():
    async def scenario():
        async def act(message, reader, writer):
            writer.write(http_response() + http_response(200, b"of whom?"))

        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        status, response = await start(pool)[1]
        assert (status, response.body) == (Status.OK, b"ok") and not pool.connections

    run(scenario())


def test_the_most_recently_used_connection_is_used_first_and_old_ones_are_closed():
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        pool = make_pool((HOST, fake.port), idle=60.0)
        ends = [start(pool)[1] for _ in range(3)]
        for end in ends:
            assert (await end)[0] is Status.OK
        # an exchange may have used the connection of another one while its own is still being opened
        await wait_until(lambda: len(pool.targets[1].idle) == 3)
        for connection in pool.targets[1].idle:  # the settling time of all of them is over
            connection.settles_at -= idle_connections.SETTLING_TIME_S
        latest = list(pool.targets[1].idle)[-1]
        _, end = start(pool)
        assert latest.exchange is not None
        await end
        pool.targets[1].idle.oldest().idle_since -= 60.0 * upstream.IDLE_TIMEOUT_SHARE
        pool.sweep()
        assert len(pool.targets[1].idle) == 2 and latest in pool.targets[1].idle
        pool.close()

    run(scenario())


def test_a_connect_that_hangs_times_out_as_connect_failed():
    async def scenario():
        server, fill = full_listener()
        pool = make_pool(server.getsockname(), connect_timeout=0.1)
        assert await start(pool)[1] == (Status.CONNECT_FAILED, None)
        assert not pool.connections and not pool.targets[1].waiting and not pool.descriptors.in_use
        for sock in (server, *fill):
            sock.close()

    run(scenario())


@pytest.mark.parametrize("reason", ["drain", "gone", "time-out"])
def test_a_request_that_waits_for_a_connection_is_not_sent_to_a_draining_server(reason):
    """Otherwise the first byte of the request would be sent after its server has begun to drain."""

    async def scenario():
        server, fill = full_listener()
        pool = make_pool(server.getsockname(), connect_timeout=WAIT_TIMEOUT_S)
        exchange, end = start(pool)
        await asyncio.sleep(0)
        if reason == "time-out":
            exchange.give_up(Status.TIMEOUT)
        else:
            pool.update(1, server.getsockname(), 0, State.DRAINING if reason == "drain" else State.REMOVED)
        assert await end == (Status.CONNECT_FAILED, None)
        await wait_until(lambda: not pool.connections and not pool.targets[1].waiting)
        for sock in fill:
            sock.close()
        server.setblocking(False)
        with pytest.raises(BlockingIOError):
            while True:  # only the sockets that fill the backlog have connected; no request was sent
                got, _ = server.accept()
                got.setblocking(True)
                assert got.recv(4096) == b""
                got.close()
        server.close()

    run(scenario())


def test_a_restart_or_drain_closes_idle_connections_and_keeps_those_in_use():
    async def scenario():
        async def act(message, reader, writer):
            await proceed.wait()
            writer.write(http_response())

        proceed = asyncio.Event()
        proceed.set()
        fake = await FakePeer(act).start()
        address = (HOST, fake.port)
        pool = make_pool(address)
        assert (await start(pool)[1])[0] is Status.OK
        pool.update(1, address, 5, State.READY)  # restarted
        assert not pool.targets[1].idle
        proceed.clear()
        _, end = start(pool)
        await wait_until(lambda: len(fake.received) == 2)
        pool.update(1, address, 5, State.DRAINING)
        proceed.set()
        assert (await end)[0] is Status.OK  # the request in progress is completed
        assert not pool.connections
        assert (await start(pool)[1])[0] is Status.CONNECT_FAILED
        assert len(fake.received) == 2

    run(scenario())


def test_a_reset_before_the_last_byte_is_written_ends_as_connect_failed():
    async def scenario():
        server = listener()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        server.setblocking(False)
        loop = asyncio.get_running_loop()
        pool = make_pool(server.getsockname())
        body = b"x" * (16 * 1024 * 1024)  # more than the socket buffers hold
        head = b"POST /order HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
        exchange, end = start(pool, payload=head + body)
        got, _ = await loop.sock_accept(server)
        await wait_until(lambda: exchange.connection is not None)
        assert exchange.connection.unwritten
        await loop.sock_recv(got, 4096)
        got.close()  # with bytes unread: a reset
        assert await end == (Status.CONNECT_FAILED, None)
        server.close()

    run(scenario())


def test_a_timeout_closes_the_connection_and_reports_that_the_request_may_have_run():
    async def scenario():
        fake = await FakePeer(never_answer).start()
        pool = make_pool((HOST, fake.port))
        _, end = start(pool, timeout=0.1)
        assert await end == (Status.TIMEOUT, None)
        await wait_until(lambda: fake.ended_connections == 1)
        assert not pool.connections

    run(scenario())


@pytest.mark.parametrize("reason", ["given up", "drain"])
def test_an_exchange_that_ends_as_soon_as_it_is_started_leaves_no_connection(reason):
    """One loop iteration may read a request, and then a list update that sets its server to draining."""

    async def scenario():
        server = listener()
        pool = make_pool(server.getsockname())
        exchange, end = start(pool)
        if reason == "drain":
            pool.update(1, server.getsockname(), 0, State.DRAINING)
        else:
            exchange.give_up(Status.CANCELLED)
        assert (await end)[0] is Status.CONNECT_FAILED
        assert pool.descriptors.in_use == 1
        await wait_until(lambda: not pool.descriptors.in_use, "its descriptor is released")
        assert not pool.connections and not pool.targets[1].waiting
        server.setblocking(False)
        with pytest.raises(BlockingIOError):
            server.accept()  # the exchange has opened no connection
        server.close()
        pool.close()

    run(scenario())


def test_an_exchange_ends_if_the_pool_is_closed_as_its_connection_is_established():
    """Guards against a request to the old discovery that stays open after SIGHUP switched to another one."""

    async def scenario():
        class ClosingLoop:
            """The event loop, which closes the pool as soon as a connect has succeeded."""

            def __getattr__(self, name):
                return getattr(loop, name)

            async def sock_connect(self, sock, address):
                await loop.sock_connect(sock, address)
                pool.close()

        loop = asyncio.get_running_loop()
        server = listener()
        server.setblocking(False)
        pool = make_pool(server.getsockname())
        pool.loop = ClosingLoop()
        _, end = start(pool)
        peer, _ = await loop.sock_accept(server)
        assert (await end)[0] is Status.CONNECT_FAILED
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            with contextlib.suppress(ConnectionResetError):
                assert await loop.sock_recv(peer, 1) == b""
        assert not pool.descriptors.in_use
        peer.close()
        server.close()

    run(scenario())


def test_an_endless_response_ends_as_reset():
    async def scenario():
        async def act(message, reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n")
            while not writer.is_closing():
                writer.write(b"x" * 65536)
                await writer.drain()

        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        assert await start(pool)[1] == (Status.RESET, None)

    run(scenario())


def test_a_lack_of_descriptors_fails_one_request_and_not_the_process(monkeypatch):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        pool = make_pool((HOST, fake.port))
        real = socket.socket

        def exhausted(*_):
            raise OSError(errno.EMFILE, "Too many open files")

        monkeypatch.setattr(upstream.socket, "socket", exhausted)
        assert await start(pool)[1] == (Status.NOT_SENT, None)  # does not count as a failure of the server
        monkeypatch.setattr(upstream.socket, "socket", real)
        assert (await start(pool)[1])[0] is Status.OK
        pool.close()

    run(scenario())


def test_the_longest_idle_connection_is_closed_at_the_descriptor_limit():
    async def scenario():
        fake, other = await FakePeer(answer_ok).start(), await FakePeer(never_answer).start()
        pool = make_pool((HOST, fake.port), limit=Descriptors.RESERVE + 8)
        pool.update(2, (HOST, other.port), 0, State.READY)
        ends = [start(pool)[1] for _ in range(8)]
        for end in ends:
            assert (await end)[0] is Status.OK
        await wait_until(lambda: len(pool.targets[1].idle) == 8)
        waiting = [start(pool, 2)[1] for _ in range(8)]
        await wait_until(lambda: len(other.received) == 8)
        assert not pool.targets[1].idle and pool.descriptors.in_use == 8
        assert await start(pool, 2)[1] == (Status.NOT_SENT, None)
        assert not any(end.done() for end in waiting)
        pool.close()
        for end in waiting:
            end.cancel()

    run(scenario())


OK = http_response(200, b"second")


@pytest.mark.parametrize(
    "malformed",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nwho knows whether this is all",
        b"HTTP/1.1 OK 200\r\nContent-Length: 5\r\n\r\nhello",
        b"\x16\x03\x01 noise",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: y\r\n" * 4000,
        b"HTTP/1.1 103 Early Hints\r\n\r\n" * 8000,
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + OK,
        b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello",  # fewer bytes than the length, then none
        b"HTTP/1.1 200 OK\r\nContent-Le",
    ],
    ids=lambda data: repr(data[:50]),
)
def test_a_malformed_response_ends_its_attempt_as_reset_at_once_and_closes_its_connection(
    malformed, monkeypatch
):
    """Otherwise the request would wait until its deadline on a connection that stays open."""
    monkeypatch.setattr(upstream_connection, "RESPONSE_STALL_TIMEOUT_S", 0.2)

    async def scenario():
        async def act(message, reader, writer):
            if fake.connections > 1:
                writer.write(OK)
                return
            writer.write(malformed)
            with contextlib.suppress(OSError):
                await reader.read()
            closed.set()

        closed = asyncio.Event()
        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        assert await start(pool)[1] == (Status.RESET, None)
        await closed.wait()
        status, response = await start(pool)[1]
        assert status is Status.OK and response.body == b"second"
        assert not pool.memory.reserved_bytes and len(pool.connections) == 1
        pool.close()

    run(scenario())


def test_interim_responses_are_skipped():
    async def scenario():
        async def act(message, reader, writer):
            writer.write(
                b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + OK
            )

        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        for _ in range(3):
            status, response = await start(pool)[1]
            assert status is Status.OK and response.body == b"second"
            assert response.header_lines == b""
        assert fake.connections == 1
        pool.close()

    run(scenario())


def test_a_response_over_the_memory_limit_ends_as_reset():
    async def scenario():
        async def act(message, reader, writer):
            writer.write(http_response(200, b"x" * 5000))

        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        pool.memory.others_reserved_bytes = pool.memory.max_bytes - 4000
        assert await start(pool)[1] == (Status.RESET, None)
        pool.memory.others_reserved_bytes = 0
        assert (await start(pool)[1])[0] is Status.OK
        assert pool.memory.reserved_bytes == 0
        pool.close()

    run(scenario())


def test_an_exchange_that_waits_for_a_connection_uses_one_that_becomes_free():
    async def scenario():
        async def act(message, reader, writer):
            if len(fake.received) == 1:
                await proceed.wait()
            writer.write(http_response())

        proceed = asyncio.Event()
        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        _, first = start(pool)
        await wait_until(lambda: fake.received)
        real, pool.loop = pool.loop, DelayedConnects(pool.loop)
        _, second = start(pool)
        proceed.set()
        assert (await first)[0] is Status.OK and (await second)[0] is Status.OK
        assert {got.connection for got in fake.received} == {1}
        pool.loop.proceed.set()
        await wait_until(lambda: len(pool.targets[1].idle) == 2)  # the new connection becomes idle
        assert not pool.targets[1].waiting
        pool.loop = real
        pool.close()

    run(scenario())


class DelayedConnects:
    """An event loop whose connects wait for `proceed`."""

    def __init__(self, loop):
        self.real = loop
        self.proceed = asyncio.Event()

    def __getattr__(self, name):
        return getattr(self.real, name)

    async def sock_connect(self, sock, address):
        await self.proceed.wait()
        await self.real.sock_connect(sock, address)


def test_ended_exchanges_and_connections_are_freed_without_the_garbage_collector():
    """Reference cycles are freed only by the garbage collector, so that memory would grow until it runs."""

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        pool = make_pool((HOST, fake.port))
        exchange, end = start(pool)
        await end
        (connection,) = pool.connections
        reference = weakref.ref(connection)
        exchange_released = exchange.done is None and exchange.timer is None
        pool.close()
        del connection, exchange
        gc.disable()
        try:
            await wait_until(lambda: reference() is None)
        finally:
            gc.enable()
        assert exchange_released

    run(scenario())


def test_a_connection_that_fails_to_connect_is_freed_without_the_garbage_collector():
    """While a server is down, each attempt fails to connect, and memory would grow."""

    async def scenario():
        server = listener()
        pool = make_pool(server.getsockname())
        server.close()
        gc.disable()
        try:
            _, end = start(pool)
            (connection,) = pool.connections
            reference = weakref.ref(connection)
            del connection
            assert (await end)[0] is Status.CONNECT_FAILED
            await wait_until(lambda: reference() is None)
        finally:
            gc.enable()
        pool.close()

    run(scenario())
