"""Request classes as in the platform's settings."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request may be retried; the values are those of the settings."""

    IDEMPOTENT = "pure"
    IDEMPOTENT_WITH_KEY = "token"
    NON_IDEMPOTENT = "side_effect"


class Scope(Enum):
    """The group of servers that drop a retry if one of them has already seen its idempotency key."""

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
    window: float = 0.0  # seconds after the first attempt in which servers drop retries with its key

    @property
    def rejectable(self) -> bool:
        """Whether the client may be told to retry even if an attempt may have run."""
        return self.effect is Effect.IDEMPOTENT or (
            self.effect is Effect.IDEMPOTENT_WITH_KEY and self.scope is Scope.ALL
        )
