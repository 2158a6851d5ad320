"""Sockets of the datagram proxy: one to the target for each sender, so that responses reach that sender."""

from __future__ import annotations

import asyncio
from typing import cast

from .datagrams import DatagramMachine
from .script import Side

Address = tuple[str, int]


class DatagramProxy(asyncio.DatagramProtocol):
    """Protocol of the listening socket; owns it and the sockets to the target."""

    def __init__(self, machine: DatagramMachine, target: Address) -> None:
        """Forward datagrams to `target`, with the faults that `machine` applies."""
        self.machine = machine
        self.target = target
        self.transport: asyncio.DatagramTransport | None = None
        self.sender_sockets: dict[Address, _SenderSocket] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the listening socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Apply the faults to a datagram from a sender, and send the resulting datagrams to the target."""
        sender = self.sender_sockets.get(addr)
        loop = asyncio.get_running_loop()
        if sender is None:
            sender = self.sender_sockets[addr] = _SenderSocket(self, addr)
            sender.opening = loop.create_task(sender.open())
        for delayed in self.machine.feed(Side.REQUEST, data):
            loop.call_later(delayed.seconds, sender.send, delayed.data)

    def response_received(self, data: bytes, address: Address) -> None:
        """Apply the faults to a datagram from the target, and send the result to the sender at `address`."""
        loop = asyncio.get_running_loop()
        for delayed in self.machine.feed(Side.RESPONSE, data):
            loop.call_later(delayed.seconds, self._send_to_sender, delayed.data, address)

    def _send_to_sender(self, data: bytes, address: Address) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, address)

    def close(self) -> None:
        """Close all sockets."""
        if self.transport is not None:
            self.transport.close()
        for sender in self.sender_sockets.values():
            sender.close()


class _SenderSocket(asyncio.DatagramProtocol):
    """The socket to the target that carries the datagrams of one sender."""

    def __init__(self, proxy: DatagramProxy, address: Address) -> None:
        self.proxy = proxy
        self.address = address
        self.transport: asyncio.DatagramTransport | None = None
        self.unsent: list[bytes] = []  # received before the socket was open
        self.opening: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Open the socket and send the datagrams received before it was open."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, remote_addr=self.proxy.target)
        self.transport = transport
        for data in self.unsent:
            transport.sendto(data)

    def send(self, data: bytes) -> None:
        """Send a datagram to the target, once the socket is open."""
        if self.transport is None:
            self.unsent.append(data)
        elif not self.transport.is_closing():
            self.transport.sendto(data)

    def datagram_received(self, data: bytes, _addr: Address) -> None:
        """Pass a response of the target to the proxy."""
        self.proxy.response_received(data, self.address)

    def error_received(self, exc: Exception) -> None:
        """Ignore that the target's port is closed: datagrams are lost silently."""

    def close(self) -> None:
        """Close the socket, or cancel opening it."""
        if self.opening is not None:
            self.opening.cancel()
        if self.transport is not None:
            self.transport.close()
