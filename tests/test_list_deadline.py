"""When the list is due, and that polls are in time for it whatever kinds of failure they meet.

The balancer and the discovery client are real; the event loop and discovery are simulated.
"""

import pytest
from test_discovery_failures import CallFailures as Failures
from test_discovery_failures import FailingSidecar, quiet_log  # noqa: F401 - a fixture
from test_discovery_recovery import GRACES_S, NOTIFIED_IN_S, SLACK_S, SimulatedFleet

from ochreflow.policy.interface import PollFailure, Settings
from ochreflow.policy.list_deadline import ListDeadline

S = 1_000_000_000
QUIET_S = 30.0
ANSWER_S = 0.02
MAX_FLEET_CALLS_PER_S = 52.5


def latest_after_outage(behaviour, outage_s, failing_s, count, fleet, grace, sidecars=40):
    """Return how late the last sidecar is notified, in seconds after its limit.

    Discovery fails as `behaviour` for `outage_s`; then the next `count` calls of each sidecar end with a 503
    after `failing_s` seconds.
    """
    simulation = SimulatedFleet(fleet, grace, 0, answer=ANSWER_S)
    loop, server = simulation.loop, simulation.first
    simulation.sidecars = [
        FailingSidecar(loop, {"first": server}, server, fleet, grace, 7919 * seed, Failures(failing_s))
        for seed in range(sidecars)
    ]
    loop.run(QUIET_S)
    server.behaviour = behaviour
    server.reset()
    loop.run(QUIET_S + outage_s)
    server.behaviour = "up"
    server.change()
    for sidecar in simulation.sidecars:
        sidecar.failures.remaining = count
    loop.run(QUIET_S + outage_s + 40.0)
    return simulation.latest_after(QUIET_S + outage_s) - NOTIFIED_IN_S - grace - SLACK_S


@pytest.mark.parametrize("grace", GRACES_S)
@pytest.mark.parametrize("fleet", [4, 30, 200])
@pytest.mark.parametrize(("failing_s", "count"), [(0.003, 2), (2.0, 1)], ids=["two-at-once", "one-late"])
def test_after_refused_connections_failed_calls_are_repeated_in_time(
    quiet_log,  # noqa: F811 - the fixture
    failing_s,
    count,
    fleet,
    grace,
):
    """Guards against a call that is rejected after 2 s and made a fleet of 200 late (review/10)."""
    for outage_s in (1.0, 8.0, 8.7, 23.0):
        assert latest_after_outage("refused", outage_s, failing_s, count, fleet, grace) <= 0.0


@pytest.mark.parametrize("grace", GRACES_S)
@pytest.mark.parametrize("fleet", [4, 30, 100, 200])
@pytest.mark.parametrize("behaviour", ["503", "late 503", "never up"])
def test_after_other_outages_one_more_failed_call_is_repeated_in_time(
    quiet_log,  # noqa: F811 - the fixture
    behaviour,
    fleet,
    grace,
):
    """Nothing shows that discovery is back, so two polls of each sidecar have to begin in the whole time.

    That is within reach if the fleet stays below the calls a second that it may make in an outage, and where
    calls fail slowly below the nine calls a second that a crowded discovery answers.
    """
    two_polls_s = (NOTIFIED_IN_S + grace - 0.1) / 2
    one_poll_s = NOTIFIED_IN_S + grace - 2.0
    failing_s = 0.003 if behaviour == "503" else 2.0
    if fleet / two_polls_s > MAX_FLEET_CALLS_PER_S:
        return
    if behaviour != "503" and two_polls_s < 0.135 * fleet <= one_poll_s:
        return
    for outage_s in (8.0, 23.0, 40.3):
        assert latest_after_outage(behaviour, outage_s, failing_s, 1, fleet, grace) <= 0.0


def test_a_refused_connection_postpones_the_due_time_and_a_rejection_does_not():
    deadline = ListDeadline(Settings(classes=[], zones=[], drain_grace_ns=S // 2))
    deadline.begin(100 * S, 6 * S)
    assert deadline.due_at == 106 * S + S // 2
    deadline.poll_failed(PollFailure.REJECTED, 103 * S, 100 * S)
    assert deadline.due_at == 106 * S + S // 2
    deadline.poll_failed(PollFailure.REFUSED, 104 * S, 103 * S)
    assert deadline.due_at == 110 * S + S // 2
    deadline.poll_failed(PollFailure.REJECTED_LATE, 107 * S, 104 * S)
    assert deadline.due_at == 110 * S + S // 2


def test_a_failure_that_shows_discovery_there_counts_from_the_poll_before():
    """After silence, a rejection is the first sign of discovery, which may be back since the poll before."""
    deadline = ListDeadline(Settings(classes=[], zones=[]))
    deadline.begin(100 * S, 6 * S)
    deadline.poll_failed(PollFailure.TIMED_OUT, 120 * S, 114 * S)
    assert deadline.due_at == 106 * S
    deadline.poll_failed(PollFailure.REJECTED, 122 * S, 118 * S)
    assert deadline.due_at == 124 * S
    deadline.poll_failed(PollFailure.TIMED_OUT, 126 * S, 122 * S)
    assert deadline.due_at == 124 * S


def test_a_failure_before_the_due_time_does_not_postpone_it():
    """What discovery had at the event is due then, whatever kinds of failure follow each other."""
    deadline = ListDeadline(Settings(classes=[], zones=[]))
    deadline.begin(100 * S, 6 * S)
    deadline.poll_failed(PollFailure.REJECTED, 102 * S, 100 * S)
    deadline.poll_failed(PollFailure.REJECTED_LATE, 105 * S, 102 * S)
    assert deadline.due_at == 106 * S
