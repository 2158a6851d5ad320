"""Request classes as the platform's settings describe them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request may be repeated; the values are the settings' words."""

    SAFE = "pure"
    KEYED = "token"
    UNSAFE = "side_effect"


class Scope(Enum):
    """The servers that drop a repeat of a keyed request which one of them has seen."""

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
    window: float = 0.0  # in which repeats of a keyed request are dropped, from its first attempt

    @property
    def refusable(self) -> bool:
        """Whether a refusal is harmless even when an attempt may have run."""
        return self.effect is Effect.SAFE or (self.effect is Effect.KEYED and self.scope is Scope.ALL)
