"""What the ends of attempts tell: each estimate of the decision module learns its part of an outcome."""

from dataclasses import dataclass

from .concurrency_limiter import REJECTION_PRESSURE, ConcurrencyLimiter
from .endpoint_picker import SMOOTHING, EndpointPicker
from .endpoint_set import EndpointSet
from .interface import Outcome, Status
from .latency import LatencyEstimates
from .outlier_detection import (
    MAX_CONSECUTIVE_FAILURES,
    MAX_EJECTED_SHARE,
    MAX_EJECTED_SHARE_ON_SILENCE,
    OutlierDetector,
)
from .slow_start import SlowStart
from .state_records import SECOND, UNWRITTEN, Context, Server

MIN_FAILURE_SAMPLE = 4.0  # class means that a failure counts at least: a fast error is no fast server
REJECTION_SAMPLE = 3.0  # class means: a full server is alive, but to be left alone for a while
MAX_SAMPLE = 10.0  # class means: one long-tailed request must not condemn a server
STALE_SAMPLE_HALF_LIFE = 3.0  # shortest deadlines until an old estimate counts half against a new sample
SUCCESS_RATE_SMOOTHING = 0.1  # weight of one answer of a server in its success rate


@dataclass(slots=True)
class OutcomeRecorder:
    """Takes the ends of attempts into what is known of their server, its groups and its class."""

    context: Context
    latency: LatencyEstimates
    endpoints: EndpointSet
    slow_start: SlowStart
    limiter: ConcurrencyLimiter
    picker: EndpointPicker
    outlier_detector: OutlierDetector

    def record_end(self, event: Outcome) -> Server | None:
        """Count an attempt as in flight no more, however it ended; return its server, if still known."""
        server = self.endpoints.servers.get(event.server)
        attempt = (event.id, event.attempt)
        if server and attempt in server.in_flight:
            since_ns, class_index = server.in_flight.pop(attempt)
            presumed_lost = attempt in server.presumed_lost
            server.presumed_lost.discard(attempt)
            self.endpoints.inflight -= not presumed_lost and not server.ejected
            self.update_estimates(server, since_ns, class_index, event, presumed_lost=presumed_lost)
        return server

    def update_estimates(
        self, server: Server, sent: int, class_index: int, event: Outcome, *, presumed_lost: bool
    ) -> None:
        """Take the end of an attempt of class `class_index`, sent at `sent`, into the estimates."""
        status = event.status
        if server.ejected:
            server.half_open_in_flight = False
        if status in UNWRITTEN:
            self.slow_start.refund_tokens(server, class_index, sent)
        if status is Status.NOT_SENT:
            return
        if status in (Status.OK, Status.ERROR):
            server.success_rate += SUCCESS_RATE_SMOOTHING * ((status is Status.OK) - server.success_rate)
        if status is not Status.CANCELLED:
            server.answering = status in (Status.OK, Status.ERROR, Status.REJECTED)
        if status is Status.OK:
            self._record_success(server, class_index, event)
        elif status is Status.REJECTED:
            self._record_rejection(server)
        elif status is Status.CANCELLED:
            relative_latency = event.duration_ns / self.latency.class_mean[class_index]
            if relative_latency > server.relative_latency:
                self.record_sample(server, relative_latency)
        else:
            self._record_failure(server, sent, class_index, event, presumed_lost=presumed_lost)

    def _record_success(self, server: Server, class_index: int, event: Outcome) -> None:
        duration_ns, latency = event.duration_ns, self.latency
        class_mean = latency.class_mean[class_index]  # as it was before this answer
        latency.update_baseline(class_index, duration_ns, under_pressure=self.limiter.pressure >= 1.0)
        self.slow_start.record_answer(server, class_index)
        self.limiter.record_answer(server, class_index, duration_ns)
        latency.update_mean(class_index, duration_ns)
        latency.count_answer()
        server.consecutive_failures = 0.0
        server.last_alive_at = self.context.now
        if server.ejected:
            self.outlier_detector.readmit(server)
        relative_latency = duration_ns / class_mean
        self.record_sample(server, relative_latency)
        self.picker.record_load_report(server, event.report, relative_latency)

    def _record_rejection(self, server: Server) -> None:
        self.record_sample(server, max(REJECTION_SAMPLE, server.relative_latency))
        self.slow_start.drain_tokens(server)
        server.last_alive_at = self.context.now  # busy, but alive
        self.limiter.record_pressure(REJECTION_PRESSURE)

    def _record_failure(
        self, server: Server, sent: int, class_index: int, event: Outcome, *, presumed_lost: bool
    ) -> None:
        latency, detector = self.latency, self.outlier_detector
        relative_latency = event.duration_ns / latency.class_mean[class_index]
        timed_out = event.status is Status.TIMEOUT
        self.record_sample(server, max(relative_latency, MIN_FAILURE_SAMPLE, server.relative_latency))
        if timed_out and server.last_alive_at > sent and not presumed_lost:
            self.limiter.record_latency(server, class_index, event.duration_ns)
        if not timed_out:
            # Who asks a server less than once a deadline learns too late from a second failure.
            rarely = (
                latency.answer_rate * self.context.shortest_deadline_ns < self.endpoints.ready_count * SECOND
            )
            once = rarely and event.status is Status.CONNECT_FAILED
            detector.record_failure(server, MAX_CONSECUTIVE_FAILURES if once else 1.0, MAX_EJECTED_SHARE)
        elif server.last_alive_at <= sent:
            detector.record_failure(server, 1.0, MAX_EJECTED_SHARE_ON_SILENCE)
        else:
            latency.raise_class_mean(class_index, event.duration_ns)

    def record_sample(self, server: Server, relative_latency: float) -> None:
        """Take a sample, in class means, into a server's relative latency and its group's."""
        age = self.context.now - server.last_heard_at
        fresh = 1.0 - 0.5 ** (age / (STALE_SAMPLE_HALF_LIFE * self.context.shortest_deadline_ns))
        weight = max(SMOOTHING, 1.0 / (server.samples + 2), fresh if self.endpoints.low_traffic else 0.0)
        relative_latency = min(relative_latency, MAX_SAMPLE)
        server.relative_latency += weight * (relative_latency - server.relative_latency)
        self.picker.update_weight_bias(server, relative_latency)
        server.samples += 1
        server.last_heard_at = self.context.now
