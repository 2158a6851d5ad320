"""The operator's own file, `deploy/ochreflow.toml`: what there is to set, and how it is checked.

All faults are told at once. Only a process that is given such a file imports this module.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from difflib import get_close_matches
from typing import Annotated, Any, Literal, get_args, get_origin, get_type_hints

import msgspec

from ..core.log import PER_SECOND
from ..errors import OchreflowError
from ..http.clients import HEAD_MOST, IDLE_MOST, SLOW_READER
from .units import UNITS, HostPort, Seconds, Size


@dataclass(frozen=True, slots=True)
class Within:
    """Bounds of a value, both allowed."""

    least: float
    most: float


@dataclass(frozen=True, slots=True)
class Fixed:
    """It can't change while the process runs; `why` says what stands on it."""

    why: str


SHARED = Fixed("other processes on the same socket count by it")


class LogTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What is written to standard error, and how."""

    format: Literal["plain", "console", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    per_second: Annotated[int, Within(1, 100_000)] = PER_SECOND  # lines of any one event


class OperatorsTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The operators' address; it comes before the platform's."""

    listen: HostPort | None = None


class LimitsTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What the sidecar may hold, below what the platform allows."""

    memory: Annotated[Size | None, Within(24 * 1024**2, 64 * 1024**3), SHARED] = None
    descriptors: Annotated[int | None, Within(64, 1_000_000), SHARED] = None


class ClientsTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How long a client's connection may take for each step."""

    head_within: Annotated[Seconds, Within(0.1, 60)] = Seconds(HEAD_MOST)
    idle: Annotated[Seconds, Within(0.1, 3600)] = Seconds(IDLE_MOST)
    slow_reader: Annotated[Seconds, Within(0.1, 600)] = Seconds(SLOW_READER)


class AdmissionTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits on clients' connections by address; see `Limits` of `ochreflow.admission`."""

    on: Annotated[bool, Fixed("addresses are counted from the start")] = False
    open: Annotated[int, Within(1, 1_000_000)] = 64
    half_written: Annotated[int, Within(1, 1_000_000)] = 16
    new_per_second: Annotated[float, Within(0.1, 1_000_000)] = 50.0
    prefix_times: Annotated[float, Within(1, 1_000_000)] = 4.0
    known_part: Annotated[float, Within(0, 0.9)] = 0.25
    half_life: Annotated[Seconds, Within(1, 86_400)] = Seconds(60)
    remembered: Annotated[int, Within(16, 1_000_000)] = 4096


class OperatorFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file; a table that is not there has its defaults."""

    log: LogTable = LogTable()
    operators: OperatorsTable = OperatorsTable()
    limits: LimitsTable = LimitsTable()
    clients: ClientsTable = ClientsTable()
    admission: AdmissionTable = AdmissionTable()


class FaultsError(OchreflowError):
    """Everything that is wrong with a file, a line each."""

    def __init__(self, faults: list[str]) -> None:
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        super().__init__(faults[0] + more)
        self.faults = faults


def read_file(path: str) -> OperatorFile:
    """Read and check a file; FaultsError tells all that is wrong with it."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as error:
        raise FaultsError([f"{path}: {error.strerror or error}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise FaultsError([f"{path}: not TOML: {error}"]) from None
    reader = _Reader(path)
    result = reader.table("", OperatorFile, data)
    if reader.faults:
        raise FaultsError(reader.faults)
    return result


class _Reader:
    """Goes through all tables and keys, so that one fault does not hide the next."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.faults: list[str] = []

    def table(self, at: str, kind: type[msgspec.Struct], data: object) -> Any:
        if not isinstance(data, dict):
            self._fault(at, data, "a table")
            return None
        hints = get_type_hints(kind, include_extras=True)
        values = {}
        for key, raw in data.items():
            path = f"{at}.{key}" if at else key
            if key not in hints:
                self._unknown(path, key, list(hints))
            elif isinstance(hints[key], type) and issubclass(hints[key], msgspec.Struct):
                values[key] = self.table(path, hints[key], raw)
            else:
                values[key] = self._value(path, hints[key], raw)
        return None if self.faults else kind(**values)

    def _value(self, path: str, hint: Any, raw: object) -> object:
        plain, bounds = _bare(hint), _meta(hint, Within)
        unit = next((unit for unit in UNITS if unit in _options(plain)), None)
        try:
            value = unit.read(raw) if unit is not None else msgspec.convert(raw, plain)
        except (ValueError, msgspec.ValidationError):
            self._fault(path, raw, _wanted(plain, unit))
            return None
        if bounds is not None and not bounds.least <= value <= bounds.most:
            shown = unit or (lambda number: number)
            self._fault(path, raw, f"at least {shown(bounds.least)} and at most {shown(bounds.most)}")
        return value

    def _fault(self, path: str, raw: object, wanted: str) -> None:
        shown = repr(raw) if not isinstance(raw, str) else f'"{raw}"'
        self.faults.append(f"{self.path}: {path}: found {shown}, wanted {wanted}")

    def _unknown(self, path: str, key: str, known: list[str]) -> None:
        near = get_close_matches(key, known, 1, 0.6)
        hint = f"did you mean {near[0]}?" if near else f"known here: {', '.join(known)}"
        self.faults.append(f"{self.path}: {path}: no such key; {hint}")


def _bare(hint: Any) -> Any:
    return get_args(hint)[0] if get_origin(hint) is Annotated else hint


def _meta(hint: Any, kind: type) -> Any:
    return next((item for item in getattr(hint, "__metadata__", ()) if isinstance(item, kind)), None)


def _options(plain: Any) -> tuple[Any, ...]:
    return get_args(plain) if type(None) in get_args(plain) else (plain,)


def _wanted(plain: Any, unit: Any) -> str:
    if unit is not None:
        return unit.wanted
    if get_origin(plain) is Literal:
        return "one of " + ", ".join(f'"{word}"' for word in get_args(plain))
    return "a whole number" if int in _options(plain) else str(plain)


def changes(old: OperatorFile, new: OperatorFile) -> Iterator[tuple[str, Fixed | None]]:
    """The keys that differ, each with what keeps it from changing while the process runs, if anything."""
    for table in OperatorFile.__struct_fields__:
        before, after = getattr(old, table), getattr(new, table)
        hints = get_type_hints(type(before), include_extras=True)
        for key in before.__struct_fields__:
            if getattr(before, key) != getattr(after, key):
                yield f"{table}.{key}", _meta(hints[key], Fixed)


def schema() -> dict[str, Any]:
    """JSON Schema of the file, for editors and configuration tools."""
    return msgspec.json.schema(_as_written(OperatorFile))


def _as_written(kind: type[msgspec.Struct]) -> type[msgspec.Struct]:
    """The same table with its values as they stand in the file: units are text there."""
    defaults = kind()
    fields: list[Any] = []
    for key, hint in get_type_hints(kind, include_extras=True).items():
        default = getattr(defaults, key)
        if isinstance(default, msgspec.Struct):
            table = _as_written(type(default))
            fields.append((key, table, msgspec.field(default_factory=table)))
            continue
        plain, bounds = _bare(hint), _meta(hint, Within)
        unit = next((unit for unit in UNITS if unit in _options(plain)), None)
        written: Any = plain
        if unit is not None:
            written = Annotated[str, msgspec.Meta(pattern=unit.pattern, description=unit.wanted)]
        elif bounds is not None:
            number = float if plain is float else int
            written = Annotated[number, msgspec.Meta(ge=bounds.least, le=bounds.most)]
        if default is None:  # TOML has no word for nothing: the key is left out
            fields.append((key, written | msgspec.UnsetType, msgspec.UNSET))
        else:
            fields.append((key, written, default if unit is None else str(default)))
    return msgspec.defstruct(
        kind.__name__, fields, forbid_unknown_fields=True, namespace={"__doc__": kind.__doc__}
    )
