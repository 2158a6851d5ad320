"""The fault tool on sockets: in front of a sidecar, of datagrams, and as a command."""

import asyncio
import json
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from fault_messages import CHUNKED_HEAD, REQUEST, fault
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
    never_answer,
    read_message,
    run,
    send_request,
    wait_until,
)

from ochreflow.lab.fault.proxy import FaultProxy
from ochreflow.lab.fault.script import FaultKind, ScriptError, read_script

ROOT = Path(__file__).parent.parent

# On sockets, in front of a sidecar's server


async def through_tool(tmp_path, faults, cls, answer, deadline):
    """One request through a sidecar whose server is behind the proxy: what the client got, and the runs."""

    async def act(message, reader, writer):
        writer.write(answer)

    fake = await FakePeer(act).start()
    loop = asyncio.get_running_loop()
    proxy = FaultProxy((HOST, fake.port), faults, seed=5)
    server = await loop.create_server(proxy.accept, HOST, 0)
    address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", address)))) as sidecar:
        try:
            got = await send_request(
                sidecar.port, http_request(cls, "ab", deadline, b"x" * 10 if cls == "order" else b"")
            )
            word = {200: "served", 503: "refused"}.get(got.code, "failed")
        except (OSError, asyncio.IncompleteReadError):
            word = "cut"
    proxy.close()
    server.close()
    # Requests tell the time that is left, so the same traffic twice is what servers answer.
    answers = [line for line in proxy.transcript.lines() if " answer " in line]
    return word, len(fake.received), answers


# Any other digit in the place of the nought makes the length longer than what comes. A shorter one can't be
# told from a good answer with something behind it, which servers may send.
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 010\r\n\r\n0123456789"
ONCE = {"most": 1}  # only the first connection, so that a repeat finds the way free
SEEN = {  # what happens to the first attempt: (order's word and runs), (lookup's word and runs)
    "answer cut before its first byte": (fault("cut", **ONCE), ("failed", 1), ("served", 2)),
    "answer cut in its head": (fault("cut", place="head", after=9, **ONCE), ("failed", 1), ("served", 2)),
    "answer cut after its head": (fault("cut", place="body", **ONCE), ("failed", 1), ("served", 2)),
    "answer reset in its body": (
        fault("reset", place="body", after=5, **ONCE),
        ("failed", 1),
        ("served", 2),
    ),
    "half-close after the request": (
        fault("half_close", "request", "end", **ONCE),
        ("served", 1),
        ("served", 1),
    ),
    "half-close before the answer": (fault("half_close", **ONCE), ("failed", 1), ("served", 2)),
    "head garbled": (fault("garble", place="head", count=6, **ONCE), ("failed", 1), ("served", 2)),
    "length garbled": (fault("garble", place="length", **ONCE), ("failed", 1), ("served", 2)),
    "request swallowed": (fault("black_hole", "request", **ONCE), ("failed", 0), ("refused", 0)),
    "answer swallowed": (fault("black_hole", **ONCE), ("failed", 1), ("refused", 1)),
    "request cut half-way": (
        fault("cut", "request", "head", after=40, **ONCE),
        ("failed", 0),
        ("served", 1),
    ),
    "answer delayed": (fault("delay", ms=60, **ONCE), ("served", 1), ("served", 1)),
    "answer dripping": (fault("rate", per_second=400, **ONCE), ("served", 1), ("served", 1)),
}


@pytest.mark.parametrize("name", SEEN)
def test_a_sidecar_meets_each_failure_and_retries_only_what_it_may(tmp_path, name):
    what, *expected = SEEN[name]

    async def play():
        for cls, (word, runs) in zip(("order", "lookup"), expected, strict=True):
            first = await through_tool(tmp_path, [what], cls, OK, "1500m")
            assert first[:2] == (word, runs), cls
            if cls == "order":  # a repeat's time is the sidecar's chance, not the proxy's
                assert await through_tool(tmp_path, [what], cls, OK, "1500m") == first

    run(play())


def test_a_garbled_chunk_size_shows_as_a_broken_answer(tmp_path):
    async def play():
        what = [fault("garble", place="chunk_size", after=4, count=1)]
        chunked = CHUNKED_HEAD + b"1\r\na\r\n4\r\nbcde\r\n0\r\n\r\n"
        word, runs, answers = await through_tool(tmp_path, what, "order", chunked, "1500m")
        assert (word, runs) in (("cut", 1), ("failed", 1))
        assert (await through_tool(tmp_path, what, "order", chunked, "1500m"))[2] == answers

    run(play())


def test_a_reset_reaches_a_peer_that_has_data_unread(tmp_path):
    async def play():
        async def act(message, reader, writer):
            writer.write(OK)

        fake = await FakePeer(act).start()
        proxy = FaultProxy((HOST, fake.port), [fault("reset", place="end")], 1)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(proxy.accept, HOST, 0)
        sock = socket.create_connection(server.sockets[0].getsockname())
        sock.setblocking(False)
        await loop.sock_sendall(sock, REQUEST)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while proxy.connections or not proxy.next_connection_number:
                await asyncio.sleep(0.001)
            with pytest.raises(ConnectionResetError):
                while await loop.sock_recv(sock, 5):
                    pass
        sock.close()
        server.close()

    run(play())


