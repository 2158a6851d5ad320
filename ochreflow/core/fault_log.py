"""Exceptions that are caught to protect everything else, logged at a bounded rate."""

from __future__ import annotations

import math
from time import monotonic

from .log import log

MIN_INTERVAL_S = 1.0  # between two of them


class FaultLog:
    """Logs the exception that is being handled, at most one a second."""

    def __init__(self) -> None:
        """Begin with nothing logged."""
        self.logged_at = -math.inf

    def log(self, reason: str) -> None:
        """Log the exception that is being handled, with what failed because of it."""
        if monotonic() - self.logged_at >= MIN_INTERVAL_S:
            self.logged_at = monotonic()
            log.exception("internal_error", reason=reason)
