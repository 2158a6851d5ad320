"""Simulated clock: a slow machine takes no simulated time, and timers and data keep their order."""

import asyncio
import time

import pytest
from simulated import Clock, SimulatedTimeSelector

BUSY_S = 0.2  # real time that `burn_cpu` takes
real_time = time.perf_counter


@pytest.fixture
def loop(monkeypatch):
    for name in ("monotonic", "monotonic_ns", "time", "time_ns"):
        monkeypatch.setattr(time, name, getattr(time, name))  # restored after the test
    clock = Clock()
    clock.install()
    event_loop = asyncio.SelectorEventLoop(SimulatedTimeSelector(clock))
    yield event_loop
    event_loop.close()


def burn_cpu():
    end = real_time() + BUSY_S
    while real_time() < end:
        pass


async def connection_ends():
    """Return both ends of a connection on loopback."""
    accepted = asyncio.get_running_loop().create_future()
    server = await asyncio.start_server(lambda *ends: accepted.set_result(ends), "127.0.0.1", 0)
    client_end = await asyncio.open_connection(*server.sockets[0].getsockname())
    server_end = await accepted
    server.close()
    return client_end, server_end


def test_data_in_transit_and_a_busy_machine_take_no_simulated_time(loop):
    async def exchange():
        (reader, writer), (far_reader, far_writer) = await connection_ends()
        timer = loop.call_later(0.001, expired.append, "early")  # expires first if simulated time advances
        start = loop.time()
        for number in range(20):
            writer.write(b"ask")
            if not number:
                burn_cpu()
            assert await far_reader.readexactly(3) == b"ask"
            far_writer.write(b"told")
            assert await reader.readexactly(4) == b"told"
        assert loop.time() == start and not expired
        timer.cancel()
        for end in (writer, far_writer):
            end.close()

    expired = []
    loop.run_until_complete(exchange())


def test_time_advances_to_the_next_timer_and_no_timer_expires_early(loop):
    async def wait():
        start, real_start, expirations = loop.time(), real_time(), []
        for due in (30.0, 10.0, 20.0):
            loop.call_later(due, lambda due=due: expirations.append((due, loop.time() - start)))
        await asyncio.sleep(40.0)
        assert [due for due, _ in expirations] == [10.0, 20.0, 30.0]
        assert all(0 <= at - due < 1e-6 for due, at in expirations)
        assert time.time_ns() // 10**9 == int(time.time()) and real_time() - real_start < 20.0

    loop.run_until_complete(wait())


def test_waiting_without_a_timer_or_data_raises_an_error(loop, monkeypatch):
    monkeypatch.setattr("simulated.STALL_TIMEOUT_S", 0.05)
    with pytest.raises(RuntimeError, match="nothing can come"):
        loop.run_until_complete(loop.create_future())
