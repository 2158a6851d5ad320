"""Data that a server sends beyond its response: no client gets it as the response to another request.

Guards against a second response, some milliseconds late, that crosses the next request on its connection
(`review/1`). The axes: what is sent, how late, behind which response, and what its connection does by then.
"""

import asyncio
import contextlib
import itertools
import socket
from dataclasses import dataclass, field

import pytest
from net_helpers import (
    HOST,
    WAIT_TIMEOUT_S,
    Sidecar,
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

from ochreflow.core.limits import Descriptors
from ochreflow.http import idle_connections
from ochreflow.http.read_scheduler import ReadScheduler
from ochreflow.policy.concurrency_limiter import ConcurrencyLimiter

SETTLING_TIME_S = 0.3  # long enough for what a test sends within it to arrive, also on a busy machine
WORK_S = 0.06  # a request's time at the server: what is late comes before its response
NOT_RUN = "X-Not-Run: 1"
CLASSES = ("lookup", "hold", "order")
LARGE_BODY = b"x" * 256 * 1024  # more than a small receive buffer holds, and less than a send buffer
SMALL_BUFFER_BYTES = 4096


def body_of(request_id):
    return f"body of {request_id}".encode()


def chunked(code, body):
    return b"HTTP/1.1 %d X\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (
        code,
        len(body),
        body,
    )


def until_end(code, body):
    return b"HTTP/1.1 %d X\r\n\r\n%s" % (code, body)


FIRST_RESPONSES = {
    "200 with length": lambda body: http_response(200, body),
    "200 in chunks": lambda body: chunked(200, body),
    "200 without length": lambda body: until_end(200, body),
    "500": lambda body: http_response(500, body),
    "503 not run": lambda body: http_response(503, body, NOT_RUN),
}
EXTRA_DATA = {
    "copy": lambda response: response,
    "part of the head": lambda response: response[:12],
    "part of the body": lambda response: response[:-4],
    "noise": lambda _: b"\x00\x01 noise\r\n",
    "line ends": lambda _: b"\r\n\r\n",
    "interim response": lambda _: b"HTTP/1.1 103 Early Hints\r\n\r\n",
    "rejection": lambda _: http_response(503, b"", NOT_RUN),
    "time-out and close": lambda _: http_response(408, b"", "Connection: close"),
    "error": lambda _: http_response(500, b"error"),
}
LATE_S = {"at once": 0.0, "5 ms": 0.005, "40 ms": 0.04}


@dataclass
class Server:
    """Answers each request with a body of its own; sends extra data after the response to `first`.

    The extra data is sent whether or not another request has come: it crosses that request on its way.
    """

    respond: object = FIRST_RESPONSES["200 with length"]
    extra: object = EXTRA_DATA["copy"]
    late_s: float = 0.0
    max_connections: int = 1000
    receive_buffer: int = 0
    connections: int = 0
    ended: int = 0
    requests: list[str] = field(default_factory=list)
    answered: asyncio.Event = field(default_factory=asyncio.Event)  # set with the response to `first`
    send_extra: asyncio.Event | None = None  # replaces `late_s`
    ends_after_extra: bool = False
    stalls: bool = False  # whether it reads nothing after its first request
    unprompted: dict[str, bytes] = field(default_factory=dict)  # by the id of the request that it crosses

    async def start(self):
        sock = socket.socket()
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        sock.bind((HOST, 0))
        self.server = await asyncio.start_server(self._serve, sock=sock, limit=1024)
        self.address = f"{HOST}:{sock.getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        self.connections += 1
        if self.connections >= self.max_connections:
            self.server.close()  # further connections are refused
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            while True:
                message = await read_message(reader)
                request_id = message.headers["x-request-id"]
                self.requests.append(request_id)
                if request_id in self.unprompted:
                    writer.write(self.unprompted.pop(request_id))
                    await asyncio.sleep(2 * SETTLING_TIME_S)  # its response comes later than another request
                if request_id == "first" and self.requests.count("first") == 1:
                    await self._answer_first(writer)
                    if self.stalls:
                        await asyncio.Event().wait()
                else:
                    await asyncio.sleep(WORK_S)
                    writer.write(http_response(200, body_of(request_id)))
        self.ended += 1
        writer.close()

    async def _answer_first(self, writer):
        response = self.respond(body_of("first"))
        self.answered.set()
        if not self.late_s and self.send_extra is None:
            writer.write(response + self.extra(response))
            if self.respond is FIRST_RESPONSES["200 without length"]:
                writer.close()
            return
        writer.write(response)
        if self.respond is FIRST_RESPONSES["200 without length"]:
            writer.write_eof()
        asyncio.get_running_loop().create_task(self._send_extra(writer, response))

    async def _send_extra(self, writer, response):
        if self.send_extra is not None:
            await self.send_extra.wait()
        else:
            await asyncio.sleep(self.late_s)
        with contextlib.suppress(OSError, RuntimeError):
            writer.write(self.extra(response))
            if self.ends_after_extra:
                writer.write_eof()


