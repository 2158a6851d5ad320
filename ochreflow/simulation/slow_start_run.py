"""Simulation of cold servers and many sidecars: their total load against what a cold server can handle.

The simulation runs the decision module alone. A share of the servers is replaced by cold ones at the same
time, and each sidecar is notified some time later. `docs/design/pace.md` has definitions and figures.
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

LOAD = 0.65  # offered load, as a share of the fleet's capacity
OBJECTIVE_S = 0.5
DEADLINE_S = 2.0
ATTEMPT_MARGIN_S = 0.015  # an attempt times out this long before its request's deadline
REJECTION_S = 0.001  # duration of a rejection or a failed connect
MAX_ATTEMPTS = 3
BASELINE_S = 6.0  # time in which the sidecars observe the warm fleet
MEASURED_S = 16.0  # time after the replacement in which results are measured
MAX_NOTIFY_DELAY_S = 2.0  # time from the start of the cold servers to a sidecar's notification
RELATIVE_CAPACITIES = (0.8, 1.6)  # capacities by kind, if servers are unequal
CELL_COUNT = 3
SLOW_CELL, SLOW_CELL_CAPACITY = 0, 0.5  # relative to the same kinds in other cells
MIN_RELATIVE_LOAD = 0.3  # load of each sidecar, as a share of the mean; the rest is drawn exponentially
SEED_BITS = 32


@dataclass(frozen=True, slots=True)
class SlowStartCase:
    """Parameters of a run."""

    sidecars: int
    servers: int
    replaced_share: float  # share of the servers that is replaced
    slow_while_warming_up: bool = False  # cold servers work at their ramp's speed, not at full speed
    unequal: bool = False  # two kinds of servers, and a slow cell


class SlowStartSidecar:
    """A sidecar with the decision module; its clients don't retry."""

    def __init__(self, run: SlowStartRun, number: int, seed: int) -> None:
        """Start sidecar `number` of a run."""
        self.run = run
        self.api = api = run.policy.interface
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
            fleet_size=run.case.sidecars,
            start_capacity=START_CAPACITY,
            warm_up_ns=int(WARM_UP_S * NS_PER_S),
            overload_factor=OVERLOAD_FACTOR,
            overload_for_ns=int(OVERLOAD_WINDOW_S * NS_PER_S),
            max_attempts=MAX_ATTEMPTS,
        )
        self.balancer = run.policy.balancer.Balancer(settings, seed)
        self.attempts: dict[int, int] = {}  # number of attempts of each pending request
        self.deadlines_s: dict[int, float] = {}
        self.number = 0

    def post(self, event: Any) -> None:
        """Let the decision module handle an event, and perform its actions."""
        api, clock = self.api, self.run.clock
        for action in self.balancer.handle(clock.now_ns, event):
            kind = type(action)
            if kind is api.Send:
                self._send(action.id, action.server)
            elif kind is api.SetTimer:
                clock.call_at(clock.now_ns + action.after_ns, self.post, api.Timer(action.token))
            elif kind is api.Reject or kind is api.Fail:
                del self.attempts[action.id], self.deadlines_s[action.id]

    def accept(self) -> None:
        """Accept a request."""
        self.number += 1
        clock = self.run.clock
        self.attempts[self.number] = 0
        self.deadlines_s[self.number] = clock.seconds + DEADLINE_S
        self.run.requests += clock.seconds >= BASELINE_S
        self.post(self.api.Request(self.number, 0, 0, clock.now_ns + int(DEADLINE_S * NS_PER_S)))

    def _send(self, request: int, number: int) -> None:
        run, status = self.run, self.api.Status
        server = run.servers[number]
        now_s = run.clock.seconds
        attempt = self.attempts[request]
        self.attempts[request] += 1
        if server.removed:
            self._end_after(REJECTION_S, request, attempt, number, status.CONNECT_FAILED)
            return
        if server.started_s is not None:
            server.sends.append(now_s - server.started_s)
        service_s = server.accept(now_s, run.random.expovariate(1.0 / MEAN_WORK_S))
        remaining_s = self.deadlines_s[request] - ATTEMPT_MARGIN_S - now_s
        if service_s is None:
            self._end_after(REJECTION_S, request, attempt, number, status.REJECTED)
        elif service_s > remaining_s:
            self._end_after(remaining_s, request, attempt, number, status.TIMEOUT)
        else:
            self._end_after(service_s, request, attempt, number, status.OK)

    def _end_after(self, seconds: float, request: int, attempt: int, number: int, status: Any) -> None:
        clock = self.run.clock
        clock.call_later(seconds, self._end, request, attempt, number, status, clock.now_ns)

    def _end(self, request: int, attempt: int, number: int, status: Any, sent_ns: int) -> None:
        run, now = self.run, self.run.clock.now_ns
        if status is self.api.Status.OK:
            run.servers[number].answered += 1
            if request in self.attempts:
                arrived_s = self.deadlines_s.pop(request) - DEADLINE_S
                del self.attempts[request]
                run.served += arrived_s >= BASELINE_S and run.clock.seconds - arrived_s <= OBJECTIVE_S
        final = request not in self.attempts
        self.post(self.api.Outcome(request, attempt, number, status, now - sent_ns, final))


