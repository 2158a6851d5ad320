"""Slow start: a token bucket bounds the requests of each sidecar to a server that is warming up.

All sidecars together may send only a share of the load that overloads the server. The refill rate follows the
load of warm servers like it, and the server's ramp by the settings. `docs/design/pace.md` has measurements.
"""

from collections import defaultdict
from collections.abc import Mapping
from typing import TypeVar

from .endpoint_set import EndpointSet
from .latency import LatencyEstimates
from .state_records import SECOND, Context, Server

# Refill rate of the token bucket, before the ramp is applied, as a share of the load that overloads a server.
# That load is `Settings.overload_factor` times the baseline load, which stands for the server's capacity.
OVERLOAD_SHARE = 0.75
TOKENS_PER_ANSWER = 1.5  # requests earned by each answer, while the load of warm servers is unknown
# Least refill rate of all sidecars together, before the ramp is applied, as a share of the work of one core.
UNKNOWN_LOAD_CORE_SHARE = 0.5
# Time between updates of the loads, as a share of the warm-up or the shortest deadline, whichever is longer.
LOAD_UPDATE_INTERVAL = 0.03
BURST_S = 0.25  # size of the token bucket, in seconds of refill
MIN_WARM_SHARE = 0.01  # least share of a server's capacity, for settings that start at less

# Identifies a group of servers: whether they are remote, and the number of their kind or cell. A plain tuple
# is cheap; one is created for each check of a server that is warming up.
GroupKey = tuple[bool, int]
Key = TypeVar("Key", bool, GroupKey)


