"""Runs many plans and prints a line for each, the events of its first failure, and the totals."""

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
MAX_LISTED_FAILURES = 3  # requests that broke the rule, listed under the line of a run


class SearchError(OchreflowError):
    """The options of a search are invalid; the message gives the reason in one line."""


@dataclass(frozen=True, slots=True)
class SearchOptions:
    """The options of a search. `checkout` is the checkout whose sidecar is run."""

    seed: int = 1
    runs: int = 1
    seconds: float = 5.0
    jobs: int = 1
    checkout: Path = CHECKOUT
    fault_groups: frozenset[FaultGroup] = frozenset(FaultGroup)
    keep: Path | None = None

    def check(self) -> None:
        """Raise SearchError if the search cannot be run."""
        if not (self.checkout / PACKAGE_START).is_file():
            message = f"{self.checkout}: not a checkout of ochreflow, {PACKAGE_START} is missing"
            raise SearchError(message)
        if self.keep is not None and self.keep.exists() and not self.keep.is_dir():
            message = f"{self.keep}: not a directory, cannot keep logs there"
            raise SearchError(message)


def search(options: SearchOptions) -> int:
    """Execute all runs and print their results; return 0 if none broke the rule, 1 otherwise."""
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
    return 1 if totals.broken_seeds else 0


def _run_results(options: SearchOptions) -> Iterator[RunResult]:
    """Yield the result of each run as it becomes available."""
    seeds = range(options.seed, options.seed + options.runs)
    if options.jobs == 1:
        yield from (_run_seed(options, seed) for seed in seeds)
        return
    with ProcessPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(_run_seed, options, seed) for seed in seeds]
        for run in as_completed(runs):
            yield run.result()


def _run_seed(options: SearchOptions, seed: int) -> RunResult:
    keep = options.keep / f"seed-{seed}" if options.keep is not None else None
    return run_plan(draw(seed, options.seconds, options.fault_groups), options.checkout.resolve(), keep)
