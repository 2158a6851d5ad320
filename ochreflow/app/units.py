"""Times, sizes and addresses in the notation of the operator's file."""

from __future__ import annotations

import re

from ..core.address import split_address

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
BYTES_BY_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
NUMBER = r"\d{1,9}(?:\.\d{1,9})?"
TIME = re.compile(rf"({NUMBER})\s?({'|'.join(SECONDS_BY_UNIT)})")
SIZE = re.compile(rf"({NUMBER})\s?({'|'.join(BYTES_BY_UNIT)})")


class Seconds(float):
    """A time in seconds; the operator's file gives it with a unit."""

    pattern = f"^{TIME.pattern}$"
    expected = 'a time with its unit, such as "250ms", "2.5s" or "1m"'

    @classmethod
    def parse(cls, raw: object) -> Seconds:
        """Parse a time such as "250ms". Raise ValueError if `raw` is anything else."""
        match = TIME.fullmatch(raw) if isinstance(raw, str) else None
        if match is None:
            raise ValueError
        return cls(float(match[1]) * SECONDS_BY_UNIT[match[2]])

    def __str__(self) -> str:
        """Return the value in the notation of the operator's file."""
        return f"{self * 1000:g}ms" if self < 1 else f"{float(self):g}s"


class Size(int):
    """A number of bytes; the operator's file gives it with a unit."""

    pattern = f"^{SIZE.pattern}$"
    expected = 'a size with its unit, such as "64KiB" or "32MiB"'

    @classmethod
    def parse(cls, raw: object) -> Size:
        """Parse a size such as "64KiB". Raise ValueError if `raw` is anything else."""
        match = SIZE.fullmatch(raw) if isinstance(raw, str) else None
        if match is None:
            raise ValueError
        return cls(float(match[1]) * BYTES_BY_UNIT[match[2]])

    def __str__(self) -> str:
        """Return the value in the notation of the operator's file."""
        return f"{int(self) / BYTES_BY_UNIT['MiB']:g}MiB"


class HostPort(tuple[str, int]):
    """A numeric IPv4 address and a port; for port 0 the operating system chooses one."""

    pattern = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
    expected = 'an address and a port, such as "127.0.0.1:9100"'

    @classmethod
    def parse(cls, raw: object) -> HostPort:
        """Parse an address such as "127.0.0.1:9100". Raise ValueError if `raw` is anything else."""
        if not isinstance(raw, str):
            raise ValueError  # noqa: TRY004 -- the caller catches ValueError alone, for all units
        return cls(split_address(raw, min_port=0))

    def __str__(self) -> str:
        """Return the value in the notation of the operator's file."""
        return f"{self[0]}:{self[1]}"


Unit = Seconds | Size | HostPort
UNITS = (Seconds, Size, HostPort)
