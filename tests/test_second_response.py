"""A server's second answer to one request, which comes some milliseconds after the first.

Nothing but its place on the connection says which request an answer belongs to. If the next request is out by
then, it gets the second answer as its own: a refusal would prove that it never ran, while the server runs it.
"""

import asyncio
import contextlib
import socket
from time import monotonic

import pytest
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

from ochreflow.core.limits import MB, Descriptors, Memory
from ochreflow.http import upstream_connection
from ochreflow.http.exchange import Exchange
from ochreflow.http.upstream import Upstreams
from ochreflow.policy.interface import State, Status

REFUSAL = http_response(503, b"", "X-Not-Run: 1")
REAL = http_response(200, b"the real one")
SERVED = (Status.OK, b"the real one")
PAYLOAD = b"GET /lookup HTTP/1.1\r\nX-Request-Id: ab\r\n\r\n"
AWHILE = 0.3  # seconds; long after what is sent in the turn in which they begin has come
NEVER = 3600.0
AT_ONCE = 2.0  # seconds until a server that waits for a connection gives up


@pytest.fixture
def settling_time(monkeypatch):
    return lambda seconds: monkeypatch.setattr(upstream_connection, "SETTLING_TIME_S", seconds)


class Stage:
    """A pool before one server, whose side of each connection is played by hand."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.loop = asyncio.get_running_loop()
        self.pool = Upstreams(self.loop, Descriptors(1024), Memory(192 * MB), 5.0, 60.0)
        self.tell(State.READY)

    def tell(self, state):
        self.pool.update(1, self.listener.getsockname(), 0, state)

    @property
    def idle(self):
        return self.pool.targets[1].idle

    def start(self, idempotent):
        """Start an exchange: itself, and the future of its end."""
        end = self.loop.create_future()

        def done(_, status, answer):
            end.set_result((status, answer and answer.body))

        exchange = Exchange(lambda: PAYLOAD, done, 64 * 1024, idempotent=idempotent)
        self.pool.start(1, exchange, WAIT_TIMEOUT_S)
        return exchange, end

    async def accept(self):
        async with asyncio.timeout(AT_ONCE):
            server, _ = await self.loop.sock_accept(self.listener)
        server.setblocking(False)
        return server

    async def read(self, server):
        async with asyncio.timeout(AT_ONCE):
            assert await self.loop.sock_recv(server, 4096) == PAYLOAD

    async def nothing_was_written(self, server):
        """The connection has ended without a byte of another request."""
        with contextlib.suppress(ConnectionResetError):
            assert await self.loop.sock_recv(server, 4096) == b""
        server.close()

    async def served(self):
        """The server's side of a connection that has just carried one answer."""
        (server,) = await self.all_served(1)
        return server

    async def all_served(self, count):
        """The same of several connections, in the order in which they have become idle."""
        ends, servers = [], []
        for _ in range(count):
            ends.append(self.start(idempotent=True)[1])
            servers.append(await self.accept())
            await self.read(servers[-1])
        for server, end in zip(servers, ends, strict=True):
            server.sendall(http_response())
            assert await end == (Status.OK, b"ok")
        return servers

    def close(self):
        self.pool.close()
        self.listener.close()


@pytest.mark.parametrize(
    "second", [REFUSAL, http_response(500), http_response(200, b"another's")], ids=["503", "500", "200"]
)
def test_a_late_second_answer_is_not_taken_for_that_to_the_next_unsafe_request(second, settling_time):
    settling_time(AWHILE)

    async def play():
        stage = Stage()
        server = await stage.served()
        _, end = stage.start(idempotent=False)
        server.sendall(second)
        other = await stage.accept()
        await stage.read(other)
        other.sendall(REAL)
        assert await end == SERVED
        await stage.nothing_was_written(server)
        stage.close()

    run(play())


def test_an_unsafe_request_takes_the_same_connection_once_no_second_answer_is_to_come(settling_time):
    settling_time(0.05)

    async def play():
        stage = Stage()
        server = await stage.served()
        answered = stage.idle[0].answered_at
        _, end = stage.start(idempotent=False)
        await stage.read(server)
        assert monotonic() - answered >= 0.05
        server.sendall(REFUSAL)
        assert (await end)[0] is Status.REJECTED  # here it is a proof
        assert len(stage.pool.connections) == 1
        stage.close()

    run(play())


def test_a_safe_request_does_not_wait(settling_time):
    settling_time(NEVER)

    async def play():
        stage = Stage()
        server = await stage.served()
        _, end = stage.start(idempotent=True)
        await stage.read(server)
        server.sendall(REAL)
        assert await end == SERVED
        stage.close()

    run(play())


def test_an_unsafe_request_does_not_wait_where_a_connection_has_no_answer_behind_it(settling_time):
    settling_time(NEVER)

    async def play():
        stage = Stage()
        _, end = stage.start(idempotent=False)
        server = await stage.accept()
        await stage.read(server)
        server.sendall(REFUSAL)
        assert (await end)[0] is Status.REJECTED
        stage.close()

    run(play())


def test_a_request_takes_the_connection_whose_last_answer_lies_back(settling_time):
    settling_time(NEVER)

    async def play():
        stage = Stage()
        servers = await stage.all_served(2)
        stage.idle[0].answered_at -= NEVER
        for idempotent in (True, False):
            _, end = stage.start(idempotent)
            await stage.read(servers[0])
            servers[0].sendall(REAL)
            assert await end == SERVED
            stage.idle[-1].answered_at -= NEVER
        stage.close()

    run(play())


