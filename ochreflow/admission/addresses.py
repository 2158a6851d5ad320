"""What is kept of each client address, what of it is shown and handed on, and the prefix of an address."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

Key = TypeVar("Key")

MAX_REPUTATION = 1e9  # more than that was not earned by requests


@dataclass(slots=True)
class AddressRecord(Generic[Key]):
    """What is known of one address."""

    name: str
    prefix: str
    open_connections: int = 0
    incomplete: dict[Key, None] = field(
        default_factory=dict
    )  # those with an unfinished message, oldest first
    reputation: float = 0.0  # as of `reputation_at`
    reputation_at: float = 0.0
    rejected: int = 0


@dataclass(frozen=True, slots=True)
class AddressStatus:
    """An address as operators see it."""

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
    """Return an entry of another process's snapshot; None if it is not of that form."""
    match entry:
        case [str(address), int() | float() as reputation] if 0.0 < reputation < MAX_REPUTATION:
            return AddressReputation(address, float(reputation))
        case _:
            return None


def prefix_of(address: str) -> str:
    """Return the /24 of an IPv4 address, the /48 of an IPv6 one, as text; anything else is its own prefix."""
    if ":" in address:
        return ":".join(address.split(":")[:3]) + "::/48"
    match address.split("."):
        case [first, second, third, _]:
            return f"{first}.{second}.{third}.0/24"
        case _:
            return address
