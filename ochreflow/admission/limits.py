"""Limits on the connections of an address, and the reasons for a rejection."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of an address that has no reputation yet, and the share reserved for known addresses."""

    max_open: int = 64  # open connections
    max_incomplete: int = 16  # connections whose current or first message is not complete
    max_new_per_s: float = 50.0  # new connections per second
    prefix_multiplier: float = 4.0  # limits of a prefix (/24, /48), as a multiple of those of an address
    reserved_share: float = 0.25  # share of the capacity that only known addresses may use
    half_life_s: float = 60.0  # half-life of reputation
    max_absent: int = 4096  # addresses without a connection whose reputation is remembered


class RejectionReason(Enum):
    """The reason for the rejection of a connection, as shown to operators."""

    ADDRESS_CONNECTIONS = "address has too many open"
    PREFIX_CONNECTIONS = "prefix has too many open"
    ADDRESS_RATE = "address opens too fast"
    PREFIX_RATE = "prefix opens too fast"
    RESERVED = "what is left is kept for known addresses"
