"""Builds the configuration of a sidecar and the directory's entries in the platform's format."""

from __future__ import annotations

from ..platform_config import HOST, NODE_TYPE, NS_PER_MS, RESOURCE_LIMITS, ZONES
from .classes import RequestClass
from .plan import Plan
from .server import Server

NS_PER_S = 1_000_000_000
MS_PER_S = 1000
OBJECTIVE_SHARE = 0.5  # the latency objective as a part of the deadline
SEEDS_PER_RUN = 100  # keeps the seeds of sidecars in consecutive runs distinct


def directory_entry(server: Server, status: str = "SERVING", since_ms: int = 0) -> dict[str, object]:
    """Return the directory's entry for a server."""
    placement = server.placements[-1]
    return {
        "name": f"server-{server.number}",
        "address": f"{HOST}:{server.port}",
        "zone": ZONES[placement.zone],
        "type": NODE_TYPE,
        "group": placement.cell,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


def sidecar_configuration(
    plan: Plan,
    number: int,
    *,
    listen: tuple[str, int],
    directory_address: str,
    entries: list[dict[str, object]],
) -> dict[str, object]:
    """Return the configuration of a sidecar that knows the servers of `entries` from its start."""
    host, port = listen
    return {
        "name": f"sidecar-{number}",
        "listen": f"{host}:{port}",
        "management": f"{HOST}:0",
        "discovery": directory_address,
        "seed": f"{plan.seed * SEEDS_PER_RUN + number + 1:x}",
        "limits": {"cores": 1.0, **RESOURCE_LIMITS},
        "known": {"index": 0, "snapshot": True, "endpoints": entries},
        "settings": _settings(plan, number),
    }


def _settings(plan: Plan, number: int) -> dict[str, object]:
    """Return the settings of a sidecar in the platform's format."""
    return {
        "accounts": [],
        "ceilings": {
            "cancel": True,
            "conn-idle-ns": 60 * NS_PER_S,
            "connect-timeout-ns": round(plan.connect_timeout * MS_PER_S) * NS_PER_MS,
            "max-retry-after-ns": 2 * NS_PER_S,
            "retry-after": True,
            "second-copies": plan.hedging,
            "send-cap": plan.max_attempts,
        },
        "classes": [_class_settings(request_class) for request_class in plan.classes],
        "dcs": ZONES,
        "kinds": [NODE_TYPE],
        "my-zone": number % len(ZONES),
        "index": number,
        "discovery": "ask",
        "fleet-size": plan.sidecars,
        "rules": {
            "must-ask-in-ns": 10 * NS_PER_S,
            "drain-grace-ns": 500 * NS_PER_MS,
            "start-capacity": 0.9,
            "warm-within-ns": NS_PER_S,
            "overload-factor": 50.0,
            "overload-for-ns": 3 * NS_PER_S,
        },
        "tick-ns": 5 * NS_PER_MS,
    }


def _class_settings(request_class: RequestClass) -> dict[str, object]:
    """Return the settings of a request class in the platform's format."""
    return {
        "name": request_class.name,
        "deadline-ns": round(request_class.deadline * MS_PER_S) * NS_PER_MS,
        "objective-ns": round(request_class.deadline * OBJECTIVE_SHARE * MS_PER_S) * NS_PER_MS,
        "repeat": request_class.effect.value,
        "key-scope": request_class.scope.value,
        "window-ns": round(request_class.window * MS_PER_S) * NS_PER_MS,
        "points": 1.0,
        "late-value": 0.0,
        "stream": False,
    }
