"""Until a process ends, it answers every request that it has read, and forwards none that it cannot answer.

A client whose connection closes without a response sends its request again, to whichever process listens.
"""

import asyncio
import json
import signal
import socket

import pytest
from disconnecting_clients import Server, connect, sidecar_connection
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
    read_message,
    run,
    send_request,
    wait_until,
)
from test_first_byte import SidecarHarness
from test_process import Process

from ochreflow.http.request_reader import ReadState

CLIENTS = 6
FORWARD_TIME_S = 0.3  # more than a request takes to reach a server on this machine


def request_ids(fake):
    return [got.headers["x-request-id"] for got in fake.received]


def test_a_request_read_after_shutdown_has_begun_is_rejected(tmp_path):
    """Shutdown has begun, and the process has not closed its sockets yet."""

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            assert (await send_request(sidecar.port, http_request("order", "warm"))).code == 200
            sidecar.engine.lifecycle._stop()
            writer.write(http_request("order", "late"))
            got = await read_message(reader)
            assert got.code == 503 and got.headers["connection"] == "close"
            assert request_ids(fake) == ["warm"]
            writer.close()

    run(scenario())


def test_a_connection_established_after_the_close_forwards_nothing(tmp_path):
    """The system accepts the connection before the close; the event loop creates its transport later."""

    async def scenario():
        server = Server()
        loop = asyncio.get_running_loop()
        sidecar = Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", server.address))))
        with socket.create_server((HOST, 0)) as listener:
            client = connect(listener.getsockname()[1])
            client.sendall(http_request("order", "late"))
            accepted, _ = listener.accept()
        sidecar.close()
        await loop.connect_accepted_socket(sidecar.http.connection, accepted)
        (client_connection,) = sidecar.http.clients.connections
        await wait_until(lambda: client_connection.has_sent_request)
        await asyncio.sleep(FORWARD_TIME_S)
        assert server.read_all() == b""
        client_connection.close()
        client.close()
        server.close()
        await wait_until(lambda: client_connection.closed)

    run(scenario())


@pytest.mark.parametrize("end", ["sidecar", "engine"])
def test_a_request_that_may_have_run_is_answered_before_its_connection_closes(tmp_path, end):
    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            response_task = asyncio.create_task(send_request(sidecar.port, http_request("order", "pending")))
            server_connection = await server.accept()
            await server_connection.wait_for(b"pending")
            (sidecar if end == "sidecar" else sidecar.engine).close()
            assert (await response_task).code in (502, 504)
            assert server.read_all().count(b"X-Request-Id") == 1
        server.close()

    run(scenario())


@pytest.mark.parametrize("end", ["answer all", "close"])
def test_a_request_answered_at_shutdown_is_not_sent_to_another_server(tmp_path, end):
    """Shutdown gives up an attempt that waits for a connection; it has not run, so it could be retried."""

    async def scenario():
        fakes = {name: await FakePeer(answer_ok).start() for name in ("s1", "s2")}
        harness = SidecarHarness(tmp_path, [entry(name, fake.address) for name, fake in fakes.items()])
        async with harness.sidecar as sidecar:
            number = 0
            while not all(fake.received for fake in fakes.values()):
                number += 1
                assert (await send_request(sidecar.port, http_request("order", f"warm{number}"))).code == 200
            sidecar.upstreams.close_idle(harness.names.server("s1"))
            harness.block_connects()
            while not sidecar.engine.requests.pending:  # the other server has an idle connection
                number += 1
                response_task = asyncio.create_task(
                    send_request(sidecar.port, http_request("order", f"id{number}"))
                )
                await wait_until(
                    lambda response_task=response_task: response_task.done() or harness.loop.blocked_connects
                )
            if end == "close":
                sidecar.close()
            else:
                sidecar.engine.lifecycle._give_final_answers()
            assert (await response_task).code == 503
            await asyncio.sleep(FORWARD_TIME_S)
            assert f"id{number}" not in [
                request_id for fake in fakes.values() for request_id in request_ids(fake)
            ]
            harness.loop.connect_allowed.set()

    run(scenario())


