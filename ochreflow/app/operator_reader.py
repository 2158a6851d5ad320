"""Reads and checks the operator's file. All errors in it are reported at once."""

from __future__ import annotations

import tomllib
from difflib import get_close_matches
from typing import Any, Literal, get_args, get_origin, get_type_hints

import msgspec

from ..errors import OchreflowError
from .operator import OperatorFile
from .operator_hints import Bounds, alternatives, annotation, plain_type, unit_of
from .units import Unit

MIN_SIMILARITY = 0.6  # of a key that is suggested, of 1


class OperatorFileError(OchreflowError):
    """Everything that is wrong with a file, a line each."""

    def __init__(self, errors: list[str]) -> None:
        """`errors` has at least one line; the text of the exception is the first one."""
        more = f" (and {len(errors) - 1} more)" if len(errors) > 1 else ""
        super().__init__(errors[0] + more)
        self.errors = errors


def read_file(path: str) -> OperatorFile:
    """Read and check a file; OperatorFileError has all that is wrong with it."""
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
    """Goes through all tables and keys, so that one error does not hide the next."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.errors: list[str] = []

    def read_table(self, at: str, kind: type[msgspec.Struct], data: object) -> dict[str, Any]:
        """The values of a table by key. Where `errors` isn't empty they are not to be used."""
        if not isinstance(data, dict):
            self._add_error(at, data, "a table")
            return {}
        hints = get_type_hints(kind, include_extras=True)
        values: dict[str, Any] = {}
        for key, raw in data.items():
            path = f"{at}.{key}" if at else key
            if key not in hints:
                self._add_unknown(path, key, list(hints))
                continue
            hint = hints[key]
            if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
                values[key] = self._read_struct(path, hint, raw)
            else:
                values[key] = self._read_value(path, hint, raw)
        return values

    def _read_struct(self, path: str, kind: type[msgspec.Struct], raw: object) -> msgspec.Struct | None:
        values = self.read_table(path, kind, raw)
        return None if self.errors else kind(**values)

    def _read_value(self, path: str, hint: Any, raw: object) -> object:
        plain, bounds = plain_type(hint), annotation(hint, Bounds)
        unit = unit_of(plain)
        try:
            value: Any = unit.read(raw) if unit is not None else msgspec.convert(raw, plain)
        except (ValueError, msgspec.ValidationError):
            self._add_error(path, raw, _expected(plain, unit))
            return None
        if bounds is not None and not bounds.minimum <= value <= bounds.maximum:
            self._add_error(path, raw, _expected_bounds(bounds, unit))
        return value

    def _add_error(self, path: str, raw: object, expected: str) -> None:
        found = repr(raw) if not isinstance(raw, str) else f'"{raw}"'
        self.errors.append(f"{self.path}: {path}: found {found}, wanted {expected}")

    def _add_unknown(self, path: str, key: str, known: list[str]) -> None:
        similar = get_close_matches(key, known, 1, MIN_SIMILARITY)
        hint = f"did you mean {similar[0]}?" if similar else f"known here: {', '.join(known)}"
        self.errors.append(f"{self.path}: {path}: no such key; {hint}")


def _expected(plain: Any, unit: type[Unit] | None) -> str:
    if unit is not None:
        return unit.expected
    if get_origin(plain) is Literal:
        return "one of " + ", ".join(f'"{word}"' for word in get_args(plain))
    return "a whole number" if int in alternatives(plain) else str(plain)


def _expected_bounds(bounds: Bounds, unit: type[Unit] | None) -> str:
    written: Any = unit if unit is not None else str
    return f"at least {written(bounds.minimum)} and at most {written(bounds.maximum)}"
