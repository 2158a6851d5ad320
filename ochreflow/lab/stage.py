"""Plays one scenario: directory, nodes and sidecars as processes, the load, the steps in their time."""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import json
import os
import re
import resource
import shutil
import signal
import socket
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from time import time

import msgspec

from .event_log import EventLog, read_events
from .judge import Report, judge
from .load import Load
from .scenario import Scenario, Step, arriving, node_traits, times
from .series import Series, series

HOST = "127.0.0.1"
MS = 1_000_000
START_WITHIN = 20.0  # seconds for a process to listen
END_WITHIN = 10.0  # ... and to end
LAG_MOST = 0.25  # seconds by which a send may be late; beyond it the clients were the bottleneck
REPEATS = {"keyed": "token", "unsafe": "side_effect", "safe": "pure"}
MEANS = {"memory_mb": 192, "sockets": 1024}  # of one sidecar
LOOK_EVERY = 0.25  # seconds between looks at what sidecars use
ZONES = ["amman", "aqaba"]
KIND = "gen3"


@dataclass(slots=True)
class Played:
    """What a run came to."""

    report: Report
    lag: float  # seconds, the longest by which a client's send was late
    crashed: list[str] = field(default_factory=list)  # processes that ended by themselves
    series: Series | None = None
    digest: str = ""  # of all that was written down, where the same seed gives the same bytes

    @property
    def void(self) -> bool:
        """Whether the clients fell behind, so that it says nothing of the sidecar."""
        return self.lag > LAG_MOST

    @property
    def verdict(self) -> int:
        """0: every rule held; 1: one was broken; 3: void."""
        if self.void:
            return 3
        return 1 if self.report.findings or self.crashed else 0


def platform_config(scenario: Scenario, number: int, listen: str, directory: str, listed: list[dict]) -> dict:
    """The platform's configuration of one sidecar, in the form that it is given in service."""
    fleet = scenario.fleet
    return {
        "name": f"sidecar-{number}",
        "listen": listen,
        "management": f"{HOST}:0",
        "discovery": directory,
        "seed": f"{number + 0xA11:x}",
        "limits": {"cores": 1.0, **MEANS},
        "known": {"index": 0, "snapshot": True, "endpoints": listed},
        "settings": {
            "accounts": [],
            "ceilings": {
                "cancel": True,
                "conn-idle-ns": 60_000 * MS,
                "connect-timeout-ns": 250 * MS,
                "max-retry-after-ns": 2000 * MS,
                "retry-after": True,
                "second-copies": True,
                "send-cap": 4,
            },
            "classes": [
                {
                    "name": name,
                    "deadline-ns": int(kind.deadline * 1000) * MS,
                    "objective-ns": int(kind.wanted * 1000) * MS,
                    "repeat": REPEATS[kind.repeat],
                    "key-scope": "cell",
                    "window-ns": 4000 * MS,
                    "points": kind.worth,
                    "late-value": 0.0,
                    "stream": False,
                }
                for name, kind in scenario.kinds.items()
            ],
            "dcs": ZONES,
            "kinds": [KIND],
            "my-zone": 0,
            "index": number,
            "discovery": "ask",
            "fleet-size": scenario.sidecars,
            "rules": {
                "must-ask-in-ns": 10_000 * MS,
                "drain-grace-ns": 2500 * MS,
                "start-capacity": fleet.start_capacity,
                "warm-within-ns": int(fleet.warm_within * 1000) * MS,
                "overload-factor": 2.5,
                "overload-for-ns": 3000 * MS,
            },
            "tick-ns": 5 * MS,
        },
    }


KNOWN = re.compile(r"(\S+) is server (\d+) at ")
EJECTED = re.compile(r"ejected (\d+) after")
TROUBLES: dict[str, Callable[[Step], dict]] = {  # what a node is told of each
    "swallow": lambda step: {"swallow": True},
    "fail": lambda step: {"fail": step.much},
    "slow": lambda step: {"slow": step.much},
    "spoil": lambda step: {"spoil": step.much, "form": step.form},
    "well": lambda step: {"swallow": False, "fail": 0.0, "slow": 1.0, "spoil": 0.0},
}
STATUSES = {"drain": "DRAINING", "serve": "SERVING", "delist": "DELETED"}


def entry(scenario: Scenario, number: int, address: str, since_ms: int) -> dict:
    """A node as the directory lists it. Those that come later have a pod of their own."""
    fleet = scenario.fleet
    far = number > fleet.near if fleet.near else number % 2 == 0
    return {
        "name": f"node-{number}",
        "address": address,
        "zone": ZONES[far],
        "type": KIND,
        "group": 1 + (number - 1) // fleet.pod if number <= fleet.nodes else 1000 + number,
        "status": "SERVING",
        "weight": 1.0,
        "since_ms": since_ms,
    }


