"""Admission: an adaptive concurrency limit on the own requests in flight.

The limit follows the gradient of latency, as in Netflix's gradient limiter: it moves a step towards the limit
times (target latency / seen latency), plus room to queue of the square root of the limit.
`docs/design/limit.md` has the other limits that were tried.
"""

import math

from .endpoint_set import EndpointSet
from .interface import Request
from .latency import LatencyEstimates
from .state_records import SECOND, Context, RequestState, Server
from .tenant_quota import TenantQuotas

TARGET_OBJECTIVE_SHARE = 0.45  # of the objective: with a mean of half of it about one answer in eight is late
TARGET_BASELINES = 1.4  # baseline latencies, where the objective is hardly more than that
REJECTION_PRESSURE = 2.0  # what a rejection counts: short queues are full before latency shows it
MAX_SAMPLE_PRESSURE = 4.0  # what one attempt counts at most
PRESSURE_HALF_LIFE = 0.12  # shortest deadlines in which what was seen fades to half
MIN_PRESSURE_SAMPLES = 10  # ... or the time of so many answers: fewer are noise, which would shed for nothing
PRIOR_PRESSURE = 0.7  # what nothing seen means: let the limit grow, carefully
PRIOR_PRESSURE_SAMPLES = 2.0  # attempts
# Of the objective, however long the baseline latency: nothing is learned from a collapse.
MAX_TARGET_OBJECTIVE_SHARE = 0.6
UPDATE_INTERVAL = 0.1  # shortest deadlines between corrections
UPDATE_STEP = 0.2  # of the way to what a correction finds: the answers of one are noise
MIN_GRADIENT = 0.5  # of the limit at the least in what it finds: late answers are of an earlier crowd
# Pressure below which nothing queues: a limit that binds there is opened in proportion.
PROBING_PRESSURE = 0.5
MAX_GRADIENT = 4.0  # times the limit at the most in what it finds: others may be opening theirs
UNTESTED_HEADROOM = 4.0  # times what is in flight and a request for each server, for the first deadline
SURGE_FACTOR = 2.0  # times what the answers of late would keep in flight at the wanted latency, then
SURGE_ALLOWANCE = 4.0  # ... and so many requests, for sidecars that rarely send
IDLE_SERVER_ALLOWANCE = 2.0  # ... and so many for each ready server, all sidecars together
# Requests for each ready server, all sidecars together: enough to notice recovery.
MIN_LIMIT_PER_SERVER = 0.5
PEAK_DECAY = 0.95  # for each correction, of the highest number lately in flight
CLASS_LEVELLING = 4.0  # times the goal's weight of the worst-served class: at a quarter, all are shed alike
# Of the requests that find none in flight so many are admitted at the least, to notice recovery.
MIN_ADMIT_PROBABILITY = 0.2
# Of the limit is open to the class of least priority weight for its cost, all of it to the highest.
MIN_CLASS_SHARE = 0.5

# What a client's retry can still earn.
# Of the difference, for each shorter first attempt of a client: how long clients wait for one.
CLIENT_TIMEOUT_SMOOTHING = 0.01
SURE_BASELINES = 1.5  # baseline latencies before the objective: the answer comes in time
HOPELESS_BASELINES = 0.5  # ... and it hardly ever does


def _likelihood(time: float, baseline: float) -> float:
    """How likely so much time is enough, from 0 to 1."""
    return min(max((time / baseline - HOPELESS_BASELINES) / (SURE_BASELINES - HOPELESS_BASELINES), 0.0), 1.0)


