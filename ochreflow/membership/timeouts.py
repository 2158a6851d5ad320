"""Timeouts after which a poll of discovery counts as stalled and another one is sent in parallel. No I/O.

A stalled poll can't be told from one without changes until its wait (`wait_ms`) is over. By the protocol, the
missed changes count as notified `NOTIFIED_AFTER_S` seconds after that wait; from then on a draining server
may get new requests only during the drain grace. So the next poll has to be answered within

    poll_stall_s + answer <= NOTIFIED_AFTER_S + grace

after the wait, where discovery may take `NOTIFIED_AFTER_S` for the answer alone. `docs/design/endings.md`
has the sum for several deployments. The stalled poll is not cancelled: discovery processes its requests one
at a time, and a late answer still counts as notified.

The next poll may stall as well, which another long poll would show only after a second wait. So a request
for the complete list (a resync) is sent, which is answered at once, and the remaining time is shared with one
more request. `docs/design/discovery.md` has the cases.
"""

from __future__ import annotations

from dataclasses import dataclass

# Of a poll without changes, in milliseconds: each sidecar sends discovery three requests a minute.
LONG_POLL_WAIT_MS = 20_000
# After a poll's wait: the changes that it missed count as notified from then on, by the protocol.
NOTIFIED_AFTER_S = 2.0
# Of the drain grace; the other half is reserved for a slow answer.
STALL_GRACE_SHARE = 0.5
# For a very short grace: the tolerance that the protocol allows for every limit.
MIN_STALL_TIMEOUT_S = 0.05
# Of the time left after a stalled poll; the other half is reserved for the answer to one more request.
RESYNC_SHARE = 0.5
# Of the drain grace: most of it is left for a drain notified in the meantime and for the answer.
RETRY_GRACE_SHARE = 0.25
# Upper limit of the retry delay, however long the grace.
MAX_RETRY_DELAY_S = 0.5
# Lower limit of the retry delay: avoids a tight loop if the grace is very short.
MIN_RETRY_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class LongPollTimeouts:
    """The timeouts of a client's polls: `wait_ms` in milliseconds, all others in seconds."""

    wait_ms: int  # time for which discovery may hold a poll without changes
    poll_stall_s: float  # after a poll's wait: a resync is sent in parallel
    complete_list_stall_s: float  # of a request for a complete list: it counts as failed
    resync_stall_s: float  # of a resync sent after a stalled poll: one more request is sent
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
