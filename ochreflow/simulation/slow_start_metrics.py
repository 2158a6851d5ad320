"""What cold servers are sent against what their ramp allows; definitions are in `docs/design/pace.md`."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from typing import NamedTuple

CAPACITY_PER_S = 20.0  # requests of a warm server, in the mean of the fleet
START_CAPACITY = 0.15  # the part of its capacity that a server has at its start
WARM_UP_S = 12.0
OVERLOAD_FACTOR = 2.5  # a cold server collapses when it is sent so many times what its ramp allows ...
OVERLOAD_WINDOW_S = 3.0  # ... over so long
NO_SENDS_SLACK = -1.0  # the slack of a server that was sent nothing while cold


@dataclass(slots=True)
class SlowStartMetrics:
    """The result of one run."""

    slack: float  # the worst window of any cold server: (sends - N) / (2 sqrt(N) + 2)
    sends: int  # in that window
    budget: float  # N, there
    slack_present: float  # the same with N = factor x capacity x ramp at its end x its whole length
    of_capacity: float  # answered by the cold servers in the judged time, against what warm ones could
    of_slow_start_ramp: float  # ... and against what their ramp allowed
    served: float  # part of all requests in the judged time that was answered within the objective


class Window(NamedTuple):
    """A window that ends with a send to a cold server; ordered by its slack."""

    slack: float
    sends: int
    budget: float


def slow_start_ramp(age_s: float) -> float:
    """Return the part of its capacity that a server has so long after its start."""
    return min(START_CAPACITY + (1.0 - START_CAPACITY) * age_s / WARM_UP_S, 1.0)


def slow_start_ramp_integral(age_s: float) -> float:
    """Return the integral of the ramp from the start on, in seconds of a warm server."""
    warming_up_s = min(max(age_s, 0.0), WARM_UP_S)
    return (
        START_CAPACITY * warming_up_s
        + (1.0 - START_CAPACITY) * warming_up_s * warming_up_s / (2.0 * WARM_UP_S)
        + max(age_s - warming_up_s, 0.0)
    )


def slack(sends: int, budget: float) -> float:
    """Return how much of what is put down to chance is used: 1 is a violation."""
    deviation: float = budget**0.5
    return (sends - budget) / (2.0 * deviation + 2.0)


def worst_window(sends: list[float], capacity_per_s: float = CAPACITY_PER_S) -> list[Window]:
    """Return the worst window that ends while a server is cold; none without a send to it while cold.

    `sends` are the times of its sends, in seconds since its start.
    """
    found = []
    for number, sent_s in enumerate(sends):
        if sent_s < WARM_UP_S:
            count = _sends_in_window(sends, number)
            allowed_s = slow_start_ramp_integral(sent_s) - slow_start_ramp_integral(
                sent_s - OVERLOAD_WINDOW_S
            )
            budget = OVERLOAD_FACTOR * capacity_per_s * allowed_s
            found.append(Window(slack(count, budget), count, budget))
    return [max(found)] if found else []


def slack_at_present_capacity(sends: list[float], capacity_per_s: float = CAPACITY_PER_S) -> float:
    """Return the slack of the worst window where the capacity at its end counts for its whole length."""
    return max(
        (
            slack(
                _sends_in_window(sends, number),
                OVERLOAD_FACTOR * capacity_per_s * slow_start_ramp(sent_s) * OVERLOAD_WINDOW_S,
            )
            for number, sent_s in enumerate(sends)
            if sent_s < WARM_UP_S
        ),
        default=NO_SENDS_SLACK,
    )


def _sends_in_window(sends: list[float], number: int) -> int:
    """Return the sends in the window that ends with send `number`."""
    return number + 1 - bisect_right(sends, sends[number] - OVERLOAD_WINDOW_S)
