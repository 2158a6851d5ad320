"""Handles one attempt on a server's connection: reads it, ends it as planned and records it."""

from __future__ import annotations

import asyncio
import socket

from ..socket_reset import reset
from .answers import GARBAGE, RESPONSES, TRUNCATED_RESPONSES, response_bytes
from .attempt_reader import MAX_READ_BYTES, SMALL_READ_BYTES, AttemptReader
from .events import AttemptEnded, AttemptRejected, CopyReceived, ServerAction
from .plan import ClientRequest
from .run_context import RunContext
from .treatment import Ending, Treatment

BUFFER_MOVE_DELAY_S = 0.002  # time in which the system transfers what the peer has buffered
EMPTY_READS = 3  # consecutive reads without data after which the buffers count as empty
MAX_SECOND_RESPONSE_DELAY_S = 0.03  # no later second response: the protocol gives sockets 50 ms


class Exchange:
    """One attempt at its server, from its first byte to its ending."""

    def __init__(
        self, server_number: int, context: RunContext, sock: socket.socket, last_empty_at: float
    ) -> None:
        """Read the attempt from `sock`, on which none of its bytes had arrived at `last_empty_at`."""
        self.server_number = server_number
        self.context = context
        self.recorder = context.recorder
        self.sock = sock
        self.reader = AttemptReader(sock, context.recorder.now, last_empty_at)
        self.request_id = ""
        self.attempt = 0
        self.copy_recorded = False
        self.ended = False

    async def run(self) -> bool:
        """Handle the attempt; return False if the connection cannot be reused."""
        while not self.reader.head_complete:
            if not await self.reader.read(SMALL_READ_BYTES):
                return False
        self.request_id = self.reader.request_id
        request = self.context.requests.get(self.request_id)
        if request is None:
            return await self._serve_unjudged()
        self.attempt = self.context.attempts.next_number(self.request_id)
        self._record_action("head read")
        self._record_copy()
        try:
            return await self._treat(request, self.context.plan.treatment(request, self.attempt))
        finally:
            self._record_end()

    async def _serve_unjudged(self) -> bool:
        """Serve a request of a burst, which is not judged."""
        while not self.reader.complete:
            if not await self.reader.read():
                return False
        await self._send(RESPONSES[Ending.SERVE])
        return True

    async def _treat(self, request: ClientRequest, treatment: Treatment) -> bool:
        if not await self._read_before_ending(request, treatment):
            return False
        if treatment.group_offset is not None:
            self._record_action("moves to another group")
            self.context.move(self.server_number, treatment.group_offset)
        if not await self._wait(treatment.delay):
            return False
        if treatment.freeze_for is None:
            connected = await self._end_attempt(treatment)
        else:
            async with self.context.freeze(request.sidecar):
                connected = await self._end_attempt(treatment)
                await asyncio.sleep(treatment.freeze_for)
        return connected and await self._read_rest(treatment)

    async def _read_before_ending(self, request: ClientRequest, treatment: Treatment) -> bool:
        if not treatment.early:
            return await self._read_all()
        body_bytes = int(request.size * treatment.read_share)
        while not self.reader.complete and self.reader.body_bytes < body_bytes:
            if not await self._read(SMALL_READ_BYTES):
                return False
        return True

    async def _wait(self, seconds: float) -> bool:
        """Wait; return False if the connection is closed meanwhile, which only complete attempts notice."""
        if not self.reader.complete:
            await asyncio.sleep(seconds)
            return True
        try:
            async with asyncio.timeout(seconds):
                return await self._read()
        except TimeoutError:
            return True

    # The ending

    async def _end_attempt(self, treatment: Treatment) -> bool:
        """End the attempt as planned; return False if that closes the connection."""
        if treatment.drain_first:
            await self._empty_buffers()
        self._record_ending(treatment)
        match treatment.ending:
            case Ending.RESET:
                reset(self.sock)
                return False
            case Ending.GARBAGE:
                await self._send(GARBAGE)
            case Ending.TRUNCATED_HEAD | Ending.HALF_CLOSE:
                if data := TRUNCATED_RESPONSES[treatment.ending]:
                    await self._send(data)
                self.sock.shutdown(socket.SHUT_WR)
            case Ending.SILENT:
                pass
            case _:
                await self._respond(treatment.ending)
        return True

    async def _respond(self, ending: Ending) -> None:
        if ending is Ending.REJECT:
            self.recorder.add(self.request_id, AttemptRejected(self.recorder.now(), self.attempt))
        self._record_end()
        response_size = self.context.requests[self.request_id].response_size
        if ending is Ending.SERVE and response_size:
            await self._send(response_bytes(200, body=b"x" * response_size))
        else:
            await self._send(RESPONSES[ending])

    async def _read_rest(self, treatment: Treatment) -> bool:
        """Read what still arrives; return True if another request may follow."""
        ending = treatment.ending
        if treatment.second_response_after is not None and ending in RESPONSES:
            await self._send_second_response(
                treatment.second_response_after, treatment.second_ending or ending
            )
        if not self.reader.complete:
            await asyncio.sleep(treatment.resume_reading_after)
            if not await self._read_all():
                return False
        if ending in RESPONSES:
            return True
        while await self._read():
            pass
        return False

    async def _send_second_response(self, delay: float, ending: Ending) -> None:
        responded_at = self.recorder.now()
        await asyncio.sleep(delay)
        if self.recorder.now() - responded_at > MAX_SECOND_RESPONSE_DELAY_S:
            return
        self._record_action(f"a second answer: {ending.value}")
        await self._send(RESPONSES[ending])

    # The connection

    async def _send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def _read(self, max_bytes: int = MAX_READ_BYTES) -> bool:
        """Read the next bytes; return False once the connection has been closed."""
        more = await self.reader.read(max_bytes)
        self._record_copy()
        if not more:
            self._record_action("its connection ended")
        return more

    async def _read_all(self) -> bool:
        """Read until the request is complete; return False if the connection is closed before."""
        while not self.reader.complete:
            if not await self._read():
                return False
        return True

    async def _empty_buffers(self) -> None:
        """Read everything that is buffered in the system, on both sides of the connection."""
        empty_reads = 0
        while empty_reads < EMPTY_READS and not self.reader.complete:
            if self.reader.read_buffered():
                empty_reads = 0
            else:
                empty_reads += 1
                await asyncio.sleep(BUFFER_MOVE_DELAY_S)
            self._record_copy()

    # Recording

    def _record_copy(self) -> None:
        """Record the copy, once, when it is complete."""
        reader = self.reader
        if not reader.complete or self.copy_recorded:
            return
        self.copy_recorded = True
        copy = CopyReceived(
            self.recorder.now(),
            self.attempt,
            self.server_number,
            reader.began_at,
            reader.last_empty_at,
            reader.body_bytes,
        )
        self.recorder.add(self.request_id, copy)

    def _record_ending(self, treatment: Treatment) -> None:
        when = "whole" if self.reader.complete else f"{self.reader.body_bytes} bytes of the body read"
        frozen = ", its sidecar frozen" if treatment.freeze_for is not None else ""
        self._record_action(f"{treatment.ending.value} ({when}{frozen})")

    def _record_action(self, text: str) -> None:
        if self.request_id:
            action = ServerAction(self.recorder.now(), self.attempt, self.server_number, text)
            self.recorder.add(self.request_id, action)

    def _record_end(self) -> None:
        if not self.ended:
            self.ended = True
            self.recorder.add(self.request_id, AttemptEnded(self.recorder.now(), self.attempt))
