"""Rule `duplicate` in the core and the decision module: one forced crossing a test.

Nothing is sent again, and no client is invited to repeat, while an earlier copy may have run.
"""

import pytest
from engine_simulation import CLASSES, DEADLINE_NS, EngineSimulation
from helpers import MS, actions_of_type

from ochreflow.core.ports import Reason
from ochreflow.core.stats import Disposition
from ochreflow.policy.interface import (
    Effect,
    Outcome,
    RequestCancelled,
    Scope,
    Status,
)

UNINVITING = [
    name for name, (effect, scope) in CLASSES.items() if effect != Effect.IDEMPOTENT and scope != Scope.ALL
]
UNINVITING.append("unsafe")
RETRY_TIME_NS = 300 * MS  # enough for a retry that is allowed to be scheduled and sent


def responses(simulation, call):
    return simulation.rule.requests[call.request_id].responses


def dispositions(simulation, call):
    return [response.disposition for response in responses(simulation, call)]


def copies(simulation, call):
    return simulation.rule.requests[call.request_id].copies


# A fault in an action


@pytest.mark.parametrize("cls", UNINVITING)
@pytest.mark.parametrize("how", ["guard", "SIGTERM"])
def test_an_attempt_that_failed_in_its_start_after_it_was_written_is_not_rejected(cls, how):
    simulation = EngineSimulation([cls])
    simulation.upstream_transport.fail_next_start = "after"
    call = simulation.submit()
    assert len(copies(simulation, call)) == 1
    simulation.attempt(call).clear_timeout()  # its time-out was not set yet
    if how == "SIGTERM":
        simulation.engine.lifecycle._give_final_answers()
    simulation.finish()
    assert dispositions(simulation, call) == [Disposition.ABORTED]


def test_an_answer_to_an_attempt_that_failed_in_its_start_after_it_was_written_still_counts():
    simulation = EngineSimulation()
    simulation.upstream_transport.fail_next_start = "after"
    call = simulation.submit()
    simulation.attempt(call).answer(Status.OK)
    simulation.finish()
    assert dispositions(simulation, call) == [Disposition.SUCCEEDED]


def test_an_attempt_that_failed_in_its_start_with_nothing_written_is_made_anew():
    simulation = EngineSimulation()
    simulation.upstream_transport.fail_next_start = "before"
    call = simulation.submit()
    failed_attempt = simulation.attempt(call)
    simulation.run(RETRY_TIME_NS)
    failed_attempt.connect()  # it was begun after all: what has been given up must not be written any more
    assert not copies(simulation, call)
    simulation.attempt(call).connect()
    simulation.attempt(call).answer(Status.OK)
    simulation.finish()
    assert dispositions(simulation, call) == [Disposition.SUCCEEDED]


def test_no_attempt_reports_its_end_twice():
    simulation = EngineSimulation()
    simulation.upstream_transport.fail_next_start = "before"
    call = simulation.submit()
    failed_attempt = simulation.attempt(call)
    simulation.run(DEADLINE_NS)
    events = []
    handle = simulation.engine.balancer.handle
    simulation.engine.balancer.handle = lambda now, event: events.append(event) or handle(now, event)
    failed_attempt.end(Status.CONNECT_FAILED)
    assert not actions_of_type(events, Outcome)


def test_an_attempt_that_fails_to_give_up_leaves_its_request_an_answer():
    """Guards the last answer on SIGTERM: one request's fault must not leave the others without."""
    simulation = EngineSimulation()
    calls = [simulation.submit(), simulation.submit()]

    def fail(status):
        raise RuntimeError("injected")

    for call in calls:
        simulation.attempt(call).connect()
        simulation.attempt(call).give_up = fail
    simulation.engine.lifecycle._give_final_answers()
    assert [dispositions(simulation, call) for call in calls] == [[Disposition.ABORTED]] * 2


# A fault within the module


def test_a_fault_before_an_event_is_handled_does_not_repeat_the_actions_of_the_event_before():
    simulation = EngineSimulation()
    call = simulation.submit()
    handle = simulation.engine.balancer.handle

    def fail(now, event):
        raise RecursionError("injected")

    simulation.engine.balancer.handle = fail
    simulation.engine.dispatcher.dispatch(RequestCancelled(9999))
    simulation.engine.balancer.handle = handle
    assert len([one for one in simulation.upstream_transport.in_flight if one.call is call]) == 1


# Refusals after something may have run


def test_a_body_that_breaks_after_the_request_was_written_is_not_rejected():
    """Its frontend did not know yet that it was complete: the answer must not invite a retry."""
    simulation = EngineSimulation()
    call = simulation.submit(complete=False)
    attempt = simulation.attempt(call)
    attempt.connect()
    call.body.end()
    assert attempt.may_run
    simulation.engine.requests.body_failed(call, Disposition.DECLINED, (503, b"too much is held\n"))
    simulation.finish()
    assert dispositions(simulation, call) == [Disposition.ABORTED]


