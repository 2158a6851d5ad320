"""Open-loop clients: each request is sent when it is due, regardless of the outcome of earlier ones.

Latency is measured from the time at which a request was due, so that a stall is not hidden (coordinated
omission). The clients' own send delay is recorded too: a run in which they fell behind is no measurement of
the sidecar.
"""

from __future__ import annotations

import asyncio
from time import time_ns

import httptools

from .arrivals import ArrivalSchedule, ClientLoad, Idempotency, ScheduledRequest
from .client_connection import ClientConnection
from .event_log import ClientOutcome, EventKind, EventLog

OUTCOME_OF_STATUS = {200: ClientOutcome.SERVED, 429: ClientOutcome.REJECTED, 503: ClientOutcome.REJECTED}
RESPONSE_GRACE_S = 0.25  # wait beyond the deadline, to distinguish late responses from missing ones
SLOW_CLIENT_PIECES = 4  # pieces into which a slow client splits a request
SLOW_CLIENT_DELAY_S = 0.03  # delay between the pieces, and before a slow client reads the response
MIN_REMAINING_S = 0.02  # time before the deadline; with less left, no further attempt is sent
US_PER_S = 1_000_000
MS_PER_S = 1000


class LoadGenerator:
    """Sends requests to one sidecar and records the responses."""

    def __init__(self, address: tuple[str, int], load: ClientLoad, seed: int, event_log: EventLog) -> None:
        """Prepare a schedule of requests drawn from `seed`; see `ArrivalSchedule`."""
        self.address = address
        self.load = load
        self.schedule = ArrivalSchedule(load, seed)
        self.event_log = event_log
        self.idle: list[ClientConnection] = []
        self.outcomes = dict.fromkeys(
            (
                ClientOutcome.SERVED,
                ClientOutcome.REJECTED,
                ClientOutcome.FAILED,
                ClientOutcome.UNANSWERED,
                ClientOutcome.ABANDONED,
            ),
            0,
        )
        self.sent = 0  # number of attempts sent
        self.max_send_delay_s = 0.0  # longest delay from a request's due time to its sending
        self.pending: set[asyncio.Task[None]] = set()

    async def run(self, duration_s: float) -> None:
        """Send requests for `duration_s`, then wait for the pending ones."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        for request in self.schedule:
            if request.due_s >= duration_s:
                break
            if (wait_s := start + request.due_s - loop.time()) > 0:
                await asyncio.sleep(wait_s)
            self.max_send_delay_s = max(self.max_send_delay_s, loop.time() - start - request.due_s)
            task = loop.create_task(self._send_until_served(request, start + request.due_s))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
        if self.pending:
            await asyncio.wait(self.pending)
        for connection in self.idle:
            connection.close()

    async def _send_until_served(self, request: ScheduledRequest, due: float) -> None:
        """Send a logical request; after each rejection send another attempt while time remains."""
        loop = asyncio.get_running_loop()
        deadline_s = request.request_class.deadline_s
        for number in range(self.load.profile.max_attempts):
            remaining_s = deadline_s - (loop.time() - due)
            if number and remaining_s < MIN_REMAINING_S:
                return
            retry_after_s = await self._attempt(request, due, number, remaining_s if number else deadline_s)
            if retry_after_s is None:
                return
            await asyncio.sleep(retry_after_s)

    async def _attempt(
        self, request: ScheduledRequest, due: float, number: int, timeout_s: float
    ) -> float | None:
        """Send one attempt; return the seconds to wait before the next one, None if there is none."""
        loop = asyncio.get_running_loop()
        class_name = request.request_class.name
        request_id = attempt_id(request, number)
        self.sent += 1
        sent_ns = time_ns()
        slack_s = SLOW_CLIENT_PIECES * SLOW_CLIENT_DELAY_S if request.slow else 0.0  # caused by the client
        fields = {"deadline": timeout_s, "slack": slack_s, "first": request.request_id}
        self.event_log.record(EventKind.REQUEST_SENT, id=request_id, cls=class_name, **fields)
        retry_after_s, max_wait_s = 0.0, timeout_s + slack_s + RESPONSE_GRACE_S
        abandon_after_s = request.abandon_after_s
        try:
            async with asyncio.timeout(min(abandon_after_s, max_wait_s) if abandon_after_s else max_wait_s):
                status, body, retry_after_s = await self._exchange(request, request_id, number, timeout_s)
            outcome = OUTCOME_OF_STATUS.get(status, ClientOutcome.FAILED)
        except (OSError, TimeoutError, httptools.HttpParserError) as error:
            status, body = 0, b""
            abandoned = abandon_after_s and isinstance(error, TimeoutError)
            outcome = ClientOutcome.ABANDONED if abandoned else ClientOutcome.UNANSWERED
        self.outcomes[outcome] += 1
        latency_s = loop.time() - due
        result = {"code": status, "body": body.decode("latin-1"), "took": latency_s, "sent": sent_ns}
        self.event_log.record(EventKind.RESPONSE, id=request_id, cls=class_name, outcome=outcome, **result)
        return retry_after_s if outcome is ClientOutcome.REJECTED else None

    async def _exchange(
        self, request: ScheduledRequest, request_id: str, number: int, timeout_s: float
    ) -> tuple[int, bytes, float]:
        """Send an attempt and await the response; if an idle connection fails, resend once on a new one."""
        data = encode_request(request, request_id, number, timeout_s)
        connection = self._take_idle()
        if connection is not None:
            try:
                return await self._exchange_on(connection, data, request_id, slow=request.slow)
            except OSError:
                pass  # the sidecar may have closed the idle connection before it read the request
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: ClientConnection(self._record_extra_response), *self.address
        )
        return await self._exchange_on(connection, data, request_id, slow=request.slow)

    async def _exchange_on(
        self, connection: ClientConnection, data: bytes, request_id: str, *, slow: bool
    ) -> tuple[int, bytes, float]:
        response: asyncio.Future[tuple[int, bytes]] = asyncio.get_running_loop().create_future()
        try:
            if slow:
                await self._send_slowly(connection, data, response, request_id)
            else:
                connection.send(data, response, request_id)
            status, body = await response
        finally:
            if not response.done() or response.cancelled():
                connection.close()
        if connection.open:
            self.idle.append(connection)
        return status, body, connection.retry_after_s

    @staticmethod
    async def _send_slowly(
        connection: ClientConnection,
        data: bytes,
        response: asyncio.Future[tuple[int, bytes]],
        request_id: str,
    ) -> None:
        """Write a request in pieces and delay reading the response."""
        size = -(-len(data) // SLOW_CLIENT_PIECES)
        connection.send(data[:size], response, request_id)
        for start in range(size, len(data), size):
            await asyncio.sleep(SLOW_CLIENT_DELAY_S)
            connection.send_more(data[start : start + size])
        connection.pause_reading()
        try:
            await asyncio.sleep(SLOW_CLIENT_DELAY_S)
        finally:
            connection.resume_reading()

    def _record_extra_response(self, request_id: str, status: int) -> None:
        """Record a surplus response to a request that was already answered."""
        outcome = ClientOutcome.DUPLICATE_RESPONSE
        self.event_log.record(EventKind.RESPONSE, id=request_id, outcome=outcome, code=status, body="")

    def _take_idle(self) -> ClientConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.open:
                return connection
        return None


def attempt_id(request: ScheduledRequest, number: int) -> str:
    """Return the request id of an attempt; `number` is 0 for the first attempt."""
    return request.request_id if not number else f"{request.request_id}-{number}"


def encode_request(request: ScheduledRequest, request_id: str, number: int, timeout_s: float) -> bytes:
    """Return the encoded attempt; `number` is 0 for the first, `timeout_s` is sent as the deadline."""
    request_class = request.request_class
    idempotent = request_class.idempotency == Idempotency.IDEMPOTENT
    lines = [
        f"{'GET' if idempotent else 'POST'} /{request_class.name}/flags HTTP/1.1",
        "Host: nodes.lab",
        f"X-Request-Id: {request_id}",
        f"X-Key: user-{request.key}",
        f"X-Deadline: {int(timeout_s * MS_PER_S)}m",
        f"X-Lab-Work: {request.work_factor:.4f}",
    ]
    if number:
        lines.append("X-Retry: 1")
    if request.cost_hint_s:
        lines.append(f"X-Cost-Hint: {request.cost_hint_s * US_PER_S:.0f}")
    if request_class.idempotency == Idempotency.IDEMPOTENT_WITH_KEY:
        lines.append(f"Idempotency-Key: {request.request_id}")
    body = b"" if idempotent else b'{"flag":"checkout"}' + b" " * request.extra_body_bytes
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body
