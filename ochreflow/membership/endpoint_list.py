"""The format of discovery's answers: parses endpoint lists and their changes, formats complete lists."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ..core.address import split_address
from ..core.endpoints import EndpointIds, EndpointRecord, EndpointUpdate
from ..errors import OchreflowError
from ..policy.interface import Endpoint, State

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.REMOVED}
NS_PER_MS = 1_000_000
# Error texts contain these names, which operators match, instead of the current class names.
NAMES_IN_TEXTS = {"EndpointListError": "ListError", "AddressError": "ValueError"}


class EndpointListError(OchreflowError, ValueError):
    """Raised if an answer is not a valid endpoint list or may not be applied now; its text says why."""


def parse_endpoint_update(data: object, ids: EndpointIds) -> EndpointUpdate:
    """Parse a complete list or changes of it; raise EndpointListError if any part is invalid.

    New names are added to `ids` only if all of `data` is valid.
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
    """Return the complete list in the format that `parse_endpoint_update` reads."""
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
    """Return the fields of the list; raise EndpointListError if its entries are not a list."""
    if not isinstance(data, dict) or not isinstance(data["endpoints"], list):
        msg = "no list of endpoints"
        raise EndpointListError(msg)
    return data


def _parse_entry(entry: dict[str, Any]) -> tuple[EndpointRecord, str, str]:
    """Return the record of an entry, with ids still unset, and the names of its zone and kind."""
    since_ms = int(entry.get("since_ms") or 0)
    if since_ms < 0:
        msg = f"since_ms is {since_ms}"
        raise EndpointListError(msg)
    endpoint = Endpoint(
        server=0,
        zone=0,
        kind=0,
        cell=int(entry.get("group") or 0),
        # A server with a status unknown to this version must not get new requests.
        state=STATES.get(entry["status"], State.DRAINING),
        weight=float(entry.get("weight", 1.0)),
        started_ns=since_ms * NS_PER_MS,
    )
    record = EndpointRecord(str(entry["name"]), endpoint, split_address(entry["address"]), since_ms)
    return record, str(entry.get("zone", "")), str(entry.get("type", ""))
