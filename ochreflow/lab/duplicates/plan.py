"""What a run does, drawn from its seed alone: the same seed gives the same plan, however the run goes.

How a server treats an attempt is drawn when the attempt comes, from the seed, the request's id and the
number of the attempt, so it does not depend on when or where it comes.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from .classes import Effect, RequestClass, Scope

REQUESTS_PER_SECOND = 60.0
LAST_RESTART_BEFORE_END_S = 1.5  # seconds: what happens later than this is not seen to its end
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a protocol body's most; a sidecar holds so much to repeat it
BODY_SIZES_BYTES = (
    0,
    200,
    20_000,
    48_000,
    MAX_BUFFERED_BODY_BYTES - 1,
    MAX_BUFFERED_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    100_000,
    300_000,
)
RECEIVE_BUFFER_SIZES_BYTES = (0, 1024, 1024, 4096, 4096, 4096, 16_384)  # bytes; 0: the system's own
SEGMENT_SIZES_BYTES = (536, 1460, 1460, 1460)  # bytes; small ones keep the sender's buffer small
ZONES = 2
CLASS_WEIGHTS = (1, 6, 1, 2, 2)  # safe, unsafe, and keyed by all, zone and cell
WINDOWS_S = (0.1, 0.15, 0.4, 1.0, 3.0)  # seconds; the first ones end before most repeats come
DISCONNECT_SHARE = 0.1  # of the clients leave
SURGES_PER_SECOND = 1.0  # rushes of unsafe requests a second, each with ...
REQUESTS_PER_SURGE = 30  # requests ...
SURGE_REQUESTS_PER_SECOND = 500.0  # of which so many come a second
PAIRS_PER_SECOND = 4.0  # pipelined pairs a second
LONG_ANSWERS_BYTES = (8_000, 20_000, 30_000)  # bytes: more than a client of a pair takes without reading
EARLY_DISCONNECT_S = 0.05  # seconds: about as long as most requests take


class FaultGroup(Enum):
    """A group of drawn faults that can be left out of a search."""

    EARLY = "early"  # servers act while a request is partly written
    FREEZE = "freeze"  # a sidecar does not run for a moment, so that events fall into one turn of its loop
    SECOND_ANSWER = "second-answer"  # a second answer on a kept connection
    MALFORMED = "spoilt"  # answers that contradict themselves
    SIDECARS = "sidecars"  # signals to sidecars
    SERVERS = "servers"  # servers restart, drain, move to other groups, accept late
    CLIENTS = "clients"  # clients leave
    BURSTS = "bursts"  # many small requests at once


class Ending(Enum):
    """How a server ends an attempt."""

    SERVE = "200"
    FAIL = "500"
    REJECT = "503 with X-Not-Run: 1"
    UNAVAILABLE = "503 without X-Not-Run"
    REJECT_THEN_DENY = "503 with X-Not-Run: 1, then X-Not-Run: 0"
    DENY_THEN_REJECT = "503 with X-Not-Run: 0, then X-Not-Run: 1"
    REJECT_IN_INTERIM = "103 with X-Not-Run: 1, then 503 without"
    REJECT_IN_TRAILER = "503 with X-Not-Run: 1 in its trailer"
    REJECT_WITH_500 = "500 with X-Not-Run: 1"
    GARBAGE = "bytes that are no answer"
    TRUNCATED_HEAD = "half of a 503's head, then an end"
    RESET = "reset"
    HALF_CLOSE = "half-close"
    SILENT = "nothing"


@dataclass(frozen=True, slots=True)
class Treatment:
    """How a server treats one attempt. Times in seconds."""

    ending: Ending
    early: bool = False  # it acts before the request's last byte has come, if the request is long enough
    read_share: float = 0.0  # the share of the body that it reads before it acts early
    delay: float = 0.0  # before it acts
    freeze_for: float | None = None  # the sidecar is frozen while it acts, and so long after
    drain_first: bool = False  # all that the system holds for it is read right before it acts
    resume_reading_after: float = 0.0  # after which it reads on
    second_answer_after: float | None = None  # so long after its answer a second one follows
    second_ending: Ending | None = None  # which one; None: the same again
    group_offset: int | None = None  # it first moves to the group of the server so many numbers further


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One request of a client. Times in seconds."""

    at: float
    id: str
    sidecar: int
    cls: RequestClass
    size: int
    chunked: bool
    deadline: float
    pieces: int  # in which its body is written
    disconnects_after: float | None  # after so long the client goes away
    disconnect_mode: str  # close, reset, half_close, or end_sending, which still waits for the answer
    answer_size: int = 0  # of a 200's body; 0: a few bytes
    last: bool = False  # the client asks for its connection's end behind the answer


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """A server, as it is at first."""

    zone: int
    cell: int
    receive_buffer: int
    segment: int


