"""Whether an attempt may be sent is checked again when its first byte is written.

Connecting can take long after the decision to send. Each test blocks a connect to a server, changes the state
that the decision depended on, and lets the connect continue.
"""

import asyncio
import contextlib
import socket

import pytest
from net_helpers import (
    HOST,
    MS,
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
    wait_until,
)

from ochreflow.core.limits import MB, Descriptors, Memory
from ochreflow.http.exchange import Exchange
from ochreflow.http.upstream import Upstreams
from ochreflow.policy.interface import ListKind, Membership, Outcome, State, Status

FAST_ANSWER_TIMEOUT_S = 1.0  # an answer at the deadline would come a second later


class BlockableConnectLoop:
    """The event loop, with connects to servers that can be blocked."""

    def __init__(self, loop):
        self.loop = loop
        self.connect_allowed = asyncio.Event()
        self.connect_allowed.set()
        self.blocked_connects = 0

    def __getattr__(self, name):
        return getattr(self.loop, name)

    async def sock_connect(self, sock, address):
        self.blocked_connects += not self.connect_allowed.is_set()
        await self.connect_allowed.wait()
        await self.loop.sock_connect(sock, address)


class SidecarHarness:
    """A sidecar whose connects can be blocked and whose clock can be advanced."""

    def __init__(self, tmp_path, servers, **settings):
        data = config(endpoint_update(1, *servers))
        data["settings"]["ceilings"]["connect-timeout-ns"] = 20_000 * MS
        data["settings"].update(settings)
        self.sidecar = Sidecar(tmp_path / "c", data)
        self.loop = BlockableConnectLoop(asyncio.get_running_loop())
        self.sidecar.upstreams.loop = self.loop
        self.engine = self.sidecar.engine
        self.names = self.sidecar.endpoint_ids

    def block_connects(self):
        self.loop.connect_allowed.clear()

    async def connect_blocked(self):
        await wait_until(lambda: self.loop.blocked_connects, "a connect is blocked")

    def advance_clock(self, ns):
        now = self.engine.clock.now
        self.engine.clock.now = lambda: now() + ns

    def update_balancer(self, *entries):
        """Pass an endpoint update to the balancer only, as before the transports get it."""
        endpoints = []
        for name, zone, cell, state, started in entries:
            listed = self.engine.endpoints.listed[self.names.server(name)]
            listed.endpoint.zone, listed.endpoint.cell = zone, cell
            listed.endpoint.state, listed.endpoint.started_ns = state, started
            endpoints.append(listed.endpoint)
        self.engine.dispatcher.dispatch(Membership(ListKind.DELTA, 2, endpoints))


@contextlib.asynccontextmanager
async def open_client(sidecar, data):
    reader, writer = await asyncio.open_connection(HOST, sidecar.port)
    writer.write(data)
    try:
        yield reader, writer
    finally:
        writer.close()


def block_connects_and_reset(harnesses):
    """Return a handler that blocks all further connects and resets the connection of the first attempt."""

    async def handler(request, reader, writer):
        harnesses[0].block_connects()
        reset(writer)

    return handler


async def start_blocked_retry(tmp_path, harnesses):
    """Start two servers of a group; the first attempt is reset, and the retry waits for a connection."""
    servers = [await FakePeer(block_connects_and_reset(harnesses)).start() for _ in range(2)]
    harness = SidecarHarness(tmp_path, [entry(f"s{n}", server.address) for n, server in enumerate(servers)])
    harnesses.append(harness)
    return harness, servers


