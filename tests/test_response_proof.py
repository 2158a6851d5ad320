"""What proves that a server never ran a request, and what does not.

A request that must not be repeated may be sent again, or refused with an invitation to come again, only on
proof. Each test forces one response through a real socket, and counts the copies that reach any server.
"""

import asyncio
import contextlib
import socket

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
    reset,
    run,
    send_request,
)

from ochreflow.core.limits import MB, Descriptors, Memory
from ochreflow.http import upstream_connection
from ochreflow.http.exchange import Exchange
from ochreflow.http.response import ResponseParser, classify
from ochreflow.http.upstream import Upstreams
from ochreflow.policy.interface import State, Status

HEAD = b"HTTP/1.1 503 Full\r\n"
NOT_RUN = b"X-Not-Run: 1\r\n"
EMPTY = b"Content-Length: 0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BODY_AND_END = b"4\r\nfull\r\n0\r\n"
REFUSAL = HEAD + NOT_RUN + EMPTY
INVITES_REPEAT = (429, 503)
LARGE = 256 * 1024  # bytes of a request: more than a small receive buffer, less than the send buffer takes


def stay(writer):
    """Leave the connection open."""


def close(writer):
    writer.close()


# Each proves nothing: the bytes, and what its server does after them.
NO_PROOF = {
    "trailer": (HEAD + CHUNKED + BODY_AND_END + NOT_RUN + b"\r\n", stay),
    "trailer over the same name in the head": (
        HEAD + b"X-Not-Run: 0\r\n" + CHUNKED + BODY_AND_END + NOT_RUN + b"\r\n",
        stay,
    ),
    "trailer against the head": (
        HEAD + NOT_RUN + CHUNKED + BODY_AND_END + b"X-Not-Run: 0\r\n\r\n",
        stay,
    ),
    "interim response": (b"HTTP/1.1 103 Early\r\n" + NOT_RUN + b"\r\n" + HEAD + EMPTY, stay),
    "0 then 1": (HEAD + b"X-Not-Run: 0\r\n" + NOT_RUN + EMPTY, stay),
    "1 then 0": (HEAD + NOT_RUN + b"X-Not-Run: 0\r\n" + EMPTY, stay),
    "list of 1 and 0": (HEAD + b"X-Not-Run: 1, 0\r\n" + EMPTY, stay),
    "no value": (HEAD + b"X-Not-Run:\r\n" + EMPTY, stay),
    "folded line": (HEAD + b"X-Not-Run: 0\r\n 1\r\n" + EMPTY, stay),
    "500": (b"HTTP/1.1 500 Error\r\n" + NOT_RUN + EMPTY, stay),
    "429": (b"HTTP/1.1 429 Slow\r\n" + NOT_RUN + EMPTY, stay),
    "head cut short, end": (HEAD + NOT_RUN + b"Content-Length: 0\r\n", close),
    "head cut short, reset": (HEAD + NOT_RUN + b"Content-Length: 0\r\n", reset),
    "head cut short, silence": (HEAD + NOT_RUN + b"Content-Length: 0\r\n", stay),
    "body shorter than told": (HEAD + NOT_RUN + b"Content-Length: 9\r\n\r\nfull", close),
    "chunks without their end": (HEAD + NOT_RUN + CHUNKED + b"4\r\nfull\r\n", close),
    "two lengths": (HEAD + NOT_RUN + b"Content-Length: 0\r\nContent-Length: 4\r\n\r\nfull", stay),
    "length, then chunks": (
        HEAD + NOT_RUN + b"Content-Length: 4\r\n" + CHUNKED + BODY_AND_END + b"\r\n",
        stay,
    ),
    "chunks, then length": (
        HEAD + NOT_RUN + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n" + BODY_AND_END + b"\r\n",
        stay,
    ),
    "two encodings": (
        HEAD + NOT_RUN + b"Transfer-Encoding: gzip\r\n" + CHUNKED + BODY_AND_END + b"\r\n",
        stay,
    ),
    "another response after it": (REFUSAL + http_response(200, b"served"), stay),
    "other bytes after it": (REFUSAL + b"full", stay),
    "no length, reset": (HEAD + NOT_RUN + b"\r\nfull", reset),
    "no length, silence": (HEAD + NOT_RUN + b"\r\nfull", stay),
}

PROOF = {
    "503": (REFUSAL, stay),
    "504": (b"HTTP/1.1 504 Late\r\n" + NOT_RUN + EMPTY, stay),
    "twice the same": (HEAD + NOT_RUN + NOT_RUN + EMPTY, stay),
    "chunks": (HEAD + NOT_RUN + CHUNKED + BODY_AND_END + b"\r\n", stay),
    "chunks and another trailer": (HEAD + NOT_RUN + CHUNKED + BODY_AND_END + b"X-Sum: 0\r\n\r\n", stay),
    "after an interim response": (b"HTTP/1.1 103 Early\r\nX-Not-Run: 0\r\n\r\n" + REFUSAL, stay),
    "closes": (HEAD + NOT_RUN + b"Connection: close\r\n" + EMPTY, close),
    "no length, end": (HEAD + NOT_RUN + b"\r\nfull", close),
}


