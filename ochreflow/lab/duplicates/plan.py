"""What a run does: its servers, requests and faults.

How a server treats an attempt is drawn when the attempt comes, from the seed, the request's id and the
number of the attempt, so it does not depend on when or where it comes.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from .classes import RequestClass, Scope
from .fault_groups import FaultGroup
from .treatment import Ending, Treatment, draw_treatment


class DisconnectMode(Enum):
    """How a client leaves a connection."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half_close"
    END_SENDING = "end_sending"  # a half-close after the complete request; it waits for the answer


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One request of a client. Times in seconds."""

    at: float  # since the run's begin
    id: str
    sidecar: int
    cls: RequestClass
    size: int  # bytes of its body
    chunked: bool
    deadline: float
    pieces: int  # in which its body is written
    disconnects_after: float | None  # after so long the client goes away
    disconnect_mode: DisconnectMode | None
    answer_size: int = 0  # of a 200's body; 0: a few bytes
    last: bool = False  # the client asks for the connection to be closed behind the answer


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """A server, as it is at first."""

    zone: int
    cell: int
    receive_buffer: int  # bytes; 0: the system's own
    segment: int  # bytes, at most; 0: the system's own


class ServerChange(Enum):
    """What happens to a server as a whole."""

    RESTART = "restart"
    DRAIN = "drain"
    MOVE = "move to another group"
    ACCEPT_LATE = "accept nothing for a while"


class SidecarChange(Enum):
    """What happens to a sidecar: the signal that it gets."""

    TERM = "SIGTERM"
    HUP = "SIGHUP"
    KILL = "SIGKILL"
    FREEZE = "SIGSTOP"


@dataclass(frozen=True, slots=True)
class ServerStep:
    """A change of a server. Times in seconds."""

    at: float
    server: int
    change: ServerChange
    seconds: float
    group_offset: int  # it moves to the group of the server so many numbers further


@dataclass(frozen=True, slots=True)
class SidecarStep:
    """A change of a sidecar. Times in seconds."""

    at: float
    sidecar: int
    change: SidecarChange
    seconds: float


@dataclass(frozen=True, slots=True)
class Burst:
    """Many small idempotent requests at once: work for a sidecar's loop."""

    at: float
    sidecar: int
    count: int


@dataclass(frozen=True, slots=True)
class PipelinedPair:
    """Two requests that are written at once by a client with a small buffer, which reads late.

    The first one's answer fills the buffer, so the second one's stays with the sidecar's machine for a while.
    """

    at: float
    lookup: ClientRequest
    order: ClientRequest
    line_after: float  # seconds until the client writes an empty line, as some do behind a body
    reads_after: float  # seconds until it reads


@dataclass(frozen=True, slots=True)
class Plan:
    """All of a run but the treatments of its attempts."""

    seed: int
    seconds: float  # in which requests begin
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
    # In place of drawn ones, by the attempt's number; any further is served.
    fixed: tuple[Treatment, ...] = ()

    def treatment(self, request: ClientRequest, attempt: int) -> Treatment:
        """How a server treats this attempt of a request."""
        if self.fixed:
            return self.fixed[attempt] if attempt < len(self.fixed) else Treatment(Ending.SERVE)
        rng = random.Random(f"{self.seed}:{request.id}:{attempt}")
        return draw_treatment(
            rng,
            self.fault_groups,
            body_bytes=request.size,
            grouped=request.cls.scope is not Scope.ALL,
            servers=len(self.servers),
        )
