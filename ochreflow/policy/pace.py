"""The pace to cold servers: how much each sidecar may send while one that has just started warms up."""

from .fleet import Fleet
from .latency import Latencies
from .records import SECOND, Context, Server

PACE = 0.6  # of what makes a server fall, if the usual load of one were all it can do: times its ramp
PACE_EARN = 1.5  # requests for each one answered, while no warm server has answered to go by
PACE_TRUST = 0.1  # requests more that may come at once for each one answered since the start, likewise
PACE_TRUST_MOST = 3.0
PACE_ALONE = 0.5  # of a core's work, times the ramp, whatever is answered elsewhere
PACE_BURST = 0.25  # seconds of that pace may come at once


class Pace:
    def __init__(self, ctx: Context, latency: Latencies, fleet: Fleet) -> None:
        self.ctx = ctx
        self.latency = latency
        self.fleet = fleet
        self.usual, self.usual_at = 0.0, 0  # own answers a second for each ready server, over a warm-up
        self.knows = False  # whether a warm server has ever answered: else nothing tells what one can do

    def earn(self, server: Server, cls: int) -> None:
        """Each answer tells of the usual load; where nothing else does, of what can be done again."""
        span = min(self.ctx.now - self.fleet.began + self.ctx.shortest, self.ctx.settings.warm_within_ns + 1)
        kept = max(0.0, 1.0 - (self.ctx.now - self.usual_at) / span)
        self.usual = self.usual * kept + SECOND / span / max(self.fleet.ready_count, 1)
        self.usual_at = self.ctx.now
        self.knows = self.knows or self.ramp(server) >= 1.0
        if server.cold_at and not self.knows:
            server.cold_tokens += PACE_EARN * self.latency.cost(cls)

    def lose(self, server: Server) -> None:
        """What it turns away pushes it over too."""
        if server.cold_at:
            server.cold_tokens = min(server.cold_tokens, 0.0)

    def give_back(self, server: Server, cls: int, sent: int) -> None:
        """No connection came up for an attempt decided at `sent` ns: it has cost this start nothing."""
        if server.cold_at and sent >= server.started:
            server.cold_tokens += self.latency.cost(cls)

    def ramp(self, server: Server) -> float:
        """The least part of its capacity that a server has by now, by the settings."""
        start, warm = self.ctx.settings.start_capacity, self.ctx.settings.warm_within_ns
        age = max(self.ctx.now - server.started, 0)
        if not server.started or age >= warm:
            return 1.0
        return max(start + (1.0 - start) * age / warm, 0.01)

    def allows(self, server: Server, cls: int, take: bool) -> bool:
        """Pace to a cold server: in the mean, all sidecars together send no more than its ramp allows."""
        ramp = self.ramp(server)
        if ramp >= 1.0:
            return True
        # From a fleet gone as a whole no answers come: remembered for a warm-up, or what is carried of late.
        now, settings = self.ctx.now, self.ctx.settings
        usual = self.usual * max(0.0, 1.0 - (now - self.usual_at) / settings.warm_within_ns)
        fade = self.knows * max(0.0, 1.0 - (now - self.latency.rate_at) / settings.overload_for_ns)
        usual = max(usual, self.latency.rate * fade / max(self.fleet.ready_count, 1))
        # Where that is nothing, what a part of one core does is no push, from all sidecars together.
        alone = PACE_ALONE * SECOND / (self.latency.mean_usual() * settings.fleet_size)
        pace = ramp * max(PACE * settings.overload_factor * usual, alone)
        if self.fleet.rest and server not in self.fleet.rest:  # others' part is left to those who sample it
            pace *= self.fleet.ready_count / max(self.fleet.ready_count - len(self.fleet.rest), 1)
        trust = 0.0 if self.knows else min(server.samples * PACE_TRUST, PACE_TRUST_MOST)
        limit = max(1.0, pace * PACE_BURST) + trust
        earned = pace * (now - (server.cold_at or now)) / SECOND
        server.cold_tokens, server.cold_at = min(limit, server.cold_tokens + earned), now
        cost = self.latency.cost(cls)
        if take:
            server.cold_tokens -= cost
            return True
        need = min(cost, limit)
        if 0.0 < server.cold_tokens < need:
            # By chance, all or nothing: else hundreds of sidecars each keep a part that is of no use.
            server.cold_tokens = need if self.ctx.random.random() * need < server.cold_tokens else 0.0
        return server.cold_tokens >= need
