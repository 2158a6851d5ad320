"""Connection admission: its rules, its invariants under any order of events, and its use in a sidecar."""

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


def make_admission(capacity=CAPACITY, **limits):
    return ConnectionAdmission(
        Limits(**{"max_open": 4, "max_incomplete": 2, "max_new_per_s": 1000.0, **limits}), lambda: capacity
    )


def earn_reputation(admission, now, key, requests=20):
    for _ in range(requests):
        admission.request_completed(now, key)


def test_the_limits_of_an_address_rise_with_its_reputation_and_fall_when_the_reputation_decays():
    admission = make_admission(capacity=1000)
    decisions = [admission.admit(0.0, n, "10.0.0.1") for n in range(5)]
    assert decisions == [None] * 4 + [RejectionReason.ADDRESS_CONNECTIONS]
    earn_reputation(admission, 0.0, 0, 200)  # as a gateway with many clients would
    assert [admission.admit(0.0, n, "10.0.0.1") for n in range(10, 50)].count(None) == 40
    # Connections of known addresses don't count for the prefix.
    assert admission.admit(0.0, 99, "10.0.0.2") is None
    # Twenty half-lives later:
    assert admission.admit(1200.0, 100, "10.0.0.1") is RejectionReason.ADDRESS_CONNECTIONS


def test_a_prefix_has_limits_for_unknown_addresses():
    admission = make_admission(capacity=1000, prefix_multiplier=2.0)
    assert [admission.admit(0.0, n, f"10.0.0.{n}") for n in range(9)].count(
        RejectionReason.PREFIX_CONNECTIONS
    ) == 1
    assert admission.admit(0.0, 20, "10.0.1.1") is None
    admission.connection_closed(0)
    assert admission.admit(0.0, 21, "10.0.0.77") is None


def test_an_address_that_opens_too_fast_is_rejected_and_later_admitted():
    admission = make_admission(capacity=1000, max_open=100, max_new_per_s=5.0)
    decisions = [admission.admit(10.0, n, "10.0.0.1") for n in range(8)]
    assert decisions == [None] * 5 + [RejectionReason.ADDRESS_RATE] * 3
    assert admission.admit(13.0, 9, "10.0.0.1") is None
    # An empty address has limits like any other.
    decisions_without_address = [admission.admit(20.0, 100 + n, "") for n in range(6)]
    assert decisions_without_address == [None] * 5 + [RejectionReason.ADDRESS_RATE]


def test_the_oldest_incomplete_connection_of_an_address_is_evicted():
    admission = make_admission()
    for n in range(3):
        admission.admit(0.0, n, "10.0.0.1")
    assert admission.message_begun(0.0, 2) == 0
    admission.message_complete(0)
    assert admission.message_begun(0.0, 2) is None
    admission.admit(0.0, 7, "10.0.0.2")
    assert admission.message_begun(0.0, 7) is None  # another address


def test_unknown_addresses_are_evicted_first_and_of_these_the_one_with_most_connections():
    admission = make_admission()
    for key, address in (("k1", "10.0.0.1"), ("k2", "10.0.0.1"), ("u1", "10.0.1.1"), ("u2", "10.0.2.1")):
        admission.admit(0.0, key, address)
    admission.admit(0.0, "u3", "10.0.2.1")
    earn_reputation(admission, 0.0, "k1")
    admission.message_complete("k1")
    admission.message_complete("u1")
    order = []
    remaining = ["k1", "k2", "u1", "u2", "u3"]
    while remaining:
        order.append(admission.eviction_candidate(0.0, remaining))
        remaining.remove(order[-1])
        admission.connection_closed(order[-1])
    assert order == ["u2", "u3", "u1", "k2", "k1"]


