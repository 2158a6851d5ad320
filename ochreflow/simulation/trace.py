"""What the module's limit does on a course, step by step, against an oracle that knows the fleet."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..lab.scenario import Scenario
from .build import load
from .clock import BEGIN, SECOND
from .play import Simulation

STEP = 0.5  # seconds
SHEDDING = 0.05  # the share of a step's requests that went without an attempt, from which it counts as shed
IDLE_AFTER = 5.0  # seconds after the trouble's end that are looked at by themselves


@dataclass(slots=True)
class Trace:
    """One value for each step of half a second, of all sidecars together."""

    limit: list[float] = field(default_factory=list)
    inflight: list[float] = field(default_factory=list)
    pressure: list[float] = field(default_factory=list)  # of the first sidecar
    offered: list[int] = field(default_factory=list)  # what clients wanted, by when
    admitted: list[int] = field(default_factory=list)  # ... of it, what reached a node in any try
    in_time: list[int] = field(default_factory=list)
    oracle: list[int] = field(default_factory=list)  # ... what could have been answered in time


@dataclass(slots=True)
class Figures:
    """What a trace comes to."""

    offered: int
    in_time: int
    oracle: int
    needless: int  # that got no attempt and that the oracle would have admitted, by step
    late: int  # that were admitted and not answered in time
    lets_go_after: float  # seconds after the trouble's end until sheds under a twentieth, for good
    shed_after: float  # the share without an attempt in the five seconds after the trouble's end


class _Sampled(Simulation):
    """A run that is looked at while it goes on."""

    def run_traced(self) -> tuple[Trace, Any]:
        trace = Trace()

        def tick(seconds: float) -> None:
            if len(trace.limit) < int(self.scenario.seconds / STEP):
                balancers = [sidecar.balancer for sidecar in self.sidecars.values()]
                trace.limit.append(sum(min(one.limit.limit, 1000.0) for one in balancers))
                trace.inflight.append(sum(one.fleet.inflight for one in balancers))
                trace.pressure.append(balancers[0].limit.pressure)

        return trace, self.run(tick)


def trace(scenario: Scenario, seed: int, ended: float, program: Path | None = None) -> tuple[Trace, Figures]:
    """Play a course; `ended` is the part of the run at which its trouble has passed."""
    run = _Sampled(scenario, seed, load(program))
    made, _ = run.run_traced()
    steps = int(scenario.seconds / STEP)
    first: dict[str, tuple[int, str]] = {}  # by what is wanted: its step and class
    took: dict[str, float] = {}
    for event_log in run.clients:
        for event in event_log.events:
            wanted = event["id"].split("-")[0]
            if event["what"] == "asked" and wanted == event["id"]:
                at = min(int((event["at"] - BEGIN) / SECOND / STEP), steps - 1)
                first[wanted] = at, event["cls"]
            elif event["what"] == "answered" and event["outcome"] == "served":
                took[wanted] = event["took"]
    reached: set[str] = set()
    for name, event_log in run.event_logs.items():
        if name.startswith("node-"):
            reached |= {one["id"].split("-")[0] for one in event_log.events if one["what"] == "taken"}
    could = _oracle(run)
    rows: dict[str, list[int]] = defaultdict(lambda: [0] * steps)
    for wanted, (at, cls) in first.items():
        rows["offered"][at] += 1
        rows["admitted"][at] += wanted in reached
        rows["in_time"][at] += took.get(wanted, 1e9) <= scenario.kinds[cls].wanted
        rows["oracle"][at] += wanted in could
    made.offered, made.admitted = rows["offered"], rows["admitted"]
    made.in_time, made.oracle = rows["in_time"], rows["oracle"]
    return made, _figures(made, ended * scenario.seconds)


def _oracle(run: Simulation) -> set[str]:
    """What could be answered in time by a fleet that is one queue, whose capacity is known at each moment."""
    scenario = run.scenario
    events = [
        event
        for name, event_log in run.event_logs.items()
        if name.startswith(("node-", "clients-"))
        for event in event_log.events
    ]
    fleet = scenario.fleet
    held = fleet.room + (fleet.slots or fleet.cores)  # requests of a node, in hand and waiting
    began = {event["id"]: event["cost"] for event in events if event["what"] == "began"}
    drawn = run.drawn
    known = sum(drawn[ident.split("-")[0]][0] for ident in began) or 1.0
    saved = sum(began.values()) / known  # what nodes save by keys they know
    mean = sum(began.values()) / max(len(began), 1)
    backlog, before = 0.0, 0.0
    could = set()
    for ident, (work, at, cls) in sorted(drawn.items(), key=lambda item: item[1][1]):
        backlog = max(backlog - _capacity(run, (before + at) / 2) * (at - before), 0.0)
        before = at
        cost = work * saved
        capacity, nodes = _capacity(run, at), len(_nodes(run, at))
        if (
            backlog / max(capacity, 0.1) + cost <= scenario.kinds[cls].wanted
            and backlog < nodes * held * mean
        ):
            backlog += cost
            could.add(ident)
    return could


def _capacity(run: Simulation, at: float) -> float:
    """Warm cores of the fleet at a time."""
    return sum(_nodes(run, at).values())


def _nodes(run: Simulation, at: float) -> dict[int, float]:
    """The nodes that are there at a time, and the warm cores that each is worth, by the scenario."""
    scenario = run.scenario
    fleet = scenario.fleet
    since: dict[int, float] = dict.fromkeys(range(1, fleet.nodes + 1), 0.0 if fleet.cold else -1000000000.0)
    slow: dict[int, float] = {}
    for step in sorted(scenario.steps, key=lambda step: step.at):
        when = step.at * scenario.seconds
        if when > at:
            break
        for number in step.nodes:
            if step.do in ("gone", "vanish", "drain", "delist"):
                since.pop(number, None)
            elif step.do in ("come", "restart"):
                since[number] = when
            elif step.do in ("slow", "well"):
                slow[number] = step.much if step.do == "slow" else 1.0
    worth = {}
    for number, begin in since.items():
        part = fleet.start_capacity + (1.0 - fleet.start_capacity) * min(
            (at - begin) / fleet.warm_within, 1.0
        )
        worth[number] = fleet.cores * part / slow.get(number, 1.0)
    return worth


def _figures(made: Trace, ended: float) -> Figures:
    shed = [offered - admitted for offered, admitted in zip(made.offered, made.admitted, strict=True)]
    could_not = [offered - oracle for offered, oracle in zip(made.offered, made.oracle, strict=True)]
    after = range(int(ended / STEP), len(shed))
    shedding = [at for at in after if shed[at] > SHEDDING * max(made.offered[at], 1)]
    soon = [at for at in after if at * STEP < ended + IDLE_AFTER]
    return Figures(
        offered=sum(made.offered),
        in_time=sum(made.in_time),
        oracle=sum(made.oracle),
        needless=sum(max(one - other, 0) for one, other in zip(shed, could_not, strict=True)),
        late=sum(made.admitted) - sum(made.in_time),
        lets_go_after=(shedding[-1] + 1) * STEP - ended if shedding else 0.0,
        shed_after=sum(shed[at] for at in soon) / max(sum(made.offered[at] for at in soon), 1),
    )
