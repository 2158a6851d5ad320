"""Outlier detection: servers that fail in a row are ejected for a while, then tried by single requests.

Ejection after consecutive failures, with a limit on the share of servers that may be out, a growing and
jittered wait for the next trial, and half-open trials: as in circuit breakers and Envoy's outlier ejection.
When an attempt is overdue follows TCP's retransmission time-out: the mean and four mean deviations.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from .endpoint_set import EndpointSet
from .interface import Effect
from .latency import LatencyEstimates
from .safety_rules import SafetyRules
from .state_records import AttemptKey, Context, RequestState, Server

READMITTED_RELATIVE_LATENCY = 3.0  # class means that a server's estimate is at most when it is readmitted

OVERDUE_DEVIATIONS = 4.0  # mean deviations above the class mean
MIN_OVERDUE_CLASS_MEANS = 2.0
MAX_OVERDUE_SHARE = 0.5  # of the remaining time: a retry needs as much as the first attempt had

MAX_CONSECUTIVE_FAILURES = 2.0  # without a sign of life in between: then the server is ejected
OVERDUE_FAILURE_WEIGHT = 0.5  # an overdue attempt counts so much: four of them eject
HALF_OPEN_REQUEST_INTERVAL = 10  # own requests for each that tries an ejected server, however many are due
BASE_EJECTION_DEADLINES = 1.0  # shortest deadlines until the first trial
EJECTION_GROWTH = 2.0  # factor for each further trial
MAX_EJECTION_FACTOR = 8.0  # of the first wait
EJECTION_JITTER = 0.3  # either way: sidecars must not try a server together
MAX_EJECTED_SHARE = 0.7  # of the ready servers, on broken connections; beyond it the fault may be here
MAX_EJECTED_SHARE_ON_SILENCE = 0.34  # on missing answers alone: if a third is silent, it is load
MIN_FALLBACK_SUCCESS_RATE = 0.5  # of a server that is used in need: it does more good than harm


@dataclass(slots=True)
class OutlierDetector:
    """Decides which servers are ejected and when they are tried again; calls `on_eject` for each ejection."""

    context: Context
    latency: LatencyEstimates
    endpoints: EndpointSet
    safety_rules: SafetyRules
    on_eject: Callable[[Server], None]
    requests_since_half_open: int = field(default=HALF_OPEN_REQUEST_INTERVAL, init=False)
    has_idempotent_class: bool = field(init=False)

    def __post_init__(self) -> None:
        """Look up whether any class may be used for trials without harm."""
        classes = self.context.settings.classes
        self.has_idempotent_class = any(spec.effect is Effect.IDEMPOTENT for spec in classes)

    def record_failure(self, server: Server, weight: float, max_share: float) -> None:
        """Count a failure or an overdue attempt; eject while at most `max_share` of all are out."""
        server.consecutive_failures += weight
        if server.ejected:
            self.schedule_half_open(server)
        elif (
            server.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            and len(self.endpoints.ejected) + 1 <= max_share * self.endpoints.ready_count
        ):
            self.eject(server)

    def eject(self, server: Server) -> None:
        """Stop sending to a server, but for trials."""
        server.ejected = True
        self.endpoints.inflight -= server.awaited_count()
        server.ejections = 0
        self.schedule_half_open(server)
        self.endpoints.rebuild()
        self.context.log(f"ejected {server.id} after {server.consecutive_failures:.1f} strikes in a row")
        self.on_eject(server)

    def schedule_half_open(self, server: Server) -> None:
        """Put off the next trial of an ejected server, longer each time."""
        growth = min(BASE_EJECTION_DEADLINES * EJECTION_GROWTH**server.ejections, MAX_EJECTION_FACTOR)
        wait = self.context.shortest_deadline_ns * growth
        server.ejections += 1
        jitter = self.context.random.uniform(1.0 - EJECTION_JITTER, 1.0 + EJECTION_JITTER)
        server.half_open_at = self.context.now + int(wait * jitter)

    def half_open_server(self, request: RequestState) -> Server | None:
        """Return an ejected server that is due for one request, idempotent where any class of the site is."""
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
        """Send to an ejected server again: it has answered."""
        server.ejected = False
        self.endpoints.inflight += server.awaited_count()
        server.relative_latency = min(server.relative_latency, READMITTED_RELATIVE_LATENCY)
        self.endpoints.rebuild()

    def presume_lost(self, server: Server, attempt: AttemptKey) -> None:
        """Take an attempt that is overdue twice out of what is in flight: its answer is most likely lost.

        Guards against a network that drops answers: attempts that never come back filled a shrinking limit
        until their deadlines, and all requests were rejected.
        """
        if attempt not in server.presumed_lost:
            self.endpoints.inflight -= not server.ejected
            server.presumed_lost.add(attempt)

    def overdue_after(self, server: Server, class_index: int, remaining_ns: int) -> int:
        """Return after how many ns an attempt is overdue: a slow server is given its time."""
        class_mean = self.latency.class_mean[class_index]
        expected = class_mean + OVERDUE_DEVIATIONS * self.latency.deviation[class_index]
        expected = max(expected, MIN_OVERDUE_CLASS_MEANS * class_mean) * max(server.relative_latency, 1.0)
        return int(min(expected, MAX_OVERDUE_SHARE * remaining_ns)) + 1

    def fallback_server(self, request: RequestState) -> Server | None:
        """Return a server that is ejected for its errors, for a request that would otherwise be rejected.

        It gets no more than the others have in flight each, and nothing if it mostly fails or is silent.
        """
        sampled = len(self.endpoints.local) + len(self.endpoints.remote)
        max_awaited = max(self.endpoints.inflight / max(sampled, 1), 1.0)
        for server in self.endpoints.ejected:
            of_use = (
                server.answering
                and server.success_rate >= MIN_FALLBACK_SUCCESS_RATE
                and server.awaited_count() < max_awaited
            )
            if of_use and self.safety_rules.may_send(request, server):
                return server
        return None
