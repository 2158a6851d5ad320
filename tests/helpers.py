"""Settings and events of the decision module, for its tests."""

from ochreflow import Balancer
from ochreflow.policy.interface import (
    Effect,
    Endpoint,
    ListKind,
    Membership,
    Outcome,
    Request,
    RequestClass,
    Scope,
    Send,
    SetTimer,
    Settings,
    State,
    Status,
    Timer,
)

MS = 1_000_000
SECOND = 1_000 * MS
START = 1_000 * SECOND


def settings(effect=Effect.IDEMPOTENT, scope=Scope.CELL, **overrides):
    spec = RequestClass("only", 500 * MS, 2 * SECOND, 1.0, 0.2, effect, scope, 4 * SECOND)
    values = {
        "classes": [spec],
        "zones": ["a", "b"],
        "max_attempts": 3,
        "hedging": True,
        "can_cancel": True,
        "start_capacity": 0.2,
        "warm_up_ns": 10 * SECOND,
        "connect_timeout_ns": 200 * MS,
        "retry_after": True,
        "max_retry_after_ns": SECOND,
    }
    values.update(overrides)
    return Settings(**values)


def endpoint(server, zone=0, cell=0, state=State.READY, started=0):
    return Endpoint(server, zone, 0, cell, state, 1.0, started)


def make_balancer(servers=6, seed=1, entries=None, **overrides):
    balancer = Balancer(settings(**overrides), seed)
    if entries is None:
        entries = [endpoint(100 + n, zone=n % 2, cell=n // 3) for n in range(servers)]
    balancer.handle(START, Membership(ListKind.CACHED, 1, entries))
    return balancer, START


def request(request_id, now, timeout_ns=2 * SECOND, class_index=0, tenant=0):
    return Request(request_id, class_index, tenant, now + timeout_ns)


def send_one(balancer, now, request_id, timeout_ns=2 * SECOND, class_index=0):
    actions = balancer.handle(now, request(request_id, now, timeout_ns, class_index))
    return next(action for action in actions if isinstance(action, Send))


def serve_requests(balancer, now, request_ids, duration_ns):
    """Serve requests one after another; return the time after the last and the set of servers used."""
    used = set()
    for request_id in request_ids:
        attempt = send_one(balancer, now, request_id)
        used.add(attempt.server)
        now += duration_ns
        balancer.handle(now, Outcome(request_id, 0, attempt.server, Status.OK, duration_ns, True))
    return now, used


def actions_of_type(actions, *types):
    return [action for action in actions if isinstance(action, types)]


def fire_timers(balancer, now, actions, end):
    """Fire the timers that are due before `end`; return the resulting actions with their times, in order."""
    pending = [(now + timer.after_ns, timer.token) for timer in actions_of_type(actions, SetTimer)]
    results = []
    while pending:
        pending.sort()
        when, token = pending.pop(0)
        if when >= end:
            break
        new_actions = balancer.handle(when, Timer(token))
        pending += [(when + timer.after_ns, timer.token) for timer in actions_of_type(new_actions, SetTimer)]
        results += [(when, action) for action in new_actions]
    return results
