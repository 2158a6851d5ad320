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

    passed: dict[tuple[int, Side], int] = field(default_factory=lambda: defaultdict(int))
    hashes: dict = field(default_factory=lambda: defaultdict(lambda: blake2b(digest_size=16)))
    faults: dict[tuple[int, Side], list[str]] = field(default_factory=lambda: defaultdict(list))

    def forward(self, number: int, side: Side, data: bytes) -> None:
        self.passed[number, side] += len(data)
        self.hashes[number, side].update(data)

    def note(self, number: int, side: Side, what: str) -> None:
        self.faults[number, side].append(f"{self.passed[number, side]} {what}")

    def lines(self) -> list[str]:
        """One line for each direction of each connection, in their order."""
        keys = sorted({*self.passed, *self.faults}, key=lambda key: (key[0], key[1].value))
        return [
            f"{number} {side.value} {self.passed[number, side]} {self.hashes[number, side].hexdigest()} "
            + "; ".join(self.faults.get((number, side), []))
            for number, side in keys
        ]

    def digest(self) -> str:
        return blake2b("\n".join(self.lines()).encode(), digest_size=16).hexdigest()


def drawn(seed: int, number: int, place: int) -> random.Random:
    """The chances of one fault on one connection or datagram."""
    return random.Random(f"{seed}/{number}/{place}")


def delay(fault: Fault, chance: random.Random) -> float:
    """Seconds of a delay."""
    if fault.spread == "uniform":
        return chance.uniform(0.0, fault.ms) / 1000
    if fault.spread == "heavy":
        return fault.ms * (chance.paretovariate(HEAVY_SHAPE) - 1.0) / 1000
    return fault.ms / 1000


def garbled(data: bytes, chance: random.Random) -> bytes:
    """Other bytes in the place of these; digits stay digits: a length stays one, but a wrong one."""
    return bytes(
        chance.choice([digit for digit in b"0123456789" if digit != byte])
        if byte in b"0123456789"
        else byte ^ chance.randrange(1, 256)
        for byte in data
    )


@dataclass(slots=True)
class _Direction:
    """One side of a connection: where its bytes stand."""

    framer: Framer = field(default_factory=Framer)
    message: int = -1
    place: Place = Place.START
    into: dict[Place, int] = field(default_factory=lambda: defaultdict(int))  # bytes, in this message
    rate: int = 0  # bytes a second; 0: as fast as they come
    garble: int = 0  # bytes that are still to be garbled ...
    chance: random.Random | None = None  # ... by this
    swallowing: bool = False
    ended: bool = False  # its receiver was told so


