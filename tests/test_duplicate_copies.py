"""Tests the rule `duplicate` in the decision module: which later copies are allowed, and what outcomes prove.

Each test forces one race. A copy is judged by its group, its time and its request class when it was sent.
"""

from dataclasses import FrozenInstanceError

import pytest
from engine_simulation import WINDOW_NS, EngineSimulation
from helpers import MS, SECOND, actions_of_type, fire_timers, make_balancer, send_one

from ochreflow.core.stats import Disposition
from ochreflow.policy.interface import (
    BodyUploaded,
    Effect,
    ListKind,
    Membership,
    Outcome,
    Reject,
    Request,
    RequestCancelled,
    Scope,
    Send,
    Status,
    StreamStarted,
)

RETRY_TIME_NS = 300 * MS  # long enough to schedule and send an allowed retry


def dispositions(simulation, request):
    return [response.disposition for response in simulation.rule.requests[request.request_id].responses]


def copies(simulation, request):
    return simulation.rule.requests[request.request_id].copies


# Classes with idempotency keys: the group and the deduplication window of the first copy


def move_server(simulation, server, change):
    """Publish a list that moves a server to another zone and cell, "in place" or with a "restart"."""
    endpoint = simulation.endpoints[server]
    endpoint.zone, endpoint.cell = 1 - endpoint.zone, (endpoint.cell + 1) % 3
    if change == "restart":
        endpoint.started_ns = simulation.loop.now
    simulation.publish()


@pytest.mark.parametrize("change", ["in place", "restart"])
@pytest.mark.parametrize("class_name", ["keyed by zone", "keyed by cell"])
@pytest.mark.parametrize("seed", range(6))
def test_a_retry_goes_to_the_group_in_which_the_first_copy_ran(class_name, change, seed):
    """The server of the first copy has moved since, to a group that has no record of the request."""
    simulation = EngineSimulation([class_name], servers=12, seed=seed)
    request = simulation.submit()
    attempt = simulation.attempt(request)
    attempt.connect()
    move_server(simulation, attempt.server, change)
    simulation.upstream_transport.has_idle_connection = True
    attempt.answer(Status.RESET)
    simulation.run(RETRY_TIME_NS)
    assert len(copies(simulation, request)) > 1
    simulation.finish()


@pytest.mark.parametrize("seed", range(6))
def test_a_first_copy_sent_after_its_server_moved_counts_in_the_new_group(seed):
    simulation = EngineSimulation(["keyed by cell"], servers=12, seed=seed)
    request = simulation.submit()
    attempt = simulation.attempt(request)
    move_server(simulation, attempt.server, "in place")
    attempt.connect()
    simulation.upstream_transport.has_idle_connection = True
    attempt.answer(Status.RESET)
    simulation.run(RETRY_TIME_NS)
    assert len(copies(simulation, request)) > 1
    simulation.finish()


def test_the_deduplication_window_of_a_request_with_a_slow_body_starts_at_its_first_byte():
    """A server may measure the window from the first byte; the last byte is sent much later."""
    simulation = EngineSimulation(["keyed everywhere"], warm_up_ns=0)
    request = simulation.submit(complete=False)
    simulation.end_body(request)
    simulation.upstream_transport.socket_full = True
    attempt = simulation.attempt(request)
    attempt.connect()
    simulation.run(WINDOW_NS - 100 * MS)
    attempt.finish()
    simulation.upstream_transport.socket_full = False
    simulation.upstream_transport.has_idle_connection = True
    simulation.run(200 * MS)
    attempt.answer(Status.RESET)
    simulation.finish()


@pytest.mark.parametrize("status", [Status.TIMEOUT, Status.RESET, Status.CANCELLED])
def test_no_retry_is_sent_after_the_window_of_a_first_copy_that_may_have_run(status):
    """Rejected attempts in between did not run and must not extend the window."""
    balancer, now = make_balancer(
        effect=Effect.IDEMPOTENT_WITH_KEY, scope=Scope.ALL, max_attempts=9, hedging=False
    )
    sent = send_one(balancer, now, 1, 20 * SECOND)
    first_sent = now
    actions = balancer.handle(now + MS, Outcome(1, 0, sent.server, status, MS, False))
    when = now + MS
    for number in range(1, 9):
        retries = [
            timed
            for timed in fire_timers(balancer, when, actions, when + SECOND)
            if isinstance(timed[1], Send)
        ]
        if not retries:
            break
        when, retry = retries[0]
        assert when < first_sent + 4 * SECOND
        actions = balancer.handle(when + MS, Outcome(1, number, retry.server, Status.REJECTED, MS, False))
        when += MS
    open_request = balancer.pending.get(1)
    if open_request is not None:
        server = next(iter(balancer.endpoints.servers.values()))
        balancer.context.now = first_sent + 4 * SECOND
        assert not balancer.safety_rules.may_send(open_request, server)


# The request class at the time when the request was accepted


def test_a_request_class_is_immutable():
    request_class = EngineSimulation().settings.classes[0]
    with pytest.raises(FrozenInstanceError):
        request_class.effect = Effect.IDEMPOTENT