class ResendingClient:
    """A client that resends a request if the connection is closed before the response."""

    def __init__(self, port, name):
        self.port = port
        self.name = name
        self.codes = {}
        self.resent = []
        self.stop = False

    async def play(self):
        number, reader, writer = 0, None, None
        while not self.stop:
            number += 1
            request_id = f"{self.name}-{number}"
            for _ in range(10):
                try:
                    if writer is None:
                        reader, writer = await asyncio.open_connection(HOST, self.port)
                    writer.write(http_request("order", request_id, "3000m", request_id.encode()))
                    got = await read_message(reader)
                except (OSError, asyncio.IncompleteReadError):
                    writer = None
                    self.resent.append(request_id)
                    continue
                self.codes[request_id] = got.code
                if got.headers.get("connection") == "close":
                    writer.close()
                    writer = None
                break
        if writer is not None:
            writer.close()


def test_requests_run_once_while_processes_replace_each_other_on_the_same_socket(tmp_path):
    """Three processes run one after another, and the clients use their connections until they are closed."""

    async def scenario():
        async def act(message, reader, writer):
            await asyncio.sleep(0.002)
            writer.write(http_response(200, message.body))

        fake = await FakePeer(act).start()
        listening = socket.create_server((HOST, 0))
        shared_dir = tmp_path / "run"
        shared_dir.mkdir()
        data = config(endpoint_update(1, entry("s1", fake.address)))
        process_options = {"inherited": listening, "shared_dir": shared_dir}
        clients = [ResendingClient(listening.getsockname()[1], f"c{n}") for n in range(CLIENTS)]
        async with Process(tmp_path / "p0", data, **process_options) as first:
            playing = asyncio.gather(*(client.play() for client in clients))
            old = first
            for number in (1, 2):
                new = await Process(tmp_path / f"p{number}", data, **process_options).__aenter__()
                expected_counts = {client: len(client.codes) + 20 for client in clients}
                await wait_until(
                    lambda expected=expected_counts: all(
                        len(client.codes) > expected[client] for client in clients
                    )
                )
                old.process.send_signal(signal.SIGTERM)
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    assert await old.process.wait() == 0
                old = new
            for client in clients:
                client.stop = True
            await playing
            await old.__aexit__()
        listening.close()
        answered = {request_id: code for client in clients for request_id, code in client.codes.items()}
        assert set(answered.values()) <= {200, 503}
        assert sorted(request_ids(fake)) == sorted(
            request_id for request_id, code in answered.items() if code == 200
        )
        # Every resent request was answered in the end, and none of them had run before.
        assert all(request_id in answered for client in clients for request_id in client.resent)

    run(scenario())


@pytest.mark.parametrize("end", ["open", "left", "answered"])
def test_a_request_resent_on_another_connection_does_not_run_again(tmp_path, end):
    """The id is recognized while the first copy is open, after its client's disconnect and its response."""

    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client = connect(sidecar.port)
            client.sendall(http_request("order", "same"))
            server_connection = await server.accept()
            await server_connection.wait_for(b"same")
            if end == "left":
                client.close()
            elif end == "answered":
                server_connection.answer()
            if end != "open":
                await wait_until(lambda: not sidecar.engine.requests.pending)
            assert (await send_request(sidecar.port, http_request("order", "same"))).code == 409
            assert server.read_all().count(b"X-Request-Id") == 1
            client.close()
        server.close()

    run(scenario())


def changed_effects(data):
    """Return the configuration with another effect for every class."""
    replacements = {"pure": "side_effect", "token": "pure", "side_effect": "pure"}
    settings = {**data["settings"]}
    settings["classes"] = [{**spec, "repeat": replacements[spec["repeat"]]} for spec in settings["classes"]]
    return {**data, "settings": settings}


