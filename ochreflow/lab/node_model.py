"""The behaviour of a flag node: a state machine without sockets or a clock.

The caller says what happens and when, in seconds of any clock that never runs back; the model answers with
actions (`node_messages.py`) and says when it is to be called again. The same model runs behind sockets
(`fake_node.py`) and in simulated time (`ochreflow.simulation`). Requests in process share the cores evenly.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

from ..errors import OchreflowError
from .event_log import EventKind
from .node_messages import (
    FAULT_WORDS,
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

NEGLIGIBLE_WORK_S = 1e-9  # work below this counts as done
WORK_LOG_STDDEV = 0.6  # standard deviation of the logarithm of work
MAX_WORK_FACTOR = 12.0  # the most work of one request, in means of its class
WARM_UP_STEP_S = 0.05  # after which the speed of a cold node is computed again
NEVER_S = -1e9  # the time at which a key was met that never was


class UnknownFaultError(OchreflowError, ValueError):
    """A control order that names a fault or a malformation that does not exist."""


class DeduplicationGroup:
    """Idempotency keys that the nodes of one group have met: repeats are dropped by all of them."""

    def __init__(self) -> None:
        """Begin with no key."""
        self.first_seen: OrderedDict[str, float] = OrderedDict()

    def is_duplicate(self, idempotency_key: str, now: float, window_s: float) -> bool:
        """Return whether this key came within the window; if not, it counts as met now."""
        while self.first_seen and next(iter(self.first_seen.values())) < now - window_s:
            self.first_seen.popitem(last=False)
        if idempotency_key in self.first_seen:
            return True
        self.first_seen[idempotency_key] = now
        return False


@dataclass(slots=True)
class RunningRequest:
    """A request in process."""

    request: NodeRequest
    remaining_work_s: float = 0.0  # on a warm core


class NodeModel:
    """One node."""

    def __init__(
        self, profile: NodeProfile, seed: int, now: float, dedup_group: DeduplicationGroup | None = None
    ) -> None:
        """Start a node; without a group it drops only the repeats that it has met itself."""
        self.profile = profile
        self.random = random.Random(seed)
        self.dedup_group = dedup_group or DeduplicationGroup()
        self.faults = ActiveFaults()
        self.draining = False
        self.restart(now)

    def restart(self, now: float) -> None:
        """Start, or start again: its caches and its requests are lost."""
        self.started_at = self.now = now
        self.collapsed = False
        self.work_done_s = 0.0  # since the start
        self.running: dict[int, RunningRequest] = {}
        self.queue: deque[tuple[int, NodeRequest]] = deque()
        self.key_used_at: OrderedDict[str, float] = OrderedDict()
        self.offered: deque[tuple[float, float]] = deque()  # while cold: when work came, and how much
        self.actions: list[NodeAction] = []

    # Events

    def arrive(self, now: float, number: int, request: NodeRequest) -> list[NodeAction]:
        """Handle a complete request."""
        self._advance_to(now)
        profile = self.profile
        if self.collapsed or self._collapses_under(request.class_name, now):
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
        """Let time pass."""
        self._advance_to(now)
        return self._start_queued()

    def abandon(self, now: float, number: int) -> list[NodeAction]:
        """Handle a client's disconnect: its request is discarded if it was not started."""
        self._advance_to(now)
        discarded = [request for queued, request in self.queue if queued == number]
        self.queue = deque(one for one in self.queue if one[0] != number)
        for request in discarded:
            self._record(EventKind.DISCARDED, request)
        return self._start_queued()

    def control(self, now: float, order: dict[str, Any]) -> list[NodeAction]:
        """Set faults and whether it drains; UnknownFaultError for an unknown word, and nothing is changed."""
        self._advance_to(now)
        order = dict(order)
        draining = bool(order.pop("draining", self.draining))
        unknown = set(order) - FAULT_WORDS
        if unknown or order.get("form", "") not in ("", *Malformation):
            message = f"no such trouble: {', '.join(sorted(unknown)) or order['form']}"
            raise UnknownFaultError(message)
        self.draining = draining
        for word, value in order.items():
            self._set_fault(word, value)
        return self._start_queued()

    def next_event_at(self) -> float | None:
        """Return when to call `advance` unless an event comes before; None: never."""
        if not self.running or self.collapsed:
            return None
        remaining_s = min(one.remaining_work_s for one in self.running.values()) / self._speed()
        return self.now + (min(remaining_s, WARM_UP_STEP_S) if self.capacity < 1.0 else remaining_s)

    def _set_fault(self, word: str, value: Any) -> None:
        """Set the fault that a word of a control order names."""
        match word:
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
        """The part of its full speed that it has by now."""
        profile = self.profile
        if not profile.warm_up_s:
            return 1.0
        warmth = (self.now - self.started_at) / profile.warm_up_s
        if profile.warm_up_work_s:
            warmth = self.work_done_s / profile.warm_up_work_s
        return profile.start_capacity + (1.0 - profile.start_capacity) * min(warmth, 1.0)

    def _speed(self) -> float:
        """Return the seconds of warm work that are done in a second for each request in process."""
        profile = self.profile
        share = min(1.0, profile.cores / len(self.running))
        crowding = min(len(self.queue) / profile.queue_capacity, 1.0) if profile.queue_capacity else 0.0
        return share * self.capacity * (1.0 - profile.crowding_loss * crowding) / self.faults.slowdown

    def _advance_to(self, now: float) -> None:
        """Bring the requests in process up to this moment."""
        self.actions = []
        if self.running and not self.collapsed:
            each = self._speed() * (now - self.now)
            for running in self.running.values():
                running.remaining_work_s -= each
            self.work_done_s += each * len(self.running)
        self.now = now
        finished = [
            number for number, one in self.running.items() if one.remaining_work_s <= NEGLIGIBLE_WORK_S
        ]
        for number in finished:
            request = self.running.pop(number).request
            self._record(EventKind.COMPLETED, request)
            if not self.collapsed and not self.faults.blackhole:
                self._reply(number, request)

    def _start_queued(self) -> list[NodeAction]:
        """Start what can be started; return the actions of this event."""
        concurrency = self.profile.concurrency or self.profile.cores
        while self.queue and len(self.running) < concurrency and not self.collapsed:
            number, request = self.queue.popleft()
            cost_s = self._cost_s(request)
            self._record(EventKind.STARTED_WORK, request, cost=round(cost_s, 6))
            self.running[number] = RunningRequest(request, cost_s)
        return self.actions

    def _reject(self, number: int, request: NodeRequest) -> None:
        """Answer 503 and say that the request did not run; requests in process lose that time."""
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

    def _collapses_under(self, class_name: str, now: float) -> bool:
        """Return whether a cold node is sent more than it can bear, rejected requests included."""
        profile = self.profile
        if self.capacity >= 1.0:
            return False
        self.offered.append((now, profile.mean_work_s[class_name]))
        while self.offered[0][0] < now - profile.overload_window_s:
            self.offered.popleft()
        bearable = profile.cores * self.capacity * profile.overload_window_s * profile.overload_factor
        offered = sum(work for _, work in self.offered)
        if offered <= bearable:
            return False
        self.collapsed = True
        fields = {"offered": offered, "bearable": bearable}
        self.actions += [RecordEvent(EventKind.COLLAPSED, fields), Collapse()]
        return True

    def _cost_s(self, request: NodeRequest) -> float:
        """Return the time that a request takes on a warm core: less if its key was met of late."""
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
        """Answer with a body that only this node makes for only this request."""
        share = self.faults.malformed_share
        malformed = share and self.random.random() < share
        malformation = self.faults.malformation if malformed else None
        body = f"{self.profile.name}:{request.request_id}"
        self.actions.append(Reply(number, 200, body, malformation=malformation))

    def _record(self, kind: EventKind, request: NodeRequest, **more: object) -> None:
        fields = {"id": request.request_id, "cls": request.class_name, **more}
        self.actions.append(RecordEvent(kind, fields))


def draw_work_factor(source: random.Random, log_stddev: float = WORK_LOG_STDDEV) -> float:
    """Draw the work of a request in means of its class: log-normal with mean 1, cut at MAX_WORK_FACTOR."""
    return min(source.lognormvariate(-log_stddev * log_stddev / 2, log_stddev), MAX_WORK_FACTOR)
