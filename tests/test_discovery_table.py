"""The promised cells of `docs/design/discovery-table.md` are in time."""

import itertools

import pytest
from discovery_table import EVENTS, FLEETS, GRACES_S, NEXT_CALLS, cell, needed_calls_per_s
from test_discovery_recovery import NOTIFIED_IN_S

from ochreflow.core.log import log

ROUNDS, SIDECARS = 2, 6
MAX_FLEET_CALLS_PER_S = 52.5  # in an outage that shows nothing
CROWDED_PERIOD_PER_SIDECAR_S = 0.135  # while calls fail slowly, in fleets that a crowded discovery can serve
SHOWS_NOTHING = ("outage: 503", "outage: late 503")
PROMISED = [
    next_calls
    for next_calls in NEXT_CALLS
    if (next_calls.count <= 1 and next_calls.answer_s < 2.0) or next_calls.name == "2 x 503 at once"
]


def is_promised(event, next_calls, fleet, grace):
    """Return whether the design promises that a cell is in time; the page says why others are not."""
    if event not in SHOWS_NOTHING:
        return True
    if next_calls.count == 2 or needed_calls_per_s(event, next_calls, fleet, grace) > MAX_FLEET_CALLS_PER_S:
        return False
    two_polls_s, one_poll_s = (NOTIFIED_IN_S + grace - 0.1) / 2, NOTIFIED_IN_S + grace - 2.0
    crowded = two_polls_s < CROWDED_PERIOD_PER_SIDECAR_S * fleet <= one_poll_s
    return next_calls.count == 0 or event == "outage: 503" or not crowded


@pytest.mark.parametrize("event", EVENTS)
def test_a_drain_is_noticed_in_time_whatever_the_next_calls_meet(monkeypatch, event):
    """Guards against a schedule that allows for a number of failures of one kind (reviews 8 and 10)."""
    monkeypatch.setattr(log, "sink", lambda *_: None)
    late = {}
    for next_calls, fleet, grace in itertools.product(PROMISED, FLEETS, GRACES_S):
        if is_promised(event, next_calls, fleet, grace):
            late[next_calls.name, fleet, grace] = cell(event, next_calls, fleet, grace, ROUNDS, SIDECARS)[0]
    assert {case: late_s for case, late_s in late.items() if late_s > 0.0} == {}
    assert len(late) >= 80
