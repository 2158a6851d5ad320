"""The pace to cold servers: how much each sidecar may send while one that has just started warms up."""

from .fleet import Fleet
from .latency import Latencies
from .records import SECOND, Context, Server

PACE = 1.2  # times the fair share of own answers, times the ramp
PACE_EARN = 1.5  # requests for each one answered: many servers warm by work, sooner than stated
PACE_ALONE = 0.5  # of a core's work, times the ramp, whatever is answered elsewhere
PACE_TRUST = 0.1  # requests more that may come at once for each one answered since the start
PACE_TRUST_MOST = 3.0
PACE_BURST = 0.25  # seconds of that pace may come at once


class Pace:
    def __init__(self, ctx: Context, latency: Latencies, fleet: Fleet) -> None:
        self.ctx = ctx
        self.latency = latency
        self.fleet = fleet

    def earn(self, server: Server, cls: int) -> None:
        """What it has answered it can do again."""
        if server.cold_at:
            server.cold_tokens += PACE_EARN * self.latency.cost(cls)

    def lose(self, server: Server) -> None:
        """What it turns away pushes it over too."""
        if server.cold_at:
            server.cold_tokens = min(server.cold_tokens, 0.0)

    def give_back(self, server: Server, cls: int, sent: int) -> None:
        """An attempt whose connection never came up has cost the server nothing: its pace is given back.

        `sent` is when it was decided, in ns. What an earlier life of the server was spared is not this one's.
        """
        if server.cold_at and sent >= server.started:
            server.cold_tokens += self.latency.cost(cls)

    def ramp(self, server: Server) -> float:
        """The least part of its capacity that a server has by now, by the settings."""
        start, warm = self.ctx.settings.start_capacity, self.ctx.settings.warm_within_ns
        age = self.ctx.now - server.started
        if not server.started or age >= warm:
            return 1.0
        return max(start + (1.0 - start) * max(age, 0) / warm, 0.01)

    def allows(self, server: Server, cls: int, take: bool) -> bool:
        """Pace to a cold server: its ramp's part of a fair share of the own traffic.

        With every sidecar doing so, it gets at most PACE times the mean load of the fleet times its ramp.
        """
        if not server.started:
            return True
        ramp = self.ramp(server)
        if ramp >= 1.0:
            return True
        # No answers of late mean no right to send: a rate remembered from better times would not do.
        fade = max(0.0, 1.0 - (self.ctx.now - self.latency.rate_at) / self.ctx.settings.overload_for_ns)
        # Those who do not sample it leave their part to those who do.
        among = self.fleet.ready_count - (0 if server in self.fleet.rest else len(self.fleet.rest))
        fair = self.latency.rate * fade / max(among, 1)
        # A fleet that is cold as a whole has answered nothing yet, and of nothing there is no fair share:
        # what a part of one core does in the usual time is no push, from all sidecars together.
        alone = PACE_ALONE * SECOND / (self.latency.mean_usual() * self.ctx.settings.fleet_size)
        pace = ramp * max(PACE * fair, alone)
        limit = max(1.0, pace * PACE_BURST) + min(server.samples * PACE_TRUST, PACE_TRUST_MOST)
        if not server.cold_at:
            # Part of a first token each: from none, hundreds of sidecars would leave it idle for long.
            least = min(self.latency.cost(number) for number in range(len(self.latency.usual)))
            server.cold_tokens = self.ctx.random.random() * least
        else:
            earned = pace * (self.ctx.now - server.cold_at) / SECOND
            server.cold_tokens = min(limit, server.cold_tokens + earned)
        server.cold_at = self.ctx.now
        cost = self.latency.cost(cls)
        if take:
            server.cold_tokens -= cost
            return True
        return server.cold_tokens >= min(cost, limit)
