"""Faults of one proxied connection: turns bytes into actions, without sockets and without a clock.

The position of every fault is a byte of a message, regardless of how reads split the stream. So the same
seed and the same traffic give the same actions, which `Transcript.digest` verifies.
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
    """Forward these bytes to the receiver."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait for `seconds` before the next action of this direction."""

    seconds: float


@dataclass(frozen=True, slots=True)
class HalfClose:
    """End the stream to the receiver; the other direction stays open."""


@dataclass(frozen=True, slots=True)
class Close:
    """Close both connections, normally or with a reset."""

    reset: bool


Action = Forward | Wait | HalfClose | Close


@dataclass(frozen=True, slots=True, eq=False)
class _PendingFault:
    """A fault of this connection that occurs once its byte is reached."""

    fault: Fault
    rng: random.Random


@dataclass(slots=True)
class _Direction:
    """The state of one direction of a connection."""

    side: Side
    framer: Framer = field(default_factory=Framer)
    message: int = -1  # number of the current message
    place: Place = Place.START
    # Bytes of each place seen so far in the current message.
    offsets: dict[Place, int] = field(default_factory=lambda: defaultdict(int))
    bytes_per_second: int = 0  # 0: unlimited
    garble_remaining: int = 0  # bytes still to be garbled
    garble_rng: random.Random | None = None  # draws the replacement bytes
    swallowing: bool = False  # a black hole is in effect
    half_closed: bool = False  # the stream to its receiver has ended
    actions: list[Action] = field(default_factory=list)  # actions not yet returned by `feed`

    @property
    def output_stopped(self) -> bool:
        """Whether nothing more is forwarded to the receiver."""
        return self.half_closed or self.swallowing

    def take_actions(self) -> list[Action]:
        """Return and clear the actions collected since the last call."""
        actions, self.actions = self.actions, []
        return actions


class StreamMachine:
    """Applies the script's faults to one connection; the script can be replaced while it is open."""

    def __init__(self, seed: int, number: int, faults: Sequence[Fault], transcript: Transcript) -> None:
        """Draw the faults for the connection's number, counted from 0."""
        self.seed = seed
        self.number = number
        self.transcript = transcript
        self.directions = {side: _Direction(side) for side in Side}
        self.closed = False
        self.pending_faults: list[_PendingFault] = []
        self.set_faults(faults)

    def set_faults(self, faults: Sequence[Fault]) -> None:
        """Use another script from now on; faults already in effect, such as a rate, continue."""
        self.pending_faults = []
        for index, fault in enumerate(faults):
            rng = fault_random(self.seed, self.number, index)
            if rng.random() < fault.share and (not fault.max_count or self.number < fault.max_count):
                self.pending_faults.append(_PendingFault(fault, rng))

    def feed(self, side: Side, data: bytes) -> list[Action]:
        """Return the actions towards the other side for bytes received from `side`."""
        direction = self.directions[side]
        for piece in direction.framer.feed(data):
            if self.closed:
                break
            self._feed_piece(direction, piece.place, piece.data)
        return direction.take_actions()

    def eof(self, side: Side) -> list[Action]:
        """Return the actions towards the other side after `side` has ended its stream."""
        direction = self.directions[side]
        if self.closed or direction.output_stopped:
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
        """Return the first fault within the next `size` bytes; at the same byte, the first in the script."""
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
        if not data or direction.output_stopped:
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
        """Apply a fault at the current byte."""
        if direction.output_stopped:
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
            case _:  # a cut or a reset: `read_faults` accepts no other kind for streams
                self.closed = True
                direction.actions.append(Close(reset=fault.kind is FaultKind.RESET))
