"""Discovery: whatever goes wrong with a call is news of a failure, and the next watch works again."""

import asyncio
import json

import pytest
from net_helpers import (
    HOST,
    Fake,
    Sidecar,
    answer_ok,
    ask,
    config,
    entry,
    message,
    news,
    reply,
    reset,
    run,
    until,
)

from ochreflow.core import endpoints
from ochreflow.core.address import split_address
from ochreflow.core.endpoints import EndpointIds
from ochreflow.core.log import log
from ochreflow.http.discovery_transport import HttpDiscoveryTransport
from ochreflow.membership import discovery, timeouts
from ochreflow.membership.discovery import DiscoveryClient
from ochreflow.membership.endpoint_list import EndpointListError, parse_endpoint_update
from ochreflow.membership.timeouts import NOTIFIED_AFTER_S, LongPollTimeouts, long_poll_timeouts
from ochreflow.policy.interface import State


def calls(address):
    return HttpDiscoveryTransport(asyncio.get_running_loop(), address)


def names():
    return EndpointIds(["a", "b"], ["std"])


USUAL = long_poll_timeouts(2_500_000_000)
SHORT = LongPollTimeouts(
    wait_ms=50, poll_stall_s=0.05, complete_list_stall_s=0.1, resync_stall_s=0.1, agent_retry_s=1.0
)
SLACK = 0.05  # seconds by which every limit grows on sockets


def asking(fake, version, heard, times=USUAL, pushed=False):
    loop = asyncio.get_running_loop()
    return DiscoveryClient(
        loop, calls, (HOST, fake.port), names(), version, heard.append, pushed=pushed, timeouts=times
    )


def listing(index, *entries, snapshot=True):
    return reply(200, json.dumps(news(index, *entries, snapshot=snapshot)).encode())


async def cut_off(message, reader, writer):
    writer.write(listing(9, entry("s1", f"{HOST}:7"))[:-20])
    await writer.drain()
    writer.close()


async def break_it(message, reader, writer):
    reset(writer)


async def hang(message, reader, writer):
    await reader.read()


def say(data):
    async def act(message, reader, writer):
        writer.write(data)

    return act


@pytest.mark.parametrize(
    "trouble",
    [
        say(reply(503, b"")),
        say(reply(200, b"{")),
        say(reply(200, b"[" * 50_000)),
        say(reply(200, b'{"index":1,"snapshot":true,"endpoints":[{"name":"s1"}]}')),
        say(reply(200, b'{"index":1,"snapshot":true,"endpoints":7}')),
        cut_off,
        break_it,
    ],
    ids=["503", "bad-json", "deep-json", "bad-entry", "bad-list", "cut-off", "reset"],
)
def test_a_broken_call_is_told_as_failed_and_the_next_watch_works(trouble):
    async def play():
        async def act(message, reader, writer):
            await (trouble if len(fake.got) == 1 else say(listing(41, entry("s1", f"{HOST}:7"))))(
                message, reader, writer
            )

        fake = await Fake(act).start()
        heard = []
        watcher = asking(fake, 40, heard)
        watcher.watch(on=True)
        await until(lambda: heard)
        assert heard == [None] and not watcher.watching and watcher.version == 40
        watcher.watch(on=True)
        await until(lambda: len(heard) > 1)
        assert heard[1].version == 41 and heard[1].complete
        watcher.close()

    run(play())


@pytest.mark.parametrize("grace_ns", [0, 50_000_000, 500_000_000, 2_500_000_000, 25_000_000_000])
def test_after_a_silence_the_next_call_leaves_discovery_its_time_within_the_grace(grace_ns):
    times = long_poll_timeouts(grace_ns)
    for wait, overdue in ((times.wait_ms / 1000, times.poll_stall_s), (0.0, times.complete_list_stall_s)):
        told = max(wait + NOTIFIED_AFTER_S, 6.0)  # from the call on, where silence begins with it
        assert wait + overdue + NOTIFIED_AFTER_S <= told + grace_ns / 1e9 + SLACK
    answer = times.resync_stall_s  # as much is left for an answer where the call beside is silent as well
    assert times.poll_stall_s + times.resync_stall_s + answer <= NOTIFIED_AFTER_S + grace_ns / 1e9 + SLACK
    assert answer >= (NOTIFIED_AFTER_S - timeouts.MIN_STALL_TIMEOUT_S) / 2
    assert (
        times.poll_stall_s < discovery.ANSWER_TIMEOUT_S
        and times.complete_list_stall_s < discovery.ANSWER_TIMEOUT_S
    )
    assert times.agent_retry_s <= max(grace_ns / 1e9 / 2, 0.05)


