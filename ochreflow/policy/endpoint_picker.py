"""Endpoint selection: power of two choices (P2C) with exponentially smoothed (EWMA) latency.

Of two sampled servers the one with the lower (in flight + 1) x smoothed latency is picked. With low traffic,
when a sidecar gets few answers from each server, sampling weights follow the latency of groups of servers.
"""

import math
from collections import defaultdict
from collections.abc import Collection

from .endpoint_set import EndpointSet
from .latency import LatencyEstimates
from .safety_rules import SafetyRules
from .state_records import SECOND, Context, EndpointGroup, RequestState, Server

# Weight of a new sample of one server; requests differ far more in work than servers in speed.
SMOOTHING = 0.08
# Half-life of an estimate's distance to the mean, as a multiple of the mean gap between a server's answers.
ESTIMATE_HALF_LIFE_GAPS = 20.0
# Half-life of an estimate as a sign of the queue that other sidecars cause, as a multiple of the shortest
# deadline.
STALE_HALF_LIFE = 4.0
# Exponent of the ratio of two servers' speeds in the odds of the faster one, while their estimates are stale.
STALE_ODDS_EXPONENT = 2.0
# Step of a group's weight bias for each class mean by which an answer differs: ten answers reverse the bias.
BIAS_STEP = 0.2
BIAS_DECAY = 0.01  # share of the bias lost with each answer, which bounds its random walk
MAX_BIAS_EXCESS = 3.0  # most that one late answer counts, as a multiple of the class mean
# Limit of the bias, which keeps weights between e^-3 and e^3: without any traffic a group's recovery would go
# unnoticed.
MAX_BIAS = 3.0
# Latency that a group's bias adds for each unit of `Settings.price_cross_zone`, as a multiple of the
# objective; it applies even when zones are equally fast.
BIAS_CROSS_ZONE_WEIGHT = 3.0
# Half-life of a load report, and the age up to which it is used, as a multiple of the shortest deadline.
LOAD_REPORT_HALF_LIFE = 0.5
GROUP_SMOOTHING = 0.1  # weight of a new sample in a group's means; the first answers count equally
CROSS_ZONE_WEIGHT = 4.0  # delay per unit of `Settings.price_cross_zone`, as a multiple of the objective
PAIR = 2  # number of servers that are compared


