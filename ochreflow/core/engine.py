"""Assembles the core, which drives the balancer between frontends, transports and endpoint sources.

The core is independent of protocols. A frontend passes requests in and gets one final response to each; an
upstream transport sends attempts to servers and reports how they ended; an endpoint source reports the
servers. The interfaces are in `ports`.

    request_manager   requests and their final responses, the deadline watchdog
    attempt_manager   attempts: whether their first byte may be written, and how they end
    dispatcher        passing events to the balancer
    actions           execution of its actions
    endpoints         the endpoint list
    wall_clock        the start times of servers, whatever steps the wall clock makes
    lifecycle         readiness, draining, shutdown
"""

from __future__ import annotations

import asyncio

from ..policy import interface as api
from ..policy.balancer import Balancer
from ..policy.interface import Settings
from .actions import ActionExecutor
from .clock import NS_PER_S, Clock
from .dispatcher import EventDispatcher
from .endpoints import EndpointIds, EndpointTable, EndpointUpdate
from .fault_log import FaultLog
from .frontend_binding import FrontendBinding
from .lifecycle import Lifecycle
from .limits import Usage
from .loop_delay import LoopDelay
from .ports import EndpointSource, Frontend, GossipSender, UpstreamTransport
from .request_ids import RequestIdRegistries
from .request_manager import RequestLimits, RequestManager
from .stats import Gauges, Stats, render
from .wall_clock import WallClock

SWEEP_INTERVAL_S = 0.1


