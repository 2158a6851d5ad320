"""The clients' connections all together: their share of descriptors, and how long each may take."""

from __future__ import annotations

from itertools import takewhile
from time import monotonic
from typing import TYPE_CHECKING

from .limits import Descriptors

if TYPE_CHECKING:
    from .front import Front

HEAD_MOST = 2.6  # seconds from connecting, or from a message's first byte, until its head has come
BODY_RATE_LEAST = 32_000  # bytes of a body a second, looked at as seldom: clients may send 64 kB a second
IDLE_MOST = 2.0  # seconds that a connection is kept with no request open
FEW = 0.25  # of the clients' share: when more than that have sent nothing, it is no burst of the usual ones
STALE = 0.5  # seconds without a byte, with a message owed: slow clients write a piece more often
YOUNG = 0.02  # seconds in which a new connection's first request may well be on its way


class Clients:
    """Every connection is in `waited` while a message is owed, in `idle` when nothing is, or in neither.

    Those in `waited` are in `heard` too, by their latest byte. All are in the order of time, so that
    looking after them costs nothing for those that are in time.
    """

    def __init__(self, descriptors: Descriptors) -> None:
        self.descriptors = descriptors
        self.all: dict[Front, None] = {}
        self.waited: dict[Front, float] = {}
        self.heard: dict[Front, float] = {}
        self.idle: dict[Front, float] = {}

    def add(self, front: Front) -> None:
        """Take up a new connection; over the clients' share, one of them goes."""
        self.all[front] = None
        self.descriptors.held += 1
        self.descriptors.connected += 1
        self.waited[front] = self.heard[front] = monotonic()
        if len(self.all) > self.descriptors.clients:
            other = self._one_to_leave(front)
            self._forget(other)
            other.close()

    def remove(self, front: Front) -> None:
        self._forget(front)
        if front in self.all:
            del self.all[front]
            self.descriptors.held -= 1
            self.descriptors.connected -= 1

    def _forget(self, front: Front) -> None:
        for places in (self.waited, self.heard, self.idle):
            places.pop(front, None)

    def place(self, front: Front) -> None:
        """Note what a connection does now: after it was read, and after an answer."""
        self.idle.pop(front, None)
        if front not in self.all:
            return
        if front.begun:
            if front.head_ended:
                front.head_ended = False
                self.waited.pop(front, None)  # a body has a time of its own
            now = monotonic()
            self.waited.setdefault(front, now)
            self.heard.pop(front, None)
            self.heard[front] = now
        elif front.asked:
            self.waited.pop(front, None)
            self.heard.pop(front, None)
            if front.idle:
                self.idle[front] = monotonic()

    def _one_to_leave(self, new: Front) -> Front:
        """Guards the usual clients, slow ones too, against those that connect by hundreds and say nothing.

        First goes who owes a message and has long sent no byte of it; then, where many have sent nothing
        at all, one of these; then who was answered longest ago and can come again.
        """
        now = monotonic()
        owing = [front for front in self.heard if front.current is None]  # the new one at the latest
        if self.heard[owing[0]] <= now - STALE:
            return owing[0]
        mute = [front for front in owing if not front.size and not front.asked]
        if len(mute) > self.descriptors.clients * FEW:
            return mute[0]
        quiet = next((front for front in self.idle if front.quiet), None)
        if quiet is not None:
            return quiet
        return mute[0] if self.heard[mute[0]] <= now - YOUNG else owing[0]

    def sweep(self) -> None:
        """Guards descriptors and memory against clients that never end a message or never come back."""
        now = monotonic()
        for front in _since(self.waited, now - HEAD_MOST):
            came = front.came_since_look()
            # What is not being read may have come long ago.
            if front.paused or came is None or came >= BODY_RATE_LEAST * (now - self.waited[front]):
                del self.waited[front]
                self.waited[front] = now
            else:
                self._forget(front)
                front.expire()
        for front in _since(self.idle, now - IDLE_MOST):
            if front.quiet:
                front.close()

    def close_quiet(self) -> None:
        """Close every connection on which nothing is open, has begun or waits to be read.

        Not one that has never asked: its first request may be on its way, and its time is short anyway.
        """
        for front in list(self.all):
            if front.asked and front.quiet:
                front.close()


def _since(places: dict[Front, float], time: float) -> list[Front]:
    return [front for front, _ in takewhile(lambda place: place[1] <= time, places.items())]
