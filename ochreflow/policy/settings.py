"""Settings, read from either of two forms: lines of path=value, or the nested object of a configuration."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from ..errors import OchreflowError
from . import interface as api

EFFECTS = {
    "pure": api.Effect.IDEMPOTENT,
    "token": api.Effect.IDEMPOTENT_WITH_KEY,
    "side_effect": api.Effect.NON_IDEMPOTENT,
}
SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.CELL}
REPORT_COLUMNS = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
}


FLAGS: Mapping[object, bool] = {"true": True, "false": False, True: True, False: False}

T = TypeVar("T")


class SettingError(OchreflowError, ValueError):
    """A setting is missing or invalid; the message names it."""


@dataclass(slots=True)
class Transport:
    """Settings that the sockets use and the decision module does not."""

    kinds: list[str]
    conn_idle_ns: int
    max_open: int


def canonical_column(name: str) -> str:
    """Return the decision module's name for a field of load reports."""
    return REPORT_COLUMNS.get(name, name)


def _name_list(raw: object) -> list[str]:
    values = raw if isinstance(raw, list) else str(raw).split(",")
    return [str(name) for name in values if name != ""]


def _finite_float(raw: str) -> float:
    value = float(raw)
    if not math.isfinite(value):
        raise ValueError(raw)
    return value


class _SettingValues:
    """Raw settings by path; their conversions raise SettingError, which names the path."""

    def __init__(self, values: Mapping[str, object]) -> None:
        self.values = values

    def _convert(self, key: str, convert: Callable[[Any], T], default: T | None) -> T:
        raw = self.values.get(key)
        if raw is None:
            if default is None:
                message = f"setting {key} is missing"
                raise SettingError(message)
            return default
        try:
            return convert(raw)
        except (ValueError, KeyError, TypeError, OverflowError):
            message = f"setting {key} is unreadable: {raw!r}"
            raise SettingError(message) from None

    def text(self, key: str, default: str | None = None) -> str:
        """Read a string."""
        return self._convert(key, str, default)

    def integer(self, key: str, default: int | None = None) -> int:
        """Read a finite number and truncate it to an integer."""
        return self._convert(key, lambda raw: int(_finite_float(raw)), default)

    def number(self, key: str, default: float | None = None) -> float:
        """Read a finite number."""
        return self._convert(key, _finite_float, default)

    def flag(self, key: str, *, default: bool | None = None) -> bool:
        """Read a boolean, or the string "true" or "false"."""
        return self._convert(key, FLAGS.__getitem__, default)

    def choice(self, key: str, choices: Mapping[str, T], default: T | None = None) -> T:
        """Read one of the keys of `choices` and return its value."""
        return self._convert(key, choices.__getitem__, default)

    def names(self, key: str) -> list[str]:
        """Read a list of names: separated by commas in the text form, a list in the nested form."""
        return self._convert(key, _name_list, [])


def _request_class(values: _SettingValues, prefix: str) -> api.RequestClass:
    deadline = values.integer(prefix + "deadline-ns")
    if deadline <= 0:
        message = f"setting {prefix}deadline-ns must be positive: got {deadline}"
        raise SettingError(message)
    return api.RequestClass(
        name=values.text(prefix + "name", ""),
        objective_ns=values.integer(prefix + "objective-ns", deadline),
        deadline_ns=deadline,
        priority_weight=values.number(prefix + "points", 1.0),
        late_priority_weight=values.number(prefix + "late-value", 0.0),
        effect=values.choice(prefix + "repeat", EFFECTS),
        scope=values.choice(prefix + "key-scope", SCOPES, api.Scope.CELL),
        window_ns=values.integer(prefix + "window-ns", 0),
        stream=values.flag(prefix + "stream", default=False),
    )


def parse_settings(text: str) -> api.Settings:
    """Read settings from lines of path=value; ignore unknown paths, raise SettingError for invalid values."""
    return _read(_SettingValues(dict(line.split("=", 1) for line in text.splitlines() if "=" in line)))


def nested_settings(nested: object) -> api.Settings:
    """Read the settings from the nested object of a sidecar's configuration."""
    return _read(_values_of(nested))


