"""What the types of the operator's file say of its keys: bounds, units, and what is fixed at the start."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any, TypeVar, get_args, get_origin

from .units import UNITS, Unit

Kind = TypeVar("Kind")


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of a value, both allowed."""

    minimum: float
    maximum: float


@dataclass(frozen=True, slots=True)
class FixedAtStart:
    """The key can't change while the process runs; `reason` says why."""

    reason: str


def plain_type(hint: Any) -> Any:
    """The type without its annotations."""
    return get_args(hint)[0] if get_origin(hint) is Annotated else hint


def annotation(hint: Any, kind: type[Kind]) -> Kind | None:
    """The annotation of this kind, if there is one."""
    return next((item for item in getattr(hint, "__metadata__", ()) if isinstance(item, kind)), None)


def unit_of(plain: Any) -> type[Unit] | None:
    """The unit in which a value of this type is written; None for one without."""
    return next((unit for unit in UNITS if unit in alternatives(plain)), None)


def alternatives(plain: Any) -> tuple[Any, ...]:
    """The types of an optional value, or the one type of another."""
    return get_args(plain) if type(None) in get_args(plain) else (plain,)
