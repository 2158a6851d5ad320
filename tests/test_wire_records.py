"""Decoding and encoding of each record of the simulator's wire protocol, by the examples of its page."""

import struct

import pytest

from ochreflow.policy import interface as api
from ochreflow.simulator_adapter.actions import encode_actions, encode_internal_error
from ochreflow.simulator_adapter.codes import ActionCode, EventCode
from ochreflow.simulator_adapter.events import DECODERS, decode_event, decode_server_list
from ochreflow.simulator_adapter.frames import EventBatch, Reply

INSTANCE = 3
REQUEST = 0x000227F25D3A91C4
OTHER_REQUEST = 0x0000C18E0E6F2B19
SERVER = 0x03124A07
OTHER_SERVER = 0x2C9011F2
EVENT_SIZE, ACTION_SIZE = 48, 24

EVENTS = [
    (
        "12 0300 c4913a5df2270200 00 0000 640ad2557c3bf091 90dbb60302000000 001bb70000000000 01",
        b"",
        api.Request(REQUEST, 0, 0, 0x0203B6DB90, 0x91F03B7C55D20A64, 12_000_000),
    ),
    (
        "17 0300 f211902c c800 c05c150000000000 00",
        b"",
        api.ProbeResult(OTHER_SERVER, api.Status.OK, 1_400_000),
    ),
    (
        "13 0300 c4913a5df2270200 00 074a1203 d0248d0000000000",
        b"",
        api.StreamStarted(REQUEST, 0, SERVER, 9_250_000),
    ),
    ("18 0300 0200 00000000 04000000", b"hi 7", api.GossipReceived(2, b"hi 7")),
    (
        "14 0300 c4913a5df2270200 00 074a1203 c800 a0491a0100000000 01 00",
        b"",
        api.Outcome(REQUEST, 0, SERVER, api.Status.OK, 18_500_000, True),
    ),
    ("16 0300 4d000000", b"", api.Timer(77)),
    ("15 0300 192b6f0e8ec10000", b"", api.RequestCancelled(OTHER_REQUEST)),
]
ACTIONS = [
    ("19 0300 c4913a5df2270200 00b4c40400000000 074a1203", b"", api.Send(REQUEST, SERVER, 80_000_000)),
    ("18 0300", b"", api.Fetch()),
    (
        "15 0300 00000000 11000000",
        b"two servers known",
        api.Log("two servers known"),
    ),
    ("1b 0300 0065cd1d00000000 4d000000", b"", api.SetTimer(500_000_000, 77)),
    ("17 0300 192b6f0e8ec10000 80b2e60e00000000", b"", api.Reject(OTHER_REQUEST, 250_000_000)),
    ("10 0300 ffffffff 00000000 04000000", b"hi 7", api.PublishGossip(b"hi 7")),
    ("14 0300 f211902c", b"", api.CloseIdle(OTHER_SERVER)),
    ("1a 0300 192b6f0e8ec10000", b"", api.Fail(OTHER_REQUEST)),
    ("11 0300 c4913a5df2270200 00", b"", api.Cancel(REQUEST, 0)),
    ("16 0300 f211902c", b"", api.Probe(OTHER_SERVER)),
    ("12 0300 01", b"", api.Watch()),
]


def event_record(text):
    return bytes.fromhex(text).ljust(EVENT_SIZE, b"\0")


def batch_of(*records, tail=b""):
    return EventBatch.parse(struct.pack("<QI", 5, len(records)) + b"".join(records) + tail)


def decode(batch, lists=None):
    (offset,) = batch.record_offsets()
    return decode_event(batch.body[offset], batch, offset, lists or {})


def encode(append_records):
    reply = Reply()
    append_records(reply)
    return b"".join(reply.records), bytes(reply.tail)


@pytest.mark.parametrize(("record", "tail", "event"), EVENTS)
def test_an_event_is_decoded_from_its_example_on_the_page(record, tail, event):
    assert decode(batch_of(event_record(record), tail=tail)) == event


@pytest.mark.parametrize(("record", "tail", "action"), ACTIONS)
def test_an_action_is_encoded_to_its_example_on_the_page(record, tail, action):
    expected = bytes.fromhex(record).ljust(ACTION_SIZE, b"\0"), tail
    assert encode(lambda reply: encode_actions(INSTANCE, [action], reply)) == expected


def test_an_internal_error_is_encoded_to_its_example_on_the_page():
    expected = bytes.fromhex("13 0300 00000000 12000000").ljust(ACTION_SIZE, b"\0"), b"index out of range"
    assert encode(lambda reply: encode_internal_error(INSTANCE, "index out of range", reply)) == expected


def test_a_list_is_decoded_from_its_example_on_the_page():
    rows = (
        "074a1203 0000 00 0000 01 0000803f 0000000000000000",
        "f211902c 0100 00 0000 01 0000c03f 009d966b01000000",
    )
    list_record = event_record("1a 00000000 00000000 02000000")
    endpoints_record = event_record("11 0300 02 29000000 00000000")
    batch = batch_of(list_record, endpoints_record, tail=bytes.fromhex("".join(rows)))
    list_offset, endpoints_offset = batch.record_offsets()
    number, entries = decode_server_list(batch, list_offset)
    assert number == 0
    assert entries == [
        api.Endpoint(SERVER, 0, 0, 0, api.State.READY, 1.0),
        api.Endpoint(OTHER_SERVER, 1, 0, 0, api.State.READY, 1.5, 6_100_000_000),
    ]
    event = decode_event(EventCode.ENDPOINTS, batch, endpoints_offset, {number: entries})
    assert event == api.Membership(api.ListKind.CACHED, 41, entries)


def test_the_examples_cover_every_code():
    events = {int(record.split()[0], 16) for record, _, _ in EVENTS}
    assert events == {*DECODERS, EventCode.NOTE_FROM}
    assert {int(record.split()[0], 16) for record, _, _ in ACTIONS} == {*ActionCode} - {
        ActionCode.INTERNAL_ERROR
    }
