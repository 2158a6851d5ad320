"""Reads and checks fault scripts. One error reports all invalid entries of a script."""

from __future__ import annotations

import tomllib
from enum import Enum
from pathlib import Path

import msgspec

from ...errors import OchreflowError
from .framing import Place


class Side(Enum):
    """Direction of bytes: requests go from the connecting peer to the target, responses come back."""

    REQUEST = "request"
    RESPONSE = "answer"

    @property
    def opposite(self) -> Side:
        """The direction opposite to this one."""
        return Side.RESPONSE if self is Side.REQUEST else Side.REQUEST


class FaultKind(Enum):
    """The effect of a fault; the values are written in scripts."""

    DELAY = "delay"
    RATE = "rate"
    CUT = "cut"
    RESET = "reset"
    HALF_CLOSE = "half_close"
    BLACK_HOLE = "black_hole"
    GARBLE = "garble"
    DROP = "drop"
    DUPLICATE = "duplicate"
    REORDER = "reorder"


class Spread(Enum):
    """The distribution of a delay; the values are written in scripts."""

    FIXED = "fixed"
    UNIFORM = "uniform"
    HEAVY = "heavy"


class Fault(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={"kind": "do", "max_count": "most", "delay_ms": "ms"},  # keys in scripts
):
    """One fault of a script: its effect, its position and its frequency.

    On streams it occurs once per connection, `after` bytes into `place` of message number `message` of that
    `side`. On datagrams it may occur on each datagram from number `message` on.
    """

    kind: FaultKind
    side: Side = Side.RESPONSE
    place: Place = Place.START
    message: int = 0
    after: int = 0  # offset of the fault from the start of `place`, in bytes
    share: float = 1.0  # part of the connections or datagrams affected, from 0 to 1
    max_count: int = 0  # only the first `max_count` connections, or datagrams from `message` on; 0: no limit
    delay_ms: float = 0.0  # length of a delay; uniform and heavy-tailed delays start at 0
    spread: Spread = Spread.FIXED
    per_second: int = 0  # bytes per second, for a rate
    count: int = 1  # bytes to garble

    def __post_init__(self) -> None:
        """Check the values; msgspec turns the ValueError of an invalid one into a ValidationError."""
        if not 0.0 <= self.share <= 1.0:
            message = "share must be from 0 to 1"
            raise ValueError(message)
        if min(self.message, self.after, self.delay_ms, self.max_count) < 0 or self.count < 1:
            message = "message, after, most and ms must be 0 or more, and count 1 or more"
            raise ValueError(message)
        if self.kind is FaultKind.RATE and self.per_second < 1:
            message = "rate requires per_second, in bytes per second, of 1 or more"
            raise ValueError(message)
        if self.kind is FaultKind.DELAY and not self.delay_ms:
            message = "delay requires ms, in milliseconds, above 0"
            raise ValueError(message)


DATAGRAM_FAULTS = (
    FaultKind.DELAY,
    FaultKind.GARBLE,
    FaultKind.DROP,
    FaultKind.DUPLICATE,
    FaultKind.REORDER,
)
STREAM_FAULTS = (
    FaultKind.DELAY,
    FaultKind.RATE,
    FaultKind.CUT,
    FaultKind.RESET,
    FaultKind.HALF_CLOSE,
    FaultKind.BLACK_HOLE,
    FaultKind.GARBLE,
)


class ScriptError(OchreflowError):
    """An invalid script; each line of the message describes one error."""


def read_faults(entries: object, source: str, allowed: tuple[FaultKind, ...]) -> list[Fault]:
    """Convert a list of entries to faults; raise ScriptError that names every invalid entry."""
    if not isinstance(entries, list):
        message = f"{source}: fault must be a list of tables"
        raise ScriptError(message)
    faults: list[Fault] = []
    errors: list[str] = []
    for index, entry in enumerate(entries):
        try:
            faults.append(_read_fault(entry, allowed))
        except msgspec.ValidationError as error:
            errors.append(f"{source}: fault[{index}]: {error}")
    if errors:
        message = "\n".join(errors)
        raise ScriptError(message)
    return faults


def _read_fault(entry: object, allowed: tuple[FaultKind, ...]) -> Fault:
    fault = msgspec.convert(entry, Fault)
    if fault.kind not in allowed:
        allowed_values = ", ".join(kind.value for kind in allowed)
        message = f"the fault {fault.kind.value} is not possible on this proxy; possible: {allowed_values}"
        raise msgspec.ValidationError(message)
    if allowed is STREAM_FAULTS and fault.after and fault.place in (Place.START, Place.END):
        message = "after must be 0 if place is start or end, which have no bytes"
        raise msgspec.ValidationError(message)
    return fault


def read_script(path: str, allowed: tuple[FaultKind, ...]) -> list[Fault]:
    """Read a TOML file of `[[fault]]` tables; raise ScriptError if it is unreadable or invalid."""
    try:
        with Path(path).open("rb") as file:
            data = tomllib.load(file)
    except OSError as error:
        message = f"{path}: {error.strerror}"
        raise ScriptError(message) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        message = f"{path}: not TOML: {error}"
        raise ScriptError(message) from None
    if unknown := set(data) - {"fault"}:
        message = "\n".join(f"{path}: {key}: no such key; known: fault" for key in sorted(unknown))
        raise ScriptError(message)
    return read_faults(data.get("fault", []), path, allowed)
