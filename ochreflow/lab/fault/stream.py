"""What happens to the bytes of one proxied connection: bytes in, actions out, no sockets and no clock.

Every fault happens at a byte of a message, never at a piece that the system happened to read. So the same
seed and the same traffic give the same actions, and `Transcript.digest` says whether they did.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from .chance import delay_seconds, fault_random, garble
from .framing import Framer, Place
from .script import Fault, FaultKind, Side
from .transcript import Transcript

US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class Forward:
    """Pass these bytes on to the receiver."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Wait:
    """Let so many seconds pass before the next action of this direction."""

    seconds: float


@dataclass(frozen=True, slots=True)
class HalfClose:
    """Tell the receiver that nothing more comes; the other direction stays open."""


@dataclass(frozen=True, slots=True)
class Close:
    """Close both connections, in order or by a reset."""

    reset: bool


Action = Forward | Wait | HalfClose | Close


@dataclass(frozen=True, slots=True, eq=False)
class _PendingFault:
    """A fault that this connection will meet, if its byte is reached."""

    fault: Fault
    rng: random.Random


@dataclass(slots=True)
class _Direction:
    """The state of one direction of a connection."""

    side: Side
    framer: Framer = field(default_factory=Framer)
    message: int = -1  # number of the current message
    place: Place = Place.START
    offsets: dict[Place, int] = field(default_factory=lambda: defaultdict(int))  # bytes, in this message
    bytes_per_second: int = 0  # 0: as fast as they come
    garble_remaining: int = 0  # bytes that are still to be garbled ...
    garble_rng: random.Random | None = None  # ... by this
    swallowing: bool = False
    half_closed: bool = False  # its receiver was told that nothing more comes
    actions: list[Action] = field(default_factory=list)  # to be handed out by `feed`

    @property
    def silent(self) -> bool:
        """Whether nothing more goes to the receiver."""
        return self.half_closed or self.swallowing

    def take_actions(self) -> list[Action]:
        """Hand out the actions since the last call."""
        actions, self.actions = self.actions, []
        return actions


class StreamMachine:
    """The faults of one connection. Its script may be replaced while it is open."""

    def __init__(self, seed: int, number: int, faults: Sequence[Fault], transcript: Transcript) -> None:
        """Take the connection's number, counted from 0; it decides which faults are drawn."""
        self.seed = seed
        self.number = number
        self.transcript = transcript
        self.directions = {side: _Direction(side) for side in Side}
        self.closed = False
        self.pending_faults: list[_PendingFault] = []
        self.set_faults(faults)

    def set_faults(self, faults: Sequence[Fault]) -> None:
        """Use another script from here on; what has begun, such as a rate, goes on."""
        self.pending_faults = []
        for index, fault in enumerate(faults):
            rng = fault_random(self.seed, self.number, index)
            if rng.random() < fault.share and (not fault.max_count or self.number < fault.max_count):
                self.pending_faults.append(_PendingFault(fault, rng))

    def feed(self, side: Side, data: bytes) -> list[Action]:
        """Bytes have come from this side: the actions towards the other one."""
        direction = self.directions[side]
        for piece in direction.framer.feed(data):
            if self.closed:
                break
            self._feed_piece(direction, piece.place, piece.data)
        return direction.take_actions()

    def eof(self, side: Side) -> list[Action]:
        """This side has ended its sending: the actions towards the other one."""
        direction = self.directions[side]
        if self.closed or direction.silent:
            return []
        direction.half_closed = True
        self.transcript.record_fault(self.number, side, "eof")
        return [HalfClose()]

    def _feed_piece(self, direction: _Direction, place: Place, data: bytes) -> None:
        if place is Place.START:
            direction.message += 1
            direction.offsets.clear()
        direction.place = place
        while not self.closed:
            pending = self._next_fault(direction, len(data))
            if pending is None:
                self._forward(direction, data)
                return
            prefix_bytes = max(pending.fault.after - direction.offsets[place], 0)
            self._forward(direction, data[:prefix_bytes])
            data = data[prefix_bytes:]
            self.pending_faults.remove(pending)
            self._apply(direction, pending)

    def _next_fault(self, direction: _Direction, size: int) -> _PendingFault | None:
        """The fault that is due first within the next `size` bytes; of two at one byte the script's first."""
        offset = direction.offsets[direction.place]
        due = [
            pending
            for pending in self.pending_faults
            if pending.fault.side is direction.side
            and pending.fault.message == direction.message
            and pending.fault.place is direction.place
            and (offset <= pending.fault.after < offset + size or pending.fault.after == offset)
        ]
        return min(due, key=lambda pending: pending.fault.after, default=None)

    def _forward(self, direction: _Direction, data: bytes) -> None:
        direction.offsets[direction.place] += len(data)
        if not data or direction.silent:
            return
        if direction.garble_remaining and direction.garble_rng is not None:
            garbled = data[: direction.garble_remaining]
            direction.garble_remaining -= len(garbled)
            data = garble(garbled, direction.garble_rng) + data[len(garbled) :]
        self.transcript.record_bytes(self.number, direction.side, data)
        if direction.bytes_per_second:
            direction.actions.append(Wait(len(data) / direction.bytes_per_second))
        last = direction.actions[-1] if direction.actions else None
        if isinstance(last, Forward):
            direction.actions[-1] = Forward(last.data + data)
        else:
            direction.actions.append(Forward(data))

    def _apply(self, direction: _Direction, pending: _PendingFault) -> None:
        """Let a fault happen at the current byte."""
        if direction.silent:
            return
        fault, rng = pending.fault, pending.rng
        self.transcript.record_fault(self.number, direction.side, fault.kind.value)
        match fault.kind:
            case FaultKind.DELAY:
                seconds = delay_seconds(fault, rng)
                self.transcript.record_fault(self.number, direction.side, f"{seconds * US_PER_S:.0f} us")
                direction.actions.append(Wait(seconds))
            case FaultKind.RATE:
                direction.bytes_per_second = fault.per_second
            case FaultKind.GARBLE:
                direction.garble_remaining, direction.garble_rng = fault.count, rng
            case FaultKind.BLACK_HOLE:
                direction.swallowing = True
            case FaultKind.HALF_CLOSE:
                direction.half_closed = True
                direction.actions.append(HalfClose())
            case _:  # a cut or a reset: the script's reader lets no other kind through for streams
                self.closed = True
                direction.actions.append(Close(reset=fault.kind is FaultKind.RESET))
