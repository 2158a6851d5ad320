"""What the connections of one address are limited to, and the reasons for which one is rejected."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Limits:
    """What one address may have before it has earned any reputation."""

    max_open: int = 64  # connections
    max_incomplete: int = 16  # of them, whose client has yet to finish a message, or to begin the first one
    max_new_per_s: float = 50.0
    prefix_multiplier: float = 4.0  # a prefix (/24, /48) may have so many times as much as an address
    reserved_share: float = 0.25  # of the capacity, for known addresses alone
    half_life_s: float = 60.0  # in which reputation decays to half
    max_absent: int = 4096  # addresses without a connection whose reputation is kept


class RejectionReason(Enum):
    """Why a connection was rejected."""

    ADDRESS_CONNECTIONS = "address has too many open"
    PREFIX_CONNECTIONS = "prefix has too many open"
    ADDRESS_RATE = "address opens too fast"
    PREFIX_RATE = "prefix opens too fast"
    RESERVED = "what is left is kept for known addresses"
