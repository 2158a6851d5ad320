"""Builds of the program to compare: a git revision, with settings changed in it.

.                                   the checkout as it is
HEAD~3                              a revision, in a folder of its own
.,policy/slow_start.py:BURST_S=0.5      one whose constant has another value
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
    """A build that can't be had; the text says why in one line."""


def make_build(build: str, target_dir: Path) -> Path:
    """Put a build's package into `target_dir`; return that directory."""
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
    """Give a constant of a module another value."""
    match = CHANGE.fullmatch(change)
    if match is None:
        message = f"{change}: wanted FILE:NAME=VALUE, such as policy/slow_start.py:BURST_S=0.5"
        raise BuildError(message)
    name, constant, value = match.groups()
    path = package / name
    if not path.exists():
        message = f"{change}: there is no {name}"
        raise BuildError(message)
    text, count = re.subn(rf"(?m)^{constant} = .*$", f"{constant} = {value}", path.read_text())
    if count != 1:
        message = f"{change}: {name} has no constant {constant}"
        raise BuildError(message)
    path.write_text(text)
