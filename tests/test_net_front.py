"""Client connections: framing, invalid input and slow readers, none of which disturbs another connection."""

import asyncio
import contextlib
import re
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
    http_response,
    read_message,
    run,
    send_request,
    wait_until,
)

from ochreflow.core import request_ids
from ochreflow.core.limits import MB, Descriptors, Memory
from ochreflow.http import clients, request_reader
from ochreflow.membership.gossip import Gossip

ID = b"X-Request-Id: ab\r\n"


def raw(head, headers=ID, body=b""):
    return head + b" HTTP/1.1\r\n" + headers + b"\r\n" + body


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"this is no http\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
        (raw(b"GET /nothing/here"), 404),
        (raw(b"GET /"), 404),
        (raw(b"GET /lookup", b""), 400),
        (raw(b"PUT /order"), 405),
        (raw(b"GET /lookup", ID + b"X-Deadline: soon\r\n"), 400),
        (raw(b"GET /lookup", ID + b"X-Deadline: -5m\r\n"), 400),
        (raw(b"GET /lookup", ID + b"X-Deadline: 5s\r\n"), 400),
        (raw(b"GET /lookup", ID + b"X-Deadline: nanm\r\n"), 400),
        (raw(b"GET /lookup", ID + b"X-Cost-Hint: much\r\n"), 400),
        (raw(b"POST /hold", ID + b"Content-Length: 0\r\n"), 400),
        (raw(b"POST /order", ID + b"Content-Length: x\r\n"), 400),
        (raw(b"POST /order", ID + b"Content-Length: %d\r\n" % (request_reader.MAX_BODY_BYTES + 1)), 413),
        (raw(b"POST /order", ID + b"Content-Length: 99999999999999999999999\r\n"), 400),
        (raw(b"POST /order", ID + b"Transfer-Encoding: chunked\r\n", b"zz\r\n"), 400),
        (raw(b"GET /lookup", ID + b"Connection: Upgrade\r\nUpgrade: h2c\r\n"), 400),
        (raw(b"CONNECT lookup:80"), 400),
        (raw(b"GET /order"), 405),
        (raw(b"GET /lookup", ID + b"X-Request-Id: cd\r\n"), 400),
        (raw(b"POST /hold", ID + b"Idempotency-Key: a\r\nidempotency-key: b\r\nContent-Length: 0\r\n"), 400),
        (raw(b"POST /order", ID + b"Content-Length: 4\r\nContent-Length: 5\r\n", b"body"), 400),
        (raw(b"POST /order", ID + b"Content-Length: -4\r\n", b"body"), 400),
        (raw(b"POST /order", ID + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", b"0\r\n\r\n"), 400),
        (raw(b"POST /order", ID + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", b"0\r\n\r\n"), 400),
        (raw(b"POST /order", ID + b"Transfer-Encoding: gzip, chunked\r\n", b"0\r\n\r\n"), 501),
        (b"GET /lookup HTTP/1.1\r\nX-Long: " + b"x" * 40_000, 431),
        (raw(b"GET /lookup", b"X-Many: y\r\n" * 4000), 431),
    ],
)
def test_invalid_input_is_rejected_and_disturbs_no_other_connection(tmp_path, data, code):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(http_request("order", "before")[:-10])
            assert (await send_request(sidecar.port, data)).code == code
            writer.write(http_request("order", "before")[-10:])
            assert (await read_message(reader)).code == 200
            writer.close()
            assert [got.headers["x-request-id"] for got in fake.received] == ["before"]
            await wait_until(lambda: not sidecar.http.clients.connections)
            assert (
                sidecar.engine.memory.reserved_bytes == 0
                and not sidecar.engine.descriptors.in_use - fake.connections
            )

    run(scenario())


def test_requests_sent_byte_by_byte_or_pipelined_are_answered_in_order(tmp_path):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            for byte in http_request("order", "one", "4000m", b"1"):
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await read_message(reader)).body == b"served 1"
            # The requests have the full deadline of their class: before it has seen some requests, the
            # decision module takes one with a shorter deadline for a late retry, and may reject it while
            # others are open.
            many = [http_request("order", f"id{n}", "4000m", b"%d" % n) for n in range(40)]
            writer.write(b"".join(many) + raw(b"GET /nothing") + raw(b"GET /-/ready"))
            for n in range(40):
                assert (await read_message(reader)).body == b"served %d" % n
            assert (await read_message(reader)).code == 404
            assert (await read_message(reader)).code == 200
            writer.close()
        assert len(fake.received) == 41

    run(scenario())


def test_chunked_and_maximum_size_bodies_are_forwarded_completely(tmp_path):
    async def scenario():
        async def echo(message, reader, writer):
            writer.write(http_response(200, message.body))

        fake = await FakePeer(echo).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            chunks = b"3\r\nabc\r\n2\r\nde\r\n0\r\nX-Deadline: bad\r\n\r\n"
            data = raw(b"POST /order", ID + b"Transfer-Encoding: chunked\r\n", chunks)
            assert (await send_request(sidecar.port, data)).body == b"abcde"
            body = b"x" * request_reader.MAX_BODY_BYTES
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            request = http_request("order", "big", "3000m", body, "Expect: 100-continue")
            writer.write(request[: -len(body)])
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
            writer.write(body)
            assert (await read_message(reader)).body == body
            writer.close()
        assert fake.received[1].body == body and "transfer-encoding" not in fake.received[0].headers

    run(scenario())


def test_requests_in_absolute_form_and_of_http_1_0_are_served(tmp_path):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            assert (await send_request(sidecar.port, raw(b"GET http://origin.svc/lookup/x?y=1"))).code == 200
            got = await send_request(sidecar.port, b"GET /lookup HTTP/1.0\r\nX-Request-Id: cd\r\n\r\n")
            assert got.code == 200 and got.headers["connection"] == "close"

    run(scenario())


def test_a_client_that_does_not_read_is_disconnected_and_its_responses_are_bounded(tmp_path, monkeypatch):
    """Responses that a client does not read must not accumulate in memory."""
    monkeypatch.setattr(clients, "SLOW_READER_TIMEOUT_S", 0.2)

    async def scenario():
        async def big(message, reader, writer):
            writer.write(http_response(200, b"x" * 60_000))

        fake = await FakePeer(big).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            _, writer = await asyncio.open_connection(HOST, sidecar.port, limit=1024)
            with contextlib.suppress(OSError):
                for n in range(2000):
                    writer.write(http_request("lookup", f"id{n}"))
                    await writer.drain()
            await wait_until(lambda: not sidecar.http.clients.connections)
            assert len(fake.received) < 1000
            writer.transport.abort()
            assert (await send_request(sidecar.port, http_request("lookup", "other"))).code == 200

    run(scenario())


def test_the_deadline_of_a_request_is_capped_at_that_of_its_class(tmp_path):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            assert (
                await send_request(sidecar.port, http_request("lookup", "ab", "999999999999m"))
            ).code == 200
        assert int(fake.received[0].headers["x-deadline"].removesuffix("m")) <= 4000

    run(scenario())


def test_the_memory_of_all_bodies_together_is_bounded(tmp_path, monkeypatch):
    monkeypatch.setattr(Memory, "MIN_BYTES", 3000)
    monkeypatch.setattr(Memory, "MAX_BYTES", 3000)

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            assert (
                await send_request(sidecar.port, http_request("order", "a", "900m", b"x" * 3001))
            ).code == 503
            assert (
                await send_request(sidecar.port, http_request("order", "b", "900m", b"x" * 1000))
            ).code == 200
            await wait_until(lambda: not sidecar.http.clients.connections)
            assert sidecar.engine.memory.reserved_bytes == 0

    run(scenario())


def test_open_requests_over_the_limit_are_rejected(tmp_path):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        data = config(endpoint_update(1, entry("s1", fake.address)))
        data["settings"]["ceilings"]["max-open"] = 0
        async with Sidecar(tmp_path / "c", data) as sidecar:
            assert (await send_request(sidecar.port, http_request("order", "ab"))).code == 503
        assert not fake.received

    run(scenario())


def test_idle_clients_are_evicted_at_the_descriptor_limit(tmp_path):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        data = config(endpoint_update(1, entry("s1", fake.address)), limits={"sockets": 80})
        async with Sidecar(tmp_path / "c", data) as sidecar:
            idle = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(30)]
            assert (await send_request(sidecar.port, http_request("order", "ab"))).code == 200
            assert sidecar.engine.descriptors.in_use <= sidecar.engine.descriptors.limit + 2
            assert await idle[0][0].read() == b""
            for _, writer in idle:
                writer.close()

    run(scenario())


