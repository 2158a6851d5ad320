"""Picking an endpoint: power of two choices (P2C) with exponentially smoothed (EWMA) latency.

Of two sampled servers the one with the lower (in flight + 1) x smoothed latency is taken, as the design page
says. With low traffic, where few own answers tell of a server, pairs are sampled by weights that follow each
group's latency.
"""

import math
from collections import defaultdict
from collections.abc import Collection

from .endpoint_set import EndpointSet
from .latency import LatencyEstimates
from .safety_rules import SafetyRules
from .state_records import SECOND, Context, EndpointGroup, RequestState, Server

SMOOTHING = 0.08  # weight of a new sample of one server: work varies far more than servers do
# Estimates halve their distance to the mean in so many mean gaps between answers.
ESTIMATE_HALF_LIFE_GAPS = 20.0
STALE_HALF_LIFE = 4.0  # shortest deadlines after which a latency says half as much of the queue others made
STALE_SHARPNESS = 2.0  # how much better than in proportion to speed: one of two drawn wins by its square
# Step of a group's weight bias for each class mean that an answer differs by: ten answers turn it.
BIAS_STEP = 0.2
BIAS_DECAY = 0.01  # ... of it forgotten with each answer, lest chance walks it away
MAX_BIAS_EXCESS = 3.0  # class means that one late answer counts at most
MAX_BIAS = 3.0  # e^3 either way: a group is never shut out, or nothing would tell of its recovery
# Objectives of delay for each point of price for a crossing: it is paid where zones are level.
BIAS_CROSS_ZONE_WEIGHT = 3.0
LOAD_REPORT_HALF_LIFE = 0.5  # shortest deadlines in which a report comes to say half as much, and is of use
GROUP_SMOOTHING = 0.1  # of a group's mean latency, after as many answers
CROSS_ZONE_WEIGHT = 4.0  # objectives of delay for each point of price for a crossing
PAIR = 2  # servers that are compared


