"""Admission: an adaptive concurrency limit, by the gradient of latency, on the own requests in flight."""

import math

from .endpoint_set import EndpointSet
from .interface import Request
from .latency import LatencyEstimates
from .state_records import SECOND, Context, PendingRequest, Server
from .tenant_quota import TenantQuotas

PRESSURE_AIM = 0.45  # of the aim: with a mean of half the aim about one answer in eight is late
PRESSURE_USUAL = 1.4  # times the usual latency, where the aim is hardly more than that
PRESSURE_FULL = 2.0  # what a rejection counts: short queues are full before latency shows it
PRESSURE_MOST = 4.0  # what one attempt counts at most
PRESSURE_SPAN = 0.12  # shortest deadlines in which what was seen fades to half
PRESSURE_SAMPLES = 10  # ... or the time of so many answers: fewer are noise, which would shed for nothing
PRESSURE_PRIOR = 0.7  # what nothing seen means: let the limit grow, carefully
PRESSURE_PRIOR_WEIGHT = 2.0  # attempts
PRESSURE_AIM_MOST = 0.6  # of the aim, however long the usual latency: nothing is learned from collapse
LIMIT_EVERY = 0.1  # shortest deadlines between corrections
LIMIT_STEP = 0.2  # of the way to what a correction finds: the answers of one are noise
LIMIT_CUT = 0.5  # of the limit at the least in what it finds: late answers are of an earlier crowd
LIMIT_CLEAR = 0.5  # pressure below which nothing queues: a limit that binds there is opened in proportion
LIMIT_OPEN = 4.0  # times the limit at the most in what it finds: others may be opening theirs
LIMIT_SLACK = 4.0  # times what is in flight and a request for each server, for the first deadline
LIMIT_SURGE = 2.0  # times what the answers of late would keep in flight at the wanted latency, then
LIMIT_SMALL = 4.0  # ... and so many requests, for sidecars that rarely send
LIMIT_IDLE = 2.0  # ... and so many for each ready server, all sidecars together
LIMIT_LEAST = 0.5  # of a request for each ready server, all sidecars together: enough to notice recovery
LATELY_FADE = 0.95  # for each correction, of the highest number lately in flight
LIMIT_LEVEL = 4.0  # times the goal's weight of the worst-served class: at a quarter, all are shed alike
LIMIT_RARE = 0.2  # of the requests that find none in flight are let in at the least, to notice recovery
LIMIT_CHEAP = 0.5  # of the limit is open to the work of least worth for its cost, all of it to the dearest

# What a client's later try is still worth.
TRY_FADE = 0.01  # of the difference, for each shorter first try: how long clients wait for one try
AGE_SURE = 1.5  # usual latencies before the aim: the answer comes in time
AGE_LOST = 0.5  # ... and it hardly ever does


def _part(time: float, usual: float) -> float:
    """How likely so much time is enough, from 0 to 1."""
    return min(max((time / usual - AGE_LOST) / (AGE_SURE - AGE_LOST), 0.0), 1.0)


