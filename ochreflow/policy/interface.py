"""The interface of the balancer: settings, input events and output actions. No logic, no wire format.

All times are integer nanoseconds of the caller's monotonic clock. A class, tenant, zone or kind is given
as an index into the configured list, such as `Settings.classes`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Effect(IntEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = 0  # may run any number of times
    IDEMPOTENT_WITH_KEY = 1  # servers drop a retry with the same idempotency key for a while
    NON_IDEMPOTENT = 2  # may run at most once


class Scope(IntEnum):
    """The group of servers that drop a retry with the same idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Status(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1  # the server responded with an error; the request may have run
    REJECTED = 2  # the server rejected it before doing any work: queue full or draining
    TIMEOUT = 3  # no response in time; may have run or may still be running
    CONNECT_FAILED = 4  # no connection was established
    RESET = 5  # the connection broke; may have run
    CANCELLED = 6  # cancelled by the sidecar; may have run
    NOT_SENT = 7  # not sent, or only in part: it has not run


class State(IntEnum):
    """The state of an endpoint in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """The content of an endpoint update."""

    DELTA = 0  # only the entries that changed
    FULL = 1  # the complete list
    CACHED = 2  # the complete list from a cache; may be stale
    FAILED = 3  # no entries: a fetch failed or the subscription broke
    RELOCATED = 4  # no entries: discovery is at another address, which has not been polled yet
    SHARED = 5  # the complete list of another process of this sidecar, which was notified of it
    # No entries: another process of this sidecar may be notified of changes that this one does not learn of.
    PEER_SILENT = 6


class PollFailure(IntEnum):
    """How a poll of discovery failed, in the order in which the failures show that discovery is there."""

    REFUSED = 0  # no process accepts connections: discovery is away, and the poll cost it nothing
    TIMED_OUT = 1  # no connection or no answer in time: discovery may be away, or may still answer
    REJECTED = 2  # answered with an error or reset: something is there, discovery may be away or may not
    REJECTED_LATE = 3  # the same after a wait: discovery is there and has too many callers


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests. Immutable: the rules of a request are those of its class on arrival."""

    name: str
    objective_ns: int
    deadline_ns: int
    priority_weight: float
    late_priority_weight: float
    effect: Effect
    scope: Scope = Scope.ALL
    window_ns: int = 0  # how long servers remember an idempotency key
    stream: bool = False


@dataclass(slots=True)
class Tenant:
    """A tenant and its quota."""

    name: str
    share: float
    quota_per_s: float


@dataclass(slots=True)
class Settings:
    """The settings of a balancer; they do not change while it runs."""

    classes: list[RequestClass]
    zones: list[str]
    zone: int = 0
    tenants: list[Tenant] = field(default_factory=list)
    over_quota_weight: float = 1.0
    weight_by_work: bool = False
    index: int = 0
    fleet_size: int = 1
    tick_ns: int = 5_000_000
    polling_required: bool = False  # discovery does not push updates and has to be polled
    polling_interval_ns: int = 10_000_000_000
    drain_grace_ns: int = 0
    answer_slack_ns: int = 0
    start_capacity: float = 1.0
    warm_up_ns: int = 0
    overload_factor: float = 3.0
    overload_for_ns: int = 3_000_000_000
    max_attempts: int = 1
    hedging: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    can_gossip: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 0
    connect_timeout_ns: int = 0
    report_columns: tuple[str, ...] = ()
    weighted: bool = False  # whether the weights in the endpoint list are meaningful
    goal_worst_class: float = 0.0  # weight of the worst-served class in the service goal
    price_cross_zone: float = 0.0
    price_waste: float = 0.0
    price_peer: float = 0.0


@dataclass(slots=True)
class Endpoint:
    """A server in the endpoint list."""

    server: int
    zone: int
    kind: int
    cell: int
    state: State
    weight: float = 1.0
    started_ns: int = 0  # start of the server process; 0: long ago


# Events


@dataclass(slots=True)
class Membership:
    """An update of the endpoint list."""

    kind: ListKind
    version: int
    entries: list[Endpoint]
    failure: PollFailure = PollFailure.REJECTED  # of kind FAILED
    # Of kind FAILED: time in which changes missed before count as notified; None: only later ones are missed.
    notified_ns: int | None = None


@dataclass(slots=True)
class Request:
    """A request has arrived from a client."""

    id: int
    class_index: int
    tenant: int
    deadline_ns: int  # an instant of the clock, not a duration
    key: int = 0
    cost_ns: int = 0  # expected processing time; 0: unknown
    is_retry: bool = False
    is_write: bool = False
    uploading: bool = False  # its body is still arriving; `BodyUploaded` will set a new deadline
    waited_ns: int = 0  # time since its arrival, spent queued behind other requests of its client


@dataclass(slots=True)
class BodyDiscarded:
    """The body of a request is no longer buffered in full, so no further attempt can send it."""

    id: int


@dataclass(slots=True)
class BodyUploaded:
    """The last byte of a body that was still arriving has been sent: its attempt counts from now."""

    id: int
    deadline_ns: int  # an instant of the clock, as in `Request`


@dataclass(slots=True)
class Outcome:
    """An attempt has ended."""

    id: int
    attempt: int
    server: int
    status: Status
    duration_ns: int
    final: bool  # whether the request has ended
    report: tuple[float, ...] = ()  # the server's load, by `Settings.report_columns`


@dataclass(slots=True)
class StreamStarted:
    """A response has begun to stream to the client; the later `Outcome` tells how the stream ended."""

    id: int
    attempt: int
    server: int
    duration_ns: int


@dataclass(slots=True)
class RequestCancelled:
    """The request no longer needs a final response: its client has disconnected."""

    id: int


@dataclass(slots=True)
class ProbeResult:
    """A health check has ended."""

    server: int
    status: Status
    duration_ns: int
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class GossipReceived:
    """A gossip message of a peer sidecar has arrived."""

    sender: int
    data: bytes


@dataclass(slots=True)
class Timer:
    """A timer set by `SetTimer` has expired."""

    token: int


# Actions


@dataclass(slots=True)
class Send:
    """Send an attempt of a request to a server."""

    id: int
    server: int
    timeout_ns: int = 0  # 0: the time left until the client's deadline


@dataclass(slots=True)
class Reject:
    """Give the final response "rejected": the request had no harmful effect and may be retried safely."""

    id: int
    retry_after_ns: int = 0


@dataclass(slots=True)
class Fail:
    """Give the final response "failed": the request may have run, and a retry may not be safe."""

    id: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Send a health check to a server."""

    server: int


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: int


@dataclass(slots=True)
class PublishGossip:
    """Send a gossip message to one peer or to all."""

    data: bytes
    peer: int | None = None  # None: every peer


@dataclass(slots=True)
class Watch:
    """Subscribe to the endpoint list, or unsubscribe."""

    on: bool = True


@dataclass(slots=True)
class Fetch:
    """Fetch the endpoint list once."""

    pass


@dataclass(slots=True)
class SetTimer:
    """Set a timer; a `Timer` event with the same token follows when it expires."""

    after_ns: int
    token: int


@dataclass(slots=True)
class Log:
    """Write a line to the log of the sidecar."""

    text: str


Event = (
    Membership
    | Request
    | BodyDiscarded
    | BodyUploaded
    | Outcome
    | StreamStarted
    | RequestCancelled
    | ProbeResult
    | GossipReceived
    | Timer
)
Action = Send | Reject | Fail | Cancel | Probe | CloseIdle | PublishGossip | Watch | Fetch | SetTimer | Log
