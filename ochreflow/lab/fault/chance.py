"""Random draws of one fault: whether it occurs, the length of a delay and the replacement bytes.

Each fault draws from its own generator, seeded with the run's seed, the number of the connection or
datagram and the fault's index in the script, so its draws depend on no other fault or connection.
"""

from __future__ import annotations

import random

from .script import Fault, Spread

# Shape of heavy-tailed delays: mean 2 * delay_ms, median 0.59 * delay_ms, rarely tens of times that.
PARETO_SHAPE = 1.5
MS_PER_S = 1000
DIGITS = b"0123456789"
BYTE_VALUES = 256


def fault_random(seed: int, number: int, index: int) -> random.Random:
    """Return the generator of the fault at `index` of the script for one connection or datagram."""
    return random.Random(f"{seed}/{number}/{index}")


def delay_seconds(fault: Fault, rng: random.Random) -> float:
    """Draw the length of one delay, in seconds."""
    match fault.spread:
        case Spread.UNIFORM:
            return rng.uniform(0.0, fault.delay_ms) / MS_PER_S
        case Spread.HEAVY:
            return fault.delay_ms * (rng.paretovariate(PARETO_SHAPE) - 1.0) / MS_PER_S
        case Spread.FIXED:
            return fault.delay_ms / MS_PER_S


def garble(data: bytes, rng: random.Random) -> bytes:
    """Replace every byte by a different one; a digit by another digit, so that a length stays a number."""
    return bytes(_different_byte(byte, rng) for byte in data)


def _different_byte(byte: int, rng: random.Random) -> int:
    if byte in DIGITS:
        return rng.choice([digit for digit in DIGITS if digit != byte])
    return byte ^ rng.randrange(1, BYTE_VALUES)
