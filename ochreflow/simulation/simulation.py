"""Runs a scenario of the lab in simulated time, with the event logs and the judge of a run on processes."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

from ..lab.arrivals import ArrivalSchedule, ScheduledRequest
from ..lab.event_log import ClientOutcome, EventKind, MemoryEventLog, RunEvents
from ..lab.judge import judge
from ..lab.load_generator import MIN_REMAINING_S, RESPONSE_GRACE_S, attempt_id
from ..lab.node_messages import NodeProfile
from ..lab.node_model import DeduplicationGroup
from ..lab.platform_config import RESOURCE_LIMITS, directory_entry, platform_config
from ..lab.run_result import RunResult
from ..lab.scenario import (
    DIRECTORY_ACTIONS,
    SIDECAR_ACTIONS,
    Scenario,
    Step,
    StepAction,
    client_load,
    node_profile,
)
from ..lab.series import build_series
from ..lab.step_orders import NODE_ORDERS, STATUS_AFTER
from .clock import NS_PER_S, START_NS, Clock
from .policy_loader import PolicyModules, load_policy
from .simulated_directory import SimulatedDirectory
from .simulated_node import SimulatedNode
from .simulated_sidecar import SidecarConfig, SimulatedSidecar

NS_PER_MS = 1_000_000
SIDECAR_START_S = 0.5  # time that a sidecar takes to restart
FINAL_MARGIN_S = 1.0  # time that is simulated after the last deadline
TICK_INTERVAL_S = 0.5  # interval between ticks, in simulated time
WARMING_UP_SEED_OFFSET = 100_000
RESTART_SEED_STEP = 10_000
DIGEST_BYTES = 16


@dataclass(slots=True)
class LogicalRequest:
    """A request of a client, over all its attempts."""

    work_s: float  # work in seconds of a warm core
    due_s: float  # due time since the start of the run
    class_name: str


class Simulation:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, seed: int, policy: PolicyModules) -> None:
        """Create the run; `run` starts it."""
        self.scenario = scenario
        self.seed = seed
        self.policy = policy
        self.clock = Clock()
        self.event_logs: dict[str, MemoryEventLog] = {}
        self.run_log = self.event_log("stage")
        directory_log = self.event_log("directory")
        self.directory = SimulatedDirectory(scenario, seed, policy, self.clock, directory_log)
        self.sidecars: dict[int, SimulatedSidecar] = {}
        self.client_logs: list[MemoryEventLog] = []
        self.sidecar_starts = 0
        self.dedup_groups: dict[int, DeduplicationGroup] = {}  # groups of the initial nodes, by number
        self.requests: dict[str, LogicalRequest] = {}  # requests by the id of their first attempt

    def event_log(self, name: str) -> MemoryEventLog:
        """Return the event log with this name; a restarted node continues its log."""
        return self.event_logs.setdefault(name, MemoryEventLog(self.clock.read))

    # Nodes and sidecars

    def start_node(self, number: int, *, warming_up: bool) -> dict[str, Any]:
        """Start a node; return its entry for the directory."""
        name = f"node-{number}"
        profile = NodeProfile(**node_profile(self.scenario, name, warming_up=warming_up))
        seed = self.seed * 1000 + number + (WARMING_UP_SEED_OFFSET if warming_up else 0)
        since_ms = self.clock.now_ns // NS_PER_MS if warming_up else 0
        entry = directory_entry(self.scenario, number, name, since_ms)
        # A restarted node has lost its idempotency keys, as a restarted process has.
        started_later = warming_up and not self.scenario.fleet.starts_warming_up
        group = DeduplicationGroup()
        if not started_later:
            group = self.dedup_groups.setdefault(entry["group"], group)
        node = SimulatedNode(profile, seed, self.clock, self.event_log(name), group)
        self.directory.nodes[name] = node
        return entry

    def start_sidecar(self, number: int) -> None:
        """Start a sidecar with the current list."""
        settings = platform_config(self.scenario, number, "", "", [])["settings"]
        self.sidecar_starts += 1
        seed = self.seed * 100 + number + RESTART_SEED_STEP * self.sidecar_starts
        name = f"sidecar-{number}"
        config = SidecarConfig(name, settings, seed)
        sidecar = SimulatedSidecar(config, self.policy, self.clock, self.directory, self.run_log)
        self.sidecars[number] = sidecar
        self.run_log.record(EventKind.PROCESS_STARTED, name=sidecar.name)
        sidecar.post(self.directory.cached_list())

    # Clients

    def _schedule_next(self, schedule: Iterator[ScheduledRequest], number: int) -> None:
        """Schedule the next request of the clients of one sidecar."""
        request = next(schedule)
        if request.due_s < self.scenario.duration_s:
            self.clock.call_at(
                START_NS + int(request.due_s * NS_PER_S), self._send, schedule, request, number
            )

    def _send(self, schedule: Iterator[ScheduledRequest], request: ScheduledRequest, number: int) -> None:
        self._schedule_next(schedule, number)
        request_class = request.request_class
        work_s = request.work_factor * request_class.mean_work_s
        self.requests[request.request_id] = LogicalRequest(work_s, request.due_s, request_class.name)
        self._attempt(request, number, 0, self.clock.now_ns)

    def _attempt(self, request: ScheduledRequest, number: int, attempt: int, first_sent_ns: int) -> None:
        """Send a client's attempt to sidecar `number`; `first_sent_ns` is the time of the first one."""
        remaining_s = request.request_class.deadline_s - (self.clock.now_ns - first_sent_ns) / NS_PER_S
        sidecar = self.sidecars[number]
        if attempt and remaining_s < MIN_REMAINING_S:
            return
        log, class_name = self.client_logs[number - 1], request.request_class.name
        request_id = attempt_id(request, attempt)
        fields = {"deadline": remaining_s, "first": request.request_id}
        log.record(EventKind.REQUEST_SENT, id=request_id, cls=class_name, **fields)
        answered = False

        def finish(outcome: ClientOutcome, body: str = "", retry_after_s: float = 0.0) -> None:
            nonlocal answered
            if answered:
                extra = ClientOutcome.DUPLICATE_RESPONSE
                log.record(EventKind.RESPONSE, id=request_id, outcome=extra, code=0, body="")
                return
            answered = True
            latency_s = (self.clock.now_ns - first_sent_ns) / NS_PER_S
            result = {"outcome": outcome, "body": body, "took": latency_s}
            log.record(EventKind.RESPONSE, id=request_id, cls=class_name, **result)
            if outcome is ClientOutcome.REJECTED and attempt + 1 < self.scenario.load.max_attempts:
                self.clock.call_later(
                    retry_after_s, self._attempt, request, number, attempt + 1, first_sent_ns
                )

        if not sidecar.alive:
            finish(ClientOutcome.UNANSWERED)
            return
        accepted_number = sidecar.accept(request, request_id, remaining_s, finish, retry=attempt > 0)

        def disconnect(outcome: ClientOutcome) -> None:
            if not answered:
                finish(outcome)
                sidecar.abandon(accepted_number)

        if request.abandon_after_s:
            self.clock.call_later(request.abandon_after_s, disconnect, ClientOutcome.ABANDONED)
        self.clock.call_later(remaining_s + RESPONSE_GRACE_S, disconnect, ClientOutcome.UNANSWERED)

    # Steps

    def _apply(self, step: Step) -> None:
        self.run_log.record(EventKind.STEP, do=step.action, nodes=list(step.nodes))
        if step.action in DIRECTORY_ACTIONS:
            self._apply_to_directory(step.action)
        elif step.action in SIDECAR_ACTIONS:
            for number in self.sidecars:
                self._replace_sidecar(number, kill=step.action is StepAction.KILL_SIDECAR)
        else:
            for position, number in enumerate(step.nodes):
                replacement = step.replacements[position] if step.replacements else number
                self._apply_to_node(step, number, replacement)

    def _apply_to_directory(self, action: StepAction) -> None:
        match action:
            case StepAction.DIRECTORY_UP:
                self.directory.down = False
            case StepAction.DIRECTORY_DOWN:
                self.directory.down = True
                self.directory.break_watches()
            case _:  # a restarted or moved directory has the same list
                self.directory.break_watches()

    def _replace_sidecar(self, number: int, *, kill: bool) -> None:
        """Kill and restart a sidecar, or start a new one while the old one completes its requests."""
        old = self.sidecars[number]
        if kill:
            self.run_log.record(EventKind.PROCESS_KILLED, name=old.name)
            old.kill()
            self.clock.call_later(SIDECAR_START_S, self.start_sidecar, number)
        else:
            self.start_sidecar(number)
            self.directory.stop_watching(old)

    def _apply_to_node(self, step: Step, number: int, replacement: int) -> None:
        directory, action, name = self.directory, step.action, f"node-{number}"
        if action in NODE_ORDERS:
            directory.nodes[name].control(NODE_ORDERS[action](step))
        elif action is StepAction.FREEZE:
            directory.nodes[name].freeze()
        elif action is StepAction.THAW:
            directory.nodes[name].thaw()
        elif action in STATUS_AFTER:
            directory.put({"name": name, "status": STATUS_AFTER[action]})
        elif action is StepAction.ADD:
            directory.put(self.start_node(number, warming_up=True))
        else:  # REMOVE, VANISH, RESTART, REPLACE
            directory.nodes[name].kill()
            if action in (StepAction.REMOVE, StepAction.REPLACE):
                directory.put({"name": name, "status": "DELETED"})
            if action in (StepAction.RESTART, StepAction.REPLACE):
                directory.put(self.start_node(replacement, warming_up=True))

    # The run

    def run(self, on_tick: Callable[[float], None] = lambda _elapsed_s: None) -> RunResult:
        """Run to the end and judge the run; `on_tick` is called every `TICK_INTERVAL_S` of simulated time."""
        scenario = self.scenario
        for number in range(1, scenario.fleet.node_count + 1):
            entry = self.start_node(number, warming_up=scenario.fleet.starts_warming_up)
            self.directory.entries[entry["name"]] = entry
        self.run_log.record(EventKind.RUN_STARTED)
        for number in range(1, scenario.sidecar_count + 1):
            self.client_logs.append(self.event_log(f"clients-{number}"))
            self.start_sidecar(number)
            schedule = ArrivalSchedule(client_load(scenario), self.seed * 100 + number)
            self._schedule_next(iter(schedule), number)
        for step in scenario.steps:
            self.clock.call_at(START_NS + int(step.at * scenario.duration_s * NS_PER_S), self._apply, step)
        max_deadline_s = max(spec.deadline_s for spec in scenario.request_classes.values())
        while self.clock.seconds < scenario.duration_s + max_deadline_s + FINAL_MARGIN_S:
            self.clock.run(self.clock.now_ns + int(TICK_INTERVAL_S * NS_PER_S))
            on_tick(self.clock.seconds)
        return self._result()

    def _result(self) -> RunResult:
        nodes = {name: log.events for name, log in self.event_logs.items() if name.startswith("node-")}
        clients = [log.events for log in self.client_logs]
        run = RunEvents(clients, nodes, self.event_logs["directory"].events, self.run_log.events)
        report = judge(run, self.scenario.non_idempotent, RESOURCE_LIMITS)
        all_events = {name: log.events for name, log in sorted(self.event_logs.items())}
        digest = blake2b(json.dumps(all_events).encode(), digest_size=DIGEST_BYTES).hexdigest()
        run_series = build_series(run, self.scenario.duration_s)
        return RunResult(report, 0.0, [], run_series, digest)


def simulate(scenario: Scenario, seed: int, build_dir: Path | None = None) -> RunResult:
    """Run a scenario with the decision module of a build, or with this package's own without `build_dir`."""
    return Simulation(scenario, seed, load_policy(build_dir)).run()
