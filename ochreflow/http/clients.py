"""All client connections: their quota of descriptors, and the time limits on each of them."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import chain, islice, takewhile
from time import monotonic
from typing import Any, Protocol

from ..core.limits import Descriptors, Memory
from ..core.log import log

HEAD_TIMEOUT_S = 2.6  # time from connecting, or from a message's first byte, until its head is complete
MIN_BODY_BYTES_PER_S = 32_000  # averaged over one `HEAD_TIMEOUT_S` at a time; clients may send 64 kB a second
IDLE_TIMEOUT_S = 2.0  # time for which a connection without an open request is kept
SLOW_READER_TIMEOUT_S = 5.0  # time for which a client may read nothing of a response
# Share of the clients' quota of descriptors. If more clients have sent nothing yet, they are not a burst of
# normal clients.
MAX_SILENT_SHARE = 0.25
STALE_AFTER_S = 0.5  # time without a byte of an unfinished message; slow clients write more often
# Clients closed in one sweep after the quota has shrunk: a sweep must not block the event loop for long.
MAX_EVICTIONS_PER_SWEEP = 32
CONNECTION_BYTES = 6 * 1024  # memory of a connection without a message
FIRST_REQUEST_DELAY_S = 0.02  # time for which a new connection's first request may still be in flight


@dataclass(slots=True)
class ClientTimeouts:
    """Time limits on clients, in seconds. A change takes effect at the next sweep."""

    head_s: float = field(default_factory=lambda: HEAD_TIMEOUT_S)
    idle_s: float = field(default_factory=lambda: IDLE_TIMEOUT_S)
    slow_reader_s: float = field(default_factory=lambda: SLOW_READER_TIMEOUT_S)


class Client(Protocol):
    """A client connection, as far as `Clients` uses it."""

    message_begun: bool  # whether a message has begun and is incomplete
    head_completed: bool  # whether a head was completed since the last `Clients.reclassify`
    has_sent_request: bool  # whether it has ever sent a complete message
    paused: bool  # whether reading is paused
    message_size: int  # bytes received of the current message
    parsing: bool  # whether received data is being parsed

    @property
    def serving(self) -> bool:
        """Whether a response is pending, or not yet acknowledged by the client's host."""
        ...

    @property
    def idle(self) -> bool:
        """Whether no request is queued or served, and no response is being written."""
        ...

    @property
    def closable(self) -> bool:
        """Whether the connection can be closed at once without losing a request or a response."""
        ...

    @property
    def draining(self) -> bool:
        """Whether sending has been shut down, and the connection waits for its client to close."""
        ...

    @property
    def host(self) -> str:
        """The address of the connection's client; empty if unknown."""
        ...

    def sample_arrival(self) -> None:
        """Record how much has arrived on a connection that is not read."""
        ...

    def recent_body_bytes(self) -> int | None:
        """Return the bytes of the body since the last call; None if reading was paused in between."""
        ...

    def expire(self) -> None:
        """End the connection, whose next message has not arrived in time."""
        ...

    def close(self) -> None:
        """Close the connection at once."""
        ...


class Rejection(Protocol):
    """Why a connection was rejected."""

    @property
    def value(self) -> Any:
        """The reason as it is logged."""
        ...


class ConnectionAdmission(Protocol):
    """Decides on connections by their addresses, if configured; see `ochreflow.admission`."""

    def admit(self, now: float, key: Client, address: str) -> Rejection | None:
        """Return why a new connection is rejected; None if it is admitted."""
        ...

    def message_begun(self, now: float, key: Client) -> Client | None:
        """Record that a message has begun; return the connection to end because of it, if any."""
        ...

    def message_complete(self, key: Client) -> None:
        """Record that a connection no longer has an unfinished message."""
        ...

    def request_completed(self, now: float, key: Client) -> None:
        """Record that a request has been answered."""
        ...

    def connection_closed(self, key: Client) -> None:
        """Forget a connection."""
        ...

    def snapshot(self, now: float) -> Sequence[tuple[str, float]]:
        """Return the state of each known address, for the next process."""
        ...

    def restore(self, now: float, snapshot: object) -> None:
        """Load the state of the addresses that another process knew."""
        ...

    def eviction_candidate(self, now: float, keys: Iterable[Client]) -> Client:
        """Return the connection to close first."""
        ...

    def is_known(self, now: float, key: Client) -> bool:
        """Return whether the address of a connection is known."""
        ...


