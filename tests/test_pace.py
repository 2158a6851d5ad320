"""The pace to cold servers: what it gives back, and that it holds for a fleet."""

import pytest
from helpers import MS, SECOND, START, endpoint, make_balancer, send_one, serve_requests
from test_operator_file import command

from ochreflow.policy.interface import ListKind, Membership
from ochreflow.simulation.slow_start_metrics import slack, slow_start_ramp_integral, worst_window
from ochreflow.simulation.slow_start_report import REPLACED_SHARES
from ochreflow.simulation.slow_start_run import SlowStartCase, play


def restarted(balancer, now, number=9, cell=0):
    """A server starts now, and the list tells of it at once."""
    balancer.handle(now, Membership(ListKind.DELTA, 2, [endpoint(number, cell=cell, started=now)]))
    return balancer.endpoints.servers[number]


def test_an_attempt_whose_connection_never_came_up_is_given_back_once_it_was_taken_from_this_start():
    balancer, now = make_balancer(entries=[endpoint(1), endpoint(2)])
    server = restarted(balancer, now)
    slow_start = balancer.slow_start
    sent = balancer.context.now = now + 10 * MS
    slow_start.allows(server, 0, consume=True)
    taken = server.slow_start_tokens
    balancer.context.now += 200 * MS
    slow_start.refund_tokens(server, 0, sent)
    assert server.slow_start_tokens == taken + balancer.latency.cost(0)
    # Its pace was another life's: the new one owes nothing for it.
    server = restarted(balancer, now + SECOND)
    balancer.context.now += SECOND
    slow_start.allows(server, 0, consume=False)
    fresh = server.slow_start_tokens
    slow_start.refund_tokens(server, 0, sent)
    assert server.slow_start_tokens == fresh


def test_an_attempt_between_a_start_and_the_news_of_it_gets_nothing_back_from_the_new_life():
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


def test_a_warm_server_is_given_nothing_back():
    balancer, now = make_balancer(entries=[endpoint(1), endpoint(2)])
    server = balancer.endpoints.servers[1]
    balancer.slow_start.allows(server, 0, consume=True)
    balancer.slow_start.refund_tokens(server, 0, now)
    assert server.slow_start_tokens == 0.0


def test_a_start_that_lies_ahead_of_the_own_clock_is_no_crash_where_nothing_warms_up():
    balancer, now = make_balancer(entries=[endpoint(1, started=START + 5 * SECOND)], warm_up_ns=0)
    assert send_one(balancer, now, 1).server == 1


def test_a_fleet_that_knows_what_a_server_can_do_does_not_earn_more_by_being_answered():
    """Each answer allowed one and a half more: thirty sidecars grew together past what one server bears."""
    balancer, now = make_balancer(entries=[endpoint(1), endpoint(2)], fleet_size=30)
    now, _ = serve_requests(balancer, now, range(100), 50 * MS)
    server = restarted(balancer, now)
    balancer.slow_start.allows(server, 0, consume=True)
    taken = server.slow_start_tokens
    balancer.slow_start.record_answer(server, 0)
    assert server.slow_start_tokens == taken


