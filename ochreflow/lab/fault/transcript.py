"""Record of a run of the fault-injecting proxy, used to compare two runs."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from hashlib import blake2b

from .script import Side

DIGEST_BYTES = 16
StreamKey = tuple[int, Side]
"""The number of a connection or datagram, and the direction."""


def _new_hash() -> blake2b:
    return blake2b(digest_size=DIGEST_BYTES)


@dataclass(slots=True)
class Transcript:
    """Records the forwarded bytes, and each fault with the byte offset at which it occurred.

    It does not depend on how reads split the bytes, nor on the order of events between connections.
    """

    forwarded_bytes: dict[StreamKey, int] = field(default_factory=lambda: defaultdict(int))
    hashes: dict[StreamKey, blake2b] = field(default_factory=lambda: defaultdict(_new_hash))
    faults: dict[StreamKey, list[str]] = field(default_factory=lambda: defaultdict(list))

    def record_bytes(self, number: int, side: Side, data: bytes) -> None:
        """Add forwarded bytes to the count and the hash."""
        self.forwarded_bytes[number, side] += len(data)
        self.hashes[number, side].update(data)

    def record_fault(self, number: int, side: Side, text: str) -> None:
        """Record a fault at the offset of the next forwarded byte."""
        self.faults[number, side].append(f"{self.forwarded_bytes[number, side]} {text}")

    def lines(self) -> list[str]:
        """Return a line for each direction of each connection, sorted by number and direction."""
        keys = sorted({*self.forwarded_bytes, *self.faults}, key=lambda key: (key[0], key[1].value))
        return [self._line(key) for key in keys]

    def _line(self, key: StreamKey) -> str:
        number, side = key
        faults = "; ".join(self.faults.get(key, []))
        return f"{number} {side.value} {self.forwarded_bytes[key]} {self.hashes[key].hexdigest()} {faults}"

    def digest(self) -> str:
        """Return a hash over all lines, in hexadecimal digits."""
        return blake2b("\n".join(self.lines()).encode(), digest_size=DIGEST_BYTES).hexdigest()
