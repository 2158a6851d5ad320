"""A server's second response to one request, which arrives some milliseconds after the first.

Responses are matched to requests only by their order on the connection. If the next request has been sent by
then, the second response is taken for its response: a rejection would then prove that this request did not
run, while the server runs it.
"""

import asyncio
import contextlib
import math
import socket
import time
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
from ochreflow.http import idle_connections
from ochreflow.http.exchange import Exchange
from ochreflow.http.running_clock import TICK_S, RunningClock
from ochreflow.http.upstream import Upstreams
from ochreflow.policy.interface import State, Status

REJECTION = http_response(503, b"", "X-Not-Run: 1")
REAL_RESPONSE = http_response(200, b"the real one")
SERVED = (Status.OK, b"the real one")
PAYLOAD = b"GET /lookup HTTP/1.1\r\nX-Request-Id: ab\r\n\r\n"
LONG_SETTLING_TIME_S = 0.3  # long enough for data sent right at its beginning to arrive
HOLD_UP_S = 0.15
ENDLESS_SETTLING_TIME_S = 3600.0
SERVER_TIMEOUT_S = 2.0  # longest wait of a server for a connection or a request


@pytest.fixture
def settling_time(monkeypatch):
    return lambda seconds: monkeypatch.setattr(idle_connections, "SETTLING_TIME_S", seconds)


class PoolWithServer:
    """A pool and a server whose side of each connection the test controls."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.loop = asyncio.get_running_loop()
        self.pool = Upstreams(self.loop, Descriptors(1024), Memory(192 * MB), 5.0, 60.0)
        self.update_state(State.READY)

    def update_state(self, state):
        self.pool.update(1, self.listener.getsockname(), 0, state)

    @property
    def idle(self):
        return list(self.pool.targets[1].idle)

    def settle(self, connection):
        """Put the last response of an idle connection into the past."""
        idle = self.pool.targets[1].idle
        idle.remove(connection)
        connection.settles_at -= idle.settling_time_s
        idle.add(connection)

    def start(self):
        """Start an exchange; return it and the future of its result."""
        end = self.loop.create_future()

        def done(_, status, response):
            end.set_result((status, response and response.body))

        exchange = Exchange(lambda: PAYLOAD, done, 64 * 1024)
        self.pool.start(1, exchange, WAIT_TIMEOUT_S)
        return exchange, end

    async def accept(self):
        async with asyncio.timeout(SERVER_TIMEOUT_S):
            server, _ = await self.loop.sock_accept(self.listener)
        server.setblocking(False)
        return server

    async def read(self, server):
        async with asyncio.timeout(SERVER_TIMEOUT_S):
            assert await self.loop.sock_recv(server, 4096) == PAYLOAD

    async def check_nothing_was_written(self, server):
        """Check that the connection ends without a byte of another request."""
        with contextlib.suppress(ConnectionResetError):
            assert await self.loop.sock_recv(server, 4096) == b""
        server.close()

    async def answered_connection(self):
        """Return the server's side of a connection on which one request was just answered."""
        (server,) = await self.answered_connections(1)
        return server

    async def answered_connections(self, count):
        """Return the server's side of several such connections, in the order in which they became idle."""
        ends, servers = [], []
        for _ in range(count):
            ends.append(self.start()[1])
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
    "second", [REJECTION, http_response(500), http_response(200, b"another's")], ids=["503", "500", "200"]
)
def test_a_late_second_response_is_not_taken_for_the_response_to_the_next_request(second, settling_time):
    settling_time(LONG_SETTLING_TIME_S)

    async def scenario():
        setup = PoolWithServer()
        server = await setup.answered_connection()
        _, end = setup.start()
        server.sendall(second)
        other = await setup.accept()
        await setup.read(other)
        other.sendall(REAL_RESPONSE)
        assert await end == SERVED
        await setup.check_nothing_was_written(server)
        setup.close()

    run(scenario())


def test_a_request_whose_settling_connection_closes_is_sent_on_another_one_at_once(settling_time):
    settling_time(ENDLESS_SETTLING_TIME_S)

    async def scenario():
        setup = PoolWithServer()
        server = await setup.answered_connection()
        _, end = setup.start()
        server.sendall(http_response(200, b"another's"))
        other = await setup.accept()
        await setup.read(other)
        other.sendall(REAL_RESPONSE)
        assert await end == SERVED
        setup.close()

    run(scenario())


