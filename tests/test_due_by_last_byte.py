"""An answer is due by the last byte that its client has written, also while the sidecar does not read on."""

import asyncio
import socket
import time

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
    never_answer,
    read_message,
    run,
)

from ochreflow.http import upstream

pytestmark = pytest.mark.xdist_group("real-time")

TIMEOUT_S = 1.0
LATE_S = 0.5  # STANDING: up to half a second after its time an answer only earns nothing
SMALL_BUFFER_BYTES = 16 * 1024
READ_BEFORE_STALL_BYTES = 18_600
BODY_BYTES = 328_020
SLOW_BYTES_PER_S = 64_000  # OPERATION: a body at 64 kB a second
HEAD = b"POST /order/part HTTP/1.1\r\nX-Request-Id: 1f7138304452594f\r\nX-Deadline: 1000m\r\n"


class SlowServer:
    """Reads `stall_after` bytes of each connection, then at `bytes_per_s`; answers nothing."""

    def __init__(self, stall_after=READ_BEFORE_STALL_BYTES, bytes_per_s=0):
        self.stall_after, self.bytes_per_s = stall_after, bytes_per_s
        self.received = 0

    async def start(self):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.sock.bind((HOST, 0))
        self.sock.listen()
        self.sock.setblocking(False)
        self.task = asyncio.create_task(self._serve())
        self.address = f"{HOST}:{self.sock.getsockname()[1]}"
        return self

    async def _serve(self):
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(self.sock)
        while self.received < self.stall_after or self.bytes_per_s:
            self.received += len(await loop.sock_recv(connection, 2048))
            if self.received >= self.stall_after:
                await asyncio.sleep(2048 / self.bytes_per_s if self.bytes_per_s else 0)
        await asyncio.sleep(60)


@pytest.fixture
def small_send_buffers(monkeypatch):
    """Let the sockets to servers hold little, so that reading stops on any machine."""

    class SmallSocket(socket.socket):
        def __init__(self, *args, **more):
            super().__init__(*args, **more)
            self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)

    class SocketModule:
        socket = SmallSocket

        def __getattr__(self, name):
            return getattr(socket, name)

    monkeypatch.setattr(upstream, "socket", SocketModule())


def framed(body, *, chunked):
    if chunked:
        return HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


class LoopDelay:
    """Measures for how long the loop, which the client and the sidecar share, was held up at most."""

    INTERVAL_S = 0.01

    def __init__(self):
        self.max_s = 0.0

    async def watch(self):
        while True:
            began = time.monotonic()
            await asyncio.sleep(self.INTERVAL_S)
            self.max_s = max(self.max_s, time.monotonic() - began - self.INTERVAL_S)


async def exchange(port, message, bytes_per_s=0, limit_s=8.0, delay=None, hold_s=0.0):
    """Send a message; return the code and the time from the last byte that was written to the answer.

    The loop is held up for `hold_s` before the last part is written.
    """
    loop = asyncio.get_running_loop()
    watcher = asyncio.create_task((delay or LoopDelay()).watch())
    with socket.socket() as client:
        client.setblocking(False)
        await loop.sock_connect(client, (HOST, port))
        answer = asyncio.create_task(loop.sock_recv(client, 4096))
        step = bytes_per_s // 20 or len(message)
        written_at = 0.0
        for start in range(0, len(message), step):
            if start + step >= len(message):
                time.sleep(hold_s)
            sending = asyncio.create_task(loop.sock_sendall(client, message[start : start + step]))
            await asyncio.wait([sending, answer], return_when=asyncio.FIRST_COMPLETED)
            if answer.done():
                sending.cancel()
                break
            written_at = time.monotonic()
            if bytes_per_s:
                await asyncio.wait([answer], timeout=step / bytes_per_s)
        async with asyncio.timeout(limit_s):
            data = await answer
        watcher.cancel()
        return int(data.split()[1]), time.monotonic() - written_at


