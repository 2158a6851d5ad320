"""The result of one run of a scenario, on sockets or in simulated time."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from .judge import Report
from .series import Series

MAX_SEND_DELAY_S = 0.25  # a later send means that the clients were the bottleneck


class RunOutcome(IntEnum):
    """What a run says of the rules; the values are exit codes."""

    KEPT = 0
    BROKEN = 1
    VOID = 3  # the clients fell behind, so that it says nothing of the sidecar


@dataclass(slots=True)
class RunResult:
    """The result of one run."""

    report: Report
    max_send_delay_s: float  # the longest by which a client's send was late
    crashes: list[str] = field(default_factory=list)  # processes that ended by themselves
    series: Series | None = None
    digest: str = ""  # of all event logs, where the same seed gives the same bytes

    @property
    def void(self) -> bool:
        """Whether the clients fell behind, so that it says nothing of the sidecar."""
        return self.max_send_delay_s > MAX_SEND_DELAY_S

    @property
    def outcome(self) -> RunOutcome:
        """Void before broken before kept."""
        if self.void:
            return RunOutcome.VOID
        return RunOutcome.BROKEN if self.report.findings or self.crashes else RunOutcome.KEPT
