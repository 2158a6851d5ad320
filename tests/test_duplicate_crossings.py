"""Tests the rule `duplicate` in the core and the decision module; each test forces one race.

No request is sent again, and no client is invited to retry, while an earlier copy may have run.
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

CLASSES_UNSAFE_TO_REJECT = [
    name for name, (effect, scope) in CLASSES.items() if effect != Effect.IDEMPOTENT and scope != Scope.ALL
]
CLASSES_UNSAFE_TO_REJECT.append("unsafe")
RETRY_TIME_NS = 300 * MS  # long enough to schedule and send an allowed retry


def responses(simulation, request):
    return simulation.rule.requests[request.request_id].responses


def dispositions(simulation, request):
    return [response.disposition for response in responses(simulation, request)]


def copies(simulation, request):
    return simulation.rule.requests[request.request_id].copies


# An exception in an action


@pytest.mark.parametrize("class_name", CLASSES_UNSAFE_TO_REJECT)
@pytest.mark.parametrize("trigger", ["watchdog", "SIGTERM"])
def test_a_request_is_not_rejected_if_the_start_of_its_attempt_raised_after_it_was_written(
    class_name, trigger
):
    simulation = EngineSimulation([class_name])
    simulation.upstream_transport.fail_next_start = "after"
    request = simulation.submit()
    assert len(copies(simulation, request)) == 1
    simulation.attempt(request).clear_timeout()  # its timeout was not set yet
    if trigger == "SIGTERM":
        simulation.engine.lifecycle._give_final_answers()
    simulation.finish()
    assert dispositions(simulation, request) == [Disposition.ABORTED]


def test_a_response_is_delivered_if_the_start_of_its_attempt_raised_after_it_was_written():
    simulation = EngineSimulation()
    simulation.upstream_transport.fail_next_start = "after"
    request = simulation.submit()
    simulation.attempt(request).answer(Status.OK)
    simulation.finish()
    assert dispositions(simulation, request) == [Disposition.SUCCEEDED]


def test_a_request_is_sent_again_if_the_start_of_its_attempt_raised_before_writing():
    simulation = EngineSimulation()
    simulation.upstream_transport.fail_next_start = "before"
    request = simulation.submit()
    failed_attempt = simulation.attempt(request)
    simulation.run(RETRY_TIME_NS)
    failed_attempt.connect()  # the transport has it in flight; an abandoned attempt must not be written
    assert not copies(simulation, request)
    simulation.attempt(request).connect()
    simulation.attempt(request).answer(Status.OK)
    simulation.finish()
    assert dispositions(simulation, request) == [Disposition.SUCCEEDED]


def test_an_attempt_reports_its_outcome_only_once():
    simulation = EngineSimulation()
    simulation.upstream_transport.fail_next_start = "before"
    request = simulation.submit()
    failed_attempt = simulation.attempt(request)
    simulation.run(DEADLINE_NS)
    events = []
    handle = simulation.engine.balancer.handle
    simulation.engine.balancer.handle = lambda now, event: events.append(event) or handle(now, event)
    failed_attempt.end(Status.CONNECT_FAILED)
    assert not actions_of_type(events, Outcome)


def test_every_request_gets_its_final_response_if_give_up_raises():
    """On SIGTERM an exception for one request must not leave the others without a response."""
    simulation = EngineSimulation()
    requests = [simulation.submit(), simulation.submit()]

    def fail(status):
        raise RuntimeError("injected")

    for request in requests:
        simulation.attempt(request).connect()
        simulation.attempt(request).give_up = fail
    simulation.engine.lifecycle._give_final_answers()
    assert [dispositions(simulation, request) for request in requests] == [[Disposition.ABORTED]] * 2


# An exception within the decision module


def test_an_exception_before_an_event_is_handled_does_not_repeat_the_previous_actions():
    simulation = EngineSimulation()
    request = simulation.submit()
    handle = simulation.engine.balancer.handle

    def fail(now, event):
        raise RecursionError("injected")

    simulation.engine.balancer.handle = fail
    simulation.engine.dispatcher.dispatch(RequestCancelled(9999))
    simulation.engine.balancer.handle = handle
    assert (
        len([attempt for attempt in simulation.upstream_transport.in_flight if attempt.request is request])
        == 1
    )


# Rejections after a copy may have run


def test_a_request_whose_body_fails_after_it_was_written_is_not_rejected():
    """The frontend reports the failure before it learns that the body was complete and sent."""
    simulation = EngineSimulation()
    request = simulation.submit(complete=False)
    attempt = simulation.attempt(request)
    attempt.connect()
    request.body.end()
    assert attempt.may_run
    simulation.engine.requests.body_failed(request, Disposition.DECLINED, (503, b"too much is held\n"))
    simulation.finish()
    assert dispositions(simulation, request) == [Disposition.ABORTED]


def test_a_request_whose_body_fails_before_anything_was_written_is_rejected_with_reason_invalid_body():
    simulation = EngineSimulation()
    request = simulation.submit(complete=False)
    simulation.engine.requests.body_failed(request, Disposition.DECLINED, (503, b"too much is held\n"))
    simulation.finish()
    (response,) = responses(simulation, request)
    assert (response.disposition, response.reason) == (Disposition.DECLINED, Reason.INVALID_BODY)
    assert not copies(simulation, request)


def test_a_request_whose_body_fails_while_it_is_written_is_rejected_and_never_completed():
    simulation = EngineSimulation()
    request = simulation.submit(complete=False)
    attempt = simulation.attempt(request)
    attempt.connect()
    simulation.engine.requests.body_failed(request, Disposition.DECLINED, (503, b"too much is held\n"))
    request.body.end()
    assert attempt.has_ended and not attempt.may_run
    simulation.finish()


@pytest.mark.parametrize("trigger", ["watchdog", "SIGTERM"])
@pytest.mark.parametrize("progress", ["decided", "partly sent", "sent", "response started"])
def test_the_deadline_watchdog_rejects_only_requests_that_cannot_have_run(trigger, progress):
    simulation = EngineSimulation()
    simulation.upstream_transport.socket_full = progress == "partly sent"
    request = simulation.submit()
    if progress != "decided":
        simulation.attempt(request).connect()
    if progress == "response started":
        simulation.attempt(request).begin_response()
    if trigger == "SIGTERM":
        simulation.engine.lifecycle._give_final_answers()
    simulation.run(DEADLINE_NS + 50 * MS)
    if progress == "response started":
        assert not responses(simulation, request)  # the response is still streamed to the client
        return
    simulation.finish()
    expected = Disposition.ABORTED if progress == "sent" else Disposition.DECLINED
    assert dispositions(simulation, request) == [expected]


@pytest.mark.parametrize("statuses", [(Status.REJECTED, Status.RESET), (Status.RESET, Status.REJECTED)])
def test_the_deadline_watchdog_does_not_reject_if_one_of_two_copies_may_have_run(statuses):
    simulation = EngineSimulation(["keyed by cell"])
    request = simulation.submit()
    for status in statuses:
        simulation.attempt(request).connect()
        simulation.attempt(request).answer(status)
        simulation.run(RETRY_TIME_NS)
        if not simulation.upstream_transport.in_flight:
            break
    simulation.finish()
    assert dispositions(simulation, request) == [Disposition.ABORTED]


def test_a_request_with_the_id_of_a_pending_one_fails_as_a_duplicate_while_draining():
    """Guards against a rejection as draining, after which clients retry while the first request may run."""
    simulation = EngineSimulation()
    request = simulation.submit()
    simulation.attempt(request).connect()
    simulation.engine.lifecycle.final_answers_given = True
    responses_sent = []
    retry = simulation.submit(request_id="other")
    retry.request_id = request.request_id
    simulation.clients.respond = lambda _, response: responses_sent.append(response)
    simulation.engine.requests.accept(simulation.frontend_binding, simulation.clients, retry)
    assert [(response.disposition, response.reason) for response in responses_sent] == [
        (Disposition.ABORTED, Reason.DUPLICATE_REQUEST_ID)
    ]


def test_an_overloaded_sidecar_rejects_a_request_without_sending_it():
    simulation = EngineSimulation()
    simulation.engine.requests.max_open = 0
    request = simulation.submit()
    assert dispositions(simulation, request) == [Disposition.DECLINED]
    simulation.finish()
    assert not copies(simulation, request)


# Outcomes that contradict what was written


@pytest.mark.parametrize("status", [Status.CONNECT_FAILED, Status.NOT_SENT])
def test_an_attempt_that_was_written_cannot_end_as_never_sent(status):
    simulation = EngineSimulation()
    request = simulation.submit()
    attempt = simulation.attempt(request)
    attempt.connect()
    simulation.upstream_transport.has_idle_connection = True
    attempt.end(status)
    simulation.finish()
    assert dispositions(simulation, request) == [Disposition.ABORTED]


@pytest.mark.parametrize("status", [Status.CONNECT_FAILED, Status.NOT_SENT, Status.REJECTED])
def test_an_upload_that_ended_before_its_last_byte_is_not_retried_and_may_be_rejected(status):
    """The body can't be sent again, and no server has received all of it."""
    simulation = EngineSimulation()
    request = simulation.submit(complete=False)
    attempt = simulation.attempt(request)
    attempt.connect()
    if status is Status.REJECTED:
        attempt.answer(status)
    else:
        attempt.end(status)
    simulation.finish()
    assert dispositions(simulation, request) == [Disposition.DECLINED]
    assert len(copies(simulation, request)) == 1


def test_an_attempt_is_not_sent_if_its_body_was_streamed_to_another_attempt():
    """Another attempt streams the body between the decision and the first byte of this one."""
    simulation = EngineSimulation(["safe"])
    request = simulation.submit(complete=False)
    attempt = simulation.attempt(request)
    request.body.stream_to(attempt)
    attempt.connect()
    assert not copies(simulation, request)