def test_it_lets_go_of_connections_that_both_ends_have_ended(tmp_path):
    async def play():
        fake = await FakePeer(answer_ok).start()
        for faults in ([], [fault("half_close", "request", "end")], [fault("delay", ms=5)]):
            proxy = FaultProxy((HOST, fake.port), faults, 1)
            server = await asyncio.get_running_loop().create_server(proxy.accept, HOST, 0)
            for number in range(5):
                got = await send_request(
                    server.sockets[0].getsockname()[1], http_request("order", f"id{number}")
                )
                assert got.code == 200
            await wait_until(lambda proxy=proxy: not proxy.connections)
            server.close()

    run(play())


def test_it_is_controlled_live_and_reports_what_it_did(tmp_path):
    async def play():
        async def act(message, reader, writer):
            writer.write(OK)

        fake = await FakePeer(act).start()
        proxy = FaultProxy((HOST, fake.port), [], 1)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(proxy.accept, HOST, 0)
        control = await loop.create_server(proxy.control().connection, HOST, 0)
        steer = control.sockets[0].getsockname()[1]

        async def order(method, path, body=b""):
            head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            return await send_request(steer, head + body)

        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(REQUEST)
        assert (await read_message(reader)).code == 200
        writer.write(REQUEST[:30])
        wrong = await order("POST", "/faults", b'[{"do": "cut", "place": "nowhere"}, {"do": "drop"}]')
        assert wrong.code == 400 and wrong.body.count(b"/faults: fault[") == 2
        cut = [{"do": "cut", "side": "request", "place": "body", "after": 4, "message": 1}]
        assert (await order("POST", "/faults", json.dumps(cut).encode())).code == 200
        writer.write(REQUEST[30:])
        assert await reader.read() == b""
        told = json.loads((await order("GET", "/transcript")).body)
        assert told["lines"][1].startswith(f"0 request {2 * len(REQUEST) - 6} ") and "cut" in told["lines"][1]
        assert told["digest"] == proxy.transcript.digest()
        assert (await order("GET", "/nothing")).code == 404
        writer.close()
        server.close()

    run(play())


# Datagrams, the command, and its script


def test_datagrams_are_forwarded_and_their_answers_reach_the_sender():
    async def play():
        class Echo(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                self.transport = transport

            def datagram_received(self, data, addr):
                self.transport.sendto(b"re:" + data, addr)

        class Asker(asyncio.DatagramProtocol):
            def __init__(self):
                self.got = asyncio.Queue()

            def datagram_received(self, data, addr):
                self.got.put_nowait(data)

        loop = asyncio.get_running_loop()
        digests = []
        for _ in range(2):
            echo, _ = await loop.create_datagram_endpoint(Echo, local_addr=(HOST, 0))
            faults = [fault("duplicate", "answer", message=1, most=1), fault("drop", "request", most=1)]
            proxy = FaultProxy(echo.get_extra_info("sockname"), faults, 1, datagrams=True)
            between, _ = await loop.create_datagram_endpoint(proxy.accept_datagrams, local_addr=(HOST, 0))
            asker, protocol = await loop.create_datagram_endpoint(
                Asker, remote_addr=between.get_extra_info("sockname")
            )
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                asker.sendto(b"lost")
                for name, copies in ((b"a", 1), (b"b", 2), (b"c", 1)):
                    asker.sendto(name)
                    assert [await protocol.got.get() for _ in range(copies)] == [b"re:" + name] * copies
            digests.append(proxy.transcript.digest())
            for transport in (echo, between, asker):
                transport.close()
        assert digests[0] == digests[1]

    run(play())


def test_the_command_forwards_and_reports_what_it_did(tmp_path):
    async def play():
        fake = await FakePeer(never_answer).start()
        path = tmp_path / "s.toml"
        path.write_text('[[fault]]\ndo = "cut"\nside = "request"\nplace = "body"\nafter = 3\n')
        command = ["-m", "ochreflow.cli", "lab", "fault", "--to", fake.address, "--script", str(path)]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            where = (await process.stdout.readline()).split()[-1].decode()
            reader, writer = await asyncio.open_connection(*where.split(":"))
            writer.write(REQUEST)
            assert await reader.read() == b""
            process.send_signal(signal.SIGTERM)
            said = (await process.stdout.read()).decode().splitlines()
            assert await process.wait() == 0
        writer.close()
        sent = len(REQUEST) - 7
        assert said[0].startswith(f"0 request {sent} ") and said[0].endswith(f" {sent} cut")
        assert said[1].startswith("digest ") and len(said) == 2

    run(play())


def test_a_script_error_names_all_that_is_wrong_with_it(tmp_path):
    path = tmp_path / "s.toml"
    good = '[[fault]]\ndo = "cut"\nside = "request"\nplace = "length"\nafter = 1\n'
    path.write_text(good)
    assert read_script(str(path), (FaultKind.CUT,)) == [fault("cut", "request", "length", after=1)]
    path.write_text(
        good + '[[fault]]\ndo = "cat"\n[[fault]]\ndo = "rate"\n[[fault]]\ndo = "cut"\nshare = 2.0\n'
    )
    with pytest.raises(ScriptError) as caught:
        read_script(str(path), (FaultKind.CUT, FaultKind.RATE))
    lines = str(caught.value).splitlines()
    assert [line.split(": ")[1] for line in lines] == ["fault[1]", "fault[2]", "fault[3]"]
    command = [
        sys.executable,
        "-m",
        "ochreflow.cli",
        "lab",
        "fault",
        "--to",
        f"{HOST}:1",
        "--script",
        str(path),
    ]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=20)
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 3
