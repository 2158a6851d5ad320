"""Executes the balancer's actions: each kind is passed to the part of the core that implements it."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import assert_never

from ..policy import interface as api
from ..policy.interface import Status
from .attempt_manager import AttemptManager
from .clock import NS_PER_MS
from .dispatcher import EventDispatcher
from .log import log
from .ports import EndpointSource, GossipSender, UpstreamTransport
from .request_manager import RequestManager

PROBE_TIMEOUT_S = 0.4


class ActionExecutor:
    """Routes each action to the part that executes it; owns the endpoint source and the gossip sender."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dispatcher: EventDispatcher,
        requests: RequestManager,
        attempts: AttemptManager,
        transports: Sequence[UpstreamTransport],
    ) -> None:
        """Create an executor on these parts; transports may be added to `transports` later."""
        self.loop = loop
        self.dispatcher = dispatcher
        self.requests = requests
        self.attempts = attempts
        self.transports = transports
        self.source: EndpointSource | None = None
        self.gossip: GossipSender | None = None

    def execute(self, action: api.Action) -> None:  # noqa: C901 - a case for each kind of action
        """Execute one action. The most frequent kinds are matched first."""
        match action:
            case api.Send():
                self.send(action)
            case api.SetTimer():
                self.set_timer(action)
            case api.Reject():
                self.requests.reject(action.id, action.retry_after_ns)
            case api.Fail():
                self.requests.fail(action.id)
            case api.Cancel():
                self.attempts.cancel(action.id, action.attempt)
            case api.Probe():
                self.probe(action)
            case api.CloseIdle():
                self.close_idle(action)
            case api.PublishGossip():
                self.publish_gossip(action)
            case api.Watch():
                self.watch(action)
            case api.Fetch():
                self.fetch()
            case api.Log():
                log.info("balancer_message", message=action.text)
            case _:
                assert_never(action)

    def send(self, action: api.Send) -> None:
        """Start an attempt, unless its request has been answered: the balancer will be notified of that."""
        pending = self.requests.pending.get(action.id)
        if pending is not None:
            self.attempts.start(pending, action.server, action.timeout_ns)

    def set_timer(self, action: api.SetTimer) -> None:
        """Dispatch a timer event after the action's delay.

        The delay is rounded up to whole milliseconds: that is the resolution of the event loop's timers, and
        a timer must not fire early.
        """
        delay_s = -(-action.after_ns // NS_PER_MS) / 1000
        self.loop.call_later(delay_s, self.dispatcher.dispatch, api.Timer(action.token))

    def probe(self, action: api.Probe) -> None:
        """Probe the health of a server, and dispatch the result."""
        server, started_ns = action.server, self.dispatcher.clock.now()

        def on_probe_result(status: Status, report: tuple[float, ...]) -> None:
            duration_ns = self.dispatcher.clock.now() - started_ns
            self.dispatcher.dispatch(api.ProbeResult(server, status, duration_ns, report))

        self.transports[0].probe(server, PROBE_TIMEOUT_S, on_probe_result)

    def close_idle(self, action: api.CloseIdle) -> None:
        """Close the idle connections to a server."""
        for upstream_transport in self.transports:
            upstream_transport.close_idle(action.server)

    def publish_gossip(self, action: api.PublishGossip) -> None:
        """Send a gossip message to one other sidecar, or to all of them."""
        if self.gossip is not None:
            self.gossip.send(action.data, action.peer)

    def watch(self, action: api.Watch) -> None:
        """Start or stop watching the endpoint list for changes."""
        if self.source is not None:
            self.source.watch(on=action.on)

    def fetch(self) -> None:
        """Request the complete endpoint list once."""
        if self.source is not None:
            self.source.fetch()

    def close_source(self) -> None:
        """Close the endpoint source."""
        if self.source is not None:
            self.source.close()

    def close_gossip(self) -> None:
        """Close the gossip sender."""
        if self.gossip is not None:
            self.gossip.close()
