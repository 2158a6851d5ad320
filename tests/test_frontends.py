"""The rules over both frontends, HTTP and the tests' own lines, from one table: they are the core's."""

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
    """One client of either frontend, with one request on its way."""

    def __init__(self, frontend, ports):
        self.frontend = frontend
        self.port = ports[frontend]

    async def send(self, cls, name, wait=3000):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        if self.frontend == "http":
            self.writer.write(http_request(cls, name, f"{wait}m"))
        else:
            self.writer.write(f"{cls} {name} {wait}\n".encode())
        return self

    async def answer(self):
        """The one word of the one answer; nothing may follow it."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            if self.frontend == "http":
                word = CODES[(await read_message(self.reader)).code]
            else:
                word = (await self.reader.readline()).decode().split()[0]
        self.writer.close()
        return word


class Rig(Sidecar):
    """A sidecar with both frontends open."""

    async def __aenter__(self):
        await super().__aenter__()
        loop = asyncio.get_running_loop()
        self.lines = LineFrontend(self.engine, loop)
        self.lines.server = await loop.create_server(lambda: LineClient(self.lines), HOST, 0)
        self.ports = {"http": self.port, "lines": self.lines.server.sockets[0].getsockname()[1]}
        return self

    async def request(self, frontend, cls, name, wait=3000):
        return await (await SentRequest(frontend, self.ports).send(cls, name, wait)).answer()

    def update_endpoints(self, *entries, index=2):
        self.engine.on_endpoint_update(
            parse_endpoint_update(endpoint_update(index, *entries), self.endpoint_ids)
        )

    def clean(self):
        engine = self.engine
        return not (
            engine.requests.pending
            or engine.attempts.in_flight
            or engine.balancer.pending
            or engine.memory.reserved_bytes
        )


def play(tmp_path, act, steps, servers=1, rules=()):
    """Run steps with so many servers that do what `act` says of a request's name."""

    async def playing():
        fakes = [await DualProtocolServer(act).start() for _ in range(servers)]
        known = endpoint_update(1, *(entry(f"s{n}", fake.address) for n, fake in enumerate(fakes)))
        data = config(known)
        data["settings"]["rules"].update(rules)
        async with Rig(tmp_path / "c", data) as rig:
            await steps(rig, *fakes)
            await wait_until(rig.clean, "nothing is left of any request")

    run(playing())


def first(what):
    """What becomes of the first attempt; the next ones are served."""
    seen = []

    def act(name):
        seen.append(name)
        return what if len(seen) == 1 else "ok"

    return act


