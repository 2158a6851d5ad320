"""The form of discovery's answers: reads an endpoint list or a change of it, and writes a complete list."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ..core.address import split_address
from ..core.endpoints import EndpointIds, EndpointRecord, EndpointUpdate
from ..errors import OchreflowError
from ..policy.interface import Endpoint, State

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.REMOVED}
NS_PER_MS = 1_000_000
# Operators know the errors in a list by these names: the texts stay, whatever the classes are called.
NAMES_IN_TEXTS = {"EndpointListError": "ListError", "AddressError": "ValueError"}


class EndpointListError(OchreflowError, ValueError):
    """An answer that is no endpoint list, or one that may not be applied now; the text says what is wrong."""


def parse_endpoint_update(data: object, ids: EndpointIds) -> EndpointUpdate:
    """Read a complete list or a change of it.

    `ids` gets the new names only where all of it can be read; else EndpointListError is raised.
    """
    try:
        fields = _list_fields(data)
        version, complete = int(fields["index"]), bool(fields["snapshot"])
        entries = [_parse_entry(entry) for entry in fields["endpoints"]]
    except (KeyError, TypeError, ValueError, OverflowError, AttributeError) as error:
        name = type(error).__name__
        msg = f"{NAMES_IN_TEXTS.get(name, name)}: {error}"
        raise EndpointListError(msg) from None
    for record, zone, kind in entries:
        endpoint = record.endpoint
        endpoint.server = ids.server(record.name)
        endpoint.zone, endpoint.kind = ids.zone(zone), ids.kind(kind)
    return EndpointUpdate(version, complete, [record for record, _, _ in entries])


def format_endpoint_list(version: int, entries: Iterable[EndpointRecord], ids: EndpointIds) -> dict[str, Any]:
    """The complete list in the form that `parse_endpoint_update` reads."""
    zones, kinds = ({number: name for name, number in known.items()} for known in (ids.zones, ids.kinds))
    statuses = {state: status for status, state in STATES.items()}
    return {
        "index": version,
        "snapshot": True,
        "endpoints": [
            {
                "name": entry.name,
                "address": f"{entry.address[0]}:{entry.address[1]}",
                "zone": zones.get(entry.endpoint.zone, ""),
                "type": kinds.get(entry.endpoint.kind, ""),
                "group": entry.endpoint.cell,
                "status": statuses[entry.endpoint.state],
                "weight": entry.endpoint.weight,
                "since_ms": entry.since_ms,
            }
            for entry in entries
        ],
    }


def _list_fields(data: object) -> dict[str, Any]:
    """The fields of the list; EndpointListError if it has no entries."""
    if not isinstance(data, dict) or not isinstance(data["endpoints"], list):
        msg = "no list of endpoints"
        raise EndpointListError(msg)
    return data


def _parse_entry(entry: dict[str, Any]) -> tuple[EndpointRecord, str, str]:
    """An entry without its ids, with the names of its zone and kind."""
    since_ms = int(entry.get("since_ms") or 0)
    if since_ms < 0:
        msg = f"since_ms is {since_ms}"
        raise EndpointListError(msg)
    endpoint = Endpoint(
        server=0,
        zone=0,
        kind=0,
        cell=int(entry.get("group") or 0),
        # A status that this version doesn't know must not bring new requests to the server.
        state=STATES.get(entry["status"], State.DRAINING),
        weight=float(entry.get("weight", 1.0)),
        started_ns=since_ms * NS_PER_MS,
    )
    record = EndpointRecord(str(entry["name"]), endpoint, split_address(entry["address"]), since_ms)
    return record, str(entry.get("zone", "")), str(entry.get("type", ""))
