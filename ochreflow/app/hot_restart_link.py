"""A connection between two processes of one sidecar."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any, Protocol, cast

from ..core.log import log
from .endpoint_list_sharing import EndpointListSharing
from .hot_restart_form import (
    INVALID_MESSAGE_ERRORS,
    MAX_LINE_BYTES,
    NO_USAGE,
    Inheritance,
    format_greeting,
    format_list,
    format_usage,
    is_greeting,
    parse_greeting_ids,
    parse_inheritance,
    parse_list,
    parse_message_ids,
    parse_process_id,
    parse_usage,
)
from .request_id_messages import IdMessage
from .request_id_sharing import RequestIdSharing


class LinkOwner(Protocol):
    """The part of `HotRestart` that its links use."""

    loop: asyncio.AbstractEventLoop
    process_id: int
    links: dict[Link, None]
    sharing: RequestIdSharing
    lists: EndpointListSharing | None

    def own_inheritance(self) -> Inheritance:
        """Return the state that this process hands over to a new one."""
        ...

    def own_usage(self) -> tuple[int, ...]:
        """Return the resource usage of this process."""
        ...

    def update_others(self) -> None:
        """Handle a change in the usage of another process."""
        ...

    def list_received(self, link: Link) -> None:
        """Handle the endpoint list in `inheritance` of a link."""
        ...

    def link_ended(self, link: Link) -> None:
        """Handle the end of a link, after which the other process may still run."""
        ...


class Link(asyncio.Protocol):
    """Exchanges lines of JSON with another process, see `hot_restart_form`, while both processes run."""

    def __init__(self, owner: LinkOwner) -> None:
        """Create a link that is not connected yet."""
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.process_id: int | None = None  # of the other process; known once its greeting has come
        self.inheritance = Inheritance(None, None)
        self.usage = NO_USAGE
        self.heard_at = owner.loop.time()  # when the latest line came, on the loop's clock, in seconds
        self.silent = False  # whether the other process is known to tell nothing of the endpoint list
        self.blocked = False  # whether the other process has not read all lines
        self.list_pending = False  # whether a newer list is to be sent once it has
        self.greeted: asyncio.Future[None] = owner.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the other process."""
        self.transport = cast("asyncio.Transport", transport)
        # Without a buffer, what is written has reached the kernel even if this process is killed next.
        self.transport.set_write_buffer_limits(high=0)
        owner = self.owner
        owner.links[self] = None
        ids = owner.sharing.greeting()
        self.write(format_greeting(owner.process_id, owner.own_inheritance(), owner.own_usage(), ids))
        owner.sharing.opened(self)

    def data_received(self, data: bytes) -> None:
        """Apply all complete lines; close the link at the first invalid one."""
        self.buffer += data
        self.heard_at = self.owner.loop.time()
        if self.inheritance.origin is not None:  # a process of an earlier version stays silent on lists
            self.silent = False
        while (end := self.buffer.find(b"\n")) >= 0:
            line = bytes(self.buffer[:end])
            del self.buffer[: end + 1]
            try:
                self._apply(json.loads(line))
            except INVALID_MESSAGE_ERRORS:
                log.warning("hot_restart_message_invalid")
                self.close()
                return
        if len(self.buffer) > MAX_LINE_BYTES:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 -- the event loop passes it
        """Forget the other process, however the connection has ended."""
        self.owner.links.pop(self, None)
        self._resolve_greeted()
        if self.process_id is not None:
            log.info("hot_restart_peer_disconnected", process=self.process_id)
        self.owner.update_others()
        self.owner.link_ended(self)

    def write(self, line: bytes) -> None:
        """Send one line, unless the link is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(line)

    def pause_writing(self) -> None:
        """Hold back endpoint lists: the other process does not read."""
        self.blocked = True

    def resume_writing(self) -> None:
        """Send the latest endpoint list that was held back."""
        self.blocked = False
        if self.list_pending:
            self.send_list()

    def send_list(self) -> None:
        """Send the endpoint list in effect, now or once the other process has read the lines before."""
        self.list_pending = self.blocked
        if not self.blocked and self.owner.lists is not None:
            self.write(format_list(self.owner.own_usage(), *self.owner.lists.snapshot()))

    def send_ids(self, message: IdMessage) -> None:
        """Send a message on request ids."""
        self.write(format_usage(self.owner.own_usage(), message))

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def _apply(self, message: dict[str, Any]) -> None:
        if is_greeting(message):
            self.process_id = parse_process_id(message)
            self.inheritance = parse_inheritance(message)
            greeting_ids = parse_greeting_ids(message)
            if greeting_ids is not None:
                self.owner.sharing.linked(self.process_id, greeting_ids, self)
            log.info("hot_restart_peer_connected", process=self.process_id)
            self._resolve_greeted()
            self.owner.list_received(self)
        elif self.process_id is not None:
            self._apply_later_message(self.process_id, message)
        self.usage = parse_usage(message)
        self.owner.update_others()

    def _apply_later_message(self, process_id: int, message: dict[str, Any]) -> None:
        ids, shared = parse_message_ids(message), parse_list(message)
        if ids is not None:
            self.owner.sharing.received(process_id, ids)
        if shared is not None:
            endpoint_list, origin = shared
            self.inheritance = replace(self.inheritance, endpoint_list=endpoint_list, origin=origin)
            self.owner.list_received(self)

    def _resolve_greeted(self) -> None:
        if not self.greeted.done():
            self.greeted.set_result(None)
