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

BOOTSTRAP_DRAWS = 10_000
CONFIDENCE = 0.95
BOOTSTRAP_SEED = 20261201  # the same results give the same interval
BUILD_COUNT = 2
MIN_PAIRS = 4  # fewer say nothing of chance


@dataclass(slots=True)
class Difference:
    """The difference of one measure, B less A, over the pairs of one scenario or of all."""

    scenario: str
    measure: str
    pairs: int
    before: float
    after: float
    low: float
    high: float
    more_is_better: bool = True

    @property
    def conclusion(self) -> str:
        """Better, worse, or no difference shown: the interval has both signs, or the pairs are few."""
        if self.pairs < MIN_PAIRS or self.low <= 0.0 <= self.high:
            return "no difference shown"
        return "better" if (self.low > 0.0) == self.more_is_better else "worse"


@dataclass(frozen=True, slots=True)
class Measure:
    """What is compared of two runs."""

    value: Callable[[dict[str, Any]], float]
    more_is_better: bool


def max_p99_s(result: dict[str, Any]) -> float:
    """Return the p99 of the slowest class, in seconds."""
    return float(max((counts["p99"] for counts in result["classes"].values()), default=0.0))


def attempts_per_request(result: dict[str, Any]) -> float:
    """Return the attempts that reached nodes for each request of a client."""
    counts = result["classes"].values()
    attempts: float = sum(one["attempts"] for one in counts)
    requests: float = sum(one["asked"] for one in counts)
    return attempts / max(requests, 1)


MEASURES = {
    "worth": Measure(lambda result: float(result["worth"]), more_is_better=True),
    "p99 s": Measure(max_p99_s, more_is_better=False),
    "attempts/request": Measure(attempts_per_request, more_is_better=False),
}


def interval(differences: list[float]) -> tuple[float, float]:
    """Return where the mean difference lies, by resampling the pairs."""
    values = numpy.asarray(differences)
    source = numpy.random.default_rng(BOOTSTRAP_SEED)
    means = values[source.integers(0, len(values), (BOOTSTRAP_DRAWS, len(values)))].mean(axis=1)
    low, high = numpy.quantile(means, [(1 - CONFIDENCE) / 2, (1 + CONFIDENCE) / 2])
    return float(low), float(high)


def differences(found: list[dict[str, Any]], a: str, b: str) -> list[Difference]:
    """Compare every measure in every scenario, and in all together. Void runs do not count."""
    pairs: dict[tuple[str, int], dict[str, dict[str, Any]]] = defaultdict(dict)
    for result in found:
        if result["verdict"] != "void":
            pairs[result["scenario"], result["seed"]][result["build"]] = result
    complete = {key: pair for key, pair in sorted(pairs.items()) if len(pair) == BUILD_COUNT}
    scenarios = sorted({scenario for scenario, _ in complete})
    made = []
    for name in [*scenarios, *(["all"] if len(scenarios) > 1 else [])]:
        chosen = [pair for (scenario, _), pair in complete.items() if name in (scenario, "all")]
        for name_of_measure, measure in MEASURES.items():
            before = [measure.value(pair[a]) for pair in chosen]
            after = [measure.value(pair[b]) for pair in chosen]
            low, high = interval([late - early for early, late in zip(before, after, strict=True)])
            means = float(numpy.mean(before)), float(numpy.mean(after))
            made.append(
                Difference(name, name_of_measure, len(chosen), *means, low, high, measure.more_is_better)
            )
    return made


def table(found: list[Difference]) -> str:
    """Return a line for each difference."""
    rows = ["scenario         measure           pairs        A        B  B - A (95 %)         verdict"]
    for one in found:
        rows.append(
            f"{one.scenario:<16} {one.measure:<17} {one.pairs:>5} {one.before:>8.4f} {one.after:>8.4f}  "
            f"{one.low:+.4f} to {one.high:+.4f}  {one.conclusion}"
        )
    return "\n".join(rows)