@pytest.fixture(autouse=True)
def settling_time(monkeypatch):
    monkeypatch.setattr(idle_connections, "SETTLING_TIME_S", SETTLING_TIME_S)


@contextlib.asynccontextmanager
async def sidecar_with(server, tmp_path, **overrides):
    await server.start()
    data = config(endpoint_update(1, entry("s0", server.address)), **overrides)
    async with Sidecar(tmp_path / "c", data) as sidecar:
        yield sidecar


def check_own_response(response, request_id):
    assert (response.code, response.body) == (200, body_of(request_id))


@pytest.mark.parametrize("late", LATE_S)
@pytest.mark.parametrize("extra", EXTRA_DATA)
@pytest.mark.parametrize(
    ("first_class", "second_class"),
    [("lookup", "lookup"), ("order", "lookup"), ("hold", "hold"), ("lookup", "order")],
)
def test_the_next_request_gets_its_own_response(tmp_path, first_class, second_class, extra, late):
    """It comes at once, and waits for a connection while the extra data is on its way."""

    async def scenario():
        server = Server(extra=EXTRA_DATA[extra], late_s=LATE_S[late])
        async with sidecar_with(server, tmp_path) as sidecar:
            check_own_response(await send_request(sidecar.port, http_request(first_class, "first")), "first")
            for request_id in ("second", "third"):
                response = await send_request(sidecar.port, http_request(second_class, request_id))
                check_own_response(response, request_id)
        assert server.requests == ["first", "second", "third"]

    run(scenario())


@pytest.mark.parametrize("late", LATE_S)
@pytest.mark.parametrize("extra", ["copy", "part of the body", "rejection"])
@pytest.mark.parametrize("kind", FIRST_RESPONSES)
def test_extra_data_behind_any_response_reaches_no_client(tmp_path, kind, extra, late):
    async def scenario():
        respond = FIRST_RESPONSES[kind]
        server = Server(respond=respond, extra=EXTRA_DATA[extra], late_s=LATE_S[late])
        async with sidecar_with(server, tmp_path) as sidecar:
            first = asyncio.create_task(send_request(sidecar.port, http_request("lookup", "first")))
            await server.answered.wait()
            await asyncio.sleep(0.001)  # the response has been read
            second = await send_request(sidecar.port, http_request("lookup", "second"))
            check_own_response(second, "second")
            with contextlib.suppress(asyncio.IncompleteReadError):  # one in chunks, which is not read here
                assert (await first).code in (200, 503)

    run(scenario())


