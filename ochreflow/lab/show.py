"""What a person is shown of a run: progress, a table, a verdict on each rule."""

from __future__ import annotations

import sys
from collections import Counter

from .judge import RULES, Report
from .latency import Latency
from .stage import Played, Stage


def progress(passed: float, stage: Stage) -> None:
    """One line a second; on a terminal it is written over."""
    counts: Counter[str] = Counter()
    for load in stage.loads:
        counts.update(load.counts)
    asked = sum(load.asked for load in stage.loads)
    said = " ".join(f"{name} {number}" for name, number in counts.items() if number)
    part = min(int(20 * passed / stage.scenario.seconds) + 1, 20)
    line = f"[{'#' * part:<20}] {passed:4.0f} s  asked {asked} {said}  {stage.said}"
    print(f"\r\x1b[K{line}" if sys.stdout.isatty() else line, end="" if sys.stdout.isatty() else "\n")
    sys.stdout.flush()


def told(played: Played) -> str:
    """The whole outcome."""
    text = f"\n{table(played.report)}\n{verdicts(played.report)}"
    for crash in played.crashed:
        text += f"\n  BROKEN  no crash: {crash}"
    if played.void:
        text += f"\n\nVoid: the clients' own sends were up to {played.lag:.2f} s late on this machine."
    return text


def table(report: Report) -> str:
    lines = ["class       asked  served  refused  failed    p50 ms   p99 ms  attempts/request"]
    for name, counts in sorted(report.by_class.items()):
        took = report.latency.get(name, Latency())
        lines.append(
            f"{name:<10} {counts['asked']:>6} {counts['served']:>7} {counts['refused']:>8} "
            f"{counts['failed'] + counts['lost']:>7} {took.percentile(0.5) * 1000:>9.0f} "
            f"{took.percentile(0.99) * 1000:>8.0f} {report.attempts[name] / counts['asked']:>17.3f}"
        )
    lines += ["", "node        taken     ran  failed  turned away  repeats dropped"]
    for name, counts in sorted(report.by_node.items()):
        counts = Counter(counts)
        lines.append(
            f"{name:<10} {counts['taken']:>6} {counts['ran']:>7} {counts['failed']:>7} "
            f"{counts['turned_away']:>12} {counts['dropped']:>16}"
        )
    return "\n".join(lines)


def verdicts(report: Report) -> str:
    lines = ["", "What clients, nodes and the directory wrote down says of the rules:"]
    for rule, meaning in RULES.items():
        broken = report.broken(rule)
        lines.append(f"  {'BROKEN' if broken else 'kept  '}  {rule}: {meaning}")
        lines += [f"            {text}" for text in broken[:3]]
        if len(broken) > 3:
            lines.append(f"            and {len(broken) - 3} more")
    return "\n".join(lines)
