"""Gossip between the sidecars of one fleet, in UDP datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from ..core.ports import Address

MAX_DATAGRAM_BYTES = 256


class Gossip(asyncio.DatagramProtocol):
    """Sends messages to peers by their index, and passes on messages from known peers; owns the socket."""

    def __init__(
        self,
        index: int,
        peers: list[Address],
        broadcast: Address | None,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        """Create the protocol of the peer at `index` of `peers`; `broadcast`, if any, reaches all of them."""
        self.peers = peers
        self.broadcast = broadcast
        self.on_message = on_message
        self.peer_indexes = {address: peer for peer, address in enumerate(peers) if peer != index}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the open socket."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass on a message from a known peer; ignore all others."""
        peer = self.peer_indexes.get((addr[0], addr[1]))
        if peer is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self.on_message(peer, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: datagrams may be lost, and the balancer needs no notice of unreachable peers."""

    def send(self, data: bytes, peer: int | None) -> None:
        """Send to one peer, or to all if it is None; drop a message longer than `MAX_DATAGRAM_BYTES`."""
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
