"""The resident memory of this process, as the system counts it."""

from __future__ import annotations

import resource

STATISTICS = "/proc/self/statm"  # proc(5): total size, resident size and others, in pages


def resident_bytes() -> int:
    """Return the resident memory in bytes; 0 if the system does not tell it."""
    try:
        with open(STATISTICS, encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return 0
