"""Runs scenarios with several seeds in parallel, and reports a line and a JSON object for each run.

Existing result files fix the keys of the objects and the words of the lines.
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

COUNT_NAMES: tuple[str, ...] = (
    EventKind.REQUEST_SENT,
    ClientOutcome.SERVED,
    ClientOutcome.REJECTED,
    ClientOutcome.FAILED,
    ClientOutcome.UNANSWERED,
    ClientOutcome.ABANDONED,
)
MAX_FINDINGS = 3  # findings printed for each run
MS_PER_S = 1000
EXIT_BROKEN, EXIT_VOID = 1, 3

Player = Callable[[Scenario, int, Path | None], RunResult]


@dataclass(frozen=True, slots=True)
class RunPlan:
    """The runs of one command."""

    scenario_names: list[str]
    seed_count: int  # each scenario runs with the seeds 1 to seed_count
    processes: int  # number of runs in parallel
    duration_s: float | None = None  # overrides the duration of the scenarios
    out: str | None = None  # path of a file to which a JSON line is appended for each run

    def scenarios(self) -> dict[str, Scenario]:
        """Read the scenarios; raise ScenarioError if one is invalid."""
        scenarios = {name: read_scenario(name) for name in self.scenario_names}
        if self.duration_s is None:
            return scenarios
        return {
            name: msgspec.structs.replace(scenario, duration_s=self.duration_s)
            for name, scenario in scenarios.items()
        }


@dataclass(frozen=True, slots=True)
class Job:
    """One run of a scenario."""

    name: str  # name of the scenario
    scenario: Scenario
    seed: int
    build: str = ""  # name of the build
    program: Path | None = None  # directory of the build; None: this package


def play_job(play: Player, job: Job, *, with_series: bool = False) -> dict[str, Any]:
    """Do one run and return its result as a JSON object."""
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
    counts, logical_requests = report.by_class[name], report.logical_requests[name]
    latency = report.latency.get(name, LatencyHistogram())
    objective_s = scenario.request_classes[name].objective_s
    return {
        **{str(count_name): counts[count_name] for count_name in COUNT_NAMES},
        "wanted": len(logical_requests),
        "in_time": sum(
            latency_s is not None and latency_s <= objective_s for latency_s in logical_requests.values()
        ),
        "p50": round(latency.percentile(0.5), 4),
        "p99": round(latency.percentile(0.99), 4),
        "attempts": report.attempts[name],
    }


def weighted_goodput(scenario: Scenario, classes: dict[str, dict[str, Any]]) -> float:
    """Return the share of logical requests served within the objective, weighted by priority.

    A logical request counts once, however many attempts it takes; its latency starts at the first attempt.
    """
    weights = {name: scenario.request_classes[name].priority_weight for name in classes}
    total_weight = sum(weights[name] * counts["wanted"] for name, counts in classes.items())
    in_time = sum(weights[name] * counts["in_time"] for name, counts in classes.items())
    return in_time / total_weight if total_weight else 0.0


def format_result(result: dict[str, Any]) -> str:
    """Return the result of a run as one line of text."""
    classes = result["classes"].values()
    totals = {count_name: sum(counts[count_name] for counts in classes) for count_name in COUNT_NAMES}
    optional = ClientOutcome.ABANDONED
    text = " ".join(
        f"{count_name} {number}" for count_name, number in totals.items() if number or count_name != optional
    )
    p99_s = max((counts["p99"] for counts in classes), default=0.0)
    build = f" {result['build']}" if result["build"] else ""
    head = f"{result['scenario']:<16} seed {result['seed']:<3}{build} {result['verdict']:<7}"
    return f"{head} worth {result['worth']:.3f}  {text}  p99 {p99_s * MS_PER_S:.0f} ms"


def play_jobs(
    play: Player, jobs: list[Job], processes: int, *, with_series: bool = False
) -> Iterator[dict[str, Any]]:
    """Do all runs in parallel processes; yield each result when its run ends."""
    with ProcessPoolExecutor(processes) as pool:
        futures = [pool.submit(play_job, play, job, with_series=with_series) for job in jobs]
        for future in as_completed(futures):
            yield future.result()


def run_all(play: Player, plan: RunPlan) -> int:
    """Do all runs and print a line for each when it ends; return the exit code (see `exit_code`)."""
    scenarios = plan.scenarios()
    jobs = [
        Job(name, scenario, seed)
        for seed in range(1, plan.seed_count + 1)
        for name, scenario in scenarios.items()
    ]
    verdicts = set()
    for number, result in enumerate(play_jobs(play, jobs, plan.processes), 1):
        verdicts.add(result["verdict"])
        print(f"[{number}/{len(jobs)}] {format_result(result)}", flush=True)
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
    """Append a result as a JSON line to the file `out`."""
    with Path(out).open("a", encoding="utf-8") as file:
        file.write(json.dumps(result) + "\n")