class SlowStartRun:
    """A run with a warm fleet, a share of which is replaced by cold servers."""

    def __init__(self, case: SlowStartCase, seed: int, policy: PolicyModules) -> None:
        """Run the simulation to its end."""
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
        self.clock.call_later(BASELINE_S, self._replace)
        self.clock.run(self.clock.now_ns + int((BASELINE_S + MEASURED_S) * NS_PER_S))

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
            self.clock.call_later(self.random.expovariate(rate_per_s), self._arrive, sidecar, rate_per_s)
            notify_s = BASELINE_S + self.random.uniform(0.0, MAX_NOTIFY_DELAY_S)
            self.clock.call_later(notify_s, self._notify, sidecar)

    def _kind_and_cell(self, number: int) -> tuple[int, int]:
        """Return the kind and the cell of a server; a replacement has those of the replaced server."""
        position = number % self.case.servers
        return (position % len(RELATIVE_CAPACITIES), position % CELL_COUNT) if self.case.unequal else (0, 0)

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
        self.clock.call_later(self.random.expovariate(rate_per_s), self._arrive, sidecar, rate_per_s)
        sidecar.accept()

    def _replace(self) -> None:
        """Remove the replaced servers, and start cold ones."""
        self.replaced_ns = self.clock.now_ns
        self.first_cold = len(self.servers)
        for number in self.replaced:
            self.servers[number].removed = True
            self.servers[self.first_cold + number] = Server(
                self.clock.seconds,
                self.case.slow_while_warming_up,
                capacity_per_s=self._capacity_per_s(number),
            )

    def _notify(self, sidecar: SlowStartSidecar) -> None:
        api = self.policy.interface
        changed = [self._endpoint(number, api.State.REMOVED) for number in self.replaced]
        changed += [
            self._endpoint(self.first_cold + number, api.State.READY, self.replaced_ns)
            for number in self.replaced
        ]
        sidecar.post(api.Membership(api.ListKind.DELTA, 2, changed))

    def metrics(self) -> SlowStartMetrics:
        """Return the metrics of the run."""
        cold_servers = [self.servers[self.first_cold + number] for number in self.replaced]
        windows = [
            (window, number)
            for number, server in enumerate(cold_servers)
            for window in worst_window(server.sends, server.capacity_per_s)
        ]
        worst = max(windows)[0] if windows else None
        answered = sum(server.answered for server in cold_servers) / sum(
            server.capacity_per_s for server in cold_servers
        )
        slack_present = max(
            (slack_at_present_capacity(server.sends, server.capacity_per_s) for server in cold_servers),
            default=NO_SENDS_SLACK,
        )
        return SlowStartMetrics(
            worst.slack if worst else NO_SENDS_SLACK,
            worst.sends if worst else 0,
            worst.budget if worst else 0.0,
            slack_present,
            answered / MEASURED_S,
            answered / slow_start_ramp_integral(MEASURED_S),
            self.served / self.requests,
        )


def play(case: SlowStartCase, seed: int, build_dir: Path | None = None) -> SlowStartMetrics:
    """Run a case with the decision module of a build, or with this package's own without `build_dir`."""
    return SlowStartRun(case, seed, load_policy(build_dir)).metrics()
