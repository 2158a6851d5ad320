"""The discovery client on sockets: failed and stalled polls, late answers, versions, parsing of lists."""

import asyncio
import json

import pytest
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
    http_response,
    reset,
    run,
    send_request,
    wait_until,
)

from ochreflow.core import endpoints
from ochreflow.core.address import split_address
from ochreflow.core.call_failures import CONNECTION_REFUSED
from ochreflow.core.endpoints import EndpointIds
from ochreflow.core.log import log
from ochreflow.http.discovery_transport import MAX_OPEN_REQUESTS, HttpDiscoveryTransport
from ochreflow.membership import discovery, timeouts
from ochreflow.membership.discovery import DiscoveryClient
from ochreflow.membership.endpoint_list import EndpointListError, parse_endpoint_update
from ochreflow.membership.timeouts import NOTIFIED_AFTER_S, LongPollTimeouts, long_poll_timeouts
from ochreflow.policy.interface import State


def create_transport(address):
    return HttpDiscoveryTransport(asyncio.get_running_loop(), address)


def endpoint_ids():
    return EndpointIds(["a", "b"], ["std"])


DEFAULT_TIMEOUTS = long_poll_timeouts(2_500_000_000)
SHORT_TIMEOUTS = LongPollTimeouts(
    wait_ms=50, poll_stall_s=0.05, complete_list_stall_s=0.1, resync_stall_s=0.1, agent_retry_s=1.0
)
SLACK_S = 0.05  # added to every limit in tests on sockets


def discovery_client(fake, version, updates, poll_timeouts=DEFAULT_TIMEOUTS, pushed=False):
    loop = asyncio.get_running_loop()
    return DiscoveryClient(
        loop,
        create_transport,
        (HOST, fake.port),
        endpoint_ids(),
        version,
        updates.append,
        on_relocated=lambda: updates.append(None),
        pushed=pushed,
        timeouts=poll_timeouts,
    )


def listing(index, *entries, snapshot=True):
    return http_response(200, json.dumps(endpoint_update(index, *entries, snapshot=snapshot)).encode())


async def truncated(message, reader, writer):
    writer.write(listing(9, entry("s1", f"{HOST}:7"))[:-20])
    await writer.drain()
    writer.close()


async def reset_connection(message, reader, writer):
    reset(writer)


async def never_answer(message, reader, writer):
    await reader.read()


def answer_with(data):
    async def handler(message, reader, writer):
        writer.write(data)

    return handler


@pytest.mark.parametrize(
    "failure",
    [
        answer_with(http_response(503, b"")),
        answer_with(http_response(200, b"{")),
        answer_with(http_response(200, b"[" * 50_000)),
        answer_with(http_response(200, b'{"index":1,"snapshot":true,"endpoints":[{"name":"s1"}]}')),
        answer_with(http_response(200, b'{"index":1,"snapshot":true,"endpoints":7}')),
        truncated,
        reset_connection,
    ],
    ids=["503", "bad-json", "deep-json", "bad-entry", "bad-list", "cut-off", "reset"],
)
def test_a_failed_poll_is_passed_on_as_a_failure_and_the_next_watch_succeeds(failure):
    async def scenario():
        async def handler(message, reader, writer):
            await (
                failure if len(fake.received) == 1 else answer_with(listing(41, entry("s1", f"{HOST}:7")))
            )(message, reader, writer)

        fake = await FakePeer(handler).start()
        updates = []
        client = discovery_client(fake, 40, updates)
        client.watch(on=True)
        await wait_until(lambda: updates)
        assert updates == [None] and not client.watching and client.version == 40
        client.watch(on=True)
        await wait_until(lambda: len(updates) > 1)
        assert updates[1].version == 41 and updates[1].complete
        client.close()

    run(scenario())


