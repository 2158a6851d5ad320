"""Runs scenarios with processes on loopback, among them the demo."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

import msgspec
import uvloop

from .run_report import print_progress, run_text
from .run_result import RunResult
from .scenario import Scenario, read_scenario
from .scenario_runner import ScenarioRunner


def play(
    scenario: Scenario,
    seed: int,
    program: Path | None = None,
    *,
    keep: str | None = None,
    show_progress: bool = False,
) -> RunResult:
    """Run a scenario with a build of the program; keep its logs only if `keep` names a directory."""
    run_dir = Path(keep or tempfile.mkdtemp(prefix="ochreflow-lab-"))
    run_dir.mkdir(parents=True, exist_ok=True)
    try:
        runner = ScenarioRunner(scenario, run_dir, seed, program)
        return uvloop.run(runner.run(print_progress) if show_progress else runner.run())
    finally:
        if keep is None:
            shutil.rmtree(run_dir, ignore_errors=True)


def main(duration_s: float, seed: int, keep: str | None) -> int:
    """Run the demo; return 0 if all rules were kept, 1 if one was broken, 3 if the machine was too slow."""
    scenario = msgspec.structs.replace(read_scenario("demo"), duration_s=duration_s)
    result = play(scenario, seed, keep=keep, show_progress=True)
    print(run_text(result))
    return result.outcome
