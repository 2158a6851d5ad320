"""The plan of a run: its servers, requests and faults.

The treatment of an attempt is drawn when the attempt arrives, from the seed, the request's id and the number
of the attempt, so it does not depend on when or at which server the attempt arrives.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from .classes import RequestClass, Scope
from .fault_groups import FaultGroup
from .treatment import Ending, Treatment, draw_treatment


class DisconnectMode(Enum):
    """How a client disconnects."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half_close"
    END_SENDING = "end_sending"  # a half-close after the complete request; the client waits for the response


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One request of a client. Times in seconds."""

    at: float  # seconds since the start of the run
    id: str
    sidecar: int
    request_class: RequestClass
    size: int  # bytes of the request's body
    chunked: bool
    deadline: float
    pieces: int  # number of pieces in which the request is written
    disconnects_after: float | None  # seconds until the client disconnects
    disconnect_mode: DisconnectMode | None
    response_size: int = 0  # bytes of the body of a 200; 0: a few bytes
    closes_connection: bool = False  # the client sends `Connection: close`


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """The initial state of a server."""

    zone: int
    cell: int
    receive_buffer_bytes: int  # 0: the system's default
    max_segment_bytes: int  # 0: the system's default


class ServerChange(Enum):
    """A change of a whole server."""

    RESTART = "restart"
    DRAIN = "drain"
    MOVE = "move to another group"
    ACCEPT_LATE = "accept nothing for a while"


class SidecarChange(Enum):
    """The signal that a sidecar receives."""

    TERM = "SIGTERM"
    HUP = "SIGHUP"
    KILL = "SIGKILL"
    FREEZE = "SIGSTOP"


@dataclass(frozen=True, slots=True)
class ServerStep:
    """A change of a server at a time. Times in seconds."""

    at: float
    server: int
    change: ServerChange
    seconds: float
    group_offset: int  # a move is to the group of the server whose number is higher by this offset


@dataclass(frozen=True, slots=True)
class SidecarStep:
    """A signal to a sidecar at a time. Times in seconds."""

    at: float
    sidecar: int
    change: SidecarChange
    seconds: float


@dataclass(frozen=True, slots=True)
class Burst:
    """Many small idempotent requests at once, which load a sidecar's event loop."""

    at: float
    sidecar: int
    count: int


@dataclass(frozen=True, slots=True)
class PipelinedPair:
    """Two requests that a client with a small receive buffer pipelines; it reads the responses late.

    The first response fills the buffer, so the second one stays in the sidecar's send buffer for a while.
    """

    at: float
    first_request: ClientRequest
    second_request: ClientRequest
    empty_line_after: float  # seconds until the client writes an empty line, as some clients do after a body
    reads_after: float  # seconds until the client reads


@dataclass(frozen=True, slots=True)
class Plan:
    """Everything in a run except the drawn treatments of its attempts."""

    seed: int
    seconds: float  # length of the period in which requests begin
    fault_groups: frozenset[FaultGroup]
    sidecars: int
    classes: tuple[RequestClass, ...]
    hedging: bool
    max_attempts: int
    connect_timeout: float  # seconds
    servers: tuple[ServerPlan, ...]
    requests: tuple[ClientRequest, ...]
    server_steps: tuple[ServerStep, ...]
    sidecar_steps: tuple[SidecarStep, ...]
    bursts: tuple[Burst, ...]
    pairs: tuple[PipelinedPair, ...] = ()
    # Treatments in place of drawn ones, by the attempt's number; later attempts are served.
    fixed_treatments: tuple[Treatment, ...] = ()

    def treatment(self, request: ClientRequest, attempt: int) -> Treatment:
        """Return the treatment of an attempt, numbered from 0, of a request."""
        if self.fixed_treatments:
            return (
                self.fixed_treatments[attempt]
                if attempt < len(self.fixed_treatments)
                else Treatment(Ending.SERVE)
            )
        rng = random.Random(f"{self.seed}:{request.id}:{attempt}")
        return draw_treatment(
            rng,
            self.fault_groups,
            body_bytes=request.size,
            grouped=request.request_class.scope is not Scope.ALL,
            servers=len(self.servers),
        )
