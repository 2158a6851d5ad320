"""Idle clients use their full share of descriptors while discovery is down.

Guards against a sidecar that then has no descriptors for its own needs: discovery, operators and attempts.
The processes run without connection admission, which is off by default.
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
from ochreflow.core.limits import MB, Descriptors, Memory
from ochreflow.http.accept_throttle import MAX_EVICTIONS_PER_PAUSE
from ochreflow.http.clients import MAX_EVICTIONS_PER_SWEEP, STALE_AFTER_S, Clients

pytestmark = pytest.mark.xdist_group("real-time")

MIN_SOCKETS = 256  # descriptors of the smallest supported configuration
UNOCCUPIED = 71  # descriptors that an `OccupiedProcess` can use: half of the clients' share and its own needs
LOWERED_LIMIT = 100  # descriptors; set while clients use their share of MIN_SOCKETS
IDLE_CLIENT_COUNT = 300  # more than MIN_SOCKETS
RECONNECT_DELAY_S = 0.5  # until an idle client reconnects after its connection was closed
DRAIN_GRACE_S = 0.5  # as in `config`
TIMER_SLACK_S = 0.05  # added to each time limit on real sockets
DISCOVERY_RECOVERY_S = 6.0  # from the restart of discovery until it has sent its list
MANAGEMENT_TIMEOUT_S = 1.0
MAX_IDLE_CPU_SHARE = 0.02  # of a core, in addition to the use without clients; a busy loop uses a whole core
CPU_SAMPLE_S = 2.0  # time over which processor use is measured
PEAK_INTERVAL_S = 0.01  # time between samples of the number of descriptors
HEALTHCHECK = b"GET /healthcheck HTTP/1.1\r\n\r\n"
INCOMPLETE_REQUEST = b"POST /order/part HTTP/1.1\r\nHost: origin.svc\r\nX-Requ"
LONG_TIMEOUTS = '[clients]\nhead_within = "60s"\nidle = "1h"\n'  # idle clients aren't timed out


class IdleClient(asyncio.Protocol):
    """A client that connects, sends `first_data`, and then does nothing until it is disconnected."""

    def __init__(self, group, first_data):
        self.group = group
        self.first_data = first_data

    def connection_made(self, transport):
        self.transport = transport
        self.group.connected[self] = None
        self.group.connection_count += 1
        if self.first_data:
            transport.write(self.first_data)

    def connection_lost(self, exc):
        self.group.connected.pop(self, None)
        self.group.reconnect_later(self.first_data)


@dataclass
class IdleClients:
    """Idle clients that have sent nothing, an incomplete request or a complete one.

    With `reconnects`, a client whose connection is closed connects again.
    """

    port: int
    reconnects: bool = True
    connection_count: int = 0
    connected: dict = field(default_factory=dict)
    tasks: set = field(default_factory=set)

    def start_connecting(self, first_data):
        task = asyncio.get_running_loop().create_task(self._connect(first_data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def reconnect_later(self, first_data):
        if self.reconnects:
            asyncio.get_running_loop().call_later(
                RECONNECT_DELAY_S, lambda: self.reconnects and self.start_connecting(first_data)
            )

    async def _connect(self, first_data):
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: IdleClient(self, first_data), HOST, self.port)
        except OSError:
            self.reconnect_later(first_data)

    def all_accepted_by(self, process):
        """Return whether the process and `connected` agree on which connections are open."""
        ports = {client.transport.get_extra_info("sockname")[1] for client in self.connected}
        return ports == {other for own, other in tcp_connections(process).values() if own == process.port}

    async def __aenter__(self):
        for number in range(IDLE_CLIENT_COUNT):
            self.start_connecting((b"", INCOMPLETE_REQUEST, READY)[number % 3])
        await wait_until(lambda: self.connection_count >= IDLE_CLIENT_COUNT)
        return self

    async def __aexit__(self, *_):
        self.reconnects = False
        for task in list(self.tasks):
            task.cancel()
        for client in list(self.connected):
            client.transport.abort()


class Discovery:
    """Discovery that sends complete lists, after a change in a long poll, and can be stopped and started."""

    def __init__(self, endpoint_list):
        self.endpoint_list = endpoint_list
        self.changed = asyncio.Event()
        self.fake = FakePeer(self._answer)
        self.writers = set()
        self.sent_at = []  # times at which the current list was sent
        self.port = 0

    async def start(self):
        self.fake.server = await asyncio.start_server(self.fake._serve, HOST, self.port)
        self.port = self.fake.server.sockets[0].getsockname()[1]
        return self

    async def _answer(self, got, reader, writer):
        self.writers.add(writer)
        if f"after={self.endpoint_list['index']}&" in got.start_line:
            await self.changed.wait()
        writer.write(http_response(200, json.dumps(self.endpoint_list).encode()))
        self.sent_at.append(monotonic())

    def down(self):
        self.fake.server.close()
        for writer in self.writers:
            reset(writer)
        self.writers.clear()

    async def up(self, endpoint_list):
        self.endpoint_list, self.changed, self.sent_at = endpoint_list, asyncio.Event(), []
        await self.start()

    @property
    def address(self):
        return f"{HOST}:{self.port}"


class Server:
    """Answers after each of `response_times_s` in turn; the faster of two servers gets more requests."""

    def __init__(self, *response_times_s):
        self.response_times_s = response_times_s
        self.fake = FakePeer(self._answer)
        self.arrivals = {}  # time of arrival of each request, by its id
        self.duplicates = []

    async def _answer(self, got, reader, writer):
        request_id = got.headers["x-request-id"]
        if request_id in self.arrivals:
            self.duplicates.append(request_id)
        self.arrivals[request_id] = monotonic()
        await asyncio.sleep(self.response_times_s[len(self.arrivals) % len(self.response_times_s)])
        await answer_ok(got, reader, writer)


class RequestLoop:
    """Sends requests one after another on new connections; a code is None if there was no response."""

    def __init__(self, port):
        self.port = port
        self.codes = {}
        self.task = asyncio.get_running_loop().create_task(self._send_requests())

    async def _send_requests(self):
        for number in count():
            request_id = f"{number:016x}"
            self.codes[request_id] = None
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                self.codes[request_id] = (
                    await send_request(self.port, http_request("order", request_id))
                ).code
            await asyncio.sleep(0.02)

    @property
    def answered(self):
        return sum(code == 200 for code in self.codes.values())

    async def wait_for_responses(self, additional):
        """Wait until `additional` requests more have been answered with 200."""
        goal = self.answered + additional
        await wait_until(lambda: self.answered >= goal)

    async def stop(self):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task


class DrainScenario:
    """Discovery and two servers; the faster one, which is used most, drains while discovery is down."""

    async def start(self):
        # A server that always takes the same time counts as average, like one without a response yet.
        self.remaining_server, self.draining_server = Server(0.02, 0.08), Server(0.0)
        for server in (self.remaining_server, self.draining_server):
            await server.fake.start()
        self.discovery = await Discovery(self.endpoint_list(1, "SERVING")).start()
        return self

    def endpoint_list(self, index, status):
        second = entry("b", self.draining_server.fake.address, status=status)
        return endpoint_update(index, entry("a", self.remaining_server.fake.address), second)

    def sidecar_config(self, sockets):
        data = config(self.endpoint_list(1, "SERVING"), self.discovery.address, management=f"{HOST}:0")
        data["limits"]["sockets"] = sockets
        return data

    def each_request_ran_once_and_was_answered(self, requests):
        """Return whether each request that reached a server did so once and was answered.

        The last one may have been cancelled by the test.
        """
        first, second = self.remaining_server, self.draining_server
        once = not (first.duplicates or second.duplicates or first.arrivals.keys() & second.arrivals.keys())
        failed_ids = [
            request_id
            for request_id in first.arrivals.keys() | second.arrivals.keys()
            if requests.codes[request_id] != 200
        ]
        return once and set(failed_ids) <= {max(requests.codes)}

    async def restart_discovery_with_drain(self, *processes):
        """Restart discovery with the drain in its list, and wait until all processes have logged the drain.

        Return the time of the restart.
        """
        restarted_at = monotonic()
        await self.discovery.up(self.endpoint_list(2, "DRAINING"))
        for process in processes:
            await process.wait_for_log(rb"b \(2\) is draining")
        return restarted_at

    async def drain_is_respected(self, restarted_at, requests):
        """Return whether the draining server got no request after the grace; other requests continue."""
        grace_end = (
            min(max(self.discovery.sent_at), restarted_at + DISCOVERY_RECOVERY_S)
            + DRAIN_GRACE_S
            + TIMER_SLACK_S
        )
        await asyncio.sleep(grace_end - monotonic())
        await requests.wait_for_responses(20)
        return max(self.draining_server.arrivals.values()) <= grace_end


async def management_responds(process):
    """Return whether the management interface answers ten calls in time."""
    for _ in range(10):
        async with asyncio.timeout(MANAGEMENT_TIMEOUT_S):
            got = await send_request(process.management_port, HEALTHCHECK)
        if got.code != 200:
            return False
    return True


def pid_of(process):
    return process.process.pid


def open_descriptors(process):
    """Return the numbers of the descriptors that the process has open."""
    return {int(name) for name in os.listdir(f"/proc/{pid_of(process)}/fd")}


def open_descriptor_count(*processes):
    """Return how many descriptors the processes have open together."""
    return sum(len(open_descriptors(process)) for process in processes)


def free_descriptors(process, limit):
    """Return the numbers of the descriptors that the process may still open, which the system's limit bounds.

    It does not follow from the number of open ones: some may lie beyond a limit that was lowered later.
    """
    return set(range(limit)) - open_descriptors(process)


def tcp_connections(process):
    """Return the local and the remote port of each descriptor that is a TCP connection.

    The system writes its table piece by piece, so one result may be inconsistent: wait for a condition on it.
    """
    with open(f"/proc/{pid_of(process)}/net/tcp") as table:
        rows = [line.split() for line in table][1:]
    ports = {f"socket:[{row[9]}]": tuple(int(end.split(":")[1], 16) for end in row[1:3]) for row in rows}
    found = {}
    for number in open_descriptors(process):
        with contextlib.suppress(FileNotFoundError):  # it has been closed meanwhile
            own, other = ports.get(os.readlink(f"/proc/{pid_of(process)}/fd/{number}"), (0, 0))
            if other:
                found[number] = own, other
    return found


class DescriptorPeak:
    """Samples how many descriptors the processes have open together, and keeps the maximum."""

    def __init__(self, *processes):
        self.processes = processes
        self.maximum = 0

    async def _sample(self):
        while True:
            self.maximum = max(self.maximum, open_descriptor_count(*self.processes))
            await asyncio.sleep(PEAK_INTERVAL_S)

    async def __aenter__(self):
        self.task = asyncio.get_running_loop().create_task(self._sample())
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task


async def cpu_share(process):
    """Return the share of a core that the process uses at present."""

    def cpu_time_s():
        with open(f"/proc/{pid_of(process)}/schedstat") as file:
            return int(file.read().split()[0]) / 1e9

    cpu_time_before, start = cpu_time_s(), monotonic()
    await asyncio.sleep(CPU_SAMPLE_S)
    return (cpu_time_s() - cpu_time_before) / (monotonic() - start)


@pytest.mark.parametrize(
    ("configured", "system", "file"),
    [
        (MIN_SOCKETS, MIN_SOCKETS, ""),
        (MIN_SOCKETS, MIN_SOCKETS, LONG_TIMEOUTS),
        (1024, MIN_SOCKETS, LONG_TIMEOUTS),
        (MIN_SOCKETS, 1024, LONG_TIMEOUTS),
    ],
    ids=["as-configured", "no-timeouts", "system-lower", "system-higher"],
)
def test_discovery_recovery_is_noticed_while_idle_clients_use_their_whole_share(
    tmp_path, configured, system, file
):
    """Guards against clients that use all descriptors if the system's limit is below the configured one."""

    async def run_scenario_steps():
        (tmp_path / "o.toml").write_text(file)
        scenario = await DrainScenario().start()
        process = Process(tmp_path / "c", scenario.sidecar_config(configured), descriptors=system)
        process.arguments = ["--config", str(tmp_path / "o.toml")]
        async with process:
            await wait_until(lambda: scenario.discovery.fake.received)
            async with IdleClients(process.port), DescriptorPeak(process) as peak:
                requests = RequestLoop(process.port)
                await requests.wait_for_responses(20)
                scenario.discovery.down()
                await process.wait_for_log(b"discovery failed")
                assert await management_responds(process)
                await requests.wait_for_responses(20)
                await wait_until(lambda: len(scenario.draining_server.arrivals) >= 10)
                restarted_at = await scenario.restart_discovery_with_drain(process)
                assert await scenario.drain_is_respected(restarted_at, requests)
                assert await management_responds(process)
                await requests.stop()
            assert peak.maximum < MIN_SOCKETS
            assert scenario.each_request_ran_once_and_was_answered(requests)

    run(run_scenario_steps())


