"""Latency by class: an exponentially smoothed mean with its deviation, a slow baseline, the answer rate."""

from .state_records import SECOND, Context

CLASS_SMOOTHING = 0.03  # the class mean moves slower than any server, being the common yardstick
UNKNOWN_LATENCY_SHARE = 0.25  # of the objective: the class mean before any answer
BASELINE_AVERAGED_SAMPLES = 30  # answers of a class that are simply averaged into its baseline
BASELINE_DEADLINES = 25.0  # shortest deadlines over which it moves then, slower than any trouble lasts
# ... and this part of that under pressure, lest it never forgives a wrong start.
BASELINE_DRIFT_UNDER_PRESSURE = 0.1


class LatencyEstimates:
    """Estimates of each class, in nanoseconds: the yardstick that servers are held against."""

    def __init__(self, context: Context) -> None:
        """Start from a part of each class's latency objective."""
        self.context = context
        self.class_mean = [spec.objective_ns * UNKNOWN_LATENCY_SHARE for spec in context.settings.classes]
        self.deviation = [class_mean / 2 for class_mean in self.class_mean]
        self.sample_counts, self.baseline_at = [0] * len(self.class_mean), [0] * len(self.class_mean)
        self.answer_rate, self.answer_rate_at = 0.0, 0  # own requests answered per second, smoothed
        self.baseline = list(self.class_mean)

    def update_mean(self, class_index: int, duration_ns: int) -> None:
        """Take the latency of an answer into the mean and mean deviation of its class."""
        class_mean = self.class_mean[class_index]
        weight = max(CLASS_SMOOTHING, 1.0 / (self.sample_counts[class_index] + 1))
        self.sample_counts[class_index] += 1
        self.deviation[class_index] += weight * (abs(duration_ns - class_mean) - self.deviation[class_index])
        self.class_mean[class_index] = class_mean + weight * (duration_ns - class_mean)

    def raise_class_mean(self, class_index: int, duration_ns: int) -> None:
        """A living server was too slow: all may be, so let the yardstick follow, or time-outs multiply."""
        self.class_mean[class_index] += CLASS_SMOOTHING * max(0.0, duration_ns - self.class_mean[class_index])

    def count_answer(self) -> None:
        """Count an answer of an own request."""
        tau = self.context.settings.overload_for_ns or self.context.shortest_deadline_ns
        self.answer_rate = (
            self.answer_rate * max(0.0, 1.0 - (self.context.now - self.answer_rate_at) / tau) + SECOND / tau
        )
        self.answer_rate_at = self.context.now

    def update_baseline(self, class_index: int, duration_ns: int, *, under_pressure: bool) -> None:
        """Take an answer into the baseline of its class, hardly so while servers are under pressure."""
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
        """Return the work of a class in units of the classes' mean, by their baselines."""
        return self.baseline[class_index] / self.mean_baseline()

    def mean_baseline(self) -> float:
        """Return the mean of the classes' baselines, in ns."""
        return sum(self.baseline) / len(self.baseline)
