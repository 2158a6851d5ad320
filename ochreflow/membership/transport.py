"""The port behind which the protocol of discovery's calls stands."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

AnswerHandler = Callable[[bytes | None, str], None]
"""Gets the body of an answer, or None and the reason why there is none."""


class DiscoveryTransport(Protocol):
    """Sends requests to the discovery at one address."""

    def get(self, target: str, timeout_s: float, on_answer: AnswerHandler, /) -> None:
        """Send one GET; `on_answer` is called exactly once, at the latest after `timeout_s` seconds."""
        ...

    def close(self) -> None:
        """Close the connections."""
        ...
