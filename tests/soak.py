"""A soak of sidecar processes: signals, failing discovery, drains and restarts, up to SIGKILL.

Each seed draws one run of about 20 s: deadlines, the drain grace, how servers and discovery fail, when SIGHUP
comes in series, whether idle clients crowd the descriptors, or others the least memory that a sidecar may
have (`crowd.py`). At the end SIGTERM is sent, clients go on using
their open connections, and SIGKILL follows at the earliest time that the protocol allows. The checks are
those of the protocol: each request gets one final answer in time, none that may not be repeated is, no new
work goes to a draining server after its grace, and the process neither crashes nor logs an internal error. A
copy follows some responses, and the real response some errors: no client gets either for another request.

    PYTHONPATH=.:tests python tests/soak.py --first 1000 --seeds 60 --jobs 6
"""

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import crowd
import uvloop
from net_helpers import (
    HOST,
    MS,
    FakePeer,
    config,
    endpoint_update,
    entry,
    http_request,
    http_response,
    read_message,
    reset,
)
from test_process import Process

SLACK_S = 0.05  # the protocol's tolerance for every limit
LOST_AFTER_S = 0.5  # an answer that is later than its deadline by more counts as lost
NOTIFIED_IN_S = 6.0  # a change counts as notified after this time
NOTIFIED_AFTER_SIGNAL_S = 4.0  # what discovery has counts as notified this long after SIGHUP
MAX_DEADLINE_S = 3.0  # a longer deadline delays SIGKILL by this time only
KILL_AFTER_DEADLINE_S = 0.7
EVENTS_S = 16.0  # from the start to SIGTERM
CLIENTS = 10
CROWD = 200  # idle connections
CROWD_DESCRIPTORS = 256
HEAVY_CROWD_SHARE = 0.3  # of the runs without a crowd of idle clients
HEAVY_CROWD = 300  # clients that make the process hold memory
LEAST_MEMORY_MB = 32
# What they do; none keeps requests open at servers, which the decision module would take for overload.
HEAVY_ROWS = (
    "heads of 250 fields of 120 bytes",
    "heads of one line",
    "heads that come slowly",
    "bodies at 64 kB a second",
    "halves of bodies in chunks",
    "bodies that are almost complete",
)
LAG_INTERVAL_S = 0.01
CLASSES = ("lookup", "hold", "order")
UNSAFE = "order"
# What a server does with a request, and how often.
SERVER_BEHAVIOURS = {"serve": 0.9, "slow": 0.05, "reject": 0.03, "error": 0.01, "reset": 0.005, "hang": 0.005}
# How a call to discovery fails; at most two calls in a row fail, and only one of them slowly.
CALL_FAILURES = ("503", "reset", "late 503")
LATE_S = 2.0
SECOND_RESPONSE_SHARE = 0.1  # of the responses, a copy follows
RESPONSE_AFTER_ERROR_S = (0.06, 0.2)  # later than the settling time of an idle connection
SECOND_RESPONSE_AFTER_S = (0.002, 0.008)
MAX_SECOND_RESPONSE_AFTER_S = 0.03  # not sent later, when this program is too slow


@dataclass
class Attempt:
    """An attempt that a server has read whole."""

    server: str
    received_at: float
    never_ran: bool = False


@dataclass
class Record:
    """What clients and servers saw of one run, and the rules that it broke."""

    results: Counter = field(default_factory=Counter)
    attempts: dict[str, list[Attempt]] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    max_lag_s: float = 0.0  # greatest delay of this program's own loop


