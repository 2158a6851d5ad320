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
from .silence import Waits

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.REMOVED}
ANSWER_WITHIN = 3.5  # seconds beyond a call's own wait: discovery works through calls in turn
CALLS_APART = 0.1  # seconds between calls that are answered at once with nothing new


class ListError(OchreflowError, ValueError):
    """What came is no list of servers."""


class Calls(Protocol):
    """How a directory at one address is asked."""

    def get(self, target: str, within: float, done: Callable[[bytes | None, str], None]) -> None:
        """Ask once; `done` hears the answer, or None and the reason. Times in seconds."""
        ...

    def close(self) -> None: ...


def parse_endpoint_update(data: object, names: EndpointIds) -> EndpointUpdate:
    """Read a list or a change of it, whole or not at all: an unreadable one leaves no names behind."""
    try:
        if not isinstance(data, dict) or not isinstance(data["endpoints"], list):
            raise ListError("no list of endpoints")
        version, complete = int(data["index"]), bool(data["snapshot"])
        entries = [_read_entry(entry) for entry in data["endpoints"]]
    except (KeyError, TypeError, ValueError, OverflowError, AttributeError) as error:
        raise ListError(f"{type(error).__name__}: {error}") from None
    for listed, zone, kind in entries:
        endpoint = listed.endpoint
        endpoint.server = names.server(listed.name)
        endpoint.zone, endpoint.kind = names.zone(zone), names.kind(kind)
    return EndpointUpdate(version, complete, [listed for listed, _, _ in entries])


def format_endpoint_list(version: int, entries: Iterable[EndpointRecord], names: EndpointIds) -> dict:
    """The whole list in the form that `read_news` reads."""
    zones, kinds = ({number: name for name, number in known.items()} for known in (names.zones, names.kinds))
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


def _read_entry(entry: dict) -> tuple[EndpointRecord, str, str]:
    """An entry without its numbers, with the names of its zone and kind."""
    since_ms = int(entry.get("since_ms") or 0)
    if since_ms < 0:
        raise ListError(f"since_ms is {since_ms}")
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
    listed = EndpointRecord(str(entry["name"]), endpoint, split_address(entry["address"]), since_ms)
    return listed, str(entry.get("zone", "")), str(entry.get("type", ""))


