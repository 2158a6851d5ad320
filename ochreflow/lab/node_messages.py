"""The inputs and outputs of the node model: profile, faults, requests and actions."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from .event_log import EventKind


class Malformation(StrEnum):
    """A kind of malformed response; the values are those of scenario files."""

    EXTRA_BYTES = "extra"  # extra bytes after the response
    INTERIM_RESPONSE = "interim"  # a 1xx response before the final one
    TRUNCATED = "cut"  # the head and half of the body, then the connection closes
    GARBLED = "garbled"  # an invalid status line
    STALLED = "stalled"  # the head and half of the body, then nothing while the connection stays open


@dataclass(slots=True)
class NodeProfile:
    """The properties of a node."""

    name: str
    cores: int = 2
    concurrency: int = 0  # requests processed at once, sharing the cores; 0: one per core
    queue_capacity: int = 16  # requests that may wait, besides the running ones
    mean_work_s: dict[str, float] = field(default_factory=dict)  # core time by request class, on a warm node
    rejection_cost_s: float = 0.001  # core time that a rejection takes
    crowding_loss: float = 0.0  # share of the speed that is lost when the queue is full
    start_capacity: float = 0.15  # share of the full speed that a cold node has
    warm_up_s: float = 0.0  # time until the node is warm; 0: warm from the start
    warm_up_work_s: float = 0.0  # work done until the node is warm, instead of time; 0: by time
    overload_factor: float = 2.5  # offered load, in multiples of capacity, at which a cold node collapses
    overload_window_s: float = 3.0  # window over which the offered load is measured
    key_cache_ttl_s: float = 5.0  # time after its last use until a cached key expires
    key_cache_size: int = 64  # cached keys; the least recently used one is evicted first
    cached_key_cost_factor: float = 0.55  # factor on the work of a request whose key is cached
    deduplication_window_s: float = 4.0  # during which duplicates of an idempotency key are dropped
    max_connections: int = 0  # 0: no limit


@dataclass(slots=True)
class ActiveFaults:
    """The faults that are currently injected into a node."""

    blackhole: bool = False  # accepts requests and answers none
    error_share: float = 0.0  # share of requests that fail immediately
    slowdown: float = 1.0  # factor on the time of all work
    malformed_share: float = 0.0  # share of responses that are malformed
    malformation: Malformation | None = None


FAULT_KEYS = frozenset({"swallow", "fail", "slow", "spoil", "form"})  # keys of control orders


@dataclass(slots=True)
class NodeRequest:
    """A request as a node receives it."""

    request_id: str
    class_name: str
    key: str | None = None
    idempotency_key: str | None = None
    work_factor: float | None = None  # work in means of its class; None: drawn by the node
    connection: int = 0


@dataclass(slots=True)
class RecordEvent:
    """Record an event in the event log."""

    kind: EventKind
    fields: dict[str, Any]


@dataclass(slots=True)
class Reply:
    """Answer the request with this number."""

    number: int
    status: int
    body: str = ""
    not_run: bool = False  # tell the client that the request was not executed
    malformation: Malformation | None = None


@dataclass(slots=True)
class CloseConnection:
    """Reset the connection of the request with this number."""

    number: int


@dataclass(slots=True)
class Collapse:
    """Reset every connection: the node has collapsed."""


NodeAction = RecordEvent | Reply | CloseConnection | Collapse
