"""Retries by outcome and class, their backoff and their budget."""

import pytest
from helpers import MS, SECOND, actions_of_type, fire_timers, make_balancer, request, send_one, serve_requests

from ochreflow.policy.interface import Effect, Fail, Outcome, Reject, Send, Status, Timer


def _end_attempt(balancer, now, ident, server, status, attempt=0, final=False):
    return balancer.handle(now, Outcome(ident, attempt, server, status, 20 * MS, final))


def _actions_within_a_second(balancer, now, actions):
    """Return the given actions and those of all timers within a second, each with its time."""
    return [(now, action) for action in actions] + fire_timers(balancer, now, actions, now + SECOND)


@pytest.mark.parametrize("effect", list(Effect))
@pytest.mark.parametrize("status", [Status.REJECTED, Status.CONNECT_FAILED])
def test_an_attempt_that_never_ran_is_retried_elsewhere_after_a_backoff(effect, status):
    balancer, now = make_balancer(effect=effect)
    first = send_one(balancer, now, 1)
    done = _actions_within_a_second(balancer, now, _end_attempt(balancer, now, 1, first.server, status))
    sends = [(when, a) for when, a in done if isinstance(a, Send)]
    assert sends[0][0] > now
    assert sends[0][1].server != first.server


@pytest.mark.parametrize("status", [Status.TIMEOUT, Status.RESET])
def test_ambiguous_failures_end_non_idempotent_requests_with_a_failure(status):
    balancer, now = make_balancer(effect=Effect.NON_IDEMPOTENT)
    first = send_one(balancer, now, 1)
    done = _actions_within_a_second(balancer, now, _end_attempt(balancer, now, 1, first.server, status))
    assert [a for _, a in done if isinstance(a, Send | Reject | Fail)] == [Fail(1)]


@pytest.mark.parametrize("status", [Status.TIMEOUT, Status.RESET])
def test_ambiguous_failures_of_idempotent_requests_are_retried(status):
    balancer, now = make_balancer(effect=Effect.IDEMPOTENT)
    first = send_one(balancer, now, 1)
    done = _actions_within_a_second(balancer, now, _end_attempt(balancer, now, 1, first.server, status))
    assert [a.id for _, a in done if isinstance(a, Send)][:1] == [1]


def test_backoffs_are_jittered_and_grow_with_the_remaining_time():
    backoff_sums = {}
    for length in (SECOND, 4 * SECOND):
        backoffs = []
        for seed in range(20):
            balancer, now = make_balancer(effect=Effect.IDEMPOTENT, seed=seed)
            first = send_one(balancer, now, 1, length)
            done = _actions_within_a_second(
                balancer, now, _end_attempt(balancer, now, 1, first.server, Status.REJECTED)
            )
            backoffs.append(next(when for when, a in done if isinstance(a, Send)) - now)
        assert len(set(backoffs)) > 15
        backoff_sums[length] = sum(backoffs)
    assert 3 < backoff_sums[4 * SECOND] / backoff_sums[SECOND] < 5


def test_an_error_response_ends_the_request():
    balancer, now = make_balancer(effect=Effect.IDEMPOTENT)
    first = send_one(balancer, now, 1)
    actions = _end_attempt(balancer, now, 1, first.server, Status.ERROR)
    assert any(isinstance(a, Reject | Fail) for a in actions)


def test_a_request_without_remaining_time_is_rejected_at_once():
    balancer, now = make_balancer()
    actions = balancer.handle(now, request(5, now, 0))
    assert [type(a) for a in actions] == [Reject]


def test_simultaneous_failures_share_one_retry_budget():
    """Guards against a retry storm when a server is lost.

    All attempts there fail together. If a retry took its token only when it is sent, all of them would be
    scheduled on the same token.
    """
    balancer, now = make_balancer(servers=6, effect=Effect.IDEMPOTENT)
    now, _ = serve_requests(balancer, now, range(40), 20 * MS)  # first attempts, which earn tokens
    done = []
    for sent in [send_one(balancer, now, ident) for ident in range(1000, 1024)]:
        done += balancer.handle(now, Outcome(sent.id, 0, sent.server, Status.RESET, MS, False))
    rejected = sum(isinstance(action, Reject | Fail) for action in done)
    retried = []
    for step in range(1, 400):
        retried += actions_of_type(balancer.handle(now + step * 5 * MS, Timer(balancer.timer_token)), Send)
    # The retries are limited to a share of the 64 first attempts, not of the failures.
    assert 0 < len(retried) < 0.2 * 64
    assert len(retried) + rejected == 24


def test_a_request_that_reached_no_server_is_retried_regardless_of_the_budget():
    """Guards against rejections by sidecars that start with an outdated list (scenario herd+vast).

    They rejected a third of their requests, each after one failed connect to a server that no longer existed.
    """
    balancer, now = make_balancer(servers=60, effect=Effect.NON_IDEMPOTENT, fleet_size=40)
    served = 0
    for ident in range(30):
        now += 200 * MS
        actions = balancer.handle(now, request(ident, now))
        attempt = 0
        while not actions_of_type(actions, Reject):
            if sent := actions_of_type(actions, Send):
                running = sent[0].server % 4 < 2  # half of each zone
                status = Status.OK if running else Status.CONNECT_FAILED
                actions = balancer.handle(
                    now, Outcome(ident, attempt, sent[0].server, status, MS, bool(running))
                )
                served += running
                attempt += 1
                if running:
                    break
            else:
                now += 5 * MS
                actions = balancer.handle(now, Timer(balancer.timer_token))
    assert served >= 27
    # One failed connect is enough for a sidecar that sends to a server this rarely.
    assert len(balancer.endpoints.ejected) > 5


@pytest.mark.parametrize(
    "status, cost", [(Status.CONNECT_FAILED, 0.0), (Status.REJECTED, 0.25), (Status.RESET, 1.0)]
)
def test_a_retry_costs_tokens_by_the_work_that_the_previous_attempt_may_have_caused(status, cost):
    balancer, now = make_balancer(servers=6, effect=Effect.IDEMPOTENT)
    sent = send_one(balancer, now, 1)
    balancer.retry_policy.tokens = 1.0
    balancer.handle(now + MS, Outcome(1, 0, sent.server, status, MS, False))
    assert balancer.pending[1].retry_scheduled and balancer.retry_policy.tokens == 1.0 - cost


def test_at_most_one_request_in_ten_goes_to_an_ejected_server_even_if_many_are_half_open():
    balancer, now = make_balancer(servers=60, effect=Effect.NON_IDEMPOTENT, fleet_size=40)
    for server in list(balancer.endpoints.servers.values())[:30]:
        balancer.outlier_detector.eject(server)
        server.half_open_at = now
    tried = [balancer.endpoints.servers[send_one(balancer, now, ident).server].ejected for ident in range(30)]
    assert sum(tried) == 3
