"""Bodies and responses too long to be buffered: streamed with bounded memory, and visibly truncated."""

import asyncio
import contextlib
import socket

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
    read_message,
    reset,
    run,
    send_request,
    wait_until,
)

from ochreflow.core import body as bodies
from ochreflow.core import lifecycle
from ochreflow.core.body import MAX_BUFFERED_BYTES, Body
from ochreflow.core.limits import MB, Memory
from ochreflow.http import clients, framing, upstream
from ochreflow.membership.endpoint_list import parse_endpoint_update
from ochreflow.policy import interface as api

BIG = 8 * MB
PIECE = bytes(range(256)) * 256


class Server:
    """A server that reads requests of any framing, and whose responses `act` writes."""

    def __init__(self, act):
        self.act = act
        self.heads = []
        self.bodies = []
        self.broken = 0
        self.begun = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                self.heads.append(head)
                self.begun.set()
                self.bodies.append(await self._body(head, reader))
                await self.act(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            self.broken += 1
        finally:
            writer.close()

    @staticmethod
    async def _body(head, reader):
        if "transfer-encoding: chunked" in head:
            body = b""
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
            return body
        length = [line for line in head.split("\r\n") if line.startswith("content-length:")]
        return await reader.readexactly(int(length[0].split(":")[1])) if length else b""


async def respond_ok(reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def read_chunks(reader):
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body


def chunked_head(request_id="ab"):
    head = http_request("order", request_id).split(b"Content-Length")[0]
    return head + b"Transfer-Encoding: chunked\r\n\r\n"


@contextlib.asynccontextmanager
async def sidecar_before(tmp_path, server, **more):
    async with Sidecar(
        tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)), **more)
    ) as sidecar:
        yield sidecar
        assert not sidecar.engine.requests.pending and not sidecar.engine.attempts.in_flight


def test_long_bodies_are_streamed_with_a_length_or_in_chunks(tmp_path):
    async def scenario():
        server = await Server(respond_ok).start()
        async with sidecar_before(tmp_path, server) as sidecar:
            data = PIECE * 48  # 3 MB
            assert (await send_request(sidecar.port, http_request("order", "one", "3000m", data))).code == 200
            parts = [b"%x;ext=1\r\n%s\r\n" % (len(PIECE), PIECE) for _ in range(48)]
            request = chunked_head() + b"".join(parts) + b"0\r\nX-Trailer: x\r\n\r\n"
            assert (await send_request(sidecar.port, request)).code == 200
            assert server.bodies == [data, data]
            assert f"content-length: {len(data)}" in server.heads[0]
            assert "transfer-encoding: chunked" in server.heads[1]
            spaced = http_request("order", "two", "3000m", data).replace(
                b"\r\nContent-Length: ", b"\r\nContent-Length:\t "
            )
            head, _, rest = spaced.partition(b"\r\n\r\n")
            # white space is not part of the value
            assert (await send_request(sidecar.port, head + b" \r\n\r\n" + rest)).code == 200
            assert server.bodies == [data, data, data]
            assert sidecar.engine.stats.forwards == 3
            await wait_until(lambda: sidecar.engine.memory.reserved_bytes == 0)

    run(scenario())


def test_a_streamed_body_is_not_buffered_beyond_its_limit(tmp_path):
    """A server that does not read pauses the client, so that the body does not accumulate in the sidecar."""

    async def scenario():
        listening = socket.create_server((HOST, 0))
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        data = config(endpoint_update(1, entry("s1", f"{HOST}:{listening.getsockname()[1]}")))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            _, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.transport.set_write_buffer_limits(high=0)
            writer.write(http_request("order", "big", "3000m", bytes(BIG)))
            await wait_until(lambda: sidecar.http.clients.connections)
            (client_connection,) = sidecar.http.clients.connections
            await wait_until(
                lambda: any(connection.stream.unsent for connection in sidecar.upstreams.connections)
            )
            await wait_until(lambda: client_connection.paused and client_connection.uploading is not None)
            (connection,) = sidecar.upstreams.connections
            assert connection.unwritten
            assert len(connection.stream.unsent) < 2 * MB
            assert sidecar.engine.memory.reserved_bytes < 2 * MAX_BUFFERED_BYTES
            writer.transport.abort()  # the client disconnects: the request has not run
            await wait_until(
                lambda: not sidecar.engine.requests.pending and not sidecar.engine.attempts.in_flight
            )
            assert sidecar.engine.memory.reserved_bytes == 0 and sidecar.engine.stats.forwards == 0
            writer.close()
        listening.close()

    run(scenario())


