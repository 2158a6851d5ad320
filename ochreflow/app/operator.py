"""The operator's file, `deploy/ochreflow.toml`: its tables, their keys, defaults and bounds.

`operator_reader` reads and validates the file, `operator_schema` generates its JSON Schema. Only a process
that is started with such a file imports these modules.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Literal, get_type_hints

import msgspec

from ..core.log import MAX_LINES_PER_SECOND
from ..http.clients import HEAD_TIMEOUT_S, IDLE_TIMEOUT_S, SLOW_READER_TIMEOUT_S
from .operator_hints import Bounds, FixedAtStart, annotation
from .units import HostPort, Seconds, Size

FIXED_SHARED_LIMIT = FixedAtStart("other processes on the same socket rely on this limit")


class LogTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The format, level and rate limit of the log on standard error."""

    format: Literal["plain", "console", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    per_second: Annotated[int, Bounds(1, 100_000)] = MAX_LINES_PER_SECOND  # log lines of each event


class OperatorsTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The address of the management interface; it overrides the platform's."""

    listen: HostPort | None = None


class LimitsTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits on resources, which apply where they are lower than the platform's."""

    memory: Annotated[Size | None, Bounds(24 * 1024**2, 64 * 1024**3), FIXED_SHARED_LIMIT] = None
    descriptors: Annotated[int | None, Bounds(64, 1_000_000), FIXED_SHARED_LIMIT] = None


class ClientsTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Timeouts of client connections."""

    head_within: Annotated[Seconds, Bounds(0.1, 60)] = Seconds(HEAD_TIMEOUT_S)
    idle: Annotated[Seconds, Bounds(0.1, 3600)] = Seconds(IDLE_TIMEOUT_S)
    slow_reader: Annotated[Seconds, Bounds(0.1, 600)] = Seconds(SLOW_READER_TIMEOUT_S)


class AdmissionTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits on client connections by address; see `ochreflow.admission.limits.Limits`."""

    on: Annotated[bool, FixedAtStart("connections are counted by address from the start")] = False
    open: Annotated[int, Bounds(1, 1_000_000)] = 64
    half_written: Annotated[int, Bounds(1, 1_000_000)] = 16
    new_per_second: Annotated[float, Bounds(0.1, 1_000_000)] = 50.0
    prefix_times: Annotated[float, Bounds(1, 1_000_000)] = 4.0
    known_part: Annotated[float, Bounds(0, 0.9)] = 0.25
    half_life: Annotated[Seconds, Bounds(1, 86_400)] = Seconds(60)
    remembered: Annotated[int, Bounds(16, 1_000_000)] = 4096


class OperatorFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file; an absent table has its defaults."""

    log: LogTable = LogTable()
    operators: OperatorsTable = OperatorsTable()
    limits: LimitsTable = LimitsTable()
    clients: ClientsTable = ClientsTable()
    admission: AdmissionTable = AdmissionTable()


def changed_keys(old: OperatorFile, new: OperatorFile) -> Iterator[tuple[str, FixedAtStart | None]]:
    """Yield each key that differs, with the annotation that forbids its change at run time, if any."""
    for table in OperatorFile.__struct_fields__:
        before, after = getattr(old, table), getattr(new, table)
        hints = get_type_hints(type(before), include_extras=True)
        for key in before.__struct_fields__:
            if getattr(before, key) != getattr(after, key):
                yield f"{table}.{key}", annotation(hints[key], FixedAtStart)
