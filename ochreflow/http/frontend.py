"""The HTTP/1.1 frontend: its listening sockets and all client connections."""

from __future__ import annotations

from typing import Protocol

from ..core.engine import Engine
from ..core.ports import UpstreamTransport
from .clients import Clients
from .connection import ClientConnection
from .paced_protocol import ReceiveBuffer
from .read_scheduler import ReadScheduler
from .request_parser import RequestParser
from .request_reader import ConnectionContext
from .socket_progress import DisconnectMonitor

LABEL = "http"


class Listener(Protocol):
    """A listening socket, or a server of the event loop."""

    def close(self) -> None:
        """Stop accepting connections."""
        ...


class HttpFrontend:
    """The HTTP/1.1 frontend. Owns the listening sockets and the client connections."""

    def __init__(
        self, engine: Engine, upstream_transport: UpstreamTransport, read_scheduler: ReadScheduler
    ) -> None:
        """Bind the frontend to the core; `listen` adds listening sockets."""
        self.clients = Clients(engine.descriptors, engine.memory)
        self.frontend_binding = engine.bind_frontend(LABEL, self, upstream_transport)
        self.disconnect_monitor = DisconnectMonitor(engine.loop)
        self.context = ConnectionContext(
            engine,
            self.frontend_binding,
            self.clients,
            RequestParser(engine.settings),
            self.disconnect_monitor,
            read_scheduler,
            ReceiveBuffer(),
        )
        self.servers: list[Listener] = []

    def connection(self) -> ClientConnection:
        """Create the protocol for a new connection."""
        return ClientConnection(self.context)

    def listen(self, server: Listener) -> None:
        """Take ownership of a listener that creates its connections with `connection`."""
        self.servers.append(server)

    @property
    def connected(self) -> int:
        """The number of clients that are connected, with those whose transport is yet to be created."""
        return len(self.clients.connections) + len(self.clients.admitted)

    def stop_accepting(self) -> None:
        """Close the listening sockets."""
        for server in self.servers:
            server.close()
        self.servers.clear()

    def close_idle_connections(self) -> None:
        """Close every connection on which no request is open."""
        self.clients.close_idle_connections()

    def sweep(self) -> None:
        """Enforce the time limits on clients."""
        self.clients.sweep()

    def close(self) -> None:
        """Close the listening sockets and all client connections at once."""
        self.stop_accepting()
        self.disconnect_monitor.close()
        for client in list(self.clients.connections):
            client.close()
