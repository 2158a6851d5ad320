"""The judge of the duplicate search: which events of a request keep the rule and which violate it."""

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


def copy(at, attempt=0, server=1, began_at=None, not_before=None):
    began_at = at if began_at is None else began_at
    return CopyReceived(at, attempt, server, began_at, at if not_before is None else not_before, 100)


def violation_kinds(request_class, *events, hedging=True, placements=None):
    def placements_between(server, begin, end):
        server_placements = (placements or {}).get(server, [PLACEMENTS[server]])
        ends = [placement.since for placement in server_placements[1:]] + [1e9]
        return [
            placement
            for placement, placement_end in zip(server_placements, ends, strict=True)
            if placement.since <= end and placement_end >= begin
        ]

    return [
        violation.kind
        for violation in find_violations(request_class, events, placements_between, hedging=hedging)
    ]


# The judge: second copies


def test_one_copy_and_its_response_keep_the_rule():
    assert violation_kinds(NON_IDEMPOTENT, copy(1.0), ResponseReceived(1.1, 200)) == []


def test_a_second_copy_of_a_non_idempotent_request_is_a_violation():
    assert violation_kinds(NON_IDEMPOTENT, copy(1.0), copy(1.2, 1, 2), ResponseReceived(1.3, 200)) == [
        ViolationKind.SECOND_COPY
    ]


def test_an_earlier_copy_that_completes_after_the_retry_is_a_violation():
    late = copy(1.5, 0, 1, began_at=1.0)
    assert violation_kinds(NON_IDEMPOTENT, late, copy(1.2, 1, 2), ResponseReceived(1.3, 200)) == [
        ViolationKind.SECOND_COPY
    ]


def test_a_retry_after_the_rejection_of_the_first_copy_keeps_the_rule():
    events = (copy(1.0), AttemptRejected(1.1, 0), copy(1.2, 1, 2), ResponseReceived(1.3, 200))
    assert violation_kinds(NON_IDEMPOTENT, *events) == []


def test_a_retry_before_the_rejection_of_the_first_copy_is_a_violation():
    events = (copy(1.0), copy(1.2, 1, 2), AttemptRejected(1.25, 0), ResponseReceived(1.3, 200))
    assert violation_kinds(NON_IDEMPOTENT, *events) == [ViolationKind.SECOND_COPY]


def test_a_partly_read_attempt_that_was_rejected_is_ignored_once_it_is_complete():
    rest = copy(1.5, 0, 1, began_at=1.0)
    assert (
        violation_kinds(
            NON_IDEMPOTENT, AttemptRejected(1.1, 0), copy(1.2, 1, 2), rest, ResponseReceived(1.3, 200)
        )
        == []
    )


def test_a_retry_is_a_violation_unless_all_earlier_copies_were_rejected():
    events = (
        copy(1.0),
        AttemptRejected(1.1, 0),
        copy(1.2, 1, 2),
        copy(1.4, 2, 3),
        ResponseReceived(1.5, 200),
    )
    assert violation_kinds(NON_IDEMPOTENT, *events) == [ViolationKind.SECOND_COPY]


def test_an_idempotent_request_may_be_retried_and_rejected():
    assert violation_kinds(IDEMPOTENT, copy(1.0), copy(1.2, 1, 4), ResponseReceived(1.3, 503)) == []


@pytest.mark.parametrize(
    ("scope", "server", "violated"),
    [
        (Scope.ALL, 4, False),
        (Scope.ZONE, 3, False),
        (Scope.ZONE, 4, True),
        (Scope.CELL, 2, False),
        (Scope.CELL, 3, True),
        (Scope.CELL, 4, True),
    ],
)
def test_a_request_with_a_key_may_only_be_retried_in_its_group(scope, server, violated):
    kinds = violation_kinds(with_key(scope), copy(1.0), copy(1.2, 1, server), ResponseReceived(1.3, 200))
    assert kinds == ([ViolationKind.OUTSIDE_GROUP] if violated else [])