class ServerChange(Enum):
    RESTART = "restart"
    DRAIN = "drain"
    MOVE = "move to another group"
    ACCEPT_LATE = "accept nothing for a while"


class SidecarChange(Enum):
    TERM = "SIGTERM"
    HUP = "SIGHUP"
    KILL = "SIGKILL"
    FREEZE = "SIGSTOP"


@dataclass(frozen=True, slots=True)
class ServerStep:
    at: float
    server: int
    change: ServerChange
    seconds: float
    group_offset: int  # it moves to the group of the server so many numbers further


@dataclass(frozen=True, slots=True)
class SidecarStep:
    at: float
    sidecar: int
    change: SidecarChange
    seconds: float


@dataclass(frozen=True, slots=True)
class Burst:
    """Many small safe requests at once: work for a sidecar's loop."""

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
    seconds: float
    fault_groups: frozenset[FaultGroup]
    sidecars: int
    classes: tuple[RequestClass, ...]
    hedging: bool
    max_attempts: int
    connect_timeout: float
    servers: tuple[ServerPlan, ...]
    requests: tuple[ClientRequest, ...]
    server_steps: tuple[ServerStep, ...]
    sidecar_steps: tuple[SidecarStep, ...]
    bursts: tuple[Burst, ...]
    pairs: tuple[PipelinedPair, ...] = ()
    fixed: tuple[
        Treatment, ...
    ] = ()  # in place of drawn ones, by the attempt's number; any further is served

    def treatment(self, request: ClientRequest, attempt: int) -> Treatment:
        """How a server treats this attempt of a request."""
        if self.fixed:
            return self.fixed[attempt] if attempt < len(self.fixed) else Treatment(Ending.SERVE)
        rng = random.Random(f"{self.seed}:{request.id}:{attempt}")
        return draw_treatment(rng, self.fault_groups, request, len(self.servers))


def draw(seed: int, seconds: float, fault_groups: frozenset[FaultGroup]) -> Plan:
    """The plan of a run."""
    rng = random.Random(seed)
    classes = _draw_classes(rng)
    sidecars = rng.randint(2, 5)
    servers = tuple(
        ServerPlan(
            number % ZONES,
            number // 2,
            rng.choice(RECEIVE_BUFFER_SIZES_BYTES),
            rng.choice(SEGMENT_SIZES_BYTES),
        )
        for number in range(rng.randint(4, 8))
    )
    steps = _draw_sidecar_steps(rng, seconds, sidecars, fault_groups)
    surges = round(seconds * SURGES_PER_SECOND) if FaultGroup.BURSTS in fault_groups else 0
    return Plan(
        seed,
        seconds,
        fault_groups,
        sidecars,
        classes,
        hedging=rng.random() < 0.5,
        max_attempts=rng.choice((2, 3, 4)),
        connect_timeout=rng.choice((0.25, 0.25, 1.6)),
        servers=servers,
        requests=(
            *_draw_requests(rng, seed, seconds, sidecars, classes, FaultGroup.CLIENTS in fault_groups),
            *(request for _ in range(surges) for request in _draw_surge(rng, seconds, sidecars, classes[1])),
        ),
        server_steps=_draw_server_steps(rng, seconds, len(servers))
        if FaultGroup.SERVERS in fault_groups
        else (),
        sidecar_steps=steps,
        bursts=_draw_bursts(rng, seconds, sidecars) if FaultGroup.BURSTS in fault_groups else (),
        pairs=_draw_pairs(rng, seconds, sidecars, steps, classes)
        if FaultGroup.CLIENTS in fault_groups
        else (),
    )


