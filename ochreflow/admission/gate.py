"""The gate for connections: caps by address and prefix, standing earned by requests, a part kept by it.

Many clients behind one address and one client that opens many connections look alike when they connect; what
tells them apart is what they do. An address earns standing with each request that it completes, and standing
ages. Standing widens its caps, and makes it known: a part of all places is kept for known addresses, and
unknown ones go first when there is no room.

Times are seconds of the caller's monotonic clock; connections are whatever the caller names them by.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice
from typing import Generic, TypeVar

from .sketch import Sketch

Key = TypeVar("Key")

KNOWN_AT = 5.0  # completed requests of late from which an address is known
WIDER_FOR = 20.0  # ... and for each so many its caps grow by one time, up to:
WIDER_MOST = 16.0
LOOKED_AT = 8  # addresses without a connection of which the one of least standing is forgotten
SHOWN = 50
HANDED = 1024  # known addresses told to the next process: some 40 KiB
STANDING_MOST = 1e9  # more than that was not earned by requests


@dataclass(frozen=True, slots=True)
class Caps:
    """What one address may have before it has earned any standing."""

    open: int = 64  # connections
    half_written: int = 16  # ... of them, that owe the rest of a message, or their first one
    new_per_second: float = 50.0
    prefix_times: float = 4.0  # a prefix (/24, /48) may have so many times as much as an address
    known_part: float = 0.25  # of all places, that only known addresses may take
    half_life: float = 60.0  # seconds in which standing fades to half
    remembered: int = 4096  # addresses without a connection whose standing is kept


class Why(Enum):
    """Why a connection was refused."""

    OPEN = "address has too many open"
    PREFIX = "prefix has too many open"
    RATE = "address opens too fast"
    PREFIX_RATE = "prefix opens too fast"
    KEPT = "what is left is kept for known addresses"


@dataclass(slots=True)
class Address(Generic[Key]):
    """What is known of one address."""

    name: str
    prefix: str
    open: int = 0
    half: dict[Key, None] = field(default_factory=dict)  # its half-written ones, the oldest first
    standing: float = 0.0
    standing_at: float = 0.0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class Row:
    """An address as operators see it."""

    address: str
    open: int
    half_written: int
    standing: float
    refused: int


class Gate(Generic[Key]):
    """Owns who has which connection and who has earned what. `places` tells how many there may be."""

    def __init__(self, caps: Caps, places: Callable[[], int]) -> None:
        self.caps = caps
        self.places = places
        self.addresses: dict[str, Address[Key]] = {}  # those with a connection
        self.absent: OrderedDict[str, Address] = OrderedDict()  # others, by when they were here last
        self.prefixes: dict[str, dict[str, Address[Key]]] = {}  # those with a connection, by prefix
        self.of: dict[Key, Address[Key]] = {}
        self.rates = Sketch()
        self.refused: Counter[Why] = Counter()

    # What happens

    def open(self, now: float, key: Key, address: str) -> Why | None:
        """A connection has come: None if it is let in, else why not."""
        one = self.addresses.get(address) or self.absent.get(address) or Address(address, prefix_of(address))
        why = self._why_not(now, one)
        if why is not None:
            one.refused += 1
            self.refused[why] += 1
            return why
        self.absent.pop(address, None)
        self.addresses[address] = one
        one.open += 1
        one.half[key] = None  # it owes its first message
        self.prefixes.setdefault(one.prefix, {})[address] = one
        self.of[key] = one
        return None

    def half_written(self, now: float, key: Key, half: bool) -> Key | None:
        """A message has begun, or has come whole. A connection of the same address that must go for it."""
        one = self.of.get(key)
        if one is None:
            return None
        if not half:
            one.half.pop(key, None)
            return None
        one.half.setdefault(key, None)
        if len(one.half) <= int(self.caps.half_written * self._wider(now, one)):
            return None
        return next(iter(one.half))

    def completed(self, now: float, key: Key) -> None:
        """A request of this connection has been answered."""
        one = self.of.get(key)
        if one is not None:
            one.standing = self._standing(now, one) + 1.0
            one.standing_at = now

    def close(self, key: Key) -> None:
        """A connection has ended."""
        one = self.of.pop(key, None)
        if one is None:
            return
        one.open -= 1
        one.half.pop(key, None)
        if not one.open:
            del self.addresses[one.name]
            del self.prefixes[one.prefix][one.name]
            if not self.prefixes[one.prefix]:
                del self.prefixes[one.prefix]
            self._remember(one)

    # Who goes

    def first_to_go(self, now: float, keys: Iterable[Key]) -> Key:
        """Of connections that could go, the oldest first, the one that does.

        One rule: unknown before known; of these, who owes a message before who waits for nothing; of these,
        of the address that has most; of these, the oldest. So no known client goes while an unknown one is
        among them.
        """
        return min(keys, key=lambda key: self._rank(now, key))

    def knows(self, now: float, key: Key) -> bool:
        """Whether this connection's address is known."""
        one = self.of.get(key)
        return one is not None and self._known(now, one)

    def _rank(self, now: float, key: Key) -> tuple[bool, bool, int]:
        one = self.of.get(key)
        if one is None:
            return False, False, 0
        return self._known(now, one), key not in one.half, -one.open

    # An upgrade: the next process begins with what this one knows

    def books(self, now: float) -> list[tuple[str, float]]:
        """The known addresses with their standing, those of most first, at most `HANDED`."""
        all_of_them = [*self.addresses.values(), *self.absent.values()]
        known = [(one.name, self._standing(now, one)) for one in all_of_them if self._known(now, one)]
        return sorted(known, key=lambda one: -one[1])[:HANDED]

    def take_over(self, now: float, books: object) -> None:
        """Begin with the books of another process; what is not of their form is left aside."""
        for entry in books[:HANDED] if isinstance(books, list) else ():
            if not (isinstance(entry, list | tuple) and len(entry) == 2 and isinstance(entry[0], str)):
                continue
            name, standing = entry
            if not (isinstance(standing, int | float) and 0.0 < standing < STANDING_MOST):
                continue
            one = self.addresses.get(name) or self.absent.get(name) or Address(name, prefix_of(name))
            one.standing, one.standing_at = max(self._standing(now, one), float(standing)), now
            if name not in self.addresses:
                self._remember(one)

    # What is asked of it

    def rows(self, now: float) -> list[Row]:
        """The addresses with most connections, the most first."""
        most = sorted(self.addresses.values(), key=lambda one: -one.open)[:SHOWN]
        return [
            Row(one.name, one.open, len(one.half), round(self._standing(now, one), 1), one.refused)
            for one in most
        ]

    def known(self, now: float) -> int:
        """Addresses that are known, with a connection or without."""
        return sum(self._known(now, one) for one in (*self.addresses.values(), *self.absent.values()))

    def unknown_open(self, now: float) -> int:
        """Connections of addresses that are not known."""
        return sum(one.open for one in self.addresses.values() if not self._known(now, one))

    # How it decides

    def _why_not(self, now: float, one: Address[Key]) -> Why | None:
        caps, wider = self.caps, self._wider(now, one)
        new = self.rates.add(one.name, now)
        new_of_prefix = self.rates.add(f"prefix {one.prefix}", now)  # its own name: some are their own prefix
        known = self._known(now, one)
        if one.open >= int(caps.open * wider):
            return Why.OPEN
        if not known and self._unknown_of(now, one.prefix) >= caps.open * caps.prefix_times:
            return Why.PREFIX
        if new > caps.new_per_second * wider:
            return Why.RATE
        if not known and new_of_prefix > caps.new_per_second * caps.prefix_times:
            return Why.PREFIX_RATE
        free = self.places() * (1.0 - caps.known_part)
        if not known and len(self.of) + 1 > free and self.unknown_open(now) + 1 > free:
            return Why.KEPT
        return None

    def _unknown_of(self, now: float, prefix: str) -> int:
        """Connections of a prefix from unknown addresses: a gateway does not crowd out its neighbours."""
        others = self.prefixes.get(prefix, {}).values()
        return sum(other.open for other in others if not self._known(now, other))

    def _standing(self, now: float, one: Address[Key]) -> float:
        return one.standing * 0.5 ** ((now - one.standing_at) / self.caps.half_life) if one.standing else 0.0

    def _known(self, now: float, one: Address[Key]) -> bool:
        return self._standing(now, one) >= KNOWN_AT

    def _wider(self, now: float, one: Address[Key]) -> float:
        return min(1.0 + self._standing(now, one) / WIDER_FOR, WIDER_MOST)

    def _remember(self, one: Address[Key]) -> None:
        """Keep the standing of an address that has left, within bounds."""
        if not one.standing:
            return
        self.absent[one.name] = one
        if len(self.absent) > self.caps.remembered:
            oldest = list(islice(self.absent.values(), LOOKED_AT))
            del self.absent[min(oldest, key=lambda other: other.standing).name]


def prefix_of(address: str) -> str:
    """The /24 of an IPv4 address, the /48 of an IPv6 one, as text; anything else is its own."""
    if ":" in address:
        return ":".join(address.split(":")[:3]) + "::/48"
    parts = address.split(".")
    return ".".join(parts[:3]) + ".0/24" if len(parts) == 4 else address
