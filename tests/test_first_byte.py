"""What may be sent is judged again as the first byte goes out: connections come up long after the decision.

Each connect to a server is held at a named point, the world changes, and the connect is let go.
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

SOON = 1.0  # seconds: an answer at the deadline would come a second later


class Holding:
    """The loop, with connects to servers that are held until they are let go."""

    def __init__(self, loop):
        self.loop = loop
        self.open = asyncio.Event()
        self.open.set()
        self.held = 0

    def __getattr__(self, name):
        return getattr(self.loop, name)

    async def sock_connect(self, sock, address):
        self.held += not self.open.is_set()
        await self.open.wait()
        await self.loop.sock_connect(sock, address)


class Stage:
    """A sidecar whose connects can be held and whose clock can be put forward."""

    def __init__(self, tmp_path, servers, **settings):
        data = config(endpoint_update(1, *servers))
        data["settings"]["ceilings"]["connect-timeout-ns"] = 20_000 * MS
        data["settings"].update(settings)
        self.sidecar = Sidecar(tmp_path / "c", data)
        self.loop = Holding(asyncio.get_running_loop())
        self.sidecar.upstreams.loop = self.loop
        self.engine = self.sidecar.engine
        self.names = self.sidecar.endpoint_ids

    def hold(self):
        self.loop.open.clear()

    async def held(self):
        await wait_until(lambda: self.loop.held, "a connect is held")

    def put_forward(self, ns):
        now = self.engine.clock.now
        self.engine.clock.now = lambda: now() + ns

    def tell(self, *entries):
        """The module alone hears news, as it does before the carrier hears of them."""
        endpoints = []
        for name, zone, cell, state, started in entries:
            listed = self.engine.endpoints.listed[self.names.server(name)]
            listed.endpoint.zone, listed.endpoint.cell = zone, cell
            listed.endpoint.state, listed.endpoint.started_ns = state, started
            endpoints.append(listed.endpoint)
        self.engine.dispatcher.dispatch(Membership(ListKind.DELTA, 2, endpoints))


@contextlib.asynccontextmanager
async def client(sidecar, data):
    reader, writer = await asyncio.open_connection(HOST, sidecar.port)
    writer.write(data)
    try:
        yield reader, writer
    finally:
        writer.close()


def once(stage):
    """A server that holds all further connects, and breaks the connection under the first copy."""

    async def act(got, reader, writer):
        stage[0].hold()
        reset(writer)

    return act


async def repeat_is_held(tmp_path, stages):
    """Two servers of a group; a keyed request's first copy is lost, the second waits for a connection."""
    servers = [await FakePeer(once(stages)).start() for _ in range(2)]
    stage = Stage(tmp_path, [entry(f"s{n}", server.address) for n, server in enumerate(servers)])
    stages.append(stage)
    return stage, servers


def test_a_repeat_whose_window_is_over_when_its_connection_is_up_is_not_sent(tmp_path):
    async def play():
        stage, servers = await repeat_is_held(tmp_path, [])
        async with (
            stage.sidecar as sidecar,
            client(sidecar, http_request("hold", deadline="4000m")) as (reader, _),
        ):
            await stage.held()
            stage.engine.balancer.retry_policy.tokens = 10.0  # not for want of budget
            stage.put_forward(1995 * MS)  # of a window of 2 s, whose last tick of 5 ms is not used
            stage.loop.open.set()
            async with asyncio.timeout(SOON):
                got = await read_message(reader)  # nothing may be sent any more, so its client hears at once
            assert got.code == 502
            assert sum(len(server.received) for server in servers) == 1
            assert not stage.engine.attempts.in_flight
            # The connection is as good as before: it is kept.
            assert sum(len(target.idle) for target in sidecar.upstreams.targets.values()) == 1

    run(play())


def test_a_repeat_goes_out_in_the_last_moment_of_its_window(tmp_path):
    async def play():
        stage, servers = await repeat_is_held(tmp_path, [])
        async with stage.sidecar as sidecar, client(sidecar, http_request("hold")) as (reader, _):
            await stage.held()
            for server in servers:
                server.handler = answer_ok
            stage.put_forward(1500 * MS)
            stage.loop.open.set()
            assert (await read_message(reader)).code == 200
            assert sum(len(server.received) for server in servers) == 2

    run(play())


def test_a_repeat_whose_server_has_gone_over_to_another_group_is_not_sent_there(tmp_path):
    async def play():
        stage, servers = await repeat_is_held(tmp_path, [])
        async with stage.sidecar as sidecar, client(sidecar, http_request("hold")) as (reader, _):
            await stage.held()
            (waiting,) = (a.server for a in stage.engine.attempts.in_flight.values())
            name = next(
                e.name for e in stage.engine.endpoints.listed.values() if e.endpoint.server == waiting
            )
            stage.tell((name, 0, 7, State.READY, 0))
            stage.loop.open.set()
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                got = await read_message(reader)
            assert got.code in (502, 504)
            # Both copies may have gone to the server that got the first one, none to the other.
            assert sorted(bool(server.received) for server in servers) == [False, True]

    run(play())


