"""Messages between two processes of one sidecar: one JSON object on each line.

The first line that a process sends is its greeting; later lines contain only its resource usage. Different
versions run side by side during a restart, so the keys and their order must not change:

    {"pid": PROCESS, "list": ENDPOINT_LIST, "known": KNOWN_CLIENTS, "holds": [DESCRIPTORS, CLIENTS, BYTES]}
    {"holds": [DESCRIPTORS, CLIENTS, BYTES]}

ENDPOINT_LIST and KNOWN_CLIENTS may be null.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, NamedTuple

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


def format_greeting(pid: int, inheritance: Inheritance, usage: tuple[int, ...]) -> bytes:
    """Return the first line that a process sends."""
    return _format_line(
        {
            "pid": pid,
            "list": inheritance.endpoint_list,
            "known": inheritance.known_clients,
            "holds": usage,
        }
    )


def format_usage(usage: tuple[int, ...]) -> bytes:
    """Return a line that reports a change of usage."""
    return _format_line({"holds": usage})


def is_greeting(message: dict[str, Any]) -> bool:
    """Return whether a message is a greeting, which alone has a pid."""
    return "pid" in message


def parse_pid(greeting: dict[str, Any]) -> int:
    """Return the pid of the process that sent a greeting."""
    return int(greeting["pid"])


def parse_inheritance(greeting: dict[str, Any]) -> Inheritance:
    """Return the state that a greeting hands over."""
    return Inheritance(greeting["list"], greeting.get("known"))


def parse_usage(message: dict[str, Any]) -> ResourceUsage:
    """Return the resource usage in a message; negative numbers count as 0."""
    descriptors, clients, memory_bytes = (max(int(amount), 0) for amount in message["holds"])
    return ResourceUsage(descriptors, clients, memory_bytes)


def _format_line(message: dict[str, object]) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"
