"""What operators are shown of the gate: plain lines, one fact each."""

from __future__ import annotations

from typing import Any

from .gate import Gate


def told(gate: Gate[Any], now: float) -> str:
    """Caps, what was refused and why, and the addresses with most connections."""
    caps = gate.caps
    lines = [
        f"connections: {len(gate.of)} of {gate.places()}, {gate.unknown_open(now)} of unknown addresses",
        f"known addresses: {gate.known(now)}",
        f"kept for known addresses: {caps.known_part:.0%}",
        f"caps of an address: {caps.open} open, {caps.half_written} half written, "
        f"{caps.new_per_second:g} new a second; of a prefix {caps.prefix_times:g} times as much",
        *(
            f"refused: {count}, {why.value}"
            for why, count in sorted(gate.refused.items(), key=lambda one: -one[1])
        ),
        "address                                   open  half written  standing  refused",
    ]
    lines += [
        f"{row.address:<40} {row.open:>5} {row.half_written:>13} {row.standing:>9.1f} {row.refused:>8}"
        for row in gate.rows(now)
    ]
    return "\n".join(lines) + "\n"
