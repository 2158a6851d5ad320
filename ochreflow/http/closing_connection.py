"""Closes a client connection in a way that lets the client read its last responses.

A draining close shuts down sending first, and closes the connection when the client closes, or when the
client has received nothing more for a while. Closing at once with input unread would reset the connection,
and the client's host would discard what the client has not read.
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

DRAINING_CLOSE_TIMEOUT_S = 2.0  # time for which a client may receive nothing more of its last responses


@dataclass(slots=True)
class StreamedResponse:
    """A response that is forwarded to the client while it arrives from the server."""

    chunked: bool
    keep_alive: bool
    pause: Pause  # pauses and resumes reading from the server


class ClosingConnection(RequestReader):
    """The closing part of a client connection. Owns the timer of a draining close."""

    def __init__(self, context: ConnectionContext) -> None:
        """Start open, with nothing written."""
        super().__init__(context)
        self.streamed: StreamedResponse | None = None
        self.end_delimits = False  # whether only the end of the connection delimits the latest response
        self.write_paused = False  # whether the client leaves responses unread
        self.unread_bytes = 0  # written bytes that the transport may hold
        self.draining_timer: asyncio.TimerHandle | None = None  # runs while a draining close is in progress
        self.unacknowledged_at_check = 0  # bytes unacknowledged when the draining close was last checked

    @property
    def draining(self) -> bool:
        """Whether sending has been shut down, and the connection waits for its client to close."""
        return self.draining_timer is not None

    def close_if_disconnected(self) -> bool:
        """Close the connection if its client has disconnected; return whether it has.

        The end of the stream may be unread in the socket, behind other bytes or not, because the loop was
        busy or because reading is paused. A client that has only shut down its sending counts as
        disconnected: the protocol says that a client that closes has gone away, and both look alike from here
        until something is written.
        """
        if self.closed or self.transport is None or self.transport.is_closing():
            return True
        if not peer_disconnected(self.transport):
            return False
        self._close_after_disconnect()
        return True

    def _close_after_disconnect(self) -> None:
        """Close after the client has shut down its sending.

        The response keeps a client that still reads from sending a request again that may run: the client
        would take a close without a response as proof that the request was not read.
        """
        if self.current is not None and self.streamed is None:
            self._write(CLIENT_DISCONNECTED_RESPONSE)
        self.close()

    def _close_gracefully(self) -> None:
        """Close once everything written has been sent, so that the client can read it."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.read_state is not READ_ENDED and self.discarding and self.message_begun:
            self._discard_queue()
            self.read_state = ReadState.CLOSING_AFTER_MESSAGE
        else:
            self._start_draining_close()

    def _start_draining_close(self) -> None:
        """Shut down sending, and close when the client does.

        This protects the last responses: closing with input unread resets the connection. The rest of a
        message that was answered before its end is read and discarded, since its client might otherwise never
        start to read. Anything else that a client sends is left unread: it was never accepted, so the client
        can send it again.
        """
        if self.transport is None or self.transport.is_closing() or self.draining_timer is not None:
            return
        self._discard_queue()
        rest_expected = self.read_state is READ_ENDED or (self.discarding and self.message_begun)
        self.read_state = READ_ENDED
        self.enable_reading(enabled=rest_expected)
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
        # A slow client may go on reading. A client that receives none of the bytes still to be written has a
        # time limit of its own, `ClientTimeouts.slow_reader_s`.
        if self.write_paused or 0 < unacknowledged(self.transport) < self.unacknowledged_at_check:
            self._schedule_draining_check()
        else:
            self.close()

    def _truncate(self) -> None:
        """Close after part of a response, so that the client sees that it is truncated."""
        if self.end_delimits:
            self._reset()
        else:
            # The framing shows the truncation. A reset would also discard earlier responses and the beginning
            # of this one, and a client that has read nothing of a response sends its request again.
            self._start_draining_close()

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing() and self.draining_timer is None:
            self.transport.write(data)
            if self.write_paused:
                self.unread_bytes += len(data)
                self.engine.memory.charge(len(data))

    def _release_written(self) -> None:
        """Release the memory of written data, which the transport no longer holds."""
        self.engine.memory.release(self.unread_bytes)
        self.unread_bytes = 0

    def close(self) -> None:
        """Close at once: responses that the client's host has not received may be lost."""
        if self.end_delimits and (self.streamed is not None or self.write_paused):
            self._reset()  # an orderly close would look like the end of a complete response
        elif self.transport is not None:
            self.transport.abort()

    def _reset(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()