@pytest.mark.parametrize("queued", [False, True])
def test_a_client_that_still_reads_a_response_is_not_evicted(tmp_path, queued):
    """The client has sent a part of its next request; with `queued`, a complete one is queued before it."""

    async def scenario():
        async def act(got, reader, writer):
            writer.write(http_response(200, bytes(60 * 1024)))

        loop = asyncio.get_running_loop()
        server = await FakePeer(act).start()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s0", server.address)))
        ) as sidecar:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await loop.sock_connect(sock, (HOST, sidecar.port))
            reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
            await wait_until(lambda: sidecar.http.clients.connections)
            (client,) = sidecar.http.clients.connections
            sent = 0
            while not client.write_paused:
                writer.write(http_request("order", f"{sent}"))
                sent += 1
                await wait_until(lambda sent=sent: len(server.received) == sent and client.current is None)
            if queued:
                writer.write(http_request("order", f"{sent}"))
                sent += 1
                await wait_until(lambda: client.queue)
            writer.write(http_request("order", "next")[:20])
            await wait_until(lambda: client in sidecar.http.clients.last_received)
            assert not sidecar.engine.descriptors.evict_idle_connection()
            for _ in range(sent):
                assert len((await read_message(reader)).body) == 60 * 1024
            await wait_until(lambda: not client.serving)
            assert sidecar.engine.descriptors.evict_idle_connection()  # only an incomplete request remains
            writer.close()

    run(scenario())


