"""The groups of faults that a search may leave out."""

from __future__ import annotations

from enum import Enum


class FaultGroup(Enum):
    """A group of drawn faults that can be left out of a search."""

    EARLY = "early"  # servers act while a request is partly written
    FREEZE = "freeze"  # a sidecar does not run for a moment, so that events fall into one turn of its loop
    SECOND_ANSWER = "second-answer"  # a second answer on a kept connection
    MALFORMED = "spoilt"  # answers that contradict themselves
    SIDECARS = "sidecars"  # signals to sidecars
    SERVERS = "servers"  # servers restart, drain, move to other groups, accept late
    CLIENTS = "clients"  # clients leave
    BURSTS = "bursts"  # many small requests at once
