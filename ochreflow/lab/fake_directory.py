"""A fake of the platform's directory: serves the complete list, watches for changes and control orders."""

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
MAX_WATCH_MS = 60_000  # longest time that a watch waits for a change
MS_PER_S = 1000


@dataclass(slots=True, eq=False)
class Watch:
    """A pending call that waits for changes after an index."""

    request: HttpRequest
    after: int
    timer: asyncio.TimerHandle


class FakeDirectory:
    """Owns the list of entries, each with the index of its latest change."""

    def __init__(
        self,
        event_log: EventLog,
        loop: asyncio.AbstractEventLoop,
        behaviour: DirectoryBehaviour | None = None,
        seed: int = 0,
    ) -> None:
        """Create a directory with an empty list."""
        self.event_log = event_log
        self.loop = loop
        self.behaviour = behaviour or DirectoryBehaviour()
        self.random = random.Random(seed)
        self.queue: deque[HttpRequest] = deque()  # calls waiting to be served
        self.index = 0
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}  # index and entry, by name
        self.watches: dict[Watch, None] = {}
        self.down = False  # answers 503 to everything but control orders
        self.service = HttpService(self.serve)

    def close(self) -> None:
        """Reset every connection, as the kernel does when a process is killed."""
        self.service.abort_all()

    def put(self, entry: dict[str, Any]) -> None:
        """Add or replace an entry and notify the watchers."""
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
                self._apply_order(json.loads(request.body))
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
                self.loop.call_later(1.0 / self.behaviour.calls_per_s, self._serve_queued)
        else:
            self._serve(request)

    def _serve_queued(self) -> None:
        self._serve(self.queue.popleft())
        if self.queue:
            self.loop.call_later(1.0 / self.behaviour.calls_per_s, self._serve_queued)

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

    def _apply_order(self, order: dict[str, Any]) -> None:
        if "manners" in order:
            self.behaviour = msgspec.convert(order["manners"], DirectoryBehaviour)
        elif "down" in order:
            self.down = bool(order["down"])
            self.event_log.record(EventKind.DOWN if self.down else EventKind.UP)
            for watch in list(self.watches):  # pending watches are reset when the directory goes down
                del self.watches[watch]
                watch.timer.cancel()
                watch.request.connection.abort()
        else:
            self.put(self._merge_change(order))

    def _merge_change(self, change: dict[str, Any]) -> dict[str, Any]:
        """Return the entry with the change applied; fields that the change omits keep their values."""
        known = self.entries.get(change["name"])
        return {**known[1], **change} if known is not None else change

    def _watch(self, request: HttpRequest, after: int, wait_ms: int) -> None:
        too_old = 0 < self.behaviour.retained_changes < self.index - after
        if after > self.index or too_old:  # index from before a restart, or changes no longer retained
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
        """Answer a watch with the entries that changed after its index."""
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
