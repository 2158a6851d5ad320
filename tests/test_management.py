"""The management interface: its calls, their validation, its limits, and the statistics."""

import asyncio
import contextlib

import pytest
from net_helpers import (
    HOST,
    FakePeer,
    Sidecar,
    answer_ok,
    config,
    endpoint_update,
    entry,
    http_request,
    http_response,
    never_answer,
    read_message,
    run,
    send_request,
    wait_until,
)

from ochreflow.core import lifecycle
from ochreflow.core.stats import Disposition, Gauges, Stats, render
from ochreflow.http import management
from ochreflow.http.management import Management

READY = b"GET /-/ready HTTP/1.1\r\n\r\n"


def call(method, path):
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


@contextlib.asynccontextmanager
async def management_interface(sidecar):
    """Serve the management interface of a sidecar, and yield its port."""
    loop = asyncio.get_running_loop()
    listener = Management(loop, sidecar.engine)
    server = await loop.create_server(listener.connection, HOST, 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        listener.close()


async def read_statistics(port):
    got = await send_request(port, call("GET", "/stats"))
    assert got.code == 200
    return {name: int(value) for name, value in (line.split("=") for line in got.body.decode().split())}


def test_statistics_list_every_class_from_the_start():
    stats = Stats(["a", "b"])
    stats.add_frontend("http")
    stats.ended(1, Disposition.DECLINED, stats.add_frontend("lines"))
    stats.forwarded()
    assert render(
        stats, Gauges(3, 2, 1, reserved_bytes=5, max_reserved_bytes=6, overhead_bytes=7)
    ).splitlines() == [
        "app.results.a.succeeded=0",
        "app.results.a.declined=0",
        "app.results.a.aborted=0",
        "app.results.b.succeeded=0",
        "app.results.b.declined=1",
        "app.results.b.aborted=0",
        "app.fronts.http.succeeded=0",
        "app.fronts.http.declined=0",
        "app.fronts.http.aborted=0",
        "app.fronts.lines.succeeded=0",
        "app.fronts.lines.declined=1",
        "app.fronts.lines.aborted=0",
        "app.forwards=1",
        "app.outstanding=3",
        "app.discovered=2",
        "app.ejected=1",
        "app.memory.reserved=5",
        "app.memory.max_reserved=6",
        "app.memory.overhead=7",
    ]


def test_statistics_match_the_responses_to_clients_and_the_requests_at_servers(tmp_path):
    async def scenario():
        async def act(message, reader, writer):
            request_id = message.headers["x-request-id"]
            if request_id == "pending":
                await release.wait()
            if request_id == "full":
                writer.write(http_response(503, b"", "X-Not-Run: 1"))
            else:
                writer.write(http_response(500 if request_id == "bad" else 200, b"x"))

        release = asyncio.Event()
        fake = await FakePeer(act).start()
        data = config(endpoint_update(1, entry("s1", fake.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar, management_interface(sidecar) as port:
            assert (await send_request(sidecar.port, http_request("order", "good"))).code == 200
            assert (await send_request(sidecar.port, http_request("order", "good"))).code == 409
            assert (await send_request(sidecar.port, http_request("order", "bad"))).code == 502
            assert (await send_request(sidecar.port, http_request("hold", "full", "300m"))).code == 503
            pending = asyncio.create_task(send_request(sidecar.port, http_request("lookup", "pending")))
            await wait_until(lambda: any(got.headers["x-request-id"] == "pending" for got in fake.received))
            statistics = await read_statistics(port)
            assert statistics["app.results.order.succeeded"] == 1
            assert statistics["app.results.order.aborted"] == 2
            assert statistics["app.results.hold.declined"] == 1
            assert statistics["app.results.lookup.succeeded"] == 0
            assert statistics["app.outstanding"] == 1 and statistics["app.discovered"] == 1
            assert statistics["app.forwards"] == len(fake.received)
            release.set()
            assert (await pending).code == 200
            assert (await read_statistics(port))["app.outstanding"] == 0

    run(scenario())


def test_an_ejected_server_is_counted(tmp_path):
    async def scenario():
        fake = await FakePeer(never_answer).start()
        entries = [entry(f"s{n}", fake.address) for n in range(3)]
        async with (
            Sidecar(tmp_path / "c", config(endpoint_update(1, *entries))) as sidecar,
            management_interface(sidecar) as port,
        ):
            assert (await read_statistics(port))["app.ejected"] == 0
            sidecar.engine.balancer.outlier_detector.eject(
                next(iter(sidecar.engine.balancer.endpoints.servers.values()))
            )
            statistics = await read_statistics(port)
            assert statistics["app.ejected"] == 1 and statistics["app.discovered"] == 3

    run(scenario())


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (call("GET", "/healthcheck"), 200),
        (call("GET", "/healthcheck?x=1"), 200),
        (call("GET", "/stat"), 404),
        (call("POST", "/stats"), 405),
        (call("GET", "/healthcheck/fail"), 405),
        (b"noise\r\n\r\n", 400),
        (b"GET /stats HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"GET /stats HTTP/1.1\r\nX-Long: " + b"x" * 9000, 400),
        (b"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: 2\r\n\r\nok", 200),
    ],
)
def test_each_call_gets_one_response_and_its_connection_is_closed(tmp_path, data, code):
    async def scenario():
        async with (
            Sidecar(tmp_path / "c", config(endpoint_update(1))) as sidecar,
            management_interface(sidecar) as port,
        ):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(data)
            got = await read_message(reader)
            assert got.code == code and got.headers["connection"] == "close"
            assert await reader.read() == b""
            writer.close()

    run(scenario())


def test_the_oldest_silent_connection_is_closed_for_a_new_one(tmp_path, monkeypatch):
    monkeypatch.setattr(management, "READ_TIMEOUT_S", 30.0)

    async def scenario():
        async with (
            Sidecar(tmp_path / "c", config(endpoint_update(1))) as sidecar,
            management_interface(sidecar) as port,
        ):
            callers = [await asyncio.open_connection(HOST, port) for _ in range(management.MAX_CONNECTIONS)]
            callers[0][1].write(b"GET /sta")
            assert (await send_request(port, call("GET", "/healthcheck"))).code == 200
            assert await callers[0][0].read() == b""  # the oldest was closed for the new one
            for _, writer in callers:
                writer.close()

    run(scenario())


def test_an_incomplete_call_times_out(tmp_path, monkeypatch):
    monkeypatch.setattr(management, "READ_TIMEOUT_S", 0.05)

    async def scenario():
        async with (
            Sidecar(tmp_path / "c", config(endpoint_update(1))) as sidecar,
            management_interface(sidecar) as port,
        ):
            assert (await send_request(port, b"GET /sta")).code == 408
            reader, writer = await asyncio.open_connection(HOST, port)
            assert await reader.read() == b""
            writer.close()

    run(scenario())


def test_a_drain_closes_all_connections_and_can_be_undone(tmp_path, monkeypatch):
    monkeypatch.setattr(lifecycle, "IDLE_CLOSE_DELAY_S", 0.2)

    async def scenario():
        async def act(message, reader, writer):
            if message.headers["x-request-id"] == "pending":
                await release.wait()
            writer.write(http_response(200, b"served"))

        release = asyncio.Event()
        fake = await FakePeer(act).start()
        data = config(endpoint_update(1, entry("s1", fake.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar, management_interface(sidecar) as port:
            idle_reader, idle_writer = await asyncio.open_connection(HOST, sidecar.port)
            partial_reader, partial_writer = await asyncio.open_connection(HOST, sidecar.port)
            idle_writer.write(http_request("order", "first"))
            assert "connection" not in (await read_message(idle_reader)).headers
            pending = asyncio.create_task(send_request(sidecar.port, http_request("order", "pending")))
            request = http_request("order", "half", "3000m", b"body")
            partial_writer.write(request[:30])
            await wait_until(
                lambda: any(connection.message_begun for connection in sidecar.http.clients.connections)
            )
            assert (await send_request(port, call("POST", "/healthcheck/fail"))).code == 200
            assert (await send_request(port, call("GET", "/healthcheck"))).code == 503
            assert (await send_request(sidecar.port, READY)).code == 503
            got = await send_request(sidecar.port, http_request("order", "late"))  # within IDLE_CLOSE_DELAY_S
            assert got.code == 200 and got.headers["connection"] == "close"
            assert await idle_reader.read() == b""
            await wait_until(lambda: sidecar.engine.lifecycle.closing_idle_connections)
            partial_writer.write(request[30:])  # had begun before: it is answered
            assert (await read_message(partial_reader)).headers["connection"] == "close"
            assert (await send_request(sidecar.port, http_request("order", "later"))).code == 503
            release.set()
            assert (await pending).headers["connection"] == "close"
            await wait_until(lambda: not sidecar.http.clients.connections)
            assert (await send_request(port, call("POST", "/healthcheck/ok"))).code == 200
            assert (await send_request(sidecar.port, READY)).code == 200
            got = await send_request(sidecar.port, http_request("order", "again"))
            assert got.code == 200 and "connection" not in got.headers
            for writer in (idle_writer, partial_writer):
                writer.close()

    run(scenario())


def test_a_shutdown_cannot_be_undone(tmp_path):
    async def scenario():
        async with (
            Sidecar(tmp_path / "c", config(endpoint_update(1))) as sidecar,
            management_interface(sidecar) as port,
        ):
            sidecar.engine.lifecycle.terminate()
            for path in ("/healthcheck/ok", "/healthcheck/fail"):
                assert (await send_request(port, call("POST", path))).code == 503
            assert (await send_request(port, call("GET", "/healthcheck"))).code == 503

    run(scenario())


def test_a_connection_with_an_unread_request_is_not_closed_as_idle(tmp_path):
    """Guards against closing a connection as idle while a request waits in its receive buffer."""

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            await wait_until(lambda: sidecar.http.clients.connections)
            (connection,) = sidecar.http.clients.connections
            assert connection.closable
            connection.transport.pause_reading()
            writer.write(http_request("order", "unread"))
            await wait_until(lambda: not connection.closable)
            sidecar.http.clients.close_idle_connections()
            connection.transport.resume_reading()
            assert (await read_message(reader)).code == 200
            writer.close()

    run(scenario())
