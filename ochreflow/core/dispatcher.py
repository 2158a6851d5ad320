"""Passes events to the balancer in order of arrival, and has the returned actions executed."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ..policy import interface as api
from ..policy.balancer import Balancer
from .clock import Clock
from .fault_log import FaultLog


class EventDispatcher:
    """The only caller of `Balancer.handle`: all other parts of the core dispatch their events here."""

    def __init__(self, balancer: Balancer, clock: Clock, fault_log: FaultLog) -> None:
        """Dispatch to `balancer`, with timestamps of `clock`; call `set_executor` before `dispatch`."""
        self.balancer = balancer
        self.clock = clock
        self.fault_log = fault_log
        self.queue: deque[api.Event] = deque()
        self.dispatching = False
        # The actions of the latest event that the balancer began to handle.
        self.latest_actions: list[api.Action] = []
        self.execute: Callable[[api.Action], None]

    def set_executor(self, execute: Callable[[api.Action], None]) -> None:
        """Set the executor of actions, which is created after this dispatcher since it depends on it."""
        self.execute = execute

    def dispatch(self, event: api.Event) -> None:
        """Pass an event to the balancer, after those already queued, and execute the returned actions.

        An event caused by an action is queued until all actions of the current event have been executed.
        """
        self.queue.append(event)
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.queue:
                event = self.queue.popleft()
                try:
                    actions = self.balancer.handle(self.clock.now(), event)
                except Exception:
                    # A fault in one request must not affect others; the deadline watchdog answers that one.
                    self.fault_log.log(
                        "balancer failed to handle an event: only actions decided before that are executed"
                    )
                    actions = self._actions_before_fault()
                else:
                    self.latest_actions = actions
                for action in actions:
                    try:
                        self.execute(action)
                    except Exception:
                        self.fault_log.log("balancer action failed: skipped, the next ones are executed")
        finally:
            self.dispatching = False

    def _actions_before_fault(self) -> list[api.Action]:
        actions = self.balancer.actions_before_fault()
        if actions is self.latest_actions:
            return []  # the balancer failed before it began: these actions belong to an earlier event
        self.latest_actions = actions
        return actions
