"""Outcomes of attempts: each outcome updates the estimates of its server, its group and its class."""

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

# Samples of relative latency, as multiples of the class mean.
MIN_FAILURE_SAMPLE = 4.0  # least sample for a failure: fast errors must not make a server look fast
# Least sample for a rejection: a full server is alive, but should get less for a while.
REJECTION_SAMPLE = 3.0
MAX_SAMPLE = 10.0  # greatest sample: one request in the long tail must not rule out a server
STALE_SAMPLE_HALF_LIFE = 3.0  # half-life of an estimate's weight, as a multiple of the shortest deadline
SUCCESS_RATE_SMOOTHING = 0.1  # weight of one answer in the success rate of its server


@dataclass(slots=True)
class OutcomeRecorder:
    """Updates the estimates of servers, groups and classes with the outcomes of attempts."""

    context: Context
    latency: LatencyEstimates
    endpoints: EndpointSet
    slow_start: SlowStart
    limiter: ConcurrencyLimiter
    picker: EndpointPicker
    outlier_detector: OutlierDetector

    def record_end(self, event: Outcome) -> Server | None:
        """Record that an attempt has ended, and its outcome; return its server, if that is still known."""
        server = self.endpoints.servers.get(event.server)
        attempt = (event.id, event.attempt)
        if server and attempt in server.in_flight:
            since_ns, class_index = server.in_flight.pop(attempt)
            presumed_lost, waiting = attempt in server.presumed_lost, attempt in server.waiting
            server.presumed_lost.discard(attempt)
            server.waiting.discard(attempt)
            self.endpoints.inflight -= not (presumed_lost or waiting or server.ejected)
            self.update_estimates(server, since_ns, class_index, event, presumed_lost=presumed_lost)
        return server

    def update_estimates(
        self, server: Server, sent_at: int, class_index: int, event: Outcome, *, presumed_lost: bool
    ) -> None:
        """Update the estimates with the outcome of an attempt that was sent at `sent_at` ns."""
        status = event.status
        if server.ejected:
            server.half_open_in_flight = False
        if status in UNWRITTEN:
            self.slow_start.refund_tokens(server, class_index, sent_at)
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
            self._record_failure(server, sent_at, class_index, event, presumed_lost=presumed_lost)

    def _record_success(self, server: Server, class_index: int, event: Outcome) -> None:
        duration_ns, latency = event.duration_ns, self.latency
        class_mean = latency.class_mean[class_index]  # before this answer
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
        server.last_alive_at = self.context.now
        self.limiter.record_pressure(REJECTION_PRESSURE)

    def _record_failure(
        self, server: Server, sent_at: int, class_index: int, event: Outcome, *, presumed_lost: bool
    ) -> None:
        latency, detector = self.latency, self.outlier_detector
        relative_latency = event.duration_ns / latency.class_mean[class_index]
        timed_out = event.status is Status.TIMEOUT
        self.record_sample(server, max(relative_latency, MIN_FAILURE_SAMPLE, server.relative_latency))
        if timed_out and server.last_alive_at > sent_at and not presumed_lost:
            self.limiter.record_latency(server, class_index, event.duration_ns)
        if not timed_out:
            # If each server gets less than one request in a shortest deadline, a second failure would come
            # more than a deadline later, so the first failed connection ejects the server.
            low_rate = (
                latency.answer_rate * self.context.shortest_deadline_ns < self.endpoints.ready_count * SECOND
            )
            eject_now = low_rate and event.status is Status.CONNECT_FAILED
            detector.record_failure(server, MAX_CONSECUTIVE_FAILURES if eject_now else 1.0, MAX_EJECTED_SHARE)
        elif server.last_alive_at <= sent_at:
            detector.record_failure(server, 1.0, MAX_EJECTED_SHARE_ON_SILENCE)
        else:
            latency.raise_class_mean(class_index, event.duration_ns)

    def record_sample(self, server: Server, relative_latency: float) -> None:
        """Add a sample, a multiple of the class mean, to the relative latency of a server and of its group.

        With low traffic, a sample outweighs an estimate that is old.
        """
        age_ns = self.context.now - server.last_heard_at
        staleness = 1.0 - 0.5 ** (age_ns / (STALE_SAMPLE_HALF_LIFE * self.context.shortest_deadline_ns))
        weight = max(SMOOTHING, 1.0 / (server.samples + 2), staleness if self.endpoints.low_traffic else 0.0)
        relative_latency = min(relative_latency, MAX_SAMPLE)
        server.relative_latency += weight * (relative_latency - server.relative_latency)
        self.picker.update_weight_bias(server, relative_latency)
        server.samples += 1
        server.last_heard_at = self.context.now
