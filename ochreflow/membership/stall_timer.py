"""The timer that detects a stalled poll of discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class StallTimer:
    """Owns the timer that expires if the latest poll is not answered in time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a timer that is not started yet."""
        self.loop = loop
        self.handle: asyncio.TimerHandle | None = None

    def start(self, delay_s: float, on_stall: Callable[[], None]) -> None:
        """Call `on_stall` after `delay_s` seconds, unless the timer is stopped earlier."""
        self.handle = self.loop.call_later(delay_s, self._expire, on_stall)

    def _expire(self, on_stall: Callable[[], None]) -> None:
        self.handle = None
        on_stall()

    @property
    def running(self) -> bool:
        """Whether the timer has been started, and has neither expired nor been stopped."""
        return self.handle is not None

    def stop(self) -> None:
        """Cancel the timer if it is running."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
