"""Connection admission by itself, its properties under any order of events, and in a real sidecar."""

import asyncio
import signal
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from net_helpers import (
    HOST,
    WAIT_TIMEOUT_S,
    FakePeer,
    Sidecar,
    answer_ok,
    config,
    endpoint_update,
    entry,
    http_request,
    run,
    send_request,
)
from test_operator_file import command
from test_process import Process

from ochreflow.admission.addresses import prefix_of
from ochreflow.admission.connection_admission import MIN_KNOWN_REPUTATION, ConnectionAdmission
from ochreflow.admission.count_min_sketch import CountMinSketch
from ochreflow.admission.limits import Limits, RejectionReason
from ochreflow.admission.status import format_status

CAPACITY = 40


def admission(capacity=CAPACITY, **limits):
    return ConnectionAdmission(
        Limits(**{"max_open": 4, "max_incomplete": 2, "max_new_per_s": 1000.0, **limits}), lambda: capacity
    )


def earn(one, now, key, times=20):
    for _ in range(times):
        one.request_completed(now, key)


def test_an_address_has_its_limits_and_reputation_raises_them_until_it_decays():
    one = admission(capacity=1000)
    verdicts = [one.admit(0.0, n, "10.0.0.1") for n in range(5)]
    assert verdicts == [None] * 4 + [RejectionReason.ADDRESS_CONNECTIONS]
    earn(one, 0.0, 0, 200)  # a gateway: many good clients
    assert [one.admit(0.0, n, "10.0.0.1") for n in range(10, 50)].count(None) == 40
    assert one.admit(0.0, 99, "10.0.0.2") is None  # its prefix is crowded by a known address
    # Twenty half-lives later:
    assert one.admit(1200.0, 100, "10.0.0.1") is RejectionReason.ADDRESS_CONNECTIONS


def test_a_prefix_has_limits_for_unknown_addresses():
    one = admission(capacity=1000, prefix_multiplier=2.0)
    assert [one.admit(0.0, n, f"10.0.0.{n}") for n in range(9)].count(RejectionReason.PREFIX_CONNECTIONS) == 1
    assert one.admit(0.0, 20, "10.0.1.1") is None
    one.connection_closed(0)
    assert one.admit(0.0, 21, "10.0.0.77") is None


def test_an_address_that_opens_too_fast_is_rejected_and_after_a_while_admitted():
    one = admission(capacity=1000, max_open=100, max_new_per_s=5.0)
    verdicts = [one.admit(10.0, n, "10.0.0.1") for n in range(8)]
    assert verdicts == [None] * 5 + [RejectionReason.ADDRESS_RATE] * 3
    assert one.admit(13.0, 9, "10.0.0.1") is None
    unnamed = [one.admit(20.0, 100 + n, "") for n in range(6)]  # counts as an address like any other
    assert unnamed == [None] * 5 + [RejectionReason.ADDRESS_RATE]


def test_of_incomplete_connections_the_oldest_of_the_address_is_evicted():
    one = admission()
    for n in range(3):
        one.admit(0.0, n, "10.0.0.1")
    assert one.message_begun(0.0, 2) == 0
    one.message_complete(0)
    assert one.message_begun(0.0, 2) is None
    one.admit(0.0, 7, "10.0.0.2")
    assert one.message_begun(0.0, 7) is None  # another address


def test_unknown_addresses_are_evicted_before_known_ones_and_the_crowd_before_the_single():
    one = admission()
    for key, address in (("k1", "10.0.0.1"), ("k2", "10.0.0.1"), ("u1", "10.0.1.1"), ("u2", "10.0.2.1")):
        one.admit(0.0, key, address)
    one.admit(0.0, "u3", "10.0.2.1")
    earn(one, 0.0, "k1")
    one.message_complete("k1")
    one.message_complete("u1")
    order = []
    remaining = ["k1", "k2", "u1", "u2", "u3"]
    while remaining:
        order.append(one.eviction_candidate(0.0, remaining))
        remaining.remove(order[-1])
        one.connection_closed(order[-1])
    assert order == ["u2", "u3", "u1", "k2", "k1"]


