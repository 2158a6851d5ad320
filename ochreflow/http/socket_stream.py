"""A connected socket that knows exactly which bytes the kernel has accepted, and that closes immediately.

A transport of the event loop offers neither. The transport sends buffered bytes on its own, and reports that
later, by a callback. Its `abort` only schedules the close, and sending goes on until the loop's next
iteration: a half-written request that was given up could still be completed at its server.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Protocol

from ..core.limits import Memory
from .read_scheduler import ReadPace, ReadScheduler
from .socket_progress import queued_by_system


class StreamOwner(Protocol):
    """Receives the data and the state changes of a stream while the stream is open."""

    def data_received(self, data: bytes) -> None:
        """Handle received data."""
        ...

    def eof_received(self) -> None:
        """Handle the end of the stream: the peer has shut down sending."""
        ...

    def connection_broken(self) -> None:
        """Handle an error of the socket: nothing can be sent or received any more."""
        ...

    def pause_writing(self) -> None:
        """Pause writing: the kernel has not accepted all written bytes."""
        ...

    def resume_writing(self) -> None:
        """Resume writing: the kernel has accepted all written bytes."""
        ...


class SocketStream:
    """Reads from and writes to a non-blocking socket, which it owns.

    Bytes are sent only in `begin`, in `write` and when the loop reports that the socket is writable, never
    after `close`. So the peer cannot have received the bytes in `unsent`, and never will after `close`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        owner: StreamOwner,
        read_scheduler: ReadScheduler | None = None,
        memory: Memory | None = None,
    ) -> None:
        """Take ownership of a connected, non-blocking socket; reading starts with `resume_reading`.

        Without a `read_scheduler`, the stream has its own. Bytes that wait to be sent count in `memory`.
        """
        self.loop = loop
        self.read_scheduler = read_scheduler or ReadScheduler(loop)
        self.read_pace = ReadPace()
        self.memory = memory
        self.sock = sock
        self.owner: StreamOwner | None = owner  # None after `close`, to break the reference cycle
        self.unsent = bytearray()  # written by the owner, but not accepted by the kernel yet
        self.closed = False
        self.failed = False  # a write has failed; `connection_broken` is scheduled
        self.reading = False
        self.waits_to_read = False  # whether the scheduler resumes reading
        self.waiting_for_writable = False

    # Reading

    def resume_reading(self) -> None:
        """Start or resume passing received data to the owner."""
        if self.closed or self.reading:
            return
        self.reading = True
        if not self.waits_to_read:
            self.loop.add_reader(self.sock, self._on_readable)

    def pause_reading(self) -> None:
        """Stop reading; received data stays in the kernel's receive buffer."""
        if self.reading:
            self.reading = False
            self.loop.remove_reader(self.sock)

    def continue_reading(self) -> None:
        """Read on, since the scheduler allows it."""
        self.waits_to_read = False
        if self.reading:
            self.loop.add_reader(self.sock, self._on_readable)
            self._on_readable()

    def _wait_to_read(self) -> None:
        self.waits_to_read = True
        self.loop.remove_reader(self.sock)

    def _on_readable(self) -> None:
        # Read until nothing is left: the loop may report an error together with data, and only once.
        while self.reading and not self.waits_to_read:
            if not self.read_scheduler.begin_read(self.read_pace):
                self.read_scheduler.delay(self, self.read_pace)
                self._wait_to_read()
                return
            size = self._read_once()
            if not size:
                return
            if not self.closed and not self.read_scheduler.end_read(self.read_pace, size):
                self.read_scheduler.preempt(self)
                self._wait_to_read()

    def _read_once(self) -> int:
        """Read once; return the number of bytes, 0 if nothing is left."""
        owner = self.owner
        assert owner is not None  # nothing is read once closed
        try:
            data = self.sock.recv(self.read_pace.allowed_bytes)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            owner.connection_broken()
            return 0
        if not data and self.failed:
            owner.connection_broken()  # the failed write consumed the error, so this is no orderly end
            return 0
        if not data:
            self.pause_reading()  # otherwise the loop would report the end again in each iteration
            owner.eof_received()
            return 0
        try:
            owner.data_received(data)
        except Exception:
            owner.connection_broken()  # the state of the owner is unknown now
            raise
        return len(data)

    def is_idle(self) -> bool:
        """Return whether there is neither unread data nor an end of the connection."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    # Writing

    def begin(self, message: bytes) -> bool:
        """Write the beginning of a message; return False if the connection is dead and nothing was sent.

        Bytes that the kernel does not accept stay in `unsent`. The owner's `pause_writing` is not called for
        them, only `resume_writing`.
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
        """Continue a message; bytes that the kernel does not accept yet stay in `unsent`."""
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
        if self.memory is not None:
            self.memory.charge(len(rest))
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
        if self.memory is not None:
            self.memory.release(sent)
        if not self.unsent:
            self._stop_waiting_for_writable()
            owner.resume_writing()

    def _stop_waiting_for_writable(self) -> None:
        if self.waiting_for_writable:
            self.waiting_for_writable = False
            self.loop.remove_writer(self.sock)

    def _fail(self) -> None:
        """Report the failure in the next iteration of the loop, since the owner is still writing."""
        self.failed = True
        self.loop.call_soon(self._report_failure)

    def _report_failure(self) -> None:
        if self.owner is not None:
            self.owner.connection_broken()

    def unacknowledged(self) -> int:
        """Return the bytes that the peer's host has not acknowledged, `unsent` or in the send buffer."""
        queued = queued_by_system(self.sock.fileno()) if not self.closed else 0
        return len(self.unsent) + queued

    # Closing

    def discard_on_close(self) -> None:
        """Make the kernel discard its send buffer when this stream is closed, instead of sending it."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def close(self) -> None:
        """Close at once: no byte is read or sent after this call."""
        if self.closed:
            return
        self.closed = True
        self.owner = None
        self.pause_reading()
        self.read_scheduler.remove(self)
        self._stop_waiting_for_writable()
        if self.memory is not None:
            self.memory.release(len(self.unsent))
            self.memory = None
        self.sock.close()
