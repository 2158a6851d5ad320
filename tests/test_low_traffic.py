"""Sidecars with low traffic: one small test for each failure found in fleets of full size."""

import pytest
from helpers import (
    MS,
    SECOND,
    START,
    actions_of_type,
    endpoint,
    fire_timers,
    request,
    send_one,
    serve_requests,
)
from helpers import make_balancer as make_any

from ochreflow.policy.interface import (
    Effect,
    Endpoint,
    ListKind,
    Membership,
    Outcome,
    ProbeResult,
    Send,
    State,
    Status,
)
from ochreflow.policy.state_records import InFlightAttempt


def make(**more):
    return make_any(fleet_size=400, **more)


def trickle(balancer, now, idents, duration_ns, gap=SECOND):
    """Serve one request at a time, `gap` ns apart; return the time and the servers used, in order."""
    used = []
    for ident in idents:
        now += gap
        sent = send_one(balancer, now, ident)
        used.append(sent.server)
        latency = duration_ns(sent.server)
        balancer.handle(now + latency, Outcome(ident, 0, sent.server, Status.OK, latency, True))
    return now, used


def test_a_sidecar_with_low_traffic_samples_few_servers_and_a_busy_one_samples_all():
    """If all servers are sampled, each gets 2 requests a minute, too few to detect a slow or hung one."""
    entries = [endpoint(n) for n in range(40)]
    low_traffic, now = make(entries=entries)
    assert len(set(trickle(low_traffic, now, range(60), lambda server: 40 * MS)[1])) <= 4
    busy, now = make(entries=entries)
    assert len(serve_requests(busy, now, range(1500), 10 * MS)[1]) == 40


def test_all_servers_are_sampled_where_they_outnumber_sidecars_even_with_low_traffic():
    """Guards against a small subset in a restarted sidecar, one of four, that gets half of the traffic."""
    balancer, now = make_any(entries=[endpoint(n) for n in range(40)], fleet_size=4)
    assert len(set(trickle(balancer, now, range(60), lambda server: 40 * MS)[1])) > 20


def test_sidecars_sample_different_servers():
    entries = [endpoint(n) for n in range(40)]
    used = set()
    for seed in range(60):
        balancer, now = make(entries=entries, seed=seed)
        used |= set(trickle(balancer, now, range(6), lambda server: 40 * MS)[1])
    assert len(used) > 30


