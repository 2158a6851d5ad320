"""How a fake directory treats its callers, under the keys of scenario files and control orders."""

from __future__ import annotations

from typing import Annotated

import msgspec

NonNegative = Annotated[float, msgspec.Meta(ge=0.0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]

ENCODED_NAMES = {
    "calls_per_s": "per_second",
    "queue_capacity": "room",
    "reset_share": "resets",
    "notify_delay_s": "late",
    "retained_changes": "keeps",
}


class DirectoryBehaviour(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename=ENCODED_NAMES):
    """The behaviour of a directory; by default it answers at once and retains every change."""

    calls_per_s: NonNegative = 0.0  # calls served per second, one at a time; 0: no limit
    queue_capacity: Count = 32  # calls that may wait; further ones get a 503
    reset_share: Share = 0.0  # share of calls that end in a connection reset
    notify_delay_s: NonNegative = 0.0  # delay before watchers are notified of a change
    retained_changes: Count = 0  # changes to keep; a watch from an older index gets the complete list; 0: all
