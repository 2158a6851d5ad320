"""Slow-start runs for a person: a line for each fleet and share of cold servers, over many seeds."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from .slow_start_metrics import SlowStartMetrics
from .slow_start_run import SlowStartCase, play

FLEETS = ((5, 10), (20, 20), (30, 10), (30, 60), (200, 200))  # sidecars, servers
COLD_SHARES = {"one": 0.0, "a fifth": 0.2, "six tenths": 0.6, "all": 1.0}  # of the servers, by the word shown
HEAD = "sidecars servers  cold       worst median present sends     N of capacity of its ramp served"


@dataclass(slots=True)
class _PendingLine:
    """A line whose runs are not all played yet."""

    sidecars: int
    servers: int
    cold: str  # one of COLD_SHARES
    runs: list[Future[SlowStartMetrics]]


def line(sidecars: int, servers: int, cold: str, found: list[SlowStartMetrics]) -> str:
    """Return the line of a fleet: the worst and the median of the seeds, and means."""
    top = max(found, key=lambda one: one.slack)
    median = sorted(one.slack for one in found)[len(found) // 2]
    present = max(one.slack_present for one in found)
    means = [
        sum(getattr(one, name) for one in found) / len(found) for name in ("of_capacity", "of_ramp", "served")
    ]
    return (
        f"{sidecars:>8} {servers:>7}  {cold:<10} {top.slack:>5.2f} {median:>6.2f} {present:>7.2f} "
        f"{top.sends:>5} {top.budget:>5.1f} {means[0]:>11.3f} {means[1]:>10.3f} {means[2]:>7.3f}"
    )


def run(
    fleets: list[str],
    seeds: int,
    jobs: int,
    program: Path | None,
    *,
    slow_while_cold: bool,
    unequal: bool,
    write: Callable[[str], None] = print,
) -> int:
    """Write the lines of the fleets named as "5/10", of all without a name."""
    write(HEAD)
    with ProcessPoolExecutor(jobs) as pool:
        pending = []
        for sidecars, servers in FLEETS:
            if fleets and f"{sidecars}/{servers}" not in fleets:
                continue
            for cold, share in COLD_SHARES.items():
                case = SlowStartCase(sidecars, servers, share, slow_while_cold, unequal)
                runs = [pool.submit(play, case, seed, program) for seed in range(1, seeds + 1)]
                pending.append(_PendingLine(sidecars, servers, cold, runs))
        for one in pending:
            metrics = [run.result() for run in one.runs]
            write(line(one.sidecars, one.servers, one.cold, metrics))
    return 0