def test_the_first_bytes_of_a_long_response_are_forwarded_at_once(tmp_path):
    async def scenario():
        async def slowly(reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BIG + PIECE)
            await proceed.wait()
            writer.write(bytes(BIG - len(PIECE)))
            await writer.drain()

        proceed = asyncio.Event()
        server = await Server(slowly).start()
        async with sidecar_before(tmp_path, server) as sidecar:
            events = []
            handle = sidecar.engine.balancer.handle
            sidecar.engine.balancer.handle = lambda now, event: events.append(event) or handle(now, event)
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(http_request("order", "ab", "300m"))
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"Content-Length: %d" % BIG in head
            assert await reader.readexactly(len(PIECE)) == PIECE
            await asyncio.sleep(0.4)  # past its deadline, which does not apply once the response has begun
            proceed.set()
            assert await reader.readexactly(BIG - len(PIECE)) == bytes(BIG - len(PIECE))
            writer.write(http_request("order", "cd"))  # the connection stays usable
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
            started = [event for event in events if isinstance(event, api.StreamStarted)]
            ended = [event for event in events if isinstance(event, api.Outcome)]
            assert started[0].duration_ns == ended[0].duration_ns and ended[0].final
            await wait_until(lambda: not sidecar.engine.requests.pending)
            assert sidecar.engine.memory.reserved_bytes == 0

    run(scenario())


@pytest.mark.parametrize("draining", ["the sidecar", "its server"])
def test_a_response_that_is_streamed_when_a_drain_begins_is_completed(tmp_path, monkeypatch, draining):
    monkeypatch.setattr(lifecycle, "IDLE_CLOSE_DELAY_S", 0.0)

    async def scenario():
        async def act(reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * len(PIECE)) + PIECE)
            await proceed.wait()
            writer.write(PIECE)

        proceed = asyncio.Event()
        server = await Server(act).start()
        async with sidecar_before(tmp_path, server) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(http_request("order", "ab"))
            head = await reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head and await reader.readexactly(len(PIECE)) == PIECE
            if draining == "the sidecar":
                sidecar.engine.drain()
                await wait_until(lambda: sidecar.engine.lifecycle.closing_idle_connections)
            else:
                change = endpoint_update(2, entry("s1", server.address, "DRAINING"), snapshot=False)
                sidecar.engine.on_endpoint_update(parse_endpoint_update(change, sidecar.endpoint_ids))
            proceed.set()
            assert await reader.readexactly(len(PIECE)) == PIECE
            if draining == "the sidecar":
                assert await reader.read() == b""  # then the connection is closed
            else:
                # A draining server gets no further request, so the connection to it is closed.
                assert not sidecar.upstreams.connections
            assert sidecar.engine.stats.results[2] == [1, 0, 0]
            writer.close()

    run(scenario())


def test_a_response_in_small_chunks_is_forwarded_completely(tmp_path):
    async def scenario():
        async def chunks(reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for n in range(50):
                writer.write(b"1;x=y\r\n%c\r\n" % (65 + n % 26))
                await asyncio.sleep(0)
            writer.write(b"0\r\nX-Trailer: x\r\n\r\n")

        server = await Server(chunks).start()
        async with sidecar_before(tmp_path, server) as sidecar:
            expected_body = bytes(65 + n % 26 for n in range(50))
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            for n in range(3):
                writer.write(http_request("order", f"id{n}"))
                head = await reader.readuntil(b"\r\n\r\n")
                if b"Content-Length: 50" in head:
                    assert await reader.readexactly(50) == expected_body
                else:
                    assert await read_chunks(reader) == expected_body
            writer.close()
            # An HTTP/1.0 client does not know chunked encoding: the end of the connection delimits the body.
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(b"GET /lookup HTTP/1.0\r\nX-Request-Id: old\r\n\r\n")
            got = await reader.read()
            assert got.endswith(b"\r\n\r\n" + expected_body) and b"chunked" not in got
            writer.close()

    run(scenario())


def test_a_response_delimited_by_the_end_of_the_connection_is_complete(tmp_path):
    async def scenario():
        async def short(reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + PIECE)
            await writer.drain()
            writer.write(PIECE)
            writer.close()

        server = await Server(short).start()
        async with sidecar_before(tmp_path, server) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            for request_id in ("one", "two"):  # the client's connection stays usable
                writer.write(http_request("order", request_id))
                head = await reader.readuntil(b"\r\n\r\n")
                if b"chunked" in head:
                    assert await read_chunks(reader) == PIECE * 2
                else:
                    assert await reader.readexactly(len(PIECE) * 2) == PIECE * 2
            writer.close()

    run(scenario())


def test_a_rejection_without_a_length_is_recognized(tmp_path):
    async def scenario():
        async def full(reader, writer):
            writer.write(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n\r\nfull")
            writer.close()

        server = await Server(full).start()
        async with sidecar_before(tmp_path, server) as sidecar:
            assert (await send_request(sidecar.port, http_request("order", "ab", "500m"))).code == 503
            assert sidecar.engine.stats.results[2] == [0, 1, 0]

    run(scenario())


@pytest.mark.parametrize(
    "framing", [b"X-None: x", b"Content-Length: %d" % BIG, b"Transfer-Encoding: chunked"]
)
def test_a_client_sees_that_a_response_is_truncated(tmp_path, framing):
    async def scenario():
        async def broken(reader, writer):
            data = b"%x\r\n%s\r\n" % (len(PIECE), PIECE) if b"chunked" in framing else PIECE
            writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + data)
            await proceed.wait()
            reset(writer) if b"None" in framing else writer.close()

        proceed = asyncio.Event()
        server = await Server(broken).start()
        async with sidecar_before(tmp_path, server) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(http_request("order", "ab"))
            await reader.readuntil(b"\r\n\r\n")
            proceed.set()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
                await (reader.readexactly(BIG) if b"Length" in framing else read_chunks(reader))
            writer.close()
            await wait_until(lambda: not sidecar.engine.requests.pending)
            assert sidecar.engine.stats.results[2] == [0, 0, 1]

    run(scenario())


def test_a_client_that_does_not_read_pauses_its_server_and_is_disconnected(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "SLOW_READER_TIMEOUT_S", 0.3)

    async def scenario():
        async def endless(reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 * MB) + bytes(32 * MB))
            await writer.drain()

        server = await Server(endless).start()
        async with sidecar_before(tmp_path, server) as sidecar:
            loop = asyncio.get_running_loop()
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.setblocking(False)
            await loop.sock_connect(sock, (HOST, sidecar.port))
            await loop.sock_sendall(sock, http_request("order", "ab"))
            await wait_until(
                lambda: any(connection.response_paused for connection in sidecar.upstreams.connections)
            )
            (client,) = sidecar.http.clients.connections
            assert client.transport.get_write_buffer_size() < MB
            assert sidecar.engine.memory.reserved_bytes < MB
            await wait_until(lambda: not sidecar.http.clients.connections)
            sock.close()
            await wait_until(lambda: not sidecar.engine.requests.pending)

    run(scenario())