def _draw_classes(rng: random.Random) -> tuple[RequestClass, ...]:
    def deadline() -> float:
        return rng.choice((0.4, 0.8, 1.5, 2.5))

    def window() -> float:
        return rng.choice(WINDOWS_S)

    return (
        RequestClass("lookup", Effect.IDEMPOTENT, deadline()),
        RequestClass("order", Effect.NON_IDEMPOTENT, deadline()),
        RequestClass("hold-all", Effect.IDEMPOTENT_WITH_KEY, deadline(), Scope.ALL, window()),
        RequestClass("hold-zone", Effect.IDEMPOTENT_WITH_KEY, deadline(), Scope.ZONE, window()),
        RequestClass("hold-cell", Effect.IDEMPOTENT_WITH_KEY, deadline(), Scope.CELL, window()),
    )


def _draw_requests(
    rng: random.Random,
    seed: int,
    seconds: float,
    sidecars: int,
    classes: tuple[RequestClass, ...],
    with_disconnects: bool,
) -> tuple[ClientRequest, ...]:
    requests: list[ClientRequest] = []
    at = 0.0
    while (at := at + rng.expovariate(REQUESTS_PER_SECOND)) < seconds:
        cls = rng.choices(classes, CLASS_WEIGHTS)[0]
        safe = cls.effect is Effect.IDEMPOTENT
        longest = rng.choice((EARLY_DISCONNECT_S, cls.deadline))
        disconnects_after = rng.uniform(0.0, longest) if rng.random() < DISCONNECT_SHARE else None
        requests.append(
            ClientRequest(
                at,
                f"{rng.getrandbits(64):016x}",
                rng.randrange(sidecars),
                cls,
                size=0 if safe else rng.choice(BODY_SIZES_BYTES),
                chunked=not safe and rng.random() < 0.2,
                deadline=cls.deadline * rng.choice((1.0, 1.0, 0.5)),
                pieces=rng.choice((1, 1, 1, 3)),
                disconnects_after=disconnects_after if with_disconnects else None,
                disconnect_mode=rng.choice(("close", "reset", "half_close", "end_sending")),
            )
        )
    return tuple(requests)


def _draw_surge(
    rng: random.Random, seconds: float, sidecars: int, cls: RequestClass
) -> Iterator[ClientRequest]:
    """Small requests that follow each other so closely that connections are used again at once."""
    at, sidecar = rng.uniform(0.2, seconds), rng.randrange(sidecars)
    for _ in range(REQUESTS_PER_SURGE):
        at += rng.expovariate(SURGE_REQUESTS_PER_SECOND)
        request_id = f"{rng.getrandbits(64):016x}"
        yield ClientRequest(at, request_id, sidecar, cls, 0, False, cls.deadline, 1, None, "")


def _draw_server_steps(rng: random.Random, seconds: float, servers: int) -> tuple[ServerStep, ...]:
    return tuple(
        ServerStep(
            rng.uniform(0.3, max(seconds - 0.5, 0.4)),
            rng.randrange(servers),
            rng.choice(list(ServerChange)),
            rng.choice((0.05, 0.3, 0.8, 1.3)),
            rng.randrange(1, servers),
        )
        for _ in range(round(seconds * 1.5))
    )


