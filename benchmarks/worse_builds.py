"""Ranks deliberately degraded builds in simulated time, to check that the lab detects the degradation.

    python benchmarks/worse_builds.py [--seeds 8] [--jobs 8] [--into FOLDER]

Each build has one line of the policy package changed. Prints one JSON object: the mean worth by build and
scenario, and the difference from the unchanged build with its confidence interval. With --into the
builds are only created.
"""

from __future__ import annotations

import argparse
import json
import tempfile
from collections import defaultdict
from pathlib import Path

import checkout  # noqa: F401 - puts this checkout on the import path

from ochreflow.lab.builds import make_build
from ochreflow.lab.differences import interval
from ochreflow.lab.runs import Job, play_jobs
from ochreflow.lab.scenario import read_scenario, scenario_names
from ochreflow.simulation.simulation import simulate

POLICY = Path("ochreflow/policy")
BUILD_CHANGES = {  # the changed file, the original text and its replacement, by build name
    "as it is": None,
    "no ejection": (
        "outlier_detection.py",
        "MAX_CONSECUTIVE_FAILURES = 2.0",
        "MAX_CONSECUTIVE_FAILURES = 1e9",
    ),
    "random pick": (
        "endpoint_picker.py",
        "if best is None or delay < lowest:",
        "if best is None or self.context.random.random() < 0.5:",
    ),
    "no retry budget": ("retry_policy.py", "RETRIES_PER_REQUEST = 0.1", "RETRIES_PER_REQUEST = 1e6"),
}


def make_builds(directory: Path) -> dict[str, Path]:
    """Create all builds below a directory; return their paths by name."""
    paths = {}
    for name, change in BUILD_CHANGES.items():
        paths[name] = make_build(".", directory / name.replace(" ", "-"))
        if change is None:
            continue
        file, old, new = change
        text = (paths[name] / POLICY / file).read_text()
        if text.count(old) != 1:
            message = f"{name}: {old!r} occurs {text.count(old)} times, expected once"
            raise SystemExit(message)
        (paths[name] / POLICY / file).write_text(text.replace(old, new))
    return paths


def rank(builds: dict[str, Path], seeds: int, jobs: int) -> dict[str, object]:
    """Run all scenarios with each build and seed; return the results by build name."""
    scenarios = {name: read_scenario(name) for name in scenario_names()}
    planned_runs = [
        Job(name, scenario, seed, build, program)
        for seed in range(1, seeds + 1)
        for name, scenario in scenarios.items()
        for build, program in builds.items()
    ]
    scores: dict[str, dict[tuple[str, int], float]] = defaultdict(dict)
    broken: dict[str, int] = defaultdict(int)
    for result in play_jobs(simulate, planned_runs, jobs):
        scores[result["build"]][result["scenario"], result["seed"]] = result["worth"]
        broken[result["build"]] += result["verdict"] == "broken"
    ranking: dict[str, object] = {}
    reference = scores["as it is"]
    for build, build_scores in scores.items():
        differences = [build_scores[key] - reference[key] for key in sorted(reference)]
        by_scenario = {
            name: round(sum(build_scores[name, seed] for seed in range(1, seeds + 1)) / seeds, 4)
            for name in scenarios
        }
        ranking[build] = {
            "worth": round(sum(build_scores.values()) / len(build_scores), 4),
            "difference": [round(value, 4) for value in interval(differences)],
            "runs that broke a rule": broken[build],
            "scenarios": by_scenario,
        }
    return ranking


def main() -> None:
    """Create the builds, and rank them unless --into is given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--into", type=Path)
    options = parser.parse_args()
    if options.into is not None:
        make_builds(options.into)
        return
    with tempfile.TemporaryDirectory() as directory:
        print(json.dumps(rank(make_builds(Path(directory)), options.seeds, options.jobs), indent=1))


if __name__ == "__main__":
    main()
