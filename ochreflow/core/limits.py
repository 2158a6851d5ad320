"""What this sidecar may hold: descriptors and the memory of messages, both as the configuration says.

Where several processes are one sidecar for a while, each counts what the others hold as well.
"""

from __future__ import annotations

from collections.abc import Callable

MB = 1024 * 1024


class Descriptors:
    """The sockets that this sidecar may hold, on both sides together."""

    RESERVE = 50  # for the loop, listening, discovery, peers and operators' calls, which take 30, and for
    # bursts of clients
    LEAST = 8

    def __init__(self, limit: int) -> None:
        self.total = limit
        self.held = 0
        self.connected = 0  # of these, clients
        self.others = 0  # processes of this sidecar beside this one
        self.others_held = 0
        self.others_connected = 0
        self.waiting: list[Callable[[], bool]] = []  # each lets a connection go that waits, if it has one
        self.system_limit: Callable[[], int | None] = lambda: None  # what the system gives at present

    def make_room(self) -> bool:
        """Have a waiting connection go: it gives way before anything that is owed an answer does."""
        return any(give_way() for give_way in self.waiting)

    def cap(self, most: int) -> None:
        """Count with no more than the system gives this process, whatever the configuration says.

        Guards what the reserve is for: clients that take the last descriptor of the process keep
        operators, discovery and attempts out, since a connection is then ended as soon as it is accepted.
        """
        self.total = min(self.total, most)

    def look(self) -> None:
        """Count by the system's limit as it is now: it may be lowered while the process runs."""
        if (most := self.system_limit()) is not None:
            self.cap(most)

    @property
    def limit(self) -> int:
        """What all processes together may hold."""
        return max(self.total - self.RESERVE * (1 + self.others), self.LEAST)

    @property
    def clients(self) -> int:
        """What clients may hold of this process.

        Clients need a third for requests. What they may hold beyond that must leave enough to attempts,
        or silent clients keep every request from its server. Clients move over to a new process sooner
        than the old one's word of it comes, so it has a third in any case.
        """
        return max(self.limit // 2 - self.others_connected, self.limit // 3)

    @property
    def full(self) -> bool:
        return self.held + self.others_held >= self.limit


class Memory:
    """The memory of all messages that are held, requests and answers."""

    PROGRAM = 20 * MB  # what the program takes without any
    PART = 0.3  # of the rest: a message is held up to twice, and freed memory is in pieces
    LEAST = MB
    MOST = 48 * MB

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self.others = 0
        self.others_held = 0

    @property
    def most(self) -> int:
        """What all processes together may hold."""
        rest = self.limit - self.PROGRAM * (1 + self.others)
        return int(min(max(rest * self.PART, self.LEAST), self.MOST))

    def reserve(self, size: int) -> bool:
        if self.held + self.others_held + size > self.most:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        self.held -= size


class Usage:
    """What is held here and by the other processes of this sidecar."""

    def __init__(self, descriptors: Descriptors, memory: Memory) -> None:
        self.descriptors = descriptors
        self.memory = memory

    def own(self) -> tuple[int, int, int]:
        return self.descriptors.held, self.descriptors.connected, self.memory.held

    def of_others(self, processes: int, held: int, connected: int, memory: int) -> None:
        self.descriptors.others = self.memory.others = processes
        self.descriptors.others_held = held
        self.descriptors.others_connected = connected
        self.memory.others_held = memory