@pytest.mark.parametrize("event", ["refused_at", "rejected_at"])
def test_no_spare_connection_is_opened_for_a_while_after_one_was_refused_or_rejected(event, settling_time):
    settling_time(LONG_SETTLING_TIME_S)

    async def scenario():
        setup = PoolWithServer()
        server = await setup.answered_connection()
        setattr(setup.pool.targets[1], event, monotonic())
        ends = [setup.start()[1] for _ in range(2)]
        await asyncio.sleep(LONG_SETTLING_TIME_S / 2)
        assert len(setup.pool.connections) == 1
        await setup.read(server)
        server.sendall(REAL_RESPONSE)
        assert await ends[0] == SERVED
        other = await setup.accept()  # no connection is settling any more
        await setup.read(other)
        other.sendall(REAL_RESPONSE)
        assert await ends[1] == SERVED
        setup.close()

    run(scenario())


def test_a_refused_spare_connection_fails_no_request(settling_time):
    settling_time(LONG_SETTLING_TIME_S)

    async def scenario():
        setup = PoolWithServer()
        servers = await setup.answered_connections(2)
        setup.listener.close()
        ends = [setup.start()[1] for _ in range(2)]
        for server in servers:
            await setup.read(server)
            server.sendall(REAL_RESPONSE)
        assert [await end for end in ends] == [SERVED] * 2
        setup.close()

    run(scenario())


@pytest.mark.parametrize("refusal", [REJECTION, b""], ids=["503", "reset"])
def test_a_server_that_fails_the_first_request_on_a_connection_counts_as_refusing(refusal):
    async def scenario():
        setup = PoolWithServer()
        _, end = setup.start()
        server = await setup.accept()
        await setup.read(server)
        server.sendall(refusal)
        if not refusal:
            server.close()
        assert (await end)[0] in (Status.REJECTED, Status.RESET)
        target = setup.pool.targets[1]
        failed_at, other = target.refused_at, target.rejected_at
        if refusal:
            failed_at, other = other, failed_at
        assert monotonic() - failed_at < WAIT_TIMEOUT_S and other == -math.inf
        setup.close()

    run(scenario())


def test_a_request_reuses_the_connection_after_the_settling_time(settling_time):
    settling_time(0.05)

    async def scenario():
        setup = PoolWithServer()
        server = await setup.answered_connection()
        answered = setup.idle[0].answered_at
        _, end = setup.start()
        await setup.read(server)
        assert monotonic() - answered >= 0.05
        server.sendall(REJECTION)
        assert (await end)[0] is Status.REJECTED  # after the settling time, a rejection is a proof
        assert len(setup.pool.connections) == 1
        setup.close()

    run(scenario())


@pytest.mark.parametrize("second", [REJECTION, http_response(200, b"another's")], ids=["503", "200"])
@pytest.mark.parametrize("started", ["before", "after"])
def test_a_time_in_which_the_machine_is_held_up_does_not_settle_a_connection(second, started):
    """Guards against a second response that is as late as the hold-up and some milliseconds more."""

    async def scenario():
        setup = PoolWithServer()
        server = await setup.answered_connection()
        end = setup.start()[1] if started == "before" else None
        time.sleep(HOLD_UP_S)  # the loop of the sidecar and of its server stands still
        end = end or setup.start()[1]
        await asyncio.sleep(0.005)
        server.sendall(second)
        other = await setup.accept()
        await setup.read(other)
        other.sendall(REAL_RESPONSE)
        assert await end == SERVED
        await setup.check_nothing_was_written(server)
        setup.close()

    run(scenario())


def test_the_running_clock_counts_a_hold_up_as_one_tick_and_stops_when_nobody_waits():
    async def scenario():
        clock = RunningClock(asyncio.get_running_loop())
        end_s = clock.run_for(0.1)
        began = monotonic()
        time.sleep(HOLD_UP_S)
        await wait_until(lambda: clock.now() >= end_s)
        assert monotonic() - began >= HOLD_UP_S + 0.1 - TICK_S
        await asyncio.sleep(4 * TICK_S)
        assert clock.now() <= end_s + 2 * TICK_S

    run(scenario())


