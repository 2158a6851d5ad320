"""Formats the printed report of a search; its wording is stable because scripts match it."""

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
    """Totals over all runs."""

    runs: int = 0
    broken_seeds: list[int] = field(default_factory=list)
    requests: int = 0
    copies: int = 0
    responses: int = 0  # responses to non-idempotent requests
    inconclusive: int = 0
    needless_failures: int = 0

    def add(self, result: RunResult) -> None:
        """Add the result of a run."""
        self.runs += 1
        self.requests += result.requests
        self.copies += result.copies
        self.responses += sum(result.non_idempotent_responses.values())
        self.inconclusive += result.inconclusive
        self.needless_failures += result.needless_failures
        if result.broken:
            self.broken_seeds.append(result.seed)


def format_result(result: RunResult) -> str:
    """Return the lines for a run: its result and its crashed sidecars."""
    outcome = "broken" if result.broken else "kept"
    codes = ", ".join(f"{code}: {count}" for code, count in sorted(result.non_idempotent_responses.items()))
    text = (
        f"seed {result.seed:<5} {outcome:<6} {len(result.failures)} of {result.requests} requests broke it,"
        f" {result.copies} copies; unsafe {{{codes}}}, {result.needless_failures} of them failed needlessly"
    )
    return "\n".join([text, *(f"      {crash}" for crash in result.crashed)])


def format_failure(failure: Failure) -> str:
    """Return the line for a request that broke the rule, with its first violation."""
    first = failure.violations[0]
    return (
        f"{failure.request_id} {failure.request_class.name}:"
        f" {first.kind.value} at {first.at:.4f} s, {first.text}"
    )


def format_timeline(failure: Failure) -> str:
    """Return the events of a request in order, one a line."""
    events = "\n".join(f"      {event.at:9.4f}  {event}" for event in failure.timeline)
    return f"      Events of {failure.request_id} ({format_class(failure.request_class)}):\n{events}"


def format_class(request_class: RequestClass) -> str:
    """Return a request class in the stable form of the report, with the earlier names of effects."""
    return (
        f"RequestClass(name={request_class.name!r},"
        f" effect=<Effect.{PRINTED_EFFECTS[request_class.effect]}: {request_class.effect.value!r}>,"
        f" deadline={request_class.deadline!r}, scope={request_class.scope!r},"
        f" window={request_class.window!r})"
    )


def format_totals(totals: Totals) -> str:
    """Return the totals over all runs."""
    responses = max(totals.responses, 1)
    seeds = f": {', '.join(map(str, sorted(totals.broken_seeds)))}" if totals.broken_seeds else ""
    return (
        f"{len(totals.broken_seeds)} of {totals.runs} runs broke the rule{seeds}\n"
        f"{totals.requests} requests, {totals.copies} copies;"
        f" of {totals.responses} answers to unsafe requests"
        f" {totals.inconclusive / responses:.3f} may have run,"
        f" {totals.needless_failures / responses:.4f} needlessly"
    )
