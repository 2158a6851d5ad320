"""Differences between two builds, with confidence intervals.

Runs are paired by scenario and seed: both builds are offered the same requests, so the difficulty of the
scenario cancels out in the difference. The interval is a bootstrap over the pairs.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy

BOOTSTRAP_DRAWS = 10_000
CONFIDENCE = 0.95
BOOTSTRAP_SEED = 20261201  # fixed, so that the same results give the same interval
BUILD_COUNT = 2
MIN_PAIRS = 4  # fewer pairs can't tell a difference from chance


@dataclass(slots=True)
class Difference:
    """The difference B - A of one measure over the pairs of one scenario or of all scenarios."""

    scenario: str
    measure: str
    pairs: int
    before: float  # mean of build A
    after: float  # mean of build B
    low: float  # lower bound of the confidence interval
    high: float  # upper bound of the confidence interval
    more_is_better: bool = True

    @property
    def conclusion(self) -> str:
        """Better, worse, or no difference shown if the interval contains 0 or the pairs are too few."""
        if self.pairs < MIN_PAIRS or self.low <= 0.0 <= self.high:
            return "no difference shown"
        return "better" if (self.low > 0.0) == self.more_is_better else "worse"


@dataclass(frozen=True, slots=True)
class Measure:
    """A value by which runs are compared."""

    value: Callable[[dict[str, Any]], float]
    more_is_better: bool


def max_p99_s(result: dict[str, Any]) -> float:
    """Return the p99 of the slowest class, in seconds."""
    return float(max((counts["p99"] for counts in result["classes"].values()), default=0.0))


def attempts_per_request(result: dict[str, Any]) -> float:
    """Return the mean number of attempts that reached nodes per request of a client."""
    counts = result["classes"].values()
    attempts: float = sum(class_counts["attempts"] for class_counts in counts)
    requests: float = sum(class_counts["asked"] for class_counts in counts)
    return attempts / max(requests, 1)


MEASURES = {
    "worth": Measure(lambda result: float(result["worth"]), more_is_better=True),
    "p99 s": Measure(max_p99_s, more_is_better=False),
    "attempts/request": Measure(attempts_per_request, more_is_better=False),
}


def interval(differences: list[float]) -> tuple[float, float]:
    """Return the confidence interval of the mean difference, by resampling the pairs."""
    values = numpy.asarray(differences)
    generator = numpy.random.default_rng(BOOTSTRAP_SEED)
    means = values[generator.integers(0, len(values), (BOOTSTRAP_DRAWS, len(values)))].mean(axis=1)
    low, high = numpy.quantile(means, [(1 - CONFIDENCE) / 2, (1 + CONFIDENCE) / 2])
    return float(low), float(high)


def differences(results: list[dict[str, Any]], a: str, b: str) -> list[Difference]:
    """Compare each measure in each scenario and over all scenarios, without void runs."""
    pairs: dict[tuple[str, int], dict[str, dict[str, Any]]] = defaultdict(dict)
    for result in results:
        if result["verdict"] != "void":
            pairs[result["scenario"], result["seed"]][result["build"]] = result
    complete = {key: pair for key, pair in sorted(pairs.items()) if len(pair) == BUILD_COUNT}
    scenarios = sorted({scenario for scenario, _ in complete})
    compared = []
    for name in [*scenarios, *(["all"] if len(scenarios) > 1 else [])]:
        scenario_pairs = [pair for (scenario, _), pair in complete.items() if name in (scenario, "all")]
        for measure_name, measure in MEASURES.items():
            before = [measure.value(pair[a]) for pair in scenario_pairs]
            after = [measure.value(pair[b]) for pair in scenario_pairs]
            low, high = interval([value_b - value_a for value_a, value_b in zip(before, after, strict=True)])
            means = float(numpy.mean(before)), float(numpy.mean(after))
            compared.append(
                Difference(name, measure_name, len(scenario_pairs), *means, low, high, measure.more_is_better)
            )
    return compared


def table(compared: list[Difference]) -> str:
    """Return a table with a line for each difference."""
    rows = ["scenario         measure           pairs        A        B  B - A (95 %)         verdict"]
    for difference in compared:
        rows.append(
            f"{difference.scenario:<16} {difference.measure:<17} {difference.pairs:>5} "
            f"{difference.before:>8.4f} {difference.after:>8.4f}  "
            f"{difference.low:+.4f} to {difference.high:+.4f}  {difference.conclusion}"
        )
    return "\n".join(rows)
