"""Request ids that may not be reused yet."""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Hashable
from dataclasses import dataclass
from hashlib import blake2b
from time import monotonic

from .limits import Memory

RETENTION_S = 4.0  # time after the end of a request for which its id may not be reused
MAX_RETAINED_IDS = 8192  # bounds the memory for ids of ended requests; the oldest are released first
MAX_ID_LENGTH = 64  # of a longer id, only a digest is kept
DIGEST_BYTES = 32
ID_BYTES = 256  # memory of the id of an ended request

IdKey = str  # the form in which an id is kept


def compact(request_id: Hashable) -> IdKey:
    """Return the key of an id, which is short, also in JSON: clients may choose ids as long as a header."""
    text = request_id.decode("latin-1") if isinstance(request_id, bytes) else str(request_id)
    if len(text) <= MAX_ID_LENGTH and text.isascii():
        return text
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class HeldId:
    """An id that may not be reused, as told to another process of this sidecar."""

    key: IdKey
    owner: int | None  # id of the other process whose request is open; None: this one's, or ended
    ended: bool


class RequestIdRegistry:
    """Holds the ids of a frontend's open requests and of those that have just ended.

    The registry protects an open request from another one with the same id, which a server would take for a
    second copy, and a request that has just been answered from running again. During a hot restart it also
    holds the ids of the sidecar's other processes, as far as this one has been told of them.
    """

    def __init__(self, memory: Memory | None = None) -> None:
        """Begin with no ids in use; those of ended requests count in `memory`."""
        self.memory = memory
        self.in_use: set[IdKey] = set()
        self.owners: dict[IdKey, int] = {}  # id of the process that has the open request, if another
        self.ended: deque[tuple[float, IdKey]] = deque()  # end time in seconds and id, oldest first

    def is_held(self, request_id: Hashable) -> bool:
        """Return whether the request of an id is open or has just ended."""
        return compact(request_id) in self.in_use

    def claim(self, request_id: Hashable) -> bool:
        """Claim an id for a new request; return False if it is in use."""
        return self._hold(compact(request_id))

    def release(self, request_id: Hashable) -> None:
        """Record that the request of this id has ended: the id may be reused after `RETENTION_S`."""
        self._retain(compact(request_id))

    def withdraw(self, request_id: Hashable) -> None:
        """Take back a claim that another process has denied."""
        self.in_use.discard(compact(request_id))

    def _hold(self, key: IdKey) -> bool:
        self._expire()
        if key in self.in_use:
            return False
        self.in_use.add(key)
        return True

    def _retain(self, key: IdKey) -> None:
        self.in_use.add(key)
        self.ended.append((monotonic(), key))
        if self.memory is not None:
            self.memory.add_overhead(ID_BYTES)

    def _expire(self) -> None:
        expired_before = monotonic() - RETENTION_S
        while self.ended and (self.ended[0][0] < expired_before or len(self.ended) > MAX_RETAINED_IDS):
            self.in_use.discard(self.ended.popleft()[1])
            if self.memory is not None:
                self.memory.add_overhead(-ID_BYTES)

    # Ids of the other processes of this sidecar

    def grant(self, key: IdKey, owner: int) -> bool:
        """Let the process `owner` use an id; return False if it is in use."""
        if not self._hold(key):
            return False
        self.owners[key] = owner
        return True

    def end_remote(self, key: IdKey, owner: int) -> None:
        """Record that a request of the process `owner` has ended, if that has the id."""
        if self.owners.get(key) == owner:
            del self.owners[key]
            self._retain(key)

    def end_others_of(self, owner: int, still_open: Container[IdKey]) -> None:
        """Record that all requests of a process have ended but those that are still open."""
        ended = [key for key, other in self.owners.items() if other == owner and key not in still_open]
        for key in ended:
            self.end_remote(key, owner)

    def snapshot(self) -> list[HeldId]:
        """Return all ids that may not be reused."""
        self._expire()
        ended = {key for _, key in self.ended}
        return [HeldId(key, self.owners.get(key), key in ended) for key in self.in_use]

    def merge(self, held: HeldId, owner: int) -> None:
        """Hold an id that another process has reported; `owner` has the open request.

        The id of an ended request is kept for another `RETENTION_S`.
        """
        if held.key in self.in_use:
            return
        if held.ended:
            self._retain(held.key)
        else:
            self.grant(held.key, owner)


class RequestIdRegistries:
    """The registries of all frontends: ids are unique within one frontend only."""

    def __init__(self, memory: Memory | None = None) -> None:
        """Begin without frontends; the ids of ended requests count in `memory`."""
        self.memory = memory
        self.by_frontend: dict[str, RequestIdRegistry] = {}

    def of(self, frontend: str) -> RequestIdRegistry:
        """Return the registry of a frontend; another process may know of it earlier than this one."""
        return self.by_frontend.setdefault(frontend, RequestIdRegistry(self.memory))
