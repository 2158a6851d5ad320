"""Timeouts after which a poll of discovery counts as stalled and another one is sent in parallel. No I/O.

A stalled poll can't be told from one without changes until its wait (`wait_ms`) is over. By the protocol, the
missed changes count as notified `NOTIFIED_AFTER_S` seconds after that wait; from then on a draining server
may get new requests only during the drain grace. So the next poll has to be answered within

    poll_stall_s + answer <= NOTIFIED_AFTER_S + grace

after the wait, where discovery may take `NOTIFIED_AFTER_S` for the answer alone. `docs/design/endings.md`
has the sum for several deployments. The stalled poll is not cancelled: discovery processes its requests one
at a time, and a late answer still counts as notified.

The next poll may stall as well, and a long poll would show that only after a second wait. So the next poll is
a request for the complete list (a resync), which discovery answers at once. If the resync stalls too, one
more request is sent; the two share the remaining time. `docs/design/discovery.md` has the cases.
"""

from __future__ import annotations

from dataclasses import dataclass

# Wait of a poll without changes, in milliseconds: each sidecar sends discovery three requests a minute.
LONG_POLL_WAIT_MS = 20_000
# Time after a poll's wait from which, by the protocol, the changes that the poll missed count as notified.
NOTIFIED_AFTER_S = 2.0
# Share of the drain grace after which a poll counts as stalled; the rest is reserved for a slow answer.
STALL_GRACE_SHARE = 0.3
# Lower limit of the time after which a poll counts as stalled, if the grace is very short: the tolerance that
# the protocol allows for every limit.
MIN_STALL_TIMEOUT_S = 0.05
# Share of the time left after a stalled poll in which the resync has to be answered; the rest is reserved for
# the answer to one more request.
RESYNC_SHARE = 0.5
# Retry delay as a share of the drain grace; most of the grace is left for a drain notified in the meantime
# and for the answer.
RETRY_GRACE_SHARE = 0.25
# Upper limit of the retry delay, however long the grace.
MAX_RETRY_DELAY_S = 0.5
# Lower limit of the retry delay: avoids a tight loop if the grace is very short.
MIN_RETRY_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class LongPollTimeouts:
    """The timeouts of a client's polls: `wait_ms` in milliseconds, all others in seconds."""

    wait_ms: int  # time for which discovery may hold a poll without changes
    poll_stall_s: float  # time after a poll's wait at which a resync is sent in parallel
    complete_list_stall_s: float  # time after which a request for a complete list counts as failed
    resync_stall_s: float  # time after which a resync counts as failed and one more request is sent
    agent_retry_s: float  # delay before a local agent is polled again after a failure


def long_poll_timeouts(drain_grace_ns: int) -> LongPollTimeouts:
    """Return the timeouts with which a drain of `drain_grace_ns` is noticed in time if any poll stalls."""
    grace_s = drain_grace_ns / 1e9
    poll_stall_s = min(max(grace_s * STALL_GRACE_SHARE, MIN_STALL_TIMEOUT_S), NOTIFIED_AFTER_S)
    return LongPollTimeouts(
        wait_ms=LONG_POLL_WAIT_MS,
        poll_stall_s=poll_stall_s,
        complete_list_stall_s=NOTIFIED_AFTER_S,
        resync_stall_s=min((NOTIFIED_AFTER_S + grace_s - poll_stall_s) * RESYNC_SHARE, NOTIFIED_AFTER_S),
        agent_retry_s=min(max(grace_s * RETRY_GRACE_SHARE, MIN_RETRY_DELAY_S), MAX_RETRY_DELAY_S),
    )
