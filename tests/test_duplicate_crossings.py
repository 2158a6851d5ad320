"""Rule `duplicate` in the core and the decision module: one forced crossing a test.

Nothing is sent again, and no client is invited to repeat, while an earlier copy may have run.
"""

import pytest
from duplicate_model import CLASSES, DEADLINE, Stage
from helpers import MS, kinds

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
AFTER = 300 * MS  # enough for a repeat that is allowed to be planned and sent


def verdicts(stage, call):
    return stage.rule.asked[call.request_id].verdicts


def dispositions(stage, call):
    return [response.disposition for response in verdicts(stage, call)]


def copies(stage, call):
    return stage.rule.asked[call.request_id].copies


# A fault in an action


@pytest.mark.parametrize("cls", UNINVITING)
@pytest.mark.parametrize("how", ["guard", "SIGTERM"])
def test_an_attempt_that_failed_in_its_start_after_it_was_written_is_not_refused(cls, how):
    stage = Stage([cls])
    stage.upstream_transport.starts_fail = "after"
    call = stage.ask()
    assert len(copies(stage, call)) == 1
    stage.attempt(call).clear_timeout()  # its time-out was not set yet
    if how == "SIGTERM":
        stage.engine.lifecycle._give_final_answers()
    stage.finish()
    assert dispositions(stage, call) == [Disposition.ABORTED]


def test_an_answer_to_an_attempt_that_failed_in_its_start_after_it_was_written_still_counts():
    stage = Stage()
    stage.upstream_transport.starts_fail = "after"
    call = stage.ask()
    stage.attempt(call).answer(Status.OK)
    stage.finish()
    assert dispositions(stage, call) == [Disposition.SUCCEEDED]


def test_an_attempt_that_failed_in_its_start_with_nothing_written_is_made_anew():
    stage = Stage()
    stage.upstream_transport.starts_fail = "before"
    call = stage.ask()
    lost = stage.attempt(call)
    stage.run(AFTER)
    lost.connect()  # it was begun after all: what has been given up must not be written any more
    assert not copies(stage, call)
    stage.attempt(call).connect()
    stage.attempt(call).answer(Status.OK)
    stage.finish()
    assert dispositions(stage, call) == [Disposition.SUCCEEDED]


def test_no_attempt_is_told_to_have_ended_twice():
    stage = Stage()
    stage.upstream_transport.starts_fail = "before"
    call = stage.ask()
    lost = stage.attempt(call)
    stage.run(DEADLINE)
    told = []
    handle = stage.engine.balancer.handle
    stage.engine.balancer.handle = lambda now, event: told.append(event) or handle(now, event)
    lost.end(Status.CONNECT_FAILED)
    assert not kinds(told, Outcome)


def test_a_carriage_that_fails_to_give_up_leaves_its_request_an_answer():
    """Guards the last answer on SIGTERM: one request's fault must not leave the others without."""
    stage = Stage()
    calls = [stage.ask(), stage.ask()]

    def fail(status):
        raise RuntimeError("injected")

    for call in calls:
        stage.attempt(call).connect()
        stage.attempt(call).give_up = fail
    stage.engine.lifecycle._give_final_answers()
    assert [dispositions(stage, call) for call in calls] == [[Disposition.ABORTED]] * 2


# A fault within the module


def test_a_fault_before_an_event_is_taken_does_not_repeat_what_the_event_before_it_wanted():
    stage = Stage()
    call = stage.ask()
    handle = stage.engine.balancer.handle

    def fail(now, event):
        raise RecursionError("injected")

    stage.engine.balancer.handle = fail
    stage.engine.dispatcher.dispatch(RequestCancelled(9999))
    stage.engine.balancer.handle = handle
    assert len([one for one in stage.upstream_transport.out if one.call is call]) == 1


# Refusals after something may have run


def test_a_body_that_breaks_after_the_request_was_written_is_not_refused():
    """Its front did not know yet that it was whole: the answer must not invite a repeat."""
    stage = Stage()
    call = stage.ask(complete=False)
    upstream_attempt = stage.attempt(call)
    upstream_attempt.connect()
    call.body.end()
    assert upstream_attempt.may_run
    stage.engine.requests.body_failed(call, Disposition.DECLINED, (503, b"too much is held\n"))
    stage.finish()
    assert dispositions(stage, call) == [Disposition.ABORTED]


def test_a_body_that_breaks_with_nothing_written_is_refused_as_its_front_says():
    stage = Stage()
    call = stage.ask(complete=False)
    stage.engine.requests.body_failed(call, Disposition.DECLINED, (503, b"too much is held\n"))
    stage.finish()
    (response,) = verdicts(stage, call)
    assert (response.disposition, response.reason) == (Disposition.DECLINED, Reason.INVALID_BODY)
    assert not copies(stage, call)


