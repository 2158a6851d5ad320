"""Report on slow-start runs: a line for each fleet and share of cold servers, over many seeds."""

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
}  # share of the servers that is replaced, by its label in the report
HEADER = "sidecars servers  cold       worst median present sends     N of capacity of its ramp served"


@dataclass(frozen=True, slots=True)
class SlowStartPlan:
    """The runs of a report."""

    fleets: list[str]  # "sidecars/servers", such as "5/10"; empty: all of FLEETS
    seeds: int  # each case is run with the seeds from 1 to this number
    processes: int  # number of parallel runs
    build_dir: Path | None = None  # directory of another build
    slow_while_warming_up: bool = False
    unequal: bool = False


@dataclass(slots=True)
class _PendingLine:
    """A line of the report whose runs may still be in progress."""

    sidecars: int
    servers: int
    replaced_label: str  # one of REPLACED_SHARES
    runs: list[Future[SlowStartMetrics]]


def report_line(sidecars: int, servers: int, label: str, results: list[SlowStartMetrics]) -> str:
    """Return the report's line for a fleet: the worst and the median slack of all seeds, and means."""
    worst = max(results, key=lambda one: one.slack)
    median = sorted(one.slack for one in results)[len(results) // 2]
    present = max(metrics.slack_present for metrics in results)
    means = [
        sum(getattr(one, name) for one in results) / len(results)
        for name in ("of_capacity", "of_slow_start_ramp", "served")
    ]
    return (
        f"{sidecars:>8} {servers:>7}  {label:<10} {worst.slack:>5.2f} {median:>6.2f} {present:>7.2f} "
        f"{worst.sends:>5} {worst.budget:>5.1f} {means[0]:>11.3f} {means[1]:>10.3f} {means[2]:>7.3f}"
    )


def run(plan: SlowStartPlan) -> int:
    """Print the lines of a plan's fleets; return the exit code."""
    print(HEADER)
    with ProcessPoolExecutor(plan.processes) as pool:
        pending = []
        for sidecars, servers in FLEETS:
            if plan.fleets and f"{sidecars}/{servers}" not in plan.fleets:
                continue
            for replaced_label, share in REPLACED_SHARES.items():
                case = SlowStartCase(sidecars, servers, share, plan.slow_while_warming_up, plan.unequal)
                runs = [pool.submit(play, case, seed, plan.build_dir) for seed in range(1, plan.seeds + 1)]
                pending.append(_PendingLine(sidecars, servers, replaced_label, runs))
        for line in pending:
            metrics = [run.result() for run in line.runs]
            print(report_line(line.sidecars, line.servers, line.replaced_label, metrics))
    return 0
