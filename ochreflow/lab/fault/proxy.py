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
from .machine import Action, Datagrams, Forward, HalfClose, Transcript, Wait, Wire
from .script import DATAGRAM_FAULTS, STREAM_FAULTS, Fault, ScriptError, Side, read_faults

Address = tuple[str, int]
HELD_MOST = 256 * 1024  # bytes on their way in one direction before its sender is read no further
HELD_LEAST = 64 * 1024
OTHER = {Side.REQUEST: Side.ANSWER, Side.ANSWER: Side.REQUEST}


class Tool:
    """One listening address and what stands behind it. Owns the faults and the transcript."""

    def __init__(self, target: Address, faults: Sequence[Fault], seed: int, datagrams: bool = False) -> None:
        self.target = target
        self.faults = list(faults)
        self.seed = seed
        self.allowed = DATAGRAM_FAULTS if datagrams else STREAM_FAULTS
        self.transcript = Transcript()
        self.number = 0  # of the next connection
        self.pairs: set[Pair] = set()
        self.datagrams = Datagrams(seed, faults, self.transcript) if datagrams else None

    def accept(self) -> End:
        """The protocol for a new connection."""
        pair = Pair(self, self.number)
        self.number += 1
        return pair.ends[Side.REQUEST]

    def arm(self, faults: Sequence[Fault]) -> None:
        """Set other faults: for what is open, and for what comes."""
        self.faults = list(faults)
        for pair in self.pairs:
            pair.wire.arm(faults)
        if self.datagrams is not None:
            self.datagrams.arm(faults)

    def control(self) -> HttpService:
        """The control address: GET /transcript, POST /faults with a JSON list, POST /cut."""
        return HttpService(self._order)

    def _order(self, asked: HttpRequest) -> None:
        if (asked.method, asked.target) == ("GET", "/transcript"):
            told = {"digest": self.transcript.digest(), "lines": self.transcript.lines()}
            asked.answer(200, json.dumps(told).encode())
        elif (asked.method, asked.target) == ("POST", "/faults"):
            try:
                self.arm(read_faults(json.loads(asked.body), "/faults", self.allowed))
            except (ValueError, ScriptError) as error:
                asked.answer(400, str(error).encode())
            else:
                asked.answer(200)
        elif (asked.method, asked.target) == ("POST", "/cut"):
            for pair in list(self.pairs):
                pair.close(reset=True)
            asked.answer(200)
        else:
            asked.answer(404)

    def close(self) -> None:
        for pair in list(self.pairs):
            pair.close(reset=True)


class Pair:
    """One connection to the tool and the one that it makes to the target."""

    def __init__(self, tool: Tool, number: int) -> None:
        self.tool = tool
        self.wire = Wire(tool.seed, number, tool.faults, tool.transcript)
        self.ends = {side: End(self, side) for side in Side}
        self.queues: dict[Side, deque[Action]] = {side: deque() for side in Side}
        self.waiting: dict[Side, asyncio.TimerHandle | None] = dict.fromkeys(Side)
        self.held = dict.fromkeys(Side, 0)
        self.task: asyncio.Task[None] | None = None
        self.closed = False
        tool.pairs.add(self)

    def connect(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: self.ends[Side.ANSWER], *self.tool.target)
        except OSError:
            self.close(reset=True)  # nobody listens there: whoever connected sees the same
            return
        self._play(Side.REQUEST)

    def came(self, side: Side, actions: list[Action]) -> None:
        self.queues[side] += actions
        self.held[side] += sum(len(action.data) for action in actions if isinstance(action, Forward))
        if self.held[side] > HELD_MOST:
            self.ends[side].read(False)
        self._play(side)

    def _play(self, side: Side) -> None:
        """Do what is due on one side, up to the next wait."""
        receiver = self.ends[OTHER[side]]
        queue = self.queues[side]
        if receiver.transport is None and not receiver.gone:
            return  # it is still being connected
        while queue and self.waiting[side] is None and not self.closed:
            action = queue.popleft()
            if isinstance(action, Forward):
                self.held[side] -= len(action.data)
                receiver.write(action.data)
                if self.held[side] < HELD_LEAST:
                    self.ends[side].read(True)
            elif isinstance(action, Wait):
                loop = asyncio.get_running_loop()
                self.waiting[side] = loop.call_later(action.seconds, self._go_on, side)
            elif isinstance(action, HalfClose):
                receiver.half_close()
            else:
                self.close(action.reset)
        self._end_if_through()

    def _end_if_through(self) -> None:
        """Let go of both sockets when both ends have said their last and all of it has gone on."""
        if all(end.ended for end in self.ends.values()) and not any(self.queues.values()):
            self.close(reset=False)

    def _go_on(self, side: Side) -> None:
        self.waiting[side] = None
        self._play(side)

    def lost(self, side: Side, reset: bool) -> None:
        """One end is gone altogether: so is the other, once what is on its way has gone."""
        if reset:
            self.close(reset=True)
        elif all(end.gone for end in self.ends.values()):
            self.close(reset=False)

    def close(self, reset: bool) -> None:
        if self.closed:
            return
        self.closed = True
        self.tool.pairs.discard(self)
        if self.task is not None:
            self.task.cancel()
        for timer in self.waiting.values():
            if timer is not None:
                timer.cancel()
        for end in self.ends.values():
            end.close(reset)