class Clients:
    """Owns the lists of connections and their count; evicts connections when descriptors run short.

    Every connection is in `incomplete` while it has an unfinished message, in `idle` while it has no open
    request, in `draining` while it waits for its client to close, or in none of them. Connections in
    `incomplete` are also in `last_received`, by the time of their latest byte. All lists are ordered by time,
    so that a sweep costs nothing for connections within their limits.
    """

    def __init__(self, descriptors: Descriptors, memory: Memory) -> None:
        """Start without connections; every connection is counted in `descriptors` and in `memory`."""
        self.descriptors = descriptors
        self.memory = memory
        self.applied_total = descriptors.total  # the total for which the quota was last enforced
        self.timeouts = ClientTimeouts()
        self.admission: ConnectionAdmission | None = None
        self.connections: dict[Client, None] = {}
        self.incomplete: dict[Client, float] = {}
        self.last_received: dict[Client, float] = {}
        self.idle: dict[Client, float] = {}
        self.draining: dict[Client, None] = {}
        self.admitted: set[Client] = set()  # admitted connections that are not added yet
        descriptors.evictors.append(self.evict_one)
        memory.evictors.append(self.end_stalled_message)

    def admit(self, client: Client, host: str) -> bool:
        """Return whether a connection from this address is admitted; True without admission control."""
        rejection = self.admission.admit(monotonic(), client, host) if self.admission is not None else None
        if rejection is not None:
            log.info("connection_rejected", address=host, reason=rejection.value)
            return False
        self.admitted.add(client)
        return True

    def withdraw(self, client: Client) -> None:
        """Forget a connection that was admitted and ended before it was added."""
        self.admitted.discard(client)
        if self.admission is not None:
            self.admission.connection_closed(client)

    def add(self, client: Client) -> None:
        """Add a new connection if it is admitted; over the clients' quota, evict one."""
        if client not in self.admitted and not self.admit(client, client.host):
            client.close()
            return
        self.admitted.discard(client)
        self.connections[client] = None
        self.descriptors.in_use += 1
        self.descriptors.connected += 1
        self.memory.add_overhead(CONNECTION_BYTES)
        self.incomplete[client] = self.last_received[client] = monotonic()
        if len(self.connections) > self.descriptors.max_clients:
            other = self._choose_eviction(client)
            self._forget(other)
            other.close()

    def remove(self, client: Client) -> None:
        """Forget a connection that is closed."""
        self._forget(client)
        if client in self.connections:
            del self.connections[client]
            self.descriptors.in_use -= 1
            self.descriptors.connected -= 1
            self.memory.add_overhead(-CONNECTION_BYTES)
        if self.admission is not None:
            self.admission.connection_closed(client)

    def _forget(self, client: Client) -> None:
        for times in (self.incomplete, self.last_received, self.idle):
            times.pop(client, None)
        self.draining.pop(client, None)

    def reclassify(self, client: Client) -> None:
        """Update the lists that a connection is in; called after reading from it and after each response."""
        self.idle.pop(client, None)
        if client not in self.connections:
            return
        if client.draining:
            self._forget(client)
            self.draining[client] = None
            if client.has_sent_request:
                self._record_message_complete(client)
        elif client.message_begun:
            if client.head_completed:
                client.head_completed = False
                self.incomplete.pop(client, None)  # a body has a time limit of its own
            now = monotonic()
            self.incomplete.setdefault(client, now)
            self.last_received.pop(client, None)
            self.last_received[client] = now
            if self.admission is not None:
                self._record_message_begun(self.admission, now, client)
        elif client.has_sent_request:
            self.incomplete.pop(client, None)
            self.last_received.pop(client, None)
            if client.idle:
                self.idle[client] = monotonic()
            self._record_message_complete(client)

    def _record_message_complete(self, client: Client) -> None:
        """Tell the connection admission that the connection has no unfinished message."""
        if self.admission is not None:
            self.admission.message_complete(client)
            if client.idle:
                self.admission.request_completed(monotonic(), client)

    def _record_message_begun(self, admission: ConnectionAdmission, now: float, client: Client) -> None:
        """Record that a message has begun; if its address has too many unfinished ones, end the oldest."""
        oldest = admission.message_begun(now, client)
        if oldest is not None and oldest is not client:
            self._forget(oldest)
            oldest.expire()

    def _choose_eviction(self, new: Client) -> Client:
        """Return the connection to close for a new one over the quota.

        This protects normal clients, slow ones included, against clients that connect by the hundred and send
        nothing.

        The order is: a connection that has its last response and only has to be closed by its client; one
        whose unfinished message has stalled; one that has sent nothing at all, if there are many of these;
        the one that has been idle longest, whose client can connect again.
        """
        now = monotonic()
        if self.admission is not None:
            evictable = [other for other in self.connections if self._is_evictable(other)]
            return self.admission.eviction_candidate(now, evictable or [new])
        draining = next((client for client in self.draining if not client.serving), None)
        if draining is not None:
            return draining
        incomplete = [client for client in self.last_received if not client.serving]  # includes the new one
        if self.last_received[incomplete[0]] <= now - STALE_AFTER_S:
            return incomplete[0]
        silent = [client for client in incomplete if not client.message_size and not client.has_sent_request]
        if len(silent) > self.descriptors.max_clients * MAX_SILENT_SHARE:
            return silent[0]
        closable = next((client for client in self.idle if client.closable), None)
        if closable is not None:
            return closable
        return silent[0] if self.last_received[silent[0]] <= now - FIRST_REQUEST_DELAY_S else incomplete[0]

    def evict_one(self) -> bool:
        """Close one connection without a pending response; return False if there is none.

        This protects accepted requests against a lack of descriptors: their attempts need some.
        """
        return self._evict(1) > 0

    def end_stalled_message(self) -> bool:
        """End the message that has stalled longest, with an error; return False if none has stalled.

        This protects the memory for messages that make progress.
        """
        stalled_before = monotonic() - STALE_AFTER_S
        for client, received_at in self.last_received.items():
            if received_at > stalled_before:
                return False
            if client.message_size and not (client.paused or client.parsing):
                log.info("stalled_message_ended", size=client.message_size)
                self._forget(client)
                client.expire()
                return True
        return False

    def evict_for_new_connection(self) -> bool:
        """Evict a client for a connection that is not accepted yet, unless all evictable clients are known.

        The new connection counts as unknown, and a known client is not evicted for an unknown one.
        Connections accepted in this iteration of the loop are not among the clients yet, so that known
        clients may be the only evictable ones.
        """
        now = monotonic()
        if self.admission is not None and all(
            self.admission.is_known(now, client) for client in self._evictable()
        ):
            return False
        return self._evict(1, keep_recent=True) > 0

    def _evictable(self, *, keep_recent: bool = False) -> Iterable[Client]:
        """Return the connections without a pending response, the oldest first.

        With `keep_recent`, those are left out whose client is sending, or may just have sent its request.
        """
        now = monotonic()
        closable = (client for client in self.idle if client.closable)
        return chain(
            (client for client in self.draining if not client.serving),
            closable,
            (
                client
                for client, received_at in self.last_received.items()
                if not client.serving and not (keep_recent and self._is_recent(client, now - received_at))
            ),
        )

    @staticmethod
    def _is_recent(client: Client, silent_s: float) -> bool:
        """Return whether a client that has sent nothing for a while may be about to, or to go on."""
        return silent_s < (FIRST_REQUEST_DELAY_S if client.closable else STALE_AFTER_S)

    def _is_evictable(self, client: Client) -> bool:
        """Return whether a connection has no pending response."""
        if client in self.last_received or client.draining:
            return not client.serving
        return client.closable

    def _evict(self, limit: int, *, keep_recent: bool = False) -> int:
        """Close up to `limit` connections without a pending response; return how many were closed."""
        evictable = self._evictable(keep_recent=keep_recent)
        if self.admission is None:
            evicted = list(islice(evictable, limit))
        else:
            remaining, evicted = dict.fromkeys(evictable), []
            while remaining and len(evicted) < limit:
                evicted.append(self.admission.eviction_candidate(monotonic(), remaining))
                del remaining[evicted[-1]]
        for client in evicted:
            self._forget(client)
            client.close()
        return len(evicted)

    def _enforce_quota(self) -> None:
        """Evict clients after the quota has shrunk, as soon as enough of them have no pending response.

        This protects operators, discovery and requests: a new connection replaces only one client, so their
        number would stay over the quota, and with no descriptor left every new connection would be closed.
        """
        self.descriptors.apply_system_limit()
        if self.descriptors.total < self.applied_total:
            self._evict(
                min(max(len(self.connections) - self.descriptors.max_clients, 0), MAX_EVICTIONS_PER_SWEEP)
            )
            if len(self.connections) <= self.descriptors.max_clients:
                self.applied_total = self.descriptors.total

    def sweep(self) -> None:
        """Enforce the quota and the time limits.

        This protects descriptors and memory against clients that never finish a message or never come back.
        """
        self._enforce_quota()
        for client in self.incomplete:
            if client.paused:
                client.sample_arrival()
        now = monotonic()
        for client in _entered_by(self.incomplete, now - self.timeouts.head_s):
            received = client.recent_body_bytes()
            # While reading is paused, the body may have arrived long ago.
            if (
                client.paused
                or received is None
                or received >= MIN_BODY_BYTES_PER_S * (now - self.incomplete[client])
            ):
                del self.incomplete[client]
                self.incomplete[client] = now
            else:
                self._forget(client)
                client.expire()
        for client in _entered_by(self.idle, now - self.timeouts.idle_s):
            client.expire()

    def close_idle_connections(self) -> None:
        """Close every connection on which no request is open, has begun or waits to be read.

        A connection that has never sent a request stays open: its first request may be in flight, and its
        time limit is short anyway.
        """
        for client in list(self.connections):
            if client.has_sent_request and client.closable:
                client.close()


def _entered_by(times: dict[Client, float], limit: float) -> list[Client]:
    return [client for client, _ in takewhile(lambda entry: entry[1] <= limit, times.items())]
