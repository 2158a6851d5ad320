"""Oracle that knows the fleet's capacity at all times, and so which requests could be answered in time."""

from __future__ import annotations

from ..lab.event_log import EventKind
from ..lab.scenario import Scenario, StepAction
from .simulation import LogicalRequest, Simulation

LONG_AGO_S = -1_000_000_000.0  # start time of a node that is warm from the beginning
MIN_CAPACITY = 0.1  # warm cores; less would let the waiting time grow without bound
LEAVE_ACTIONS = frozenset({StepAction.REMOVE, StepAction.VANISH, StepAction.DRAIN, StepAction.DELIST})
START_ACTIONS = frozenset({StepAction.ADD, StepAction.RESTART})


def logical_id(request_id: str) -> str:
    """Return the request id of the first attempt, which identifies the logical request."""
    return request_id.split("-")[0]


def answerable_requests(run: Simulation) -> set[str]:
    """Return the logical requests that the fleet, as a single queue, could answer within the objective."""
    scenario, requests = run.scenario, run.requests
    fleet = scenario.fleet
    node_capacity = fleet.queue_capacity + (fleet.concurrency or fleet.cores)  # requests
    costs = _costs(run)
    drawn_work_s = sum(requests[logical_id(request_id)].work_s for request_id in costs) or 1.0
    cost_factor = sum(costs.values()) / drawn_work_s  # below 1 if nodes save work by cached keys
    mean_cost_s = sum(costs.values()) / max(len(costs), 1)
    backlog_s, previous_s = 0.0, 0.0
    answerable = set()
    for request_id, request in sorted(requests.items(), key=_due_time):
        now_s = request.due_s
        drained_s = warm_cores(scenario, (previous_s + now_s) / 2) * (now_s - previous_s)
        backlog_s = max(backlog_s - drained_s, 0.0)
        previous_s = now_s
        cost_s = request.work_s * cost_factor
        nodes = cores_by_node(scenario, now_s)
        wait_s = backlog_s / max(sum(nodes.values()), MIN_CAPACITY) + cost_s
        objective_s = scenario.request_classes[request.class_name].objective_s
        if wait_s <= objective_s and backlog_s < len(nodes) * node_capacity * mean_cost_s:
            backlog_s += cost_s
            answerable.add(request_id)
    return answerable


def _costs(run: Simulation) -> dict[str, float]:
    """Return the work, in seconds of a warm core, of each started request by its request id."""
    return {
        event["id"]: event["cost"]
        for name, log in run.event_logs.items()
        if name.startswith(("node-", "clients-"))
        for event in log.events
        if event["what"] == EventKind.STARTED_WORK
    }


def _due_time(item: tuple[str, LogicalRequest]) -> float:
    return item[1].due_s


def warm_cores(scenario: Scenario, now_s: float) -> float:
    """Return the capacity of the fleet at a time of the run, in warm cores."""
    return sum(cores_by_node(scenario, now_s).values())


def cores_by_node(scenario: Scenario, now_s: float) -> dict[int, float]:
    """Return the capacity of each node that is present at a time of the run, in warm cores."""
    fleet = scenario.fleet
    initial_s = 0.0 if fleet.starts_warming_up else LONG_AGO_S
    started_s: dict[int, float] = dict.fromkeys(range(1, fleet.node_count + 1), initial_s)
    slowdown: dict[int, float] = {}
    for step in sorted(scenario.steps, key=lambda step: step.at):
        step_s = step.at * scenario.duration_s
        if step_s > now_s:
            break
        for number in step.nodes:
            if step.action in LEAVE_ACTIONS:
                started_s.pop(number, None)
            elif step.action in START_ACTIONS:
                started_s[number] = step_s
            elif step.action is StepAction.SLOW_DOWN:
                slowdown[number] = step.amount
            elif step.action is StepAction.RECOVER:
                slowdown[number] = 1.0
    cores = {}
    for number, start_s in started_s.items():
        warmth = min((now_s - start_s) / fleet.warm_up_s, 1.0)
        speed = fleet.start_capacity + (1.0 - fleet.start_capacity) * warmth
        cores[number] = fleet.cores * speed / slowdown.get(number, 1.0)
    return cores