class Engine:
    """Owns the parts of the core, passes endpoint updates to them, and serves operators' queries."""

    def __init__(  # noqa: PLR0913 - the whole configuration of a sidecar
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        usage: Usage,
        endpoint_ids: EndpointIds,
        *,
        max_open: int,
        seed: int,
        request_ids: RequestIdRegistries | None = None,
    ) -> None:
        """Create the parts; allow `max_open` requests at a time, and seed the balancer with `seed`.

        `request_ids` are shared with other processes of this sidecar; by default there are none.
        """
        self.loop = loop
        self.settings = settings
        self.request_ids = request_ids or RequestIdRegistries()
        self.descriptors = usage.descriptors
        self.memory = usage.memory
        self.clock = Clock()
        self.wall_clock = WallClock(self.clock.now)
        self.balancer = Balancer(settings, seed)
        self.stats = Stats([spec.name for spec in settings.classes])
        self.frontend_bindings: list[FrontendBinding] = []
        self.transports: list[UpstreamTransport] = []
        self.endpoints = EndpointTable(endpoint_ids, self.transports)
        self.fault_log = FaultLog()
        self.loop_delay = LoopDelay()
        self.dispatcher = EventDispatcher(self.balancer, self.clock, self.fault_log)
        longest_deadline_s = max(spec.deadline_ns for spec in settings.classes) / NS_PER_S
        self.lifecycle = Lifecycle(loop, self.descriptors, longest_deadline_s, self._answer_pending)
        self.requests = RequestManager(
            loop,
            self.lifecycle,
            self.dispatcher,
            self.stats,
            RequestLimits(max_open, settings.max_attempts, self.memory),
        )
        self.attempts = self.requests.attempts
        self.actions = ActionExecutor(loop, self.dispatcher, self.requests, self.attempts, self.transports)
        self.dispatcher.set_executor(self.actions.execute)

    def bind_frontend(
        self, label: str, frontend: Frontend, upstream_transport: UpstreamTransport
    ) -> FrontendBinding:
        """Add a frontend; its transport gets the servers known so far and all later updates."""
        counts = self.stats.add_frontend(label)
        frontend_binding = FrontendBinding(
            label, frontend, upstream_transport, counts, self.request_ids.of(label)
        )
        self.frontend_bindings.append(frontend_binding)
        self.lifecycle.frontends.append(frontend)
        if upstream_transport not in self.transports:
            self.endpoints.synchronize(upstream_transport)
            self.transports.append(upstream_transport)
        return frontend_binding

    def start(self, source: EndpointSource, known: EndpointUpdate) -> None:
        """Begin with the last known endpoint list and the source of its updates."""
        self.actions.source = source
        self._apply(known, api.ListKind.CACHED)
        if not self.settings.polling_required:
            source.watch(on=True)
        self._sweep()

    def set_gossip_sender(self, sender: GossipSender) -> None:
        """Publish gossip through `sender`, which is closed with the engine."""
        self.actions.gossip = sender

    def log_fault(self, reason: str) -> None:
        """Log the exception that is being handled; `reason` says what failed and what follows."""
        self.fault_log.log(reason)

    # Endpoint updates and gossip

    def on_endpoint_update(self, update: EndpointUpdate | None) -> None:
        """Apply an update of the endpoint list; None means that its source has failed."""
        if update is None:
            self.dispatcher.dispatch(api.Membership(api.ListKind.FAILED, 0, []))
        else:
            self._apply(update)

    def on_poll_failed(self, failure: api.PollFailure, notified_ns: int | None) -> None:
        """Notify the balancer that a poll of the source of the endpoint list has failed.

        `notified_ns` is the time in which missed changes count as notified, if any may have been missed.
        """
        self.dispatcher.dispatch(api.Membership(api.ListKind.FAILED, 0, [], failure, notified_ns))

    def on_shared_list(self, update: EndpointUpdate) -> None:
        """Apply the complete list of another process of this sidecar."""
        self._apply(update, api.ListKind.SHARED)

    def on_peer_silent(self) -> None:
        """Notify the balancer that another process may be notified of changes without passing them on."""
        self.dispatcher.dispatch(api.Membership(api.ListKind.PEER_SILENT, 0, []))

    def on_source_relocated(self) -> None:
        """Notify the balancer that the source of the endpoint list is at another address."""
        self.dispatcher.dispatch(api.Membership(api.ListKind.RELOCATED, 0, []))

    def _apply(self, update: EndpointUpdate, kind: api.ListKind | None = None) -> None:
        self.endpoints.set_start_times(update, self.wall_clock)
        self.dispatcher.dispatch(update.to_membership(kind))
        self.endpoints.apply(update)
        # Forget ids after changes too: while servers are being replaced, a complete list may never arrive.
        self.endpoints.ids.keep(set(self.balancer.endpoints.servers) | set(self.endpoints.listed))

    def on_gossip(self, sender: int, data: bytes) -> None:
        """Pass a gossip message from another sidecar to the balancer."""
        self.dispatcher.dispatch(api.GossipReceived(sender, data))

    # Housekeeping and shutdown

    def _sweep(self) -> None:
        self.loop_delay.timer_ran()
        self.wall_clock.observe()
        for upstream_transport in self.transports:
            upstream_transport.sweep()
        for frontend_binding in self.frontend_bindings:
            frontend_binding.frontend.sweep()
        self.loop_delay.timer_set(SWEEP_INTERVAL_S)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _answer_pending(self) -> None:
        self.requests.answer_all()

    def close(self) -> None:
        """Close all sockets."""
        self.lifecycle.close()
        self.actions.close_source()
        for upstream_transport in self.transports:
            upstream_transport.close()
        self.actions.close_gossip()
        for frontend_binding in self.frontend_bindings:
            frontend_binding.frontend.close()

    # Operators' queries and commands

    def healthy(self) -> bool:
        """Return whether this sidecar is ready for new clients."""
        return self.lifecycle.ready

    def report(self) -> str:
        """Return the counters and gauges, one per line."""
        gauges = Gauges(
            outstanding=len(self.requests.pending),
            discovered=len(self.endpoints.listed),
            ejected=len(self.balancer.endpoints.ejected),
            reserved_bytes=self.memory.reserved_bytes,
            max_reserved_bytes=self.memory.max_bytes,
            overhead_bytes=self.memory.overhead_bytes,
        )
        return render(self.stats, gauges)

    def drain(self) -> bool:
        """Begin to drain; return False if the process is already terminating."""
        return self.lifecycle.drain()

    def undrain(self) -> bool:
        """Cancel a drain; return False if the process is terminating."""
        return self.lifecycle.undrain()
