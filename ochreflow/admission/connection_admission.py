"""Admission of clients' connections: limits by address and prefix, and by the reputation that requests earn.

Many clients behind one address and one client that opens many connections look alike when they connect; what
tells them apart is what they do. An address earns reputation with each request that is completed, and
reputation decays. It raises the address's limits, and from `MIN_KNOWN_REPUTATION` on the address is known: a
share of the capacity is reserved for known addresses, and connections of unknown ones are evicted first.

Times are seconds of the caller's monotonic clock; connections are whatever the caller names them by.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Generic

from .addresses import (
    AddressRecord,
    AddressReputation,
    AddressStatus,
    Key,
    parse_address_reputation,
    prefix_of,
)
from .count_min_sketch import CountMinSketch
from .limits import Limits, RejectionReason

MIN_KNOWN_REPUTATION = 5.0  # recently completed requests from which on an address is known
REPUTATION_PER_MULTIPLE = 20.0  # for each so much its limits grow by one time, up to:
MAX_LIMIT_MULTIPLIER = 16.0
EVICTION_SAMPLE_SIZE = 8  # of so many absent addresses the one of least reputation is forgotten
MAX_STATUS_ROWS = 50
MAX_SNAPSHOT_ENTRIES = 1024  # known addresses handed to the next process: some 40 KiB


class ConnectionAdmission(Generic[Key]):
    """Owns which address has which connection, and the reputation of addresses.

    `capacity` returns how many connections there may be in all, now.
    """

    def __init__(self, limits: Limits, capacity: Callable[[], int]) -> None:
        """Begin without any connection or address."""
        self.limits = limits
        self.capacity = capacity
        self.addresses: dict[str, AddressRecord[Key]] = {}  # those with a connection
        # Others, the longest absent first:
        self.absent: OrderedDict[str, AddressRecord[Key]] = OrderedDict()
        self.prefixes: dict[str, dict[str, AddressRecord[Key]]] = {}  # those with a connection, by prefix
        self.by_connection: dict[Key, AddressRecord[Key]] = {}
        self.arrivals = CountMinSketch()
        self.rejected: Counter[RejectionReason] = Counter()

    def admit(self, now: float, key: Key, address: str) -> RejectionReason | None:
        """Decide on a new connection: return None if it is admitted, else the reason for its rejection."""
        record = self._record_of(address)
        reason = self._rejection_reason(now, record)
        if reason is not None:
            record.rejected += 1
            self.rejected[reason] += 1
            return reason
        self.absent.pop(address, None)
        self.addresses[address] = record
        record.open_connections += 1
        record.incomplete[key] = None  # until its first message is complete
        self.prefixes.setdefault(record.prefix, {})[address] = record
        self.by_connection[key] = record
        return None

    def message_begun(self, now: float, key: Key) -> Key | None:
        """Record that a message of this connection has begun.

        Return the connection of the same address that has to be closed for it, if any.
        """
        record = self.by_connection.get(key)
        if record is None:
            return None
        record.incomplete.setdefault(key, None)
        if len(record.incomplete) <= int(self.limits.max_incomplete * self._limit_multiplier(now, record)):
            return None
        return next(iter(record.incomplete))

    def message_complete(self, key: Key) -> None:
        """Record that the message of this connection is complete."""
        record = self.by_connection.get(key)
        if record is not None:
            record.incomplete.pop(key, None)

    def request_completed(self, now: float, key: Key) -> None:
        """Record that a request of this connection has been answered: its address earns reputation."""
        record = self.by_connection.get(key)
        if record is not None:
            record.reputation = self._reputation(now, record) + 1.0
            record.reputation_at = now

    def connection_closed(self, key: Key) -> None:
        """Forget a connection that has ended; one that is not known is ignored."""
        record = self.by_connection.pop(key, None)
        if record is None:
            return
        record.open_connections -= 1
        record.incomplete.pop(key, None)
        if not record.open_connections:
            del self.addresses[record.name]
            del self.prefixes[record.prefix][record.name]
            if not self.prefixes[record.prefix]:
                del self.prefixes[record.prefix]
            self._keep_absent(record)

    def eviction_candidate(self, now: float, keys: Iterable[Key]) -> Key:
        """Return which of the connections that could be evicted, given the oldest first, is evicted.

        One rule: unknown addresses before known ones; of these, a connection with an unfinished message
        before one that waits for nothing; of these, one of the address with most connections; of these, the
        oldest. So no connection of a known address is evicted while one of an unknown one is among them.
        """
        return min(keys, key=lambda key: self._eviction_rank(now, key))

    def is_known(self, now: float, key: Key) -> bool:
        """Return whether this connection's address is known."""
        record = self.by_connection.get(key)
        return record is not None and self._known(now, record)

    def _eviction_rank(self, now: float, key: Key) -> tuple[bool, bool, int]:
        record = self.by_connection.get(key)
        if record is None:
            return False, False, 0
        return self._known(now, record), key not in record.incomplete, -record.open_connections

    def snapshot(self, now: float) -> list[AddressReputation]:
        """Return the known addresses with their reputation for the next process.

        The highest reputation comes first; at most `MAX_SNAPSHOT_ENTRIES`.
        """
        records = (*self.addresses.values(), *self.absent.values())
        known = [
            AddressReputation(record.name, self._reputation(now, record))
            for record in records
            if self._known(now, record)
        ]
        return sorted(known, key=lambda entry: -entry.reputation)[:MAX_SNAPSHOT_ENTRIES]

    def restore(self, now: float, snapshot: object) -> None:
        """Begin with the snapshot of another process; entries that are not of its form are ignored."""
        if not isinstance(snapshot, list):
            return
        for entry in snapshot[:MAX_SNAPSHOT_ENTRIES]:
            inherited = parse_address_reputation(entry)
            if inherited is None:
                continue
            record = self._record_of(inherited.address)
            record.reputation = max(self._reputation(now, record), inherited.reputation)
            record.reputation_at = now
            if record.name not in self.addresses:
                self._keep_absent(record)

    def busiest_addresses(self, now: float) -> list[AddressStatus]:
        """Return the addresses with most connections, the most first, at most `MAX_STATUS_ROWS`."""
        records = sorted(self.addresses.values(), key=lambda record: -record.open_connections)
        return [
            AddressStatus(
                record.name,
                record.open_connections,
                len(record.incomplete),
                round(self._reputation(now, record), 1),
                record.rejected,
            )
            for record in records[:MAX_STATUS_ROWS]
        ]

    def known_count(self, now: float) -> int:
        """Return how many addresses are known, with a connection or without."""
        return sum(self._known(now, record) for record in (*self.addresses.values(), *self.absent.values()))

    def unknown_connections(self, now: float) -> int:
        """Return how many connections are of addresses that are not known."""
        records = self.addresses.values()
        return sum(record.open_connections for record in records if not self._known(now, record))

    def _record_of(self, address: str) -> AddressRecord[Key]:
        """Return what is known of an address, or a new record that is not kept yet."""
        known = self.addresses.get(address) or self.absent.get(address)
        return known or AddressRecord(address, prefix_of(address))

    def _rejection_reason(self, now: float, record: AddressRecord[Key]) -> RejectionReason | None:
        limits, multiplier = self.limits, self._limit_multiplier(now, record)
        new = self.arrivals.add(record.name, now)
        # A name of its own, since some addresses are their own prefix.
        new_of_prefix = self.arrivals.add(f"prefix {record.prefix}", now)
        known = self._known(now, record)
        if record.open_connections >= int(limits.max_open * multiplier):
            return RejectionReason.ADDRESS_CONNECTIONS
        max_open_in_prefix = limits.max_open * limits.prefix_multiplier
        if not known and self._unknown_in_prefix(now, record.prefix) >= max_open_in_prefix:
            return RejectionReason.PREFIX_CONNECTIONS
        if new > limits.max_new_per_s * multiplier:
            return RejectionReason.ADDRESS_RATE
        if not known and new_of_prefix > limits.max_new_per_s * limits.prefix_multiplier:
            return RejectionReason.PREFIX_RATE
        free = self.capacity() * (1.0 - limits.reserved_share)
        if not known and len(self.by_connection) + 1 > free and self.unknown_connections(now) + 1 > free:
            return RejectionReason.RESERVED
        return None

    def _unknown_in_prefix(self, now: float, prefix: str) -> int:
        """Connections of a prefix from unknown addresses: a gateway does not crowd out its neighbours."""
        others = self.prefixes.get(prefix, {}).values()
        return sum(other.open_connections for other in others if not self._known(now, other))

    def _reputation(self, now: float, record: AddressRecord[Key]) -> float:
        return (
            record.reputation * 0.5 ** ((now - record.reputation_at) / self.limits.half_life_s)
            if record.reputation
            else 0.0
        )

    def _known(self, now: float, record: AddressRecord[Key]) -> bool:
        return self._reputation(now, record) >= MIN_KNOWN_REPUTATION

    def _limit_multiplier(self, now: float, record: AddressRecord[Key]) -> float:
        return min(1.0 + self._reputation(now, record) / REPUTATION_PER_MULTIPLE, MAX_LIMIT_MULTIPLIER)

    def _keep_absent(self, record: AddressRecord[Key]) -> None:
        """Keep the reputation of an address without a connection, up to `max_absent` of them."""
        if not record.reputation:
            return
        self.absent[record.name] = record
        if len(self.absent) > self.limits.max_absent:
            oldest = list(islice(self.absent.values(), EVICTION_SAMPLE_SIZE))
            del self.absent[min(oldest, key=lambda other: other.reputation).name]
