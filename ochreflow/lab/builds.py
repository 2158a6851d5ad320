"""Builds of the program to compare: this checkout or a git revision, optionally with changed constants.

.                                   this checkout
HEAD~3                              a git revision
.,policy/slow_start.py:BURST_S=0.5      this checkout with another value of a constant
"""

from __future__ import annotations

import re
import shutil
import subprocess
from pathlib import Path

from ..errors import OchreflowError

PACKAGE = "ochreflow"
PACKAGE_DIR = Path(__file__).resolve().parents[1]
CHANGE = re.compile(r"([\w/]+\.py):([A-Z_0-9]+)=(.+)")


class BuildError(OchreflowError):
    """Raised if a build can't be made; the message gives the reason in one line."""


def make_build(build: str, target_dir: Path) -> Path:
    """Copy the package of a build into `target_dir`, and return that directory."""
    revision, *changes = build.split(",")
    target_dir.mkdir(parents=True)
    if revision == ".":
        shutil.copytree(PACKAGE_DIR, target_dir / PACKAGE, ignore=shutil.ignore_patterns("__pycache__"))
    else:
        _export(revision, target_dir)
    for change in changes:
        _change(target_dir / PACKAGE, change)
    return target_dir


def _export(revision: str, target_dir: Path) -> None:
    archive = subprocess.run(
        ["git", "archive", "--format=tar", revision, PACKAGE], cwd=PACKAGE_DIR.parent, capture_output=True
    )
    if archive.returncode:
        message = f"{revision}: {archive.stderr.decode().strip().splitlines()[-1]}"
        raise BuildError(message)
    subprocess.run(["tar", "-x", "-C", str(target_dir)], input=archive.stdout, check=True)


def _change(package: Path, change: str) -> None:
    """Set a constant of a module to another value."""
    match = CHANGE.fullmatch(change)
    if match is None:
        message = f"{change}: expected FILE:NAME=VALUE, such as policy/slow_start.py:BURST_S=0.5"
        raise BuildError(message)
    name, constant, value = match.groups()
    path = package / name
    if not path.exists():
        message = f"{change}: the package has no file {name}"
        raise BuildError(message)
    text, count = re.subn(rf"(?m)^{constant} = .*$", f"{constant} = {value}", path.read_text())
    if count != 1:
        message = f"{change}: {name} has no constant {constant}"
        raise BuildError(message)
    path.write_text(text)