def play(tmp_path, server, message, bytes_per_s=0, delay=None, hold_s=0.0):
    async def scenario():
        await server.start()
        data = config(endpoint_update(1, entry("s1", server.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            return await exchange(sidecar.port, message, bytes_per_s, delay=delay, hold_s=hold_s)

    return run(scenario())


@pytest.mark.parametrize("size", [BODY_BYTES, 3_000_000])
@pytest.mark.parametrize("chunked", [False, True])
def test_a_request_whose_server_stops_reading_is_answered_in_time(
    tmp_path, small_send_buffers, size, chunked
):
    """The sidecar stopped reading the body, and took the last byte of it for not yet written (issue 49)."""
    code, seconds = play(tmp_path, SlowServer(), framed(bytes(size), chunked=chunked))
    assert code in {502, 503, 504}
    assert TIMEOUT_S - 0.2 < seconds < TIMEOUT_S + LATE_S


@pytest.mark.parametrize(("size", "bytes_per_s"), [(BODY_BYTES, 40_000), (3_000_000, 700_000)])
@pytest.mark.parametrize("chunked", [False, True])
def test_a_request_that_its_server_reads_slowly_is_answered_in_time(
    tmp_path, small_send_buffers, chunked, size, bytes_per_s
):
    """A server that reads all the while, but too slowly, postponed the answer by seconds (issue 49)."""
    server = SlowServer(bytes_per_s=bytes_per_s)
    code, seconds = play(tmp_path, server, framed(bytes(size), chunked=chunked))
    assert code in {502, 503, 504}
    assert TIMEOUT_S - 0.2 < seconds < TIMEOUT_S + LATE_S


@pytest.mark.parametrize("chunked", [False, True])
def test_a_client_that_sends_slowly_to_a_server_that_reads_has_the_whole_time(tmp_path, chunked):
    message = framed(bytes(200_000), chunked=chunked)
    code, seconds = play(tmp_path, SlowServer(bytes_per_s=1_000_000), message, SLOW_BYTES_PER_S)
    assert code in {502, 503, 504}
    assert TIMEOUT_S - 0.2 < seconds < TIMEOUT_S + LATE_S


@pytest.mark.parametrize("chunked", [False, True])
def test_a_client_that_sends_slowly_while_its_server_pauses_is_not_cut_off(
    tmp_path, small_send_buffers, chunked
):
    """The body is not read for a while, and its client goes on writing: the last byte is still to come.

    While the loop is held up, nothing shows when the last byte came: it may have been just before that.
    """
    loop_body = bytes(150_000)  # 2.3 s at this rate
    delay = LoopDelay()
    code, seconds = play(
        tmp_path, SlowServer(bytes_per_s=50_000), framed(loop_body, chunked=chunked), SLOW_BYTES_PER_S, delay
    )
    assert code in {502, 503, 504}
    assert TIMEOUT_S - 0.3 - delay.max_s < seconds < TIMEOUT_S + LATE_S


def test_a_loop_that_is_held_up_shortens_the_time_by_no_more_than_that(tmp_path, small_send_buffers):
    """In a run beside load an answer came 0.56 s after the last write: the loop had stood still before it."""
    delay, hold_s = LoopDelay(), 0.44
    message = framed(bytes(150_000), chunked=False)
    server = SlowServer(bytes_per_s=50_000)
    code, seconds = play(tmp_path, server, message, SLOW_BYTES_PER_S, delay, hold_s)
    assert code in {502, 503, 504} and delay.max_s >= hold_s - delay.INTERVAL_S
    assert TIMEOUT_S - 0.3 - delay.max_s < seconds < TIMEOUT_S + LATE_S


def test_requests_behind_a_full_queue_are_answered_by_their_last_byte(tmp_path):
    """Requests that wait in the socket got the whole time from the moment in which they were read."""

    async def scenario():
        fake = await FakePeer(never_answer).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            filler = "X-Filler: " + "f" * 4000
            sent_at = time.monotonic()
            writer.write(b"".join(http_request("lookup", f"id-{n}", "1000m", b"", filler) for n in range(40)))
            for _ in range(40):
                assert (await read_message(reader)).code in {502, 503, 504}
            assert time.monotonic() - sent_at < TIMEOUT_S + LATE_S
            writer.close()

    run(scenario())


def test_a_pause_of_reading_shortens_no_later_request(tmp_path):
    """A time at which reading was paused must not count for requests that are written long after it."""

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            for number in range(3):
                message = http_request("order", f"long-{number}", "1000m", bytes(2_000_000))
                writer.write(message)
                assert (await read_message(reader)).code == 200
                writer.write(http_request("lookup", f"short-{number}", "1000m"))
                assert (await read_message(reader)).code == 200
                await asyncio.sleep(1.2)
            writer.close()

    run(scenario())
