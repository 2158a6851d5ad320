"""The fault-injecting proxy on sockets: in front of a sidecar's server, for datagrams, and as a command."""

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

# Streams: the proxy between a sidecar and its server


async def send_through_proxy(tmp_path, faults, request_class, response, deadline):
    """Send a request through a sidecar whose server is behind the proxy.

    Return the client's outcome, how often the server ran the request, and the transcript of the responses.
    """

    async def respond(message, reader, writer):
        writer.write(response)

    fake = await FakePeer(respond).start()
    loop = asyncio.get_running_loop()
    proxy = FaultProxy((HOST, fake.port), faults, seed=5)
    server = await loop.create_server(proxy.accept, HOST, 0)
    address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", address)))) as sidecar:
        try:
            reply = await send_request(
                sidecar.port,
                http_request(request_class, "ab", deadline, b"x" * 10 if request_class == "order" else b""),
            )
            outcome = {200: "served", 503: "refused"}.get(reply.code, "failed")
        except (OSError, asyncio.IncompleteReadError):
            outcome = "cut"
    proxy.close()
    server.close()
    # Requests carry their remaining time, which varies; only the responses are the same in every run.
    response_lines = [line for line in proxy.transcript.lines() if " answer " in line]
    return outcome, len(fake.received), response_lines


