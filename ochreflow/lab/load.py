"""Clients: requests that come when they are due, whatever became of those before them.

Latency counts from when a request was due, so that a stall can't hide. The lag of the clients' own sends
is kept beside it: a run in which they fell behind says nothing of the sidecar.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import time_ns
from typing import cast

import httptools

from .arrivals import Arrivals, Due, Habits, Kind
from .event_log import EventLog

OUTCOMES = {200: "served", 429: "refused", 503: "refused"}
ANSWER_SLACK = 0.25  # seconds after its time for which an answer is still waited for, to tell late from lost
SLOW_PIECES = 4  # in which a slow client writes, and ...
SLOW_GAP = 0.03  # ... the seconds between them; it reads so much later too
LEAST_LEFT = 0.02  # seconds of a matter's time that make another try worth its while


class Client(asyncio.Protocol):
    """One connection, one request at a time. What comes beyond one answer to each goes to `stray`."""

    def __init__(self, stray: Callable[[str, int], None] = lambda ident, code: None) -> None:
        self.stray = stray
        self.ident = ""  # of the request that was asked last
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.done: asyncio.Future[tuple[int, bytes]] | None = None
        self.body = b""
        self.retry_after = 0.0  # seconds, as the last answer advised

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.done is not None and not self.done.done():
            self.done.set_exception(exc or ConnectionResetError("closed"))

    @property
    def open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def ask(self, data: bytes, done: asyncio.Future[tuple[int, bytes]], ident: str = "") -> None:
        assert self.transport is not None
        self.done, self.body, self.ident, self.retry_after = done, b"", ident, 0.0
        self.transport.write(data)

    def more(self, data: bytes) -> None:
        """Write a further piece of the request."""
        if self.transport is not None:
            self.transport.write(data)

    def read_on(self, on: bool) -> None:
        if self.transport is not None and not self.transport.is_closing():
            if on:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self.retry_after = float(value)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        code, again = self.parser.get_status_code(), self.parser.should_keep_alive()
        if not again:
            self.close()
        if self.done is None or self.done.done():
            self.stray(self.ident, code)
        else:
            self.done.set_result((code, self.body))

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class Load:
    """Offers requests to one sidecar and writes down what came back."""

    def __init__(
        self,
        address: tuple[str, int],
        kinds: list[Kind],
        rate: float,
        keys: int,
        seed: int,
        event_log: EventLog,
        times: Callable[[float], float] = lambda passed: 1.0,
        habits: Habits | None = None,
    ) -> None:
        self.address = address
        self.habits = habits or Habits()
        self.arrivals = Arrivals(kinds, rate, keys, seed, times, self.habits)
        self.event_log = event_log
        self.idle: list[Client] = []
        self.counts = {"served": 0, "refused": 0, "failed": 0, "lost": 0, "left": 0}
        self.asked = 0
        self.lag = 0.0  # seconds, the longest by which a send was late
        self.open: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Offer load for so long; then wait for what is open."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for due in self.arrivals:
            if due.at >= seconds:
                break
            if (wait := begin + due.at - loop.time()) > 0:
                await asyncio.sleep(wait)
            self.lag = max(self.lag, loop.time() - begin - due.at)
            task = loop.create_task(self._matter(due, begin + due.at))
            self.open.add(task)
            task.add_done_callback(self.open.discard)
        if self.open:
            await asyncio.wait(self.open)
        for client in self.idle:
            client.close()

    async def _matter(self, due: Due, begin: float) -> None:
        """What one client wants: a request, and after a refusal further tries while time is left."""
        loop = asyncio.get_running_loop()
        for number in range(self.habits.tries):
            left = due.kind.deadline - (loop.time() - begin)
            if number and left < LEAST_LEFT:
                return
            again = await self._one(due, begin, number, left if number else due.kind.deadline)
            if again is None:
                return
            await asyncio.sleep(again)

    async def _one(self, due: Due, begin: float, number: int, wait: float) -> float | None:
        """One try; the seconds after which another may follow, None if it is over."""
        loop = asyncio.get_running_loop()
        kind, ident = due.kind, due.ident if not number else f"{due.ident}-{number}"
        self.asked += 1
        sent = time_ns()
        slack = SLOW_PIECES * SLOW_GAP if due.slow else 0.0  # that its own slowness takes
        self.event_log.record("asked", id=ident, cls=kind.name, deadline=wait, slack=slack, first=due.ident)
        again, most = 0.0, wait + slack + ANSWER_SLACK
        try:
            async with asyncio.timeout(min(due.leaves, most) if due.leaves else most):
                code, body, again = await self._ask(due, ident, number, wait)
            outcome = OUTCOMES.get(code, "failed")
        except (OSError, TimeoutError, httptools.HttpParserError) as error:
            code, body = 0, b""
            outcome = "left" if due.leaves and isinstance(error, TimeoutError) else "lost"
        self.counts[outcome] += 1
        took = loop.time() - begin
        more = {"code": code, "body": body.decode("latin-1"), "took": took, "sent": sent}
        self.event_log.record("answered", id=ident, cls=kind.name, outcome=outcome, **more)
        return again if outcome == "refused" else None

    async def _ask(self, due: Due, ident: str, number: int, wait: float) -> tuple[int, bytes, float]:
        """One exchange. A close that crosses a request is met once, with a new connection."""
        data = request(due, ident, number, wait)
        client = self._take_idle()
        if client is not None:
            try:
                return await self._ask_on(client, data, ident, due.slow)
            except OSError:
                pass  # it had stood idle: the sidecar may have closed it before it read this
        loop = asyncio.get_running_loop()
        _, client = await loop.create_connection(lambda: Client(self._stray), *self.address)
        return await self._ask_on(client, data, ident, due.slow)

    async def _ask_on(self, client: Client, data: bytes, ident: str, slow: bool) -> tuple[int, bytes, float]:
        done: asyncio.Future[tuple[int, bytes]] = asyncio.get_running_loop().create_future()
        try:
            if slow:
                await self._ask_slowly(client, data, done, ident)
            else:
                client.ask(data, done, ident)
            code, body = await done
        finally:
            if not done.done() or done.cancelled():
                client.close()
        if client.open:
            self.idle.append(client)
        return code, body, client.retry_after

    @staticmethod
    async def _ask_slowly(
        client: Client, data: bytes, done: asyncio.Future[tuple[int, bytes]], ident: str
    ) -> None:
        """Write in pieces, and look at the answer only a while later."""
        size = -(-len(data) // SLOW_PIECES)
        client.ask(data[:size], done, ident)
        for at in range(size, len(data), size):
            await asyncio.sleep(SLOW_GAP)
            client.more(data[at : at + size])
        client.read_on(False)
        try:
            await asyncio.sleep(SLOW_GAP)
        finally:
            client.read_on(True)

    def _stray(self, ident: str, code: int) -> None:
        """A further answer to a request that has had its own."""
        self.event_log.record("answered", id=ident, outcome="extra", code=code, body="")

    def _take_idle(self) -> Client | None:
        while self.idle:
            client = self.idle.pop()
            if client.open:
                return client
        return None


def request(due: Due, ident: str, number: int, wait: float) -> bytes:
    """The bytes of a try; `number` is 0 for the first, `wait` the seconds its client waits."""
    kind = due.kind
    lines = [
        f"{'GET' if kind.repeat == 'safe' else 'POST'} /{kind.name}/flags HTTP/1.1",
        "Host: nodes.lab",
        f"X-Request-Id: {ident}",
        f"X-Key: user-{due.key}",
        f"X-Deadline: {int(wait * 1000)}m",
        f"X-Lab-Work: {due.work:.4f}",
    ]
    if number:
        lines.append("X-Retry: 1")
    if due.hint:
        lines.append(f"X-Cost-Hint: {due.hint * 1_000_000:.0f}")
    if kind.repeat == "keyed":
        lines.append(f"Idempotency-Key: {due.ident}")
    body = b"" if kind.repeat == "safe" else b'{"flag":"checkout"}' + b" " * due.body
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body
