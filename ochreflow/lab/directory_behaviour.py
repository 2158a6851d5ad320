"""How a fake directory treats those that call, in the words of scenario files and control orders."""

from __future__ import annotations

from typing import Annotated

import msgspec

NonNegative = Annotated[float, msgspec.Meta(ge=0.0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]

WORD_OF_FIELD = {
    "calls_per_s": "per_second",
    "queue_capacity": "room",
    "reset_share": "resets",
    "notify_delay_s": "late",
    "retained_changes": "keeps",
}


class DirectoryBehaviour(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=WORD_OF_FIELD):
    """The behaviour of a directory; by default it answers at once and remembers every change."""

    calls_per_s: NonNegative = 0.0  # calls served in a second, one after the other; 0: all at once
    queue_capacity: Count = 32  # calls that may wait; one beyond gets a 503
    reset_share: Share = 0.0  # the share of calls that end in a connection reset
    notify_delay_s: NonNegative = 0.0  # after which watchers are notified of a change
    retained_changes: Count = 0  # a watch from before these gets the complete list; 0: all are retained
