"""Many runs: scenarios by seeds, some at a time, a line and a JSON object for each.

The keys of the objects and the words of the lines are those of the files that exist.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import msgspec

from .event_log import ClientOutcome, EventKind
from .judge import Report
from .latency import LatencyHistogram
from .run_result import RunResult
from .scenario import Scenario, read_scenario

COUNTED: tuple[str, ...] = (
    EventKind.REQUEST_SENT,
    ClientOutcome.SERVED,
    ClientOutcome.REJECTED,
    ClientOutcome.FAILED,
    ClientOutcome.UNANSWERED,
    ClientOutcome.ABANDONED,
)
MAX_FINDINGS = 3  # printed of a run
MS_PER_S = 1000
EXIT_BROKEN, EXIT_VOID = 1, 3

Player = Callable[[Scenario, int, Path | None], RunResult]


@dataclass(frozen=True, slots=True)
class RunPlan:
    """Which runs to play."""

    names: list[str]  # of scenarios
    seeds: int  # each scenario is played with seeds 1 to this
    processes: int  # runs at a time
    duration_s: float | None = None  # in place of the scenarios' own
    out: str | None = None  # a file to which a JSON line is appended for each run

    def scenarios(self) -> dict[str, Scenario]:
        """Read the scenarios; ScenarioError if one can't be played."""
        scenarios = {name: read_scenario(name) for name in self.names}
        if self.duration_s is None:
            return scenarios
        return {
            name: msgspec.structs.replace(scenario, duration_s=self.duration_s)
            for name, scenario in scenarios.items()
        }


@dataclass(frozen=True, slots=True)
class Job:
    """One run to play."""

    name: str  # of the scenario
    scenario: Scenario
    seed: int
    build: str = ""  # the name of the build
    program: Path | None = None  # the folder of the build; None: this package


def play_job(play: Player, job: Job, *, with_series: bool = False) -> dict[str, Any]:
    """Play one run; return its result in plain values."""
    run = play(job.scenario, job.seed, job.program)
    report = run.report
    classes = {name: _class_result(job.scenario, report, name) for name in report.by_class}
    result = {
        "scenario": job.name,
        "seed": job.seed,
        "build": job.build,
        "verdict": run.outcome.name.lower(),
        "worth": round(weighted_goodput(job.scenario, classes), 4),
        "classes": classes,
        "findings": [f"{finding.rule}: {finding.text}" for finding in report.findings] + run.crashes,
        "used": {f"{name} {resource}": peak for (name, resource), peak in report.peak_usage.items()},
        "lag": round(run.max_send_delay_s, 4),
        "digest": run.digest,
    }
    if with_series and run.series is not None:
        result["series"] = asdict(run.series)
    return result


def _class_result(scenario: Scenario, report: Report, name: str) -> dict[str, Any]:
    counts, logical = report.by_class[name], report.logical_requests[name]
    latency = report.latency.get(name, LatencyHistogram())
    objective_s = scenario.request_classes[name].objective_s
    return {
        **{str(word): counts[word] for word in COUNTED},
        "wanted": len(logical),
        "in_time": sum(latency_s is not None and latency_s <= objective_s for latency_s in logical.values()),
        "p50": round(latency.percentile(0.5), 4),
        "p99": round(latency.percentile(0.99), 4),
        "attempts": report.attempts[name],
    }


def weighted_goodput(scenario: Scenario, classes: dict[str, dict[str, Any]]) -> float:
    """Return the part of the logical requests that was served within the objective, by priority weight.

    A logical request counts once, however many attempts it took, and its time runs from the first one.
    """
    weights = {name: scenario.request_classes[name].priority_weight for name in classes}
    total_weight = sum(weights[name] * counts["wanted"] for name, counts in classes.items())
    in_time = sum(weights[name] * counts["in_time"] for name, counts in classes.items())
    return in_time / total_weight if total_weight else 0.0


def line(result: dict[str, Any]) -> str:
    """Return the line of a run."""
    classes = result["classes"].values()
    totals = {word: sum(counts[word] for counts in classes) for word in COUNTED}
    optional = ClientOutcome.ABANDONED
    text = " ".join(f"{word} {number}" for word, number in totals.items() if number or word != optional)
    p99_s = max((counts["p99"] for counts in classes), default=0.0)
    build = f" {result['build']}" if result["build"] else ""
    head = f"{result['scenario']:<16} seed {result['seed']:<3}{build} {result['verdict']:<7}"
    return f"{head} worth {result['worth']:.3f}  {text}  p99 {p99_s * MS_PER_S:.0f} ms"


def play_jobs(
    play: Player, jobs: list[Job], processes: int, *, with_series: bool = False
) -> Iterator[dict[str, Any]]:
    """Play all, some at a time; give each result as it is there."""
    with ProcessPoolExecutor(processes) as pool:
        runs = [pool.submit(play_job, play, job, with_series=with_series) for job in jobs]
        for run in as_completed(runs):
            yield run.result()


def run_all(play: Player, plan: RunPlan) -> int:
    """Play all, and print a line for each as it ends; 1 if a rule was broken, 3 if a run was void."""
    scenarios = plan.scenarios()
    jobs = [
        Job(name, scenario, seed) for seed in range(1, plan.seeds + 1) for name, scenario in scenarios.items()
    ]
    verdicts = set()
    for number, result in enumerate(play_jobs(play, jobs, plan.processes), 1):
        verdicts.add(result["verdict"])
        print(f"[{number}/{len(jobs)}] {line(result)}", flush=True)
        for finding in result["findings"][:MAX_FINDINGS]:
            print(f"      {finding}")
        if plan.out is not None:
            append_result(plan.out, result)
    return exit_code(verdicts)


def exit_code(verdicts: set[str]) -> int:
    """Return 1 if a rule was broken, else 3 if a run was void, else 0."""
    if "broken" in verdicts:
        return EXIT_BROKEN
    return EXIT_VOID if "void" in verdicts else 0


def append_result(out: str, result: dict[str, Any]) -> None:
    """Append a JSON line to a file."""
    with Path(out).open("a", encoding="utf-8") as file:
        file.write(json.dumps(result) + "\n")
