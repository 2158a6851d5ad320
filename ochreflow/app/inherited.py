"""Inherited state: the platform's listening socket, and the endpoint list of a running process."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.endpoints import EndpointUpdate
from ..core.log import log
from ..core.ports import Address
from ..membership.endpoint_list import EndpointListError, parse_endpoint_update
from ..membership.list_origin import CACHED, ListOrigin
from .config import Config, ConfigError

if TYPE_CHECKING:
    from .hot_restart_form import Inheritance


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


@dataclass(frozen=True, slots=True)
class InheritedList:
    """An endpoint list with which a process starts, and where it comes from."""

    update: EndpointUpdate
    origin: ListOrigin


def inherited_endpoint_list(inheritance: Inheritance, config: Config) -> InheritedList | None:
    """Return the endpoint list of another process; None if there is none or if it is invalid.

    The list of a running process is more recent than that of the configuration. A process of an earlier
    version does not say where its list comes from: that is taken to be the address of the configuration.
    """
    if inheritance.endpoint_list is None:
        return None
    try:
        update = parse_endpoint_update(inheritance.endpoint_list, config.endpoint_ids)
    except EndpointListError as error:
        log.warning("inherited_list_invalid", reason=str(error))
        return None
    origin = inheritance.origin or ListOrigin(config.discovery, 0, 0, update.version)
    return InheritedList(update, origin)


def configured_list(config: Config) -> InheritedList:
    """Return the list of the configuration, which any list of discovery replaces."""
    update = config.cached_list
    return InheritedList(update, ListOrigin(config.discovery, 0, CACHED, update.version))


def address_in_use(config: Config, known: InheritedList) -> tuple[Address, int]:
    """Return the address of discovery to use, and since when it is in use.

    Another process may have adopted its address after the configuration of this one was read.
    """
    if known.origin.adopted_ns > config.read_ns:
        return known.origin.address, known.origin.adopted_ns
    return config.discovery, config.read_ns
