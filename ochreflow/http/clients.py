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
SLOW_READER_TIMEOUT_S = 5.0  # seconds in which a client may take nothing of an answer
# Of the clients' quota of descriptors: when more have sent nothing, it is no burst of the usual ones.
MAX_SILENT_SHARE = 0.25
STALE_AFTER_S = 0.5  # seconds without a byte, with a message owed: slow clients write a piece more often
# Clients closed in one sweep for a quota that has become smaller: a turn of the loop must not be long.
MAX_EVICTIONS_PER_SWEEP = 32
FIRST_REQUEST_DELAY_S = 0.02  # seconds in which a new connection's first request may well be on its way


@dataclass(slots=True)
class Times:
    """How long clients may take, in seconds. What changes here holds from the next look on."""

    head: float = field(default_factory=lambda: HEAD_TIMEOUT_S)
    idle: float = field(default_factory=lambda: IDLE_TIMEOUT_S)
    slow_reader: float = field(default_factory=lambda: SLOW_READER_TIMEOUT_S)


class Client(Protocol):
    """What is asked of a client's connection here."""

    begun: bool  # a message has begun and not ended
    head_ended: bool  # since `Clients` last looked
    asked: bool  # whether it has ever sent a whole message
    paused: bool
    size: int

    @property
    def serving(self) -> bool: ...

    @property
    def idle(self) -> bool: ...

    @property
    def quiet(self) -> bool: ...

    @property
    def lingering(self) -> bool: ...

    @property
    def host(self) -> str: ...

    def came_since_look(self) -> int | None: ...

    def expire(self) -> None: ...

    def close(self) -> None: ...


class Refusal(Protocol):
    @property
    def value(self) -> Any: ...


class ConnectionAdmission(Protocol):
    """What decides on connections by their addresses, where that is asked for; see `ochreflow.admission`."""

    def admit(self, now: float, key: Client, address: str) -> Refusal | None: ...

    def message_begun(self, now: float, key: Client) -> Client | None: ...

    def message_complete(self, key: Client) -> None: ...

    def request_completed(self, now: float, key: Client) -> None: ...

    def connection_closed(self, key: Client) -> None: ...

    def snapshot(self, now: float) -> Sequence[tuple[str, float]]: ...

    def restore(self, now: float, snapshot: object) -> None: ...

    def eviction_candidate(self, now: float, keys: Iterable[Client]) -> Client: ...

    def is_known(self, now: float, key: Client) -> bool: ...


