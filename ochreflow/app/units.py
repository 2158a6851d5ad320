"""Values with their units: times, sizes and addresses as operators write them."""

from __future__ import annotations

import re

from ..core.address import split_address

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
BYTES_BY_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
NUMBER = r"\d{1,9}(?:\.\d{1,9})?"
TIME = re.compile(rf"({NUMBER})\s?({'|'.join(SECONDS_BY_UNIT)})")
SIZE = re.compile(rf"({NUMBER})\s?({'|'.join(BYTES_BY_UNIT)})")


class Seconds(float):
    """A time in seconds, written with its unit."""

    pattern = f"^{TIME.pattern}$"
    expected = 'a time with its unit, such as "250ms", "2.5s" or "1m"'

    @classmethod
    def read(cls, raw: object) -> Seconds:
        """The time that `raw` writes; ValueError if it is none."""
        match = TIME.fullmatch(raw) if isinstance(raw, str) else None
        if match is None:
            raise ValueError
        return cls(float(match[1]) * SECONDS_BY_UNIT[match[2]])

    def __str__(self) -> str:
        """As it is written in the file."""
        return f"{self * 1000:g}ms" if self < 1 else f"{float(self):g}s"


class Size(int):
    """A number of bytes, written with its unit."""

    pattern = f"^{SIZE.pattern}$"
    expected = 'a size with its unit, such as "64KiB" or "32MiB"'

    @classmethod
    def read(cls, raw: object) -> Size:
        """The size that `raw` writes; ValueError if it is none."""
        match = SIZE.fullmatch(raw) if isinstance(raw, str) else None
        if match is None:
            raise ValueError
        return cls(float(match[1]) * BYTES_BY_UNIT[match[2]])

    def __str__(self) -> str:
        """As it is written in the file."""
        return f"{int(self) / BYTES_BY_UNIT['MiB']:g}MiB"


class HostPort(tuple[str, int]):
    """A numeric IPv4 address and a port; port 0 lets the system pick one."""

    pattern = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
    expected = 'an address and a port, such as "127.0.0.1:9100"'

    @classmethod
    def read(cls, raw: object) -> HostPort:
        """The address that `raw` writes; ValueError if it is none."""
        if not isinstance(raw, str):
            raise ValueError  # noqa: TRY004 -- as the other units do: the caller knows one error
        return cls(split_address(raw, min_port=0))

    def __str__(self) -> str:
        """As it is written in the file."""
        return f"{self[0]}:{self[1]}"


Unit = Seconds | Size | HostPort
UNITS = (Seconds, Size, HostPort)