def test_discovery_recovery_is_noticed_by_two_processes_of_one_sidecar(tmp_path):
    async def run_scenario_steps():
        scenario = await DrainScenario().start()
        shared_dir = tmp_path / "shared"
        shared_dir.mkdir()
        with contextlib.closing(socket.create_server((HOST, 0), backlog=512)) as listening:
            port = listening.getsockname()[1]
            old, new = (
                Process(
                    tmp_path / name,
                    scenario.sidecar_config(MIN_SOCKETS),
                    descriptors=MIN_SOCKETS,
                    inherited=listening,
                    shared_dir=shared_dir,
                )
                for name in ("old", "new")
            )
            async with old, IdleClients(port):
                await wait_until(lambda: scenario.discovery.fake.received)
                requests = RequestLoop(port)
                scenario.discovery.down()
                await old.wait_for_log(b"discovery failed")
                async with new:
                    async with DescriptorPeak(old, new) as peak:
                        for process in (old, new):
                            assert await management_responds(process)
                        await requests.wait_for_responses(20)
                        await wait_until(lambda: len(scenario.draining_server.arrivals) >= 10)
                        restarted_at = await scenario.restart_discovery_with_drain(old, new)
                        assert await scenario.drain_is_respected(restarted_at, requests)
                    assert peak.maximum < MIN_SOCKETS
                    old.process.send_signal(signal.SIGTERM)
                    assert await old.process.wait() == 0
                    await requests.wait_for_responses(20)
                    assert await management_responds(new)
                    await requests.stop()
            assert scenario.each_request_ran_once_and_was_answered(requests)

    run(run_scenario_steps())


