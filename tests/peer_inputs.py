"""What one peer can send: inputs that take long to read, or that a process would have to hold.

An input is a beginning and a piece that is sent over and over, at full speed. `Flood` sends it on many
connections at once from a thread of its own, so that its work does not count as work of the sidecar's loop.
"""

import asyncio
import contextlib
import gc
import selectors
import socket
import threading
import time
from dataclasses import dataclass
from pathlib import Path

PAGE_BYTES = 4096
SEND_AT_LEAST_BYTES = 64 * 1024


@dataclass(frozen=True)
class PeerInput:
    """The bytes that a peer sends."""

    name: str
    beginning: bytes
    piece: bytes  # repeated
    reads: bool = True  # whether the peer reads what it is sent

    def __str__(self):
        return self.name

    def burst(self):
        """Return many pieces at once."""
        return self.piece * max(SEND_AT_LEAST_BYTES // len(self.piece), 1)


POST_HEAD = b"POST /order/part HTTP/1.1\r\nHost: origin.svc\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
WITHOUT_ID = POST_HEAD + CHUNKED + b"\r\n"
WITH_ID = POST_HEAD + b"X-Request-Id: flood-%d\r\n" + CHUNKED + b"\r\n"
ONE_BYTE_CHUNK = b"1\r\nx\r\n"
WHOLE_REQUEST = b"GET /lookup/ HTTP/1.1\r\nX-Request-Id: %d\r\n\r\n"
LONG_ID = b"GET /lookup/ HTTP/1.1\r\nX-Request-Id: %d" + b"i" * 30_000 + b"\r\n\r\n"

TINY_REQUEST = b"GET /lookup/ HTTP/1.1\r\n\r\n"
LONG_BODY = b"Content-Length: 33554432\r\n\r\n"

CLIENT_INPUTS = [
    PeerInput("chunks-of-1-without-id", WITHOUT_ID, ONE_BYTE_CHUNK),
    PeerInput("chunks-of-1-with-id", WITH_ID, ONE_BYTE_CHUNK),
    PeerInput("chunks-of-16-with-id", WITH_ID, b"10\r\n" + b"x" * 16 + b"\r\n"),
    PeerInput("chunks-of-4096-with-id", WITH_ID, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    PeerInput("chunk-extension", WITHOUT_ID + b"1;", b"extension"),
    PeerInput("trailer-of-short-lines", WITHOUT_ID + b"0\r\n", b"a:\r\n"),
    PeerInput("trailer-of-one-line", WITHOUT_ID + b"0\r\na:", b"x" * 1024),
    PeerInput("head-of-short-lines", POST_HEAD, b"a:\r\n"),
    PeerInput("head-of-one-line", POST_HEAD + b"a:", b"x" * 1024),
    PeerInput("target-without-end", b"GET /lookup/", b"x" * 1024),
    PeerInput("empty-lines", b"", b"\r\n" * 512),
    PeerInput("requests-without-id", b"", TINY_REQUEST),
    PeerInput("requests-without-id-unread", b"", TINY_REQUEST, reads=False),
    PeerInput(
        "requests-behind-a-body",
        b"",
        WITHOUT_ID + (b"10000\r\n" + b"x" * 65536 + b"\r\n") * 8 + b"0\r\n\r\n" + TINY_REQUEST * 8000,
    ),
    PeerInput("readiness-checks", b"", b"GET /-/ready HTTP/1.1\r\n\r\n"),
    PeerInput("whole-requests", b"", WHOLE_REQUEST),
    PeerInput("whole-requests-unread", b"", WHOLE_REQUEST, reads=False),
    PeerInput("requests-with-long-ids", b"", LONG_ID),
    PeerInput(
        "plain-body", POST_HEAD + b"X-Request-Id: flood-%d\r\nContent-Length: 33554432\r\n\r\n", b"x" * 65536
    ),
    PeerInput("plain-body-without-id", POST_HEAD + LONG_BODY, b"x" * 65536),
    PeerInput("noise", b"\x00\x01\x02\r\n\r\n", b"noise" * 512),
]

OK_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ERROR_CHUNKED = b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n"

SERVER_INPUTS = [
    PeerInput("answer-in-chunks-of-1", OK_CHUNKED, ONE_BYTE_CHUNK),
    PeerInput("error-in-chunks-of-1", ERROR_CHUNKED, ONE_BYTE_CHUNK),
    PeerInput("answer-in-chunks-of-16", OK_CHUNKED, b"10\r\n" + b"x" * 16 + b"\r\n"),
    PeerInput("answer-chunk-extension", OK_CHUNKED + b"1;", b"extension"),
    PeerInput("answer-trailer-of-short-lines", OK_CHUNKED + b"0\r\n", b"a:\r\n"),
    PeerInput("answer-trailer-of-one-line", OK_CHUNKED + b"0\r\na:", b"x" * 1024),
    PeerInput("answer-head-of-short-lines", b"HTTP/1.1 200 OK\r\n", b"a:\r\n"),
    PeerInput("answer-head-of-one-line", b"HTTP/1.1 200 OK\r\na:", b"x" * 1024),
    PeerInput("interim-answers", b"", b"HTTP/1.1 100 C\r\n\r\n"),
    PeerInput("answer-of-3-GB", b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", b"x" * 65536),
    PeerInput("plain-answer", b"HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n", b"x" * 65536),
    PeerInput("answer-without-length", b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
    PeerInput("answers-behind-the-answer", b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
]


class Flood:
    """Connections that send one input at full speed, from a thread."""

    def __init__(self, peer_input):
        self.peer_input = peer_input
        self.selector = selectors.DefaultSelector()
        self.pending = {}  # bytes still to be sent, by socket
        self.numbers = iter(range(10**9))
        self.sent_bytes = 0
        self.ended = 0  # connections that the other side has closed
        self.stopping = False
        self.thread = threading.Thread(target=self._run, daemon=True)

    def connect(self, address, count):
        for _ in range(count):
            self.add(socket.create_connection(address))

    def add(self, sock):
        """Send on a connected socket, which this object owns from now on."""
        sock.setblocking(False)
        self.pending[sock] = memoryview(self._numbered(self.peer_input.beginning))
        events = selectors.EVENT_READ if self.peer_input.reads else 0
        self.selector.register(sock, events | selectors.EVENT_WRITE)

    def _numbered(self, data):
        return data % next(self.numbers) if b"%d" in data else data

    def _next_burst(self):
        piece = self.peer_input.piece
        if b"%d" not in piece:
            return self.peer_input.burst()
        count = max(SEND_AT_LEAST_BYTES // len(piece), 1)
        return b"".join(piece % next(self.numbers) for _ in range(count))

    def _run(self):
        while not self.stopping:
            for key, events in self.selector.select(0.05):
                self._serve(key.fileobj, events)

    def _serve(self, sock, events):
        try:
            if events & selectors.EVENT_READ and not sock.recv(1 << 20):
                raise ConnectionResetError
            if events & selectors.EVENT_WRITE:
                if not self.pending[sock]:
                    self.pending[sock] = memoryview(self._next_burst())
                sent = sock.send(self.pending[sock])
                self.sent_bytes += sent
                self.pending[sock] = self.pending[sock][sent:]
        except BlockingIOError:
            return
        except OSError:
            self.ended += 1
            self.selector.unregister(sock)
            sock.close()

    def start(self):
        self.thread.start()

    def stop(self):
        self.stopping = True
        self.thread.join()
        for sock in self.pending:
            sock.close()
        self.selector.close()


def resident_bytes():
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


class TurnMeter:
    """Measures the processor time of each iteration of the running loop, and the peak of resident memory."""

    def __init__(self):
        self.longest_s = 0.0
        self.turns = 0
        self.started_with_bytes = self.peak_bytes = resident_bytes()

    @contextlib.asynccontextmanager
    async def running(self):
        gc.collect()
        gc.freeze()  # as the program does; a collection of all objects of the test run takes up to 160 ms
        task = asyncio.create_task(self._measure())
        try:
            yield self
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            gc.unfreeze()

    async def _measure(self):
        last = time.thread_time()
        while True:
            await asyncio.sleep(0)
            now = time.thread_time()
            self.longest_s = max(self.longest_s, now - last)
            self.turns += 1
            if self.turns % 20 == 0:
                self.peak_bytes = max(self.peak_bytes, resident_bytes())
            last = time.thread_time()

    @property
    def grown_bytes(self):
        return self.peak_bytes - self.started_with_bytes