def test_a_reload_does_not_change_the_effect_of_a_class(tmp_path):
    """An unsafe class stays unsafe, both for open requests and for later ones."""

    async def scenario():
        async def reset_unless(got, reader, writer):
            if got.headers["x-request-id"] == "open":
                opened.set()
                await proceed.wait()
            writer.transport.abort()

        opened, proceed = asyncio.Event(), asyncio.Event()
        fakes = [await FakePeer(reset_unless).start() for _ in range(2)]
        data = config(endpoint_update(1, *(entry(f"s{n}", fake.address) for n, fake in enumerate(fakes))))
        async with Process(tmp_path / "c", data) as sidecar:
            response_task = asyncio.create_task(send_request(sidecar.port, http_request("order", "open")))
            await opened.wait()
            changed = {**changed_effects(data), "discovery": f"{HOST}:10"}
            sidecar.path.write_text(json.dumps(changed))
            sidecar.process.send_signal(signal.SIGHUP)
            await sidecar.wait_for_log(b"discovery is now at")
            proceed.set()
            assert (await response_task).code == 502
            assert (await send_request(sidecar.port, http_request("order", "later"))).code == 502
            as_safe = http_request("order", "safe").replace(b"POST", b"GET")
            assert (await send_request(sidecar.port, as_safe)).code == 405
            assert (await send_request(sidecar.port, http_request("lookup", "look"))).code in (502, 503)
        assert sorted(request_ids(fakes[0]) + request_ids(fakes[1])).count("open") == 1
        assert sorted(request_ids(fakes[0]) + request_ids(fakes[1])).count("later") == 1

    run(scenario())


# Errors after a request that was forwarded


@pytest.mark.parametrize("behind", [b"\0garbage\r\n\r\n", b"POST /order HTTP/1.1\r\nX-Half: "])
def test_an_invalid_message_after_a_request_does_not_lose_the_response_to_the_request(tmp_path, behind):
    """The second message is malformed, or is not completed in time."""

    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client = connect(sidecar.port)
            client.sendall(http_request("order", "first") + http_request("order", "second") + behind)
            server_connection = await server.accept()
            await server_connection.wait_for(b"first")
            client_connection = sidecar_connection(sidecar, client)
            if client_connection.read_state is not ReadState.ENDED:
                await wait_until(lambda: client_connection.message_begun)
                client_connection.expire()
            assert client_connection.current is not None and len(client_connection.queue) == 2
            reader, writer = await asyncio.open_connection(sock=client)
            server_connection.answer()
            assert (await read_message(reader)).code == 200
            await server_connection.wait_for(b"second")
            server_connection.answer()
            assert (await read_message(reader)).code == 200
            assert (await read_message(reader)).code in (400, 408)
            assert await reader.read() == b""
            writer.close()
            assert server.read_all().count(b"X-Request-Id") == 2
        server.close()

    run(scenario())


@pytest.mark.parametrize("reason", ["time", "malformed", "memory"])
def test_a_truncated_body_is_rejected_and_never_completed_at_the_server(tmp_path, reason):
    """Part of the body is forwarded before it stalls or is malformed; a lack of memory has no effect."""

    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client = connect(sidecar.port)
            head = http_request("order", "big", "3000m", b"", "Transfer-Encoding: chunked")
            head = head.replace(b"Content-Length: 0\r\n", b"")
            piece = bytes(100_000)
            client.sendall(head + b"%x\r\n%s\r\n" % (len(piece), piece))
            server_connection = await server.accept()
            await wait_until(
                lambda: (
                    server_connection.read_available()
                    or server_connection.received.count(b"\0") == len(piece)
                )
            )
            client_connection = sidecar_connection(sidecar, client)
            if reason == "time":
                client_connection.expire()
            elif reason == "memory":
                sidecar.engine.memory.limit = 0
                client.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(piece), piece))
                server_connection.sock.setblocking(False)
                await wait_until(
                    lambda: (
                        server_connection.read_available()
                        or server_connection.received.endswith(b"0\r\n\r\n")
                    )
                )
                server_connection.answer()
            else:
                client.sendall(b"zz\r\n")
            reader, writer = await asyncio.open_connection(sock=client)
            got = await read_message(reader)
            assert got.code == {"time": 408, "malformed": 400, "memory": 200}[reason]
            writer.close()
            if reason != "memory":
                await wait_until(lambda: server_connection.read_available() or server_connection.ended)
                assert (
                    not server_connection.received.endswith(b"0\r\n\r\n")
                    and sidecar.engine.stats.forwards == 0
                )
            assert server.read_all().count(b"X-Request-Id") == 1
        server.close()

    run(scenario())
