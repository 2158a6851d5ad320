"""The frontend of HTTP/1.1: its listening sockets, and all connections of clients."""

from __future__ import annotations

from typing import Protocol

from ..core.engine import Engine
from ..core.ports import UpstreamTransport
from .clients import Clients
from .connection import ClientConnection
from .request_parser import RequestParser
from .request_reader import ConnectionContext
from .socket_progress import DisconnectMonitor

LABEL = "http"


class Listening(Protocol):
    """A listening socket, or a server of the loop."""

    def close(self) -> None:
        """Accept nothing any more."""
        ...


class HttpFrontend:
    """The frontend of HTTP/1.1: it owns the listening sockets and the clients' connections."""

    def __init__(self, engine: Engine, upstream_transport: UpstreamTransport) -> None:
        """Bind the frontend to the core; nothing listens yet."""
        self.clients = Clients(engine.descriptors)
        self.frontend_binding = engine.bind_frontend(LABEL, self, upstream_transport)
        self.disconnect_monitor = DisconnectMonitor(engine.loop)
        self.context = ConnectionContext(
            engine,
            self.frontend_binding,
            self.clients,
            RequestParser(engine.settings),
            self.disconnect_monitor,
        )
        self.servers: list[Listening] = []

    def connection(self) -> ClientConnection:
        """The protocol for a new connection."""
        return ClientConnection(self.context)

    def listen(self, server: Listening) -> None:
        """Own a listening socket, whose connections `connection` makes."""
        self.servers.append(server)

    @property
    def connected(self) -> int:
        """The number of clients that are connected."""
        return len(self.clients.connections)

    def stop_accepting(self) -> None:
        """Close the listening sockets."""
        for server in self.servers:
            server.close()
        self.servers.clear()

    def close_idle_connections(self) -> None:
        """Close every connection on which nothing is open."""
        self.clients.close_idle_connections()

    def sweep(self) -> None:
        """Enforce the time limits on clients."""
        self.clients.sweep()

    def close(self) -> None:
        """Close everything, at once."""
        self.stop_accepting()
        self.disconnect_monitor.close()
        for client in list(self.clients.connections):
            client.close()
