"""Up to the end of a process, what was read is answered, and nothing is sent on that can't be answered.

A client whose connection ends without an answer sends its request once more, to whichever process listens.
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
AFTER_END = 0.3  # seconds in which a connect and a request to a server on this machine would come up


def ids(fake):
    return [got.headers["x-request-id"] for got in fake.received]


def test_a_request_that_is_read_once_the_end_has_come_is_turned_away(tmp_path):
    """The end is decided, and the process has not come to close its sockets yet."""

    async def play():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            assert (await send_request(sidecar.port, http_request("order", "warm"))).code == 200
            sidecar.engine.lifecycle._stop()
            writer.write(http_request("order", "late"))
            got = await read_message(reader)
            assert got.code == 503 and got.headers["connection"] == "close"
            assert ids(fake) == ["warm"]
            writer.close()

    run(play())


def test_a_connection_that_is_made_after_the_end_sends_nothing_on(tmp_path):
    """It was accepted before, and the loop hands it over later."""

    async def play():
        server = Server()
        loop = asyncio.get_running_loop()
        sidecar = Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", server.address))))
        with socket.create_server((HOST, 0)) as door:
            client = connect(door.getsockname()[1])
            client.sendall(http_request("order", "late"))
            accepted, _ = door.accept()
        sidecar.close()
        await loop.connect_accepted_socket(sidecar.http.connection, accepted)
        (front,) = sidecar.http.clients.connections
        await wait_until(lambda: front.has_sent_request)
        await asyncio.sleep(AFTER_END)
        assert server.read_all() == b""
        front.close()
        client.close()
        server.close()
        await wait_until(lambda: front.closed)

    run(play())


@pytest.mark.parametrize("end", ["sidecar", "engine"])
def test_what_may_have_run_is_answered_before_its_connection_closes(tmp_path, end):
    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            held = asyncio.create_task(send_request(sidecar.port, http_request("order", "held")))
            taken = await server.accept()
            await taken.wait_for(b"held")
            (sidecar if end == "sidecar" else sidecar.engine).close()
            assert (await held).code in (502, 504)
            assert server.read_all().count(b"X-Request-Id") == 1
        server.close()

    run(play())


@pytest.mark.parametrize("end", ["answer all", "close"])
def test_a_request_that_the_end_answers_is_not_sent_to_another_server_meanwhile(tmp_path, end):
    """Its attempt waits for a connection: given up, it never ran, and another server could be tried."""

    async def play():
        fakes = {name: await FakePeer(answer_ok).start() for name in ("s1", "s2")}
        stage = SidecarHarness(tmp_path, [entry(name, fake.address) for name, fake in fakes.items()])
        async with stage.sidecar as sidecar:
            number = 0
            while not all(fake.received for fake in fakes.values()):
                number += 1
                assert (await send_request(sidecar.port, http_request("order", f"warm{number}"))).code == 200
            sidecar.upstreams.close_idle(stage.names.server("s1"))
            stage.block_connects()
            while not sidecar.engine.requests.pending:  # a connection to the other server stands ready
                number += 1
                asked = asyncio.create_task(send_request(sidecar.port, http_request("order", f"id{number}")))
                await wait_until(lambda asked=asked: asked.done() or stage.loop.blocked_connects)
            if end == "close":
                sidecar.close()
            else:
                sidecar.engine.lifecycle._give_final_answers()
            assert (await asked).code == 503
            await asyncio.sleep(AFTER_END)
            assert f"id{number}" not in [ident for fake in fakes.values() for ident in ids(fake)]
            stage.loop.connect_allowed.set()

    run(play())


class Resending:
    """A client as the protocol has it: what meets a close before its answer is sent once more."""

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
            ident = f"{self.name}-{number}"
            for _ in range(10):
                try:
                    if writer is None:
                        reader, writer = await asyncio.open_connection(HOST, self.port)
                    writer.write(http_request("order", ident, "3000m", ident.encode()))
                    got = await read_message(reader)
                except (OSError, asyncio.IncompleteReadError):
                    writer = None
                    self.resent.append(ident)
                    continue
                self.codes[ident] = got.code
                if got.headers.get("connection") == "close":
                    writer.close()
                    writer = None
                break
        if writer is not None:
            writer.close()


def test_requests_run_once_while_processes_hand_over_their_socket(tmp_path):
    """Three processes one after another, and clients that use their connections to the last."""

    async def play():
        async def act(message, reader, writer):
            await asyncio.sleep(0.002)
            writer.write(http_response(200, message.body))

        fake = await FakePeer(act).start()
        listening = socket.create_server((HOST, 0))
        folder = tmp_path / "run"
        folder.mkdir()
        data = config(endpoint_update(1, entry("s1", fake.address)))
        handed = {"inherited": listening, "shared_dir": folder}
        clients = [Resending(listening.getsockname()[1], f"c{n}") for n in range(CLIENTS)]
        async with Process(tmp_path / "p0", data, **handed) as first:
            playing = asyncio.gather(*(client.play() for client in clients))
            old = first
            for number in (1, 2):
                new = await Process(tmp_path / f"p{number}", data, **handed).__aenter__()
                enough = {client: len(client.codes) + 20 for client in clients}
                await wait_until(lambda least=enough: all(len(one.codes) > least[one] for one in clients))
                old.process.send_signal(signal.SIGTERM)
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    assert await old.process.wait() == 0
                old = new
            for client in clients:
                client.stop = True
            await playing
            await old.__aexit__()
        listening.close()
        answered = {ident: code for client in clients for ident, code in client.codes.items()}
        assert set(answered.values()) <= {200, 503}
        assert sorted(ids(fake)) == sorted(ident for ident, code in answered.items() if code == 200)
        # All that was sent again was answered in the end, and none of it had run before.
        assert all(ident in answered for client in clients for ident in client.resent)

    run(play())


@pytest.mark.parametrize("end", ["open", "left", "answered"])
def test_a_request_that_comes_again_on_another_connection_does_not_run_again(tmp_path, end):
    """By its id, while the first one is open, when its client has left, or when it has been answered."""

    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client = connect(sidecar.port)
            client.sendall(http_request("order", "same"))
            taken = await server.accept()
            await taken.wait_for(b"same")
            if end == "left":
                client.close()
            elif end == "answered":
                taken.answer()
            if end != "open":
                await wait_until(lambda: not sidecar.engine.requests.pending)
            assert (await send_request(sidecar.port, http_request("order", "same"))).code == 409
            assert server.read_all().count(b"X-Request-Id") == 1
            client.close()
        server.close()

    run(play())


def changed_effects(data):
    """The same configuration with every class of another effect."""
    turned = {"pure": "side_effect", "token": "pure", "side_effect": "pure"}
    settings = {**data["settings"]}
    settings["classes"] = [{**spec, "repeat": turned[spec["repeat"]]} for spec in settings["classes"]]
    return {**data, "settings": settings}


def test_a_new_configuration_changes_the_effect_of_no_class(tmp_path):
    """Neither for a request that is open, nor for one that comes later: an unsafe one stays unsafe."""

    async def play():
        async def reset_unless(got, reader, writer):
            if got.headers["x-request-id"] == "open":
                opened.set()
                await go.wait()
            writer.transport.abort()

        opened, go = asyncio.Event(), asyncio.Event()
        fakes = [await FakePeer(reset_unless).start() for _ in range(2)]
        data = config(endpoint_update(1, *(entry(f"s{n}", fake.address) for n, fake in enumerate(fakes))))
        async with Process(tmp_path / "c", data) as sidecar:
            held = asyncio.create_task(send_request(sidecar.port, http_request("order", "open")))
            await opened.wait()
            changed = {**changed_effects(data), "discovery": f"{HOST}:10"}
            sidecar.path.write_text(json.dumps(changed))
            sidecar.process.send_signal(signal.SIGHUP)
            await sidecar.wait_for_log(b"discovery is now at")
            go.set()
            assert (await held).code == 502
            assert (await send_request(sidecar.port, http_request("order", "later"))).code == 502
            as_safe = http_request("order", "safe").replace(b"POST", b"GET")
            assert (await send_request(sidecar.port, as_safe)).code == 405
            assert (await send_request(sidecar.port, http_request("lookup", "look"))).code in (502, 503)
        assert sorted(ids(fakes[0]) + ids(fakes[1])).count("open") == 1
        assert sorted(ids(fakes[0]) + ids(fakes[1])).count("later") == 1

    run(play())


# Refusals behind a request that was sent on


@pytest.mark.parametrize("behind", [b"\0garbage\r\n\r\n", b"POST /order HTTP/1.1\r\nX-Half: "])
def test_what_goes_wrong_behind_a_request_does_not_take_its_answer_away(tmp_path, behind):
    """What follows is no request, or comes to no end in time."""

    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client = connect(sidecar.port)
            client.sendall(http_request("order", "first") + http_request("order", "second") + behind)
            taken = await server.accept()
            await taken.wait_for(b"first")
            front = sidecar_connection(sidecar, client)
            if front.read_state is not ReadState.ENDED:
                await wait_until(lambda: front.message_begun)
                front.expire()
            assert front.current is not None and len(front.queue) == 2
            reader, writer = await asyncio.open_connection(sock=client)
            taken.answer()
            assert (await read_message(reader)).code == 200
            await taken.wait_for(b"second")
            taken.answer()
            assert (await read_message(reader)).code == 200
            assert (await read_message(reader)).code in (400, 408)
            assert await reader.read() == b""
            writer.close()
            assert server.read_all().count(b"X-Request-Id") == 2
        server.close()

    run(play())


@pytest.mark.parametrize("why", ["time", "malformed", "memory"])
def test_a_body_that_is_cut_short_is_refused_only_where_it_can_not_have_run(tmp_path, why):
    """Part of it has gone on to a server, and the rest never comes: nothing whole may arrive there."""

    async def play():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client = connect(sidecar.port)
            head = http_request("order", "big", "3000m", b"", "Transfer-Encoding: chunked")
            head = head.replace(b"Content-Length: 0\r\n", b"")
            piece = bytes(100_000)
            client.sendall(head + b"%x\r\n%s\r\n" % (len(piece), piece))
            taken = await server.accept()
            await wait_until(lambda: taken.read_available() or taken.received.count(b"\0") == len(piece))
            front = sidecar_connection(sidecar, client)
            if why == "time":
                front.expire()
            elif why == "memory":
                sidecar.engine.memory.limit = 0
                client.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(piece), piece))
                taken.sock.setblocking(False)
                await wait_until(lambda: taken.read_available() or taken.received.endswith(b"0\r\n\r\n"))
                taken.answer()
            else:
                client.sendall(b"zz\r\n")
            reader, writer = await asyncio.open_connection(sock=client)
            got = await read_message(reader)
            assert got.code == {"time": 408, "malformed": 400, "memory": 200}[why]
            writer.close()
            if why != "memory":
                await wait_until(lambda: taken.read_available() or taken.ended)
                assert not taken.received.endswith(b"0\r\n\r\n") and sidecar.engine.stats.forwards == 0
            assert server.read_all().count(b"X-Request-Id") == 1
        server.close()

    run(play())
