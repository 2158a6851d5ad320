"""What happens to datagrams, each by its number in its direction: no sockets and no clock."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .chance import delay_seconds, fault_random, garble
from .script import Fault, FaultKind, Side
from .transcript import Transcript


class DelayedDatagram(NamedTuple):
    """A datagram that goes on after so many seconds."""

    seconds: float
    data: bytes


class DatagramMachine:
    """The faults of all datagrams of one proxy."""

    def __init__(self, seed: int, faults: Sequence[Fault], transcript: Transcript) -> None:
        """Start with a script, which may be replaced later."""
        self.seed = seed
        self.transcript = transcript
        self.counts = dict.fromkeys(Side, 0)
        self.reordered: dict[Side, list[DelayedDatagram]] = {side: [] for side in Side}
        self.set_faults(faults)

    def set_faults(self, faults: Sequence[Fault]) -> None:
        """Use another script for the datagrams that come from now on."""
        self.faults = list(faults)

    def feed(self, side: Side, data: bytes) -> list[DelayedDatagram]:
        """A datagram has come: what goes on, each after its delay. A reordered one waits for the next."""
        number = self.counts[side]
        self.counts[side] += 1
        copies, delay, reorder = 1, 0.0, False
        for index, fault in enumerate(self.faults):
            rng = fault_random(self.seed, number, index)
            if fault.side is not side or not _applies_to(fault, number) or rng.random() >= fault.share:
                continue
            self.transcript.record_fault(number, side, fault.kind.value)
            match fault.kind:
                case FaultKind.DROP:
                    copies = 0
                case FaultKind.DUPLICATE:
                    copies += 1
                case FaultKind.DELAY:
                    delay += delay_seconds(fault, rng)
                case FaultKind.REORDER:
                    reorder = True
                case _:  # garble: the script's reader lets no other kind through for datagrams
                    garbled = data[fault.after : fault.after + fault.count]
                    data = data[: fault.after] + garble(garbled, rng) + data[fault.after + len(garbled) :]
        for _ in range(copies):
            self.transcript.record_bytes(number, side, data)
        return self._in_order(side, [DelayedDatagram(delay, data)] * copies, reorder=reorder)

    def _in_order(
        self, side: Side, outgoing: list[DelayedDatagram], *, reorder: bool
    ) -> list[DelayedDatagram]:
        """Keep a reordered datagram back if none is kept yet, else append the one that is."""
        if reorder and not self.reordered[side]:
            self.reordered[side] = outgoing
            return []
        outgoing, self.reordered[side] = outgoing + self.reordered[side], []
        return outgoing


def _applies_to(fault: Fault, number: int) -> bool:
    """Whether a datagram is one of those that the fault may happen to."""
    if number < fault.message:
        return False
    return not fault.max_count or number < fault.message + fault.max_count