def test_a_watch_that_falls_silent_is_opened_anew_before_its_call_times_out():
    """The stand-in takes the watch and never answers it: the next call is another one, beside it."""

    async def play():
        async def act(message, reader, writer):
            if len(fake.got) == 1:
                await reader.read()
            elif len(fake.got) == 2:
                writer.write(listing(41, entry("s1", f"{HOST}:7", "DRAINING"), snapshot=False))
            else:
                await reader.read()

        fake = await Fake(act).start()
        heard = []
        watcher = asking(fake, 40, heard, SHORT)
        watcher.watch(on=True)
        watcher.timeouts = USUAL  # only the first call is overdue soon
        await until(lambda: heard)
        assert heard[0].entries[0].endpoint.state is State.DRAINING and watcher.watching
        assert fake.connections >= 2 and fake.ended == 0  # the silent call is out still
        await until(lambda: len(fake.got) >= 3)
        assert "after=41&" in fake.got[2].first
        watcher.close()

    run(play())


@pytest.mark.parametrize("late_first", [True, False], ids=["late-before-new", "new-before-late"])
def test_what_an_overdue_call_still_tells_is_news(late_first):
    """Both calls are held by the stand-in and let go in either order; nothing told is lost or set back."""

    async def play():
        async def act(message, reader, writer):
            number = len(fake.got)
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
        fake = await Fake(act).start()
        heard = []
        watcher = asking(fake, 40, heard, SHORT)
        watcher.watch(on=True)
        watcher.timeouts = USUAL  # only the first call is overdue soon
        await until(lambda: len(fake.got) == 2)
        for event in (late, new) if late_first else (new, late):
            count = len(heard)
            event.set()
            await until(lambda: len(heard) > count)  # noqa: B023
        drained = {listed.name for told in heard for listed in told.entries}
        assert drained == {"s1", "s2"} and watcher.version == 42
        assert [told.version for told in heard] == ([41, 42] if late_first else [42, 42])
        await until(lambda: len(fake.got) > 2)
        assert "after=42&" in fake.got[2].first
        watcher.close()

    run(play())


@pytest.mark.parametrize("late", [False, True], ids=["asked-again", "answered-late"])
def test_a_whole_list_that_does_not_come_is_told_as_failed_and_asked_for_again(late):
    """The module says when, as after any failure; what the late call still says is taken until then."""

    async def play():
        async def act(message, reader, writer):
            if len(fake.got) == 1:
                await go.wait()
            if len(fake.got) <= 2:
                writer.write(listing(3, entry("s1", f"{HOST}:7")))
            else:
                await reader.read()

        go = asyncio.Event()
        fake = await Fake(act).start()
        heard = []
        watcher = asking(fake, None, heard, SHORT)
        watcher.watch(on=True)
        watcher.timeouts = USUAL  # only the first call is overdue soon
        await until(lambda: heard)
        assert heard == [None] and not watcher.watching and len(fake.got) == 1
        if late:
            go.set()
        else:
            watcher.watch(on=True)
        await until(lambda: len(heard) > 1)
        assert heard[1].complete and watcher.version == 3 and watcher.watching
        await until(lambda: "after=3&" in fake.got[-1].first)
        watcher.close()

    run(play())


def test_a_fault_in_taking_what_a_late_call_says_leaves_a_watch_or_a_failure():
    """The module has the news by then and takes it for watching: without either it would never ask again."""

    async def play():
        async def act(message, reader, writer):
            if len(fake.got) == 1:
                await go.wait()
                writer.write(listing(3, entry("s1", f"{HOST}:7")))
            else:
                await reader.read()

        def take(told):
            heard.append(told)
            if told is not None:
                raise RuntimeError("as if a carrier had a fault")

        go = asyncio.Event()
        fake = await Fake(act).start()
        heard = []
        watcher = DiscoveryClient(
            asyncio.get_running_loop(),
            calls,
            (HOST, fake.port),
            names(),
            None,
            take,
            pushed=False,
            timeouts=SHORT,
        )
        watcher.watch(on=True)
        watcher.timeouts = USUAL  # only the first call is overdue soon
        await until(lambda: heard)
        go.set()
        await until(lambda: len(heard) > 1)
        # The fault ends the connection as well, and so the call that has just begun on it: that is told.
        await until(lambda: watcher.watching or heard[-1] is None)
        assert len(heard) == 2 or heard[2:] == [None]
        watcher.close()

    run(play())


