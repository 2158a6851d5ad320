"""Plays a scenario with processes on loopback; the demo is one of them."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

import msgspec
import uvloop

from .scenario import Scenario, read_scenario
from .show import progress, told
from .stage import Played, Stage


def play(
    scenario: Scenario, seed: int, program: Path | None = None, keep: str | None = None, show: bool = False
) -> Played:
    """Play it with a build of the program; its logs and event logs stay in `keep`, or nowhere."""
    folder = Path(keep or tempfile.mkdtemp(prefix="ochreflow-lab-"))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        stage = Stage(scenario, folder, seed, program)
        return uvloop.run(stage.run(progress) if show else stage.run())
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)


def main(seconds: float, seed: int, keep: str | None) -> int:
    """Play the demo; 0 if every rule held, 1 if one was broken, 3 if the machine was too slow to tell."""
    scenario = msgspec.structs.replace(read_scenario("demo"), seconds=seconds)
    played = play(scenario, seed, keep=keep, show=True)
    print(told(played))
    return played.verdict
