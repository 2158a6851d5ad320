"""How many waiting connections to accept, and when to pause: a state machine without sockets or clock.

Where the system has no descriptor left, accepting fails for a connection that waits, and goes on failing: a
loop that tries again at once does nothing else. So accepting pauses with exponential backoff while idle
connections are evicted; a connection whose client waits for a response is never evicted. After a pause the
number of accepts per loop iteration doubles step by step, because otherwise all connections that arrived
meanwhile would take the descriptors that responses need.

Times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

import errno

DESCRIPTOR_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
MIN_ACCEPTS_PER_ITERATION = 4  # in the first loop iteration after a pause
MAX_ACCEPTS_PER_ITERATION = 64  # an iteration of the loop must not be long
MIN_PAUSE_S = 0.01  # responses free descriptors about so often
MAX_PAUSE_S = 0.32  # a client's system tries to connect again after a second
MAX_EVICTIONS_PER_PAUSE = 8  # more than one, because the clients of a flood connect again


class AcceptThrottle:
    """Owns whether connections are accepted now."""

    def __init__(self) -> None:
        """Begin without a pause."""
        self.allowance = MAX_ACCEPTS_PER_ITERATION
        self.paused_until = 0.0
        self.next_pause_s = MIN_PAUSE_S

    def accepts_allowed(self, now: float) -> int:
        """Return how many connections may be accepted in this loop iteration."""
        return self.allowance if now >= self.paused_until else 0

    def accepted(self, count: int) -> None:
        """Record how many connections were accepted in a loop iteration."""
        if count:
            self.next_pause_s = MIN_PAUSE_S
        self.allowance = min(self.allowance * 2, MAX_ACCEPTS_PER_ITERATION)

    def out_of_descriptors(self, now: float) -> float:
        """Record that accepting failed for want of descriptors; return the pause in seconds."""
        pause_s = self.next_pause_s
        self.paused_until = now + pause_s
        self.next_pause_s = min(self.next_pause_s * 2, MAX_PAUSE_S)
        self.allowance = MIN_ACCEPTS_PER_ITERATION
        return pause_s