def _draw_sidecar_steps(
    rng: random.Random, seconds: float, sidecars: int, fault_groups: frozenset[FaultGroup]
) -> tuple[SidecarStep, ...]:
    steps: list[SidecarStep] = []
    for sidecar in range(sidecars):
        if FaultGroup.SIDECARS in fault_groups and rng.random() < 0.7:
            change = rng.choice((SidecarChange.TERM, SidecarChange.HUP, SidecarChange.KILL))
            steps.append(
                SidecarStep(
                    rng.uniform(0.3, max(seconds - LAST_RESTART_BEFORE_END_S, 0.4)), sidecar, change, 0.0
                )
            )
        if FaultGroup.FREEZE in fault_groups:
            for _ in range(round(seconds)):
                at, length = rng.uniform(0.1, seconds), rng.choice((0.005, 0.02, 0.1, 0.3))
                steps.append(SidecarStep(at, sidecar, SidecarChange.FREEZE, length))
    return tuple(sorted(steps, key=lambda step: step.at))


def _draw_bursts(rng: random.Random, seconds: float, sidecars: int) -> tuple[Burst, ...]:
    return tuple(
        Burst(rng.uniform(0.2, seconds), rng.randrange(sidecars), rng.choice((20, 60)))
        for _ in range(round(seconds * 2))
    )


def _draw_pairs(
    rng: random.Random,
    seconds: float,
    sidecars: int,
    steps: tuple[SidecarStep, ...],
    classes: tuple[RequestClass, ...],
) -> tuple[PipelinedPair, ...]:
    """Pairs at sidecars that never end: at its end a process may lose what a slow client has not taken."""
    ending = {step.sidecar for step in steps if step.change in (SidecarChange.TERM, SidecarChange.KILL)}
    staying = [sidecar for sidecar in range(sidecars) if sidecar not in ending]
    if not staying:
        return ()
    return tuple(
        _draw_pair(rng, seconds, rng.choice(staying), classes)
        for _ in range(round(seconds * PAIRS_PER_SECOND))
    )


def _draw_pair(
    rng: random.Random, seconds: float, sidecar: int, classes: tuple[RequestClass, ...]
) -> PipelinedPair:
    at = rng.uniform(0.2, seconds)

    def request(cls: RequestClass, answer_size: int, last: bool) -> ClientRequest:
        request_id = f"{rng.getrandbits(64):016x}"
        return ClientRequest(
            at, request_id, sidecar, cls, 0, False, cls.deadline, 1, None, "", answer_size, last
        )

    lookup = request(classes[0], rng.choice(LONG_ANSWERS_BYTES), last=False)
    order = request(classes[1], 0, last=rng.random() < 0.5)
    line_after = rng.uniform(0.02, 0.2)
    return PipelinedPair(at, lookup, order, line_after, line_after + rng.uniform(0.02, 0.2))


