"""`ReadScheduler` shares the time of an iteration, and keeps no connection from its turn."""

import pytest

from ochreflow.http import read_scheduler
from ochreflow.http.read_scheduler import (
    FIRST_READ_BYTES,
    ITERATION_TIME_S,
    LONG_READ_S,
    MAX_READ_BYTES,
    MIN_READ_BYTES,
    RESUMED_PER_ITERATION,
    TIME_SLICE_S,
    ReadPace,
    ReadScheduler,
)


class Loop:
    """An event loop whose iterations the test runs; only `call_soon` is used."""

    def __init__(self):
        self.ready = []

    def call_soon(self, callback):
        self.ready.append(callback)

    def iterate(self):
        ready, self.ready = self.ready, []
        for callback in ready:
            callback()


class Reader:
    """A connection that always has more to read, and that takes `read_s` for each read."""

    def __init__(self, scheduler, clock, read_s):
        self.scheduler, self.clock, self.read_s = scheduler, clock, read_s
        self.pace = ReadPace()
        self.iterations = []

    def read(self):
        if not self.scheduler.begin_read(self.pace):
            self.scheduler.delay(self)
            return
        self.iterations.append(self.scheduler.iteration)
        while True:
            self.clock.now += self.read_s
            if not self.scheduler.end_read(self.pace, self.pace.read_bytes):
                self.scheduler.preempt(self)
                return
            if not self.scheduler.begin_read(self.pace):
                self.scheduler.delay(self)
                return

    def continue_reading(self):
        self.read()


class SteppedClock:
    now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = SteppedClock()
    monkeypatch.setattr(read_scheduler, "monotonic", clock)
    return clock


def test_an_iteration_takes_no_longer_than_its_time_and_one_read(clock):
    loop = Loop()
    scheduler = ReadScheduler(loop)
    readers = [Reader(scheduler, clock, 0.002) for _ in range(50)]
    began = clock.now
    for reader in readers:
        reader.read()
    assert clock.now - began <= ITERATION_TIME_S + 0.002
    assert len(scheduler.delayed) >= 40  # they had no time, though their turn comes first
    for _ in range(200):
        began = clock.now
        loop.iterate()
        assert clock.now - began <= ITERATION_TIME_S + RESUMED_PER_ITERATION * 0.002
    assert min(len(reader.iterations) for reader in readers) >= 10


def test_connections_whose_time_slice_is_over_go_on_in_turn(clock):
    loop = Loop()
    scheduler = ReadScheduler(loop)
    readers = [Reader(scheduler, clock, TIME_SLICE_S) for _ in range(3 * RESUMED_PER_ITERATION)]
    for reader in readers:
        reader.read()
    assert list(scheduler.preempted) == readers
    for _ in range(30):
        loop.iterate()
    counts = [len(reader.iterations) for reader in readers]
    assert max(counts) - min(counts) <= 1 and min(counts) >= 10


def test_a_connection_that_waits_only_for_time_is_served_before_those_that_used_up_theirs(clock):
    loop = Loop()
    scheduler = ReadScheduler(loop)
    heavy = [Reader(scheduler, clock, 0.004) for _ in range(30)]
    for reader in heavy:
        reader.read()
    usual = Reader(scheduler, clock, 0.0)
    usual.read()
    assert usual in scheduler.delayed and not usual.iterations
    usual.continue_reading = lambda: usual.iterations.append(scheduler.iteration)
    for reader in [reader for reader in heavy if reader in scheduler.delayed]:
        scheduler.remove(reader)
    loop.iterate()
    assert usual.iterations


def test_reads_become_smaller_while_they_take_long_and_larger_while_they_are_short(clock):
    scheduler, pace = ReadScheduler(Loop()), ReadPace()
    assert pace.read_bytes == FIRST_READ_BYTES
    for _ in range(10):
        scheduler.begin_read(pace)
        scheduler.end_read(pace, pace.read_bytes)
    assert pace.read_bytes == MAX_READ_BYTES
    for _ in range(10):
        scheduler.begin_read(pace)
        clock.now += 2 * LONG_READ_S
        scheduler.end_read(pace, pace.read_bytes)
    assert pace.read_bytes == MIN_READ_BYTES
    scheduler.begin_read(pace)
    assert scheduler.end_read(pace, MIN_READ_BYTES - 1) and pace.read_bytes == MIN_READ_BYTES


def test_a_fault_of_one_connection_does_not_keep_the_others_waiting(clock):
    loop = Loop()
    scheduler = ReadScheduler(loop)
    faulty, other = (Reader(scheduler, clock, TIME_SLICE_S) for _ in range(2))

    def fail():
        raise RuntimeError("simulated fault")

    faulty.continue_reading = fail
    scheduler.delay(faulty)
    scheduler.delay(other)
    with pytest.raises(RuntimeError):
        loop.iterate()
    loop.iterate()
    assert other.iterations


def test_a_removed_connection_is_not_resumed(clock):
    loop = Loop()
    scheduler = ReadScheduler(loop)
    first, second = (Reader(scheduler, clock, TIME_SLICE_S) for _ in range(2))
    scheduler.delay(first)
    scheduler.preempt(second)
    scheduler.remove(first)
    scheduler.remove(second)
    loop.iterate()
    assert not first.iterations and not second.iterations and not loop.ready
