"""Health: evidence for and against servers, from how attempts end; who is ejected, and tried again."""

from collections.abc import Callable

from .concurrency_limiter import REJECTION_PRESSURE, ConcurrencyLimiter
from .endpoint_picker import SMOOTHING, EndpointPicker
from .interface import Effect, Outcome, Status
from .state_records import SECOND, UNWRITTEN, AttemptKey, Context, PendingRequest, Server

MIN_FAILURE_SAMPLE = 4.0  # what a failure counts at least: a fast error must not look like a fast server
STALE_SAMPLE_HALF_LIFE = (
    3.0  # shortest deadlines after which an old estimate counts half against a new sample
)
MAX_SAMPLE = 10.0  # one long-tailed request must not condemn a server
REJECTION_SAMPLE = 3.0  # a full server is alive, but to be left alone for a while

OVERDUE_DEVIATIONS = 4.0  # as TCP's retransmission time-out: mean and four mean deviations
MIN_OVERDUE_CLASS_MEANS = 2.0  # class means
MAX_OVERDUE_SHARE = 0.5  # of the time left: a repeat needs as much as the first try had

MAX_CONSECUTIVE_FAILURES = 2.0  # consecutive failures without a sign of life in between
HALF_OPEN_REQUEST_INTERVAL = 10  # own requests for each that tries an ejected server, however many are due
OVERDUE_FAILURE_WEIGHT = 0.5  # an overdue attempt counts so much: four of them eject
BASE_EJECTION_DEADLINES = 1.0  # times the shortest deadline, for the first ejection
EJECTION_GROWTH = 2.0
MAX_EJECTION_FACTOR = 8.0  # times the first
EJECTION_JITTER = 0.3  # either way: sidecars must not try a server together
MAX_EJECTED_SHARE = 0.7  # of the ready servers, on broken connections; beyond it, suspect oneself and spread
MAX_EJECTED_SHARE_ON_SILENCE = 0.34  # on missing answers alone: if a third is silent, it is load
SUCCESS_RATE_SMOOTHING = 0.1  # weight of a new answer of one server in its part of answers that are no errors
MIN_FALLBACK_SUCCESS_RATE = 0.5  # of it, for a server to be of use in need: it does more good than harm


