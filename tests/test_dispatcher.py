"""The dispatcher passes events to the balancer one at a time and survives exceptions of the balancer."""

import pytest

from ochreflow.core.clock import Clock
from ochreflow.core.dispatcher import EventDispatcher
from ochreflow.core.fault_log import FaultLog
from ochreflow.policy.interface import Cancel, RequestCancelled


class FailingBalancer:
    """Decides on one action for each event, and raises before or after that as `failures` says."""

    def __init__(self, failures):
        self.failures = failures  # "before" or "after", by request id
        self.actions = []

    def handle(self, now_ns, event):
        failure = self.failures.get(event.id)
        if failure == "before":
            raise RecursionError("injected")
        self.actions = [Cancel(event.id, 0)]
        if failure == "after":
            raise RecursionError("injected")
        return self.actions

    def actions_before_fault(self):
        return self.actions


@pytest.mark.parametrize(
    ("failures", "executed"),
    [
        ({}, [1, 2, 3, 4]),
        ({2: "before"}, [1, 3, 4]),
        ({2: "before", 3: "before"}, [1, 4]),
        ({2: "after"}, [1, 2, 3, 4]),
        ({1: "before", 2: "after", 3: "before", 4: "before"}, [2]),
        ({1: "after", 2: "after", 3: "before"}, [1, 2, 4]),
    ],
)
def test_each_decided_action_is_executed_once_if_the_balancer_raises(failures, executed):
    balancer, executed_ids = FailingBalancer(failures), []
    dispatcher = EventDispatcher(balancer, Clock(), FaultLog())
    dispatcher.set_executor(lambda action: executed_ids.append(action.id))
    for number in range(1, 5):
        dispatcher.dispatch(RequestCancelled(number))
    assert executed_ids == executed


def test_an_event_caused_by_an_action_is_dispatched_after_the_remaining_actions():
    balancer, executed_ids = FailingBalancer({}), []
    dispatcher = EventDispatcher(balancer, Clock(), FaultLog())

    def execute(action):
        if action.id < 3:
            dispatcher.dispatch(RequestCancelled(action.id + 1))
        executed_ids.append(action.id)

    dispatcher.set_executor(execute)
    dispatcher.dispatch(RequestCancelled(1))
    assert executed_ids == [1, 2, 3]
