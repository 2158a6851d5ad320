"""The judge of the duplicate search: which histories of a request keep the rule, and which break it."""

import pytest

from ochreflow.lab.duplicates.classes import Effect, RequestClass, Scope
from ochreflow.lab.duplicates.events import (
    AttemptEnded,
    AttemptRejected,
    ClientDisconnected,
    ConnectionClosed,
    CopyReceived,
    RequestSent,
    ResponseReceived,
)
from ochreflow.lab.duplicates.judge import Placement, ViolationKind, find_violations

NON_IDEMPOTENT = RequestClass("order", Effect.NON_IDEMPOTENT, 1.0)
IDEMPOTENT = RequestClass("lookup", Effect.IDEMPOTENT, 1.0)
PLACEMENTS = {  # server: zone, cell; servers 1 and 2 share a cell, 1 to 3 a zone
    1: Placement(-1e9, 0, 0),
    2: Placement(-1e9, 0, 0),
    3: Placement(-1e9, 0, 1),
    4: Placement(-1e9, 1, 2),
}


def with_key(scope, window=1.0):
    return RequestClass("hold", Effect.IDEMPOTENT_WITH_KEY, 2.0, scope, window)


def copy(at, attempt=0, server=1, began=None, not_before=None):
    began = at if began is None else began
    return CopyReceived(at, attempt, server, began, at if not_before is None else not_before, 100)


def kinds(cls, *events, hedging=True, places=None):
    def stood(server, begin, end):
        stays = (places or {}).get(server, [PLACEMENTS[server]])
        ends = [stay.since for stay in stays[1:]] + [1e9]
        return [stay for stay, until in zip(stays, ends, strict=True) if stay.since <= end and until >= begin]

    return [one.kind for one in find_violations(cls, events, stood, hedging=hedging)]


# The judge: second copies


def test_one_copy_and_its_answer_keep_the_rule():
    assert kinds(NON_IDEMPOTENT, copy(1.0), ResponseReceived(1.1, 200)) == []


def test_a_second_copy_of_a_non_idempotent_request_breaks_it():
    assert kinds(NON_IDEMPOTENT, copy(1.0), copy(1.2, 1, 2), ResponseReceived(1.3, 200)) == [
        ViolationKind.SECOND_COPY
    ]


def test_a_copy_that_is_completed_after_the_retry_began_breaks_it():
    late = copy(1.5, 0, 1, began=1.0)
    assert kinds(NON_IDEMPOTENT, late, copy(1.2, 1, 2), ResponseReceived(1.3, 200)) == [
        ViolationKind.SECOND_COPY
    ]


def test_a_copy_that_was_rejected_before_may_be_retried():
    events = (copy(1.0), AttemptRejected(1.1, 0), copy(1.2, 1, 2), ResponseReceived(1.3, 200))
    assert kinds(NON_IDEMPOTENT, *events) == []


def test_a_copy_that_is_rejected_only_after_the_retry_may_not():
    events = (copy(1.0), copy(1.2, 1, 2), AttemptRejected(1.25, 0), ResponseReceived(1.3, 200))
    assert kinds(NON_IDEMPOTENT, *events) == [ViolationKind.SECOND_COPY]


def test_an_attempt_rejected_in_part_counts_for_nothing_when_the_rest_of_it_comes():
    rest = copy(1.5, 0, 1, began=1.0)
    assert (
        kinds(NON_IDEMPOTENT, AttemptRejected(1.1, 0), copy(1.2, 1, 2), rest, ResponseReceived(1.3, 200))
        == []
    )


def test_all_earlier_copies_must_have_been_rejected():
    events = (
        copy(1.0),
        AttemptRejected(1.1, 0),
        copy(1.2, 1, 2),
        copy(1.4, 2, 3),
        ResponseReceived(1.5, 200),
    )
    assert kinds(NON_IDEMPOTENT, *events) == [ViolationKind.SECOND_COPY]


