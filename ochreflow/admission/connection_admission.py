"""Admission of client connections: limits by address and prefix, which depend on the address's reputation.

Many clients behind one address look the same at connect time as one client that opens many connections; their
behaviour tells them apart. An address earns reputation with each completed request, and reputation decays.
Reputation raises the address's limits, and from `MIN_KNOWN_REPUTATION` on the address is known: a share of
the capacity is reserved for known addresses, and connections of unknown ones are evicted first.

Times are seconds of the caller's monotonic clock; the caller chooses the keys of connections.
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

MIN_KNOWN_REPUTATION = 5.0  # recently completed requests that make an address known
REPUTATION_PER_MULTIPLE = 20.0  # reputation that adds 1 to the multiplier of an address's limits
MAX_LIMIT_MULTIPLIER = 16.0
EVICTION_SAMPLE_SIZE = 8  # longest absent addresses, of which the one with the least reputation is evicted
MAX_STATUS_ROWS = 50
MAX_SNAPSHOT_ENTRIES = 1024  # known addresses handed to the next process, about 40 KiB


class ConnectionAdmission(Generic[Key]):
    """Owns the connections of each address, and the reputation of addresses.

    `capacity` returns the present limit on all connections together.
    """

    def __init__(self, limits: Limits, capacity: Callable[[], int]) -> None:
        """Start without connections or addresses."""
        self.limits = limits
        self.capacity = capacity
        self.addresses: dict[str, AddressRecord[Key]] = {}  # addresses with at least one connection
        # Addresses without a connection, the longest absent first:
        self.absent: OrderedDict[str, AddressRecord[Key]] = OrderedDict()
        self.prefixes: dict[str, dict[str, AddressRecord[Key]]] = {}  # `addresses` by their prefix
        self.by_connection: dict[Key, AddressRecord[Key]] = {}
        self.arrivals = CountMinSketch()
        self.rejected: Counter[RejectionReason] = Counter()

    def admit(self, now: float, key: Key, address: str) -> RejectionReason | None:
        """Admit a new connection and return None, or return the reason for its rejection."""
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

        Return the connection to close because its address has too many incomplete messages, or None.
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
        """Record that a request of this connection has been answered, which earns its address reputation."""
        record = self.by_connection.get(key)
        if record is not None:
            record.reputation = self._reputation(now, record) + 1.0
            record.reputation_at = now

    def connection_closed(self, key: Key) -> None:
        """Forget a closed connection; an unknown key is ignored."""
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
        """Return the connection to evict from `keys`, the evictable connections, oldest first.

        The order is: unknown addresses before known ones, then connections with an incomplete message before
        idle ones, then the address with the most connections, then the oldest. So no connection of a known
        address is evicted while there is one of an unknown address.
        """
        return min(keys, key=lambda key: self._eviction_rank(now, key))

    def is_known(self, now: float, key: Key) -> bool:
        """Return whether the address of this connection is known."""
        record = self.by_connection.get(key)
        return record is not None and self._is_known_address(now, record)

    def _eviction_rank(self, now: float, key: Key) -> tuple[bool, bool, int]:
        record = self.by_connection.get(key)
        if record is None:
            return False, False, 0
        return self._is_known_address(now, record), key not in record.incomplete, -record.open_connections

    def snapshot(self, now: float) -> list[AddressReputation]:
        """Return the known addresses with their reputation, for the next process.

        The highest reputation comes first; there are at most `MAX_SNAPSHOT_ENTRIES`.
        """
        records = (*self.addresses.values(), *self.absent.values())
        known = [
            AddressReputation(record.name, self._reputation(now, record))
            for record in records
            if self._is_known_address(now, record)
        ]
        return sorted(known, key=lambda entry: -entry.reputation)[:MAX_SNAPSHOT_ENTRIES]

    def restore(self, now: float, snapshot: object) -> None:
        """Merge the snapshot of another process; malformed entries are ignored."""
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
        """Return the addresses with the most connections, in descending order, at most `MAX_STATUS_ROWS`."""
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
        """Return the number of known addresses, with or without a connection."""
        return sum(
            self._is_known_address(now, record)
            for record in (*self.addresses.values(), *self.absent.values())
        )

    def unknown_connections(self, now: float) -> int:
        """Return the number of connections from unknown addresses."""
        records = self.addresses.values()
        return sum(record.open_connections for record in records if not self._is_known_address(now, record))

    def _record_of(self, address: str) -> AddressRecord[Key]:
        """Return the record of an address, or a new one that is not stored yet."""
        record = self.addresses.get(address) or self.absent.get(address)
        return record or AddressRecord(address, prefix_of(address))

    def _rejection_reason(self, now: float, record: AddressRecord[Key]) -> RejectionReason | None:
        limits, multiplier = self.limits, self._limit_multiplier(now, record)
        new_of_address = self.arrivals.add(record.name, now)
        # The prefix is counted under a separate name, since some addresses are their own prefix.
        new_of_prefix = self.arrivals.add(f"prefix {record.prefix}", now)
        known = self._is_known_address(now, record)
        if record.open_connections >= int(limits.max_open * multiplier):
            return RejectionReason.ADDRESS_CONNECTIONS
        max_open_in_prefix = limits.max_open * limits.prefix_multiplier
        if not known and self._unknown_in_prefix(now, record.prefix) >= max_open_in_prefix:
            return RejectionReason.PREFIX_CONNECTIONS
        if new_of_address > limits.max_new_per_s * multiplier:
            return RejectionReason.ADDRESS_RATE
        if not known and new_of_prefix > limits.max_new_per_s * limits.prefix_multiplier:
            return RejectionReason.PREFIX_RATE
        free = self.capacity() * (1.0 - limits.reserved_share)
        if not known and len(self.by_connection) + 1 > free and self.unknown_connections(now) + 1 > free:
            return RejectionReason.RESERVED
        return None

    def _unknown_in_prefix(self, now: float, prefix: str) -> int:
        """Return the number of connections from unknown addresses of a prefix.

        Those of known addresses don't count, so that a gateway does not use up the limit of its neighbours.
        """
        records = self.prefixes.get(prefix, {}).values()
        return sum(record.open_connections for record in records if not self._is_known_address(now, record))

    def _reputation(self, now: float, record: AddressRecord[Key]) -> float:
        return (
            record.reputation * 0.5 ** ((now - record.reputation_at) / self.limits.half_life_s)
            if record.reputation
            else 0.0
        )

    def _is_known_address(self, now: float, record: AddressRecord[Key]) -> bool:
        return self._reputation(now, record) >= MIN_KNOWN_REPUTATION

    def _limit_multiplier(self, now: float, record: AddressRecord[Key]) -> float:
        return min(1.0 + self._reputation(now, record) / REPUTATION_PER_MULTIPLE, MAX_LIMIT_MULTIPLIER)

    def _keep_absent(self, record: AddressRecord[Key]) -> None:
        """Keep the record of an address that has no connection but reputation, up to `max_absent` of them."""
        if not record.reputation:
            return
        self.absent[record.name] = record
        if len(self.absent) > self.limits.max_absent:
            longest_absent = list(islice(self.absent.values(), EVICTION_SAMPLE_SIZE))
            del self.absent[min(longest_absent, key=lambda absent: absent.reputation).name]
