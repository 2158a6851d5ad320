"""Events to the balancer in the order they came, and the execution of the actions that it answers with."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ..policy import interface as api
from ..policy.balancer import Balancer
from .clock import Clock
from .fault_log import FaultLog


class EventDispatcher:
    """The one caller of `Balancer.handle`. Every other part of the core hands its events in here."""

    def __init__(self, balancer: Balancer, clock: Clock, fault_log: FaultLog) -> None:
        """Dispatch to `balancer`, at the time of `clock`; `set_executor` has to be called first."""
        self.balancer = balancer
        self.clock = clock
        self.fault_log = fault_log
        self.queue: deque[api.Event] = deque()
        self.dispatching = False
        self.latest_actions: list[api.Action] = []  # of the latest event that the balancer began with
        self.execute: Callable[[api.Action], None]

    def set_executor(self, execute: Callable[[api.Action], None]) -> None:
        """Set what executes actions: it needs this dispatcher, so it is made after it."""
        self.execute = execute

    def dispatch(self, event: api.Event) -> None:
        """Hand the balancer an event after those that came before it, and execute its actions.

        An event that an action causes waits until all actions of the present event have been executed.
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
                    # Guards all other requests against a fault in one: the deadline watchdog answers it.
                    self.fault_log.log("the module failed on an event")
                    actions = self._actions_before_fault()
                else:
                    self.latest_actions = actions
                for action in actions:
                    try:
                        self.execute(action)
                    except Exception:
                        self.fault_log.log("an action failed")
        finally:
            self.dispatching = False

    def _actions_before_fault(self) -> list[api.Action]:
        actions = self.balancer.actions_before_fault()
        if actions is self.latest_actions:
            return []  # it failed before it began with the event: these are an earlier event's
        self.latest_actions = actions
        return actions
