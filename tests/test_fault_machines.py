"""The state machines of the fault proxy: a fault occurs at its byte, however reads split the stream."""

from fault_messages import CHUNKED_RESPONSE, INTERIM_RESPONSE, REQUEST, RESPONSE, fault
from hypothesis import given, settings
from hypothesis import strategies as st

from ochreflow.lab.fault.datagrams import DatagramMachine
from ochreflow.lab.fault.framing import Framer, Place
from ochreflow.lab.fault.script import Side
from ochreflow.lab.fault.stream import Close, Forward, HalfClose, StreamMachine, Wait
from ochreflow.lab.fault.transcript import Transcript

STREAMS = [
    REQUEST * 2,
    RESPONSE * 3,
    CHUNKED_RESPONSE + RESPONSE,
    INTERIM_RESPONSE + RESPONSE,
    b"\r\n\r\n" + REQUEST,
    b"HTTP/1.1 200 OK\r\n\r\nto the end",
    b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nwhat",
    b"GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n",
    bytes(range(256)) * 3,
]


def split(data, cuts):
    offsets = sorted({cut % len(data) for cut in cuts})
    return [data[a:b] for a, b in zip([0, *offsets], [*offsets, len(data)], strict=True) if a < b]


def labels_by_byte(pieces):
    """Label each byte with its place; the result does not depend on how the bytes are split into pieces."""
    return [label for place, part in pieces for label in ([(place, byte) for byte in part] or [place])]


@given(st.sampled_from(STREAMS), st.lists(st.integers(0, 10_000), max_size=12))
@settings(max_examples=150, deadline=None)
def test_places_do_not_depend_on_how_the_stream_is_split(data, cuts):
    whole = list(Framer().feed(data))
    framer = Framer()
    pieces = [piece for part in split(data, cuts) for piece in framer.feed(part)]
    assert b"".join(part for _, part in pieces) == data
    assert labels_by_byte(pieces) == labels_by_byte(whole)


def find_places(data):
    bytes_by_place = {}
    for place, part in Framer().feed(data):
        bytes_by_place[place] = bytes_by_place.get(place, b"") + part
    return bytes_by_place


def test_framer_labels_each_place_of_a_message():
    assert find_places(REQUEST)[Place.LENGTH] == b"10" and find_places(REQUEST)[Place.BODY] == b"0123456789"
    assert find_places(RESPONSE * 2)[Place.LENGTH] == b"1010"
    assert find_places(CHUNKED_RESPONSE)[Place.CHUNK_SIZE] == b"5\r\n3;x=1\r\n0\r\n"
    boundaries = [place for place, part in Framer().feed(INTERIM_RESPONSE + RESPONSE) if not part]
    assert boundaries == [Place.START, Place.START, Place.END]


FAULTS = [
    fault("cut", place="head", after=9),
    fault("reset", place="body", after=3, message=1),
    fault("half_close", place="end"),
    fault("black_hole", place="length", after=1),
    fault("garble", place="length", count=1),
    fault("garble", place="head", after=2, count=30),
    fault("garble", place="body", after=1, count=4, message=1),
    fault("delay", ms=20, spread="heavy"),
    fault("delay", place="body", ms=20, spread="uniform", after=2),
    fault("rate", place="body", per_second=1000),
    fault("cut", share=0.5, place="body", after=5),
]


def run_machine(parts, faults, seed=3, number=0):
    """Feed the parts of a response; return the transcript's digest, the forwarded bytes and the closes."""
    transcript = Transcript()
    machine = StreamMachine(seed, number, faults, transcript)
    actions = [action for part in parts for action in machine.feed(Side.RESPONSE, part)]
    data = b"".join(action.data for action in actions if isinstance(action, Forward))
    closing = [action for action in actions if not isinstance(action, Forward | Wait)]
    return transcript.digest(), data, closing


