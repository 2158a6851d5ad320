"""The decision module of a build: the one of this package, or of another checkout beside it."""

from __future__ import annotations

import importlib
import sys
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType


@dataclass(slots=True)
class Policy:
    """Its three modules that others speak to."""

    interface: ModuleType
    logic: ModuleType
    settings: ModuleType


def load(folder: Path | None) -> Policy:
    """Load `folder`/ochreflow/policy, or this package's own. FileNotFoundError if there is none."""
    package = "ochreflow"
    if folder is not None:
        place = (folder / "ochreflow").resolve()
        package = f"_build_{abs(hash(place)):x}"
        if package not in sys.modules:
            if not (place / "policy" / "__init__.py").exists():
                raise FileNotFoundError(f"{place / 'policy'}: no decision module there")
            # A parent without code of its own: what the module imports from beside it is that build's too.
            parent = ModuleType(package)
            parent.__path__ = [str(place)]
            sys.modules[package] = parent
    parts = ("interface", "logic", "settings")
    return Policy(*(importlib.import_module(f"{package}.policy.{part}") for part in parts))
