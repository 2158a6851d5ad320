"""The decision module of a build: the one of this package, or of another checkout beside it."""

from __future__ import annotations

import importlib
import importlib.util
import sys
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType

from ..errors import OchreflowError

# What earlier builds call the names used here: owner (empty: the module itself), name, earlier name.
_EARLIER_NAMES = (
    ("Effect", "IDEMPOTENT", "SAFE"),
    ("Status", "REJECTED", "FULL"),
    ("Status", "NOT_SENT", "MOOT"),
    ("State", "REMOVED", "GONE"),
    ("", "Reject", "Refuse"),
    ("", "RequestCancelled", "Dropped"),
)
_EARLIER_FIELDS = {"warm_up_ns": "warm_within_ns"}  # of `Settings`
_EARLIER_PARTS = {"limiter": "limit", "endpoints": "fleet"}  # of `Balancer`


class PolicyNotFoundError(OchreflowError, FileNotFoundError):
    """A folder without a decision module."""


@dataclass(slots=True)
class PolicyModules:
    """The modules of a decision module that callers use."""

    interface: ModuleType
    balancer: ModuleType
    settings: ModuleType


def load_policy(build_dir: Path | None) -> PolicyModules:
    """Load `build_dir`/ochreflow/policy, or this package's own; PolicyNotFoundError if there is none."""
    package = "ochreflow"
    if build_dir is not None:
        place = (build_dir / "ochreflow").resolve()
        if not (place / "policy" / "__init__.py").exists():
            message = f"{place / 'policy'}: no decision module there"
            raise PolicyNotFoundError(message)
        package = f"_build_{abs(hash(place)):x}"
        if package not in sys.modules:
            # An empty parent package: only the decision module and the errors below it are loaded.
            sys.modules[package] = parent = ModuleType(package)
            parent.__path__ = [str(place)]
    name = f"{package}.policy"
    interface = importlib.import_module(f"{name}.interface")
    _add_earlier_names(interface)
    renamed = importlib.util.find_spec(f"{name}.balancer") is not None
    balancer = importlib.import_module(f"{name}.{'balancer' if renamed else 'logic'}")
    if build_dir is not None:
        balancer.Balancer.__getattr__ = _earlier_part  # asked only for parts that this build does not have
    return PolicyModules(interface, balancer, importlib.import_module(f"{name}.settings"))


def _earlier_part(balancer: object, name: str) -> object:
    """Find a part of an earlier build's balancer by the name that it has in this build."""
    if name not in _EARLIER_PARTS:
        missing = f"{type(balancer).__name__!r} object has no attribute {name!r}"
        raise AttributeError(missing)
    return getattr(balancer, _EARLIER_PARTS[name])


def _add_earlier_names(interface: ModuleType) -> None:
    """Let a simulation use an earlier build by the names of this one."""
    for owner, name, earlier in _EARLIER_NAMES:
        holder = getattr(interface, owner) if owner else interface
        if not hasattr(holder, name):
            setattr(holder, name, getattr(holder, earlier))
    fields = interface.Settings.__dataclass_fields__
    if not _EARLIER_FIELDS.keys() <= fields.keys():
        earlier_settings = interface.Settings

        def settings(**given: object) -> object:
            return earlier_settings(
                **{_EARLIER_FIELDS.get(name, name): value for name, value in given.items()}
            )

        interface.Settings = settings  # type: ignore[attr-defined]  # a module's attribute
