"""Scenarios for the concurrency limit: each tests a situation in which it may be too low or too high."""

from __future__ import annotations

from typing import Any

import msgspec

from ..lab.scenario import Scenario

REQUEST_CLASSES = {
    "exposure": {"share": 0.71, "work": 0.045, "repeat": "keyed", "wanted": 2.5, "worth": 8.0},
    "assign": {"share": 0.29, "work": 0.028, "repeat": "unsafe", "worth": 24.0},
}
BASE_RATE_PER_S = 260.0  # about half of the capacity of eight nodes that have cached some of the keys
ALL_NODES = tuple(range(1, 9))


def _scenario(description: str, steps: list[dict[str, Any]] | None = None, **overrides: Any) -> Scenario:
    """Return a scenario with eight nodes and four sidecars; `overrides` has the keys of scenario files."""
    load = {"rate": BASE_RATE_PER_S, "tries": 2, **overrides.pop("load", {})}
    fleet = {"nodes": 8, **overrides.pop("fleet", {})}
    defaults = {
        "says": description,
        "kinds": REQUEST_CLASSES,
        "seconds": 30.0,
        "sidecars": 4,
        "load": load,
        "fleet": fleet,
    }
    return msgspec.convert({**defaults, "steps": steps or [], **overrides}, Scenario)


def _step(at: float, action: str, nodes: tuple[int, ...], amount: float = 1.0) -> dict[str, Any]:
    return {"at": at, "do": action, "nodes": list(nodes), "much": amount}


def _rising_load(steps: int) -> list[dict[str, float]]:
    """Return bursts that rise to three times the base rate and fall again, in the middle half of the run."""
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


LIMIT_SCENARIOS: dict[str, tuple[Scenario, float]] = {  # scenario, end of its fault as a share of the run
    "steady": (_scenario("half of the fleet's capacity, without a fault"), 0.0),
    "cold start": (_scenario("all nodes are cold at the start", fleet={"cold": True}), 0.3),
    "step": (
        _scenario(
            "the rate steps up to 2.5 times the base rate and back",
            load={"bursts": [{"at": 0.3, "until": 0.6, "times": 2.5}]},
        ),
        0.6,
    ),
    "ramp": (
        _scenario(
            "the rate rises to three times the base rate and falls again", load={"bursts": _rising_load(20)}
        ),
        0.75,
    ),
    "three of eight": (
        _scenario(
            "three of eight nodes are removed, and later replaced by cold ones",
            [_step(0.3, "gone", (1, 2, 3)), _step(0.5, "come", (9, 10, 11))],
            load={"rate": 400.0},
        ),
        0.75,
    ),
    "near zone": (
        _scenario(
            "the local zone has the capacity for half of the load", fleet={"near": 3}, load={"rate": 300.0}
        ),
        0.0,
    ),
    "slow fleet": (
        _scenario(
            "all nodes are slowed down by a factor of 2 for part of the run",
            [_step(0.3, "slow", ALL_NODES, 2.0), _step(0.6, "well", ALL_NODES)],
            load={"rate": 340.0},
        ),
        0.6,
    ),
    "long tail": (_scenario("the work per request has a long-tailed distribution", load={"tail": 1.3}), 0.0),
    "few": (_scenario("two requests per second at each sidecar", load={"rate": 8.0}), 0.0),
    "one sidecar's burst": (
        _scenario(
            "one sidecar, with a burst that takes the whole fleet's capacity",
            load={"rate": 290.0, "bursts": [{"at": 0.3, "until": 0.5, "times": 2.2}]},
            sidecars=1,
        ),
        0.5,
    ),
}
