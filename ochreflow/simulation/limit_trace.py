"""Trace of the concurrency limit in a scenario, compared with an oracle that knows the capacity."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from ..lab.event_log import ClientOutcome, EventKind
from ..lab.scenario import Scenario
from .capacity_oracle import answerable_requests, logical_id
from .clock import NS_PER_S, START_NS
from .policy_loader import load_policy
from .simulation import Simulation

STEP_S = 0.5
MIN_SHED_SHARE = 0.05  # share of requests without an attempt, above which a step counts as shedding
RECOVERY_WINDOW_S = 5.0  # time after the fault's end in which `shed_after` is measured
MAX_PLOTTED_LIMIT = 1000.0  # limit of one sidecar; an unbounded limit is plotted as this value
NEVER_S = 1e9  # latency of a request that was not served


@dataclass(slots=True)
class Trace:
    """Values of all sidecars together, one for each step of `STEP_S`."""

    limit: list[float] = field(default_factory=list)
    inflight: list[float] = field(default_factory=list)
    pressure: list[float] = field(default_factory=list)  # pressure at the first sidecar
    offered: list[int] = field(default_factory=list)  # logical requests, by the time they were sent
    admitted: list[int] = field(default_factory=list)  # those of `offered` accepted by a node in any attempt
    in_time: list[int] = field(default_factory=list)  # those of `offered` answered within the objective
    oracle: list[int] = field(default_factory=list)  # those of `offered` answerable within the objective


@dataclass(slots=True)
class TraceSummary:
    """Totals of a trace."""

    offered: int
    in_time: int
    oracle: int
    needless: int  # requests shed in excess of those that the oracle sheds, added up over the steps
    late: int  # requests admitted but not answered in time
    recovery_s: float  # time from the fault's end to the end of the last shedding step
    shed_after: float  # share of requests without an attempt in RECOVERY_WINDOW_S after the fault


class _SampledSimulation(Simulation):
    """A simulation that samples its balancers while it runs."""

    def run_sampled(self) -> Trace:
        sampled = Trace()

        def on_tick(_elapsed_s: float) -> None:
            if len(sampled.limit) < int(self.scenario.duration_s / STEP_S):
                balancers = [sidecar.balancer for sidecar in self.sidecars.values()]
                sampled.limit.append(
                    sum(min(balancer.limiter.limit, MAX_PLOTTED_LIMIT) for balancer in balancers)
                )
                sampled.inflight.append(sum(balancer.endpoints.inflight for balancer in balancers))
                sampled.pressure.append(balancers[0].limiter.pressure)

        self.run(on_tick)
        return sampled


def trace(
    scenario: Scenario, seed: int, fault_end: float, build_dir: Path | None = None
) -> tuple[Trace, TraceSummary]:
    """Trace a scenario; `fault_end` is the end of its fault as a share of the run."""
    run = _SampledSimulation(scenario, seed, load_policy(build_dir))
    sampled = run.run_sampled()
    step_count = int(scenario.duration_s / STEP_S)
    served_after_s = _served_after_s(run)
    accepted = _accepted_by_nodes(run)
    answerable = answerable_requests(run)
    rows: dict[str, list[int]] = defaultdict(lambda: [0] * step_count)
    for request_id, (step, class_name) in _first_attempts(run, step_count).items():
        objective_s = scenario.request_classes[class_name].objective_s
        rows["offered"][step] += 1
        rows["admitted"][step] += request_id in accepted
        rows["in_time"][step] += served_after_s.get(request_id, NEVER_S) <= objective_s
        rows["oracle"][step] += request_id in answerable
    sampled.offered, sampled.admitted = rows["offered"], rows["admitted"]
    sampled.in_time, sampled.oracle = rows["in_time"], rows["oracle"]
    return sampled, _summary(sampled, fault_end * scenario.duration_s)


def _first_attempts(run: Simulation, step_count: int) -> dict[str, tuple[int, str]]:
    """Return the step and the class of each logical request, by its first attempt."""
    first_attempts: dict[str, tuple[int, str]] = {}
    for log in run.client_logs:
        for event in log.events:
            if event["what"] == EventKind.REQUEST_SENT and logical_id(event["id"]) == event["id"]:
                step = min(int((event["at"] - START_NS) / NS_PER_S / STEP_S), step_count - 1)
                first_attempts[event["id"]] = step, event["cls"]
    return first_attempts


def _served_after_s(run: Simulation) -> dict[str, float]:
    """Return the latency, in seconds, of each logical request that was served."""
    return {
        logical_id(event["id"]): event["took"]
        for log in run.client_logs
        for event in log.events
        if event["what"] == EventKind.RESPONSE and event["outcome"] == ClientOutcome.SERVED
    }


def _accepted_by_nodes(run: Simulation) -> set[str]:
    """Return the logical requests that a node accepted in any attempt."""
    return {
        logical_id(event["id"])
        for name, log in run.event_logs.items()
        if name.startswith("node-")
        for event in log.events
        if event["what"] == EventKind.ACCEPTED
    }


def _summary(sampled: Trace, fault_end_s: float) -> TraceSummary:
    shed = _differences(sampled.offered, sampled.admitted)
    unanswerable = _differences(sampled.offered, sampled.oracle)
    later_steps = range(int(fault_end_s / STEP_S), len(shed))
    shedding = [step for step in later_steps if shed[step] > MIN_SHED_SHARE * max(sampled.offered[step], 1)]
    recovery_steps = [step for step in later_steps if step * STEP_S < fault_end_s + RECOVERY_WINDOW_S]
    return TraceSummary(
        offered=sum(sampled.offered),
        in_time=sum(sampled.in_time),
        oracle=sum(sampled.oracle),
        needless=sum(max(one - other, 0) for one, other in zip(shed, unanswerable, strict=True)),
        late=sum(sampled.admitted) - sum(sampled.in_time),
        recovery_s=(shedding[-1] + 1) * STEP_S - fault_end_s if shedding else 0.0,
        shed_after=sum(shed[step] for step in recovery_steps)
        / max(sum(sampled.offered[step] for step in recovery_steps), 1),
    )


def _differences(total: list[int], part: list[int]) -> list[int]:
    return [one - other for one, other in zip(total, part, strict=True)]
