"""A server that treats each attempt as the plan says, and records each whole copy that reaches it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import defaultdict
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field

from ..platform_config import HOST
from .attempts import MAX_LOOP_LAG_S, MAX_READ_BYTES, SMALL_READ_BYTES, AttemptReader
from .events import AttemptEnded, AttemptRejected, CopyReceived, ServerAction
from .judge import Placement
from .plan import ClientRequest, Plan, ServerPlan
from .recorder import EventRecorder
from .treatment import Ending, Treatment

BACKLOG = 128
LISTEN_RETRY_DELAY_S = 0.05  # seconds
ANSWER_BODY = b"served"
DRAIN_DELAY_S = 0.002  # seconds in which the system moves on what a peer's side still holds
DRAIN_EMPTY_READS = 3  # looks in a row that find nothing: all has come
GARBAGE_BYTES = b"HTP/1.1 2O0 \x00K\r\n\r\n"
MAX_SECOND_ANSWER_DELAY_S = (
    0.03  # seconds after which a second answer is left out: the protocol gives sockets 50 ms
)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with no time: a close resets


def _answer(code: int, *lines: str, body: bytes = ANSWER_BODY) -> bytes:
    head = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}", *lines, "", ""]
    return "\r\n".join(head).encode() + body


ANSWERS = {
    Ending.SERVE: _answer(200),
    Ending.FAIL: _answer(500),
    Ending.REJECT: _answer(503, "X-Not-Run: 1"),
    Ending.UNAVAILABLE: _answer(503),
    Ending.REJECT_THEN_DENY: _answer(503, "X-Not-Run: 1", "X-Not-Run: 0"),
    Ending.DENY_THEN_REJECT: _answer(503, "X-Not-Run: 0", "X-Not-Run: 1"),
    Ending.REJECT_IN_INTERIM: b"HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\n\r\n" + _answer(503),
    Ending.REJECT_IN_TRAILER: (
        b"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\nTrailer: X-Not-Run\r\n\r\n"
        b"6\r\nserved\r\n0\r\nX-Not-Run: 1\r\n\r\n"
    ),
    Ending.REJECT_WITH_500: _answer(500, "X-Not-Run: 1"),
}
ENDINGS = {
    Ending.GARBAGE: GARBAGE_BYTES,
    Ending.TRUNCATED_HEAD: b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Le",
    Ending.HALF_CLOSE: b"",
}

Freezer = Callable[[int], AbstractAsyncContextManager[None]]
"""Freezes a sidecar, by its number, for as long as the context lasts."""
Mover = Callable[[int, int], None]
"""Moves a server, by its number, to the group of the server so many numbers further."""


class AttemptCounter:
    """Numbers the attempts of each request over all servers, in the order in which their heads come."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = defaultdict(int)

    def number(self, request_id: str) -> int:
        self.counts[request_id] += 1
        return self.counts[request_id] - 1


@dataclass(slots=True)
class RunContext:
    """What all servers of a run have in common."""

    plan: Plan
    recorder: EventRecorder
    freeze: Freezer
    move: Mover
    requests: dict[str, ClientRequest]
    attempts: AttemptCounter = field(default_factory=AttemptCounter)


