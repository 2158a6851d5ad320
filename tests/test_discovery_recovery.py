"""When sidecars are notified once discovery is back, and how often they poll meanwhile: in simulated time.

The balancer and the discovery client are the real ones; the loop and discovery are simulated.
`PYTHONPATH=. python tests/test_discovery_recovery.py` prints the tables of `docs/design/discovery.md`.
"""

import heapq
import itertools
import json
import sys
from dataclasses import dataclass, field

import pytest
from helpers import START, settings
from net_helpers import HOST, endpoint_update, entry

from ochreflow import Balancer
from ochreflow.core.endpoints import EndpointIds
from ochreflow.http.discovery_transport import CONNECT_TIMEOUT_S
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

NS_PER_S = 1_000_000_000
NOTIFIED_IN_S = 6.0  # until what discovery has counts as notified, by the protocol
SLACK_S = 0.05  # by which every limit grows on sockets
MAX_ANSWER_S = 2.0  # an answer takes no longer by the protocol, or it is a 503
SERVERS = 4
GRACES_S = (0.0, 0.5, 2.5)


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
class PendingRequest:
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
class SimulatedDiscovery:
    """Discovery: what it does with a request as it comes is its `behaviour`.

    With `each` it works through its requests one at a time, so many seconds for one; who would wait longer
    than MAX_ANSWER_S gets a 503 then, and is processed all the same. A poll that waits costs nothing more.
    """

    loop: Loop
    behaviour: str = "up"
    answer: float = 0.02  # seconds
    each: float = 0.0
    serves_complete_lists: bool = True  # whether it answers with complete lists
    index: int = 1
    free_at: float = 0.0
    waiting: list = field(default_factory=list)
    calls: list = field(default_factory=list)  # times
    complete_list_calls: list = field(default_factory=list)  # ... of those for complete lists

    def get(self, request):
        self.calls.append(self.loop.now)
        if request.after is None:
            self.complete_list_calls.append(self.loop.now)
        if self.behaviour == "up" and not self.serves_complete_lists and request.after is None:
            return  # mute
        if self.behaviour in ("refused", "503"):
            self.loop.call_soon(request.end, None, self.behaviour)
        elif self.behaviour == "late 503":
            self.loop.call_later(MAX_ANSWER_S, request.end, None, "503")
        elif self.behaviour == "never up":
            self.loop.call_later(CONNECT_TIMEOUT_S, request.end, None, "CONNECT_FAILED")
        elif self.behaviour == "up":
            self._work(request)

    def _work(self, request):
        took = self.answer
        if self.each:
            begun = max(self.loop.now, self.free_at)
            self.free_at = begun + self.each
            if begun - self.loop.now > MAX_ANSWER_S:
                self.loop.call_later(MAX_ANSWER_S, request.end, None, "503")
                return
            took = self.free_at - self.loop.now
        self.loop.call_later(took, self._say, request)

    def _say(self, request):
        if request.after is None:
            request.end(self._body(True), "")
        elif request.after < self.index:
            request.end(self._body(False), "")
        else:
            self.waiting.append(request)
            self.loop.call_later(request.wait, self._expire, request)

    def _expire(self, request):
        if request in self.waiting:
            self.waiting.remove(request)
            request.end(json.dumps(endpoint_update(self.index, snapshot=False)).encode(), "")

    def _body(self, snapshot):
        drained = [entry(f"s{n}", f"{HOST}:7", "DRAINING") for n in range(SERVERS)]
        return json.dumps(endpoint_update(self.index, *drained, snapshot=snapshot)).encode()

    def change(self):
        self.index += 1
        waiting, self.waiting = self.waiting, []
        for request in waiting:
            request.end(self._body(False), "")

    def reset(self):
        """As it goes down, or the connections do."""
        waiting, self.waiting = self.waiting, []
        for request in waiting:
            request.end(None, "RESET")

    def stall_open_polls(self):
        """Open watches are forgotten: neither an answer nor an end."""
        self.waiting = []


class SimulatedTransport:
    """Calls of one sidecar to the discovery at one address."""

    def __init__(self, loop, registry):
        self.loop, self.registry = loop, registry
        self.watched = 0.0  # when the latest poll was sent

    def get(self, target, within, done):
        request = PendingRequest(done, target, self.loop.now)
        if request.after is not None:
            self.watched = self.loop.now
        self.loop.call_later(within, request.end, None, "TIMEOUT")
        self.registry.get(request)

    def close(self):
        pass