def test_either_group_of_a_server_that_moved_between_the_copies_is_accepted():
    moved = {3: [PLACEMENTS[3], Placement(1.1, 0, 0)]}
    assert violation_kinds(with_key(Scope.CELL), copy(1.0), copy(1.2, 1, 3), placements=moved) == []


@pytest.mark.parametrize(
    ("scope", "new_neighbour", "old_neighbour"), [(Scope.CELL, 3, 2), (Scope.ZONE, 4, 3)]
)
def test_a_later_move_of_the_server_does_not_change_the_group_of_its_copy(
    scope, new_neighbour, old_neighbour
):
    placement = PLACEMENTS[new_neighbour]
    moved = {1: [PLACEMENTS[1], Placement(1.1, placement.zone, placement.cell)]}
    to_new_group = violation_kinds(with_key(scope), copy(1.0), copy(1.2, 1, new_neighbour), placements=moved)
    assert to_new_group == [ViolationKind.OUTSIDE_GROUP]
    assert violation_kinds(with_key(scope), copy(1.0), copy(1.2, 1, old_neighbour), placements=moved) == []


@pytest.mark.parametrize(("at", "violated"), [(1.9, False), (2.3, True)])
def test_the_old_group_of_a_server_is_accepted_until_the_propagation_timeout(at, violated):
    moved = {2: [PLACEMENTS[2], Placement(0.2, 0, 1)]}
    kinds = violation_kinds(with_key(Scope.CELL, 10.0), copy(0.1), copy(at, 1, 2), placements=moved)
    assert kinds == ([ViolationKind.OUTSIDE_GROUP] if violated else [])


def test_an_unread_copy_may_have_been_sent_before_a_move():
    moved = {2: [PLACEMENTS[2], Placement(0.2, 0, 1)]}
    assert (
        violation_kinds(
            with_key(Scope.CELL, 10.0), copy(0.1), copy(2.9, 1, 2, not_before=1.9), placements=moved
        )
        == []
    )


@pytest.mark.parametrize(("interval", "violated"), [(0.9, False), (1.04, False), (1.06, True)])
def test_a_request_with_a_key_may_only_be_retried_in_its_window_and_the_slack(interval, violated):
    kinds = violation_kinds(with_key(Scope.ALL), copy(1.0), copy(1.0 + interval, 1, 2))
    assert kinds == ([ViolationKind.OUTSIDE_WINDOW] if violated else [])


def test_the_window_begins_with_the_first_byte_of_the_first_copy():
    assert violation_kinds(with_key(Scope.ALL), copy(1.5, began_at=1.0), copy(2.1, 1, 2)) == [
        ViolationKind.OUTSIDE_WINDOW
    ]


def test_a_copy_that_is_read_late_is_judged_by_its_earliest_arrival():
    assert violation_kinds(with_key(Scope.ALL), copy(1.0), copy(3.0, 1, 2, not_before=1.9)) == []


def test_a_rejected_copy_does_not_start_the_window():
    events = (copy(1.0), AttemptRejected(1.1, 0), copy(2.5, 1, 4), ResponseReceived(2.6, 200))
    assert violation_kinds(with_key(Scope.CELL), *events) == []


def test_a_concurrent_copy_is_a_violation_only_without_hedging():
    events = (copy(1.0), copy(1.2, 1, 2), AttemptEnded(1.4, 0))
    assert violation_kinds(IDEMPOTENT, *events, hedging=False) == [ViolationKind.CONCURRENT_COPY]
    assert violation_kinds(IDEMPOTENT, *events, hedging=True) == []


def test_a_second_copy_after_the_end_of_the_first_is_not_concurrent():
    assert violation_kinds(IDEMPOTENT, copy(1.0), AttemptEnded(1.1, 0), copy(1.2, 1, 2), hedging=False) == []


