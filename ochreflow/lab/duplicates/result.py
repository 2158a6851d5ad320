"""What a run comes to."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from .classes import RequestClass
from .events import AttemptRejected, CopyReceived, Event, ResponseReceived
from .judge import Violation

CONCLUSIVE_CODES = (200, 429, 503)  # answers that say whether the request ran


@dataclass(slots=True)
class Failure:
    """A request that broke the rule, and all that is known of it."""

    request_id: str
    cls: RequestClass
    violations: list[Violation]
    timeline: list[Event]


@dataclass(slots=True)
class RunResult:
    """What a run came to."""

    seed: int
    failures: list[Failure] = field(default_factory=list)
    crashed: list[str] = field(default_factory=list)
    requests: int = 0
    copies: int = 0
    non_idempotent_answers: Counter[int] = field(
        default_factory=Counter
    )  # answers by code, to non-idempotent requests
    needless_failures: int = (
        0  # non-idempotent requests answered as failed, none of whose copies may have run
    )

    @property
    def broken(self) -> bool:
        """Whether a request broke the rule or a sidecar ended by itself."""
        return bool(self.failures or self.crashed)

    @property
    def unproven(self) -> int:
        """Non-idempotent requests whose answer says neither that they ran nor that they did not."""
        return sum(
            count for code, count in self.non_idempotent_answers.items() if code not in CONCLUSIVE_CODES
        )

    def count_non_idempotent(self, events: list[Event]) -> None:
        """Count the answers to a non-idempotent request."""
        copies = {event.attempt for event in events if isinstance(event, CopyReceived)}
        rejected = {event.attempt for event in events if isinstance(event, AttemptRejected)}
        for event in events:
            if isinstance(event, ResponseReceived):
                self.non_idempotent_answers[event.code] += 1
                if event.code not in CONCLUSIVE_CODES and not copies - rejected:
                    self.needless_failures += 1
