"""Faults of datagrams, decided by a datagram's number in its direction; uses no sockets and no clock."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .chance import delay_seconds, fault_random, garble
from .script import Fault, FaultKind, Side
from .transcript import Transcript


class DelayedDatagram(NamedTuple):
    """A datagram and the delay, in seconds, after which it is forwarded."""

    seconds: float
    data: bytes


class DatagramMachine:
    """Applies the script's faults to all datagrams of one proxy."""

    def __init__(self, seed: int, faults: Sequence[Fault], transcript: Transcript) -> None:
        """Start with a script, which `set_faults` can replace."""
        self.seed = seed
        self.transcript = transcript
        self.counts = dict.fromkeys(Side, 0)
        self.held_datagrams: dict[Side, list[DelayedDatagram]] = {side: [] for side in Side}
        self.set_faults(faults)

    def set_faults(self, faults: Sequence[Fault]) -> None:
        """Use another script for the datagrams that arrive from now on."""
        self.faults = list(faults)

    def feed(self, side: Side, data: bytes) -> list[DelayedDatagram]:
        """Return the datagrams to forward when one arrives. A reordered datagram waits for the next one."""
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
                case _:  # garble: `read_faults` accepts no other kind for datagrams
                    garbled = data[fault.after : fault.after + fault.count]
                    data = data[: fault.after] + garble(garbled, rng) + data[fault.after + len(garbled) :]
        for _ in range(copies):
            self.transcript.record_bytes(number, side, data)
        return self._apply_reordering(side, [DelayedDatagram(delay, data)] * copies, reorder=reorder)

    def _apply_reordering(
        self, side: Side, outgoing: list[DelayedDatagram], *, reorder: bool
    ) -> list[DelayedDatagram]:
        """Hold back a reordered datagram unless one is held already; else append the held one."""
        if reorder and not self.held_datagrams[side]:
            self.held_datagrams[side] = outgoing
            return []
        outgoing, self.held_datagrams[side] = outgoing + self.held_datagrams[side], []
        return outgoing


def _applies_to(fault: Fault, number: int) -> bool:
    """Return whether the fault may occur on the datagram with this number."""
    if number < fault.message:
        return False
    return not fault.max_count or number < fault.message + fault.max_count
