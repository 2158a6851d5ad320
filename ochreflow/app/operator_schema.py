"""The JSON Schema of the operator's file, for editors and configuration tools."""

from __future__ import annotations

from typing import Annotated, Any, get_type_hints

import msgspec

from .operator import OperatorFile
from .operator_hints import Bounds, annotation, plain_type, unit_of


def schema() -> dict[str, Any]:
    """The schema of the whole file."""
    return msgspec.json.schema(_as_written(OperatorFile))


def _as_written(kind: type[msgspec.Struct]) -> type[msgspec.Struct]:
    """The same table with its values as they stand in the file, where one with a unit is a string."""
    defaults = kind()
    fields = [
        _field_as_written(key, hint, getattr(defaults, key))
        for key, hint in get_type_hints(kind, include_extras=True).items()
    ]
    return msgspec.defstruct(
        kind.__name__, fields, forbid_unknown_fields=True, namespace={"__doc__": kind.__doc__}
    )


def _field_as_written(key: str, hint: Any, default: Any) -> tuple[str, Any, Any]:
    if isinstance(default, msgspec.Struct):
        table = _as_written(type(default))
        return key, table, msgspec.field(default_factory=table)
    plain, bounds = plain_type(hint), annotation(hint, Bounds)
    unit = unit_of(plain)
    written: Any = plain
    if unit is not None:
        written = Annotated[str, msgspec.Meta(pattern=unit.pattern, description=unit.expected)]
    elif bounds is not None:
        number = float if plain is float else int
        written = Annotated[number, msgspec.Meta(ge=bounds.minimum, le=bounds.maximum)]
    if default is None:  # TOML has no null: the key is left out
        return key, written | msgspec.UnsetType, msgspec.UNSET
    return key, written, default if unit is None else str(default)
