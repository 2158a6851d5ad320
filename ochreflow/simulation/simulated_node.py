"""Node in simulated time: the lab's model of a node, behind a network with a fixed delay."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from ..lab.event_log import MemoryEventLog
from ..lab.node_messages import (
    CloseConnection,
    Collapse,
    NodeAction,
    NodeProfile,
    NodeRequest,
    RecordEvent,
    Reply,
)
from ..lab.node_model import DeduplicationGroup, NodeModel
from .clock import Clock

NETWORK_DELAY_S = 0.0002  # delay in each direction
MIN_TIMER_S = 1e-9  # makes up for the clock's truncation to whole nanoseconds

OnReply = Callable[[Reply | None], None]  # None: the connection was closed


class SimulatedNode:
    """A node until it is killed; a restarted node is another object."""

    def __init__(
        self,
        profile: NodeProfile,
        seed: int,
        clock: Clock,
        event_log: MemoryEventLog,
        dedup_group: DeduplicationGroup,
    ) -> None:
        """Start the node at the clock's current time."""
        self.clock = clock
        self.event_log = event_log
        self.model = NodeModel(profile, seed, clock.seconds, dedup_group)
        self.alive = True
        self.number = 0
        self.pending: dict[int, OnReply] = {}
        self.timer_due_s: float | None = None
        self.frozen = False
        self.delayed: list[Callable[[], None]] = []  # messages that arrived while it was frozen

    def freeze(self) -> None:
        """Suspend the node; messages that arrive are delayed until `thaw`."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume the node, and handle the delayed messages."""
        self.frozen = False
        delayed, self.delayed = self.delayed, []
        self._perform(self.model.advance(self.clock.seconds))
        for handle in delayed:
            handle()

    def send(self, request: NodeRequest, on_reply: OnReply) -> int:
        """Send a request, which arrives after the network's delay; return its number at this node."""
        self.number += 1
        self.pending[self.number] = on_reply
        self.clock.call_later(NETWORK_DELAY_S, self._arrive, self.number, request)
        return self.number

    def abandon(self, number: int) -> None:
        """Close the client's connection for a request."""
        if self.pending.pop(number, None) is not None:
            self.clock.call_later(NETWORK_DELAY_S, self._disconnected, number)

    def kill(self) -> None:
        """Kill the node: close every connection at once."""
        self.alive = False
        self._close_connections()

    def control(self, order: dict[str, Any]) -> None:
        """Apply a control order, which sets faults; see `NodeModel.control`."""
        self._perform(self.model.control(self.clock.seconds, order))

    def _arrive(self, number: int, request: NodeRequest) -> None:
        if self.frozen and self.alive:
            self.delayed.append(partial(self._arrive, number, request))
        elif self.alive:
            self._perform(self.model.arrive(self.clock.seconds, number, request))
        else:
            self._reply(number, None)

    def _disconnected(self, number: int) -> None:
        if self.frozen and self.alive:
            self.delayed.append(partial(self._disconnected, number))
        elif self.alive:
            self._perform(self.model.abandon(self.clock.seconds, number))

    def _perform(self, actions: list[NodeAction]) -> None:
        for action in actions:
            match action:
                case RecordEvent():
                    self.event_log.record(action.kind, **action.fields)
                case Collapse():
                    self._close_connections()
                case CloseConnection():
                    self._reply(action.number, None)
                case Reply():
                    self._reply(action.number, action)
        self.timer_due_s = self.model.next_event_at()
        if self.timer_due_s is not None:
            delay_s = max(self.timer_due_s - self.clock.seconds, 0.0) + MIN_TIMER_S
            self.clock.call_later(delay_s, self._wake, self.timer_due_s)

    def _wake(self, due_s: float) -> None:
        if self.alive and not self.frozen and due_s == self.timer_due_s:
            self._perform(self.model.advance(self.clock.seconds))

    def _reply(self, number: int, reply: Reply | None) -> None:
        on_reply = self.pending.pop(number, None)
        if on_reply is not None:
            self.clock.call_later(NETWORK_DELAY_S, on_reply, reply)

    def _close_connections(self) -> None:
        for number in list(self.pending):
            self._reply(number, None)
