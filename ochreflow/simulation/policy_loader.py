"""Loader for the decision module of a build: this package's own, or that of another checkout."""

from __future__ import annotations

import importlib
import importlib.util
import sys
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType

from ..errors import OchreflowError

# Names that differ in earlier builds: the class that has the name (empty: the interface module itself), the
# current name and the earlier name.
_EARLIER_NAMES = (
    ("Effect", "IDEMPOTENT", "SAFE"),
    ("Status", "REJECTED", "FULL"),
    ("Status", "NOT_SENT", "MOOT"),
    ("State", "REMOVED", "GONE"),
    ("", "Reject", "Refuse"),
    ("", "RequestCancelled", "Dropped"),
)
_EARLIER_FIELDS = {"warm_up_ns": "warm_within_ns"}  # fields of `Settings`: current name, earlier name
_EARLIER_ATTRIBUTES = {"limiter": "limit", "endpoints": "fleet"}  # attributes of `Balancer`, likewise


class PolicyNotFoundError(OchreflowError, FileNotFoundError):
    """Raised for a directory that has no decision module."""


@dataclass(slots=True)
class PolicyModules:
    """The parts of a decision module that its callers use."""

    interface: ModuleType
    balancer: ModuleType
    settings: ModuleType


def load_policy(build_dir: Path | None) -> PolicyModules:
    """Load `build_dir`/ochreflow/policy, or this package's own without `build_dir`.

    Raise `PolicyNotFoundError` if `build_dir` has no decision module.
    """
    package = "ochreflow"
    if build_dir is not None:
        package_dir = (build_dir / "ochreflow").resolve()
        if not (package_dir / "policy" / "__init__.py").exists():
            message = f"{package_dir / 'policy'}: no decision module in this directory"
            raise PolicyNotFoundError(message)
        package = f"_build_{abs(hash(package_dir)):x}"
        if package not in sys.modules:
            # The parent package is empty, so that only the decision module and its errors are loaded.
            sys.modules[package] = parent = ModuleType(package)
            parent.__path__ = [str(package_dir)]
    name = f"{package}.policy"
    interface = importlib.import_module(f"{name}.interface")
    _add_current_names(interface)
    renamed = importlib.util.find_spec(f"{name}.balancer") is not None
    balancer = importlib.import_module(f"{name}.{'balancer' if renamed else 'logic'}")
    if build_dir is not None:
        balancer.Balancer.__getattr__ = _earlier_attribute  # called only for missing attributes
    return PolicyModules(interface, balancer, importlib.import_module(f"{name}.settings"))


def _earlier_attribute(balancer: object, name: str) -> object:
    """Return an attribute of an earlier build's balancer by the name that it has in this build."""
    if name not in _EARLIER_ATTRIBUTES:
        missing = f"{type(balancer).__name__!r} object has no attribute {name!r}"
        raise AttributeError(missing)
    return getattr(balancer, _EARLIER_ATTRIBUTES[name])


def _add_current_names(interface: ModuleType) -> None:
    """Add this build's names to the interface of an earlier build."""
    for owner, name, earlier in _EARLIER_NAMES:
        holder = getattr(interface, owner) if owner else interface
        if not hasattr(holder, name):
            setattr(holder, name, getattr(holder, earlier))
    fields = interface.Settings.__dataclass_fields__
    if not _EARLIER_FIELDS.keys() <= fields.keys():
        earlier_settings = interface.Settings

        def settings(**values: object) -> object:
            return earlier_settings(
                **{_EARLIER_FIELDS.get(name, name): value for name, value in values.items()}
            )

        interface.Settings = settings  # type: ignore[attr-defined]  # a module's attribute