@given(
    st.sampled_from([*FAULTS, None]),
    st.sampled_from([RESPONSE * 2, CHUNKED_RESPONSE + RESPONSE]),
    st.lists(st.integers(0, 10_000), max_size=10),
    st.integers(0, 5),
)
@settings(max_examples=250, deadline=None)
def test_stream_machine_result_does_not_depend_on_how_the_stream_is_split(injected, data, cuts, number):
    faults = [injected] if injected is not None else FAULTS
    assert run_machine(split(data, cuts), faults, 3, number) == run_machine([data], faults, 3, number)


def test_each_fault_occurs_at_its_byte():
    def output_with(injected, data=RESPONSE * 2):
        return run_machine([data], [injected])[1:]

    assert output_with(FAULTS[0]) == (RESPONSE[:9], [Close(reset=False)])
    assert output_with(FAULTS[1]) == (RESPONSE + RESPONSE[:-7], [Close(reset=True)])
    assert output_with(FAULTS[2]) == (RESPONSE, [HalfClose()])
    assert output_with(FAULTS[3]) == (RESPONSE[: RESPONSE.index(b"10") + 1], [])
    data, _ = output_with(FAULTS[4])
    assert len(data) == 2 * len(RESPONSE) and data[len(RESPONSE) :] == RESPONSE
    offset = RESPONSE.index(b"10")
    assert (
        data[:offset] == RESPONSE[:offset]
        and data[offset : offset + 1].isdigit()
        and data[offset] != RESPONSE[offset]
    )
    assert data[offset + 1 : len(RESPONSE)] == RESPONSE[offset + 1 :]
    data, _ = output_with(fault("garble", place="chunk_size", count=1), CHUNKED_RESPONSE)
    assert (
        data != CHUNKED_RESPONSE
        and len(data) == len(CHUNKED_RESPONSE)
        and data[: CHUNKED_RESPONSE.index(b"5")] in CHUNKED_RESPONSE
    )


def test_fault_set_in_the_middle_of_a_message_occurs_in_that_message():
    machine = StreamMachine(1, 0, [], Transcript())
    assert machine.feed(Side.RESPONSE, RESPONSE[:-6]) == [Forward(RESPONSE[:-6])]
    machine.set_faults([fault("cut", place="body", after=7), fault("cut", place="head", after=1)])
    assert machine.feed(Side.RESPONSE, RESPONSE[-6:]) == [Forward(RESPONSE[-6:-3]), Close(reset=False)]


def test_other_seeds_and_connections_draw_other_faults():
    heavy = [fault("delay", ms=20, spread="heavy")]
    digests = {run_machine([RESPONSE], heavy, seed, number)[0] for seed in range(4) for number in range(4)}
    assert len(digests) == 16
    closing_actions = [
        run_machine([RESPONSE], [fault("cut", share=0.5)], 1, number)[2] for number in range(200)
    ]
    assert 70 < sum(bool(closing) for closing in closing_actions) < 130


# Datagrams


def test_datagrams_are_dropped_duplicated_delayed_garbled_and_reordered():
    def forwarded(*faults, count=4):
        machine = DatagramMachine(2, faults, Transcript())
        return [
            [data for _, data in machine.feed(Side.REQUEST, b"%d-abc" % number)] for number in range(count)
        ]

    def request_fault(kind, **options):
        return fault(kind, "request", **options)

    assert forwarded(request_fault("drop", message=1, most=1)) == [[b"0-abc"], [], [b"2-abc"], [b"3-abc"]]
    assert forwarded(request_fault("duplicate", message=3)) == [
        [b"0-abc"],
        [b"1-abc"],
        [b"2-abc"],
        [b"3-abc"] * 2,
    ]
    assert forwarded(request_fault("reorder", most=1))[:2] == [[], [b"1-abc", b"0-abc"]]
    garbled = forwarded(request_fault("garble", after=2, count=2))
    assert all(
        datagrams[0][:2] == b"%d-" % number and datagrams[0][2:4] != b"ab" and datagrams[0][4:] == b"c"
        for number, datagrams in enumerate(garbled)
    )
    machine = DatagramMachine(2, [request_fault("delay", ms=50)], Transcript())
    assert machine.feed(Side.REQUEST, b"x") == [(0.05, b"x")] and machine.feed(Side.RESPONSE, b"y") == [
        (0.0, b"y")
    ]
