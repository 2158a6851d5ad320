"""A run step by step: requests and their outcomes, latencies, and what each node had in process or queued."""

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

StepOf = Callable[[int], int]  # the step of a time in nanoseconds


@dataclass(slots=True)
class Series:
    """One value for each step of the run."""

    step_s: float = STEP_S
    requests: list[int] = field(default_factory=list)
    outcomes: dict[str, list[int]] = field(default_factory=dict)
    latency_s: dict[str, list[float]] = field(default_factory=dict)  # of what was served, by percentile
    in_node: dict[str, list[int]] = field(default_factory=dict)  # by node, at the end of each step
    ejections: list[tuple[float, str]] = field(default_factory=list)  # when in seconds, and of which node
    faults: list[tuple[float, str]] = field(default_factory=list)  # when in seconds, and which steps


def build_series(run: RunEvents, duration_s: float) -> Series:
    """Put a run's event logs into steps of half a second."""
    started_at = next((event["at"] for event in run.runner if event["what"] == EventKind.RUN_STARTED), 0)
    count = max(int(duration_s / STEP_S), 1)

    def step_of(at: int) -> int:
        return min(max(int((at - started_at) / NS_PER_S / STEP_S), 0), count - 1)

    made = Series(requests=[0] * count, outcomes={str(name): [0] * count for name in OUTCOMES})
    _add_clients(made, run.clients, step_of, count)
    for name, events in run.nodes.items():
        made.in_node[name] = _in_node(events, step_of, count)
    _add_runner(made, run.runner, started_at)
    return made


def _add_clients(made: Series, clients: list[list[Event]], step_of: StepOf, count: int) -> None:
    latencies_s: list[list[float]] = [[] for _ in range(count)]
    for events in clients:
        for event in events:
            step = step_of(event["at"])
            if event["what"] == EventKind.REQUEST_SENT:
                made.requests[step] += 1
            elif event["outcome"] in made.outcomes:
                made.outcomes[event["outcome"]][step] += 1
                if event["outcome"] == ClientOutcome.SERVED:
                    latencies_s[step].append(event["took"])
    for name, part in PERCENTILES:
        made.latency_s[name] = [percentile(values, part) for values in latencies_s]


def _add_runner(made: Series, runner_events: list[Event], started_at: int) -> None:
    for event in runner_events:
        elapsed_s = (event["at"] - started_at) / NS_PER_S
        if event["what"] == EventKind.STEP:
            at_s, text = round(elapsed_s, 2), _step_text(event)
            if made.faults and made.faults[-1][0] == at_s:
                text = f"{made.faults.pop()[1]}; {text}"
            made.faults.append((at_s, text))
        elif event["what"] == EventKind.EJECTED:
            made.ejections.append((elapsed_s, event["name"]))


def _step_text(event: dict[str, Any]) -> str:
    return f"{event['do'].replace('_', ' ')} {', '.join(map(str, event['nodes']))}".strip()


def percentile(values: list[float], part: float) -> float:
    """Return the value that so large a part of all stay under; 0 of none."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)] if ordered else 0.0


def _in_node(events: list[Event], step_of: StepOf, count: int) -> list[int]:
    """Return the requests accepted and not finished, failed or discarded; a blackhole keeps them."""
    changes: dict[int, int] = defaultdict(int)
    for event in events:
        if event["what"] == EventKind.ACCEPTED:
            changes[step_of(event["at"])] += 1
        elif event["what"] in FINISHED:
            changes[step_of(event["at"])] -= 1
    current, row = 0, []
    for step in range(count):
        current += changes[step]
        row.append(current)
    return row