@pytest.mark.parametrize("state", [State.DRAINING, State.REMOVED])
def test_nothing_begins_at_a_server_that_drains_by_the_module(tmp_path, state):
    """Even where the carrier has not been told yet: one owner judges."""

    async def play():
        server = await FakePeer(answer_ok).start()
        stage = Stage(tmp_path, [entry("s0", server.address)])
        async with stage.sidecar as sidecar:
            stage.hold()
            async with client(sidecar, http_request("order")) as (reader, _):
                await stage.held()
                stage.tell(("s0", 0, 1, state, 0))
                stage.loop.open.set()
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    assert (await read_message(reader)).code == 503
                assert not server.received

    run(play())


def test_nothing_begins_once_the_time_is_over_though_the_loop_has_not_told_so_yet(tmp_path):
    async def play():
        server = await FakePeer(answer_ok).start()
        stage = Stage(tmp_path, [entry("s0", server.address)])
        async with stage.sidecar as sidecar:
            stage.hold()
            async with client(sidecar, http_request("order")) as (reader, _):
                await stage.held()
                stage.put_forward(2990 * MS)  # of 3 s; the timers of the loop know nothing of it
                stage.loop.open.set()
                async with asyncio.timeout(SOON):
                    assert (await read_message(reader)).code == 503
                assert not server.received

    run(play())


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_nothing_begins_for_a_client_that_has_left_though_the_loop_has_not_read_it_yet(tmp_path, how):
    async def play():
        server = await FakePeer(answer_ok).start()
        stage = Stage(tmp_path, [entry("s0", server.address)])
        async with stage.sidecar as sidecar:
            stage.hold()
            sock = socket.create_connection((HOST, sidecar.port))
            sock.sendall(http_request("order"))
            await stage.held()
            original = sidecar.upstreams._try_send

            def put(connection, exchange):
                # The crossing: the end is in the system, and the loop has had no turn to read it.
                if how == "half-close":
                    sock.shutdown(socket.SHUT_WR)
                else:
                    if how == "reset":
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    sock.close()
                return original(connection, exchange)

            sidecar.upstreams._try_send = put
            stage.loop.open.set()
            await wait_until(
                lambda: not stage.engine.requests.pending and not stage.engine.attempts.in_flight
            )
            await asyncio.sleep(0)
            assert not server.received
            sock.close()

    run(play())


def test_nothing_begins_at_a_server_that_has_started_anew_since_it_was_chosen(tmp_path):
    """The pace that was taken was another start's, and so was the choice: the module chooses again."""

    async def play():
        server = await FakePeer(answer_ok).start()
        stage = Stage(tmp_path, [entry("s0", server.address)])
        async with stage.sidecar as sidecar:
            ends = []
            handle = stage.engine.balancer.handle

            def watched(now, event):
                if isinstance(event, Outcome):
                    ends.append(event.status)
                return handle(now, event)

            stage.engine.balancer.handle = watched
            stage.hold()
            async with client(sidecar, http_request("order")) as (reader, _):
                await stage.held()
                number = stage.names.server("s0")
                sidecar.upstreams.update(number, (HOST, server.port), 1, State.READY)
                stage.loop.open.set()
                assert (await read_message(reader)).code == 200
            assert ends == [Status.NOT_SENT, Status.OK] and len(server.received) == 1

    run(play())


def test_the_pace_of_an_attempt_that_did_not_begin_is_given_back(tmp_path):
    async def play():
        server = await FakePeer(answer_ok).start()
        warm = await FakePeer(answer_ok).start()
        stage = Stage(tmp_path, [entry("s0", server.address), entry("s1", warm.address)])
        given = []
        stage.engine.balancer.slow_start.refund_tokens = lambda server, class_index, sent: given.append(
            (server.id, class_index)
        )
        async with stage.sidecar as sidecar:
            stage.hold()
            async with client(sidecar, http_request("order")) as (reader, _):
                await stage.held()
                (chosen,) = (attempt.server for attempt in stage.engine.attempts.in_flight.values())
                name = "s0" if stage.names.server("s0") == chosen else "s1"
                stage.tell((name, 0, 1, State.DRAINING, 0))
                stage.loop.open.set()
                assert (await read_message(reader)).code == 200
            assert given == [(chosen, 2)]

    run(play())


def test_a_fault_of_the_module_at_a_first_byte_loses_neither_an_answer_nor_a_connection(tmp_path):
    """The connection of an answer just come is offered to the one that waits: there the module fails."""

    async def play():
        async def act(got, reader, writer):
            await go.wait()
            writer.write(http_response(200, b"whole"))

        go = asyncio.Event()
        server = await FakePeer(act).start()
        stage = Stage(tmp_path, [entry("s0", server.address)])
        async with stage.sidecar as sidecar, client(sidecar, http_request("order", "first")) as (first, _):
            await wait_until(lambda: server.received)
            stage.hold()
            async with client(sidecar, http_request("order", "second")) as (second, _):
                await stage.held()

                def fail(*_):
                    raise RuntimeError("as if it had a fault")

                stage.engine.balancer.write_by = fail
                go.set()
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    assert (await read_message(first)).body == b"whole"
                    assert (await read_message(second)).code == 503
            assert len(server.received) == 1
            assert len(sidecar.upstreams.targets[stage.names.server("s0")].idle) == 1

    run(play())


