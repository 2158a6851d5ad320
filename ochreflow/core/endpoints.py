"""The currently listed servers, and the numbers that identify them to the balancer."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..policy.interface import Endpoint, ListKind, Membership, State
from .clock import NS_PER_MS
from .log import log
from .ports import Address, UpstreamTransport
from .wall_clock import WallClock

MAX_DISTINCT_NAMES = 256  # limit for zones and for kinds; further names share one number


@dataclass(slots=True)
class EndpointRecord:
    """One entry of the endpoint list, with the fields that only transports need."""

    name: str
    endpoint: Endpoint
    address: Address
    since_ms: int  # the last start, in Unix time; 0: long ago


@dataclass(slots=True)
class EndpointUpdate:
    """An update from an endpoint source: the complete list, or changes of it."""

    version: int
    complete: bool
    entries: list[EndpointRecord]

    def to_membership(self, kind: ListKind | None = None) -> Membership:
        """Return the update as an event for the balancer, of `kind` if that is given."""
        kind = kind or (ListKind.FULL if self.complete else ListKind.DELTA)
        return Membership(kind, self.version, [entry.endpoint for entry in self.entries])


class EndpointIds:
    """The numbers that identify servers, zones and kinds to the balancer."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        """Number the zones and kinds of the configuration, in their order."""
        self.servers: dict[str, int] = {}
        self.zones = {name: number for number, name in enumerate(zones)}
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.next_server = 1

    def server(self, name: str) -> int:
        """Return the number of a server; assign the next one if it has none."""
        number = self.servers.get(name)
        if number is None:
            number = self.servers[name] = self.next_server
            self.next_server += 1
        return number

    def zone(self, name: str) -> int:
        """Return the number of a zone."""
        return _number(self.zones, name)

    def kind(self, name: str) -> int:
        """Return the number of a kind of server."""
        return _number(self.kinds, name)

    def keep(self, numbers: set[int]) -> None:
        """Forget all servers except those with these numbers."""
        self.servers = {name: number for name, number in self.servers.items() if number in numbers}


def _number(numbers: dict[str, int], name: str) -> int:
    # Bounds the memory: zones or kinds beyond the limit share one number.
    if len(numbers) < MAX_DISTINCT_NAMES:
        return numbers.setdefault(name, len(numbers))
    return numbers.get(name, len(numbers))


class EndpointTable:
    """Owns the current endpoint list, and passes its changes to the transports."""

    def __init__(self, ids: EndpointIds, transports: Sequence[UpstreamTransport]) -> None:
        """Begin with an empty list; transports may be added to `transports` later."""
        self.ids = ids
        self.transports = transports
        self.listed: dict[int, EndpointRecord] = {}

    def synchronize(self, upstream_transport: UpstreamTransport) -> None:
        """Pass all listed servers to a transport that is added later."""
        for server, entry in self.listed.items():
            upstream_transport.update(server, entry.address, entry.since_ms, entry.endpoint.state)

    def set_start_times(self, update: EndpointUpdate, wall_clock: WallClock) -> None:
        """Set when each server started, in monotonic time; a start that is known already keeps its time."""
        for entry in update.entries:
            known = self.listed.get(entry.endpoint.server)
            if known is not None and known.since_ms == entry.since_ms:
                entry.endpoint.started_ns = known.endpoint.started_ns
            elif entry.since_ms:
                entry.endpoint.started_ns = wall_clock.to_monotonic(entry.since_ms * NS_PER_MS)

    def apply(self, update: EndpointUpdate) -> None:
        """Apply an update that the balancer has already received.

        The balancer comes first, so that attempts given up by transports are not retried at the same server.
        """
        if update.complete:
            named = {entry.endpoint.server for entry in update.entries}
            for server in [server for server in self.listed if server not in named]:
                log.info("server_removed", server=server, name=self.listed[server].name)
                self._remove(server, self.listed[server])
        for entry in update.entries:
            self._apply_entry(entry)

    def _apply_entry(self, entry: EndpointRecord) -> None:
        endpoint = entry.endpoint
        server, state = endpoint.server, endpoint.state
        known = self.listed.get(server)
        if known is None:
            if state is State.REMOVED:
                return
            host, port = entry.address
            log.info("server_added", name=entry.name, server=server, host=host, port=port)
        else:
            if known.endpoint.state is not state:
                log.info("server_state_changed", name=entry.name, server=server, state=state.name.lower())
            if known.since_ms != entry.since_ms:
                log.info("server_restarted", name=entry.name, server=server)
        if state is State.REMOVED:
            self._remove(server, entry)
            return
        self.listed[server] = entry
        for upstream_transport in self.transports:
            upstream_transport.update(server, entry.address, entry.since_ms, state)

    def _remove(self, server: int, entry: EndpointRecord) -> None:
        del self.listed[server]
        for upstream_transport in self.transports:
            upstream_transport.update(server, entry.address, entry.since_ms, State.REMOVED)
            upstream_transport.forget(server)
