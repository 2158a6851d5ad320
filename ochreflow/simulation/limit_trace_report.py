"""Report on traces of the concurrency limit: a line for each scenario, and an HTML file with plots."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from dataclasses import fields
from functools import partial
from pathlib import Path

from .limit_scenarios import LIMIT_SCENARIOS
from .limit_trace import STEP_S, Trace, TraceSummary, trace

HEADER = "course               offered  in time   oracle  needless    late  lets go s  shed after"


def _trace(seed: int, name: str) -> tuple[Trace, TraceSummary]:
    scenario, fault_end = LIMIT_SCENARIOS[name]
    return trace(scenario, seed, fault_end)


def field_means(summaries: list[TraceSummary]) -> dict[str, float]:
    """Return the mean of each field over the seeds."""
    names = [field.name for field in fields(TraceSummary)]
    return {name: sum(getattr(summary, name) for summary in summaries) / len(summaries) for name in names}


def report_line(name: str, means: dict[str, float]) -> str:
    """Return the report's line for a scenario."""
    offered = means["offered"]
    return (
        f"{name:<20} {offered:>7.0f} {means['in_time'] / offered:>8.4f} {means['oracle'] / offered:>8.4f} "
        f"{means['needless']:>9.1f} {means['late']:>7.1f} {means['recovery_s']:>10.1f} "
        f"{means['shed_after']:>11.3f}"
    )


def run(names: list[str], seeds: int, processes: int, html: str | None) -> int:
    """Trace scenarios and print a line for each; return the exit code."""
    print(HEADER)
    plots: dict[str, Trace] = {}
    with ProcessPoolExecutor(processes) as pool:
        pending = {
            name: [pool.submit(partial(_trace, seed), name) for seed in range(1, seeds + 1)] for name in names
        }
        for name, runs in pending.items():
            results = [run.result() for run in runs]
            plots[name] = results[0][0]
            print(report_line(name, field_means([summary for _, summary in results])))
    if html is not None:
        _write_plots(Path(html), plots)
    return 0


def _write_plots(path: Path, plots: dict[str, Trace]) -> None:
    from ..lab.html_report import encode_figure, format_page, pyplot

    parts = []
    for name, sampled in plots.items():
        times = [STEP_S * number for number in range(len(sampled.limit))]
        figure, (requests, concurrency) = pyplot.subplots(2, 1, figsize=(11, 6), sharex=True)
        for row in ("offered", "admitted", "in_time", "oracle"):
            values = [value / STEP_S for value in getattr(sampled, row)][: len(times)]
            requests.plot(times, values, label=row.replace("_", " "))
        requests.set_ylabel("requests/s")
        concurrency.plot(times, sampled.limit, label="limit")
        concurrency.plot(times, sampled.inflight, label="in flight")
        concurrency.set_yscale("symlog")
        pressure = concurrency.twinx()
        pressure.plot(times, sampled.pressure, "k:", label="pressure")
        concurrency.set_xlabel("s")
        for axes in (requests, concurrency, pressure):
            axes.legend(fontsize=7, loc="upper right" if axes is pressure else "upper left")
        parts.append((f"{name}: {LIMIT_SCENARIOS[name][0].description}", encode_figure(figure)))
    path.write_text(format_page("The concurrency limit over time", parts), encoding="utf-8")
