"""How many pending connections to accept, and when to pause: a state machine without sockets or clock.

When no descriptor is left, accept() fails, and fails again for the same pending connection: a loop that
retries at once does nothing else. So accepting pauses with exponential backoff while idle connections are
evicted; a connection whose client waits for a response is never evicted. After a pause the number of accepts
per loop iteration doubles step by step, because otherwise all connections that arrived during the pause would
take the descriptors that responses need.

Times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

import errno

DESCRIPTOR_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
MIN_ACCEPTS_PER_ITERATION = 4  # accepts in the first loop iteration after a pause
MAX_ACCEPTS_PER_ITERATION = 64  # bounds the time of a loop iteration
MIN_PAUSE_S = 0.01  # about the interval at which responses free descriptors
MAX_PAUSE_S = 0.32  # below the second after which a client's system retries its SYN
MAX_EVICTIONS_PER_PAUSE = 8  # more than one, because the clients of a flood reconnect


class AcceptThrottle:
    """Owns the pauses in accepting and the limit on accepts per loop iteration."""

    def __init__(self) -> None:
        """Start without a pause."""
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
        """Record that accept() failed because no descriptor was free; return the pause in seconds."""
        pause_s = self.next_pause_s
        self.paused_until = now + pause_s
        self.next_pause_s = min(self.next_pause_s * 2, MAX_PAUSE_S)
        self.allowance = MIN_ACCEPTS_PER_ITERATION
        return pause_s