def test_an_upload_whose_server_closes_early_is_reported_as_connect_failed_and_not_retried(tmp_path):
    """The request cannot have run, and its body is no longer buffered for a retry."""

    async def scenario():
        async def close_early(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            reading.set()
            await proceed.wait()
            writer.transport.abort()

        reading, proceed = asyncio.Event(), asyncio.Event()
        server = await asyncio.start_server(close_early, HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", address)))) as sidecar:
            events = []
            handle = sidecar.engine.balancer.handle
            sidecar.engine.balancer.handle = lambda now, event: events.append(event) or handle(now, event)
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            request = http_request("order", "ab", "3000m", bytes(BIG))
            writer.write(request[: 256 * 1024])
            await reading.wait()
            proceed.set()
            got = await read_message(reader)  # rejected at once, while the client is still sending
            assert got.code == 503 and "retry-after" in got.headers
            writer.write(request[256 * 1024 :])  # the rest is read and discarded, the connection stays usable
            writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
            assert (await read_message(reader)).code == 200
            writer.close()
            kinds = [type(event) for event in events if not isinstance(event, api.Timer)]
            assert kinds == [api.Request, api.BodyDiscarded, api.Outcome]
            assert events[0].uploading
            outcome = next(event for event in events if isinstance(event, api.Outcome))
            assert outcome.status is api.Status.CONNECT_FAILED
            assert sidecar.engine.stats.forwards == 0 and sidecar.engine.memory.reserved_bytes == 0

    run(scenario())


def test_an_upload_is_sent_to_another_server_if_the_first_refuses_the_connection(tmp_path):
    async def scenario():
        free = socket.create_server((HOST, 0))
        nobody = f"{HOST}:{free.getsockname()[1]}"
        free.close()
        server = await Server(respond_ok).start()
        entries = [entry("s1", nobody), entry("s2", server.address)]
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, *entries))) as sidecar:
            for n in range(4):
                sidecar.engine.balancer.retry_policy.tokens = 5.0  # the retry budget is not under test
                got = await send_request(
                    sidecar.port, http_request("order", f"id{n}", "3000m", bytes(200_000))
                )
                assert got.code == 200
            assert [len(body) for body in server.bodies] == [200_000] * 4

    run(scenario())


def test_an_upload_that_stalls_gets_408_and_its_attempt_is_cancelled(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "HEAD_TIMEOUT_S", 0.3)

    async def scenario():
        server = await Server(respond_ok).start()
        async with sidecar_before(tmp_path, server) as sidecar:
            request = http_request("order", "ab", "3000m", bytes(BIG))
            assert (await send_request(sidecar.port, request[: 256 * 1024])).code == 408
            await wait_until(lambda: server.broken)
            await wait_until(lambda: not sidecar.engine.requests.pending)
            assert not server.bodies and sidecar.engine.stats.results[2] == [0, 0, 1]

    run(scenario())


