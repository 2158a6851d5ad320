"""Clients: requests that come when they are due, whatever became of those before them.

Latency counts from when a request was due, so that a stall can't hide. The lag of the clients' own sends
is kept beside it: a run in which they fell behind says nothing of the sidecar.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from time import time_ns
from typing import cast

import httptools

from .ledger import Ledger

OUTCOMES = {200: "served", 429: "refused", 503: "refused"}
ANSWER_SLACK = 0.25  # seconds after its time for which an answer is still waited for, to tell late from lost


@dataclass(slots=True)
class Kind:
    """A class of requests, as clients send it."""

    name: str
    share: float
    repeat: str  # "safe", "keyed" or "unsafe"
    deadline: float  # seconds


class Client(asyncio.Protocol):
    """One connection, one request at a time. What comes beyond one answer to each goes to `stray`."""

    def __init__(self, stray: Callable[[str, int], None] = lambda ident, code: None) -> None:
        self.stray = stray
        self.ident = ""  # of the request that was asked last
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.done: asyncio.Future[tuple[int, bytes]] | None = None
        self.body = b""

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
        self.done, self.body, self.ident = done, b"", ident
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

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
        ledger: Ledger,
        times: Callable[[float], float] = lambda passed: 1.0,
    ) -> None:
        self.address = address
        self.kinds = kinds
        self.rate = rate
        self.random = random.Random(seed)
        self.weights = [1.0 / (rank + 1) ** 0.9 for rank in range(keys)]  # Zipf: a few are far more popular
        self.ledger = ledger
        self.times = times  # the factor on the rate at a time of the run, in seconds
        self.idle: list[Client] = []
        self.counts = {"served": 0, "refused": 0, "failed": 0, "lost": 0}
        self.asked = 0
        self.lag = 0.0  # seconds, the longest by which a send was late
        self.open: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Offer load for so long; then wait for what is open."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        due = begin
        while (due := due + self._gap(due - begin)) < begin + seconds:
            if (wait := due - loop.time()) > 0:
                await asyncio.sleep(wait)
            self.lag = max(self.lag, loop.time() - due)
            task = loop.create_task(self._one(due))
            self.open.add(task)
            task.add_done_callback(self.open.discard)
        if self.open:
            await asyncio.wait(self.open)
        for client in self.idle:
            client.close()

    def _gap(self, passed: float) -> float:
        return self.random.expovariate(self.rate * self.times(passed))

    async def _one(self, due: float) -> None:
        kind = self.random.choices(self.kinds, [kind.share for kind in self.kinds])[0]
        ident = f"{self.random.getrandbits(64):016x}"
        data = self._request(kind, ident)
        loop = asyncio.get_running_loop()
        self.asked += 1
        sent = time_ns()
        self.ledger.note("asked", id=ident, cls=kind.name, deadline=kind.deadline)
        try:
            async with asyncio.timeout(kind.deadline + ANSWER_SLACK):
                code, body = await self._ask(data, ident)
            outcome = OUTCOMES.get(code, "failed")
        except (OSError, TimeoutError, httptools.HttpParserError):
            code, body, outcome = 0, b"", "lost"
        self.counts[outcome] += 1
        took = loop.time() - due
        more = {"code": code, "body": body.decode("latin-1"), "took": took, "sent": sent}
        self.ledger.note("answered", id=ident, cls=kind.name, outcome=outcome, **more)

    async def _ask(self, data: bytes, ident: str) -> tuple[int, bytes]:
        """One exchange. A close that crosses a request is met once, with a new connection."""
        client = self._take_idle()
        if client is not None:
            try:
                return await self._ask_on(client, data, ident)
            except OSError:
                pass  # it had stood idle: the sidecar may have closed it before it read this
        loop = asyncio.get_running_loop()
        _, client = await loop.create_connection(lambda: Client(self._stray), *self.address)
        return await self._ask_on(client, data, ident)

    async def _ask_on(self, client: Client, data: bytes, ident: str) -> tuple[int, bytes]:
        done: asyncio.Future[tuple[int, bytes]] = asyncio.get_running_loop().create_future()
        client.ask(data, done, ident)
        try:
            answer = await done
        finally:
            if not done.done() or done.cancelled():
                client.close()
        if client.open:
            self.idle.append(client)
        return answer

    def _stray(self, ident: str, code: int) -> None:
        """A further answer to a request that has had its own."""
        self.ledger.note("answered", id=ident, outcome="extra", code=code, body="")

    def _take_idle(self) -> Client | None:
        while self.idle:
            client = self.idle.pop()
            if client.open:
                return client
        return None

    def _request(self, kind: Kind, ident: str) -> bytes:
        key = self.random.choices(range(len(self.weights)), self.weights)[0]
        lines = [
            f"{'GET' if kind.repeat == 'safe' else 'POST'} /{kind.name}/flags HTTP/1.1",
            "Host: nodes.lab",
            f"X-Request-Id: {ident}",
            f"X-Key: user-{key}",
            f"X-Deadline: {int(kind.deadline * 1000)}m",
        ]
        if kind.repeat == "keyed":
            lines.append(f"Idempotency-Key: {ident}")
        body = b"" if kind.repeat == "safe" else b'{"flag":"checkout"}'
        return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body