@pytest.mark.parametrize("grace_ns", [0, 50_000_000, 500_000_000, 2_500_000_000, 25_000_000_000])
def test_the_poll_after_a_stall_leaves_enough_of_the_drain_grace_for_its_answer(grace_ns):
    poll_timeouts = long_poll_timeouts(grace_ns)
    for wait, stall in (
        (poll_timeouts.wait_ms / 1000, poll_timeouts.poll_stall_s),
        (0.0, poll_timeouts.complete_list_stall_s),
    ):
        # Seconds after the poll was sent, if it stalls from then on.
        notified_s = max(wait + NOTIFIED_AFTER_S, 6.0)
        assert wait + stall + NOTIFIED_AFTER_S <= notified_s + grace_ns / 1e9 + SLACK_S
    answer = poll_timeouts.resync_stall_s  # the same time is left for an answer if the resync stalls as well
    assert (
        poll_timeouts.poll_stall_s + poll_timeouts.resync_stall_s + answer
        <= NOTIFIED_AFTER_S + grace_ns / 1e9 + SLACK_S
    )
    assert answer >= (NOTIFIED_AFTER_S - timeouts.MIN_STALL_TIMEOUT_S) / 2
    assert (
        poll_timeouts.poll_stall_s < discovery.ANSWER_TIMEOUT_S
        and poll_timeouts.complete_list_stall_s < discovery.ANSWER_TIMEOUT_S
    )
    assert poll_timeouts.agent_retry_s <= max(grace_ns / 1e9 / 2, 0.05)


def test_a_stalled_poll_is_followed_by_another_before_it_times_out():
    """The fake discovery never answers the first poll; the next request is sent while that one is open."""

    async def scenario():
        async def handler(message, reader, writer):
            if len(fake.received) == 1:
                await reader.read()
            elif len(fake.received) == 2:
                writer.write(listing(41, entry("s1", f"{HOST}:7", "DRAINING"), snapshot=False))
            else:
                await reader.read()

        fake = await FakePeer(handler).start()
        updates = []
        client = discovery_client(fake, 40, updates, SHORT_TIMEOUTS)
        client.watch(on=True)
        client.timeouts = DEFAULT_TIMEOUTS  # only the first poll stalls early
        await wait_until(lambda: updates)
        assert updates[0].entries[0].endpoint.state is State.DRAINING and client.watching
        assert fake.connections >= 2 and fake.ended_connections == 0  # the stalled poll is still open
        await wait_until(lambda: len(fake.received) >= 3)
        assert "after=41&" in fake.received[2].start_line
        client.close()

    run(scenario())


@pytest.mark.parametrize("late_first", [True, False], ids=["late-before-new", "new-before-late"])
def test_the_late_answer_to_a_stalled_poll_is_applied(late_first):
    """The fake discovery answers both polls, in either order; no change is lost or reverted."""

    async def scenario():
        async def handler(message, reader, writer):
            number = len(fake.received)
            if number == 1:
                await late.wait()
                writer.write(listing(41, entry("s1", f"{HOST}:7", "DRAINING"), snapshot=False))
            elif number == 2:
                await new.wait()
                both = entry("s1", f"{HOST}:7", "DRAINING"), entry("s2", f"{HOST}:8", "DRAINING")
                writer.write(listing(42, *both, snapshot=False))
            else:
                await reader.read()

        late, new = asyncio.Event(), asyncio.Event()
        fake = await FakePeer(handler).start()
        updates = []
        client = discovery_client(fake, 40, updates, SHORT_TIMEOUTS)
        client.watch(on=True)
        client.timeouts = DEFAULT_TIMEOUTS  # only the first poll stalls early
        await wait_until(lambda: len(fake.received) == 2)
        for event in (late, new) if late_first else (new, late):
            count = len(updates)
            event.set()
            await wait_until(lambda: len(updates) > count)  # noqa: B023 - awaited at once
        drained = {listed.name for update in updates for listed in update.entries}
        assert drained == {"s1", "s2"} and client.version == 42
        assert [update.version for update in updates] == ([41, 42] if late_first else [42, 42])
        await wait_until(lambda: len(fake.received) > 2)
        assert "after=42&" in fake.received[2].start_line
        client.close()

    run(scenario())


@pytest.mark.parametrize("late", [False, True], ids=["asked-again", "answered-late"])
def test_a_stalled_complete_list_counts_as_failed_and_is_requested_again(late):
    """The balancer decides when, as after any failure. A late answer to the first request is applied."""

    async def scenario():
        async def handler(message, reader, writer):
            if len(fake.received) == 1:
                await answer_allowed.wait()
            if len(fake.received) <= 2:
                writer.write(listing(3, entry("s1", f"{HOST}:7")))
            else:
                await reader.read()

        answer_allowed = asyncio.Event()
        fake = await FakePeer(handler).start()
        updates = []
        client = discovery_client(fake, None, updates, SHORT_TIMEOUTS)
        client.watch(on=True)
        client.timeouts = DEFAULT_TIMEOUTS  # only the first poll stalls early
        await wait_until(lambda: updates)
        assert updates == [None] and not client.watching and len(fake.received) == 1
        if late:
            answer_allowed.set()
        else:
            client.watch(on=True)
        await wait_until(lambda: len(updates) > 1)
        assert updates[1].complete and client.version == 3 and client.watching
        await wait_until(lambda: "after=3&" in fake.received[-1].start_line)
        client.close()

    run(scenario())