@pytest.mark.parametrize(
    ("cls", "what", "word", "runs"),
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
def test_one_final_response_and_no_retry_beyond_the_class(tmp_path, frontend, cls, what, word, runs):
    async def steps(rig, one, two):
        assert await rig.request(frontend, cls, "ab") == word
        assert len(one.received + two.received) == runs
        counts = rig.engine.stats.frontends
        assert sum(counts[frontend]) == 1 and sum(sum(row) for row in counts.values()) == 1

    play(tmp_path, first(what), steps, servers=2)


def delay_first_bytes(rig, monkeypatch):
    """Keep every attempt from its first byte until the event is set, at both transports."""
    go = rig.lines.upstream_transport.connecting_allowed
    go.clear()
    connect = rig.upstreams._connect

    async def later(*args):
        await go.wait()
        await connect(*args)

    monkeypatch.setattr(rig.upstreams, "_connect", later)
    return go


def test_nothing_new_reaches_a_draining_server_not_even_what_waits(tmp_path, frontend, monkeypatch):
    async def steps(rig, leaving, staying):
        go = delay_first_bytes(rig, monkeypatch)
        waiting = [await SentRequest(frontend, rig.ports).send("order", f"w{n}") for n in range(8)]
        await wait_until(lambda: len(rig.engine.attempts.in_flight) == 8)
        number = rig.endpoint_ids.server("s0")
        assert any(attempt.server == number for attempt in rig.engine.attempts.in_flight.values())
        rig.update_endpoints(entry("s0", leaving.address, "DRAINING"), entry("s1", staying.address))
        go.set()
        words = [await sent.answer() for sent in waiting]
        assert set(words) <= {"served", "refused"} and "served" in words
        for n in range(20):
            assert await rig.request(frontend, "order", f"b{n}") == "served"
        assert not leaving.received
        assert len(set(staying.received)) == len(staying.received) == words.count("served") + 20

    play(tmp_path, lambda name: "ok", steps, servers=2)


def test_a_server_that_warms_up_gets_little_at_once(tmp_path, frontend):
    async def steps(rig, new, warm):
        since = int(time.time() * 1000)
        rig.update_endpoints(entry("s0", new.address, since_ms=since), entry("s1", warm.address))
        words = await asyncio.gather(*(rig.request(frontend, "order", f"id{n}", 500) for n in range(40)))
        assert set(words) <= {"failed", "refused"}
        assert len(new.received) <= 1 and len(warm.received) >= 5

    rules = {"start-capacity": 0.15, "warm-within-ns": 60_000_000_000}
    play(tmp_path, lambda name: "silent", steps, 2, rules)  # no answer earns it any more


@pytest.mark.parametrize(("what", "word"), [("silent", "failed"), (None, "refused")])
def test_the_deadline_watchdog_answers_in_place_of_a_balancer_that_fails(tmp_path, frontend, what, word):
    """Failed if it may have run, refused if it never did, once in either case and before its time is up."""

    async def steps(rig, fake):
        handle = rig.engine.balancer.handle
        failing_events = (api.Request,) if what is None else (api.Outcome, api.Timer)

        def failing(now, event):
            if isinstance(event, failing_events):
                rig.engine.balancer.context.actions = []
                raise ZeroDivisionError("of the module")
            return handle(now, event)

        rig.engine.balancer.handle = failing
        assert await rig.request(frontend, "order", "ab", 400) == word
        assert len(fake.received) == (what is not None)
        rig.engine.balancer.pending.clear()
        for server in rig.engine.balancer.endpoints.servers.values():
            server.in_flight.clear()

    play(tmp_path, lambda name: what, steps)


def test_a_client_that_leaves_takes_its_attempt_along(tmp_path, frontend):
    async def steps(rig, fake):
        sent = await SentRequest(frontend, rig.ports).send("order", "ab")
        await wait_until(lambda: fake.received)
        sent.writer.close()
        await wait_until(lambda: fake.ended_connections == 1, "its attempt is called off")

    play(tmp_path, lambda name: "silent", steps)


def test_a_client_that_leaves_before_the_first_byte_reaches_no_server(tmp_path, frontend, monkeypatch):
    """It goes between its attempt's connect and its write."""

    async def steps(rig, fake):
        go = delay_first_bytes(rig, monkeypatch)
        sent = await SentRequest(frontend, rig.ports).send("order", "ab")
        await wait_until(lambda: rig.engine.attempts.in_flight)
        sent.writer.close()
        await wait_until(lambda: not rig.engine.requests.pending)
        go.set()
        assert await rig.request(frontend, "order", "cd") == "served"
        assert fake.received == ["cd"]

    play(tmp_path, lambda name: "ok", steps)


def test_request_ids_belong_to_their_frontend(tmp_path, frontend):
    """The same id at both frontends at once is two requests; twice at one of them is one."""

    async def steps(rig, fake):
        other = next(name for name in FRONTENDS if name != frontend)
        held = [await SentRequest(label, rig.ports).send("order", "same") for label in (frontend, other)]
        await wait_until(lambda: fake.received.count("same") == 2)
        assert await rig.request(frontend, "order", "same") == "failed"
        assert fake.received.count("same") == 2
        for sent in held:
            sent.writer.close()
        await wait_until(lambda: not rig.engine.requests.pending)
        assert await rig.request(frontend, "order", "same") == "failed"  # it has just been

    play(tmp_path, lambda name: "silent", steps)


def test_a_drain_of_the_sidecar_refuses_at_once_and_can_be_undone(tmp_path, frontend, monkeypatch):
    monkeypatch.setattr(lifecycle, "IDLE_CLOSE_DELAY_S", 0.0)

    async def steps(rig, fake):
        held = await SentRequest(frontend, rig.ports).send("order", "held")
        await wait_until(lambda: fake.received)
        rig.engine.drain()
        await wait_until(lambda: rig.engine.lifecycle.closing_idle_connections)
        assert await rig.request(frontend, "order", "ab") == "refused"
        assert fake.received == ["held"]
        rig.engine.undrain()
        assert await rig.request(frontend, "order", "cd") == "served"
        held.writer.close()

    play(tmp_path, lambda name: "silent" if name == "held" else "ok", steps)


def test_a_frontend_may_close_inside_the_call_that_responds_to_it(tmp_path, frontend, monkeypatch):
    async def steps(rig, fake):
        rig.lines.closes_on_response = True
        if frontend == "http":
            connection = type(rig.http.connection())
            respond = connection._respond

            def closing(self, *args, **named):
                respond(self, *args, **named)
                self.close()

            monkeypatch.setattr(connection, "_respond", closing)
        for n in range(5):
            sent = await SentRequest(frontend, rig.ports).send("order", f"id{n}")
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await sent.reader.read()
            sent.writer.close()
        assert len(fake.received) == 5 and rig.engine.stats.frontends[frontend][0] == 5

    play(tmp_path, lambda name: "ok", steps)


def test_too_many_at_once_are_refused_with_their_reason(tmp_path, frontend):
    async def steps(rig, fake):
        rig.engine.requests.max_open = 1
        held = await SentRequest(frontend, rig.ports).send("order", "held")
        await wait_until(lambda: fake.received)
        reasons = []
        finish = rig.engine.requests.finish
        rig.engine.requests.finish = lambda pending, response: (
            reasons.append(response.reason),
            finish(pending, response),
        )
        assert await rig.request(frontend, "order", "ab") == "refused"
        assert reasons == [Reason.OVERLOADED]
        held.writer.close()

    play(tmp_path, lambda name: "silent" if name == "held" else "ok", steps)
