"""Maps the steps of a scenario to control orders of nodes and to statuses in the directory."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .scenario import Step, StepAction

NODE_ORDERS: dict[StepAction, Callable[[Step], dict[str, Any]]] = {  # the control order that a node gets
    StepAction.BLACKHOLE: lambda _step: {"swallow": True},
    StepAction.FAIL_FAST: lambda step: {"fail": step.amount},
    StepAction.SLOW_DOWN: lambda step: {"slow": step.amount},
    StepAction.MALFORM: lambda step: {"spoil": step.amount, "form": step.malformation},
    StepAction.RECOVER: lambda _step: {"swallow": False, "fail": 0.0, "slow": 1.0, "spoil": 0.0},
}
STATUS_AFTER = {  # the status that a node gets in the directory
    StepAction.DRAIN: "DRAINING",
    StepAction.UNDRAIN: "SERVING",
    StepAction.DELIST: "DELETED",
}
