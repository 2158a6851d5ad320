"""What becomes of the bytes of one connection, or of datagrams: events in, actions out, no sockets, no clock.

Everything that is left to chance is drawn from the seed, the connection's number and the fault's place in the
script, and every fault happens at a byte of a message, never at a piece that the system happened to read.
So the same seed and the same traffic give the same run, and `Transcript.digest` says whether they did.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from .framing import Framer, Place
from .script import Fault, Side

HEAVY_SHAPE = 1.5  # of a heavy-tailed delay: its mean is twice its middle, and some are tens of times that


@dataclass(frozen=True, slots=True)
class Forward:
    """Pass these bytes on."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Wait:
    """Let so many seconds pass before what comes next on this side."""

    seconds: float


@dataclass(frozen=True, slots=True)
class HalfClose:
    """Tell the receiver that nothing more comes; the other direction stays open."""


@dataclass(frozen=True, slots=True)
class Close:
    """End both connections in order, or by a reset."""

    reset: bool


Action = Forward | Wait | HalfClose | Close


@dataclass(slots=True)
class Transcript:
    """What was done, in a form that does not depend on how the bytes were cut or on other connections."""

    forwarded_bytes: dict[tuple[int, Side], int] = field(default_factory=lambda: defaultdict(int))
    hashes: dict = field(default_factory=lambda: defaultdict(lambda: blake2b(digest_size=16)))
    faults: dict[tuple[int, Side], list[str]] = field(default_factory=lambda: defaultdict(list))

    def record_bytes(self, number: int, side: Side, data: bytes) -> None:
        self.forwarded_bytes[number, side] += len(data)
        self.hashes[number, side].update(data)

    def record_fault(self, number: int, side: Side, what: str) -> None:
        self.faults[number, side].append(f"{self.forwarded_bytes[number, side]} {what}")

    def lines(self) -> list[str]:
        """One line for each direction of each connection, in their order."""
        keys = sorted({*self.forwarded_bytes, *self.faults}, key=lambda key: (key[0], key[1].value))
        return [
            f"{number} {side.value} {self.forwarded_bytes[number, side]} "
            f"{self.hashes[number, side].hexdigest()} "
            + "; ".join(self.faults.get((number, side), []))
            for number, side in keys
        ]

    def digest(self) -> str:
        return blake2b("\n".join(self.lines()).encode(), digest_size=16).hexdigest()


def fault_random(seed: int, number: int, place: int) -> random.Random:
    """The chances of one fault on one connection or datagram."""
    return random.Random(f"{seed}/{number}/{place}")


def delay_seconds(fault: Fault, rng: random.Random) -> float:
    """Seconds of a delay."""
    if fault.spread == "uniform":
        return rng.uniform(0.0, fault.ms) / 1000
    if fault.spread == "heavy":
        return fault.ms * (rng.paretovariate(HEAVY_SHAPE) - 1.0) / 1000
    return fault.ms / 1000


def garble(data: bytes, rng: random.Random) -> bytes:
    """Other bytes in the place of these; digits stay digits: a length stays one, but a wrong one."""
    return bytes(
        rng.choice([digit for digit in b"0123456789" if digit != byte])
        if byte in b"0123456789"
        else byte ^ rng.randrange(1, 256)
        for byte in data
    )


@dataclass(slots=True)
class _DirectionState:
    """One side of a connection: where its bytes stand."""

    framer: Framer = field(default_factory=Framer)
    message: int = -1
    place: Place = Place.START
    offsets: dict[Place, int] = field(default_factory=lambda: defaultdict(int))  # bytes, in this message
    rate: int = 0  # bytes a second; 0: as fast as they come
    garble_remaining: int = 0  # bytes that are still to be garbled ...
    garble_rng: random.Random | None = None  # ... by this
    swallowing: bool = False
    ended: bool = False  # its receiver was told so


