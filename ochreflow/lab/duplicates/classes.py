"""Request classes as the platform's settings describe them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request may be retried; the values are the settings' words."""

    IDEMPOTENT = "pure"
    IDEMPOTENT_WITH_KEY = "token"
    NON_IDEMPOTENT = "side_effect"


class Scope(Enum):
    """The servers that drop a retry of a request whose idempotency key one of them has seen."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class; times in seconds."""

    name: str
    effect: Effect
    deadline: float
    scope: Scope = Scope.ALL
    window: float = 0.0  # from the first attempt on: retries with its idempotency key are dropped

    @property
    def rejectable(self) -> bool:
        """Whether a rejection does no harm even when an attempt may have run."""
        return self.effect is Effect.IDEMPOTENT or (
            self.effect is Effect.IDEMPOTENT_WITH_KEY and self.scope is Scope.ALL
        )
