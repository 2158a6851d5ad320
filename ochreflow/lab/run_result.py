"""The result of one run of a scenario, on sockets or in simulated time."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from .judge import Report
from .series import Series

MAX_SEND_DELAY_S = 0.25  # if a request is delayed longer, the clients were the bottleneck


class RunOutcome(IntEnum):
    """Whether a run kept the rules; the values are exit codes."""

    KEPT = 0
    BROKEN = 1
    VOID = 3  # the clients fell behind, so the run proves nothing about the sidecar


@dataclass(slots=True)
class RunResult:
    """The result of one run."""

    report: Report
    max_send_delay_s: float  # longest delay of a client's send behind its schedule
    crashes: list[str] = field(default_factory=list)  # processes that exited unexpectedly
    series: Series | None = None
    digest: str = ""  # hash of all event logs, if the same seed gives the same bytes

    @property
    def void(self) -> bool:
        """Whether the clients fell behind, in which case the run proves nothing about the sidecar."""
        return self.max_send_delay_s > MAX_SEND_DELAY_S

    @property
    def outcome(self) -> RunOutcome:
        """The outcome: void takes precedence over broken, and broken over kept."""
        if self.void:
            return RunOutcome.VOID
        return RunOutcome.BROKEN if self.report.findings or self.crashes else RunOutcome.KEPT
