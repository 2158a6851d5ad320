"""Tests the rule `duplicate` with exceptions in the decision module: one of its calls fails in each run."""

import inspect
from dataclasses import dataclass

import pytest
from engine_simulation import CLASSES, EngineSimulation
from helpers import MS

from ochreflow.policy import (
    balancer,
    concurrency_limiter,
    endpoint_picker,
    endpoint_set,
    latency,
    outlier_detection,
    retry_policy,
    safety_rules,
    slow_start,
    state_records,
    tenant_quota,
)
from ochreflow.policy.interface import State, Status

MODULES = (
    balancer,
    concurrency_limiter,
    endpoint_picker,
    endpoint_set,
    latency,
    outlier_detection,
    retry_policy,
    safety_rules,
    slow_start,
    state_records,
    tenant_quota,
)
DECISION_CLASSES = {
    member
    for module in MODULES
    for member in vars(module).values()
    if inspect.isclass(member) and member.__module__ in {defining.__name__ for defining in MODULES}
}
STRIDE = 6  # every sixth call fails in turn, beginning with another call for each request class


class InjectedError(Exception):
    """The exception that is raised in the decision module."""


@dataclass
class Injector:
    """Counts the calls within the decision module and makes one of them fail."""

    failing_call: int  # the first call is 1; 0: none
    after_work: bool  # raise after the call has done its work instead of before
    calls: int = 0
    armed: bool = False

    def wrap(self, function):
        def wrapper(*args, **keywords):
            if not self.armed:
                return function(*args, **keywords)
            self.calls += 1
            fails = self.calls == self.failing_call
            if fails and not self.after_work:
                raise InjectedError
            result = function(*args, **keywords)
            if fails:
                raise InjectedError
            return result

        return wrapper

    def install(self, monkeypatch):
        for component in DECISION_CLASSES:
            for name, function in list(vars(component).items()):
                if inspect.isfunction(function) and not name.startswith("__"):
                    monkeypatch.setattr(component, name, self.wrap(function))


OUTCOMES = {
    "rejected": lambda attempt: attempt.answer(Status.REJECTED),
    "error": lambda attempt: attempt.answer(Status.ERROR),
    "reset": lambda attempt: attempt.answer(Status.RESET),
    "ok": lambda attempt: attempt.answer(Status.OK),
    "streaming": lambda attempt: attempt.begin_response(),
    "no response": lambda attempt: None,
}
# The outcomes of the attempts of each request, in order; further attempts repeat the last one. "refused":
# the connection is refused.
SCRIPTS = [
    ["rejected", "refused", "reset", "ok"],
    ["reset", "rejected", "ok"],
    ["no response", "reset"],
    ["refused", "streaming"],
    ["rejected", "rejected", "error"],
    ["reset", "reset", "reset"],
]


def schedule_attempt(simulation, attempt, outcome):
    """Schedule the steps of one attempt: connect, send the last byte, receive the outcome."""
    call_later = simulation.loop.call_later
    if outcome == "refused":
        call_later(0.006, attempt.fail_to_connect)
        return
    call_later(0.006, attempt.connect)
    call_later(0.009, attempt.finish)
    call_later(0.030, OUTCOMES[outcome], attempt)
    if outcome == "streaming":
        call_later(0.050, attempt.answer, Status.RESET)


def change_list(simulation):
    """Publish a list in which one server moved in place, one moved with a restart, and one drains."""
    moved, restarted, drained = (simulation.endpoints[number] for number in (2, 3, 4))
    for endpoint in (moved, restarted):
        endpoint.zone, endpoint.cell = 1 - endpoint.zone, (endpoint.cell + 1) % 3
    restarted.started_ns = simulation.loop.now
    drained.state = State.DRAINING
    simulation.publish()


def run_scenario(monkeypatch, class_name, injector):
    """Run 200 ms with all outcomes, then past all deadlines; fail on any violation of the rule."""
    with monkeypatch.context() as patch:
        injector.install(patch)
        simulation = EngineSimulation([class_name], seed=7)
        attempt_numbers = {}

        def schedule_next_outcome(attempt):
            request_id = attempt.request.request_id
            number = attempt_numbers[request_id] = attempt_numbers.get(request_id, -1) + 1
            outcomes = SCRIPTS[request_id % len(SCRIPTS)]
            schedule_attempt(simulation, attempt, outcomes[min(number, len(outcomes) - 1)])

        simulation.upstream_transport.on_start = schedule_next_outcome
        simulation.upstream_transport.socket_full = True
        injector.armed = True
        for number in range(len(SCRIPTS)):
            simulation.loop.call_later(number * 0.004, simulation.submit)
        simulation.loop.call_later(0.002, submit_with_body, simulation)
        simulation.loop.call_later(0.035, change_list, simulation)
        simulation.loop.call_later(0.045, submit_and_disconnect, simulation)
        simulation.run(200 * MS)
        simulation.finish()
        assert not simulation.loop.callback_errors


def submit_with_body(simulation):
    request = simulation.submit(complete=False, request_id=len(SCRIPTS) + 1)
    simulation.loop.call_later(0.020, simulation.end_body, request)


def submit_and_disconnect(simulation):
    request = simulation.submit(request_id=len(SCRIPTS) + 2)
    simulation.loop.call_later(0.020, simulation.disconnect_client, request)


@pytest.mark.parametrize("after_work", [False, True])
@pytest.mark.parametrize("class_name", list(CLASSES))
def test_an_exception_in_the_decision_module_causes_no_duplicate_and_no_unsafe_reject(
    monkeypatch, class_name, after_work
):
    counting_run = Injector(0, after_work)
    run_scenario(monkeypatch, class_name, counting_run)
    assert counting_run.calls > 500
    first = 1 + list(CLASSES).index(class_name) % STRIDE
    for failing_call in range(first, counting_run.calls + 1, STRIDE):
        injector = Injector(failing_call, after_work)
        try:
            run_scenario(monkeypatch, class_name, injector)
        except AssertionError as error:
            raise AssertionError(f"with an exception in call {failing_call}: {error}") from error
