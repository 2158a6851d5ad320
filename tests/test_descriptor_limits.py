"""Idle clients hold all that they may while discovery is down: what the sidecar itself needs still goes on.

All of it is played without the gate, which is off unless an operator's file asks for it.
"""

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import threading
from dataclasses import dataclass, field
from itertools import count
from time import monotonic

import pytest
from net_helpers import (
    HOST,
    FakePeer,
    answer_ok,
    config,
    endpoint_update,
    entry,
    http_request,
    http_response,
    read_message,
    reset,
    run,
    send_request,
    wait_until,
)
from test_process import READY, Process

from ochreflow.app.sidecar import system_limit
from ochreflow.core.limits import Descriptors
from ochreflow.http.clients import MAX_EVICTIONS_PER_SWEEP, Clients

pytestmark = pytest.mark.xdist_group("real-time")

LEAST = 256  # descriptors of the least configuration
LEFT = 71  # descriptors that are left to a process of which others hold the rest: half a share and its own
LOWERED = 100  # the limit that is set while clients hold their share of that
CROWD = 300  # idle clients: more than those descriptors
BACK = 0.5  # seconds after which an idle client that was ended comes again
GRACE = 0.5  # seconds, as `config` says it
SLACK = 0.05  # seconds that each limit grows by on real sockets
TOLD_WITHIN = 6.0  # seconds from discovery's return
OPERATORS_WITHIN = 1.0  # seconds
REST = 0.02  # of a core that a sidecar at rest may use beyond what it used without clients; a spin takes all
LOOK = 2.0  # seconds of one look at the processor time
PEAK_EVERY = 0.01  # seconds between looks at the descriptors
HEALTHY = b"GET /healthcheck HTTP/1.1\r\n\r\n"
HALF = b"POST /order/part HTTP/1.1\r\nHost: origin.svc\r\nX-Requ"
CALM = '[clients]\nhead_within = "60s"\nidle = "1h"\n'  # an operator's file: idle clients are left alone


class Idle(asyncio.Protocol):
    """A client that connects, says what it says, and stays until it is ended."""

    def __init__(self, crowd, says):
        self.crowd = crowd
        self.says = says

    def connection_made(self, transport):
        self.transport = transport
        self.crowd.here[self] = None
        self.crowd.came += 1
        if self.says:
            transport.write(self.says)

    def connection_lost(self, exc):
        self.crowd.here.pop(self, None)
        self.crowd.come_again(self.says)


@dataclass
class Crowd:
    """Silent clients, half-written ones and kept ones, by turns; with `again`, who is ended comes again."""

    port: int
    again: bool = True
    came: int = 0
    here: dict = field(default_factory=dict)
    tasks: set = field(default_factory=set)

    def begin(self, says):
        task = asyncio.get_running_loop().create_task(self._connect(says))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def come_again(self, says):
        if self.again:
            asyncio.get_running_loop().call_later(BACK, lambda: self.again and self.begin(says))

    async def _connect(self, says):
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: Idle(self, says), HOST, self.port)
        except OSError:
            self.come_again(says)

    def is_taken_in(self, process):
        """Whether the process holds all that are here: none waits to be accepted, or to hear of its end."""
        here = {one.transport.get_extra_info("sockname")[1] for one in self.here}
        return here == {other for own, other in connections(process).values() if own == process.port}

    async def __aenter__(self):
        for number in range(CROWD):
            self.begin((b"", HALF, READY)[number % 3])
        await wait_until(lambda: self.came >= CROWD)
        return self

    async def __aexit__(self, *_):
        self.again = False
        for task in list(self.tasks):
            task.cancel()
        for one in list(self.here):
            one.transport.abort()


class Discovery:
    """Answers whole lists, and watches once something has changed; can be taken down and brought back."""

    def __init__(self, listed):
        self.listed = listed
        self.changed = asyncio.Event()
        self.fake = FakePeer(self._answer)
        self.writers = set()
        self.told = []  # when the present list was written, each time
        self.port = 0

    async def start(self):
        self.fake.server = await asyncio.start_server(self.fake._serve, HOST, self.port)
        self.port = self.fake.server.sockets[0].getsockname()[1]
        return self

    async def _answer(self, got, reader, writer):
        self.writers.add(writer)
        if f"after={self.listed['index']}&" in got.start_line:
            await self.changed.wait()
        writer.write(http_response(200, json.dumps(self.listed).encode()))
        self.told.append(monotonic())

    def down(self):
        self.fake.server.close()
        for writer in self.writers:
            reset(writer)
        self.writers.clear()

    async def up(self, listed):
        self.listed, self.changed, self.told = listed, asyncio.Event(), []
        await self.start()

    @property
    def address(self):
        return f"{HOST}:{self.port}"


