"""The processes of a hot restart are one sidecar: what discovery tells one of them is in effect in all."""

import asyncio
import contextlib
import json

import pytest
from helpers import START, endpoint, fire_timers, settings
from net_helpers import (
    HOST,
    FakePeer,
    Sidecar,
    config,
    endpoint_update,
    entry,
    http_response,
    run,
    wait_until,
)

from ochreflow import Balancer
from ochreflow.app.config import read_config
from ochreflow.app.hot_restart import HotRestart
from ochreflow.app.hot_restart_form import Inheritance
from ochreflow.app.inherited import inherited_endpoint_list
from ochreflow.app.sidecar import Sidecar as AppSidecar
from ochreflow.core.limits import MB, Descriptors, Memory, Usage
from ochreflow.membership.list_origin import CACHED, ListOrigin
from ochreflow.policy.interface import ListKind, Membership, State

FIRST, SECOND = ("127.0.0.1", 1), ("127.0.0.1", 2)


class ListingDiscovery:
    """Answers watches when the list changes, and refuses all calls while it is `closed`."""

    def __init__(self, version=1, **statuses):
        self.version, self.statuses = version, statuses
        self.since_ms = dict.fromkeys(statuses, 0)
        self.changed = asyncio.Event()
        self.closed = False

    async def start(self):
        self.peer = await FakePeer(self.answer).start()
        return self

    def listing(self):
        return endpoint_update(self.version, *self.entries())

    def entries(self):
        return [
            entry(name, f"{HOST}:7", status, since_ms=self.since_ms[name])
            for name, status in self.statuses.items()
        ]

    async def answer(self, message, reader, writer):
        while not self.closed and f"after={self.version}&" in message.start_line:
            await self.changed.wait()
        body = json.dumps(self.listing()).encode()
        writer.write(http_response(503, b"") if self.closed else http_response(200, body))

    def change(self, version=None, **statuses):
        self.version = version or self.version + 1
        self.statuses = {**self.statuses, **statuses}
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class Part:
    """One process of a sidecar, in the test's loop."""

    def __init__(self, path, directory, discovery, known):
        self.path, self.directory = path, directory
        self.data = config(known, discovery.peer.address)
        self.sidecar = None

    async def start(self):
        loop = asyncio.get_running_loop()
        usage = Usage(Descriptors(384), Memory(80 * MB))
        self.hot_restart = HotRestart(loop, str(self.directory), usage, self.inheritance)
        await self.hot_restart.start()
        self.sidecar = PartSidecar(self.path, self.data, self.hot_restart)
        self.hot_restart.share_lists(self.sidecar.lists)
        return self

    def inheritance(self):
        if self.sidecar is None:
            return Inheritance(None, None)
        endpoint_list, origin = self.sidecar.lists.snapshot()
        return Inheritance(endpoint_list, None, origin)

    def states(self):
        listed = self.sidecar.engine.endpoints.listed.values()
        return {record.name: record.endpoint.state for record in listed}

    async def shows(self, **states):
        await wait_until(lambda: self.states() == states)

    def close(self):
        self.hot_restart.close()
        self.sidecar.close()


class PartSidecar(Sidecar):
    """A sidecar that starts from the list of another process."""

    def __init__(self, path, data, hot_restart):
        path.write_text(json.dumps(data))
        parsed = read_config(str(path))
        inherited = inherited_endpoint_list(hot_restart.inherited, parsed)
        AppSidecar.__init__(self, asyncio.get_running_loop(), parsed, inherited=inherited)


@contextlib.asynccontextmanager
async def two_processes(tmp_path, old_discovery, new_discovery):
    """Start the old process, which has a list of its discovery, then the new one."""
    known = endpoint_update(1, entry("s1", f"{HOST}:7"), entry("s2", f"{HOST}:7"))
    old = await Part(tmp_path / "old.json", tmp_path, old_discovery, known).start()
    await wait_until(lambda: old.sidecar.lists.origin.resets == 0)
    new = await Part(tmp_path / "new.json", tmp_path, new_discovery, known).start()
    await wait_until(lambda: old.hot_restart.processes == new.hot_restart.processes == 1)
    try:
        yield old, new
    finally:
        new.close()
        old.close()


