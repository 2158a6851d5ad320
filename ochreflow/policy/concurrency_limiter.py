"""Admission control: an adaptive limit on the requests of this sidecar in flight.

The limit follows the latency gradient, as in Netflix's gradient limiter: it moves a step towards the limit
times (target latency / observed latency), plus headroom to queue, the square root of the limit.
`docs/design/limit.md` compares it with other limits.
"""

import math

from .endpoint_set import EndpointSet
from .interface import Request
from .latency import LatencyEstimates
from .state_records import SECOND, Context, RequestState, Server
from .tenant_quota import TenantQuotas

# Target latency as a share of the objective: if the mean is half the objective, about one answer in eight is
# late.
TARGET_OBJECTIVE_SHARE = 0.45
# Least target latency as a multiple of the baseline, for objectives not much longer than the baseline.
TARGET_BASELINES = 1.4
REJECTION_PRESSURE = 2.0  # sample that a rejection counts as: short queues fill before latency shows it
MAX_SAMPLE_PRESSURE = 4.0  # greatest sample that one attempt counts as
PRESSURE_HALF_LIFE = 0.12  # least half-life of samples, as a multiple of the shortest deadline
# Least half-life of samples, in answers: the noise of fewer would cause needless rejections.
MIN_PRESSURE_SAMPLES = 10
PRIOR_PRESSURE = 0.7  # pressure without samples; below 1, so that the limit grows slowly
PRIOR_PRESSURE_SAMPLES = 2.0  # weight of the prior, in samples
# Greatest target latency as a share of the objective: a baseline learned in a collapse must not raise it.
MAX_TARGET_OBJECTIVE_SHARE = 0.6
UPDATE_INTERVAL = 0.1  # time between updates of the limit, as a multiple of the shortest deadline
UPDATE_STEP = 0.2  # share of the way to the target in one update, whose few answers are noisy
MIN_GRADIENT = 0.5  # least factor on the limit: late answers reflect the concurrency of some time ago
# Pressure below which requests do not queue: a limit that rejects requests there grows in proportion.
PROBING_PRESSURE = 0.5
MAX_GRADIENT = 4.0  # greatest factor on the limit: other sidecars may be raising their limits too
# Ceiling of the limit during the first shortest deadline, as a multiple of the sum of the peak number of
# requests in flight and the number of ready servers.
UNTESTED_HEADROOM = 4.0
# Ceiling of the limit after that time, as a multiple of the requests that recent answers keep in flight at
# the target latency; the two allowances below are added.
SURGE_FACTOR = 2.0
SURGE_ALLOWANCE = 4.0  # requests added to the ceiling, for sidecars that rarely send
# Requests added to the ceiling for each ready server, divided among all sidecars.
IDLE_SERVER_ALLOWANCE = 2.0
# Least limit, in requests for each ready server, divided among all sidecars: enough to notice a recovery.
MIN_LIMIT_PER_SERVER = 0.5
PEAK_DECAY = 0.95  # factor, for each update, on the recent peak of requests in flight
# Factor on the weight of the worst-served class in the goal: at 1/4 or more, all classes are shed alike.
CLASS_EQUALIZATION = 4.0
# Least probability of admission for a request when none is in flight, to notice a recovery.
MIN_ADMIT_PROBABILITY = 0.2
# Share of the limit that is open to a class without priority weight; the class of the highest weight for its
# cost may use all of it.
MIN_CLASS_SHARE = 0.5

# The remaining value of a client's retry.
# Step of the estimated client timeout towards a first attempt with a shorter one; longer ones count at once.
CLIENT_TIMEOUT_SMOOTHING = 0.01
# Remaining time, as a multiple of the baseline, with which an answer is in time, or almost never in time.
CERTAIN_BASELINES = 1.5
HOPELESS_BASELINES = 0.5


def _likelihood(remaining_ns: float, baseline: float) -> float:
    """Return the probability, from 0 to 1, that an answer arrives within the remaining time."""
    return min(
        max((remaining_ns / baseline - HOPELESS_BASELINES) / (CERTAIN_BASELINES - HOPELESS_BASELINES), 0.0),
        1.0,
    )