class StreamMachine:
    """One connection through the tool. Faults may be set anew while it is open."""

    def __init__(self, seed: int, number: int, faults: Sequence[Fault], transcript: Transcript) -> None:
        self.seed = seed
        self.number = number
        self.transcript = transcript
        self.sides = {side: _DirectionState() for side in Side}
        self.closed = False
        self.pending_faults: list[tuple[Fault, random.Random]] = []
        self.set_faults(faults)

    def set_faults(self, faults: Sequence[Fault]) -> None:
        """Take other faults from here on; what has begun, such as a rate, goes on."""
        self.pending_faults = []
        for place, fault in enumerate(faults):
            rng = fault_random(self.seed, self.number, place)
            if rng.random() < fault.share and (not fault.most or self.number < fault.most):
                self.pending_faults.append((fault, rng))

    def feed(self, side: Side, data: bytes) -> list[Action]:
        """Bytes have come from this side: what to do on the way to the other."""
        direction = self.sides[side]
        actions: list[Action] = []
        for place, part in direction.framer.feed(data):
            if self.closed:
                break
            self._feed_piece(side, direction, place, part, actions)
        return actions

    def eof(self, side: Side) -> list[Action]:
        """This side says that nothing more comes."""
        direction = self.sides[side]
        if self.closed or direction.ended or direction.swallowing:
            return []
        direction.ended = True
        self.transcript.record_fault(self.number, side, "eof")
        return [HalfClose()]

    def _feed_piece(
        self, side: Side, direction: _DirectionState, place: Place, part: bytes, actions: list[Action]
    ) -> None:
        if place is Place.START:
            direction.message += 1
            direction.offsets.clear()
        direction.place = place
        while not self.closed:
            due = self._next_fault(side, direction, len(part))
            if due is None:
                self._forward(side, direction, part, actions)
                return
            fault, rng = due
            prefix_bytes = max(fault.after - direction.offsets[place], 0)
            self._forward(side, direction, part[:prefix_bytes], actions)
            part = part[prefix_bytes:]
            self.pending_faults.remove(due)
            self._apply(side, direction, fault, rng, actions)

    def _next_fault(
        self, side: Side, direction: _DirectionState, size: int
    ) -> tuple[Fault, random.Random] | None:
        """The fault that falls due first within the next so many bytes."""
        offsets = direction.offsets[direction.place]
        due = [
            (fault.after, number)
            for number, (fault, _) in enumerate(self.pending_faults)
            if fault.side is side
            and fault.message == direction.message
            and fault.place is direction.place
            and (offsets <= fault.after < offsets + size or fault.after == offsets)
        ]
        return self.pending_faults[min(due)[1]] if due else None

    def _forward(self, side: Side, direction: _DirectionState, part: bytes, actions: list[Action]) -> None:
        direction.offsets[direction.place] += len(part)
        if not part or direction.swallowing or direction.ended:
            return
        if direction.garble_remaining and direction.garble_rng is not None:
            struck = part[: direction.garble_remaining]
            direction.garble_remaining -= len(struck)
            part = garble(struck, direction.garble_rng) + part[len(struck) :]
        self.transcript.record_bytes(self.number, side, part)
        if direction.rate:
            actions.append(Wait(len(part) / direction.rate))
        if actions and isinstance(actions[-1], Forward):
            actions[-1] = Forward(actions[-1].data + part)
        else:
            actions.append(Forward(part))

    def _apply(
        self, side: Side, direction: _DirectionState, fault: Fault, rng: random.Random, actions: list[Action]
    ) -> None:
        if direction.ended or direction.swallowing:
            return
        self.transcript.record_fault(self.number, side, fault.do)
        if fault.do == "delay":
            seconds = delay_seconds(fault, rng)
            self.transcript.record_fault(self.number, side, f"{seconds * 1e6:.0f} us")
            actions.append(Wait(seconds))
        elif fault.do == "rate":
            direction.rate = fault.per_second
        elif fault.do == "garble":
            direction.garble_remaining, direction.garble_rng = fault.count, rng
        elif fault.do == "black_hole":
            direction.swallowing = True
        elif fault.do == "half_close":
            direction.ended = True
            actions.append(HalfClose())
        else:
            self.closed = True
            actions.append(Close(reset=fault.do == "reset"))


class DatagramMachine:
    """What becomes of datagrams, each by its number on its side."""

    def __init__(self, seed: int, faults: Sequence[Fault], transcript: Transcript) -> None:
        self.seed = seed
        self.transcript = transcript
        self.counts = dict.fromkeys(Side, 0)
        self.buffered: dict[Side, list[tuple[float, bytes]]] = {side: [] for side in Side}
        self.set_faults(faults)

    def set_faults(self, faults: Sequence[Fault]) -> None:
        self.faults = list(faults)

    def feed(self, side: Side, data: bytes) -> list[tuple[float, bytes]]:
        """A datagram has come: what goes on, each after so many seconds.

        A reordered one waits for the next.
        """
        number = self.counts[side]
        self.counts[side] += 1
        copies, delay_s, reorders = 1, 0.0, False
        for place, fault in enumerate(self.faults):
            rng = fault_random(self.seed, number, place)
            exempt = number < fault.message or bool(fault.most and number >= fault.message + fault.most)
            if fault.side is not side or exempt or rng.random() >= fault.share:
                continue
            self.transcript.record_fault(number, side, fault.do)
            if fault.do == "drop":
                copies = 0
            elif fault.do == "duplicate":
                copies += 1
            elif fault.do == "delay":
                delay_s += delay_seconds(fault, rng)
            elif fault.do == "reorder":
                reorders = True
            else:
                struck = data[fault.after : fault.after + fault.count]
                data = data[: fault.after] + garble(struck, rng) + data[fault.after + len(struck) :]
        outgoing = [(delay_s, data)] * copies
        for _ in range(copies):
            self.transcript.record_bytes(number, side, data)
        if reorders and not self.buffered[side]:
            self.buffered[side] = outgoing
            return []
        outgoing, self.buffered[side] = outgoing + self.buffered[side], []
        return outgoing