def test_a_request_keeps_the_class_definition_with_which_it_was_accepted():
    """A reload that makes the class idempotent must not allow a retry of a request accepted before it."""
    simulation = EngineSimulation()
    request = simulation.submit()
    simulation.attempt(request).connect()
    simulation.engine.balancer.context.settings.classes[0] = EngineSimulation(["safe"]).settings.classes[0]
    simulation.upstream_transport.has_idle_connection = True
    simulation.attempt(request).answer(Status.RESET)
    simulation.finish()
    assert dispositions(simulation, request) == [Disposition.ABORTED]
    assert len(copies(simulation, request)) == 1


# What outcomes prove


@pytest.mark.parametrize("second", [Status.CONNECT_FAILED, Status.NOT_SENT, Status.REJECTED])
def test_a_second_outcome_of_an_attempt_does_not_prove_that_it_never_ran(second):
    balancer, now = make_balancer(effect=Effect.IDEMPOTENT_WITH_KEY, scope=Scope.CELL, entries=None)
    sent = send_one(balancer, now, 1)
    balancer.handle(now, Outcome(1, 0, sent.server, Status.RESET, MS, False))
    actions = balancer.handle(now, Outcome(1, 0, sent.server, second, MS, False))
    assert not balancer.pending[1].never_ran()
    assert not actions_of_type(actions, Reject)


def test_an_outcome_of_an_unknown_attempt_causes_no_send_or_reject():
    balancer, now = make_balancer(effect=Effect.NON_IDEMPOTENT)
    send_one(balancer, now, 1)
    actions = balancer.handle(now, Outcome(1, 5, 100, Status.CONNECT_FAILED, MS, False))
    all_actions = actions + [action for _, action in fire_timers(balancer, now, actions, now + 3 * SECOND)]
    assert not actions_of_type(all_actions, Send, Reject)


@pytest.mark.parametrize("status", list(Status))
def test_an_outcome_after_a_cancellation_causes_no_send_or_reject(status):
    balancer, now = make_balancer(effect=Effect.NON_IDEMPOTENT)
    sent = send_one(balancer, now, 1)
    balancer.handle(now, RequestCancelled(1))
    actions = balancer.handle(now, Outcome(1, 0, sent.server, status, MS, False))
    all_actions = actions + [action for _, action in fire_timers(balancer, now, actions, now + 3 * SECOND)]
    assert not actions_of_type(all_actions, Send, Reject)


@pytest.mark.parametrize("status", list(Status))
def test_no_retry_follows_a_response_that_has_started_for_any_outcome(status):
    balancer, now = make_balancer(effect=Effect.NON_IDEMPOTENT)
    sent = send_one(balancer, now, 1)
    balancer.handle(now, StreamStarted(1, 0, sent.server, MS))
    actions = balancer.handle(now, Outcome(1, 0, sent.server, status, MS, False))
    all_actions = actions + [action for _, action in fire_timers(balancer, now, actions, now + 3 * SECOND)]
    assert not actions_of_type(all_actions, Send)


def test_a_complete_upload_is_attributed_to_the_attempt_that_sent_it():
    balancer, now = make_balancer(effect=Effect.NON_IDEMPOTENT)
    actions = balancer.handle(now, Request(1, 0, 0, now + 2 * SECOND, uploading=True))
    first = actions_of_type(actions, Send)[0]
    actions = balancer.handle(now, Outcome(1, 0, first.server, Status.CONNECT_FAILED, MS, False))
    (when, second), *_ = [
        timed for timed in fire_timers(balancer, now, actions, now + SECOND) if isinstance(timed[1], Send)
    ]
    balancer.handle(when, BodyUploaded(1, when + 2 * SECOND))
    assert (1, 1) in balancer.endpoints.servers[second.server].in_flight
    actions = balancer.handle(when, Outcome(1, 1, second.server, Status.RESET, MS, False))
    assert not actions_of_type(actions, Reject, Send)


def test_an_empty_list_does_not_allow_a_retry_or_reject_of_a_request_that_may_have_run():
    balancer, now = make_balancer(effect=Effect.NON_IDEMPOTENT)
    sent = send_one(balancer, now, 1)
    removed = balancer.endpoints.servers[sent.server]
    balancer.handle(now, Membership(ListKind.FULL, 2, []))
    assert removed.ready and not removed.listed and removed.id in balancer.endpoints.servers
    actions = balancer.handle(now, Outcome(1, 0, sent.server, Status.RESET, MS, False))
    assert not actions_of_type(actions, Send, Reject)


# An exception while an attempt is decided


def test_an_exception_while_an_attempt_is_decided_keeps_the_attempt_counts_equal(monkeypatch):
    simulation = EngineSimulation(["keyed by cell"])
    balancer = simulation.engine.balancer
    allows = balancer.slow_start.allows

    def fail_on_consume(server, class_index, *, consume):
        if consume:
            monkeypatch.setattr(balancer.slow_start, "allows", allows)
            raise RuntimeError("injected")
        return allows(server, class_index, consume=consume)

    monkeypatch.setattr(balancer.slow_start, "allows", fail_on_consume)
    request = simulation.submit()
    pending = next(iter(simulation.engine.requests.pending.values()))
    assert pending.attempts == len(balancer.pending[pending.id].attempts)
    simulation.finish()
    assert len(dispositions(simulation, request)) == 1
