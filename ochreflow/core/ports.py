"""The ports of the core: its interfaces to the network protocols around it, none of which is known here.

clients <-> Frontend --requests--> Engine --attempts--> UpstreamTransport <-> servers
    the engine responds through a `ResponseSink`, the transport reports to an `AttemptObserver`
discovery, files -> EndpointSource --endpoint updates--> Engine --watch, fetch--> EndpointSource
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ..policy.interface import State, Status
from .body import Body
from .request_ids import IdKey
from .stats import Disposition

Address = tuple[str, int]


class Pause(Protocol):
    """A callback that applies backpressure to a streamed response."""

    def __call__(self, *, paused: bool) -> None:
        """Stop reading from the server, or resume."""
        ...


class Reason(Enum):
    """Why a request ended as it did. A closed set: each frontend has a text for every member."""

    ANSWERED = "answered"  # a server's complete response was forwarded
    TRUNCATED = "truncated"  # a response was partly streamed to the client and ended early
    BALANCER_DECISION = "balancer_decision"  # the balancer rejected or failed the request
    DEADLINE_EXCEEDED = "deadline_exceeded"  # the deadline watchdog responded before the balancer did
    OVERLOADED = "overloaded"  # the configured limit of open requests is exceeded
    DRAINING = "draining"  # this sidecar is draining
    DUPLICATE_REQUEST_ID = "duplicate_request_id"  # a request of this id is open or has just ended
    INVALID_BODY = "invalid_body"  # the body can't be read to its end
    CLIENT_DISCONNECTED = "client_disconnected"  # the client has disconnected


@dataclass(slots=True)
class FinalResponse:
    """The one final response to a request; the frontend formats it for the client."""

    disposition: Disposition
    reason: Reason
    answer: object = None  # after success, the server's response, in the upstream transport's own form
    retry_after_ns: int = 0  # how long the client should wait before a retry; 0: unknown
    detail: object = None  # the value that the frontend passed to `RequestManager.body_failed`


@dataclass(slots=True, eq=False)
class IncomingRequest:
    """A request as read by its frontend, whose subclass adds the fields that its upstream transport needs."""

    request_id: Hashable  # chosen by the client; unique within the frontend while the request is open
    class_index: int  # index into `Settings.classes`
    tenant: int  # index into `Settings.tenants`
    key: int  # hash of the key that the client gave; 0: none
    timeout_ns: int  # how long the client waits, counted from the last byte of the request
    deadline_ns: int  # instant on the engine's clock; while the body arrives, as if it had just ended
    cost_ns: int  # expected processing time; 0: unknown
    is_retry: bool
    is_write: bool
    body: Body
    pending_id: int = field(init=False, default=0)  # id given by the engine; 0: not accepted

    def earliest_deadline_ns(self, now_ns: int) -> int:
        """Return the earliest time at which the client can stop waiting, on the engine's clock.

        While the body is incomplete, its last byte may have been written and wait to be read.
        """
        body = self.body
        if body.complete or body.discarding:
            return self.deadline_ns
        return (now_ns if body.earliest_end_ns is None else body.earliest_end_ns()) + self.timeout_ns


class ResponseSink(Protocol):
    """Receives the final response to a request, either whole or as a stream."""

    def respond(self, request: IncomingRequest, response: FinalResponse) -> None:
        """Send a complete final response."""
        ...

    def begin(self, request: IncomingRequest, head: object, length: int | None, pause: Pause) -> None:
        """Begin to stream a server's response of `length` bytes; None if the length is unknown."""
        ...

    def part(self, request: IncomingRequest, data: bytes) -> None:
        """Send the next bytes of a streamed response."""
        ...

    def is_disconnected(self, request: IncomingRequest) -> bool:
        """Return whether the client is known to have disconnected; if so, close its connection."""
        ...

    def end(self, request: IncomingRequest, *, complete: bool) -> None:
        """End a streamed response; the client must be able to tell an incomplete one from a complete one."""
        ...


