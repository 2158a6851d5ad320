"""Cold servers among many sidecars: whether the sum of what all send stays within what one can bear.

The decision module alone, in simulated time. A part of the servers is replaced at once by cold ones; each
sidecar is notified some time later. `docs/design/pace.md` has definitions and figures.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .clock import NS_PER_S, Clock
from .policy_loader import PolicyModules, load_policy
from .slow_start_metrics import (
    CAPACITY_PER_S,
    NO_SENDS_SLACK,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_S,
    START_CAPACITY,
    WARM_UP_S,
    SlowStartMetrics,
    slack_at_present_capacity,
    slow_start_ramp_integral,
    worst_window,
)
from .slow_start_server import MEAN_WORK_S, Server

LOAD = 0.65  # of the fleet's capacity is asked of it
OBJECTIVE_S = 0.5
DEADLINE_S = 2.0
ATTEMPT_MARGIN_S = 0.015  # before its deadline at which an attempt times out
REJECTION_S = 0.001  # that a rejection or a failed connect takes
MAX_ATTEMPTS = 3
BEFORE_S = 6.0  # in which the sidecars come to know a warm fleet
AFTER_S = 16.0  # that are judged
MAX_NOTIFY_DELAY_S = 2.0  # after the start, within which each sidecar is notified of it
RELATIVE_CAPACITIES = (0.8, 1.6)  # by kind, where servers are unequal
CELL_COUNT = 3
SLOW_CELL, SLOW_CELL_CAPACITY = 0, 0.5  # this cell does so much of what its kinds do elsewhere
MIN_RELATIVE_LOAD = 0.3  # of the mean is asked of each sidecar; the rest is spread exponentially
SEED_BITS = 32


@dataclass(frozen=True, slots=True)
class SlowStartCase:
    """What one run plays."""

    sidecars: int
    servers: int
    replaced_share: float  # of the servers that are replaced at once
    slow_while_warming_up: bool = False  # cold servers work at their ramp's speed, not as warm ones
    unequal: bool = False  # two kinds of servers, and a slow cell


class SlowStartSidecar:
    """The decision module, with clients that ask once and wait."""

    def __init__(self, fleet: SlowStartRun, number: int, seed: int) -> None:
        """Start a sidecar of the fleet."""
        self.fleet = fleet
        self.api = api = fleet.policy.interface
        request_class = api.RequestClass(
            "only",
            int(OBJECTIVE_S * NS_PER_S),
            int(DEADLINE_S * NS_PER_S),
            1.0,
            0.2,
            api.Effect.IDEMPOTENT,
        )
        settings = api.Settings(
            classes=[request_class],
            zones=["a"],
            index=number,
            fleet_size=fleet.case.sidecars,
            start_capacity=START_CAPACITY,
            warm_up_ns=int(WARM_UP_S * NS_PER_S),
            overload_factor=OVERLOAD_FACTOR,
            overload_for_ns=int(OVERLOAD_WINDOW_S * NS_PER_S),
            max_attempts=MAX_ATTEMPTS,
        )
        self.balancer = fleet.policy.balancer.Balancer(settings, seed)
        self.attempts: dict[int, int] = {}  # of each pending request
        self.deadlines: dict[int, float] = {}  # seconds
        self.number = 0

    def post(self, event: Any) -> None:
        """Hand the module an event, and perform its actions."""
        api, clock = self.api, self.fleet.clock
        for action in self.balancer.handle(clock.now, event):
            kind = type(action)
            if kind is api.Send:
                self._send(action.id, action.server)
            elif kind is api.SetTimer:
                clock.at(clock.now + action.after_ns, self.post, api.Timer(action.token))
            elif kind is api.Reject or kind is api.Fail:
                del self.attempts[action.id], self.deadlines[action.id]

    def accept(self) -> None:
        """Accept a request."""
        self.number += 1
        clock = self.fleet.clock
        self.attempts[self.number] = 0
        self.deadlines[self.number] = clock.seconds + DEADLINE_S
        self.fleet.requests += clock.seconds >= BEFORE_S
        self.post(self.api.Request(self.number, 0, 0, clock.now + int(DEADLINE_S * NS_PER_S)))

    def _send(self, request: int, number: int) -> None:
        fleet, status = self.fleet, self.api.Status
        server = fleet.servers[number]
        now_s = fleet.clock.seconds
        attempt = self.attempts[request]
        self.attempts[request] += 1
        if server.removed:
            self._end_after(REJECTION_S, request, attempt, number, status.CONNECT_FAILED)
            return
        if server.started_s is not None:
            server.sends.append(now_s - server.started_s)
        service_s = server.accept(now_s, fleet.random.expovariate(1.0 / MEAN_WORK_S))
        remaining_s = self.deadlines[request] - ATTEMPT_MARGIN_S - now_s
        if service_s is None:
            self._end_after(REJECTION_S, request, attempt, number, status.REJECTED)
        elif service_s > remaining_s:
            self._end_after(remaining_s, request, attempt, number, status.TIMEOUT)
        else:
            self._end_after(service_s, request, attempt, number, status.OK)

    def _end_after(self, seconds: float, request: int, attempt: int, number: int, status: Any) -> None:
        clock = self.fleet.clock
        clock.after(seconds, self._end, request, attempt, number, status, clock.now)

    def _end(self, request: int, attempt: int, number: int, status: Any, sent_at: int) -> None:
        fleet, now = self.fleet, self.fleet.clock.now
        if status is self.api.Status.OK:
            fleet.servers[number].answered += 1
            if request in self.attempts:
                arrived_s = self.deadlines.pop(request) - DEADLINE_S
                del self.attempts[request]
                fleet.served += arrived_s >= BEFORE_S and fleet.clock.seconds - arrived_s <= OBJECTIVE_S
        final = request not in self.attempts
        self.post(self.api.Outcome(request, attempt, number, status, now - sent_at, final))


class SlowStartRun:
    """One run: a warm fleet, of which a part is replaced by cold servers."""

    def __init__(self, case: SlowStartCase, seed: int, policy: PolicyModules) -> None:
        """Play the run to its end."""
        self.case = case
        self.policy = policy
        self.clock = Clock()
        self.random = random.Random(f"{case.sidecars} {case.servers} {case.replaced_share} {seed}")
        self.servers = {
            number: Server(capacity_per_s=self._capacity_per_s(number)) for number in range(case.servers)
        }
        self.replaced = range(max(1, round(case.replaced_share * case.servers)))
        self.requests = self.served = 0
        self._start_sidecars()
        self.clock.after(BEFORE_S, self._replace)
        self.clock.run(self.clock.now + int((BEFORE_S + AFTER_S) * NS_PER_S))

    def _start_sidecars(self) -> None:
        api, case = self.policy.interface, self.case
        cached = [self._endpoint(number, api.State.READY) for number in self.servers]
        loads = [
            MIN_RELATIVE_LOAD + (1.0 - MIN_RELATIVE_LOAD) * self.random.expovariate(1.0)
            for _ in range(case.sidecars)
        ]
        for number, load in enumerate(loads):
            sidecar = SlowStartSidecar(self, number, self.random.getrandbits(SEED_BITS))
            sidecar.post(api.Membership(api.ListKind.CACHED, 1, cached))
            rate_per_s = LOAD * sum(map(self._capacity_per_s, range(case.servers))) * load / sum(loads)
            self.clock.after(self.random.expovariate(rate_per_s), self._arrive, sidecar, rate_per_s)
            notify_s = BEFORE_S + self.random.uniform(0.0, MAX_NOTIFY_DELAY_S)
            self.clock.after(notify_s, self._notify, sidecar)

    def _kind_and_cell(self, number: int) -> tuple[int, int]:
        """Return kind and cell of a server; one that replaces another is like that one."""
        place = number % self.case.servers
        return (place % len(RELATIVE_CAPACITIES), place % CELL_COUNT) if self.case.unequal else (0, 0)

    def _capacity_per_s(self, number: int) -> float:
        kind, cell = self._kind_and_cell(number)
        if not self.case.unequal:
            return CAPACITY_PER_S
        slow = SLOW_CELL_CAPACITY if cell == SLOW_CELL else 1.0
        return CAPACITY_PER_S * RELATIVE_CAPACITIES[kind] * slow

    def _endpoint(self, number: int, state: Any, started_ns: int = 0) -> Any:
        kind, cell = self._kind_and_cell(number)
        return self.policy.interface.Endpoint(number, 0, kind, cell, state, 1.0, started_ns)

    def _arrive(self, sidecar: SlowStartSidecar, rate_per_s: float) -> None:
        self.clock.after(self.random.expovariate(rate_per_s), self._arrive, sidecar, rate_per_s)
        sidecar.accept()

    def _replace(self) -> None:
        """Remove the servers that are replaced, and start the cold ones."""
        self.replaced_at = self.clock.now
        self.first_new = len(self.servers)
        for number in self.replaced:
            self.servers[number].removed = True
            self.servers[self.first_new + number] = Server(
                self.clock.seconds,
                self.case.slow_while_warming_up,
                capacity_per_s=self._capacity_per_s(number),
            )

    def _notify(self, sidecar: SlowStartSidecar) -> None:
        api = self.policy.interface
        changed = [self._endpoint(number, api.State.REMOVED) for number in self.replaced]
        changed += [
            self._endpoint(self.first_new + number, api.State.READY, self.replaced_at)
            for number in self.replaced
        ]
        sidecar.post(api.Membership(api.ListKind.DELTA, 2, changed))

    def metrics(self) -> SlowStartMetrics:
        """Return the result."""
        new_servers = [self.servers[self.first_new + number] for number in self.replaced]
        windows = [
            (window, number)
            for number, server in enumerate(new_servers)
            for window in worst_window(server.sends, server.capacity_per_s)
        ]
        worst = max(windows)[0] if windows else None
        answered = sum(server.answered for server in new_servers) / sum(
            server.capacity_per_s for server in new_servers
        )
        slack_present = max(
            (slack_at_present_capacity(server.sends, server.capacity_per_s) for server in new_servers),
            default=NO_SENDS_SLACK,
        )
        return SlowStartMetrics(
            worst.slack if worst else NO_SENDS_SLACK,
            worst.sends if worst else 0,
            worst.budget if worst else 0.0,
            slack_present,
            answered / AFTER_S,
            answered / slow_start_ramp_integral(AFTER_S),
            self.served / self.requests,
        )


def play(case: SlowStartCase, seed: int, program: Path | None = None) -> SlowStartMetrics:
    """Play a run with the decision module of a build; this package's own without `program`."""
    return SlowStartRun(case, seed, load_policy(program)).metrics()