def test_after_an_exception_while_a_late_answer_is_applied_a_watch_runs_or_a_failure_is_reported():
    """The balancer already has the update and relies on a watch: without either it would never poll again."""

    async def scenario():
        async def handler(message, reader, writer):
            if len(fake.received) == 1:
                await answer_allowed.wait()
                writer.write(listing(3, entry("s1", f"{HOST}:7")))
            else:
                await reader.read()

        def raise_on_update(update):
            updates.append(update)
            if update is not None:
                raise RuntimeError("injected fault of a transport")

        answer_allowed = asyncio.Event()
        fake = await FakePeer(handler).start()
        updates = []
        client = DiscoveryClient(
            asyncio.get_running_loop(),
            create_transport,
            (HOST, fake.port),
            endpoint_ids(),
            None,
            raise_on_update,
            on_relocated=lambda: None,
            pushed=False,
            timeouts=SHORT_TIMEOUTS,
        )
        client.watch(on=True)
        client.timeouts = DEFAULT_TIMEOUTS  # only the first poll stalls early
        await wait_until(lambda: updates)
        answer_allowed.set()
        await wait_until(lambda: len(updates) > 1)
        # The exception also closes the connection, so the poll just sent on it fails, which is reported.
        await wait_until(lambda: client.watching or updates[-1] is None)
        assert len(updates) == 2 or updates[2:] == [None]
        client.close()

    run(scenario())


def test_a_stalled_resync_is_followed_by_another_request_at_once():
    """The poll and its resync are never answered: a third request is sent without the balancer."""

    async def scenario():
        async def handler(message, reader, writer):
            if len(fake.received) != 3:
                await reader.read()
            else:
                writer.write(listing(41, entry("s1", f"{HOST}:7", "DRAINING")))

        fake = await FakePeer(handler).start()
        updates = []
        client = discovery_client(fake, 40, updates, SHORT_TIMEOUTS)
        client.watch(on=True)
        await wait_until(lambda: updates)
        client.timeouts = DEFAULT_TIMEOUTS  # only the first two polls stall early
        await wait_until(lambda: len(fake.received) == 4)
        assert [update and update.version for update in updates] == [None, 41] and client.watching
        targets = [request.start_line.split()[1] for request in fake.received]
        assert targets[1:3] == ["/api/targets"] * 2
        assert "after=40&" in targets[0] and "after=41&" in targets[3]
        client.close()

    run(scenario())


def test_an_outage_is_warned_of_once_and_each_failure_is_logged_with_its_duration(monkeypatch):
    log.windows.clear()  # another test may have left a count of suppressed lines

    async def scenario():
        async def handler(message, reader, writer):
            writer.write(http_response(503, b"") if len(fake.received) < 4 else listing(41))

        fake = await FakePeer(handler).start()
        updates = []
        client = discovery_client(fake, 0, updates)
        for count in range(1, 6):
            client.fetch()
            await wait_until(lambda: len(updates) == count)  # noqa: B023 - awaited at once
        client.close()

    logged = []
    monkeypatch.setattr(log, "sink", lambda level, event, fields: logged.append((level, event, fields)))
    run(scenario())
    durations = [fields.pop("outage_s" if "outage_s" in fields else "after_s") for _, _, fields in logged]
    assert logged == [
        ("warning", "discovery_failed", {"reason": "answer 503"}),
        ("info", "discovery_failed_again", {"reason": "answer 503", "failures": 2}),
        ("info", "discovery_failed_again", {"reason": "answer 503", "failures": 3}),
        ("info", "discovery_recovered", {"failures": 3}),
    ]
    assert all(0.0 <= after_s <= durations[-1] < WAIT_TIMEOUT_S for after_s in durations)