class CheckedAdmission:
    """Applies events to a connection admission and checks its records and decisions after each of them."""

    def __init__(self):
        self.admission = make_admission()
        self.now = 0.0
        self.open = {}
        self.last_key = 0

    def known(self, address):
        record = self.admission.addresses.get(address)
        return record is not None and self.admission._is_known_address(self.now, record)

    def apply(self, event, number, address):
        self.now += 0.01 * number
        keys = list(self.open)
        key = keys[number % len(keys)] if keys else None
        if event == "open":
            if len(self.open) >= CAPACITY:  # as the frontend does: one is evicted for the new connection
                evicted = self.admission.eviction_candidate(self.now, keys)
                if self.known(self.open[evicted]):
                    assert all(self.known(address) for address in self.open.values())
                self.admission.connection_closed(evicted)
                del self.open[evicted]
            self.last_key += 1
            if self.admission.admit(self.now, self.last_key, address) is None:
                self.open[self.last_key] = address
                if not self.known(address):
                    limits = self.admission.limits
                    assert list(self.open.values()).count(address) <= limits.max_open * 2
                    share = 1 - limits.reserved_share
                    assert self.admission.unknown_connections(self.now) <= CAPACITY * share
        elif key is not None and event == "close":
            self.admission.connection_closed(key)
            del self.open[key]
        elif key is not None and event == "complete request":
            earn_reputation(self.admission, self.now, key, number)
        elif key is not None and event == "complete message":
            self.admission.message_complete(key)
        elif key is not None:
            evicted = self.admission.message_begun(self.now, key)
            assert evicted is None or self.open[evicted] == self.open[key]
        checked = self.admission
        assert set(checked.by_connection) == set(self.open)
        assert sum(record.open_connections for record in checked.addresses.values()) == len(self.open)
        assert sum(map(len, checked.prefixes.values())) == len(checked.addresses)
        assert all(record.open_connections for record in checked.addresses.values())
        assert len(checked.absent) <= checked.limits.max_absent


EVENTS = st.tuples(
    st.sampled_from(
        ["open", "open", "open", "close", "complete request", "begin message", "complete message"]
    ),
    st.integers(0, 9),
    st.sampled_from([f"10.0.{n % 4}.{n}" for n in range(24)]),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(EVENTS, max_size=120))
def test_records_stay_consistent_and_known_clients_are_evicted_last(events):
    checked = CheckedAdmission()
    for event in events:
        checked.apply(*event)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 40), st.floats(0.0, 0.3)), max_size=200))
def test_the_count_min_sketch_never_underestimates(events):
    sketch, now, arrivals = CountMinSketch(), 0.0, []
    for number, gap in events:
        now += gap
        arrivals.append((now, number))
        assert sketch.add(str(number), now) >= sum(
            n == number and at >= sketch.window_start for at, n in arrivals
        )


def test_the_number_of_absent_addresses_is_bounded():
    admission = make_admission(capacity=1000, max_absent=100)
    for number in range(50_000):
        address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        if admission.admit(number * 0.1, number, address) is None:
            if number % 3 == 0:
                admission.request_completed(number * 0.1, number)
            admission.connection_closed(number)
    assert not admission.by_connection and not admission.addresses and not admission.prefixes
    assert len(admission.absent) == 100


@pytest.mark.parametrize(
    ("address", "prefix"),
    [("10.1.2.3", "10.1.2.0/24"), ("2001:db8:1::9", "2001:db8:1::/48"), ("", ""), ("odd", "odd")],
)
def test_an_address_is_reduced_to_its_network_prefix_and_other_text_is_unchanged(address, prefix):
    assert prefix_of(address) == prefix


def bound_socket(port, host):
    """Return a socket that is bound to a loopback address, to connect from it."""
    sock = socket.socket()
    sock.bind((host, 0))
    sock.setblocking(False)
    return sock