class End(asyncio.Protocol):
    """One of the two sockets of a pair: bytes that come here are of this side."""

    def __init__(self, pair: Pair, side: Side) -> None:
        self.pair = pair
        self.side = side
        self.transport: asyncio.Transport | None = None
        self.gone = False
        self.ended = False  # it has said that nothing more comes
        self.reading = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.pair.closed:
            self.close(reset=True)
        elif self.side is Side.REQUEST:
            self.pair.connect()

    def data_received(self, data: bytes) -> None:
        if not self.pair.closed:
            self.pair.came(self.side, self.pair.wire.feed(self.side, data))

    def eof_received(self) -> bool:
        self.ended = True
        if not self.pair.closed:
            self.pair.came(self.side, self.pair.wire.eof(self.side))
        return True  # the other direction may still be in use

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True
        self.pair.lost(self.side, reset=exc is not None)

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


class DatagramTool(asyncio.DatagramProtocol):
    """Datagrams: every sender has a socket of its own towards the target, so that answers find their way."""

    def __init__(self, tool: Tool) -> None:
        assert tool.datagrams is not None
        self.tool = tool
        self.machine = tool.datagrams
        self.transport: asyncio.DatagramTransport | None = None
        self.senders: dict[Address, _Sender] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        sender = self.senders.get(addr)
        loop = asyncio.get_running_loop()
        if sender is None:
            sender = self.senders[addr] = _Sender(self, addr)
            sender.task = loop.create_task(sender.open())
        for seconds, out in self.machine.feed(Side.REQUEST, data):
            loop.call_later(seconds, sender.send, out)

    def answered(self, data: bytes, addr: Address) -> None:
        loop = asyncio.get_running_loop()
        for seconds, out in self.machine.feed(Side.ANSWER, data):
            loop.call_later(seconds, self._back, out, addr)

    def _back(self, data: bytes, addr: Address) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, addr)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
        for sender in self.senders.values():
            sender.close()


class _Sender(asyncio.DatagramProtocol):
    def __init__(self, tool: DatagramTool, address: Address) -> None:
        self.tool = tool
        self.address = address
        self.transport: asyncio.DatagramTransport | None = None
        self.early: list[bytes] = []
        self.task: asyncio.Task[None] | None = None

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, remote_addr=self.tool.tool.target)
        self.transport = transport
        for data in self.early:
            transport.sendto(data)

    def send(self, data: bytes) -> None:
        if self.transport is None:
            self.early.append(data)
        elif not self.transport.is_closing():
            self.transport.sendto(data)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.tool.answered(data, self.address)

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
    tool = Tool(target, faults, seed, udp)
    if udp:
        datagrams = DatagramTool(tool)
        transport, _ = await loop.create_datagram_endpoint(lambda: datagrams, local_addr=listen)
        where = transport.get_extra_info("sockname")
    else:
        server = await loop.create_server(tool.accept, *listen, backlog=512)
        where = server.sockets[0].getsockname()
    print(f"stands at {where[0]}:{where[1]}", flush=True)
    if control is not None:
        controls = await loop.create_server(tool.control().connection, *control)
        print("steered at {}:{}".format(*controls.sockets[0].getsockname()), flush=True)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await ended.wait()
    tool.close()
    for line in tool.transcript.lines():
        print(line)
    print(f"digest {tool.transcript.digest()}", flush=True)
