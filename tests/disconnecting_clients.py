"""Clients that leave at a named instant, and a server that notes every byte: all on sockets without a loop.

What a test does between two awaits is one turn of the loop: the sidecar finds all of it at once.
"""

import asyncio
import select
import socket
import struct
import time
from dataclasses import dataclass, field

from net_helpers import HOST, http_response, wait_until

DISCONNECT_MODES = ["close", "reset", "half-close"]
ATTEMPT_START_LIMIT_S = 0.1  # after a client's disconnect, by the protocol, no attempt may begin later
LOOP_BLOCK_S = 1.5 * ATTEMPT_START_LIMIT_S  # the loop is blocked so long that a later attempt breaks the rule


def connect(port):
    """A client, connected as far as the system goes: nobody need have accepted it."""
    return socket.create_connection((HOST, port))


def disconnect(sock, how):
    if how == "half-close":
        sock.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def sidecar_connection(sidecar, sock):
    """The sidecar's end of a client's connection."""
    port = sock.getsockname()[1]
    (front,) = (
        front
        for front in sidecar.http.clients.connections
        if front.transport.get_extra_info("peername")[1] == port
    )
    return front


def block_until_eof_readable(front):
    """Block until the end of its client is there to be read."""
    poll = select.poll()
    poll.register(front.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    assert poll.poll(20_000), "the end has come"


def disconnect_while_loop_blocked(sidecar, sock, how):
    """Leave, and block the loop until the end could have been read for longer than the rule allows."""
    front = sidecar_connection(sidecar, sock)
    disconnect(sock, how)
    block_until_eof_readable(front)
    time.sleep(LOOP_BLOCK_S)


@dataclass
class Server:
    """Takes connections and notes what comes; it answers when the test says so."""

    listening: socket.socket = field(default_factory=lambda: socket.create_server((HOST, 0)))

    def __post_init__(self):
        self.listening.setblocking(False)
        self.connections = []

    @property
    def address(self):
        return f"{HOST}:{self.listening.getsockname()[1]}"

    async def accept(self):
        """The next connection."""
        sock, _ = await asyncio.get_running_loop().sock_accept(self.listening)
        sock.setblocking(False)
        self.connections.append(ServerConnection(sock))
        return self.connections[-1]

    def read_all(self):
        """All that has been written to it, on any connection, in bytes."""
        while True:
            try:
                sock, _ = self.listening.accept()
            except BlockingIOError:
                break
            sock.setblocking(False)
            self.connections.append(ServerConnection(sock))
        for taken in self.connections:
            taken.read_available()
        return b"".join(bytes(taken.received) for taken in self.connections)

    def close(self):
        self.listening.close()
        for taken in self.connections:
            taken.sock.close()


@dataclass
class ServerConnection:
    """A connection to the server."""

    sock: socket.socket
    received: bytearray = field(default_factory=bytearray)
    ended: bool = False

    def read_available(self):
        """Read what has come."""
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
        """Wait until it has come."""

        def came():
            self.read_available()
            return part in self.received

        await wait_until(came)

    def answer(self, code=200, *lines):
        """On its way within this call."""
        self.sock.send(http_response(code, b"", *lines))


class DelayedConnectLoop:
    """The loop as the pool uses it, with connections that come up when the test lets them."""

    def __init__(self, loop):
        self.loop = loop
        self.connect_allowed = asyncio.Event()
        self.before_use = lambda: None  # in the very turn in which a connection that came up is put to use

    def __getattr__(self, name):
        return getattr(self.loop, name)

    async def sock_connect(self, sock, address):
        await self.loop.sock_connect(sock, address)
        await self.connect_allowed.wait()
        self.before_use()
