"""Slow start: a token bucket bounds what each sidecar sends to a server that is warming up.

All sidecars together are to send no more than a part of what makes the server fall. The refill rate follows
the load that warm servers like it carry, and the server's ramp by the settings. `docs/design/pace.md` has
what was measured.
"""

from collections import defaultdict
from enum import Enum
from typing import NamedTuple

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


class GroupScope(Enum):
    """By what the servers of a group are alike."""

    SIDE = 0  # all local or all remote
    KIND = 1
    CELL = 2


class ServerGroup(NamedTuple):
    """Names a group of servers that the list describes alike, on one side of the zone's border."""

    remote: bool
    scope: GroupScope
    number: int = 0  # of the kind or the cell


class SlowStart:
    """Grants attempts at servers that are warming up."""

    def __init__(self, ctx: Context, latency: LatencyEstimates, endpoints: EndpointSet) -> None:
        """Start without knowing what warm servers carry."""
        self.ctx, self.latency, self.endpoints = ctx, latency, endpoints
        # Own work a second of a warm server of each group; of a cell, as a part of its kinds'.
        self.group_loads: dict[ServerGroup, float] = {}
        self.group_loads_at = 0

    def record_answer(self, server: Server, cls: int) -> None:
        """Count an answer in the load of its server; where no load is known, it earns tokens."""
        server.completed_work += self.latency.cost(cls)
        self.update_group_loads()
        if server.tokens_updated_at and not self.group_loads:
            server.slow_start_tokens += TOKENS_PER_ANSWER * self.latency.cost(cls)

    def update_group_loads(self) -> None:
        """Learn the load of warm servers by group, of a cell as a part of its kinds'. None warm: it stays."""
        passed = self.ctx.now - max(self.group_loads_at, self.endpoints.first_request_at)
        if passed < LOAD_UPDATE_INTERVAL * max(self.ctx.shortest, self.ctx.settings.warm_up_ns):
            return
        span = min(self.ctx.now - self.endpoints.first_request_at, self.ctx.settings.warm_up_ns) + 1
        work_by_group: dict[ServerGroup, list[float]] = defaultdict(list)
        for server in self.endpoints.local + self.endpoints.remote:
            if self.warm_share(server) >= 1.0:
                side, kind, cell = self.groups(server)
                work_by_group[side].append(server.completed_work)
                work_by_group[kind].append(server.completed_work)
                if known := self.group_loads.get(kind):
                    work_by_group[cell].append(server.completed_work / known)
            server.completed_work = 0.0
        for group, each in work_by_group.items():
            load = sum(each) / len(each) * SECOND / passed
            known = self.group_loads.get(group, load)
            self.group_loads[group] = known + min(passed / span, 1.0) * (load - known)
        self.group_loads_at = self.ctx.now

    def groups(self, server: Server) -> tuple[ServerGroup, ServerGroup, ServerGroup]:
        """Return the groups of a server: its side of the zone's border, and there its kind and its cell."""
        remote = server.zone != self.ctx.settings.zone
        return (
            ServerGroup(remote, GroupScope.SIDE),
            ServerGroup(remote, GroupScope.KIND, server.kind),
            ServerGroup(remote, GroupScope.CELL, server.cell),
        )

    def baseline_load(self, server: Server) -> float:
        """Return what others of its kind carry, less where its cell carries less; of its side, if none."""
        side, kind, cell = self.groups(server)
        return self.group_loads.get(kind, self.group_loads.get(side, 0.0)) * min(
            self.group_loads.get(cell, 1.0), 1.0
        )

    def drain_tokens(self, server: Server) -> None:
        """Empty the bucket of a server that rejected an attempt: that pushes it over too."""
        if server.tokens_updated_at:
            server.slow_start_tokens = min(server.slow_start_tokens, 0.0)

    def give_back(self, server: Server, cls: int, sent: int) -> None:
        """Return the tokens of an attempt decided at `sent` ns that no connection came up for."""
        if server.tokens_updated_at and sent >= server.start_learned_at:
            server.slow_start_tokens += self.latency.cost(cls)

    def warm_share(self, server: Server) -> float:
        """Return the least part of its capacity that a server has by now, by the settings."""
        start, warm = self.ctx.settings.start_capacity, self.ctx.settings.warm_up_ns
        age = max(self.ctx.now - server.started, 0)
        if not server.started or age >= warm:
            return 1.0
        return max(start + (1.0 - start) * age / warm, MIN_WARM_SHARE)

    def allows(self, server: Server, cls: int, *, consume: bool) -> bool:
        """Whether an attempt may go to a server now; `consume` takes its cost from the bucket."""
        warm_share = self.warm_share(server)
        if warm_share >= 1.0:
            return True
        # Where that is nothing, what a part of one core does is no push, from all sidecars together.
        alone = (
            UNKNOWN_LOAD_CORE_SHARE * SECOND / (self.latency.mean_baseline() * self.ctx.settings.fleet_size)
        )
        refill_rate = warm_share * max(
            OVERLOAD_SHARE * self.ctx.settings.overload_factor * self.baseline_load(server), alone
        )
        if server in self.endpoints.outside_subset:  # left to those who sample it
            refill_rate /= max(self.endpoints.sampling_weight[server.zone != self.ctx.settings.zone], 1.0)
        limit = max(1.0, refill_rate * BURST_S)
        earned = refill_rate * (self.ctx.now - (server.tokens_updated_at or server.start_learned_at)) / SECOND
        server.slow_start_tokens, server.tokens_updated_at = (
            min(limit, server.slow_start_tokens + earned),
            self.ctx.now,
        )
        cost = self.latency.cost(cls)
        if consume:
            server.slow_start_tokens -= cost
            return True
        need = min(cost, limit)
        if 0.0 < server.slow_start_tokens < need:
            # By chance, all or nothing: else hundreds of sidecars each keep a part that is of no use.
            server.slow_start_tokens = (
                need if self.ctx.random.random() * need < server.slow_start_tokens else 0.0
            )
        return server.slow_start_tokens >= need