class AttemptObserver(Protocol):
    """Decides whether an attempt may begin, and receives its progress and its outcome.

    The transport calls `ended` exactly once. A connection may have to be established between the decision to
    send and the first byte, so the transport calls `write_timeout_s` in the event loop iteration in which it
    writes that byte.
    """

    def write_timeout_s(self) -> float:
        """Return the seconds left to write the last byte; infinite: no limit, 0: don't begin.

        An attempt that must not begin ends as `NOT_SENT`, and so does one whose last byte is late.
        """
        ...

    def remaining_time_ns(self) -> int:
        """Return the time left to the server, in ns as of this call; it is sent in the request's head."""
        ...

    def begin_wait(self) -> None:
        """Record that the attempt waits for a connection in use to be free, until `write_timeout_s`."""
        ...

    def written(self) -> None:
        """Record that the last byte has been written: from now on the request may have run."""
        ...

    def begin(self, head: object, length: int | None) -> bool:
        """Begin to stream a response; return False if the client no longer waits for it."""
        ...

    def part(self, data: bytes) -> None:
        """Forward the next bytes of a streamed response."""
        ...

    def ended(self, status: Status, answer: object, report: tuple[float, ...]) -> None:
        """Record the status of the ended attempt, its response unless streamed, and its load report."""
        ...


class UpstreamAttempt(Protocol):
    """An attempt that has been started."""

    @property
    def begun(self) -> bool:
        """Whether the first byte has been written."""
        ...

    @property
    def may_run(self) -> bool:
        """Whether the last byte has been written; from then on the server may run the request."""
        ...

    def set_timeout(self, seconds: float) -> None:
        """End the attempt with a timeout in `seconds` from now."""
        ...

    def clear_timeout(self) -> None:
        """Remove the timeout of the attempt."""
        ...

    def pause(self, *, paused: bool) -> None:
        """Stop reading the response, or resume."""
        ...

    def give_up(self, status: Status) -> None:
        """End the attempt within this call, with `status` if it may have run."""
        ...


class UpstreamTransport(Protocol):
    """Sends attempts to servers in one protocol."""

    def start(
        self, server: int, request: IncomingRequest, timeout: float | None, observer: AttemptObserver
    ) -> UpstreamAttempt:
        """Start an attempt; the server is told to respond within the observer's `remaining_time_ns`.

        The end of the attempt is reported later, never from within this call. `timeout` is in seconds;
        None, while the body is still arriving: no timeout until `set_timeout` or `give_up` is called.
        """
        ...

    def probe(self, server: int, timeout: float, done: Callable[[Status, tuple[float, ...]], None]) -> None:
        """Send a health check with a timeout in seconds; `done` receives its status and the load report."""
        ...

    def update(self, server: int, address: Address, since_ms: int, state: State) -> None:
        """Update a server's address, start time and state; no attempt begins at one that is not ready."""
        ...

    def forget(self, server: int) -> None:
        """Drop the state of a server that was removed from the endpoint list."""
        ...

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        ...

    def sweep(self) -> None:
        """Close connections that have been idle for too long; called ten times a second."""
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


class RequestIdArbiter(Protocol):
    """Decides with the other processes of this sidecar whether a request id may be used."""

    def claim(self, frontend: str, key: IdKey, decided: Callable[[bool], None]) -> None:
        """Ask whether a request may be forwarded; `decided` is called once, possibly within this call."""
        ...

    def release(self, frontend: str, key: IdKey) -> None:
        """Record that a request has ended, decided or not; `decided` is not called any more."""
        ...


class Frontend(Protocol):
    """Accepts requests from clients in one protocol."""

    @property
    def connected(self) -> int:
        """The number of connected clients, where the protocol has connections."""
        ...

    def stop_accepting(self) -> None:
        """Close the listening sockets."""
        ...

    def close_idle_connections(self) -> None:
        """Close every connection that has no open, partly read or unread request."""
        ...

    def sweep(self) -> None:
        """Close connections whose clients exceed a timeout; called ten times a second."""
        ...

    def close(self) -> None:
        """Close all connections and listening sockets."""
        ...


class EndpointSource(Protocol):
    """Reports changes of the endpoint list by calling `Engine.on_endpoint_update`."""

    def watch(self, *, on: bool) -> None:
        """Start or stop watching the endpoint list."""
        ...

    def fetch(self) -> None:
        """Fetch the complete endpoint list once."""
        ...

    def close(self) -> None:
        """Close all connections and stop reporting."""
        ...


class GossipSender(Protocol):
    """Sends gossip messages to peer sidecars."""

    def send(self, data: bytes, peer: int | None) -> None:
        """Send a message to one peer, or to all peers if `peer` is None."""
        ...

    def close(self) -> None:
        """Close the gossip socket."""
        ...
