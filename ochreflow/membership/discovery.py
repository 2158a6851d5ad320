"""The list of servers: what discovery's answers say, and the calls that ask for them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from functools import partial
from typing import Protocol

from ..core.address import split_address
from ..core.endpoints import EndpointIds, EndpointRecord, EndpointUpdate
from ..core.log import log
from ..core.ports import Address
from ..errors import OchreflowError
from ..policy.interface import Endpoint, State
from .timeouts import LongPollTimeouts

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.REMOVED}
ANSWER_TIMEOUT_S = 3.5  # seconds beyond a call's own wait: discovery works through calls in turn
MIN_POLL_INTERVAL_S = 0.1  # seconds between calls that are answered at once with nothing new


class EndpointListError(OchreflowError, ValueError):
    """What came is no list of servers."""


class DiscoveryTransport(Protocol):
    """How a directory at one address is asked."""

    def get(self, target: str, timeout_s: float, on_answer: Callable[[bytes | None, str], None]) -> None:
        """Ask once; `on_answer` hears the answer, or None and the reason. Times in seconds."""
        ...

    def close(self) -> None: ...


def parse_endpoint_update(data: object, ids: EndpointIds) -> EndpointUpdate:
    """Read a list or a change of it, complete or not at all: an unreadable one leaves no names behind."""
    try:
        fields = _list_fields(data)
        version, complete = int(fields["index"]), bool(fields["snapshot"])
        entries = [_read_entry(entry) for entry in fields["endpoints"]]
    except EndpointListError as error:
        raise EndpointListError(f"ListError: {error}") from None  # operators know this word; it stays
    except (KeyError, TypeError, ValueError, OverflowError, AttributeError) as error:
        raise EndpointListError(f"{type(error).__name__}: {error}") from None
    for record, zone, kind in entries:
        endpoint = record.endpoint
        endpoint.server = ids.server(record.name)
        endpoint.zone, endpoint.kind = ids.zone(zone), ids.kind(kind)
    return EndpointUpdate(version, complete, [record for record, _, _ in entries])


def format_endpoint_list(version: int, entries: Iterable[EndpointRecord], ids: EndpointIds) -> dict:
    """The whole list in the form that `read_news` reads."""
    zones, kinds = ({number: name for name, number in known.items()} for known in (ids.zones, ids.kinds))
    words = {state: word for word, state in STATES.items()}
    return {
        "index": version,
        "snapshot": True,
        "endpoints": [
            {
                "name": entry.name,
                "address": f"{entry.address[0]}:{entry.address[1]}",
                "zone": zones.get(entry.endpoint.zone, ""),
                "type": kinds.get(entry.endpoint.kind, ""),
                "group": entry.endpoint.cell,
                "status": words[entry.endpoint.state],
                "weight": entry.endpoint.weight,
                "since_ms": entry.since_ms,
            }
            for entry in entries
        ],
    }


def _list_fields(data: object) -> dict:
    """The list's fields; EndpointListError if it has no entries."""
    if not isinstance(data, dict) or not isinstance(data["endpoints"], list):
        raise EndpointListError("no list of endpoints")
    return data


def _read_entry(entry: dict) -> tuple[EndpointRecord, str, str]:
    """An entry without its numbers, with the names of its zone and kind."""
    since_ms = int(entry.get("since_ms") or 0)
    if since_ms < 0:
        raise EndpointListError(f"since_ms is {since_ms}")
    endpoint = Endpoint(
        server=0,
        zone=0,
        kind=0,
        cell=int(entry.get("group") or 0),
        # A status of tomorrow is no invitation to send anything new.
        state=STATES.get(entry["status"], State.DRAINING),
        weight=float(entry.get("weight", 1.0)),
        started_ns=since_ms * 1_000_000,
    )
    record = EndpointRecord(str(entry["name"]), endpoint, split_address(entry["address"]), since_ms)
    return record, str(entry.get("zone", "")), str(entry.get("type", ""))