class CheckedAdmission:
    """A connection admission under any events, compared with what they should come to."""

    def __init__(self):
        self.admission = admission()
        self.now = 0.0
        self.open = {}
        self.next = 0

    def known(self, address):
        found = self.admission.addresses.get(address)
        return found is not None and self.admission._is_known_address(self.now, found)

    def step(self, what, number, address):
        self.now += 0.01 * number
        keys = list(self.open)
        key = keys[number % len(keys)] if keys else None
        if what == "open":
            if len(self.open) >= CAPACITY:  # as the front does: one goes for the new one
                evicted = self.admission.eviction_candidate(self.now, keys)
                if self.known(self.open[evicted]):
                    assert all(self.known(address) for address in self.open.values())
                self.admission.connection_closed(evicted)
                del self.open[evicted]
            self.next += 1
            if self.admission.admit(self.now, self.next, address) is None:
                self.open[self.next] = address
                if not self.known(address):
                    limits = self.admission.limits
                    assert list(self.open.values()).count(address) <= limits.max_open * 2
                    share = 1 - limits.reserved_share
                    assert self.admission.unknown_connections(self.now) <= CAPACITY * share
        elif key is not None and what == "close":
            self.admission.connection_closed(key)
            del self.open[key]
        elif key is not None and what == "complete request":
            earn(self.admission, self.now, key, number)
        elif key is not None and what == "complete message":
            self.admission.message_complete(key)
        elif key is not None:
            evicted = self.admission.message_begun(self.now, key)
            assert evicted is None or self.open[evicted] == self.open[key]
        one = self.admission
        assert set(one.by_connection) == set(self.open)
        assert sum(found.open_connections for found in one.addresses.values()) == len(self.open)
        assert sum(map(len, one.prefixes.values())) == len(one.addresses)
        assert all(found.open_connections for found in one.addresses.values())
        assert len(one.absent) <= one.limits.max_absent


EVENTS = st.tuples(
    st.sampled_from(
        ["open", "open", "open", "close", "complete request", "begin message", "complete message"]
    ),
    st.integers(0, 9),
    st.sampled_from([f"10.0.{n % 4}.{n}" for n in range(24)]),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(EVENTS, max_size=120))
def test_under_any_events_the_records_are_right_and_no_known_client_is_evicted_first(events):
    checked = CheckedAdmission()
    for event in events:
        checked.step(*event)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 40), st.floats(0.0, 0.3)), max_size=200))
def test_the_count_min_sketch_never_counts_too_little(events):
    sketch, now, seen = CountMinSketch(), 0.0, []
    for number, gap in events:
        now += gap
        seen.append((now, number))
        assert sketch.add(str(number), now) >= sum(
            n == number and at >= sketch.window_start for at, n in seen
        )


def test_memory_is_bounded_whatever_addresses_come():
    one = admission(capacity=1000, max_absent=100)
    for number in range(50_000):
        address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        if one.admit(number * 0.1, number, address) is None:
            if number % 3 == 0:
                one.request_completed(number * 0.1, number)
            one.connection_closed(number)
    assert not one.by_connection and not one.addresses and not one.prefixes
    assert len(one.absent) == 100


@pytest.mark.parametrize(
    ("address", "prefix"),
    [("10.1.2.3", "10.1.2.0/24"), ("2001:db8:1::9", "2001:db8:1::/48"), ("", ""), ("odd", "odd")],
)
def test_prefixes(address, prefix):
    assert prefix_of(address) == prefix


def connected(port, host):
    """A connection from an address of one's own choice on loopback."""
    made = socket.socket()
    made.bind((host, 0))
    made.setblocking(False)
    return made


