"""Rule `duplicate` of the protocol, judged on the events of one request.

A copy that a server turned away as never run counts for nothing from the moment of that answer on. Any other
copy may have run. The judge knows no sidecar, no socket and no clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from .classes import Effect, RequestClass, Scope
from .events import Answered, AttemptEnded, Closed, Copy, Event, Left, NotRun, Written

SLACK = 0.05  # seconds by which each time limit of the protocol grows on sockets
TOLD_WITHIN = 2.0  # seconds after which a sidecar knows that a server belongs to another group
REFUSALS = (429, 503)  # answers that tell the client that trying again is harmless


class Kind(Enum):
    """How the rule was broken."""

    SECOND_COPY = "a second whole copy"
    OUTSIDE_GROUP = "a copy outside the group of an earlier one"
    OUTSIDE_WINDOW = "a copy outside the window of an earlier one"
    OVERLAP = "a second copy while an earlier one was out"
    REFUSED = "a refusal though a copy may have run"
    SILENT_CLOSE = "a close without an answer though a copy may have run"


@dataclass(frozen=True, slots=True)
class Break:
    """One break of the rule by one request."""

    at: float
    kind: Kind
    text: str


@dataclass(frozen=True, slots=True)
class Place:
    """Where a server stands for a while: what decides which of its repeats are dropped."""

    since: float
    zone: int
    cell: int


Places = Callable[[int, float, float], Sequence[Place]]
"""The places in which a server stood between two times, by the server's number."""


def judge(cls: RequestClass, events: Sequence[Event], places: Places, hedging: bool) -> list[Break]:
    """All breaks of the rule in the events of one request."""
    events = sorted(events, key=lambda event: event.at)
    copies = sorted((event for event in events if isinstance(event, Copy)), key=lambda copy: copy.began)
    turned_away = {event.attempt: event.at for event in events if isinstance(event, NotRun)}
    found = []
    for number, later in enumerate(copies):
        earlier = [copy for copy in copies[:number] if turned_away.get(copy.attempt, later.at) >= later.at]
        found += _repeat(cls, earlier, later, places)
    if not hedging:
        found += _overlaps(copies, events)
    if not cls.refusable:
        found += _invitations(copies, turned_away, events)
    return sorted(found, key=lambda one: one.at)


def _repeat(cls: RequestClass, earlier: list[Copy], later: Copy, places: Places) -> list[Break]:
    """Whether a copy could begin after those that may have run, or may yet when their last byte comes."""
    if not earlier or cls.effect is Effect.SAFE:
        return []
    at = max(later.at, earlier[0].at)
    if cls.effect is Effect.UNSAFE:
        text = f"copy {later.attempt} beside copy {earlier[0].attempt}, which may have run"
        return [Break(at, Kind.SECOND_COPY, text)]
    found = [
        Break(
            at,
            Kind.OUTSIDE_GROUP,
            f"copy {later.attempt} is in another {cls.scope.value} than {copy.attempt}",
        )
        for copy in earlier
        if not _same_group(cls.scope, copy, later, places)
    ]
    past = later.not_before - earlier[0].began - cls.window
    if past > SLACK:
        text = f"copy {later.attempt} came {past:.3f} s after the window's end"
        found.append(Break(at, Kind.OUTSIDE_WINDOW, text))
    return found


def _same_group(scope: Scope, one: Copy, other: Copy, places: Places) -> bool:
    """Whether both servers were in one group, each as it stood around its own copy.

    The servers that drop a repeat are those of the group in which the earlier copy was taken: a later move of
    its server changes nothing. Of one that moves around its copy either group will do.
    """
    if scope is Scope.ALL:
        return True

    def groups(copy: Copy) -> set[int]:
        sent_after = min(copy.began, copy.not_before) - TOLD_WITHIN
        stood = places(copy.server, sent_after, copy.at)
        return {place.cell if scope is Scope.CELL else place.zone for place in stood}

    return bool(groups(one) & groups(other))


def _overlaps(copies: list[Copy], events: Sequence[Event]) -> list[Break]:
    ended: dict[int, float] = {}
    for event in events:
        if isinstance(event, AttemptEnded):
            ended.setdefault(event.attempt, event.at)
    found = []
    for number, later in enumerate(copies):
        if ended.get(later.attempt, later.at) < later.at:
            continue  # its server had done with it before it was whole
        for copy in copies[:number]:
            # A server sees the end of a connection only once it has accepted it and read all before it.
            watched = copy.at <= later.not_before
            if watched and ended.get(copy.attempt, later.at + 1.0) > later.at + SLACK:
                text = f"copy {later.attempt} while copy {copy.attempt} was out"
                found.append(Break(later.at, Kind.OVERLAP, text))
    return found


def _invitations(copies: list[Copy], turned_away: dict[int, float], events: Sequence[Event]) -> list[Break]:
    """Final answers and closes that invite the client to try again what may have run, or may run yet."""
    found = []
    for event in events:
        if isinstance(event, Left):
            break
        again = _sent_again(events, event.at)
        harmful = [
            copy
            for copy in copies
            if copy.began <= again and turned_away.get(copy.attempt, event.at + 1.0) > event.at
        ]
        if not harmful:
            continue
        if isinstance(event, Answered) and event.code in REFUSALS:
            text = f"{event.code} though copy {harmful[0].attempt} may have run"
            found.append(Break(event.at, Kind.REFUSED, text))
        elif isinstance(event, Closed) and not event.answer_begun and not event.killed:
            text = f"closed with no answer though copy {harmful[0].attempt} may have run"
            found.append(Break(event.at, Kind.SILENT_CLOSE, text))
    return found


def _sent_again(events: Sequence[Event], after: float) -> float:
    """When the client began to send the request once more, as it may where a close crossed it."""
    return min(
        (event.at for event in events if isinstance(event, Written) and event.at > after), default=math.inf
    )
