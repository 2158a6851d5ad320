"""The names of requests that can't be used again for now."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from time import monotonic

NAMES_KEPT = 4.0  # seconds, and ...
NAMES_MOST = 8192  # ... so many names of requests that are over can't be used again


class RequestIdRegistry:
    """Guards an open request against another one of its name, which its server would take for a second
    copy of it; and one that has just been answered against running again."""

    def __init__(self) -> None:
        self.used: set[Hashable] = set()
        self.over: deque[tuple[float, Hashable]] = deque()

    def claim(self, name: Hashable) -> bool:
        """Take a name for a request that opens; False if it is not free."""
        before = monotonic() - NAMES_KEPT
        while self.over and (self.over[0][0] < before or len(self.over) > NAMES_MOST):
            self.used.discard(self.over.popleft()[1])
        if name in self.used:
            return False
        self.used.add(name)
        return True

    def ended(self, name: Hashable) -> None:
        """Its request is over: the name is kept for a while."""
        self.over.append((monotonic(), name))