@pytest.mark.xdist_group("processes")
def test_a_flood_of_silent_sockets_leaves_the_known_clients_their_capacity(tmp_path):
    async def play():
        node = await FakePeer(answer_ok).start()
        given = config(endpoint_update(1, entry("a", node.address)))
        given["limits"]["sockets"] = 200
        async with Sidecar(tmp_path / "c", given) as sidecar:
            clients = sidecar.http.clients
            capacity = clients.descriptors.max_clients
            clients.admission = ConnectionAdmission(
                Limits(max_new_per_s=1e6, reserved_share=0.3), lambda: capacity
            )
            for n in range(8):  # so that the address of the good client is known
                assert (await send_request(sidecar.port, http_request("lookup", f"k{n}"))).code == 200
            loop = asyncio.get_running_loop()
            flood = [connected(sidecar.port, f"127.0.{n % 40 + 2}.1") for n in range(4 * capacity)]
            for one in flood:
                await loop.sock_connect(one, (HOST, sidecar.port))
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while clients.admission.rejected.total() < 2 * capacity:
                    await asyncio.sleep(0.005)
            assert clients.admission.unknown_connections(loop.time()) <= capacity * 0.7
            got = await asyncio.gather(
                *(send_request(sidecar.port, http_request("lookup", f"g{n}")) for n in range(5))
            )
            assert [one.code for one in got] == [200] * 5
            output = format_status(clients.admission, loop.time())
            assert RejectionReason.RESERVED.value in output and f"\n{HOST} " in output
            for one in flood:
                one.close()

    run(play())


@pytest.mark.xdist_group("processes")
def test_operators_turn_admission_on_see_it_and_change_its_limits(tmp_path):
    async def play():
        file = tmp_path / "o.toml"
        file.write_text('[operators]\nlisten = "127.0.0.1:0"\n[admission]\non = true\nopen = 3\n')
        node = await FakePeer(answer_ok).start()
        process = Process(tmp_path / "c", config(endpoint_update(1, entry("s1", node.address))))
        process.arguments = ["--config", str(file)]
        async with process:
            operators = f"{HOST}:{process.operators}"
            assert (await send_request(process.port, http_request("lookup", "a"))).code == 200
            connections = [await asyncio.open_connection(HOST, process.port) for _ in range(4)]
            await process.heard(b"rejected: address has too many open")
            output = await asyncio.to_thread(command, "admission", "show", operators)
            assert output.returncode == 0 and ", address has too many open" in output.stdout
            assert "caps of an address: 3 open" in output.stdout
            file.write_text(file.read_text().replace("open = 3", "open = 30"))
            process.process.send_signal(signal.SIGHUP)
            await process.heard(b"reload applied: admission.open")
            assert (await send_request(process.port, http_request("lookup", "b"))).code == 200
            file.write_text(file.read_text().replace("on = true", "on = false"))
            process.process.send_signal(signal.SIGHUP)
            await process.heard(b"can't change while running: admission.on")
            for _, writer in connections:
                writer.close()
        off = Process(tmp_path / "c", config(endpoint_update(1, entry("s1", node.address))))
        file.write_text('[operators]\nlisten = "127.0.0.1:0"\n')
        off.arguments = ["--config", str(file)]
        async with off:
            output = await asyncio.to_thread(command, "admission", "show", f"{HOST}:{off.operators}")
            assert output.returncode == 1 and "admission is off" in output.stderr

    run(play())


def test_known_is_what_the_docs_say():
    one = admission()
    one.admit(0.0, 1, "10.0.0.1")
    earn(one, 0.0, 1, int(MIN_KNOWN_REPUTATION) - 1)
    assert one.unknown_connections(0.0) == 1
    earn(one, 0.0, 1, 1)
    assert one.unknown_connections(0.0) == 0


def test_the_reserved_share_is_for_known_addresses_only():
    one = admission()
    one.admit(0.0, "k", "10.9.9.9")
    earn(one, 0.0, "k")
    verdicts = [one.admit(0.0, n, f"10.{n}.0.1") for n in range(CAPACITY)]
    assert verdicts == [None] * 30 + [RejectionReason.RESERVED] * 10  # three quarters of 40
    assert one.admit(0.0, "k2", "10.9.9.9") is None
    one.connection_closed(0)
    assert one.admit(0.0, "u", "10.99.0.1") is None
