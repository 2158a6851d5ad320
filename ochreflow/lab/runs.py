"""Many runs: scenarios by seeds, some at a time, a line and a JSON object for each."""

from __future__ import annotations

import json
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import Any

import msgspec

from .demo import play
from .scenario import Scenario, read_scenario
from .show import percentile

WORDS = ("asked", "served", "refused", "failed", "lost")


def one(name: str, scenario: Scenario, seed: int) -> dict[str, Any]:
    """Play one run; what it came to, in plain values."""
    played = play(scenario, seed, None, show=False)
    report = played.report
    classes = {}
    for kind, counts in report.by_class.items():
        took = report.latency.get(kind, [])
        wanted = scenario.kinds[kind].wanted
        classes[kind] = {
            **{word: counts[word] for word in WORDS},
            "in_time": sum(time <= wanted for time in took),
            "p50": round(percentile(took, 0.5), 4),
            "p99": round(percentile(took, 0.99), 4),
            "attempts": report.attempts[kind],
        }
    return {
        "scenario": name,
        "seed": seed,
        "verdict": {0: "kept", 1: "broken", 3: "void"}[played.verdict],
        "worth": round(worth(scenario, classes), 4),
        "classes": classes,
        "findings": [f"{finding.rule}: {finding.text}" for finding in report.findings] + played.crashed,
        "lag": round(played.lag, 4),
    }


def worth(scenario: Scenario, classes: dict[str, dict[str, Any]]) -> float:
    """The worth that was answered in the wanted time, as a part of what was asked for."""
    asked = sum(scenario.kinds[kind].worth * counts["asked"] for kind, counts in classes.items())
    got = sum(scenario.kinds[kind].worth * counts["in_time"] for kind, counts in classes.items())
    return got / asked if asked else 0.0


def line(result: dict[str, Any]) -> str:
    """What a person is shown of a run."""
    classes = result["classes"].values()
    said = " ".join(f"{word} {sum(counts[word] for counts in classes)}" for word in WORDS)
    p99 = max((counts["p99"] for counts in classes), default=0.0)
    head = f"{result['scenario']:<16} seed {result['seed']:<3} {result['verdict']:<7}"
    return f"{head} worth {result['worth']:.3f}  {said}  p99 {p99 * 1000:.0f} ms"


def run_all(names: list[str], seeds: int, jobs: int, seconds: float | None, out: str | None) -> int:
    """Play all, and print a line for each as it ends; 1 if a rule was broken, 3 if a run was void."""
    scenarios = {name: read_scenario(name) for name in names}
    if seconds is not None:
        scenarios = {name: msgspec.structs.replace(made, seconds=seconds) for name, made in scenarios.items()}
    verdicts = set()
    with ProcessPoolExecutor(jobs) as pool:
        runs = [
            pool.submit(one, name, made, seed)
            for seed in range(1, seeds + 1)
            for name, made in scenarios.items()
        ]
        for number, run in enumerate(as_completed(runs), 1):
            result = run.result()
            verdicts.add(result["verdict"])
            print(f"[{number}/{len(runs)}] {line(result)}", flush=True)
            for finding in result["findings"][:3]:
                print(f"      {finding}")
            if out is not None:
                with open(out, "a", encoding="utf-8") as file:
                    file.write(json.dumps(result) + "\n")
    return 1 if "broken" in verdicts else 3 if "void" in verdicts else 0
