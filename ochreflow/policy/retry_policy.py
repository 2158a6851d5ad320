"""Retries: exponential backoff with full jitter, within a token-bucket retry budget.

The backoff before retry n is `uniform(floor, min(cap, base * 2^min(n, 6)))`; floor, base and cap are small
shares of the remaining time. First attempts fill the token bucket, as in Finagle's retry budget.
"""

from .latency import LatencyEstimates
from .safety_rules import SafetyRules
from .state_records import Context, RequestState

# Backoffs are shares of the remaining time.
MIN_BACKOFF_SHARE = 0.004  # a few ticks of a usual deadline, so that a retry leaves the tick of the failure
BASE_BACKOFF_SHARE = 0.02  # a small part of the objective, which is a third of the deadline
MAX_BACKOFF_SHARE = 0.25  # leaves later retries time to run
MAX_BACKOFF_EXPONENT = 6
# Time that must remain after the backoff, as a multiple of the class mean; an answer within less time is very
# unlikely.
MIN_USEFUL_CLASS_MEANS = 0.25
RETRIES_PER_REQUEST = 0.1  # tokens earned per first attempt; bounds amplification when every attempt fails
REJECTION_RETRY_COST = 0.25  # tokens; a rejection costs a full server little work
RETRY_RESERVE_S = 10.0  # tokens saved for a sudden loss of servers, in seconds of traffic that earns them


class RetryPolicy:
    """Decides whether and when a request is retried."""

    def __init__(self, context: Context, latency: LatencyEstimates, safety_rules: SafetyRules) -> None:
        """Start with the budget that one request a second would have saved up."""
        self.context, self.latency, self.safety_rules = context, latency, safety_rules
        self.tokens = RETRIES_PER_REQUEST * RETRY_RESERVE_S

    def earn(self) -> None:
        """Add the tokens that a first attempt earns to the budget."""
        max_tokens = RETRIES_PER_REQUEST * RETRY_RESERVE_S * max(self.latency.answer_rate, 1.0)
        self.tokens = min(self.tokens + RETRIES_PER_REQUEST, max_tokens)

    def affordable(self, request: RequestState) -> bool:
        """Return whether the budget and the safety rules allow a retry at full cost now."""
        return self.tokens >= 1.0 and self.safety_rules.attempts_allowed(request)

    def reserve_retry(self, request: RequestState) -> int | None:
        """Take the tokens for the next retry and return its backoff in ns; None if there is to be no retry.

        The tokens are taken when the retry is scheduled, not when it is sent: otherwise the failed
        attempts of a lost server would all rely on the same last token.
        """
        remaining_ns = request.deadline - self.context.now - self.context.settings.tick_ns
        max_share = min(
            MAX_BACKOFF_SHARE, BASE_BACKOFF_SHARE * 2 ** min(request.retries, MAX_BACKOFF_EXPONENT)
        )
        backoff_ns = int(self.context.random.uniform(MIN_BACKOFF_SHARE, max_share) * remaining_ns)
        request.retries += 1
        cost = REJECTION_RETRY_COST if request.never_ran() else 1.0
        too_late = (
            remaining_ns <= 0
            or backoff_ns + MIN_USEFUL_CLASS_MEANS * self.latency.class_mean[request.class_index]
            > remaining_ns
        )
        too_late |= not request.reached_server and self.context.now + backoff_ns > request.first_send_by
        if too_late or not self.safety_rules.attempts_allowed(request):
            return None
        # Attempts that reached no server are free: a sidecar that starts with an old list has no tokens yet.
        if request.reached_server and not request.retry_paid:
            if self.tokens < cost:
                return None
            self.tokens -= cost
            request.retry_paid = True
        return backoff_ns
