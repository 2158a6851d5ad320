"""Messages between two processes of one sidecar: one JSON object on each line.

The first line that a process sends is its greeting; later lines contain its resource usage. Different
versions run side by side during a restart, so the keys and their order must not change:

    {"pid": PROCESS, "list": ENDPOINT_LIST, "known": KNOWN_CLIENTS, "holds": [DESCRIPTORS, CLIENTS, BYTES]}
    {"holds": [DESCRIPTORS, CLIENTS, BYTES]}
    {"holds": [DESCRIPTORS, CLIENTS, BYTES], "list": ENDPOINT_LIST, "source": ORIGIN}

PROCESS is a number that no other process of the sidecar has. ENDPOINT_LIST and KNOWN_CLIENTS may be null.
A greeting has the key "source" as well. ORIGIN says where the list comes from, see `ListOrigin`:

    {"address": "HOST:PORT", "since": NANOSECONDS, "resets": COUNT}

A process of an earlier version sends no "source", and ignores a list that does not come in a greeting. The
first two forms may have the key "ids" at the end, see `request_id_messages`.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..core.address import split_address
from ..membership.list_origin import ListOrigin
from .request_id_messages import (
    IDS_KEY,
    IdGreeting,
    IdMessage,
    format_id_greeting,
    format_id_message,
    parse_id_greeting,
    parse_id_message,
)

ORIGIN_KEY = "source"
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
    origin: ListOrigin | None = None  # of the list; None if there is none or the sender is an old version


NO_INHERITANCE = Inheritance(None, None)


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
    if inheritance.origin is not None:
        message[ORIGIN_KEY] = _format_origin(inheritance.origin)
    return _format_line(message)


def format_usage(usage: tuple[int, ...], ids: IdMessage | None = None) -> bytes:
    """Return a later line: earlier versions expect the usage in each, and ignore the request ids."""
    message: dict[str, object] = {"holds": usage}
    if ids is not None:
        message[IDS_KEY] = format_id_message(ids)
    return _format_line(message)


def format_list(usage: tuple[int, ...], endpoint_list: object, origin: ListOrigin) -> bytes:
    """Return a later line with a complete endpoint list."""
    return _format_line({"holds": usage, "list": endpoint_list, ORIGIN_KEY: _format_origin(origin)})


def is_greeting(message: dict[str, Any]) -> bool:
    """Return whether a message is a greeting, which alone has a process id."""
    return "pid" in message


def parse_process_id(greeting: dict[str, Any]) -> int:
    """Return the id of the process that sent a greeting."""
    return int(greeting["pid"])


def parse_inheritance(greeting: dict[str, Any]) -> Inheritance:
    """Return the state that a greeting hands over."""
    return Inheritance(greeting["list"], greeting.get("known"), _parse_origin(greeting))


def parse_list(message: dict[str, Any]) -> tuple[object, ListOrigin] | None:
    """Return the complete list in a later message and its origin, if it has one."""
    origin = _parse_origin(message)
    return (message["list"], origin) if origin is not None else None


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


def _format_origin(origin: ListOrigin) -> dict[str, object]:
    host, port = origin.address
    return {"address": f"{host}:{port}", "since": origin.adopted_ns, "resets": origin.resets}


def _parse_origin(message: dict[str, Any]) -> ListOrigin | None:
    data = message.get(ORIGIN_KEY)
    if data is None or message["list"] is None:
        return None
    version = int(message["list"]["index"])
    return ListOrigin(split_address(data["address"]), int(data["since"]), int(data["resets"]), version)


def _format_line(message: dict[str, object]) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"
