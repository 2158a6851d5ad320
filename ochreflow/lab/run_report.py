"""Readable report of a run: progress, a table, and a verdict on each rule."""

from __future__ import annotations

import sys
from collections import Counter

from .event_log import ClientOutcome, EventKind
from .judge import RULES, Report
from .latency import LatencyHistogram
from .run_result import RunResult
from .scenario_runner import ScenarioRunner

BAR_WIDTH = 20
MAX_FINDINGS = 3  # findings shown for each rule
MS_PER_S = 1000
CLASS_HEAD = "class       asked  served  refused  failed    p50 ms   p99 ms  attempts/request"
NODE_HEAD = "node        taken     ran  failed  turned away  repeats dropped"


def print_progress(elapsed_s: float, runner: ScenarioRunner) -> None:
    """Print one line of progress; on a terminal it overwrites the previous one."""
    counts: Counter[str] = Counter()
    for load in runner.loads:
        counts.update(load.outcomes)
    sent = sum(load.sent for load in runner.loads)
    outcomes = " ".join(f"{name} {number}" for name, number in counts.items() if number)
    filled = min(int(BAR_WIDTH * elapsed_s / runner.scenario.duration_s) + 1, BAR_WIDTH)
    bar = f"{'#' * filled:<{BAR_WIDTH}}"
    line = f"[{bar}] {elapsed_s:4.0f} s  asked {sent} {outcomes}  {runner.latest_step}"
    terminal = sys.stdout.isatty()
    print(f"\r\x1b[K{line}" if terminal else line, end="" if terminal else "\n")
    sys.stdout.flush()


def run_text(result: RunResult) -> str:
    """Return the result as text."""
    text = f"\n{table(result.report)}\n{verdicts(result.report)}"
    for crash in result.crashes:
        text += f"\n  BROKEN  no crash: {crash}"
    if result.void:
        delay = f"{result.max_send_delay_s:.2f} s late"
        text += f"\n\nVoid: the clients sent up to {delay} on this machine, too late to judge the sidecar."
    return text


def table(report: Report) -> str:
    """Return a table with a line for each class and for each node."""
    lines = [CLASS_HEAD]
    for name, counts in sorted(report.by_class.items()):
        latency = report.latency.get(name, LatencyHistogram())
        sent = counts[EventKind.REQUEST_SENT]
        failed = counts[ClientOutcome.FAILED] + counts[ClientOutcome.UNANSWERED]
        lines.append(
            f"{name:<10} {sent:>6} {counts[ClientOutcome.SERVED]:>7} {counts[ClientOutcome.REJECTED]:>8} "
            f"{failed:>7} {latency.percentile(0.5) * MS_PER_S:>9.0f} "
            f"{latency.percentile(0.99) * MS_PER_S:>8.0f} {report.attempts[name] / sent:>17.3f}"
        )
    lines += ["", NODE_HEAD]
    for name, counts in sorted(report.by_node.items()):
        lines.append(
            f"{name:<10} {counts[EventKind.ACCEPTED]:>6} {counts[EventKind.COMPLETED]:>7} "
            f"{counts[EventKind.FAILED]:>7} {counts[EventKind.REJECTED]:>12} "
            f"{counts[EventKind.DEDUPLICATED]:>16}"
        )
    return "\n".join(lines)


def verdicts(report: Report) -> str:
    """Return a line for each rule, with its first findings."""
    lines = ["", "Verdicts by the event logs of clients, nodes and the directory:"]
    for rule, meaning in RULES.items():
        violations = report.finding_texts(rule)
        lines.append(f"  {'BROKEN' if violations else 'kept  '}  {rule}: {meaning}")
        lines += [f"            {text}" for text in violations[:MAX_FINDINGS]]
        if len(violations) > MAX_FINDINGS:
            lines.append(f"            and {len(violations) - MAX_FINDINGS} more")
    return "\n".join(lines)
