"""Outlier detection: servers with consecutive failures are ejected, then tried again by single requests.

The share of ejected servers is limited, and the jittered wait before each half-open request grows, as in
circuit breakers and Envoy's outlier detection. An attempt is overdue after the mean latency plus four mean
deviations, as in TCP's retransmission time-out.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from .endpoint_set import EndpointSet
from .interface import Effect
from .latency import LatencyEstimates
from .safety_rules import SafetyRules
from .state_records import AttemptKey, Context, RequestState, Server

# Upper limit of a server's estimated latency when it is readmitted, as a multiple of the class mean.
READMITTED_RELATIVE_LATENCY = 3.0

# Distance from the class mean at which an attempt is overdue, as a multiple of the mean deviation.
OVERDUE_DEVIATIONS = 4.0
MIN_OVERDUE_CLASS_MEANS = 2.0  # least time until an attempt is overdue, as a multiple of the class mean
# Share of the remaining time after which an attempt is overdue at the latest: a retry needs as much time as
# the first attempt had.
MAX_OVERDUE_SHARE = 0.5

MAX_CONSECUTIVE_FAILURES = 2.0  # failures without an answer in between after which a server is ejected
OVERDUE_FAILURE_WEIGHT = 0.5  # failures that an overdue attempt counts as: four of them eject a server
# Number of this sidecar's requests for each half-open one, however many ejected servers are due.
HALF_OPEN_REQUEST_INTERVAL = 10
BASE_EJECTION_DEADLINES = 1.0  # wait for the first half-open request, as a multiple of the shortest deadline
EJECTION_GROWTH = 2.0  # factor on the wait for each further half-open request
MAX_EJECTION_FACTOR = 8.0  # upper limit of the wait, as a multiple of the first wait
EJECTION_JITTER = 0.3  # share of the wait, plus or minus: sidecars must not try a server at the same time
# Greatest ejected share of the ready servers after failures; if more fail, this sidecar may be at fault.
MAX_EJECTED_SHARE = 0.7
# Greatest ejected share if answers are only missing; if a third of the servers is silent, the cause is load.
MAX_EJECTED_SHARE_ON_SILENCE = 0.34
# Least success rate of an ejected server that is used in overload: with less, it does more harm than good.
MIN_FALLBACK_SUCCESS_RATE = 0.5


@dataclass(slots=True)
class OutlierDetector:
    """Decides which servers are ejected and when they are tried again; calls `on_eject` at each ejection."""

    context: Context
    latency: LatencyEstimates
    endpoints: EndpointSet
    safety_rules: SafetyRules
    on_eject: Callable[[Server], None]
    requests_since_half_open: int = field(default=HALF_OPEN_REQUEST_INTERVAL, init=False)
    has_idempotent_class: bool = field(init=False)

    def __post_init__(self) -> None:
        """Determine whether any class is idempotent: only such requests try ejected servers without risk."""
        classes = self.context.settings.classes
        self.has_idempotent_class = any(spec.effect is Effect.IDEMPOTENT for spec in classes)

    def record_failure(self, server: Server, weight: float, max_share: float) -> None:
        """Count a failure with its weight; eject the server unless more than `max_share` would be ejected."""
        server.consecutive_failures += weight
        if server.ejected:
            self.schedule_half_open(server)
        elif (
            server.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            and len(self.endpoints.ejected) + 1 <= max_share * self.endpoints.ready_count
        ):
            self.eject(server)

    def eject(self, server: Server) -> None:
        """Stop sending to a server, except for half-open requests."""
        server.ejected = True
        self.endpoints.inflight -= server.awaited_count()
        server.half_open_waits = 0
        self.schedule_half_open(server)
        self.endpoints.rebuild()
        self.context.log(f"ejected {server.id} after {server.consecutive_failures:.1f} consecutive failures")
        self.on_eject(server)

    def schedule_half_open(self, server: Server) -> None:
        """Schedule the next half-open request to an ejected server, after a longer wait each time."""
        growth = min(BASE_EJECTION_DEADLINES * EJECTION_GROWTH**server.half_open_waits, MAX_EJECTION_FACTOR)
        wait = self.context.shortest_deadline_ns * growth
        server.half_open_waits += 1
        jitter = self.context.random.uniform(1.0 - EJECTION_JITTER, 1.0 + EJECTION_JITTER)
        server.half_open_at = self.context.now + int(wait * jitter)

    def half_open_server(self, request: RequestState) -> Server | None:
        """Return an ejected server that this request should try, if one is due.

        Only idempotent requests try a server, unless no class of the site is idempotent.
        """
        if request.attempts or (self.has_idempotent_class and request.spec.effect is not Effect.IDEMPOTENT):
            return None
        self.requests_since_half_open += 1
        if self.requests_since_half_open < HALF_OPEN_REQUEST_INTERVAL:
            return None
        for server in self.endpoints.ejected:
            due = server.half_open_at <= self.context.now and not server.half_open_in_flight
            if due and self.safety_rules.may_send(request, server):
                self.requests_since_half_open = 0
                return server
        return None

    def readmit(self, server: Server) -> None:
        """Send to an ejected server again, since it has answered."""
        server.ejected = False
        self.endpoints.inflight += server.awaited_count()
        server.relative_latency = min(server.relative_latency, READMITTED_RELATIVE_LATENCY)
        self.endpoints.rebuild()

    def presume_lost(self, server: Server, attempt: AttemptKey) -> None:
        """Stop counting an attempt as in flight: its answer is most likely lost.

        The attempt is unanswered after twice its overdue time, although its server has answered others. On a
        network that drops answers, such attempts would otherwise fill the shrinking limit until their
        deadlines, and all requests would be rejected.
        """
        if attempt not in server.presumed_lost:
            self.endpoints.inflight -= not server.ejected
            server.presumed_lost.add(attempt)

    def overdue_after(self, server: Server, class_index: int, remaining_ns: int) -> int:
        """Return after how many ns an attempt is overdue: longer at a server that is known to be slow."""
        class_mean = self.latency.class_mean[class_index]
        expected = class_mean + OVERDUE_DEVIATIONS * self.latency.deviation[class_index]
        expected = max(expected, MIN_OVERDUE_CLASS_MEANS * class_mean) * max(server.relative_latency, 1.0)
        return int(min(expected, MAX_OVERDUE_SHARE * remaining_ns)) + 1

    def fallback_server(self, request: RequestState) -> Server | None:
        """Return an ejected server for a request that would otherwise be rejected; None if there is none.

        Such a server answers, though often with errors. A server that mostly fails or does not answer gets no
        request, and no ejected server gets more requests in flight than the other servers have on average.
        """
        sampled_count = len(self.endpoints.local) + len(self.endpoints.remote)
        max_awaited = max(self.endpoints.inflight / max(sampled_count, 1), 1.0)
        for server in self.endpoints.ejected:
            usable = (
                server.answering
                and server.success_rate >= MIN_FALLBACK_SUCCESS_RATE
                and server.awaited_count() < max_awaited
            )
            if usable and self.safety_rules.may_send(request, server):
                return server
        return None