def test_several_requests_beside_a_late_copy_get_their_own_responses(tmp_path, monkeypatch):
    """The first crossing is what puts later responses off by one."""
    monkeypatch.undo()  # the usual settling time
    # The limit, 4 at first, is divided among the classes once 0.4 s have passed, and may reject one of four.
    monkeypatch.setattr(ConcurrencyLimiter, "admit", lambda *_: True)

    async def scenario():
        server = Server(late_s=0.005)
        async with sidecar_with(server, tmp_path) as sidecar:
            check_own_response(await send_request(sidecar.port, http_request("lookup", "first")), "first")
            for wave in range(3):
                ids = [f"{wave}-{number}" for number in range(4)]
                classes = itertools.cycle(CLASSES)
                responses = await asyncio.gather(
                    *(send_request(sidecar.port, http_request(next(classes), name)) for name in ids)
                )
                for name, response in zip(ids, responses, strict=True):
                    check_own_response(response, name)

    run(scenario())


@pytest.mark.parametrize("class_name", CLASSES)
def test_a_copy_that_the_read_scheduler_holds_back_is_found_before_the_next_request(
    tmp_path, monkeypatch, class_name
):
    async def scenario():
        server = Server(send_extra=asyncio.Event())
        begin_read = ReadScheduler.begin_read
        held_back = set()

        async with sidecar_with(server, tmp_path) as sidecar:
            check_own_response(await send_request(sidecar.port, http_request("lookup", "first")), "first")
            (connection,) = sidecar.upstreams.connections
            held_back.add(connection.stream.read_pace)

            def hold_back(scheduler, pace):
                return pace not in held_back and begin_read(scheduler, pace)

            monkeypatch.setattr(ReadScheduler, "begin_read", hold_back)
            server.send_extra.set()
            await wait_until(lambda: connection.stream.waits_to_read)
            await asyncio.sleep(SETTLING_TIME_S)
            assert not connection.closed  # nothing has read the copy
            second = await send_request(sidecar.port, http_request(class_name, "second"))
            check_own_response(second, "second")
            assert connection.closed

    run(scenario())


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_copy_later_than_the_settling_time_is_no_response_to_a_request_whose_body_is_under_way(
    tmp_path, framing
):
    async def scenario():
        server = Server(send_extra=asyncio.Event())
        async with sidecar_with(server, tmp_path) as sidecar:
            check_own_response(await send_request(sidecar.port, http_request("lookup", "first")), "first")
            await asyncio.sleep(SETTLING_TIME_S)
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            head = http_request("order", "second", "2000m")
            if framing == "length":
                writer.write(head.replace(b"Content-Length: 0", b"Content-Length: 200000") + b"x" * 100_000)
            else:
                chunk = b"%x\r\n%s\r\n" % (100_000, b"x" * 100_000)
                writer.write(head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + chunk)
            await wait_until(lambda: any(c.uploading for c in sidecar.upstreams.connections))
            server.send_extra.set()
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                response = await read_message(reader)
            assert response.code != 200 and response.body != body_of("first")
            writer.close()

    run(scenario())


@pytest.mark.parametrize("class_name", ["hold", "order"])
@pytest.mark.parametrize("kind", ["200 with length", "200 in chunks", "200 with neither length nor body"])
def test_a_copy_is_no_response_to_a_request_that_its_server_has_not_received(tmp_path, kind, class_name):
    """The whole request is written, and part of it is on its way: also later than the settling time."""

    async def scenario():
        server = Server(send_extra=asyncio.Event(), receive_buffer=SMALL_BUFFER_BYTES, stalls=True)
        respond = FIRST_RESPONSES.get(kind, lambda _: until_end(200, b""))
        server.extra = lambda _: respond(body_of("first"))
        server.ends_after_extra = kind not in FIRST_RESPONSES
        async with sidecar_with(server, tmp_path) as sidecar:
            check_own_response(await send_request(sidecar.port, http_request("lookup", "first")), "first")
            await asyncio.sleep(SETTLING_TIME_S)
            (connection,) = sidecar.upstreams.connections
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(http_request(class_name, "second", "2000m", LARGE_BODY))
            await wait_until(lambda: connection.exchange is not None)
            assert not connection.arrived
            server.send_extra.set()
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                response = await read_message(reader)
            assert response.code != 200
            writer.close()

    run(scenario())


