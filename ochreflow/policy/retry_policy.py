"""Retries: exponential backoff with full jitter, within a token-bucket retry budget.

The backoff is the design page's (`rand(floor, min(cap, base * 2^min(n, 6)))`); floor, base and cap are small
parts of the time that remains. The budget is a token bucket that first attempts fill, as in Finagle's.
"""

from .latency import LatencyEstimates
from .safety_rules import SafetyRules
from .state_records import Context, RequestState

# The delay before retry n is uniform(MIN, min(MAX, BASE * 2^min(n, 6))) of the remaining time.
MIN_BACKOFF_SHARE = 0.004  # a few ticks of a usual deadline: enough to leave the tick of the failure
BASE_BACKOFF_SHARE = 0.02  # the first retry costs little of the objective, which is a third of the deadline
MAX_BACKOFF_SHARE = 0.25  # a quarter of what is left, so that later retries still have time to run
MAX_BACKOFF_EXPONENT = 6
MIN_USEFUL_CLASS_MEANS = 0.25  # class means that must be left after the delay: less is hardly ever enough
RETRIES_PER_REQUEST = 0.1  # retries per first attempt in the long run: bounds amplification when all fails
REJECTION_RETRY_COST = 0.25  # tokens for a retry after rejections as full, which ask little of a server
RETRY_RESERVE_S = 10.0  # ... and saved up for this many seconds of traffic, for a sudden loss of servers


class RetryPolicy:
    """Decides whether and when a request is retried."""

    def __init__(self, context: Context, latency: LatencyEstimates, safety_rules: SafetyRules) -> None:
        """Start with a budget as saved up from the least traffic."""
        self.context, self.latency, self.safety_rules = context, latency, safety_rules
        self.tokens = RETRIES_PER_REQUEST * RETRY_RESERVE_S

    def earn(self) -> None:
        """Add to the budget for a first attempt."""
        max_tokens = RETRIES_PER_REQUEST * RETRY_RESERVE_S * max(self.latency.answer_rate, 1.0)
        self.tokens = min(self.tokens + RETRIES_PER_REQUEST, max_tokens)

    def affordable(self, request: RequestState) -> bool:
        """Whether the budget and the rules allow a full retry now."""
        return self.tokens >= 1.0 and self.safety_rules.attempts_allowed(request)

    def reserve_retry(self, request: RequestState) -> int | None:
        """Return the backoff before the next retry, in ns, and pay for it; None: no use, or not allowed."""
        remaining_ns = request.deadline - self.context.now - self.context.settings.tick_ns
        ceiling = min(MAX_BACKOFF_SHARE, BASE_BACKOFF_SHARE * 2 ** min(request.retries, MAX_BACKOFF_EXPONENT))
        delay = int(self.context.random.uniform(MIN_BACKOFF_SHARE, ceiling) * remaining_ns)
        request.retries += 1
        price = REJECTION_RETRY_COST if request.never_ran() else 1.0
        useless = (
            remaining_ns <= 0
            or delay + MIN_USEFUL_CLASS_MEANS * self.latency.class_mean[request.class_index] > remaining_ns
        )
        useless |= not request.reached_server and self.context.now + delay > request.first_send_by
        if useless or not self.safety_rules.attempts_allowed(request):
            return None
        # What no server was asked is no retry: a sidecar that starts with an old list had earned none.
        if request.reached_server and not request.retry_paid:
            if self.tokens < price:
                return None
            # When scheduled, or a lost server's attempts would all spend the last token.
            self.tokens -= price
            request.retry_paid = True
        return delay
