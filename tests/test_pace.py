"""Slow start: tokens and refunds, the load of warm servers, and cold servers in a simulated fleet."""

import pytest
from helpers import MS, SECOND, START, endpoint, make_balancer, send_one, serve_requests
from test_operator_file import command

from ochreflow.policy.interface import ListKind, Membership
from ochreflow.simulation.slow_start_metrics import slack, slow_start_ramp_integral, worst_window
from ochreflow.simulation.slow_start_report import REPLACED_SHARES
from ochreflow.simulation.slow_start_run import SlowStartCase, play


def restart_server(balancer, now, number=9, cell=0):
    """Have a server start now, with an endpoint update at once; return its record."""
    balancer.handle(now, Membership(ListKind.DELTA, 2, [endpoint(number, cell=cell, started=now)]))
    return balancer.endpoints.servers[number]


def test_tokens_of_an_attempt_without_a_connection_are_refunded_if_taken_since_the_latest_start():
    balancer, now = make_balancer(entries=[endpoint(1), endpoint(2)])
    server = restart_server(balancer, now)
    slow_start = balancer.slow_start
    sent = balancer.context.now = now + 10 * MS
    slow_start.allows(server, 0, consume=True)
    tokens_after_send = server.slow_start_tokens
    balancer.context.now += 200 * MS
    slow_start.refund_tokens(server, 0, sent)
    assert server.slow_start_tokens == tokens_after_send + balancer.latency.cost(0)
    # The tokens were taken before the latest start: the new incarnation gets no refund.
    server = restart_server(balancer, now + SECOND)
    balancer.context.now += SECOND
    slow_start.allows(server, 0, consume=False)
    fresh = server.slow_start_tokens
    slow_start.refund_tokens(server, 0, sent)
    assert server.slow_start_tokens == fresh


def test_an_attempt_between_a_start_and_its_notification_gets_no_refund():
    balancer, now = make_balancer(entries=[endpoint(1), endpoint(2)])
    slow_start = balancer.slow_start
    started, sent, notified_at = now, now + 100 * MS, now + SECOND
    balancer.handle(notified_at, Membership(ListKind.DELTA, 2, [endpoint(1, started=started)]))
    server = balancer.endpoints.servers[1]
    slow_start.allows(server, 0, consume=False)
    fresh = server.slow_start_tokens
    slow_start.refund_tokens(server, 0, sent)
    assert server.slow_start_tokens == fresh
    slow_start.refund_tokens(server, 0, notified_at)
    assert server.slow_start_tokens == fresh + balancer.latency.cost(0)


def test_a_warm_server_gets_no_refund():
    balancer, now = make_balancer(entries=[endpoint(1), endpoint(2)])
    server = balancer.endpoints.servers[1]
    balancer.slow_start.allows(server, 0, consume=True)
    balancer.slow_start.refund_tokens(server, 0, now)
    assert server.slow_start_tokens == 0.0


def test_a_start_time_ahead_of_the_sidecars_clock_does_not_fail_without_warm_up():
    balancer, now = make_balancer(entries=[endpoint(1, started=START + 5 * SECOND)], warm_up_ns=0)
    assert send_one(balancer, now, 1).server == 1


def test_answers_earn_no_tokens_once_the_load_of_warm_servers_is_known():
    """Guards against tokens for 1.5 requests for each answer: thirty sidecars overloaded one server."""
    balancer, now = make_balancer(entries=[endpoint(1), endpoint(2)], fleet_size=30)
    now, _ = serve_requests(balancer, now, range(100), 50 * MS)
    server = restart_server(balancer, now)
    balancer.slow_start.allows(server, 0, consume=True)
    tokens_after_send = server.slow_start_tokens
    balancer.slow_start.record_answer(server, 0)
    assert server.slow_start_tokens == tokens_after_send


