"""Ranks deliberately worse builds by the lab, in simulated time: does the lab see what is worse?

    python benchmarks/worse_builds.py [--seeds 8] [--jobs 8] [--into FOLDER]

Each build has a line of the decision module changed. Prints one JSON object: mean worth by scenario and
build, and the difference to the module as it is with its interval. With --into it only makes the builds.
"""

from __future__ import annotations

import argparse
import json
import tempfile
from collections import defaultdict
from pathlib import Path

import checkout  # noqa: F401 - it puts this checkout on the import path

from ochreflow.lab.builds import make
from ochreflow.lab.differences import interval
from ochreflow.lab.runs import Job, play_jobs
from ochreflow.lab.scenario import read_scenario, scenario_names
from ochreflow.simulation.simulation import simulate

POLICY = Path("ochreflow/policy")
WORSE = {  # the file that is changed, what in it, and into what
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
    """Make all builds below a directory; the path of each by its name."""
    paths = {}
    for name, change in WORSE.items():
        paths[name] = make(".", directory / name.replace(" ", "-"))
        if change is None:
            continue
        file, old, new = change
        text = (paths[name] / POLICY / file).read_text()
        if text.count(old) != 1:
            message = f"{name}: {old!r} is there {text.count(old)} times"
            raise SystemExit(message)
        (paths[name] / POLICY / file).write_text(text.replace(old, new))
    return paths


def rank(builds: dict[str, Path], seeds: int, jobs: int) -> dict[str, object]:
    """Run all scenarios with each build and seed; the figures of each build by its name."""
    scenarios = {name: read_scenario(name) for name in scenario_names()}
    work = [
        Job(name, scenario, seed, build, program)
        for seed in range(1, seeds + 1)
        for name, scenario in scenarios.items()
        for build, program in builds.items()
    ]
    scores: dict[str, dict[tuple[str, int], float]] = defaultdict(dict)
    broken: dict[str, int] = defaultdict(int)
    for result in play_jobs(simulate, work, jobs):
        scores[result["build"]][result["scenario"], result["seed"]] = result["worth"]
        broken[result["build"]] += result["verdict"] == "broken"
    ranking: dict[str, object] = {}
    reference = scores["as it is"]
    for build, found in scores.items():
        differences = [found[key] - reference[key] for key in sorted(reference)]
        by_scenario = {
            name: round(sum(found[name, seed] for seed in range(1, seeds + 1)) / seeds, 4)
            for name in scenarios
        }
        ranking[build] = {
            "worth": round(sum(found.values()) / len(found), 4),
            "difference": [round(value, 4) for value in interval(differences)],
            "runs that broke a rule": broken[build],
            "scenarios": by_scenario,
        }
    return ranking


def main() -> None:
    """Make the builds, and rank them unless they are only to be made."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--into", type=Path)
    given = parser.parse_args()
    if given.into is not None:
        make_builds(given.into)
        return
    with tempfile.TemporaryDirectory() as directory:
        print(json.dumps(rank(make_builds(Path(directory)), given.seeds, given.jobs), indent=1))


if __name__ == "__main__":
    main()
