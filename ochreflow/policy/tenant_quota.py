"""Tenant quotas: in overload, what tenants request beyond theirs is shed first. Peers gossip their rates."""

import struct

from .interface import GossipReceived, PublishGossip
from .state_records import SECOND, Context

QUOTA_UPDATE_INTERVAL = 0.5  # shortest deadlines between judgements: bursts rise within seconds
REQUEST_RATE_SMOOTHING = 0.5  # weight of the latest such span
# Times the median tenant's use of its quota is within quota, where not all peers are heard.
QUOTA_TOLERANCE = 1.3
PEER_RATE_LIFETIME = 6.0  # such spans until a peer's word no longer counts
RATE_STEPS_PER_S = 64  # steps of a request a second in the peers' message


class TenantQuotas:
    """Measures how much of each tenant's traffic is over its quota."""

    def __init__(self, context: Context) -> None:
        """Start without traffic."""
        self.context = context
        tenants = len(context.settings.tenants)
        self.counts = [0.0] * tenants  # first attempts since the quotas were judged
        self.request_rates = [0.0] * tenants  # first attempts per second, smoothed
        self.updated_at = 0
        self.over_quota: list[float] = []  # the part of each tenant's traffic that is over its quota
        self.peer_rates: dict[int, tuple[int, list[float]]] = {}
        self.rates = struct.Struct(f"<{tenants}I")  # the gossip: first attempts a second by tenant

    def count(self, tenant: int) -> None:
        """Count a first attempt; now and then judge how much of each tenant's traffic is over its quota."""
        self.counts[tenant] += 1.0
        passed = self.context.now - self.updated_at
        if passed < QUOTA_UPDATE_INTERVAL * self.context.shortest_deadline_ns:
            return
        known, self.updated_at = self.updated_at, self.context.now
        if known:  # the first span has no beginning
            for number, counts in enumerate(self.counts):
                self.request_rates[number] += REQUEST_RATE_SMOOTHING * (
                    counts * SECOND / passed - self.request_rates[number]
                )
        self.counts = [0.0] * len(self.counts)
        if self.context.settings.can_gossip and self.context.settings.fleet_size > 1:
            steps = [
                min(int(request_rate * RATE_STEPS_PER_S), 0xFFFFFFFF) for request_rate in self.request_rates
            ]
            self.context.actions.append(PublishGossip(self.rates.pack(*steps)))
        self.update_over_quota()

    def update_over_quota(self) -> None:
        """Work out the part of each tenant's traffic that is over its quota."""
        tenants = self.context.settings.tenants
        fresh = (
            self.context.now - PEER_RATE_LIFETIME * QUOTA_UPDATE_INTERVAL * self.context.shortest_deadline_ns
        )
        peers = [rates for when, rates in self.peer_rates.values() if when >= fresh]
        if len(peers) + 1 >= self.context.settings.fleet_size:
            # All are heard: the shares are known as they are stated, over all sidecars together.
            part = 1.0
            request_rates = [sum(rates) for rates in zip(self.request_rates, *peers, strict=True)]
        else:
            # Only own traffic is seen: the own part of each share is guessed from the tenants' middle.
            request_rates = self.request_rates
            pairs = zip(request_rates, tenants, strict=True)
            loads = sorted(
                request_rate / tenant.quota_per_s
                for request_rate, tenant in pairs
                if tenant.quota_per_s > 0.0
            )
            part = loads[(len(loads) - 1) // 2] * QUOTA_TOLERANCE if loads else 0.0
        self.over_quota = [
            1.0 - tenant.quota_per_s * part / request_rate
            if request_rate > tenant.quota_per_s * part > 0.0
            else 0.0
            for request_rate, tenant in zip(request_rates, tenants, strict=True)
        ]

    def record_gossip(self, event: GossipReceived) -> None:
        """A peer's rates by tenant; anything of another length is not ours and skipped."""
        if len(event.data) == self.rates.size and event.sender < self.context.settings.fleet_size:
            rates = [value / RATE_STEPS_PER_S for value in self.rates.unpack(event.data)]
            self.peer_rates[event.sender] = (self.context.now, rates)
