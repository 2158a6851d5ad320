"""Latencies in an HdrHistogram: to three digits from a microsecond to an hour, in bounded memory."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

MICRO = 1_000_000
HOUR = 3_600 * MICRO
DIGITS = 3


class Latency:
    """Seconds in, seconds out."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, HOUR, DIGITS)

    def add(self, seconds: float) -> None:
        self.histogram.record_value(min(max(int(seconds * MICRO), 1), HOUR))

    def percentile(self, part: float) -> float:
        """The value that so large a part of all stay under; 0 of none."""
        if not self.histogram.get_total_count():
            return 0.0
        return self.histogram.get_value_at_percentile(part * 100.0) / MICRO

    def __len__(self) -> int:
        return self.histogram.get_total_count()
