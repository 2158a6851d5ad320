"""Self-contained HTML report of a comparison, with the plots embedded."""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")  # renders to files, without a display
from matplotlib import pyplot as pyplot

from .differences import Difference
from .series import OUTCOMES

COLORS = {
    "served": "#4c9f70",
    "refused": "#e0a030",
    "failed": "#c0504d",
    "lost": "#404040",
    "left": "#8888cc",
}
STYLE = (
    "body{font:15px sans-serif;margin:2em;max-width:1200px} table{border-collapse:collapse} "
    "td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right} "
    "td:first-child,td:nth-child(2){text-align:left} "
    ".better{color:#2a7a4a} .worse{color:#b03030} img{width:100%}"
)


def write_report(
    path: Path, labels: tuple[str, str], results: list[dict[str, Any]], compared: list[Difference]
) -> None:
    """Write the table of differences and, for each scenario, plots of both runs with the lowest seed."""
    parts = [
        f"<!doctype html><meta charset=utf-8><title>Comparison</title><style>{STYLE}</style>",
        f"<h1>{html.escape(labels[0])} (A) and {html.escape(labels[1])} (B)</h1>",
        _table(compared),
    ]
    for scenario in sorted({result["scenario"] for result in results}):
        runs = [result for result in results if result["scenario"] == scenario]
        seed = min(result["seed"] for result in runs)
        parts.append(f"<h2>{html.escape(scenario)}, seed {seed}</h2>")
        for label in labels:
            for result in runs:
                if result["seed"] == seed and result["build"] == label:
                    parts.append(f"<h3>{html.escape(label)}: worth {result['worth']:.3f}</h3>")
                    parts.append(f'<img alt="run" src="data:image/png;base64,{plot_run(result["series"])}">')
    path.write_text("\n".join(parts), encoding="utf-8")


def _table(compared: list[Difference]) -> str:
    head = "<tr><th>scenario<th>measure<th>pairs<th>A<th>B<th>B - A, 95 %<th>verdict"
    rows = [
        f"<tr><td>{html.escape(difference.scenario)}<td>{difference.measure}<td>{difference.pairs}"
        f"<td>{difference.before:.4f}<td>{difference.after:.4f}"
        f"<td>{difference.low:+.4f} to {difference.high:+.4f}"
        f"<td class={difference.conclusion}>{difference.conclusion}"
        for difference in compared
    ]
    return f"<table>{head}{''.join(rows)}</table>"


def plot_run(run: dict[str, Any]) -> str:
    """Return the plot of a run as base64 PNG: outcomes, latency, requests in nodes, and the faults."""
    step = run["step_s"]
    times = [step * (number + 0.5) for number in range(len(run["requests"]))]
    figure, (outcomes, latency, in_node) = pyplot.subplots(3, 1, figsize=(11, 8), sharex=True)
    outcomes.stackplot(
        times,
        *([count / step for count in run["outcomes"][name]] for name in OUTCOMES),
        labels=OUTCOMES,
        colors=[COLORS[name] for name in OUTCOMES],
        step="mid",
    )
    outcomes.step(times, [count / step for count in run["requests"]], "k:", where="mid", label="asked")
    outcomes.set_ylabel("requests/s")
    for name, values in run["latency_s"].items():
        latency.plot(times, [value * 1000 for value in values], label=name)
    latency.set_ylabel("latency, ms")
    for name, values in sorted(run["in_node"].items()):
        in_node.plot(times, values, label=name, linewidth=1)
    for at, _ in run["ejections"]:
        in_node.axvline(at, color="#c0504d", linewidth=0.8)
    for name in sorted({name for _, name in run["ejections"]}):
        ejected_at = [at for at, ejected in run["ejections"] if ejected == name]
        in_node.plot(ejected_at, [0.0] * len(ejected_at), "v", markersize=4, label=f"{name} ejected")
    in_node.set_ylabel("requests in node")
    in_node.set_xlabel("s")
    _shade(figure.axes, run["faults"], times[-1] + step / 2)
    for axes in figure.axes:
        axes.legend(loc="upper left", fontsize=7, ncols=4)
    return encode_figure(figure)


def encode_figure(figure: Any) -> str:
    """Return a figure as base64 PNG, and close it."""
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=90, bbox_inches="tight")
    pyplot.close(figure)
    return base64.b64encode(buffer.getvalue()).decode()


def format_page(title: str, plots: list[tuple[str, str]]) -> str:
    """Return an HTML page of base64 PNG plots, each with a heading."""
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{title}</title><style>{STYLE}</style><h1>{title}</h1>"
    ]
    for heading, data in plots:
        parts.append(f'<h2>{html.escape(heading)}</h2><img alt="plot" src="data:image/png;base64,{data}">')
    return "\n".join(parts)


def _shade(all_axes: list[Any], steps: list[Any], end: float) -> None:
    """Shade the period from each step to the next, and write the step's text above it."""
    edges = [at for at, _ in steps] + [end]
    for number, (at, text) in enumerate(steps):
        for axes in all_axes:
            axes.axvspan(at, edges[number + 1], color="#888888", alpha=0.08 + 0.08 * (number % 2), lw=0)
        all_axes[0].annotate(text, (at, 1.02), xycoords=("data", "axes fraction"), fontsize=7, rotation=20)
