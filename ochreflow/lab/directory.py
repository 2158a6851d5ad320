"""A stand-in for the platform's directory: the whole list, watches on changes, and orders of the lab."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .ledger import Ledger
from .serving import Asked, Service

TARGETS = "/api/targets"
CONTROL = "/-/lab"
WAIT_MOST = 60_000  # milliseconds that a watch waits at the most


@dataclass(slots=True, eq=False)
class Waiting:
    """A watch that has nothing to tell yet."""

    asked: Asked
    after: int
    timer: asyncio.TimerHandle


class Directory:
    """Owns the list: entries by name, each with the index of its latest change."""

    def __init__(self, ledger: Ledger, loop: asyncio.AbstractEventLoop) -> None:
        self.ledger = ledger
        self.loop = loop
        self.index = 0
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self.watches: dict[Waiting, None] = {}
        self.down = False  # answers nobody but the lab
        self.service = Service(self.serve)

    def put(self, entry: dict[str, Any]) -> None:
        """Add or change an entry, and tell whoever watches."""
        self.index += 1
        self.entries[entry["name"]] = (self.index, entry)
        self.ledger.note("changed", name=entry["name"], status=entry["status"], index=self.index)
        for watch in list(self.watches):
            self._tell_changes(watch)

    def serve(self, asked: Asked) -> None:
        parts = urlsplit(asked.target)
        if parts.path == CONTROL and asked.method == "POST":
            try:
                self._order(json.loads(asked.body))
            except (ValueError, KeyError, TypeError) as error:
                asked.answer(400, str(error).encode())
                return
            asked.answer(200)
        elif self.down:
            asked.answer(503)
        elif parts.path != TARGETS:
            asked.answer(404)
        elif "after" in (query := parse_qs(parts.query)):
            self._watch(asked, int(query["after"][0]), int(query.get("wait_ms", ["0"])[0]))
        else:
            self._answer(asked, True, [entry for _, entry in self.entries.values()])

    def _order(self, order: dict[str, Any]) -> None:
        if "down" in order:
            self.down = bool(order["down"])
            self.ledger.note("down" if self.down else "up")
            for watch in list(self.watches):
                del self.watches[watch]
                watch.timer.cancel()
                watch.asked.connection.cut()  # watches end when it goes down
        else:
            self.put(self._full(order))

    def _full(self, change: dict[str, Any]) -> dict[str, Any]:
        """An entry that is only changed keeps the rest of what it was."""
        known = self.entries.get(change["name"])
        return {**known[1], **change} if known is not None else change

    def _watch(self, asked: Asked, after: int, wait_ms: int) -> None:
        if after > self.index:  # of an index that this directory never had: the whole list tells all
            self._answer(asked, True, [entry for _, entry in self.entries.values()])
            return
        timer = self.loop.call_later(min(wait_ms, WAIT_MOST) / 1000, self._expire, asked)
        waiting = Waiting(asked, after, timer)
        self.watches[waiting] = None
        if after < self.index:
            self._tell_changes(waiting)

    def _expire(self, asked: Asked) -> None:
        for watch in [watch for watch in self.watches if watch.asked is asked]:
            del self.watches[watch]
        self._answer(asked, False, [])

    def _tell_changes(self, watch: Waiting) -> None:
        del self.watches[watch]
        watch.timer.cancel()
        changed = [entry for index, entry in self.entries.values() if index > watch.after]
        self._answer(watch.asked, False, changed)

    def _answer(self, asked: Asked, snapshot: bool, entries: list[dict[str, Any]]) -> None:
        if snapshot:
            entries = [entry for entry in entries if entry["status"] != "DELETED"]
        body = {"index": self.index, "snapshot": snapshot, "endpoints": entries}
        if asked.answer(200, json.dumps(body).encode(), "Content-Type: application/json"):
            self.ledger.note("told", entries={entry["name"]: entry["status"] for entry in entries})
