"""Rule `duplicate` in the decision module: by what later copies are judged, and what ends prove.

Each crossing is forced. A copy counts in the group, at the time and in the class in which it was sent.
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

RETRY_TIME_NS = 300 * MS  # enough for a retry that is allowed to be scheduled and sent


def dispositions(simulation, call):
    return [response.disposition for response in simulation.rule.requests[call.request_id].responses]


def copies(simulation, call):
    return simulation.rule.requests[call.request_id].copies


# Keyed classes: the group and the window of the first copy


def moved(simulation, server, how):
    """The list moves a server to another zone and cell, in place or with a restart."""
    known = simulation.endpoints[server]
    known.zone, known.cell = 1 - known.zone, (known.cell + 1) % 3
    if how == "restart":
        known.started_ns = simulation.loop.now
    simulation.publish()


@pytest.mark.parametrize("how", ["in place", "restart"])
@pytest.mark.parametrize("cls", ["keyed by zone", "keyed by cell"])
@pytest.mark.parametrize("seed", range(6))
def test_a_retry_goes_to_the_group_in_which_the_first_copy_ran(cls, how, seed):
    """The server of the first copy has gone over to another group since: that group knows nothing of it."""
    simulation = EngineSimulation([cls], servers=12, seed=seed)
    call = simulation.submit()
    attempt = simulation.attempt(call)
    attempt.connect()
    moved(simulation, attempt.server, how)
    simulation.upstream_transport.has_idle_connection = True
    attempt.answer(Status.RESET)
    simulation.run(RETRY_TIME_NS)
    assert len(copies(simulation, call)) > 1
    simulation.finish()


@pytest.mark.parametrize("seed", range(6))
def test_a_first_copy_that_began_after_its_server_moved_ran_in_the_new_group(seed):
    simulation = EngineSimulation(["keyed by cell"], servers=12, seed=seed)
    call = simulation.submit()
    attempt = simulation.attempt(call)
    moved(simulation, attempt.server, "in place")
    attempt.connect()
    simulation.upstream_transport.has_idle_connection = True
    attempt.answer(Status.RESET)
    simulation.run(RETRY_TIME_NS)
    assert len(copies(simulation, call)) > 1
    simulation.finish()


def test_the_window_of_a_request_whose_body_was_still_coming_runs_from_its_first_byte():
    """Its last byte went out late: servers that count from its beginning have forgotten it sooner."""
    simulation = EngineSimulation(["keyed everywhere"], warm_up_ns=0)
    call = simulation.submit(complete=False)
    simulation.end_body(call)
    simulation.upstream_transport.socket_full = True
    attempt = simulation.attempt(call)
    attempt.connect()
    simulation.run(WINDOW_NS - 100 * MS)
    attempt.finish()
    simulation.upstream_transport.socket_full = False
    simulation.upstream_transport.has_idle_connection = True
    simulation.run(200 * MS)
    attempt.answer(Status.RESET)
    simulation.finish()


@pytest.mark.parametrize("unproven", [Status.TIMEOUT, Status.RESET, Status.CANCELLED])
def test_a_first_copy_that_may_have_run_bounds_all_later_ones_by_its_window(unproven):
    """Whatever ends in between: attempts proven not to have run move no window."""
    balancer, now = make_balancer(
        effect=Effect.IDEMPOTENT_WITH_KEY, scope=Scope.ALL, max_attempts=9, hedging=False
    )
    sent = send_one(balancer, now, 1, 20 * SECOND)
    first = now
    actions = balancer.handle(now + MS, Outcome(1, 0, sent.server, unproven, MS, False))
    when = now + MS
    for number in range(1, 9):
        later = [
            one for one in fire_timers(balancer, when, actions, when + SECOND) if isinstance(one[1], Send)
        ]
        if not later:
            break
        when, retry = later[0]
        assert when < first + 4 * SECOND
        actions = balancer.handle(when + MS, Outcome(1, number, retry.server, Status.REJECTED, MS, False))
        when += MS
    open_request = balancer.pending.get(1)
    if open_request is not None:
        server = next(iter(balancer.endpoints.servers.values()))
        balancer.context.now = first + 4 * SECOND
        assert not balancer.safety_rules.may_send(open_request, server)


# The class as it was when the request was taken


def test_a_class_is_never_changed_in_place():
    spec = EngineSimulation().settings.classes[0]
    with pytest.raises(FrozenInstanceError):
        spec.effect = Effect.IDEMPOTENT


def test_a_request_is_judged_by_its_class_as_it_was_taken():
    """A table in which its class is safe does not free what was taken while it was unsafe."""
    simulation = EngineSimulation()
    call = simulation.submit()
    simulation.attempt(call).connect()
    simulation.engine.balancer.context.settings.classes[0] = EngineSimulation(["safe"]).settings.classes[0]
    simulation.upstream_transport.has_idle_connection = True
    simulation.attempt(call).answer(Status.RESET)
    simulation.finish()
    assert dispositions(simulation, call) == [Disposition.ABORTED]
    assert len(copies(simulation, call)) == 1


# What ends prove


@pytest.mark.parametrize("second", [Status.CONNECT_FAILED, Status.NOT_SENT, Status.REJECTED])
def test_a_second_outcome_of_an_attempt_takes_nothing_back(second):
    balancer, now = make_balancer(effect=Effect.IDEMPOTENT_WITH_KEY, scope=Scope.CELL, entries=None)
    sent = send_one(balancer, now, 1)
    balancer.handle(now, Outcome(1, 0, sent.server, Status.RESET, MS, False))
    actions = balancer.handle(now, Outcome(1, 0, sent.server, second, MS, False))
    assert not balancer.pending[1].never_ran()
    assert not actions_of_type(actions, Reject)


def test_an_outcome_of_an_attempt_that_was_never_decided_sends_nothing():
    balancer, now = make_balancer(effect=Effect.NON_IDEMPOTENT)
    send_one(balancer, now, 1)
    actions = balancer.handle(now, Outcome(1, 5, 100, Status.CONNECT_FAILED, MS, False))
    done = actions + [action for _, action in fire_timers(balancer, now, actions, now + 3 * SECOND)]
    assert not actions_of_type(done, Send, Reject)


@pytest.mark.parametrize("status", list(Status))
def test_an_outcome_after_a_drop_sends_nothing(status):
    balancer, now = make_balancer(effect=Effect.NON_IDEMPOTENT)
    sent = send_one(balancer, now, 1)
    balancer.handle(now, RequestCancelled(1))
    actions = balancer.handle(now, Outcome(1, 0, sent.server, status, MS, False))
    done = actions + [action for _, action in fire_timers(balancer, now, actions, now + 3 * SECOND)]
    assert not actions_of_type(done, Send, Reject)


@pytest.mark.parametrize("status", list(Status))
def test_nothing_follows_an_answer_that_has_begun_whatever_its_end(status):
    balancer, now = make_balancer(effect=Effect.NON_IDEMPOTENT)
    sent = send_one(balancer, now, 1)
    balancer.handle(now, StreamStarted(1, 0, sent.server, MS))
    actions = balancer.handle(now, Outcome(1, 0, sent.server, status, MS, False))
    done = actions + [action for _, action in fire_timers(balancer, now, actions, now + 3 * SECOND)]
    assert not actions_of_type(done, Send)


def test_an_upload_that_is_through_is_counted_from_the_attempt_that_made_it():
    balancer, now = make_balancer(effect=Effect.NON_IDEMPOTENT)
    actions = balancer.handle(now, Request(1, 0, 0, now + 2 * SECOND, uploading=True))
    first = actions_of_type(actions, Send)[0]
    actions = balancer.handle(now, Outcome(1, 0, first.server, Status.CONNECT_FAILED, MS, False))
    (when, second), *_ = [
        one for one in fire_timers(balancer, now, actions, now + SECOND) if isinstance(one[1], Send)
    ]
    balancer.handle(when, BodyUploaded(1, when + 2 * SECOND))
    assert (1, 1) in balancer.endpoints.servers[second.server].in_flight
    actions = balancer.handle(when, Outcome(1, 1, second.server, Status.RESET, MS, False))
    assert not actions_of_type(actions, Reject, Send)


def test_a_drained_list_does_not_free_a_request_that_may_have_run():
    balancer, now = make_balancer(effect=Effect.NON_IDEMPOTENT)
    sent = send_one(balancer, now, 1)
    gone = balancer.endpoints.servers[sent.server]
    balancer.handle(now, Membership(ListKind.FULL, 2, []))
    assert gone.ready and not gone.listed and gone.id in balancer.endpoints.servers
    actions = balancer.handle(now, Outcome(1, 0, sent.server, Status.RESET, MS, False))
    assert not actions_of_type(actions, Send, Reject)


# A fault as an attempt is decided


def test_a_fault_as_an_attempt_is_decided_leaves_the_numbers_of_attempts_in_step(monkeypatch):
    simulation = EngineSimulation(["keyed by cell"])
    balancer = simulation.engine.balancer
    allows = balancer.slow_start.allows

    def fail_to_take(server, class_index, *, consume):
        if consume:
            monkeypatch.setattr(balancer.slow_start, "allows", allows)
            raise RuntimeError("injected")
        return allows(server, class_index, consume=consume)

    monkeypatch.setattr(balancer.slow_start, "allows", fail_to_take)
    call = simulation.submit()
    pending = next(iter(simulation.engine.requests.pending.values()))
    assert pending.attempts == len(balancer.pending[pending.id].attempts)
    simulation.finish()
    assert len(dispositions(simulation, call)) == 1
