"""The clients' connections all together: their share of descriptors, and how long each may take."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import chain, islice, takewhile
from time import monotonic
from typing import Any, Protocol

from ..core.limits import Descriptors
from ..core.log import log

HEAD_TIMEOUT_S = 2.6  # seconds from connecting, or from a message's first byte, until its head has come
MIN_BODY_BYTES_PER_S = 32_000  # measured over one `HEAD_TIMEOUT_S` at a time: clients may send 64 kB a second
IDLE_TIMEOUT_S = 2.0  # seconds that a connection is kept with no request open
SLOW_READER_TIMEOUT_S = 5.0  # in which a client may read nothing of a response
# Of the clients' quota of descriptors: when more have sent nothing, it is no burst of the usual ones.
MAX_SILENT_SHARE = 0.25
STALE_AFTER_S = 0.5  # without a byte of an unfinished message: slow clients write a piece more often
# Clients closed in one sweep for a quota that has become smaller: a turn of the loop must not be long.
MAX_EVICTIONS_PER_SWEEP = 32
FIRST_REQUEST_DELAY_S = 0.02  # seconds in which a new connection's first request may well be on its way


@dataclass(slots=True)
class ClientTimeouts:
    """How long clients may take, in seconds. A change holds from the next sweep on."""

    head_s: float = field(default_factory=lambda: HEAD_TIMEOUT_S)
    idle_s: float = field(default_factory=lambda: IDLE_TIMEOUT_S)
    slow_reader_s: float = field(default_factory=lambda: SLOW_READER_TIMEOUT_S)


class Client(Protocol):
    """What is asked of a client's connection here."""

    message_begun: bool  # a message has begun and not ended
    head_completed: bool  # since `Clients` last reclassified it
    has_sent_request: bool  # whether it has ever sent a whole message
    paused: bool
    message_size: int

    @property
    def serving(self) -> bool:
        """Whether a response is pending, or not yet acknowledged by the client's machine."""
        ...

    @property
    def idle(self) -> bool:
        """Whether no request is queued or served, and no response is on its way out."""
        ...

    @property
    def closable(self) -> bool:
        """Whether it can be closed at once without harm."""
        ...

    @property
    def draining(self) -> bool:
        """Whether its sending has ended, and only its client's close is waited for."""
        ...

    @property
    def host(self) -> str:
        """The address of its client; empty where that can't be told."""
        ...

    def recent_body_bytes(self) -> int | None:
        """Bytes of the body since the last call; None if some of the time nothing was read."""
        ...

    def expire(self) -> None:
        """End it: its next message has not come in time."""
        ...

    def close(self) -> None:
        """Close it at once."""
        ...


class Rejection(Protocol):
    """Why a connection was rejected."""

    @property
    def value(self) -> Any:
        """The reason as it is logged."""
        ...


class ConnectionAdmission(Protocol):
    """What decides on connections by their addresses, where that is asked for; see `ochreflow.admission`."""

    def admit(self, now: float, key: Client, address: str) -> Rejection | None:
        """Decide on a new connection; None: it is admitted."""
        ...

    def message_begun(self, now: float, key: Client) -> Client | None:
        """Record a message that has begun; the connection that is to be ended for it, if any."""
        ...

    def message_complete(self, key: Client) -> None:
        """Record that a connection has no unfinished message any more."""
        ...

    def request_completed(self, now: float, key: Client) -> None:
        """Record a request that has had its response."""
        ...

    def connection_closed(self, key: Client) -> None:
        """Forget a connection."""
        ...

    def snapshot(self, now: float) -> Sequence[tuple[str, float]]:
        """What is known of addresses, for the next process."""
        ...

    def restore(self, now: float, snapshot: object) -> None:
        """Take over what another process knew of addresses."""
        ...

    def eviction_candidate(self, now: float, keys: Iterable[Client]) -> Client:
        """Which of these connections is to be closed first."""
        ...

    def is_known(self, now: float, key: Client) -> bool:
        """Whether a connection's address is a known one."""
        ...


