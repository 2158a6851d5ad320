"""The platform's configuration of a sidecar and the directory's entries, in the platform's vocabulary.

This module translates the lab's own terms.
"""

from __future__ import annotations

from typing import Any

from .arrivals import Idempotency
from .scenario import RequestClassSpec, Scenario

HOST = "127.0.0.1"
NS_PER_MS = 1_000_000
MS_PER_S = 1000
IDEMPOTENCY_SETTINGS = {
    Idempotency.IDEMPOTENT: "pure",
    Idempotency.IDEMPOTENT_WITH_KEY: "token",
    Idempotency.NON_IDEMPOTENT: "side_effect",
}
RESOURCE_LIMITS = {"memory_mb": 192, "sockets": 1024}  # limits of one sidecar
ZONES = ["amman", "aqaba"]
NODE_TYPE = "gen3"
SIDECAR_SEED_OFFSET = 0xA11
LATE_GROUP_OFFSET = 1000  # added to the number of a node that starts later, to give its group
CEILINGS = {
    "cancel": True,
    "conn-idle-ns": 60_000 * NS_PER_MS,
    "connect-timeout-ns": 250 * NS_PER_MS,
    "max-retry-after-ns": 2000 * NS_PER_MS,
    "retry-after": True,
    "second-copies": True,
    "send-cap": 4,
}


def platform_config(
    scenario: Scenario, number: int, listen: str, directory: str, known_entries: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the platform's configuration of one sidecar, in the same form as in production.

    `listen` and `directory` are addresses; `known_entries` is the sidecar's initial endpoint list.
    """
    return {
        "name": f"sidecar-{number}",
        "listen": listen,
        "management": f"{HOST}:0",
        "discovery": directory,
        "seed": f"{number + SIDECAR_SEED_OFFSET:x}",
        "limits": {"cores": 1.0, **RESOURCE_LIMITS},
        "known": {"index": 0, "snapshot": True, "endpoints": known_entries},
        "settings": _settings(scenario, number),
    }


def _settings(scenario: Scenario, number: int) -> dict[str, Any]:
    return {
        "accounts": [],
        "ceilings": dict(CEILINGS),
        "classes": [_request_class(name, spec) for name, spec in scenario.request_classes.items()],
        "dcs": ZONES,
        "kinds": [NODE_TYPE],
        "my-zone": 0,
        "index": number,
        "discovery": "ask",
        "fleet-size": scenario.sidecar_count,
        "rules": _rules(scenario),
        "tick-ns": 5 * NS_PER_MS,
    }


def _request_class(name: str, spec: RequestClassSpec) -> dict[str, Any]:
    return {
        "name": name,
        "deadline-ns": int(spec.deadline_s * MS_PER_S) * NS_PER_MS,
        "objective-ns": int(spec.objective_s * MS_PER_S) * NS_PER_MS,
        "repeat": IDEMPOTENCY_SETTINGS[spec.idempotency],
        "key-scope": "cell",
        "window-ns": 4000 * NS_PER_MS,
        "points": spec.priority_weight,
        "late-value": 0.0,
        "stream": False,
    }


def _rules(scenario: Scenario) -> dict[str, Any]:
    fleet = scenario.fleet
    return {
        "must-ask-in-ns": 10_000 * NS_PER_MS,
        "drain-grace-ns": 2500 * NS_PER_MS,
        "start-capacity": fleet.start_capacity,
        "warm-within-ns": int(fleet.warm_up_s * MS_PER_S) * NS_PER_MS,
        "overload-factor": 2.5,
        "overload-for-ns": 3000 * NS_PER_MS,
    }


def directory_entry(scenario: Scenario, number: int, address: str, since_ms: int) -> dict[str, Any]:
    """Return the directory's entry of a node; each node that starts later has a group of its own."""
    fleet = scenario.fleet
    remote = number > fleet.local_nodes if fleet.local_nodes else number % 2 == 0
    initial = number <= fleet.node_count
    return {
        "name": f"node-{number}",
        "address": address,
        "zone": ZONES[remote],
        "type": NODE_TYPE,
        "group": 1 + (number - 1) // fleet.group_size if initial else LATE_GROUP_OFFSET + number,
        "status": "SERVING",
        "weight": 1.0,
        "since_ms": since_ms,
    }
