"""The machines of the fault tool: each fault happens at its byte, however the bytes are read."""

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


def cut_up(data, cuts):
    places = sorted({cut % len(data) for cut in cuts})
    return [data[a:b] for a, b in zip([0, *places], [*places, len(data)], strict=True) if a < b]


def labelled(pieces):
    """Each byte with its place, and the marks between, without regard to how the pieces were cut."""
    return [label for place, part in pieces for label in ([(place, byte) for byte in part] or [place])]


@given(st.sampled_from(STREAMS), st.lists(st.integers(0, 10_000), max_size=12))
@settings(max_examples=150, deadline=None)
def test_places_do_not_depend_on_how_the_bytes_are_split(data, cuts):
    whole = list(Framer().feed(data))
    framer = Framer()
    pieces = [piece for part in cut_up(data, cuts) for piece in framer.feed(part)]
    assert b"".join(part for _, part in pieces) == data
    assert labelled(pieces) == labelled(whole)


def places(data):
    found = {}
    for place, part in Framer().feed(data):
        found[place] = found.get(place, b"") + part
    return found


def test_each_place_is_found_where_it_is():
    assert places(REQUEST)[Place.LENGTH] == b"10" and places(REQUEST)[Place.BODY] == b"0123456789"
    assert places(RESPONSE * 2)[Place.LENGTH] == b"1010"
    assert places(CHUNKED_RESPONSE)[Place.CHUNK_SIZE] == b"5\r\n3;x=1\r\n0\r\n"
    kinds = [place for place, part in Framer().feed(INTERIM_RESPONSE + RESPONSE) if not part]
    assert kinds == [Place.START, Place.START, Place.END]


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


def played(parts, faults, seed=3, number=0):
    """What a wire makes of an answer that comes in parts: its transcript, and the actions, bytes joined."""
    transcript = Transcript()
    wire = StreamMachine(seed, number, faults, transcript)
    actions = [action for part in parts for action in wire.feed(Side.RESPONSE, part)]
    data = b"".join(action.data for action in actions if isinstance(action, Forward))
    others = [action for action in actions if not isinstance(action, Forward | Wait)]
    return transcript.digest(), data, others


@given(
    st.sampled_from([*FAULTS, None]),
    st.sampled_from([RESPONSE * 2, CHUNKED_RESPONSE + RESPONSE]),
    st.lists(st.integers(0, 10_000), max_size=10),
    st.integers(0, 5),
)
@settings(max_examples=250, deadline=None)
def test_a_stream_machine_does_the_same_however_the_bytes_are_split(what, data, cuts, number):
    faults = [what] if what is not None else FAULTS
    assert played(cut_up(data, cuts), faults, 3, number) == played([data], faults, 3, number)


def test_each_fault_happens_at_its_byte():
    def through(what, data=RESPONSE * 2):
        return played([data], [what])[1:]

    assert through(FAULTS[0]) == (RESPONSE[:9], [Close(reset=False)])
    assert through(FAULTS[1]) == (RESPONSE + RESPONSE[:-7], [Close(reset=True)])
    assert through(FAULTS[2]) == (RESPONSE, [HalfClose()])
    assert through(FAULTS[3]) == (RESPONSE[: RESPONSE.index(b"10") + 1], [])
    data, _ = through(FAULTS[4])
    assert len(data) == 2 * len(RESPONSE) and data[len(RESPONSE) :] == RESPONSE
    at = RESPONSE.index(b"10")
    assert data[:at] == RESPONSE[:at] and data[at : at + 1].isdigit() and data[at] != RESPONSE[at]
    assert data[at + 1 : len(RESPONSE)] == RESPONSE[at + 1 :]
    data, _ = through(fault("garble", place="chunk_size", count=1), CHUNKED_RESPONSE)
    assert (
        data != CHUNKED_RESPONSE
        and len(data) == len(CHUNKED_RESPONSE)
        and data[: CHUNKED_RESPONSE.index(b"5")] in CHUNKED_RESPONSE
    )


def test_a_fault_that_is_set_while_a_message_is_half_through_happens_in_it():
    wire = StreamMachine(1, 0, [], Transcript())
    assert wire.feed(Side.RESPONSE, RESPONSE[:-6]) == [Forward(RESPONSE[:-6])]
    wire.set_faults([fault("cut", place="body", after=7), fault("cut", place="head", after=1)])
    assert wire.feed(Side.RESPONSE, RESPONSE[-6:]) == [Forward(RESPONSE[-6:-3]), Close(reset=False)]


def test_another_seed_or_connection_is_another_run():
    heavy = [fault("delay", ms=20, spread="heavy")]
    digests = {played([RESPONSE], heavy, seed, number)[0] for seed in range(4) for number in range(4)}
    assert len(digests) == 16
    halves = [played([RESPONSE], [fault("cut", share=0.5)], 1, number)[2] for number in range(200)]
    assert 70 < sum(bool(others) for others in halves) < 130


# Datagrams


def test_datagrams_are_dropped_doubled_delayed_garbled_and_put_out_of_order():
    def sent(*faults, count=4):
        machine = DatagramMachine(2, faults, Transcript())
        return [
            [data for _, data in machine.feed(Side.REQUEST, b"%d-abc" % number)] for number in range(count)
        ]

    def on_requests(do, **more):
        return fault(do, "request", **more)

    assert sent(on_requests("drop", message=1, most=1)) == [[b"0-abc"], [], [b"2-abc"], [b"3-abc"]]
    assert sent(on_requests("duplicate", message=3)) == [[b"0-abc"], [b"1-abc"], [b"2-abc"], [b"3-abc"] * 2]
    assert sent(on_requests("reorder", most=1))[:2] == [[], [b"1-abc", b"0-abc"]]
    garbled = sent(on_requests("garble", after=2, count=2))
    assert all(
        one[0][:2] == b"%d-" % n and one[0][2:4] != b"ab" and one[0][4:] == b"c"
        for n, one in enumerate(garbled)
    )
    machine = DatagramMachine(2, [on_requests("delay", ms=50)], Transcript())
    assert machine.feed(Side.REQUEST, b"x") == [(0.05, b"x")] and machine.feed(Side.RESPONSE, b"y") == [
        (0.0, b"y")
    ]
