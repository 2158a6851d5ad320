"""How long a call to discovery may go unanswered before another one is made beside it. Without I/O.

A watch that has fallen silent looks, until its own wait is over, like one that has nothing to tell. What it
misses counts as told `TOLD_AFTER` seconds after that wait all the same, and from then on a server that drains
may be sent to for the drain grace, no longer. So the next call has to be answered within

    overdue + answer <= TOLD_AFTER + grace

after the wait, where an answer may take discovery TOLD_AFTER by itself. `docs/design/endings.md` has the sum
for several deployments. The call that is late is not given up: discovery works through calls in turn, and
what it still says counts as told.

That next call may fall silent as well, and another watch would show it no sooner than after a second wait. So
it asks for the whole list, which is answered at once: what is left of the time is shared with one more call.
`docs/design/discovery.md` has the cases.
"""

from __future__ import annotations

from dataclasses import dataclass

WAIT_MS = 20_000  # of a watch with nothing to tell: each sidecar then costs discovery three calls a minute
TOLD_AFTER = 2.0  # seconds beyond a call's wait: what it would have told then counts as told, by the protocol
OVERDUE_PART = 0.5  # of the drain grace; the other half is for an answer that takes longer than it should
OVERDUE_LEAST = 0.05  # seconds, for a grace of nearly none: the slack that every limit has by the protocol
CHECK_PART = 0.5  # of what is left then; the other half is for the answer to the one more call
AGAIN_PART = 0.25  # of the drain grace: a drain told in the gap, and the answer, leave most of it
AGAIN_MOST = 0.5  # seconds; an agent that is down for long is not asked more often than needed
AGAIN_LEAST = 0.02  # ... nor in a tight loop, however short the grace


@dataclass(frozen=True, slots=True)
class Waits:
    """Times of calls, in seconds, but for `wait_ms`."""

    wait_ms: int
    overdue: float  # beyond a watch's wait: another one is opened beside it
    whole_overdue: float  # ... and for a call that does not wait: it is taken for failed
    check_overdue: float  # ... and for the one that was made beside a silent watch: one more is
    pushed_again: float  # until the agent on the own machine is asked again after a failure


def waits(drain_grace_ns: int) -> Waits:
    """The times that keep drains of this grace, whatever falls silent."""
    grace = drain_grace_ns / 1e9
    overdue = min(max(grace * OVERDUE_PART, OVERDUE_LEAST), TOLD_AFTER)
    return Waits(
        wait_ms=WAIT_MS,
        overdue=overdue,
        whole_overdue=TOLD_AFTER,
        check_overdue=min((TOLD_AFTER + grace - overdue) * CHECK_PART, TOLD_AFTER),
        pushed_again=min(max(grace * AGAIN_PART, AGAIN_LEAST), AGAIN_MOST),
    )
