"""The pace to cold servers: how much each sidecar may send while one that has just started warms up."""

from collections import defaultdict
from typing import Any

from .endpoint_set import EndpointSet
from .latency import LatencyEstimates
from .state_records import SECOND, Context, Server

OVERLOAD_SHARE = (
    0.75  # of what makes a server fall, if the usual load of one were all it can do: times its ramp
)
TOKENS_PER_ANSWER = 1.5  # requests for each one answered, while no warm server has answered to go by
UNKNOWN_LOAD_CORE_SHARE = 0.5  # of a core's work, times the ramp, whatever is answered elsewhere
LOAD_UPDATE_INTERVAL = (
    0.03  # of a warm-up, or of the shortest deadline, between looks at what warm servers carry
)
BURST_S = 0.25  # seconds of that pace may come at once


class SlowStart:
    def __init__(self, ctx: Context, latency: LatencyEstimates, endpoints: EndpointSet) -> None:
        self.ctx, self.latency, self.endpoints = ctx, latency, endpoints
        self.group_loads: dict[Any, float] = {}  # own work a second of each warm server alike; see `tally`
        self.group_loads_at = 0

    def record_answer(self, server: Server, cls: int) -> None:
        """Each answer tells of the usual load; where nothing else does, of what can be done again."""
        server.completed_work += self.latency.cost(cls)
        self.update_group_loads()
        if server.tokens_updated_at and not self.group_loads:
            server.slow_start_tokens += TOKENS_PER_ANSWER * self.latency.cost(cls)

    def update_group_loads(self) -> None:
        """Learn the usual load of warm servers, of a cell as a part of its kinds'. None warm: it stays."""
        passed = self.ctx.now - max(self.group_loads_at, self.endpoints.first_request_at)
        if passed < LOAD_UPDATE_INTERVAL * max(self.ctx.shortest, self.ctx.settings.warm_up_ns):
            return
        span = min(self.ctx.now - self.endpoints.first_request_at, self.ctx.settings.warm_up_ns) + 1
        work_by_group: dict[Any, list[float]] = defaultdict(list)
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

    def groups(self, server: Server) -> tuple[Any, ...]:
        """Those that the list describes like it: of its side of a crossing, and there its kind, its cell."""
        remote = server.zone != self.ctx.settings.zone
        return (remote,), (remote, "kind", server.kind), (remote, "cell", server.cell)

    def baseline_load(self, server: Server) -> float:
        """What others of its kind carry, less where its cell is held down; of its side, if none."""
        side, kind, cell = self.groups(server)
        return self.group_loads.get(kind, self.group_loads.get(side, 0.0)) * min(
            self.group_loads.get(cell, 1.0), 1.0
        )

    def drain_tokens(self, server: Server) -> None:
        """What it turns away pushes it over too."""
        if server.tokens_updated_at:
            server.slow_start_tokens = min(server.slow_start_tokens, 0.0)

    def give_back(self, server: Server, cls: int, sent: int) -> None:
        """No connection came up for an attempt decided at `sent` ns: it has cost this start nothing."""
        if server.tokens_updated_at and sent >= server.start_learned_at:
            server.slow_start_tokens += self.latency.cost(cls)

    def warm_share(self, server: Server) -> float:
        """The least part of its capacity that a server has by now, by the settings."""
        start, warm = self.ctx.settings.start_capacity, self.ctx.settings.warm_up_ns
        age = max(self.ctx.now - server.started, 0)
        if not server.started or age >= warm:
            return 1.0
        return max(start + (1.0 - start) * age / warm, 0.01)

    def allows(self, server: Server, cls: int, consume: bool) -> bool:
        """Pace to a cold server: in the mean, all sidecars together send no more than its ramp allows."""
        warm_share = self.warm_share(server)
        if warm_share >= 1.0:
            return True
        # Where that is nothing, what a part of one core does is no push, from all sidecars together.
        alone = (
            UNKNOWN_LOAD_CORE_SHARE * SECOND / (self.latency.mean_baseline() * self.ctx.settings.fleet_size)
        )
        pace = warm_share * max(
            OVERLOAD_SHARE * self.ctx.settings.overload_factor * self.baseline_load(server), alone
        )
        if server in self.endpoints.outside_subset:  # left to those who sample it
            pace /= max(self.endpoints.sampling_weight[server.zone != self.ctx.settings.zone], 1.0)
        limit = max(1.0, pace * BURST_S)
        earned = pace * (self.ctx.now - (server.tokens_updated_at or server.start_learned_at)) / SECOND
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
