"""Inherited state: the platform's listening socket, and the endpoint list of a running process."""

from __future__ import annotations

import socket

from ..core.endpoints import EndpointIds, EndpointUpdate
from ..core.log import log
from ..membership.endpoint_list import EndpointListError, parse_endpoint_update
from .config import ConfigError


def inherited_socket(descriptor: str | None) -> socket.socket | None:
    """Return the listening socket for clients that the platform passes on, or None if it passes none.

    `descriptor` is the value of $GW_FD. Raise ConfigError if that is not a listening TCP socket.
    """
    if not descriptor:
        return None
    try:
        return _listening_socket(descriptor)
    except (OSError, ValueError, OverflowError) as error:
        msg = f"GW_FD {descriptor!r} is not usable: {error}"
        raise ConfigError(msg) from None


def _listening_socket(descriptor: str) -> socket.socket:
    if not (descriptor.isascii() and descriptor.isdigit()):
        msg = "expected the number of a file descriptor"
        raise ValueError(msg)
    sock = socket.socket(fileno=int(descriptor))
    try:
        listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listening = 0
    if not listening or sock.type != socket.SOCK_STREAM:
        sock.detach()
        msg = "not a listening TCP socket"
        raise ValueError(msg)
    return sock


def inherited_endpoint_list(data: object, ids: EndpointIds) -> EndpointUpdate | None:
    """Return the endpoint list of another process; None if there is none or if it is invalid.

    The list of a running process is more recent than that of the configuration.
    """
    if data is None:
        return None
    try:
        return parse_endpoint_update(data, ids)
    except EndpointListError as error:
        log.warning("inherited_list_invalid", reason=str(error))
        return None
