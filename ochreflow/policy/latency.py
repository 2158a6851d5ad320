"""What answers take: by class, of late and usually; and how many come."""

from .state_records import SECOND, Context

CLASS_SMOOTHING = 0.03  # the class mean moves slower than any server, being the common yardstick
UNKNOWN_LATENCY = 0.25  # of the aim, the class yardstick before any answer
USUAL_FIRST = 30  # answers of a class that are simply averaged into its usual latency
USUAL_SPAN = 25.0  # shortest deadlines over which it moves then, slower than any trouble lasts
USUAL_DRIFT = 0.1  # ... and this part of that under pressure, lest it never forgives a wrong start


class LatencyEstimates:
    """Estimates of each class, in nanoseconds: the yardstick that servers are held against."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.base = [spec.objective_ns * UNKNOWN_LATENCY for spec in ctx.settings.classes]
        self.deviation = [base / 2 for base in self.base]
        self.seen, self.usual_at = [0] * len(self.base), [0] * len(self.base)
        self.rate, self.rate_at = 0.0, 0  # own requests answered per second, smoothed
        self.usual = list(self.base)

    def learn(self, cls: int, took: int) -> None:
        base = self.base[cls]
        weight = max(CLASS_SMOOTHING, 1.0 / (self.seen[cls] + 1))
        self.seen[cls] += 1
        self.deviation[cls] += weight * (abs(took - base) - self.deviation[cls])
        self.base[cls] = base + weight * (took - base)

    def follow(self, cls: int, took: int) -> None:
        """A living server was too slow: all may be, so let the yardstick follow, or time-outs multiply."""
        self.base[cls] += CLASS_SMOOTHING * max(0.0, took - self.base[cls])

    def count_answer(self) -> None:
        tau = self.ctx.settings.overload_for_ns or self.ctx.shortest
        self.rate = self.rate * max(0.0, 1.0 - (self.ctx.now - self.rate_at) / tau) + SECOND / tau
        self.rate_at = self.ctx.now

    def learn_usual(self, cls: int, took: int, pressed: bool) -> None:
        if self.seen[cls] < USUAL_FIRST:
            step = 1.0 / (self.seen[cls] + 1)
        else:
            step = min((self.ctx.now - self.usual_at[cls]) / (USUAL_SPAN * self.ctx.shortest), 0.1)
            if pressed:
                step *= USUAL_DRIFT
        self.usual_at[cls] = self.ctx.now
        self.usual[cls] += step * (took - self.usual[cls])

    def cost(self, cls: int) -> float:
        """The work of a class against the mean of the classes, by its usual latency."""
        return self.usual[cls] / self.mean_usual()

    def mean_usual(self) -> float:
        return sum(self.usual) / len(self.usual)