class Server:
    """A fake server; `told_at` says since when its drain counts as notified."""

    def __init__(self, name, run):
        self.name, self.run = name, run
        self.status, self.since_ms = "SERVING", 0
        self.drained_at = self.told_at = float("inf")

    async def start(self):
        self.peer = await FakePeer(self.serve).start()
        return self

    def entry(self):
        return entry(self.name, self.peer.address, self.status, self.since_ms)

    def drain(self, now):
        self.status, self.drained_at, self.told_at = "DRAINING", now, now + NOTIFIED_IN_S

    def restart(self):
        self.status, self.since_ms = "SERVING", int(time.time() * 1000)
        self.drained_at = self.told_at = float("inf")

    async def serve(self, message, reader, writer):
        run = self.run
        now = run.loop.time()
        attempt = Attempt(self.name, now)
        run.record.attempts.setdefault(message.headers["x-request-id"], []).append(attempt)
        if now > self.told_at + run.grace_s + SLACK_S + run.record.max_lag_s:
            late_s = now - self.told_at - run.grace_s
            run.record.violations.append(f"drain: {self.name} got new work {late_s:.3f} s after its grace")
        behaviour = run.rng.choices([*SERVER_BEHAVIOURS], [*SERVER_BEHAVIOURS.values()])[0]
        if behaviour == "slow":
            await asyncio.sleep(run.rng.uniform(0.0, 1.2 * run.deadline_s))
        if behaviour == "hang":
            await reader.read()
        elif behaviour == "reset":
            reset(writer)
        elif behaviour == "reject":
            attempt.never_ran = True
            writer.write(http_response(503, b"", "X-Not-Run: 1"))
        elif behaviour == "error":
            writer.write(http_response(500, b""))
            run.loop.create_task(self.respond_after_error(writer, message))
        else:
            response = served_response(message)
            writer.write(response)
            if run.copy_rng.random() < SECOND_RESPONSE_SHARE:
                run.loop.create_task(self.send_copy(writer, response))

    async def send_copy(self, writer, response):
        """Send a second response, as if it had crossed any request that has come meanwhile."""
        answered_at = self.run.loop.time()
        await asyncio.sleep(self.run.copy_rng.uniform(*SECOND_RESPONSE_AFTER_S))
        if self.run.loop.time() - answered_at < MAX_SECOND_RESPONSE_AFTER_S and not writer.is_closing():
            writer.write(response)
            self.run.record.results["copies"] += 1

    async def respond_after_error(self, writer, message):
        """Send the response to a request that an error seemed to answer, as if it had only crossed it."""
        await asyncio.sleep(self.run.copy_rng.uniform(*RESPONSE_AFTER_ERROR_S))
        if not writer.is_closing():
            writer.write(served_response(message))
            self.run.record.results["responses after errors"] += 1


def served_response(message):
    return http_response(200, served_body(message.headers["x-request-id"], message.body))


def served_body(request_id, body):
    return f"served {request_id} ".encode() + body


class Discovery:
    """Discovery at one address; its first calls fail, and watches may be reset."""

    def __init__(self, run, failures):
        self.run, self.failures = run, failures
        self.watches = set()

    async def start(self):
        self.peer = await FakePeer(self.answer).start()
        return self

    async def answer(self, message, reader, writer):
        if self.failures:
            failure = self.failures.pop()
            if failure == "late 503":
                await asyncio.sleep(LATE_S)
            if failure == "reset":
                reset(writer)
            else:
                writer.write(http_response(503, b""))
            return
        if f"after={self.run.index}&" in message.start_line:
            changed = self.run.changed
            self.watches.add(writer)
            await changed.wait()
            self.watches.discard(writer)
        if writer.is_closing() or reader.at_eof():
            return  # the sidecar has left: nothing is told
        entries = [server.entry() for server in self.run.servers]
        writer.write(http_response(200, json.dumps(endpoint_update(self.run.index, *entries)).encode()))
        for server in self.run.servers:
            if server.status == "DRAINING":
                server.told_at = min(server.told_at, self.run.loop.time())

    def reset_watches(self):
        for writer in self.watches:
            reset(writer)
        self.watches.clear()