def test_a_retry_is_not_sent_if_its_window_ends_while_it_connects(tmp_path):
    async def scenario():
        harness, servers = await start_blocked_retry(tmp_path, [])
        async with (
            harness.sidecar as sidecar,
            open_client(sidecar, http_request("hold", deadline="4000m")) as (reader, _),
        ):
            await harness.connect_blocked()
            harness.engine.balancer.retry_policy.tokens = 10.0  # so that the retry budget is not the reason
            # The deduplication window is 2 s, of which the last tick of 5 ms is not used.
            harness.advance_clock(1995 * MS)
            harness.loop.connect_allowed.set()
            async with asyncio.timeout(FAST_ANSWER_TIMEOUT_S):
                response = await read_message(
                    reader
                )  # no attempt may be sent, so the client is answered at once
            assert response.code == 502
            assert sum(len(server.received) for server in servers) == 1
            assert not harness.engine.attempts.in_flight
            # The connection is still usable, so it is kept.
            assert sum(len(target.idle) for target in sidecar.upstreams.targets.values()) == 1

    run(scenario())


def test_a_retry_is_sent_late_in_its_window(tmp_path):
    async def scenario():
        harness, servers = await start_blocked_retry(tmp_path, [])
        async with harness.sidecar as sidecar, open_client(sidecar, http_request("hold")) as (reader, _):
            await harness.connect_blocked()
            for server in servers:
                server.handler = answer_ok
            harness.advance_clock(1500 * MS)
            harness.loop.connect_allowed.set()
            assert (await read_message(reader)).code == 200
            assert sum(len(server.received) for server in servers) == 2

    run(scenario())


def test_a_retry_is_not_sent_to_a_server_that_moved_to_another_group(tmp_path):
    async def scenario():
        harness, servers = await start_blocked_retry(tmp_path, [])
        async with harness.sidecar as sidecar, open_client(sidecar, http_request("hold")) as (reader, _):
            await harness.connect_blocked()
            (waiting,) = (a.server for a in harness.engine.attempts.in_flight.values())
            name = next(
                e.name for e in harness.engine.endpoints.listed.values() if e.endpoint.server == waiting
            )
            harness.update_balancer((name, 0, 7, State.READY, 0))
            harness.loop.connect_allowed.set()
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                response = await read_message(reader)
            assert response.code in (502, 504)
            # Both attempts may have been sent to the same server, none to the other one.
            assert sorted(bool(server.received) for server in servers) == [False, True]

    run(scenario())


@pytest.mark.parametrize("state", [State.DRAINING, State.REMOVED])
def test_no_attempt_begins_at_a_server_that_is_draining_or_removed_in_the_balancer(tmp_path, state):
    """This holds even if the transport has not been updated yet: only the balancer decides."""

    async def scenario():
        server = await FakePeer(answer_ok).start()
        harness = SidecarHarness(tmp_path, [entry("s0", server.address)])
        async with harness.sidecar as sidecar:
            harness.block_connects()
            async with open_client(sidecar, http_request("order")) as (reader, _):
                await harness.connect_blocked()
                harness.update_balancer(("s0", 0, 1, state, 0))
                harness.loop.connect_allowed.set()
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    assert (await read_message(reader)).code == 503
                assert not server.received

    run(scenario())


def test_no_attempt_begins_after_the_deadline_even_if_the_timer_has_not_fired(tmp_path):
    async def scenario():
        server = await FakePeer(answer_ok).start()
        harness = SidecarHarness(tmp_path, [entry("s0", server.address)])
        async with harness.sidecar as sidecar:
            harness.block_connects()
            async with open_client(sidecar, http_request("order")) as (reader, _):
                await harness.connect_blocked()
                harness.advance_clock(2990 * MS)  # of 3 s; the timers of the loop do not fire earlier
                harness.loop.connect_allowed.set()
                async with asyncio.timeout(FAST_ANSWER_TIMEOUT_S):
                    assert (await read_message(reader)).code == 503
                assert not server.received

    run(scenario())


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_no_attempt_begins_after_a_disconnect_that_the_loop_has_not_read_yet(tmp_path, how):
    async def scenario():
        server = await FakePeer(answer_ok).start()
        harness = SidecarHarness(tmp_path, [entry("s0", server.address)])
        async with harness.sidecar as sidecar:
            harness.block_connects()
            sock = socket.create_connection((HOST, sidecar.port))
            sock.sendall(http_request("order"))
            await harness.connect_blocked()
            original = sidecar.upstreams._try_send

            def disconnect_and_send(connection, exchange):
                # The EOF is in the socket, but the loop has had no iteration to read it.
                if how == "half-close":
                    sock.shutdown(socket.SHUT_WR)
                else:
                    if how == "reset":
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    sock.close()
                return original(connection, exchange)

            sidecar.upstreams._try_send = disconnect_and_send
            harness.loop.connect_allowed.set()
            await wait_until(
                lambda: not harness.engine.requests.pending and not harness.engine.attempts.in_flight
            )
            await asyncio.sleep(0)
            assert not server.received
            sock.close()

    run(scenario())


