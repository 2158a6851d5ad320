"""Since when data of a client connection may wait to be read: `ArrivalTracker` without a network."""

import pytest

from ochreflow.http import arrival
from ochreflow.http.arrival import ArrivalTracker

SEND_BUFFER_BYTES = 1_000_000


class Clock:
    ns = 1000

    def now(self):
        return self.ns


class Socket:
    """A socket whose receive buffer the test fills."""

    unread = 0
    used = 0  # memory of the receive buffer
    receive_buffer = 131_072

    def fileno(self):
        return 3

    def getsockopt(self, level, option, size):
        return arrival.MEMORY_NUMBERS.pack(self.used or self.unread, self.receive_buffer)


@pytest.fixture
def connection(monkeypatch):
    sock = Socket()
    monkeypatch.setattr(arrival, "unread_by_system", lambda _: sock.unread)
    monkeypatch.setattr(arrival, "max_send_buffer_bytes", lambda: SEND_BUFFER_BYTES)
    return ArrivalTracker(Clock()), sock


def test_what_is_read_long_after_a_time_was_written_after_it(connection):
    """More than the client's send buffer has been read since: the client had not ended then."""
    tracker, sock = connection
    sock.unread = 200_000
    for step in range(40):
        tracker.clock.ns = 1000 + step
        tracker.read(100_000, sock, filled=True)
    # Of 4 MB read, 1 MB and the 200 kB unread may have been written at the earliest time that is kept.
    assert 1000 + 23 <= tracker.earliest_end_ns(sock, None) <= 1000 + 28


def test_a_connection_that_has_nothing_unread_when_reading_goes_on_is_not_behind(connection):
    tracker, sock = connection
    tracker.pause()
    tracker.clock.ns = 5000
    tracker.resume(sock)
    tracker.clock.ns += arrival.REFILL_TIME_NS
    tracker.read(100, sock, filled=False)
    assert tracker.earliest_write_ns() == 5000 + arrival.REFILL_TIME_NS


def test_data_that_waits_at_a_pause_may_have_been_written_since_then(connection):
    tracker, sock = connection
    tracker.pause()
    tracker.clock.ns, sock.unread = 5000, 100
    tracker.resume(sock)
    tracker.read(100, sock, filled=False)
    assert tracker.earliest_write_ns() == 1000


def test_a_large_receive_buffer_does_not_show_that_the_window_is_open(connection):
    """Guards against data from a full send buffer that is taken for new: the window grows more slowly."""
    tracker, sock = connection
    sock.receive_buffer = 6_000_000
    tracker.pause()
    for step in range(1, 20):
        tracker.clock.ns, sock.unread = 1000 + step, 100_000 + step
        tracker.sample(sock)
    assert tracker.earliest_end_ns(sock, None) == tracker.earliest_end_ns(sock, 500_000) == 1000


def test_data_that_was_read_in_part_keeps_the_window_closed(connection):
    """Guards against a few unread bytes of a large segment, which takes memory as a whole."""
    tracker, sock = connection
    tracker.pause()
    for step in range(1, 20):
        tracker.clock.ns, sock.unread, sock.used = 1000 + step, 10_000 + step, 66_000
        tracker.sample(sock)
    assert tracker.earliest_end_ns(sock, None) == tracker.earliest_end_ns(sock, 500_000) == 1000


def test_a_socket_that_is_empty_for_a_moment_may_be_filled_from_the_send_buffer(connection):
    """Guards against a request that gets its whole time anew at each such moment (issue 49)."""
    tracker, sock = connection
    tracker.pause()
    tracker.clock.ns, sock.unread = 2000, 0
    tracker.read(100, sock, filled=False)
    tracker.clock.ns, sock.unread = 3000, 50_000
    tracker.read(100, sock, filled=True)
    assert tracker.earliest_end_ns(sock, None) == 1000


def test_what_a_client_writes_after_its_response_is_new(connection):
    tracker, sock = connection
    tracker.pause()
    tracker.read(100, sock, filled=False)
    tracker.responded()
    tracker.clock.ns = 2000
    tracker.read(100, sock, filled=False)
    assert tracker.earliest_write_ns() == 2000
