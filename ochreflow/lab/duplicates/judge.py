"""Judges rule `duplicate` of the protocol on the events of one request.

A copy that a server rejected as never run is ignored from the time of that response on. Any other copy may
have run. The judge depends on no sidecar, socket or clock.
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

SLACK_S = 0.05  # added to each time limit of the protocol, since the search runs on sockets
PROPAGATION_TIMEOUT_S = 2.0  # time after which every sidecar knows that a server has moved to another group
REJECTION_CODES = (429, 503)  # responses that tell the client that it may retry


class ViolationKind(Enum):
    """The way in which a request broke the rule."""

    SECOND_COPY = "a second whole copy"
    OUTSIDE_GROUP = "a copy outside the group of an earlier one"
    OUTSIDE_WINDOW = "a copy outside the window of an earlier one"
    CONCURRENT_COPY = "a second copy while an earlier one was out"
    REJECTED = "a refusal though a copy may have run"
    SILENT_CLOSE = "a close without an answer though a copy may have run"


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of the rule by one request."""

    at: float
    kind: ViolationKind
    text: str


@dataclass(frozen=True, slots=True)
class Placement:
    """The zone and cell of a server from a time on, which determine the retries that it drops."""

    since: float
    zone: int
    cell: int


PlacementLookup = Callable[[int, float, float], Sequence[Placement]]
"""Returns the placements of a server, by its number, between two times."""


def find_violations(
    request_class: RequestClass, events: Sequence[Event], placements: PlacementLookup, *, hedging: bool
) -> list[Violation]:
    """Return all violations of the rule in the events of one request, in order of time."""
    events = sorted(events, key=lambda event: event.at)
    copies = sorted(
        (event for event in events if isinstance(event, CopyReceived)), key=lambda copy: copy.began_at
    )
    rejected_at = {event.attempt: event.at for event in events if isinstance(event, AttemptRejected)}
    violations = []
    for number, later in enumerate(copies):
        earlier = [copy for copy in copies[:number] if rejected_at.get(copy.attempt, later.at) >= later.at]
        violations += _retry_violations(request_class, earlier, later, placements)
    if not hedging:
        violations += _concurrent_copies(copies, events)
    if not request_class.rejectable:
        violations += _unsafe_retry_invitations(copies, rejected_at, events)
    return sorted(violations, key=lambda violation: violation.at)


def _retry_violations(
    request_class: RequestClass, earlier: list[CopyReceived], later: CopyReceived, placements: PlacementLookup
) -> list[Violation]:
    """Return the violations of a copy that followed earlier ones that may have run or may still run."""
    if not earlier or request_class.effect is Effect.IDEMPOTENT:
        return []
    at = max(later.at, earlier[0].at)
    if request_class.effect is Effect.NON_IDEMPOTENT:
        text = f"copy {later.attempt} beside copy {earlier[0].attempt}, which may have run"
        return [Violation(at, ViolationKind.SECOND_COPY, text)]
    violations = [
        Violation(
            at,
            ViolationKind.OUTSIDE_GROUP,
            f"copy {later.attempt} is in another {request_class.scope.value} than {copy.attempt}",
        )
        for copy in earlier
        if not _same_group(request_class.scope, copy, later, placements)
    ]
    excess = later.not_before - earlier[0].began_at - request_class.window
    if excess > SLACK_S:
        text = f"copy {later.attempt} came {excess:.3f} s after the window's end"
        violations.append(Violation(at, ViolationKind.OUTSIDE_WINDOW, text))
    return violations


def _same_group(scope: Scope, first: CopyReceived, second: CopyReceived, placements: PlacementLookup) -> bool:
    """Return whether both servers were in one group, each at the time of its own copy.

    A retry is dropped by the servers of the group in which the earlier copy was accepted, so a later move of
    its server changes nothing. For a server that moves around the time of its copy, either group counts.
    """
    if scope is Scope.ALL:
        return True

    def groups(copy: CopyReceived) -> set[int]:
        sent_after = min(copy.began_at, copy.not_before) - PROPAGATION_TIMEOUT_S
        around_copy = placements(copy.server, sent_after, copy.at)
        return {placement.cell if scope is Scope.CELL else placement.zone for placement in around_copy}

    return bool(groups(first) & groups(second))


def _concurrent_copies(copies: list[CopyReceived], events: Sequence[Event]) -> list[Violation]:
    ended: dict[int, float] = {}
    for event in events:
        if isinstance(event, AttemptEnded):
            ended.setdefault(event.attempt, event.at)
    violations = []
    for number, later in enumerate(copies):
        if ended.get(later.attempt, later.at) < later.at:
            continue  # the server ended the attempt before it was complete
        for copy in copies[:number]:
            # A server sees a close only after it has accepted the connection and read all earlier bytes.
            was_monitored = copy.at <= later.not_before
            if was_monitored and ended.get(copy.attempt, later.at + 1.0) > later.at + SLACK_S:
                text = f"copy {later.attempt} while copy {copy.attempt} was out"
                violations.append(Violation(later.at, ViolationKind.CONCURRENT_COPY, text))
    return violations


def _unsafe_retry_invitations(
    copies: list[CopyReceived], rejected_at: dict[int, float], events: Sequence[Event]
) -> list[Violation]:
    """Return the rejections and closes that invite a retry although a copy may have run or may still run."""
    violations = []
    for event in events:
        if isinstance(event, ClientDisconnected):
            break
        resent_at = _resent_at(events, event.at)
        unrejected = [
            copy
            for copy in copies
            if copy.began_at <= resent_at and rejected_at.get(copy.attempt, event.at + 1.0) > event.at
        ]
        if not unrejected:
            continue
        if isinstance(event, ResponseReceived) and event.code in REJECTION_CODES:
            text = f"{event.code} though copy {unrejected[0].attempt} may have run"
            violations.append(Violation(event.at, ViolationKind.REJECTED, text))
        elif isinstance(event, ConnectionClosed) and not event.response_begun and not event.killed:
            text = f"closed with no answer though copy {unrejected[0].attempt} may have run"
            violations.append(Violation(event.at, ViolationKind.SILENT_CLOSE, text))
    return violations


def _resent_at(events: Sequence[Event], after: float) -> float:
    """Return when the client resent the request, as after a close that crossed it; infinity if never."""
    return min(
        (event.at for event in events if isinstance(event, RequestSent) and event.at > after),
        default=math.inf,
    )
