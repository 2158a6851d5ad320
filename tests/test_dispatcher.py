"""Events to the balancer one after the other, also those on which it fails."""

import pytest

from ochreflow.core.clock import Clock
from ochreflow.core.dispatcher import EventDispatcher
from ochreflow.core.fault_log import FaultLog
from ochreflow.policy.interface import Cancel, RequestCancelled


class FailingBalancer:
    """Decides on one action for each event, and fails before or after that where it is told to."""

    def __init__(self, failures):
        self.failures = failures  # by the id of the event's request
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
def test_what_was_decided_is_executed_once_whatever_fails(failures, executed):
    balancer, done = FailingBalancer(failures), []
    dispatcher = EventDispatcher(balancer, Clock(), FaultLog())
    dispatcher.set_executor(lambda action: done.append(action.id))
    for number in range(1, 5):
        dispatcher.dispatch(RequestCancelled(number))
    assert done == executed


def test_an_event_of_an_action_waits_for_the_other_actions():
    balancer, done = FailingBalancer({}), []
    dispatcher = EventDispatcher(balancer, Clock(), FaultLog())

    def execute(action):
        if action.id < 3:
            dispatcher.dispatch(RequestCancelled(action.id + 1))
        done.append(action.id)

    dispatcher.set_executor(execute)
    dispatcher.dispatch(RequestCancelled(1))
    assert done == [1, 2, 3]
