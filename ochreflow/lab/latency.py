"""Latencies in an HdrHistogram: to three digits from a microsecond to an hour, in bounded memory."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

US_PER_S = 1_000_000
MAX_LATENCY_US = 3_600 * US_PER_S
SIGNIFICANT_DIGITS = 3


class LatencyHistogram:
    """Seconds in, seconds out."""

    def __init__(self) -> None:
        """Begin without a value."""
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def add(self, seconds: float) -> None:
        """Add a value; one out of range counts as the nearest one in it."""
        self.histogram.record_value(min(max(int(seconds * US_PER_S), 1), MAX_LATENCY_US))

    def percentile(self, part: float) -> float:
        """Return the value that so large a part of all stay under; 0 of none."""
        if not self.histogram.get_total_count():
            return 0.0
        return float(self.histogram.get_value_at_percentile(part * 100.0) / US_PER_S)

    def __len__(self) -> int:
        """Return the number of values."""
        return int(self.histogram.get_total_count())
