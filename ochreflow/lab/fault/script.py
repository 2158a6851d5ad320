"""What a fault script may say, and how it is read. Every fault of a bad one is told at once."""

from __future__ import annotations

import tomllib
from enum import Enum
from typing import Literal

import msgspec

from .framing import Place


class Side(Enum):
    """Whose bytes: requests go from whoever connects, answers come back."""

    REQUEST = "request"
    ANSWER = "answer"


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One thing that goes wrong, where, and how often.

    On streams it happens once a connection, `after` bytes into `place` of message number `message` of that
    `side`. On datagrams `message` is the first datagram that it may happen to, and it may happen to each.
    """

    do: Literal[
        "delay", "rate", "cut", "reset", "half_close", "black_hole", "garble", "drop", "duplicate", "reorder"
    ]
    side: Side = Side.ANSWER
    place: Place = Place.START
    message: int = 0
    after: int = 0  # bytes
    share: float = 1.0  # of the connections or datagrams
    most: int = 0  # only the first so many connections, or datagrams from `message` on; 0: all
    ms: float = 0.0  # of a delay: the least of a uniform or heavy-tailed one is nought
    spread: Literal["fixed", "uniform", "heavy"] = "fixed"
    per_second: int = 0  # bytes, of a rate
    count: int = 1  # bytes to garble

    def __post_init__(self) -> None:
        if not 0.0 <= self.share <= 1.0:
            raise ValueError("share is a part: from 0 to 1")
        if min(self.message, self.after, self.ms, self.most) < 0 or self.count < 1:
            raise ValueError("message, after, most and ms are 0 or more, count 1 or more")
        if self.do == "rate" and self.per_second < 1:
            raise ValueError("a rate needs per_second, in bytes")
        if self.do == "delay" and not self.ms:
            raise ValueError("a delay needs ms")


DATAGRAM_FAULTS = ("delay", "garble", "drop", "duplicate", "reorder")
STREAM_FAULTS = ("delay", "rate", "cut", "reset", "half_close", "black_hole", "garble")


class ScriptError(Exception):
    """A script that can't be used; each line of the text names one fault of it."""


def read_faults(entries: object, source: str, allowed: tuple[str, ...]) -> list[Fault]:
    """Check a list of entries; ScriptError tells all that is wrong with them."""
    if not isinstance(entries, list):
        raise ScriptError(f"{source}: fault: wanted a list of tables")
    faults, wrong = [], []
    for number, entry in enumerate(entries):
        try:
            fault = msgspec.convert(entry, Fault)
            if fault.do not in allowed:
                raise msgspec.ValidationError(f"{fault.do} is not to be had here: {', '.join(allowed)}")
            if allowed is STREAM_FAULTS and fault.after and fault.place in (Place.START, Place.END):
                raise msgspec.ValidationError("start and end have no bytes: after is 0 there")
            faults.append(fault)
        except msgspec.ValidationError as error:
            wrong.append(f"{source}: fault[{number}]: {error}")
    if wrong:
        raise ScriptError("\n".join(wrong))
    return faults


def read_script(path: str, allowed: tuple[str, ...]) -> list[Fault]:
    """Read a TOML file of `[[fault]]` tables."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as error:
        raise ScriptError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScriptError(f"{path}: not TOML: {error}") from None
    if unknown := set(data) - {"fault"}:
        raise ScriptError("\n".join(f"{path}: {key}: no such key; known: fault" for key in sorted(unknown)))
    return read_faults(data.get("fault", []), path, allowed)