def test_terminating_does_not_truncate_a_response_that_is_being_read(tmp_path, monkeypatch):
    """Closing the idle clients must not lose responses that are still being sent."""
    monkeypatch.setattr(clients, "SLOW_READER_TIMEOUT_S", 60.0)

    async def scenario():
        async def big(message, reader, writer):
            writer.write(http_response(200, b"x" * 60_000))

        fake = await FakePeer(big).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            loop = asyncio.get_running_loop()
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.setblocking(False)
            await loop.sock_connect(sock, (HOST, sidecar.port))
            await wait_until(lambda: sidecar.http.clients.connections)
            (client,) = sidecar.http.clients.connections
            sent = 0
            while not client.write_paused:  # until the send buffer is full
                await loop.sock_sendall(sock, http_request("lookup", f"id{sent}"))
                sent += 1
                await wait_until(lambda: len(fake.received) == sent and client.current is None)  # noqa: B023 - awaited at once
            sidecar.engine.lifecycle.terminate()
            sidecar.engine.lifecycle._stop_accepting()
            got = bytearray()
            while data := await loop.sock_recv(sock, 65536):
                got += data
            while got:
                head, _, got = got.partition(b"\r\n\r\n")
                size = int(re.search(rb"Content-Length: (\d+)", head)[1])
                assert len(got) >= size  # each response is complete
                del got[:size]
                sent -= 1
            assert sent == 0
            sock.close()

    run(scenario())


def test_only_datagrams_of_known_peers_are_accepted():
    async def scenario():
        loop = asyncio.get_running_loop()
        received = []

        async def open_peer(index, peers):
            peer = Gossip(index, peers, None, lambda number, data: received.append((number, data)))
            transport, _ = await loop.create_datagram_endpoint(lambda: peer, local_addr=(HOST, 0))
            return peer, transport.get_extra_info("sockname")

        known, known_address = await open_peer(1, [])
        unknown, _ = await open_peer(1, [])
        own, own_address = await open_peer(0, [(HOST, 9), known_address])
        known.peers = unknown.peers = [own_address]
        unknown.send(b"strange", 0)
        known.transport.sendto(b"x" * 257, own_address)
        known.send(b"y" * 257, 0)
        known.send(b"nobody", 5)
        known.send(b"z" * 256, 0)
        await wait_until(lambda: received)
        assert received == [(1, b"z" * 256)]
        for peer in (known, unknown, own):
            peer.transport.close()

    run(scenario())


def test_the_quota_of_clients_and_the_memory_follow_the_configuration():
    for sockets in (256, 384, 1024):
        descriptors = Descriptors(sockets)
        assert descriptors.max_clients > sockets / 3  # a third: the most that clients need for requests
        assert descriptors.limit - descriptors.max_clients > sockets / 3
    assert Memory(32 * MB).max_bytes <= 4 * MB and Memory(192 * MB).max_bytes == Memory.MAX_BYTES


def test_silent_clients_are_evicted_first_and_leave_descriptors_for_attempts(tmp_path):
    """Guards against silent clients that use all descriptors and cause pooled connections to be closed."""

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        data = config(endpoint_update(1, entry("s1", fake.address)), limits={"sockets": 80})
        async with Sidecar(tmp_path / "c", data) as sidecar:
            normal_clients = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(8)]
            for number in range(4):
                for position, (reader, writer) in enumerate(normal_clients):
                    writer.write(http_request("lookup", f"id{number}-{position}"))
                    assert (await read_message(reader)).code == 200
                flood = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(60)]
                await wait_until(
                    lambda: len(sidecar.http.clients.connections) == sidecar.engine.descriptors.max_clients
                )
                for _, writer in flood:
                    writer.close()
                await wait_until(lambda: len(sidecar.http.clients.connections) == len(normal_clients))
            assert fake.connections == 1 and not sidecar.engine.descriptors.full
            for _, writer in normal_clients:
                writer.close()

    run(scenario())


