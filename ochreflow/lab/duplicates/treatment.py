"""The treatment of one attempt by a server, and how it is drawn."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from .fault_groups import FaultGroup


class Ending(Enum):
    """How a server ends an attempt."""

    SERVE = "200"
    FAIL = "500"
    REJECT = "503 with X-Not-Run: 1"
    UNAVAILABLE = "503 without X-Not-Run"
    REJECT_THEN_DENY = "503 with X-Not-Run: 1, then X-Not-Run: 0"
    DENY_THEN_REJECT = "503 with X-Not-Run: 0, then X-Not-Run: 1"
    REJECT_IN_INTERIM = "103 with X-Not-Run: 1, then 503 without"
    REJECT_IN_TRAILER = "503 with X-Not-Run: 1 in its trailer"
    REJECT_WITH_500 = "500 with X-Not-Run: 1"
    GARBAGE = "bytes that are no answer"
    TRUNCATED_HEAD = "half of a 503's head, then an end"
    RESET = "reset"
    HALF_CLOSE = "half-close"
    SILENT = "nothing"


@dataclass(frozen=True, slots=True)
class Treatment:
    """How a server treats one attempt. Times in seconds."""

    ending: Ending
    early: bool = False  # the attempt ends before its last byte has arrived, if its body is large enough
    read_share: float = 0.0  # share of the body that is read before an early ending
    delay: float = 0.0  # seconds before the ending
    freeze_for: float | None = None  # the sidecar is frozen at the ending and for this long after it
    drain_first: bool = False  # the system's buffers are emptied immediately before the ending
    resume_reading_after: float = 0.0  # seconds after the ending
    second_response_after: float | None = None  # seconds after the first response; None: no second response
    second_ending: Ending | None = None  # ending of the second response; None: the same as the first
    group_offset: int | None = None  # the server first moves, see `ServerStep.group_offset`


EARLY_ENDINGS = {  # weights, for requests that have arrived in part
    Ending.HALF_CLOSE: 4,
    Ending.RESET: 2,
    Ending.SERVE: 2,
    Ending.FAIL: 2,
    Ending.REJECT: 2,
    Ending.UNAVAILABLE: 2,
    Ending.REJECT_THEN_DENY: 1,
    Ending.DENY_THEN_REJECT: 1,
    Ending.GARBAGE: 4,
    Ending.TRUNCATED_HEAD: 2,
    Ending.SILENT: 1,
}
COMPLETE_ENDINGS = {  # weights, for requests that are complete
    Ending.SERVE: 60,
    Ending.FAIL: 2,
    Ending.REJECT: 4,
    Ending.UNAVAILABLE: 2,
    Ending.REJECT_THEN_DENY: 1,
    Ending.DENY_THEN_REJECT: 1,
    Ending.REJECT_IN_INTERIM: 1,
    Ending.REJECT_IN_TRAILER: 1,
    Ending.REJECT_WITH_500: 1,
    Ending.GARBAGE: 1,
    Ending.TRUNCATED_HEAD: 1,
    Ending.RESET: 2,
    Ending.HALF_CLOSE: 2,
    Ending.SILENT: 2,
}
MALFORMED_ENDINGS = frozenset(
    (
        Ending.REJECT_THEN_DENY,
        Ending.DENY_THEN_REJECT,
        Ending.REJECT_IN_INTERIM,
        Ending.REJECT_IN_TRAILER,
        Ending.REJECT_WITH_500,
    )
)
EARLY_SHARE = 0.4  # share of the attempts with a long enough body that end before the body is complete
MIN_EARLY_BODY_BYTES = 40_000  # a smaller body would leave the sender's buffers completely
FREEZE_EARLY_SHARE = 0.6  # share of the attempts ended early at whose end the sidecar is frozen
FREEZE_COMPLETE_SHARE = 0.1  # the same share of the other attempts
DRAIN_FIRST_SHARE = 0.7  # share of the attempts before whose end the system's buffers are emptied
SECOND_RESPONSE_SHARE = 0.05  # share of the responses that are followed by a second one
MOVED_ENDINGS = {  # weights; most leave open whether the attempt ran, so that a retry may follow
    Ending.RESET: 3,
    Ending.HALF_CLOSE: 2,
    Ending.UNAVAILABLE: 2,
    Ending.GARBAGE: 1,
    Ending.TRUNCATED_HEAD: 1,
    Ending.SILENT: 1,
    Ending.SERVE: 1,
}
MOVED_SHARE = 0.25  # share of moves among attempts with idempotency keys valid only in a zone or cell
MOVED_DELAYS_S = (0.02, 0.05, 0.1)  # time until the ending, while the sidecars are notified of the move


def draw_treatment(
    rng: random.Random, fault_groups: frozenset[FaultGroup], *, body_bytes: int, grouped: bool, servers: int
) -> Treatment:
    """Draw the treatment of an attempt in a run with `servers` servers.

    `grouped`: the idempotency key is valid only in a group of servers, so that their moves matter.
    """
    if FaultGroup.SERVERS in fault_groups and grouped and rng.random() < MOVED_SHARE:
        return _draw_move(rng, servers)
    return _draw_ending(rng, fault_groups, body_bytes)


def _draw_move(rng: random.Random, servers: int) -> Treatment:
    """Draw a treatment whose server, after reading the whole attempt, moves to another group and ends it."""
    ending = _weighted_choice(rng, MOVED_ENDINGS)
    return Treatment(ending, delay=rng.choice(MOVED_DELAYS_S), group_offset=rng.randrange(1, servers))


def _draw_ending(rng: random.Random, fault_groups: frozenset[FaultGroup], body_bytes: int) -> Treatment:
    # Chances are drawn before the fault group is checked: excluding a group changes no later draw.
    early = (
        rng.random() < EARLY_SHARE and FaultGroup.EARLY in fault_groups and body_bytes >= MIN_EARLY_BODY_BYTES
    )
    endings = EARLY_ENDINGS if early else COMPLETE_ENDINGS
    if FaultGroup.MALFORMED not in fault_groups:
        endings = {ending: weight for ending, weight in endings.items() if ending not in MALFORMED_ENDINGS}
    ending = _weighted_choice(rng, endings)
    freeze_share = FREEZE_EARLY_SHARE if early else FREEZE_COMPLETE_SHARE
    freezes = rng.random() < freeze_share and FaultGroup.FREEZE in fault_groups
    responds_twice = rng.random() < SECOND_RESPONSE_SHARE and FaultGroup.SECOND_ANSWER in fault_groups
    return Treatment(
        ending,
        early,
        read_share=rng.choice((0.0, 0.0, 0.02, 0.2, rng.random())),
        delay=rng.choice((0.0, 0.002, 0.005, 0.02, 0.02, 0.1 if early else 0.02, 0.02 if early else 0.4)),
        freeze_for=rng.choice((0.0, 0.0, 0.005, 0.02, 0.1)) if freezes else None,
        drain_first=rng.random() < DRAIN_FIRST_SHARE,
        resume_reading_after=rng.choice((0.0, 0.0, 0.01, 0.1)),
        second_response_after=rng.choice((0.001, 0.003, 0.01)) if responds_twice else None,
        second_ending=rng.choice((None, Ending.REJECT)),
    )


def _weighted_choice(rng: random.Random, weights: dict[Ending, int]) -> Ending:
    return rng.choices(list(weights), list(weights.values()))[0]
