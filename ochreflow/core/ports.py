"""The ports of the core: the interfaces between it and the protocols around it. No protocol is known here.

clients <-> Frontend --requests--> Engine --attempts--> UpstreamTransport <-> servers
    the engine answers a `ResponseSink`, the transport reports to an `AttemptObserver`
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
Pause = Callable[[bool], None]
"""Backpressure on an answer that flows: True holds its source back, False lets it go on."""


class Reason(Enum):
    """Why a request ended as it did. Closed: each front has a wording for every one of them."""

    ANSWERED = "answered"  # a server's complete response was forwarded
    TRUNCATED = "truncated"  # a server's response had begun to reach the client and ended early
    BALANCER_DECISION = "balancer_decision"  # the decision module rejected or failed it
    DEADLINE_EXCEEDED = "deadline_exceeded"  # the deadline watchdog answered in the module's place
    OVERLOADED = "overloaded"  # more requests are open than the configuration allows
    DRAINING = "draining"  # this sidecar is draining
    DUPLICATE_REQUEST_ID = "duplicate_request_id"  # a request of this id is open or has just ended
    INVALID_BODY = "invalid_body"  # its body can't be read to its end
    CLIENT_DISCONNECTED = "client_disconnected"  # its client has disconnected


@dataclass(slots=True)
class FinalResponse:
    """The one final answer to a request, for its front to word."""

    disposition: Disposition
    reason: Reason
    answer: object = None  # where served: the server's answer, in the form of the carrier that brought it
    retry_after_ns: int = 0  # when to return; 0: not told
    detail: object = None  # what the front itself gave with `body_broken`


@dataclass(slots=True, eq=False)
class IncomingRequest:
    """A request as its frontend read it. each frontend's own class adds what its upstream transport needs."""

    request_id: Hashable  # as the client named it; unique within the front while it is open
    cls: int
    tenant: int
    key: int
    timeout_ns: int  # how long its client waits, from its last byte
    deadline_ns: int  # on the clock; while its body is coming, as if that were through
    cost_ns: int
    is_retry: bool
    is_write: bool
    body: Body
    pending_id: int = field(init=False, default=0)  # the engine's number for it; 0: not accepted


class ResponseSink(Protocol):
    """Whoever is owed the answer to a request: a response, or a flowing answer from its begin to its end."""

    def respond(self, request: IncomingRequest, response: FinalResponse) -> None: ...

    def begin(self, request: IncomingRequest, head: object, length: int | None, pause: Pause) -> None:
        """A server's answer begins to flow. `length` in bytes; None where it is not known."""
        ...

    def part(self, request: IncomingRequest, data: bytes) -> None: ...

    def gone(self, request: IncomingRequest) -> bool:
        """Whether its client has left, as far as can be read at this instant. Such a client is let go."""
        ...

    def end(self, request: IncomingRequest, whole: bool) -> None:
        """The flowing answer has ended; one that is not whole must not look as if it were."""
        ...


class AttemptObserver(Protocol):
    """Whoever is asked whether an attempt may begin, and told what becomes of it.

    Its transport calls `ended` exactly once. Between the decision to send and the first byte a connection may
    have to be made first, so each transport asks `write_timeout_s` in the turn in which it writes that byte.
    """

    def write_timeout_s(self) -> float:
        """Seconds within which its last byte has to go out; infinite: any, 0: it must not begin any more.

        An attempt that must not begin ends as `NOT_SENT`, and so does one whose last byte is late.
        """
        ...

    def remaining_time_ns(self) -> int:
        """How long its server is told to take at the most, in ns, as it stands when that is written."""
        ...

    def written(self) -> None:
        """Its last byte has been written: from here on it may have run."""
        ...

    def begin(self, head: object, length: int | None) -> bool:
        """An answer begins that flows; False if nobody wants it any more."""
        ...

    def part(self, data: bytes) -> None: ...

    def ended(self, status: Status, answer: object, report: tuple[float, ...]) -> None:
        """What its end proves, with the whole answer if there is one and was not flowing."""
        ...


class UpstreamAttempt(Protocol):
    """An attempt on its way."""

    @property
    def begun(self) -> bool:
        """Whether a first byte of it has gone out."""
        ...

    @property
    def may_run(self) -> bool:
        """Whether its last byte has gone out."""
        ...

    def set_timeout(self, seconds: float) -> None:
        """Give it up after so long."""
        ...

    def clear_timeout(self) -> None: ...

    def pause(self, paused: bool) -> None: ...

    def give_up(self, status: Status) -> None:
        """Stop waiting: it ends within this call, as `status` if it may have run."""
        ...


class UpstreamTransport(Protocol):
    """Whatever carries attempts to servers in one protocol."""

    def start(
        self, server: int, request: IncomingRequest, timeout: float | None, observer: AttemptObserver
    ) -> UpstreamAttempt:
        """Send an attempt; its server is told to answer within the observer's `remaining_time_ns`.

        Its end is told later, never from within this call. Without `timeout`, in seconds, it waits until
        it is told to wait no longer: its body is still coming.
        """
        ...

    def probe(
        self, server: int, timeout: float, done: Callable[[Status, tuple[float, ...]], None]
    ) -> None: ...

    def update(self, server: int, address: Address, since_ms: int, state: State) -> None:
        """Take news of a server: nothing new begins at one that is not ready."""
        ...

    def forget(self, server: int) -> None: ...

    def close_idle(self, server: int) -> None: ...

    def sweep(self) -> None: ...

    def close(self) -> None: ...


class Frontend(Protocol):
    """Whatever takes requests from clients in one protocol."""

    @property
    def connected(self) -> int:
        """Clients that are connected, where the protocol knows connections."""
        ...

    def stop_accepting(self) -> None: ...

    def close_idle_connections(self) -> None:
        """Close every connection on which nothing is open, has begun or waits to be read."""
        ...

    def sweep(self) -> None: ...

    def close(self) -> None: ...


class EndpointSource(Protocol):
    """Whatever tells of servers. It tells by calling `Engine.on_news`."""

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...

    def close(self) -> None: ...


class GossipSender(Protocol):
    """Whatever brings messages to other sidecars."""

    def send(self, data: bytes, peer: int | None) -> None: ...

    def close(self) -> None: ...