def test_no_attempt_begins_at_a_server_that_restarted_since_it_was_chosen(tmp_path):
    """The choice and the slow-start tokens were for the previous start, so the balancer chooses again."""

    async def scenario():
        server = await FakePeer(answer_ok).start()
        harness = SidecarHarness(tmp_path, [entry("s0", server.address)])
        async with harness.sidecar as sidecar:
            ends = []
            handle = harness.engine.balancer.handle

            def watched(now, event):
                if isinstance(event, Outcome):
                    ends.append(event.status)
                return handle(now, event)

            harness.engine.balancer.handle = watched
            harness.block_connects()
            async with open_client(sidecar, http_request("order")) as (reader, _):
                await harness.connect_blocked()
                number = harness.names.server("s0")
                sidecar.upstreams.update(number, (HOST, server.port), 1, State.READY)
                harness.loop.connect_allowed.set()
                assert (await read_message(reader)).code == 200
            assert ends == [Status.NOT_SENT, Status.OK] and len(server.received) == 1

    run(scenario())


def test_slow_start_tokens_of_an_attempt_that_did_not_begin_are_refunded(tmp_path):
    async def scenario():
        server = await FakePeer(answer_ok).start()
        warm = await FakePeer(answer_ok).start()
        harness = SidecarHarness(tmp_path, [entry("s0", server.address), entry("s1", warm.address)])
        refunded = []
        harness.engine.balancer.slow_start.refund_tokens = lambda server, class_index, sent: refunded.append(
            (server.id, class_index)
        )
        async with harness.sidecar as sidecar:
            harness.block_connects()
            async with open_client(sidecar, http_request("order")) as (reader, _):
                await harness.connect_blocked()
                (chosen,) = (attempt.server for attempt in harness.engine.attempts.in_flight.values())
                name = "s0" if harness.names.server("s0") == chosen else "s1"
                harness.update_balancer((name, 0, 1, State.DRAINING, 0))
                harness.loop.connect_allowed.set()
                assert (await read_message(reader)).code == 200
            assert refunded == [(chosen, 2)]

    run(scenario())


def test_an_exception_of_the_balancer_at_a_first_byte_loses_no_answer_and_no_connection(tmp_path):
    """The connection of a complete answer is offered to a waiting attempt, for which the balancer raises."""

    async def scenario():
        async def answer_when_allowed(request, reader, writer):
            await answer_allowed.wait()
            writer.write(http_response(200, b"complete"))

        answer_allowed = asyncio.Event()
        server = await FakePeer(answer_when_allowed).start()
        harness = SidecarHarness(tmp_path, [entry("s0", server.address)])
        async with (
            harness.sidecar as sidecar,
            open_client(sidecar, http_request("order", "first")) as (first, _),
        ):
            await wait_until(lambda: server.received)
            harness.block_connects()
            async with open_client(sidecar, http_request("order", "second")) as (second, _):
                await harness.connect_blocked()

                def fail(*_):
                    raise RuntimeError("injected")

                harness.engine.balancer.write_by = fail
                answer_allowed.set()
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    assert (await read_message(first)).body == b"complete"
                    assert (await read_message(second)).code == 503
            assert len(server.received) == 1
            assert len(sidecar.upstreams.targets[harness.names.server("s0")].idle) == 1

    run(scenario())