def test_the_time_until_a_connection_is_settled_is_no_rounding_error():
    """Guards against a timer that is due at once, again and again, on a clock that stands still meanwhile."""

    async def scenario():
        setup = PoolWithServer()
        await setup.answered_connection()
        idle = setup.pool.targets[1].idle
        now_s = idle.clock.now()
        idle.clock.now = lambda: now_s
        setup.idle[0].settles_at = now_s + 1e-15
        assert idle.next_settles_in() >= idle_connections.MIN_SETTLING_DELAY_S
        setup.close()

    run(scenario())


ERRORS = {
    "500": http_response(500),
    "408": http_response(408),
    "503": http_response(503),
}


@pytest.mark.parametrize("error", ERRORS)
def test_a_connection_is_not_used_again_after_an_error(error, settling_time):
    """Guards against an error that has crossed a request, whose real response then reaches the next one."""
    settling_time(0.0)

    async def scenario():
        setup = PoolWithServer()
        server = await setup.answered_connection()
        _, end = setup.start()
        await setup.read(server)
        server.sendall(ERRORS[error])
        assert (await end)[0] is Status.ERROR
        assert not setup.pool.connections
        _, end = setup.start()
        other = await setup.accept()
        await setup.read(other)
        other.sendall(REAL_RESPONSE)
        assert await end == SERVED
        await setup.check_nothing_was_written(server)
        setup.close()

    run(scenario())


def test_a_request_does_not_wait_on_a_new_connection(settling_time):
    settling_time(ENDLESS_SETTLING_TIME_S)

    async def scenario():
        setup = PoolWithServer()
        _, end = setup.start()
        server = await setup.accept()
        await setup.read(server)
        server.sendall(REJECTION)
        assert (await end)[0] is Status.REJECTED
        setup.close()

    run(scenario())


def test_a_request_prefers_a_settled_connection(settling_time):
    settling_time(ENDLESS_SETTLING_TIME_S)

    async def scenario():
        setup = PoolWithServer()
        servers = await setup.answered_connections(2)
        first = setup.idle[0]
        setup.settle(first)
        for _ in range(2):
            _, end = setup.start()
            await setup.read(servers[0])
            servers[0].sendall(REAL_RESPONSE)
            assert await end == SERVED
            setup.settle(first)
        setup.close()

    run(scenario())


def test_one_request_waits_for_a_connection_to_settle_and_others_open_new_ones(settling_time):
    """Otherwise a few connections would limit the throughput to one request each per settling time."""
    settling_time(LONG_SETTLING_TIME_S)

    async def scenario():
        setup = PoolWithServer()
        first, *_ = await setup.answered_connections(3)
        ends = [setup.start()[1] for _ in range(3)]
        others = [await setup.accept() for _ in range(2)]
        for server in (*others, first):
            await setup.read(server)
            server.sendall(REAL_RESPONSE)
        assert [await end for end in ends] == [SERVED] * 3
        assert len(setup.pool.connections) == 5
        setup.close()

    run(scenario())


@pytest.mark.parametrize("end_mode", ["given up", "drain"])
def test_a_request_that_ends_while_it_waits_for_a_connection_to_settle_is_never_written(
    end_mode, settling_time
):
    settling_time(LONG_SETTLING_TIME_S)

    async def scenario():
        setup = PoolWithServer()
        server = await setup.answered_connection()
        exchange, end = setup.start()
        if end_mode == "drain":
            setup.update_state(State.DRAINING)
        else:
            exchange.give_up(Status.TIMEOUT)
        assert await end == (Status.CONNECT_FAILED, None)
        await wait_until(lambda: not setup.pool.targets[1].waiting)
        if end_mode == "drain":
            assert not setup.pool.connections
        else:
            assert len(setup.idle) == 1  # the connection is still usable
            with pytest.raises(BlockingIOError):
                server.recv(1)
        setup.close()
        await setup.check_nothing_was_written(server)

    run(scenario())