def test_a_request_is_sent_outside_the_subset_if_no_server_in_the_subset_is_eligible():
    """A retry with a key must stay in the cell of its first server, which may be alone in the subset."""
    entries = [endpoint(n, cell=n // 2) for n in range(40)]
    retried = []
    for seed in range(20):
        balancer, now = make(entries=entries, effect=Effect.IDEMPOTENT_WITH_KEY, seed=seed)
        first = send_one(balancer, now, 1).server
        actions = balancer.handle(now + MS, Outcome(1, 0, first, Status.RESET, MS, False))
        done = fire_timers(balancer, now + MS, actions, now + SECOND)
        retried += [action.server - first for _, action in done if isinstance(action, Send)]
    assert len(retried) == 20 and {abs(step) for step in retried} == {1}  # its neighbour, of the same cell


def test_an_overloaded_zone_and_a_slow_kind_get_fewer_requests_within_forty_answers():
    """Guards against overload, within 2 s of a run, of a zone with 61% of traffic and 31% of capacity."""
    for name in ("zone", "kind"):
        entries = [
            Endpoint(n, n % 2 if name == "zone" else 0, n % 2 if name == "kind" else 0, 0, State.READY)
            for n in range(40)
        ]
        early = late = 0
        bias_differences = 0.0
        for seed in range(30):
            balancer, now = make(entries=entries, seed=seed)
            _, used = trickle(balancer, now, range(40), lambda server: (40 if server % 2 else 120) * MS)
            early += sum(1 - server % 2 for server in used[:5])
            late += sum(1 - server % 2 for server in used[-5:])
            bias_differences += (
                balancer.picker.group(balancer.endpoints.servers[1]).weight_bias
                - balancer.picker.group(balancer.endpoints.servers[0]).weight_bias
            )
        assert late < 0.4 * 150 and late < 0.8 * early
        assert bias_differences > 30 * 0.3  # the sampling weights differ as well


def test_a_server_without_answers_counts_at_the_mean_of_its_kind():
    entries = [Endpoint(n, 0, n % 2, 0, State.READY) for n in range(40)]
    balancer, now = make(entries=entries)
    now, _ = trickle(balancer, now, range(40), lambda server: (40 if server % 2 else 120) * MS)
    unheard = {
        server.kind: balancer.picker.estimated_relative_latency(server)
        for server in balancer.endpoints.outside_subset
        if not server.samples
    }
    assert unheard[1] < unheard[0]
    assert unheard[1] == balancer.picker.groups[1, False].relative_latency < 1.0


def test_restarted_servers_are_used_once_listed_but_not_by_all_sidecars_at_once():
    """Guards against a restarted third of a fleet that stays idle for 14 s, until it has earned tokens."""
    warm = [endpoint(n) for n in range(1, 9)]
    restarted_at = START + 5 * SECOND
    first = []
    for seed in range(200):
        balancer, now = make(entries=warm, seed=seed)
        now, _ = trickle(balancer, now, range(10), lambda server: 50 * MS, SECOND // 2)
        assert now == restarted_at
        balancer.handle(now, Membership(ListKind.DELTA, 2, [endpoint(9, started=now)]))
        _, used = trickle(balancer, now, range(10, 30), lambda server: 50 * MS, SECOND // 2)
        if 9 in used:
            first.append(used.index(9))
    assert len([when for when in first if when < 6]) > 10
    assert len([when for when in first if when == 0]) <= 10


def test_a_new_sample_outweighs_old_answers():
    balancer, now = make(entries=[endpoint(n) for n in range(40)], effect=Effect.NON_IDEMPOTENT)
    now, used = trickle(balancer, now, range(40), lambda server: 40 * MS)
    server = balancer.endpoints.servers[used[-1]]
    before = server.relative_latency
    balancer.outcome_recorder.record_sample(server, 10.0)  # at once: little weight
    small_change = server.relative_latency - before
    server.relative_latency = before
    balancer.context.now += 20 * SECOND
    balancer.outcome_recorder.record_sample(server, 10.0)
    assert server.relative_latency - before > 4 * small_change


def test_invalid_load_reports_are_ignored():
    balancer, now = make(entries=[endpoint(n) for n in range(40)], report_columns=("qps", "inflight"))
    server = balancer.endpoints.servers[0]
    balancer.handle(now, ProbeResult(0, Status.OK, MS, (1.0, 3.0)))
    before = server.load, server.load_reported_at
    assert before == (3.0, now)
    for invalid_report in ((), (1.0,), (1.0, float("nan")), (1.0, -3.0), (1.0, float("inf"))):
        balancer.picker.record_load_report(server, invalid_report)
    assert (server.load, server.load_reported_at) == before


def test_a_sidecar_with_low_traffic_sheds_in_overload_and_recovers():
    """Guards against 1476 sidecars that overload 88 servers with one request in flight each (i032b0e)."""
    balancer, now = make(entries=[endpoint(n) for n in range(40)], effect=Effect.NON_IDEMPOTENT)
    rejected = {}
    ident = 0
    for phase, latency in (("before", 40 * MS), ("crowded", 900 * MS), ("after", 40 * MS)):
        rejected[phase] = 0
        for step in range(60):
            now += SECOND
            ident += 1
            sent = actions_of_type(balancer.handle(now, request(ident, now)), Send)
            rejected[phase] += not sent and step >= 20
            for action in sent:
                done = Outcome(ident, 0, action.server, Status.OK, latency, True)
                balancer.handle(now + latency, done)
    assert rejected["before"] == rejected["after"] == 0
    assert 4 < rejected["crowded"] < 36


@pytest.mark.parametrize("servers, failures", [(60, 1), (6, 2)])
def test_a_rarely_used_server_is_ejected_after_one_failed_connect(servers, failures):
    """Guards against requiring two failures: then 3 of 30 lost servers were ejected in 5 s (herd+vast)."""
    balancer, now = make_any(servers=servers, effect=Effect.NON_IDEMPOTENT, fleet_size=40)
    for ident in range(100):
        now += 50 * MS
        sent = send_one(balancer, now, ident)
        balancer.handle(now, Outcome(ident, 0, sent.server, Status.OK, MS, True))
    server = balancer.endpoints.servers[sent.server]
    for failure in range(1, failures + 1):
        assert not server.ejected
        send_to(balancer, now, 1000 + failure, server)
        balancer.handle(now, Outcome(1000 + failure, 0, server.id, Status.CONNECT_FAILED, MS, True))
    assert server.ejected


def send_to(balancer, now, ident, server):
    """Record an attempt at this server in place of the picked one."""
    balancer.handle(now, request(ident, now))
    balancer.pending[ident].attempts[-1][0].in_flight.pop((ident, 0), None)
    server.in_flight[ident, 0] = InFlightAttempt(now, 0)