class Run:
    """One run, drawn from its seed."""

    def __init__(self, seed):
        self.seed, self.rng = seed, random.Random(seed)
        self.copy_rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.record = Record()
        self.deadline_s = self.rng.choice((0.3, 1.0, 3.0))
        self.grace_s = self.rng.choice((0.5, 2.5))
        self.crowded = self.rng.random() < 0.25
        self.heavily_crowded = not self.crowded and random.Random(seed).random() < HEAVY_CROWD_SHARE
        self.changed, self.index = asyncio.Event(), 1
        self.next_request = 0
        self.unsafe_ids = set()
        self.calls_fail_from = 0.0
        self.terminated_at = float("inf")
        self.ended = False

    async def play(self, directory):
        """Play the run and return its record."""
        self.servers = [await Server(f"s{n}", self).start() for n in range(self.rng.randrange(3, 7))]
        self.discovery = await Discovery(self, []).start()
        path = Path(directory) / f"{self.seed}.json"
        self.data = self.configuration()
        tasks = [asyncio.create_task(self.watch_lag())]
        async with Process(path, self.data) as self.sidecar:
            tasks += [asyncio.create_task(self.client()) for _ in range(CLIENTS)]
            if self.crowded:
                tasks += [asyncio.create_task(self.idle_client()) for _ in range(CROWD)]
            heavy_crowd = crowd.Crowd(self.sidecar, None)
            if self.heavily_crowded:
                heavy_crowd.start(HEAVY_ROWS, HEAVY_CROWD)
            await self.events()
            self.check_memory()
            await self.terminate()
            self.ended = True
            if self.heavily_crowded:
                await heavy_crowd.stop()
            lines = await self.sidecar.all_lines()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        faults = [line for line in lines if line.startswith(b"ERROR") or b"Traceback" in line]
        self.record.violations += [f"log: {line.decode().strip()}" for line in faults]
        self.check_repeats()
        return self.record

    def configuration(self):
        entries = [server.entry() for server in self.servers]
        data = config(endpoint_update(0, *entries), self.discovery.peer.address, seed=f"{self.seed:016x}")
        data["settings"]["rules"]["drain-grace-ns"] = int(self.grace_s * 1e9)
        data["settings"]["fleet-size"] = self.rng.choice((1, 5, 30))
        for request_class in data["settings"]["classes"]:
            request_class["deadline-ns"] = int(self.deadline_s * 1000) * MS
        if self.crowded:
            data["limits"]["sockets"] = CROWD_DESCRIPTORS
        if self.heavily_crowded:
            data["limits"]["memory_mb"] = LEAST_MEMORY_MB
        return data

    def check_memory(self):
        """Check that the process has never been over its limit."""
        peak_mb, limit_mb = crowd.resident_mb(self.sidecar.process.pid), self.data["limits"]["memory_mb"]
        if peak_mb > limit_mb:
            self.record.violations.append(f"memory: {peak_mb:.1f} of {limit_mb} MB")

    async def watch_lag(self):
        while True:
            begin = self.loop.time()
            await asyncio.sleep(LAG_INTERVAL_S)
            lag_s = self.loop.time() - begin - LAG_INTERVAL_S
            self.record.max_lag_s = max(self.record.max_lag_s, lag_s)

    # Events

    async def events(self):
        begin = self.loop.time()
        while self.loop.time() < begin + EVENTS_S:
            event = self.rng.choice((self.signal_in_series, self.drain, self.restart, self.reset_watches))
            await event()
            await asyncio.sleep(self.rng.choice((0.05, 0.5, 2.0)))
            assert self.sidecar.process.returncode is None, "the process has crashed"

    async def signal_in_series(self):
        """Move discovery with SIGHUP, once or several times; the calls to the last address fail at first."""
        count = self.rng.choice((1, 2, 6))
        for number in range(1, count + 1):
            failures = self.draw_failures() if number == count else []
            old, self.discovery = self.discovery, await Discovery(self, failures).start()
            self.sidecar.path.write_text(json.dumps({**self.data, "discovery": self.discovery.peer.address}))
            self.sidecar.process.send_signal(signal.SIGHUP)
            old.peer.server.close()
            if number < count:
                await asyncio.sleep(self.rng.uniform(0.02, 0.6))
        for server in self.servers:
            if server.status == "DRAINING":
                server.told_at = min(server.told_at, self.loop.time() + NOTIFIED_AFTER_SIGNAL_S)

    def draw_failures(self):
        """Draw how the next calls fail; more failures within the time of one notification are not drawn."""
        if self.loop.time() < self.calls_fail_from:
            return []
        self.calls_fail_from = self.loop.time() + NOTIFIED_IN_S + self.grace_s
        failures = self.rng.choices(CALL_FAILURES, k=self.rng.randrange(3))
        return ["503" if number and kind == "late 503" else kind for number, kind in enumerate(failures)]

    async def drain(self):
        serving = [server for server in self.servers if server.status == "SERVING"]
        if len(serving) > 1:
            self.rng.choice(serving).drain(self.loop.time())
            self.notify()

    async def restart(self):
        draining = [server for server in self.servers if server.status == "DRAINING"]
        if draining:
            self.rng.choice(draining).restart()
            self.notify()

    async def reset_watches(self):
        self.discovery.failures = self.draw_failures()
        self.discovery.reset_watches()

    def notify(self):
        self.index += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def terminate(self):
        """Send SIGTERM, then SIGKILL at the earliest time that the protocol allows."""
        self.terminated_at = self.loop.time()
        self.sidecar.process.send_signal(signal.SIGTERM)
        kill_after_s = min(self.deadline_s, MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S
        try:
            async with asyncio.timeout(kill_after_s):
                code = await self.sidecar.process.wait()
            if code:
                self.record.violations.append(f"the process ended with exit code {code}")
        except TimeoutError:
            self.record.violations.append("the process did not end before SIGKILL")
            self.sidecar.process.kill()
            await self.sidecar.process.wait()

    # Clients

    async def client(self):
        """Send requests one after another on a kept connection, and reconnect when it is closed."""
        connection = None
        while not self.ended:
            if connection is None:
                try:
                    connection = await asyncio.open_connection(HOST, self.sidecar.port)
                except OSError:
                    await asyncio.sleep(0.02)
                    continue
            if not await self.request(*connection):
                connection[1].close()
                connection = None
            await asyncio.sleep(self.rng.expovariate(25.0))

    async def request(self, reader, writer):
        """Send one request; return whether the connection can be used again."""
        self.next_request += 1
        request_id = f"{self.seed:06x}{self.next_request:010x}"
        class_name = self.rng.choice(CLASSES)
        body = b"x" * self.rng.choice((0, 20, 5000)) if class_name != "lookup" else b""
        if class_name == UNSAFE:
            self.unsafe_ids.add(request_id)
        sent_at = self.loop.time()
        try:
            async with asyncio.timeout(self.deadline_s + LOST_AFTER_S + SLACK_S):
                writer.write(http_request(class_name, request_id, f"{int(self.deadline_s * 1000)}m", body))
                response = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record.results["closed"] += 1
            # A close may cross a request that has not been read, but not one that was forwarded.
            if request_id in self.record.attempts:
                self.lost(request_id, f"its connection ended: {type(error).__name__}", sent_at)
            return False
        except TimeoutError:
            self.lost(request_id, "no answer", sent_at)
            return False
        self.record.results[class_name, response.code] += 1
        if response.code == 200 and response.body != served_body(request_id, body):
            self.record.violations.append(f"{request_id}: another request's answer")
        return response.headers.get("connection") != "close"

    def lost(self, request_id, reason, sent_at):
        if self.record.max_lag_s > LOST_AFTER_S:
            return  # this program itself may have been too slow
        after_s = sent_at - self.terminated_at
        self.record.violations.append(f"lost: {request_id}, {reason}, sent {after_s:.3f} s after SIGTERM")

    async def idle_client(self):
        """Hold a connection open and send nothing; connect again when it is closed."""
        while not self.ended:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, self.sidecar.port)
                await reader.read()
                writer.close()
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    def check_repeats(self):
        """Check that no unsafe request was sent again after an attempt that may have run."""
        for request_id in self.unsafe_ids & self.record.attempts.keys():
            if not all(attempt.never_ran for attempt in self.record.attempts[request_id][:-1]):
                self.record.violations.append(f"duplicate: {request_id}")


def play(seed):
    """Play one run and return its record."""

    async def bounded():
        with tempfile.TemporaryDirectory() as directory:
            return await Run(seed).play(directory)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(bounded())


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=4, help="runs at a time")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    total, broken = Counter(), []
    with ProcessPoolExecutor(options.jobs) as pool:
        for seed, record in zip(seeds, pool.map(play, seeds), strict=True):
            total.update(record.results)
            if record.violations:
                broken.append(seed)
            print(
                f"seed {seed}: lag {record.max_lag_s:.3f} s", *record.violations[:5], sep="\n  ", flush=True
            )
    print(f"{len(seeds) - len(broken)} of {len(seeds)} runs kept the rules; broken: {broken}")
    print({str(key): count for key, count in total.items()})
    return bool(broken)


if __name__ == "__main__":
    sys.exit(main())