def test_a_watch_polls_again_from_the_latest_version():
    async def scenario():
        async def handler(message, reader, writer):
            poll_times.append(asyncio.get_running_loop().time())
            if len(fake.received) < 4:
                writer.write(listing(40 + len(fake.received), snapshot=False))
            else:
                await reader.read()

        poll_times = []
        fake = await FakePeer(handler).start()
        updates = []
        client = discovery_client(fake, 40, updates)
        client.watch(on=True)
        client.watch(on=True)  # does not start a second watch
        await wait_until(lambda: len(fake.received) == 4)
        assert [request.start_line.split("after=")[1].split("&")[0] for request in fake.received] == [
            "40",
            "41",
            "42",
            "43",
        ]
        assert not any(update.complete for update in updates)
        client.close()

    run(scenario())


def test_a_fetch_requests_the_complete_list():
    async def scenario():
        fake = await FakePeer(answer_with(listing(7))).start()
        updates = []
        client = discovery_client(fake, 0, updates)
        client.fetch()
        await wait_until(lambda: updates)
        assert updates[0].complete and fake.received[0].start_line == "GET /api/targets HTTP/1.1"
        client.close()

    run(scenario())


def test_a_failed_watch_of_a_pushing_agent_is_repeated_without_a_request_of_the_balancer(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(timeouts, "MAX_RETRY_DELAY_S", 0.01)

    async def scenario():
        async def handler(message, reader, writer):
            if len(fake.received) == 1:
                reset(writer)
            else:
                writer.write(listing(41))
                await reader.read()

        fake = await FakePeer(handler).start()
        data = config(endpoint_update(1), fake.address)
        data["settings"]["discovery"] = "push"
        async with Sidecar(tmp_path / "c", data) as sidecar:
            await wait_until(lambda: sidecar.discovery.version == 41)
        assert len(fake.received) >= 2

    run(scenario())


def test_a_drain_by_discovery_stops_new_attempts_and_completes_pending_requests(tmp_path):
    async def scenario():
        async def serve_discovery(message, reader, writer):
            if "after=1&" in message.start_line:
                await answer_allowed.wait()
                change = entry("s1", old.address, "DRAINING"), entry("s2", new.address)
                writer.write(listing(2, *change, snapshot=False))
            else:
                await reader.read()

        async def slow(message, reader, writer):
            await finish.wait()
            writer.write(http_response(200, b"old"))

        answer_allowed, finish = asyncio.Event(), asyncio.Event()
        old, new = await FakePeer(slow).start(), await FakePeer(answer_ok).start()
        discovery_server = await FakePeer(serve_discovery).start()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", old.address)), discovery_server.address)
        ) as sidecar:
            pending = asyncio.create_task(send_request(sidecar.port, http_request("order", "ab")))
            await wait_until(lambda: old.received)
            answer_allowed.set()
            await wait_until(lambda: sidecar.discovery.version == 2)
            for number in range(5):
                assert (
                    await send_request(sidecar.port, http_request("order", f"id{number}"))
                ).body == b"served "
            finish.set()
            assert (await pending).body == b"old"
        assert len(old.received) == 1 and len(new.received) == 5

    run(scenario())


def test_a_server_removed_from_the_list_is_forgotten(tmp_path):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            assert (await send_request(sidecar.port, http_request("lookup", "ab"))).code == 200
            for index in range(2, 50):
                sidecar.engine.on_endpoint_update(
                    parse_endpoint_update(
                        endpoint_update(index, entry(f"s{index}", fake.address)), sidecar.endpoint_ids
                    )
                )
            assert len(sidecar.upstreams.targets) == 1 and len(sidecar.endpoint_ids.servers) <= 2
            assert (await send_request(sidecar.port, http_request("lookup", "cd"))).code == 200

    run(scenario())


def test_an_unknown_status_is_parsed_as_draining_and_an_unknown_zone_gets_a_number():
    update = parse_endpoint_update(
        endpoint_update(1, entry("s1", f"{HOST}:7", "STARTING", zone="c")), endpoint_ids()
    )
    assert update.entries[0].endpoint.state is State.DRAINING
    assert update.entries[0].endpoint.zone == 2