class StallingTransport(SimulatedTransport):
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
        self.notified_at = {}  # index -> when
        grace_ns = int(grace * NS_PER_S)
        self.balancer = Balancer(
            settings(polling_required=not pushed, fleet_size=fleet, drain_grace_ns=grace_ns), seed
        )
        self.discovery = DiscoveryClient(
            loop,
            lambda address: SimulatedTransport(loop, registry[address]),
            "first",
            EndpointIds(["a"], ["std"]),
            known,
            self.on_update,
            pushed=pushed,
            timeouts=long_poll_timeouts(grace_ns),
        )
        self.post(Membership(ListKind.CACHED, known, []))

    def post(self, event):
        for action in self.balancer.handle(START + int(self.loop.now * NS_PER_S), event):
            if isinstance(action, Watch):
                self.discovery.watch(on=action.on)
            elif isinstance(action, SetTimer):
                after = -(-action.after_ns // 1_000_000) / 1000
                self.loop.call_later(after, self.post, Timer(action.token))

    def on_update(self, news):
        if news is None:
            self.post(Membership(ListKind.FAILED, 0, []))
            return
        self.notified_at.setdefault(news.version, self.loop.now)
        self.post(news.to_membership())


class World:
    """Many sidecars of one fleet, and discovery at two addresses."""

    def __init__(self, fleet, grace, nodes=None, answer=0.02, each=0.0):
        self.loop = Loop()
        self.registry = SimulatedDiscovery(self.loop, answer=answer, each=each)
        self.second = SimulatedDiscovery(self.loop, answer=answer, each=each, index=1)
        known = {"first": self.registry, "second": self.second}
        self.nodes = [
            Node(self.loop, known, fleet, grace, seed) for seed in range(fleet if nodes is None else nodes)
        ]

    def latest_after(self, since, index=2):
        """How long after `since` the last sidecar was notified, in seconds."""
        return max(node.notified_at.get(index, float("inf")) for node in self.nodes) - since


def outage(behaviour, fleet, grace, outage_s, nodes=200, answer=MAX_ANSWER_S):
    """All polls are reset, and requests fail in this way for so long; a change is made meanwhile."""
    world = World(fleet, grace, nodes)
    world.loop.run(30.0)
    world.registry.answer = answer
    world.registry.behaviour = behaviour
    world.registry.reset()
    world.loop.run(30.0 + outage_s)
    world.registry.behaviour = "up"
    world.registry.change()
    world.loop.run(90.0 + outage_s)
    return world.latest_after(30.0 + outage_s)


def stalls(fleet, grace, in_a_row, nodes=200, answer=0.02):
    """So many polls of each sidecar in a row stall: how late, from the end of the first one's wait."""
    world = World(fleet, grace, nodes, answer=answer)
    world.loop.run(30.0)
    began = [node.discovery.polled_at for node in world.nodes]
    for node in world.nodes:
        node.discovery.transport = StallingTransport(world.loop, world.registry, in_a_row - 1)
    world.registry.stall_open_polls()
    world.registry.change()
    world.loop.run(150.0)
    notified_at = [node.notified_at.get(2, float("inf")) for node in world.nodes]
    return max(at - since - LONG_POLL_WAIT_MS / 1000 for at, since in zip(notified_at, began, strict=True))


def dropped_requests(fleet, grace, outage_s, nodes=200, answer=0.02):
    """Open polls stall, requests are dropped for so long: how far beyond its limit the last is notified.

    A change made at the return counts as notified NOTIFIED_IN_S later, or NOTIFIED_AFTER_S beyond the wait of
    a poll that was sent before and is still open.
    """
    world = World(fleet, grace, nodes, answer=answer)
    world.loop.run(30.0)
    world.registry.stall_open_polls()
    world.registry.behaviour = "mute"
    back = 30.0 + outage_s
    world.loop.run(back)
    world.registry.behaviour = "up"
    waits_end = [node.discovery.transport.watched + LONG_POLL_WAIT_MS / 1000 for node in world.nodes]
    world.registry.change()
    world.loop.run(back + 60.0)
    limits = [max(back + NOTIFIED_IN_S, end + NOTIFIED_AFTER_S) + grace + SLACK_S for end in waits_end]
    notified_at = [node.notified_at.get(2, float("inf")) for node in world.nodes]
    return max(at - limit for at, limit in zip(notified_at, limits, strict=True))


def switched_while_down(behaviour, fleet, grace, outage_s, nodes=200, answer=MAX_ANSWER_S):
    """A SIGHUP to an address that is up only after so long: how late, from then on."""
    world = World(fleet, grace, nodes, answer=answer)
    world.second.behaviour, world.second.index = behaviour, 7
    world.loop.run(30.0)
    for node in world.nodes:
        node.discovery.switch_address("second")
    world.loop.run(30.0 + outage_s)
    world.second.behaviour = "up"
    world.loop.run(90.0 + outage_s)
    return world.latest_after(30.0 + outage_s, 7)


def switched_at_once(fleet, grace, serves_complete_lists=True, each=0.0):
    """A SIGHUP for all at once, to a discovery that is up."""
    world = World(fleet, grace)
    world.second.serves_complete_lists, world.second.each, world.second.index = serves_complete_lists, each, 7
    world.loop.run(30.0)
    for node in world.nodes:
        node.discovery.switch_address("second")
    world.loop.run(90.0)
    return world


def calls_per_second(calls, begin, end):
    """Calls a second over a while, and in its worst second."""
    within = sorted(at for at in calls if begin <= at < end)
    worst = max((sum(at <= other < at + 1.0 for other in within) for at in within), default=0)
    return len(within) / (end - begin), worst


def load(fleet, behaviour, grace, each=1 / 9, outage_s=20.0):
    """A discovery of so much a call, away for a while: calls a second, and when sidecars were notified."""
    world = World(fleet, grace, each=0.0)
    world.loop.run(30.0)
    world.registry.each = each
    world.registry.behaviour = behaviour
    world.registry.reset()
    world.loop.run(30.0 + outage_s)
    world.registry.behaviour = "up"
    world.registry.change()
    back = 30.0 + outage_s
    world.loop.run(back + 60.0)
    limit = NOTIFIED_IN_S + grace + SLACK_S
    notified_at = sorted(node.notified_at.get(2, float("inf")) - back for node in world.nodes)
    return {
        "down": calls_per_second(world.registry.calls, 30.0, back),
        "back": calls_per_second(world.registry.calls, back, back + 10.0),
        "in time": sum(at <= limit for at in notified_at),
        "in 30 s": sum(at <= 30.0 for at in notified_at),
        "last": notified_at[-1],
    }


FLEETS = (6, 30, 200)
BEHAVIOURS = ("503", "late 503", "refused", "never up")
OUTAGES_S = (0.0, 0.5, 3.0, 8.0, 20.0, 21.3)


@pytest.mark.parametrize("grace", GRACES_S)
@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize("behaviour", BEHAVIOURS)
def test_after_an_outage_every_sidecar_is_notified_in_time(behaviour, fleet, grace):
    """Also where an answer takes all the time that it may, and the last call failed as late as it can."""
    for outage_s in OUTAGES_S:
        assert outage(behaviour, fleet, grace, outage_s, nodes=40) <= NOTIFIED_IN_S + grace + SLACK_S


@pytest.mark.parametrize("grace", GRACES_S)
@pytest.mark.parametrize("behaviour", BEHAVIOURS)
def test_after_a_sighup_to_an_address_that_is_not_up_every_sidecar_is_notified_in_time(behaviour, grace):
    for outage_s in OUTAGES_S:
        assert (
            switched_while_down(behaviour, 200, grace, outage_s, nodes=40) <= NOTIFIED_IN_S + grace + SLACK_S
        )


@pytest.mark.parametrize("grace", GRACES_S)
@pytest.mark.parametrize("fleet", FLEETS)
def test_two_stalls_in_a_row_keep_what_was_missed_in_time(fleet, grace):
    left = long_poll_timeouts(int(grace * NS_PER_S)).resync_stall_s  # for the answer to the one that is heard
    assert left >= (NOTIFIED_AFTER_S - MIN_STALL_TIMEOUT_S) / 2
    for in_a_row, answer in ((1, NOTIFIED_AFTER_S), (2, left)):
        late_s = stalls(fleet, grace, in_a_row, nodes=40, answer=min(answer, left))
        assert late_s <= NOTIFIED_AFTER_S + grace + SLACK_S


@pytest.mark.parametrize("grace", GRACES_S)
@pytest.mark.parametrize("fleet", FLEETS)
def test_a_discovery_that_dropped_requests_for_a_while_notifies_in_time_when_it_is_back(fleet, grace):
    answer = long_poll_timeouts(int(grace * NS_PER_S)).resync_stall_s
    for outage_s in DROPPED_S:
        assert dropped_requests(fleet, grace, outage_s, nodes=40, answer=answer) <= 0.0


def test_times_that_the_parts_count_on_agree():
    assert endpoint_set_module.POLL_TIMEOUT_NS == NOTIFIED_AFTER_S * NS_PER_S == MAX_ANSWER_S * NS_PER_S
    assert CONNECT_TIMEOUT_S <= MAX_ANSWER_S < discovery.ANSWER_TIMEOUT_S
    assert endpoint_set_module.LIST_DEADLINE_NS == NOTIFIED_IN_S * NS_PER_S


def test_a_discovery_without_complete_lists_is_polled_no_more_often_than_one_that_is_down():
    """It was polled by each sidecar every 2 s, by all in the same instant: 200 calls and 98 a second."""
    mean, worst = calls_per_second(
        switched_at_once(200, 0.5, serves_complete_lists=False).second.calls, 30.0, 90.0
    )
    assert mean <= 200 / 4.0 and worst <= 80


def test_a_sighup_is_not_answered_by_all_sidecars_at_once():
    for fleet, most in ((30, 25), (200, 80)):
        assert (
            calls_per_second(switched_at_once(fleet, 0.5).second.complete_list_calls, 30.0, 40.0)[1] <= most
        )
    assert (
        switched_at_once(30, 0.5, each=1 / 9).latest_after(30.0, 7) <= 15.0
    )  # eleven of thirty never got a list


def test_pushed_lists_are_polled_at_once_after_a_sighup():
    world = World(1, 4.0, 0)
    node = Node(world.loop, {"first": world.registry, "second": world.second}, 1, 4.0, 1, pushed=True)
    node.discovery.watch(on=True)
    world.loop.run(30.0)
    node.discovery.switch_address("second")
    world.loop.run(30.1)
    assert world.second.complete_list_calls == [30.0] and 1 in node.notified_at


def test_a_sighup_while_discovery_is_down_starts_no_second_chain_of_calls():
    """Each used to add a timer of its own that went on for as long as the outage."""

    def calls(turns):
        world = World(6, 0.5)
        world.loop.run(30.0)
        world.registry.behaviour = world.second.behaviour = "503"
        for count in range(turns):
            for node in world.nodes:
                node.discovery.switch_address("first" if count % 2 else "second")
            world.loop.run(31.0 + count)
        world.loop.run(100.0)
        return calls_per_second(world.second.calls, 50.0, 100.0)[0]

    assert 0 < calls(9) <= calls(1) * 1.2


def test_in_a_long_outage_each_sidecar_polls_hardly_more_often_than_it_must():
    """A mean wait of 0.55 of the span cost a third more calls, and notified nobody in better time."""
    world = World(200, 0.5)
    world.loop.run(30.0)
    world.registry.behaviour = "503"
    world.registry.reset()
    world.loop.run(90.0)
    mean, worst = calls_per_second(world.registry.calls, 50.0, 90.0)
    assert mean <= 200 / (0.85 * 4.5) and worst <= 75


@pytest.mark.parametrize("late_s", [1.0, 3.0], ids=["before-the-next-call", "after-it"])
def test_an_answer_that_comes_after_its_watch_was_given_up_leaves_the_sidecar_watching(late_s):
    """The watch beside a silent one fails, the silent one answers: the module then thought it watched."""

    world = World(200, 0.5, 1)
    world.loop.run(30.0)
    registry, node = world.registry, world.nodes[0]
    (held,) = registry.waiting
    registry.stall_open_polls()
    failed = node.discovery.polled_at + LONG_POLL_WAIT_MS / 1000 + node.discovery.timeouts.poll_stall_s
    registry.behaviour = "503"
    world.loop.run(failed + late_s)
    registry.index = 2
    assert held.done is not None
    held.end(registry._body(False), "")
    registry.behaviour = "up"
    world.loop.run(failed + 30.0)
    registry.change()
    world.loop.run(failed + 30.0 + NOTIFIED_IN_S)
    assert 3 in node.notified_at


def test_an_outage_of_hours_ends_no_polling():
    """The span was doubled by a power of the failures, which went beyond any number at the 1024th."""
    balancer, now = Balancer(settings(polling_required=True), 1), START
    for _ in range(1500):
        actions = balancer.handle(now, Membership(ListKind.FAILED, 0, []))
        while not any(isinstance(action, Watch) for action in actions):
            timer = next(action for action in actions if isinstance(action, SetTimer))
            now += timer.after_ns
            actions = balancer.handle(now, Timer(timer.token))


DROPPED_S = (1.0, 10.0, 18.0, 21.0, 23.0, 25.0, 30.0, 45.0, 70.0)


def tables():
    print("term: the last sidecar notified, in seconds after discovery's return; an answer takes 2 s")
    for grace, fleet in itertools.product(GRACES_S, FLEETS):
        row = {
            behaviour: max(outage(behaviour, fleet, grace, outage_s) for outage_s in OUTAGES_S)
            for behaviour in BEHAVIOURS
        }
        row |= {
            f"moved, {behaviour}": max(switched_while_down(behaviour, fleet, grace, t) for t in OUTAGES_S)
            for behaviour in BEHAVIOURS
        }
        limit = NOTIFIED_IN_S + grace + SLACK_S
        print(grace, fleet, f"limit {limit:.2f}", {k: round(v, 2) for k, v in row.items()})
    print("stalls: the last notified, in seconds after the first poll's wait; answers take 20 ms, then 1 s")
    for grace, fleet in itertools.product(GRACES_S, FLEETS):
        row = [stalls(fleet, grace, n, answer=a) for a in (0.02, 1.0) for n in (1, 2, 3)]
        print(grace, fleet, f"limit {NOTIFIED_AFTER_S + grace + SLACK_S:.2f}", [round(v, 2) for v in row])
    print("dropped requests: seconds of the last one notified beyond its limit; answers take 20 ms, then 1 s")
    for grace, fleet in itertools.product(GRACES_S, FLEETS):
        row = [
            max(dropped_requests(fleet, grace, outage_s, answer=a) for outage_s in DROPPED_S)
            for a in (0.02, 1.0)
        ]
        print(grace, fleet, [round(v, 2) for v in row])
    print("load: calls a second (mean, worst second), discovery of nine calls a second")
    for behaviour, grace, fleet in itertools.product(("503", "late 503"), (0.5, 2.5), FLEETS):
        print(behaviour, grace, fleet, load(fleet, behaviour, grace))
    print("no complete lists: calls a second after a SIGHUP, in the first second and after it")
    for fleet in FLEETS:
        world = switched_at_once(fleet, 0.5, serves_complete_lists=False)
        calls = world.second.calls
        print(fleet, calls_per_second(calls, 30.0, 31.0), calls_per_second(calls, 31.0, 90.0))
    print("SIGHUP to a discovery of nine calls a second: notified in 6 s, in 30 s, last")
    for fleet in FLEETS:
        world = switched_at_once(fleet, 0.5, each=1 / 9)
        notified_at = sorted(node.notified_at.get(7, float("inf")) - 30 for node in world.nodes)
        print(
            fleet,
            sum(t <= 6 for t in notified_at),
            sum(t <= 30 for t in notified_at),
            round(notified_at[-1], 2),
        )
    print("calls a second that discovery has to manage for 200 sidecars to be notified in time")
    for grace, rate in itertools.product((0.5, 2.5), (15, 20, 25, 30, 35, 40, 45, 50, 60)):
        got = [load(200, behaviour, grace, each=1 / rate) for behaviour in ("503", "late 503")]
        print(grace, rate, [(one["in time"], one["in 30 s"], round(one["last"], 2)) for one in got])


if __name__ == "__main__":
    sys.exit(tables())