class Server:
    """One listening socket and its connections."""

    def __init__(self, number: int, plan: ServerPlan, context: RunContext) -> None:
        self.number = number
        self.plan = plan
        self.context = context
        self.recorder = context.recorder
        self.placements = [Placement(-1e9, plan.zone, plan.cell)]
        self.tasks: set[asyncio.Task[None]] = set()
        self.socks: set[socket.socket] = set()
        self.listening: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.port = 0
        self.backlog_empty_at = 0.0  # what is accepted next came no sooner

    # Its life

    async def start(self) -> None:
        """Listen, at the port that was used before if there was one."""
        while self.listening is None:
            try:
                self.listening = self._listen()
            except OSError:  # a connection of someone else may have its port for a moment
                await asyncio.sleep(LISTEN_RETRY_DELAY_S)
        self.resume_accepting()

    def _listen(self) -> socket.socket:
        sock = socket.socket()
        try:
            self._bind(sock)
        except OSError:
            sock.close()
            raise
        return sock

    def _bind(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.plan.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.plan.receive_buffer)
        if self.plan.segment:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.plan.segment)
        sock.bind((HOST, self.port))
        sock.listen(BACKLOG)
        self.port = sock.getsockname()[1]

    def resume_accepting(self) -> None:
        """Accept from now on, also what has waited."""
        if self.listening is not None and self.accepting is None:
            self.listening.listen(BACKLOG)
            self.accepting = asyncio.get_running_loop().create_task(self._accept(self.listening))

    def pause_accepting(self) -> None:
        """Leave connections in a backlog of one; the system answers no further ones."""
        if self.accepting is not None:
            self.accepting.cancel()
            self.accepting = None
        if self.listening is not None:
            self.listening.listen(0)

    async def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = listening.accept()
            except BlockingIOError:
                sock, _ = await loop.sock_accept(listening)
                self.backlog_empty_at = self.recorder.now() - MAX_LOOP_LAG_S
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = loop.create_task(self._serve(sock, self.backlog_empty_at))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """End as a process that is killed does: connections are reset, new ones refused."""
        self.pause_accepting()
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        for task in list(self.tasks):
            task.cancel()
        for sock in list(self.socks):
            self._reset(sock)

    def move(self, zone: int, cell: int) -> None:
        """Belong to another group from now on."""
        self.placements.append(Placement(self.recorder.now(), zone, cell))

    def placements_between(self, begin: float, end: float) -> list[Placement]:
        """The places it had between two times."""
        ends = [place.since for place in self.placements[1:]] + [1e9]
        return [
            place
            for place, until in zip(self.placements, ends, strict=True)
            if place.since <= end and until >= begin
        ]

    # Its connections

    async def _serve(self, sock: socket.socket, opened: float) -> None:
        self.socks.add(sock)
        empty_at = opened
        try:
            while await Exchange(self, sock, empty_at).run():
                empty_at = self.recorder.now()
        except OSError:
            pass
        finally:
            self.socks.discard(sock)
            sock.close()

    def _reset(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.close()


class Exchange:
    """One attempt on a connection."""

    def __init__(self, server: Server, sock: socket.socket, empty_at: float) -> None:
        self.server = server
        self.context = server.context
        self.recorder = server.recorder
        self.sock = sock
        self.reader = AttemptReader(sock, server.recorder.now, empty_at)
        self.request_id = ""
        self.attempt = 0
        self.copy_recorded = False
        self.ended = False

    async def run(self) -> bool:
        """Serve it; False if the connection is of no further use."""
        while not self.reader.head_complete:
            if not await self.reader.read(SMALL_READ_BYTES):
                return False
        self.request_id = self.reader.request_id
        request = self.context.requests.get(self.request_id)
        if request is None:
            return await self._serve_plainly()
        self.attempt = self.context.attempts.number(self.request_id)
        self._record_action("head read")
        self._record_copy()
        try:
            return await self._treat(request, self.context.plan.treatment(request, self.attempt))
        finally:
            self._end()

    async def _serve_plainly(self) -> bool:
        """Serve what is not looked at: a burst's requests."""
        while not self.reader.complete:
            if not await self.reader.read():
                return False
        await asyncio.get_running_loop().sock_sendall(self.sock, ANSWERS[Ending.SERVE])
        return True

    async def _treat(self, request: ClientRequest, treatment: Treatment) -> bool:
        stop_at_bytes = int(request.size * treatment.read_share) if treatment.early else -1
        if not await self._read_until(stop_at_bytes):
            return False
        if treatment.group_offset is not None:
            self._record_action("moves to another group")
            self.context.move(self.server.number, treatment.group_offset)
        if not await self._work(treatment.delay):
            return False
        if treatment.freeze_for is None:
            reusable = await self._end_attempt(treatment)
        else:
            async with self.context.freeze(request.sidecar):
                reusable = await self._end_attempt(treatment)
                await asyncio.sleep(treatment.freeze_for)
        if not reusable:
            return False
        return await self._read_rest(treatment)

    async def _read_until(self, size: int) -> bool:
        """Read until so much of the body has come, or, where that is negative, until it is whole."""
        while not self.reader.complete and (size < 0 or self.reader.body_bytes < size):
            if not await self._read(MAX_READ_BYTES if size < 0 else SMALL_READ_BYTES):
                return False
        return True

    async def _work(self, seconds: float) -> bool:
        """Let time pass; False if the attempt was given up meanwhile, which shows only if it is whole."""
        if not self.reader.complete:
            await asyncio.sleep(seconds)
            return True
        try:
            async with asyncio.timeout(seconds):
                return await self._read()
        except TimeoutError:
            return True

    async def _end_attempt(self, treatment: Treatment) -> bool:
        """Do what the plan says; False if the connection is gone by it."""
        if treatment.drain_first:
            await self._read_buffered()
        ending = treatment.ending
        when = "whole" if self.reader.complete else f"{self.reader.body_bytes} bytes of the body read"
        frozen = ", its sidecar frozen" if treatment.freeze_for is not None else ""
        self._record_action(f"{ending.value} ({when}{frozen})")
        if ending is Ending.RESET:
            self.server._reset(self.sock)
            return False
        if ending in ANSWERS:
            await self._answer(ending)
        elif ending in ENDINGS:
            if ENDINGS[ending]:
                await asyncio.get_running_loop().sock_sendall(self.sock, ENDINGS[ending])
            if ending is not Ending.GARBAGE:
                self.sock.shutdown(socket.SHUT_WR)
        return True

    async def _answer(self, ending: Ending) -> None:
        if ending is Ending.REJECT:
            self.recorder.add(self.request_id, AttemptRejected(self.recorder.now(), self.attempt))
        self._end()
        long = self.context.requests[self.request_id].answer_size if ending is Ending.SERVE else 0
        answer = _answer(200, body=b"x" * long) if long else ANSWERS[ending]
        await asyncio.get_running_loop().sock_sendall(self.sock, answer)

    async def _read_rest(self, treatment: Treatment) -> bool:
        """Read all that still comes; True if another request may follow."""
        ending = treatment.ending
        if treatment.second_answer_after is not None and ending in ANSWERS:
            await self._send_second_answer(treatment.second_answer_after, treatment.second_ending or ending)
        if not self.reader.complete:
            await asyncio.sleep(treatment.resume_reading_after)
            if not await self._read_until(-1):
                return False
        if ending in ANSWERS:
            return True
        while await self._read():
            pass
        return False

    async def _send_second_answer(self, after: float, ending: Ending) -> None:
        answered = self.recorder.now()
        await asyncio.sleep(after)
        if self.recorder.now() - answered > MAX_SECOND_ANSWER_DELAY_S:
            return
        self._record_action(f"a second answer: {ending.value}")
        await asyncio.get_running_loop().sock_sendall(self.sock, ANSWERS[ending])

    # Reading

    async def _read_buffered(self) -> None:
        """Read all that the system holds, here and on the peer's side."""
        empty = 0
        while empty < DRAIN_EMPTY_READS and not self.reader.complete:
            if self.reader.read_buffered():
                empty = 0
            else:
                empty += 1
                await asyncio.sleep(DRAIN_DELAY_S)
            self._record_copy()

    async def _read(self, max_bytes: int = MAX_READ_BYTES) -> bool:
        more = await self.reader.read(max_bytes)
        self._record_copy()
        if not more:
            self._record_action("its connection ended")
        return more

    def _record_copy(self) -> None:
        """Record the copy once it is whole."""
        if self.reader.complete and not self.copy_recorded:
            self.copy_recorded = True
            reader = self.reader
            copy = CopyReceived(
                self.recorder.now(),
                self.attempt,
                self.server.number,
                reader.began_at,
                reader.last_empty_at,
                reader.body_bytes,
            )
            self.recorder.add(self.request_id, copy)

    def _record_action(self, text: str) -> None:
        if self.request_id:
            self.recorder.add(
                self.request_id, ServerAction(self.recorder.now(), self.attempt, self.server.number, text)
            )

    def _end(self) -> None:
        if not self.ended:
            self.ended = True
            self.recorder.add(self.request_id, AttemptEnded(self.recorder.now(), self.attempt))
