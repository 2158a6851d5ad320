"""Reads and validates the operator's file, and reports all its errors at once."""

from __future__ import annotations

import tomllib
from difflib import get_close_matches
from typing import Any, Literal, get_args, get_origin, get_type_hints

import msgspec

from ..errors import OchreflowError
from .operator import OperatorFile
from .operator_hints import Bounds, annotation, plain_type, union_members, unit_of
from .units import Unit

MIN_SIMILARITY = 0.6  # from 0 to 1; a less similar key is not suggested in place of an unknown one


class OperatorFileError(OchreflowError):
    """Raised for an invalid file; `errors` has a line for each error."""

    def __init__(self, errors: list[str]) -> None:
        """`errors` has at least one line; the exception's message is the first one."""
        more = f" (and {len(errors) - 1} more)" if len(errors) > 1 else ""
        super().__init__(errors[0] + more)
        self.errors = errors


def read_file(path: str) -> OperatorFile:
    """Read and validate a file. Raise OperatorFileError, with all errors, if it is invalid."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as error:
        raise OperatorFileError([f"{path}: {error.strerror or error}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise OperatorFileError([f"{path}: not TOML: {error}"]) from None
    reader = _Reader(path)
    values = reader.read_table("", OperatorFile, data)
    if reader.errors:
        raise OperatorFileError(reader.errors)
    return OperatorFile(**values)


class _Reader:
    """Visits all tables and keys, so that one error does not hide the others."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.errors: list[str] = []

    def read_table(self, table_path: str, table_type: type[msgspec.Struct], data: object) -> dict[str, Any]:
        """Return the values of a table by key; they are incomplete if `errors` is not empty."""
        if not isinstance(data, dict):
            self._add_error(table_path, data, "a table")
            return {}
        hints = get_type_hints(table_type, include_extras=True)
        values: dict[str, Any] = {}
        for key, raw in data.items():
            path = f"{table_path}.{key}" if table_path else key
            if key not in hints:
                self._add_unknown_key(path, key, list(hints))
                continue
            hint = hints[key]
            if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
                values[key] = self._read_struct(path, hint, raw)
            else:
                values[key] = self._read_value(path, hint, raw)
        return values

    def _read_struct(self, path: str, table_type: type[msgspec.Struct], raw: object) -> msgspec.Struct | None:
        values = self.read_table(path, table_type, raw)
        return None if self.errors else table_type(**values)

    def _read_value(self, path: str, hint: Any, raw: object) -> object:
        value_type, bounds = plain_type(hint), annotation(hint, Bounds)
        unit = unit_of(value_type)
        try:
            value: Any = unit.parse(raw) if unit is not None else msgspec.convert(raw, value_type)
        except (ValueError, msgspec.ValidationError):
            self._add_error(path, raw, _expected(value_type, unit))
            return None
        if bounds is not None and not bounds.minimum <= value <= bounds.maximum:
            self._add_error(path, raw, _expected_bounds(bounds, unit))
        return value

    def _add_error(self, path: str, raw: object, expected: str) -> None:
        found = repr(raw) if not isinstance(raw, str) else f'"{raw}"'
        self.errors.append(f"{self.path}: {path}: found {found}, wanted {expected}")

    def _add_unknown_key(self, path: str, key: str, known: list[str]) -> None:
        similar = get_close_matches(key, known, 1, MIN_SIMILARITY)
        suggestion = f"did you mean {similar[0]}?" if similar else f"known here: {', '.join(known)}"
        self.errors.append(f"{self.path}: {path}: no such key; {suggestion}")


def _expected(value_type: Any, unit: type[Unit] | None) -> str:
    if unit is not None:
        return unit.expected
    if get_origin(value_type) is Literal:
        return "one of " + ", ".join(f'"{choice}"' for choice in get_args(value_type))
    return "a whole number" if int in union_members(value_type) else str(value_type)


def _expected_bounds(bounds: Bounds, unit: type[Unit] | None) -> str:
    to_text: Any = unit if unit is not None else str
    return f"at least {to_text(bounds.minimum)} and at most {to_text(bounds.maximum)}"
