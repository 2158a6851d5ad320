"""Slow-start runs for a person: a line for each fleet and share of cold servers, over many seeds."""

from __future__ import annotations

from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from .slow_start_metrics import SlowStartMetrics
from .slow_start_run import SlowStartCase, play

FLEETS = ((5, 10), (20, 20), (30, 10), (30, 60), (200, 200))  # sidecars, servers
REPLACED_SHARES = {
    "one": 0.0,
    "a fifth": 0.2,
    "six tenths": 0.6,
    "all": 1.0,
}  # of the servers, by the word shown
HEAD = "sidecars servers  cold       worst median present sends     N of capacity of its ramp served"


@dataclass(frozen=True, slots=True)
class SlowStartPlan:
    """Which runs to play."""

    fleets: list[str]  # named as "5/10"; empty: all of FLEETS
    seeds: int  # each case is played with seeds 1 to this
    processes: int  # runs at a time
    program: Path | None = None  # the folder of another build
    slow_while_warming_up: bool = False
    unequal: bool = False


@dataclass(slots=True)
class _PendingLine:
    """A line whose runs are not all played yet."""

    sidecars: int
    servers: int
    replaced_word: str  # one of REPLACED_SHARES
    runs: list[Future[SlowStartMetrics]]


def line(sidecars: int, servers: int, replaced_word: str, found: list[SlowStartMetrics]) -> str:
    """Return the line of a fleet: the worst and the median of the seeds, and means."""
    top = max(found, key=lambda one: one.slack)
    median = sorted(one.slack for one in found)[len(found) // 2]
    present = max(one.slack_present for one in found)
    means = [
        sum(getattr(one, name) for one in found) / len(found)
        for name in ("of_capacity", "of_slow_start_ramp", "served")
    ]
    return (
        f"{sidecars:>8} {servers:>7}  {replaced_word:<10} {top.slack:>5.2f} {median:>6.2f} {present:>7.2f} "
        f"{top.sends:>5} {top.budget:>5.1f} {means[0]:>11.3f} {means[1]:>10.3f} {means[2]:>7.3f}"
    )


def run(plan: SlowStartPlan) -> int:
    """Print the lines of the fleets of a plan."""
    print(HEAD)
    with ProcessPoolExecutor(plan.processes) as pool:
        pending = []
        for sidecars, servers in FLEETS:
            if plan.fleets and f"{sidecars}/{servers}" not in plan.fleets:
                continue
            for replaced_word, share in REPLACED_SHARES.items():
                case = SlowStartCase(sidecars, servers, share, plan.slow_while_warming_up, plan.unequal)
                runs = [pool.submit(play, case, seed, plan.program) for seed in range(1, plan.seeds + 1)]
                pending.append(_PendingLine(sidecars, servers, replaced_word, runs))
        for one in pending:
            metrics = [run.result() for run in one.runs]
            print(line(one.sidecars, one.servers, one.replaced_word, metrics))
    return 0
