"""Which of two endpoint lists is newer, if they come from different processes or addresses of discovery."""

from __future__ import annotations

from dataclasses import dataclass

from ..core.ports import Address

CACHED = (
    -1
)  # in place of `resets`: the list comes from a configuration, and any list of discovery replaces it


@dataclass(frozen=True, slots=True)
class ListOrigin:
    """Where a complete endpoint list comes from, and its version there."""

    address: Address  # of discovery
    adopted_ns: int  # when a process began to use the address, on the system's monotonic clock
    resets: int  # how often the versions at this address have begun again, or CACHED
    version: int

    def is_newer_than(self, other: ListOrigin) -> bool:
        """Return whether this list replaces the other one.

        Versions are comparable only at one address. Of two addresses, the one that was adopted later is in
        effect.
        """
        if self.address == other.address:
            return (self.resets, self.version) > (other.resets, other.version)
        return self.adopted_ns > other.adopted_ns
