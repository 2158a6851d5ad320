"""The JSON Schema of the operator's file, for editors and configuration tools."""

from __future__ import annotations

from typing import Annotated, Any, get_type_hints

import msgspec

from .operator import OperatorFile
from .operator_hints import Bounds, annotation, plain_type, unit_of


def schema() -> dict[str, Any]:
    """Return the schema of the whole file."""
    return msgspec.json.schema(_toml_table(OperatorFile))


def _toml_table(table_type: type[msgspec.Struct]) -> type[msgspec.Struct]:
    """Return the same table with the types of the TOML file, in which a value with a unit is a string."""
    defaults = table_type()
    fields = [
        _toml_field(key, hint, getattr(defaults, key))
        for key, hint in get_type_hints(table_type, include_extras=True).items()
    ]
    return msgspec.defstruct(
        table_type.__name__, fields, forbid_unknown_fields=True, namespace={"__doc__": table_type.__doc__}
    )


def _toml_field(key: str, hint: Any, default: Any) -> tuple[str, Any, Any]:
    if isinstance(default, msgspec.Struct):
        toml_table = _toml_table(type(default))
        return key, toml_table, msgspec.field(default_factory=toml_table)
    value_type, bounds = plain_type(hint), annotation(hint, Bounds)
    unit = unit_of(value_type)
    toml_type: Any = value_type
    if unit is not None:
        toml_type = Annotated[str, msgspec.Meta(pattern=unit.pattern, description=unit.expected)]
    elif bounds is not None:
        number = float if value_type is float else int
        toml_type = Annotated[number, msgspec.Meta(ge=bounds.minimum, le=bounds.maximum)]
    if default is None:  # TOML has no null; the key is omitted
        return key, toml_type | msgspec.UnsetType, msgspec.UNSET
    return key, toml_type, default if unit is None else str(default)
