"""The ports of the core: the interfaces between it and the protocols around it. No protocol is known here.

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
from .stats import Disposition

Address = tuple[str, int]


class Pause(Protocol):
    """Backpressure on a response that is streamed."""

    def __call__(self, *, paused: bool) -> None:
        """Stop reading from the server, or go on."""
        ...


class Reason(Enum):
    """Why a request ended as it did. Closed: each frontend has a wording for every one of them."""

    ANSWERED = "answered"  # a server's complete response was forwarded
    TRUNCATED = "truncated"  # a server's response had begun to reach the client and ended early
    BALANCER_DECISION = "balancer_decision"  # the balancer rejected or failed it
    DEADLINE_EXCEEDED = "deadline_exceeded"  # the deadline watchdog answered in the balancer's place
    OVERLOADED = "overloaded"  # more requests are open than the configuration allows
    DRAINING = "draining"  # this sidecar is draining
    DUPLICATE_REQUEST_ID = "duplicate_request_id"  # a request of this id is open or has just ended
    INVALID_BODY = "invalid_body"  # its body can't be read to its end
    CLIENT_DISCONNECTED = "client_disconnected"  # its client has disconnected


@dataclass(slots=True)
class FinalResponse:
    """The one final response to a request, which its frontend formats."""

    disposition: Disposition
    reason: Reason
    answer: object = None  # where it succeeded: the server's response, in the form of its upstream transport
    retry_after_ns: int = 0  # when the client should retry; 0: not known
    detail: object = None  # what the frontend itself gave with `RequestManager.body_failed`


@dataclass(slots=True, eq=False)
class IncomingRequest:
    """A request as its frontend read it. Each frontend's own class adds what its upstream transport needs."""

    request_id: Hashable  # as the client named it; unique within the frontend while it is open
    class_index: int
    tenant: int
    key: int
    timeout_ns: int  # how long its client waits, from its last byte
    deadline_ns: int  # on the engine's clock; while its body is coming, as if its last byte had just come
    cost_ns: int
    is_retry: bool
    is_write: bool
    body: Body
    pending_id: int = field(init=False, default=0)  # the engine's number for it; 0: not accepted


class ResponseSink(Protocol):
    """Gets the final response to a request: as a whole, or streamed from its begin to its end."""

    def respond(self, request: IncomingRequest, response: FinalResponse) -> None:
        """Send the final response."""
        ...

    def begin(self, request: IncomingRequest, head: object, length: int | None, pause: Pause) -> None:
        """Begin to stream a server's response of `length` bytes; None where that is not known."""
        ...

    def part(self, request: IncomingRequest, data: bytes) -> None:
        """Send the next bytes of a streamed response."""
        ...

    def is_disconnected(self, request: IncomingRequest) -> bool:
        """Return whether its client has disconnected, as can be read now; then close its connection."""
        ...

    def end(self, request: IncomingRequest, *, complete: bool) -> None:
        """End a streamed response; one that is not complete must not look as if it were."""
        ...


class AttemptObserver(Protocol):
    """Decides whether an attempt may begin, and gets what becomes of it.

    Its transport calls `ended` exactly once. Between the decision to send and the first byte a connection may
    have to be made first, so each transport asks `write_timeout_s` in the turn in which it writes that byte.
    """

    def write_timeout_s(self) -> float:
        """Return the seconds within which its last byte has to go out; infinite: no limit, 0: don't begin.

        An attempt that must not begin ends as `NOT_SENT`, and so does one whose last byte is late.
        """
        ...

    def remaining_time_ns(self) -> int:
        """Return how long its server may take, in ns, as of this call: it goes into the request's head."""
        ...

    def written(self) -> None:
        """Note that its last byte has been written: from here on it may have run."""
        ...

    def begin(self, head: object, length: int | None) -> bool:
        """Begin to stream a response; False if nobody waits for it any more."""
        ...

    def part(self, data: bytes) -> None:
        """Pass on the next bytes of a streamed response."""
        ...

    def ended(self, status: Status, answer: object, report: tuple[float, ...]) -> None:
        """Note what its end proves, with the whole response if there is one that was not streamed."""
        ...


class UpstreamAttempt(Protocol):
    """An attempt that has been started."""

    @property
    def begun(self) -> bool:
        """Whether a first byte of it has gone out."""
        ...

    @property
    def may_run(self) -> bool:
        """Whether its last byte has gone out."""
        ...

    def set_timeout(self, seconds: float) -> None:
        """Give it up after so many seconds."""
        ...

    def clear_timeout(self) -> None:
        """Remove the timeout."""
        ...

    def pause(self, *, paused: bool) -> None:
        """Stop reading its response, or go on."""
        ...

    def give_up(self, status: Status) -> None:
        """Stop waiting: it ends within this call, as `status` if it may have run."""
        ...


class UpstreamTransport(Protocol):
    """Sends attempts to servers in one protocol."""

    def start(
        self, server: int, request: IncomingRequest, timeout: float | None, observer: AttemptObserver
    ) -> UpstreamAttempt:
        """Send an attempt; its server is told to answer within the observer's `remaining_time_ns`.

        Its end is reported later, never from within this call. Without `timeout`, in seconds, it waits until
        `set_timeout` or `give_up` is called: its body is still coming.
        """
        ...

    def probe(self, server: int, timeout: float, done: Callable[[Status, tuple[float, ...]], None]) -> None:
        """Check the health of a server within `timeout` seconds; `done` gets its status and load report."""
        ...

    def update(self, server: int, address: Address, since_ms: int, state: State) -> None:
        """Apply what is new of a server: nothing begins any more at one that is not ready."""
        ...

    def forget(self, server: int) -> None:
        """Forget a server that was removed."""
        ...

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        ...

    def sweep(self) -> None:
        """Close what has been idle for too long; called ten times a second."""
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


class Frontend(Protocol):
    """Accepts requests from clients in one protocol."""

    @property
    def connected(self) -> int:
        """Clients that are connected, where the protocol knows connections."""
        ...

    def stop_accepting(self) -> None:
        """Close the listening sockets."""
        ...

    def close_idle_connections(self) -> None:
        """Close every connection on which no request is open, has begun or waits to be read."""
        ...

    def sweep(self) -> None:
        """Close connections whose clients take too long; called ten times a second."""
        ...

    def close(self) -> None:
        """Close all connections and listening sockets."""
        ...


class EndpointSource(Protocol):
    """Reports the servers, by calling `Engine.on_endpoint_update`."""

    def watch(self, *, on: bool) -> None:
        """Start or stop the watch of the endpoint list."""
        ...

    def fetch(self) -> None:
        """Ask once for the whole list."""
        ...

    def close(self) -> None:
        """Close its connections, and report nothing more."""
        ...


class GossipSender(Protocol):
    """Sends messages to other sidecars."""

    def send(self, data: bytes, peer: int | None) -> None:
        """Send to one of them, or to all where `peer` is None."""
        ...

    def close(self) -> None:
        """Close its socket."""
        ...
