"""Keeps the endpoint list of this process and those of the other processes of its sidecar the same.

By the protocol, a change binds the whole sidecar once discovery has written it to any process. So each list
that is applied is passed on to the other processes as a complete list with its origin, and a list of another
process is applied if it is newer. `hot_restart` carries the lists.
"""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic_ns
from typing import Any

from ..core.endpoints import EndpointIds, EndpointUpdate
from ..core.engine import Engine
from ..core.log import log
from ..core.ports import Address
from ..membership.discovery import DiscoveryClient
from ..membership.endpoint_list import EndpointListError, format_endpoint_list, parse_endpoint_update
from ..membership.list_origin import CACHED, ListOrigin


class EndpointListSharing:
    """Owns the origin of the list in effect, and passes lists of either source to the engine in order."""

    def __init__(self, engine: Engine, ids: EndpointIds, origin: ListOrigin) -> None:
        """Start with the list of `origin` in effect."""
        self.engine = engine
        self.ids = ids
        self.origin = origin
        self.on_change: Callable[[], None] | None = None  # called after each change of the list in effect
        self.discovery: DiscoveryClient | None = None  # set by `use`, since it reports to this object
        self.adopted_ns = 0  # when this process began to use its address of discovery

    def use(self, discovery: DiscoveryClient, adopted_ns: int) -> None:
        """Set this process's discovery client, whose address is in use since `adopted_ns`."""
        self.discovery, self.adopted_ns = discovery, adopted_ns

    # This process's own discovery

    def on_update(self, update: EndpointUpdate | None) -> None:
        """Apply an update that discovery has sent to this process; None means that a call has failed."""
        if update is None or self.discovery is None:
            self.engine.on_endpoint_update(update)
            return
        before, self.origin = self.origin, self._origin_of(update, self.discovery.address)
        try:
            self.engine.on_endpoint_update(update)
        finally:
            if update.entries or self.origin != before:
                self._changed()

    def _origin_of(self, update: EndpointUpdate, address: Address) -> ListOrigin:
        known, resets = self.origin, 0
        if address == known.address and known.resets != CACHED:
            resets = known.resets + (update.version < known.version)
        return ListOrigin(address, self.adopted_ns, resets, update.version)

    def switch_address(self, address: Address) -> None:
        """Use another address of discovery from now on, because of a new configuration."""
        if self.discovery is not None and address != self.discovery.address:
            self.adopted_ns = monotonic_ns()
            self.discovery.switch_address(address)

    # The other processes

    def snapshot(self) -> tuple[dict[str, Any], ListOrigin]:
        """Return the complete list in effect in discovery's format, and its origin."""
        entries = self.engine.endpoints.listed.values()
        return format_endpoint_list(self.origin.version, entries, self.ids), self.origin

    def on_shared_list(self, data: object, origin: ListOrigin) -> None:
        """Apply the complete list of another process, unless the own one is as new."""
        if self.discovery is None or not origin.is_newer_than(self.origin):
            return
        try:
            update = parse_endpoint_update(data, self.ids)
        except EndpointListError as error:
            log.warning("inherited_list_invalid", reason=str(error))
            return
        log.info("endpoint_list_shared", version=origin.version)
        self.origin = origin
        if origin.address == self.discovery.address:
            self.discovery.set_version(update)
        elif origin.adopted_ns > self.adopted_ns:
            self.adopted_ns = origin.adopted_ns
            self.discovery.switch_address(origin.address, update)
        try:
            self.engine.on_shared_list(update)
        finally:
            self._changed()

    def on_peer_silent(self) -> None:
        """Poll soon if no watch is open: another process may have been notified and can't pass it on."""
        self.engine.on_peer_silent()

    def _changed(self) -> None:
        if self.on_change is not None:
            self.on_change()