class Clients:
    """Every connection is in `waited` while a message is owed, in `idle` when nothing is, in `lingering` when
    only its client's close is waited for, or in none of them.

    Those in `waited` are in `heard` too, by their latest byte. All are in the order of time, so that
    looking after them costs nothing for those that are in time.
    """

    def __init__(self, descriptors: Descriptors) -> None:
        self.descriptors = descriptors
        self.total = descriptors.total  # as the clients were last cut down to their share of it
        self.times = Times()
        self.admission: ConnectionAdmission | None = None
        self.all: dict[Client, None] = {}
        self.waited: dict[Client, float] = {}
        self.heard: dict[Client, float] = {}
        self.idle: dict[Client, float] = {}
        self.lingering: dict[Client, None] = {}
        self.let_in: set[Client] = set()  # by the connection admission, and not added yet
        descriptors.evictors.append(self.give_way)

    def admit(self, client: Client, host: str) -> bool:
        """Whether the connection admission, if there is one, lets in a connection from this address."""
        refusal = self.admission.admit(monotonic(), client, host) if self.admission is not None else None
        if refusal is not None:
            log.info("connection_rejected", address=host, reason=refusal.value)
            return False
        self.let_in.add(client)
        return True

    def never_came(self, client: Client) -> None:
        """It was let in, and ended before it was added."""
        self.let_in.discard(client)
        if self.admission is not None:
            self.admission.connection_closed(client)

    def add(self, client: Client) -> None:
        """Take up a new connection, if it is let in; over the clients' share, one of them goes."""
        if client not in self.let_in and not self.admit(client, client.host):
            client.close()
            return
        self.let_in.discard(client)
        self.all[client] = None
        self.descriptors.in_use += 1
        self.descriptors.connected += 1
        self.waited[client] = self.heard[client] = monotonic()
        if len(self.all) > self.descriptors.max_clients:
            other = self._one_to_leave(client)
            self._forget(other)
            other.close()

    def remove(self, client: Client) -> None:
        self._forget(client)
        if client in self.all:
            del self.all[client]
            self.descriptors.in_use -= 1
            self.descriptors.connected -= 1
        if self.admission is not None:
            self.admission.connection_closed(client)

    def _forget(self, client: Client) -> None:
        for places in (self.waited, self.heard, self.idle):
            places.pop(client, None)
        self.lingering.pop(client, None)

    def place(self, client: Client) -> None:
        """Note what a connection does now: after it was read, and after an answer."""
        self.idle.pop(client, None)
        if client not in self.all:
            return
        if client.lingering:
            self._forget(client)
            self.lingering[client] = None
            if client.asked:
                self._owes_nothing(client)
        elif client.begun:
            if client.head_ended:
                client.head_ended = False
                self.waited.pop(client, None)  # a body has a time of its own
            now = monotonic()
            self.waited.setdefault(client, now)
            self.heard.pop(client, None)
            self.heard[client] = now
            if self.admission is not None:
                self._too_many(self.admission, now, client)
        elif client.asked:
            self.waited.pop(client, None)
            self.heard.pop(client, None)
            if client.idle:
                self.idle[client] = monotonic()
            self._owes_nothing(client)

    def _owes_nothing(self, client: Client) -> None:
        """Tell the connection admission that its messages have come to their end."""
        if self.admission is not None:
            self.admission.message_complete(client)
            if client.idle:
                self.admission.request_completed(monotonic(), client)

    def _too_many(self, admission: ConnectionAdmission, now: float, client: Client) -> None:
        """A message has begun: its address may owe too many of them, and the oldest goes."""
        late = admission.message_begun(now, client)
        if late is not None and late is not client:
            self._forget(late)
            late.expire()

    def _one_to_leave(self, new: Client) -> Client:
        """Guards the usual clients, slow ones too, against those that connect by hundreds and say nothing.

        First goes who has had the last answer and only does not close; then who owes a message and has long
        sent no byte of it; then, where many have sent nothing at all, one of these; then who was answered
        longest ago and can come again.
        """
        now = monotonic()
        if self.admission is not None:
            could = [one for one in self.all if self._can_go(one)]
            return self.admission.eviction_candidate(now, could or [new])
        lingering = next((client for client in self.lingering if not client.serving), None)
        if lingering is not None:
            return lingering
        owing = [client for client in self.heard if not client.serving]  # the new one at the latest
        if self.heard[owing[0]] <= now - STALE_AFTER_S:
            return owing[0]
        mute = [client for client in owing if not client.size and not client.asked]
        if len(mute) > self.descriptors.max_clients * MAX_SILENT_SHARE:
            return mute[0]
        quiet = next((client for client in self.idle if client.quiet), None)
        if quiet is not None:
            return quiet
        return mute[0] if self.heard[mute[0]] <= now - FIRST_REQUEST_DELAY_S else owing[0]

    def give_way(self) -> bool:
        """Close one that waits for nothing, for what has been taken; False if every one is owed an answer.

        Guards what was taken against a lack of descriptors: its attempts need some, and so do answers.
        """
        return self._let_go(1) > 0

    def give_way_to_newcomer(self) -> bool:
        """The same for a connection that is not accepted yet: no known client goes for one that is not known.

        Those accepted in this turn are not among the clients yet, so a known one may be all that could go.
        """
        now = monotonic()
        if self.admission is not None and all(self.admission.is_known(now, one) for one in self._could_go()):
            return False
        return self.give_way()

    def _could_go(self) -> Iterable[Client]:
        """Those that wait for nothing, the oldest first."""
        quiet = (one for one in self.idle if one.quiet)
        return chain(
            (one for one in self.lingering if not one.serving),
            quiet,
            (one for one in self.heard if not one.serving),
        )

    def _can_go(self, client: Client) -> bool:
        """Whether it is one of those that wait for nothing."""
        if client in self.heard or client.lingering:
            return not client.serving
        return client.quiet

    def _let_go(self, most: int) -> int:
        """Close up to so many that wait for nothing; how many they were."""
        if self.admission is None:
            going = list(islice(self._could_go(), most))
        else:
            left, going = dict.fromkeys(self._could_go()), []
            while left and len(going) < most:
                going.append(self.admission.eviction_candidate(monotonic(), left))
                del left[going[-1]]
        for one in going:
            self._forget(one)
            one.close()
        return len(going)

    def _keep_to_share(self) -> None:
        """Cut down to a share that has become smaller, as soon as enough of them wait for nothing.

        Guards operators, discovery and requests: a new connection takes the place of one client, so clients
        that are over their share stay over it, and with no descriptor left every new connection is ended.
        """
        self.descriptors.apply_system_limit()
        if self.descriptors.total < self.total:
            self._let_go(min(max(len(self.all) - self.descriptors.max_clients, 0), MAX_EVICTIONS_PER_SWEEP))
            if len(self.all) <= self.descriptors.max_clients:
                self.total = self.descriptors.total

    def sweep(self) -> None:
        """Guards descriptors and memory against clients that never end a message or never come back."""
        self._keep_to_share()
        now = monotonic()
        for client in _since(self.waited, now - self.times.head):
            came = client.came_since_look()
            # What is not being read may have come long ago.
            if client.paused or came is None or came >= MIN_BODY_BYTES_PER_S * (now - self.waited[client]):
                del self.waited[client]
                self.waited[client] = now
            else:
                self._forget(client)
                client.expire()
        for client in _since(self.idle, now - self.times.idle):
            client.expire()

    def close_idle_connections(self) -> None:
        """Close every connection on which nothing is open, has begun or waits to be read.

        Not one that has never asked: its first request may be on its way, and its time is short anyway.
        """
        for client in list(self.all):
            if client.asked and client.quiet:
                client.close()


def _since(places: dict[Client, float], time: float) -> list[Client]:
    return [client for client, _ in takewhile(lambda place: place[1] <= time, places.items())]
