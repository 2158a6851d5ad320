"""How many waiting connections to accept, and when to stop: a state machine without sockets or clock.

Where the system has no descriptor left, accepting fails for a connection that waits, and goes on failing: a
loop that tries again at once does nothing else. So the door pauses, each time for twice as long, while
connections that wait for nothing make room; what is owed an answer is not touched. After a pause it opens by
doubling steps, or all that came meanwhile would take the descriptors that answers need.

Times are seconds of the caller's monotonic clock.
"""

from __future__ import annotations

import errno

SHORT = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
FIRST = 4  # connections accepted at a turn after a pause
MOST = 64  # ... doubling at each turn up to this: a turn of the loop must not be long
PAUSE_FIRST = 0.01  # seconds: answers free descriptors about so often
PAUSE_MOST = 0.32  # a client's connect is tried again by its system after a second
GIVE_WAY = 8  # waiting connections that go for one pause: those of a flood come back, so not one by one


class Door:
    """Owns whether connections are accepted now."""

    def __init__(self) -> None:
        self.quota = MOST
        self.until = 0.0  # no accepting before
        self.pause = PAUSE_FIRST
        self.pauses = 0

    def may_accept(self, now: float) -> int:
        """How many connections may be accepted at this turn."""
        return self.quota if now >= self.until else 0

    def accepted(self, count: int) -> None:
        """So many were accepted at a turn."""
        if count:
            self.pause = PAUSE_FIRST
        self.quota = min(self.quota * 2, MOST)

    def short(self, now: float) -> float:
        """The system has no descriptor left: how long to wait, in seconds."""
        wait = self.pause
        self.until = now + wait
        self.pause = min(self.pause * 2, PAUSE_MOST)
        self.quota = FIRST
        self.pauses += 1
        return wait
