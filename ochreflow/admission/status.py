"""The text that `admission show` prints."""

from __future__ import annotations

from typing import Any

from .connection_admission import ConnectionAdmission


def format_status(admission: ConnectionAdmission[Any], now: float) -> str:
    """Format the limits, the rejections by reason, and the addresses with the most connections."""
    limits = admission.limits
    lines = [
        f"connections: {len(admission.by_connection)} of {admission.capacity()}, "
        f"{admission.unknown_connections(now)} of unknown addresses",
        f"known addresses: {admission.known_count(now)}",
        f"kept for known addresses: {limits.reserved_share:.0%}",
        f"caps of an address: {limits.max_open} open, {limits.max_incomplete} half written, "
        f"{limits.max_new_per_s:g} new a second; of a prefix {limits.prefix_multiplier:g} times as much",
        *(
            f"refused: {count}, {reason.value}"
            for reason, count in sorted(admission.rejected.items(), key=lambda entry: -entry[1])
        ),
        "address                                   open  half written  standing  refused",
    ]
    lines += [
        f"{row.address:<40} {row.open_connections:>5} {row.incomplete:>13} {row.reputation:>9.1f} "
        f"{row.rejected:>8}"
        for row in admission.busiest_addresses(now)
    ]
    return "\n".join(lines) + "\n"