EARLY_ENDINGS = {
    Ending.HALF_CLOSE: 4,
    Ending.RESET: 2,
    Ending.SERVE: 2,
    Ending.FAIL: 2,
    Ending.REJECT: 2,
    Ending.UNAVAILABLE: 2,
    Ending.REJECT_THEN_DENY: 1,
    Ending.DENY_THEN_REJECT: 1,
    Ending.GARBAGE: 4,
    Ending.TRUNCATED_HEAD: 2,
    Ending.SILENT: 1,
}
COMPLETE_ENDINGS = {
    Ending.SERVE: 60,
    Ending.FAIL: 2,
    Ending.REJECT: 4,
    Ending.UNAVAILABLE: 2,
    Ending.REJECT_THEN_DENY: 1,
    Ending.DENY_THEN_REJECT: 1,
    Ending.REJECT_IN_INTERIM: 1,
    Ending.REJECT_IN_TRAILER: 1,
    Ending.REJECT_WITH_500: 1,
    Ending.GARBAGE: 1,
    Ending.TRUNCATED_HEAD: 1,
    Ending.RESET: 2,
    Ending.HALF_CLOSE: 2,
    Ending.SILENT: 2,
}
MALFORMED_ENDINGS = frozenset(
    (
        Ending.REJECT_THEN_DENY,
        Ending.DENY_THEN_REJECT,
        Ending.REJECT_IN_INTERIM,
        Ending.REJECT_IN_TRAILER,
        Ending.REJECT_WITH_500,
    )
)
EARLY_SHARE = 0.4  # of the attempts with a body that is long enough
MIN_EARLY_BODY_BYTES = 40_000  # bytes of a body, or less would stay with the sender
FREEZE_EARLY_SHARE, FREEZE_COMPLETE_SHARE = 0.6, 0.1  # shares of the attempts that are ended so
SECOND_SHARE = 0.05  # of the answers are followed by a second one
MOVED_ENDINGS = {  # most leave open whether the attempt ran, so that a repeat may follow
    Ending.RESET: 3,
    Ending.HALF_CLOSE: 2,
    Ending.UNAVAILABLE: 2,
    Ending.GARBAGE: 1,
    Ending.TRUNCATED_HEAD: 1,
    Ending.SILENT: 1,
    Ending.SERVE: 1,
}
MOVED_SHARE = 0.25  # of the attempts of classes that are keyed by zone or cell
MOVED_DELAYS_S = (0.02, 0.05, 0.1)  # seconds in which the sidecars hear of the move


def draw_treatment(
    rng: random.Random, fault_groups: frozenset[FaultGroup], request: ClientRequest, servers: int
) -> Treatment:
    """How an attempt of a request is treated, in a fleet of so many servers."""
    if (
        FaultGroup.SERVERS in fault_groups
        and request.cls.scope is not Scope.ALL
        and rng.random() < MOVED_SHARE
    ):
        return _draw_move(rng, servers)
    return _draw_act(rng, fault_groups, request.size)


def _draw_move(rng: random.Random, servers: int) -> Treatment:
    """A server that has the whole attempt moves to another group, and then ends the attempt."""
    ending = rng.choices(list(MOVED_ENDINGS), list(MOVED_ENDINGS.values()))[0]
    return Treatment(ending, delay=rng.choice(MOVED_DELAYS_S), group_offset=rng.randrange(1, servers))


def _draw_act(rng: random.Random, fault_groups: frozenset[FaultGroup], size: int) -> Treatment:
    early = rng.random() < EARLY_SHARE and FaultGroup.EARLY in fault_groups and size >= MIN_EARLY_BODY_BYTES
    endings = EARLY_ENDINGS if early else COMPLETE_ENDINGS
    if FaultGroup.MALFORMED not in fault_groups:
        endings = {ending: weight for ending, weight in endings.items() if ending not in MALFORMED_ENDINGS}
    ending = rng.choices(list(endings), list(endings.values()))[0]
    freeze_for = (
        rng.random() < (FREEZE_EARLY_SHARE if early else FREEZE_COMPLETE_SHARE)
        and FaultGroup.FREEZE in fault_groups
    )
    second_answer_after = rng.random() < SECOND_SHARE and FaultGroup.SECOND_ANSWER in fault_groups
    return Treatment(
        ending,
        early,
        read_share=rng.choice((0.0, 0.0, 0.02, 0.2, rng.random())),
        delay=rng.choice((0.0, 0.002, 0.005, 0.02, 0.02, 0.1 if early else 0.02, 0.02 if early else 0.4)),
        freeze_for=rng.choice((0.0, 0.0, 0.005, 0.02, 0.1)) if freeze_for else None,
        drain_first=rng.random() < 0.7,
        resume_reading_after=rng.choice((0.0, 0.0, 0.01, 0.1)),
        second_answer_after=rng.choice((0.001, 0.003, 0.01)) if second_answer_after else None,
        second_ending=rng.choice((None, Ending.REJECT)),
    )
