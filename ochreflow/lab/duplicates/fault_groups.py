"""The groups of faults that can be excluded from a search."""

from __future__ import annotations

from enum import Enum


class FaultGroup(Enum):
    """A group of random faults that can be excluded from a search."""

    EARLY = "early"  # servers end attempts of which only a part has been written
    FREEZE = "freeze"  # a sidecar is stopped briefly, so that several events reach one turn of its event loop
    SECOND_ANSWER = "second-answer"  # a second response on a persistent connection
    MALFORMED = "spoilt"  # responses that contradict themselves
    SIDECARS = "sidecars"  # signals to sidecars
    SERVERS = "servers"  # servers restart, drain, move to other groups, accept late
    CLIENTS = "clients"  # clients disconnect
    BURSTS = "bursts"  # many small requests at once
