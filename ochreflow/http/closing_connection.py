"""Closes a client's connection in a way that lets the client read its last responses.

The draining close: the own sending ends first, and the connection is closed when the client closes, or when
it has taken nothing more for a while. Closing at once with input unread would reset the connection, and the
machine of the client would throw away what its program has not read.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass

from ..core.ports import Pause
from .request_reader import READ_ENDED, ConnectionContext, ReadState, RequestReader
from .response_format import CLIENT_DISCONNECTED_RESPONSE
from .socket_progress import peer_disconnected, unacknowledged

DRAINING_CLOSE_TIMEOUT_S = 2.0  # in which a client may read nothing more of its last responses


@dataclass(slots=True)
class StreamedResponse:
    """A response that is forwarded to the client while it comes from the server."""

    chunked: bool
    keep_alive: bool
    pause: Pause  # tells its source to hold back


class ClosingConnection(RequestReader):
    """The closing part of a client's connection. It owns the timer of a draining close."""

    def __init__(self, context: ConnectionContext) -> None:
        """Open, with nothing written."""
        super().__init__(context)
        self.streamed: StreamedResponse | None = None
        self.end_delimits = False  # only its end delimits the response that was last begun
        self.write_paused = False  # the client leaves responses unread
        self.draining_timer: asyncio.TimerHandle | None = (
            None  # sending has ended, the client's close is awaited
        )
        self.unacknowledged_at_check = 0  # bytes, when the draining close was last checked

    @property
    def draining(self) -> bool:
        """Whether its sending has ended, and only its client's close is waited for."""
        return self.draining_timer is not None

    def close_if_disconnected(self) -> bool:
        """Close it if its client has left, as far as can be read at this instant; whether it has.

        The end may lie unread in the socket, behind other bytes or not: since the loop was busy, or since
        nothing is read at present. A client that has ended only its own sending is taken for one that has
        left: the protocol says that one that closes has gone away, and from here both look alike until
        something is written.
        """
        if self.closed or self.transport is None or self.transport.is_closing():
            return True
        if not peer_disconnected(self.transport):
            return False
        self._close_after_disconnect()
        return True

    def _close_after_disconnect(self) -> None:
        """Close after its client has ended its sending.

        Guards a request that may run against being sent again: by a client that only ended its sending and
        still reads, a close without a response is taken for one of a request that was not read.
        """
        if self.current is not None and self.streamed is None:
            self._write(CLIENT_DISCONNECTED_RESPONSE)
        self.close()

    def _close_gracefully(self) -> None:
        """Close once what was written has gone, in a way that lets the client read it."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.read_state is not READ_ENDED and self.discarding and self.message_begun:
            self._discard_queue()
            self.read_state = ReadState.CLOSING_AFTER_MESSAGE
        else:
            self._start_draining_close()

    def _start_draining_close(self) -> None:
        """End the own sending, and close when the client does.

        Guards the last responses against being lost: closing with input unread resets the connection. The
        rest of a message that had its response before its end is read and discarded, or its client might
        never come to read. Whatever else a client sends is left unread: it was never accepted, so the client
        can send it again.
        """
        if self.transport is None or self.transport.is_closing() or self.draining_timer is not None:
            return
        self._discard_queue()
        rest_comes = self.read_state is READ_ENDED or (self.discarding and self.message_begun)
        self.read_state = READ_ENDED
        if rest_comes:
            self.context.disconnect_monitor.remove(self.transport)
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
            self.context.disconnect_monitor.add(self.transport, self.close_if_disconnected)
        self.transport.write_eof()
        self._schedule_draining_check()
        self.clients.reclassify(self)

    def _schedule_draining_check(self) -> None:
        assert self.transport is not None
        self.unacknowledged_at_check = unacknowledged(self.transport)
        self.draining_timer = self.engine.loop.call_later(
            DRAINING_CLOSE_TIMEOUT_S, self._check_draining_close
        )

    def _check_draining_close(self) -> None:
        assert self.transport is not None
        # A slow client may go on reading. One that takes nothing of what waits to be written has a time of
        # its own, `ClientTimeouts.slow_reader_s`.
        if self.write_paused or 0 < unacknowledged(self.transport) < self.unacknowledged_at_check:
            self._schedule_draining_check()
        else:
            self.close()

    def _truncate(self) -> None:
        """Close after a part of a response, so that its client sees that it is truncated."""
        if self.end_delimits:
            self._reset()
        else:
            # Its framing tells. A reset would take away what went before it, and its own beginning: a client
            # that has read nothing of a response sends its request again.
            self._start_draining_close()

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing() and self.draining_timer is None:
            self.transport.write(data)

    def close(self) -> None:
        """Close at once: what its client's machine has not received of the responses may be lost."""
        if self.end_delimits and (self.streamed is not None or self.write_paused):
            self._reset()  # the end alone would look like that of a complete response
        elif self.transport is not None:
            self.transport.abort()

    def _reset(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()