@pytest.mark.xdist_group("processes")
def test_a_flood_of_silent_connections_leaves_known_clients_their_capacity(tmp_path):
    async def scenario():
        node = await FakePeer(answer_ok).start()
        data = config(endpoint_update(1, entry("a", node.address)))
        data["limits"]["sockets"] = 200
        async with Sidecar(tmp_path / "c", data) as sidecar:
            clients = sidecar.http.clients
            capacity = clients.descriptors.max_clients
            clients.admission = ConnectionAdmission(
                Limits(max_new_per_s=1e6, reserved_share=0.3), lambda: capacity
            )
            for n in range(8):  # so that the client's address is known
                assert (await send_request(sidecar.port, http_request("lookup", f"k{n}"))).code == 200
            loop = asyncio.get_running_loop()
            flood = [bound_socket(sidecar.port, f"127.0.{n % 40 + 2}.1") for n in range(4 * capacity)]
            for sock in flood:
                await loop.sock_connect(sock, (HOST, sidecar.port))
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while clients.admission.rejected.total() < 2 * capacity:
                    await asyncio.sleep(0.005)
            assert clients.admission.unknown_connections(loop.time()) <= capacity * 0.7
            responses = await asyncio.gather(
                *(send_request(sidecar.port, http_request("lookup", f"g{n}")) for n in range(5))
            )
            assert [response.code for response in responses] == [200] * 5
            output = format_status(clients.admission, loop.time())
            assert RejectionReason.RESERVED.value in output and f"\n{HOST} " in output
            for sock in flood:
                sock.close()

    run(scenario())


@pytest.mark.xdist_group("processes")
def test_operators_can_enable_and_show_admission_and_reload_its_limits(tmp_path):
    async def scenario():
        file = tmp_path / "o.toml"
        file.write_text('[operators]\nlisten = "127.0.0.1:0"\n[admission]\non = true\nopen = 3\n')
        node = await FakePeer(answer_ok).start()
        process = Process(tmp_path / "c", config(endpoint_update(1, entry("s1", node.address))))
        process.arguments = ["--config", str(file)]
        async with process:
            operators = f"{HOST}:{process.management_port}"
            assert (await send_request(process.port, http_request("lookup", "a"))).code == 200
            connections = [await asyncio.open_connection(HOST, process.port) for _ in range(4)]
            await process.wait_for_log(b"rejected: address has too many open")
            output = await asyncio.to_thread(command, "admission", "show", operators)
            assert output.returncode == 0 and ", address has too many open" in output.stdout
            assert "caps of an address: 3 open" in output.stdout
            file.write_text(file.read_text().replace("open = 3", "open = 30"))
            process.process.send_signal(signal.SIGHUP)
            await process.wait_for_log(b"reload applied: admission.open")
            assert (await send_request(process.port, http_request("lookup", "b"))).code == 200
            file.write_text(file.read_text().replace("on = true", "on = false"))
            process.process.send_signal(signal.SIGHUP)
            await process.wait_for_log(b"can't change while running: admission.on")
            for _, writer in connections:
                writer.close()
        disabled = Process(tmp_path / "c", config(endpoint_update(1, entry("s1", node.address))))
        file.write_text('[operators]\nlisten = "127.0.0.1:0"\n')
        disabled.arguments = ["--config", str(file)]
        async with disabled:
            output = await asyncio.to_thread(
                command, "admission", "show", f"{HOST}:{disabled.management_port}"
            )
            assert output.returncode == 1 and "admission is off" in output.stderr

    run(scenario())


def test_an_address_is_known_once_it_has_the_minimum_reputation():
    admission = make_admission()
    admission.admit(0.0, 1, "10.0.0.1")
    earn_reputation(admission, 0.0, 1, int(MIN_KNOWN_REPUTATION) - 1)
    assert admission.unknown_connections(0.0) == 1
    earn_reputation(admission, 0.0, 1, 1)
    assert admission.unknown_connections(0.0) == 0


def test_the_reserved_share_is_for_known_addresses_only():
    admission = make_admission()
    admission.admit(0.0, "k", "10.9.9.9")
    earn_reputation(admission, 0.0, "k")
    decisions = [admission.admit(0.0, n, f"10.{n}.0.1") for n in range(CAPACITY)]
    assert decisions == [None] * 30 + [RejectionReason.RESERVED] * 10  # three quarters of 40
    assert admission.admit(0.0, "k2", "10.9.9.9") is None
    admission.connection_closed(0)
    assert admission.admit(0.0, "u", "10.99.0.1") is None
