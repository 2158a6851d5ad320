"""The decision module of a build: the one of this package, or of another checkout beside it."""

from __future__ import annotations

import importlib
import importlib.util
import sys
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType

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


@dataclass(slots=True)
class Policy:
    """Its three modules that others speak to."""

    interface: ModuleType
    logic: ModuleType
    settings: ModuleType


def load(folder: Path | None) -> Policy:
    """Load `folder`/ochreflow/policy, or this package's own. FileNotFoundError if there is none."""
    name = "ochreflow.policy"
    if folder is not None:
        place = (folder / "ochreflow" / "policy").resolve()
        name = f"_policy_{abs(hash(place)):x}"
        if name not in sys.modules:
            init = place / "__init__.py"
            spec = importlib.util.spec_from_file_location(name, init, submodule_search_locations=[str(place)])
            if spec is None or spec.loader is None or not init.exists():
                raise FileNotFoundError(f"{place}: no decision module there")
            sys.modules[name] = importlib.util.module_from_spec(spec)
            spec.loader.exec_module(sys.modules[name])
    parts = (importlib.import_module(f"{name}.{part}") for part in ("interface", "logic", "settings"))
    interface, *rest = parts
    _add_earlier_names(interface)
    return Policy(interface, *rest)


def _add_earlier_names(interface: ModuleType) -> None:
    """Let a simulation speak to an earlier build by the names of this one."""
    for owner, name, earlier in _EARLIER_NAMES:
        holder = getattr(interface, owner) if owner else interface
        if not hasattr(holder, name):
            setattr(holder, name, getattr(holder, earlier))
    fields = interface.Settings.__dataclass_fields__
    if not _EARLIER_FIELDS.keys() <= fields.keys():
        made = interface.Settings

        def settings(**given: object) -> object:
            return made(**{_EARLIER_FIELDS.get(name, name): value for name, value in given.items()})

        interface.Settings = settings  # type: ignore[attr-defined]  # a module's attribute
