"""Requests through a sidecar on real sockets: status codes by outcome, one response each, no second copy."""

import asyncio
import time

import pytest
from net_helpers import (
    HOST,
    MS,
    FakePeer,
    Sidecar,
    answer_ok,
    config,
    endpoint_update,
    entry,
    http_request,
    http_response,
    never_answer,
    read_message,
    reset,
    run,
    send_request,
    wait_until,
)

from ochreflow.policy import interface as api

NOT_RUN = "X-Not-Run: 1"


def respond_with(*data):
    async def act(message, reader, writer):
        writer.write(b"".join(data))

    return act


async def reset_at_once(message, reader, writer):
    reset(writer)


async def close_inside_body(message, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
    await writer.drain()
    writer.close()


def first_then_ok(act):
    """Return a handler that handles the first message with `act`, and serves all later ones."""
    seen = []

    async def acting(message, reader, writer):
        seen.append(message)
        await (act if len(seen) == 1 else answer_ok)(message, reader, writer)

    return acting


def two_servers(fake, *more):
    return endpoint_update(1, entry("s1", fake.address), *(entry(f"s{n}", a) for n, a in enumerate(more, 2)))


def test_a_request_is_forwarded_unchanged_and_its_response_is_returned(tmp_path):
    async def scenario():
        fake = await FakePeer(
            respond_with(http_response(200, b"held", "X-Load: rps=7,cpu=0.5", "Content-Type: text/x"))
        ).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            events = []
            handle = sidecar.engine.balancer.handle
            sidecar.engine.balancer.handle = lambda now, event: events.append(event) or handle(now, event)
            got = await send_request(sidecar.port, http_request("hold", "ab12", "900m", b"\x00body"))
        assert (got.code, got.body) == (200, b"held")
        assert got.headers["content-type"] == "text/x" and "x-load" not in got.headers
        (sent,) = fake.received
        assert sent.start_line == "POST /hold/part?x=1 HTTP/1.1" and sent.body == b"\x00body"
        assert sent.headers["x-request-id"] == "ab12"
        assert sent.headers["idempotency-key"] == "key-of-ab12"
        # The deadline of the attempt: at most that of the client, less the time that has passed.
        assert 0 < int(sent.headers["x-deadline"].removesuffix("m")) < 900
        (outcome,) = [event for event in events if isinstance(event, api.Outcome)]
        assert outcome.report == (7.0, 0.5) and outcome.final and outcome.status is api.Status.OK

    run(scenario())


def test_connections_to_servers_are_reused(tmp_path):
    """If the parser's keep-alive flag is read too late, it is always False, and no connection is reused."""

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            for number in range(5):
                assert (await send_request(sidecar.port, http_request("order", f"id{number}"))).code == 200
        assert len(fake.received) == 5 and fake.connections == 1

    run(scenario())


@pytest.mark.parametrize("class_name", ["lookup", "hold", "order"])
@pytest.mark.parametrize(
    ("act", "codes", "copies"),
    [
        # Proven not to have run: a request of any class may be retried.
        (respond_with(http_response(503, b"", NOT_RUN)), {200}, {2}),
        (respond_with(http_response(504, b"", NOT_RUN)), {200}, {2}),
        # A request that ends with 500 may have run: 503, which invites a retry, only if a retry is harmless.
        (respond_with(http_response(500)), {"lookup": {503}, "hold": {502}, "order": {502}}, {1}),
        (respond_with(http_response(503)), {"lookup": {503}, "hold": {502}, "order": {502}}, {1}),
        (respond_with(http_response(504)), {"lookup": {503}, "hold": {502}, "order": {502}}, {1}),
        (
            respond_with(http_response(500, b"", NOT_RUN)),
            {"lookup": {503}, "hold": {502}, "order": {502}},
            {1},
        ),
        (respond_with(http_response(204, b"")), {"lookup": {503}, "hold": {502}, "order": {502}}, {1}),
        # The connection failed after the last byte was written: the request may have run.
        (
            reset_at_once,
            {"lookup": {200}, "hold": {200}, "order": {502}},
            {"lookup": {2}, "hold": {2}, "order": {1}},
        ),
        (
            close_inside_body,
            {"lookup": {200}, "hold": {200}, "order": {502}},
            {"lookup": {2}, "hold": {2}, "order": {1}},
        ),
        (
            respond_with(b"no http at all\r\n\r\n"),
            {"lookup": {200}, "hold": {200}, "order": {502}},
            {"lookup": {2}, "hold": {2}, "order": {1}},
        ),
    ],
    ids=[
        "503-not-run",
        "504-not-run",
        "500",
        "503",
        "504",
        "500-not-run",
        "204",
        "reset",
        "cut",
        "garbage",
    ],
)
def test_each_outcome_gets_its_status_code_and_number_of_copies(tmp_path, class_name, act, codes, copies):
    async def scenario():
        fake = await FakePeer(first_then_ok(act)).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            got = await send_request(sidecar.port, http_request(class_name, "ab"))
        assert got.code in (codes[class_name] if isinstance(codes, dict) else codes)
        assert len(fake.received) in (copies[class_name] if isinstance(copies, dict) else copies)
        if got.code == 200:
            assert got.body == b"served "

    run(scenario())


@pytest.mark.parametrize("class_name", ["lookup", "hold", "order"])
def test_a_refused_connection_is_answered_with_503_since_nothing_ran(tmp_path, class_name):
    async def scenario():
        down = await FakePeer(answer_ok).start()
        down.server.close()
        await down.server.wait_closed()
        async with Sidecar(tmp_path / "c", config(two_servers(down))) as sidecar:
            got = await send_request(sidecar.port, http_request(class_name, "ab", "900m"))
        assert got.code == 503  # a retry is harmless

    run(scenario())


@pytest.mark.parametrize(("class_name", "code"), [("lookup", 503), ("hold", 502), ("order", 502)])
def test_a_silent_server_causes_one_response_within_the_deadline_and_one_copy(tmp_path, class_name, code):
    async def scenario():
        fake = await FakePeer(never_answer).start()
        data = config(two_servers(fake))
        data["settings"]["ceilings"]["send-cap"] = 1
        async with Sidecar(tmp_path / "c", data) as sidecar:
            loop = asyncio.get_running_loop()
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            start = loop.time()
            writer.write(http_request(class_name, "ab", "600m"))
            got = await read_message(reader)
            assert got.code == code
            assert 0.3 < loop.time() - start < 0.65
            await wait_until(lambda: fake.ended_connections == 1, "the connection of the attempt is closed")
            writer.write(http_request("lookup", "cd", "1m"))  # no further response to the first
            assert (await read_message(reader)).code == 503
            writer.close()
        assert len(fake.received) == 1

    run(scenario())


def test_the_deadline_watchdog_answers_one_request_and_others_succeed_if_the_balancer_raises(tmp_path):
    """An exception in one request must not affect other requests or the process."""

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            handle = sidecar.engine.balancer.handle

            def failing(now, event):
                if isinstance(event, api.Request) and event.class_index == 2:
                    sidecar.engine.balancer.context.actions = []
                    raise ZeroDivisionError("injected fault of the balancer")
                return handle(now, event)

            sidecar.engine.balancer.handle = failing
            failing_request = asyncio.create_task(
                send_request(sidecar.port, http_request("order", "ab", "500m"))
            )
            for number in range(3):
                assert (await send_request(sidecar.port, http_request("lookup", f"id{number}"))).code == 200
            assert (await failing_request).code == 503
            assert not sidecar.engine.requests.pending

    run(scenario())


def test_the_deadline_watchdog_fails_a_request_that_may_have_run(tmp_path):
    async def scenario():
        fake = await FakePeer(never_answer).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            handle = sidecar.engine.balancer.handle

            def failing_on_outcome(now, event):
                if isinstance(event, api.Outcome | api.Timer):
                    sidecar.engine.balancer.context.actions = []
                    raise ZeroDivisionError("injected fault of the balancer")
                return handle(now, event)

            sidecar.engine.balancer.handle = failing_on_outcome
            assert (await send_request(sidecar.port, http_request("order", "ab", "500m"))).code == 504

    run(scenario())


def test_an_attempt_that_raises_at_its_start_is_rejected_and_leaves_no_state(tmp_path):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:

            def broken(*_):
                raise ZeroDivisionError("simulated fault of the transport")

            engine = sidecar.engine
            sidecar.upstream_transport._format_request_lines = broken
            assert (await send_request(sidecar.port, http_request("order", "ab", "300m"))).code == 503
            assert not engine.requests.pending and not engine.attempts.in_flight
            del sidecar.upstream_transport._format_request_lines
            assert (await send_request(sidecar.port, http_request("order", "cd"))).code == 200

    run(scenario())


def test_a_client_disconnect_cancels_its_attempt(tmp_path):
    async def scenario():
        fake = await FakePeer(never_answer).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            _, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(http_request("order", "ab"))
            await wait_until(lambda: fake.received)
            writer.close()
            await wait_until(lambda: fake.ended_connections == 1, "the attempt is cancelled")
            engine = sidecar.engine
            await wait_until(
                lambda: (
                    not engine.requests.pending
                    and not engine.attempts.in_flight
                    and not engine.balancer.pending
                )
            )
            assert not sidecar.http.clients.connections
            (server,) = engine.balancer.endpoints.servers.values()
            assert not server.in_flight  # the end of the attempt was reported to the balancer too

    run(scenario())


def test_a_rejection_is_immediate_and_has_a_retry_after_header(tmp_path):
    async def scenario():
        fake = await FakePeer(respond_with(http_response(500))).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            got = await send_request(sidecar.port, http_request("lookup", "ab"))
        assert got.code == 503 and 0.0 < float(got.headers["retry-after"]) <= 2.0

    run(scenario())


def test_a_load_report_is_parsed_by_field_names_and_only_if_complete(tmp_path):
    async def scenario():
        async with Sidecar(tmp_path / "c", config(endpoint_update(1))) as sidecar:
            read = sidecar.upstream_transport.load_report_parser.parse
            assert read(b"cpu=0.25, rps=3") == (3.0, 0.25)
            assert read(b"qps=3,util=0.25,more=1") == (3.0, 0.25)
            for figure in (
                b"nan",
                b"inf",
                b"-1",
                b"1e9",
                b"x",
                b"",
                b"1_0",
                b"9" * 400,
                b"0x1",
                b"1.",
                b"\xb2",
            ):
                assert read(b"rps=3,cpu=" + figure) == ()
            for broken in (b"", b"rps=3", b"=,=", b"\xff=1", b"rps=1,rps=2,cpu=0.5", b"," * 9000):
                assert read(broken) == ()

    run(scenario())


def test_a_probe_requests_the_load_and_reports_its_outcome(tmp_path):
    async def scenario():
        act = first_then_ok(respond_with(http_response(200, b"rps=7,cpu=0.5")))

        async def acting(message, reader, writer):
            assert message.start_line == "GET /-/load HTTP/1.1" and "x-request-id" not in message.headers
            await act(message, reader, writer)

        fake = await FakePeer(acting).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            events = []
            engine = sidecar.engine
            (server,) = sidecar.upstreams.targets
            engine.balancer.handle = lambda now, event: events.append(event) or []
            engine.actions.execute(api.Probe(server))
            await wait_until(lambda: events)
            assert events[0].status is api.Status.OK and events[0].report == (7.0, 0.5)
            engine.actions.execute(api.CloseIdle(server))
            assert not sidecar.upstreams.connections
            fake.server.close()
            engine.actions.execute(api.Probe(server))
            await wait_until(lambda: len(events) > 1)
            assert events[1].status is api.Status.CONNECT_FAILED and events[1].report == ()

    run(scenario())


def test_since_ms_is_converted_to_the_engine_clock_and_zero_stays_zero(tmp_path):
    async def scenario():
        since = int(time.time() * 1000) - 2000
        known = endpoint_update(1, entry("s1", f"{HOST}:9"), entry("s2", f"{HOST}:10", since_ms=since))
        async with Sidecar(tmp_path / "c", config(known)) as sidecar:
            started = sorted(server.started for server in sidecar.engine.balancer.endpoints.servers.values())
            assert started[0] == 0
            assert 1000 * MS < sidecar.engine.clock.now() - started[1] < 60_000 * MS

    run(scenario())
