"""Compares two builds on the same scenarios and seeds."""

from __future__ import annotations

import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any

from .builds import make_build
from .differences import differences, table
from .html_report import write_report
from .runs import Job, Player, RunPlan, append_result, exit_code, format_result, play_jobs

BAR_WIDTH = 30


def compare(play: Player, builds: tuple[str, str], plan: RunPlan, html: str | None = None) -> int:
    """Run both builds and print the differences; return the exit code (see `exit_code`)."""
    builds_dir = Path(tempfile.mkdtemp(prefix="builds-"))
    try:
        labels = builds if builds[0] != builds[1] else (f"{builds[0]} (A)", f"{builds[1]} (B)")
        scenarios = plan.scenarios()
        programs = {
            label: make_build(builds[number], builds_dir / str(number)) for number, label in enumerate(labels)
        }
        jobs = [
            Job(name, scenario, seed, label, program)
            for seed in range(1, plan.seed_count + 1)
            for name, scenario in scenarios.items()
            for label, program in programs.items()
        ]
        results: list[dict[str, Any]] = []
        for result in play_jobs(play, jobs, plan.processes, with_series=html is not None):
            results.append(result)
            _print_progress(len(results), len(jobs), format_result(result))
            if plan.out is not None:
                append_result(plan.out, {key: value for key, value in result.items() if key != "series"})
    finally:
        shutil.rmtree(builds_dir, ignore_errors=True)
    return _show(results, labels, html)


def _show(results: list[dict[str, Any]], labels: tuple[str, str], html: str | None) -> int:
    """Print the differences and the broken rules, and write the report; return the exit code."""
    compared = differences(results, *labels)
    print(f"A: {labels[0]}\nB: {labels[1]}\n\n{table(compared)}")
    for result in results:
        if result["verdict"] == "broken":
            print(f"broken: {format_result(result)}\n      {result['findings'][0]}")
    if html is not None:
        write_report(Path(html), labels, results, compared)
    return exit_code({result["verdict"] for result in results})


def _print_progress(number: int, total: int, text: str) -> None:
    """Print to standard error: a progress bar on a terminal, otherwise a line for each run."""
    if sys.stderr.isatty():
        filled = BAR_WIDTH * number // total
        end = "\n" if number == total else ""
        print(f"\r\x1b[K[{'#' * filled:<{BAR_WIDTH}}] {number}/{total}", end=end, file=sys.stderr, flush=True)
    else:
        print(f"[{number}/{total}] {text}", file=sys.stderr, flush=True)