def test_a_slow_client_is_not_evicted_for_a_flood_of_unfinished_or_silent_clients(tmp_path, monkeypatch):
    """Guards against evicting slow clients that connected before a flood as if they were part of it."""
    monkeypatch.setattr(clients, "STALE_AFTER_S", 0.05)

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        data = config(endpoint_update(1, entry("s1", fake.address)), limits={"sockets": 80})
        async with Sidecar(tmp_path / "c", data) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            flood = []
            for byte in http_request("order", "slow", "3000m", b"body"):
                writer.write(bytes([byte]))
                flood.append(await asyncio.open_connection(HOST, sidecar.port))
                if len(flood) % 2:
                    flood[-1][1].write(b"GET /loo")
                await asyncio.sleep(0.005)
            assert len(flood) > 4 * sidecar.engine.descriptors.max_clients
            assert (await read_message(reader)).code == 200
            for _, other in [*flood, (reader, writer)]:
                other.close()

    run(scenario())


def test_clients_that_never_finish_a_message_get_408_and_are_closed(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "HEAD_TIMEOUT_S", 0.3)
    monkeypatch.setattr(clients, "IDLE_TIMEOUT_S", 60.0)

    async def scenario():
        async def act(message, reader, writer):
            await release_response.wait()
            writer.write(http_response(200, b"served"))

        release_response = asyncio.Event()
        fake = await FakePeer(act).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            accepted_reader, accepted_writer = await asyncio.open_connection(HOST, sidecar.port)
            accepted_writer.write(http_request("order", "pending") + b"POST /order HTTP/1.1\r\nX-Half: ")
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            assert await reader.read() == b""  # a client that sent nothing gets no response
            writer.close()
            for half in (
                b"G",
                http_request("lookup", "a")[:-2],
                http_request("order", "b", "900m", b"body")[:-1],
            ):
                assert (await send_request(sidecar.port, half)).code == 408
            release_response.set()  # the complete request is still answered
            assert (await read_message(accepted_reader)).code == 200
            assert (await read_message(accepted_reader)).code == 408
            accepted_writer.close()
            await wait_until(lambda: not sidecar.http.clients.connections)
            assert not sidecar.engine.memory.reserved_bytes and len(fake.received) == 1

    run(scenario())


def test_an_idle_client_is_closed_after_the_idle_timeout(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "IDLE_TIMEOUT_S", 0.2)

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(http_request("lookup", "once"))
            assert (await read_message(reader)).code == 200
            assert await reader.read() == b""
            writer.close()
            await wait_until(lambda: not sidecar.http.clients.connections)
            assert not sidecar.http.clients.idle and not sidecar.http.clients.incomplete

    run(scenario())


def test_an_oversized_body_is_rejected_at_its_head_and_read_to_its_end(tmp_path):
    """Closing with input unread would reset the connection before the client reads the response."""

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(raw(b"POST /order", ID + b"Content-Length: 60000000\r\n"))
            for _ in range(60):
                writer.write(bytes(1_000_000))
                await writer.drain()
            assert (await read_message(reader)).code == 413
            assert await reader.read() == b""
            writer.close()
            assert not fake.received and not sidecar.engine.memory.reserved_bytes

    run(scenario())


def test_a_request_id_that_is_open_or_recent_is_rejected(tmp_path):
    """The second request must not be sent to a server, and must not affect the first one."""

    async def scenario():
        async def act(message, reader, writer):
            await release_response.wait()
            writer.write(http_response(200, b"served " + message.body))

        release_response = asyncio.Event()
        fake = await FakePeer(act).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            first = asyncio.create_task(
                send_request(sidecar.port, http_request("order", "same", "3000m", b"1"))
            )
            await wait_until(lambda: fake.received)
            assert (
                await send_request(sidecar.port, http_request("order", "same", "3000m", b"2"))
            ).code == 409
            release_response.set()
            assert (await first).body == b"served 1"
            assert (
                await send_request(sidecar.port, http_request("order", "same", "3000m", b"3"))
            ).code == 409
            assert len(fake.received) == 1 and not sidecar.engine.memory.reserved_bytes

    run(scenario())


def test_the_number_of_retained_request_ids_is_bounded(tmp_path, monkeypatch):
    monkeypatch.setattr(request_ids, "MAX_RETAINED_IDS", 100)

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            for number in range(1000):
                writer.write(http_request("lookup", f"id{number}"))
                await read_message(reader)
            writer.close()
            assert (
                len(sidecar.http.frontend_binding.request_ids.in_use) <= 102
                and len(sidecar.http.frontend_binding.request_ids.ended) <= 102
            )
            assert not sidecar.engine.requests.pending and not sidecar.engine.attempts.in_flight

    run(scenario())