class Directory:
    """Watches and fetches when told to; any failure is news of its own and ends no watcher for good."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        calls: Callable[[Address], Calls],
        address: Address,
        names: EndpointIds,
        version: int,
        heard: Callable[[EndpointUpdate | None], None],
        pushed: bool,
        waits: Waits,
    ) -> None:
        self.loop = loop
        self.waits = waits
        self.calls_to = calls
        self.names = names
        self.version: int | None = version  # None: a whole list is wanted first
        self.heard = heard
        self.pushed = pushed
        self.watching = False
        self.doubtful = False  # the latest watch has fallen silent: a whole list shows who is there
        self.round = 0  # of watching: a call of an earlier one tells its news and goes on with nothing
        self.overdue: asyncio.TimerHandle | None = None  # of the latest watch
        self.taken = 0  # answers
        self.called = 0.0
        self.failing = False
        self.closed = False
        self.address = address
        self.calls = calls(address)

    def turn(self, address: tuple[str, int]) -> None:
        """Go over to another discovery at once, with a whole list first.

        Guards against the new one's index having begun anew, and against answers of the old one, which
        counts no longer and soon closes its connections. When to ask the new one is up to the module, since
        all sidecars turn at once; the agent on the own machine has one caller.
        """
        if self.closed or address == self.address:
            return
        log.info("discovery_address_changed", host=address[0], port=address[1])
        old, self.address = self.calls, address
        self.calls = self.calls_to(address)
        old.close()
        self.version = None
        self.watch(False)
        if self.pushed:
            self.watch(True)
        else:
            self.heard(None)

    def watch(self, on: bool) -> None:
        if on == self.watching:
            return
        self.watching = on
        self._new_round(False)

    def _new_round(self, doubtful: bool) -> None:
        self.round += 1
        self.doubtful = doubtful
        if self.overdue is not None:
            self.overdue.cancel()
            self.overdue = None
        if self.watching:
            self._next_watch(self.round)

    def fetch(self) -> None:
        self._call("/api/targets", ANSWER_WITHIN, self._fetched)

    def _next_watch(self, number: int) -> None:
        if number != self.round:
            return
        self.called = self.loop.time()
        whole = self.doubtful or self.version is None
        target, wait = "/api/targets", 0.0
        if not whole:
            target += f"?after={self.version}&wait_ms={self.waits.wait_ms}"
            wait, overdue = self.waits.wait_ms / 1000, self.waits.overdue
        else:
            overdue = self.waits.check_overdue if self.doubtful else self.waits.whole_overdue
        self.overdue = self.loop.call_later(wait + overdue, self._call_overdue, number, whole)
        self._call(target, wait + ANSWER_WITHIN, partial(self._watched, number))

    def _call_overdue(self, number: int, whole: bool) -> None:
        """A call has not answered in time: what it still says is taken, but it is not waited for."""
        if number != self.round:
            return
        if not whole or self.doubtful:
            log.info("discovery_poll_overdue", version=self.version)
        if not whole:
            self._new_round(True)
            return
        if self.doubtful:
            # The module counts from now on, so a call begins now; its answer is one that is late.
            self._call("/api/targets", ANSWER_WITHIN, partial(self._watched, number))
        self._failed("no answer")

    def _call(self, target: str, within: float, done: Callable[[EndpointUpdate | None, str], None]) -> None:
        calls, taken = self.calls, self.taken

        def ended(body: bytes | None, reason: str) -> None:
            if calls is not self.calls or self.closed:
                return  # an answer of a directory that has been left
            news = None
            if body is not None:
                try:
                    news = self._in_order(parse_endpoint_update(json.loads(body), self.names), taken)
                except (ValueError, RecursionError) as error:
                    reason = str(error)
            done(news, reason)

        calls.get(target, within, ended)

    def _in_order(self, news: EndpointUpdate, taken: int) -> EndpointUpdate:
        """Guards the list against answers that come after a newer one to a later call."""
        if self.version is None:
            if not news.complete:
                raise ListError("changes came in place of the whole list")
        elif news.version < self.version:
            if taken != self.taken:
                return EndpointUpdate(self.version, False, [])
            if not news.complete:
                self.version = None
                raise ListError("the index went back")
        return news

    def _watched(self, number: int, news: EndpointUpdate | None, reason: str) -> None:
        if number != self.round:
            if news is not None:
                try:
                    self._take(news)  # it was written to this sidecar, so it counts as told
                finally:
                    self.watch(True)  # the module takes it for watching from here on
            return
        if self.overdue is not None:
            self.overdue.cancel()
            self.overdue = None
        if news is None:
            self._failed(reason)
            return
        self._note(news, reason)
        self.doubtful = False
        try:
            self._take(news)
        finally:
            # Guards against asking an agent in a tight loop; a pause within 200 ms ends no watch.
            pause = 0.0 if news.entries else CALLS_APART - (self.loop.time() - self.called)
            if pause > 0.0:
                self.loop.call_later(pause, self._next_watch, number)
            else:
                self._next_watch(number)

    def _failed(self, reason: str) -> None:
        self._note(None, reason)
        self.watch(False)
        if self.pushed:  # nobody asks the agent but this; the module only waits for what it tells
            self.loop.call_later(self.waits.pushed_again, self.watch, True)
        self._take(None)

    def _fetched(self, news: EndpointUpdate | None, reason: str) -> None:
        self._note(news, reason)
        self._take(news)

    def _note(self, news: EndpointUpdate | None, reason: str) -> None:
        """Log the first failure and the recovery: an outage lasts, and what it says does not change."""
        if self.failing != (news is None):
            self.failing = news is None
            if self.failing:
                log.warning("discovery_failed", reason=reason)
            else:
                log.info("discovery_recovered")

    def _take(self, news: EndpointUpdate | None) -> None:
        if news is not None:
            self.version = news.version
            self.taken += 1
        self.heard(news)

    def close(self) -> None:
        self.closed = True
        self.watch(False)
        self.calls.close()
