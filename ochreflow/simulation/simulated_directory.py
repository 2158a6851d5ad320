"""Directory in simulated time: the current list of nodes, and its notifications to the sidecars."""

from __future__ import annotations

import random
from typing import Any

from ..lab.event_log import EventKind, MemoryEventLog
from ..lab.platform_config import ZONES
from ..lab.scenario import Scenario
from .clock import NS_PER_S, START_NS, Clock
from .policy_loader import PolicyModules
from .simulated_node import NETWORK_DELAY_S, SimulatedNode
from .simulated_sidecar import SimulatedSidecar

NS_PER_MS = 1_000_000


class SimulatedDirectory:
    """Owns the entries, and the numbers that identify the nodes in the decision module."""

    def __init__(
        self, scenario: Scenario, seed: int, policy: PolicyModules, clock: Clock, event_log: MemoryEventLog
    ) -> None:
        """Begin with an empty list."""
        self.random = random.Random(seed)
        self.behaviour = scenario.directory
        self.api = policy.interface
        self.clock = clock
        self.event_log = event_log
        self.nodes: dict[str, SimulatedNode] = {}
        self.numbers: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.entries: dict[str, dict[str, Any]] = {}
        self.watchers: list[SimulatedSidecar] = []
        self.down = False
        self.version = 0
        self.idle_at = START_NS  # nanoseconds; when all earlier calls have been served

    def node(self, number: int) -> SimulatedNode | None:
        """Return the node with this number; None if there is none."""
        return self.nodes.get(self.names[number])

    def name(self, number: int) -> str:
        """Return the name of the node with this number."""
        return self.names[number]

    def number(self, name: str) -> int:
        """Return the number of a node; assign one to a new name."""
        if name not in self.numbers:
            self.numbers[name] = len(self.numbers) + 1
            self.names[self.numbers[name]] = name
        return self.numbers[name]

    def put(self, change: dict[str, Any]) -> None:
        """Add or change an entry, and notify the watchers."""
        name = change["name"]
        entry = {**self.entries.get(name, {}), **change}
        self.entries[name] = entry
        self.version += 1
        self.clock.call_later(self.behaviour.notify_delay_s + NETWORK_DELAY_S, self._notify_all, dict(entry))

    def watch(self, sidecar: SimulatedSidecar) -> None:
        """Answer a sidecar with the complete list, after all earlier calls; then notify it of changes."""
        service_ns = NS_PER_S / self.behaviour.calls_per_s if self.behaviour.calls_per_s else 0
        self.idle_at = max(self.idle_at, self.clock.now_ns) + int(service_ns)
        self.clock.call_at(self.idle_at + int(2 * NETWORK_DELAY_S * NS_PER_S), self._answer, sidecar)

    def stop_watching(self, sidecar: SimulatedSidecar) -> None:
        """Stop notifying a sidecar."""
        if sidecar in self.watchers:
            self.watchers.remove(sidecar)

    def break_watches(self) -> None:
        """Fail the watches of all sidecars."""
        watchers, self.watchers = self.watchers, []
        for sidecar in watchers:
            sidecar.post(self.api.Membership(self.api.ListKind.FAILED, 0, []))

    def cached_list(self) -> Any:
        """Return the list that a sidecar gets at its start."""
        return self._membership(self.api.ListKind.CACHED, list(self.entries.values()))

    def _membership(self, kind: Any, entries: list[dict[str, Any]]) -> Any:
        return self.api.Membership(kind, self.version, [self._endpoint(entry) for entry in entries])

    def _answer(self, sidecar: SimulatedSidecar) -> None:
        if self.down or self.random.random() < self.behaviour.reset_share:
            sidecar.post(self.api.Membership(self.api.ListKind.FAILED, 0, []))
            return
        if sidecar not in self.watchers:
            self.watchers.append(sidecar)
        listed = [entry for entry in self.entries.values() if entry["status"] != "DELETED"]
        self._record_notified(listed, complete=True)
        sidecar.post(self._membership(self.api.ListKind.FULL, listed))

    def _notify_all(self, entry: dict[str, Any]) -> None:
        if self.down:
            return
        self._record_notified([entry], complete=False)
        for sidecar in self.watchers:
            sidecar.post(self._membership(self.api.ListKind.DELTA, [entry]))

    def _record_notified(self, entries: list[dict[str, Any]], *, complete: bool) -> None:
        statuses = {entry["name"]: entry["status"] for entry in entries}
        self.event_log.record(EventKind.NOTIFIED, entries=statuses, whole=complete)

    def _endpoint(self, entry: dict[str, Any]) -> Any:
        states = {"SERVING": self.api.State.READY, "DRAINING": self.api.State.DRAINING}
        return self.api.Endpoint(
            self.number(entry["name"]),
            ZONES.index(entry["zone"]),
            0,
            entry["group"],
            states.get(entry["status"], self.api.State.REMOVED),
            1.0,
            entry["since_ms"] * NS_PER_MS,
        )
