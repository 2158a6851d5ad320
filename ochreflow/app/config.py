"""The platform's configuration: the JSON file that `$GW_CONFIG` names."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass, field
from time import monotonic_ns
from typing import Any

from ..core.address import split_address
from ..core.endpoints import EndpointIds, EndpointUpdate
from ..core.limits import MB
from ..core.ports import Address
from ..errors import OchreflowError
from ..membership.endpoint_list import EndpointListError, parse_endpoint_update
from ..policy.interface import Settings
from ..policy.settings import Transport, nested_settings, nested_transport

MAX_SOCKETS = 1024  # upper bound of `limits.sockets`, and its default
DEFAULT_MEMORY_MB = 192


class ConfigError(OchreflowError):
    """Raised for an invalid configuration; the message gives the reason in one line."""


@dataclass(slots=True)
class Config:
    """The validated content of the file. Addresses are pairs of host and port."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # limit on open file descriptors
    memory: int  # limit in bytes
    management: Address | None
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None
    settings: Settings
    transport: Transport
    endpoint_ids: EndpointIds
    cached_list: EndpointUpdate  # used until discovery has answered
    read_ns: int = field(default_factory=monotonic_ns)  # when the file was read


def read_config(path: str | None) -> Config:
    """Read and validate the file. Raise ConfigError if a key is missing or a value is invalid."""
    if not path:
        msg = "GW_CONFIG is not set: it has to name the configuration file"
        raise ConfigError(msg)
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
        settings = nested_settings(data["settings"])
        transport = nested_transport(data["settings"])
        ids = EndpointIds(settings.zones, transport.kinds)
        limits = data.get("limits", {})
        return Config(
            name=str(data["name"]),
            listen=split_address(data["listen"], min_port=0),
            discovery=split_address(data["discovery"]),
            seed=int(data["seed"], 16),
            sockets=min(int(limits.get("sockets", MAX_SOCKETS)), MAX_SOCKETS),
            memory=int(limits.get("memory_mb", DEFAULT_MEMORY_MB) * MB),
            management=_management_address(data),
            peer_listen=split_address(data["peer_listen"]) if data.get("peer_listen") else None,
            peers=[split_address(peer) for peer in data.get("peers", [])],
            peers_all=split_address(data["peers_all"]) if data.get("peers_all") else None,
            settings=settings,
            transport=transport,
            endpoint_ids=ids,
            cached_list=parse_endpoint_update(data["known"], ids),
        )
    except KeyError as error:
        msg = f"{path}: required key {error} is missing"
        raise ConfigError(msg) from None
    except EndpointListError as error:
        msg = f"{path}: invalid endpoint list in 'known': {error}"
        raise ConfigError(msg) from None
    except (OSError, ValueError, TypeError, AttributeError, RecursionError) as error:
        msg = f"{path}: {' '.join(str(error).split())}"
        raise ConfigError(msg) from None


def _management_address(data: dict[str, Any]) -> Address | None:
    """Return the address of the management interface.

    $GW_MANAGEMENT overrides the file, because two processes may share a configuration file.
    """
    text = os.environ.get("GW_MANAGEMENT") or data.get("management")
    return split_address(text, min_port=0) if text else None
