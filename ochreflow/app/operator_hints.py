"""Type annotations of the operator's file: bounds, units, and which keys are fixed at the start."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any, TypeVar, get_args, get_origin

from .units import UNITS, Unit

Kind = TypeVar("Kind")


@dataclass(frozen=True, slots=True)
class Bounds:
    """Inclusive bounds of a value."""

    minimum: float
    maximum: float


@dataclass(frozen=True, slots=True)
class FixedAtStart:
    """Marks a key that can't change while the process runs; operators are shown `reason`."""

    reason: str


def plain_type(hint: Any) -> Any:
    """Return the type without its annotations."""
    return get_args(hint)[0] if get_origin(hint) is Annotated else hint


def annotation(hint: Any, kind: type[Kind]) -> Kind | None:
    """Return the annotation that is an instance of `kind`, or None."""
    return next((item for item in getattr(hint, "__metadata__", ()) if isinstance(item, kind)), None)


def unit_of(plain: Any) -> type[Unit] | None:
    """Return the unit class of a type, or None if its values are written without a unit."""
    return next((unit for unit in UNITS if unit in union_members(plain)), None)


def union_members(plain: Any) -> tuple[Any, ...]:
    """Return the members of an optional type, or the type alone if it is not optional."""
    return get_args(plain) if type(None) in get_args(plain) else (plain,)
