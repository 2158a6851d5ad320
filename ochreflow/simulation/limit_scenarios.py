"""Scenarios for the concurrency limit: each tries a way in which it can be too low or too high."""

from __future__ import annotations

from typing import Any

import msgspec

from ..lab.scenario import Scenario

REQUEST_CLASSES = {
    "exposure": {"share": 0.71, "work": 0.045, "repeat": "keyed", "wanted": 2.5, "worth": 8.0},
    "assign": {"share": 0.29, "work": 0.028, "repeat": "unsafe", "worth": 24.0},
}
BASE_RATE_PER_S = 260.0  # requests a second: about half of what eight nodes can do that know some of the keys
ALL_NODES = tuple(range(1, 9))


def _scenario(says: str, steps: list[dict[str, Any]] | None = None, **more: Any) -> Scenario:
    """Make a scenario of eight nodes and four sidecars, in the words of scenario files."""
    load = {"rate": BASE_RATE_PER_S, "tries": 2, **more.pop("load", {})}
    fleet = {"nodes": 8, **more.pop("fleet", {})}
    given = {
        "says": says,
        "kinds": REQUEST_CLASSES,
        "seconds": 30.0,
        "sidecars": 4,
        "load": load,
        "fleet": fleet,
    }
    return msgspec.convert({**given, "steps": steps or [], **more}, Scenario)


def _step(at: float, do: str, nodes: tuple[int, ...], much: float = 1.0) -> dict[str, Any]:
    return {"at": at, "do": do, "nodes": list(nodes), "much": much}


def _rising_load(steps: int) -> list[dict[str, float]]:
    """Return bursts up to three times the base rate and back, within the middle half of the run."""
    width = 0.5 / steps
    peak = steps / 2
    return [
        {
            "at": 0.25 + number * width,
            "until": 0.25 + (number + 1) * width,
            "times": 1.0 + 2.0 * (1.0 - abs(number + 0.5 - peak) / peak),
        }
        for number in range(steps)
    ]


LIMIT_SCENARIOS: dict[
    str, tuple[Scenario, float]
] = {  # with the part of the run at which the fault has ended
    "steady": (_scenario("half of what the fleet can do, and nothing else"), 0.0),
    "cold start": (_scenario("the whole fleet is cold", fleet={"cold": True}), 0.3),
    "step": (
        _scenario(
            "2.5 times the usual and back",
            load={"bursts": [{"at": 0.3, "until": 0.6, "times": 2.5}]},
        ),
        0.6,
    ),
    "ramp": (_scenario("up to three times the usual and back", load={"bursts": _rising_load(20)}), 0.75),
    "three of eight": (
        _scenario(
            "three of eight are gone and cold ones come for them",
            [_step(0.3, "gone", (1, 2, 3)), _step(0.5, "come", (9, 10, 11))],
            load={"rate": 400.0},
        ),
        0.75,
    ),
    "near zone": (
        _scenario("the near zone has half of what is asked", fleet={"near": 3}, load={"rate": 300.0}),
        0.0,
    ),
    "slow fleet": (
        _scenario(
            "all nodes are twice as slow for a while",
            [_step(0.3, "slow", ALL_NODES, 2.0), _step(0.6, "well", ALL_NODES)],
            load={"rate": 340.0},
        ),
        0.6,
    ),
    "long tail": (_scenario("work of a long tail", load={"tail": 1.3}), 0.0),
    "few": (_scenario("two requests a second at each sidecar", load={"rate": 8.0}), 0.0),
    "one sidecar's burst": (
        _scenario(
            "one sidecar with a burst of what the whole fleet can do",
            load={"rate": 290.0, "bursts": [{"at": 0.3, "until": 0.5, "times": 2.2}]},
            sidecars=1,
        ),
        0.5,
    ),
}
