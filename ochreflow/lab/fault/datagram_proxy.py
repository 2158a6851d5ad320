"""The sockets of proxied datagrams: one towards the target for each sender, so that answers reach it."""

from __future__ import annotations

import asyncio
from typing import cast

from .datagrams import DatagramMachine
from .script import Side

Address = tuple[str, int]


class DatagramProxy(asyncio.DatagramProtocol):
    """Owns the listening socket and the senders' sockets."""

    def __init__(self, machine: DatagramMachine, target: Address) -> None:
        """Forward to a target what the machine lets through."""
        self.machine = machine
        self.target = target
        self.transport: asyncio.DatagramTransport | None = None
        self.senders: dict[Address, _Sender] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the listening socket's transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forward a sender's datagram to the target."""
        sender = self.senders.get(addr)
        loop = asyncio.get_running_loop()
        if sender is None:
            sender = self.senders[addr] = _Sender(self, addr)
            sender.opening = loop.create_task(sender.open())
        for delayed in self.machine.feed(Side.REQUEST, data):
            loop.call_later(delayed.seconds, sender.send, delayed.data)

    def answer_received(self, data: bytes, address: Address) -> None:
        """Forward the target's datagram to the sender at this address."""
        loop = asyncio.get_running_loop()
        for delayed in self.machine.feed(Side.ANSWER, data):
            loop.call_later(delayed.seconds, self._send_back, delayed.data, address)

    def _send_back(self, data: bytes, address: Address) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, address)

    def close(self) -> None:
        """Close all sockets."""
        if self.transport is not None:
            self.transport.close()
        for sender in self.senders.values():
            sender.close()


class _Sender(asyncio.DatagramProtocol):
    """The socket towards the target for one sender."""

    def __init__(self, proxy: DatagramProxy, address: Address) -> None:
        self.proxy = proxy
        self.address = address
        self.transport: asyncio.DatagramTransport | None = None
        self.unsent: list[bytes] = []  # until the socket is open
        self.opening: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Open the socket, and send what has come meanwhile."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, remote_addr=self.proxy.target)
        self.transport = transport
        for data in self.unsent:
            transport.sendto(data)

    def send(self, data: bytes) -> None:
        """Send to the target."""
        if self.transport is None:
            self.unsent.append(data)
        elif not self.transport.is_closing():
            self.transport.sendto(data)

    def datagram_received(self, data: bytes, _addr: Address) -> None:
        """Hand an answer to the proxy."""
        self.proxy.answer_received(data, self.address)

    def error_received(self, exc: Exception) -> None:
        """Ignore that nobody listens at the target: datagrams are lost without a word."""

    def close(self) -> None:
        """Close the socket, also one that is being opened."""
        if self.opening is not None:
            self.opening.cancel()
        if self.transport is not None:
            self.transport.close()
