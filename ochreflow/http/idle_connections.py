"""Idle connections to one server, and when each may be used again.

Responses are matched to requests only by their order on a connection. A server may send a second response to
a request some milliseconds after the first one. If the next request were written by then, the second response
would be taken for its response. A connection is therefore used again only once it is settled: some time after
its last response, within which a second response would have arrived and closed the connection. That time is
counted while the loop runs: if the machine is held up, a second response is late by that too.
"""

from __future__ import annotations

import bisect
import math
from collections import deque
from collections.abc import Iterator
from time import monotonic
from typing import Generic, Protocol, TypeVar

from .running_clock import RunningClock

# No setting states how late a second response can be; the protocol extends each time limit on sockets by this
# slack.
SETTLING_TIME_S = 0.05
MIN_SETTLING_DELAY_S = 0.001  # a rounding error of a float as a delay would never let the time advance


class PooledConnection(Protocol):
    """A connection, as far as this module knows it; times are in seconds."""

    idle_since: float  # on the monotonic clock
    settles_at: float  # on the running clock; minus infinity if it has carried no response


ConnectionT = TypeVar("ConnectionT", bound=PooledConnection)


class IdleConnections(Generic[ConnectionT]):
    """The idle connections to one server: those that are settled, and those that are settling."""

    def __init__(self, clock: RunningClock, *, settle: bool = True) -> None:
        """Start without connections. Without `settle`, each one is settled at once."""
        self.clock = clock
        self.settling_time_s = SETTLING_TIME_S if settle else 0.0
        self._settled: list[ConnectionT] = []  # sorted by `idle_since`, the most recently used last
        self._settling: deque[ConnectionT] = deque()  # in the order of their last responses

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._settled) + len(self._settling)

    def __contains__(self, connection: object) -> bool:
        """Return whether a connection is idle."""
        return connection in self._settled or connection in self._settling

    def __iter__(self) -> Iterator[ConnectionT]:
        """Iterate over a copy, so that connections may be closed meanwhile; settled ones come first."""
        return iter([*self._settled, *self._settling])

    def response_completed(self, connection: ConnectionT) -> None:
        """Record that a connection's response is complete: from now on it settles."""
        if self.settling_time_s:
            connection.settles_at = self.clock.run_for(self.settling_time_s)

    def is_settled(self, connection: ConnectionT) -> bool:
        """Return whether a second response to the connection's last request would have arrived by now."""
        return connection.settles_at <= self.clock.now()

    def add(self, connection: ConnectionT) -> None:
        """Add a connection, which becomes idle now."""
        connection.idle_since = monotonic()
        if self.is_settled(connection):
            self._settled.append(connection)
        else:
            self._settling.append(connection)

    def put_back(self, connection: ConnectionT) -> None:
        """Add a settled connection that was taken and not used, at its place by `idle_since`."""
        bisect.insort(self._settled, connection, key=lambda idle: idle.idle_since)

    def take_settled(self) -> ConnectionT | None:
        """Remove and return the settled connection that was used most recently; None if none is settled."""
        self._update()
        return self._settled.pop() if self._settled else None

    def take_longest_settled(self) -> ConnectionT | None:
        """Remove and return the settled connection that has been idle longest; None if none is settled."""
        self._update()
        return self._settled.pop(0) if self._settled else None

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection, if it is idle."""
        if connection in self._settled:
            self._settled.remove(connection)
        elif connection in self._settling:
            self._settling.remove(connection)

    def oldest(self) -> ConnectionT | None:
        """Return the connection that has been idle longest; None if none is idle."""
        self._update()
        if self._settled:
            return self._settled[0]
        return self._settling[0] if self._settling else None

    def next_settles_in(self) -> float:
        """Return the least time in seconds until another one is settled; infinity if none is settling."""
        if not self._settling:
            return math.inf
        return max(self._settling[0].settles_at - self.clock.now(), MIN_SETTLING_DELAY_S)

    def _update(self) -> None:
        """Move the connections that have settled."""
        while self._settling and self.is_settled(self._settling[0]):
            self.put_back(self._settling.popleft())