class ConcurrencyLimiter:
    def __init__(
        self, ctx: Context, latency: LatencyEstimates, tenant_quotas: TenantQuotas, endpoints: EndpointSet
    ) -> None:
        self.ctx, self.latency, self.tenant_quotas, self.endpoints = ctx, latency, tenant_quotas, endpoints
        self.try_span = [0.0] * len(latency.base)  # how long clients wait for one try
        self.pressure = PRESSURE_PRIOR
        self.press_sum = self.press_count = 0.0
        self.pressed_at = self.bound_at = self.limit_at = 0
        self.inflight_lately = self.wanted_inflight = 0.0
        self.done_units = 0.0  # wanted latencies of what was answered since the last correction
        self.born = 0  # time of the first correction
        self.limit = 1e9  # until the first correction
        self.limit_every = int(ctx.shortest * LIMIT_EVERY)
        self.share_of = [1.0] * len(latency.base)

    def answered(self, server: Server, cls: int, took: int) -> None:
        self.done_units += self.unit(cls)
        self.press(server, cls, took)

    def shrink(self, part: float) -> None:
        """What so many servers carried a part of them can't: do not wait for late answers to learn it."""
        self.limit *= part
        self.wanted_inflight *= part

    def value(self, event: Request, request: PendingRequest) -> float:
        """The part of its worth that a request can still be expected to earn.

        Aim and deadline of a class run from the client's first try, and a later try is cut short at that
        deadline: so a short try tells its age. Guards against letting in what comes too late anyway.
        """
        spec = request.spec
        left = event.deadline_ns - self.ctx.now
        given = left + event.waited_ns  # by its client: time spent in line here is not a later try's age
        usual = self.latency.usual[event.cls]
        span = self.try_span[event.cls]
        if not event.is_retry:
            span = max(given, span + TRY_FADE * (given - span))
            self.try_span[event.cls] = span
        if given < span - 2 * self.ctx.settings.tick_ns:
            request.age = spec.deadline_ns - left
            in_time = _part(spec.objective_ns - request.age, usual)
        elif event.is_retry and spec.deadline_ns > span:
            # Not cut short: it may be of any age up to this.
            in_time = min(max(spec.objective_ns - usual, 0.0) / (spec.deadline_ns - span), 1.0)
        else:
            in_time = 1.0
        return (in_time + (1.0 - in_time) * spec.late_priority_weight) * _part(left, usual)

    def admit(self, request: PendingRequest, value: float) -> bool:
        """Refuse early what would make the requests in flight outgrow what is answered in time.

        Guards against queues in which all is answered too late, and servers that turn slow when crowded.
        """
        if self.ctx.now - self.limit_at >= self.limit_every:
            self.correct()
        share = self.share_of[request.cls]
        if (
            self.tenant_quotas.over_share
            and self.ctx.random.random() < self.tenant_quotas.over_share[request.tenant]
        ):
            share = LIMIT_CHEAP + (share - LIMIT_CHEAP) * self.ctx.settings.over_quota_weight
        limit = self.limit * share * value
        if self.endpoints.low_traffic and limit < 1.0 and not self.endpoints.inflight:
            # A thousand sidecars with a request each now and then are not held back by a limit of one.
            natural = self.endpoints.request_rate * self.unit(request.cls) / SECOND
            if self.ctx.random.random() < max(limit / natural, 2.0 - self.pressure, LIMIT_RARE):
                return True
        elif self.endpoints.inflight + 1 <= max(limit, 1.0):
            return True
        self.bound_at = self.ctx.now
        return False

    def correct(self) -> None:
        self.born = self.born or self.ctx.now
        passed = max(self.ctx.now - self.limit_at, 1)
        self.limit_at = self.ctx.now
        weight = min(passed / self.ctx.shortest, 1.0)
        self.wanted_inflight += weight * (self.done_units / passed - self.wanted_inflight)
        self.done_units = 0.0
        self.inflight_lately = max(self.endpoints.inflight, self.inflight_lately * LATELY_FADE)
        self.fade()
        if self.ctx.now - self.born < self.ctx.shortest:
            most = LIMIT_SLACK * (
                self.inflight_lately + self.endpoints.ready_count
            )  # no answers to go by yet
        else:
            # A limit that follows what is in flight lets a surge in before the first late answer.
            spread = LIMIT_IDLE * self.endpoints.ready_count / self.ctx.settings.fleet_size
            most = LIMIT_SURGE * self.wanted_inflight + LIMIT_SMALL + spread
        limit = min(self.limit, most)
        late = self.pressure > 1.0
        if late:  # what is above that binds nothing, and lowering it would not help
            limit = min(limit, max(self.inflight_lately, self.wanted_inflight))
        bound = self.ctx.now - self.bound_at < 2 * self.limit_every or self.endpoints.inflight > limit / 2
        if late or bound or self.endpoints.low_traffic:
            # The gradient of latency, and room to queue for all sidecars together: where both are level it
            # stays. In good times little in flight tells nothing of it, unless that is usual.
            # Guards against a room made for many: who gets the traffic of many opened by 0.4 a second.
            regains = self.endpoints.low_traffic and not late
            room = limit if regains else math.sqrt(limit / self.ctx.settings.fleet_size)
            opens = min(max(LIMIT_CLEAR / self.pressure, 1.0), LIMIT_OPEN)
            found = limit * min(max(1.0 / self.pressure, LIMIT_CUT), opens) + room
            step = 1.0 - (1.0 - LIMIT_STEP) ** (passed / self.limit_every)  # who rarely sends, rarely looks
            limit = min(limit + step * (found - limit), most)
        # Every sidecar keeps its part of a floor, so that all together leave a tired fleet nearly idle.
        least = LIMIT_LEAST * self.endpoints.ready_count / self.ctx.settings.fleet_size
        self.limit = max(limit, least, 0.0 if self.endpoints.low_traffic else 1.0)
        densities = [self.density(cls) for cls in range(len(self.latency.usual))]
        top = max(densities) or 1.0  # classes may all be worth nothing
        # What is shed first is soon the worst-served class, which the goal may weigh by itself.
        cheap = LIMIT_CHEAP + (1.0 - LIMIT_CHEAP) * min(LIMIT_LEVEL * self.ctx.settings.goal_worst_class, 1.0)
        self.share_of = [cheap + (1.0 - cheap) * density / top for density in densities]

    def density(self, cls: int) -> float:
        """Worth for the server time it takes."""
        weight = self.ctx.settings.classes[cls].priority_weight
        return weight if self.ctx.settings.weight_by_work else weight / self.latency.usual[cls]

    def unit(self, cls: int) -> float:
        """The latency of a class at which pressure is 1."""
        aim = self.ctx.settings.classes[cls].objective_ns
        return min(max(PRESSURE_AIM * aim, PRESSURE_USUAL * self.latency.usual[cls]), PRESSURE_AIM_MOST * aim)

    def press(self, server: Server, cls: int, latency: float) -> None:
        """Take one attempt's latency into the pressure, a mean that fades with time to its prior."""
        if not server.ejected:
            self.add(latency / self.unit(cls))

    def add(self, value: float) -> None:
        self.fade()
        self.press_sum += min(value, PRESSURE_MOST)
        self.press_count += 1.0

    def fade(self) -> None:
        samples = PRESSURE_SAMPLES * SECOND / max(self.latency.rate, 1.0)
        span = min(max(PRESSURE_SPAN * self.ctx.shortest, samples), self.ctx.shortest)
        fade = 0.5 ** ((self.ctx.now - self.pressed_at) / span)
        self.pressed_at = self.ctx.now
        self.press_sum *= fade
        self.press_count *= fade
        prior = PRESSURE_PRIOR_WEIGHT
        self.pressure = (self.press_sum + PRESSURE_PRIOR * prior) / (self.press_count + prior)
