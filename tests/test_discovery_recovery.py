"""When a sidecar is told once discovery is back, and what all of them ask meanwhile: in simulated time.

The module and the directory are the real ones; the loop and discovery are played. `PYTHONPATH=. python
tests/test_discovery_recovery.py` prints the tables of `docs/design/discovery.md`.
"""

import heapq
import itertools
import json
import sys
from dataclasses import dataclass, field

import pytest
from helpers import START, settings
from net_helpers import HOST, entry, news

from ochreflow import Balancer
from ochreflow.core.endpoints import EndpointIds
from ochreflow.http.calls import CONNECT_WITHIN
from ochreflow.membership import discovery
from ochreflow.membership.discovery import DiscoveryClient
from ochreflow.membership.timeouts import (
    LONG_POLL_WAIT_MS,
    MIN_STALL_TIMEOUT_S,
    NOTIFIED_AFTER_S,
    long_poll_timeouts,
)
from ochreflow.policy import endpoint_set as endpoint_set_module
from ochreflow.policy.interface import ListKind, Membership, SetTimer, Timer, Watch

SECOND = 1_000_000_000
TOLD_IN = 6.0  # seconds until what discovery has counts as told, by the protocol
SLACK = 0.05  # seconds by which every limit grows on sockets
ANSWER = 2.0  # seconds: an answer takes no longer by the protocol, or it is a 503
LISTED = 4  # servers
GRACES = (0.0, 0.5, 2.5)  # seconds


class Loop:
    """The little of an event loop that is used, in simulated time."""

    def __init__(self):
        self.now = 0.0
        self.due = []
        self.order = itertools.count()

    def time(self):
        return self.now

    def call_later(self, delay, act, *args):
        handle = Handle(act, args)
        heapq.heappush(self.due, (self.now + max(delay, 0.0), next(self.order), handle))
        return handle

    def call_soon(self, act, *args):
        return self.call_later(0.0, act, *args)

    def run(self, until):
        while self.due and self.due[0][0] <= until:
            self.now, _, handle = heapq.heappop(self.due)
            if not handle.cancelled:
                handle.act(*handle.args)
        self.now = until


@dataclass(eq=False)
class Handle:
    act: object
    args: tuple
    cancelled: bool = False

    def cancel(self):
        self.cancelled = True


@dataclass(eq=False)
class Asked:
    """A call, until its one end."""

    done: object
    target: str
    at: float

    def end(self, body, reason):
        done, self.done = self.done, None
        if done is not None:
            done(body, reason)

    @property
    def after(self):
        return int(self.target.split("after=")[1].split("&")[0]) if "after=" in self.target else None

    @property
    def wait(self):
        return int(self.target.split("wait_ms=")[1]) / 1000


@dataclass(eq=False)
class Registry:
    """Discovery: what it does with a call as it comes is its `manner`.

    With `each` it works through calls in turn, so many seconds for one; who would wait longer than ANSWER
    gets a 503 then, and is worked on all the same. A watch that waits, and its news, cost it nothing more.
    """

    loop: Loop
    manner: str = "up"
    answer: float = 0.02  # seconds
    each: float = 0.0
    whole: bool = True  # whether it answers whole lists
    index: int = 1
    free_at: float = 0.0
    waiting: list = field(default_factory=list)
    calls: list = field(default_factory=list)  # times
    wholes: list = field(default_factory=list)  # ... of those for whole lists

    def get(self, asked):
        self.calls.append(self.loop.now)
        if asked.after is None:
            self.wholes.append(self.loop.now)
        if self.manner == "up" and not self.whole and asked.after is None:
            return  # mute
        if self.manner in ("refused", "503"):
            self.loop.call_soon(asked.end, None, self.manner)
        elif self.manner == "late 503":
            self.loop.call_later(ANSWER, asked.end, None, "503")
        elif self.manner == "never up":
            self.loop.call_later(CONNECT_WITHIN, asked.end, None, "CONNECT_FAILED")
        elif self.manner == "up":
            self._work(asked)

    def _work(self, asked):
        took = self.answer
        if self.each:
            begun = max(self.loop.now, self.free_at)
            self.free_at = begun + self.each
            if begun - self.loop.now > ANSWER:
                self.loop.call_later(ANSWER, asked.end, None, "503")
                return
            took = self.free_at - self.loop.now
        self.loop.call_later(took, self._say, asked)

    def _say(self, asked):
        if asked.after is None:
            asked.end(self._body(True), "")
        elif asked.after < self.index:
            asked.end(self._body(False), "")
        else:
            self.waiting.append(asked)
            self.loop.call_later(asked.wait, self._expire, asked)

    def _expire(self, asked):
        if asked in self.waiting:
            self.waiting.remove(asked)
            asked.end(json.dumps(news(self.index, snapshot=False)).encode(), "")

    def _body(self, snapshot):
        drained = [entry(f"s{n}", f"{HOST}:7", "DRAINING") for n in range(LISTED)]
        return json.dumps(news(self.index, *drained, snapshot=snapshot)).encode()

    def change(self):
        self.index += 1
        waiting, self.waiting = self.waiting, []
        for asked in waiting:
            asked.end(self._body(False), "")

    def reset(self):
        """As it goes down, or the connections do."""
        waiting, self.waiting = self.waiting, []
        for asked in waiting:
            asked.end(None, "RESET")

    def fall_silent(self):
        """Open watches are forgotten: neither an answer nor an end."""
        self.waiting = []


