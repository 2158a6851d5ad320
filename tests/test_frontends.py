"""Behaviour of the core that holds for any frontend, tested with HTTP and a line protocol of the tests."""

import asyncio
import time

import pytest
from line_frontend import DualProtocolServer, LineClient, LineFrontend
from net_helpers import (
    HOST,
    WAIT_TIMEOUT_S,
    Sidecar,
    config,
    endpoint_update,
    entry,
    http_request,
    read_message,
    run,
    wait_until,
)

from ochreflow.core import lifecycle
from ochreflow.core.ports import Reason
from ochreflow.membership.endpoint_list import parse_endpoint_update
from ochreflow.policy import interface as api

FRONTENDS = ["http", "lines"]
CODES = {200: "served", 503: "refused", 409: "failed", 502: "failed", 504: "failed"}
pytestmark = pytest.mark.parametrize("frontend", FRONTENDS)


class SentRequest:
    """A client of either frontend with one pending request."""

    def __init__(self, frontend, ports):
        self.frontend = frontend
        self.port = ports[frontend]

    async def send(self, request_class, name, wait=3000):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        if self.frontend == "http":
            self.writer.write(http_request(request_class, name, f"{wait}m"))
        else:
            self.writer.write(f"{request_class} {name} {wait}\n".encode())
        return self

    async def answer(self):
        """Return the outcome of the answer as one word, and close the connection."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            if self.frontend == "http":
                outcome = CODES[(await read_message(self.reader)).code]
            else:
                outcome = (await self.reader.readline()).decode().split()[0]
        self.writer.close()
        return outcome


class TwoFrontendSidecar(Sidecar):
    """A sidecar with both frontends."""

    async def __aenter__(self):
        await super().__aenter__()
        loop = asyncio.get_running_loop()
        self.lines = LineFrontend(self.engine, loop)
        self.lines.server = await loop.create_server(lambda: LineClient(self.lines), HOST, 0)
        self.ports = {"http": self.port, "lines": self.lines.server.sockets[0].getsockname()[1]}
        return self

    async def request(self, frontend, request_class, name, wait=3000):
        return await (await SentRequest(frontend, self.ports).send(request_class, name, wait)).answer()

    def update_endpoints(self, *entries, index=2):
        self.engine.on_endpoint_update(
            parse_endpoint_update(endpoint_update(index, *entries), self.endpoint_ids)
        )

    def has_no_state(self):
        engine = self.engine
        return not (
            engine.requests.pending
            or engine.attempts.in_flight
            or engine.balancer.pending
            or engine.memory.reserved_bytes
        )


def play(tmp_path, behaviour, steps, servers=1, rules=()):
    """Run `steps` with servers that treat each request as `behaviour` returns for its name."""

    async def run_steps():
        fakes = [await DualProtocolServer(behaviour).start() for _ in range(servers)]
        known = endpoint_update(1, *(entry(f"s{n}", fake.address) for n, fake in enumerate(fakes)))
        data = config(known)
        data["settings"]["rules"].update(rules)
        async with TwoFrontendSidecar(tmp_path / "c", data) as sidecar:
            await steps(sidecar, *fakes)
            await wait_until(sidecar.has_no_state, "no state of any request is left")

    run(run_steps())


def first_attempt(result):
    """Return a behaviour with `result` for the first attempt, and success for the next ones."""
    names = []

    def behaviour(name):
        names.append(name)
        return result if len(names) == 1 else "ok"

    return behaviour


@pytest.mark.parametrize(
    ("request_class", "result", "outcome", "attempts"),
    [
        ("lookup", "ok", "served", 1),
        ("hold", "ok", "served", 1),
        ("order", "ok", "served", 1),
        ("lookup", "full", "served", 2),
        ("order", "full", "served", 2),
        ("lookup", "reset", "served", 2),
        ("order", "reset", "failed", 1),
        ("lookup", "error", "refused", 1),
        ("order", "error", "failed", 1),
    ],
)
def test_a_request_gets_one_final_response_and_only_the_retries_of_its_class(
    tmp_path, frontend, request_class, result, outcome, attempts
):
    async def steps(sidecar, one, two):
        assert await sidecar.request(frontend, request_class, "ab") == outcome
        assert len(one.received + two.received) == attempts
        counts = sidecar.engine.stats.frontends
        assert sum(counts[frontend]) == 1 and sum(sum(row) for row in counts.values()) == 1

    play(tmp_path, first_attempt(result), steps, servers=2)


def delay_first_bytes(sidecar, monkeypatch):
    """Delay the first byte of every attempt of both transports until the returned event is set."""
    writing_allowed = sidecar.lines.upstream_transport.connecting_allowed
    writing_allowed.clear()
    connect = sidecar.upstreams._connect

    async def delayed_connect(*args):
        await writing_allowed.wait()
        await connect(*args)

    monkeypatch.setattr(sidecar.upstreams, "_connect", delayed_connect)
    return writing_allowed


def test_a_draining_server_gets_no_new_attempts_and_no_waiting_ones(tmp_path, frontend, monkeypatch):
    async def steps(sidecar, draining, serving):
        writing_allowed = delay_first_bytes(sidecar, monkeypatch)
        waiting = [await SentRequest(frontend, sidecar.ports).send("order", f"w{n}") for n in range(8)]
        await wait_until(lambda: len(sidecar.engine.attempts.in_flight) == 8)
        number = sidecar.endpoint_ids.server("s0")
        assert any(attempt.server == number for attempt in sidecar.engine.attempts.in_flight.values())
        sidecar.update_endpoints(entry("s0", draining.address, "DRAINING"), entry("s1", serving.address))
        writing_allowed.set()
        outcomes = [await sent.answer() for sent in waiting]
        assert set(outcomes) <= {"served", "refused"} and "served" in outcomes
        for n in range(20):
            assert await sidecar.request(frontend, "order", f"b{n}") == "served"
        assert not draining.received
        assert len(set(serving.received)) == len(serving.received) == outcomes.count("served") + 20

    play(tmp_path, lambda name: "ok", steps, servers=2)


def test_a_starting_server_gets_few_concurrent_attempts(tmp_path, frontend):
    async def steps(sidecar, new, warm):
        since = int(time.time() * 1000)
        sidecar.update_endpoints(entry("s0", new.address, since_ms=since), entry("s1", warm.address))
        outcomes = await asyncio.gather(
            *(sidecar.request(frontend, "order", f"id{n}", 500) for n in range(40))
        )
        assert set(outcomes) <= {"failed", "refused"}
        assert len(new.received) <= 1 and len(warm.received) >= 5

    rules = {"start-capacity": 0.15, "warm-within-ns": 60_000_000_000}
    play(tmp_path, lambda name: "silent", steps, 2, rules)  # without answers, its slow start allows no more


@pytest.mark.parametrize(("result", "outcome"), [("silent", "failed"), (None, "refused")])
def test_the_deadline_watchdog_answers_if_the_balancer_raises(tmp_path, frontend, result, outcome):
    """The one answer comes before the deadline: "failed" if the request may have run, otherwise "refused"."""

    async def steps(sidecar, fake):
        handle = sidecar.engine.balancer.handle
        failing_events = (api.Request,) if result is None else (api.Outcome, api.Timer)

        def failing(now, event):
            if isinstance(event, failing_events):
                sidecar.engine.balancer.context.actions = []
                raise ZeroDivisionError("injected")
            return handle(now, event)

        sidecar.engine.balancer.handle = failing
        assert await sidecar.request(frontend, "order", "ab", 400) == outcome
        assert len(fake.received) == (result is not None)
        sidecar.engine.balancer.pending.clear()
        for server in sidecar.engine.balancer.endpoints.servers.values():
            server.in_flight.clear()

    play(tmp_path, lambda name: result, steps)


def test_a_disconnect_cancels_the_attempt(tmp_path, frontend):
    async def steps(sidecar, fake):
        sent = await SentRequest(frontend, sidecar.ports).send("order", "ab")
        await wait_until(lambda: fake.received)
        sent.writer.close()
        await wait_until(lambda: fake.ended_connections == 1, "its attempt is cancelled")

    play(tmp_path, lambda name: "silent", steps)


def test_a_request_is_not_sent_if_its_client_disconnects_before_the_first_byte(
    tmp_path, frontend, monkeypatch
):
    """The client disconnects between the connect of its attempt and the write."""

    async def steps(sidecar, fake):
        writing_allowed = delay_first_bytes(sidecar, monkeypatch)
        sent = await SentRequest(frontend, sidecar.ports).send("order", "ab")
        await wait_until(lambda: sidecar.engine.attempts.in_flight)
        sent.writer.close()
        await wait_until(lambda: not sidecar.engine.requests.pending)
        writing_allowed.set()
        assert await sidecar.request(frontend, "order", "cd") == "served"
        assert fake.received == ["cd"]

    play(tmp_path, lambda name: "ok", steps)


def test_request_ids_are_unique_within_one_frontend_only(tmp_path, frontend):
    """The same id at both frontends means two requests; at the same frontend it is a duplicate."""

    async def steps(sidecar, fake):
        other = next(name for name in FRONTENDS if name != frontend)
        pending = [
            await SentRequest(label, sidecar.ports).send("order", "same") for label in (frontend, other)
        ]
        await wait_until(lambda: fake.received.count("same") == 2)
        assert await sidecar.request(frontend, "order", "same") == "failed"
        assert fake.received.count("same") == 2
        for sent in pending:
            sent.writer.close()
        await wait_until(lambda: not sidecar.engine.requests.pending)
        assert await sidecar.request(frontend, "order", "same") == "failed"  # the id is still retained

    play(tmp_path, lambda name: "silent", steps)


def test_a_draining_sidecar_refuses_requests_until_the_drain_is_cancelled(tmp_path, frontend, monkeypatch):
    monkeypatch.setattr(lifecycle, "IDLE_CLOSE_DELAY_S", 0.0)

    async def steps(sidecar, fake):
        pending = await SentRequest(frontend, sidecar.ports).send("order", "pending")
        await wait_until(lambda: fake.received)
        sidecar.engine.drain()
        await wait_until(lambda: sidecar.engine.lifecycle.closing_idle_connections)
        assert await sidecar.request(frontend, "order", "ab") == "refused"
        assert fake.received == ["pending"]
        sidecar.engine.undrain()
        assert await sidecar.request(frontend, "order", "cd") == "served"
        pending.writer.close()

    play(tmp_path, lambda name: "silent" if name == "pending" else "ok", steps)


def test_a_frontend_may_close_its_connection_while_it_responds(tmp_path, frontend, monkeypatch):
    async def steps(sidecar, fake):
        sidecar.lines.closes_on_response = True
        if frontend == "http":
            connection = type(sidecar.http.connection())
            respond = connection._respond

            def closing(self, *args, **named):
                respond(self, *args, **named)
                self.close()

            monkeypatch.setattr(connection, "_respond", closing)
        for n in range(5):
            sent = await SentRequest(frontend, sidecar.ports).send("order", f"id{n}")
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await sent.reader.read()
            sent.writer.close()
        assert len(fake.received) == 5 and sidecar.engine.stats.frontends[frontend][0] == 5

    play(tmp_path, lambda name: "ok", steps)


def test_requests_over_the_limit_are_refused_as_overloaded(tmp_path, frontend):
    async def steps(sidecar, fake):
        sidecar.engine.requests.max_open = 1
        pending = await SentRequest(frontend, sidecar.ports).send("order", "pending")
        await wait_until(lambda: fake.received)
        reasons = []
        finish = sidecar.engine.requests.finish
        sidecar.engine.requests.finish = lambda pending, response: (
            reasons.append(response.reason),
            finish(pending, response),
        )
        assert await sidecar.request(frontend, "order", "ab") == "refused"
        assert reasons == [Reason.OVERLOADED]
        pending.writer.close()

    play(tmp_path, lambda name: "silent" if name == "pending" else "ok", steps)