class DiscoveryClient:
    """Watches and fetches when told to; any failure is news of its own and ends no watcher for good."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect: Callable[[Address], DiscoveryTransport],
        address: Address,
        ids: EndpointIds,
        version: int,
        on_update: Callable[[EndpointUpdate | None], None],
        pushed: bool,
        timeouts: LongPollTimeouts,
    ) -> None:
        self.loop = loop
        self.timeouts = timeouts
        self.connect = connect
        self.ids = ids
        self.version: int | None = version  # None: a whole list is wanted first
        self.on_update = on_update
        self.pushed = pushed
        self.watching = False
        self.resync_pending = False  # the latest watch has fallen silent: a whole list shows who is there
        self.watch_generation = (
            0  # of watching: a call of an earlier one tells its update and goes on with nothing
        )
        self.stall_timer: asyncio.TimerHandle | None = None  # of the latest watch
        self.answers_accepted = 0  # answers
        self.polled_at = 0.0
        self.failing = False
        self.closed = False
        self.address = address
        self.transport = connect(address)

    def switch_address(self, address: tuple[str, int]) -> None:
        """Go over to another discovery at once, with a whole list first.

        Guards against the new one's index having begun anew, and against answers of the old one, which
        counts no longer and soon closes its connections. When to ask the new one is up to the module, since
        all sidecars turn at once; the agent on the own machine has one caller.
        """
        if self.closed or address == self.address:
            return
        log.info("discovery_address_changed", host=address[0], port=address[1])
        old, self.address = self.transport, address
        self.transport = self.connect(address)
        old.close()
        self.version = None
        self.watch(False)
        if self.pushed:
            self.watch(True)
        else:
            self.on_update(None)

    def watch(self, on: bool) -> None:
        if on == self.watching:
            return
        self.watching = on
        self._start_generation(False)

    def _start_generation(self, resync_pending: bool) -> None:
        self.watch_generation += 1
        self.resync_pending = resync_pending
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        if self.watching:
            self._next_poll(self.watch_generation)

    def fetch(self) -> None:
        self._request("/api/targets", ANSWER_TIMEOUT_S, self._on_fetch_answer)

    def _next_poll(self, generation: int) -> None:
        if generation != self.watch_generation:
            return
        self.polled_at = self.loop.time()
        complete = self.resync_pending or self.version is None
        target, wait = "/api/targets", 0.0
        if not complete:
            target += f"?after={self.version}&wait_ms={self.timeouts.wait_ms}"
            wait, stall_s = self.timeouts.wait_ms / 1000, self.timeouts.poll_stall_s
        else:
            stall_s = (
                self.timeouts.resync_stall_s if self.resync_pending else self.timeouts.complete_list_stall_s
            )
        self.stall_timer = self.loop.call_later(wait + stall_s, self._on_stall, generation, complete)
        self._request(target, wait + ANSWER_TIMEOUT_S, partial(self._on_watch_answer, generation))

    def _on_stall(self, generation: int, complete: bool) -> None:
        """A call has not answered in time: what it still says is taken, but it is not waited for."""
        if generation != self.watch_generation:
            return
        if not complete or self.resync_pending:
            log.info("discovery_poll_overdue", version=self.version)
        if not complete:
            self._start_generation(True)
            return
        if self.resync_pending:
            # The module counts from now on, so a call begins now; its answer is one that is late.
            self._request("/api/targets", ANSWER_TIMEOUT_S, partial(self._on_watch_answer, generation))
        self._on_failure("no answer")

    def _request(
        self, target: str, timeout_s: float, on_answer: Callable[[EndpointUpdate | None, str], None]
    ) -> None:
        transport, accepted_before = self.transport, self.answers_accepted

        def answered(body: bytes | None, reason: str) -> None:
            if transport is not self.transport or self.closed:
                return  # an answer of a directory that has been left
            update = None
            if body is not None:
                try:
                    update = self._check_order(
                        parse_endpoint_update(json.loads(body), self.ids), accepted_before
                    )
                except (ValueError, RecursionError) as error:
                    reason = str(error)
            on_answer(update, reason)

        transport.get(target, timeout_s, answered)

    def _check_order(self, update: EndpointUpdate, accepted_before: int) -> EndpointUpdate:
        """Guards the list against answers that come after a newer one to a later call."""
        if self.version is None:
            if not update.complete:
                raise EndpointListError("changes came in place of the whole list")
        elif update.version < self.version:
            if accepted_before != self.answers_accepted:
                return EndpointUpdate(self.version, False, [])
            if not update.complete:
                self.version = None
                raise EndpointListError("the index went back")
        return update

    def _on_watch_answer(self, generation: int, update: EndpointUpdate | None, reason: str) -> None:
        if generation != self.watch_generation:
            if update is not None:
                try:
                    self._accept(update)  # it was written to this sidecar, so it counts as told
                finally:
                    self.watch(True)  # the module takes it for watching from here on
            return
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        if update is None:
            self._on_failure(reason)
            return
        self._log_transition(update, reason)
        self.resync_pending = False
        try:
            self._accept(update)
        finally:
            # Guards against asking an agent in a tight loop; a pause within 200 ms ends no watch.
            pause = 0.0 if update.entries else MIN_POLL_INTERVAL_S - (self.loop.time() - self.polled_at)
            if pause > 0.0:
                self.loop.call_later(pause, self._next_poll, generation)
            else:
                self._next_poll(generation)

    def _on_failure(self, reason: str) -> None:
        self._log_transition(None, reason)
        self.watch(False)
        if self.pushed:  # nobody asks the agent but this; the module only waits for what it tells
            self.loop.call_later(self.timeouts.agent_retry_s, self.watch, True)
        self._accept(None)

    def _on_fetch_answer(self, update: EndpointUpdate | None, reason: str) -> None:
        self._log_transition(update, reason)
        self._accept(update)

    def _log_transition(self, update: EndpointUpdate | None, reason: str) -> None:
        """Log the first failure and the recovery: an outage lasts, and what it says does not change."""
        if self.failing != (update is None):
            self.failing = update is None
            if self.failing:
                log.warning("discovery_failed", reason=reason)
            else:
                log.info("discovery_recovered")

    def _accept(self, update: EndpointUpdate | None) -> None:
        if update is not None:
            self.version = update.version
            self.answers_accepted += 1
        self.on_update(update)

    def close(self) -> None:
        self.closed = True
        self.watch(False)
        self.transport.close()