class EndpointPicker:
    """Picks the server for an attempt."""

    def __init__(
        self, context: Context, latency: LatencyEstimates, endpoints: EndpointSet, safety_rules: SafetyRules
    ) -> None:
        """Start without samples from any server."""
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
        # Delay added for a server in another zone, as a multiple of the objective.
        self.cross_zone_penalty = context.settings.price_cross_zone * CROSS_ZONE_WEIGHT

    def expected_delay(self, server: Server, class_index: int) -> float:
        """Return the expected delay in ns: (in flight + 1) x smoothed latency.

        With low traffic the delay is randomized, more so for an older estimate, since most requests in flight
        are those of other sidecars. Otherwise all sidecars would overload the faster kind.
        """
        delay: float
        last_heard_at = server.last_heard_at
        if (
            self.endpoints.low_traffic
            and self.context.now - server.load_reported_at
            < LOAD_REPORT_HALF_LIFE * self.context.shortest_deadline_ns
        ):
            group = self.group(server)
            report_weight = 0.5 ** (
                (self.context.now - server.load_reported_at)
                / (LOAD_REPORT_HALF_LIFE * self.context.shortest_deadline_ns)
            )
            load = max(group.load + (server.load - group.load) * report_weight, len(server.in_flight))
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
            staleness = 1.0 - 0.5 ** (
                (self.context.now - last_heard_at) / (STALE_HALF_LIFE * self.context.shortest_deadline_ns)
            )
            delay *= self.context.random.expovariate(1.0) ** (staleness / STALE_ODDS_EXPONENT)
        return delay

    def estimated_relative_latency(self, server: Server) -> float:
        """Return a server's latency as a multiple of the class mean.

        The smoothed latency decays towards the mean and is raised while the server is silent.
        """
        half_life_ns = (
            ESTIMATE_HALF_LIFE_GAPS
            * max(self.endpoints.ready_count, 1)
            / max(self.latency.answer_rate, 1.0)
            * SECOND
        )
        mean = self.group(server).relative_latency if self.endpoints.low_traffic else 1.0
        relative_latency: float = server.relative_latency if server.samples else mean
        relative_latency = mean + (relative_latency - mean) * 0.5 ** (
            (self.context.now - server.last_heard_at) / half_life_ns
        )
        if server.in_flight:
            _, class_index = next(iter(server.in_flight.values()))
            relative_latency = max(
                relative_latency, self.silence_ns(server) / self.latency.class_mean[class_index]
            )
        return relative_latency

    def silence_ns(self, server: Server) -> float:
        """Return the ns that a server with attempts in flight has been silent: an early sign of a hang."""
        if not server.in_flight:
            return 0.0
        return self.context.now - max(next(iter(server.in_flight.values()))[0], server.last_alive_at)

    def record_load_report(
        self, server: Server, report: tuple[float, ...], relative_latency: float = 0.0
    ) -> None:
        """Record a load report and the relative latency of the answer with it; 0 for a health check."""
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
        """Return the sampled server with the lowest delay, preferably one not tried yet, or None.

        Except with low traffic, two local servers compete with two remote ones plus the cross-zone penalty.
        """
        tried = {attempt.server for attempt in request.attempts}
        rounds: tuple[Collection[Server], ...] = (tried, ()) if tried else ((),)
        for excluded in rounds:
            best: Server | None = None
            lowest = 0.0
            for server, penalty in self.candidates(request, excluded):
                delay = self.expected_delay(server, request.class_index) + penalty
                if best is None or delay < lowest:
                    best, lowest = server, delay
            if best is not None:
                return best
        for server in self.endpoints.ejected:  # last resort: an ejected server may have recovered
            if not server.half_open_in_flight and self.safety_rules.may_send(request, server):
                return server
        return None

    def candidates(self, request: RequestState, tried: Collection[Server]) -> list[tuple[Server, float]]:
        """Return the servers to compare, each with the ns added to its delay for crossing zones."""
        if not self.endpoints.low_traffic:
            cross_zone_penalty_ns = self.cross_zone_penalty * request.spec.objective_ns
            pairs = [(server, 0.0) for server in self.sample_pair(self.endpoints.local, request, tried)]
            return pairs + [
                (server, cross_zone_penalty_ns)
                for server in self.sample_pair(self.endpoints.remote, request, tried)
            ]
        # Single servers answer too seldom to show that their zone or kind is overloaded: sample two by
        # weights that follow the latency of their groups. The weights include `Settings.price_cross_zone`, so
        # no penalty is added.
        for servers in (self.endpoints.local + self.endpoints.remote, self.endpoints.outside_subset):
            eligible = [
                server
                for server in servers
                if server not in tried and self.safety_rules.may_send(request, server)
            ]
            if eligible:
                break
        if len(eligible) > PAIR:
            weights = [self.weight(server) for server in eligible]
            first = self.context.random.choices(range(len(eligible)), weights)[0]
            weights[first] = 0.0
            eligible = [
                eligible[first],
                eligible[self.context.random.choices(range(len(eligible)), weights)[0]],
            ]
        return [(server, 0.0) for server in eligible]

    def weight(self, server: Server) -> float:
        """Return the weight with which a server is sampled."""
        sampling_weight = self.endpoints.sampling_weight[server.zone != self.context.settings.zone]
        return math.exp(self.group(server).weight_bias) * sampling_weight

    def group(self, server: Server) -> EndpointGroup:
        """Return the group of a server: the servers of its kind that are local or remote as it is."""
        return self.groups[(server.kind, server.zone != self.context.settings.zone)]

    def update_weight_bias(self, server: Server, relative_latency: float) -> None:
        """Raise the weight of groups that answer faster than the mean, as in integral control.

        Without this bias, a zone with too much traffic or a slow kind is overloaded within the first seconds.
        """
        group = self.group(server)
        group.samples += 1
        group.relative_latency += max(GROUP_SMOOTHING, 1.0 / (group.samples + 1)) * (
            relative_latency - group.relative_latency
        )
        excess = relative_latency - self.mean_relative_latency
        self.mean_relative_latency += GROUP_SMOOTHING * excess
        if server.zone != self.context.settings.zone:
            objectives = sum(spec.objective_ns for spec in self.context.settings.classes) / sum(
                self.latency.class_mean
            )
            excess += BIAS_CROSS_ZONE_WEIGHT * self.context.settings.price_cross_zone * objectives
        bias = group.weight_bias * (1.0 - BIAS_DECAY) - BIAS_STEP * min(max(excess, -1.0), MAX_BIAS_EXCESS)
        group.weight_bias = min(max(bias, -MAX_BIAS), MAX_BIAS)

    def sample_pair(
        self, servers: list[Server], request: RequestState, tried: Collection[Server]
    ) -> list[Server]:
        """Return up to two different servers of a list that this request may be sent to now."""
        pair: list[Server] = []
        size = len(servers)
        if not size:
            return pair
        start = self.context.random.randrange(size)
        step = self.context.random.randrange(1, size) if size > PAIR else 1
        for draw in range(size + 1):
            # The first two draws are a uniform pair; the scan after them only replaces ineligible servers.
            offset = draw * step if draw < PAIR else draw - 1
            server = servers[(start + offset) % size]
            if server not in pair and server not in tried and self.safety_rules.may_send(request, server):
                pair.append(server)
                if len(pair) == PAIR:
                    break
        return pair
