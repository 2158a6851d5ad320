"""The result of a run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from .classes import RequestClass
from .events import AttemptRejected, CopyReceived, Event, ResponseReceived
from .judge import Violation

CONCLUSIVE_CODES = (200, 429, 503)  # responses from which the client learns whether the request ran


@dataclass(slots=True)
class Failure:
    """A request that broke the rule, with its violations and events."""

    request_id: str
    request_class: RequestClass
    violations: list[Violation]
    timeline: list[Event]


@dataclass(slots=True)
class RunResult:
    """Counts over one run, the requests that broke the rule and the sidecars that crashed."""

    seed: int
    failures: list[Failure] = field(default_factory=list)
    crashed: list[str] = field(default_factory=list)
    requests: int = 0
    copies: int = 0
    non_idempotent_responses: Counter[int] = field(default_factory=Counter)  # responses by status code
    needless_failures: int = 0  # inconclusive responses to non-idempotent requests that cannot have run

    @property
    def broken(self) -> bool:
        """Whether a request broke the rule or a sidecar ended unexpectedly."""
        return bool(self.failures or self.crashed)

    @property
    def inconclusive(self) -> int:
        """Number of non-idempotent requests whose response does not tell whether they ran."""
        return sum(
            count for code, count in self.non_idempotent_responses.items() if code not in CONCLUSIVE_CODES
        )

    def count_non_idempotent(self, events: list[Event]) -> None:
        """Count the responses to a non-idempotent request from its events."""
        copies = {event.attempt for event in events if isinstance(event, CopyReceived)}
        rejected = {event.attempt for event in events if isinstance(event, AttemptRejected)}
        for event in events:
            if isinstance(event, ResponseReceived):
                self.non_idempotent_responses[event.code] += 1
                if event.code not in CONCLUSIVE_CODES and not copies - rejected:
                    self.needless_failures += 1
