"""Plays one scenario of the lab in simulated time, writes the same event logs, and asks the same judge."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from functools import partial
from hashlib import blake2b
from pathlib import Path
from typing import Any

from ..lab.arrivals import Arrivals, Due
from ..lab.event_log import MemoryEventLog
from ..lab.judge import judge
from ..lab.load import ANSWER_SLACK, LEAST_LEFT
from ..lab.node_model import Pod, Traits
from ..lab.scenario import Scenario, Step, arriving, node_traits, times
from ..lab.series import series
from ..lab.stage import MEANS, STATUSES, TROUBLES, ZONES, Played, entry, platform_config
from .build import Policy, load
from .clock import BEGIN, SECOND, Clock
from .sidecar import Sidecar
from .simulated_node import HOP, SimulatedNode

START = 0.5  # seconds that a sidecar takes to start
AFTER = 1.0  # seconds beyond the last deadline for which a run goes on
SLICE = 0.5  # seconds of simulated time between two reports of progress


class Registry:
    """The directory: the list as it is, and what each sidecar has been told of it."""

    def __init__(
        self, scenario: Scenario, seed: int, policy: Policy, clock: Clock, event_log: MemoryEventLog
    ) -> None:
        self.random = random.Random(seed)
        self.manners = scenario.directory
        self.api = policy.interface
        self.clock = clock
        self.event_log = event_log
        self.nodes: dict[str, SimulatedNode] = {}
        self.numbers: dict[str, int] = {}  # by which the module knows them
        self.names: dict[int, str] = {}
        self.entries: dict[str, dict[str, Any]] = {}
        self.watchers: list[Sidecar] = []
        self.down = False
        self.version = 0
        self.free_at = BEGIN  # when it has served those before

    def node(self, server: int) -> SimulatedNode | None:
        return self.nodes.get(self.names[server])

    def name(self, server: int) -> str:
        return self.names[server]

    def number(self, name: str) -> int:
        if name not in self.numbers:
            self.numbers[name] = len(self.numbers) + 1
            self.names[self.numbers[name]] = name
        return self.numbers[name]

    def put(self, change: dict[str, Any]) -> None:
        """Change an entry, and tell those who watch."""
        name = change["name"]
        made = {**self.entries.get(name, {}), **change}
        self.entries[name] = made
        self.version += 1
        self.clock.after(self.manners.late + HOP, self._tell_all, dict(made))

    def watch(self, sidecar: Sidecar) -> None:
        """Answer a call with the whole list, in its turn; after that it is told of changes."""
        turn = SECOND / self.manners.per_second if self.manners.per_second else 0
        self.free_at = max(self.free_at, self.clock.now) + int(turn)
        self.clock.at(self.free_at + int(2 * HOP * SECOND), self._answer, sidecar)

    def fail(self) -> None:
        """All watches break."""
        watchers, self.watchers = self.watchers, []
        for sidecar in watchers:
            sidecar.post(self.api.Membership(self.api.ListKind.FAILED, 0, []))

    def known(self) -> Any:
        """The list as a sidecar is given it at its start."""
        return self.membership(self.api.ListKind.CACHED, list(self.entries.values()))

    def membership(self, kind: Any, entries: list[dict[str, Any]]) -> Any:
        return self.api.Membership(kind, self.version, [self._endpoint(one) for one in entries])

    def _answer(self, sidecar: Sidecar) -> None:
        if self.down or self.random.random() < self.manners.resets:
            sidecar.post(self.api.Membership(self.api.ListKind.FAILED, 0, []))
            return
        if sidecar not in self.watchers:
            self.watchers.append(sidecar)
        listed = [one for one in self.entries.values() if one["status"] != "DELETED"]
        self._note(listed, True)
        sidecar.post(self.membership(self.api.ListKind.FULL, listed))

    def _tell_all(self, made: dict[str, Any]) -> None:
        if self.down:
            return
        self._note([made], False)
        for sidecar in self.watchers:
            sidecar.post(self.membership(self.api.ListKind.DELTA, [made]))

    def _note(self, entries: list[dict[str, Any]], whole: bool) -> None:
        told = {one["name"]: one["status"] for one in entries}
        self.event_log.record("told", entries=told, whole=whole)

    def _endpoint(self, one: dict[str, Any]) -> Any:
        states = {"SERVING": self.api.State.READY, "DRAINING": self.api.State.DRAINING}
        return self.api.Endpoint(
            self.number(one["name"]),
            ZONES.index(one["zone"]),
            0,
            one["group"],
            states.get(one["status"], self.api.State.REMOVED),
            1.0,
            one["since_ms"] * 1_000_000,
        )


class Simulation:
    """One run."""

    def __init__(self, scenario: Scenario, seed: int, policy: Policy) -> None:
        self.scenario = scenario
        self.seed = seed
        self.policy = policy
        self.clock = Clock()
        self.event_logs: dict[str, MemoryEventLog] = {}
        self.stage = self.event_log("stage")
        self.list = Registry(scenario, seed, policy, self.clock, self.event_log("directory"))
        self.sidecars: dict[int, Sidecar] = {}
        self.clients: list[MemoryEventLog] = []
        self.started = 0
        self.pods: dict[int, Pod] = {}  # of those that are there from the begin
        self.drawn: dict[str, tuple[float, float, str]] = {}  # what is wanted: work, when, class

    def event_log(self, name: str) -> MemoryEventLog:
        """The event log of that name; a node that comes again under its name goes on with its own."""
        return self.event_logs.setdefault(name, MemoryEventLog(self.clock.read))

    # Who takes part

    def node(self, number: int, cold: bool) -> dict[str, Any]:
        """Start a node; its entry for the list."""
        name = f"node-{number}"
        traits = Traits(**node_traits(self.scenario, name, cold))
        seed = self.seed * 1000 + number + (100_000 if cold else 0)
        since = self.clock.now // 1_000_000 if cold else 0
        made = entry(self.scenario, number, name, since)
        # One that comes back under its name has forgotten what it would drop, as its process has.
        alone = cold and not self.scenario.fleet.cold
        pod = Pod() if alone else self.pods.setdefault(made["group"], Pod())
        self.list.nodes[name] = SimulatedNode(traits, seed, self.clock, self.event_log(name), pod)
        return made

    def sidecar(self, number: int) -> None:
        given = platform_config(self.scenario, number, "", "", [])["settings"]
        self.started += 1
        seed = self.seed * 100 + number + 10_000 * self.started
        made = Sidecar(f"sidecar-{number}", self.policy, given, seed, self.clock, self.list, self.stage)
        self.sidecars[number] = made
        self.stage.record("started", name=made.name)
        made.post(self.list.known())

    # Clients

    def offer(self, arrivals: Any, number: int) -> None:
        """Plan the next request of the clients of one sidecar."""
        due = next(arrivals)
        if due.at < self.scenario.seconds:
            self.clock.at(BEGIN + int(due.at * SECOND), self._offered, arrivals, due, number)

    def _offered(self, arrivals: Any, due: Due, number: int) -> None:
        self.offer(arrivals, number)
        self.drawn[due.ident] = due.work * due.kind.work, due.at, due.kind.name
        self._try(due, number, 0, self.clock.now)

    def _try(self, due: Due, number: int, count: int, begin: int) -> None:
        left = due.kind.deadline - (self.clock.now - begin) / SECOND
        sidecar = self.sidecars[number]
        if count and left < LEAST_LEFT:
            return
        event_log, kind = self.clients[number - 1], due.kind
        ident = due.ident if not count else f"{due.ident}-{count}"
        event_log.record("asked", id=ident, cls=kind.name, deadline=left, first=due.ident)
        open_ = [True]

        def ended(outcome: str, body: str = "", again: float = 0.0) -> None:
            if not open_:
                event_log.record("answered", id=ident, outcome="extra", code=0, body="")
                return
            open_.clear()
            took = (self.clock.now - begin) / SECOND
            event_log.record("answered", id=ident, cls=kind.name, outcome=outcome, body=body, took=took)
            if outcome == "refused" and count + 1 < self.scenario.load.tries:
                self.clock.after(again, self._try, due, number, count + 1, begin)

        if not sidecar.alive:
            ended("lost")
            return
        taken = sidecar.ask(due, ident, left, count > 0, ended)

        def gone(outcome: str) -> None:
            if open_:
                ended(outcome)
                sidecar.left(taken)

        if due.leaves:
            self.clock.after(due.leaves, gone, "left")
        self.clock.after(left + ANSWER_SLACK, gone, "lost")

    # Steps

    def take(self, step: Step) -> None:
        self.stage.record("step", do=step.do, nodes=list(step.nodes))
        if step.do == "directory_down":
            self.list.down = True
            self.list.fail()
        elif step.do == "directory_up":
            self.list.down = False
        elif step.do.startswith("directory_"):  # restart, move: the new one has the same list
            self.list.fail()
        elif step.do.endswith("_sidecar"):
            for number in self.sidecars:
                self._replace_sidecar(number, step.do == "kill_sidecar")
        else:
            for place, number in enumerate(step.nodes):
                self._take_node(step, number, step.by[place] if step.by else number)

    def _replace_sidecar(self, number: int, kill: bool) -> None:
        """Killed, it is back after a while; ended, it answers what it holds beside the new one."""
        old = self.sidecars[number]
        if kill:
            self.stage.record("killed", name=old.name)
            old.kill()
            self.clock.after(START, self.sidecar, number)
        else:
            self.sidecar(number)
            if old in self.list.watchers:
                self.list.watchers.remove(old)

    def _take_node(self, step: Step, number: int, by: int) -> None:
        name = f"node-{number}"
        if step.do in TROUBLES:
            self.list.nodes[name].order(TROUBLES[step.do](step))
        elif step.do in ("freeze", "thaw"):
            node = self.list.nodes[name]
            node.freeze() if step.do == "freeze" else node.thaw()
        elif step.do in STATUSES:
            self.list.put({"name": name, "status": STATUSES[step.do]})
        elif step.do == "come":
            self.list.put(self.node(number, cold=True))
        else:
            self.list.nodes[name].kill()
            if step.do in ("gone", "replace"):
                self.list.put({"name": name, "status": "DELETED"})
            if step.do in ("restart", "replace"):
                self.list.put(self.node(by, cold=True))

    # The run

    def run(self, tick: Callable[[float], None] = lambda seconds: None) -> Played:
        scenario = self.scenario
        for number in range(1, scenario.fleet.nodes + 1):
            one = self.node(number, cold=scenario.fleet.cold)
            self.list.entries[one["name"]] = one
        self.stage.record("begin")
        kinds, habits = arriving(scenario)
        for number in range(1, scenario.sidecars + 1):
            self.clients.append(self.event_log(f"clients-{number}"))
            self.sidecar(number)
            part = scenario.load.rate / scenario.sidecars
            seed = self.seed * 100 + number
            row = Arrivals(kinds, part, scenario.load.keys, seed, partial(times, scenario), habits)
            self.offer(iter(row), number)
        for step in scenario.steps:
            self.clock.at(BEGIN + int(step.at * scenario.seconds * SECOND), self.take, step)
        longest = max(kind.deadline for kind in scenario.kinds.values())
        while self.clock.seconds < scenario.seconds + longest + AFTER:
            self.clock.run(self.clock.now + int(SLICE * SECOND))
            tick(self.clock.seconds)
        return self._judged()

    def _judged(self) -> Played:
        nodes = {name: made.events for name, made in self.event_logs.items() if name.startswith("node-")}
        clients = [made.events for made in self.clients]
        unsafe = [name for name, kind in self.scenario.kinds.items() if kind.repeat != "safe"]
        stage = self.stage.events
        report = judge(clients, nodes, self.event_logs["directory"].events, unsafe, stage, MEANS)
        whole = {name: made.events for name, made in sorted(self.event_logs.items())}
        digest = blake2b(json.dumps(whole).encode(), digest_size=16).hexdigest()
        return Played(report, 0.0, [], series(clients, nodes, stage, self.scenario.seconds), digest)


def simulate(scenario: Scenario, seed: int, program: Path | None = None) -> Played:
    """Play it with the decision module of a build; this package's own without `program`."""
    return Simulation(scenario, seed, load(program)).run()
