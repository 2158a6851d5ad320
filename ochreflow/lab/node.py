"""A stand-in for a flag node: cores, a waiting room, a cold start, a memory for keys, and troubles on order.

It writes down every request that reaches it: what it took, ran, dropped as a repeat, or turned away.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import deque
from dataclasses import dataclass, field
from time import monotonic

from .ledger import Ledger
from .serving import Asked, Service

NOT_RUN = "X-Not-Run: 1"
CONTROL = "/-/lab"


@dataclass(slots=True)
class Traits:
    """What a node is like. Times in seconds."""

    name: str
    cores: int = 2
    room: int = 16  # that may wait beside those that run
    work: dict[str, float] = field(default_factory=dict)  # mean of each class on a warm core
    start_capacity: float = 0.15  # of a cold node
    warm_within: float = 0.0  # 0: it is warm from the start
    overload_factor: float = 2.5  # times what it can do, and ...
    overload_for: float = 3.0  # ... for so long: a cold node falls over
    remembers: float = 5.0  # after which a key is forgotten
    known_costs: float = 0.55  # of the work of a key that is remembered
    drops_for: float = 4.0  # repeats of a keyed request


@dataclass(slots=True)
class Trouble:
    """What goes wrong at present."""

    swallow: bool = False  # takes requests and answers none
    fail: float = 0.0  # the share that fails at once
    slow: float = 1.0  # times the work


class Node:
    def __init__(self, traits: Traits, ledger: Ledger, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        self.traits = traits
        self.ledger = ledger
        self.loop = loop
        self.random = random.Random(seed)
        self.trouble = Trouble()
        self.draining = False
        self.fallen = False
        self.running = 0
        self.waiting: deque[Asked] = deque()
        self.keys: dict[str, float] = {}  # when each was met last
        self.done: dict[str, float] = {}  # idempotency keys, by when their work was taken on
        self.offered: deque[tuple[float, float]] = deque()  # work that came while cold: when and how much
        self.started = monotonic()
        self.service = Service(self.serve)

    @property
    def capacity(self) -> float:
        """The part of its speed that it has by now."""
        warm = self.traits.warm_within
        age = monotonic() - self.started
        if not warm or age >= warm:
            return 1.0
        return self.traits.start_capacity + (1.0 - self.traits.start_capacity) * age / warm

    def serve(self, asked: Asked) -> None:
        if asked.target.startswith(CONTROL):
            self._control(asked)
            return
        ident = asked.headers.get("x-request-id")
        cls = asked.target[1:].split("/", 1)[0].split("?", 1)[0]
        if not ident or cls not in self.traits.work:
            asked.answer(404)
        elif self.fallen or self._pushed_over(cls, monotonic()):
            asked.connection.cut()
        elif self.draining or len(self.waiting) >= self.traits.room:
            self.ledger.note("turned_away", id=ident, cls=cls, why="draining" if self.draining else "full")
            asked.answer(503, b"", NOT_RUN)
        else:
            self._take(asked, ident, cls)

    def _take(self, asked: Asked, ident: str, cls: str) -> None:
        token = asked.headers.get("idempotency-key")
        now = monotonic()
        if token is not None and now - self.done.get(token, -1e9) < self.traits.drops_for:
            self.ledger.note("dropped", id=ident, cls=cls)
            asked.answer(200, self._body(ident))
            return
        if token is not None:
            self.done[token] = now
        self.ledger.note("taken", id=ident, cls=cls, connection=asked.connection.number)
        if self.trouble.swallow:
            return
        if self.random.random() < self.trouble.fail:
            self.ledger.note("failed", id=ident, cls=cls)
            asked.answer(500)
            return
        self.waiting.append(asked)
        self._run_next()

    def _pushed_over(self, cls: str, now: float) -> bool:
        """Whether a cold node is sent more than it can bear, with what it turns away, and falls for good."""
        if self.capacity >= 1.0:
            return False
        self.offered.append((now, self.traits.work[cls]))
        while self.offered[0][0] < now - self.traits.overload_for:
            self.offered.popleft()
        bearable = self.traits.cores * self.capacity * self.traits.overload_for * self.traits.overload_factor
        if sum(work for _, work in self.offered) <= bearable:
            return False
        self.fallen = True
        self.ledger.note("fell", offered=sum(work for _, work in self.offered), bearable=bearable)
        self.service.cut_all()
        return True

    def _run_next(self) -> None:
        while self.waiting and self.running < self.traits.cores and not self.fallen:
            asked = self.waiting.popleft()
            if asked.gone:
                continue  # nobody waits for it any more, and nothing of it was done
            ident, cls = asked.headers["x-request-id"], asked.target[1:].split("/", 1)[0].split("?", 1)[0]
            self.running += 1
            self.ledger.note("began", id=ident, cls=cls)
            self.loop.call_later(self._cost(asked, cls), self._end, asked, ident, cls)

    def _cost(self, asked: Asked, cls: str) -> float:
        """The time that a piece of work takes: about its mean, some far more."""
        work = self.traits.work[cls] * min(self.random.lognormvariate(-0.18, 0.6), 6.0)
        now = monotonic()
        if (key := asked.headers.get("x-key")) is not None:
            if now - self.keys.get(key, -1e9) < self.traits.remembers:
                work *= self.traits.known_costs
            self.keys[key] = now
        return work * self.trouble.slow / self.capacity

    def _end(self, asked: Asked, ident: str, cls: str) -> None:
        self.running -= 1
        self.ledger.note("ran", id=ident, cls=cls)
        if not self.fallen and not self.trouble.swallow:
            asked.answer(200, self._body(ident))
        self._run_next()

    def _body(self, ident: str) -> bytes:
        """An answer that only this node makes for only this request."""
        return f"{self.traits.name}:{ident}".encode()

    def _control(self, asked: Asked) -> None:
        """Orders of the lab: troubles, and the node's own side of a drain."""
        try:
            order = json.loads(asked.body)
            self.draining = bool(order.pop("draining", self.draining))
            for name, value in order.items():
                kind = type(getattr(self.trouble, name))
                setattr(self.trouble, name, kind(value))
        except (ValueError, AttributeError, TypeError) as error:
            asked.answer(400, str(error).encode())
            return
        self.ledger.note("ordered", **json.loads(asked.body))
        asked.answer(200)