def first_says(data, then):
    """A server whose first request meets these bytes, and every other one is served."""
    seen = []

    async def act(message, reader, writer):
        seen.append(message)
        if len(seen) > 1:
            await answer_ok(message, reader, writer)
            return
        writer.write(data)
        await writer.drain()
        then(writer)
        with contextlib.suppress(OSError):
            await reader.read()

    return act


async def ask_once(tmp_path, cls, data, then):
    """The answer to one request before two servers, the first of which says this, and the copies made."""
    act = first_says(data, then)
    servers = [await FakePeer(act).start() for _ in range(2)]
    listed = endpoint_update(1, *(entry(f"s{n}", server.address) for n, server in enumerate(servers)))
    async with Sidecar(tmp_path / "c", config(listed)) as sidecar:
        got = await send_request(sidecar.port, http_request(cls, "ab"))
    return got, sum(len(server.received) for server in servers)


@pytest.mark.parametrize("case", NO_PROOF)
def test_an_unsafe_request_is_neither_repeated_nor_refused_without_proof(tmp_path, monkeypatch, case):
    """Guards rule `duplicate`: the request may have run."""
    monkeypatch.setattr(upstream_connection, "RESPONSE_STALL_TIMEOUT_S", 0.2)
    got, copies = run(ask_once(tmp_path, "order", *NO_PROOF[case]))
    assert copies == 1
    assert got.code >= 500 and got.code not in INVITES_REPEAT


@pytest.mark.parametrize("cls", ["lookup", "hold", "order"])
@pytest.mark.parametrize("case", PROOF)
def test_any_request_is_repeated_on_proof(tmp_path, case, cls):
    got, copies = run(ask_once(tmp_path, cls, *PROOF[case]))
    assert (got.code, copies) == (200, 2)


def parse(pieces, ended):
    """What the parser makes of a response that comes in these pieces; None if it is not complete."""
    parser = ResponseParser(Memory(64 * MB))
    parser.start(64 * 1024, may_relay=False)
    for piece in pieces:
        if parser.complete is None and not parser.invalid:
            parser.feed(piece)
    if ended and parser.complete is None:
        parser.end()
    return None if parser.complete is None or parser.invalid else classify(parser.complete)


@pytest.mark.parametrize("case", [case for case in NO_PROOF | PROOF if "after it" not in case])
def test_a_proof_does_not_depend_on_how_the_bytes_come(case):
    data, then = (NO_PROOF | PROOF)[case]
    proven = case in PROOF
    for size in (1, 2, 7, len(data)):
        pieces = [data[at : at + size] for at in range(0, len(data), size)]
        assert (parse(pieces, then is close) is Status.REJECTED) == proven, size


class LargeRequest:
    """A large request at a server that reads nothing of it until it is told to."""

    def __init__(self, size):
        self.payload = b"POST /order HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (size, b"x" * size)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind((HOST, 0))
        self.listener.listen()
        self.listener.setblocking(False)
        loop = asyncio.get_running_loop()
        self.pool = Upstreams(loop, Descriptors(1024), Memory(192 * MB), 5.0, 60.0)
        self.pool.update(1, self.listener.getsockname(), 0, State.READY)

    async def write(self):
        """Start it: the exchange, the future of its end, and the server's side of the connection."""
        loop = asyncio.get_running_loop()
        end = loop.create_future()
        exchange = Exchange(lambda: self.payload, lambda _, status, answer: end.set_result(status), 64 * 1024)
        self.pool.start(1, exchange, WAIT_TIMEOUT_S)
        server, _ = await loop.sock_accept(self.listener)
        return exchange, end, server

    async def read(self, server):
        """All that arrives until the connection ends."""
        got = b""
        with contextlib.suppress(ConnectionResetError):
            while data := await asyncio.get_running_loop().sock_recv(server, 1024 * 1024):
                got += data
        server.close()
        return got


def test_a_refusal_proves_nothing_while_part_of_the_request_is_still_on_its_way():
    """What the system holds goes on to the server after the connection is closed, and the request runs."""

    async def play():
        request = LargeRequest(LARGE)
        exchange, end, server = await request.write()
        while exchange.connection is None:
            await asyncio.sleep(0)
        connection = exchange.connection
        assert not connection.unwritten and not connection.arrived
        server.sendall(REFUSAL)
        assert await end is Status.CANCELLED
        assert not request.pool.connections
        assert await request.read(server) == request.payload
        request.listener.close()

    run(play())


def test_a_request_that_was_refused_before_it_was_whole_never_becomes_whole():
    """The refusal closes the connection with the rest never sent: this is the proof."""

    async def play():
        request = LargeRequest(64 * LARGE)
        exchange, end, server = await request.write()
        while exchange.connection is None:
            await asyncio.sleep(0)
        assert exchange.connection.unwritten
        server.sendall(REFUSAL)
        assert await end is Status.REJECTED
        assert not request.pool.connections
        assert len(await request.read(server)) < len(request.payload)
        request.listener.close()

    run(play())
