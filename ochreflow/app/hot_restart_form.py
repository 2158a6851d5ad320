"""The form of what two processes of one sidecar send each other: one JSON object on each line.

The first line of a process is its greeting, later ones have only what it holds. Versions run side by side, so
the keys and their order stay as they are:

    {"pid": PROCESS, "list": ENDPOINT_LIST, "known": KNOWN_CLIENTS, "holds": [DESCRIPTORS, CLIENTS, BYTES]}
    {"holds": [DESCRIPTORS, CLIENTS, BYTES]}

ENDPOINT_LIST and KNOWN_CLIENTS may be null.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, NamedTuple

MAX_LINE_BYTES = 4 * 1024 * 1024
INVALID = (ValueError, TypeError, KeyError, AttributeError, RecursionError)
"""What the functions below raise for a line that is not of this form."""


class ResourceUsage(NamedTuple):
    """What one process has in use."""

    descriptors: int
    clients: int  # connections of clients, of the descriptors
    memory_bytes: int


NO_USAGE = ResourceUsage(0, 0, 0)


@dataclass(frozen=True, slots=True)
class Inheritance:
    """What a new process starts with, as another process has it."""

    endpoint_list: object  # in discovery's form; None before there is one
    known_clients: object  # the snapshot of connection admission; None without it, and from earlier versions


def format_greeting(process: int, inheritance: Inheritance, usage: tuple[int, ...]) -> bytes:
    """The first line."""
    return _format_line(
        {
            "pid": process,
            "list": inheritance.endpoint_list,
            "known": inheritance.known_clients,
            "holds": usage,
        }
    )


def format_usage(usage: tuple[int, ...]) -> bytes:
    """A later line."""
    return _format_line({"holds": usage})


def is_greeting(message: dict[str, Any]) -> bool:
    """Whether a line names its process."""
    return "pid" in message


def parse_process(greeting: dict[str, Any]) -> int:
    """The process that a greeting names."""
    return int(greeting["pid"])


def parse_inheritance(greeting: dict[str, Any]) -> Inheritance:
    """What a greeting hands over."""
    return Inheritance(greeting["list"], greeting.get("known"))


def parse_usage(message: dict[str, Any]) -> ResourceUsage:
    """What the process of a line holds; negative numbers count as none."""
    descriptors, clients, memory_bytes = (max(int(part), 0) for part in message["holds"])
    return ResourceUsage(descriptors, clients, memory_bytes)


def _format_line(message: dict[str, object]) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"
