"""Rule `duplicate` of the protocol, judged on the events of one request.

A copy that a server rejected as never run counts for nothing from the moment of that answer on. Any other
copy may have run. The judge knows no sidecar, no socket and no clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from .classes import Effect, RequestClass, Scope
from .events import (
    AttemptEnded,
    AttemptRejected,
    ClientDisconnected,
    ConnectionClosed,
    CopyReceived,
    Event,
    RequestSent,
    ResponseReceived,
)

SLACK_S = 0.05  # by which each time limit of the protocol grows on sockets
PROPAGATION_TIMEOUT_S = 2.0  # after which a sidecar knows that a server belongs to another group
REJECTION_CODES = (429, 503)  # answers that tell the client that trying again is harmless


class ViolationKind(Enum):
    """How the rule was broken."""

    SECOND_COPY = "a second whole copy"
    OUTSIDE_GROUP = "a copy outside the group of an earlier one"
    OUTSIDE_WINDOW = "a copy outside the window of an earlier one"
    CONCURRENT_COPY = "a second copy while an earlier one was out"
    REJECTED = "a refusal though a copy may have run"
    SILENT_CLOSE = "a close without an answer though a copy may have run"


@dataclass(frozen=True, slots=True)
class Violation:
    """One break of the rule by one request."""

    at: float
    kind: ViolationKind
    text: str


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a server stands for a while: what decides which retries it drops."""

    since: float
    zone: int
    cell: int


PlacementLookup = Callable[[int, float, float], Sequence[Placement]]
"""The places in which a server stood between two times, by the server's number."""


def find_violations(
    cls: RequestClass, events: Sequence[Event], placements: PlacementLookup, *, hedging: bool
) -> list[Violation]:
    """All breaks of the rule in the events of one request."""
    events = sorted(events, key=lambda event: event.at)
    copies = sorted(
        (event for event in events if isinstance(event, CopyReceived)), key=lambda copy: copy.began
    )
    rejected_at = {event.attempt: event.at for event in events if isinstance(event, AttemptRejected)}
    found = []
    for number, later in enumerate(copies):
        earlier = [copy for copy in copies[:number] if rejected_at.get(copy.attempt, later.at) >= later.at]
        found += _retry_violations(cls, earlier, later, placements)
    if not hedging:
        found += _concurrent_copies(copies, events)
    if not cls.rejectable:
        found += _harmful_invitations(copies, rejected_at, events)
    return sorted(found, key=lambda one: one.at)


def _retry_violations(
    cls: RequestClass, earlier: list[CopyReceived], later: CopyReceived, placements: PlacementLookup
) -> list[Violation]:
    """Whether a copy could begin after those that may have run, or may yet when their last byte comes."""
    if not earlier or cls.effect is Effect.IDEMPOTENT:
        return []
    at = max(later.at, earlier[0].at)
    if cls.effect is Effect.NON_IDEMPOTENT:
        text = f"copy {later.attempt} beside copy {earlier[0].attempt}, which may have run"
        return [Violation(at, ViolationKind.SECOND_COPY, text)]
    found = [
        Violation(
            at,
            ViolationKind.OUTSIDE_GROUP,
            f"copy {later.attempt} is in another {cls.scope.value} than {copy.attempt}",
        )
        for copy in earlier
        if not _same_group(cls.scope, copy, later, placements)
    ]
    past = later.not_before - earlier[0].began - cls.window
    if past > SLACK_S:
        text = f"copy {later.attempt} came {past:.3f} s after the window's end"
        found.append(Violation(at, ViolationKind.OUTSIDE_WINDOW, text))
    return found


def _same_group(scope: Scope, one: CopyReceived, other: CopyReceived, placements: PlacementLookup) -> bool:
    """Whether both servers were in one group, each as it stood around its own copy.

    The servers that drop a retry are those of the group in which the earlier copy was accepted: a later move
    of its server changes nothing. Of one that moves around its copy either group will do.
    """
    if scope is Scope.ALL:
        return True

    def groups(copy: CopyReceived) -> set[int]:
        sent_after = min(copy.began, copy.not_before) - PROPAGATION_TIMEOUT_S
        stood = placements(copy.server, sent_after, copy.at)
        return {place.cell if scope is Scope.CELL else place.zone for place in stood}

    return bool(groups(one) & groups(other))


def _concurrent_copies(copies: list[CopyReceived], events: Sequence[Event]) -> list[Violation]:
    ended: dict[int, float] = {}
    for event in events:
        if isinstance(event, AttemptEnded):
            ended.setdefault(event.attempt, event.at)
    found = []
    for number, later in enumerate(copies):
        if ended.get(later.attempt, later.at) < later.at:
            continue  # its server had done with it before it was complete
        for copy in copies[:number]:
            # A server sees the end of a connection only once it has accepted it and read all before it.
            watched = copy.at <= later.not_before
            if watched and ended.get(copy.attempt, later.at + 1.0) > later.at + SLACK_S:
                text = f"copy {later.attempt} while copy {copy.attempt} was out"
                found.append(Violation(later.at, ViolationKind.CONCURRENT_COPY, text))
    return found


def _harmful_invitations(
    copies: list[CopyReceived], rejected_at: dict[int, float], events: Sequence[Event]
) -> list[Violation]:
    """Final answers and closes that invite the client to try again what may have run, or may run yet."""
    found = []
    for event in events:
        if isinstance(event, ClientDisconnected):
            break
        resent_at = _resent_at(events, event.at)
        harmful = [
            copy
            for copy in copies
            if copy.began <= resent_at and rejected_at.get(copy.attempt, event.at + 1.0) > event.at
        ]
        if not harmful:
            continue
        if isinstance(event, ResponseReceived) and event.code in REJECTION_CODES:
            text = f"{event.code} though copy {harmful[0].attempt} may have run"
            found.append(Violation(event.at, ViolationKind.REJECTED, text))
        elif isinstance(event, ConnectionClosed) and not event.answer_begun and not event.killed:
            text = f"closed with no answer though copy {harmful[0].attempt} may have run"
            found.append(Violation(event.at, ViolationKind.SILENT_CLOSE, text))
    return found


def _resent_at(events: Sequence[Event], after: float) -> float:
    """When the client began to send the request once more, as it may where a close crossed it."""
    return min(
        (event.at for event in events if isinstance(event, RequestSent) and event.at > after),
        default=math.inf,
    )