class OutlierDetector:
    def __init__(
        self,
        ctx: Context,
        limiter: ConcurrencyLimiter,
        picker: EndpointPicker,
        on_eject: Callable[[Server], None],
    ) -> None:
        self.ctx, self.limiter, self.picker = ctx, limiter, picker
        self.latency, self.endpoints, self.safety_rules = (
            limiter.latency,
            picker.endpoints,
            picker.safety_rules,
        )
        self.on_eject = on_eject  # told of a server that has just been ejected
        self.requests_since_trial = HALF_OPEN_REQUEST_INTERVAL  # own requests
        self.has_idempotent_class = any(spec.effect is Effect.IDEMPOTENT for spec in ctx.settings.classes)

    def record_end(self, event: Outcome) -> Server | None:
        """Whatever became of an attempt, it is in flight no more. Its server, if that is still known."""
        server = self.endpoints.servers.get(event.server)
        attempt = AttemptKey(event.id, event.attempt)
        if server and attempt in server.in_flight:
            sent, cls = server.in_flight.pop(attempt)
            written_off = attempt in server.written_off
            server.written_off.discard(attempt)
            self.endpoints.inflight -= not written_off and not server.ejected
            self.learn(server, sent, cls, event, written_off)
        return server

    def learn(self, server: Server, sent: int, cls: int, event: Outcome, written_off: bool) -> None:
        """Take an attempt's end into the estimates of its server and class."""
        status = event.status
        duration_ns = event.duration_ns
        class_mean = self.latency.class_mean[cls]
        if server.ejected:
            server.half_open_in_flight = False
        if status in UNWRITTEN:
            self.safety_rules.slow_start.give_back(server, cls, sent)
        if status is Status.NOT_SENT:
            return
        if status in (Status.OK, Status.ERROR):
            server.success_rate += SUCCESS_RATE_SMOOTHING * ((status is Status.OK) - server.success_rate)
        if status is not Status.CANCELLED:
            server.answering = status in (Status.OK, Status.ERROR, Status.REJECTED)
        if status is Status.OK:
            self.latency.learn_baseline(cls, duration_ns, self.limiter.pressure >= 1.0)
            self.safety_rules.slow_start.record_answer(server, cls)
            self.limiter.record_answer(server, cls, duration_ns)
            self.latency.learn(cls, duration_ns)
            self.latency.count_answer()
            server.consecutive_failures = 0.0
            server.last_alive_at = self.ctx.now
            if server.ejected:
                self.readmit(server)
            self.sample(server, duration_ns / class_mean)
            self.picker.record_load_report(server, event.report, duration_ns / class_mean)
        elif status is Status.REJECTED:
            self.sample(server, max(REJECTION_SAMPLE, server.relative_latency))
            self.safety_rules.slow_start.drain_tokens(server)
            server.last_alive_at = self.ctx.now  # busy, but alive
            self.limiter.record_pressure(REJECTION_PRESSURE)
        elif status is Status.CANCELLED:
            if duration_ns / class_mean > server.relative_latency:
                self.sample(server, duration_ns / class_mean)
        else:
            self.sample(server, max(duration_ns / class_mean, MIN_FAILURE_SAMPLE, server.relative_latency))
            if status is Status.TIMEOUT and server.last_alive_at > sent and not written_off:
                self.limiter.record_latency(server, cls, duration_ns)
            if status is not Status.TIMEOUT:
                # Who asks a server less than once a deadline learns too late from a second failure.
                rarely = self.latency.answer_rate * self.ctx.shortest < self.endpoints.ready_count * SECOND
                once = rarely and status is Status.CONNECT_FAILED
                self.record_failure(server, MAX_CONSECUTIVE_FAILURES if once else 1.0, MAX_EJECTED_SHARE)
            elif server.last_alive_at <= sent:
                self.record_failure(server, 1.0, MAX_EJECTED_SHARE_ON_SILENCE)
            else:
                self.latency.raise_class_mean(cls, duration_ns)

    def sample(self, server: Server, relative_latency: float) -> None:
        fresh = 1.0 - 0.5 ** (
            (self.ctx.now - server.last_heard_at) / (STALE_SAMPLE_HALF_LIFE * self.ctx.shortest)
        )
        weight = max(SMOOTHING, 1.0 / (server.samples + 2), fresh if self.endpoints.low_traffic else 0.0)
        relative_latency = min(relative_latency, MAX_SAMPLE)
        server.relative_latency += weight * (relative_latency - server.relative_latency)
        self.picker.update_weight_bias(server, relative_latency)
        server.samples += 1
        server.last_heard_at = self.ctx.now

    def record_failure(self, server: Server, weight: float, share: float) -> None:
        """Count a failure or an overdue attempt, and eject while at most this share would be out."""
        server.consecutive_failures += weight
        if server.ejected:
            self.schedule_half_open(server)
        elif (
            server.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            and len(self.endpoints.ejected) + 1 <= share * self.endpoints.ready_count
        ):
            self.eject(server)

    def eject(self, server: Server) -> None:
        server.ejected = True
        self.endpoints.inflight -= server.awaited_count()
        server.ejections = 0
        self.schedule_half_open(server)
        self.endpoints.rebuild()
        self.ctx.log(f"ejected {server.id} after {server.consecutive_failures:.1f} strikes in a row")
        self.on_eject(server)

    def schedule_half_open(self, server: Server) -> None:
        wait = self.ctx.shortest * min(
            BASE_EJECTION_DEADLINES * EJECTION_GROWTH**server.ejections, MAX_EJECTION_FACTOR
        )
        server.ejections += 1
        jitter = self.ctx.random.uniform(1.0 - EJECTION_JITTER, 1.0 + EJECTION_JITTER)
        server.half_open_at = self.ctx.now + int(wait * jitter)

    def half_open_server(self, request: PendingRequest) -> Server | None:
        """An ejected server that is due for one request: of a class safe to repeat, if there is any."""
        if request.attempts or (self.has_idempotent_class and request.spec.effect is not Effect.IDEMPOTENT):
            return None
        self.requests_since_trial += 1
        if self.requests_since_trial < HALF_OPEN_REQUEST_INTERVAL:
            return None
        for server in self.endpoints.ejected:
            if (
                server.half_open_at <= self.ctx.now
                and not server.half_open_in_flight
                and self.safety_rules.may_send(request, server)
            ):
                self.requests_since_trial = 0
                return server
        return None

    def readmit(self, server: Server) -> None:
        server.ejected = False
        self.endpoints.inflight += server.awaited_count()
        server.relative_latency = min(server.relative_latency, REJECTION_SAMPLE)
        self.endpoints.rebuild()

    def write_off(self, server: Server, attempt: AttemptKey) -> None:
        """Take an attempt that is overdue twice out of what is in flight: its answer is most likely lost.

        Guards against a network that drops answers: attempts that never come back filled a shrinking limit
        until their deadlines, and all requests were refused.
        """
        if attempt not in server.written_off:
            self.endpoints.inflight -= not server.ejected
            server.written_off.add(attempt)

    def overdue_after(self, server: Server, cls: int, remaining_ns: int) -> int:
        """When to doubt an attempt: a slow server is given its time, lest load looks like loss."""
        baseline = self.latency.class_mean[cls] + OVERDUE_DEVIATIONS * self.latency.deviation[cls]
        baseline = max(baseline, MIN_OVERDUE_CLASS_MEANS * self.latency.class_mean[cls]) * max(
            server.relative_latency, 1.0
        )
        return int(min(baseline, MAX_OVERDUE_SHARE * remaining_ns)) + 1

    def fallback_server(self, request: PendingRequest) -> Server | None:
        """A server that is avoided for its errors, for a request that would else be refused.

        It gets no more than the others hold each, and nothing if it mostly fails or does not answer.
        """
        most = max(
            self.endpoints.inflight / max(len(self.endpoints.local) + len(self.endpoints.remote), 1), 1.0
        )
        for server in self.endpoints.ejected:
            of_use = (
                server.answering
                and server.success_rate >= MIN_FALLBACK_SUCCESS_RATE
                and server.awaited_count() < most
            )
            if of_use and self.safety_rules.may_send(request, server):
                return server
        return None
