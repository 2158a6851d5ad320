"""Many runs: a line for each, the events of its first request that broke the rule, and the sums."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from pathlib import Path

from .classes import Effect, RequestClass
from .drawing import draw
from .fault_groups import FaultGroup
from .play import Failure, RunResult, play

PACKAGE_START = Path("ochreflow") / "__main__.py"
CHECKOUT = Path(__file__).resolve().parents[3]
MAX_LISTED_FAILURES = 3  # broken requests that are named under the line of a run

PRINTED_EFFECTS = {
    Effect.IDEMPOTENT: "SAFE",
    Effect.IDEMPOTENT_WITH_KEY: "KEYED",
    Effect.NON_IDEMPOTENT: "UNSAFE",
}


class SearchError(Exception):
    """What was asked can't be played; the text says why in one line."""


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
            raise SearchError(f"{self.program}: no checkout, it has no {PACKAGE_START}")
        if self.keep is not None and self.keep.exists() and not self.keep.is_dir():
            raise SearchError(f"{self.keep}: no folder")


@dataclass(slots=True)
class Totals:
    """What all runs came to."""

    runs: int = 0
    broken: list[int] = field(default_factory=list)  # seeds
    requests: int = 0
    copies: int = 0
    answers: int = 0  # to unsafe requests
    unproven: int = 0
    needless_failures: int = 0

    def add(self, result: RunResult) -> None:
        self.runs += 1
        self.requests += result.requests
        self.copies += result.copies
        self.answers += sum(result.unsafe_answers.values())
        self.unproven += result.unproven
        self.needless_failures += result.needless_failures
        if result.broken:
            self.broken.append(result.seed)


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
    return play(draw(seed, options.seconds, options.fault_groups), options.program.resolve(), keep)


def format_result(result: RunResult) -> str:
    """What a person is shown of a run."""
    outcome = "broken" if result.broken else "kept"
    codes = ", ".join(f"{code}: {count}" for code, count in sorted(result.unsafe_answers.items()))
    text = (
        f"seed {result.seed:<5} {outcome:<6} {len(result.failures)} of {result.requests} requests broke it,"
        f" {result.copies} copies; unsafe {{{codes}}}, {result.needless_failures} of them failed needlessly"
    )
    return "\n".join([text, *(f"      {crash}" for crash in result.crashed)])


def format_failure(failure: Failure) -> str:
    """A request that broke the rule, and how."""
    first = failure.violations[0]
    return f"{failure.request_id} {failure.cls.name}: {first.kind.value} at {first.at:.4f} s, {first.text}"


def format_timeline(failure: Failure) -> str:
    """The events of a request in order."""
    events = "\n".join(f"      {event.at:9.4f}  {event}" for event in failure.timeline)
    return f"      Events of {failure.request_id} ({format_class(failure.cls)}):\n{events}"


def format_class(cls: RequestClass) -> str:
    """A request class in the form that reports have had from the first, with the words of that time."""
    return (
        f"RequestClass(name={cls.name!r},"
        f" effect=<Effect.{PRINTED_EFFECTS[cls.effect]}: {cls.effect.value!r}>,"
        f" deadline={cls.deadline!r}, scope={cls.scope!r}, window={cls.window!r})"
    )


def format_totals(totals: Totals) -> str:
    """The sums of all runs."""
    answers = max(totals.answers, 1)
    seeds = f": {', '.join(map(str, sorted(totals.broken)))}" if totals.broken else ""
    return (
        f"{len(totals.broken)} of {totals.runs} runs broke the rule{seeds}\n"
        f"{totals.requests} requests, {totals.copies} copies; of {totals.answers} answers to unsafe requests"
        f" {totals.unproven / answers:.3f} may have run, {totals.needless_failures / answers:.4f} needlessly"
    )
