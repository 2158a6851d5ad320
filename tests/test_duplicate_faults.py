"""Rule `duplicate` whatever fails within the decision module: its calls fail, one in each run."""

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
PARTS = {
    kind
    for module in MODULES
    for kind in vars(module).values()
    if inspect.isclass(kind) and kind.__module__ in {one.__name__ for one in MODULES}
}
STRIDE = 6  # runs skip calls by this, each class from another one on


class InjectedError(Exception):
    """The fault that is put into the module."""


@dataclass
class Injector:
    """Lets the calls within the module pass, but for one."""

    fails_at: int
    after_work: bool  # it fails with its work done, in place of before it
    calls: int = 0
    armed: bool = False

    def wrap(self, function):
        def call(*args, **named):
            if not self.armed:
                return function(*args, **named)
            self.calls += 1
            fails = self.calls == self.fails_at
            if fails and not self.after_work:
                raise InjectedError
            result = function(*args, **named)
            if fails:
                raise InjectedError
            return result

        return call

    def install(self, monkeypatch):
        for kind in PARTS:
            for name, function in list(vars(kind).items()):
                if inspect.isfunction(function) and not name.startswith("__"):
                    monkeypatch.setattr(kind, name, self.wrap(function))


ENDS = {
    "full": lambda attempt: attempt.answer(Status.REJECTED),
    "error": lambda attempt: attempt.answer(Status.ERROR),
    "reset": lambda attempt: attempt.answer(Status.RESET),
    "ok": lambda attempt: attempt.answer(Status.OK),
    "flows": lambda attempt: attempt.begin_response(),
    "silent": lambda attempt: None,
}
# What becomes of the attempts of each request, in their order; the last goes on. "refused": no connection.
SCRIPTS = [
    ["full", "refused", "reset", "ok"],
    ["reset", "full", "ok"],
    ["silent", "reset"],
    ["refused", "flows"],
    ["full", "full", "error"],
    ["reset", "reset", "reset"],
]


def script(simulation, attempt, ends):
    """Play one attempt: its connection comes up, its last byte goes out, its server ends it."""
    later = simulation.loop.call_later
    if ends == "refused":
        later(0.006, attempt.fail_to_connect)
        return
    later(0.006, attempt.connect)
    later(0.009, attempt.finish)
    later(0.030, ENDS[ends], attempt)
    if ends == "flows":
        later(0.050, attempt.answer, Status.RESET)


def change_list(simulation):
    """One server moves in place, one starts anew elsewhere, one drains."""
    moved, restarted, drained = (simulation.endpoints[number] for number in (2, 3, 4))
    for endpoint in (moved, restarted):
        endpoint.zone, endpoint.cell = 1 - endpoint.zone, (endpoint.cell + 1) % 3
    restarted.started_ns = simulation.loop.now
    drained.state = State.DRAINING
    simulation.publish()


def play(monkeypatch, cls, injector):
    """A fifth of a second with all kinds of ends, then all deadlines; the model's findings fail the test."""
    with monkeypatch.context() as patch:
        injector.install(patch)
        simulation = EngineSimulation([cls], seed=7)
        made = {}

        def start(attempt):
            name = attempt.call.request_id
            number = made[name] = made.get(name, -1) + 1
            scripted = SCRIPTS[name % len(SCRIPTS)]
            script(simulation, attempt, scripted[min(number, len(scripted) - 1)])

        simulation.upstream_transport.on_start = start
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
    call = simulation.submit(complete=False, name=len(SCRIPTS) + 1)
    simulation.loop.call_later(0.020, simulation.end_body, call)


def submit_and_disconnect(simulation):
    call = simulation.submit(name=len(SCRIPTS) + 2)
    simulation.loop.call_later(0.020, simulation.disconnect_client, call)


@pytest.mark.parametrize("after_work", [False, True])
@pytest.mark.parametrize("cls", list(CLASSES))
def test_no_fault_in_the_module_causes_a_second_copy_or_an_invitation_to_retry(monkeypatch, cls, after_work):
    counted = Injector(0, after_work)
    play(monkeypatch, cls, counted)
    assert counted.calls > 500
    first = 1 + list(CLASSES).index(cls) % STRIDE
    for fails_at in range(first, counted.calls + 1, STRIDE):
        injector = Injector(fails_at, after_work)
        try:
            play(monkeypatch, cls, injector)
        except AssertionError as error:
            raise AssertionError(f"call {fails_at} failed: {error}") from error
