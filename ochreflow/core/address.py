"""Parsing of `host:port` addresses."""

from __future__ import annotations

import socket

from ..errors import OchreflowError

MAX_PORT = 65535


class AddressError(OchreflowError, ValueError):
    """A text that is not a numeric IPv4 address with a port."""

    def __init__(self, text: object) -> None:
        """Report the invalid `text`."""
        super().__init__(f"no address: {text!r}")


def split_address(text: object, min_port: int = 1) -> tuple[str, int]:
    """Return host and port of a numeric IPv4 address; raise `AddressError` if it or its port is invalid."""
    host, _, port = str(text).rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise AddressError(text) from None
    if not (port.isascii() and port.isdigit() and min_port <= int(port) <= MAX_PORT):
        raise AddressError(text)
    return host, int(port)
