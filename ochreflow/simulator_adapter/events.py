"""Decoder for event records of the simulator's wire protocol.

Each format has the fields in the order of the protocol's page, from the first byte of a record on.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..policy import interface as api
from .codes import LIST_KIND_OF_SCOPE, STATE_OF_PHASE, STATUS_OF_REASON, EventCode, InboundOption
from .errors import UnknownEventError, UnknownListError
from .frames import EventBatch

# "3x" skips the code and the instance, with which most records begin.
INSTANCE = struct.Struct("<xH")
NEW_INSTANCE = struct.Struct("<3xQII")  # nonce64; setup: offset, length
ENDPOINTS = struct.Struct("<3xBII")  # scope, stamp, buffer
INBOUND = struct.Struct("<3xQBHQQQB")  # ticket, profile, owner, object, drop-dead-ns, effort-ns, opts
FIRST = struct.Struct("<3xQBIQ")  # ticket, n, server, duration-ns
SETTLED = struct.Struct("<3xQBIHQBB4f")  # ticket, n, server, reason, duration-ns, last, report
DROPPED = struct.Struct("<3xQ")  # ticket
BELL = struct.Struct("<3xI")  # cookie
HEALTH = struct.Struct("<3xIHQB4f")  # server, reason, duration-ns, report
NOTE_FROM = struct.Struct("<3xHII")  # src-peer; msg: offset, length
SNAPSHOT_ROWS = struct.Struct("<xIII")  # buffer; lines: offset, number of entries
LIST_ENTRY = struct.Struct("<IHBHBfQ")  # server, site, type, group, phase, size, last-start-ns

# Each member is read once, not for each record; see the docstring of `codes`.
COST_VALID = int(InboundOption.COST_VALID)
CLIENT_RETRY = int(InboundOption.CLIENT_RETRY)
WRITE = int(InboundOption.WRITE)


@dataclass(frozen=True, slots=True)
class NewInstance:
    """`NEW_INSTANCE`: the seed and the settings of a new instance."""

    seed: int
    settings_text: str


def decode_new_instance(batch: EventBatch, record_offset: int) -> NewInstance:
    """Decode `NEW_INSTANCE`. Raise `TailRangeError` if the settings are not completely in the frame."""
    seed, offset, size = NEW_INSTANCE.unpack_from(batch.body, record_offset)
    return NewInstance(seed, batch.tail(offset, size).decode())


def decode_server_list(batch: EventBatch, record_offset: int) -> tuple[int, list[api.Endpoint]]:
    """Decode `SNAPSHOT_ROWS` to the number and the entries of a list.

    Raise `TailRangeError` if the entries are not completely in the frame.
    """
    number, offset, count = SNAPSHOT_ROWS.unpack_from(batch.body, record_offset)
    rows = batch.tail(offset, count * LIST_ENTRY.size)
    entries = [
        api.Endpoint(
            server, zone, kind, cell, STATE_OF_PHASE.get(phase, api.State.REMOVED), weight, started_ns
        )
        for server, zone, kind, cell, phase, weight, started_ns in LIST_ENTRY.iter_unpack(rows)
    ]
    return number, entries


def decode_event(
    code: int, batch: EventBatch, record_offset: int, lists: Mapping[int, list[api.Endpoint]]
) -> api.Event | None:
    """Decode an event for the decision module; return None for a list of unknown scope, which is ignored.

    `lists` has the entries of each list by its number. Raise `FrameError` for an invalid record.
    """
    decode = DECODERS.get(code)
    if decode is not None:
        return decode(batch.body, record_offset)
    match code:
        case EventCode.ENDPOINTS:
            return _decode_endpoints(batch.body, record_offset, lists)
        case EventCode.NOTE_FROM:
            sender, offset, size = NOTE_FROM.unpack_from(batch.body, record_offset)
            return api.GossipReceived(sender, batch.tail(offset, size))
        case _:
            raise UnknownEventError(code)


def _decode_settled(body: bytes, record_offset: int) -> api.Outcome:
    request_id, attempt, server, reason, duration_ns, last, column_count, *report = SETTLED.unpack_from(
        body, record_offset
    )
    status = STATUS_OF_REASON.get(reason, api.Status.ERROR)
    return api.Outcome(
        request_id,
        attempt,
        server,
        status,
        duration_ns,
        last != 0,
        tuple(report[:column_count]) if column_count else (),
    )


def _decode_inbound(body: bytes, record_offset: int) -> api.Request:
    request_id, class_index, tenant, key, deadline_ns, cost_ns, options = INBOUND.unpack_from(
        body, record_offset
    )
    return api.Request(
        request_id,
        class_index,
        tenant,
        deadline_ns,
        key,
        cost_ns if options & COST_VALID else 0,
        options & CLIENT_RETRY != 0,
        options & WRITE != 0,
    )


def _decode_endpoints(
    body: bytes, record_offset: int, lists: Mapping[int, list[api.Endpoint]]
) -> api.Membership | None:
    scope, version, number = ENDPOINTS.unpack_from(body, record_offset)
    kind = LIST_KIND_OF_SCOPE.get(scope)
    if kind is None:
        return None
    if kind is api.ListKind.FAILED:  # the list number has no meaning then
        return api.Membership(kind, version, [])
    if number not in lists:
        raise UnknownListError(number)
    return api.Membership(kind, version, lists[number])


def _decode_health(body: bytes, record_offset: int) -> api.ProbeResult:
    server, reason, duration_ns, column_count, *report = HEALTH.unpack_from(body, record_offset)
    status = STATUS_OF_REASON.get(reason, api.Status.ERROR)
    return api.ProbeResult(server, status, duration_ns, tuple(report[:column_count]) if column_count else ())


def _decode_first(body: bytes, record_offset: int) -> api.StreamStarted:
    return api.StreamStarted(*FIRST.unpack_from(body, record_offset))


def _decode_dropped(body: bytes, record_offset: int) -> api.RequestCancelled:
    return api.RequestCancelled(DROPPED.unpack_from(body, record_offset)[0])


def _decode_bell(body: bytes, record_offset: int) -> api.Timer:
    return api.Timer(BELL.unpack_from(body, record_offset)[0])


# Decoders of the records that use neither the tail nor a list.
DECODERS: dict[int, Callable[[bytes, int], api.Event]] = {
    EventCode.INBOUND: _decode_inbound,
    EventCode.FIRST: _decode_first,
    EventCode.SETTLED: _decode_settled,
    EventCode.DROPPED: _decode_dropped,
    EventCode.BELL: _decode_bell,
    EventCode.HEALTH: _decode_health,
}