class Wire:
    """One connection through the tool. Faults may be set anew while it is open."""

    def __init__(self, seed: int, number: int, faults: Sequence[Fault], transcript: Transcript) -> None:
        self.seed = seed
        self.number = number
        self.transcript = transcript
        self.sides = {side: _Direction() for side in Side}
        self.over = False
        self.armed: list[tuple[Fault, random.Random]] = []
        self.arm(faults)

    def arm(self, faults: Sequence[Fault]) -> None:
        """Take other faults from here on; what has begun, such as a rate, goes on."""
        self.armed = []
        for place, fault in enumerate(faults):
            chance = drawn(self.seed, self.number, place)
            if chance.random() < fault.share and (not fault.most or self.number < fault.most):
                self.armed.append((fault, chance))

    def feed(self, side: Side, data: bytes) -> list[Action]:
        """Bytes have come from this side: what to do on the way to the other."""
        direction = self.sides[side]
        actions: list[Action] = []
        for place, part in direction.framer.feed(data):
            if self.over:
                break
            self._piece(side, direction, place, part, actions)
        return actions

    def eof(self, side: Side) -> list[Action]:
        """This side says that nothing more comes."""
        direction = self.sides[side]
        if self.over or direction.ended or direction.swallowing:
            return []
        direction.ended = True
        self.transcript.note(self.number, side, "eof")
        return [HalfClose()]

    def _piece(
        self, side: Side, direction: _Direction, place: Place, part: bytes, actions: list[Action]
    ) -> None:
        if place is Place.START:
            direction.message += 1
            direction.into.clear()
        direction.place = place
        while not self.over:
            due = self._next_fault(side, direction, len(part))
            if due is None:
                self._pass(side, direction, part, actions)
                return
            fault, chance = due
            before = max(fault.after - direction.into[place], 0)
            self._pass(side, direction, part[:before], actions)
            part = part[before:]
            self.armed.remove(due)
            self._strike(side, direction, fault, chance, actions)

    def _next_fault(self, side: Side, direction: _Direction, size: int) -> tuple[Fault, random.Random] | None:
        """The fault that falls due first within the next so many bytes."""
        into = direction.into[direction.place]
        due = [
            (fault.after, number)
            for number, (fault, _) in enumerate(self.armed)
            if fault.side is side
            and fault.message == direction.message
            and fault.place is direction.place
            and (into <= fault.after < into + size or fault.after == into)
        ]
        return self.armed[min(due)[1]] if due else None

    def _pass(self, side: Side, direction: _Direction, part: bytes, actions: list[Action]) -> None:
        direction.into[direction.place] += len(part)
        if not part or direction.swallowing or direction.ended:
            return
        if direction.garble and direction.chance is not None:
            hit = part[: direction.garble]
            direction.garble -= len(hit)
            part = garbled(hit, direction.chance) + part[len(hit) :]
        self.transcript.forward(self.number, side, part)
        if direction.rate:
            actions.append(Wait(len(part) / direction.rate))
        if actions and isinstance(actions[-1], Forward):
            actions[-1] = Forward(actions[-1].data + part)
        else:
            actions.append(Forward(part))

    def _strike(
        self, side: Side, direction: _Direction, fault: Fault, chance: random.Random, actions: list[Action]
    ) -> None:
        if direction.ended or direction.swallowing:
            return
        self.transcript.note(self.number, side, fault.do)
        if fault.do == "delay":
            seconds = delay(fault, chance)
            self.transcript.note(self.number, side, f"{seconds * 1e6:.0f} us")
            actions.append(Wait(seconds))
        elif fault.do == "rate":
            direction.rate = fault.per_second
        elif fault.do == "garble":
            direction.garble, direction.chance = fault.count, chance
        elif fault.do == "black_hole":
            direction.swallowing = True
        elif fault.do == "half_close":
            direction.ended = True
            actions.append(HalfClose())
        else:
            self.over = True
            actions.append(Close(reset=fault.do == "reset"))


class Datagrams:
    """What becomes of datagrams, each by its number on its side."""

    def __init__(self, seed: int, faults: Sequence[Fault], transcript: Transcript) -> None:
        self.seed = seed
        self.transcript = transcript
        self.counts = dict.fromkeys(Side, 0)
        self.held: dict[Side, list[tuple[float, bytes]]] = {side: [] for side in Side}
        self.arm(faults)

    def arm(self, faults: Sequence[Fault]) -> None:
        self.faults = list(faults)

    def feed(self, side: Side, data: bytes) -> list[tuple[float, bytes]]:
        """A datagram has come: what goes on, each after so many seconds.

        A reordered one waits for the next.
        """
        number = self.counts[side]
        self.counts[side] += 1
        copies, wait, hold = 1, 0.0, False
        for place, fault in enumerate(self.faults):
            chance = drawn(self.seed, number, place)
            spared = number < fault.message or bool(fault.most and number >= fault.message + fault.most)
            if fault.side is not side or spared or chance.random() >= fault.share:
                continue
            self.transcript.note(number, side, fault.do)
            if fault.do == "drop":
                copies = 0
            elif fault.do == "duplicate":
                copies += 1
            elif fault.do == "delay":
                wait += delay(fault, chance)
            elif fault.do == "reorder":
                hold = True
            else:
                hit = data[fault.after : fault.after + fault.count]
                data = data[: fault.after] + garbled(hit, chance) + data[fault.after + len(hit) :]
        out = [(wait, data)] * copies
        for _ in range(copies):
            self.transcript.forward(number, side, data)
        if hold and not self.held[side]:
            self.held[side] = out
            return []
        out, self.held[side] = out + self.held[side], []
        return out
