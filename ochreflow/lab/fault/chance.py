"""What the seed decides for one fault: whether it happens, how long a delay is, which bytes replace others.

Each fault draws from a generator of its own, seeded with the run's seed, the number of the connection or
datagram and the fault's index in the script, so its draws depend on no other fault or connection.
"""

from __future__ import annotations

import random

from .script import Fault, Spread

PARETO_SHAPE = 1.5  # of a heavy-tailed delay: its mean is twice its median, and some are tens of times that
MS_PER_S = 1000
DIGITS = b"0123456789"
BYTE_VALUES = 256


def fault_random(seed: int, number: int, index: int) -> random.Random:
    """The generator of the fault at an index of the script, for one connection or datagram."""
    return random.Random(f"{seed}/{number}/{index}")


def delay_seconds(fault: Fault, rng: random.Random) -> float:
    """The length of one delay in seconds."""
    match fault.spread:
        case Spread.UNIFORM:
            return rng.uniform(0.0, fault.delay_ms) / MS_PER_S
        case Spread.HEAVY:
            return fault.delay_ms * (rng.paretovariate(PARETO_SHAPE) - 1.0) / MS_PER_S
        case Spread.FIXED:
            return fault.delay_ms / MS_PER_S


def garble(data: bytes, rng: random.Random) -> bytes:
    """Other bytes in the place of these. Digits stay digits, so a length stays a length, but a wrong one."""
    return bytes(_other_byte(byte, rng) for byte in data)


def _other_byte(byte: int, rng: random.Random) -> int:
    if byte in DIGITS:
        return rng.choice([digit for digit in DIGITS if digit != byte])
    return byte ^ rng.randrange(1, BYTE_VALUES)
