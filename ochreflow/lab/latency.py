"""Latency histogram with three significant digits from a microsecond to an hour, in bounded memory."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

US_PER_S = 1_000_000
MAX_LATENCY_US = 3_600 * US_PER_S
SIGNIFICANT_DIGITS = 3


class LatencyHistogram:
    """A histogram of latencies in seconds."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def add(self, seconds: float) -> None:
        """Add a value, clamped to the range of the histogram."""
        self.histogram.record_value(min(max(int(seconds * US_PER_S), 1), MAX_LATENCY_US))

    def percentile(self, quantile: float) -> float:
        """Return the value at a quantile between 0 and 1; 0 without values."""
        if not self.histogram.get_total_count():
            return 0.0
        return float(self.histogram.get_value_at_percentile(quantile * 100.0) / US_PER_S)

    def __len__(self) -> int:
        """Return the number of values."""
        return int(self.histogram.get_total_count())