def usage(pid: int) -> dict[str, float]:
    """What a process holds: resident memory and descriptors; nothing of one that has just ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return {
            "memory_mb": round(pages * resource.getpagesize() / 1_000_000, 1),
            "sockets": len(os.listdir(f"/proc/{pid}/fd")),
        }
    except (OSError, IndexError):
        return {}


class Stage:
    """Owns the processes of one run. `program` is the folder that the sidecar's package is taken from."""

    def __init__(self, scenario: Scenario, folder: Path, seed: int, program: Path | None = None) -> None:
        self.scenario = scenario
        self.folder = folder
        self.seed = seed
        self.program = program
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.addresses: dict[str, str] = {}
        self.houses: dict[str, str] = {}  # fake servers that run, by the process they are in
        self.listed: list[dict] = []  # from the begin
        self.entries: dict[str, dict] = {}  # as the directory has them
        self.overlapping = any(step.do == "upgrade_sidecar" for step in scenario.steps)
        self.read_to: dict[str, int] = {}  # bytes of each sidecar's log
        self.numbers: dict[tuple[str, str], str] = {}  # the node that a sidecar knows by a number
        self.sockets: dict[int, socket.socket] = {}  # that sidecars listen on, where one may take over
        self.shared = tempfile.mkdtemp(prefix="lab-") if self.overlapping else ""
        self.loads: list[Load] = []
        self.said = "all is well"
        self.options: tuple[str, ...] = ()  # more of the sidecars' command line
        self.event_log = EventLog(folder / "stage.jsonl")
        self.expected: set[str] = set()  # processes that were killed on purpose
        self.crashed: list[str] = []

    # Processes

    async def start(self, name: str, *command: str, **environment: str) -> asyncio.subprocess.Process:
        self.read_to.pop(name, None)
        with (self.folder / f"{name}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=self.program if name.startswith("sidecar") else None,
                env={**os.environ, **environment},
                pass_fds=[listening.fileno() for listening in self.sockets.values()],
            )
        self.processes[name] = process
        return process

    async def start_servers(self, kind: str, wanted: list[dict]) -> list[str]:
        """Start fake servers in one process; their addresses."""
        name = wanted[0]["name"]
        command = ("-m", "ochreflow.lab.fake_server", kind, str(self.folder), json.dumps(wanted))
        process = await self.start(name, *command)
        self.expected.discard(name)
        assert process.stdout is not None
        found = []
        for one in wanted:
            self.houses[one["name"]] = name
            line = await asyncio.wait_for(process.stdout.readline(), START_WITHIN)
            if not line:
                raise RuntimeError(f"{one['name']} did not start: see {self.folder / name}.log")
            self.addresses[one["name"]] = line.decode().strip()
            found.append(self.addresses[one["name"]])
        return found

    def node_options(self, number: int, cold: bool, port: int = 0) -> dict:
        seed = self.seed * 1000 + number
        return {**node_traits(self.scenario, f"node-{number}", cold), "seed": seed, "port": port}

    async def node(self, number: int, address: str = "") -> dict:
        """Start a cold node, at an address that was used before if one is given; its entry."""
        port = int(address.rpartition(":")[2]) if address else 0
        await self.start_servers("nodes", [self.node_options(number, True, port)])
        return self.entry(number, int(time() * 1000))

    def entry(self, number: int, since_ms: int) -> dict:
        """A node as the directory lists it."""
        return entry(self.scenario, number, self.addresses[f"node-{number}"], since_ms)

    async def fleet(self) -> list[dict]:
        """Start the nodes that are there from the begin, each pod in a process."""
        fleet = self.scenario.fleet
        numbers = range(1, fleet.nodes + 1)
        pods = [numbers[at : at + fleet.pod] for at in range(0, fleet.nodes, fleet.pod)]
        made = ([self.node_options(number, fleet.cold) for number in pod] for pod in pods)
        await asyncio.gather(*(self.start_servers("nodes", options) for options in made))
        since = int(time() * 1000) if fleet.cold else 0
        return [self.entry(number, since) for number in numbers]

    async def directory(self, address: str = "") -> None:
        """Start a directory with the list as it is, at an address that was used before if one is given."""
        port = int(address.rpartition(":")[2]) if address else 0
        manners = msgspec.structs.asdict(self.scenario.directory)
        number = sum(name.startswith("directory") for name in self.houses) + 1
        wanted = {"name": f"directory-{number}", "manners": manners, "seed": self.seed, "port": port}
        self.addresses["directory"] = (await self.start_servers("directory", [wanted]))[0]
        for one in self.entries.values():
            if one["status"] != "DELETED":
                await self.order(self.addresses["directory"], one)

    async def list(self, change: dict) -> None:
        """Tell the directory of a change."""
        name = change["name"]
        self.entries[name] = {**self.entries.get(name, {}), **change}
        await self.order(self.addresses["directory"], change)

    async def sidecar(self, number: int) -> str:
        """Start a sidecar; the address where clients connect, the same after a restart."""
        name = f"sidecar-{number}"
        path = self.folder / f"{name}.json"
        listen = self.addresses.get(name, f"{HOST}:0")
        self.configure(number, listen)
        more = {}
        if self.overlapping:
            listening = self.sockets.get(number) or socket.create_server((HOST, 0), backlog=512)
            self.sockets[number] = listening
            more = {"GW_FD": str(listening.fileno()), "TMPDIR": self.shared}
        process = await self.start(name, "-m", "ochreflow", *self.options, GW_CONFIG=str(path), **more)
        log = self.folder / f"{name}.log"
        async with asyncio.timeout(START_WITHIN):
            while " listens at " not in log.read_text():
                if process.returncode is not None:
                    raise RuntimeError(f"{name} did not start: {log.read_text().strip()}")
                await asyncio.sleep(0.02)
        self.expected.discard(name)
        self.addresses[name] = log.read_text().split(" listens at ")[1].split()[0]
        self.event_log.record("started", name=name)
        return self.addresses[name]

    def configure(self, number: int, listen: str) -> None:
        """Write the configuration of a sidecar."""
        directory = self.addresses["directory"]
        given = platform_config(self.scenario, number, listen, directory, self.listed)
        (self.folder / f"sidecar-{number}.json").write_text(json.dumps(given))

    async def upgrade(self, number: int) -> None:
        """Start a sidecar beside the one that runs, on its socket; then end that one in order."""
        name = f"sidecar-{number}"
        old = self.processes[name]
        await self.sidecar(number)
        old.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(old.wait(), END_WITHIN)
        except TimeoutError:
            self.crashed.append(f"{name} did not end within {END_WITHIN:g} s of its upgrade")
            old.kill()
            await old.wait()

    async def end_node(self, name: str) -> None:
        """End a node without a word; others of its pod stay."""
        house = self.houses.pop(name)
        if house in self.houses.values():
            await self.order(self.addresses[name], {"end": True})
        else:
            await self.end(house, kill=True)

    async def end(self, name: str, kill: bool) -> None:
        process = self.processes[name]
        if process.returncode is not None:
            return
        self.expected.add(name)
        self.event_log.record("killed" if kill else "ended", name=name)
        process.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
        process.send_signal(signal.SIGCONT)  # one that is frozen would not end
        try:
            await asyncio.wait_for(process.wait(), END_WITHIN)
        except TimeoutError:
            process.kill()
            await process.wait()

    async def order(self, address: str, order: dict) -> None:
        """Tell a fake server what to do."""
        await asyncio.to_thread(self._order, address, order)

    @staticmethod
    def _order(address: str, order: dict) -> None:
        connection = http.client.HTTPConnection(address, timeout=2.0)
        try:
            connection.request("POST", "/-/lab", json.dumps(order))
            answer = connection.getresponse()
            if answer.status != 200:
                raise RuntimeError(f"{address} did not take the order: {answer.read().decode()}")
        finally:
            connection.close()

    # Steps

    async def take(self, step: Step) -> None:
        self.said = f"{step.do.replace('_', ' ')} {', '.join(map(str, step.nodes))}".strip()
        self.event_log.record("step", do=step.do, nodes=step.nodes)
        if step.do.startswith("directory_"):
            await self.take_directory(step)
        elif step.do.endswith("_sidecar"):
            for number in range(1, self.scenario.sidecars + 1):
                if step.do == "upgrade_sidecar":
                    await self.upgrade(number)
                    continue
                await self.end(f"sidecar-{number}", kill=step.do == "kill_sidecar")
                await self.sidecar(number)
        else:
            for place, number in enumerate(step.nodes):
                await self.take_node(step, number, step.by[place] if step.by else number)

    async def take_directory(self, step: Step) -> None:
        address = self.addresses["directory"]
        if step.do in ("directory_down", "directory_up"):
            await self.order(address, {"down": step.do == "directory_down"})
            return
        old = [name for name in self.houses if name.startswith("directory")][-1]
        if step.do == "directory_restart":
            await self.end(old, kill=True)
            await self.directory(address)
            return
        await self.directory()
        for number in range(1, self.scenario.sidecars + 1):
            self.configure(number, self.addresses[f"sidecar-{number}"])
            self.processes[f"sidecar-{number}"].send_signal(signal.SIGHUP)
        await self.end(old, kill=True)

    async def take_node(self, step: Step, number: int, by: int) -> None:
        name = f"node-{number}"
        if step.do in TROUBLES:
            await self.order(self.addresses[name], TROUBLES[step.do](step))
        elif step.do in ("freeze", "thaw"):
            stop = signal.SIGSTOP if step.do == "freeze" else signal.SIGCONT
            self.processes[self.houses[name]].send_signal(stop)
        elif step.do in STATUSES:
            await self.list({"name": name, "status": STATUSES[step.do]})
        elif step.do == "come":
            await self.list(await self.node(number))
        else:  # gone, vanish, restart, replace
            address = self.addresses[name]
            await self.end_node(name)
            if step.do in ("gone", "replace"):
                await self.list({"name": name, "status": "DELETED"})
            if step.do in ("restart", "replace"):
                await self.list(await self.node(by, address if step.do == "replace" else ""))

    # The run

    async def run(self, tick: Callable[[float, Stage], None] = lambda passed, stage: None) -> Played:
        """Play it to its end, and judge it."""
        scenario = self.scenario
        try:
            self.listed = await self.fleet()
            self.entries = {one["name"]: one for one in self.listed}
            await self.directory()
            kinds, habits = arriving(scenario)
            factor = partial(times, scenario)
            for number in range(1, scenario.sidecars + 1):
                host, _, port = (await self.sidecar(number)).rpartition(":")
                event_log = EventLog(self.folder / f"clients-{number}.jsonl")
                part = scenario.load.rate / scenario.sidecars
                seed = self.seed * 100 + number
                load = Load(
                    (host, int(port)), kinds, part, scenario.load.keys, seed, event_log, factor, habits
                )
                self.loads.append(load)
            steps = asyncio.create_task(self._steps())
            watch = asyncio.create_task(self._tick(tick))
            looks = asyncio.create_task(self._look())
            self.event_log.record("begin")
            await asyncio.gather(*(load.run(scenario.seconds) for load in self.loads))
            watch.cancel()
            looks.cancel()
            await steps
        finally:
            await self.stop()
        return self._judged()

    async def _steps(self) -> None:
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for step in sorted(self.scenario.steps, key=lambda step: step.at):
            await asyncio.sleep(max(begin + step.at * self.scenario.seconds - loop.time(), 0.0))
            await self.take(step)

    async def _look(self) -> None:
        """Write down what sidecars use."""
        while True:
            for number in range(1, self.scenario.sidecars + 1):
                name = f"sidecar-{number}"
                if used := usage(self.processes[name].pid):
                    self.event_log.record("used", name=name, **used)
                self._look_at_log(name)
            await asyncio.sleep(LOOK_EVERY)

    def _look_at_log(self, name: str) -> None:
        """Write down which nodes a sidecar says that it avoids, as it says so."""
        with (self.folder / f"{name}.log").open("rb") as file:
            file.seek(self.read_to.get(name, 0))
            lines = file.read()
        whole = lines[: lines.rfind(b"\n") + 1]
        self.read_to[name] = self.read_to.get(name, 0) + len(whole)
        text = whole.decode(errors="replace")
        for server, number in KNOWN.findall(text):
            self.numbers[name, number] = server
        for number in EJECTED.findall(text):
            self.event_log.record("ejected", name=self.numbers.get((name, number), number), by=name)

    async def _tick(self, tick: Callable[[float, Stage], None]) -> None:
        for second in range(int(self.scenario.seconds) + 1):
            tick(float(second), self)
            await asyncio.sleep(1.0)

    async def stop(self) -> None:
        """End all processes, the sidecars first: they answer what they hold."""
        for name, process in self.processes.items():
            if process.returncode is not None and name not in self.expected:
                self.crashed.append(f"{name} ended by itself: exit code {process.returncode}")
        for name in sorted(self.processes, key=lambda name: not name.startswith("sidecar")):
            with contextlib.suppress(ProcessLookupError):
                await self.end(name, kill=False)
        for load in self.loads:
            load.event_log.close()
        for listening in self.sockets.values():
            listening.close()
        if self.shared:
            shutil.rmtree(self.shared, ignore_errors=True)
        self.event_log.close()

    def _judged(self) -> Played:
        names = {path.stem: path for path in self.folder.glob("*.jsonl")}
        nodes = {name: list(read_events(path)) for name, path in names.items() if name.startswith("node")}
        clients = [list(read_events(path)) for name, path in names.items() if name.startswith("clients")]
        told = sorted(
            (
                event
                for name, path in names.items()
                if name.startswith("directory")
                for event in read_events(path)
            ),
            key=lambda event: event["at"],
        )
        stage = list(read_events(self.folder / "stage.jsonl"))
        unsafe = [name for name, kind in self.scenario.kinds.items() if kind.repeat != "safe"]
        report = judge(clients, nodes, told, unsafe, stage, MEANS)
        lag = max(load.lag for load in self.loads)
        return Played(report, lag, self.crashed, series(clients, nodes, stage, self.scenario.seconds))