def test_an_idempotent_request_may_be_retried_and_rejected():
    assert kinds(IDEMPOTENT, copy(1.0), copy(1.2, 1, 4), ResponseReceived(1.3, 503)) == []


@pytest.mark.parametrize(
    ("scope", "server", "broken"),
    [
        (Scope.ALL, 4, False),
        (Scope.ZONE, 3, False),
        (Scope.ZONE, 4, True),
        (Scope.CELL, 2, False),
        (Scope.CELL, 3, True),
        (Scope.CELL, 4, True),
    ],
)
def test_a_request_with_a_key_may_be_retried_in_its_group_only(scope, server, broken):
    found = kinds(with_key(scope), copy(1.0), copy(1.2, 1, server), ResponseReceived(1.3, 200))
    assert found == ([ViolationKind.OUTSIDE_GROUP] if broken else [])


def test_either_group_of_a_server_that_moved_between_the_copies_will_do():
    moved = {3: [PLACEMENTS[3], Placement(1.1, 0, 0)]}
    assert kinds(with_key(Scope.CELL), copy(1.0), copy(1.2, 1, 3), places=moved) == []


@pytest.mark.parametrize(("scope", "joined", "kept"), [(Scope.CELL, 3, 2), (Scope.ZONE, 4, 3)])
def test_a_later_move_of_the_first_copys_server_does_not_change_its_group(scope, joined, kept):
    place = PLACEMENTS[joined]
    moved = {1: [PLACEMENTS[1], Placement(1.1, place.zone, place.cell)]}
    to_new_group = kinds(with_key(scope), copy(1.0), copy(1.2, 1, joined), places=moved)
    assert to_new_group == [ViolationKind.OUTSIDE_GROUP]
    assert kinds(with_key(scope), copy(1.0), copy(1.2, 1, kept), places=moved) == []


@pytest.mark.parametrize(("at", "broken"), [(1.9, False), (2.3, True)])
def test_a_server_belongs_to_its_old_group_until_sidecars_surely_know_of_the_move(at, broken):
    moved = {2: [PLACEMENTS[2], Placement(0.2, 0, 1)]}
    found = kinds(with_key(Scope.CELL, 10.0), copy(0.1), copy(at, 1, 2), places=moved)
    assert found == ([ViolationKind.OUTSIDE_GROUP] if broken else [])


def test_a_copy_that_waited_unread_may_have_been_sent_before_a_move():
    moved = {2: [PLACEMENTS[2], Placement(0.2, 0, 1)]}
    assert kinds(with_key(Scope.CELL, 10.0), copy(0.1), copy(2.9, 1, 2, not_before=1.9), places=moved) == []


@pytest.mark.parametrize(("apart", "broken"), [(0.9, False), (1.04, False), (1.06, True)])
def test_a_request_with_a_key_may_be_retried_in_its_window_and_the_slack_only(apart, broken):
    found = kinds(with_key(Scope.ALL), copy(1.0), copy(1.0 + apart, 1, 2))
    assert found == ([ViolationKind.OUTSIDE_WINDOW] if broken else [])


def test_the_window_begins_with_the_first_byte_of_the_first_copy():
    assert kinds(with_key(Scope.ALL), copy(1.5, began=1.0), copy(2.1, 1, 2)) == [ViolationKind.OUTSIDE_WINDOW]


def test_a_copy_that_is_read_late_counts_as_of_when_it_may_have_come():
    assert kinds(with_key(Scope.ALL), copy(1.0), copy(3.0, 1, 2, not_before=1.9)) == []


def test_a_copy_that_was_rejected_begins_no_window():
    events = (copy(1.0), AttemptRejected(1.1, 0), copy(2.5, 1, 4), ResponseReceived(2.6, 200))
    assert kinds(with_key(Scope.CELL), *events) == []


def test_a_second_copy_while_one_is_out_breaks_it_where_the_settings_forbid_that():
    both = (copy(1.0), copy(1.2, 1, 2), AttemptEnded(1.4, 0))
    assert kinds(IDEMPOTENT, *both, hedging=False) == [ViolationKind.CONCURRENT_COPY]
    assert kinds(IDEMPOTENT, *both, hedging=True) == []


