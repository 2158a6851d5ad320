"""Gossip: datagrams between the sidecars of one fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from ..core.ports import Address

MAX_DATAGRAM_BYTES = 256


class Gossip(asyncio.DatagramProtocol):
    """Sends to peers by their number and passes on what known peers send. Owns the socket."""

    def __init__(
        self,
        index: int,
        peers: list[Address],
        broadcast: Address | None,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        """`index` is the own place in `peers`; `broadcast`, if any, reaches all of them."""
        self.peers = peers
        self.broadcast = broadcast
        self.on_message = on_message
        self.numbers = {address: number for number, address in enumerate(peers) if number != index}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass on a message of a known peer; all else is ignored."""
        number = self.numbers.get((addr[0], addr[1]))
        if number is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self.on_message(number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore it: datagrams may be lost, and the balancer has no use for an unreachable peer."""

    def send(self, data: bytes, peer: int | None) -> None:
        """Send to one peer, or to all (None); a message over `MAX_DATAGRAM_BYTES` is dropped."""
        if self.transport is None or self.transport.is_closing() or len(data) > MAX_DATAGRAM_BYTES:
            return
        if peer is None:
            if self.broadcast is not None:
                self.transport.sendto(data, self.broadcast)
        elif 0 <= peer < len(self.peers):
            self.transport.sendto(data, self.peers[peer])

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