@pytest.mark.parametrize(
    "text", ["", "host:1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:70000", None]
)
def test_an_invalid_address_is_rejected(text):
    with pytest.raises(ValueError):
        split_address(text)
    with pytest.raises(EndpointListError):
        parse_endpoint_update(endpoint_update(1, entry("s1", text)), endpoint_ids())


def test_an_older_answer_does_not_replace_a_newer_list():
    """A poll and a fetch are open at the same time, and the earlier one is answered last."""

    async def scenario():
        async def handler(message, reader, writer):
            if "after" in message.start_line and len(fake.received) == 1:
                await answer_allowed.wait()
                writer.write(listing(41, entry("s1", f"{HOST}:7")))
            elif "after" in message.start_line:
                await reader.read()
            else:
                writer.write(listing(43, entry("s2", f"{HOST}:8")))

        answer_allowed = asyncio.Event()
        fake = await FakePeer(handler).start()
        updates = []
        client = discovery_client(fake, 40, updates)
        client.watch(on=True)
        await wait_until(lambda: fake.received)
        client.fetch()
        await wait_until(lambda: updates)
        answer_allowed.set()
        await wait_until(lambda: len(updates) == 2)
        assert (
            updates[1].version == client.version == 43 and not updates[1].entries and not updates[1].complete
        )
        await wait_until(lambda: len(fake.received) == 3)
        assert "after=43&" in fake.received[2].start_line
        client.close()

    run(scenario())


def test_a_decreased_index_leads_to_a_complete_list():
    async def scenario():
        async def handler(message, reader, writer):
            writer.write(listing(3, entry("s1", f"{HOST}:7"), snapshot="after" not in message.start_line))

        fake = await FakePeer(handler).start()
        updates = []
        client = discovery_client(fake, 40, updates)
        client.watch(on=True)
        await wait_until(lambda: updates)
        client.watch(on=True)
        await wait_until(lambda: len(updates) > 1)
        assert updates[0] is None and updates[1].complete and client.version == 3
        client.close()

    run(scenario())


def test_an_invalid_list_adds_no_names_and_the_number_of_zones_is_limited():
    ids = endpoint_ids()
    with pytest.raises(EndpointListError):
        parse_endpoint_update(
            endpoint_update(1, entry("s1", f"{HOST}:7", zone="new"), entry("s2", "nowhere")), ids
        )
    assert not ids.servers and len(ids.zones) == 2
    for number in range(3000):
        parse_endpoint_update(
            endpoint_update(1, {**entry("s1", f"{HOST}:7", zone=f"z{number}"), "type": f"k{number}"}), ids
        )
    assert len(ids.zones) == len(ids.kinds) == endpoints.MAX_DISTINCT_NAMES
    assert ids.zone("a") == 0 and ids.kind("std") == 0


@pytest.mark.parametrize(
    ("data", "text"),
    [
        ({"index": 1, "snapshot": True}, "KeyError: 'endpoints'"),
        (5, "ListError: no list of endpoints"),
        (endpoint_update(1, {**entry("s1", f"{HOST}:7"), "since_ms": -1}), "ListError: since_ms is -1"),
        (endpoint_update(1, entry("s1", "nowhere")), "ValueError: no address: 'nowhere'"),
        (endpoint_update(1, {"name": "s1"}), "KeyError: 'status'"),
    ],
    ids=["no-entries", "no-list", "negative-start", "no-address", "no-status"],
)
def test_the_error_text_of_an_invalid_list_is_unchanged(data, text):
    """Operators match these texts, of commit e51ca60, in the log and in the message of a failed start."""
    with pytest.raises(EndpointListError) as caught:
        parse_endpoint_update(data, endpoint_ids())
    assert str(caught.value) == text


TURN_S = 1.9  # a call waits so long for its turn
PIECES = 18
PIECE_INTERVAL_S = 0.1


async def write_in_pieces(writer, data, pieces=PIECES, interval_s=PIECE_INTERVAL_S):
    size = len(data) // pieces + 1
    for at in range(0, len(data), size):
        writer.write(data[at : at + size])
        await asyncio.sleep(interval_s)