class ConcurrencyLimiter:
    """Admits or rejects requests by a limit on the own requests in flight."""

    def __init__(
        self, context: Context, latency: LatencyEstimates, tenant_quotas: TenantQuotas, endpoints: EndpointSet
    ) -> None:
        """Start without a limit, until the first update."""
        self.context, self.latency, self.tenant_quotas, self.endpoints = (
            context,
            latency,
            tenant_quotas,
            endpoints,
        )
        # By class, ns that clients wait for one attempt.
        self.client_timeout = [0.0] * len(latency.class_mean)
        self.pressure = PRIOR_PRESSURE
        self.pressure_sum = self.pressure_count = 0.0
        self.pressure_at = self.limited_at = self.updated_at = 0
        self.peak_inflight = self.target_inflight = 0.0
        self.completed_units = 0.0  # target latencies of what was answered since the last update
        self.first_update_at = 0  # 0: none yet
        self.limit = 1e9  # until the first update
        self.update_interval_ns = int(context.shortest_deadline_ns * UPDATE_INTERVAL)
        self.class_share = [1.0] * len(latency.class_mean)

    def record_answer(self, server: Server, class_index: int, duration_ns: int) -> None:
        """Count an answer, and take its latency into the pressure."""
        self.completed_units += self.target_latency(class_index)
        self.record_latency(server, class_index, duration_ns)

    def scale_down(self, part: float) -> None:
        """Scale the limit down with the servers, without waiting for late answers to show it."""
        self.limit *= part
        self.target_inflight *= part

    def expected_value(self, event: Request, request: RequestState) -> float:
        """Return the part of its priority weight that a request can still be expected to earn.

        Objective and deadline of a class run from the client's first attempt, and a retry is cut short at
        that deadline: so a short time tells its age.
        Guards against admitting what is answered too late anyway.
        """
        spec = request.spec
        remaining_ns = event.deadline_ns - self.context.now
        # By its client: time spent in line here is not a retry's age.
        given = remaining_ns + event.waited_ns
        baseline = self.latency.baseline[event.class_index]
        span = self.client_timeout[event.class_index]
        if not event.is_retry:
            span = max(given, span + CLIENT_TIMEOUT_SMOOTHING * (given - span))
            self.client_timeout[event.class_index] = span
        if given < span - 2 * self.context.settings.tick_ns:
            request.age = spec.deadline_ns - remaining_ns
            in_time = _likelihood(spec.objective_ns - request.age, baseline)
        elif event.is_retry and spec.deadline_ns > span:
            # Not cut short: it may be of any age up to this.
            in_time = min(max(spec.objective_ns - baseline, 0.0) / (spec.deadline_ns - span), 1.0)
        else:
            in_time = 1.0
        return (in_time + (1.0 - in_time) * spec.late_priority_weight) * _likelihood(remaining_ns, baseline)

    def admit(self, request: RequestState, expected_value: float) -> bool:
        """Reject early what would make the requests in flight outgrow what is answered in time.

        Guards against queues in which all is answered too late, and servers that turn slow when crowded.
        """
        if self.context.now - self.updated_at >= self.update_interval_ns:
            self.update()
        share = self.class_share[request.class_index]
        if (
            self.tenant_quotas.over_quota
            and self.context.random.random() < self.tenant_quotas.over_quota[request.tenant]
        ):
            share = MIN_CLASS_SHARE + (share - MIN_CLASS_SHARE) * self.context.settings.over_quota_weight
        limit = self.limit * share * expected_value
        if self.endpoints.low_traffic and limit < 1.0 and not self.endpoints.inflight:
            # A thousand sidecars with a request each now and then are not held back by a limit of one.
            natural = self.endpoints.request_rate * self.target_latency(request.class_index) / SECOND
            if self.context.random.random() < max(
                limit / natural, 2.0 - self.pressure, MIN_ADMIT_PROBABILITY
            ):
                return True
        elif self.endpoints.inflight + 1 <= max(limit, 1.0):
            return True
        self.limited_at = self.context.now
        return False

    def update(self) -> None:
        """Move the limit a step along the gradient, and the shares of the classes with it."""
        self.first_update_at = self.first_update_at or self.context.now
        passed = max(self.context.now - self.updated_at, 1)
        self.updated_at = self.context.now
        weight = min(passed / self.context.shortest_deadline_ns, 1.0)
        self.target_inflight += weight * (self.completed_units / passed - self.target_inflight)
        self.completed_units = 0.0
        self.peak_inflight = max(self.endpoints.inflight, self.peak_inflight * PEAK_DECAY)
        self.decay()
        ceiling = self._ceiling()
        limit = self._step(min(self.limit, ceiling), ceiling, passed)
        # Every sidecar keeps its part of a floor, so that all together leave a tired fleet nearly idle.
        floor = MIN_LIMIT_PER_SERVER * self.endpoints.ready_count / self.context.settings.fleet_size
        self.limit = max(limit, floor, 0.0 if self.endpoints.low_traffic else 1.0)
        self._update_class_shares()

    def _ceiling(self) -> float:
        """Return the highest limit that the answers seen so far justify."""
        if self.context.now - self.first_update_at < self.context.shortest_deadline_ns:
            # No answers to go by yet.
            return UNTESTED_HEADROOM * (self.peak_inflight + self.endpoints.ready_count)
        # A limit that follows what is in flight lets a surge in before the first late answer.
        spread = IDLE_SERVER_ALLOWANCE * self.endpoints.ready_count / self.context.settings.fleet_size
        return SURGE_FACTOR * self.target_inflight + SURGE_ALLOWANCE + spread

    def _step(self, limit: float, ceiling: float, passed: int) -> float:
        """Return the limit after the `passed` ns since the last update."""
        late = self.pressure > 1.0
        if late:  # what is above that binds nothing, and lowering it would not help
            limit = min(limit, max(self.peak_inflight, self.target_inflight))
        recently_limited = self.context.now - self.limited_at < 2 * self.update_interval_ns
        bound = recently_limited or self.endpoints.inflight > limit / 2
        if not (late or bound or self.endpoints.low_traffic):
            # In good times little in flight tells nothing of the limit, unless that is always so.
            return limit
        # The gradient of latency, and room to queue for all sidecars together: where both are level the limit
        # stays. Guards against room made for many: with the traffic of many, a limit opened by 0.4 a second.
        regains = self.endpoints.low_traffic and not late
        headroom = limit if regains else math.sqrt(limit / self.context.settings.fleet_size)
        max_gradient = min(max(PROBING_PRESSURE / self.pressure, 1.0), MAX_GRADIENT)
        found = limit * min(max(1.0 / self.pressure, MIN_GRADIENT), max_gradient) + headroom
        # A sidecar that rarely sends updates its limit rarely, and by more.
        step: float = 1.0 - (1.0 - UPDATE_STEP) ** (passed / self.update_interval_ns)
        return min(limit + step * (found - limit), ceiling)

    def _update_class_shares(self) -> None:
        densities = [self.value_density(class_index) for class_index in range(len(self.latency.baseline))]
        highest = max(densities) or 1.0  # classes may all have no weight
        # What is shed first is soon the worst-served class, which the goal may weigh by itself.
        levelled = min(CLASS_LEVELLING * self.context.settings.goal_worst_class, 1.0)
        min_share = MIN_CLASS_SHARE + (1.0 - MIN_CLASS_SHARE) * levelled
        self.class_share = [min_share + (1.0 - min_share) * density / highest for density in densities]

    def value_density(self, class_index: int) -> float:
        """Return the priority weight of a class for the server time that it takes."""
        weight = self.context.settings.classes[class_index].priority_weight
        return weight if self.context.settings.weight_by_work else weight / self.latency.baseline[class_index]

    def target_latency(self, class_index: int) -> float:
        """Return the latency of a class, in ns, at which the pressure is 1."""
        aim = self.context.settings.classes[class_index].objective_ns
        return min(
            max(TARGET_OBJECTIVE_SHARE * aim, TARGET_BASELINES * self.latency.baseline[class_index]),
            MAX_TARGET_OBJECTIVE_SHARE * aim,
        )

    def record_latency(self, server: Server, class_index: int, latency: float) -> None:
        """Take one attempt's latency into the pressure, a mean that fades with time to its prior."""
        if not server.ejected:
            self.record_pressure(latency / self.target_latency(class_index))

    def record_pressure(self, pressure: float) -> None:
        """Take one sample, 1.0 at the target latency, into the pressure."""
        self.decay()
        self.pressure_sum += min(pressure, MAX_SAMPLE_PRESSURE)
        self.pressure_count += 1.0

    def decay(self) -> None:
        """Let what was seen fade with time towards the prior."""
        samples = MIN_PRESSURE_SAMPLES * SECOND / max(self.latency.answer_rate, 1.0)
        span = min(
            max(PRESSURE_HALF_LIFE * self.context.shortest_deadline_ns, samples),
            self.context.shortest_deadline_ns,
        )
        decay = 0.5 ** ((self.context.now - self.pressure_at) / span)
        self.pressure_at = self.context.now
        self.pressure_sum *= decay
        self.pressure_count *= decay
        prior = PRIOR_PRESSURE_SAMPLES
        self.pressure = (self.pressure_sum + PRIOR_PRESSURE * prior) / (self.pressure_count + prior)
