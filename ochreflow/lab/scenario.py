"""Scenario files: a fleet, a load and a timeline of faults, validated completely before a run starts.

The classes map the keys of a file to the terms of the code: `rename` gives the key of each renamed field.
"""

from __future__ import annotations

import tomllib
from enum import StrEnum
from functools import partial
from pathlib import Path
from typing import Annotated, Any

import msgspec

from ..errors import OchreflowError
from .arrivals import ClientLoad, ClientProfile, Idempotency, RequestClass
from .directory_behaviour import Count, DirectoryBehaviour, NonNegative, Share
from .node_messages import Malformation

LIBRARY = Path(__file__).parent / "scenarios"
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1)]


class RequestClassSpec(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={
        "mean_work_s": "work",
        "idempotency": "repeat",
        "objective_s": "wanted",
        "deadline_s": "deadline",
        "priority_weight": "worth",
    },
):
    """A request class."""

    share: Positive
    mean_work_s: Positive  # mean work of a request, in seconds of a warm core
    idempotency: Idempotency
    objective_s: Positive = 2.0
    deadline_s: Positive = 6.0
    priority_weight: Positive = 8.0


class Fleet(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={
        "node_count": "nodes",
        "queue_capacity": "room",
        "concurrency": "slots",
        "rejection_cost_s": "turning_away",
        "crowding_loss": "crowding",
        "warm_up_s": "warm_within",
        "warm_up_work_s": "warm_work",
        "key_cache_ttl_s": "remembers",
        "key_cache_size": "keys",
        "max_connections": "connections",
        "group_size": "pod",
        "starts_warming_up": "cold",
        "local_nodes": "near",
    },
):
    """The nodes at the start of a run (node-1, node-2, ...); `NodeProfile` explains most of the fields."""

    node_count: Annotated[int, msgspec.Meta(ge=1, le=64)] = 6
    cores: PositiveCount = 2
    queue_capacity: Count = 16
    concurrency: Count = 0
    rejection_cost_s: NonNegative = 0.001
    crowding_loss: Annotated[float, msgspec.Meta(ge=0.0, le=0.95)] = 0.0
    start_capacity: Share = 0.15
    warm_up_s: Positive = 8.0
    warm_up_work_s: NonNegative = 0.0
    key_cache_ttl_s: NonNegative = 5.0
    key_cache_size: PositiveCount = 64
    max_connections: Count = 0
    group_size: PositiveCount = 1  # nodes that share one set of idempotency keys to drop duplicates
    starts_warming_up: bool = False
    local_nodes: Count = 0  # nodes in the sidecars' own zone; 0: every second node


class Burst(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={"start": "at", "end": "until", "factor": "times"},
):
    """A period with a multiplied request rate; start and end are fractions of the run."""

    start: Share
    end: Share
    factor: Positive


class Load(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={
        "rate_per_s": "rate",
        "key_count": "keys",
        "wave_amplitude": "wave",
        "abandon_share": "leaving",
        "slow_share": "slow",
        "large_body_share": "long",
        "large_body_bytes": "long_bytes",
        "cost_hint_share": "hinted",
        "work_log_stddev": "tail",
        "max_attempts": "tries",
    },
):
    """The requests that clients send; `ClientProfile` explains the shares."""

    rate_per_s: Positive = 120.0  # request rate over all sidecars
    key_count: PositiveCount = 800
    wave_amplitude: Share = 0.0  # relative amplitude of one cycle of the rate over the run
    bursts: tuple[Burst, ...] = ()
    abandon_share: Share = 0.0
    slow_share: Share = 0.0
    large_body_share: Share = 0.0
    large_body_bytes: PositiveCount = 200_000
    cost_hint_share: Share = 0.0
    work_log_stddev: Annotated[float, msgspec.Meta(ge=0.0, le=2.0)] = 0.6
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=8)] = 1


class StepAction(StrEnum):
    """Actions of steps; the values are the names in scenario files."""

    BLACKHOLE = "swallow"  # accepts requests and answers none
    FAIL_FAST = "fail"  # the share `amount` of requests fails at once
    SLOW_DOWN = "slow"  # work takes `amount` times as long
    MALFORM = "spoil"  # the share `amount` of responses has the `malformation`
    RECOVER = "well"  # ends all of the above
    FREEZE = "freeze"  # stops the process: connections stay open and silent
    THAW = "thaw"  # continues a frozen process
    DRAIN = "drain"
    UNDRAIN = "serve"
    REMOVE = "gone"  # killed, and removed from the directory
    VANISH = "vanish"  # killed, but still listed in the directory
    DELIST = "delist"  # removed from the directory, but still running
    ADD = "come"  # a new node starts cold
    REPLACE = "replace"  # killed, and another node (`replacements`) starts cold at its address
    RESTART = "restart"  # killed, and started cold with the same name
    DIRECTORY_DOWN = "directory_down"
    DIRECTORY_UP = "directory_up"
    DIRECTORY_RESTART = "directory_restart"  # killed, and started with a new index
    DIRECTORY_MOVE = "directory_move"  # replaced by one at another address; sidecars get SIGHUP
    UPGRADE_SIDECAR = "upgrade_sidecar"  # a new process takes over the socket of the old one
    KILL_SIDECAR = "kill_sidecar"  # SIGKILL, and started again
    END_SIDECAR = "end_sidecar"  # SIGTERM, and started again


