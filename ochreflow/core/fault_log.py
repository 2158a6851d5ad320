"""Logs unexpected exceptions that are caught to keep the process running, at a bounded rate."""

from __future__ import annotations

import math
from time import monotonic

from .log import log

MIN_INTERVAL_S = 1.0  # least time between two logged exceptions


class FaultLog:
    """Logs unexpected exceptions, at most one a second."""

    def __init__(self) -> None:
        """Allow the first exception to be logged at once."""
        self.logged_at = -math.inf

    def log(self, reason: str) -> None:
        """Log the exception that is being handled; `reason` says what failed and what follows."""
        if monotonic() - self.logged_at >= MIN_INTERVAL_S:
            self.logged_at = monotonic()
            log.exception("internal_error", reason=reason)
