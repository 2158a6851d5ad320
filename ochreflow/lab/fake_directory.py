"""A fake of the platform's directory: the whole list, watches on changes, and orders of the lab."""

from __future__ import annotations

import asyncio
import json
import random
from collections import deque
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .event_log import EventLog
from .http_server import HttpRequest, HttpService

TARGETS = "/api/targets"
CONTROL = "/-/lab"
WAIT_MOST = 60_000  # milliseconds that a watch waits at the most


@dataclass(slots=True, eq=False)
class Waiting:
    """A watch that has nothing to tell yet."""

    request: HttpRequest
    after: int
    timer: asyncio.TimerHandle


@dataclass(slots=True)
class Manners:
    """How a directory treats those that call. Times in seconds."""

    per_second: float = 0.0  # calls served in a second, in turn; 0: all at once
    room: int = 32  # calls that may wait for their turn; one beyond gets a 503
    resets: float = 0.0  # the share of calls that end in a reset instead
    late: float = 0.0  # after which watches are told of a change
    keeps: int = 0  # changes remembered; a watch on an older index gets the whole list; 0: all


class FakeDirectory:
    """Owns the list: entries by name, each with the index of its latest change."""

    def __init__(
        self,
        event_log: EventLog,
        loop: asyncio.AbstractEventLoop,
        manners: Manners | None = None,
        seed: int = 0,
    ) -> None:
        self.event_log = event_log
        self.loop = loop
        self.manners = manners or Manners()
        self.random = random.Random(seed)
        self.turns: deque[HttpRequest] = deque()  # calls that wait to be served
        self.index = 0
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self.watches: dict[Waiting, None] = {}
        self.down = False  # answers nobody but the lab
        self.service = HttpService(self.serve)

    def close(self) -> None:
        """End as a process that is killed does."""
        self.service.cut_all()

    def put(self, entry: dict[str, Any]) -> None:
        """Add or change an entry, and tell whoever watches."""
        self.index += 1
        self.entries[entry["name"]] = (self.index, entry)
        self.event_log.record("changed", name=entry["name"], status=entry["status"], index=self.index)
        if self.manners.late:
            self.loop.call_later(self.manners.late, self._tell_all)
        else:
            self._tell_all()

    def _tell_all(self) -> None:
        for watch in list(self.watches):
            if watch.after < self.index:
                self._tell_changes(watch)

    def serve(self, request: HttpRequest) -> None:
        parts = urlsplit(request.target)
        if parts.path == CONTROL and request.method == "POST":
            try:
                self._order(json.loads(request.body))
            except (ValueError, KeyError, TypeError) as error:
                request.answer(400, str(error).encode())
                return
            request.answer(200)
        elif self.down or len(self.turns) > self.manners.room:
            request.answer(503)
        elif self.random.random() < self.manners.resets:
            request.connection.cut()
        elif self.manners.per_second:
            self.turns.append(request)
            if len(self.turns) == 1:
                self.loop.call_later(1.0 / self.manners.per_second, self._next_turn)
        else:
            self._serve(request)

    def _next_turn(self) -> None:
        self._serve(self.turns.popleft())
        if self.turns:
            self.loop.call_later(1.0 / self.manners.per_second, self._next_turn)

    def _serve(self, request: HttpRequest) -> None:
        parts = urlsplit(request.target)
        if self.down:
            request.answer(503)
        elif parts.path != TARGETS:
            request.answer(404)
        elif "after" in (query := parse_qs(parts.query)):
            self._watch(request, int(query["after"][0]), int(query.get("wait_ms", ["0"])[0]))
        else:
            self._answer(request, True, [entry for _, entry in self.entries.values()])

    def _order(self, order: dict[str, Any]) -> None:
        if "manners" in order:
            self.manners = Manners(**order["manners"])
        elif "down" in order:
            self.down = bool(order["down"])
            self.event_log.record("down" if self.down else "up")
            for watch in list(self.watches):
                del self.watches[watch]
                watch.timer.cancel()
                watch.request.connection.cut()  # watches end when it goes down
        else:
            self.put(self._full(order))

    def _full(self, change: dict[str, Any]) -> dict[str, Any]:
        """An entry that is only changed keeps the rest of what it was."""
        known = self.entries.get(change["name"])
        return {**known[1], **change} if known is not None else change

    def _watch(self, request: HttpRequest, after: int, wait_ms: int) -> None:
        forgot = 0 < self.manners.keeps < self.index - after
        if after > self.index or forgot:  # of an index that this directory does not know: the whole list
            self._answer(request, True, [entry for _, entry in self.entries.values()])
            return
        timer = self.loop.call_later(min(wait_ms, WAIT_MOST) / 1000, self._expire, request)
        waiting = Waiting(request, after, timer)
        self.watches[waiting] = None
        if after < self.index:
            self._tell_changes(waiting)

    def _expire(self, request: HttpRequest) -> None:
        for watch in [watch for watch in self.watches if watch.request is request]:
            del self.watches[watch]
        self._answer(request, False, [])

    def _tell_changes(self, watch: Waiting) -> None:
        del self.watches[watch]
        watch.timer.cancel()
        changed = [entry for index, entry in self.entries.values() if index > watch.after]
        self._answer(watch.request, False, changed)

    def _answer(self, request: HttpRequest, snapshot: bool, entries: list[dict[str, Any]]) -> None:
        if snapshot:
            entries = [entry for entry in entries if entry["status"] != "DELETED"]
        body = {"index": self.index, "snapshot": snapshot, "endpoints": entries}
        if request.answer(200, json.dumps(body).encode(), "Content-Type: application/json"):
            told = {entry["name"]: entry["status"] for entry in entries}
            self.event_log.record("told", entries=told, whole=snapshot)