def test_a_body_that_breaks_half_written_is_refused_and_never_whole():
    stage = Stage()
    call = stage.ask(complete=False)
    upstream_attempt = stage.attempt(call)
    upstream_attempt.connect()
    stage.engine.requests.body_failed(call, Disposition.DECLINED, (503, b"too much is held\n"))
    call.body.end()
    assert upstream_attempt.over and not upstream_attempt.may_run
    stage.finish()


@pytest.mark.parametrize("how", ["guard", "SIGTERM"])
@pytest.mark.parametrize("reached", ["decided", "in part", "whole", "whole, then answered"])
def test_the_last_guard_refuses_only_what_cannot_have_run(how, reached):
    stage = Stage()
    stage.upstream_transport.blocked = reached == "in part"
    call = stage.ask()
    if reached != "decided":
        stage.attempt(call).connect()
    if reached == "whole, then answered":
        stage.attempt(call).begin()
    if how == "SIGTERM":
        stage.engine.lifecycle._give_final_answers()
    stage.run(DEADLINE + 50 * MS)
    if reached == "whole, then answered":
        assert not verdicts(stage, call)  # its answer flows on, at its client's pace
        return
    stage.finish()
    wanted = Disposition.ABORTED if reached == "whole" else Disposition.DECLINED
    assert dispositions(stage, call) == [wanted]


@pytest.mark.parametrize("ends", [(Status.REJECTED, Status.RESET), (Status.RESET, Status.REJECTED)])
def test_two_copies_of_which_one_may_have_run_are_not_refused_by_the_last_guard(ends):
    stage = Stage(["keyed by cell"])
    call = stage.ask()
    for status in ends:
        stage.attempt(call).connect()
        stage.attempt(call).answer(status)
        stage.run(AFTER)
        if not stage.upstream_transport.out:
            break
    stage.finish()
    assert dispositions(stage, call) == [Disposition.ABORTED]


def test_a_name_whose_first_request_may_still_run_is_not_invited_to_come_again():
    """In a drain a request of a name that is out was refused as draining, which invites a repeat."""
    stage = Stage()
    call = stage.ask()
    stage.attempt(call).connect()
    stage.engine.lifecycle.final_answers_given = True
    answers = []
    again = stage.ask(name="other")
    again.request_id = call.request_id
    stage.clients.respond = lambda _, response: answers.append(response)
    stage.engine.requests.accept(stage.frontend_binding, stage.clients, again)
    assert [(one.disposition, one.reason) for one in answers] == [
        (Disposition.ABORTED, Reason.DUPLICATE_REQUEST_ID)
    ]


def test_a_crowded_sidecar_refuses_before_anything_was_sent():
    stage = Stage()
    stage.engine.requests.max_open = 0
    call = stage.ask()
    assert dispositions(stage, call) == [Disposition.DECLINED]
    stage.finish()
    assert not copies(stage, call)


# Ends that contradict what is known


@pytest.mark.parametrize("lie", [Status.CONNECT_FAILED, Status.NOT_SENT])
def test_an_attempt_that_was_written_cannot_end_as_never_sent(lie):
    stage = Stage()
    call = stage.ask()
    upstream_attempt = stage.attempt(call)
    upstream_attempt.connect()
    stage.upstream_transport.pooled = True
    upstream_attempt.end(lie)
    stage.finish()
    assert dispositions(stage, call) == [Disposition.ABORTED]


@pytest.mark.parametrize("status", [Status.CONNECT_FAILED, Status.NOT_SENT, Status.REJECTED])
def test_an_upload_that_ended_before_its_last_byte_is_not_sent_again_and_may_be_refused(status):
    """Its body is gone; no server has all of it."""
    stage = Stage()
    call = stage.ask(complete=False)
    upstream_attempt = stage.attempt(call)
    upstream_attempt.connect()
    if status is Status.REJECTED:
        upstream_attempt.answer(status)
    else:
        upstream_attempt.end(status)
    stage.finish()
    assert dispositions(stage, call) == [Disposition.DECLINED]
    assert len(copies(stage, call)) == 1


def test_a_body_that_another_attempt_has_taken_is_not_begun_again():
    """Its first byte is asked for when the body has flowed elsewhere since the decision."""
    stage = Stage(["safe"])
    call = stage.ask(complete=False)
    upstream_attempt = stage.attempt(call)
    call.body.stream_to(upstream_attempt)
    upstream_attempt.connect()
    assert not copies(stage, call)