class EndpointPicker:
    """Chooses the server of an attempt."""

    def __init__(
        self, context: Context, latency: LatencyEstimates, endpoints: EndpointSet, safety_rules: SafetyRules
    ) -> None:
        """Start without samples of any server."""
        self.context, self.latency, self.endpoints, self.safety_rules = (
            context,
            latency,
            endpoints,
            safety_rules,
        )
        self.groups: defaultdict[tuple[int, bool], EndpointGroup] = defaultdict(EndpointGroup)
        self.mean_relative_latency = 1.0
        columns = context.settings.report_columns
        load_columns = [columns.index(name) for name in ("inflight", "queue") if name in columns]
        self.load_column = load_columns[0] if load_columns else None
        self.cross_zone_penalty = context.settings.price_cross_zone * CROSS_ZONE_WEIGHT

    def expected_delay(self, server: Server, class_index: int) -> float:
        """Expected delay by the design: (in-flight + 1) x smoothed latency.

        With low traffic it is drawn about the estimate, the wider the older the estimate is: most of
        what is in flight there is of others. Guards against all of them crowding the faster kind.
        """
        delay: float
        last_heard_at = server.last_heard_at
        if (
            self.endpoints.low_traffic
            and self.context.now - server.load_reported_at
            < LOAD_REPORT_HALF_LIFE * self.context.shortest_deadline_ns
        ):
            group = self.group(server)
            known = 0.5 ** (
                (self.context.now - server.load_reported_at)
                / (LOAD_REPORT_HALF_LIFE * self.context.shortest_deadline_ns)
            )
            load = max(group.load + (server.load - group.load) * known, len(server.in_flight))
            delay = (
                (load + 1.0)
                * (server.latency_per_request or group.latency_per_request)
                * self.latency.class_mean[class_index]
            )
            delay = max(delay, self.silence_ns(server))
            last_heard_at = server.load_reported_at
        else:
            delay = (
                (len(server.in_flight) + 1)
                * self.estimated_relative_latency(server)
                * self.latency.class_mean[class_index]
            )
        if self.endpoints.low_traffic:
            stale = 1.0 - 0.5 ** (
                (self.context.now - last_heard_at) / (STALE_HALF_LIFE * self.context.shortest_deadline_ns)
            )
            delay *= self.context.random.expovariate(1.0) ** (stale / STALE_SHARPNESS)
        return delay

    def estimated_relative_latency(self, server: Server) -> float:
        """Smoothed latency in class means, aged towards the mean, raised by an unanswered attempt."""
        forget = (
            ESTIMATE_HALF_LIFE_GAPS
            * max(self.endpoints.ready_count, 1)
            / max(self.latency.answer_rate, 1.0)
            * SECOND
        )
        mean = self.group(server).relative_latency if self.endpoints.low_traffic else 1.0
        relative_latency: float = server.relative_latency if server.samples else mean
        relative_latency = mean + (relative_latency - mean) * 0.5 ** (
            (self.context.now - server.last_heard_at) / forget
        )
        if server.in_flight:
            _, class_index = next(iter(server.in_flight.values()))
            relative_latency = max(
                relative_latency, self.silence_ns(server) / self.latency.class_mean[class_index]
            )
        return relative_latency

    def silence_ns(self, server: Server) -> float:
        """Silence with work outstanding is evidence before any time-out: a hung server."""
        if not server.in_flight:
            return 0.0
        return self.context.now - max(next(iter(server.in_flight.values()))[0], server.last_alive_at)

    def record_load_report(
        self, server: Server, report: tuple[float, ...], relative_latency: float = 0.0
    ) -> None:
        """Take a load report, and what the answer that it came with took for each request in work there."""
        column = self.load_column
        if column is None or len(report) <= column or not 0.0 <= (load := report[column]) < math.inf:
            return
        server.load, server.load_reported_at = load, self.context.now
        group = self.group(server)
        group.reports += 1
        weight = max(GROUP_SMOOTHING, 1.0 / group.reports)
        group.load += weight * (load - group.load)
        if relative_latency:
            latency_per_request = relative_latency / (load + 1.0)
            group.latency_per_request += weight * (latency_per_request - group.latency_per_request)
            server.latency_per_request = (
                server.latency_per_request or group.latency_per_request
            ) + SMOOTHING * (latency_per_request - (server.latency_per_request or group.latency_per_request))

    def pick(self, request: RequestState) -> Server | None:
        """Two sampled of the own zone against two sampled of the others, which pay for the crossing."""
        tried = {attempt.server for attempt in request.attempts}
        rounds: tuple[Collection[Server], ...] = (tried, ()) if tried else ((),)
        for avoided in rounds:
            best: Server | None = None
            lowest = 0.0
            for server, extra in self.candidates(request, avoided):
                delay = self.expected_delay(server, request.class_index) + extra
                if best is None or delay < lowest:
                    best, lowest = server, delay
            if best is not None:
                return best
        for server in self.endpoints.ejected:  # nothing better: an ejected one may have recovered
            if not server.half_open_in_flight and self.safety_rules.may_send(request, server):
                return server
        return None

    def candidates(self, request: RequestState, tried: Collection[Server]) -> list[tuple[Server, float]]:
        """Candidates, with what is added to their delay for crossing zones."""
        if not self.endpoints.low_traffic:
            cross = self.cross_zone_penalty * request.spec.objective_ns
            pairs = [(server, 0.0) for server in self.sample_pair(self.endpoints.local, request, tried)]
            return pairs + [
                (server, cross) for server in self.sample_pair(self.endpoints.remote, request, tried)
            ]
        # Too few own answers to know a zone or kind as overrun by its servers: two of the set, by weights
        # that follow what each group's answers took. The price of a crossing is in the weights.
        for servers in (self.endpoints.local + self.endpoints.remote, self.endpoints.outside_subset):
            fit = [one for one in servers if one not in tried and self.safety_rules.may_send(request, one)]
            if fit:
                break
        if len(fit) > PAIR:
            weights = [self.weight(server) for server in fit]
            first = self.context.random.choices(range(len(fit)), weights)[0]
            weights[first] = 0.0
            fit = [fit[first], fit[self.context.random.choices(range(len(fit)), weights)[0]]]
        return [(server, 0.0) for server in fit]

    def weight(self, server: Server) -> float:
        """Return the weight with which a server is sampled."""
        sampling_weight = self.endpoints.sampling_weight[server.zone != self.context.settings.zone]
        return math.exp(self.group(server).weight_bias) * sampling_weight

    def group(self, server: Server) -> EndpointGroup:
        """Return the group of a server: its kind, on its side of the zone's border."""
        return self.groups[(server.kind, server.zone != self.context.settings.zone)]

    def update_weight_bias(self, server: Server, relative_latency: float) -> None:
        """Favour the groups that answer sooner than the mean, as integral control does.

        Guards against a zone with too much traffic, and a slow kind, being overrun in the first seconds.
        """
        group = self.group(server)
        group.samples += 1
        group.relative_latency += max(GROUP_SMOOTHING, 1.0 / (group.samples + 1)) * (
            relative_latency - group.relative_latency
        )
        excess = relative_latency - self.mean_relative_latency
        self.mean_relative_latency += GROUP_SMOOTHING * excess
        if server.zone != self.context.settings.zone:
            aims = sum(spec.objective_ns for spec in self.context.settings.classes) / sum(
                self.latency.class_mean
            )
            excess += BIAS_CROSS_ZONE_WEIGHT * self.context.settings.price_cross_zone * aims
        bias = group.weight_bias * (1.0 - BIAS_DECAY) - BIAS_STEP * min(max(excess, -1.0), MAX_BIAS_EXCESS)
        group.weight_bias = min(max(bias, -MAX_BIAS), MAX_BIAS)

    def sample_pair(
        self, group: list[Server], request: RequestState, tried: Collection[Server]
    ) -> list[Server]:
        """Return up to two different servers of the group that this request may be sent to now."""
        found: list[Server] = []
        size = len(group)
        if not size:
            return found
        at = self.context.random.randrange(size)
        step = self.context.random.randrange(1, size) if size > PAIR else 1
        for drawn in range(size + 1):
            # The first two are a uniform pair; the walk over all beyond them only replaces unfit ones.
            ahead = drawn * step if drawn < PAIR else drawn - 1
            server = group[(at + ahead) % size]
            if server not in found and server not in tried and self.safety_rules.may_send(request, server):
                found.append(server)
                if len(found) == PAIR:
                    break
        return found
