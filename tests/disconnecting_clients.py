"""Clients that disconnect at a chosen instant, and a server that records every byte, all on plain sockets.

All that a test does between two awaits falls into one iteration of the loop: the sidecar sees it at once.
"""

import asyncio
import select
import socket
import struct
import time
from dataclasses import dataclass, field

from net_helpers import HOST, http_response, wait_until

DISCONNECT_MODES = ["close", "reset", "half-close"]
ATTEMPT_START_LIMIT_S = 0.1  # the protocol allows no attempt to begin later than this after a disconnect
LOOP_BLOCK_S = 1.5 * ATTEMPT_START_LIMIT_S  # long enough that an attempt after the block breaks the rule


def connect(port):
    """Return a client's socket, connected by the kernel; the sidecar may not have accepted it yet."""
    return socket.create_connection((HOST, port))


def disconnect(sock, mode):
    if mode == "half-close":
        sock.shutdown(socket.SHUT_WR)
        return
    if mode == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def sidecar_connection(sidecar, sock):
    """Return the sidecar's end of a client's connection."""
    port = sock.getsockname()[1]
    (connection,) = (
        connection
        for connection in sidecar.http.clients.connections
        if connection.transport.get_extra_info("peername")[1] == port
    )
    return connection


def block_until_eof_readable(connection):
    """Block the loop until the sidecar could read the end of the client's stream."""
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    assert poll.poll(20_000), "the end of the client's stream did not become readable"


def disconnect_while_loop_blocked(sidecar, sock, mode):
    """Disconnect, and block the loop until the EOF has been readable for longer than the protocol allows."""
    connection = sidecar_connection(sidecar, sock)
    disconnect(sock, mode)
    block_until_eof_readable(connection)
    time.sleep(LOOP_BLOCK_S)


@dataclass
class Server:
    """A server that records what it receives and answers when the test says so."""

    listening: socket.socket = field(default_factory=lambda: socket.create_server((HOST, 0)))

    def __post_init__(self):
        self.listening.setblocking(False)
        self.connections = []

    @property
    def address(self):
        return f"{HOST}:{self.listening.getsockname()[1]}"

    async def accept(self):
        """Return the next connection."""
        sock, _ = await asyncio.get_running_loop().sock_accept(self.listening)
        sock.setblocking(False)
        self.connections.append(ServerConnection(sock))
        return self.connections[-1]

    def read_all(self):
        """Return all bytes received so far, on all connections."""
        while True:
            try:
                sock, _ = self.listening.accept()
            except BlockingIOError:
                break
            sock.setblocking(False)
            self.connections.append(ServerConnection(sock))
        for connection in self.connections:
            connection.read_available()
        return b"".join(bytes(connection.received) for connection in self.connections)

    def close(self):
        self.listening.close()
        for connection in self.connections:
            connection.sock.close()


@dataclass
class ServerConnection:
    """A connection to the server."""

    sock: socket.socket
    received: bytearray = field(default_factory=bytearray)
    ended: bool = False

    def read_available(self):
        """Read the bytes that have arrived."""
        while not self.ended:
            try:
                data = self.sock.recv(1 << 16)
            except BlockingIOError:
                return
            except ConnectionResetError:
                data = b""
            self.received += data
            self.ended = not data

    async def wait_for(self, part):
        """Wait until `part` has been received."""

        def has_arrived():
            self.read_available()
            return part in self.received

        await wait_until(has_arrived)

    def answer(self, code=200, *lines):
        """Send a response before this call returns."""
        self.sock.send(http_response(code, b"", *lines))


class DelayedConnectLoop:
    """A loop whose connects complete only when the test sets `connect_allowed`."""

    def __init__(self, loop):
        self.loop = loop
        self.connect_allowed = asyncio.Event()
        self.before_use = lambda: None  # runs in the iteration in which the new connection is first used

    def __getattr__(self, name):
        return getattr(self.loop, name)

    async def sock_connect(self, sock, address):
        await self.loop.sock_connect(sock, address)
        await self.connect_allowed.wait()
        self.before_use()
