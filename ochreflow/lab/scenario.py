"""Scenario files: a fleet, a load, and a time line of troubles. Checked whole before anything is started."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec

LIBRARY = Path(__file__).parent / "scenarios"
Part = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]


class Kind(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A class of requests."""

    share: Positive
    work: Positive  # mean seconds on a warm core
    repeat: Literal["safe", "keyed", "unsafe"]
    wanted: Positive = 2.0  # seconds
    deadline: Positive = 6.0
    worth: Positive = 8.0


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The nodes that are there from the start: node-1, node-2 and so on."""

    nodes: Annotated[int, msgspec.Meta(ge=1, le=64)] = 6
    cores: Annotated[int, msgspec.Meta(ge=1)] = 2
    room: Annotated[int, msgspec.Meta(ge=0)] = 16
    start_capacity: Part = 0.15
    warm_within: Positive = 8.0  # seconds


class Burst(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A while in which more comes."""

    at: Part
    until: Part
    times: Positive


class Load(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What clients offer."""

    rate: Positive = 120.0  # requests a second, all sidecars together
    keys: Annotated[int, msgspec.Meta(ge=1)] = 800
    wave: Part = 0.0  # the part by which the rate swings, once over the run
    bursts: tuple[Burst, ...] = ()


class Step(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One trouble. `at` is the part of the run at which it begins; most last until another step ends them."""

    at: Part
    do: Literal[
        "swallow",  # takes requests, answers none
        "fail",  # the share `much` fails at once
        "slow",  # work takes `much` times as long
        "well",  # all of these end
        "drain",
        "serve",  # the drain ends
        "gone",  # killed, and the directory says so
        "vanish",  # killed, and the directory never says so
        "come",  # a new node starts cold
        "restart",  # killed, and started cold under the same name
        "directory_down",
        "directory_up",
        "kill_sidecar",  # without a warning, and started again
        "end_sidecar",  # SIGTERM, and started again
    ]
    nodes: tuple[int, ...] = ()
    much: float = 1.0


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A whole scenario."""

    says: str
    kinds: dict[str, Kind]
    seconds: Positive = 20.0
    sidecars: Annotated[int, msgspec.Meta(ge=1, le=16)] = 1
    fleet: Fleet = Fleet()
    load: Load = Load()
    steps: tuple[Step, ...] = ()


class ScenarioError(Exception):
    """A scenario that can't be played; the text says why in one line."""


def read_scenario(name: str) -> Scenario:
    """Read a file, or a scenario of the library by its name."""
    path = Path(name) if name.endswith(".toml") else LIBRARY / f"{name}.toml"
    try:
        scenario = msgspec.convert(tomllib.loads(path.read_text()), Scenario)
    except FileNotFoundError:
        known = ", ".join(names())
        raise ScenarioError(f"{name}: no such scenario; the library has {known}") from None
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{path}: {error}") from None
    return _checked(scenario, str(path))


def _checked(scenario: Scenario, path: str) -> Scenario:
    """What single values can't tell: that steps speak of nodes that are there."""
    known = set(range(1, scenario.fleet.nodes + 1))
    for number, step in enumerate(sorted(scenario.steps, key=lambda step: step.at)):
        if step.do == "come":
            known |= set(step.nodes)
        elif unknown := set(step.nodes) - known:
            missing = ", ".join(map(str, sorted(unknown)))
            raise ScenarioError(f"{path}: steps[{number}]: {step.do} of nodes that are not there: {missing}")
    return scenario


def names() -> list[str]:
    """The library."""
    return sorted(path.stem for path in LIBRARY.glob("*.toml"))
