"""A fake server on loopback that treats attempts as planned."""

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
        """Create the server with this number in the run; `start` makes it listen."""
        self.number = number
        self.plan = plan
        self.context = context
        self.recorder = context.recorder
        self.placements = [Placement(-math.inf, plan.zone, plan.cell)]
        self.tasks: set[asyncio.Task[None]] = set()
        self.sockets: set[socket.socket] = set()
        self.listener: socket.socket | None = None
        self.accept_task: asyncio.Task[None] | None = None
        self.port = 0
        self.backlog_empty_at = 0.0  # connections accepted next arrived no earlier

    # Listening

    async def start(self) -> None:
        """Listen and accept connections; a restarted server keeps its port."""
        while self.listener is None:
            try:
                self.listener = self._listen()
            except OSError:  # another connection may temporarily use its port
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
        if self.plan.receive_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.plan.receive_buffer_bytes)
        if self.plan.max_segment_bytes:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.plan.max_segment_bytes)
        sock.bind((HOST, self.port))
        sock.listen(BACKLOG)
        self.port = sock.getsockname()[1]

    def resume_accepting(self) -> None:
        """Accept connections, including those that wait in the backlog."""
        if self.listener is not None and self.accept_task is None:
            self.listener.listen(BACKLOG)
            self.accept_task = asyncio.get_running_loop().create_task(self._accept(self.listener))

    def pause_accepting(self) -> None:
        """Stop accepting; the backlog shrinks to one connection, and the system ignores further ones."""
        if self.accept_task is not None:
            self.accept_task.cancel()
            self.accept_task = None
        if self.listener is not None:
            self.listener.listen(0)

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                sock, _ = await loop.sock_accept(listener)
                self.backlog_empty_at = self.recorder.now() - MAX_LOOP_LAG_S
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = loop.create_task(self._serve(sock, self.backlog_empty_at))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """Stop like a killed process: reset connections and refuse new ones."""
        self.pause_accepting()
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for task in list(self.tasks):
            task.cancel()
        for sock in list(self.sockets):
            reset(sock)

    def move(self, zone: int, cell: int) -> None:
        """Move the server to another zone and cell from now on."""
        self.placements.append(Placement(self.recorder.now(), zone, cell))

    def placements_between(self, begin: float, end: float) -> list[Placement]:
        """Return the placements of the server between two times."""
        ends = [*(placement.since for placement in self.placements[1:]), math.inf]
        return [
            placement
            for placement, placement_end in zip(self.placements, ends, strict=True)
            if placement.since <= end and placement_end >= begin
        ]

    # Connections

    async def _serve(self, sock: socket.socket, opened_at: float) -> None:
        self.sockets.add(sock)
        empty_at = opened_at
        try:
            while await Exchange(self.number, self.context, sock, empty_at).run():
                empty_at = self.recorder.now()
        except OSError:
            pass
        finally:
            self.sockets.discard(sock)
            sock.close()
