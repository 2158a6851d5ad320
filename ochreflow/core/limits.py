"""Resource limits of this sidecar: file descriptors and memory of buffered messages, both configured.

During a hot restart several processes form one sidecar; each of them counts the usage of all.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .log import log

MB = 1024 * 1024  # bytes


class Descriptors:
    """The limit of open sockets, to clients and to servers together."""

    # Descriptors for the event loop, listening sockets, discovery, gossip and the management interface, which
    # together take 30, and for bursts of clients.
    RESERVE = 50
    MIN_LIMIT = 8

    def __init__(self, limit: int) -> None:
        """Allow `limit` descriptors in total, including the reserve."""
        self.total = limit
        self.in_use = 0
        self.connected = 0  # number of client connections among the descriptors in use
        self.other_processes = 0  # number of other processes of this sidecar
        self.others_in_use = 0
        self.others_connected = 0
        # Each callback closes one idle connection and returns True, or returns False if there is none.
        self.evictors: list[Callable[[], bool]] = []
        self.system_limit: Callable[[], int | None] = lambda: None  # the operating system's; None: no limit

    def evict_idle_connection(self) -> bool:
        """Close one idle connection, never one with an open request; return False if there is none."""
        return any(evict() for evict in self.evictors)

    def lower_to(self, max_descriptors: int) -> None:
        """Lower the total to `max_descriptors`, which the operating system allows, if that is less.

        This protects the reserve: if clients took the last descriptor of the process, operators, discovery
        and attempts would be locked out, since new connections would be closed as soon as they are accepted.
        """
        self.total = min(self.total, max_descriptors)

    def apply_system_limit(self) -> None:
        """Apply the operating system's current limit, which may be lowered while the process runs."""
        if (system_limit := self.system_limit()) is not None:
            self.lower_to(system_limit)

    @property
    def limit(self) -> int:
        """The descriptors that all processes of the sidecar together may use."""
        return max(self.total - self.RESERVE * (1 + self.other_processes), self.MIN_LIMIT)

    @property
    def max_clients(self) -> int:
        """The number of clients that may be connected to this process.

        Clients need a third of the limit for requests. A higher number must leave enough descriptors for
        attempts, otherwise silent clients would keep every request from reaching a server. In a hot restart
        clients move to the new process before the old one reports that, so a process always gets at least a
        third.
        """
        return max(self.limit // 2 - self.others_connected, self.limit // 3)

    @property
    def full(self) -> bool:
        """Whether all descriptors within the limit are in use."""
        return self.in_use + self.others_in_use >= self.limit


class Memory:
    """The memory budget of everything that clients, servers and discovery make the sidecar hold.

    Messages reserve their bytes; connections and request ids, which are limited in number, are only counted,
    and leave less for messages. A message that is still incomplete may not use the last part of the budget,
    so that complete ones are served while clients send what never ends.
    """

    PROGRAM_BYTES = 24 * MB  # memory of the program at rest, unless measured
    # Share of the remaining memory: a message may be in memory twice, and freed memory is fragmented.
    MESSAGE_SHARE = 0.5
    INCOMPLETE_SHARE = 0.6  # share of the budget that is open to incomplete messages
    MIN_BYTES = MB
    MAX_BYTES = 48 * MB
    READ_SHARE = 1 / 64  # share of the free budget that one read may take
    MIN_READ_BYTES = 1024

    def __init__(self, limit: int) -> None:
        """Allow the sidecar `limit` bytes in total, including the program itself."""
        self.limit = limit
        self.program_bytes = self.PROGRAM_BYTES  # of one process at rest
        self.overhead_bytes = 0  # memory of connections and request ids
        self.reserved_bytes = 0
        self.expected_processes = 1  # processes that the limit has to hold at times
        self.other_processes = 0  # number of other processes of this sidecar
        self.others_reserved_bytes = 0
        # Returns the resident memory of this process in bytes, 0 if unknown.
        self.resident_bytes: Callable[[], int] = lambda: 0
        # Each callback ends one stalled, incomplete message and returns True, or returns False.
        self.evictors: list[Callable[[], bool]] = []

    def start_measuring(self, resident_bytes: Callable[[], int], processes: int) -> None:
        """Take the present resident memory for that at rest; plan for `processes` if the limit allows."""
        self.resident_bytes = resident_bytes
        self.program_bytes = resident_bytes() or self.PROGRAM_BYTES
        if self.limit >= self.program_bytes * processes + self.MIN_BYTES:
            self.expected_processes = processes

    @property
    def max_bytes(self) -> int:
        """The bytes that all processes of the sidecar together may reserve for messages."""
        processes = max(self.expected_processes, 1 + self.other_processes)
        rest = self.limit - self.program_bytes * processes - self.overhead_bytes
        return int(min(max(rest * self.MESSAGE_SHARE, self.MIN_BYTES), self.MAX_BYTES))

    @property
    def free_bytes(self) -> int:
        """The bytes that are left for messages; not less than 0."""
        return max(self.max_bytes - self.reserved_bytes - self.others_reserved_bytes, 0)

    @property
    def short(self) -> bool:
        """Whether only the part is left that incomplete messages may not use."""
        return self.free_bytes < self.max_bytes * (1 - self.INCOMPLETE_SHARE)

    @property
    def max_read_bytes(self) -> int:
        """The bytes that one read may take, since they may have to be kept."""
        return max(int(self.free_bytes * self.READ_SHARE), self.MIN_READ_BYTES)

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes for a complete message; return False if they are not left.

        Incomplete messages that have stalled are ended first.
        """
        while size > self.free_bytes:
            if not any(evict() for evict in self.evictors):
                self._log_exhausted("a complete message", size)
                return False
        self.reserved_bytes += size
        return True

    def reserve_incomplete(self, size: int) -> bool:
        """Reserve `size` bytes for a message that is incomplete; return False if they are not left."""
        while self.free_bytes - size < self.max_bytes * (1 - self.INCOMPLETE_SHARE):
            if not any(evict() for evict in self.evictors):
                self._log_exhausted("an incomplete message", size)
                return False
        self.reserved_bytes += size
        return True

    def _log_exhausted(self, purpose: str, size: int) -> None:
        log.warning(
            "memory_exhausted",
            purpose=purpose,
            size=size,
            reserved=self.reserved_bytes,
            allowed=self.max_bytes,
            overhead=self.overhead_bytes,
        )

    def charge(self, size: int) -> None:
        """Count `size` bytes that are in use, whatever is left."""
        self.reserved_bytes += size

    def release(self, size: int) -> None:
        """Release `size` reserved bytes."""
        self.reserved_bytes -= size

    def add_overhead(self, size: int) -> None:
        """Count `size` bytes of a connection or a request id; negative if it is gone."""
        self.overhead_bytes += size

    @property
    def used_bytes(self) -> int:
        """What this process leaves less for others: what it reserves, or what it has not given back."""
        grown = max(self.resident_bytes() - self.program_bytes, 0)
        return max(self.reserved_bytes, int(grown * self.MESSAGE_SHARE))


class ProcessUsage(NamedTuple):
    """The usage of one process, which it sends to the other processes as a list of these three numbers."""

    descriptors: int
    connected: int  # number of client connections among the descriptors in use
    reserved_bytes: int  # memory reserved for messages


class Usage:
    """The usage of this process and of the other processes of this sidecar."""

    def __init__(self, descriptors: Descriptors, memory: Memory) -> None:
        """Combine the counts of `descriptors` and `memory`."""
        self.descriptors = descriptors
        self.memory = memory

    def own_usage(self) -> ProcessUsage:
        """Return the current usage of this process."""
        return ProcessUsage(self.descriptors.in_use, self.descriptors.connected, self.memory.used_bytes)

    def set_others(self, processes: int, descriptors: int, connected: int, memory: int) -> None:
        """Record the number of other processes and their total usage, as in `ProcessUsage`."""
        self.descriptors.other_processes = self.memory.other_processes = processes
        self.descriptors.others_in_use = descriptors
        self.descriptors.others_connected = connected
        self.memory.others_reserved_bytes = memory
