"""Metrics of the load on cold servers, against what their ramp allows; `docs/design/pace.md` defines them."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from typing import NamedTuple

CAPACITY_PER_S = 20.0  # requests per second of a warm server, as the mean of the fleet
START_CAPACITY = 0.15  # share of its warm capacity that a server has at its start
WARM_UP_S = 12.0
OVERLOAD_FACTOR = 2.5  # multiple of the requests that its ramp allows, at which a cold server collapses
OVERLOAD_WINDOW_S = 3.0  # time over which these requests are counted
NO_SENDS_SLACK = -1.0  # slack of a server that was sent no request while cold


@dataclass(slots=True)
class SlowStartMetrics:
    """The result of one run."""

    slack: float  # slack of the worst window of all cold servers: (sends - N) / (2 sqrt(N) + 2)
    sends: int  # number of sends in that window
    budget: float  # N of that window
    slack_present: float  # as `slack`, with N = factor x capacity x ramp at the window's end x window length
    of_capacity: float  # responses of the cold servers in the measured period / capacity of warm ones
    of_slow_start_ramp: float  # the same responses / capacity that their ramp allowed
    served: float  # share of the requests of that period that was answered within the objective


class Window(NamedTuple):
    """A window that ends with a send to a cold server; windows are ordered by slack."""

    slack: float
    sends: int
    budget: float


def slow_start_ramp(age_s: float) -> float:
    """Return the share of its warm capacity that a server of this age has."""
    return min(START_CAPACITY + (1.0 - START_CAPACITY) * age_s / WARM_UP_S, 1.0)


def slow_start_ramp_integral(age_s: float) -> float:
    """Return the integral of the ramp from the start to this age, in seconds of a warm server."""
    warming_up_s = min(max(age_s, 0.0), WARM_UP_S)
    return (
        START_CAPACITY * warming_up_s
        + (1.0 - START_CAPACITY) * warming_up_s * warming_up_s / (2.0 * WARM_UP_S)
        + max(age_s - warming_up_s, 0.0)
    )


def slack(sends: int, budget: float) -> float:
    """Return the excess over the budget, as a share of the tolerated random deviation; 1 is a violation."""
    deviation: float = budget**0.5
    return (sends - budget) / (2.0 * deviation + 2.0)


def worst_window(sends: list[float], capacity_per_s: float = CAPACITY_PER_S) -> list[Window]:
    """Return the worst window that ends while a server is cold, or an empty list without a send in that time.

    `sends` has the times of all sends to the server, in seconds since its start.
    """
    windows = []
    for number, sent_s in enumerate(sends):
        if sent_s < WARM_UP_S:
            count = _sends_in_window(sends, number)
            allowed_s = slow_start_ramp_integral(sent_s) - slow_start_ramp_integral(
                sent_s - OVERLOAD_WINDOW_S
            )
            budget = OVERLOAD_FACTOR * capacity_per_s * allowed_s
            windows.append(Window(slack(count, budget), count, budget))
    return [max(windows)] if windows else []


def slack_at_present_capacity(sends: list[float], capacity_per_s: float = CAPACITY_PER_S) -> float:
    """Return the slack of the worst window, if the capacity at a window's end applies to its whole length."""
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
    """Return the number of sends in the window that ends with send `number`."""
    return number + 1 - bisect_right(sends, sends[number] - OVERLOAD_WINDOW_S)