def test_an_attempt_that_was_refused_does_not_begin_on_the_next_free_connection(tmp_path):
    """Two connections become free in one loop iteration; the balancer raises for the first only.

    The attempt has ended as not sent by then, and the request is retried: if the attempt began on the second
    connection nevertheless, the server would run the same order twice.
    """

    async def scenario():
        async def answer_when_allowed(request, reader, writer):
            await answer_allowed.wait()
            writer.write(http_response(200, b"complete"))

        answer_allowed = asyncio.Event()
        server = await FakePeer(answer_when_allowed).start()
        harness = SidecarHarness(tmp_path, [entry("s0", server.address)])
        async with contextlib.AsyncExitStack() as stack:
            sidecar = await stack.enter_async_context(harness.sidecar)
            first, _ = await stack.enter_async_context(open_client(sidecar, http_request("order", "first")))
            second, _ = await stack.enter_async_context(open_client(sidecar, http_request("order", "second")))
            await wait_until(lambda: len(server.received) == 2)
            harness.block_connects()
            third, _ = await stack.enter_async_context(open_client(sidecar, http_request("order", "third")))
            await harness.connect_blocked()
            write_by, calls = harness.engine.balancer.write_by, []

            def fail_once(*args):
                calls.append(args)
                if len(calls) == 1:
                    raise RuntimeError("injected")
                return write_by(*args)

            harness.engine.balancer.write_by = fail_once
            answer_allowed.set()
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                assert (await read_message(first)).body == b"complete"
                assert (await read_message(second)).body == b"complete"
                await read_message(third)
            assert [request.headers["x-request-id"] for request in server.received].count("third") <= 1

    run(scenario())


async def pool_and_server():
    """Return a connection pool, and a listening socket whose connections are not read."""
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    server.bind((HOST, 0))
    server.listen()
    server.setblocking(False)
    pool = Upstreams(asyncio.get_running_loop(), Descriptors(1024), Memory(192 * MB), 5.0, 60.0)
    pool.update(1, server.getsockname(), 0, State.READY)
    return pool, server


@pytest.mark.parametrize("size, status", [(8 * MB, Status.NOT_SENT), (32 * 1024, Status.CANCELLED)])
def test_a_request_that_is_not_received_before_its_write_timeout_is_never_received(size, status):
    """The unsent rest is in a sidecar's or socket's buffer and would arrive once the server reads again."""

    async def scenario():
        loop = asyncio.get_running_loop()
        pool, server = await pool_and_server()
        end = loop.create_future()
        payload = b"GET / HTTP/1.1\r\n\r\n" + bytes(size)
        exchange = Exchange(
            lambda: payload,
            lambda _, status, answer: end.set_result(status),
            64 * 1024,
            write_timeout_s=lambda: 0.2,
        )
        pool.start(1, exchange, WAIT_TIMEOUT_S)
        peer, _ = await loop.sock_accept(server)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            assert await end is status
        received_bytes = 0
        with contextlib.suppress(ConnectionResetError):
            while data := await loop.sock_recv(peer, 1 << 20):
                received_bytes += len(data)
        assert received_bytes < len(payload)
        peer.close()
        server.close()
        pool.close()

    run(scenario())