def test_an_attempt_that_was_barred_does_not_begin_on_the_next_connection_that_comes_free(tmp_path):
    """Two connections come free in one turn: the module fails at the first one, and would allow the second.

    Ended as one that never began it would be sent again, and its server would do the same order twice.
    """

    async def play():
        async def act(got, reader, writer):
            await go.wait()
            writer.write(http_response(200, b"whole"))

        go = asyncio.Event()
        server = await FakePeer(act).start()
        stage = Stage(tmp_path, [entry("s0", server.address)])
        async with contextlib.AsyncExitStack() as stack:
            sidecar = await stack.enter_async_context(stage.sidecar)
            first, _ = await stack.enter_async_context(client(sidecar, http_request("order", "first")))
            second, _ = await stack.enter_async_context(client(sidecar, http_request("order", "second")))
            await wait_until(lambda: len(server.received) == 2)
            stage.hold()
            third, _ = await stack.enter_async_context(client(sidecar, http_request("order", "third")))
            await stage.held()
            judge, asked = stage.engine.balancer.write_by, []

            def fail_once(*what):
                asked.append(what)
                if len(asked) == 1:
                    raise RuntimeError("as if it had a fault")
                return judge(*what)

            stage.engine.balancer.write_by = fail_once
            go.set()
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                assert (await read_message(first)).body == b"whole"
                assert (await read_message(second)).body == b"whole"
                await read_message(third)
            assert [got.headers["x-request-id"] for got in server.received].count("third") <= 1

    run(play())


async def pool_and_server():
    """A pool, and a server that reads nothing until it is told."""
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    server.bind((HOST, 0))
    server.listen()
    server.setblocking(False)
    pool = Upstreams(asyncio.get_running_loop(), Descriptors(1024), Memory(192 * MB), 5.0, 60.0)
    pool.update(1, server.getsockname(), 0, State.READY)
    return pool, server


@pytest.mark.parametrize("size, status", [(8 * MB, Status.NOT_SENT), (32 * 1024, Status.CANCELLED)])
def test_what_has_not_arrived_when_its_window_ends_never_does(size, status):
    """Held by the own buffer, or by the system: it would arrive whole once the server reads again."""

    async def play():
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
        came = 0
        with contextlib.suppress(ConnectionResetError):
            while data := await loop.sock_recv(peer, 1 << 20):
                came += len(data)
        assert came < len(payload)
        peer.close()
        server.close()
        pool.close()

    run(play())


def test_what_has_arrived_when_its_window_ends_is_waited_for():
    async def play():
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

    run(play())


def told(got):
    """What a server was told to take at the most, in ms."""
    return int(got.headers["x-deadline"].removesuffix("m"))


@pytest.mark.parametrize("further", [False, True], ids=["first", "further"])
def test_a_server_is_told_the_time_that_is_left_when_its_connection_is_up(tmp_path, further):
    """Not what was left at the decision: on a day of late connections a quarter told more than there was."""

    async def play():
        stages = []
        servers = [await FakePeer(once(stages) if further else answer_ok).start() for _ in range(2)]
        stage = Stage(tmp_path, [entry(f"s{n}", server.address) for n, server in enumerate(servers)])
        stages.append(stage)
        if not further:
            stage.hold()
        async with (
            stage.sidecar as sidecar,
            client(sidecar, http_request("lookup", deadline="1500m")) as (reader, _),
        ):
            await stage.held()
            for server in servers:
                server.handler = answer_ok
            stage.put_forward(900 * MS)
            stage.loop.open.set()
            assert (await read_message(reader)).code == 200
            *before, last = sorted(
                (got for server in servers for got in server.received), key=told, reverse=True
            )
            assert len(before) == further
            assert 0 < told(last) <= 600
            assert all(600 < told(got) < 1500 for got in before)

    run(play())


def test_a_server_is_told_all_of_a_clients_patience_while_the_body_still_comes(tmp_path):
    """The client's time runs from its last byte, however long its connection took to come up."""

    async def play():
        server = await FakePeer(answer_ok).start()
        stage = Stage(tmp_path, [entry("s0", server.address)])
        async with stage.sidecar as sidecar:
            stage.hold()
            body = b"x" * (256 * 1024)
            whole = http_request("order", body=body)
            cut = len(whole) - 1000
            async with client(sidecar, whole[:cut]) as (reader, writer):
                await stage.held()
                stage.put_forward(900 * MS)
                stage.loop.open.set()
                await wait_until(
                    lambda: any(
                        one.upstream_attempt.begun for one in stage.engine.attempts.in_flight.values()
                    )
                )
                writer.write(whole[cut:])
                assert (await read_message(reader)).code == 200
                assert told(server.received[0]) == 3000 and server.received[0].body == body

    run(play())
