"""Sends the sidecar's own GET requests to one HTTP/1.1 service, such as the directory of endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..core.call_failures import CONNECTION_REFUSED
from ..core.limits import MB, Descriptors, Memory
from ..core.ports import Address
from ..policy.interface import State, Status
from .exchange import Exchange
from .response import Response
from .upstream import Upstreams

# The longest time that discovery may take for a response; `policy/endpoint_set.py` relies on this maximum.
CONNECT_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 30.0
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_RESPONSE_SHARE = 1 / 24  # share of the memory limit; a parsed list takes several times its text
MAX_DESCRIPTORS = 1024
DEFAULT_MEMORY_BYTES = 192 * MB
SERVICE_ID = 0  # number of the only target


class EndpointListMemory(Memory):
    """Counts endpoint lists in a sidecar's budget, but lets no lack of memory reject one.

    A sidecar that misses them would send to servers that are gone. Their size has a limit of its own.
    """

    def __init__(self, sidecar_memory: Memory) -> None:
        """Count in `sidecar_memory`."""
        super().__init__(sidecar_memory.limit)
        self.sidecar_memory = sidecar_memory

    def reserve(self, size: int) -> bool:
        """Count `size` bytes, whatever is left."""
        self.sidecar_memory.charge(size)
        return True

    def release(self, size: int) -> None:
        """Release `size` bytes."""
        self.sidecar_memory.release(size)


class HttpDiscoveryTransport:
    """Uses its own connection pool, so that the limit on connections to servers cannot block discovery."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, memory: Memory | None = None
    ) -> None:
        """Prepare requests to `address`; connections are opened on demand. Lists count in `memory`."""
        self.host = f"{address[0]}:{address[1]}"
        descriptors = Descriptors(MAX_DESCRIPTORS)
        memory = EndpointListMemory(memory or Memory(DEFAULT_MEMORY_BYTES))
        self.max_response_bytes = min(MAX_RESPONSE_BYTES, int(memory.limit * MAX_RESPONSE_SHARE))
        # Each list states its index, so a second copy of an earlier one does no harm.
        self.upstreams = Upstreams(loop, descriptors, memory, CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S, settle=False)
        self.upstreams.update(SERVICE_ID, address, 0, State.READY)

    def get(self, target: str, timeout_s: float, done: Callable[[bytes | None, str], None]) -> None:
        """Request `target` once; `done` gets the body of a 200 response, or None and the reason."""

        def ended(_: Exchange, status: Status, response: Response | None) -> None:
            if status is Status.OK and response is not None:
                done(response.body, "")
            elif response is not None:
                done(None, f"answer {response.code}")
            else:
                done(None, self._reason(status))

        head = f"GET {target} HTTP/1.1\r\nHost: {self.host}\r\nAccept: application/json\r\n\r\n".encode()
        self.upstreams.start(SERVICE_ID, Exchange(lambda: head, ended, self.max_response_bytes), timeout_s)

    def _reason(self, status: Status) -> str:
        """Return why a request got no response."""
        refused = status is Status.CONNECT_FAILED and self.upstreams.targets[SERVICE_ID].nobody_listens
        return CONNECTION_REFUSED if refused else status.name

    def close(self) -> None:
        """Close all connections to the service."""
        self.upstreams.close()
