"""The sidecar: its core, HTTP frontend, upstream transport and discovery client."""

from __future__ import annotations

import asyncio
import resource
from functools import partial
from time import monotonic

from ..core.clock import NS_PER_S
from ..core.engine import Engine
from ..core.limits import Descriptors, Memory, Usage
from ..core.request_ids import RequestIdRegistries
from ..http.discovery_transport import HttpDiscoveryTransport
from ..http.frontend import HttpFrontend
from ..http.read_scheduler import ReadScheduler
from ..http.upstream import Upstreams
from ..http.upstream_transport import HttpUpstreamTransport
from ..membership.discovery import DiscoveryClient
from ..membership.timeouts import long_poll_timeouts
from .config import Config
from .endpoint_list_sharing import EndpointListSharing
from .inherited import InheritedList, address_in_use, configured_list

CONNECT_TIMEOUT_S = 1.0  # used if the settings contain no connect timeout


def system_limit() -> int | None:
    """Return the system's soft limit on the descriptors of this process; None if there is no limit."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft == resource.RLIM_INFINITY else soft


class Sidecar:
    """Owns the components, each of which owns its own state."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        usage: Usage | None = None,
        inherited: InheritedList | None = None,
        request_ids: RequestIdRegistries | None = None,
    ) -> None:
        """Create the components and start the core with the list that is `inherited`, or else configured.

        `request_ids` are shared with other processes of this sidecar; by default there are none.
        """
        usage = usage or Usage(Descriptors(config.sockets), Memory(config.memory))
        usage.descriptors.system_limit = system_limit
        usage.descriptors.apply_system_limit()
        settings = config.settings
        known = inherited or configured_list(config)
        discovery_address, adopted_ns = address_in_use(config, known)
        self.endpoint_ids = config.endpoint_ids
        self.engine = Engine(
            loop,
            settings,
            usage,
            config.endpoint_ids,
            max_open=config.transport.max_open,
            seed=config.seed,
            request_ids=request_ids,
        )
        read_scheduler = ReadScheduler(loop, usage.memory)
        self.upstreams = Upstreams(
            loop,
            usage.descriptors,
            usage.memory,
            settings.connect_timeout_ns / NS_PER_S or CONNECT_TIMEOUT_S,
            config.transport.conn_idle_ns / NS_PER_S,
            read_scheduler,
        )
        self.upstream_transport = HttpUpstreamTransport(self.upstreams, settings.report_columns)
        self.http = HttpFrontend(self.engine, self.upstream_transport, read_scheduler)
        self.lists = EndpointListSharing(self.engine, config.endpoint_ids, known.origin)
        self.discovery = DiscoveryClient(
            loop,
            partial(HttpDiscoveryTransport, loop, memory=usage.memory),
            discovery_address,
            config.endpoint_ids,
            known.update.version,
            self.lists.on_update,
            on_relocated=self.engine.on_source_relocated,
            pushed=not settings.polling_required,
            timeouts=long_poll_timeouts(settings.drain_grace_ns),
            on_failure=self.engine.on_poll_failed,
        )
        if known.origin.address != discovery_address:
            self.discovery.require_complete_list()
        self.lists.use(self.discovery, adopted_ns)
        self.engine.start(self.discovery, known.update)

    def known_clients(self) -> object:
        """Return the snapshot of known client addresses for a new process; None without admission."""
        admission = self.http.clients.admission
        return admission.snapshot(monotonic()) if admission is not None else None

    def reload(self, config: Config) -> None:
        """Apply the only part of the configuration that may change at run time: discovery's address."""
        self.lists.switch_address(config.discovery)

    def close(self) -> None:
        """Close all sockets."""
        self.engine.close()