def test_a_list_that_arrives_slowly_after_a_change_of_the_address_is_applied(tmp_path):
    """Guards against a call that is given up 3.5 s after it was made, while its answer arrives (review/8)."""

    async def scenario():
        async def never(message, reader, writer):
            await reader.read()

        async def slow(message, reader, writer):
            await asyncio.sleep(TURN_S)
            if "after=" in message.start_line:
                await reader.read()
            draining = entry("s1", server.address, "DRAINING")
            await write_in_pieces(writer, listing(2, draining))

        server = await FakePeer(answer_ok).start()
        first, second = await FakePeer(never).start(), await FakePeer(slow).start()
        data = config(endpoint_update(1, entry("s1", server.address)), first.address)
        async with Sidecar(tmp_path / "c", data) as sidecar:
            began = asyncio.get_running_loop().time()
            sidecar.discovery.switch_address((HOST, second.port))
            await wait_until(lambda: sidecar.discovery.version == 2)
            assert asyncio.get_running_loop().time() - began < 4.6
            # The watch begins with the list: it does not wait for the answers to further calls.
            await asyncio.sleep(0.2)
            assert "after=2&" in second.received[-1].start_line

    run(scenario())


def test_open_calls_are_bounded_and_the_one_that_is_being_answered_is_kept():
    async def scenario():
        async def handler(message, reader, writer):
            if len(fake.received) == 1:
                await write_in_pieces(writer, listing(5, entry("s1", f"{HOST}:7")), 10, 0.1)
            await reader.read()

        fake = await FakePeer(handler).start()
        transport = create_transport((HOST, fake.port))
        answers = []
        for number in range(8):
            transport.get(
                "/api/targets", 5.0, lambda body, reason, n=number: answers.append((n, body, reason))
            )
            await asyncio.sleep(0.05)
            assert len(transport.open_requests) <= MAX_OPEN_REQUESTS
        await wait_until(lambda: any(body for _, body, _ in answers))
        given_up = [number for number, body, _ in answers if body is None]
        assert given_up == [2, 3, 4, 5, 6]
        assert next(number for number, body, _ in answers if body) == 0
        transport.close()

    run(scenario())


def test_an_answer_that_stalls_halfway_fails_and_one_that_pauses_does_not():
    """A pause of more than a second between two pieces ended an answer of discovery."""

    async def scenario():
        async def handler(message, reader, writer):
            data = listing(5, entry("s1", f"{HOST}:7"))
            writer.write(data[:-20])
            await asyncio.sleep(1.4 if len(fake.received) == 1 else 60)
            writer.write(data[-20:])

        fake = await FakePeer(handler).start()
        transport = create_transport((HOST, fake.port))
        answers = []
        for _ in range(2):
            transport.get("/api/targets", 30.0, lambda body, reason: answers.append((body, reason)))
        await wait_until(lambda: len(answers) == 2)
        assert answers[0][0] is not None and answers[1] == (None, "RESET")
        transport.close()

    run(scenario())


def test_a_refused_connection_is_told_apart_from_one_that_breaks():
    async def scenario():
        fake = await FakePeer(reset_connection).start()
        transport = create_transport((HOST, fake.port))
        reasons = []
        for count in (1, 2):
            transport.get("/api/targets", 5.0, lambda body, reason: reasons.append(reason))
            await wait_until(lambda: len(reasons) == count)  # noqa: B023 - awaited at once
            fake.server.close()
            await asyncio.sleep(0.05)
        assert reasons == ["RESET", CONNECTION_REFUSED]
        transport.close()

    run(scenario())


@pytest.mark.parametrize("on_watch", [True, False], ids=["watch", "complete-list"])
def test_an_answer_that_stalls_halfway_is_not_waited_for_alone(on_watch):
    """Half an answer to a watch would be noticed only once its whole wait is over."""

    async def scenario():
        async def handler(message, reader, writer):
            data = listing(41, entry("s1", f"{HOST}:7", "DRAINING"))
            if len(fake.received) == 1:
                writer.write(data[:-20])
                await reader.read()
            elif len(fake.received) == 2:
                writer.write(data)
            else:
                await reader.read()

        fake = await FakePeer(handler).start()
        updates = []
        client = discovery_client(fake, 40 if on_watch else None, updates)
        began = asyncio.get_running_loop().time()
        client.watch(on=True)
        await wait_until(lambda: updates)
        assert asyncio.get_running_loop().time() - began < 1.8
        if on_watch:
            assert updates[0].version == 41 and "after=" not in fake.received[1].start_line
        else:
            assert updates == [None]  # the balancer decides when to poll again
        assert fake.ended_connections == 0
        client.close()

    run(scenario())