def test_a_call_beside_a_silent_watch_that_is_silent_too_is_followed_by_another_at_once():
    """The first two calls are never answered: the third is made before the module is asked for a time."""

    async def play():
        async def act(message, reader, writer):
            if len(fake.got) != 3:
                await reader.read()
            else:
                writer.write(listing(41, entry("s1", f"{HOST}:7", "DRAINING")))

        fake = await Fake(act).start()
        heard = []
        watcher = asking(fake, 40, heard, SHORT)
        watcher.watch(on=True)
        await until(lambda: heard)
        watcher.timeouts = USUAL  # only the first two calls are overdue soon
        await until(lambda: len(fake.got) == 4)
        assert [told and told.version for told in heard] == [None, 41] and watcher.watching
        targets = [got.first.split()[1] for got in fake.got]
        assert targets[1:3] == ["/api/targets"] * 2
        assert "after=40&" in targets[0] and "after=41&" in targets[3]
        watcher.close()

    run(play())


def test_an_outage_is_logged_once_and_so_is_its_end(monkeypatch):
    async def play():
        async def act(message, reader, writer):
            writer.write(reply(503, b"") if len(fake.got) < 4 else listing(41))

        fake = await Fake(act).start()
        heard = []
        asker = asking(fake, 0, heard)
        for count in range(1, 6):
            asker.fetch()
            await until(lambda: len(heard) == count)  # noqa: B023
        asker.close()

    said = []
    monkeypatch.setattr(log, "sink", lambda level, event, fields: said.append((level, event, fields)))
    run(play())
    assert said == [
        ("warning", "discovery_failed", {"reason": "answer 503"}),
        ("info", "discovery_recovered", {}),
    ]


def test_a_watch_goes_on_by_itself_from_the_latest_version():
    async def play():
        async def act(message, reader, writer):
            times.append(asyncio.get_running_loop().time())
            if len(fake.got) < 4:
                writer.write(listing(40 + len(fake.got), snapshot=False))
            else:
                await reader.read()

        times = []
        fake = await Fake(act).start()
        heard = []
        watcher = asking(fake, 40, heard)
        watcher.watch(on=True)
        watcher.watch(on=True)  # no second one beside it
        await until(lambda: len(fake.got) == 4)
        assert [got.first.split("after=")[1].split("&")[0] for got in fake.got] == ["40", "41", "42", "43"]
        assert not any(news.complete for news in heard)
        watcher.close()

    run(play())


def test_a_fetch_asks_for_the_whole_list():
    async def play():
        fake = await Fake(say(listing(7))).start()
        heard = []
        asker = asking(fake, 0, heard)
        asker.fetch()
        await until(lambda: heard)
        assert heard[0].complete and fake.got[0].first == "GET /api/targets HTTP/1.1"
        asker.close()

    run(play())


def test_pushed_lists_are_watched_again_after_a_failure_unasked(tmp_path, monkeypatch):
    monkeypatch.setattr(timeouts, "MAX_RETRY_DELAY_S", 0.01)

    async def play():
        async def act(message, reader, writer):
            if len(fake.got) == 1:
                reset(writer)
            else:
                writer.write(listing(41))
                await reader.read()

        fake = await Fake(act).start()
        data = config(news(1), fake.address)
        data["settings"]["discovery"] = "push"
        async with Sidecar(tmp_path / "c", data) as sidecar:
            await until(lambda: sidecar.discovery.version == 41)
        assert len(fake.got) >= 2

    run(play())


def test_a_drain_that_discovery_tells_stops_sends_and_ends_no_request(tmp_path):
    async def play():
        async def tell(message, reader, writer):
            if "after=1&" in message.first:
                await go.wait()
                change = entry("s1", old.address, "DRAINING"), entry("s2", new.address)
                writer.write(listing(2, *change, snapshot=False))
            else:
                await reader.read()

        async def slow(message, reader, writer):
            await finish.wait()
            writer.write(reply(200, b"old"))

        go, finish = asyncio.Event(), asyncio.Event()
        old, new = await Fake(slow).start(), await Fake(answer_ok).start()
        teller = await Fake(tell).start()
        async with Sidecar(
            tmp_path / "c", config(news(1, entry("s1", old.address)), teller.address)
        ) as sidecar:
            held = asyncio.create_task(ask(sidecar.port, message("order", "ab")))
            await until(lambda: old.got)
            go.set()
            await until(lambda: sidecar.discovery.version == 2)
            for number in range(5):
                assert (await ask(sidecar.port, message("order", f"id{number}"))).body == b"served "
            finish.set()
            assert (await held).body == b"old"
        assert len(old.got) == 1 and len(new.got) == 5

    run(play())


