"""Many runs: scenarios by seeds, some at a time, a line and a JSON object for each."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict
from pathlib import Path
from typing import Any

import msgspec

from .latency import Latency
from .scenario import Scenario, read_scenario
from .stage import Played

WORDS = ("asked", "served", "refused", "failed", "lost", "left")
Player = Callable[[Scenario, int, Path | None], Played]
Job = tuple[str, Scenario, int, str, Path | None]  # name, scenario, seed, name of the build and its folder


def one(play: Player, job: Job, with_series: bool = False) -> dict[str, Any]:
    """Play one run; what it came to, in plain values."""
    name, scenario, seed, build, program = job
    played = play(scenario, seed, program)
    report = played.report
    classes = {}
    for kind, counts in report.by_class.items():
        took = report.latency.get(kind, Latency())
        matters = report.matters[kind]
        wanted = scenario.kinds[kind].wanted
        classes[kind] = {
            **{word: counts[word] for word in WORDS},
            "wanted": len(matters),
            "in_time": sum(time is not None and time <= wanted for time in matters.values()),
            "p50": round(took.percentile(0.5), 4),
            "p99": round(took.percentile(0.99), 4),
            "attempts": report.attempts[kind],
        }
    result = {
        "scenario": name,
        "seed": seed,
        "build": build,
        "verdict": {0: "kept", 1: "broken", 3: "void"}[played.verdict],
        "worth": round(worth(scenario, classes), 4),
        "classes": classes,
        "findings": [f"{finding.rule}: {finding.text}" for finding in report.findings] + played.crashed,
        "used": {f"{name} {what}": most for (name, what), most in report.used.items()},
        "lag": round(played.lag, 4),
        "digest": played.digest,
    }
    if with_series and played.series is not None:
        result["series"] = asdict(played.series)
    return result


def worth(scenario: Scenario, classes: dict[str, dict[str, Any]]) -> float:
    """The worth that was answered in the wanted time, as a part of what clients wanted.

    What a client wanted counts once, however often it tried, and its time runs from the first try.
    """
    wanted = sum(scenario.kinds[kind].worth * counts["wanted"] for kind, counts in classes.items())
    got = sum(scenario.kinds[kind].worth * counts["in_time"] for kind, counts in classes.items())
    return got / wanted if wanted else 0.0


def line(result: dict[str, Any]) -> str:
    """What a person is shown of a run."""
    classes = result["classes"].values()
    totals = {word: sum(counts[word] for counts in classes) for word in WORDS}
    said = " ".join(f"{word} {number}" for word, number in totals.items() if number or word != "left")
    p99 = max((counts["p99"] for counts in classes), default=0.0)
    build = f" {result['build']}" if result["build"] else ""
    head = f"{result['scenario']:<16} seed {result['seed']:<3}{build} {result['verdict']:<7}"
    return f"{head} worth {result['worth']:.3f}  {said}  p99 {p99 * 1000:.0f} ms"


def scenarios_of(names: list[str], seconds: float | None) -> dict[str, Scenario]:
    """Read them, each at its own length or at the one given; ScenarioError if one can't be played."""
    scenarios = {name: read_scenario(name) for name in names}
    if seconds is None:
        return scenarios
    return {name: msgspec.structs.replace(made, seconds=seconds) for name, made in scenarios.items()}


def results(play: Player, work: list[Job], jobs: int, with_series: bool = False) -> Iterator[dict[str, Any]]:
    """Play all, some at a time; each result as it is there."""
    with ProcessPoolExecutor(jobs) as pool:
        runs = [pool.submit(one, play, job, with_series) for job in work]
        for run in as_completed(runs):
            yield run.result()


def run_all(
    play: Player, names: list[str], seeds: int, jobs: int, seconds: float | None, out: str | None
) -> int:
    """Play all, and print a line for each as it ends; 1 if a rule was broken, 3 if a run was void."""
    scenarios = scenarios_of(names, seconds)
    work: list[Job] = [
        (name, made, seed, "", None) for seed in range(1, seeds + 1) for name, made in scenarios.items()
    ]
    verdicts = set()
    for number, result in enumerate(results(play, work, jobs), 1):
        verdicts.add(result["verdict"])
        print(f"[{number}/{len(work)}] {line(result)}", flush=True)
        for finding in result["findings"][:3]:
            print(f"      {finding}")
        if out is not None:
            add_line(out, result)
    return 1 if "broken" in verdicts else 3 if "void" in verdicts else 0


def add_line(out: str, result: dict[str, Any]) -> None:
    """Add a JSON object to a file of them."""
    with open(out, "a", encoding="utf-8") as file:
        file.write(json.dumps(result) + "\n")
