"""What goes into the model of a node and comes out of it: profile, faults, requests and actions."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from .event_log import EventKind


class Malformation(StrEnum):
    """A form of response that no good server sends; the values are the words of scenario files."""

    EXTRA_BYTES = "extra"  # bytes behind the response, which belong to nothing
    INTERIM_RESPONSE = "interim"  # a 1xx in front, which is no final response
    TRUNCATED = "cut"  # the head, half of the body, then the end of the connection
    GARBLED = "garbled"  # a status line that does not parse
    STALLED = "stalled"  # the head, half of the body, then silence


@dataclass(slots=True)
class NodeProfile:
    """The properties of a node."""

    name: str
    cores: int = 2
    concurrency: int = 0  # requests processed at once, which share the cores; 0: one for each core
    queue_capacity: int = 16  # requests that may wait beside those in process
    mean_work_s: dict[str, float] = field(default_factory=dict)  # by request class, on a warm core
    rejection_cost_s: float = 0.001  # time of one core that a rejection takes
    crowding_loss: float = 0.0  # the part of its speed that is lost when its queue is full
    start_capacity: float = 0.15  # the part of its speed that a cold node has
    warm_up_s: float = 0.0  # 0: it is warm from the start
    warm_up_work_s: float = 0.0  # work done after which it is warm, in place of time; 0: time counts
    overload_factor: float = 2.5  # a cold node collapses when it is sent so many times what it can do ...
    overload_window_s: float = 3.0  # ... over so long
    key_cache_ttl_s: float = 5.0  # after which a key is forgotten
    key_cache_size: int = 64  # keys that are remembered; the least recently used one is evicted first
    cached_key_cost_factor: float = 0.55  # of the work of a request whose key is remembered
    deduplication_window_s: float = 4.0  # for which repeats of an idempotency key are dropped
    max_connections: int = 0  # 0: any number


@dataclass(slots=True)
class ActiveFaults:
    """The faults that are injected into a node at present."""

    blackhole: bool = False  # accepts requests and answers none
    error_share: float = 0.0  # the share of requests that fails at once
    slowdown: float = 1.0  # the factor on the time of all work
    malformed_share: float = 0.0  # the share of responses that is malformed
    malformation: Malformation | None = None


FAULT_WORDS = frozenset({"swallow", "fail", "slow", "spoil", "form"})  # of a control order


@dataclass(slots=True)
class NodeRequest:
    """One request as a node sees it."""

    request_id: str
    class_name: str
    key: str | None = None
    idempotency_key: str | None = None
    work_factor: float | None = None  # the work, in means of its class; None: drawn by the node
    connection: int = 0


@dataclass(slots=True)
class RecordEvent:
    """Write an event to the event log."""

    kind: EventKind
    fields: dict[str, Any]


@dataclass(slots=True)
class Reply:
    """Answer the request of this number."""

    number: int
    status: int
    body: str = ""
    not_run: bool = False  # says that the request was not executed
    malformation: Malformation | None = None


@dataclass(slots=True)
class CloseConnection:
    """Close the connection that the request of this number came on."""

    number: int


@dataclass(slots=True)
class Collapse:
    """Close every connection: the node is down for good."""


NodeAction = RecordEvent | Reply | CloseConnection | Collapse