@pytest.mark.parametrize("told_first", ["old", "new"])
def test_a_change_that_one_process_is_told_is_in_effect_in_the_other(tmp_path, told_first):
    """Guards against a new process whose calls fail and which sends to a drained server (review/9)."""

    async def scenario():
        discovery = await ListingDiscovery(2, s1="SERVING", s2="SERVING").start()
        async with two_processes(tmp_path, discovery, discovery) as (old, new):
            told, other = (old, new) if told_first == "old" else (new, old)
            told.sidecar.discovery.watch(on=True)
            other.sidecar.discovery.close()  # it learns nothing by itself
            discovery.change(s1="DRAINING")
            await other.shows(s1=State.DRAINING, s2=State.READY)
            discovery.change(s1="SERVING", s2="DRAINING")
            await other.shows(s1=State.READY, s2=State.DRAINING)
            discovery.statuses.pop("s2")
            discovery.change()
            await other.shows(s1=State.READY)
            assert other.sidecar.discovery.version == discovery.version

    run(scenario())


def test_a_server_that_returned_under_a_new_start_is_new_in_both_processes(tmp_path):
    async def scenario():
        discovery = await ListingDiscovery(2, s1="SERVING", s2="SERVING").start()
        async with two_processes(tmp_path, discovery, discovery) as (old, new):
            old.sidecar.discovery.watch(on=True)
            new.sidecar.discovery.close()
            servers = new.sidecar.engine.balancer.endpoints.servers
            before = {server: (record.started, record.start_learned_at) for server, record in servers.items()}
            discovery.since_ms["s2"] = 1_700_000_000_000
            discovery.change(s1="SERVING", s2="SERVING")
            ids = new.sidecar.endpoint_ids
            await wait_until(lambda: servers[ids.server("s2")].started != before[ids.server("s2")][0])
            # The other server keeps its start and its warm-up.
            same = servers[ids.server("s1")]
            assert (same.started, same.start_learned_at) == before[ids.server("s1")]

    run(scenario())


def test_an_older_list_undoes_nothing(tmp_path):
    async def scenario():
        discovery = await ListingDiscovery(2, s1="SERVING", s2="SERVING").start()
        async with two_processes(tmp_path, discovery, discovery) as (old, new):
            new.sidecar.discovery.close()
            stale, origin = new.sidecar.lists.snapshot()
            old.sidecar.discovery.watch(on=True)
            discovery.change(s1="DRAINING")
            await new.shows(s1=State.DRAINING, s2=State.READY)
            for part in (old, new):
                part.sidecar.lists.on_shared_list(stale, origin)
                assert part.states()["s1"] is State.DRAINING

    run(scenario())


@pytest.mark.parametrize("moved", ["old", "new"])
def test_a_moved_discovery_is_not_undone_by_the_old_address_and_the_other_process_follows(tmp_path, moved):
    """The versions of the second discovery begin again, below those of the first one."""

    async def scenario():
        first = await ListingDiscovery(50, s1="SERVING", s2="SERVING").start()
        second = await ListingDiscovery(3, s1="DRAINING", s2="SERVING").start()
        async with two_processes(tmp_path, first, first) as (old, new):
            mover = old if moved == "old" else new
            for part in (old, new):
                part.sidecar.discovery.watch(on=True)
            mover.sidecar.lists.switch_address((HOST, second.peer.port))
            first.change(s2="DRAINING")  # told while the list of the second one is still to come
            for part in (old, new):
                await part.shows(s1=State.READY, s2=State.DRAINING)
            mover.sidecar.discovery.watch(on=True)
            for part in (old, new):
                await part.shows(s1=State.DRAINING, s2=State.READY)
            first.change(s1="SERVING")
            await asyncio.sleep(0.2)
            for part in (old, new):
                assert part.states() == {"s1": State.DRAINING, "s2": State.READY}
                assert part.sidecar.discovery.address == (HOST, second.peer.port)
            second.change(s1="SERVING")
            for part in (old, new):
                await part.shows(s1=State.READY, s2=State.READY)

    run(scenario())


