"""The pace to cold servers: what it gives back, and that it holds for a fleet."""

import pytest
from helpers import MS, SECOND, START, endpoint, make, send_one, serve
from test_operator_file import command

from ochreflow.policy.interface import ListKind, Membership
from ochreflow.rehearsal.pace import PARTS, over, play, ramped, worst


def restarted(balancer, now):
    """Server 9 starts now, and the list tells of it at once."""
    balancer.handle(now, Membership(ListKind.DELTA, 2, [endpoint(9, started=now)]))
    return balancer.fleet.servers[9]


def test_an_attempt_whose_connection_never_came_up_is_given_back_once_it_was_taken_from_this_start():
    balancer, now = make(entries=[endpoint(1), endpoint(2)])
    server = restarted(balancer, now)
    pace = balancer.pace
    sent = balancer.ctx.now = now + 10 * MS
    pace.allows(server, 0, True)
    taken = server.cold_tokens
    balancer.ctx.now += 200 * MS
    pace.give_back(server, 0, sent)
    assert server.cold_tokens == taken + balancer.latency.cost(0)
    # Its pace was another life's: the new one owes nothing for it.
    server = restarted(balancer, now + SECOND)
    balancer.ctx.now += SECOND
    pace.allows(server, 0, False)
    fresh = server.cold_tokens
    pace.give_back(server, 0, sent)
    assert server.cold_tokens == fresh


def test_a_warm_server_is_given_nothing_back():
    balancer, now = make(entries=[endpoint(1), endpoint(2)])
    server = balancer.fleet.servers[1]
    balancer.pace.allows(server, 0, True)
    balancer.pace.give_back(server, 0, now)
    assert server.cold_tokens == 0.0


def test_a_start_that_lies_ahead_of_the_own_clock_is_no_crash_where_nothing_warms_up():
    balancer, now = make(entries=[endpoint(1, started=START + 5 * SECOND)], warm_within_ns=0)
    assert send_one(balancer, now, 1).server == 1


def test_a_fleet_that_knows_what_a_server_can_do_does_not_earn_more_by_being_answered():
    """Each answer allowed one and a half more: thirty sidecars grew together past what one server bears."""
    balancer, now = make(entries=[endpoint(1), endpoint(2)], fleet_size=30)
    now, _ = serve(balancer, now, range(100), 50 * MS)
    server = restarted(balancer, now)
    balancer.pace.allows(server, 0, True)
    taken = server.cold_tokens
    balancer.pace.earn(server, 0)
    assert server.cold_tokens == taken


def test_a_sidecar_that_knows_no_warm_server_earns_by_answers():
    balancer, now = make(entries=[endpoint(9, started=START)], fleet_size=30)
    server = balancer.fleet.servers[9]
    balancer.ctx.now = now
    balancer.pace.allows(server, 0, True)
    taken = server.cold_tokens
    balancer.pace.earn(server, 0)
    assert server.cold_tokens > taken + 1.0


def test_ten_cold_servers_bear_the_sum_of_what_thirty_sidecars_send():
    """With the pace before, the first of these came to 0.74 of what is put down to chance."""
    found = [play(30, 10, PARTS["all"], False, seed) for seed in (1, 4)]
    assert max(one.slack for one in found) <= 0.4, found
    assert sum(one.of_ramp for one in found) > 0.5 * len(found)  # it isn't kept by sending nothing


@pytest.mark.parametrize("slow", [False, True])
def test_one_cold_server_among_few_sidecars_is_put_to_use(slow):
    """Of what it can do: a slow one can do its ramp, and the pick rightly leaves it some of that."""
    found = [play(5, 10, PARTS["one"], slow, seed) for seed in (1, 2, 3)]
    assert max(one.slack for one in found) <= 0.4, found
    used = [one.of_ramp if slow else one.of_capacity for one in found]
    assert sum(used) > 0.35 * len(found)


def test_windows_are_held_against_what_the_ramp_allowed_in_them():
    assert ramped(12.0) == pytest.approx(12.0 * (0.15 + 1.0) / 2)
    assert ramped(16.0) - ramped(12.0) == pytest.approx(4.0)
    even = [number / 100 for number in range(1, 1100)]  # a hundred a second: five times a warm one
    slack, sends, budget = worst(even)[0]
    assert 0 < sends <= 301  # no more than its three seconds hold
    assert slack == over(sends, budget) > 1.0
    assert worst([]) == [] and worst([13.0]) == []
    assert over(31, 25.0) == pytest.approx(0.5)


def test_the_command_prints_a_line_for_each_part_that_is_cold():
    done = command("lab", "pace", "5/10", "--seeds", "1")
    assert done.returncode == 0, done.stderr
    lines = done.stdout.splitlines()
    assert [line[18:28].strip() for line in lines[1:]] == ["one", "a fifth", "six tenths", "all"]
    assert all(float(line.split()[-1]) > 0.3 for line in lines[1:])
    done = command("lab", "pace", "6/10")
    assert done.returncode == 2 and "no such fleet" in done.stderr and done.stderr.count("\n") == 1
