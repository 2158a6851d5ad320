"""Latency estimates by class: an exponentially smoothed mean, its mean deviation and a slow baseline.

The rate at which requests of this sidecar are answered is estimated here as well.
"""

from .state_records import SECOND, Context

# Weight of a new sample; lower than that of a single server, since servers are compared with the class mean.
CLASS_SMOOTHING = 0.03
UNKNOWN_LATENCY_SHARE = 0.25  # share of the objective that is the class mean before the first answer
BASELINE_AVERAGED_SAMPLES = 30  # first answers of a class, which its baseline averages with equal weights
# Time constant of the baseline after those samples, as a multiple of the shortest deadline: longer than an
# outage lasts.
BASELINE_DEADLINES = 25.0
# Factor on the baseline's step under pressure; above 0, so that the baseline can recover from a wrong start.
BASELINE_DRIFT_UNDER_PRESSURE = 0.1


class LatencyEstimates:
    """Estimates of each class's latency in ns, with which the latencies of servers are compared."""

    def __init__(self, context: Context) -> None:
        """Start from a share of each class's latency objective."""
        self.context = context
        self.class_mean = [spec.objective_ns * UNKNOWN_LATENCY_SHARE for spec in context.settings.classes]
        self.deviation = [class_mean / 2 for class_mean in self.class_mean]
        self.sample_counts, self.baseline_at = [0] * len(self.class_mean), [0] * len(self.class_mean)
        # Requests of this sidecar answered a second, smoothed, and the time of the last answer.
        self.answer_rate, self.answer_rate_at = 0.0, 0
        self.baseline = list(self.class_mean)

    def update_mean(self, class_index: int, duration_ns: int) -> None:
        """Update the mean and mean deviation of a class with the latency of an answer."""
        class_mean = self.class_mean[class_index]
        weight = max(CLASS_SMOOTHING, 1.0 / (self.sample_counts[class_index] + 1))
        self.sample_counts[class_index] += 1
        self.deviation[class_index] += weight * (abs(duration_ns - class_mean) - self.deviation[class_index])
        self.class_mean[class_index] = class_mean + weight * (duration_ns - class_mean)

    def raise_class_mean(self, class_index: int, duration_ns: int) -> None:
        """Raise the mean of a class towards the duration of an attempt that timed out at a live server.

        All servers may have become slow; a mean that did not follow would make ever more attempts overdue.
        """
        self.class_mean[class_index] += CLASS_SMOOTHING * max(0.0, duration_ns - self.class_mean[class_index])

    def count_answer(self) -> None:
        """Count an answer to a request of this sidecar."""
        time_constant_ns = self.context.settings.overload_for_ns or self.context.shortest_deadline_ns
        self.answer_rate = (
            self.answer_rate * max(0.0, 1.0 - (self.context.now - self.answer_rate_at) / time_constant_ns)
            + SECOND / time_constant_ns
        )
        self.answer_rate_at = self.context.now

    def update_baseline(self, class_index: int, duration_ns: int, *, under_pressure: bool) -> None:
        """Update the baseline of a class with an answer; servers under pressure change it less."""
        if self.sample_counts[class_index] < BASELINE_AVERAGED_SAMPLES:
            step = 1.0 / (self.sample_counts[class_index] + 1)
        else:
            step = min(
                (self.context.now - self.baseline_at[class_index])
                / (BASELINE_DEADLINES * self.context.shortest_deadline_ns),
                0.1,
            )
            if under_pressure:
                step *= BASELINE_DRIFT_UNDER_PRESSURE
        self.baseline_at[class_index] = self.context.now
        self.baseline[class_index] += step * (duration_ns - self.baseline[class_index])

    def cost(self, class_index: int) -> float:
        """Return the work of a request of a class, in requests of mean work, by the classes' baselines."""
        return self.baseline[class_index] / self.mean_baseline()

    def mean_baseline(self) -> float:
        """Return the mean of the classes' baselines, in ns."""
        return sum(self.baseline) / len(self.baseline)