def test_a_second_copy_after_the_first_ended_is_none_beside_it():
    assert kinds(IDEMPOTENT, copy(1.0), AttemptEnded(1.1, 0), copy(1.2, 1, 2), hedging=False) == []


def test_a_copy_of_which_the_server_read_the_rest_later_may_have_been_given_up_before():
    late = copy(1.4, 0, 1, began=1.0)
    assert kinds(IDEMPOTENT, late, copy(1.2, 1, 2), AttemptEnded(1.4, 0), hedging=False) == []


def test_a_copy_that_waited_unread_may_have_ended_before_the_other():
    waited = copy(1.2, 1, 2, not_before=0.5)
    assert kinds(IDEMPOTENT, copy(1.0), waited, AttemptEnded(1.4, 0), hedging=False) == []


# The judge: final answers and closes


@pytest.mark.parametrize("code", [429, 503])
@pytest.mark.parametrize("cls", [NON_IDEMPOTENT, with_key(Scope.ZONE), with_key(Scope.CELL)])
def test_a_rejection_of_what_may_have_run_breaks_it(cls, code):
    assert kinds(cls, copy(1.0), ResponseReceived(1.3, code)) == [ViolationKind.REJECTED]


def test_a_rejection_of_what_is_completed_later_breaks_it():
    assert kinds(NON_IDEMPOTENT, ResponseReceived(1.3, 503), copy(1.5, began=1.0)) == [ViolationKind.REJECTED]


def test_a_rejection_breaks_nothing_where_no_copy_arrived_or_all_were_rejected():
    assert kinds(NON_IDEMPOTENT, ResponseReceived(1.3, 503)) == []
    assert kinds(NON_IDEMPOTENT, copy(1.0), AttemptRejected(1.1, 0), ResponseReceived(1.3, 503)) == []
    assert kinds(with_key(Scope.ALL), copy(1.0), ResponseReceived(1.3, 503)) == []


def test_a_proof_that_comes_after_the_rejection_is_too_late():
    assert kinds(NON_IDEMPOTENT, copy(1.0), ResponseReceived(1.3, 503), AttemptRejected(1.4, 0)) == [
        ViolationKind.REJECTED
    ]


@pytest.mark.parametrize("code", [200, 409, 500, 502, 504])
def test_an_answer_that_invites_to_nothing_keeps_the_rule(code):
    assert kinds(NON_IDEMPOTENT, copy(1.0), ResponseReceived(1.3, code)) == []


def test_a_silent_close_of_what_may_have_run_breaks_it():
    assert kinds(NON_IDEMPOTENT, copy(1.0), ConnectionClosed(1.3, answer_begun=False, killed=False)) == [
        ViolationKind.SILENT_CLOSE
    ]


@pytest.mark.parametrize("closed", [ConnectionClosed(1.3, True, False), ConnectionClosed(1.3, False, True)])
def test_a_close_in_an_answer_or_of_a_killed_sidecar_is_excused(closed):
    assert kinds(NON_IDEMPOTENT, copy(1.0), closed) == []


def test_a_close_that_crossed_a_request_does_not_count_against_its_retry():
    closed, resent = (
        ConnectionClosed(1.3, answer_begun=False, killed=False),
        RequestSent(1.4, 0, "order", 100, 2),
    )
    assert kinds(NON_IDEMPOTENT, closed, resent, copy(1.5), ResponseReceived(1.6, 200)) == []
    assert kinds(NON_IDEMPOTENT, copy(1.2), closed, resent, ResponseReceived(1.6, 409)) == [
        ViolationKind.SILENT_CLOSE
    ]


def test_nothing_is_an_invitation_to_a_client_that_has_disconnected():
    events = (
        copy(1.0),
        ClientDisconnected(1.1, "close"),
        ConnectionClosed(1.2, False, False),
        ResponseReceived(1.3, 503),
    )
    assert kinds(NON_IDEMPOTENT, *events) == []
