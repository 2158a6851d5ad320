"""What the difference between two builds is, and whether it is one.

Runs are paired by scenario and seed: both builds are offered the same requests, and the scenario's own
difficulty falls out of the difference. The interval is a bootstrap over the pairs.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy

DRAWS = 10_000
LEVEL = 0.95
SEED = 20261201  # of the bootstrap: the same results give the same interval
PAIRS_LEAST = 4  # fewer say nothing of chance


@dataclass(slots=True)
class Difference:
    """Of one measure, B less A, over the pairs of one scenario or of all."""

    scenario: str
    measure: str
    pairs: int
    before: float
    after: float
    low: float
    high: float
    better_up: bool = True

    @property
    def verdict(self) -> str:
        """In plain words; nothing is shown where the interval has both signs or the pairs are few."""
        if self.pairs < PAIRS_LEAST or self.low <= 0.0 <= self.high:
            return "no difference shown"
        return "better" if (self.low > 0.0) == self.better_up else "worse"


def p99(result: dict[str, Any]) -> float:
    return max((counts["p99"] for counts in result["classes"].values()), default=0.0)


def attempts(result: dict[str, Any]) -> float:
    """Attempts for each request."""
    counts = result["classes"].values()
    return sum(one["attempts"] for one in counts) / max(sum(one["asked"] for one in counts), 1)


MEASURES: dict[str, tuple[Callable[[dict[str, Any]], float], bool]] = {  # with whether more is better
    "worth": (lambda result: result["worth"], True),
    "p99 s": (p99, False),
    "attempts/request": (attempts, False),
}


def interval(differences: list[float]) -> tuple[float, float]:
    """Where the mean difference lies, by resampling the pairs."""
    values = numpy.asarray(differences)
    source = numpy.random.default_rng(SEED)
    means = values[source.integers(0, len(values), (DRAWS, len(values)))].mean(axis=1)
    low, high = numpy.quantile(means, [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return float(low), float(high)


def differences(found: list[dict[str, Any]], a: str, b: str) -> list[Difference]:
    """Every measure for every scenario, and for all together where there are several. Void runs count not."""
    pairs: dict[tuple[str, int], dict[str, dict[str, Any]]] = defaultdict(dict)
    for result in found:
        if result["verdict"] != "void":
            pairs[result["scenario"], result["seed"]][result["build"]] = result
    whole = {key: pair for key, pair in sorted(pairs.items()) if len(pair) == 2}
    scenarios = sorted({scenario for scenario, _ in whole})
    made = []
    for name in [*scenarios, *(["all"] if len(scenarios) > 1 else [])]:
        chosen = [pair for (scenario, _), pair in whole.items() if name in (scenario, "all")]
        for measure, (value, better_up) in MEASURES.items():
            before = [value(pair[a]) for pair in chosen]
            after = [value(pair[b]) for pair in chosen]
            low, high = interval([late - early for early, late in zip(before, after, strict=True)])
            means = float(numpy.mean(before)), float(numpy.mean(after))
            made.append(Difference(name, measure, len(chosen), *means, low, high, better_up))
    return made


def table(found: list[Difference]) -> str:
    """The differences for a person."""
    rows = ["scenario         measure           pairs        A        B  B - A (95 %)         verdict"]
    for one in found:
        rows.append(
            f"{one.scenario:<16} {one.measure:<17} {one.pairs:>5} {one.before:>8.4f} {one.after:>8.4f}  "
            f"{one.low:+.4f} to {one.high:+.4f}  {one.verdict}"
        )
    return "\n".join(rows)