def test_a_link_that_breaks_brings_the_change_when_it_is_back(tmp_path):
    async def scenario():
        discovery = await ListingDiscovery(2, s1="SERVING", s2="SERVING").start()
        async with two_processes(tmp_path, discovery, discovery) as (old, new):
            old.sidecar.discovery.watch(on=True)
            new.sidecar.discovery.close()
            for part in (old, new):
                for link in list(part.hot_restart.links):
                    link.close()
            discovery.change(s1="DRAINING")
            await new.shows(s1=State.DRAINING, s2=State.READY)

    run(scenario())


def test_a_process_that_does_not_read_gets_the_latest_list_once_it_does(tmp_path):
    async def scenario():
        discovery = await ListingDiscovery(2, s1="SERVING", s2="SERVING").start()
        async with two_processes(tmp_path, discovery, discovery) as (old, new):
            new.sidecar.discovery.close()
            old.sidecar.discovery.watch(on=True)
            (link,) = old.hot_restart.links
            link.pause_writing()
            written = []
            link.write = written.append
            for status in ("DRAINING", "SERVING", "DRAINING"):
                discovery.change(s1=status)
                await wait_until(lambda: old.sidecar.lists.origin.version == discovery.version)
            assert not any(b'"list"' in line for line in written)
            del link.write
            link.resume_writing()
            await new.shows(s1=State.DRAINING, s2=State.READY)

    run(scenario())


def test_a_silent_process_makes_the_other_poll_soon(tmp_path):
    """A stopped process may have been told what it does not pass on; so may one of an earlier version."""

    async def scenario():
        discovery = await ListingDiscovery(2, s1="SERVING", s2="SERVING").start()
        async with two_processes(tmp_path, discovery, discovery) as (old, new):
            calls = []
            new.sidecar.lists.on_peer_silent = lambda: calls.append("silent")
            await asyncio.sleep(2.0)
            assert not calls  # heartbeats arrive although nothing changes
            old.hot_restart.timer.cancel()
            await wait_until(lambda: calls)

    run(scenario())


@pytest.mark.parametrize("grace_s", [0, 2])
def test_a_new_process_beside_one_of_an_earlier_version_polls_within_two_seconds_and_the_grace(grace_s):
    for seed in range(40):
        balancer = Balancer(
            settings(polling_required=True, fleet_size=200, drain_grace_ns=grace_s * 1_000_000_000), seed
        )
        actions = balancer.handle(START, Membership(ListKind.CACHED, 1, [endpoint(1)]))
        actions += balancer.handle(START, Membership(ListKind.PEER_SILENT, 0, []))
        polled_at = fire_timers(balancer, START, actions, START + 10_000_000_000)[0][0]
        assert polled_at - START <= max(0.5, grace_s) * 1_000_000_000 + 2_000_000


def test_a_process_that_watches_does_not_poll_for_a_silent_one():
    balancer = Balancer(settings(polling_required=True), 1)
    balancer.handle(START, Membership(ListKind.CACHED, 1, [endpoint(1)]))
    balancer.handle(START + 1, Membership(ListKind.FULL, 2, [endpoint(1)]))
    assert not balancer.handle(START + 2, Membership(ListKind.PEER_SILENT, 0, []))


@pytest.mark.parametrize(
    ("newer", "older"),
    [
        (ListOrigin(FIRST, 1, 0, 5), ListOrigin(FIRST, 1, 0, 4)),
        (ListOrigin(FIRST, 1, 0, 5), ListOrigin(FIRST, 9, 0, 4)),  # one address, whoever adopted it first
        (ListOrigin(FIRST, 1, 1, 2), ListOrigin(FIRST, 1, 0, 50)),  # discovery has lost its list
        (ListOrigin(SECOND, 2, 0, 1), ListOrigin(FIRST, 1, 0, 50)),
        (ListOrigin(FIRST, 1, 0, 1), ListOrigin(SECOND, 0, CACHED, 50)),
        (ListOrigin(FIRST, 1, 0, 1), ListOrigin(FIRST, 0, CACHED, 50)),
    ],
)
def test_the_order_of_lists(newer, older):
    assert newer.is_newer_than(older) and not older.is_newer_than(newer)
    assert not newer.is_newer_than(newer)