def carry(balancer, now, rates, seconds=20):
    """Have each server answer so many requests a second."""
    for tick in range(seconds * 100):
        at = now + tick * 10 * MS
        for number, rate in rates.items():
            if tick % (100 // rate) == 0:
                balancer.context.now = at
                balancer.slow_start.record_answer(balancer.endpoints.servers[number], 0)
    return now + seconds * SECOND


def began(entries, **settings):
    balancer, now = make_balancer(entries=entries, **settings)
    balancer.endpoints.first_request_at = now
    return balancer, now


def test_what_warm_servers_carried_is_remembered_while_none_is_warm():
    """It was counted over all servers and faded with their answers: a fleet that had gone stayed unused."""
    balancer, now = began([endpoint(1), endpoint(2)], warm_up_ns=60 * SECOND)
    now = carry(balancer, now, {1: 10, 2: 10})
    balancer.handle(now, Membership(ListKind.DELTA, 2, [endpoint(n, started=now) for n in (1, 2)]))
    server = balancer.endpoints.servers[1]
    assert balancer.slow_start.baseline_load(server) == pytest.approx(10.0, rel=0.05)
    now = carry(balancer, now, {1: 1, 2: 1}, 30)
    assert balancer.slow_start.baseline_load(server) == pytest.approx(10.0, rel=0.05)


def test_the_baseline_load_is_that_of_warm_servers_not_of_all():
    balancer, now = began([endpoint(n) for n in (1, 2, 3, 4)])
    now = carry(balancer, now, dict.fromkeys((1, 2, 3, 4), 10))
    changes = [endpoint(n, started=now) for n in (1, 2, 3)]
    balancer.handle(now, Membership(ListKind.DELTA, 2, changes))
    now = carry(balancer, now, {1: 1, 2: 1, 3: 1, 4: 20}, 10)
    assert 10.0 < balancer.slow_start.baseline_load(balancer.endpoints.servers[1]) < 20.0


def test_a_cold_server_is_paced_by_its_own_kind_and_cell():
    entries = [endpoint(number, cell=number % 2) for number in range(4)]
    for entry in entries:
        entry.kind = entry.server // 2
    balancer, now = began(entries)
    # The second kind does twice what the first does, and the second cell is held down to half.
    now = carry(balancer, now, {0: 10, 1: 5, 2: 20, 3: 10})
    fresh = [endpoint(number + 10, cell=number % 2, started=now) for number in range(4)]
    for number, entry in enumerate(fresh):
        entry.kind = number // 2
    balancer.handle(now, Membership(ListKind.DELTA, 2, fresh))
    loads = [
        balancer.slow_start.baseline_load(balancer.endpoints.servers[number + 10]) for number in range(4)
    ]
    # Cells are only taken off what a kind carries: the others of a kind stay at its mean.
    assert loads == pytest.approx([7.5, 5.0, 15.0, 10.0], rel=0.05)


def test_a_cell_without_a_warm_server_is_not_held_down_by_what_others_carry_for_it():
    """The more the one that was left carried, the less the cold ones got: 3.2 in place of the usual 10."""
    entries = [endpoint(number, cell=int(number > 1)) for number in range(1, 6)]
    for entry in entries:
        entry.kind = entry.cell
    balancer, now = began(entries)
    now = carry(balancer, now, dict.fromkeys(range(1, 6), 10))
    for entry in entries[1:]:
        entry.started_ns = now
    balancer.handle(now, Membership(ListKind.DELTA, 2, entries[1:]))
    carry(balancer, now, {1: 50, 2: 1}, 8)
    assert balancer.slow_start.baseline_load(balancer.endpoints.servers[2]) == pytest.approx(10.0, rel=0.05)


def test_a_weak_kind_with_a_cell_of_its_own_is_not_taken_off_twice():
    """It was held against all of its side: 0.4 in place of the 2 that it carries beside a kind of 20."""
    entries = [endpoint(number, cell=number // 3) for number in range(6)]
    for entry in entries:
        entry.kind = entry.cell
    balancer, now = began(entries)
    now = carry(balancer, now, {0: 2, 1: 2, 2: 2, 3: 20, 4: 20, 5: 20})
    server = restarted(balancer, now, 9, cell=0)
    assert balancer.slow_start.baseline_load(server) == pytest.approx(2.0, rel=0.05)


def test_a_cell_that_is_not_sampled_is_not_taken_for_one_that_is_held_down():
    """Where a sidecar samples few of many servers, the others carry nothing of its own."""
    entries = [endpoint(number, cell=number % 4) for number in range(40)]
    balancer, now = began(entries, fleet_size=200)
    sampled = [one.id for one in balancer.endpoints.local]
    assert 0 < len(sampled) < 4
    now = carry(balancer, now, dict.fromkeys(sampled, 2))
    for number in range(4):
        server = restarted(balancer, now, 100 + number, cell=number)
        assert balancer.slow_start.baseline_load(server) == pytest.approx(2.0, rel=0.05)


def test_a_cold_server_gets_a_part_of_what_would_push_it_over_if_the_baseline_load_were_all_it_can_do():
    """In the mean: whole requests come by chance."""
    sent, budget = 0, 0.0
    for seed in range(20):
        settings = {"seed": seed, "overload_factor": 2.5, "overload_for_ns": 3 * SECOND}
        balancer, now = began([endpoint(1), endpoint(2)], **settings)
        now = carry(balancer, now, {1: 20, 2: 20})
        server, slow_start = restarted(balancer, now), balancer.slow_start
        for tick in range(300):
            balancer.context.now = now + tick * 10 * MS
            budget += 2.5 * 20 * slow_start.warm_share(server) / 100
            if slow_start.allows(server, 0, consume=False):
                slow_start.allows(server, 0, consume=True)
                sent += 1
    assert 0.65 * budget < sent < 0.85 * budget


def test_others_part_is_left_to_those_who_sample_it_on_its_side_of_a_crossing():
    """Half of the near ones are sampled, of the far one in 48: near ones were sent twelve times as much."""
    sent, budget = 0, 0.0
    entries = [endpoint(number, zone=int(number >= 4)) for number in range(100)]
    for seed in range(40):
        balancer, now = began(entries, seed=seed, fleet_size=200, overload_factor=2.5)
        now = carry(balancer, now, dict.fromkeys([one.id for one in balancer.endpoints.local], 4))
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


def test_a_cold_server_keeps_a_pace_while_all_of_its_side_are_avoided():
    entries = [endpoint(number, zone=int(number >= 1)) for number in range(100)]
    balancer, now = began(entries, fleet_size=200)
    server = restarted(balancer, now)
    server.ejected = True
    balancer.endpoints.servers[0].ejected = True
    balancer.endpoints.rebuild()
    assert not balancer.endpoints.local and balancer.endpoints.outside_subset
    balancer.context.now = now + 9 * SECOND
    balancer.slow_start.allows(server, 0, consume=False)
    balancer.context.now += SECOND // 2
    assert balancer.slow_start.allows(server, 0, consume=False)


def test_a_cold_server_that_turns_away_gets_nothing_until_more_is_earned():
    balancer, now = began([endpoint(1), endpoint(2)])
    now = carry(balancer, now, {1: 10, 2: 10})
    server, slow_start = restarted(balancer, now), balancer.slow_start
    balancer.context.now = now + 2 * SECOND
    assert slow_start.allows(server, 0, consume=False)
    slow_start.drain_tokens(server)
    assert not slow_start.allows(server, 0, consume=False)
    balancer.context.now += 2 * SECOND
    assert slow_start.allows(server, 0, consume=False)


def test_a_kind_never_met_warm_is_paced_by_all():
    balancer, now = began([endpoint(1), endpoint(2)])
    now = carry(balancer, now, {1: 10, 2: 20})
    other = endpoint(9, started=now)
    other.kind = 5
    balancer.handle(now, Membership(ListKind.DELTA, 2, [other]))
    assert balancer.slow_start.baseline_load(balancer.endpoints.servers[9]) == pytest.approx(15.0, rel=0.05)


def test_pace_is_earned_from_the_news_of_a_start_not_from_the_first_look():
    """Of 200 sidecars each looks at one server every eight seconds: the first look was always for nothing."""
    balancer, now = began([endpoint(1), endpoint(2)], fleet_size=200)
    now = carry(balancer, now, {1: 1, 2: 1})
    server = restarted(balancer, now)
    balancer.context.now = now + 4 * SECOND
    assert balancer.slow_start.allows(server, 0, consume=False)


def test_a_sidecar_that_knows_no_warm_server_earns_by_answers():
    balancer, now = make_balancer(entries=[endpoint(9, started=START)], fleet_size=30)
    server = balancer.endpoints.servers[9]
    balancer.context.now = now
    balancer.slow_start.allows(server, 0, consume=True)
    taken = server.slow_start_tokens
    balancer.slow_start.record_answer(server, 0)
    assert server.slow_start_tokens > taken + 1.0


def test_ten_cold_servers_bear_the_sum_of_what_thirty_sidecars_send():
    """With the pace before, the first of these came to 0.74 of what is put down to chance."""
    found = [play(SlowStartCase(30, 10, REPLACED_SHARES["all"]), seed) for seed in (1, 4)]
    assert max(one.slack for one in found) <= 0.4, found
    assert sum(one.of_slow_start_ramp for one in found) > 0.5 * len(found)  # it isn't kept by sending nothing


@pytest.mark.parametrize("slow", [False, True])
def test_one_cold_server_among_few_sidecars_is_put_to_use(slow):
    """Of what it can do: a slow one can do its ramp, and the pick rightly leaves it some of that."""
    found = [
        play(SlowStartCase(5, 10, REPLACED_SHARES["one"], slow_while_warming_up=slow), seed)
        for seed in (1, 2, 3)
    ]
    assert max(one.slack for one in found) <= 0.4, found
    used = [one.of_slow_start_ramp if slow else one.of_capacity for one in found]
    assert sum(used) > 0.35 * len(found)


def test_a_fleet_that_goes_as_a_whole_is_put_to_use_again():
    """Before, its pace fell with what it answered: 0.587 were served in the mean of 20 seeds."""
    found = [play(SlowStartCase(5, 10, REPLACED_SHARES["all"]), seed) for seed in (1, 2, 3)]
    assert max(one.slack for one in found) <= 0.4, found
    assert sum(one.served for one in found) > 0.7 * len(found), found


def test_one_cold_server_of_sixty_is_put_to_use():
    found = [play(SlowStartCase(30, 60, REPLACED_SHARES["one"]), seed) for seed in (1, 2)]
    assert max(one.slack for one in found) <= 0.4, found
    assert sum(one.of_capacity for one in found) > 0.4 * len(found), found


def test_weak_servers_bear_it_where_the_list_tells_kinds_and_cells_apart():
    found = [play(SlowStartCase(30, 10, REPLACED_SHARES["all"], unequal=True), seed) for seed in (1, 2, 3)]
    assert max(one.slack for one in found) < 1.0, found
    assert sum(one.of_slow_start_ramp for one in found) > 0.6 * len(found), found


def test_windows_are_held_against_what_the_ramp_allowed_in_them():
    assert slow_start_ramp_integral(12.0) == pytest.approx(12.0 * (0.15 + 1.0) / 2)
    assert slow_start_ramp_integral(16.0) - slow_start_ramp_integral(12.0) == pytest.approx(4.0)
    even = [number / 100 for number in range(1, 1100)]  # a hundred a second: five times a warm one
    worst = worst_window(even)[0]
    assert 0 < worst.sends <= 301  # no more than its three seconds hold
    assert worst.slack == slack(worst.sends, worst.budget) > 1.0
    assert worst_window([]) == [] and worst_window([13.0]) == []
    assert slack(31, 25.0) == pytest.approx(0.5)


def test_the_command_prints_a_line_for_each_part_that_is_cold():
    done = command("lab", "pace", "5/10", "--seeds", "1")
    assert done.returncode == 0, done.stderr
    lines = done.stdout.splitlines()
    assert [line[18:28].strip() for line in lines[1:]] == ["one", "a fifth", "six tenths", "all"]
    assert all(float(line.split()[-1]) > 0.3 for line in lines[1:])
    done = command("lab", "pace", "5/10", "--seeds", "1", "--unequal")
    assert done.returncode == 0 and done.stdout.splitlines() != lines
    done = command("lab", "pace", "6/10")
    assert done.returncode == 2 and "no such fleet" in done.stderr and done.stderr.count("\n") == 1
