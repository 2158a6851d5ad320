"""A client connection: passes its requests to the core one at a time, and writes one response to each.

The connection consists of three classes, each derived from the one before: `RequestReader` reads and queues
requests, `ClosingConnection` closes the connection, and `ClientConnection` serves the queue.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import cast

from ..core.ports import FinalResponse, IncomingRequest, Pause, Reason
from .closing_connection import ClosingConnection, StreamedResponse
from .request_parser import HttpRequest, RequestError
from .request_reader import READ_ENDED, ConnectionContext, ReadinessCheck
from .response import OK, Response
from .response_format import (
    disposition_of,
    format_final_response,
    format_head,
    format_response,
)
from .socket_progress import StallTimer, unacknowledged, unread_bytes

MAX_ANSWERS_AT_ONCE = 64  # requests answered without waiting, before other connections are served


class ClientConnection(ClosingConnection):
    """Serves the requests of a client in their order. It is the response sink of the core."""

    def __init__(self, context: ConnectionContext) -> None:
        """Start without a transport, and with an empty queue."""
        super().__init__(context)
        self.serving_queue = False
        self.write_stall: StallTimer | None = None

    @property
    def idle(self) -> bool:
        """Whether no request is queued or served, and no response is still being written."""
        return (
            self.current is None
            and not self.queue
            and not self.write_paused
            and self.read_state is not READ_ENDED
        )

    @property
    def serving(self) -> bool:
        """Whether a response is pending, or written and not yet acknowledged by the client's host.

        Data that is read and not processed may be a request, so its response counts as pending.
        """
        return self.current is not None or bool(self.queue) or bool(self.unprocessed) or not self.delivered

    @property
    def delivered(self) -> bool:
        """Whether the client's host has received everything that was written.

        Until then a close may lose data: a close that crosses bytes from the client resets the connection,
        and the kernel discards what it has not sent yet.
        """
        if self.closed or self.transport is None or not self.has_sent_request:
            return True
        return unacknowledged(self.transport) == 0

    @property
    def no_message_begun(self) -> bool:
        """Whether no message has begun to arrive, not even in the socket's receive buffer."""
        if not self.idle or self.message_begun or self.unprocessed or self.closed or self.transport is None:
            return False
        return unread_bytes(self.transport) == 0

    @property
    def closable(self) -> bool:
        """Whether closing loses nothing: no message has begun, and the client has all responses."""
        return self.no_message_begun and self.delivered

    @property
    def host(self) -> str:
        """The address of the connection's client; empty if unknown."""
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        return str(peer[0]) if isinstance(peer, tuple) else ""

    # Called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the client connections."""
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)
        self.clients.add(self)

    def eof_received(self) -> None:
        """Close, since the client has shut down its sending."""
        self._close_after_disconnect()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Release the resources of the connection, and notify the core that its client has disconnected."""
        self.closed = True
        self.stop_waiting()
        if self.write_stall is not None:
            self.write_stall.stop()
        if self.draining_timer is not None:
            self.draining_timer.cancel()
        self.engine.memory.release(self.reserved_bytes)
        self.reserved_bytes = 0
        self._release_written()
        request, self.current = self.current, None
        for body in (
            self.body,
            *(item.body for item in (request, *self.queue) if isinstance(item, HttpRequest)),
        ):
            if body is not None:
                body.discard()
        self.queue.clear()
        self.uploading = self.streamed = self.body = None
        # Parser and connection refer to each other. Without this, each closed connection would stay in memory
        # until the cyclic garbage collector runs, which is seldom.
        if hasattr(self, "parser"):  # otherwise its message was rejected
            del self.parser
        self.clients.remove(self)
        if self.transport is not None:
            self.context.disconnect_monitor.remove(self.transport)
        if request is not None:
            self.engine.requests.client_disconnected(request)
        self.engine.lifecycle.client_disconnected()

    def pause_writing(self) -> None:
        """Pause the streamed response: the client reads more slowly than it arrives."""
        # Clients that send requests and do not read the responses must not use up the memory.
        self.write_paused = True
        if self.write_stall is None and self.transport is not None:
            pending_bytes = partial(unacknowledged, self.transport)
            self.write_stall = StallTimer(
                self.engine.loop, pending_bytes, self.clients.timeouts.slow_reader_s, self.close
            )
        if self.streamed is not None:
            self.streamed.pause(paused=True)

    def resume_writing(self) -> None:
        """Resume serving: the client has received everything that was written."""
        self.write_paused = False
        self._release_written()
        if self.write_stall is not None:
            self.write_stall.stop()
            self.write_stall = None
        if self.streamed is not None:
            self.streamed.pause(paused=False)
        self._serve_queue()
        self.clients.reclassify(self)
        if self.engine.lifecycle.closing_idle_connections and self.closable:
            self.close()

    def expire(self) -> None:
        """End the connection, whose next message is late; requests queued before it are answered first."""
        if self.message_begun:
            self._reject(408, "the request took too long to come")
            self._serve_queue()
        elif self.closable:
            self.close()
        elif self.no_message_begun:
            self._close_gracefully()  # its client may still be receiving a response

    # Requests and responses

    def _serve_queue(self) -> None:
        """Serve the queue, one request at a time."""
        if self.serving_queue:
            return
        self.serving_queue = True
        answered = 0
        try:
            while self.queue and self.current is None and not self.write_paused and not self.closed:
                if isinstance(self.queue[0], HttpRequest) and self.close_if_disconnected():
                    break  # the end of the stream was unread, behind the data that has just been read
                item = self.queue.popleft()
                if isinstance(item, HttpRequest):
                    self.current = item
                    self.engine.requests.accept(self.context.frontend_binding, self, item)
                else:
                    self._answer(item)
                answered += self.current is None  # otherwise it is answered later
                if answered >= MAX_ANSWERS_AT_ONCE and self.queue and not self.waits_to_read:
                    self.let_others_run()
                    break
        finally:
            self.serving_queue = False
        self._update_reading()

    def _answer(self, item: ReadinessCheck | RequestError) -> None:
        """Answer a request that no server gets."""
        self._release(item.reserved_bytes)
        if isinstance(item, ReadinessCheck):
            ok = self.engine.lifecycle.ready
            text = b"ready\n" if ok else b"not ready\n"
            self._respond(200 if ok else 503, b"", text, keep_alive=item.keep_alive)
            return
        if item.class_index is not None:
            self.engine.requests.record_rejection(
                self.context.frontend_binding, item.class_index, disposition_of(item.code)
            )
        keep_alive = item.keep_alive and self.read_state is not READ_ENDED
        self._respond(item.code, b"", f"{item}\n".encode(), keep_alive=keep_alive)

    def _respond(self, code: int, headers: bytes, body: bytes, *, keep_alive: bool) -> None:
        keep_alive = self._keeps_alive(keep_alive=keep_alive)
        if not self.queue:
            self.arrival.responded()
        self._write(format_response(code, headers, body, keep_alive=keep_alive))
        if not keep_alive:
            self._close_gracefully()

    def _keeps_alive(self, *, keep_alive: bool) -> bool:
        return keep_alive and not (self.engine.lifecycle.responses_announce_close and not self.queue)

    def _release_request(self, request: HttpRequest) -> None:
        """Release the memory of a request; the rest of its body is read and discarded."""
        self._release(request.reserved_bytes)
        request.body.discard()
        if request is self.uploading:
            self.uploading = None
            self.discarding = True

    # Called by the core, see `ResponseSink`

    def is_disconnected(self, request: IncomingRequest) -> bool:
        """Return whether the client has disconnected, the only way to cancel a request in HTTP/1.1."""
        return self.current is not request or self.close_if_disconnected()

    def respond(self, request: IncomingRequest, response: FinalResponse) -> None:
        """Write the final response to the current request."""
        current = self.current
        if current is not request or current is None:
            return
        self.current = None
        self._release_request(current)
        keep_alive = current.keep_alive and response.reason is not Reason.DRAINING
        self._respond(*format_final_response(response), keep_alive=keep_alive)
        self._serve_queue()
        self.clients.reclassify(self)

    def begin(self, request: IncomingRequest, head: object, length: int | None, pause: Pause) -> None:
        """Write the head of a server's response that is streamed to the client."""
        current = self.current
        if current is not request or current is None:
            return
        assert isinstance(head, Response)
        headers = head.header_lines
        chunked = length is None and not current.is_http_1_0
        self.end_delimits = length is None and not chunked
        keep_alive = self._keeps_alive(keep_alive=current.keep_alive) and not self.end_delimits
        self.streamed = StreamedResponse(chunked, keep_alive, pause)
        if chunked:
            headers += b"Transfer-Encoding: chunked\r\n"
        elif length is not None:
            headers += b"Content-Length: %d\r\n" % length
        self._write(format_head(OK, headers, keep_alive=keep_alive))

    def part(self, request: IncomingRequest, data: bytes) -> None:
        """Write the next part of the streamed response."""
        if self.current is request and self.streamed is not None:
            self._write(b"%x\r\n%s\r\n" % (len(data), data) if self.streamed.chunked else data)

    def end(self, request: IncomingRequest, *, complete: bool) -> None:
        """End the streamed response; if it is not complete, the client must see that."""
        current, streamed = self.current, self.streamed
        if current is not request or current is None or streamed is None:
            return
        self.current = self.streamed = None
        self._release_request(current)
        if not complete:
            self._truncate()
            return
        if not self.queue:
            self.arrival.responded()
        if streamed.chunked:
            self._write(b"0\r\n\r\n")
        if not streamed.keep_alive:
            self._close_gracefully()
        self._serve_queue()
        self.clients.reclassify(self)
