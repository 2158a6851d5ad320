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
from .attempts import LOOP_LAG, READ_MOST, SIP, AttemptReader
from .events import AttemptEnded, Copy, NotRun, ServerAction
from .judge import Place
from .plan import ClientRequest, Ending, Plan, ServerPlan, Treatment
from .record import Record

BACKLOG = 128
LISTEN_AGAIN = 0.05  # seconds
ANSWER_BODY = b"served"
DRAIN_PAUSE = 0.002  # seconds in which the system moves on what a peer's side still holds
DRAIN_EMPTY = 3  # looks in a row that find nothing: all has come
GARBAGE = b"HTP/1.1 2O0 \x00K\r\n\r\n"
SECOND_WITHIN = 0.03  # seconds after which a second answer is left out: the protocol gives sockets 50 ms
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
    Ending.GARBAGE: GARBAGE,
    Ending.TRUNCATED_HEAD: b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Le",
    Ending.HALF_CLOSE: b"",
}

Freezer = Callable[[int], AbstractAsyncContextManager[None]]
"""Freezes a sidecar, by its number, for as long as the context lasts."""
Mover = Callable[[int, int], None]
"""Moves a server, by its number, to the group of the server so many numbers further."""


class Attempts:
    """Numbers the attempts of each request over all servers, in the order in which their heads come."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = defaultdict(int)

    def number(self, ident: str) -> int:
        self.counts[ident] += 1
        return self.counts[ident] - 1


@dataclass(slots=True)
class Shared:
    """What all servers of a run have in common."""

    plan: Plan
    record: Record
    freeze: Freezer
    move: Mover
    requests: dict[str, ClientRequest]
    attempts: Attempts = field(default_factory=Attempts)


class Server:
    """One listening socket and its connections."""

    def __init__(self, number: int, given: ServerPlan, shared: Shared) -> None:
        self.number = number
        self.given = given
        self.shared = shared
        self.record = shared.record
        self.places = [Place(-1e9, given.zone, given.cell)]
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
                await asyncio.sleep(LISTEN_AGAIN)
        self.accept()

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
        if self.given.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.given.receive_buffer)
        if self.given.segment:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.given.segment)
        sock.bind((HOST, self.port))
        sock.listen(BACKLOG)
        self.port = sock.getsockname()[1]

    def accept(self) -> None:
        """Accept from now on, also what has waited."""
        if self.listening is not None and self.accepting is None:
            self.listening.listen(BACKLOG)
            self.accepting = asyncio.get_running_loop().create_task(self._accept(self.listening))

    def accept_nothing(self) -> None:
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
                self.backlog_empty_at = self.record.now() - LOOP_LAG
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = loop.create_task(self._serve(sock, self.backlog_empty_at))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """End as a process that is killed does: connections are reset, new ones refused."""
        self.accept_nothing()
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        for task in list(self.tasks):
            task.cancel()
        for sock in list(self.socks):
            self._reset(sock)

    def move(self, zone: int, cell: int) -> None:
        """Belong to another group from now on."""
        self.places.append(Place(self.record.now(), zone, cell))

    def stood(self, begin: float, end: float) -> list[Place]:
        """The places it had between two times."""
        ends = [place.since for place in self.places[1:]] + [1e9]
        return [
            place
            for place, until in zip(self.places, ends, strict=True)
            if place.since <= end and until >= begin
        ]

    # Its connections

    async def _serve(self, sock: socket.socket, opened: float) -> None:
        self.socks.add(sock)
        empty_at = opened
        try:
            while await Exchange(self, sock, empty_at).run():
                empty_at = self.record.now()
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
        self.shared = server.shared
        self.record = server.record
        self.sock = sock
        self.reader = AttemptReader(sock, server.record.now, empty_at)
        self.ident = ""
        self.attempt = 0
        self.copied = False
        self.ended = False

    async def run(self) -> bool:
        """Serve it; False if the connection is of no further use."""
        while not self.reader.has_head:
            if not await self.reader.read(SIP):
                return False
        self.ident = self.reader.ident
        request = self.shared.requests.get(self.ident)
        if request is None:
            return await self._serve_plainly()
        self.attempt = self.shared.attempts.number(self.ident)
        self._tell("head read")
        self._look()
        try:
            return await self._treat(request, self.shared.plan.treatment(request, self.attempt))
        finally:
            self._end()

    async def _serve_plainly(self) -> bool:
        """Serve what is not looked at: a burst's requests."""
        while not self.reader.whole:
            if not await self.reader.read():
                return False
        await asyncio.get_running_loop().sock_sendall(self.sock, ANSWERS[Ending.SERVE])
        return True

    async def _treat(self, request: ClientRequest, treatment: Treatment) -> bool:
        wanted = int(request.size * treatment.read_share) if treatment.early else -1
        if not await self._read_until(wanted):
            return False
        if treatment.group_offset is not None:
            self._tell("moves to another group")
            self.shared.move(self.server.number, treatment.group_offset)
        if not await self._work(treatment.delay):
            return False
        if treatment.freeze_for is None:
            go_on = await self._end_attempt(treatment)
        else:
            async with self.shared.freeze(request.sidecar):
                go_on = await self._end_attempt(treatment)
                await asyncio.sleep(treatment.freeze_for)
        if not go_on:
            return False
        return await self._after(treatment)

    async def _read_until(self, size: int) -> bool:
        """Read until so much of the body has come, or, where that is negative, until it is whole."""
        while not self.reader.whole and (size < 0 or self.reader.size < size):
            if not await self._read(READ_MOST if size < 0 else SIP):
                return False
        return True

    async def _work(self, seconds: float) -> bool:
        """Let time pass; False if the attempt was given up meanwhile, which shows only if it is whole."""
        if not self.reader.whole:
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
            await self._drain()
        ending = treatment.ending
        when = "whole" if self.reader.whole else f"{self.reader.size} bytes of the body read"
        frozen = ", its sidecar frozen" if treatment.freeze_for is not None else ""
        self._tell(f"{ending.value} ({when}{frozen})")
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
            self.record.add(self.ident, NotRun(self.record.now(), self.attempt))
        self._end()
        long = self.shared.requests[self.ident].answer_size if ending is Ending.SERVE else 0
        answer = _answer(200, body=b"x" * long) if long else ANSWERS[ending]
        await asyncio.get_running_loop().sock_sendall(self.sock, answer)

    async def _after(self, treatment: Treatment) -> bool:
        """Read all that still comes; True if another request may follow."""
        ending = treatment.ending
        if treatment.second_answer_after is not None and ending in ANSWERS:
            await self._answer_again(treatment.second_answer_after, treatment.second_ending or ending)
        if not self.reader.whole:
            await asyncio.sleep(treatment.resume_reading_after)
            if not await self._read_until(-1):
                return False
        if ending in ANSWERS:
            return True
        while await self._read():
            pass
        return False

    async def _answer_again(self, after: float, ending: Ending) -> None:
        answered = self.record.now()
        await asyncio.sleep(after)
        if self.record.now() - answered > SECOND_WITHIN:
            return
        self._tell(f"a second answer: {ending.value}")
        await asyncio.get_running_loop().sock_sendall(self.sock, ANSWERS[ending])

    # Reading

    async def _drain(self) -> None:
        """Read all that the system holds, here and on the peer's side."""
        empty = 0
        while empty < DRAIN_EMPTY and not self.reader.whole:
            if self.reader.read_held():
                empty = 0
            else:
                empty += 1
                await asyncio.sleep(DRAIN_PAUSE)
            self._look()

    async def _read(self, most: int = READ_MOST) -> bool:
        more = await self.reader.read(most)
        self._look()
        if not more:
            self._tell("its connection ended")
        return more

    def _look(self) -> None:
        """Record the copy once it is whole."""
        if self.reader.whole and not self.copied:
            self.copied = True
            reader = self.reader
            copy = Copy(
                self.record.now(),
                self.attempt,
                self.server.number,
                reader.began,
                reader.empty_at,
                reader.size,
            )
            self.record.add(self.ident, copy)

    def _tell(self, text: str) -> None:
        if self.ident:
            self.record.add(
                self.ident, ServerAction(self.record.now(), self.attempt, self.server.number, text)
            )

    def _end(self) -> None:
        if not self.ended:
            self.ended = True
            self.record.add(self.ident, AttemptEnded(self.record.now(), self.attempt))
