"""The demo: a directory, six nodes, a sidecar and a load, all as processes on loopback, with troubles."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

import msgspec
import uvloop

from .scenario import Scenario, read_scenario
from .show import progress, told
from .stage import Played, Stage


def play(scenario: Scenario, seed: int, keep: str | None, show: bool = True) -> Played:
    """Play a scenario; its logs and ledgers stay in `keep`, or nowhere."""
    folder = Path(keep or tempfile.mkdtemp(prefix="ochreflow-lab-"))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        stage = Stage(scenario, folder, seed)
        return uvloop.run(stage.run(progress) if show else stage.run())
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)


def main(seconds: float, seed: int, keep: str | None) -> int:
    """Play the demo; 0 if every rule held, 1 if one was broken, 3 if the machine was too slow to tell."""
    scenario = msgspec.structs.replace(read_scenario("demo"), seconds=seconds)
    played = play(scenario, seed, keep)
    print(told(played))
    return played.verdict
