"""When clients come, and with what: drawn from a seed alone, so that every build is offered the same."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import accumulate

from .node_model import TAIL, drawn_work

SKEW = 0.9  # Zipf: a few keys are far more popular
LEAVE_WITHIN = 3.0  # times the mean work of its class: many leave while a node is at it
HINT_NOISE = 0.35  # standard deviation of the logarithm by which a cost hint is off


@dataclass(slots=True)
class Kind:
    """A class of requests, as clients send it."""

    name: str
    share: float
    repeat: str  # "safe", "keyed" or "unsafe"
    deadline: float  # seconds
    work: float = 0.0  # mean seconds on a warm core


@dataclass(slots=True)
class Habits:
    """What clients do beside asking: shares of requests, and numbers."""

    leaving: float = 0.0  # leave before the answer
    slow: float = 0.0  # write their request in pieces, and read the answer late
    long: float = 0.0  # bring a body of `long_bytes`
    long_bytes: int = 200_000
    hinted: float = 0.0  # tell what the work will cost
    tail: float = TAIL  # standard deviation of the logarithm of work
    tries: int = 1  # of one matter in all, each as soon as a refusal allows


@dataclass(slots=True)
class Due:
    """One request that a client will send."""

    at: float  # seconds since the begin
    kind: Kind
    ident: str
    key: int
    work: float  # in means of its class
    hint: float = 0.0  # seconds of work as its client guesses; 0: it says nothing
    leaves: float = 0.0  # seconds after which its client goes; 0: it stays
    slow: bool = False
    body: int = 0  # bytes beyond the usual ones


class Arrivals:
    """An endless row of requests at a rate that changes with time."""

    def __init__(
        self,
        kinds: list[Kind],
        rate: float,
        keys: int,
        seed: int,
        times: Callable[[float], float] = lambda passed: 1.0,
        habits: Habits | None = None,
    ) -> None:
        self.kinds = kinds
        self.rate = rate
        self.random = random.Random(seed)
        self.times = times  # the factor on the rate at a time of the run, in seconds
        self.habits = habits or Habits()
        self.shares = list(accumulate(kind.share for kind in kinds))
        self.weights = list(accumulate(1.0 / (rank + 1) ** SKEW for rank in range(keys)))

    def __iter__(self) -> Iterator[Due]:
        at = 0.0
        while True:
            at += self.random.expovariate(self.rate * self.times(at))
            yield self._one(at)

    def _one(self, at: float) -> Due:
        draw, habits = self.random, self.habits
        kind = draw.choices(self.kinds, cum_weights=self.shares)[0]
        ident = f"{draw.getrandbits(64):016x}"
        key = draw.choices(range(len(self.weights)), cum_weights=self.weights)[0]
        due = Due(at, kind, ident, key, drawn_work(draw, habits.tail))
        # Each is drawn whether it matters or not: a habit more leaves the rest of the row as it was.
        leaves, after, slow, long, hint = (draw.random() for _ in range(5))
        noise = draw.lognormvariate(0.0, HINT_NOISE)
        if leaves < habits.leaving:
            due.leaves = max(after * LEAVE_WITHIN * (kind.work or kind.deadline), 0.001)
        due.slow = slow < habits.slow
        due.body = habits.long_bytes if long < habits.long and kind.repeat != "safe" else 0
        due.hint = kind.work * due.work * noise if hint < habits.hinted else 0.0
        return due
