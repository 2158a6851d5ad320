"""How long a poll of discovery may stay unanswered before another one is sent beside it. No I/O.

A poll that has stalled looks like one without news until its own wait (`wait_ms`) is over. By the protocol,
what it misses counts as notified `NOTIFIED_AFTER_S` seconds after that wait; from then on a draining server
may get new requests for the drain grace and no longer. So the next poll has to be answered within

    poll_stall_s + answer <= NOTIFIED_AFTER_S + grace

after the wait, where discovery may take `NOTIFIED_AFTER_S` for the answer alone. `docs/design/endings.md`
has the sum for several deployments. The late poll is not cancelled: discovery works through its requests
one at a time, and an answer that comes late still counts as notified.

The next poll may stall as well, and another long poll would show that only after a second wait. So it asks
for the complete list (a resync), which is answered at once, and the time that is left is shared with one
more request. `docs/design/discovery.md` has the cases.
"""

from __future__ import annotations

from dataclasses import dataclass

# Of a poll without news, in milliseconds: each sidecar then costs discovery three requests a minute.
LONG_POLL_WAIT_MS = 20_000
# Beyond a poll's wait: what it would have brought counts as notified from then on, by the protocol.
NOTIFIED_AFTER_S = 2.0
# Of the drain grace; the other half is for an answer that takes longer than it should.
STALL_GRACE_SHARE = 0.5
# For a grace of nearly none: the slack that the protocol allows to every limit.
MIN_STALL_TIMEOUT_S = 0.05
# Of what is left after a stalled poll; the other half is for the answer to the one more request.
RESYNC_SHARE = 0.5
# Of the drain grace: a drain notified meanwhile, and the answer, leave most of it.
RETRY_GRACE_SHARE = 0.25
# An agent that is down for long is not polled more often than needed ...
MAX_RETRY_DELAY_S = 0.5
# ... nor in a tight loop, however short the grace.
MIN_RETRY_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class LongPollTimeouts:
    """The times of a client's polls: `wait_ms` in milliseconds, all others in seconds."""

    wait_ms: int  # how long discovery may hold a poll without news
    poll_stall_s: float  # beyond a poll's wait: a resync is sent beside it
    complete_list_stall_s: float  # for a request that does not wait: it counts as failed
    resync_stall_s: float  # for a resync sent beside a stalled poll: one more request is sent
    agent_retry_s: float  # until the agent on the own machine is polled again after a failure


def long_poll_timeouts(drain_grace_ns: int) -> LongPollTimeouts:
    """The timeouts that keep drains of this grace (nanoseconds), whichever poll stalls."""
    grace_s = drain_grace_ns / 1e9
    poll_stall_s = min(max(grace_s * STALL_GRACE_SHARE, MIN_STALL_TIMEOUT_S), NOTIFIED_AFTER_S)
    return LongPollTimeouts(
        wait_ms=LONG_POLL_WAIT_MS,
        poll_stall_s=poll_stall_s,
        complete_list_stall_s=NOTIFIED_AFTER_S,
        resync_stall_s=min((NOTIFIED_AFTER_S + grace_s - poll_stall_s) * RESYNC_SHARE, NOTIFIED_AFTER_S),
        agent_retry_s=min(max(grace_s * RETRY_GRACE_SHARE, MIN_RETRY_DELAY_S), MAX_RETRY_DELAY_S),
    )