def record_answers(balancer, now, rates, seconds=20):
    """Record answers of each server at its rate, in answers a second; return the time after that."""
    for tick in range(seconds * 100):
        at = now + tick * 10 * MS
        for number, rate in rates.items():
            if tick % (100 // rate) == 0:
                balancer.context.now = at
                balancer.slow_start.record_answer(balancer.endpoints.servers[number], 0)
    return now + seconds * SECOND


def make_with_traffic(entries, **settings):
    balancer, now = make_balancer(entries=entries, **settings)
    balancer.endpoints.first_request_at = now
    return balancer, now


def test_the_load_of_warm_servers_is_kept_while_none_is_warm():
    """A load estimate from all servers fell with their answers, so that a replaced fleet stayed unused."""
    balancer, now = make_with_traffic([endpoint(1), endpoint(2)], warm_up_ns=60 * SECOND)
    now = record_answers(balancer, now, {1: 10, 2: 10})
    balancer.handle(now, Membership(ListKind.DELTA, 2, [endpoint(n, started=now) for n in (1, 2)]))
    server = balancer.endpoints.servers[1]
    assert balancer.slow_start.baseline_load(server) == pytest.approx(10.0, rel=0.05)
    now = record_answers(balancer, now, {1: 1, 2: 1}, 30)
    assert balancer.slow_start.baseline_load(server) == pytest.approx(10.0, rel=0.05)


def test_the_baseline_load_is_that_of_warm_servers_not_of_all():
    balancer, now = make_with_traffic([endpoint(n) for n in (1, 2, 3, 4)])
    now = record_answers(balancer, now, dict.fromkeys((1, 2, 3, 4), 10))
    changes = [endpoint(n, started=now) for n in (1, 2, 3)]
    balancer.handle(now, Membership(ListKind.DELTA, 2, changes))
    now = record_answers(balancer, now, {1: 1, 2: 1, 3: 1, 4: 20}, 10)
    assert 10.0 < balancer.slow_start.baseline_load(balancer.endpoints.servers[1]) < 20.0


def test_the_baseline_load_of_a_cold_server_is_that_of_its_kind_and_cell():
    entries = [endpoint(number, cell=number % 2) for number in range(4)]
    for entry in entries:
        entry.kind = entry.server // 2
    balancer, now = make_with_traffic(entries)
    # The second kind answers twice as many as the first, and the second cell half as many as the first.
    now = record_answers(balancer, now, {0: 10, 1: 5, 2: 20, 3: 10})
    fresh = [endpoint(number + 10, cell=number % 2, started=now) for number in range(4)]
    for number, entry in enumerate(fresh):
        entry.kind = number // 2
    balancer.handle(now, Membership(ListKind.DELTA, 2, fresh))
    loads = [
        balancer.slow_start.baseline_load(balancer.endpoints.servers[number + 10]) for number in range(4)
    ]
    # The factor of a cell only reduces the load of a kind: servers in a better cell stay at the kind's mean.
    assert loads == pytest.approx([7.5, 5.0, 15.0, 10.0], rel=0.05)


def test_a_cell_without_a_warm_server_keeps_its_load_while_others_take_over_its_traffic():
    """Guards against a load of cold servers that falls as the last warm server serves more: 3.2, not 10."""
    entries = [endpoint(number, cell=int(number > 1)) for number in range(1, 6)]
    for entry in entries:
        entry.kind = entry.cell
    balancer, now = make_with_traffic(entries)
    now = record_answers(balancer, now, dict.fromkeys(range(1, 6), 10))
    for entry in entries[1:]:
        entry.started_ns = now
    balancer.handle(now, Membership(ListKind.DELTA, 2, entries[1:]))
    record_answers(balancer, now, {1: 50, 2: 1}, 8)
    assert balancer.slow_start.baseline_load(balancer.endpoints.servers[2]) == pytest.approx(10.0, rel=0.05)


def test_the_baseline_load_of_a_weak_kind_in_its_own_cell_is_not_reduced_twice():
    """Compared with all local servers, a kind with a load of 2 got 0.4 beside a kind with a load of 20."""
    entries = [endpoint(number, cell=number // 3) for number in range(6)]
    for entry in entries:
        entry.kind = entry.cell
    balancer, now = make_with_traffic(entries)
    now = record_answers(balancer, now, {0: 2, 1: 2, 2: 2, 3: 20, 4: 20, 5: 20})
    server = restart_server(balancer, now, 9, cell=0)
    assert balancer.slow_start.baseline_load(server) == pytest.approx(2.0, rel=0.05)


def test_a_cell_that_is_not_sampled_does_not_count_as_lightly_loaded():
    """Where a sidecar samples few of many servers, the others have no load from it."""
    entries = [endpoint(number, cell=number % 4) for number in range(40)]
    balancer, now = make_with_traffic(entries, fleet_size=200)
    sampled = [one.id for one in balancer.endpoints.local]
    assert 0 < len(sampled) < 4
    now = record_answers(balancer, now, dict.fromkeys(sampled, 2))
    for number in range(4):
        server = restart_server(balancer, now, 100 + number, cell=number)
        assert balancer.slow_start.baseline_load(server) == pytest.approx(2.0, rel=0.05)


def test_a_cold_server_gets_a_share_of_the_load_that_would_overload_it():
    """The bound holds for the mean, since fractions of a token are rounded at random."""
    sent, budget = 0, 0.0
    for seed in range(20):
        settings = {"seed": seed, "overload_factor": 2.5, "overload_for_ns": 3 * SECOND}
        balancer, now = make_with_traffic([endpoint(1), endpoint(2)], **settings)
        now = record_answers(balancer, now, {1: 20, 2: 20})
        server, slow_start = restart_server(balancer, now), balancer.slow_start
        for tick in range(300):
            balancer.context.now = now + tick * 10 * MS
            budget += 2.5 * 20 * slow_start.warm_share(server) / 100
            if slow_start.allows(server, 0, consume=False):
                slow_start.allows(server, 0, consume=True)
                sent += 1
    assert 0.65 * budget < sent < 0.85 * budget


def test_a_sampled_server_also_gets_the_share_of_the_sidecars_that_do_not_sample_it():
    """Half of the local servers are sampled, but one in 48 remote ones: local ones got 12 times as much."""
    sent, budget = 0, 0.0
    entries = [endpoint(number, zone=int(number >= 4)) for number in range(100)]
    for seed in range(40):
        balancer, now = make_with_traffic(entries, seed=seed, fleet_size=200, overload_factor=2.5)
        now = record_answers(balancer, now, dict.fromkeys([one.id for one in balancer.endpoints.local], 4))
        balancer.handle(now, Membership(ListKind.DELTA, 2, [endpoint(0, started=now)]))
        server, slow_start = balancer.endpoints.servers[0], balancer.slow_start
        if server in balancer.endpoints.outside_subset:
            continue
        for tick in range(500):
            balancer.context.now = now + tick * 10 * MS
            budget += 2 * 2.5 * 2 * slow_start.warm_share(server) / 100
            if slow_start.allows(server, 0, consume=False):
                slow_start.allows(server, 0, consume=True)
                sent += 1
    assert budget > 150
    assert 0.65 * budget < sent < 0.85 * budget


def test_a_cold_server_earns_tokens_while_all_local_servers_are_ejected():
    entries = [endpoint(number, zone=int(number >= 1)) for number in range(100)]
    balancer, now = make_with_traffic(entries, fleet_size=200)
    server = restart_server(balancer, now)
    server.ejected = True
    balancer.endpoints.servers[0].ejected = True
    balancer.endpoints.rebuild()
    assert not balancer.endpoints.local and balancer.endpoints.outside_subset
    balancer.context.now = now + 9 * SECOND
    balancer.slow_start.allows(server, 0, consume=False)
    balancer.context.now += SECOND // 2
    assert balancer.slow_start.allows(server, 0, consume=False)


def test_a_cold_server_that_rejects_gets_nothing_until_more_tokens_are_earned():
    balancer, now = make_with_traffic([endpoint(1), endpoint(2)])
    now = record_answers(balancer, now, {1: 10, 2: 10})
    server, slow_start = restart_server(balancer, now), balancer.slow_start
    balancer.context.now = now + 2 * SECOND
    assert slow_start.allows(server, 0, consume=False)
    slow_start.drain_tokens(server)
    assert not slow_start.allows(server, 0, consume=False)
    balancer.context.now += 2 * SECOND
    assert slow_start.allows(server, 0, consume=False)


def test_a_kind_without_a_warm_server_has_the_mean_load_of_all_warm_servers():
    balancer, now = make_with_traffic([endpoint(1), endpoint(2)])
    now = record_answers(balancer, now, {1: 10, 2: 20})
    other = endpoint(9, started=now)
    other.kind = 5
    balancer.handle(now, Membership(ListKind.DELTA, 2, [other]))
    assert balancer.slow_start.baseline_load(balancer.endpoints.servers[9]) == pytest.approx(15.0, rel=0.05)


def test_tokens_are_earned_from_the_notification_of_a_start_on():
    """Each of 200 sidecars checks a server every eight seconds, and its first check never found a token."""
    balancer, now = make_with_traffic([endpoint(1), endpoint(2)], fleet_size=200)
    now = record_answers(balancer, now, {1: 1, 2: 1})
    server = restart_server(balancer, now)
    balancer.context.now = now + 4 * SECOND
    assert balancer.slow_start.allows(server, 0, consume=False)


def test_answers_earn_tokens_while_no_warm_server_is_known():
    balancer, now = make_balancer(entries=[endpoint(9, started=START)], fleet_size=30)
    server = balancer.endpoints.servers[9]
    balancer.context.now = now
    balancer.slow_start.allows(server, 0, consume=True)
    tokens_after_send = server.slow_start_tokens
    balancer.slow_start.record_answer(server, 0)
    assert server.slow_start_tokens > tokens_after_send + 1.0


def test_thirty_sidecars_together_do_not_overload_ten_cold_servers():
    """Guards against a refill rate at which the first seed had 0.74 of the excess attributed to chance."""
    results = [play(SlowStartCase(30, 10, REPLACED_SHARES["all"]), seed) for seed in (1, 4)]
    assert max(one.slack for one in results) <= 0.4, results
    assert sum(one.of_slow_start_ramp for one in results) > 0.5 * len(results)  # the servers are used


@pytest.mark.parametrize("slow", [False, True])
def test_one_cold_server_is_used_by_few_sidecars(slow):
    """The bound is a share of a server's capacity, or of its ramp if slow: the picker prefers fast ones."""
    results = [
        play(SlowStartCase(5, 10, REPLACED_SHARES["one"], slow_while_warming_up=slow), seed)
        for seed in (1, 2, 3)
    ]
    assert max(one.slack for one in results) <= 0.4, results
    used = [one.of_slow_start_ramp if slow else one.of_capacity for one in results]
    assert sum(used) > 0.35 * len(results)


def test_a_fleet_that_is_replaced_as_a_whole_is_used_again():
    """Guards against a refill rate that falls with the answers: it served 0.587 (mean of 20 seeds)."""
    results = [play(SlowStartCase(5, 10, REPLACED_SHARES["all"]), seed) for seed in (1, 2, 3)]
    assert max(one.slack for one in results) <= 0.4, results
    assert sum(one.served for one in results) > 0.7 * len(results), results


def test_one_cold_server_of_sixty_is_used():
    results = [play(SlowStartCase(30, 60, REPLACED_SHARES["one"]), seed) for seed in (1, 2)]
    assert max(one.slack for one in results) <= 0.4, results
    assert sum(one.of_capacity for one in results) > 0.4 * len(results), results


def test_weak_servers_are_not_overloaded_if_the_list_distinguishes_kinds_and_cells():
    results = [play(SlowStartCase(30, 10, REPLACED_SHARES["all"], unequal=True), seed) for seed in (1, 2, 3)]
    assert max(one.slack for one in results) < 1.0, results
    assert sum(one.of_slow_start_ramp for one in results) > 0.6 * len(results), results


def test_the_slack_of_the_worst_window_is_relative_to_the_budget_of_the_slow_start_ramp():
    assert slow_start_ramp_integral(12.0) == pytest.approx(12.0 * (0.15 + 1.0) / 2)
    assert slow_start_ramp_integral(16.0) - slow_start_ramp_integral(12.0) == pytest.approx(4.0)
    send_times_s = [number / 100 for number in range(1, 1100)]  # five times a warm server's 20 a second
    worst = worst_window(send_times_s)[0]
    assert 0 < worst.sends <= 301  # its three seconds hold no more
    assert worst.slack == slack(worst.sends, worst.budget) > 1.0
    assert worst_window([]) == [] and worst_window([13.0]) == []
    assert slack(31, 25.0) == pytest.approx(0.5)


def test_the_command_prints_a_line_for_each_share_of_replaced_servers():
    done = command("lab", "pace", "5/10", "--seeds", "1")
    assert done.returncode == 0, done.stderr
    lines = done.stdout.splitlines()
    assert [line[18:28].strip() for line in lines[1:]] == ["one", "a fifth", "six tenths", "all"]
    assert all(float(line.split()[-1]) > 0.3 for line in lines[1:])
    done = command("lab", "pace", "5/10", "--seeds", "1", "--unequal")
    assert done.returncode == 0 and done.stdout.splitlines() != lines
    done = command("lab", "pace", "6/10")
    assert done.returncode == 2 and "no such fleet" in done.stderr and done.stderr.count("\n") == 1
