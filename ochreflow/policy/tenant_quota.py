"""Tenant quotas: in overload, requests of tenants over their quota are shed first.

Sidecars gossip their request rates by tenant, so that a quota is checked against the rate at all sidecars.
"""

import struct

from .interface import GossipReceived, PublishGossip
from .state_records import SECOND, Context

# Time between updates, as a multiple of the shortest deadline: bursts build up within seconds.
QUOTA_UPDATE_INTERVAL = 0.5
REQUEST_RATE_SMOOTHING = 0.5  # weight of the rate since the last update
# While the rates of some peers are unknown, a tenant is over quota if it uses more of its quota than this
# multiple of the median tenant's use.
QUOTA_TOLERANCE = 1.3
PEER_RATE_LIFETIME = 6.0  # age at which a peer's rates expire, as a multiple of the update interval
RATE_STEPS_PER_S = 64  # the gossip message carries rates in units of 1/64 request a second


class TenantQuotas:
    """Estimates the share of each tenant's traffic that is over its quota."""

    def __init__(self, context: Context) -> None:
        """Start without traffic."""
        self.context = context
        tenants = len(context.settings.tenants)
        self.counts = [0.0] * tenants  # first attempts since the last update
        self.request_rates = [0.0] * tenants  # first attempts a second, smoothed
        self.updated_at = 0
        self.over_quota: list[float] = []  # by tenant, the share of its traffic that is over its quota
        self.peer_rates: dict[int, tuple[int, list[float]]] = {}  # by peer: time received, rates by tenant
        self.gossip_format = struct.Struct(f"<{tenants}I")  # first attempts a second by tenant

    def count(self, tenant: int) -> None:
        """Count a first attempt; once in each update interval publish the rates and update the shares."""
        self.counts[tenant] += 1.0
        elapsed_ns = self.context.now - self.updated_at
        if elapsed_ns < QUOTA_UPDATE_INTERVAL * self.context.shortest_deadline_ns:
            return
        previous_update_at, self.updated_at = self.updated_at, self.context.now
        if previous_update_at:  # the first interval has no known start
            for number, count in enumerate(self.counts):
                self.request_rates[number] += REQUEST_RATE_SMOOTHING * (
                    count * SECOND / elapsed_ns - self.request_rates[number]
                )
        self.counts = [0.0] * len(self.counts)
        if self.context.settings.can_gossip and self.context.settings.fleet_size > 1:
            steps = [
                min(int(request_rate * RATE_STEPS_PER_S), 0xFFFFFFFF) for request_rate in self.request_rates
            ]
            self.context.actions.append(PublishGossip(self.gossip_format.pack(*steps)))
        self.update_over_quota()

    def update_over_quota(self) -> None:
        """Compute the share of each tenant's traffic that is over its quota."""
        tenants = self.context.settings.tenants
        oldest_valid_at = (
            self.context.now - PEER_RATE_LIFETIME * QUOTA_UPDATE_INTERVAL * self.context.shortest_deadline_ns
        )
        peers = [rates for received_at, rates in self.peer_rates.values() if received_at >= oldest_valid_at]
        if len(peers) + 1 >= self.context.settings.fleet_size:
            # The rates of all sidecars are known: compare their sums with the quotas as they are configured.
            quota_share = 1.0
            request_rates = [sum(rates) for rates in zip(self.request_rates, *peers, strict=True)]
        else:
            # Some rates are unknown: estimate this sidecar's share of the quotas from the median tenant.
            request_rates = self.request_rates
            pairs = zip(request_rates, tenants, strict=True)
            quota_uses = sorted(
                request_rate / tenant.quota_per_s
                for request_rate, tenant in pairs
                if tenant.quota_per_s > 0.0
            )
            quota_share = quota_uses[(len(quota_uses) - 1) // 2] * QUOTA_TOLERANCE if quota_uses else 0.0
        self.over_quota = [
            1.0 - tenant.quota_per_s * quota_share / request_rate
            if request_rate > tenant.quota_per_s * quota_share > 0.0
            else 0.0
            for request_rate, tenant in zip(request_rates, tenants, strict=True)
        ]

    def record_gossip(self, event: GossipReceived) -> None:
        """Record a peer's rates by tenant; ignore messages of another length or from unknown senders."""
        if len(event.data) == self.gossip_format.size and event.sender < self.context.settings.fleet_size:
            rates = [value / RATE_STEPS_PER_S for value in self.gossip_format.unpack(event.data)]
            self.peer_rates[event.sender] = (self.context.now, rates)
