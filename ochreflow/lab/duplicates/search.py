"""Many runs: a line for each, the events of its first request that broke the rule, and the sums."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from pathlib import Path

from .plan import FaultGroup, draw
from .play import Failure, Result, play

PACKAGE_START = Path("ochreflow") / "__main__.py"
HERE = Path(__file__).resolve().parents[3]
SHOWN = 3  # broken requests that are named under the line of a run


class SearchError(Exception):
    """What was asked can't be played; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class Search:
    """What to search. `program` is a checkout whose sidecar is played."""

    seed: int = 1
    runs: int = 1
    seconds: float = 5.0
    jobs: int = 1
    program: Path = HERE
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
    unproved: int = 0
    needless: int = 0

    def add(self, result: Result) -> None:
        self.runs += 1
        self.requests += result.requests
        self.copies += result.copies
        self.answers += sum(result.unrepeatable.values())
        self.unproved += result.unproved
        self.needless += result.needless
        if result.broken:
            self.broken.append(result.seed)


def search(wanted: Search) -> int:
    """Play all runs, and print what they come to; 0 if none broke the rule, 1 if one did."""
    wanted.check()
    totals = Totals()
    for result in _results(wanted):
        totals.add(result)
        print(line(result), flush=True)
        for failure in result.failures[:SHOWN]:
            print(f"      {named(failure)}", flush=True)
        if result.failures:
            print(story(result.failures[0]), flush=True)
    print(summary(totals))
    return 1 if totals.broken else 0


def _results(wanted: Search) -> Iterator[Result]:
    """Each run's result as it is there."""
    seeds = range(wanted.seed, wanted.seed + wanted.runs)
    if wanted.jobs == 1:
        yield from (_one(wanted, seed) for seed in seeds)
        return
    with ProcessPoolExecutor(wanted.jobs) as pool:
        runs = [pool.submit(_one, wanted, seed) for seed in seeds]
        for run in as_completed(runs):
            yield run.result()


def _one(wanted: Search, seed: int) -> Result:
    keep = wanted.keep / f"seed-{seed}" if wanted.keep is not None else None
    return play(draw(seed, wanted.seconds, wanted.fault_groups), wanted.program.resolve(), keep)


def line(result: Result) -> str:
    """What a person is shown of a run."""
    verdict = "broken" if result.broken else "kept"
    codes = ", ".join(f"{code}: {count}" for code, count in sorted(result.unrepeatable.items()))
    text = (
        f"seed {result.seed:<5} {verdict:<6} {len(result.failures)} of {result.requests} requests broke it,"
        f" {result.copies} copies; unsafe {{{codes}}}, {result.needless} of them failed needlessly"
    )
    return "\n".join([text, *(f"      {crash}" for crash in result.crashed)])


def named(failure: Failure) -> str:
    """A request that broke the rule, and how."""
    first = failure.breaks[0]
    return f"{failure.ident} {failure.cls.name}: {first.kind.value} at {first.at:.4f} s, {first.text}"


def story(failure: Failure) -> str:
    """The events of a request in order."""
    events = "\n".join(f"      {event.at:9.4f}  {event}" for event in failure.story)
    return f"      Events of {failure.ident} ({failure.cls}):\n{events}"


def summary(totals: Totals) -> str:
    """The sums of all runs."""
    answers = max(totals.answers, 1)
    seeds = f": {', '.join(map(str, sorted(totals.broken)))}" if totals.broken else ""
    return (
        f"{len(totals.broken)} of {totals.runs} runs broke the rule{seeds}\n"
        f"{totals.requests} requests, {totals.copies} copies; of {totals.answers} answers to unsafe requests"
        f" {totals.unproved / answers:.3f} may have run, {totals.needless / answers:.4f} needlessly"
    )
