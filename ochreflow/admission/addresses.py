"""Records of client addresses, their entries in status and snapshot, and the prefix of an address."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

Key = TypeVar("Key")

MAX_REPUTATION = 1e9  # requests can't earn more; a higher value in a snapshot is invalid


@dataclass(slots=True)
class AddressRecord(Generic[Key]):
    """The state of one address."""

    name: str
    prefix: str
    open_connections: int = 0
    # Connections whose current message is incomplete, oldest first:
    incomplete: dict[Key, None] = field(default_factory=dict)
    reputation: float = 0.0  # completed requests, decayed until `reputation_at`
    reputation_at: float = 0.0  # time of the last decay, in seconds
    rejected: int = 0  # rejected connections


@dataclass(frozen=True, slots=True)
class AddressStatus:
    """The state of one address as shown to operators."""

    address: str
    open_connections: int
    incomplete: int
    reputation: float
    rejected: int


class AddressReputation(NamedTuple):
    """One entry of a snapshot: in JSON, a list of the address and its reputation."""

    address: str
    reputation: float


def parse_address_reputation(entry: object) -> AddressReputation | None:
    """Parse an entry of another process's snapshot; return None if it is malformed."""
    match entry:
        case [str(address), int() | float() as reputation] if 0.0 < reputation < MAX_REPUTATION:
            return AddressReputation(address, float(reputation))
        case _:
            return None


def prefix_of(address: str) -> str:
    """Return the /24 of an IPv4 address or the /48 of an IPv6 address; other text is its own prefix."""
    if ":" in address:
        return ":".join(address.split(":")[:3]) + "::/48"
    match address.split("."):
        case [first, second, third, _]:
            return f"{first}.{second}.{third}.0/24"
        case _:
            return address