def test_a_malformed_chunk_of_a_streamed_body_gets_400_and_the_request_never_runs(tmp_path):
    async def scenario():
        server = await Server(respond_ok).start()
        async with sidecar_before(tmp_path, server) as sidecar:
            good = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(chunked_head() + good * 3)
            await server.begun.wait()
            writer.write(b"zz\r\n")
            assert (await read_message(reader)).code == 400
            writer.close()
            await wait_until(lambda: server.broken)
            assert not server.bodies and sidecar.engine.stats.forwards == 0

    run(scenario())


def test_a_slow_body_is_accepted_and_pipelined_bodies_keep_their_order(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "HEAD_TIMEOUT_S", 0.3)
    monkeypatch.setattr(clients, "MIN_BODY_BYTES_PER_S", 1000)

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            request = http_request("order", "slow", "4000m", bytes(4000))
            start = len(request) - 4000
            writer.write(request[:start])
            for at in range(start, len(request), 100):  # takes 0.8 s, at 5 kB a second
                writer.write(request[at : at + 100])
                await asyncio.sleep(0.02)
            assert (await read_message(reader)).code == 200
            writer.write(http_request("order", "one", "4000m", bytes(300_000)))
            writer.write(
                http_request("order", "two", "4000m", bytes(300_000)) + b"GET /nothing HTTP/1.1\r\n\r\n"
            )
            assert [(await read_message(reader)).code for _ in range(3)] == [200, 200, 404]
            assert [len(got.body) for got in fake.received] == [4000, 300_000, 300_000]
            writer.close()

    run(scenario())


def test_a_request_that_waits_for_a_connection_is_not_sent_after_its_client_disconnects(
    tmp_path, monkeypatch
):
    """The body is discarded when the client disconnects, so a server would get a request without a body."""
    connect = upstream.Upstreams._connect

    async def delayed(*args):
        waiting.set()
        with contextlib.suppress(asyncio.CancelledError):
            await proceed.wait()
        await connect(*args)

    monkeypatch.setattr(upstream.Upstreams, "_connect", delayed)
    proceed, waiting = asyncio.Event(), asyncio.Event()

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            _, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(http_request("order", "left", "3000m", b"body"))
            await waiting.wait()
            writer.transport.abort()
            await wait_until(lambda: not sidecar.engine.requests.pending)
            assert not sidecar.engine.attempts.in_flight and sidecar.engine.memory.reserved_bytes == 0
            proceed.set()
            assert (
                await send_request(sidecar.port, http_request("order", "stays", "3000m", b"body"))
            ).code == 200
            assert [got.headers["x-request-id"] for got in fake.received] == ["stays"]
            assert sidecar.engine.stats.forwards == 1

    run(scenario())


def test_a_body_is_buffered_up_to_its_limit_and_then_streamed():
    class Sink:
        def __init__(self):
            self.parts = []

        def body_part(self, data):
            self.parts.append(data)

        def body_end(self):
            self.parts.append(b"end")

    memory = Memory(64 * MB)
    body, sink = Body(memory, None), Sink()
    assert body.add(bytes(bodies.MAX_BUFFERED_BYTES + 1)) and body.reading_paused
    assert framing.frame_body(body).startswith(b"Transfer-Encoding: chunked\r\n\r\n10001\r\n")
    body.stream_to(sink)
    assert body.discarded and memory.reserved_bytes == 0 and not body.reading_paused
    body.add(b"abc")
    body.end()
    assert sink.parts == [b"abc", b"end"]
    body.discard()
    assert body.add(b"more") and memory.reserved_bytes == 0


@pytest.mark.parametrize(("size", "parts"), [(30_000, 10), (300_000, 10), (30_000, 1)])
def test_a_response_is_forwarded_completely_although_no_memory_is_left(tmp_path, size, parts):
    """Crowds of other clients used up the memory, and long responses were cut off (issue 49)."""

    async def scenario():
        async def slowly(reader, writer):
            await memory_taken.wait()
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
            writer.write(head + bytes(size // parts))
            for _ in range(parts - 1):
                await asyncio.sleep(0.1)
                writer.write(bytes(size // parts))

        memory_taken = asyncio.Event()
        async with sidecar_before(tmp_path, await Server(slowly).start()) as sidecar:
            memory = sidecar.engine.memory
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(http_request("lookup"))
            await wait_until(lambda: sidecar.engine.attempts.in_flight)
            taken = memory.max_bytes - memory.reserved_bytes
            memory.charge(taken)
            memory_taken.set()
            assert len((await read_message(reader)).body) == size
            memory.release(taken)
            writer.close()

    run(scenario())
