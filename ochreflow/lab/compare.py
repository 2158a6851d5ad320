"""Plays two builds on the same scenarios and seeds, and tells the difference."""

from __future__ import annotations

import shutil
import sys
import tempfile
from pathlib import Path

from .builds import make
from .differences import differences, table
from .report import write
from .runs import Job, Player, add_line, line, results, scenarios_of


def compare(
    play: Player,
    builds: tuple[str, str],
    names: list[str],
    seeds: int,
    jobs: int,
    seconds: float | None = None,
    out: str | None = None,
    html: str | None = None,
) -> int:
    """Play both builds and tell the difference; 1 if a rule was broken by either, 3 if runs were void."""
    scenarios = scenarios_of(names, seconds)
    folder = Path(tempfile.mkdtemp(prefix="builds-"))
    try:
        labels = builds if builds[0] != builds[1] else (f"{builds[0]} (A)", f"{builds[1]} (B)")
        made = {label: make(builds[n], folder / str(n)) for n, label in enumerate(labels)}
        work: list[Job] = [
            (name, scenario, seed, label, program)
            for seed in range(1, seeds + 1)
            for name, scenario in scenarios.items()
            for label, program in made.items()
        ]
        found = []
        for result in results(play, work, jobs, with_series=html is not None):
            found.append(result)
            _progress(len(found), len(work), line(result))
            if out is not None:
                add_line(out, {key: value for key, value in result.items() if key != "series"})
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    shown = differences(found, *labels)
    print(f"A: {labels[0]}\nB: {labels[1]}\n\n{table(shown)}")
    broken = [result for result in found if result["verdict"] == "broken"]
    for result in broken:
        print(f"broken: {line(result)}\n      {result['findings'][0]}")
    if html is not None:
        write(Path(html), labels, found, shown)
    return 1 if broken else 3 if any(result["verdict"] == "void" for result in found) else 0


def _progress(number: int, of: int, said: str) -> None:
    """A bar on a terminal, else a line for each run, on standard error."""
    if sys.stderr.isatty():
        filled = 30 * number // of
        end = "\n" if number == of else ""
        print(f"\r\x1b[K[{'#' * filled:<30}] {number}/{of}", end=end, file=sys.stderr, flush=True)
    else:
        print(f"[{number}/{of}] {said}", file=sys.stderr, flush=True)
