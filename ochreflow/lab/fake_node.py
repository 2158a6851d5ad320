"""A fake node behind a socket: the model (`node_model.py`) with a clock, timers and an event log.

The node records every request that it accepts, runs, drops as a duplicate or rejects.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from time import monotonic

from .event_log import EventKind, EventLog
from .http_server import HttpRequest, HttpService, ServerConnection
from .node_messages import (
    CloseConnection,
    Collapse,
    NodeAction,
    NodeProfile,
    NodeRequest,
    RecordEvent,
    Reply,
)
from .node_model import DeduplicationGroup, NodeModel

NOT_RUN_HEADER = "X-Not-Run: 1"
CONTROL_PATH = "/-/lab"
WORK_HEADER = "x-lab-work"  # the work that the client drew for the request, as a multiple of its class's mean


class FakeNode:
    """Serves the requests to one node and the lab's control orders."""

    def __init__(
        self,
        profile: NodeProfile,
        event_log: EventLog,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        dedup_group: DeduplicationGroup | None = None,
    ) -> None:
        """Start a node; the owner of its socket sets `on_end_order`."""
        self.event_log = event_log
        self.loop = loop
        self.model = NodeModel(profile, seed, monotonic(), dedup_group)
        self.pending: dict[int, HttpRequest] = {}
        self.request_numbers: dict[ServerConnection, int] = {}  # numbers of pending requests, by connection
        self.last_number = 0  # numbers identify requests to the model
        self.timer: asyncio.TimerHandle | None = None
        self.on_end_order: Callable[[], None] = lambda: None  # ends the node the way a killed process ends
        self.service = HttpService(self.serve, self._on_disconnect, profile.max_connections)

    def serve(self, request: HttpRequest) -> None:
        """Handle a request or a control order."""
        if request.target.startswith(CONTROL_PATH):
            self._handle_order(request)
            return
        headers = request.headers
        request_id = headers.get("x-request-id")
        class_name = request.target[1:].split("/", 1)[0].split("?", 1)[0]
        if not request_id or class_name not in self.model.profile.mean_work_s:
            request.answer(404)
            return
        self.last_number += 1
        self.pending[self.last_number] = request
        self.request_numbers[request.connection] = self.last_number
        work_factor = float(headers[WORK_HEADER]) if WORK_HEADER in headers else None
        key, idempotency_key = headers.get("x-key"), headers.get("idempotency-key")
        node_request = NodeRequest(
            request_id, class_name, key, idempotency_key, work_factor, request.connection.number
        )
        self._execute(self.model.arrive(monotonic(), self.last_number, node_request))

    def close(self) -> None:
        """Stop like a killed process: pending requests never run and nothing more is recorded."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.pending.clear()
        self.request_numbers.clear()  # so that the disconnects reported later are ignored
        self.service.abort_all()

    def _on_disconnect(self, connection: ServerConnection) -> None:
        number = self.request_numbers.pop(connection, None)
        if number is not None:
            self.pending.pop(number, None)
            self._execute(self.model.abandon(monotonic(), number))

    def _execute(self, actions: list[NodeAction]) -> None:
        for action in actions:
            match action:
                case RecordEvent():
                    self.event_log.record(action.kind, **action.fields)
                case Collapse():
                    self.service.abort_all()
                case CloseConnection() | Reply():
                    self._complete(action)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if (due := self.model.next_event_at()) is not None:
            self.timer = self.loop.call_later(max(due - monotonic(), 0.0), self._wake)

    def _complete(self, action: CloseConnection | Reply) -> None:
        request = self.pending.pop(action.number, None)
        if request is None:
            return
        self.request_numbers.pop(request.connection, None)
        if isinstance(action, CloseConnection):
            request.connection.abort()
        else:
            self._reply(request, action)

    def _wake(self) -> None:
        self.timer = None
        self._execute(self.model.advance(monotonic()))

    @staticmethod
    def _reply(request: HttpRequest, reply: Reply) -> None:
        header_lines = (NOT_RUN_HEADER,) if reply.not_run else ()
        if reply.malformation:
            request.connection.answer_malformed(reply.malformation, reply.status, reply.body.encode())
        else:
            request.answer(reply.status, reply.body.encode(), *header_lines)

    def _handle_order(self, request: HttpRequest) -> None:
        """Handle a control order: end the node, inject faults, or start or stop draining."""
        try:
            order = json.loads(request.body)
            if "end" in order:
                self.loop.call_soon(self.on_end_order)
                request.answer(200)
                return
            actions = self.model.control(monotonic(), order)
        except (ValueError, AttributeError, TypeError) as error:
            request.answer(400, str(error).encode())
            return
        self._execute(actions)
        self.event_log.record(EventKind.CONTROLLED, **order)
        request.answer(200)
