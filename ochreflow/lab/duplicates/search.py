"""Many runs: a line for each, the events of its first request that broke the rule, and the sums."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

from ...errors import OchreflowError
from .drawing import draw
from .fault_groups import FaultGroup
from .report import Totals, format_failure, format_result, format_timeline, format_totals
from .result import RunResult
from .run import run_plan

PACKAGE_START = Path("ochreflow") / "__main__.py"
CHECKOUT = Path(__file__).resolve().parents[3]
MAX_LISTED_FAILURES = 3  # broken requests that are named under the line of a run


class SearchError(OchreflowError):
    """A search that can't be run; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class SearchOptions:
    """What to search. `program` is a checkout whose sidecar is played."""

    seed: int = 1
    runs: int = 1
    seconds: float = 5.0
    jobs: int = 1
    program: Path = CHECKOUT
    fault_groups: frozenset[FaultGroup] = frozenset(FaultGroup)
    keep: Path | None = None

    def check(self) -> None:
        """SearchError if it can't be played."""
        if not (self.program / PACKAGE_START).is_file():
            message = f"{self.program}: no checkout, it has no {PACKAGE_START}"
            raise SearchError(message)
        if self.keep is not None and self.keep.exists() and not self.keep.is_dir():
            message = f"{self.keep}: no folder"
            raise SearchError(message)


def search(options: SearchOptions) -> int:
    """Play all runs, and print what they come to; 0 if none broke the rule, 1 if one did."""
    options.check()
    totals = Totals()
    for result in _run_results(options):
        totals.add(result)
        print(format_result(result), flush=True)
        for failure in result.failures[:MAX_LISTED_FAILURES]:
            print(f"      {format_failure(failure)}", flush=True)
        if result.failures:
            print(format_timeline(result.failures[0]), flush=True)
    print(format_totals(totals))
    return 1 if totals.broken else 0


def _run_results(options: SearchOptions) -> Iterator[RunResult]:
    """Each run's result as it is there."""
    seeds = range(options.seed, options.seed + options.runs)
    if options.jobs == 1:
        yield from (_play_seed(options, seed) for seed in seeds)
        return
    with ProcessPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(_play_seed, options, seed) for seed in seeds]
        for run in as_completed(runs):
            yield run.result()


def _play_seed(options: SearchOptions, seed: int) -> RunResult:
    keep = options.keep / f"seed-{seed}" if options.keep is not None else None
    return run_plan(draw(seed, options.seconds, options.fault_groups), options.program.resolve(), keep)