DIRECTORY_ACTIONS = frozenset(
    {
        StepAction.DIRECTORY_DOWN,
        StepAction.DIRECTORY_UP,
        StepAction.DIRECTORY_RESTART,
        StepAction.DIRECTORY_MOVE,
    }
)
SIDECAR_ACTIONS = frozenset({StepAction.UPGRADE_SIDECAR, StepAction.KILL_SIDECAR, StepAction.END_SIDECAR})


class Step(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={"action": "do", "amount": "much", "replacements": "by", "malformation": "form"},
):
    """A fault that starts at the fraction `at` of the run; most faults last until another step ends them."""

    at: Share
    action: StepAction
    nodes: tuple[int, ...] = ()
    amount: float = 1.0
    replacements: tuple[int, ...] = ()
    malformation: Malformation = Malformation.EXTRA_BYTES


class Scenario(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={
        "description": "says",
        "request_classes": "kinds",
        "duration_s": "seconds",
        "sidecar_count": "sidecars",
    },
):
    """The content of a scenario file."""

    description: str
    request_classes: dict[str, RequestClassSpec]
    duration_s: Positive = 20.0
    sidecar_count: Annotated[int, msgspec.Meta(ge=1, le=16)] = 1
    fleet: Fleet = Fleet()
    load: Load = Load()
    directory: DirectoryBehaviour = DirectoryBehaviour()
    steps: tuple[Step, ...] = ()

    @property
    def non_idempotent(self) -> list[str]:
        """Classes whose requests must not be executed twice; nodes drop duplicates of keyed ones."""
        return [
            name for name, spec in self.request_classes.items() if spec.idempotency != Idempotency.IDEMPOTENT
        ]


class ScenarioError(OchreflowError):
    """Raised if a scenario is invalid or can't be read; the message gives the reason in one line."""


def read_scenario(name: str) -> Scenario:
    """Read a scenario from a .toml file or from the library by name; raise ScenarioError if it is invalid."""
    path = Path(name) if name.endswith(".toml") else LIBRARY / f"{name}.toml"
    try:
        scenario = msgspec.convert(tomllib.loads(path.read_text()), Scenario)
    except FileNotFoundError:
        known = ", ".join(scenario_names())
        message = f"{name}: no such scenario; the library has {known}"
        raise ScenarioError(message) from None
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        message = f"{path}: {error}"
        raise ScenarioError(message) from None
    _check_steps(scenario, str(path))
    return scenario


def _check_steps(scenario: Scenario, path: str) -> None:
    """Check that each step names only nodes that exist at its time, which the schema can't express."""
    known_nodes = set(range(1, scenario.fleet.node_count + 1))
    for number, step in enumerate(sorted(scenario.steps, key=lambda step: step.at)):
        if step.action is StepAction.REPLACE and len(step.replacements) != len(step.nodes):
            message = (
                f"{path}: steps[{number}]: replace needs exactly one node in `by` for each node in `nodes`"
            )
            raise ScenarioError(message)
        if step.action is StepAction.ADD:
            known_nodes |= set(step.nodes)
        elif step.action is StepAction.REPLACE:
            known_nodes = known_nodes - set(step.nodes) | set(step.replacements)
        elif unknown := set(step.nodes) - known_nodes:
            missing = ", ".join(map(str, sorted(unknown)))
            message = f"{path}: steps[{number}]: {step.action} of nodes that do not exist then: {missing}"
            raise ScenarioError(message)


def rate_factor(scenario: Scenario, elapsed_s: float) -> float:
    """Return the factor on the request rate at a time of the run."""
    run_fraction = elapsed_s / scenario.duration_s
    load = scenario.load
    factor = 1.0 + load.wave_amplitude * (2.0 * abs(2.0 * (run_fraction % 1.0) - 1.0) - 1.0)
    for burst in load.bursts:
        if burst.start <= run_fraction < burst.end:
            factor *= burst.factor
    return factor


def client_load(scenario: Scenario) -> ClientLoad:
    """Return the load that the clients of each sidecar send."""
    load = scenario.load
    request_classes = [
        RequestClass(name, spec.share, spec.idempotency, spec.deadline_s, spec.mean_work_s)
        for name, spec in scenario.request_classes.items()
    ]
    profile = ClientProfile(
        abandon_share=load.abandon_share,
        slow_share=load.slow_share,
        large_body_share=load.large_body_share,
        large_body_bytes=load.large_body_bytes,
        cost_hint_share=load.cost_hint_share,
        work_log_stddev=load.work_log_stddev,
        max_attempts=load.max_attempts,
    )
    rate_per_s = load.rate_per_s / scenario.sidecar_count
    return ClientLoad(request_classes, rate_per_s, load.key_count, partial(rate_factor, scenario), profile)


def node_profile(scenario: Scenario, name: str, *, warming_up: bool) -> dict[str, Any]:
    """Return the fields of a node's `NodeProfile`; the warm-up time of a warm node is 0."""
    fields = msgspec.structs.asdict(scenario.fleet)
    for fleet_field in ("node_count", "group_size", "local_nodes", "starts_warming_up"):
        del fields[fleet_field]
    mean_work_s = {class_name: spec.mean_work_s for class_name, spec in scenario.request_classes.items()}
    warm_up_s = fields["warm_up_s"] if warming_up else 0.0
    return {**fields, "name": name, "mean_work_s": mean_work_s, "warm_up_s": warm_up_s}


def scenario_names() -> list[str]:
    """Return the names of the library's scenarios."""
    return sorted(path.stem for path in LIBRARY.glob("*.toml"))
