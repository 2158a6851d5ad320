"""The behaviour of a node as a state machine without sockets or a clock.

The caller passes events with their times, in seconds of any monotonic clock. The model returns actions
(`node_messages.py`) and the time at which it must be called again. The same model runs behind sockets
(`fake_node.py`) and in simulated time (`ochreflow.simulation`). Running requests share the cores evenly.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

from ..errors import OchreflowError
from .event_log import EventKind
from .node_messages import (
    FAULT_KEYS,
    ActiveFaults,
    CloseConnection,
    Collapse,
    Malformation,
    NodeAction,
    NodeProfile,
    NodeRequest,
    RecordEvent,
    Reply,
)

NEGLIGIBLE_WORK_S = 1e-9  # a request with no more work than this is complete
WORK_LOG_STDDEV = 0.6  # standard deviation of the logarithm of a request's work
MAX_WORK_FACTOR = 12.0  # upper bound of a request's work, as a multiple of the mean of its class
WARM_UP_STEP_S = 0.05  # interval at which the speed of a cold node is recomputed
NEVER_S = -1e9  # last use of a key that was never used


class UnknownFaultError(OchreflowError, ValueError):
    """Raised if a control order names an unknown fault or malformation."""


class DeduplicationGroup:
    """The idempotency keys seen by the nodes of one group, all of which drop duplicates."""

    def __init__(self) -> None:
        """Create a group that has seen no key."""
        self.first_seen: OrderedDict[str, float] = OrderedDict()

    def is_duplicate(self, idempotency_key: str, now: float, window_s: float) -> bool:
        """Return whether the key was first seen within the window; if not, record it as first seen now."""
        while self.first_seen and next(iter(self.first_seen.values())) < now - window_s:
            self.first_seen.popitem(last=False)
        if idempotency_key in self.first_seen:
            return True
        self.first_seen[idempotency_key] = now
        return False


@dataclass(slots=True)
class RunningRequest:
    """A request that is being processed."""

    request: NodeRequest
    remaining_work_s: float = 0.0  # core time on a warm node


class NodeModel:
    """The state of one node."""

    def __init__(
        self, profile: NodeProfile, seed: int, now: float, dedup_group: DeduplicationGroup | None = None
    ) -> None:
        """Start a node; without `dedup_group` it drops only duplicates of its own requests."""
        self.profile = profile
        self.random = random.Random(seed)
        self.dedup_group = dedup_group or DeduplicationGroup()
        self.faults = ActiveFaults()
        self.draining = False
        self.restart(now)

    def restart(self, now: float) -> None:
        """Start or restart the node; its cache and its requests are lost."""
        self.started_at = self.now = now
        self.collapsed = False
        self.work_done_s = 0.0  # work done since the start
        self.running: dict[int, RunningRequest] = {}
        self.queue: deque[tuple[int, NodeRequest]] = deque()
        self.key_used_at: OrderedDict[str, float] = OrderedDict()
        self.offered_work: deque[tuple[float, float]] = deque()  # while cold: arrival time, work in s
        self.actions: list[NodeAction] = []

    # Events

    def arrive(self, now: float, number: int, request: NodeRequest) -> list[NodeAction]:
        """Handle the arrival of a complete request."""
        self._advance_to(now)
        profile = self.profile
        if self.collapsed or self._collapses_on(request.class_name, now):
            self.actions.append(CloseConnection(number))
        elif self.draining or len(self.queue) >= profile.queue_capacity:
            self._reject(number, request)
        elif request.idempotency_key is not None and self.dedup_group.is_duplicate(
            request.idempotency_key, now, profile.deduplication_window_s
        ):
            self._record(EventKind.DEDUPLICATED, request)
            self._reply(number, request)
        else:
            self._accept(number, request)
        return self._start_queued()

    def advance(self, now: float) -> list[NodeAction]:
        """Advance the node to the time `now`."""
        self._advance_to(now)
        return self._start_queued()

    def abandon(self, now: float, number: int) -> list[NodeAction]:
        """Handle a client's disconnect: discard its request if it has not been started."""
        self._advance_to(now)
        discarded = [request for queued, request in self.queue if queued == number]
        self.queue = deque(entry for entry in self.queue if entry[0] != number)
        for request in discarded:
            self._record(EventKind.DISCARDED, request)
        return self._start_queued()

    def control(self, now: float, order: dict[str, Any]) -> list[NodeAction]:
        """Set faults and draining; raise UnknownFaultError, with no change, for an unknown fault."""
        self._advance_to(now)
        order = dict(order)
        draining = bool(order.pop("draining", self.draining))
        unknown = set(order) - FAULT_KEYS
        if unknown or order.get("form", "") not in ("", *Malformation):
            message = f"unknown fault or malformation: {', '.join(sorted(unknown)) or order['form']}"
            raise UnknownFaultError(message)
        self.draining = draining
        for key, value in order.items():
            self._set_fault(key, value)
        return self._start_queued()

    def next_event_at(self) -> float | None:
        """Return when to call `advance` if no event occurs before; None if no call is needed."""
        if not self.running or self.collapsed:
            return None
        remaining_s = min(running.remaining_work_s for running in self.running.values()) / self._speed()
        return self.now + (min(remaining_s, WARM_UP_STEP_S) if self.capacity < 1.0 else remaining_s)

    def _set_fault(self, key: str, value: Any) -> None:
        """Set the fault that a key of a control order names."""
        match key:
            case "swallow":
                self.faults.blackhole = bool(value)
            case "fail":
                self.faults.error_share = float(value)
            case "slow":
                self.faults.slowdown = float(value)
            case "spoil":
                self.faults.malformed_share = float(value)
            case "form":
                self.faults.malformation = Malformation(value) if value else None

    # State

    @property
    def capacity(self) -> float:
        """The current share of the full speed, below 1 while the node warms up."""
        profile = self.profile
        if not profile.warm_up_s:
            return 1.0
        warmth = (self.now - self.started_at) / profile.warm_up_s
        if profile.warm_up_work_s:
            warmth = self.work_done_s / profile.warm_up_work_s
        return profile.start_capacity + (1.0 - profile.start_capacity) * min(warmth, 1.0)

    def _speed(self) -> float:
        """Return the seconds of work on a warm node that each running request completes per second."""
        profile = self.profile
        share = min(1.0, profile.cores / len(self.running))
        crowding = min(len(self.queue) / profile.queue_capacity, 1.0) if profile.queue_capacity else 0.0
        return share * self.capacity * (1.0 - profile.crowding_loss * crowding) / self.faults.slowdown

    def _advance_to(self, now: float) -> None:
        """Advance the running requests to the time `now` and answer the completed ones."""
        self.actions = []
        if self.running and not self.collapsed:
            work_each_s = self._speed() * (now - self.now)
            for running in self.running.values():
                running.remaining_work_s -= work_each_s
            self.work_done_s += work_each_s * len(self.running)
        self.now = now
        finished = [
            number
            for number, running in self.running.items()
            if running.remaining_work_s <= NEGLIGIBLE_WORK_S
        ]
        for number in finished:
            request = self.running.pop(number).request
            self._record(EventKind.COMPLETED, request)
            if not self.collapsed and not self.faults.blackhole:
                self._reply(number, request)

    def _start_queued(self) -> list[NodeAction]:
        """Start queued requests while there is capacity; return the actions of this event."""
        concurrency = self.profile.concurrency or self.profile.cores
        while self.queue and len(self.running) < concurrency and not self.collapsed:
            number, request = self.queue.popleft()
            cost_s = self._cost_s(request)
            self._record(EventKind.STARTED_WORK, request, cost=round(cost_s, 6))
            self.running[number] = RunningRequest(request, cost_s)
        return self.actions

    def _reject(self, number: int, request: NodeRequest) -> None:
        """Answer 503 with `not_run`; the cost of the rejection is shared by the running requests."""
        self._record(EventKind.REJECTED, request, why="draining" if self.draining else "full")
        self.actions.append(Reply(number, 503, not_run=True))
        for running in self.running.values():
            running.remaining_work_s += self.profile.rejection_cost_s / len(self.running)

    def _accept(self, number: int, request: NodeRequest) -> None:
        self._record(EventKind.ACCEPTED, request, connection=request.connection)
        if self.faults.blackhole:
            return
        if self.random.random() < self.faults.error_share:
            self._record(EventKind.FAILED, request)
            self.actions.append(Reply(number, 500))
            return
        self.queue.append((number, request))

    def _collapses_on(self, class_name: str, now: float) -> bool:
        """Return whether the load offered to a cold node, including rejected requests, makes it collapse."""
        profile = self.profile
        if self.capacity >= 1.0:
            return False
        self.offered_work.append((now, profile.mean_work_s[class_name]))
        while self.offered_work[0][0] < now - profile.overload_window_s:
            self.offered_work.popleft()
        max_work_s = profile.cores * self.capacity * profile.overload_window_s * profile.overload_factor
        offered_s = sum(work_s for _, work_s in self.offered_work)
        if offered_s <= max_work_s:
            return False
        self.collapsed = True
        fields = {"offered": offered_s, "bearable": max_work_s}
        self.actions += [RecordEvent(EventKind.COLLAPSED, fields), Collapse()]
        return True

    def _cost_s(self, request: NodeRequest) -> float:
        """Return the core time of a request on a warm node, which is less if its key is cached."""
        factor = request.work_factor if request.work_factor is not None else draw_work_factor(self.random)
        cost_s = self.profile.mean_work_s[request.class_name] * factor
        if request.key is not None:
            if self.now - self.key_used_at.pop(request.key, NEVER_S) < self.profile.key_cache_ttl_s:
                cost_s *= self.profile.cached_key_cost_factor
            self.key_used_at[request.key] = self.now
            if len(self.key_used_at) > self.profile.key_cache_size:
                self.key_used_at.popitem(last=False)
        return cost_s

    def _reply(self, number: int, request: NodeRequest) -> None:
        """Answer with a body that is unique to this node and request."""
        share = self.faults.malformed_share
        malformed = share and self.random.random() < share
        malformation = self.faults.malformation if malformed else None
        body = f"{self.profile.name}:{request.request_id}"
        self.actions.append(Reply(number, 200, body, malformation=malformation))

    def _record(self, kind: EventKind, request: NodeRequest, **more_fields: object) -> None:
        fields = {"id": request.request_id, "cls": request.class_name, **more_fields}
        self.actions.append(RecordEvent(kind, fields))


def draw_work_factor(rng: random.Random, log_stddev: float = WORK_LOG_STDDEV) -> float:
    """Draw a request's work in means of its class: log-normal with mean 1, capped at MAX_WORK_FACTOR."""
    return min(rng.lognormvariate(-log_stddev * log_stddev / 2, log_stddev), MAX_WORK_FACTOR)
