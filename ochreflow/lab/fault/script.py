"""What a fault script may say, and how it is read. Every entry that is wrong is reported at once."""

from __future__ import annotations

import tomllib
from enum import Enum
from pathlib import Path

import msgspec

from ...errors import OchreflowError
from .framing import Place


class Side(Enum):
    """Whose bytes: requests go from the connecting peer to the target, answers come back."""

    REQUEST = "request"
    ANSWER = "answer"

    @property
    def opposite(self) -> Side:
        """The other side."""
        return Side.ANSWER if self is Side.REQUEST else Side.REQUEST


class FaultKind(Enum):
    """What a fault does; the values are the script's words."""

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
    """The distribution of a delay; the values are the script's words."""

    FIXED = "fixed"
    UNIFORM = "uniform"
    HEAVY = "heavy"


class Fault(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={"kind": "do", "max_count": "most", "delay_ms": "ms"},  # the script's keys
):
    """One fault of a script: what it does, where, and how often.

    On streams it happens once a connection, `after` bytes into `place` of message number `message` of that
    `side`. On datagrams `message` is the first datagram that it may happen to, and it may happen to each.
    """

    kind: FaultKind
    side: Side = Side.ANSWER
    place: Place = Place.START
    message: int = 0
    after: int = 0  # bytes
    share: float = 1.0  # of the connections or datagrams
    max_count: int = 0  # only the first so many connections, or datagrams from `message` on; 0: all
    delay_ms: float = 0.0  # of a delay: the minimum of a uniform or heavy-tailed one is 0
    spread: Spread = Spread.FIXED
    per_second: int = 0  # bytes, of a rate
    count: int = 1  # bytes to garble

    def __post_init__(self) -> None:
        """Raise ValueError, which msgspec turns into its own error, for values that can't be used."""
        if not 0.0 <= self.share <= 1.0:
            message = "share is a part: from 0 to 1"
            raise ValueError(message)
        if min(self.message, self.after, self.delay_ms, self.max_count) < 0 or self.count < 1:
            message = "message, after, most and ms are 0 or more, count 1 or more"
            raise ValueError(message)
        if self.kind is FaultKind.RATE and self.per_second < 1:
            message = "a rate needs per_second, in bytes"
            raise ValueError(message)
        if self.kind is FaultKind.DELAY and not self.delay_ms:
            message = "a delay needs ms"
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
    """A script that can't be used; each line of the text names one fault of it."""


def read_faults(entries: object, source: str, allowed: tuple[FaultKind, ...]) -> list[Fault]:
    """Check a list of entries; ScriptError names every one that is wrong."""
    if not isinstance(entries, list):
        message = f"{source}: fault: wanted a list of tables"
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
        words = ", ".join(kind.value for kind in allowed)
        message = f"{fault.kind.value} is not to be had here: {words}"
        raise msgspec.ValidationError(message)
    if allowed is STREAM_FAULTS and fault.after and fault.place in (Place.START, Place.END):
        message = "start and end have no bytes: after is 0 there"
        raise msgspec.ValidationError(message)
    return fault


def read_script(path: str, allowed: tuple[FaultKind, ...]) -> list[Fault]:
    """Read a TOML file of `[[fault]]` tables; ScriptError says what is wrong with it."""
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
