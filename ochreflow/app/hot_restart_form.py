"""Messages between two processes of one sidecar: one JSON object on each line.

The first line that a process sends is its greeting; later lines contain only its resource usage. Different
versions run side by side during a restart, so the keys and their order must not change:

    {"pid": PROCESS, "list": ENDPOINT_LIST, "known": KNOWN_CLIENTS, "holds": [DESCRIPTORS, CLIENTS, BYTES]}
    {"holds": [DESCRIPTORS, CLIENTS, BYTES]}

PROCESS is a number that no other process of the sidecar has. ENDPOINT_LIST and KNOWN_CLIENTS may be null.
Both forms may have the key "ids" at the end, see `request_id_messages`.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, NamedTuple

from .request_id_messages import (
    IDS_KEY,
    IdGreeting,
    IdMessage,
    format_id_greeting,
    format_id_message,
    parse_id_greeting,
    parse_id_message,
)

MAX_LINE_BYTES = 4 * 1024 * 1024
INVALID_MESSAGE_ERRORS = (ValueError, TypeError, KeyError, AttributeError, RecursionError)
"""The exceptions that the functions below raise for a malformed message."""


class ResourceUsage(NamedTuple):
    """The resources that a process uses."""

    descriptors: int
    clients: int  # client connections, which are among the descriptors
    memory_bytes: int


NO_USAGE = ResourceUsage(0, 0, 0)


@dataclass(frozen=True, slots=True)
class Inheritance:
    """The state that a running process hands over to a new one."""

    endpoint_list: object  # in discovery's format; None if there is none yet
    known_clients: object  # snapshot of admission; None if that is off or the sender is an old version


def format_greeting(
    process_id: int, inheritance: Inheritance, usage: tuple[int, ...], ids: IdGreeting | None = None
) -> bytes:
    """Return the first line that a process sends."""
    message: dict[str, object] = {
        "pid": process_id,
        "list": inheritance.endpoint_list,
        "known": inheritance.known_clients,
        "holds": usage,
    }
    if ids is not None:
        message[IDS_KEY] = format_id_greeting(ids)
    return _format_line(message)


def format_usage(usage: tuple[int, ...], ids: IdMessage | None = None) -> bytes:
    """Return a later line: earlier versions expect the usage in each, and ignore the request ids."""
    message: dict[str, object] = {"holds": usage}
    if ids is not None:
        message[IDS_KEY] = format_id_message(ids)
    return _format_line(message)


def is_greeting(message: dict[str, Any]) -> bool:
    """Return whether a message is a greeting, which alone has a process id."""
    return "pid" in message


def parse_process_id(greeting: dict[str, Any]) -> int:
    """Return the id of the process that sent a greeting."""
    return int(greeting["pid"])


def parse_inheritance(greeting: dict[str, Any]) -> Inheritance:
    """Return the state that a greeting hands over."""
    return Inheritance(greeting["list"], greeting.get("known"))


def parse_greeting_ids(greeting: dict[str, Any]) -> IdGreeting | None:
    """Return the request ids in a greeting; None if the sender is of an earlier version."""
    return parse_id_greeting(greeting[IDS_KEY]) if IDS_KEY in greeting else None


def parse_message_ids(message: dict[str, Any]) -> IdMessage | None:
    """Return what a later message says of request ids, if anything."""
    return parse_id_message(message[IDS_KEY]) if IDS_KEY in message else None


def parse_usage(message: dict[str, Any]) -> ResourceUsage:
    """Return the resource usage in a message; negative numbers count as 0."""
    descriptors, clients, memory_bytes = (max(int(amount), 0) for amount in message["holds"])
    return ResourceUsage(descriptors, clients, memory_bytes)


def _format_line(message: dict[str, object]) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"