def nested_transport(nested: object) -> Transport:
    """Read the settings of the sockets from the nested object of a sidecar's configuration."""
    values = _values_of(nested)
    return Transport(
        kinds=values.names("kinds"),
        conn_idle_ns=values.integer("ceilings.conn-idle-ns", 60_000_000_000),
        max_open=values.integer("ceilings.max-open", 20_000),
    )


def _values_of(nested: object) -> _SettingValues:
    if not isinstance(nested, dict):
        message = f"settings must be an object: got {type(nested).__name__}"
        raise SettingError(message)
    values: dict[str, object] = {}
    _flatten("", nested, values)
    return _SettingValues(values)


def _flatten(path: str, value: object, values: dict[str, object]) -> None:
    """Add each leaf of a nested value to `values`, under the path that it has in the text form."""
    if isinstance(value, dict):
        for key, item in value.items():
            _flatten(f"{path}.{key}" if path else key, item, values)
    elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        values[f"{path}.count"] = len(value)
        for number, item in enumerate(value):
            _flatten(f"{path}.{number}", item, values)
    else:
        values[path] = value


def _tenants(values: _SettingValues) -> list[api.Tenant]:
    return [
        api.Tenant(
            name=values.text(f"accounts.{n}.name", ""),
            share=values.number(f"accounts.{n}.share", 0.0),
            quota_per_s=values.number(f"accounts.{n}.allowance-per-s", 0.0),
        )
        for n in range(values.integer("accounts.count", 0))
    ]


def _report_columns(values: _SettingValues) -> tuple[str, ...]:
    """Read the names of the fields of load reports, in order; empty if servers do not report."""
    columns = tuple(canonical_column(name) for name in values.names("telemetry.columns"))
    return columns if values.text("telemetry.how", "silent") != "silent" else ()


def _read(values: _SettingValues) -> api.Settings:
    count = values.integer("classes.count")
    if count < 1:
        message = f"setting classes.count must be at least 1: got {count}"
        raise SettingError(message)
    # Tenants and report columns come first: if several settings are invalid, the first one read is named.
    tenants = _tenants(values)
    report_columns = _report_columns(values)
    return api.Settings(
        classes=[_request_class(values, f"classes.{n}.") for n in range(count)],
        zones=values.names("dcs"),
        zone=values.integer("my-zone", 0),
        tenants=tenants,
        over_quota_weight=values.number("over-share-worth", 1.0),
        weight_by_work=values.text("worth-by", "request") == "work",
        index=values.integer("index", 0),
        fleet_size=values.integer("fleet-size", 1),
        tick_ns=values.integer("tick-ns", 1_000_000),
        polling_required=values.text("discovery", "push") == "ask",
        polling_interval_ns=values.integer("rules.must-ask-in-ns", 10_000_000_000),
        drain_grace_ns=values.integer("rules.drain-grace-ns", 0),
        answer_slack_ns=values.integer("rules.answer-slack-ns", 0),
        start_capacity=values.number("rules.start-capacity", 1.0),
        warm_up_ns=values.integer("rules.warm-within-ns", 0),
        overload_factor=values.number("rules.overload-factor", 3.0),
        overload_for_ns=values.integer("rules.overload-for-ns", 3_000_000_000),
        max_attempts=values.integer("ceilings.send-cap"),
        hedging=values.flag("ceilings.second-copies", default=False),
        can_cancel=values.flag("ceilings.cancel", default=False),
        can_probe=values.flag("ceilings.probing", default=False),
        can_gossip=values.flag("ceilings.peers", default=False),
        retry_after=values.flag("ceilings.retry-after", default=False),
        max_retry_after_ns=values.integer("ceilings.max-retry-after-ns", 0),
        connect_timeout_ns=values.integer("ceilings.connect-timeout-ns", 0),
        report_columns=report_columns,
        weighted=values.text("weight-source", "silent") != "silent",
        goal_worst_class=values.number("goal.worst-class", 0.0),
        price_cross_zone=values.number("prices.cross-zone", 0.0),
        price_waste=values.number("prices.waste", 0.0),
        price_peer=values.number("prices.peer", 0.0),
    )