class DelayedConnects:
    """The event loop, with connects that wait for `open`."""

    def __init__(self, loop):
        self.loop = loop
        self.open = asyncio.Event()

    def __getattr__(self, name):
        return getattr(self.loop, name)

    async def sock_connect(self, sock, address):
        await self.open.wait()
        await self.loop.sock_connect(sock, address)


async def wait_for_connection_as_another_is_answered(setup):
    """Start an unsafe request that waits for a new connection while another request is answered."""
    _, first = setup.start()
    server = await setup.accept()
    await setup.read(server)
    setup.pool.loop = DelayedConnects(setup.loop)
    _, second = setup.start()
    server.sendall(http_response())
    assert (await first)[0] is Status.OK
    return server, second


def test_a_request_that_waits_for_a_connection_does_not_get_a_late_second_response(settling_time):
    settling_time(LONG_SETTLING_TIME_S)

    async def scenario():
        setup = PoolWithServer()
        server, end = await wait_for_connection_as_another_is_answered(setup)
        server.sendall(REJECTION)
        # Only the new connection remains, whose connect is delayed.
        await wait_until(lambda: len(setup.pool.connections) == 1)
        setup.pool.loop.open.set()
        other = await setup.accept()
        await setup.read(other)
        other.sendall(REAL_RESPONSE)
        assert await end == SERVED
        await setup.check_nothing_was_written(server)
        setup.close()

    run(scenario())


def test_a_request_that_waits_for_a_connection_uses_one_that_has_settled(settling_time):
    settling_time(0.05)

    async def scenario():
        setup = PoolWithServer()
        server, end = await wait_for_connection_as_another_is_answered(setup)
        await setup.read(server)
        server.sendall(REAL_RESPONSE)
        assert await end == SERVED
        setup.pool.loop.open.set()
        await wait_until(lambda: not setup.pool.targets[1].waiting)
        setup.close()

    run(scenario())


def test_a_connection_with_an_unread_second_response_is_not_reused():
    """The second response is in the socket and not read yet when the next request is about to be written."""

    async def scenario():
        setup = PoolWithServer()
        server = await setup.answered_connection()
        server.sendall(REJECTION)
        _, end = setup.start()
        other = await setup.accept()
        await setup.read(other)
        other.sendall(REAL_RESPONSE)
        assert await end == SERVED
        await setup.check_nothing_was_written(server)
        setup.close()

    run(scenario())


def test_a_second_response_on_an_idle_connection_closes_it():
    async def scenario():
        setup = PoolWithServer()
        server = await setup.answered_connection()
        server.sendall(REJECTION)
        await wait_until(lambda: not setup.pool.connections)
        setup.close()

    run(scenario())


def test_a_late_rejection_followed_by_the_real_response_is_no_proof(settling_time):
    """This holds without any settling time."""
    settling_time(0.0)

    async def scenario():
        setup = PoolWithServer()
        server = await setup.answered_connection()
        _, end = setup.start()
        await setup.read(server)
        server.sendall(REJECTION + REAL_RESPONSE)
        assert (await end)[0] not in (Status.REJECTED, Status.CONNECT_FAILED, Status.NOT_SENT)
        assert not setup.pool.connections
        setup.close()

    run(scenario())


@pytest.mark.parametrize("class_name", ["lookup", "hold", "order"])
def test_a_late_rejection_causes_no_retry_of_the_next_request(tmp_path, class_name, settling_time):
    """In a complete sidecar, the second request arrives between the two responses to the first."""
    settling_time(LONG_SETTLING_TIME_S)

    async def scenario():
        send_rejection = asyncio.Event()

        async def act(got, reader, writer):
            await answer_ok(got, reader, writer)
            if got.headers["x-request-id"] == "first":
                await send_rejection.wait()
                writer.write(REJECTION)

        server = await FakePeer(act).start()
        data = config(endpoint_update(1, entry("s0", server.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            assert (await send_request(sidecar.port, http_request("lookup", "first"))).code == 200
            second = asyncio.create_task(send_request(sidecar.port, http_request(class_name, "second")))
            await wait_until(lambda: sidecar.engine.attempts.in_flight)
            send_rejection.set()
            assert (await second).code == 200
        copies = [got for got in server.received if got.headers["x-request-id"] == "second"]
        assert len(copies) == 1

    run(scenario())
