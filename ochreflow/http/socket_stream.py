"""A connected socket that knows exactly which bytes the system has taken, and that closes at once.

An event loop's transport offers neither. It hands what it has buffered to the system by itself, and reports
that later, by a callback. Its `abort` only schedules the close, and until the loop's next turn it goes on
sending: a request that was given up half-written could still become whole at its server.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Protocol

from .socket_progress import queued_by_system

READ_SIZE_BYTES = 64 * 1024  # bytes taken from the system at a time
MAX_READS_PER_CALLBACK = 16  # after which other connections get their turn


class StreamOwner(Protocol):
    """Whoever is told of what comes in on a stream, and of its state. Called with the stream open."""

    def data_received(self, data: bytes) -> None:
        """Take bytes that have come."""
        ...

    def eof_received(self) -> None:
        """The peer has ended its sending."""
        ...

    def connection_broken(self) -> None:
        """Nothing can be sent or received any more."""
        ...

    def pause_writing(self) -> None:
        """Some of what was written waits for the system."""
        ...

    def resume_writing(self) -> None:
        """The system has taken all that was written."""
        ...


class SocketStream:
    """Reads from and writes to a non-blocking socket, which it owns.

    Bytes leave only in `begin`, in `write` and when the loop reports that the socket has room, never after
    `close`. So at any time `unsent` is exactly what the peer can't have got and never will once it is closed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, owner: StreamOwner) -> None:
        """Own a connected, non-blocking socket; nothing is read until `resume_reading`."""
        self.loop = loop
        self.sock = sock
        self.owner: StreamOwner | None = owner  # None: closed, so that the two don't refer to each other
        self.unsent = bytearray()  # written, and not taken by the system
        self.closed = False
        self.failed = False  # a write has failed: the owner is about to hear of it
        self.reading = False
        self.waiting_for_writable = False

    # Reading

    def resume_reading(self) -> None:
        """Tell the owner of what comes in, from now on."""
        if self.closed or self.reading:
            return
        self.reading = True
        self.loop.add_reader(self.sock, self._on_readable)

    def pause_reading(self) -> None:
        """Leave what comes in to the system."""
        if self.reading:
            self.reading = False
            self.loop.remove_reader(self.sock)

    def _on_readable(self) -> None:
        # Read until nothing is left: the loop may report an error together with data, and only once.
        for _ in range(MAX_READS_PER_CALLBACK):
            if not self.reading:
                return
            if not self._read_once():
                return
        self.loop.call_soon(self._on_readable)

    def _read_once(self) -> bool:
        """Whether there may be more to read."""
        owner = self.owner
        assert owner is not None  # nothing is read once closed
        try:
            data = self.sock.recv(READ_SIZE_BYTES)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            owner.connection_broken()
            return False
        if not data and self.failed:
            owner.connection_broken()  # the failed write took the error: this is no orderly end
            return False
        if not data:
            self.pause_reading()  # the end would be reported again in each turn
            owner.eof_received()
            return False
        try:
            owner.data_received(data)
        except Exception:
            owner.connection_broken()  # its state is unknown now
            raise
        return True

    def is_idle(self) -> bool:
        """Whether the peer has neither sent anything nor ended the connection, as far as can be read now."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    # Writing

    def begin(self, message: bytes) -> bool:
        """Write the beginning of a message; False if the connection was found dead, with none of it sent.

        What the system has no room for is `unsent`, and the owner is told only when it no longer is.
        """
        try:
            sent = self.sock.send(message)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            return False
        self._queue_unsent(message[sent:])
        return True

    def write(self, data: bytes) -> None:
        """Continue a message. What the system has no room for is `unsent` until it has."""
        sent = 0
        if not self.unsent and not self.closed and not self.failed:
            try:
                sent = self.sock.send(data)
            except (BlockingIOError, InterruptedError):
                pass
            except OSError:
                self._fail()
        self._queue_unsent(data[sent:])
        if self.unsent and self.owner is not None:
            self.owner.pause_writing()

    def _queue_unsent(self, rest: bytes) -> None:
        self.unsent += rest
        if self.unsent and not self.closed and not self.failed and not self.waiting_for_writable:
            self.waiting_for_writable = True
            self.loop.add_writer(self.sock, self._on_writable)

    def _on_writable(self) -> None:
        owner = self.owner
        assert owner is not None  # nothing is written once closed
        try:
            sent = self.sock.send(self.unsent)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            owner.connection_broken()
            return
        del self.unsent[:sent]
        if not self.unsent:
            self._stop_waiting_for_writable()
            owner.resume_writing()

    def _stop_waiting_for_writable(self) -> None:
        if self.waiting_for_writable:
            self.waiting_for_writable = False
            self.loop.remove_writer(self.sock)

    def _fail(self) -> None:
        """Tell the owner in a turn of its own: it is in the middle of a write."""
        self.failed = True
        self.loop.call_soon(self._report_failure)

    def _report_failure(self) -> None:
        if self.owner is not None:
            self.owner.connection_broken()

    def unacknowledged(self) -> int:
        """Bytes that the peer's machine has not acknowledged, `unsent` or held by the system."""
        kept = queued_by_system(self.sock.fileno()) if not self.closed else 0
        return len(self.unsent) + kept

    # The end

    def discard_on_close(self) -> None:
        """Have the system throw away what it still holds when this is closed, in place of sending it on."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def close(self) -> None:
        """Close at once: no byte is read or sent after this call."""
        if self.closed:
            return
        self.closed = True
        self.owner = None
        self.pause_reading()
        self._stop_waiting_for_writable()
        self.sock.close()
