"""A fake of the platform's directory: the complete list, watches on changes, control orders."""

from __future__ import annotations

import asyncio
import json
import random
from collections import deque
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from .directory_behaviour import DirectoryBehaviour
from .event_log import EventKind, EventLog
from .http_server import HttpRequest, HttpService

TARGETS_PATH = "/api/targets"
CONTROL_PATH = "/-/lab"
MAX_WATCH_MS = 60_000  # that a watch waits for a change
MS_PER_S = 1000


@dataclass(slots=True, eq=False)
class Watch:
    """A call that waits for changes after an index."""

    request: HttpRequest
    after: int
    timer: asyncio.TimerHandle


class FakeDirectory:
    """Owns the list: entries by name, each with the index of its latest change."""

    def __init__(
        self,
        event_log: EventLog,
        loop: asyncio.AbstractEventLoop,
        behaviour: DirectoryBehaviour | None = None,
        seed: int = 0,
    ) -> None:
        """Begin with an empty list."""
        self.event_log = event_log
        self.loop = loop
        self.behaviour = behaviour or DirectoryBehaviour()
        self.random = random.Random(seed)
        self.queue: deque[HttpRequest] = deque()  # calls that wait to be served
        self.index = 0
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self.watches: dict[Watch, None] = {}
        self.down = False  # answers nothing but control orders
        self.service = HttpService(self.serve)

    def close(self) -> None:
        """End as a process that is killed does."""
        self.service.abort_all()

    def put(self, entry: dict[str, Any]) -> None:
        """Add or change an entry, and notify watchers."""
        self.index += 1
        self.entries[entry["name"]] = (self.index, entry)
        self.event_log.record(EventKind.CHANGED, name=entry["name"], status=entry["status"], index=self.index)
        if self.behaviour.notify_delay_s:
            self.loop.call_later(self.behaviour.notify_delay_s, self._notify_all)
        else:
            self._notify_all()

    def _notify_all(self) -> None:
        for watch in list(self.watches):
            if watch.after < self.index:
                self._notify(watch)

    def serve(self, request: HttpRequest) -> None:
        """Handle a call or a control order."""
        parts = urlsplit(request.target)
        if parts.path == CONTROL_PATH and request.method == "POST":
            try:
                self._control(json.loads(request.body))
            except (ValueError, KeyError, TypeError, msgspec.ValidationError) as error:
                request.answer(400, str(error).encode())
                return
            request.answer(200)
        elif self.down or len(self.queue) > self.behaviour.queue_capacity:
            request.answer(503)
        elif self.random.random() < self.behaviour.reset_share:
            request.connection.abort()
        elif self.behaviour.calls_per_s:
            self.queue.append(request)
            if len(self.queue) == 1:
                self.loop.call_later(1.0 / self.behaviour.calls_per_s, self._serve_next)
        else:
            self._serve(request)

    def _serve_next(self) -> None:
        self._serve(self.queue.popleft())
        if self.queue:
            self.loop.call_later(1.0 / self.behaviour.calls_per_s, self._serve_next)

    def _serve(self, request: HttpRequest) -> None:
        parts = urlsplit(request.target)
        if self.down:
            request.answer(503)
        elif parts.path != TARGETS_PATH:
            request.answer(404)
        elif "after" in (query := parse_qs(parts.query)):
            self._watch(request, int(query["after"][0]), int(query.get("wait_ms", ["0"])[0]))
        else:
            self._answer_complete(request)

    def _control(self, order: dict[str, Any]) -> None:
        if "manners" in order:
            self.behaviour = msgspec.convert(order["manners"], DirectoryBehaviour)
        elif "down" in order:
            self.down = bool(order["down"])
            self.event_log.record(EventKind.DOWN if self.down else EventKind.UP)
            for watch in list(self.watches):  # watches end when it goes down
                del self.watches[watch]
                watch.timer.cancel()
                watch.request.connection.abort()
        else:
            self.put(self._merged(order))

    def _merged(self, change: dict[str, Any]) -> dict[str, Any]:
        """Return the complete entry: what a change leaves out stays as it was."""
        known = self.entries.get(change["name"])
        return {**known[1], **change} if known is not None else change

    def _watch(self, request: HttpRequest, after: int, wait_ms: int) -> None:
        forgotten = 0 < self.behaviour.retained_changes < self.index - after
        if after > self.index or forgotten:  # an index that this directory does not know
            self._answer_complete(request)
            return
        wait_s = min(wait_ms, MAX_WATCH_MS) / MS_PER_S
        watch = Watch(request, after, self.loop.call_later(wait_s, self._expire, request))
        self.watches[watch] = None
        if after < self.index:
            self._notify(watch)

    def _expire(self, request: HttpRequest) -> None:
        for watch in [watch for watch in self.watches if watch.request is request]:
            del self.watches[watch]
        self._answer(request, [], snapshot=False)

    def _notify(self, watch: Watch) -> None:
        """Answer a watch with what changed after its index."""
        del self.watches[watch]
        watch.timer.cancel()
        changed = [entry for index, entry in self.entries.values() if index > watch.after]
        self._answer(watch.request, changed, snapshot=False)

    def _answer_complete(self, request: HttpRequest) -> None:
        entries = [entry for _, entry in self.entries.values() if entry["status"] != "DELETED"]
        self._answer(request, entries, snapshot=True)

    def _answer(self, request: HttpRequest, entries: list[dict[str, Any]], *, snapshot: bool) -> None:
        body = {"index": self.index, "snapshot": snapshot, "endpoints": entries}
        if request.answer(200, json.dumps(body).encode(), "Content-Type: application/json"):
            statuses = {entry["name"]: entry["status"] for entry in entries}
            self.event_log.record(EventKind.NOTIFIED, entries=statuses, whole=snapshot)
