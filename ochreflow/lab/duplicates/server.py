"""A server on loopback whose attempts are treated as the plan says."""

from __future__ import annotations

import asyncio
import math
import socket

from ..platform_config import HOST
from ..socket_reset import reset
from .attempt_reader import MAX_LOOP_LAG_S
from .exchange import Exchange
from .judge import Placement
from .plan import ServerPlan
from .run_context import RunContext

BACKLOG = 128
LISTEN_RETRY_DELAY_S = 0.05


class Server:
    """Owns a listening socket, its connections and their tasks."""

    def __init__(self, number: int, plan: ServerPlan, context: RunContext) -> None:
        """Be the server of this number in a run; `start` makes it listen."""
        self.number = number
        self.plan = plan
        self.context = context
        self.recorder = context.recorder
        self.placements = [Placement(-math.inf, plan.zone, plan.cell)]
        self.tasks: set[asyncio.Task[None]] = set()
        self.socks: set[socket.socket] = set()
        self.listening: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.port = 0
        self.backlog_empty_at = 0.0  # what is accepted next came no sooner

    # Listening

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
        """Stop as a killed process does: connections are reset, new ones refused."""
        self.pause_accepting()
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        for task in list(self.tasks):
            task.cancel()
        for sock in list(self.socks):
            reset(sock)

    def move(self, zone: int, cell: int) -> None:
        """Belong to another group from now on."""
        self.placements.append(Placement(self.recorder.now(), zone, cell))

    def placements_between(self, begin: float, end: float) -> list[Placement]:
        """The placements that it had between two times."""
        ends = [*(placement.since for placement in self.placements[1:]), math.inf]
        return [
            placement
            for placement, until in zip(self.placements, ends, strict=True)
            if placement.since <= end and until >= begin
        ]

    # Connections

    async def _serve(self, sock: socket.socket, opened_at: float) -> None:
        self.socks.add(sock)
        empty_at = opened_at
        try:
            while await Exchange(self.number, self.context, sock, empty_at).run():
                empty_at = self.recorder.now()
        except OSError:
            pass
        finally:
            self.socks.discard(sock)
            sock.close()
