"""Sockets of one proxied connection; carries out the actions of its `StreamMachine`."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

from ..socket_reset import reset_when_closed
from .script import Side
from .stream import Action, Close, Forward, HalfClose, StreamMachine, Wait

Address = tuple[str, int]
MAX_BUFFERED_BYTES = 256 * 1024  # bytes queued in one direction above which reading from its sender pauses
RESUME_BELOW_BYTES = 64 * 1024  # bytes queued below which reading resumes


class ProxiedConnection:
    """Owns a peer's connection, the matching connection to the target, and the timers of both directions."""

    def __init__(
        self,
        machine: StreamMachine,
        target: Address,
        on_closed: Callable[[ProxiedConnection], None],
    ) -> None:
        """Prepare both ends before the peer's connection is made; `on_closed` is called once."""
        self.machine = machine
        self.target = target
        self.on_closed = on_closed
        self.ends = {side: ConnectionEnd(self, side) for side in Side}
        self.queues: dict[Side, deque[Action]] = {side: deque() for side in Side}
        self.timers: dict[Side, asyncio.TimerHandle | None] = dict.fromkeys(Side)
        self.buffered_bytes = dict.fromkeys(Side, 0)
        self.connecting: asyncio.Task[None] | None = None
        self.closed = False

    def connect(self) -> None:
        """Start connecting to the target; if that fails, the peer's connection is reset."""
        self.connecting = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: self.ends[Side.RESPONSE], *self.target)
        except OSError:
            self.close(reset=True)  # the peer sees the failed connect as a reset
            return
        self._run_actions(Side.REQUEST)

    def enqueue(self, side: Side, actions: list[Action]) -> None:
        """Queue the actions that follow from bytes or the end of stream of `side`."""
        self.queues[side] += actions
        self.buffered_bytes[side] += sum(
            len(action.data) for action in actions if isinstance(action, Forward)
        )
        if self.buffered_bytes[side] > MAX_BUFFERED_BYTES:
            self.ends[side].pause_reading()
        self._run_actions(side)

    def _run_actions(self, side: Side) -> None:
        """Run the queued actions of one direction up to the next wait."""
        receiver = self.ends[side.opposite]
        queue = self.queues[side]
        if receiver.transport is None and not receiver.disconnected:
            return  # still connecting
        while queue and self.timers[side] is None and not self.closed:
            self._run(side, queue.popleft())
        if all(end.received_eof for end in self.ends.values()) and not any(self.queues.values()):
            self.close(reset=False)  # both streams have ended, and all their bytes have been forwarded

    def _run(self, side: Side, action: Action) -> None:
        receiver = self.ends[side.opposite]
        match action:
            case Forward(data):
                self.buffered_bytes[side] -= len(data)
                receiver.write(data)
                if self.buffered_bytes[side] < RESUME_BELOW_BYTES:
                    self.ends[side].resume_reading()
            case Wait(seconds):
                loop = asyncio.get_running_loop()
                self.timers[side] = loop.call_later(seconds, self._resume, side)
            case HalfClose():
                receiver.half_close()
            case Close(reset):
                self.close(reset=reset)

    def _resume(self, side: Side) -> None:
        self.timers[side] = None
        self._run_actions(side)

    def end_lost(self, *, reset: bool) -> None:
        """Handle the loss of one end: forward a reset at once, close once both ends are lost."""
        if reset:
            self.close(reset=True)
        elif all(end.disconnected for end in self.ends.values()):
            self.close(reset=False)

    def close(self, *, reset: bool) -> None:
        """Close both connections; cancel the connect and the timers."""
        if self.closed:
            return
        self.closed = True
        self.on_closed(self)
        if self.connecting is not None:
            self.connecting.cancel()
        for timer in self.timers.values():
            if timer is not None:
                timer.cancel()
        for end in self.ends.values():
            end.close(reset=reset)


class ConnectionEnd(asyncio.Protocol):
    """Protocol of one of the two sockets of a proxied connection; bytes read from it belong to `side`."""

    def __init__(self, connection: ProxiedConnection, side: Side) -> None:
        """Report all events of this end to `connection`."""
        self.connection = connection
        self.side = side
        self.transport: asyncio.Transport | None = None
        self.disconnected = False
        self.received_eof = False
        self.reading = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; once the peer is connected, connect to the target."""
        self.transport = cast(asyncio.Transport, transport)
        if self.connection.closed:
            self.close(reset=True)
        elif self.side is Side.REQUEST:
            self.connection.connect()

    def data_received(self, data: bytes) -> None:
        """Pass the bytes to the machine and queue its actions."""
        if not self.connection.closed:
            self.connection.enqueue(self.side, self.connection.machine.feed(self.side, data))

    def eof_received(self) -> bool:
        """Pass the end of stream to the machine; keep the transport open for the other direction."""
        self.received_eof = True
        if not self.connection.closed:
            self.connection.enqueue(self.side, self.connection.machine.eof(self.side))
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the connection whether this end was closed or reset."""
        self.disconnected = True
        self.connection.end_lost(reset=exc is not None)

    @property
    def _open_transport(self) -> asyncio.Transport | None:
        if self.transport is None or self.transport.is_closing():
            return None
        return self.transport

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading` is called."""
        if (transport := self._open_transport) is not None and self.reading:
            self.reading = False
            transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading if it was paused."""
        if (transport := self._open_transport) is not None and not self.reading:
            self.reading = True
            transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Write to the socket unless it is closing."""
        if (transport := self._open_transport) is not None:
            transport.write(data)

    def half_close(self) -> None:
        """End the outgoing stream; reading continues."""
        if (transport := self._open_transport) is not None:
            transport.write_eof()

    def close(self, *, reset: bool) -> None:
        """Reset at once, or close after all data has been written."""
        if (transport := self._open_transport) is None:
            return
        if reset:
            reset_when_closed(transport.get_extra_info("socket"))
            transport.abort()
        else:
            transport.close()
