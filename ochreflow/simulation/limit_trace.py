"""What the module's concurrency limit does in a scenario, against an oracle that knows the fleet."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from ..lab.event_log import ClientOutcome, EventKind
from ..lab.scenario import Scenario
from .capacity_oracle import answerable, logical_id
from .clock import NS_PER_S, START_NS
from .policy_loader import load_policy
from .simulation import Simulation

STEP_S = 0.5
MIN_SHED_SHARE = 0.05  # of a step's requests without an attempt, from which the step counts as shedding
AFTERMATH_S = 5.0  # after the fault's end that are looked at by themselves
MAX_PLOTTED_LIMIT = 1000.0  # of one sidecar; a limit that is not bounded yet counts as this
NEVER_S = 1e9


@dataclass(slots=True)
class Trace:
    """One value for each step of half a second, of all sidecars together."""

    limit: list[float] = field(default_factory=list)
    inflight: list[float] = field(default_factory=list)
    pressure: list[float] = field(default_factory=list)  # of the first sidecar
    offered: list[int] = field(default_factory=list)  # logical requests, by when they were due
    admitted: list[int] = field(default_factory=list)  # ... of these, that reached a node in any attempt
    in_time: list[int] = field(default_factory=list)  # ... that were answered within the objective
    oracle: list[int] = field(default_factory=list)  # ... that could have been answered in time


@dataclass(slots=True)
class TraceSummary:
    """The sums of a trace."""

    offered: int
    in_time: int
    oracle: int
    needless: int  # without an attempt though the oracle would have admitted them, by step
    late: int  # admitted and not answered in time
    recovery_s: float  # after the fault's end until fewer than MIN_SHED_SHARE are shed, for good
    shed_after: float  # the share without an attempt in the AFTERMATH_S after the fault's end


class _SampledSimulation(Simulation):
    """A run that is sampled while it goes on."""

    def run_sampled(self) -> Trace:
        sampled = Trace()

        def on_tick(_elapsed_s: float) -> None:
            if len(sampled.limit) < int(self.scenario.duration_s / STEP_S):
                balancers = [sidecar.balancer for sidecar in self.sidecars.values()]
                sampled.limit.append(sum(min(one.limiter.limit, MAX_PLOTTED_LIMIT) for one in balancers))
                sampled.inflight.append(sum(one.endpoints.inflight for one in balancers))
                sampled.pressure.append(balancers[0].limiter.pressure)

        self.run(on_tick)
        return sampled


def trace(
    scenario: Scenario, seed: int, fault_end: float, program: Path | None = None
) -> tuple[Trace, TraceSummary]:
    """Play a scenario; `fault_end` is the part of the run at which its fault has passed."""
    run = _SampledSimulation(scenario, seed, load_policy(program))
    sampled = run.run_sampled()
    step_count = int(scenario.duration_s / STEP_S)
    served_after_s = _served_after_s(run)
    reached = _reached(run)
    could = answerable(run)
    rows: dict[str, list[int]] = defaultdict(lambda: [0] * step_count)
    for request_id, (step, class_name) in _first_attempts(run, step_count).items():
        objective_s = scenario.request_classes[class_name].objective_s
        rows["offered"][step] += 1
        rows["admitted"][step] += request_id in reached
        rows["in_time"][step] += served_after_s.get(request_id, NEVER_S) <= objective_s
        rows["oracle"][step] += request_id in could
    sampled.offered, sampled.admitted = rows["offered"], rows["admitted"]
    sampled.in_time, sampled.oracle = rows["in_time"], rows["oracle"]
    return sampled, _summary(sampled, fault_end * scenario.duration_s)


def _first_attempts(run: Simulation, step_count: int) -> dict[str, tuple[int, str]]:
    """Return the step and the class of each logical request."""
    found: dict[str, tuple[int, str]] = {}
    for log in run.client_logs:
        for event in log.events:
            if event["what"] == EventKind.REQUEST_SENT and logical_id(event["id"]) == event["id"]:
                step = min(int((event["at"] - START_NS) / NS_PER_S / STEP_S), step_count - 1)
                found[event["id"]] = step, event["cls"]
    return found


def _served_after_s(run: Simulation) -> dict[str, float]:
    """Return how long each logical request that was served took."""
    return {
        logical_id(event["id"]): event["took"]
        for log in run.client_logs
        for event in log.events
        if event["what"] == EventKind.RESPONSE and event["outcome"] == ClientOutcome.SERVED
    }


def _reached(run: Simulation) -> set[str]:
    """Return the logical requests that a node accepted in any attempt."""
    return {
        logical_id(event["id"])
        for name, log in run.event_logs.items()
        if name.startswith("node-")
        for event in log.events
        if event["what"] == EventKind.ACCEPTED
    }


def _summary(sampled: Trace, fault_end_s: float) -> TraceSummary:
    shed = _less(sampled.offered, sampled.admitted)
    could_not = _less(sampled.offered, sampled.oracle)
    after = range(int(fault_end_s / STEP_S), len(shed))
    shedding = [step for step in after if shed[step] > MIN_SHED_SHARE * max(sampled.offered[step], 1)]
    soon = [step for step in after if step * STEP_S < fault_end_s + AFTERMATH_S]
    return TraceSummary(
        offered=sum(sampled.offered),
        in_time=sum(sampled.in_time),
        oracle=sum(sampled.oracle),
        needless=sum(max(one - other, 0) for one, other in zip(shed, could_not, strict=True)),
        late=sum(sampled.admitted) - sum(sampled.in_time),
        recovery_s=(shedding[-1] + 1) * STEP_S - fault_end_s if shedding else 0.0,
        shed_after=sum(shed[step] for step in soon) / max(sum(sampled.offered[step] for step in soon), 1),
    )


def _less(total: list[int], part: list[int]) -> list[int]:
    return [one - other for one, other in zip(total, part, strict=True)]
