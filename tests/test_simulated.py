"""The simulated clock: a slow machine takes no time on it, and timers and bytes keep their order."""

import asyncio
import time

import pytest
from simulated import Clock, SimulatedTimeSelector

BUSY = 0.2  # seconds of real time that are spent
real = time.perf_counter


@pytest.fixture
def loop(monkeypatch):
    for name in ("monotonic", "monotonic_ns", "time", "time_ns"):
        monkeypatch.setattr(time, name, getattr(time, name))  # and back, whatever `install` does
    clock = Clock()
    clock.install()
    made = asyncio.SelectorEventLoop(SimulatedTimeSelector(clock))
    yield made
    made.close()


def burn():
    end = real() + BUSY
    while real() < end:
        pass


async def pair():
    """Both ends of a connection on loopback."""
    accepted = asyncio.get_running_loop().create_future()
    server = await asyncio.start_server(lambda *ends: accepted.set_result(ends), "127.0.0.1", 0)
    here = await asyncio.open_connection(*server.sockets[0].getsockname())
    there = await accepted
    server.close()
    return here, there


def test_bytes_under_way_and_a_busy_machine_take_no_time(loop):
    async def exchange():
        (reader, writer), (far_reader, far_writer) = await pair()
        timer = loop.call_later(0.001, rung.append, "early")  # due long before the bytes, if time ran on
        begin = loop.time()
        for number in range(20):
            writer.write(b"ask")
            if not number:
                burn()
            assert await far_reader.readexactly(3) == b"ask"
            far_writer.write(b"told")
            assert await reader.readexactly(4) == b"told"
        assert loop.time() == begin and not rung
        timer.cancel()
        for end in (writer, far_writer):
            end.close()

    rung = []
    loop.run_until_complete(exchange())


def test_a_timer_is_leapt_to_and_none_is_early(loop):
    async def wait():
        begin, wall, told = loop.time(), real(), []
        for due in (30.0, 10.0, 20.0):
            loop.call_later(due, lambda due=due: told.append((due, loop.time() - begin)))
        await asyncio.sleep(40.0)
        assert [due for due, _ in told] == [10.0, 20.0, 30.0]
        assert all(0 <= at - due < 1e-6 for due, at in told)
        assert time.time_ns() // 10**9 == int(time.time()) and real() - wall < 20.0

    loop.run_until_complete(wait())


def test_who_waits_for_nothing_is_told(loop, monkeypatch):
    monkeypatch.setattr("simulated.STALL_TIMEOUT_S", 0.05)
    with pytest.raises(RuntimeError, match="nothing can come"):
        loop.run_until_complete(loop.create_future())