class SlowStart:
    """Limits the attempts at servers that are warming up."""

    def __init__(self, context: Context, latency: LatencyEstimates, endpoints: EndpointSet) -> None:
        """Start without known loads."""
        self.context, self.latency, self.endpoints = context, latency, endpoints
        # Mean load of a warm server from this sidecar alone, in requests of mean work a second.
        self.zone_loads: dict[bool, float] = {}  # one for all local servers (False), one for remote (True)
        self.kind_loads: dict[GroupKey, float] = {}
        self.cell_loads: dict[GroupKey, float] = {}  # load of a cell as a share of its kinds' loads
        self.loads_updated_at = 0

    def record_answer(self, server: Server, class_index: int) -> None:
        """Count an answer in the load of its server; while no load is known, the answer earns tokens."""
        server.completed_work += self.latency.cost(class_index)
        self.update_loads()
        if server.tokens_updated_at and not self.zone_loads:
            server.slow_start_tokens += TOKENS_PER_ANSWER * self.latency.cost(class_index)

    def update_loads(self) -> None:
        """Update the loads of the groups from their warm servers, if an update is due.

        The load of a cell is relative to the loads of its servers' kinds. A group without a warm server keeps
        its load.
        """
        elapsed_ns = self.context.now - max(self.loads_updated_at, self.endpoints.first_request_at)
        if elapsed_ns < LOAD_UPDATE_INTERVAL * max(
            self.context.shortest_deadline_ns, self.context.settings.warm_up_ns
        ):
            return
        window_ns = (
            min(self.context.now - self.endpoints.first_request_at, self.context.settings.warm_up_ns) + 1
        )
        work_by_zone: dict[bool, list[float]] = defaultdict(list)
        work_by_kind: dict[GroupKey, list[float]] = defaultdict(list)
        work_by_cell: dict[GroupKey, list[float]] = defaultdict(list)
        for server in self.endpoints.local + self.endpoints.remote:
            if self.warm_share(server) >= 1.0:
                remote = server.zone != self.context.settings.zone
                kind = (remote, server.kind)
                work_by_zone[remote].append(server.completed_work)
                work_by_kind[kind].append(server.completed_work)
                if kind_load := self.kind_loads.get(kind):
                    work_by_cell[remote, server.cell].append(server.completed_work / kind_load)
            server.completed_work = 0.0
        weight = min(elapsed_ns / window_ns, 1.0)
        _smooth_loads(self.zone_loads, work_by_zone, elapsed_ns, weight)
        _smooth_loads(self.kind_loads, work_by_kind, elapsed_ns, weight)
        _smooth_loads(self.cell_loads, work_by_cell, elapsed_ns, weight)
        self.loads_updated_at = self.context.now

    def baseline_load(self, server: Server) -> float:
        """Return the load of a warm server like this one, in requests of mean work a second.

        This is the load of its kind, or of all local or all remote servers while that is unknown. The load is
        less if the cell of the server carries less than its kinds do.
        """
        remote = server.zone != self.context.settings.zone
        load = self.kind_loads.get((remote, server.kind), self.zone_loads.get(remote, 0.0))
        return load * min(self.cell_loads.get((remote, server.cell), 1.0), 1.0)

    def drain_tokens(self, server: Server) -> None:
        """Empty the bucket of a server that rejected an attempt: rejected requests add to its overload."""
        if server.tokens_updated_at:
            server.slow_start_tokens = min(server.slow_start_tokens, 0.0)

    def refund_tokens(self, server: Server, class_index: int, sent_at: int) -> None:
        """Refund the tokens of an attempt sent at `sent_at` ns for which no connection was established.

        An attempt from before the server's latest known start took no tokens of this bucket.
        """
        if server.tokens_updated_at and sent_at >= server.start_learned_at:
            server.slow_start_tokens += self.latency.cost(class_index)

    def warm_share(self, server: Server) -> float:
        """Return the least share of its capacity that a server has by now, according to the settings."""
        start, warm = self.context.settings.start_capacity, self.context.settings.warm_up_ns
        age = max(self.context.now - server.started, 0)
        if not server.started or age >= warm:
            return 1.0
        return max(start + (1.0 - start) * age / warm, MIN_WARM_SHARE)

    def allows(self, server: Server, class_index: int, *, consume: bool) -> bool:
        """Return whether an attempt may be sent to a server now; with `consume`, take its cost in tokens."""
        warm_share = self.warm_share(server)
        if warm_share >= 1.0:
            return True
        # Even where the baseline load is 0, all sidecars together may use a share of one core.
        min_refill_rate = (
            UNKNOWN_LOAD_CORE_SHARE
            * SECOND
            / (self.latency.mean_baseline() * self.context.settings.fleet_size)
        )
        refill_rate = warm_share * max(
            OVERLOAD_SHARE * self.context.settings.overload_factor * self.baseline_load(server),
            min_refill_rate,
        )
        if server in self.endpoints.outside_subset:  # leave its capacity to the sidecars that sample it
            refill_rate /= max(self.endpoints.sampling_weight[server.zone != self.context.settings.zone], 1.0)
        capacity = max(1.0, refill_rate * BURST_S)
        earned = (
            refill_rate * (self.context.now - (server.tokens_updated_at or server.start_learned_at)) / SECOND
        )
        server.slow_start_tokens, server.tokens_updated_at = (
            min(capacity, server.slow_start_tokens + earned),
            self.context.now,
        )
        cost = self.latency.cost(class_index)
        if consume:
            server.slow_start_tokens -= cost
            return True
        needed = min(cost, capacity)
        if 0.0 < server.slow_start_tokens < needed:
            # Round to all or nothing at random: otherwise hundreds of sidecars each hold a useless fraction.
            server.slow_start_tokens = (
                needed if self.context.random.random() * needed < server.slow_start_tokens else 0.0
            )
        return server.slow_start_tokens >= needed


def _smooth_loads(
    loads: dict[Key, float], work: Mapping[Key, list[float]], elapsed_ns: int, weight: float
) -> None:
    """Move the load of each group towards the mean rate of its servers' work in the last `elapsed_ns`."""
    for group, server_work in work.items():
        load = sum(server_work) / len(server_work) * SECOND / elapsed_ns
        previous = loads.get(group, load)
        loads[group] = previous + weight * (load - previous)
