"""The pool of connections to servers, and the exchanges that wait for a connection.

Whether an exchange may still be sent is checked again just before its first byte is written, in one place
(`Upstreams._try_send`): a connection may be established long after the decision to send.
"""

from __future__ import annotations

import asyncio
import math
import socket
from enum import Enum, auto
from time import monotonic

from ..core.limits import Descriptors, Memory
from ..policy.interface import State, Status
from .exchange import Exchange
from .read_scheduler import ReadScheduler
from .running_clock import RunningClock
from .upstream_connection import CONNECTION_BYTES, RESPONSE_STALL_TIMEOUT_S, Connection, Target

# Time after a refused connection, and after a rejection of the first request on one, in which no spare ones
# are opened to that server. A server may reject for want of connections or of anything else.
REFUSAL_BACKOFF_S = 10.0
REJECTION_BACKOFF_S = 0.5
IDLE_TIMEOUT_SHARE = 0.7  # share of the time after which a server may close an idle connection


class SendResult(Enum):
    """The result of sending an exchange on a connection."""

    STARTED = auto()  # the first byte of the exchange has been written
    REJECTED = auto()  # the exchange must not be sent any more; the connection stays usable
    DEAD = auto()  # the connection is dead, and nothing of the exchange was sent


class Upstreams:
    """Owns all connections to servers."""

    def __init__(  # noqa: PLR0913  # the pool is given each of its parts
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        memory: Memory,
        connect_timeout: float,
        idle_timeout: float,
        read_scheduler: ReadScheduler | None = None,
        *,
        settle: bool = True,
        response_stall_s: float = RESPONSE_STALL_TIMEOUT_S,
    ) -> None:
        """Start without servers; times are in seconds. Without a `read_scheduler`, the pool has its own.

        A buffered response may stall for `response_stall_s` before it is given up. Without `settle`, idle
        connections are used again at once: see `IdleConnections`.
        """
        self.settle = settle
        self.response_stall_s = response_stall_s
        self.loop = loop
        self.read_scheduler = read_scheduler or ReadScheduler(loop)
        self.descriptors = descriptors
        self.memory = memory
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout * IDLE_TIMEOUT_SHARE
        self.running_clock = RunningClock(loop)
        self.targets: dict[int, Target] = {}
        self.connections: set[Connection] = set()

    # The endpoint list

    def update(self, server: int, address: tuple[str, int], since_ms: int, state: State) -> None:
        """Apply a server's entry of the endpoint list; a restart or move closes its idle connections."""
        target = self.targets.get(server)
        if target is None:
            target = self.targets[server] = Target(address, since_ms, self.running_clock, settle=self.settle)
        elif target.since_ms != since_ms or target.address != address:
            self.close_idle(server)
            target.since_ms, target.address = since_ms, address
            target.generation += 1
        target.accepts_requests = state is State.READY
        if not target.accepts_requests:
            self.close_idle(server)
            # Exchanges that still wait for a connection must not be sent to a server that is not ready.
            for exchange in list(target.waiting):
                exchange.give_up(Status.CONNECT_FAILED)

    def forget(self, server: int) -> None:
        """Forget a server that was removed; exchanges in progress keep their connections."""
        target = self.targets.pop(server, None)
        if target is not None:
            target.accepts_requests = False

    # Exchanges

    def start(self, server: int, exchange: Exchange, timeout: float | None) -> None:
        """Send an exchange; its result is reported later, never from within this call.

        Without a `timeout`, in seconds, the exchange waits until `set_timeout` or `give_up` is called, since
        its body is incomplete.
        """
        target = self.targets.get(server)
        if target is None or not target.accepts_requests:
            self.loop.call_soon(exchange.end, Status.CONNECT_FAILED)
            return
        exchange.loop = self.loop
        exchange.generation = target.generation
        if timeout is not None:
            exchange.set_timeout(timeout)
        self._find_connection(target, exchange)

    def _find_connection(self, target: Target, exchange: Exchange) -> None:
        """Send an exchange on a settled connection, or let it wait for the first one that can carry it."""
        while (connection := target.idle.take_settled()) is not None:
            result = self._try_send(connection, exchange)
            if result is SendResult.REJECTED:
                target.idle.put_back(connection)
                self.loop.call_soon(exchange.end, Status.NOT_SENT)
            if result is not SendResult.DEAD:
                return
            connection.close()  # dead before anything was written: not counted as an attempt
        if not target.idle:
            self._open(target, exchange)
            return
        others_wait = not all(target.waiting.values())
        target.waiting.setdefault(exchange, False)
        self._watch_settling(target)
        if others_wait and self._may_open_spare(target):
            self._open(target, exchange)
        elif exchange.begin_wait is not None:
            exchange.begin_wait()

    def _may_open_spare(self, target: Target) -> bool:
        """Return whether another connection may be opened although one will be settled soon.

        One exchange at a time waits for a connection to settle; spare connections for further ones let the
        pool grow to what the traffic needs. Each costs its server work, and servers accept a limited number
        of them, which no setting states.
        """
        now = monotonic()
        refused = now - target.refused_at < REFUSAL_BACKOFF_S
        rejected = now - target.rejected_at < REJECTION_BACKOFF_S
        return not (self.descriptors.full or refused or rejected)

    def _watch_settling(self, target: Target) -> None:
        """Serve the waiting exchanges when the next idle connection is settled."""
        delay_s = target.idle.next_settles_in()
        if target.settle_timer is None and delay_s < math.inf:
            target.settle_timer = self.loop.call_later(delay_s, self._serve_waiting, target)

    def _serve_waiting(self, target: Target) -> None:
        """Send waiting exchanges on settled connections, or open new ones if none is settling any more."""
        if target.settle_timer is not None:
            target.settle_timer.cancel()
            target.settle_timer = None
        while target.sendable and (connection := target.idle.take_longest_settled()) is not None:
            self.release(connection)
        for exchange, opening in list(target.waiting.items()):
            if not opening and (exchange.ended or exchange.rejected):
                del target.waiting[exchange]
            elif not opening and not target.idle:
                del target.waiting[exchange]
                self._open(target, exchange)
        if target.sendable:
            self._watch_settling(target)

    @staticmethod
    def _try_send(connection: Connection, exchange: Exchange) -> SendResult:
        """Write an exchange if it may still be sent; the only place where an exchange begins.

        It may not be sent if its server has restarted or moved since the server was chosen, or if no time is
        left to write it.
        """
        target = connection.target
        current = (
            target.accepts_requests and exchange.generation == connection.generation == target.generation
        )
        current = current and not exchange.rejected  # the scheduled result states that it never ran
        timeout_s = (
            exchange.write_timeout_s() if exchange.write_timeout_s is not None and current else math.inf
        )
        if not current or timeout_s <= 0.0:
            exchange.rejected = True
            return SendResult.REJECTED
        if not connection.send(exchange):
            return SendResult.DEAD
        exchange.set_write_timeout(timeout_s)
        return SendResult.STARTED

    def _open(self, target: Target, exchange: Exchange) -> None:
        if self.descriptors.full and not self.close_oldest() and not self.descriptors.evict_idle_connection():
            # A local lack of descriptors must not count as a failure of the server.
            self.loop.call_soon(exchange.end, Status.NOT_SENT)
            return
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError:  # out of descriptors in spite of the count: make room for the retry that follows soon
            if exchange in target.waiting:
                return  # a connection will be settled soon
            if not self.close_oldest():
                self.descriptors.evict_idle_connection()
            self.loop.call_soon(exchange.end, Status.NOT_SENT)
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self, target, sock)
        self.connections.add(connection)
        self.descriptors.in_use += 1
        self.memory.add_overhead(CONNECTION_BYTES)
        target.waiting[exchange] = True
        # A task cancelled before its first step would not run at all, and leak the connection.
        self.loop.create_task(self._connect(target, exchange, connection))

    async def _connect(self, target: Target, exchange: Exchange, connection: Connection) -> None:
        exchange.opening = asyncio.current_task()
        try:
            if exchange.ended:
                connection.close()
            else:
                async with asyncio.timeout(self.connect_timeout):
                    await self.loop.sock_connect(connection.stream.sock, target.address)
                target.nobody_listens = False
                connection.connected()
        except OSError as error:
            target.nobody_listens = isinstance(error, ConnectionRefusedError)
            target.refused_at = monotonic()
            connection.close()
        except asyncio.CancelledError:
            connection.close()
        exchange.opening = None
        target.waiting.pop(exchange, None)
        self._use(connection, exchange)

    def _use(self, connection: Connection, exchange: Exchange) -> None:
        """Use a connection, established or failed, for the exchange that it was opened for."""
        target = connection.target
        if exchange.ended or exchange.connection is not None:  # it has ended, or uses another connection
            self.release(connection)
            return
        result = SendResult.DEAD if connection.closed else self._try_send(connection, exchange)
        if result is SendResult.REJECTED:
            self.release(connection)
            exchange.end(Status.NOT_SENT)
        elif result is SendResult.DEAD:
            connection.close()
            if target.idle and target.accepts_requests:
                # The server may have as many connections as it accepts.
                self._find_connection(target, exchange)
            else:
                exchange.end(Status.CONNECT_FAILED)

    # The pool

    def release(self, connection: Connection) -> None:
        """Use a free connection for a waiting exchange, or add it to the idle ones."""
        target = connection.target
        if connection.closed or not target.accepts_requests or connection.generation != target.generation:
            connection.close()
            return
        if not target.idle.is_settled(connection):
            target.idle.add(connection)
            if target.sendable:
                self._watch_settling(target)
            return
        # The connection that is being opened for a waiting exchange becomes idle instead of this one.
        for exchange in target.sendable:
            result = self._try_send(connection, exchange)
            if result is SendResult.REJECTED:
                self.loop.call_soon(exchange.end, Status.NOT_SENT)
                continue
            if result is SendResult.STARTED:
                del target.waiting[exchange]
            else:
                connection.close()
            return
        target.idle.add(connection)

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is closing from the pool and from the count of descriptors."""
        self.connections.discard(connection)
        self.descriptors.in_use -= 1
        self.memory.add_overhead(-CONNECTION_BYTES)
        target = connection.target
        target.idle.remove(connection)
        if target.waiting and not target.idle:
            self.loop.call_soon(self._serve_waiting, target)

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        target = self.targets.get(server)
        if target is not None:
            for connection in target.idle:
                connection.close()

    def close_oldest(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        oldest = [idle for target in self.targets.values() if (idle := target.idle.oldest()) is not None]
        if not oldest:
            return False
        min(oldest, key=lambda connection: connection.idle_since).close()
        return True

    def sweep(self) -> None:
        """Close idle connections well before their servers do: a request could cross the server's close."""
        before = monotonic() - self.idle_timeout
        for target in self.targets.values():
            while (oldest := target.idle.oldest()) is not None and oldest.idle_since < before:
                oldest.close()

    def close(self) -> None:
        """Close all connections."""
        for target in self.targets.values():
            for exchange in list(target.waiting):
                exchange.give_up(Status.CONNECT_FAILED)
        for connection in list(self.connections):
            connection.close()