class Line:
    """Calls of one sidecar to the discovery at one address."""

    def __init__(self, loop, registry):
        self.loop, self.registry = loop, registry
        self.watched = 0.0  # when the latest watch was asked for

    def get(self, target, within, done):
        asked = Asked(done, target, self.loop.now)
        if asked.after is not None:
            self.watched = self.loop.now
        self.loop.call_later(within, asked.end, None, "TIMEOUT")
        self.registry.get(asked)

    def close(self):
        pass


class Deaf(Line):
    """... of which the first so many are never heard of again."""

    def __init__(self, loop, registry, silent):
        super().__init__(loop, registry)
        self.silent = silent

    def get(self, target, within, done):
        if self.silent > 0:
            self.silent -= 1
            self.registry.calls.append(self.loop.now)
            self.loop.call_later(within, done, None, "TIMEOUT")
        else:
            super().get(target, within, done)


class Node:
    """One sidecar, as far as the list goes."""

    def __init__(self, loop, registry, fleet, grace, seed, known=1, pushed=False):
        self.loop = loop
        self.told = {}  # index -> when
        grace_ns = int(grace * SECOND)
        self.balancer = Balancer(
            settings(polling_required=not pushed, fleet_size=fleet, drain_grace_ns=grace_ns), seed
        )
        self.discovery = DiscoveryClient(
            loop,
            lambda address: Line(loop, registry[address]),
            "first",
            EndpointIds(["a"], ["std"]),
            known,
            self.hear,
            pushed=pushed,
            timeouts=long_poll_timeouts(grace_ns),
        )
        self.post(Membership(ListKind.CACHED, known, []))

    def post(self, event):
        for action in self.balancer.handle(START + int(self.loop.now * SECOND), event):
            if isinstance(action, Watch):
                self.discovery.watch(action.on)
            elif isinstance(action, SetTimer):
                after = -(-action.after_ns // 1_000_000) / 1000
                self.loop.call_later(after, self.post, Timer(action.token))

    def hear(self, news):
        if news is None:
            self.post(Membership(ListKind.FAILED, 0, []))
            return
        self.told.setdefault(news.version, self.loop.now)
        self.post(news.membership())


class World:
    """Many sidecars of one fleet, and discovery at two addresses."""

    def __init__(self, fleet, grace, nodes=None, answer=0.02, each=0.0):
        self.loop = Loop()
        self.registry = Registry(self.loop, answer=answer, each=each)
        self.second = Registry(self.loop, answer=answer, each=each, index=1)
        known = {"first": self.registry, "second": self.second}
        self.nodes = [
            Node(self.loop, known, fleet, grace, seed) for seed in range(fleet if nodes is None else nodes)
        ]

    def late(self, since, index=2):
        """How long after `since` the last sidecar was told, in seconds."""
        return max(node.told.get(index, float("inf")) for node in self.nodes) - since


def outage(manner, fleet, grace, lasts, nodes=200, answer=ANSWER):
    """All watches are reset, and calls fail in this manner for so long; a change is made meanwhile."""
    world = World(fleet, grace, nodes)
    world.loop.run(30.0)
    world.registry.answer = answer
    world.registry.manner = manner
    world.registry.reset()
    world.loop.run(30.0 + lasts)
    world.registry.manner = "up"
    world.registry.change()
    world.loop.run(90.0 + lasts)
    return world.late(30.0 + lasts)


def silences(fleet, grace, in_a_row, nodes=200, answer=0.02):
    """So many calls of each sidecar in a row fall silent: how late, from the end of the first one's wait."""
    world = World(fleet, grace, nodes, answer=answer)
    world.loop.run(30.0)
    began = [node.discovery.polled_at for node in world.nodes]
    for node in world.nodes:
        node.discovery.transport = Deaf(world.loop, world.registry, in_a_row - 1)
    world.registry.fall_silent()
    world.registry.change()
    world.loop.run(150.0)
    told = [node.told.get(2, float("inf")) for node in world.nodes]
    return max(at - since - LONG_POLL_WAIT_MS / 1000 for at, since in zip(told, began, strict=True))


def mute(fleet, grace, lasts, nodes=200, answer=0.02):
    """Open watches fall silent, calls are swallowed for so long: how far beyond its limit the last is told.

    A change made at the return counts as told TOLD_IN later, or NOTIFIED_AFTER_S beyond the wait of a watch
    that was asked for before and is out still.
    """
    world = World(fleet, grace, nodes, answer=answer)
    world.loop.run(30.0)
    world.registry.fall_silent()
    world.registry.manner = "mute"
    back = 30.0 + lasts
    world.loop.run(back)
    world.registry.manner = "up"
    waits_end = [node.discovery.transport.watched + LONG_POLL_WAIT_MS / 1000 for node in world.nodes]
    world.registry.change()
    world.loop.run(back + 60.0)
    limits = [max(back + TOLD_IN, end + NOTIFIED_AFTER_S) + grace + SLACK for end in waits_end]
    told = [node.told.get(2, float("inf")) for node in world.nodes]
    return max(at - limit for at, limit in zip(told, limits, strict=True))


def moved(manner, fleet, grace, lasts, nodes=200, answer=ANSWER):
    """A SIGHUP to an address that is up only after so long: how late, from then on."""
    world = World(fleet, grace, nodes, answer=answer)
    world.second.manner, world.second.index = manner, 7
    world.loop.run(30.0)
    for node in world.nodes:
        node.discovery.switch_address("second")
    world.loop.run(30.0 + lasts)
    world.second.manner = "up"
    world.loop.run(90.0 + lasts)
    return world.late(30.0 + lasts, 7)


def turned(fleet, grace, whole=True, each=0.0):
    """A SIGHUP for all at once, to a discovery that is up."""
    world = World(fleet, grace)
    world.second.whole, world.second.each, world.second.index = whole, each, 7
    world.loop.run(30.0)
    for node in world.nodes:
        node.discovery.switch_address("second")
    world.loop.run(90.0)
    return world


def a_second(calls, begin, end):
    """Calls a second over a while, and in its worst second."""
    within = sorted(at for at in calls if begin <= at < end)
    worst = max((sum(at <= other < at + 1.0 for other in within) for at in within), default=0)
    return len(within) / (end - begin), worst


def load(fleet, manner, grace, each=1 / 9, lasts=20.0):
    """A discovery of so much a call, away for a while: calls a second, and when sidecars were told."""
    world = World(fleet, grace, each=0.0)
    world.loop.run(30.0)
    world.registry.each = each
    world.registry.manner = manner
    world.registry.reset()
    world.loop.run(30.0 + lasts)
    world.registry.manner = "up"
    world.registry.change()
    back = 30.0 + lasts
    world.loop.run(back + 60.0)
    limit = TOLD_IN + grace + SLACK
    told = sorted(node.told.get(2, float("inf")) - back for node in world.nodes)
    return {
        "down": a_second(world.registry.calls, 30.0, back),
        "back": a_second(world.registry.calls, back, back + 10.0),
        "in time": sum(at <= limit for at in told),
        "in 30 s": sum(at <= 30.0 for at in told),
        "last": told[-1],
    }


FLEETS = (6, 30, 200)
MANNERS = ("503", "late 503", "refused", "never up")
LASTS = (0.0, 0.5, 3.0, 8.0, 20.0, 21.3)  # seconds


@pytest.mark.parametrize("grace", GRACES)
@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize("manner", MANNERS)
def test_after_an_outage_every_sidecar_is_told_in_time(manner, fleet, grace):
    """Also where an answer takes all the time that it may, and the last call failed as late as it can."""
    for lasts in LASTS:
        assert outage(manner, fleet, grace, lasts, nodes=40) <= TOLD_IN + grace + SLACK


@pytest.mark.parametrize("grace", GRACES)
@pytest.mark.parametrize("manner", MANNERS)
def test_after_a_sighup_to_an_address_that_is_not_up_every_sidecar_is_told_in_time(manner, grace):
    for lasts in LASTS:
        assert moved(manner, 200, grace, lasts, nodes=40) <= TOLD_IN + grace + SLACK


@pytest.mark.parametrize("grace", GRACES)
@pytest.mark.parametrize("fleet", FLEETS)
def test_two_silences_in_a_row_keep_what_was_missed_in_time(fleet, grace):
    left = long_poll_timeouts(int(grace * SECOND)).resync_stall_s  # for the answer to the one that is heard
    assert left >= (NOTIFIED_AFTER_S - MIN_STALL_TIMEOUT_S) / 2
    for in_a_row, answer in ((1, NOTIFIED_AFTER_S), (2, left)):
        late = silences(fleet, grace, in_a_row, nodes=40, answer=min(answer, left))
        assert late <= NOTIFIED_AFTER_S + grace + SLACK


@pytest.mark.parametrize("grace", GRACES)
@pytest.mark.parametrize("fleet", FLEETS)
def test_a_discovery_that_swallowed_calls_for_a_while_tells_in_time_when_it_is_back(fleet, grace):
    answer = long_poll_timeouts(int(grace * SECOND)).resync_stall_s
    for lasts in MUTES:
        assert mute(fleet, grace, lasts, nodes=40, answer=answer) <= 0.0


def test_times_that_the_parts_count_on_agree():
    assert endpoint_set_module.POLL_TIMEOUT_NS == NOTIFIED_AFTER_S * SECOND == ANSWER * SECOND
    assert CONNECT_WITHIN <= ANSWER < discovery.ANSWER_TIMEOUT_S
    assert endpoint_set_module.LIST_DEADLINE_NS == TOLD_IN * SECOND


def test_a_discovery_without_whole_lists_is_asked_no_more_often_than_one_that_is_down():
    """It was asked by each sidecar every 2 s, by all in the same instant: 200 calls and 98 a second."""
    mean, worst = a_second(turned(200, 0.5, whole=False).second.calls, 30.0, 90.0)
    assert mean <= 200 / 4.0 and worst <= 80


def test_a_sighup_is_not_answered_by_all_sidecars_at_once():
    for fleet, most in ((30, 25), (200, 80)):
        assert a_second(turned(fleet, 0.5).second.wholes, 30.0, 40.0)[1] <= most
    assert turned(30, 0.5, each=1 / 9).late(30.0, 7) <= 15.0  # eleven of thirty never got a list


def test_pushed_lists_are_asked_for_at_once_after_a_sighup():
    world = World(1, 4.0, 0)
    node = Node(world.loop, {"first": world.registry, "second": world.second}, 1, 4.0, 1, pushed=True)
    node.discovery.watch(True)
    world.loop.run(30.0)
    node.discovery.switch_address("second")
    world.loop.run(30.1)
    assert world.second.wholes == [30.0] and 1 in node.told


def test_a_sighup_while_discovery_is_down_starts_no_second_chain_of_calls():
    """Each used to add a timer of its own that went on for as long as the outage."""

    def calls(turns):
        world = World(6, 0.5)
        world.loop.run(30.0)
        world.registry.manner = world.second.manner = "503"
        for count in range(turns):
            for node in world.nodes:
                node.discovery.switch_address("first" if count % 2 else "second")
            world.loop.run(31.0 + count)
        world.loop.run(100.0)
        return a_second(world.second.calls, 50.0, 100.0)[0]

    assert 0 < calls(9) <= calls(1) * 1.2


def test_in_a_long_outage_each_sidecar_asks_hardly_more_often_than_it_must():
    """A mean wait of 0.55 of the span cost a third more calls, and told nobody in better time."""
    world = World(200, 0.5)
    world.loop.run(30.0)
    world.registry.manner = "503"
    world.registry.reset()
    world.loop.run(90.0)
    mean, worst = a_second(world.registry.calls, 50.0, 90.0)
    assert mean <= 200 / (0.85 * 4.5) and worst <= 75


@pytest.mark.parametrize("late", [1.0, 3.0], ids=["before-the-next-call", "after-it"])
def test_an_answer_that_comes_after_its_watch_was_given_up_leaves_the_sidecar_watching(late):
    """The watch beside a silent one fails, the silent one answers: the module then thought it watched."""

    world = World(200, 0.5, 1)
    world.loop.run(30.0)
    registry, node = world.registry, world.nodes[0]
    (held,) = registry.waiting
    registry.fall_silent()
    failed = node.discovery.polled_at + LONG_POLL_WAIT_MS / 1000 + node.discovery.timeouts.poll_stall_s
    registry.manner = "503"
    world.loop.run(failed + late)
    registry.index = 2
    assert held.done is not None
    held.end(registry._body(False), "")
    registry.manner = "up"
    world.loop.run(failed + 30.0)
    registry.change()
    world.loop.run(failed + 30.0 + TOLD_IN)
    assert 3 in node.told


def test_an_outage_of_hours_ends_no_asking():
    """The span was doubled by a power of the failures, which went beyond any number at the 1024th."""
    balancer, now = Balancer(settings(polling_required=True), 1), START
    for _ in range(1500):
        actions = balancer.handle(now, Membership(ListKind.FAILED, 0, []))
        while not any(isinstance(action, Watch) for action in actions):
            timer = next(action for action in actions if isinstance(action, SetTimer))
            now += timer.after_ns
            actions = balancer.handle(now, Timer(timer.token))


MUTES = (1.0, 10.0, 18.0, 21.0, 23.0, 25.0, 30.0, 45.0, 70.0)  # seconds


def tables():
    print("term: the last sidecar told, in seconds after discovery's return; an answer takes 2 s")
    for grace, fleet in itertools.product(GRACES, FLEETS):
        row = {manner: max(outage(manner, fleet, grace, lasts) for lasts in LASTS) for manner in MANNERS}
        row |= {f"moved, {manner}": max(moved(manner, fleet, grace, t) for t in LASTS) for manner in MANNERS}
        limit = TOLD_IN + grace + SLACK
        print(grace, fleet, f"limit {limit:.2f}", {k: round(v, 2) for k, v in row.items()})
    print("silence: the last told, in seconds after the first watch's wait; answers take 20 ms, then 1 s")
    for grace, fleet in itertools.product(GRACES, FLEETS):
        row = [silences(fleet, grace, n, answer=a) for a in (0.02, 1.0) for n in (1, 2, 3)]
        print(grace, fleet, f"limit {NOTIFIED_AFTER_S + grace + SLACK:.2f}", [round(v, 2) for v in row])
    print("swallowed calls: seconds of the last one told beyond its limit; answers take 20 ms, then 1 s")
    for grace, fleet in itertools.product(GRACES, FLEETS):
        row = [max(mute(fleet, grace, lasts, answer=a) for lasts in MUTES) for a in (0.02, 1.0)]
        print(grace, fleet, [round(v, 2) for v in row])
    print("load: calls a second (mean, worst second), discovery of nine calls a second")
    for manner, grace, fleet in itertools.product(("503", "late 503"), (0.5, 2.5), FLEETS):
        print(manner, grace, fleet, load(fleet, manner, grace))
    print("no whole lists: calls a second after a SIGHUP, in the first second and after it")
    for fleet in FLEETS:
        world = turned(fleet, 0.5, whole=False)
        calls = world.second.calls
        print(fleet, a_second(calls, 30.0, 31.0), a_second(calls, 31.0, 90.0))
    print("SIGHUP to a discovery of nine calls a second: told in 6 s, in 30 s, last")
    for fleet in FLEETS:
        world = turned(fleet, 0.5, each=1 / 9)
        told = sorted(node.told.get(7, float("inf")) - 30 for node in world.nodes)
        print(fleet, sum(t <= 6 for t in told), sum(t <= 30 for t in told), round(told[-1], 2))
    print("calls a second that discovery has to manage for 200 sidecars to be told in time")
    for grace, rate in itertools.product((0.5, 2.5), (15, 20, 25, 30, 35, 40, 45, 50, 60)):
        got = [load(200, manner, grace, each=1 / rate) for manner in ("503", "late 503")]
        print(grace, rate, [(one["in time"], one["in 30 s"], round(one["last"], 2)) for one in got])


if __name__ == "__main__":
    sys.exit(tables())