class Clients:
    """Owns the lists of connections and their count; evicts some where descriptors are short.

    Every connection is in `incomplete` while a message is to be completed, in `idle` when nothing is open, in
    `draining` when only its client's close is waited for, or in none of them. Those in `incomplete` are in
    `last_received` too, by their latest byte. All are in the order of time, so that a sweep costs nothing for
    those that are in time.
    """

    def __init__(self, descriptors: Descriptors) -> None:
        """Take part in the count of descriptors, with no connection yet."""
        self.descriptors = descriptors
        self.applied_total = descriptors.total  # as the clients were last cut down to their share of it
        self.timeouts = ClientTimeouts()
        self.admission: ConnectionAdmission | None = None
        self.connections: dict[Client, None] = {}
        self.incomplete: dict[Client, float] = {}
        self.last_received: dict[Client, float] = {}
        self.idle: dict[Client, float] = {}
        self.draining: dict[Client, None] = {}
        self.admitted: set[Client] = set()  # by the connection admission, and not added yet
        descriptors.evictors.append(self.evict_one)

    def admit(self, client: Client, host: str) -> bool:
        """Whether the connection admission, if there is one, lets in a connection from this address."""
        rejection = self.admission.admit(monotonic(), client, host) if self.admission is not None else None
        if rejection is not None:
            log.info("connection_rejected", address=host, reason=rejection.value)
            return False
        self.admitted.add(client)
        return True

    def withdraw(self, client: Client) -> None:
        """It was admitted, and ended before it was added."""
        self.admitted.discard(client)
        if self.admission is not None:
            self.admission.connection_closed(client)

    def add(self, client: Client) -> None:
        """Add a new connection, if it is admitted; over the clients' quota, one of them is evicted."""
        if client not in self.admitted and not self.admit(client, client.host):
            client.close()
            return
        self.admitted.discard(client)
        self.connections[client] = None
        self.descriptors.in_use += 1
        self.descriptors.connected += 1
        self.incomplete[client] = self.last_received[client] = monotonic()
        if len(self.connections) > self.descriptors.max_clients:
            other = self._choose_eviction(client)
            self._forget(other)
            other.close()

    def remove(self, client: Client) -> None:
        """Forget a connection that is lost."""
        self._forget(client)
        if client in self.connections:
            del self.connections[client]
            self.descriptors.in_use -= 1
            self.descriptors.connected -= 1
        if self.admission is not None:
            self.admission.connection_closed(client)

    def _forget(self, client: Client) -> None:
        for places in (self.incomplete, self.last_received, self.idle):
            places.pop(client, None)
        self.draining.pop(client, None)

    def reclassify(self, client: Client) -> None:
        """Note what a connection does now: after it was read, and after a response."""
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
                self.incomplete.pop(client, None)  # a body has a time of its own
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
        """Tell the connection admission that its messages have come to their end."""
        if self.admission is not None:
            self.admission.message_complete(client)
            if client.idle:
                self.admission.request_completed(monotonic(), client)

    def _record_message_begun(self, admission: ConnectionAdmission, now: float, client: Client) -> None:
        """Record that a message has begun; with too many of its address unfinished, the oldest is ended."""
        late = admission.message_begun(now, client)
        if late is not None and late is not client:
            self._forget(late)
            late.expire()

    def _choose_eviction(self, new: Client) -> Client:
        """The connection to close for a new one over the quota.

        Guards the usual clients, slow ones too, against those that connect by hundreds and send nothing.

        First goes one that has its last response and only does not close; then one with an unfinished message
        and no byte of it for long; then, where many have sent nothing at all, one of these; then the one that
        was served longest ago, which can connect again.
        """
        now = monotonic()
        if self.admission is not None:
            could = [one for one in self.connections if self._is_evictable(one)]
            return self.admission.eviction_candidate(now, could or [new])
        draining = next((client for client in self.draining if not client.serving), None)
        if draining is not None:
            return draining
        incomplete = [client for client in self.last_received if not client.serving]  # at least the new one
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
        """Close one that waits for nothing, in favour of accepted requests; False if each has one pending.

        Guards accepted requests against a lack of descriptors: their attempts need some.
        """
        return self._evict(1) > 0

    def evict_for_new_connection(self) -> bool:
        """The same for a connection that is not accepted yet: no known client goes for one that is not known.

        Those accepted in this turn are not among the clients yet, so a known one may be all that could go.
        """
        now = monotonic()
        if self.admission is not None and all(self.admission.is_known(now, one) for one in self._evictable()):
            return False
        return self.evict_one()

    def _evictable(self) -> Iterable[Client]:
        """Those that wait for nothing, the oldest first."""
        closable = (one for one in self.idle if one.closable)
        return chain(
            (one for one in self.draining if not one.serving),
            closable,
            (one for one in self.last_received if not one.serving),
        )

    def _is_evictable(self, client: Client) -> bool:
        """Whether it is one of those that wait for nothing."""
        if client in self.last_received or client.draining:
            return not client.serving
        return client.closable

    def _evict(self, limit: int) -> int:
        """Close up to so many that wait for nothing; how many they were."""
        if self.admission is None:
            going = list(islice(self._evictable(), limit))
        else:
            remaining, going = dict.fromkeys(self._evictable()), []
            while remaining and len(going) < limit:
                going.append(self.admission.eviction_candidate(monotonic(), remaining))
                del remaining[going[-1]]
        for one in going:
            self._forget(one)
            one.close()
        return len(going)

    def _enforce_quota(self) -> None:
        """Cut down to a share that has become smaller, as soon as enough of them wait for nothing.

        Guards operators, discovery and requests: a new connection takes the place of one client, so clients
        that are over their share stay over it, and with no descriptor left every new connection is ended.
        """
        self.descriptors.apply_system_limit()
        if self.descriptors.total < self.applied_total:
            self._evict(
                min(max(len(self.connections) - self.descriptors.max_clients, 0), MAX_EVICTIONS_PER_SWEEP)
            )
            if len(self.connections) <= self.descriptors.max_clients:
                self.applied_total = self.descriptors.total

    def sweep(self) -> None:
        """Guards descriptors and memory against clients that never end a message or never come back."""
        self._enforce_quota()
        now = monotonic()
        for client in _since(self.incomplete, now - self.timeouts.head_s):
            received = client.recent_body_bytes()
            # What is not being read may have come long ago.
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
        for client in _since(self.idle, now - self.timeouts.idle_s):
            client.expire()

    def close_idle_connections(self) -> None:
        """Close every connection on which nothing is open, has begun or waits to be read.

        Not one that has never asked: its first request may be on its way, and its time is short anyway.
        """
        for client in list(self.connections):
            if client.has_sent_request and client.closable:
                client.close()


def _since(places: dict[Client, float], time: float) -> list[Client]:
    return [client for client, _ in takewhile(lambda place: place[1] <= time, places.items())]
