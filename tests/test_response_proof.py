"""Which responses prove that a server did not run a request.

An unsafe request may be retried, or rejected with a code that invites the client to retry, only with such a
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
REJECTION = HEAD + NOT_RUN + EMPTY
RETRYABLE_CODES = (429, 503)
LARGE = 256 * 1024  # bytes of a request, more than a small receive buffer holds and less than the send buffer


def leave_open(writer):
    """Leave the connection open."""


def close(writer):
    writer.close()


# None of these is a proof: the response, and what the server does after it.
NO_PROOF = {
    "trailer": (HEAD + CHUNKED + BODY_AND_END + NOT_RUN + b"\r\n", leave_open),
    "trailer over the same name in the head": (
        HEAD + b"X-Not-Run: 0\r\n" + CHUNKED + BODY_AND_END + NOT_RUN + b"\r\n",
        leave_open,
    ),
    "trailer against the head": (
        HEAD + NOT_RUN + CHUNKED + BODY_AND_END + b"X-Not-Run: 0\r\n\r\n",
        leave_open,
    ),
    "interim response": (b"HTTP/1.1 103 Early\r\n" + NOT_RUN + b"\r\n" + HEAD + EMPTY, leave_open),
    "0 then 1": (HEAD + b"X-Not-Run: 0\r\n" + NOT_RUN + EMPTY, leave_open),
    "1 then 0": (HEAD + NOT_RUN + b"X-Not-Run: 0\r\n" + EMPTY, leave_open),
    "list of 1 and 0": (HEAD + b"X-Not-Run: 1, 0\r\n" + EMPTY, leave_open),
    "no value": (HEAD + b"X-Not-Run:\r\n" + EMPTY, leave_open),
    "folded line": (HEAD + b"X-Not-Run: 0\r\n 1\r\n" + EMPTY, leave_open),
    "500": (b"HTTP/1.1 500 Error\r\n" + NOT_RUN + EMPTY, leave_open),
    "429": (b"HTTP/1.1 429 Slow\r\n" + NOT_RUN + EMPTY, leave_open),
    "truncated head, end": (HEAD + NOT_RUN + b"Content-Length: 0\r\n", close),
    "truncated head, reset": (HEAD + NOT_RUN + b"Content-Length: 0\r\n", reset),
    "truncated head, silence": (HEAD + NOT_RUN + b"Content-Length: 0\r\n", leave_open),
    "body shorter than its length": (HEAD + NOT_RUN + b"Content-Length: 9\r\n\r\nfull", close),
    "chunks without the last chunk": (HEAD + NOT_RUN + CHUNKED + b"4\r\nfull\r\n", close),
    "two lengths": (HEAD + NOT_RUN + b"Content-Length: 0\r\nContent-Length: 4\r\n\r\nfull", leave_open),
    "length, then chunks": (
        HEAD + NOT_RUN + b"Content-Length: 4\r\n" + CHUNKED + BODY_AND_END + b"\r\n",
        leave_open,
    ),
    "chunks, then length": (
        HEAD + NOT_RUN + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n" + BODY_AND_END + b"\r\n",
        leave_open,
    ),
    "two encodings": (
        HEAD + NOT_RUN + b"Transfer-Encoding: gzip\r\n" + CHUNKED + BODY_AND_END + b"\r\n",
        leave_open,
    ),
    "followed by another response": (REJECTION + http_response(200, b"served"), leave_open),
    "followed by other bytes": (REJECTION + b"full", leave_open),
    "no length, reset": (HEAD + NOT_RUN + b"\r\nfull", reset),
    "no length, silence": (HEAD + NOT_RUN + b"\r\nfull", leave_open),
}

PROOF = {
    "503": (REJECTION, leave_open),
    "504": (b"HTTP/1.1 504 Late\r\n" + NOT_RUN + EMPTY, leave_open),
    "twice the same": (HEAD + NOT_RUN + NOT_RUN + EMPTY, leave_open),
    "chunks": (HEAD + NOT_RUN + CHUNKED + BODY_AND_END + b"\r\n", leave_open),
    "chunks and another trailer": (HEAD + NOT_RUN + CHUNKED + BODY_AND_END + b"X-Sum: 0\r\n\r\n", leave_open),
    "after an interim response": (b"HTTP/1.1 103 Early\r\nX-Not-Run: 0\r\n\r\n" + REJECTION, leave_open),
    "closes": (HEAD + NOT_RUN + b"Connection: close\r\n" + EMPTY, close),
    "no length, end": (HEAD + NOT_RUN + b"\r\nfull", close),
}


def first_responds(data, then):
    """Return a handler that responds to its first request with `data`, and serves all others."""
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


async def request_once(tmp_path, class_name, data, then):
    """Return the response to a request that first gets `data`, and the number of copies sent."""
    act = first_responds(data, then)
    servers = [await FakePeer(act).start() for _ in range(2)]
    endpoints = endpoint_update(1, *(entry(f"s{n}", server.address) for n, server in enumerate(servers)))
    async with Sidecar(tmp_path / "c", config(endpoints)) as sidecar:
        got = await send_request(sidecar.port, http_request(class_name, "ab"))
    return got, sum(len(server.received) for server in servers)


@pytest.mark.parametrize("case", NO_PROOF)
def test_an_unsafe_request_without_proof_is_neither_retried_nor_rejected_as_retryable(
    tmp_path, monkeypatch, case
):
    """The request may have run: a retry would break rule `duplicate`."""
    monkeypatch.setattr(upstream_connection, "RESPONSE_STALL_TIMEOUT_S", 0.2)
    got, copies = run(request_once(tmp_path, "order", *NO_PROOF[case]))
    assert copies == 1
    assert got.code >= 500 and got.code not in RETRYABLE_CODES


@pytest.mark.parametrize("class_name", ["lookup", "hold", "order"])
@pytest.mark.parametrize("case", PROOF)
def test_any_request_is_retried_if_the_response_proves_that_it_did_not_run(tmp_path, case, class_name):
    got, copies = run(request_once(tmp_path, class_name, *PROOF[case]))
    assert (got.code, copies) == (200, 2)


def parse(pieces, ended):
    """Return the status of a response that arrives in these pieces; None if it is not complete."""
    parser = ResponseParser(Memory(64 * MB))
    parser.start(64 * 1024, may_relay=False)
    for piece in pieces:
        if parser.complete is None and not parser.invalid:
            parser.feed(piece)
    if ended and parser.complete is None:
        parser.end()
    return None if parser.complete is None or parser.invalid else classify(parser.complete)


@pytest.mark.parametrize("case", [case for case in NO_PROOF | PROOF if "followed by" not in case])
def test_a_proof_does_not_depend_on_how_the_response_is_split(case):
    data, then = (NO_PROOF | PROOF)[case]
    proven = case in PROOF
    for size in (1, 2, 7, len(data)):
        pieces = [data[at : at + size] for at in range(0, len(data), size)]
        assert (parse(pieces, then is close) is Status.REJECTED) == proven, size


class LargeRequest:
    """Sends a large request to a server that reads it only on demand."""

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
        """Start the request; return its exchange, the future of its status, and the server's socket."""
        loop = asyncio.get_running_loop()
        end = loop.create_future()
        exchange = Exchange(
            lambda: self.payload, lambda _, status, response: end.set_result(status), 64 * 1024
        )
        self.pool.start(1, exchange, WAIT_TIMEOUT_S)
        server, _ = await loop.sock_accept(self.listener)
        return exchange, end, server

    async def read(self, server):
        """Return all that arrives at the server until the connection ends."""
        got = b""
        with contextlib.suppress(ConnectionResetError):
            while data := await asyncio.get_running_loop().sock_recv(server, 1024 * 1024):
                got += data
        server.close()
        return got


def test_a_rejection_while_part_of_the_request_is_in_flight_is_no_proof():
    """Bytes in the send buffer reach the server after the connection is closed, and the request runs."""

    async def scenario():
        request = LargeRequest(LARGE)
        exchange, end, server = await request.write()
        while exchange.connection is None:
            await asyncio.sleep(0)
        connection = exchange.connection
        assert not connection.unwritten and not connection.arrived
        server.sendall(REJECTION)
        assert await end is Status.CANCELLED
        assert not request.pool.connections
        assert await request.read(server) == request.payload
        request.listener.close()

    run(scenario())


def test_a_request_rejected_before_its_last_byte_was_accepted_is_never_completed():
    """The rejection closes the connection and the rest is never sent, which is the proof."""

    async def scenario():
        request = LargeRequest(64 * LARGE)
        exchange, end, server = await request.write()
        while exchange.connection is None:
            await asyncio.sleep(0)
        assert exchange.connection.unwritten
        server.sendall(REJECTION)
        assert await end is Status.REJECTED
        assert not request.pool.connections
        assert len(await request.read(server)) < len(request.payload)
        request.listener.close()

    run(scenario())
