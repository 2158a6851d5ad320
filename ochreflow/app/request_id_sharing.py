"""Request ids during a hot restart: an id that one process of the sidecar holds is not used by another.

Processes are ordered by the time of their start. Before a process forwards a request, each older process has
to approve its id, the oldest first; an id that is in use there is denied. So of two processes that get the
same id at the same moment, one always decides for both. An older process asks nobody that is newer, and only
notifies the newer ones: what it holds must stay known when it ends, in whatever way.

A link may break while both processes run. Requests of both wait until it is restored, or until it is certain
that the other process has ended; at their deadlines they are refused.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic_ns
from typing import Protocol

from ..core.log import log
from ..core.request_ids import IdKey, RequestIdRegistries
from .request_id_messages import FrontendId, IdGreeting, IdMessage, IdMessageKind, SharedId

UNRESPONSIVE_TICKS = 20  # ticks without an answer after which that is logged
Decided = Callable[[bool], None]


class IdChannel(Protocol):
    """A link to another process."""

    def send_ids(self, message: IdMessage) -> None:
        """Send a message, in this call if the kernel accepts it."""
        ...


@dataclass(slots=True)
class Peer:
    """Another process that takes part."""

    started_ns: int  # on the system's monotonic clock
    channel: IdChannel | None  # None while the link is broken


@dataclass(slots=True)
class Approval:
    """An id that older processes are being asked for."""

    remaining: list[int]  # pids of the processes that are awaited, the oldest first
    decided: Decided
    ticks: int = 0  # since the first of them was asked
    askers: list[int] = field(default_factory=list)  # newer processes that ask for the same id


class RequestIdSharing:
    """Owns what this process knows of the others' request ids, and the ids that wait for an approval."""

    def __init__(self, process_id: int, registries: RequestIdRegistries) -> None:
        """Begin without other processes."""
        self.process_id = process_id
        self.registries = registries
        self.started_ns = monotonic_ns()
        self.peers: dict[int, Peer] = {}
        self.channels: dict[IdChannel, int | None] = {}  # all open links; None: the process is not known yet
        self.approvals: dict[FrontendId, Approval] = {}
        self.ended: list[FrontendId] = []  # ids of ended requests that the others are yet to be told of

    # Called by the core, see `RequestIdArbiter`

    def claim(self, frontend: str, key: IdKey, decided: Decided) -> None:
        """Ask the older processes for an id; `decided` may be called within this call."""
        frontend_id = FrontendId(frontend, key)
        if not self.peers:
            self._notify(IdMessageKind.TAKEN, frontend_id)  # a process may have linked and not greeted yet
            decided(True)  # noqa: FBT003  # the only argument
            return
        awaited = [
            (peer.started_ns, process_id)
            for process_id, peer in self.peers.items()
            if self._is_awaited(process_id)
        ]
        self.approvals[frontend_id] = Approval([process_id for _, process_id in sorted(awaited)], decided)
        self._ask_next(frontend_id)

    def release(self, frontend: str, key: IdKey) -> None:
        """Tell the other processes that a request has ended."""
        frontend_id = FrontendId(frontend, key)
        approval = self.approvals.pop(frontend_id, None)
        if approval is not None:
            self._answer_askers(approval, frontend_id)
        if self.channels:
            self.ended.append(frontend_id)

    def _is_older(self, process_id: int) -> bool:
        return (self.peers[process_id].started_ns, process_id) < (self.started_ns, self.process_id)

    def _is_awaited(self, process_id: int) -> bool:
        """Return whether requests wait for a process: for its approval, or until it can be notified again."""
        return process_id in self.peers and (
            self._is_older(process_id) or self.peers[process_id].channel is None
        )

    # Approvals

    def _ask_next(self, frontend_id: FrontendId) -> None:
        approval = self.approvals[frontend_id]
        while approval.remaining and not self._is_awaited(approval.remaining[0]):
            del approval.remaining[0]
        if not approval.remaining:
            self._decide(frontend_id, approved=True)
            return
        approval.ticks = 0
        channel = self.peers[approval.remaining[0]].channel
        if channel is not None:  # otherwise it is asked once it is linked again
            channel.send_ids(IdMessage(IdMessageKind.ASK, (frontend_id,)))

    def _decide(self, frontend_id: FrontendId, *, approved: bool) -> None:
        approval = self.approvals.pop(frontend_id)
        if approved:
            self._notify(IdMessageKind.TAKEN, frontend_id)
        approval.decided(approved)
        self._answer_askers(approval, frontend_id)

    def _answer_askers(self, approval: Approval, frontend_id: FrontendId) -> None:
        for process_id in approval.askers:
            self._on_ask(process_id, frontend_id)

    def _notify(self, kind: IdMessageKind, *ids: FrontendId) -> None:
        """Send to all linked processes, also to those that have not greeted yet."""
        for channel in self.channels:
            channel.send_ids(IdMessage(kind, ids))

    # Called by the links

    def greeting(self) -> IdGreeting:
        """Return what another process is told first: all ids that may not be reused."""
        held = [
            SharedId(frontend, item)
            for frontend, registry in self.registries.by_frontend.items()
            for item in registry.snapshot()
        ]
        return IdGreeting(self.started_ns, tuple(held))

    def opened(self, channel: IdChannel) -> None:
        """Record a new link, on which the greeting has just been sent."""
        self.channels[channel] = None

    def linked(self, process_id: int, greeting: IdGreeting, channel: IdChannel) -> None:
        """Record the greeting of another process, on its first link or on a further one."""
        was_unlinked = self.is_unlinked(process_id)
        self.channels[channel] = process_id
        self.peers[process_id] = Peer(greeting.started_ns, channel)
        if was_unlinked:
            self._end_unreported(process_id, greeting)
        for shared in greeting.held:
            self._merge(process_id, shared)
        self._ask_again(process_id)

    def _end_unreported(self, process_id: int, greeting: IdGreeting) -> None:
        """End the requests of a process that ended while it had no link."""
        for frontend, registry in self.registries.by_frontend.items():
            still_open = {
                shared.held.key
                for shared in greeting.held
                if shared.frontend == frontend and shared.held.owner is None and not shared.held.ended
            }
            registry.end_others_of(process_id, still_open)

    def _merge(self, process_id: int, shared: SharedId) -> None:
        owner = process_id if shared.held.owner is None else shared.held.owner
        if owner == self.process_id:
            return
        frontend_id = FrontendId(shared.frontend, shared.held.key)
        if frontend_id in self.approvals and self._is_older(process_id):
            self._decide(frontend_id, approved=False)  # it had the id first, and may end before it denies it
        self.registries.of(shared.frontend).merge(shared.held, owner)

    def closed(self, channel: IdChannel) -> bool:
        """Record that a link has ended; return whether its process has no other one, and may still run."""
        process_id = self.channels.pop(channel, None)
        peer = self.peers.get(process_id) if process_id is not None else None
        if process_id is None or peer is None or peer.channel is not channel:
            return False
        peer.channel = next((other for other, owner in self.channels.items() if owner == process_id), None)
        if peer.channel is not None:
            self._ask_again(process_id)
        return peer.channel is None

    def is_unlinked(self, process_id: int) -> bool:
        """Return whether a process takes part that has no link at present."""
        peer = self.peers.get(process_id)
        return peer is not None and peer.channel is None

    def _ask_again(self, process_id: int) -> None:
        """Go on with the approvals that wait for a process."""
        for frontend_id, approval in list(self.approvals.items()):
            if self.approvals.get(frontend_id) is approval and approval.remaining[0] == process_id:
                self._ask_next(frontend_id)

    def gone(self, process_id: int) -> None:
        """Record that a process has ended."""
        if self.peers.pop(process_id, None) is None:
            return
        for registry in self.registries.by_frontend.values():
            registry.end_others_of(process_id, still_open=())
        self._ask_again(process_id)

    def received(self, process_id: int, message: IdMessage) -> None:
        """Handle a message of another process."""
        for frontend_id in message.ids:
            match message.kind:
                case IdMessageKind.ASK:
                    self._on_ask(process_id, frontend_id)
                case IdMessageKind.APPROVED:
                    self._on_approved(process_id, frontend_id)
                case IdMessageKind.DENIED:
                    self._on_denied(process_id, frontend_id)
                case IdMessageKind.TAKEN:
                    self._on_taken(process_id, frontend_id)
                case IdMessageKind.ENDED:
                    self.registries.of(frontend_id.frontend).end_remote(frontend_id.key, process_id)

    def _on_ask(self, process_id: int, frontend_id: FrontendId) -> None:
        approval = self.approvals.get(frontend_id)
        if approval is not None:  # answered when the older processes have decided
            approval.askers.append(process_id)
            return
        peer = self.peers.get(process_id)
        if peer is None or peer.channel is None:
            return  # it asks again when it is linked again
        registry = self.registries.of(frontend_id.frontend)
        # A process asks again if its link broke before the answer.
        approved = registry.owners.get(frontend_id.key) == process_id or registry.grant(
            frontend_id.key, process_id
        )
        kind = IdMessageKind.APPROVED if approved else IdMessageKind.DENIED
        peer.channel.send_ids(IdMessage(kind, (frontend_id,)))

    def _on_approved(self, process_id: int, frontend_id: FrontendId) -> None:
        approval = self.approvals.get(frontend_id)
        if approval is not None and approval.remaining[0] == process_id:
            del approval.remaining[0]
            self._ask_next(frontend_id)

    def _on_denied(self, process_id: int, frontend_id: FrontendId) -> None:
        approval = self.approvals.get(frontend_id)
        if approval is not None and approval.remaining[0] == process_id:
            self._decide(frontend_id, approved=False)

    def _on_taken(self, process_id: int, frontend_id: FrontendId) -> None:
        if frontend_id in self.approvals:
            self._decide(frontend_id, approved=False)  # it had the id first, and may end before it denies it
        self.registries.of(frontend_id.frontend).grant(frontend_id.key, process_id)

    # Called by the timer

    def tick(self) -> None:
        """Tell the others which requests have ended, and log a process that does not answer."""
        ended, self.ended = self.ended, []
        if ended:
            self._notify(IdMessageKind.ENDED, *ended)
        unresponsive = set()
        for approval in self.approvals.values():
            approval.ticks += 1
            if approval.ticks == UNRESPONSIVE_TICKS:
                unresponsive.add(approval.remaining[0])
        for process_id in unresponsive:
            log.warning("hot_restart_peer_unresponsive", process=process_id)
