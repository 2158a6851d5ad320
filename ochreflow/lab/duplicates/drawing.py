"""Draws a plan from its seed alone: the same seed gives the same plan, whatever happens in the run.

The order of the draws determines what a seed gives: a new draw has to be added after all others.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from .classes import Effect, RequestClass, Scope
from .fault_groups import FaultGroup
from .plan import (
    Burst,
    ClientRequest,
    DisconnectMode,
    PipelinedPair,
    Plan,
    ServerChange,
    ServerPlan,
    ServerStep,
    SidecarChange,
    SidecarStep,
)

REQUESTS_PER_SECOND = 60.0
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # the largest body that a sidecar keeps for a retry
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
CHUNKED_SHARE = 0.2  # share of the requests with a body that are sent chunked
PIECES = (1, 1, 1, 3)
DEADLINES_S = (0.4, 0.8, 1.5, 2.5)
DEADLINE_FACTORS = (1.0, 1.0, 0.5)  # the deadline of a request relative to that of its class
WINDOWS_S = (0.1, 0.15, 0.4, 1.0, 3.0)  # the shortest end before most retries arrive
CLASS_WEIGHTS = (1, 6, 1, 2, 2)  # weights in the order of `_draw_classes`
DISCONNECT_SHARE = 0.1  # share of the clients that disconnect
EARLY_DISCONNECT_S = 0.05  # about the duration of most requests

MIN_SIDECARS, MAX_SIDECARS = 2, 5
MIN_SERVERS, MAX_SERVERS = 4, 8
ZONES = 2
SERVERS_PER_CELL = 2
RECEIVE_BUFFER_SIZES_BYTES = (0, 1024, 1024, 4096, 4096, 4096, 16_384)  # 0: the system's default
SEGMENT_SIZES_BYTES = (536, 1460, 1460, 1460)  # small segments keep the sender's buffer small
HEDGING_SHARE = 0.5  # share of the runs that allow hedged requests
CONNECT_TIMEOUTS_S = (0.25, 0.25, 1.6)

SERVER_STEPS_PER_SECOND = 1.5
SERVER_STEP_LENGTHS_S = (0.05, 0.3, 0.8, 1.3)
LAST_SERVER_STEP_BEFORE_END_S = 0.5
RESTART_SHARE = 0.7  # share of the sidecars that get a signal
FREEZE_LENGTHS_S = (0.005, 0.02, 0.1, 0.3)
LAST_RESTART_BEFORE_END_S = 1.5  # the effects of a later restart would not be seen completely
MIN_STEP_AT_S = 0.3
MIN_LAST_STEP_AT_S = 0.4

BURSTS_PER_SECOND = 2
BURST_SIZES = (20, 60)
SURGES_PER_SECOND = 1.0
REQUESTS_PER_SURGE = 30
SURGE_REQUESTS_PER_SECOND = 500.0
PAIRS_PER_SECOND = 4.0
LONG_RESPONSES_BYTES = (8_000, 20_000, 30_000)  # more than the receive buffer of a pair's client holds
CLOSE_CONNECTION_SHARE = 0.5  # share of the pairs that request a close after the last response
PAIR_DELAYS_S = (0.02, 0.2)  # lower and upper bound
FIRST_BURST_AT_S = 0.2
FIRST_FREEZE_AT_S = 0.1
REQUEST_ID_BITS = 64


def draw(seed: int, seconds: float, fault_groups: frozenset[FaultGroup]) -> Plan:
    """Draw the plan of a run whose requests begin within `seconds`."""
    rng = random.Random(seed)
    classes = _draw_classes(rng)
    sidecars = rng.randint(MIN_SIDECARS, MAX_SIDECARS)
    drawer = _Drawer(rng, seconds, sidecars, classes, fault_groups)
    servers = drawer.servers()
    sidecar_steps = drawer.sidecar_steps()
    return Plan(
        seed,
        seconds,
        fault_groups,
        sidecars,
        classes,
        hedging=rng.random() < HEDGING_SHARE,
        max_attempts=rng.choice((2, 3, 4)),
        connect_timeout=rng.choice(CONNECT_TIMEOUTS_S),
        servers=servers,
        requests=(*drawer.requests(), *drawer.surges()),
        server_steps=drawer.server_steps(len(servers)),
        sidecar_steps=sidecar_steps,
        bursts=drawer.bursts(),
        pairs=drawer.pairs(sidecar_steps),
    )


def _draw_classes(rng: random.Random) -> tuple[RequestClass, ...]:
    def deadline() -> float:
        return rng.choice(DEADLINES_S)

    def window() -> float:
        return rng.choice(WINDOWS_S)

    return (
        RequestClass("lookup", Effect.IDEMPOTENT, deadline()),
        RequestClass("order", Effect.NON_IDEMPOTENT, deadline()),
        RequestClass("hold-all", Effect.IDEMPOTENT_WITH_KEY, deadline(), Scope.ALL, window()),
        RequestClass("hold-zone", Effect.IDEMPOTENT_WITH_KEY, deadline(), Scope.ZONE, window()),
        RequestClass("hold-cell", Effect.IDEMPOTENT_WITH_KEY, deadline(), Scope.CELL, window()),
    )


@dataclass(frozen=True, slots=True)
class _Drawer:
    """Draws the parts of a plan from one random generator."""

    rng: random.Random
    seconds: float
    sidecars: int
    classes: tuple[RequestClass, ...]
    fault_groups: frozenset[FaultGroup]

    def _request_id(self) -> str:
        return f"{self.rng.getrandbits(REQUEST_ID_BITS):016x}"

    def _small_request(self, at: float, sidecar: int, request_class: RequestClass) -> ClientRequest:
        """Draw a request without a body, whose client waits for the response."""
        return ClientRequest(
            at,
            self._request_id(),
            sidecar,
            request_class,
            size=0,
            chunked=False,
            deadline=request_class.deadline,
            pieces=1,
            disconnects_after=None,
            disconnect_mode=None,
        )

    def servers(self) -> tuple[ServerPlan, ...]:
        """Draw the servers, which alternate between two zones; two share a cell."""
        rng = self.rng
        return tuple(
            ServerPlan(
                number % ZONES,
                number // SERVERS_PER_CELL,
                rng.choice(RECEIVE_BUFFER_SIZES_BYTES),
                rng.choice(SEGMENT_SIZES_BYTES),
            )
            for number in range(rng.randint(MIN_SERVERS, MAX_SERVERS))
        )

    def requests(self) -> Iterator[ClientRequest]:
        """Draw requests of all classes at random times."""
        at = 0.0
        while (at := at + self.rng.expovariate(REQUESTS_PER_SECOND)) < self.seconds:
            yield self._request(at)

    def _request(self, at: float) -> ClientRequest:
        rng = self.rng
        request_class = rng.choices(self.classes, CLASS_WEIGHTS)[0]
        has_body = request_class.effect is not Effect.IDEMPOTENT
        max_delay = rng.choice((EARLY_DISCONNECT_S, request_class.deadline))
        disconnects_after = rng.uniform(0.0, max_delay) if rng.random() < DISCONNECT_SHARE else None
        return ClientRequest(
            at,
            self._request_id(),
            rng.randrange(self.sidecars),
            request_class,
            size=rng.choice(BODY_SIZES_BYTES) if has_body else 0,
            chunked=has_body and rng.random() < CHUNKED_SHARE,
            deadline=request_class.deadline * rng.choice(DEADLINE_FACTORS),
            pieces=rng.choice(PIECES),
            disconnects_after=disconnects_after if FaultGroup.CLIENTS in self.fault_groups else None,
            disconnect_mode=rng.choice(list(DisconnectMode)),
        )

    def surges(self) -> Iterator[ClientRequest]:
        """Draw requests so close to each other that connections are reused immediately."""
        if FaultGroup.BURSTS not in self.fault_groups:
            return
        _, non_idempotent, *_ = self.classes
        for _ in range(round(self.seconds * SURGES_PER_SECOND)):
            at = self.rng.uniform(FIRST_BURST_AT_S, self.seconds)
            sidecar = self.rng.randrange(self.sidecars)
            for _ in range(REQUESTS_PER_SURGE):
                at += self.rng.expovariate(SURGE_REQUESTS_PER_SECOND)
                yield self._small_request(at, sidecar, non_idempotent)

    def server_steps(self, servers: int) -> tuple[ServerStep, ...]:
        """Draw changes of servers, which may overlap."""
        if FaultGroup.SERVERS not in self.fault_groups:
            return ()
        rng = self.rng
        last_at = max(self.seconds - LAST_SERVER_STEP_BEFORE_END_S, MIN_LAST_STEP_AT_S)
        return tuple(
            ServerStep(
                rng.uniform(MIN_STEP_AT_S, last_at),
                rng.randrange(servers),
                rng.choice(list(ServerChange)),
                rng.choice(SERVER_STEP_LENGTHS_S),
                rng.randrange(1, servers),
            )
            for _ in range(round(self.seconds * SERVER_STEPS_PER_SECOND))
        )

    def sidecar_steps(self) -> tuple[SidecarStep, ...]:
        """Draw freezes and at most one other signal for each sidecar, in order of time."""
        steps: list[SidecarStep] = []
        for sidecar in range(self.sidecars):
            if FaultGroup.SIDECARS in self.fault_groups and self.rng.random() < RESTART_SHARE:
                steps.append(self._restart(sidecar))
            if FaultGroup.FREEZE in self.fault_groups:
                steps += [self._freeze(sidecar) for _ in range(round(self.seconds))]
        return tuple(sorted(steps, key=lambda step: step.at))

    def _restart(self, sidecar: int) -> SidecarStep:
        change = self.rng.choice((SidecarChange.TERM, SidecarChange.HUP, SidecarChange.KILL))
        last_at = max(self.seconds - LAST_RESTART_BEFORE_END_S, MIN_LAST_STEP_AT_S)
        return SidecarStep(self.rng.uniform(MIN_STEP_AT_S, last_at), sidecar, change, 0.0)

    def _freeze(self, sidecar: int) -> SidecarStep:
        at = self.rng.uniform(FIRST_FREEZE_AT_S, self.seconds)
        return SidecarStep(at, sidecar, SidecarChange.FREEZE, self.rng.choice(FREEZE_LENGTHS_S))

    def bursts(self) -> tuple[Burst, ...]:
        """Bursts at random times."""
        if FaultGroup.BURSTS not in self.fault_groups:
            return ()
        rng = self.rng
        return tuple(
            Burst(
                rng.uniform(FIRST_BURST_AT_S, self.seconds),
                rng.randrange(self.sidecars),
                rng.choice(BURST_SIZES),
            )
            for _ in range(round(self.seconds * BURSTS_PER_SECOND))
        )

    def pairs(self, steps: tuple[SidecarStep, ...]) -> tuple[PipelinedPair, ...]:
        """Draw pairs for sidecars that never stop, since a stopping process may lose unread responses."""
        if FaultGroup.CLIENTS not in self.fault_groups:
            return ()
        ending = {step.sidecar for step in steps if step.change in (SidecarChange.TERM, SidecarChange.KILL)}
        staying = [sidecar for sidecar in range(self.sidecars) if sidecar not in ending]
        if not staying:
            return ()
        count = round(self.seconds * PAIRS_PER_SECOND)
        return tuple(self._pair(self.rng.choice(staying)) for _ in range(count))

    def _pair(self, sidecar: int) -> PipelinedPair:
        rng = self.rng
        idempotent, non_idempotent, *_ = self.classes
        at = rng.uniform(FIRST_BURST_AT_S, self.seconds)
        response_size = rng.choice(LONG_RESPONSES_BYTES)
        first_request = replace(self._small_request(at, sidecar, idempotent), response_size=response_size)
        closes_connection = rng.random() < CLOSE_CONNECTION_SHARE
        second_request = replace(
            self._small_request(at, sidecar, non_idempotent), closes_connection=closes_connection
        )
        empty_line_after = rng.uniform(*PAIR_DELAYS_S)
        return PipelinedPair(
            at,
            first_request,
            second_request,
            empty_line_after,
            empty_line_after + rng.uniform(*PAIR_DELAYS_S),
        )
