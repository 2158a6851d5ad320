"""Scenario files: a fleet, a load, and a time line of troubles. Checked whole before anything is started."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from . import arrivals

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
    slots: Annotated[int, msgspec.Meta(ge=0)] = 0  # worked on at once; 0: one for each core
    turning_away: Annotated[float, msgspec.Meta(ge=0.0)] = 0.001  # seconds of a core to turn one away
    crowding: Annotated[float, msgspec.Meta(ge=0.0, le=0.95)] = 0.0  # speed lost with a full waiting room
    start_capacity: Part = 0.15
    warm_within: Positive = 8.0  # seconds
    warm_work: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0  # ... or these seconds of work done; 0: time
    remembers: Annotated[float, msgspec.Meta(ge=0.0)] = 5.0  # seconds for which a key is known
    keys: Annotated[int, msgspec.Meta(ge=1)] = 64  # known at the most
    connections: Annotated[int, msgspec.Meta(ge=0)] = 0  # at the most; 0: any number
    pod: Annotated[int, msgspec.Meta(ge=1)] = 1  # nodes that drop each other's repeats
    cold: bool = False  # from the start
    near: Annotated[int, msgspec.Meta(ge=0)] = 0  # nodes in the sidecars' own zone; 0: every second one


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
    leaving: Part = 0.0  # the share of clients that leave before their answer
    slow: Part = 0.0  # ... that write in pieces and read late
    long: Part = 0.0  # ... that bring a body of `long_bytes`
    long_bytes: Annotated[int, msgspec.Meta(ge=1)] = 200_000
    hinted: Part = 0.0  # ... that tell what the work will cost
    tail: Annotated[float, msgspec.Meta(ge=0.0, le=2.0)] = 0.6  # of work: deviation of its logarithm
    tries: Annotated[int, msgspec.Meta(ge=1, le=8)] = 1  # of a client in all, as soon as a refusal allows


class Directory(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How the directory treats those that call."""

    per_second: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0  # calls served, in turn; 0: all at once
    room: Annotated[int, msgspec.Meta(ge=0)] = 32  # calls that may wait; one beyond gets a 503
    resets: Part = 0.0  # the share of calls that end in a reset
    late: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0  # seconds until watches are told of a change
    keeps: Annotated[int, msgspec.Meta(ge=0)] = 0  # changes remembered; 0: all


class Step(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One trouble. `at` is the part of the run at which it begins; most last until another step ends them."""

    at: Part
    do: Literal[
        "swallow",  # takes requests, answers none
        "fail",  # the share `much` fails at once
        "slow",  # work takes `much` times as long
        "spoil",  # the share `much` of answers comes in another `form`
        "well",  # all of these end
        "freeze",  # it stops in the middle of everything: connections stay open and silent
        "thaw",  # and goes on
        "drain",
        "serve",  # the drain ends
        "gone",  # killed, and the directory says so
        "vanish",  # killed, and the directory never says so
        "delist",  # the directory says that it is gone, and it lives on
        "come",  # a new node starts cold
        "replace",  # killed, and another (`by`) starts cold at its address
        "restart",  # killed, and started cold under the same name
        "directory_down",
        "directory_up",
        "directory_restart",  # killed, and started again with an index begun anew
        "directory_move",  # another one, at another address; sidecars get SIGHUP
        "upgrade_sidecar",  # the new one starts beside the old one on its socket, then the old one ends
        "kill_sidecar",  # without a warning, and started again
        "end_sidecar",  # SIGTERM, and started again
    ]
    nodes: tuple[int, ...] = ()
    much: float = 1.0
    by: tuple[int, ...] = ()
    form: Literal["extra", "interim", "cut", "garbled", "stalled"] = "extra"


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A whole scenario."""

    says: str
    kinds: dict[str, Kind]
    seconds: Positive = 20.0
    sidecars: Annotated[int, msgspec.Meta(ge=1, le=16)] = 1
    fleet: Fleet = Fleet()
    load: Load = Load()
    directory: Directory = Directory()
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
        if step.do == "replace" and len(step.by) != len(step.nodes):
            raise ScenarioError(f"{path}: steps[{number}]: replace wants a node in `by` for each in `nodes`")
        if step.do == "come":
            known |= set(step.nodes)
        elif step.do == "replace":
            known = known - set(step.nodes) | set(step.by)
        elif unknown := set(step.nodes) - known:
            missing = ", ".join(map(str, sorted(unknown)))
            raise ScenarioError(f"{path}: steps[{number}]: {step.do} of nodes that are not there: {missing}")
    return scenario


def times(scenario: Scenario, passed: float) -> float:
    """The factor on the load at a time of the run, in seconds."""
    part = passed / scenario.seconds
    load = scenario.load
    wave = 1.0 + load.wave * (2.0 * abs(2.0 * (part % 1.0) - 1.0) - 1.0)
    for burst in load.bursts:
        if burst.at <= part < burst.until:
            wave *= burst.times
    return wave


def arriving(scenario: Scenario) -> tuple[list[arrivals.Kind], arrivals.Habits]:
    """The classes and habits of its clients."""
    kinds = [
        arrivals.Kind(name, kind.share, kind.repeat, kind.deadline, kind.work)
        for name, kind in scenario.kinds.items()
    ]
    load = scenario.load
    habits = arrivals.Habits(
        load.leaving, load.slow, load.long, load.long_bytes, load.hinted, load.tail, load.tries
    )
    return kinds, habits


def node_traits(scenario: Scenario, name: str, cold: bool) -> dict[str, Any]:
    """What a node of its fleet is like, as the model takes it."""
    given = msgspec.structs.asdict(scenario.fleet)
    for other in ("nodes", "pod", "near", "cold"):
        del given[other]
    work = {kind: made.work for kind, made in scenario.kinds.items()}
    return {**given, "name": name, "work": work, "warm_within": given["warm_within"] if cold else 0.0}


def names() -> list[str]:
    """The library."""
    return sorted(path.stem for path in LIBRARY.glob("*.toml"))
