"""What a flag node does with the requests that reach it: a state machine without sockets or a clock.

The caller tells what happens and when, in seconds of any clock that never runs back; it is told what to
write down and whom to answer, and when to come back. The same model runs behind sockets (`node.py`) and in
simulated time (`ochreflow.simulation`). The work in hand shares the cores evenly.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

DONE = 1e-9  # seconds of work that are as good as none
TAIL = 0.6  # standard deviation of the logarithm of work
MOST_WORK = 12.0  # means of its class
COLD_STEP = 0.05  # seconds after which the speed of a cold node is looked at again
FORMS = ("", "extra", "interim", "cut", "garbled", "stalled")


@dataclass(slots=True)
class Traits:
    """What a node is like. Times in seconds."""

    name: str
    cores: int = 2
    slots: int = 0  # requests worked on at once, which share the cores; 0: one for each core
    room: int = 16  # that may wait beside those that run
    work: dict[str, float] = field(default_factory=dict)  # mean of each class on a warm core
    turning_away: float = 0.001  # seconds of one core that it takes to turn a request away
    crowding: float = 0.0  # the part of its speed that is lost when its waiting room is full
    start_capacity: float = 0.15  # of a cold node
    warm_within: float = 0.0  # 0: it is warm from the start
    warm_work: float = 0.0  # seconds of work done that warm it, in place of time; 0: time does
    overload_factor: float = 2.5  # times what it can do, and ...
    overload_for: float = 3.0  # ... for so long: a cold node falls over
    remembers: float = 5.0  # after which a key is forgotten
    keys: int = 64  # that are remembered at the most: the one used longest ago goes first
    known_costs: float = 0.55  # of the work of a key that is remembered
    drops_for: float = 4.0  # repeats of a keyed request
    connections: int = 0  # that it holds at the most; 0: any number


@dataclass(slots=True)
class Trouble:
    """What goes wrong at present."""

    swallow: bool = False  # takes requests and answers none
    fail: float = 0.0  # the share that fails at once
    slow: float = 1.0  # times the work
    spoil: float = 0.0  # the share of answers that comes in another form:
    form: str = ""  # one of FORMS


@dataclass(slots=True)
class Work:
    """One request as a node sees it."""

    ident: str
    cls: str
    key: str | None = None
    token: str | None = None  # its idempotency key
    times: float | None = None  # the work, in means of its class; None: drawn by the node
    connection: int = 0


@dataclass(slots=True)
class Note:
    """Something for the event log."""

    what: str
    fields: dict[str, Any]


@dataclass(slots=True)
class Reply:
    """An answer to the request of this number."""

    number: int
    code: int
    body: str = ""
    not_run: bool = False
    form: str = ""


@dataclass(slots=True)
class Cut:
    """End the connection that this request came on."""

    number: int


@dataclass(slots=True)
class Fall:
    """End every connection: it is down for good."""


Act = Note | Reply | Cut | Fall


class Pod:
    """What nodes of one pod share: repeats that are dropped, by their idempotency keys."""

    def __init__(self) -> None:
        self.done: OrderedDict[str, float] = OrderedDict()

    def repeated(self, token: str, now: float, window: float) -> bool:
        """Whether this key came within the window; if not, it has come now."""
        while self.done and next(iter(self.done.values())) < now - window:
            self.done.popitem(last=False)
        if token in self.done:
            return True
        self.done[token] = now
        return False


@dataclass(slots=True)
class Job:
    work: Work
    left: float = 0.0  # seconds of a warm core


class Model:
    """One node."""

    def __init__(self, traits: Traits, seed: int, now: float, pod: Pod | None = None) -> None:
        self.traits = traits
        self.random = random.Random(seed)
        self.pod = pod or Pod()
        self.trouble = Trouble()
        self.draining = False
        self.begin(now)

    def begin(self, now: float) -> None:
        """Start, or start again: what it knew and held is gone."""
        self.started = self.at = now
        self.fallen = False
        self.warmed = 0.0  # seconds of work done since
        self.running: dict[int, Job] = {}
        self.waiting: deque[tuple[int, Work]] = deque()
        self.keys: OrderedDict[str, float] = OrderedDict()  # when each was met last
        self.offered: deque[tuple[float, float]] = deque()  # work that came while cold: when and how much
        self.acts: list[Act] = []

    # What happens

    def arrive(self, now: float, number: int, work: Work) -> list[Act]:
        """A request has come whole."""
        self._turn(now)
        if self.fallen or self._pushed_over(work.cls, now):
            self.acts.append(Cut(number))
        elif self.draining or len(self.waiting) >= self.traits.room:
            self._note("turned_away", work, why="draining" if self.draining else "full")
            self.acts.append(Reply(number, 503, not_run=True))
            for job in self.running.values():  # what it has in hand waits meanwhile
                job.left += self.traits.turning_away / len(self.running)
        elif work.token is not None and self.pod.repeated(work.token, now, self.traits.drops_for):
            self._note("dropped", work)
            self._answer(number, work)
        else:
            self._take(number, work)
        return self._done()

    def advance(self, now: float) -> list[Act]:
        """Time has passed."""
        self._turn(now)
        return self._done()

    def leave(self, now: float, number: int) -> list[Act]:
        """Nobody waits for this request any more: it is not begun, if it had not been."""
        self._turn(now)
        gone = [work for waiting, work in self.waiting if waiting == number]
        self.waiting = deque(one for one in self.waiting if one[0] != number)
        for work in gone:
            self._note("put_aside", work)
        return self._done()

    def order(self, now: float, order: dict[str, Any]) -> list[Act]:
        """Troubles and the node's own side of a drain; ValueError for what is not known."""
        self._turn(now)
        order = dict(order)
        draining = bool(order.pop("draining", self.draining))
        unknown = set(order) - set(Trouble.__slots__)
        if unknown or order.get("form", "") not in FORMS:
            raise ValueError(f"no such trouble: {', '.join(sorted(unknown)) or order['form']}")
        self.draining = draining
        for name, value in order.items():
            setattr(self.trouble, name, type(getattr(self.trouble, name))(value))
        return self._done()

    def next_at(self) -> float | None:
        """When to call `advance`, unless something happens before; None: never."""
        if not self.running or self.fallen:
            return None
        after = min(job.left for job in self.running.values()) / self._speed()
        return self.at + (min(after, COLD_STEP) if self.capacity < 1.0 else after)

    # How it works

    @property
    def capacity(self) -> float:
        """The part of its speed that it has by now."""
        traits = self.traits
        if not traits.warm_within:
            return 1.0
        part = (self.at - self.started) / traits.warm_within
        if traits.warm_work:
            part = self.warmed / traits.warm_work
        return traits.start_capacity + (1.0 - traits.start_capacity) * min(part, 1.0)

    def _speed(self) -> float:
        """Seconds of warm work done in a second for each request in hand."""
        traits = self.traits
        share = min(1.0, traits.cores / len(self.running))
        crowd = min(len(self.waiting) / traits.room, 1.0) if traits.room else 0.0
        return share * self.capacity * (1.0 - traits.crowding * crowd) / self.trouble.slow

    def _turn(self, now: float) -> None:
        """Bring the work in hand up to this moment."""
        self.acts = []
        if self.running and not self.fallen:
            each = self._speed() * (now - self.at)
            for job in self.running.values():
                job.left -= each
            self.warmed += each * len(self.running)
        self.at = now
        ended = [number for number, job in self.running.items() if job.left <= DONE]
        for number in ended:
            work = self.running.pop(number).work
            self._note("ran", work)
            if not self.fallen and not self.trouble.swallow:
                self._answer(number, work)

    def _done(self) -> list[Act]:
        """Begin what can be, and give what is to be done."""
        slots = self.traits.slots or self.traits.cores
        while self.waiting and len(self.running) < slots and not self.fallen:
            number, work = self.waiting.popleft()
            cost = self._cost(work)
            self._note("began", work, cost=round(cost, 6))
            self.running[number] = Job(work, cost)
        return self.acts

    def _take(self, number: int, work: Work) -> None:
        self._note("taken", work, connection=work.connection)
        if self.trouble.swallow:
            return
        if self.random.random() < self.trouble.fail:
            self._note("failed", work)
            self.acts.append(Reply(number, 500))
            return
        self.waiting.append((number, work))

    def _pushed_over(self, cls: str, now: float) -> bool:
        """Whether a cold node is sent more than it can bear, with what it turns away, and falls for good."""
        traits = self.traits
        if self.capacity >= 1.0:
            return False
        self.offered.append((now, traits.work[cls]))
        while self.offered[0][0] < now - traits.overload_for:
            self.offered.popleft()
        bearable = traits.cores * self.capacity * traits.overload_for * traits.overload_factor
        offered = sum(work for _, work in self.offered)
        if offered <= bearable:
            return False
        self.fallen = True
        self.acts += [Note("fell", {"offered": offered, "bearable": bearable}), Fall()]
        return True

    def _cost(self, work: Work) -> float:
        """The time that a piece of work takes on a warm core: less if its key was met of late."""
        times = work.times if work.times is not None else drawn_work(self.random)
        cost = self.traits.work[work.cls] * times
        if work.key is not None:
            if self.at - self.keys.pop(work.key, -1e9) < self.traits.remembers:
                cost *= self.traits.known_costs
            self.keys[work.key] = self.at
            if len(self.keys) > self.traits.keys:
                self.keys.popitem(last=False)
        return cost

    def _answer(self, number: int, work: Work) -> None:
        """An answer that only this node makes for only this request."""
        spoilt = self.trouble.spoil and self.random.random() < self.trouble.spoil
        form = self.trouble.form if spoilt else ""
        self.acts.append(Reply(number, 200, f"{self.traits.name}:{work.ident}", form=form))

    def _note(self, what: str, work: Work, **more: object) -> None:
        self.acts.append(Note(what, {"id": work.ident, "cls": work.cls, **more}))


def drawn_work(source: random.Random, tail: float = TAIL) -> float:
    """A piece of work in means of its class: about one, some far more, the more the greater the tail."""
    return min(source.lognormvariate(-tail * tail / 2, tail), MOST_WORK)
