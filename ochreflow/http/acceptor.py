"""Accepts client connections.

A server of the event loop accepts one connection in an iteration, and closes those in the backlog when
`accept` fails. Here a connection that `[admission]` rejects costs only a descriptor for a moment: no
transport is created. The same holds for a connection whose client left while the connection waited in the
backlog, which is not counted either. While no descriptor is left, connections wait in the backlog; see
`ochreflow.http.accept_throttle`.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from time import monotonic

from ..core.log import log
from .accept_throttle import DESCRIPTOR_ERRNOS, MAX_EVICTIONS_PER_PAUSE, AcceptThrottle
from .clients import Clients
from .connection import ClientConnection

# Connections accepted in one iteration of the loop while the clients' quota is used up. For each, another one
# is closed, in a later iteration.
ACCEPTS_OVER_QUOTA = 4


class Acceptor:
    """Owns a listening socket, and passes each admitted connection to the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        connection_factory: Callable[[], ClientConnection],
        clients: Clients,
    ) -> None:
        """Start accepting on `sock`; `connection_factory` creates the protocol of each connection."""
        self.loop = loop
        self.sock = sock
        self.connection_factory = connection_factory
        self.clients = clients
        self.accept_throttle = AcceptThrottle()
        self.connecting: set[asyncio.Task[None]] = set()
        self.resume_timer: asyncio.TimerHandle | None = None
        sock.setblocking(False)  # noqa: FBT003  # the signature is that of `socket`
        loop.add_reader(sock, self._on_readable)

    def _on_readable(self) -> None:
        """Accept as many waiting connections as the throttle allows."""
        count = 0
        for _ in range(min(self.accept_throttle.accepts_allowed(monotonic()), self._quota_left())):
            try:
                sock, address = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                break  # the backlog is empty, or another process of this sidecar accepted the connection
            except ConnectionAbortedError:
                continue  # the client has disconnected
            except OSError as error:
                self._pause(error)
                return
            count += 1
            self._admit(sock, str(address[0]))
        self.accept_throttle.accepted(count)

    def _quota_left(self) -> int:
        """Return how many connections to accept before the clients beyond the quota have been closed."""
        clients = len(self.clients.connections) + len(self.connecting)
        return max(self.clients.descriptors.max_clients - clients, 0) + ACCEPTS_OVER_QUOTA

    def _admit(self, sock: socket.socket, host: str) -> None:
        # A client that has left would take a place among the clients for some iterations of the loop, and
        # clients behind it in the backlog would be rejected.
        if _disconnected_without_data(sock):
            sock.close()
            return
        client = self.connection_factory()
        if not self.clients.admit(client, host):
            sock.close()
            return
        task = self.loop.create_task(self._connect(client, sock))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def _connect(self, client: ClientConnection, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:  # the client disconnected meanwhile
            self.clients.withdraw(client)
            sock.close()

    def _pause(self, error: OSError) -> None:
        """Evict clients without a pending response, and leave new connections in the backlog for a while."""
        wait = self.accept_throttle.out_of_descriptors(monotonic())
        evicted = 0
        if error.errno in DESCRIPTOR_ERRNOS:
            while evicted < MAX_EVICTIONS_PER_PAUSE and self.clients.evict_for_new_connection():
                evicted += 1
        log.warning("accept_paused", reason=error.strerror or str(error), seconds=wait, closed=evicted)
        self.loop.remove_reader(self.sock)
        self.resume_timer = self.loop.call_later(wait, self._resume)

    def _resume(self) -> None:
        self.resume_timer = None
        self.loop.add_reader(self.sock, self._on_readable)

    def close(self) -> None:
        """Close this process's descriptor only: another process may go on listening on the same socket."""
        if self.sock.fileno() < 0:
            return
        if self.resume_timer is not None:
            self.resume_timer.cancel()
        else:
            self.loop.remove_reader(self.sock)
        self.sock.close()


def _disconnected_without_data(sock: socket.socket) -> bool:
    """Return whether the peer has shut down sending or reset the connection, with no data left to read."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
