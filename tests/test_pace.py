"""The pace to cold servers: what it gives back, and that it holds for a fleet."""

from helpers import MS, SECOND, endpoint, make

from ochreflow.policy.interface import ListKind, Membership


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
