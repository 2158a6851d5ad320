"""Values with their units: times, sizes and addresses as operators write them."""

from __future__ import annotations

import re

from ..core.address import split_address

SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
BYTES = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
NUMBER = r"\d{1,9}(?:\.\d{1,9})?"
TIME = re.compile(rf"({NUMBER})\s?({'|'.join(SECONDS)})")
SIZE = re.compile(rf"({NUMBER})\s?({'|'.join(BYTES)})")


class Seconds(float):
    """A time, written with its unit."""

    pattern = f"^{TIME.pattern}$"
    wanted = 'a time with its unit, such as "250ms", "2.5s" or "1m"'

    @classmethod
    def read(cls, raw: object) -> Seconds:
        """ValueError where it is no time."""
        match = TIME.fullmatch(raw) if isinstance(raw, str) else None
        if match is None:
            raise ValueError
        return cls(float(match[1]) * SECONDS[match[2]])

    def __str__(self) -> str:
        return f"{self * 1000:g}ms" if self < 1 else f"{float(self):g}s"


class Size(int):
    """A number of bytes, written with its unit."""

    pattern = f"^{SIZE.pattern}$"
    wanted = 'a size with its unit, such as "64KiB" or "32MiB"'

    @classmethod
    def read(cls, raw: object) -> Size:
        """ValueError where it is no size."""
        match = SIZE.fullmatch(raw) if isinstance(raw, str) else None
        if match is None:
            raise ValueError
        return cls(float(match[1]) * BYTES[match[2]])

    def __str__(self) -> str:
        return f"{int(self) / BYTES['MiB']:g}MiB"


class HostPort(tuple[str, int]):
    """A numeric IPv4 address and a port; port 0 lets the system pick one."""

    pattern = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
    wanted = 'an address and a port, such as "127.0.0.1:9100"'

    @classmethod
    def read(cls, raw: object) -> HostPort:
        """ValueError where it is no address."""
        if not isinstance(raw, str):
            raise ValueError
        return cls(split_address(raw, min_port=0))

    def __str__(self) -> str:
        return f"{self[0]}:{self[1]}"


UNITS = (Seconds, Size, HostPort)