class ConcurrencyLimiter:
    """Admits or rejects requests by a limit on this sidecar's requests in flight."""

    def __init__(
        self, context: Context, latency: LatencyEstimates, tenant_quotas: TenantQuotas, endpoints: EndpointSet
    ) -> None:
        """Start without a limit; the first update sets one."""
        self.context, self.latency, self.tenant_quotas, self.endpoints = (
            context,
            latency,
            tenant_quotas,
            endpoints,
        )
        # By class, the estimated time in ns that clients wait for one attempt.
        self.client_timeout = [0.0] * len(latency.class_mean)
        self.pressure = PRIOR_PRESSURE
        self.pressure_sum = self.pressure_count = 0.0
        self.pressure_at = self.limited_at = self.updated_at = 0
        self.peak_inflight = self.target_inflight = 0.0
        self.completed_ns = 0.0  # sum of the target latencies of the answers since the last update
        self.first_update_at = 0  # 0: not updated yet
        self.limit = 1e9  # before the first update: no limit
        self.update_interval_ns = int(context.shortest_deadline_ns * UPDATE_INTERVAL)
        self.class_share = [1.0] * len(latency.class_mean)

    def record_answer(self, server: Server, class_index: int, duration_ns: int) -> None:
        """Count an answer, and add its latency to the pressure."""
        self.completed_ns += self.target_latency(class_index)
        self.record_latency(server, class_index, duration_ns)

    def scale_down(self, share: float) -> None:
        """Scale the limit by the share of servers that remains, without waiting for late answers."""
        self.limit *= share
        self.target_inflight *= share

    def expected_value(self, event: Request, request: RequestState) -> float:
        """Return the expected share of its priority weight that a request can still earn.

        The objective and the deadline of a class count from the client's first attempt, and a client's retry
        ends at that deadline: so an unusually short time shows the request's age. Without it, requests would
        be admitted whose answers are late anyway.
        """
        spec = request.spec
        remaining_ns = event.deadline_ns - self.context.now
        # The time that the client gave the attempt: a wait in this sidecar does not make it a late retry.
        attempt_timeout_ns = remaining_ns + event.waited_ns
        baseline = self.latency.baseline[event.class_index]
        client_timeout_ns = self.client_timeout[event.class_index]
        if not event.is_retry:
            client_timeout_ns = max(
                attempt_timeout_ns,
                client_timeout_ns + CLIENT_TIMEOUT_SMOOTHING * (attempt_timeout_ns - client_timeout_ns),
            )
            self.client_timeout[event.class_index] = client_timeout_ns
        if attempt_timeout_ns < client_timeout_ns - 2 * self.context.settings.tick_ns:
            request.age = spec.deadline_ns - remaining_ns
            in_time = _likelihood(spec.objective_ns - request.age, baseline)
        elif event.is_retry and spec.deadline_ns > client_timeout_ns:
            # The retry's time is not shortened: its age may be anything up to the deadline less the timeout.
            in_time = min(
                max(spec.objective_ns - baseline, 0.0) / (spec.deadline_ns - client_timeout_ns), 1.0
            )
        else:
            in_time = 1.0
        return (in_time + (1.0 - in_time) * spec.late_priority_weight) * _likelihood(remaining_ns, baseline)

    def admit(self, request: RequestState, expected_value: float) -> bool:
        """Return whether to admit a request, so that no more are in flight than can be answered in time.

        Without a limit, queues grow until all answers are late, and some servers slow down under concurrency.
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
            # A limit of one would not restrain a thousand sidecars that each send a request now and then.
            expected_inflight = (
                self.endpoints.request_rate * self.target_latency(request.class_index) / SECOND
            )
            if self.context.random.random() < max(
                limit / expected_inflight, 2.0 - self.pressure, MIN_ADMIT_PROBABILITY
            ):
                return True
        elif self.endpoints.inflight + 1 <= max(limit, 1.0):
            return True
        self.limited_at = self.context.now
        return False

    def update(self) -> None:
        """Move the limit a step along the gradient, and update the shares of the classes."""
        self.first_update_at = self.first_update_at or self.context.now
        elapsed_ns = max(self.context.now - self.updated_at, 1)
        self.updated_at = self.context.now
        weight = min(elapsed_ns / self.context.shortest_deadline_ns, 1.0)
        self.target_inflight += weight * (self.completed_ns / elapsed_ns - self.target_inflight)
        self.completed_ns = 0.0
        self.peak_inflight = max(self.endpoints.inflight, self.peak_inflight * PEAK_DECAY)
        self.decay()
        ceiling = self._ceiling()
        limit = self._step(min(self.limit, ceiling), ceiling, elapsed_ns)
        # Each sidecar keeps its share of a floor that leaves servers nearly idle, so that they can recover.
        floor = MIN_LIMIT_PER_SERVER * self.endpoints.ready_count / self.context.settings.fleet_size
        self.limit = max(limit, floor, 0.0 if self.endpoints.low_traffic else 1.0)
        self._update_class_shares()

    def _ceiling(self) -> float:
        """Return the highest limit that the answers seen so far justify."""
        if self.context.now - self.first_update_at < self.context.shortest_deadline_ns:
            # There are too few answers yet.
            return UNTESTED_HEADROOM * (self.peak_inflight + self.endpoints.ready_count)
        # A limit that followed the requests in flight would admit a whole surge before the first late answer.
        spread = IDLE_SERVER_ALLOWANCE * self.endpoints.ready_count / self.context.settings.fleet_size
        return SURGE_FACTOR * self.target_inflight + SURGE_ALLOWANCE + spread

    def _step(self, limit: float, ceiling: float, elapsed_ns: int) -> float:
        """Return the limit after the `elapsed_ns` since the last update."""
        overloaded = self.pressure > 1.0
        if overloaded:  # a limit above the recent concurrency has no effect, nor has lowering it step by step
            limit = min(limit, max(self.peak_inflight, self.target_inflight))
        recently_limited = self.context.now - self.limited_at < 2 * self.update_interval_ns
        limiting = recently_limited or self.endpoints.inflight > limit / 2
        if not (overloaded or limiting or self.endpoints.low_traffic):
            # Few requests in flight and no overload: nothing shows whether the limit is too high or too low.
            return limit
        # The limit is stable where the gradient's reduction equals the headroom, which all sidecars share.
        # With the headroom alone, a sidecar that took over the traffic of many raised its limit by only 0.4
        # a second, which is too slow; hence `max_gradient` exceeds 1 at low pressure.
        recovering = self.endpoints.low_traffic and not overloaded
        headroom = limit if recovering else math.sqrt(limit / self.context.settings.fleet_size)
        max_gradient = min(max(PROBING_PRESSURE / self.pressure, 1.0), MAX_GRADIENT)
        target = limit * min(max(1.0 / self.pressure, MIN_GRADIENT), max_gradient) + headroom
        # A sidecar that rarely sends updates its limit rarely, in larger steps.
        step: float = 1.0 - (1.0 - UPDATE_STEP) ** (elapsed_ns / self.update_interval_ns)
        return min(limit + step * (target - limit), ceiling)

    def _update_class_shares(self) -> None:
        densities = [self.value_density(class_index) for class_index in range(len(self.latency.baseline))]
        highest = max(densities) or 1.0  # the weights of all classes may be 0
        # The class that is shed first soon becomes the worst-served one, which the goal may weigh separately.
        equalization = min(CLASS_EQUALIZATION * self.context.settings.goal_worst_class, 1.0)
        min_share = MIN_CLASS_SHARE + (1.0 - MIN_CLASS_SHARE) * equalization
        self.class_share = [min_share + (1.0 - min_share) * density / highest for density in densities]

    def value_density(self, class_index: int) -> float:
        """Return the priority weight of a class per unit of server time that its requests take."""
        weight = self.context.settings.classes[class_index].priority_weight
        return weight if self.context.settings.weight_by_work else weight / self.latency.baseline[class_index]

    def target_latency(self, class_index: int) -> float:
        """Return the latency of a class, in ns, at which the pressure is 1."""
        objective_ns = self.context.settings.classes[class_index].objective_ns
        return min(
            max(TARGET_OBJECTIVE_SHARE * objective_ns, TARGET_BASELINES * self.latency.baseline[class_index]),
            MAX_TARGET_OBJECTIVE_SHARE * objective_ns,
        )

    def record_latency(self, server: Server, class_index: int, latency: float) -> None:
        """Add the latency of an attempt, in ns, to the pressure."""
        if not server.ejected:
            self.record_pressure(latency / self.target_latency(class_index))

    def record_pressure(self, pressure: float) -> None:
        """Add a sample, 1.0 at the target latency, to the pressure, a mean that decays towards its prior."""
        self.decay()
        self.pressure_sum += min(pressure, MAX_SAMPLE_PRESSURE)
        self.pressure_count += 1.0

    def decay(self) -> None:
        """Decay the weights of earlier samples by the time that has passed, and update the pressure."""
        sampling_ns = MIN_PRESSURE_SAMPLES * SECOND / max(self.latency.answer_rate, 1.0)
        half_life_ns = min(
            max(PRESSURE_HALF_LIFE * self.context.shortest_deadline_ns, sampling_ns),
            self.context.shortest_deadline_ns,
        )
        remaining_weight = 0.5 ** ((self.context.now - self.pressure_at) / half_life_ns)
        self.pressure_at = self.context.now
        self.pressure_sum *= remaining_weight
        self.pressure_count *= remaining_weight
        prior = PRIOR_PRESSURE_SAMPLES
        self.pressure = (self.pressure_sum + PRIOR_PRESSURE * prior) / (self.pressure_count + prior)