def test_a_server_that_left_the_list_is_forgotten(tmp_path):
    async def play():
        fake = await Fake(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(news(1, entry("s1", fake.address)))) as sidecar:
            assert (await ask(sidecar.port, message("lookup", "ab"))).code == 200
            for index in range(2, 50):
                sidecar.engine.on_endpoint_update(
                    parse_endpoint_update(news(index, entry(f"s{index}", fake.address)), sidecar.endpoint_ids)
                )
            assert len(sidecar.upstreams.targets) == 1 and len(sidecar.endpoint_ids.servers) <= 2
            assert (await ask(sidecar.port, message("lookup", "cd"))).code == 200

    run(play())


def test_entries_of_tomorrow_are_read_with_care():
    got = parse_endpoint_update(news(1, entry("s1", f"{HOST}:7", "STARTING", zone="c")), names())
    assert got.entries[0].endpoint.state is State.DRAINING
    assert got.entries[0].endpoint.zone == 2


@pytest.mark.parametrize(
    "text", ["", "host:1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:70000", None]
)
def test_what_is_no_address_is_refused(text):
    with pytest.raises(ValueError):
        split_address(text)
    with pytest.raises(EndpointListError):
        parse_endpoint_update(news(1, entry("s1", text)), names())


def test_an_older_answer_sets_nothing_back():
    """Guards the list: a watch and a fetch are out together, and the earlier call is answered last."""

    async def play():
        async def act(message, reader, writer):
            if "after" in message.first and len(fake.got) == 1:
                await go.wait()
                writer.write(listing(41, entry("s1", f"{HOST}:7")))
            elif "after" in message.first:
                await reader.read()
            else:
                writer.write(listing(43, entry("s2", f"{HOST}:8")))

        go = asyncio.Event()
        fake = await Fake(act).start()
        heard = []
        both = asking(fake, 40, heard)
        both.watch(on=True)
        await until(lambda: fake.got)
        both.fetch()
        await until(lambda: heard)
        go.set()
        await until(lambda: len(heard) == 2)
        assert heard[1].version == both.version == 43 and not heard[1].entries and not heard[1].complete
        await until(lambda: len(fake.got) == 3)
        assert "after=43&" in fake.got[2].first
        both.close()

    run(play())


def test_an_index_that_goes_back_asks_for_the_whole_list():
    async def play():
        async def act(message, reader, writer):
            writer.write(listing(3, entry("s1", f"{HOST}:7"), snapshot="after" not in message.first))

        fake = await Fake(act).start()
        heard = []
        watcher = asking(fake, 40, heard)
        watcher.watch(on=True)
        await until(lambda: heard)
        watcher.watch(on=True)
        await until(lambda: len(heard) > 1)
        assert heard[0] is None and heard[1].complete and watcher.version == 3
        watcher.close()

    run(play())


def test_an_unreadable_list_leaves_no_names_and_new_zones_are_bounded():
    known = names()
    with pytest.raises(EndpointListError):
        parse_endpoint_update(news(1, entry("s1", f"{HOST}:7", zone="new"), entry("s2", "nowhere")), known)
    assert not known.servers and len(known.zones) == 2
    for number in range(3000):
        parse_endpoint_update(
            news(1, {**entry("s1", f"{HOST}:7", zone=f"z{number}"), "type": f"k{number}"}), known
        )
    assert len(known.zones) == len(known.kinds) == endpoints.MAX_DISTINCT_NAMES
    assert known.zone("a") == 0 and known.kind("std") == 0


@pytest.mark.parametrize(
    ("data", "text"),
    [
        ({"index": 1, "snapshot": True}, "KeyError: 'endpoints'"),
        (5, "ListError: no list of endpoints"),
        (news(1, {**entry("s1", f"{HOST}:7"), "since_ms": -1}), "ListError: since_ms is -1"),
        (news(1, entry("s1", "nowhere")), "ValueError: no address: 'nowhere'"),
        (news(1, {"name": "s1"}), "KeyError: 'status'"),
    ],
    ids=["no-entries", "no-list", "negative-start", "no-address", "no-status"],
)
def test_the_text_of_an_unreadable_list_is_that_of_earlier_versions(data, text):
    """Recorded from commit e51ca60: operators look for them in the log and in the line of a failed start."""
    with pytest.raises(EndpointListError) as caught:
        parse_endpoint_update(data, names())
    assert str(caught.value) == text
