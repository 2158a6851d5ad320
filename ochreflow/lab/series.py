"""Time series of a run: requests, outcomes, latencies, and the requests in process or queued in each node."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .event_log import ClientOutcome, Event, EventKind, RunEvents

NS_PER_S = 1_000_000_000
STEP_S = 0.5
OUTCOMES = (
    ClientOutcome.SERVED,
    ClientOutcome.REJECTED,
    ClientOutcome.FAILED,
    ClientOutcome.UNANSWERED,
    ClientOutcome.ABANDONED,
)
PERCENTILES = (("p50", 0.5), ("p90", 0.9), ("p99", 0.99))
FINISHED = (EventKind.COMPLETED, EventKind.FAILED, EventKind.DISCARDED)

StepIndex = Callable[[int], int]  # the index of the step that contains a time in nanoseconds


@dataclass(slots=True)
class Series:
    """One value for each step of the run."""

    step_s: float = STEP_S
    requests: list[int] = field(default_factory=list)
    outcomes: dict[str, list[int]] = field(default_factory=dict)
    # Latency of served requests, by percentile:
    latency_s: dict[str, list[float]] = field(default_factory=dict)
    in_node: dict[str, list[int]] = field(default_factory=dict)  # requests by node, at the end of each step
    ejections: list[tuple[float, str]] = field(default_factory=list)  # time in seconds, and the ejected node
    faults: list[tuple[float, str]] = field(default_factory=list)  # time in seconds, and the steps as text


def build_series(run: RunEvents, duration_s: float) -> Series:
    """Return the series of a run, in steps of half a second."""
    started_at = next((event["at"] for event in run.runner if event["what"] == EventKind.RUN_STARTED), 0)
    step_count = max(int(duration_s / STEP_S), 1)

    def step_index(at: int) -> int:
        return min(max(int((at - started_at) / NS_PER_S / STEP_S), 0), step_count - 1)

    run_series = Series(
        requests=[0] * step_count, outcomes={str(name): [0] * step_count for name in OUTCOMES}
    )
    _add_clients(run_series, run.clients, step_index, step_count)
    for name, events in run.nodes.items():
        run_series.in_node[name] = _in_node(events, step_index, step_count)
    _add_runner(run_series, run.runner, started_at)
    return run_series


def _add_clients(
    run_series: Series, clients: list[list[Event]], step_index: StepIndex, step_count: int
) -> None:
    latencies_s: list[list[float]] = [[] for _ in range(step_count)]
    for events in clients:
        for event in events:
            step = step_index(event["at"])
            if event["what"] == EventKind.REQUEST_SENT:
                run_series.requests[step] += 1
            elif event["outcome"] in run_series.outcomes:
                run_series.outcomes[event["outcome"]][step] += 1
                if event["outcome"] == ClientOutcome.SERVED:
                    latencies_s[step].append(event["took"])
    for name, quantile in PERCENTILES:
        run_series.latency_s[name] = [percentile(values, quantile) for values in latencies_s]


def _add_runner(run_series: Series, runner_events: list[Event], started_at: int) -> None:
    for event in runner_events:
        elapsed_s = (event["at"] - started_at) / NS_PER_S
        if event["what"] == EventKind.STEP:
            at_s, text = round(elapsed_s, 2), _step_text(event)
            if run_series.faults and run_series.faults[-1][0] == at_s:
                text = f"{run_series.faults.pop()[1]}; {text}"
            run_series.faults.append((at_s, text))
        elif event["what"] == EventKind.EJECTED:
            run_series.ejections.append((elapsed_s, event["name"]))


def _step_text(event: dict[str, Any]) -> str:
    return f"{event['do'].replace('_', ' ')} {', '.join(map(str, event['nodes']))}".strip()


def percentile(values: list[float], quantile: float) -> float:
    """Return the value at a quantile between 0 and 1; 0 without values."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * quantile), len(ordered) - 1)] if ordered else 0.0


def _in_node(events: list[Event], step_index: StepIndex, step_count: int) -> list[int]:
    """Return the unfinished requests (not completed, failed or discarded) at the end of each step."""
    changes: dict[int, int] = defaultdict(int)
    for event in events:
        if event["what"] == EventKind.ACCEPTED:
            changes[step_index(event["at"])] += 1
        elif event["what"] in FINISHED:
            changes[step_index(event["at"])] -= 1
    unfinished, unfinished_by_step = 0, []
    for step in range(step_count):
        unfinished += changes[step]
        unfinished_by_step.append(unfinished)
    return unfinished_by_step
