"""The sockets of the fault tool: streams and datagrams on loopback, and the control address."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import struct
from collections import deque
from collections.abc import Sequence
from typing import cast

from ..http_server import HttpRequest, HttpService
from .machine import Action, DatagramMachine, Forward, HalfClose, StreamMachine, Transcript, Wait
from .script import DATAGRAM_FAULTS, STREAM_FAULTS, Fault, ScriptError, Side, read_faults

Address = tuple[str, int]
MAX_BUFFERED_BYTES = 256 * 1024  # bytes on their way in one direction before its sender is read no further
RESUME_BELOW_BYTES = 64 * 1024
OPPOSITE = {Side.REQUEST: Side.ANSWER, Side.ANSWER: Side.REQUEST}


class FaultProxy:
    """One listening address and what stands behind it. Owns the faults and the transcript."""

    def __init__(self, target: Address, faults: Sequence[Fault], seed: int, datagrams: bool = False) -> None:
        self.target = target
        self.faults = list(faults)
        self.seed = seed
        self.allowed = DATAGRAM_FAULTS if datagrams else STREAM_FAULTS
        self.transcript = Transcript()
        self.number = 0  # of the next connection
        self.connections: set[ProxiedConnection] = set()
        self.datagrams = DatagramMachine(seed, faults, self.transcript) if datagrams else None

    def accept(self) -> ConnectionEnd:
        """The protocol for a new connection."""
        connection = ProxiedConnection(self, self.number)
        self.number += 1
        return connection.ends[Side.REQUEST]

    def set_faults(self, faults: Sequence[Fault]) -> None:
        """Set other faults: for what is open, and for what comes."""
        self.faults = list(faults)
        for connection in self.connections:
            connection.machine.set_faults(faults)
        if self.datagrams is not None:
            self.datagrams.set_faults(faults)

    def control(self) -> HttpService:
        """The control address: GET /transcript, POST /faults with a JSON list, POST /cut."""
        return HttpService(self._handle_control)

    def _handle_control(self, request: HttpRequest) -> None:
        if (request.method, request.target) == ("GET", "/transcript"):
            body = {"digest": self.transcript.digest(), "lines": self.transcript.lines()}
            request.answer(200, json.dumps(body).encode())
        elif (request.method, request.target) == ("POST", "/faults"):
            try:
                self.set_faults(read_faults(json.loads(request.body), "/faults", self.allowed))
            except (ValueError, ScriptError) as error:
                request.answer(400, str(error).encode())
            else:
                request.answer(200)
        elif (request.method, request.target) == ("POST", "/cut"):
            for connection in list(self.connections):
                connection.close(reset=True)
            request.answer(200)
        else:
            request.answer(404)

    def close(self) -> None:
        for connection in list(self.connections):
            connection.close(reset=True)


class ProxiedConnection:
    """One connection to the proxy and the one that it makes to the target."""

    def __init__(self, proxy: FaultProxy, number: int) -> None:
        self.proxy = proxy
        self.machine = StreamMachine(proxy.seed, number, proxy.faults, proxy.transcript)
        self.ends = {side: ConnectionEnd(self, side) for side in Side}
        self.queues: dict[Side, deque[Action]] = {side: deque() for side in Side}
        self.waiting: dict[Side, asyncio.TimerHandle | None] = dict.fromkeys(Side)
        self.buffered = dict.fromkeys(Side, 0)
        self.task: asyncio.Task[None] | None = None
        self.closed = False
        proxy.connections.add(self)

    def connect(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: self.ends[Side.ANSWER], *self.proxy.target)
        except OSError:
            self.close(reset=True)  # nobody listens there: whoever connected sees the same
            return
        self._run_actions(Side.REQUEST)

    def enqueue(self, side: Side, actions: list[Action]) -> None:
        self.queues[side] += actions
        self.buffered[side] += sum(len(action.data) for action in actions if isinstance(action, Forward))
        if self.buffered[side] > MAX_BUFFERED_BYTES:
            self.ends[side].read(False)
        self._run_actions(side)

    def _run_actions(self, side: Side) -> None:
        """Do what is due on one side, up to the next wait."""
        receiver = self.ends[OPPOSITE[side]]
        queue = self.queues[side]
        if receiver.transport is None and not receiver.disconnected:
            return  # it is still being connected
        while queue and self.waiting[side] is None and not self.closed:
            action = queue.popleft()
            if isinstance(action, Forward):
                self.buffered[side] -= len(action.data)
                receiver.write(action.data)
                if self.buffered[side] < RESUME_BELOW_BYTES:
                    self.ends[side].read(True)
            elif isinstance(action, Wait):
                loop = asyncio.get_running_loop()
                self.waiting[side] = loop.call_later(action.seconds, self._resume, side)
            elif isinstance(action, HalfClose):
                receiver.half_close()
            else:
                self.close(action.reset)
        self._close_if_finished()

    def _close_if_finished(self) -> None:
        """Let go of both sockets when both ends have said their last and all of it has gone on."""
        if all(end.received_eof for end in self.ends.values()) and not any(self.queues.values()):
            self.close(reset=False)

    def _resume(self, side: Side) -> None:
        self.waiting[side] = None
        self._run_actions(side)

    def end_lost(self, side: Side, reset: bool) -> None:
        """One end is gone altogether: so is the other, once what is on its way has gone."""
        if reset:
            self.close(reset=True)
        elif all(end.disconnected for end in self.ends.values()):
            self.close(reset=False)

    def close(self, reset: bool) -> None:
        if self.closed:
            return
        self.closed = True
        self.proxy.connections.discard(self)
        if self.task is not None:
            self.task.cancel()
        for timer in self.waiting.values():
            if timer is not None:
                timer.cancel()
        for end in self.ends.values():
            end.close(reset)


class ConnectionEnd(asyncio.Protocol):
    """One of the two sockets of a pair: bytes that come here are of this side."""

    def __init__(self, connection: ProxiedConnection, side: Side) -> None:
        self.connection = connection
        self.side = side
        self.transport: asyncio.Transport | None = None
        self.disconnected = False
        self.received_eof = False  # it has said that nothing more comes
        self.reading = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.connection.closed:
            self.close(reset=True)
        elif self.side is Side.REQUEST:
            self.connection.connect()

    def data_received(self, data: bytes) -> None:
        if not self.connection.closed:
            self.connection.enqueue(self.side, self.connection.machine.feed(self.side, data))

    def eof_received(self) -> bool:
        self.received_eof = True
        if not self.connection.closed:
            self.connection.enqueue(self.side, self.connection.machine.eof(self.side))
        return True  # the other direction may still be in use

    def connection_lost(self, exc: Exception | None) -> None:
        self.disconnected = True
        self.connection.end_lost(self.side, reset=exc is not None)

    def read(self, on: bool) -> None:
        if self.transport is None or self.transport.is_closing() or on == self.reading:
            return
        self.reading = on
        if on:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def half_close(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()

    def close(self, reset: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if reset:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()
        else:
            self.transport.close()


class DatagramProxy(asyncio.DatagramProtocol):
    """Datagrams: every sender has a socket of its own towards the target, so that answers find their way."""

    def __init__(self, proxy: FaultProxy) -> None:
        assert proxy.datagrams is not None
        self.proxy = proxy
        self.machine = proxy.datagrams
        self.transport: asyncio.DatagramTransport | None = None
        self.senders: dict[Address, _DatagramClient] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        sender = self.senders.get(addr)
        loop = asyncio.get_running_loop()
        if sender is None:
            sender = self.senders[addr] = _DatagramClient(self, addr)
            sender.task = loop.create_task(sender.open())
        for seconds, outgoing in self.machine.feed(Side.REQUEST, data):
            loop.call_later(seconds, sender.send, outgoing)

    def response_received(self, data: bytes, addr: Address) -> None:
        loop = asyncio.get_running_loop()
        for seconds, outgoing in self.machine.feed(Side.ANSWER, data):
            loop.call_later(seconds, self._send_back, outgoing, addr)

    def _send_back(self, data: bytes, addr: Address) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, addr)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
        for sender in self.senders.values():
            sender.close()


class _DatagramClient(asyncio.DatagramProtocol):
    def __init__(self, proxy: DatagramProxy, address: Address) -> None:
        self.proxy = proxy
        self.address = address
        self.transport: asyncio.DatagramTransport | None = None
        self.unsent: list[bytes] = []
        self.task: asyncio.Task[None] | None = None

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, remote_addr=self.proxy.proxy.target)
        self.transport = transport
        for data in self.unsent:
            transport.sendto(data)

    def send(self, data: bytes) -> None:
        if self.transport is None:
            self.unsent.append(data)
        elif not self.transport.is_closing():
            self.transport.sendto(data)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.proxy.response_received(data, self.address)

    def error_received(self, exc: Exception) -> None:
        """That nobody listens there is told to nobody, as datagrams do."""

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.close()


async def serve(
    listen: Address, target: Address, faults: Sequence[Fault], seed: int, control: Address | None, udp: bool
) -> None:
    """Stand at an address until SIGTERM or SIGINT; prints where it listens, then the transcript."""
    loop = asyncio.get_running_loop()
    proxy = FaultProxy(target, faults, seed, udp)
    if udp:
        datagrams = DatagramProxy(proxy)
        transport, _ = await loop.create_datagram_endpoint(lambda: datagrams, local_addr=listen)
        address = transport.get_extra_info("sockname")
    else:
        server = await loop.create_server(proxy.accept, *listen, backlog=512)
        address = server.sockets[0].getsockname()
    print(f"stands at {address[0]}:{address[1]}", flush=True)
    if control is not None:
        controls = await loop.create_server(proxy.control().connection, *control)
        print("steered at {}:{}".format(*controls.sockets[0].getsockname()), flush=True)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await ended.wait()
    proxy.close()
    for line in proxy.transcript.lines():
        print(line)
    print(f"digest {proxy.transcript.digest()}", flush=True)
