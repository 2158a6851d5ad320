"""Repeats: full jitter, one bounded budget."""

from .latency import LatencyEstimates
from .safety_rules import SafetyRules
from .state_records import Context, PendingRequest

# The delay before repeat n is uniform(FLOOR, min(CAP, BASE * 2^min(n, 6))) of the time left.
MIN_BACKOFF_SHARE = 0.004  # a few ticks of a usual deadline: enough to leave the tick of the failure
BASE_BACKOFF_SHARE = 0.02  # the first repeat costs little of the aim, which is a third of the deadline
MAX_BACKOFF_SHARE = 0.25  # a quarter of what is left, so that later repeats still have time to run
MAX_BACKOFF_EXPONENT = 6
MIN_USEFUL_CLASS_MEANS = 0.25  # class means that must be left after the delay: less is hardly ever enough
RETRIES_PER_REQUEST = 0.1  # repeats per first try in the long run: bounds amplification when all fails
REJECTION_RETRY_COST = (
    0.25  # of a repeat is spent on one after refusals as full, which ask little of a server
)
RETRY_RESERVE_S = 10.0  # ... and saved up for this many seconds of traffic, for a sudden loss of servers


class RetryPolicy:
    def __init__(self, ctx: Context, latency: LatencyEstimates, safety_rules: SafetyRules) -> None:
        self.ctx, self.latency, self.safety_rules = ctx, latency, safety_rules
        self.tokens = RETRIES_PER_REQUEST * RETRY_RESERVE_S

    def earn(self) -> None:
        """A first try has come."""
        most = RETRIES_PER_REQUEST * RETRY_RESERVE_S * max(self.latency.answer_rate, 1.0)
        self.tokens = min(self.tokens + RETRIES_PER_REQUEST, most)

    def affordable(self, request: PendingRequest) -> bool:
        return self.tokens >= 1.0 and self.safety_rules.attempts_allowed(request)

    def delay(self, request: PendingRequest) -> int | None:
        """How long to wait before the next repeat, in ns, and pay for it; None: no use, or not allowed."""
        remaining_ns = request.deadline - self.ctx.now - self.ctx.settings.tick_ns
        ceiling = min(MAX_BACKOFF_SHARE, BASE_BACKOFF_SHARE * 2 ** min(request.retries, MAX_BACKOFF_EXPONENT))
        delay = int(self.ctx.random.uniform(MIN_BACKOFF_SHARE, ceiling) * remaining_ns)
        request.retries += 1
        price = REJECTION_RETRY_COST if request.never_ran() else 1.0
        useless = (
            remaining_ns <= 0
            or delay + MIN_USEFUL_CLASS_MEANS * self.latency.class_mean[request.cls] > remaining_ns
        )
        useless |= not request.reached_server and self.ctx.now + delay > request.first_send_by
        if useless or not self.safety_rules.attempts_allowed(request):
            return None
        # What no server was asked is no repeat: one that starts with an old list had earned none.
        if request.reached_server and not request.retry_paid:
            if self.tokens < price:
                return None
            self.tokens -= price  # when planned, or a lost server's attempts would all spend the last one
            request.retry_paid = True
        return delay
