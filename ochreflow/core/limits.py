"""What this sidecar may use: descriptors and the memory of messages, both as the configuration says.

Where several processes are one sidecar for a while, during a hot restart, each counts what all of them use.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

MB = 1024 * 1024  # bytes


class Descriptors:
    """The sockets that this sidecar may have open, to clients and to servers together."""

    # For the event loop, listening sockets, discovery, gossip and operators' requests, which take 30, and for
    # bursts of clients.
    RESERVE = 50
    MIN_LIMIT = 8

    def __init__(self, limit: int) -> None:
        """Allow `limit` descriptors in all, the reserve included."""
        self.total = limit
        self.in_use = 0
        self.connected = 0  # of these, clients' connections
        self.other_processes = 0  # of this sidecar
        self.others_in_use = 0
        self.others_connected = 0
        # Each closes one of its connections that is idle, and returns False if it has none.
        self.evictors: list[Callable[[], bool]] = []
        self.system_limit: Callable[[], int | None] = lambda: None  # what the system allows; None: no limit

    def evict_idle_connection(self) -> bool:
        """Close one idle connection; False if there is none: those that owe a response are kept."""
        return any(evict() for evict in self.evictors)

    def lower_to(self, max_descriptors: int) -> None:
        """Count with no more than the system allows this process, whatever the configuration says.

        Guards what the reserve is for: clients that take the last descriptor of the process keep
        operators, discovery and attempts out, since a connection is then ended as soon as it is accepted.
        """
        self.total = min(self.total, max_descriptors)

    def apply_system_limit(self) -> None:
        """Count by the system's limit as it is now: it may be lowered while the process runs."""
        if (system_limit := self.system_limit()) is not None:
            self.lower_to(system_limit)

    @property
    def limit(self) -> int:
        """What all processes of the sidecar together may use."""
        return max(self.total - self.RESERVE * (1 + self.other_processes), self.MIN_LIMIT)

    @property
    def max_clients(self) -> int:
        """How many clients may be connected to this process.

        Clients need a third of the limit for requests. What they may have beyond that must leave enough to
        attempts, or silent clients keep every request from its server. Clients move over to a new process
        before the old one's report of it comes, so it has a third in any case.
        """
        return max(self.limit // 2 - self.others_connected, self.limit // 3)

    @property
    def full(self) -> bool:
        """Whether no further descriptor may be used."""
        return self.in_use + self.others_in_use >= self.limit


class Memory:
    """The memory of all messages that are buffered, requests and responses."""

    PROGRAM_BYTES = 20 * MB  # what the program takes without any message
    MESSAGE_SHARE = 0.3  # of the rest: a message is in memory up to twice, and freed memory is in pieces
    MIN_BYTES = MB
    MAX_BYTES = 48 * MB

    def __init__(self, limit: int) -> None:
        """Allow the sidecar `limit` bytes in all, the program included."""
        self.limit = limit
        self.reserved_bytes = 0
        self.other_processes = 0  # of this sidecar
        self.others_reserved_bytes = 0

    @property
    def max_bytes(self) -> int:
        """What all processes of the sidecar together may reserve for messages."""
        rest = self.limit - self.PROGRAM_BYTES * (1 + self.other_processes)
        return int(min(max(rest * self.MESSAGE_SHARE, self.MIN_BYTES), self.MAX_BYTES))

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; False, and nothing is reserved, if that is more than is left."""
        if self.reserved_bytes + self.others_reserved_bytes + size > self.max_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give back `size` bytes that were reserved."""
        self.reserved_bytes -= size


class ProcessUsage(NamedTuple):
    """What one process uses; a process tells it to the others as a list of these three."""

    descriptors: int
    connected: int  # of the descriptors, clients' connections
    reserved_bytes: int  # of messages


class Usage:
    """What is used here and by the other processes of this sidecar."""

    def __init__(self, descriptors: Descriptors, memory: Memory) -> None:
        """Count in these two."""
        self.descriptors = descriptors
        self.memory = memory

    def own_usage(self) -> ProcessUsage:
        """What this process uses at present."""
        return ProcessUsage(self.descriptors.in_use, self.descriptors.connected, self.memory.reserved_bytes)

    def set_others(self, processes: int, descriptors: int, connected: int, memory: int) -> None:
        """Note how many other processes there are, and what they use together, as in `ProcessUsage`."""
        self.descriptors.other_processes = self.memory.other_processes = processes
        self.descriptors.others_in_use = descriptors
        self.descriptors.others_connected = connected
        self.memory.others_reserved_bytes = memory