def test_a_request_that_is_received_before_its_write_timeout_is_still_answered():
    async def scenario():
        loop = asyncio.get_running_loop()
        pool, server = await pool_and_server()
        end = loop.create_future()
        exchange = Exchange(
            lambda: b"GET / HTTP/1.1\r\n\r\n",
            lambda _, status, answer: end.set_result(status),
            64 * 1024,
            write_timeout_s=lambda: 0.05,
        )
        pool.start(1, exchange, WAIT_TIMEOUT_S)
        peer, _ = await loop.sock_accept(server)
        await loop.sock_recv(peer, 1 << 20)
        await wait_until(
            lambda: exchange.write_timer is not None and exchange.write_timer.when() < loop.time()
        )
        await asyncio.sleep(0)
        assert not exchange.ended
        await loop.sock_sendall(peer, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert await end is Status.OK
        peer.close()
        server.close()
        pool.close()

    run(scenario())


def announced_timeout_ms(request):
    """Return the timeout that a request announced to its server, in ms."""
    return int(request.headers["x-deadline"].removesuffix("m"))


@pytest.mark.parametrize("further", [False, True], ids=["first", "further"])
def test_a_request_announces_the_time_left_when_its_connection_is_established(tmp_path, further):
    """The time left at the decision is too long: slow connects made it so for a quarter of requests."""

    async def scenario():
        harnesses = []
        servers = [
            await FakePeer(block_connects_and_reset(harnesses) if further else answer_ok).start()
            for _ in range(2)
        ]
        harness = SidecarHarness(
            tmp_path, [entry(f"s{n}", server.address) for n, server in enumerate(servers)]
        )
        harnesses.append(harness)
        if not further:
            harness.block_connects()
        async with (
            harness.sidecar as sidecar,
            open_client(sidecar, http_request("lookup", deadline="1500m")) as (reader, _),
        ):
            await harness.connect_blocked()
            for server in servers:
                server.handler = answer_ok
            harness.advance_clock(900 * MS)
            harness.loop.connect_allowed.set()
            assert (await read_message(reader)).code == 200
            *before, last = sorted(
                (request for server in servers for request in server.received),
                key=announced_timeout_ms,
                reverse=True,
            )
            assert len(before) == further
            assert 0 < announced_timeout_ms(last) <= 600
            assert all(600 < announced_timeout_ms(request) < 1500 for request in before)

    run(scenario())


@pytest.mark.parametrize(
    ("size", "late_bytes", "announced_ms"),
    [
        (72 * 1024, 1000, range(3000, 3001)),  # the last byte is written after the wait
        (256 * 1024, 0, range(1950, 2251)),  # it waits in the socket, as long as the connection is awaited
    ],
)
def test_a_request_with_an_incomplete_body_announces_the_time_from_its_last_byte(
    tmp_path, size, late_bytes, announced_ms
):
    """The client's timeout runs from its last byte, however long connecting to the server took.

    STANDING: the time that an attempt tells its server is at most what is left, with 0.15 s of slack.
    """

    async def scenario():
        server = await FakePeer(answer_ok).start()
        harness = SidecarHarness(tmp_path, [entry("s0", server.address)])
        async with harness.sidecar as sidecar:
            harness.block_connects()
            body = b"x" * size
            data = http_request("order", body=body)
            split_at = len(data) - late_bytes
            async with open_client(sidecar, data[:split_at]) as (reader, writer):
                await harness.connect_blocked()
                await asyncio.sleep(0.05)  # all that is written has arrived
                harness.advance_clock(900 * MS)
                harness.loop.connect_allowed.set()
                await wait_until(
                    lambda: (
                        server.received
                        or any(
                            one.upstream_attempt.begun for one in harness.engine.attempts.in_flight.values()
                        )
                    )
                )
                writer.write(data[split_at:])
                assert (await read_message(reader)).code == 200
                assert announced_timeout_ms(server.received[0]) in announced_ms
                assert server.received[0].body == body

    run(scenario())


def test_the_duration_of_an_attempt_does_not_include_its_wait_for_a_connection(tmp_path):
    """Guards against a limit on requests in flight that falls, and rejects, while connections settle."""

    async def scenario():
        server = await FakePeer(answer_ok).start()
        harness = SidecarHarness(tmp_path, [entry("s0", server.address)])
        outcomes = []
        dispatch = harness.engine.dispatcher.dispatch

        def record(event):
            outcomes.extend([event] if isinstance(event, Outcome) else [])
            dispatch(event)

        harness.engine.dispatcher.dispatch = record
        harness.block_connects()
        async with (
            harness.sidecar as sidecar,
            open_client(sidecar, http_request("lookup", deadline="4000m")) as (reader, _),
        ):
            await harness.connect_blocked()
            harness.advance_clock(1000 * MS)
            harness.loop.connect_allowed.set()
            assert (await read_message(reader)).code == 200
        (outcome,) = outcomes
        assert outcome.status is Status.OK and 0 < outcome.duration_ns < 1000 * MS

    run(scenario())
