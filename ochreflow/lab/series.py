"""A run second by second: what was asked and came back, how long it took, and what each node had in hand."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from .event_log import Event

SECOND = 1_000_000_000
STEP = 0.5  # seconds of one bucket
OUTCOMES = ("served", "refused", "failed", "lost", "left")


@dataclass(slots=True)
class Series:
    """One value for each step of the run."""

    step: float = STEP
    asked: list[int] = field(default_factory=list)
    outcomes: dict[str, list[int]] = field(default_factory=dict)
    latency: dict[str, list[float]] = field(default_factory=dict)  # "p50", "p90", "p99" of what was served
    in_hand: dict[str, list[int]] = field(default_factory=dict)  # by node, at the end of each step
    ejected: list[tuple[float, str]] = field(default_factory=list)  # when, and what was said of it
    steps: list[tuple[float, str]] = field(default_factory=list)  # when, and which trouble


def series(
    clients: Iterable[Iterable[Event]],
    nodes: dict[str, list[Event]],
    stage: Iterable[Event],
    seconds: float,
) -> Series:
    """Put a run's event logs into steps of half a second."""
    told = list(stage)
    begin = next((event["at"] for event in told if event["what"] == "begin"), 0)
    count = max(int(seconds / STEP), 1)

    def slot(at: int) -> int:
        return min(max(int((at - begin) / SECOND / STEP), 0), count - 1)

    made = Series(asked=[0] * count, outcomes={name: [0] * count for name in OUTCOMES})
    took: list[list[float]] = [[] for _ in range(count)]
    for events in clients:
        for event in events:
            at = slot(event["at"])
            if event["what"] == "asked":
                made.asked[at] += 1
            elif event["outcome"] in made.outcomes:
                made.outcomes[event["outcome"]][at] += 1
                if event["outcome"] == "served":
                    took[at].append(event["took"])
    for name, part in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99)):
        made.latency[name] = [percentile(times, part) for times in took]
    for name, events in nodes.items():
        made.in_hand[name] = _in_hand(events, slot, count)
    for event in told:
        if event["what"] == "step":
            said = f"{event['do'].replace('_', ' ')} {', '.join(map(str, event['nodes']))}".strip()
            at = round((event["at"] - begin) / SECOND, 2)
            if made.steps and made.steps[-1][0] == at:
                said = f"{made.steps.pop()[1]}; {said}"
            made.steps.append((at, said))
        elif event["what"] == "ejected":
            made.ejected.append(((event["at"] - begin) / SECOND, event["name"]))
    return made


def percentile(times: list[float], part: float) -> float:
    """The value that so large a part of all stay under; 0 of none."""
    ordered = sorted(times)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)] if ordered else 0.0


def _in_hand(events: list[Event], slot, count: int) -> list[int]:
    """Requests taken and neither run, failed nor put aside: what was swallowed stays in hand."""
    change: dict[int, int] = defaultdict(int)
    for event in events:
        if event["what"] == "taken":
            change[slot(event["at"])] += 1
        elif event["what"] in ("ran", "failed", "put_aside"):
            change[slot(event["at"])] -= 1
    held, row = 0, []
    for at in range(count):
        held += change[at]
        row.append(held)
    return row
