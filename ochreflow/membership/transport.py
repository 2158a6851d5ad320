"""The interface to the protocol in which discovery is called."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

AnswerHandler = Callable[[bytes | None, str], None]
"""Called with the body of an answer, or with None and the reason of the failure, see `core.call_failures`."""


class DiscoveryTransport(Protocol):
    """Sends requests to the discovery at one address.

    A request may be given up for a newer one if too many are open.
    """

    on_answer_stalled: Callable[[AnswerHandler], None]
    """Called with the handler of a request whose answer has begun and has made no progress for a while."""

    def get(self, target: str, timeout_s: float, on_answer: AnswerHandler, /) -> None:
        """Send a GET request; `on_answer` is called exactly once, within `timeout_s` seconds."""
        ...

    def close(self) -> None:
        """Close the connections."""
        ...