def test_a_copy_whose_rest_is_read_after_the_retry_is_not_concurrent():
    late = copy(1.4, 0, 1, began_at=1.0)
    assert violation_kinds(IDEMPOTENT, late, copy(1.2, 1, 2), AttemptEnded(1.4, 0), hedging=False) == []


def test_an_unread_copy_is_not_concurrent_with_one_read_earlier():
    unread = copy(1.2, 1, 2, not_before=0.5)
    assert violation_kinds(IDEMPOTENT, copy(1.0), unread, AttemptEnded(1.4, 0), hedging=False) == []


# The judge: final responses and closes


@pytest.mark.parametrize("code", [429, 503])
@pytest.mark.parametrize("request_class", [NON_IDEMPOTENT, with_key(Scope.ZONE), with_key(Scope.CELL)])
def test_a_rejection_is_a_violation_if_a_copy_may_have_run(request_class, code):
    assert violation_kinds(request_class, copy(1.0), ResponseReceived(1.3, code)) == [ViolationKind.REJECTED]


def test_a_rejection_is_a_violation_if_a_copy_completes_later():
    assert violation_kinds(NON_IDEMPOTENT, ResponseReceived(1.3, 503), copy(1.5, began_at=1.0)) == [
        ViolationKind.REJECTED
    ]


def test_a_rejection_is_allowed_if_no_copy_can_have_run_or_all_servers_drop_retries():
    assert violation_kinds(NON_IDEMPOTENT, ResponseReceived(1.3, 503)) == []
    assert (
        violation_kinds(NON_IDEMPOTENT, copy(1.0), AttemptRejected(1.1, 0), ResponseReceived(1.3, 503)) == []
    )
    assert violation_kinds(with_key(Scope.ALL), copy(1.0), ResponseReceived(1.3, 503)) == []


def test_a_rejection_is_a_violation_if_the_server_rejects_the_copy_only_afterwards():
    assert violation_kinds(
        NON_IDEMPOTENT, copy(1.0), ResponseReceived(1.3, 503), AttemptRejected(1.4, 0)
    ) == [ViolationKind.REJECTED]


@pytest.mark.parametrize("code", [200, 409, 500, 502, 504])
def test_a_response_that_does_not_invite_a_retry_keeps_the_rule(code):
    assert violation_kinds(NON_IDEMPOTENT, copy(1.0), ResponseReceived(1.3, code)) == []


def test_a_close_without_a_response_is_a_violation_if_a_copy_may_have_run():
    assert violation_kinds(
        NON_IDEMPOTENT, copy(1.0), ConnectionClosed(1.3, response_begun=False, killed=False)
    ) == [ViolationKind.SILENT_CLOSE]


@pytest.mark.parametrize("closed", [ConnectionClosed(1.3, True, False), ConnectionClosed(1.3, False, True)])
def test_a_close_within_a_response_or_of_a_killed_sidecar_is_allowed(closed):
    assert violation_kinds(NON_IDEMPOTENT, copy(1.0), closed) == []


def test_a_close_is_not_judged_by_copies_of_the_request_resent_after_it():
    closed, resent = (
        ConnectionClosed(1.3, response_begun=False, killed=False),
        RequestSent(1.4, 0, "order", 100, 2),
    )
    assert violation_kinds(NON_IDEMPOTENT, closed, resent, copy(1.5), ResponseReceived(1.6, 200)) == []
    assert violation_kinds(NON_IDEMPOTENT, copy(1.2), closed, resent, ResponseReceived(1.6, 409)) == [
        ViolationKind.SILENT_CLOSE
    ]


def test_closes_and_rejections_after_the_client_disconnected_are_ignored():
    events = (
        copy(1.0),
        ClientDisconnected(1.1, "close"),
        ConnectionClosed(1.2, False, False),
        ResponseReceived(1.3, 503),
    )
    assert violation_kinds(NON_IDEMPOTENT, *events) == []
