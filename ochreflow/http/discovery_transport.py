"""Sends the sidecar's own GET requests to one HTTP/1.1 service, such as the directory of endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..core.call_failures import CONNECTION_REFUSED
from ..core.limits import MB, Descriptors, Memory
from ..core.log import log
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
AnswerHandler = Callable[[bytes | None, str], None]
SERVICE_ID = 0  # number of the only target
# Requests that may be open at once: a slow answer is still awaited while another request is made.
MAX_OPEN_REQUESTS = 3
STALL_NOTICE_S = 1.0  # an answer that makes no progress for so long is not waited for alone
RESPONSE_STALL_S = 4.0  # an answer that makes no progress for so long is given up
PROGRESS_INTERVAL_S = 0.5  # time between checks of the progress of answers


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
        self.upstreams = Upstreams(
            loop,
            descriptors,
            memory,
            CONNECT_TIMEOUT_S,
            IDLE_TIMEOUT_S,
            settle=False,
            response_stall_s=RESPONSE_STALL_S,
        )
        self.loop = loop
        self.open_requests: dict[Exchange, AnswerHandler] = {}  # in the order of their starts
        self.on_answer_stalled: Callable[[AnswerHandler], None] = lambda _: None
        self.upstreams.update(SERVICE_ID, address, 0, State.READY)

    def get(self, target: str, timeout_s: float, done: AnswerHandler) -> None:
        """Request `target` once; `done` gets the body of a 200 response, or None and the reason."""

        def ended(exchange: Exchange, status: Status, response: Response | None) -> None:
            self.open_requests.pop(exchange, None)
            if status is Status.OK and response is not None:
                done(response.body, "")
            elif response is not None:
                done(None, f"answer {response.code}")
            else:
                done(None, self._reason(status))

        head = f"GET {target} HTTP/1.1\r\nHost: {self.host}\r\nAccept: application/json\r\n\r\n".encode()
        self._make_room()
        exchange = Exchange(lambda: head, ended, self.max_response_bytes)
        self.open_requests[exchange] = done
        self.upstreams.start(SERVICE_ID, exchange, timeout_s)
        self.loop.call_later(PROGRESS_INTERVAL_S, self._check_progress, exchange)

    def _check_progress(self, exchange: Exchange) -> None:
        """Report an answer that has begun and has stalled, once."""
        handler = self.open_requests.get(exchange)
        if handler is None:
            return
        if exchange.silent_s >= STALL_NOTICE_S:
            self.on_answer_stalled(handler)
        else:
            self.loop.call_later(PROGRESS_INTERVAL_S, self._check_progress, exchange)

    def _make_room(self) -> None:
        """Give up the request that is least likely to be answered next, if too many are open.

        Those whose answer has begun are kept before others, and earlier ones before later ones.
        """
        if len(self.open_requests) < MAX_OPEN_REQUESTS:
            return
        newest_first = list(reversed(self.open_requests))
        given_up = next((exchange for exchange in newest_first if not exchange.responding), newest_first[0])
        log.info("discovery_request_given_up", open=len(newest_first), responding=given_up.responding)
        given_up.give_up(Status.CANCELLED)

    def _reason(self, status: Status) -> str:
        """Return why a request got no response."""
        refused = status is Status.CONNECT_FAILED and self.upstreams.targets[SERVICE_ID].nobody_listens
        return CONNECTION_REFUSED if refused else status.name

    def close(self) -> None:
        """Close all connections to the service."""
        self.upstreams.close()