class Server:
    """Answers after some seconds: the quicker of two is the one that is used."""

    def __init__(self, takes):
        self.takes = takes
        self.fake = FakePeer(self._answer)
        self.came = {}  # when each request came, by its id
        self.twice = []

    async def _answer(self, got, reader, writer):
        ident = got.headers["x-request-id"]
        if ident in self.came:
            self.twice.append(ident)
        self.came[ident] = monotonic()
        await asyncio.sleep(self.takes)
        await answer_ok(got, reader, writer)


class Asking:
    """Requests one after another on new connections; `codes` has each answer, None where there was none."""

    def __init__(self, port):
        self.port = port
        self.codes = {}
        self.task = asyncio.get_running_loop().create_task(self._go_on())

    async def _go_on(self):
        for number in count():
            ident = f"{number:016x}"
            self.codes[ident] = None
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                self.codes[ident] = (await send_request(self.port, http_request("order", ident))).code
            await asyncio.sleep(0.02)

    @property
    def answered(self):
        return sum(code == 200 for code in self.codes.values())

    async def go_on(self, times):
        """Wait until so many more have been answered."""
        goal = self.answered + times
        await wait_until(lambda: self.answered >= goal)

    async def end(self):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task


class Stage:
    """Discovery and two servers; the quicker one, which is used most, drains while discovery is down."""

    async def start(self):
        self.stays, self.drains = Server(takes=0.02), Server(takes=0.0)
        for server in (self.stays, self.drains):
            await server.fake.start()
        self.discovery = await Discovery(self.list(1, "SERVING")).start()
        return self

    def list(self, index, status):
        second = entry("b", self.drains.fake.address, status=status)
        return endpoint_update(index, entry("a", self.stays.fake.address), second)

    def config(self, sockets):
        data = config(self.list(1, "SERVING"), self.discovery.address, management=f"{HOST}:0")
        data["limits"]["sockets"] = sockets
        return data

    def all_lived(self, asking):
        """Whether what reached a server did so once and was answered, but for the one cut off at the end."""
        first, second = self.stays, self.drains
        once = not (first.twice or second.twice or first.came.keys() & second.came.keys())
        lost = [ident for ident in first.came.keys() | second.came.keys() if asking.codes[ident] != 200]
        return once and set(lost) <= {max(asking.codes)}

    async def drain_unseen_and_come_back(self, *processes):
        """Discovery is back with the drain in its list: when it came back, once all processes were told."""
        back = monotonic()
        await self.discovery.up(self.list(2, "DRAINING"))
        for process in processes:
            await process.heard(rb"b \(2\) is draining")
        return back

    async def drain_kept(self, back, asking):
        """Whether nothing new came to the draining server after the grace; others go on meanwhile."""
        counts = min(max(self.discovery.told), back + TOLD_WITHIN) + GRACE + SLACK
        await asyncio.sleep(counts - monotonic())
        await asking.go_on(20)
        return max(self.drains.came.values()) <= counts


async def operators_heard(process):
    """Whether the operators' address answers in time, ten times."""
    for _ in range(10):
        async with asyncio.timeout(OPERATORS_WITHIN):
            got = await send_request(process.operators, HEALTHY)
        if got.code != 200:
            return False
    return True


def pid_of(process):
    return process.process.pid


def numbers(process):
    """The descriptors that it holds."""
    return {int(name) for name in os.listdir(f"/proc/{pid_of(process)}/fd")}


def held(*processes):
    """How many descriptors they hold, all together."""
    return sum(len(numbers(process)) for process in processes)


def free(process, limit):
    """The descriptors that it may still take: the system's limit is on their numbers.

    One of before may lie beyond a limit that was lowered since, so their count tells nothing.
    """
    return set(range(limit)) - numbers(process)


def connections(process):
    """Its own port and the other's of each descriptor that is a connection.

    Of one moment, and the system writes its table piece by piece: a condition to wait for.
    """
    with open(f"/proc/{pid_of(process)}/net/tcp") as table:
        rows = [line.split() for line in table][1:]
    ports = {f"socket:[{row[9]}]": tuple(int(end.split(":")[1], 16) for end in row[1:3]) for row in rows}
    found = {}
    for number in numbers(process):
        with contextlib.suppress(FileNotFoundError):  # it was closed since
            own, other = ports.get(os.readlink(f"/proc/{pid_of(process)}/fd/{number}"), (0, 0))
            if other:
                found[number] = own, other
    return found