UNPROMPTED_ERRORS = {
    "500": http_response(500, b"error"),
    "500 in chunks": chunked(500, b"error"),
    "408": http_response(408),
    "503": http_response(503),
    "503 not run": http_response(503, b"", NOT_RUN),
    "504 not run": http_response(504, b"", NOT_RUN),
    "503 not run, in chunks": b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("crossed", ["first", "second"])
@pytest.mark.parametrize("class_name", CLASSES)
@pytest.mark.parametrize("error", UNPROMPTED_ERRORS)
def test_the_response_to_a_request_that_an_error_has_crossed_reaches_no_other(
    tmp_path, error, class_name, crossed
):
    """The error is later than the settling time or comes on a new connection, before the real response."""

    async def scenario():
        server = Server(extra=lambda _: b"", unprompted={crossed: UNPROMPTED_ERRORS[error]})
        async with sidecar_with(server, tmp_path) as sidecar:
            for request_id in ("first", "second"):
                response = await send_request(sidecar.port, http_request(class_name, request_id))
                assert response.code != 200 or response.body == body_of(request_id)
                await asyncio.sleep(1.1 * SETTLING_TIME_S)
            check_own_response(await send_request(sidecar.port, http_request("lookup", "third")), "third")

    run(scenario())


async def send_together(sidecar, class_name, ids):
    """Send requests at the same time and check their responses."""
    requests = (send_request(sidecar.port, http_request(class_name, request_id)) for request_id in ids)
    for request_id, response in zip(ids, await asyncio.gather(*requests), strict=True):
        check_own_response(response, request_id)


@pytest.mark.parametrize("class_name", CLASSES)
def test_requests_wait_for_connections_to_settle_if_no_descriptor_is_left(tmp_path, class_name):
    async def scenario():
        server = Server(extra=lambda _: b"")
        async with sidecar_with(server, tmp_path) as sidecar:
            await send_together(sidecar, "lookup", ["1", "2"])
            descriptors = sidecar.engine.descriptors
            descriptors.total = Descriptors.RESERVE + Descriptors.MIN_LIMIT
            descriptors.others_in_use = descriptors.limit
            for wave in (["3", "4"], ["5", "6"]):
                await send_together(sidecar, class_name, wave)
            assert server.connections == 2

    run(scenario())


@pytest.mark.parametrize("class_name", CLASSES)
def test_requests_wait_for_connections_to_settle_if_their_server_refuses_another(tmp_path, class_name):
    """The server has as many connections as it accepts."""

    async def scenario():
        server = Server(extra=lambda _: b"", max_connections=2)
        async with sidecar_with(server, tmp_path) as sidecar:
            for wave in (["1", "2"], ["3", "4"], ["5", "6"]):
                await send_together(sidecar, class_name, wave)
            assert server.connections == 2 and len(server.requests) == 6

    run(scenario())


@pytest.mark.parametrize("class_name", CLASSES)
def test_a_copy_on_the_only_connection_of_a_full_server_is_no_response(tmp_path, class_name):
    """The copy closes the connection, and another one is refused: the request fails."""

    async def scenario():
        server = Server(late_s=0.005, max_connections=1)
        async with sidecar_with(server, tmp_path) as sidecar:
            check_own_response(await send_request(sidecar.port, http_request("lookup", "first")), "first")
            response = await send_request(sidecar.port, http_request(class_name, "second", "800m"))
            assert response.code == 503 and response.body != body_of("first")
        assert server.requests == ["first"]

    run(scenario())


def test_data_that_belongs_to_no_request_is_logged(tmp_path, capfd):
    async def scenario():
        server = Server(late_s=0.005)
        async with sidecar_with(server, tmp_path) as sidecar:
            await send_request(sidecar.port, http_request("lookup", "first"))
            await wait_until(lambda: not sidecar.upstreams.connections)

    run(scenario())
    (line,) = [line for line in capfd.readouterr().err.splitlines() if "belongs to no request" in line]
    assert "no request was open" in line and "after_ms=" in line
