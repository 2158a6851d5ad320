"""A fake flag node behind a socket: the model (`node_model.py`) with a clock, timers and an event log.

It writes down every request that reaches it: what it took, ran, dropped as a repeat, or turned away.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from time import monotonic

from .event_log import EventLog
from .http_server import HttpRequest, HttpService, ServerConnection
from .node_model import Act, Cut, Fall, Model, Note, Pod, Reply, Traits, Work

NOT_RUN = "X-Not-Run: 1"
CONTROL = "/-/lab"
WORK = "x-lab-work"  # the work of a request in means of its class, as its client drew it


class FakeNode:
    def __init__(
        self,
        traits: Traits,
        event_log: EventLog,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        pod: Pod | None = None,
    ) -> None:
        self.event_log = event_log
        self.loop = loop
        self.model = Model(traits, seed, monotonic(), pod)
        self.pending: dict[int, HttpRequest] = {}
        self.awaiting: dict[ServerConnection, int] = {}  # the request that each connection waits for
        self.number = 0
        self.timer: asyncio.TimerHandle | None = None
        self.end: Callable[[], None] = lambda: None  # go as a killed process does; others of its pod stay
        self.service = HttpService(self.serve, self._left, traits.connections)

    def serve(self, request: HttpRequest) -> None:
        if request.target.startswith(CONTROL):
            self._control(request)
            return
        headers = request.headers
        ident = headers.get("x-request-id")
        cls = request.target[1:].split("/", 1)[0].split("?", 1)[0]
        if not ident or cls not in self.model.traits.work:
            request.answer(404)
            return
        self.number += 1
        self.pending[self.number] = request
        self.awaiting[request.connection] = self.number
        times = float(headers[WORK]) if WORK in headers else None
        key, token = headers.get("x-key"), headers.get("idempotency-key")
        work = Work(ident, cls, key, token, times, request.connection.number)
        self._do(self.model.arrive(monotonic(), self.number, work))

    def close(self) -> None:
        """End as a process that is killed does: what is in hand never runs, and nothing more is written."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.pending.clear()
        self.awaiting.clear()  # the loop reports the loss of these connections later
        self.service.cut_all()

    def _left(self, connection: ServerConnection) -> None:
        number = self.awaiting.pop(connection, None)
        if number is not None:
            self.pending.pop(number, None)
            self._do(self.model.leave(monotonic(), number))

    def _do(self, acts: list[Act]) -> None:
        for act in acts:
            if isinstance(act, Note):
                self.event_log.record(act.what, **act.fields)
            elif isinstance(act, Fall):
                self.service.cut_all()
            elif (request := self.pending.pop(act.number, None)) is not None:
                self.awaiting.pop(request.connection, None)
                if isinstance(act, Cut):
                    request.connection.cut()
                else:
                    self._reply(request, act)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if (due := self.model.next_at()) is not None:
            self.timer = self.loop.call_later(max(due - monotonic(), 0.0), self._wake)

    def _wake(self) -> None:
        self.timer = None
        self._do(self.model.advance(monotonic()))

    @staticmethod
    def _reply(request: HttpRequest, reply: Reply) -> None:
        lines = (NOT_RUN,) if reply.not_run else ()
        if reply.form:
            request.connection.spoil(reply.form, reply.code, reply.body.encode())
        else:
            request.answer(reply.code, reply.body.encode(), *lines)

    def _control(self, request: HttpRequest) -> None:
        """Orders of the lab."""
        try:
            order = json.loads(request.body)
            if "end" in order:
                self.loop.call_soon(self.end)
                request.answer(200)
                return
            acts = self.model.order(monotonic(), order)
        except (ValueError, AttributeError, TypeError) as error:
            request.answer(400, str(error).encode())
            return
        self._do(acts)
        self.event_log.record("ordered", **order)
        request.answer(200)