class Peak:
    """The most descriptors that processes were seen to hold together, from its beginning to its end."""

    def __init__(self, *processes):
        self.processes = processes
        self.most = 0

    async def _look(self):
        while True:
            self.most = max(self.most, held(*self.processes))
            await asyncio.sleep(PEAK_EVERY)

    async def __aenter__(self):
        self.task = asyncio.get_running_loop().create_task(self._look())
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task


async def used(process):
    """The part of a core that it uses at present."""

    def taken():
        with open(f"/proc/{pid_of(process)}/schedstat") as file:
            return int(file.read().split()[0]) / 1e9

    before, began = taken(), monotonic()
    await asyncio.sleep(LOOK)
    return (taken() - before) / (monotonic() - began)


@pytest.mark.parametrize(
    ("said", "system", "file"),
    [(LEAST, LEAST, ""), (LEAST, LEAST, CALM), (1024, LEAST, CALM), (LEAST, 1024, CALM)],
    ids=["as-said", "never-ended", "system-lower", "system-higher"],
)
def test_discoverys_return_is_seen_while_idle_clients_hold_all_they_may(tmp_path, said, system, file):
    """Where the system gave less than the configuration says, clients took all: nobody else was heard."""

    async def play():
        (tmp_path / "o.toml").write_text(file)
        stage = await Stage().start()
        process = Process(tmp_path / "c", stage.config(said), descriptors=system)
        process.arguments = ["--config", str(tmp_path / "o.toml")]
        async with process:
            await wait_until(lambda: stage.discovery.fake.received)
            async with Crowd(process.port), Peak(process) as peak:
                asking = Asking(process.port)
                await asking.go_on(20)
                stage.discovery.down()
                await process.heard(b"discovery failed")
                assert await operators_heard(process)
                await asking.go_on(20)
                await wait_until(lambda: len(stage.drains.came) >= 10)
                back = await stage.drain_unseen_and_come_back(process)
                assert await stage.drain_kept(back, asking)
                assert await operators_heard(process)
                await asking.end()
            assert peak.most < LEAST
            assert stage.all_lived(asking)

    run(play())


def test_so_it_is_while_two_processes_are_one_sidecar(tmp_path):
    async def play():
        stage = await Stage().start()
        folder = tmp_path / "shared"
        folder.mkdir()
        with contextlib.closing(socket.create_server((HOST, 0), backlog=512)) as listening:
            port = listening.getsockname()[1]
            old, new = (
                Process(
                    tmp_path / name,
                    stage.config(LEAST),
                    descriptors=LEAST,
                    inherited=listening,
                    folder=folder,
                )
                for name in ("old", "new")
            )
            async with old, Crowd(port):
                await wait_until(lambda: stage.discovery.fake.received)
                asking = Asking(port)
                stage.discovery.down()
                await old.heard(b"discovery failed")
                async with new:
                    async with Peak(old, new) as peak:
                        for process in (old, new):
                            assert await operators_heard(process)
                        await asking.go_on(20)
                        await wait_until(lambda: len(stage.drains.came) >= 10)
                        back = await stage.drain_unseen_and_come_back(old, new)
                        assert await stage.drain_kept(back, asking)
                    assert peak.most < LEAST
                    old.process.send_signal(signal.SIGTERM)
                    assert await old.process.wait() == 0
                    await asking.go_on(20)
                    assert await operators_heard(new)
                    await asking.end()
            assert stage.all_lived(asking)

    run(play())


