"""What the processes of one sidecar tell each other of request ids: the key `ids` of their messages.

In a greeting it has the start of the process and the ids that it holds, each with the id of the process whose
request is open (null: the sender's own, or ended) and whether the request has ended:

    {"since": NANOSECONDS, "held": [[FRONTEND, KEY, PID, ENDED], ...]}

In later messages it has one entry, whose key is an `IdMessageKind`:

    {"ask": [[FRONTEND, KEY], ...]}

A process of an earlier version ignores the key `ids`, and sends none in its greeting.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from ..core.request_ids import HeldId, IdKey

IDS_KEY = "ids"


class FrontendId(NamedTuple):
    """A request id of one frontend."""

    frontend: str
    key: IdKey


class IdMessageKind(Enum):
    """The kinds of messages."""

    ASK = "ask"  # may the sender forward a request with this id?
    APPROVED = "approved"
    DENIED = "denied"
    TAKEN = "taken"  # the sender forwards a request with this id
    ENDED = "ended"  # the sender's requests with these ids have ended


@dataclass(frozen=True, slots=True)
class IdMessage:
    """A message on some ids."""

    kind: IdMessageKind
    ids: tuple[FrontendId, ...]


@dataclass(frozen=True, slots=True)
class SharedId:
    """An id that a process holds."""

    frontend: str
    held: HeldId


@dataclass(frozen=True, slots=True)
class IdGreeting:
    """The first message of a process."""

    started_ns: int  # on the system's monotonic clock, which all processes share
    held: tuple[SharedId, ...]


def format_id_greeting(greeting: IdGreeting) -> dict[str, Any]:
    """Return the value of the key `ids` in a greeting."""
    held = [
        [shared.frontend, shared.held.key, shared.held.owner, shared.held.ended] for shared in greeting.held
    ]
    return {"since": greeting.started_ns, "held": held}


def parse_id_greeting(data: dict[str, Any]) -> IdGreeting:
    """Return the greeting with this value of the key `ids`."""
    held = tuple(
        SharedId(str(frontend), HeldId(str(key), int(owner) if owner is not None else None, bool(ended)))
        for frontend, key, owner, ended in data["held"]
    )
    return IdGreeting(int(data["since"]), held)


def format_id_message(message: IdMessage) -> dict[str, Any]:
    """Return the value of the key `ids` in a later message."""
    return {message.kind.value: message.ids}


def parse_id_message(data: dict[str, Any]) -> IdMessage:
    """Return the message with this value of the key `ids`."""
    ((kind, ids),) = data.items()
    return IdMessage(IdMessageKind(kind), tuple(FrontendId(str(frontend), str(key)) for frontend, key in ids))
