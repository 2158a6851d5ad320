"""What a process inherits: the platform's listening socket, and the endpoint list of a process beside it."""

from __future__ import annotations

import socket

from ..core.endpoints import EndpointIds, EndpointUpdate
from ..core.log import log
from ..membership.endpoint_list import EndpointListError, parse_endpoint_update
from .config import ConfigError


def inherited_socket(descriptor: str | None) -> socket.socket | None:
    """The clients' listening socket, where the platform holds one for every process.

    `descriptor` is the value of $GW_FD; ConfigError if it is no listening TCP socket.
    """
    if not descriptor:
        return None
    try:
        return _listening_socket(descriptor)
    except (OSError, ValueError, OverflowError) as error:
        msg = f"GW_FD {descriptor!r} can't be used: {error}"
        raise ConfigError(msg) from None


def _listening_socket(descriptor: str) -> socket.socket:
    if not (descriptor.isascii() and descriptor.isdigit()):
        msg = "no number"
        raise ValueError(msg)
    sock = socket.socket(fileno=int(descriptor))
    try:
        listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listening = 0
    if not listening or sock.type != socket.SOCK_STREAM:
        sock.detach()
        msg = "no listening socket"
        raise ValueError(msg)
    return sock


def inherited_endpoint_list(data: object, ids: EndpointIds) -> EndpointUpdate | None:
    """The list of a process beside this one, fresher than the configuration's; None if there is none."""
    if data is None:
        return None
    try:
        return parse_endpoint_update(data, ids)
    except EndpointListError as error:
        log.warning("inherited_list_invalid", reason=str(error))
        return None