# Replacing the leading zero with any other digit makes the length exceed the body. A length that is too short
# is not detectable: servers may send bytes after a valid response.
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 010\r\n\r\n0123456789"
ONCE = {"most": 1}  # only the first connection, so that a retry succeeds
FAULT_CASES = {  # fault of the first attempt: (outcome and runs of order), (outcome and runs of lookup)
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


@pytest.mark.parametrize("name", FAULT_CASES)
def test_sidecar_retries_only_retryable_requests_after_each_fault(tmp_path, name):
    injected, *expected = FAULT_CASES[name]

    async def scenario():
        for request_class, (outcome, runs) in zip(("order", "lookup"), expected, strict=True):
            first = await send_through_proxy(tmp_path, [injected], request_class, OK, "1500m")
            assert first[:2] == (outcome, runs), request_class
            if request_class == "order":  # the retries of a lookup are timed at random by the sidecar
                assert await send_through_proxy(tmp_path, [injected], request_class, OK, "1500m") == first

    run(scenario())


def test_garbled_chunk_size_fails_the_response(tmp_path):
    async def scenario():
        injected = [fault("garble", place="chunk_size", after=4, count=1)]
        chunked = CHUNKED_HEAD + b"1\r\na\r\n4\r\nbcde\r\n0\r\n\r\n"
        outcome, runs, response_lines = await send_through_proxy(
            tmp_path, injected, "order", chunked, "1500m"
        )
        assert (outcome, runs) in (("cut", 1), ("failed", 1))
        assert (await send_through_proxy(tmp_path, injected, "order", chunked, "1500m"))[2] == response_lines

    run(scenario())


def test_reset_reaches_a_peer_with_unread_data(tmp_path):
    async def scenario():
        async def respond(message, reader, writer):
            writer.write(OK)

        fake = await FakePeer(respond).start()
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

    run(scenario())


def test_proxy_releases_connections_that_both_ends_closed(tmp_path):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        for faults in ([], [fault("half_close", "request", "end")], [fault("delay", ms=5)]):
            proxy = FaultProxy((HOST, fake.port), faults, 1)
            server = await asyncio.get_running_loop().create_server(proxy.accept, HOST, 0)
            for number in range(5):
                reply = await send_request(
                    server.sockets[0].getsockname()[1], http_request("order", f"id{number}")
                )
                assert reply.code == 200
            await wait_until(lambda proxy=proxy: not proxy.connections)
            server.close()

    run(scenario())


def test_control_interface_replaces_faults_and_returns_the_transcript(tmp_path):
    async def scenario():
        async def respond(message, reader, writer):
            writer.write(OK)

        fake = await FakePeer(respond).start()
        proxy = FaultProxy((HOST, fake.port), [], 1)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(proxy.accept, HOST, 0)
        control_server = await loop.create_server(proxy.control().connection, HOST, 0)
        control_port = control_server.sockets[0].getsockname()[1]

        async def send_control(method, path, body=b""):
            head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            return await send_request(control_port, head + body)

        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(REQUEST)
        assert (await read_message(reader)).code == 200
        writer.write(REQUEST[:30])
        rejected = await send_control(
            "POST", "/faults", b'[{"do": "cut", "place": "nowhere"}, {"do": "drop"}]'
        )
        assert rejected.code == 400 and rejected.body.count(b"/faults: fault[") == 2
        cut_fault = [{"do": "cut", "side": "request", "place": "body", "after": 4, "message": 1}]
        assert (await send_control("POST", "/faults", json.dumps(cut_fault).encode())).code == 200
        writer.write(REQUEST[30:])
        assert await reader.read() == b""
        transcript = json.loads((await send_control("GET", "/transcript")).body)
        assert (
            transcript["lines"][1].startswith(f"0 request {2 * len(REQUEST) - 6} ")
            and "cut" in transcript["lines"][1]
        )
        assert transcript["digest"] == proxy.transcript.digest()
        assert (await send_control("GET", "/nothing")).code == 404
        writer.close()
        server.close()

    run(scenario())


# Datagrams, the command, and scripts


def test_datagrams_are_forwarded_and_responses_reach_the_sender():
    async def scenario():
        class Echo(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                self.transport = transport

            def datagram_received(self, data, addr):
                self.transport.sendto(b"re:" + data, addr)

        class Client(asyncio.DatagramProtocol):
            def __init__(self):
                self.received = asyncio.Queue()

            def datagram_received(self, data, addr):
                self.received.put_nowait(data)

        loop = asyncio.get_running_loop()
        digests = []
        for _ in range(2):
            echo_transport, _ = await loop.create_datagram_endpoint(Echo, local_addr=(HOST, 0))
            faults = [fault("duplicate", "answer", message=1, most=1), fault("drop", "request", most=1)]
            proxy = FaultProxy(echo_transport.get_extra_info("sockname"), faults, 1, datagrams=True)
            proxy_transport, _ = await loop.create_datagram_endpoint(
                proxy.accept_datagrams, local_addr=(HOST, 0)
            )
            client_transport, client = await loop.create_datagram_endpoint(
                Client, remote_addr=proxy_transport.get_extra_info("sockname")
            )
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                client_transport.sendto(b"lost")
                for payload, copies in ((b"a", 1), (b"b", 2), (b"c", 1)):
                    client_transport.sendto(payload)
                    assert [await client.received.get() for _ in range(copies)] == [b"re:" + payload] * copies
            digests.append(proxy.transcript.digest())
            for transport in (echo_transport, proxy_transport, client_transport):
                transport.close()
        assert digests[0] == digests[1]

    run(scenario())


def test_command_forwards_traffic_and_prints_the_transcript(tmp_path):
    async def scenario():
        fake = await FakePeer(never_answer).start()
        path = tmp_path / "s.toml"
        path.write_text('[[fault]]\ndo = "cut"\nside = "request"\nplace = "body"\nafter = 3\n')
        command = ["-m", "ochreflow.cli", "lab", "fault", "--to", fake.address, "--script", str(path)]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            address = (await process.stdout.readline()).split()[-1].decode()
            reader, writer = await asyncio.open_connection(*address.split(":"))
            writer.write(REQUEST)
            assert await reader.read() == b""
            process.send_signal(signal.SIGTERM)
            output = (await process.stdout.read()).decode().splitlines()
            assert await process.wait() == 0
        writer.close()
        forwarded_bytes = len(REQUEST) - 7
        assert output[0].startswith(f"0 request {forwarded_bytes} ") and output[0].endswith(
            f" {forwarded_bytes} cut"
        )
        assert output[1].startswith("digest ") and len(output) == 2

    run(scenario())


def test_script_error_names_every_invalid_fault(tmp_path):
    path = tmp_path / "s.toml"
    valid_fault = '[[fault]]\ndo = "cut"\nside = "request"\nplace = "length"\nafter = 1\n'
    path.write_text(valid_fault)
    assert read_script(str(path), (FaultKind.CUT,)) == [fault("cut", "request", "length", after=1)]
    path.write_text(
        valid_fault + '[[fault]]\ndo = "cat"\n[[fault]]\ndo = "rate"\n[[fault]]\ndo = "cut"\nshare = 2.0\n'
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
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=20)
    assert completed.returncode == 2 and len(completed.stderr.splitlines()) == 3