def test_one_request_waits_for_a_connection_to_settle_and_others_open_new_ones(settling_time):
    """Else few connections would bound the requests of many clients: one for each settling time."""
    settling_time(AWHILE)

    async def play():
        stage = Stage()
        first, *_ = await stage.all_served(3)
        ends = [stage.start(idempotent=False)[1] for _ in range(3)]
        others = [await stage.accept() for _ in range(2)]
        for server in (*others, first):
            await stage.read(server)
            server.sendall(REAL)
        assert [await end for end in ends] == [SERVED] * 3
        assert len(stage.pool.connections) == 5
        stage.close()

    run(play())


@pytest.mark.parametrize("how", ["given up", "drain"])
def test_a_request_that_ends_while_it_waits_is_never_written(how, settling_time):
    settling_time(AWHILE)

    async def play():
        stage = Stage()
        server = await stage.served()
        exchange, end = stage.start(idempotent=False)
        if how == "drain":
            stage.tell(State.DRAINING)
        else:
            exchange.give_up(Status.TIMEOUT)
        assert await end == (Status.CONNECT_FAILED, None)
        await wait_until(lambda: not stage.pool.targets[1].opening)
        if how == "drain":
            assert not stage.pool.connections
        else:
            assert len(stage.idle) == 1  # the connection is as good as before
            with pytest.raises(BlockingIOError):
                server.recv(1)
        stage.close()
        await stage.nothing_was_written(server)

    run(play())


class Holding:
    """The loop, with connects that are held until they are let go."""

    def __init__(self, loop):
        self.loop = loop
        self.open = asyncio.Event()

    def __getattr__(self, name):
        return getattr(self.loop, name)

    async def sock_connect(self, sock, address):
        await self.open.wait()
        await self.loop.sock_connect(sock, address)


async def one_waits_as_another_is_answered(stage):
    """An unsafe request waits for a connection of its own in the turn in which another's answer ends."""
    _, first = stage.start(idempotent=True)
    server = await stage.accept()
    await stage.read(server)
    stage.pool.loop = Holding(stage.loop)
    _, second = stage.start(idempotent=False)
    server.sendall(http_response())
    assert (await first)[0] is Status.OK
    return server, second


def test_a_late_second_answer_does_not_reach_an_unsafe_request_that_waits_for_a_connection(
    settling_time,
):
    settling_time(AWHILE)

    async def play():
        stage = Stage()
        server, end = await one_waits_as_another_is_answered(stage)
        server.sendall(REFUSAL)
        await wait_until(lambda: len(stage.pool.connections) == 1)  # its own, which is held
        stage.pool.loop.open.set()
        other = await stage.accept()
        await stage.read(other)
        other.sendall(REAL)
        assert await end == SERVED
        await stage.nothing_was_written(server)
        stage.close()

    run(play())


def test_an_unsafe_request_that_waits_for_a_connection_takes_one_that_is_settled(settling_time):
    settling_time(0.05)

    async def play():
        stage = Stage()
        server, end = await one_waits_as_another_is_answered(stage)
        await stage.read(server)
        server.sendall(REAL)
        assert await end == SERVED
        stage.pool.loop.open.set()
        await wait_until(lambda: not stage.pool.targets[1].opening)
        stage.close()

    run(play())


def test_a_second_answer_that_is_unread_bars_its_connection():
    """It has come, and the loop has had no turn to read it, as the next request is about to be written."""

    async def play():
        stage = Stage()
        server = await stage.served()
        server.sendall(REFUSAL)
        _, end = stage.start(idempotent=True)
        other = await stage.accept()
        await stage.read(other)
        other.sendall(REAL)
        assert await end == SERVED
        await stage.nothing_was_written(server)
        stage.close()

    run(play())


def test_a_second_answer_while_nothing_is_out_closes_its_connection():
    async def play():
        stage = Stage()
        server = await stage.served()
        server.sendall(REFUSAL)
        await wait_until(lambda: not stage.pool.connections)
        stage.close()

    run(play())


def test_a_late_refusal_with_the_real_answer_behind_it_proves_nothing(settling_time):
    """However late it comes."""
    settling_time(0.0)

    async def play():
        stage = Stage()
        server = await stage.served()
        _, end = stage.start(idempotent=False)
        await stage.read(server)
        server.sendall(REFUSAL + REAL)
        assert (await end)[0] not in (Status.REJECTED, Status.CONNECT_FAILED, Status.NOT_SENT)
        assert not stage.pool.connections
        stage.close()

    run(play())


@pytest.mark.parametrize("cls", ["hold", "order"])
def test_a_late_refusal_has_no_request_sent_again(tmp_path, cls, settling_time):
    """Through a whole sidecar: the second request comes to it between the two answers to the first."""
    settling_time(AWHILE)

    async def play():
        refuse = asyncio.Event()

        async def act(got, reader, writer):
            await answer_ok(got, reader, writer)
            if got.headers["x-request-id"] == "first":
                await refuse.wait()
                writer.write(REFUSAL)

        server = await FakePeer(act).start()
        data = config(endpoint_update(1, entry("s0", server.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            assert (await send_request(sidecar.port, http_request("lookup", "first"))).code == 200
            second = asyncio.create_task(send_request(sidecar.port, http_request(cls, "second")))
            await wait_until(lambda: sidecar.engine.attempts.in_flight)
            refuse.set()
            assert (await second).code == 200
        copies = [got for got in server.received if got.headers["x-request-id"] == "second"]
        assert len(copies) == 1

    run(play())
