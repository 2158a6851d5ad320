"""The printed report of a search: its words are those that scripts and people know."""

from __future__ import annotations

from dataclasses import dataclass, field

from .classes import Effect, RequestClass
from .result import Failure, RunResult

PRINTED_EFFECTS = {
    Effect.IDEMPOTENT: "SAFE",
    Effect.IDEMPOTENT_WITH_KEY: "KEYED",
    Effect.NON_IDEMPOTENT: "UNSAFE",
}


@dataclass(slots=True)
class Totals:
    """The sums of all runs."""

    runs: int = 0
    broken: list[int] = field(default_factory=list)  # seeds
    requests: int = 0
    copies: int = 0
    answers: int = 0  # to non-idempotent requests
    unproven: int = 0
    needless_failures: int = 0

    def add(self, result: RunResult) -> None:
        """Add the figures of a run."""
        self.runs += 1
        self.requests += result.requests
        self.copies += result.copies
        self.answers += sum(result.non_idempotent_answers.values())
        self.unproven += result.unproven
        self.needless_failures += result.needless_failures
        if result.broken:
            self.broken.append(result.seed)


def format_result(result: RunResult) -> str:
    """The lines of a run."""
    outcome = "broken" if result.broken else "kept"
    codes = ", ".join(f"{code}: {count}" for code, count in sorted(result.non_idempotent_answers.items()))
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
