"""Addresses in their text form."""

from __future__ import annotations

import socket

from ..errors import OchreflowError

MAX_PORT = 65535


class AddressError(OchreflowError, ValueError):
    """A text that is no numeric IPv4 address with a port."""

    def __init__(self, text: object) -> None:
        """Name the text that was found."""
        super().__init__(f"no address: {text!r}")


def split_address(text: object, min_port: int = 1) -> tuple[str, int]:
    """Return a numeric address as host and port; `AddressError` if it is none, or the port too low."""
    host, _, port = str(text).rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise AddressError(text) from None
    if not (port.isascii() and port.isdigit() and min_port <= int(port) <= MAX_PORT):
        raise AddressError(text)
    return host, int(port)