def test_clients_that_connect_in_one_loop_iteration_stay_within_their_share(tmp_path):
    """The process is stopped until all clients, a management call and a request wait at its sockets."""

    async def run_scenario_steps():
        scenario = await DrainScenario().start()
        async with Process(
            tmp_path / "c", scenario.sidecar_config(MIN_SOCKETS), descriptors=MIN_SOCKETS
        ) as process:
            await wait_until(lambda: scenario.discovery.fake.received)
            before = open_descriptor_count(process)
            process.process.send_signal(signal.SIGSTOP)
            idle_clients = [socket.socket() for _ in range(IDLE_CLIENT_COUNT)]
            for client in idle_clients:
                client.setblocking(False)
                client.connect_ex((HOST, process.port))
            calls = []
            for port, call in (
                (process.management_port, HEALTHCHECK),
                (process.port, http_request("order", "a")),
            ):
                calls.append(socket.create_connection((HOST, port)))
                calls[-1].sendall(call)
            peak, sampling_ended = 0, threading.Event()

            def sample():
                nonlocal peak
                while not sampling_ended.is_set():
                    peak = max(peak, open_descriptor_count(process))

            sampler = threading.Thread(target=sample)
            sampler.start()
            process.process.send_signal(signal.SIGCONT)
            for sock in calls:
                reader, writer = await asyncio.open_connection(sock=sock)
                async with asyncio.timeout(MANAGEMENT_TIMEOUT_S):
                    assert (await read_message(reader)).code == 200
                writer.close()
            share = Descriptors(MIN_SOCKETS).max_clients
            await wait_until(lambda: peak > before + share // 2)  # the sampler may not have run yet
            sampling_ended.set()
            sampler.join()
            assert peak < before + share + 20
            for client in idle_clients:
                client.close()

    run(run_scenario_steps())


class OccupiedProcess(Process):
    """A process whose descriptors from `UNOCCUPIED` on are occupied at its start, which it does not count."""

    def _limit(self):
        super()._limit()
        for number in range(UNOCCUPIED, self.descriptors):
            os.dup2(0, number)


@pytest.mark.parametrize("without_descriptors", [False, True], ids=["by-count", "no-free-descriptor"])
def test_a_sidecar_full_of_idle_clients_uses_hardly_any_processor_time(tmp_path, without_descriptors):
    """Guards against a busy loop while no client connects or is closed, with discovery up and down.

    In the second case accept() has failed because no descriptor was free, and some clients were closed.
    """

    async def run_scenario_steps():
        (tmp_path / "o.toml").write_text(LONG_TIMEOUTS)
        scenario = await DrainScenario().start()
        # With occupied descriptors, the process allows clients more descriptors than there are.
        process_class = OccupiedProcess if without_descriptors else Process
        process = process_class(tmp_path / "c", scenario.sidecar_config(MIN_SOCKETS), descriptors=MIN_SOCKETS)
        process.arguments = ["--config", str(tmp_path / "o.toml")]
        async with process:
            await wait_until(lambda: scenario.discovery.fake.received)
            empty = await cpu_share(process)
            share = Descriptors(MIN_SOCKETS).max_clients

            def is_full():
                at_limit = (
                    len(free_descriptors(process, MIN_SOCKETS)) <= MAX_EVICTIONS_PER_PAUSE
                    if without_descriptors
                    else len(idle_clients.connected) == share
                )
                return at_limit and idle_clients.all_accepted_by(process)

            def discovery_descriptors():
                ports = tcp_connections(process).items()
                return {number for number, (_, other) in ports if other == scenario.discovery.port}

            async with IdleClients(process.port, reconnects=False) as idle_clients:
                if without_descriptors:
                    await process.wait_for_log(b"accepting paused")
                await wait_until(is_full)
                clients = set(idle_clients.connected)
                assert not without_descriptors or len(clients) < share
                free = free_descriptors(process, MIN_SOCKETS)  # of the clients that were closed
                full = await cpu_share(process)
                await wait_until(discovery_descriptors)
                polling = discovery_descriptors()
                assert set(idle_clients.connected) == clients
                scenario.discovery.down()
                await process.wait_for_log(b"discovery failed")
                down = await cpu_share(process)
                assert (
                    set(idle_clients.connected) == clients
                    and idle_clients.connection_count == IDLE_CLIENT_COUNT
                )
                # Of the others only those of calls to discovery may be free, between retries.
                assert not without_descriptors or free_descriptors(process, MIN_SOCKETS) <= polling | free
                assert max(full, down) < empty + MAX_IDLE_CPU_SHARE, (empty, full, down)
            requests = RequestLoop(process.port)
            await requests.wait_for_responses(20)
            await requests.stop()

    run(run_scenario_steps())


def test_a_lowered_limit_evicts_idle_clients_and_leaves_room_for_operators_and_requests(tmp_path):
    """Guards against clients that keep their share of the old limit and so use all of the new, lower one.

    All other connections would be closed at accept. A connection that waits for its response is not evicted.
    """

    async def run_scenario_steps():
        (tmp_path / "o.toml").write_text(LONG_TIMEOUTS)
        scenario = await DrainScenario().start()
        process = Process(tmp_path / "c", scenario.sidecar_config(MIN_SOCKETS), descriptors=MIN_SOCKETS)
        process.arguments = ["--config", str(tmp_path / "o.toml")]

        def accepted_count():
            return sum(own == process.port for own, _ in tcp_connections(process).values())

        async with process:
            await wait_until(lambda: scenario.discovery.fake.received)
            async with IdleClients(process.port):
                scenario.remaining_server.response_times_s = (2.0,)
                scenario.draining_server.response_times_s = (2.0,)
                pending = asyncio.create_task(
                    send_request(process.port, http_request("order", "f" * 16, "30000m"))
                )
                await wait_until(
                    lambda: scenario.remaining_server.arrivals or scenario.draining_server.arrivals
                )
                scenario.remaining_server.response_times_s = (0.02,)
                scenario.draining_server.response_times_s = (0.0,)
                await wait_until(lambda: accepted_count() >= Descriptors(MIN_SOCKETS).max_clients)
                assert open_descriptor_count(process) > LOWERED_LIMIT
                resource.prlimit(pid_of(process), resource.RLIMIT_NOFILE, (LOWERED_LIMIT, LOWERED_LIMIT))
                await wait_until(
                    lambda: accepted_count() <= Descriptors(LOWERED_LIMIT).max_clients,
                    "idle clients were not evicted",
                )
                async with DescriptorPeak(process) as peak:
                    assert await management_responds(process)
                    requests = RequestLoop(process.port)
                    await requests.wait_for_responses(20)
                    scenario.discovery.down()
                    await process.wait_for_log(b"discovery failed")
                    restarted_at = await scenario.restart_discovery_with_drain(process)
                    assert await scenario.drain_is_respected(restarted_at, requests)
                    assert await management_responds(process)
                    await requests.stop()
                assert peak.maximum < LOWERED_LIMIT
                assert (await pending).code == 200

    run(run_scenario_steps())


class SilentConnection:
    """A client connection without a socket, on which nothing has been received."""

    message_begun = head_completed = has_sent_request = paused = idle = closable = known = False
    message_size, host = 0, HOST

    def __init__(self, clients, serving):
        self.clients = clients
        self.serving = serving

    def close(self):
        self.clients.remove(self)


class EvictLatestFirst:
    """A connection admission that admits all connections and evicts the latest one first."""

    def admit(self, *_):
        return None

    def connection_closed(self, _):
        pass

    def eviction_candidate(self, _, keys):
        return list(keys)[-1]

    def is_known(self, _, key):
        return key.known


@pytest.mark.parametrize("admission", [None, EvictLatestFirst()], ids=["no-admission", "admission"])
def test_idle_clients_are_evicted_in_steps_down_to_a_smaller_share(admission):
    clients = Clients(Descriptors(MIN_SOCKETS), Memory(192 * MB))
    clients.admission = admission
    connections = [
        SilentConnection(clients, serving=number % 10 == 0)
        for number in range(clients.descriptors.max_clients)
    ]
    for connection in connections:
        clients.add(connection)
    clients.sweep()
    assert list(clients.connections) == connections
    clients.descriptors.system_limit = lambda: LOWERED_LIMIT
    clients.sweep()
    assert len(clients.connections) == len(connections) - MAX_EVICTIONS_PER_SWEEP
    for _ in range(len(connections) // MAX_EVICTIONS_PER_SWEEP):
        clients.sweep()
    share = Descriptors(LOWERED_LIMIT).max_clients
    served, silent = (
        [connection for connection in connections if connection.serving is serving]
        for serving in (True, False)
    )
    free_share = share - len(served)
    assert set(clients.connections) == {
        *served,
        *(silent[:free_share] if admission else silent[-free_share:]),
    }
    for connection in served:
        connection.serving = False
    clients.sweep()
    assert len(clients.connections) == clients.descriptors.connected == share


def test_no_known_client_is_evicted_for_a_connection_that_is_not_accepted_yet():
    """Guards against the eviction of a known client when accept() fails because no descriptor is free.

    Unknown connections of the same loop iteration are not clients yet, so the known one was evicted.
    """
    clients = Clients(Descriptors(MIN_SOCKETS), Memory(192 * MB))
    clients.admission = EvictLatestFirst()
    connections = [SilentConnection(clients, serving=False) for _ in range(3)]
    for connection in connections:
        clients.add(connection)
    connections[0].known = True
    assert not clients.evict_for_new_connection()  # their first requests may be in flight
    for connection in connections:
        clients.last_received[connection] -= STALE_AFTER_S
    while clients.evict_for_new_connection():
        pass
    assert list(clients.connections) == [connections[0]]
    assert clients.evict_one()  # for a connection that has been accepted it is evicted


def test_the_message_that_has_stalled_longest_gives_way_where_memory_is_short():
    clients = Clients(Descriptors(MIN_SOCKETS), Memory(192 * MB))
    expired = []
    connections = [SilentConnection(clients, serving=False) for _ in range(4)]
    for connection in connections:
        connection.message_size, connection.parsing = 1000, False
        connection.expire = lambda connection=connection: expired.append(connection)
        clients.add(connection)
    assert not clients.end_stalled_message()  # none has stalled
    for connection in connections[:3]:
        clients.last_received[connection] -= STALE_AFTER_S
    connections[0].parsing = True
    connections[1].paused = True  # by the sidecar
    assert clients.memory.evictors == [clients.end_stalled_message]
    assert clients.end_stalled_message() and not clients.end_stalled_message()
    assert expired == [connections[2]]


def test_descriptors_are_lowered_to_the_limit_of_the_system(monkeypatch):
    descriptors = Descriptors(1024)
    descriptors.lower_to(MIN_SOCKETS)
    assert (
        descriptors.limit == Descriptors(MIN_SOCKETS).limit
        and descriptors.max_clients == Descriptors(MIN_SOCKETS).max_clients
    )
    descriptors.lower_to(2 * MIN_SOCKETS)
    assert descriptors.total == MIN_SOCKETS
    monkeypatch.setattr(resource, "getrlimit", lambda _: (300, 400))
    assert system_limit() == 300
    monkeypatch.setattr(resource, "getrlimit", lambda _: (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
    assert system_limit() is None


def test_discovery_recovery_is_noticed_while_attempts_use_the_remaining_descriptors(tmp_path):
    """Guards against calls to discovery without descriptors while attempts use all that the count allows."""

    async def scenario():
        async def wait_for_release(got, reader, writer):
            await release.wait()
            await answer_ok(got, reader, writer)

        release = asyncio.Event()
        share = Descriptors(MIN_SOCKETS).max_clients
        servers = [await FakePeer(wait_for_release).start() for _ in range(share)]
        entries = [entry(f"s{number}", server.address) for number, server in enumerate(servers)]
        discovery = await Discovery(endpoint_update(1, *entries)).start()
        data = config(endpoint_update(1, *entries), discovery.address, management=f"{HOST}:0")
        data["limits"]["sockets"] = MIN_SOCKETS
        async with Process(tmp_path / "c", data, descriptors=MIN_SOCKETS) as process:
            await wait_until(lambda: discovery.fake.received)
            ports = {server.port for server in servers}
            responses = [
                asyncio.create_task(
                    send_request(process.port, http_request("order", f"{number:016x}", "30000m"))
                )
                for number in range(share)
            ]
            await wait_until(lambda: sum(len(server.received) for server in servers) == share)

            def connection_counts():
                """Return the number of connections from clients and of those to servers."""
                ends = tcp_connections(process).values()
                return sum(own == process.port for own, _ in ends), sum(other in ports for _, other in ends)

            await wait_until(lambda: connection_counts() == (share, share))
            async with IdleClients(process.port), DescriptorPeak(process) as peak:
                discovery.down()
                await process.wait_for_log(b"discovery failed")
                assert await management_responds(process)
                restarted_at = monotonic()
                await discovery.up(endpoint_update(2, *entries))
                await wait_until(lambda: discovery.sent_at)
                assert (
                    discovery.sent_at[0] - restarted_at < DISCOVERY_RECOVERY_S + DRAIN_GRACE_S + TIMER_SLACK_S
                )
                assert await management_responds(process)
            assert peak.maximum < MIN_SOCKETS
            release.set()
            assert {(await response).code for response in responses} == {200}

    run(scenario())