def test_clients_that_all_come_in_one_turn_of_the_loop_take_no_descriptor_beyond_their_share(tmp_path):
    """The process is stopped until all of them, an operator and a request wait at its sockets."""

    async def play():
        stage = await Stage().start()
        async with Process(tmp_path / "c", stage.config(LEAST), descriptors=LEAST) as process:
            await wait_until(lambda: stage.discovery.fake.received)
            before = held(process)
            process.process.send_signal(signal.SIGSTOP)
            crowd = [socket.socket() for _ in range(CROWD)]
            for one in crowd:
                one.setblocking(False)
                one.connect_ex((HOST, process.port))
            calls = []
            for port, said in ((process.operators, HEALTHY), (process.port, http_request("order", "a"))):
                calls.append(socket.create_connection((HOST, port)))
                calls[-1].sendall(said)
            peak, over = 0, threading.Event()

            def look():
                nonlocal peak
                while not over.is_set():
                    peak = max(peak, held(process))

            looking = threading.Thread(target=look)
            looking.start()
            process.process.send_signal(signal.SIGCONT)
            for sock in calls:
                reader, writer = await asyncio.open_connection(sock=sock)
                async with asyncio.timeout(OPERATORS_WITHIN):
                    assert (await read_message(reader)).code == 200
                writer.close()
            share = Descriptors(LEAST).max_clients
            await wait_until(lambda: peak > before + share // 2)  # it may not have looked yet
            over.set()
            looking.join()
            assert peak < before + share + 20
            for one in crowd:
                one.close()

    run(play())


class Burdened(Process):
    """A process whose descriptors from `LEFT` on are held from the start, by what it does not know of."""

    def _limit(self):
        super()._limit()
        for number in range(LEFT, self.descriptors):
            os.dup2(0, number)


@pytest.mark.parametrize("short", [False, True], ids=["by-count", "no-descriptor-left"])
def test_a_sidecar_full_of_idle_clients_rests(tmp_path, short):
    """Nobody comes again and nobody is ended, discovery up or down; then with no descriptor at accept."""

    async def play():
        (tmp_path / "o.toml").write_text(CALM)
        stage = await Stage().start()
        # With what is held already, clients may hold more by the count than there is.
        kind = Burdened if short else Process
        process = kind(tmp_path / "c", stage.config(LEAST), descriptors=LEAST)
        process.arguments = ["--config", str(tmp_path / "o.toml")]
        async with process:
            await wait_until(lambda: stage.discovery.fake.received)
            empty = await used(process)
            share = Descriptors(LEAST).max_clients

            def is_full():
                is_most = not free(process, LEAST) if short else len(crowd.here) == share
                return is_most and crowd.is_taken_in(process)

            def of_discovery():
                ports = connections(process).items()
                return {number for number, (_, other) in ports if other == stage.discovery.port}

            async with Crowd(process.port, again=False) as crowd:
                await wait_until(is_full)
                clients = set(crowd.here)
                assert not short or len(clients) < share
                full = await used(process)
                await wait_until(of_discovery)
                calling = of_discovery()
                assert set(crowd.here) == clients
                stage.discovery.down()
                await process.heard(b"discovery failed")
                down = await used(process)
                assert set(crowd.here) == clients and crowd.came == CROWD
                # What its calls held is all that may be free: they are made again, and nobody else comes.
                assert not short or free(process, LEAST) <= calling
                assert max(full, down) < empty + REST, (empty, full, down)
            asking = Asking(process.port)
            await asking.go_on(20)
            await asking.end()

    run(play())


def test_a_limit_lowered_under_idle_clients_leaves_what_operators_and_requests_need(tmp_path):
    """Clients with their share of the old limit held all of the new one: all others were ended at accept.

    What is owed an answer does not give way.
    """

    async def play():
        (tmp_path / "o.toml").write_text(CALM)
        stage = await Stage().start()
        process = Process(tmp_path / "c", stage.config(LEAST), descriptors=LEAST)
        process.arguments = ["--config", str(tmp_path / "o.toml")]

        def taken_in():
            return sum(own == process.port for own, _ in connections(process).values())

        async with process:
            await wait_until(lambda: stage.discovery.fake.received)
            async with Crowd(process.port):
                stage.stays.takes = stage.drains.takes = 2.0
                owed = asyncio.create_task(
                    send_request(process.port, http_request("order", "f" * 16, "30000m"))
                )
                await wait_until(lambda: stage.stays.came or stage.drains.came)
                stage.stays.takes, stage.drains.takes = 0.02, 0.0
                await wait_until(lambda: taken_in() >= Descriptors(LEAST).max_clients)
                assert held(process) > LOWERED
                resource.prlimit(pid_of(process), resource.RLIMIT_NOFILE, (LOWERED, LOWERED))
                await wait_until(
                    lambda: taken_in() <= Descriptors(LOWERED).max_clients, "clients keep what they had"
                )
                async with Peak(process) as peak:
                    assert await operators_heard(process)
                    asking = Asking(process.port)
                    await asking.go_on(20)
                    stage.discovery.down()
                    await process.heard(b"discovery failed")
                    back = await stage.drain_unseen_and_come_back(process)
                    assert await stage.drain_kept(back, asking)
                    assert await operators_heard(process)
                    await asking.end()
                assert peak.most < LOWERED
                assert (await owed).code == 200

    run(play())


class Silent:
    """A client's connection without a socket, which has said nothing."""

    message_begun = head_completed = has_sent_request = paused = idle = closable = known = False
    message_size, host = 0, HOST

    def __init__(self, clients, serving):
        self.clients = clients
        self.serving = serving

    def close(self):
        self.clients.remove(self)


class LatestFirst:
    """A connection admission that lets all in, and by whose rule the latest goes."""

    def admit(self, *_):
        return None

    def connection_closed(self, _):
        pass

    def eviction_candidate(self, _, keys):
        return list(keys)[-1]

    def is_known(self, _, key):
        return key.known


@pytest.mark.parametrize("gate", [None, LatestFirst()], ids=["no-gate", "gate"])
def test_clients_are_cut_down_to_a_smaller_share_in_steps_and_none_that_is_served(gate):
    clients = Clients(Descriptors(LEAST))
    clients.admission = gate
    come = [Silent(clients, serving=number % 10 == 0) for number in range(clients.descriptors.max_clients)]
    for one in come:
        clients.add(one)
    clients.sweep()
    assert list(clients.connections) == come
    clients.descriptors.system_limit = lambda: LOWERED
    clients.sweep()
    assert len(clients.connections) == len(come) - MAX_EVICTIONS_PER_SWEEP
    for _ in range(len(come) // MAX_EVICTIONS_PER_SWEEP):
        clients.sweep()
    share = Descriptors(LOWERED).max_clients
    served, silent = ([one for one in come if one.serving is serving] for serving in (True, False))
    left = share - len(served)
    assert set(clients.connections) == {*served, *(silent[:left] if gate else silent[-left:])}
    for one in served:
        one.serving = False
    clients.sweep()
    assert len(clients.connections) == clients.descriptors.connected == share


def test_no_known_client_gives_way_to_a_connection_that_is_not_accepted_yet():
    """With no descriptor at accept, unknown ones of the same turn are no clients yet: the known one went."""
    clients = Clients(Descriptors(LEAST))
    clients.admission = LatestFirst()
    come = [Silent(clients, serving=False) for _ in range(3)]
    for one in come:
        clients.add(one)
    come[0].known = True
    while clients.evict_for_new_connection():
        pass
    assert list(clients.connections) == [come[0]]
    assert clients.evict_one()  # for what has been taken it does


def test_the_count_goes_by_what_the_system_gives(monkeypatch):
    descriptors = Descriptors(1024)
    descriptors.lower_to(LEAST)
    assert (
        descriptors.limit == Descriptors(LEAST).limit
        and descriptors.max_clients == Descriptors(LEAST).max_clients
    )
    descriptors.lower_to(2 * LEAST)
    assert descriptors.total == LEAST
    monkeypatch.setattr(resource, "getrlimit", lambda _: (300, 400))
    assert system_limit() == 300
    monkeypatch.setattr(resource, "getrlimit", lambda _: (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
    assert system_limit() is None


def test_so_it_is_while_attempts_hold_what_clients_leave(tmp_path):
    """By the count no descriptor is left for another attempt; discovery's calls are not of that count."""

    async def play():
        async def hold(got, reader, writer):
            await go.wait()
            await answer_ok(got, reader, writer)

        go = asyncio.Event()
        share = Descriptors(LEAST).max_clients
        servers = [await FakePeer(hold).start() for _ in range(share)]
        listed = [entry(f"s{number}", server.address) for number, server in enumerate(servers)]
        discovery = await Discovery(endpoint_update(1, *listed)).start()
        data = config(endpoint_update(1, *listed), discovery.address, management=f"{HOST}:0")
        data["limits"]["sockets"] = LEAST
        async with Process(tmp_path / "c", data, descriptors=LEAST) as process:
            await wait_until(lambda: discovery.fake.received)
            ports = {server.port for server in servers}
            asked = [
                asyncio.create_task(
                    send_request(process.port, http_request("order", f"{number:016x}", "30000m"))
                )
                for number in range(share)
            ]
            await wait_until(lambda: sum(len(server.received) for server in servers) == share)

            def held_each():
                """Connections to clients, and attempts."""
                ends = connections(process).values()
                return sum(own == process.port for own, _ in ends), sum(other in ports for _, other in ends)

            await wait_until(lambda: held_each() == (share, share))
            async with Crowd(process.port), Peak(process) as peak:
                discovery.down()
                await process.heard(b"discovery failed")
                assert await operators_heard(process)
                back = monotonic()
                await discovery.up(endpoint_update(2, *listed))
                await wait_until(lambda: discovery.told)
                assert discovery.told[0] - back < TOLD_WITHIN + GRACE + SLACK
                assert await operators_heard(process)
            assert peak.most < LEAST
            go.set()
            assert {(await one).code for one in asked} == {200}

    run(play())