def test_a_body_that_breaks_with_nothing_written_is_rejected_as_its_frontend_says():
    simulation = EngineSimulation()
    call = simulation.submit(complete=False)
    simulation.engine.requests.body_failed(call, Disposition.DECLINED, (503, b"too much is held\n"))
    simulation.finish()
    (response,) = responses(simulation, call)
    assert (response.disposition, response.reason) == (Disposition.DECLINED, Reason.INVALID_BODY)
    assert not copies(simulation, call)


def test_a_body_that_breaks_half_written_is_rejected_and_never_complete():
    simulation = EngineSimulation()
    call = simulation.submit(complete=False)
    attempt = simulation.attempt(call)
    attempt.connect()
    simulation.engine.requests.body_failed(call, Disposition.DECLINED, (503, b"too much is held\n"))
    call.body.end()
    assert attempt.has_ended and not attempt.may_run
    simulation.finish()


@pytest.mark.parametrize("how", ["guard", "SIGTERM"])
@pytest.mark.parametrize("reached", ["decided", "in part", "whole", "whole, then answered"])
def test_the_deadline_watchdog_rejects_only_what_cannot_have_run(how, reached):
    simulation = EngineSimulation()
    simulation.upstream_transport.socket_full = reached == "in part"
    call = simulation.submit()
    if reached != "decided":
        simulation.attempt(call).connect()
    if reached == "whole, then answered":
        simulation.attempt(call).begin_response()
    if how == "SIGTERM":
        simulation.engine.lifecycle._give_final_answers()
    simulation.run(DEADLINE_NS + 50 * MS)
    if reached == "whole, then answered":
        assert not responses(simulation, call)  # its answer flows on, at its client's pace
        return
    simulation.finish()
    expected = Disposition.ABORTED if reached == "whole" else Disposition.DECLINED
    assert dispositions(simulation, call) == [expected]


@pytest.mark.parametrize("ends", [(Status.REJECTED, Status.RESET), (Status.RESET, Status.REJECTED)])
def test_two_copies_of_which_one_may_have_run_are_not_rejected_by_the_deadline_watchdog(ends):
    simulation = EngineSimulation(["keyed by cell"])
    call = simulation.submit()
    for status in ends:
        simulation.attempt(call).connect()
        simulation.attempt(call).answer(status)
        simulation.run(RETRY_TIME_NS)
        if not simulation.upstream_transport.in_flight:
            break
    simulation.finish()
    assert dispositions(simulation, call) == [Disposition.ABORTED]


def test_a_request_id_whose_first_request_may_still_run_is_not_invited_to_retry():
    """In a drain a request of a name that is out was refused as draining, which invites a repeat."""
    simulation = EngineSimulation()
    call = simulation.submit()
    simulation.attempt(call).connect()
    simulation.engine.lifecycle.final_answers_given = True
    answers = []
    retry = simulation.submit(name="other")
    retry.request_id = call.request_id
    simulation.clients.respond = lambda _, response: answers.append(response)
    simulation.engine.requests.accept(simulation.frontend_binding, simulation.clients, retry)
    assert [(one.disposition, one.reason) for one in answers] == [
        (Disposition.ABORTED, Reason.DUPLICATE_REQUEST_ID)
    ]


def test_an_overloaded_sidecar_rejects_before_anything_was_sent():
    simulation = EngineSimulation()
    simulation.engine.requests.max_open = 0
    call = simulation.submit()
    assert dispositions(simulation, call) == [Disposition.DECLINED]
    simulation.finish()
    assert not copies(simulation, call)


# Ends that contradict what is known


@pytest.mark.parametrize("lie", [Status.CONNECT_FAILED, Status.NOT_SENT])
def test_an_attempt_that_was_written_cannot_end_as_never_sent(lie):
    simulation = EngineSimulation()
    call = simulation.submit()
    attempt = simulation.attempt(call)
    attempt.connect()
    simulation.upstream_transport.has_idle_connection = True
    attempt.end(lie)
    simulation.finish()
    assert dispositions(simulation, call) == [Disposition.ABORTED]


@pytest.mark.parametrize("status", [Status.CONNECT_FAILED, Status.NOT_SENT, Status.REJECTED])
def test_an_upload_that_ended_before_its_last_byte_is_not_retried_and_may_be_rejected(status):
    """Its body is gone; no server has all of it."""
    simulation = EngineSimulation()
    call = simulation.submit(complete=False)
    attempt = simulation.attempt(call)
    attempt.connect()
    if status is Status.REJECTED:
        attempt.answer(status)
    else:
        attempt.end(status)
    simulation.finish()
    assert dispositions(simulation, call) == [Disposition.DECLINED]
    assert len(copies(simulation, call)) == 1


def test_a_body_that_another_attempt_has_consumed_is_not_started_anew():
    """Its first byte is asked for when the body has been streamed elsewhere since the decision."""
    simulation = EngineSimulation(["safe"])
    call = simulation.submit(complete=False)
    attempt = simulation.attempt(call)
    call.body.stream_to(attempt)
    attempt.connect()
    assert not copies(simulation, call)
