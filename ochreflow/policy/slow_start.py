"""Slow start: a token bucket bounds what each sidecar sends to a server that is warming up.

All sidecars together are to send no more than a part of what makes the server fall. The refill rate follows
the load that warm servers like it carry, and the server's ramp by the settings. `docs/design/pace.md` has
what was measured.
"""

from collections import defaultdict
from collections.abc import Mapping
from typing import TypeVar

from .endpoint_set import EndpointSet
from .latency import LatencyEstimates
from .state_records import SECOND, Context, Server

# Of what makes a server fall, if the baseline load of one were all it can do: times its ramp.
OVERLOAD_SHARE = 0.75
TOKENS_PER_ANSWER = 1.5  # requests for each one answered, while no warm server has answered to go by
UNKNOWN_LOAD_CORE_SHARE = 0.5  # of a core's work, times the ramp, whatever is answered elsewhere
# Of a warm-up, or of the shortest deadline, between looks at what warm servers carry.
LOAD_UPDATE_INTERVAL = 0.03
BURST_S = 0.25  # seconds of the refill rate may be sent at once
MIN_WARM_SHARE = 0.01  # of a server's capacity, however little the settings say

# Names servers that the list describes alike: whether they are remote, and the number of their kind or cell.
# A bare pair, as it is made for each look at a server that is warming up.
GroupKey = tuple[bool, int]
Key = TypeVar("Key", bool, GroupKey)


class SlowStart:
    """Grants attempts at servers that are warming up."""

    def __init__(self, context: Context, latency: LatencyEstimates, endpoints: EndpointSet) -> None:
        """Start without knowing what warm servers carry."""
        self.context, self.latency, self.endpoints = context, latency, endpoints
        # Own work a second of each warm server, in requests of mean work.
        self.side_loads: dict[bool, float] = {}  # of all local, of all remote ones
        self.kind_loads: dict[GroupKey, float] = {}
        self.cell_loads: dict[GroupKey, float] = {}  # as a part of what the kinds of its servers carry
        self.loads_at = 0

    def record_answer(self, server: Server, class_index: int) -> None:
        """Count an answer in the load of its server; where no load is known, it earns tokens."""
        server.completed_work += self.latency.cost(class_index)
        self.update_loads()
        if server.tokens_updated_at and not self.side_loads:
            server.slow_start_tokens += TOKENS_PER_ANSWER * self.latency.cost(class_index)

    def update_loads(self) -> None:
        """Learn the load of warm servers by group, of a cell as a part of its kinds'. None warm: it stays."""
        passed = self.context.now - max(self.loads_at, self.endpoints.first_request_at)
        if passed < LOAD_UPDATE_INTERVAL * max(
            self.context.shortest_deadline_ns, self.context.settings.warm_up_ns
        ):
            return
        span = min(self.context.now - self.endpoints.first_request_at, self.context.settings.warm_up_ns) + 1
        work_by_side: dict[bool, list[float]] = defaultdict(list)
        work_by_kind: dict[GroupKey, list[float]] = defaultdict(list)
        work_by_cell: dict[GroupKey, list[float]] = defaultdict(list)
        for server in self.endpoints.local + self.endpoints.remote:
            if self.warm_share(server) >= 1.0:
                remote = server.zone != self.context.settings.zone
                kind = (remote, server.kind)
                work_by_side[remote].append(server.completed_work)
                work_by_kind[kind].append(server.completed_work)
                if known := self.kind_loads.get(kind):
                    work_by_cell[remote, server.cell].append(server.completed_work / known)
            server.completed_work = 0.0
        weight = min(passed / span, 1.0)
        _smooth_loads(self.side_loads, work_by_side, passed, weight)
        _smooth_loads(self.kind_loads, work_by_kind, passed, weight)
        _smooth_loads(self.cell_loads, work_by_cell, passed, weight)
        self.loads_at = self.context.now

    def baseline_load(self, server: Server) -> float:
        """Return what others of its kind carry, less where its cell carries less; of its side, if none."""
        remote = server.zone != self.context.settings.zone
        load = self.kind_loads.get((remote, server.kind), self.side_loads.get(remote, 0.0))
        return load * min(self.cell_loads.get((remote, server.cell), 1.0), 1.0)

    def drain_tokens(self, server: Server) -> None:
        """Empty the bucket of a server that rejected an attempt: that pushes it over too."""
        if server.tokens_updated_at:
            server.slow_start_tokens = min(server.slow_start_tokens, 0.0)

    def refund_tokens(self, server: Server, class_index: int, sent: int) -> None:
        """Return the tokens of an attempt decided at `sent` ns that no connection came up for."""
        if server.tokens_updated_at and sent >= server.start_learned_at:
            server.slow_start_tokens += self.latency.cost(class_index)

    def warm_share(self, server: Server) -> float:
        """Return the least part of its capacity that a server has by now, by the settings."""
        start, warm = self.context.settings.start_capacity, self.context.settings.warm_up_ns
        age = max(self.context.now - server.started, 0)
        if not server.started or age >= warm:
            return 1.0
        return max(start + (1.0 - start) * age / warm, MIN_WARM_SHARE)

    def allows(self, server: Server, class_index: int, *, consume: bool) -> bool:
        """Whether an attempt may go to a server now; `consume` takes its cost from the bucket."""
        warm_share = self.warm_share(server)
        if warm_share >= 1.0:
            return True
        # Where that is nothing, what a part of one core does is no push, from all sidecars together.
        alone = (
            UNKNOWN_LOAD_CORE_SHARE
            * SECOND
            / (self.latency.mean_baseline() * self.context.settings.fleet_size)
        )
        refill_rate = warm_share * max(
            OVERLOAD_SHARE * self.context.settings.overload_factor * self.baseline_load(server), alone
        )
        if server in self.endpoints.outside_subset:  # left to those who sample it
            refill_rate /= max(self.endpoints.sampling_weight[server.zone != self.context.settings.zone], 1.0)
        limit = max(1.0, refill_rate * BURST_S)
        earned = (
            refill_rate * (self.context.now - (server.tokens_updated_at or server.start_learned_at)) / SECOND
        )
        server.slow_start_tokens, server.tokens_updated_at = (
            min(limit, server.slow_start_tokens + earned),
            self.context.now,
        )
        cost = self.latency.cost(class_index)
        if consume:
            server.slow_start_tokens -= cost
            return True
        need = min(cost, limit)
        if 0.0 < server.slow_start_tokens < need:
            # By chance, all or nothing: else hundreds of sidecars each keep a part that is of no use.
            server.slow_start_tokens = (
                need if self.context.random.random() * need < server.slow_start_tokens else 0.0
            )
        return server.slow_start_tokens >= need


def _smooth_loads(
    loads: dict[Key, float], work: Mapping[Key, list[float]], passed: int, weight: float
) -> None:
    """Move the load of each group towards the mean of what its servers did in the `passed` ns."""
    for group, each in work.items():
        load = sum(each) / len(each) * SECOND / passed
        known = loads.get(group, load)
        loads[group] = known + weight * (load - known)
