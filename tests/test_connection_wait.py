"""Attempts that wait for a connection in use: they do not count as in flight, nor against their server.

Guards against a limit on requests in flight that rejects, and ejected servers, while connections settle.
"""

import asyncio
from dataclasses import dataclass

import pytest
from helpers import MS, SECOND, fire_timers, make_balancer, request, send_one
from net_helpers import (
    FakePeer,
    Sidecar,
    config,
    endpoint_update,
    entry,
    http_request,
    http_response,
    run,
    send_request,
    wait_until,
)

from ochreflow.http import idle_connections
from ochreflow.policy.interface import Outcome, Send, Status, Timer

SETTLING_TIME_S = 0.5
INITIAL_LIMIT = 4  # on requests in flight, with one server


@dataclass
class Waiting:
    """A balancer with one server, and an attempt of request 1 that waits for a connection."""

    def __post_init__(self):
        self.balancer, self.now = make_balancer(servers=1)
        self.actions = self.balancer.handle(self.now, request(1, self.now))
        (sent,) = [action for action in self.actions if isinstance(action, Send)]
        self.server = self.balancer.endpoints.servers[sent.server]
        self.balancer.begin_wait(self.now, 1, 0)

    @property
    def inflight(self):
        return self.balancer.endpoints.inflight

    def end(self, status):
        self.balancer.handle(self.now, Outcome(1, 0, self.server.id, status, MS, status is Status.OK))


def test_a_waiting_attempt_is_in_flight_from_its_first_byte_on():
    waiting = Waiting()
    assert waiting.inflight == 0 and waiting.server.awaited_count() == 0
    send_one(waiting.balancer, waiting.now, 2)
    assert waiting.inflight == 1
    waiting.now += 50 * MS
    for _ in range(2):  # the connection may turn out to be dead
        assert waiting.balancer.write_by(waiting.now, 1, 0) > waiting.now
        assert waiting.inflight == 2
    waiting.end(Status.OK)
    assert waiting.inflight == 1 == waiting.server.awaited_count()


@pytest.mark.parametrize("status", [Status.NOT_SENT, Status.CONNECT_FAILED, Status.CANCELLED])
def test_the_end_of_a_wait_without_a_first_byte_leaves_the_count_unchanged(status):
    waiting = Waiting()
    waiting.end(status)
    assert (waiting.inflight, waiting.server.awaited_count()) == (len(waiting.server.in_flight),) * 2
    assert not waiting.server.waiting


def test_waits_of_attempts_that_have_ended_or_wait_already_are_ignored():
    waiting = Waiting()
    waiting.balancer.begin_wait(waiting.now, 1, 0)
    assert waiting.inflight == 0
    waiting.balancer.begin_wait(waiting.now, 7, 0)  # a request that is not known
    waiting.end(Status.OK)
    waiting.balancer.begin_wait(waiting.now, 1, 0)
    assert waiting.inflight == 0 and not waiting.server.waiting


def test_a_wait_is_not_counted_at_a_server_that_is_ejected_meanwhile():
    waiting = Waiting()
    send_one(waiting.balancer, waiting.now, 2)
    waiting.balancer.outlier_detector.eject(waiting.server)
    assert waiting.inflight == 0
    waiting.balancer.endpoints.end_wait(waiting.server, (1, 0))
    assert waiting.inflight == 0
    waiting.balancer.outlier_detector.readmit(waiting.server)
    assert waiting.inflight == 2


@pytest.mark.parametrize("waits", [True, False])
def test_a_wait_is_no_failure_of_its_server(waits):
    waiting = Waiting()
    if not waits:
        waiting.balancer.write_by(waiting.now, 1, 0)
    fire_timers(waiting.balancer, waiting.now, waiting.actions, waiting.now + 2 * SECOND)
    assert waiting.server.answering is waits
    assert (waiting.server.consecutive_failures == 0.0) is waits


def test_a_wait_that_begins_again_as_its_attempt_is_overdue_ends_the_handling_of_timers():
    """Guards against a timer that is due again at once: nothing has passed since the first byte."""
    waiting = Waiting()
    (timer,) = waiting.balancer.context.timers
    waiting.now = timer.due_ns
    waiting.balancer.write_by(waiting.now, 1, 0)
    waiting.balancer.begin_wait(waiting.now, 1, 0)
    waiting.balancer.handle(waiting.now, Timer(waiting.balancer.timer_token))
    assert min(waiting.balancer.context.timers).due_ns > waiting.now


def test_a_request_that_waits_for_a_connection_leaves_the_limit_to_others(tmp_path, monkeypatch):
    monkeypatch.setattr(idle_connections, "SETTLING_TIME_S", SETTLING_TIME_S)

    async def scenario():
        released = asyncio.Event()

        async def answer(got, reader, writer):
            if got.headers["x-request-id"] not in ("first", "waits"):
                await released.wait()
            writer.write(http_response())

        server = await FakePeer(answer).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s", server.address)))) as sidecar:

            async def send(request_id):
                return (await send_request(sidecar.port, http_request("lookup", request_id))).code

            assert await send("first") == 200
            tasks = [asyncio.create_task(send("waits"))]
            await wait_until(lambda: sidecar.engine.attempts.in_flight)
            for number in range(INITIAL_LIMIT):
                tasks.append(asyncio.create_task(send(f"{number}")))
                await wait_until(lambda count=number: len(server.received) == count + 2)
            assert await send("beyond the limit") == 503
            released.set()
            assert await asyncio.gather(*tasks) == [200] * (INITIAL_LIMIT + 1)

    run(scenario())
