"""Calls of the sidecar's own to one HTTP/1.1 service, such as a directory of servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..core.limits import MB, Descriptors, Memory
from ..core.ports import Address
from ..policy.interface import State, Status
from .exchange import Exchange
from .response import Response
from .upstream import Upstreams

CONNECT_TIMEOUT_S = 2.0  # seconds, as long as an answer may take: `policy/endpoint_set.py` counts on no more
IDLE_TIMEOUT_S = 30.0
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
SERVICE = 0  # the one target


class HttpCalls:
    """Connections of its own: the cap on those to servers must never keep the list from being read."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        self.host = f"{address[0]}:{address[1]}"
        self.upstreams = Upstreams(
            loop, Descriptors(1024), Memory(192 * MB), CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S
        )
        self.upstreams.update(SERVICE, address, 0, State.READY)

    def get(self, target: str, within: float, done: Callable[[bytes | None, str], None]) -> None:
        """Ask once; `done` hears the body of a 200, or None and what there was instead of one."""

        def ended(_: Exchange, status: Status, answer: Response | None) -> None:
            if status is Status.OK and answer is not None:
                done(answer.body, "")
            else:
                done(None, status.name if answer is None else f"answer {answer.code}")

        head = f"GET {target} HTTP/1.1\r\nHost: {self.host}\r\nAccept: application/json\r\n\r\n".encode()
        self.upstreams.start(SERVICE, Exchange(lambda: head, ended, MAX_RESPONSE_BYTES), within)

    def close(self) -> None:
        self.upstreams.close()
