"""Sends the sidecar's own GET requests to one HTTP/1.1 service, such as the directory of endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

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
MAX_DESCRIPTORS = 1024
MAX_MEMORY_BYTES = 192 * MB
SERVICE_ID = 0  # number of the only target


class HttpDiscoveryTransport:
    """Uses its own connection pool, so that the limit on connections to servers cannot block discovery."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        """Prepare requests to `address`; connections are opened on demand."""
        self.host = f"{address[0]}:{address[1]}"
        descriptors, memory = Descriptors(MAX_DESCRIPTORS), Memory(MAX_MEMORY_BYTES)
        # Each list states its index, so a second copy of an earlier one does no harm.
        self.upstreams = Upstreams(loop, descriptors, memory, CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S, settle=False)
        self.upstreams.update(SERVICE_ID, address, 0, State.READY)

    def get(self, target: str, timeout_s: float, done: Callable[[bytes | None, str], None]) -> None:
        """Request `target` once; `done` gets the body of a 200 response, or None and the reason."""

        def ended(_: Exchange, status: Status, response: Response | None) -> None:
            if status is Status.OK and response is not None:
                done(response.body, "")
            else:
                done(None, status.name if response is None else f"answer {response.code}")

        head = f"GET {target} HTTP/1.1\r\nHost: {self.host}\r\nAccept: application/json\r\n\r\n".encode()
        self.upstreams.start(SERVICE_ID, Exchange(lambda: head, ended, MAX_RESPONSE_BYTES), timeout_s)

    def close(self) -> None:
        """Close all connections to the service."""
        self.upstreams.close()
