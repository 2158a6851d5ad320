"""Clients that leave at a named instant, and a server that notes every byte: all on sockets without a loop.

What a test does between two awaits is one turn of the loop: the sidecar finds all of it at once.
"""

import asyncio
import select
import socket
import struct
import time
from dataclasses import dataclass, field

from net_helpers import HOST, reply, until

HOW = ["close", "reset", "half-close"]
RULE = 0.1  # seconds after which, by the protocol, no attempt may begin any more
BLOCKED = 1.5 * RULE  # seconds in which the loop does not turn: what it then begins would break the rule


def connect(port):
    """A client, connected as far as the system goes: nobody need have accepted it."""
    return socket.create_connection((HOST, port))


def leave(sock, how):
    if how == "half-close":
        sock.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def front_of(sidecar, sock):
    """The sidecar's end of a client's connection."""
    port = sock.getsockname()[1]
    (front,) = (
        front
        for front in sidecar.http.clients.connections
        if front.transport.get_extra_info("peername")[1] == port
    )
    return front


def end_can_be_read(front):
    """Block until the end of its client is there to be read."""
    poll = select.poll()
    poll.register(front.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    assert poll.poll(20_000), "the end has come"


def leave_unseen(sidecar, sock, how):
    """Leave, and block the loop until the end could have been read for longer than the rule allows."""
    front = front_of(sidecar, sock)
    leave(sock, how)
    end_can_be_read(front)
    time.sleep(BLOCKED)


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
        self.connections.append(Taken(sock))
        return self.connections[-1]

    def take_all(self):
        """All that has been written to it, on any connection, in bytes."""
        while True:
            try:
                sock, _ = self.listening.accept()
            except BlockingIOError:
                break
            sock.setblocking(False)
            self.connections.append(Taken(sock))
        for taken in self.connections:
            taken.take()
        return b"".join(bytes(taken.got) for taken in self.connections)

    def close(self):
        self.listening.close()
        for taken in self.connections:
            taken.sock.close()


@dataclass
class Taken:
    """A connection to the server."""

    sock: socket.socket
    got: bytearray = field(default_factory=bytearray)
    ended: bool = False

    def take(self):
        """Read what has come."""
        while not self.ended:
            try:
                data = self.sock.recv(1 << 16)
            except BlockingIOError:
                return
            except ConnectionResetError:
                data = b""
            self.got += data
            self.ended = not data

    async def has(self, part):
        """Wait until it has come."""

        def came():
            self.take()
            return part in self.got

        await until(came)

    def answer(self, code=200, *lines):
        """On its way within this call."""
        self.sock.send(reply(code, b"", *lines))


class HeldLoop:
    """The loop as the pool uses it, with connections that come up when the test lets them."""

    def __init__(self, loop):
        self.loop = loop
        self.go = asyncio.Event()
        self.before_use = lambda: None  # in the very turn in which a connection that came up is put to use

    def __getattr__(self, name):
        return getattr(self.loop, name)

    async def sock_connect(self, sock, address):
        await self.loop.sock_connect(sock, address)
        await self.go.wait()
        self.before_use()
