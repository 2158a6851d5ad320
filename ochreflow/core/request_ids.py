"""The ids of requests that can't be used again for now."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from time import monotonic

RETENTION_S = 4.0  # an id can't be used again for so long after its request has ended, and ...
MAX_RETAINED_IDS = 8192  # ... no more than so many ids are kept for that


class RequestIdRegistry:
    """Knows the ids of a frontend's open requests and of those that ended a moment ago.

    Guards an open request against another one of its id, which its server would take for a second copy of
    it; and one that has just been answered against running again.
    """

    def __init__(self) -> None:
        """Begin with all ids free."""
        self.in_use: set[Hashable] = set()
        self.ended: deque[tuple[float, Hashable]] = deque()  # when, which; the oldest first

    def claim(self, request_id: Hashable) -> bool:
        """Take an id for a request that opens; False if it is in use."""
        before = monotonic() - RETENTION_S
        while self.ended and (self.ended[0][0] < before or len(self.ended) > MAX_RETAINED_IDS):
            self.in_use.discard(self.ended.popleft()[1])
        if request_id in self.in_use:
            return False
        self.in_use.add(request_id)
        return True

    def release(self, request_id: Hashable) -> None:
        """Note that its request has ended: the id becomes free after a while."""
        self.ended.append((monotonic(), request_id))
