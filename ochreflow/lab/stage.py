"""Plays one scenario: directory, nodes and sidecars as processes, the load, the steps in their time."""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import json
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from time import time

from .judge import Report, judge
from .ledger import Ledger
from .load import Kind, Load
from .scenario import Scenario, Step

HOST = "127.0.0.1"
MS = 1_000_000
START_WITHIN = 20.0  # seconds for a process to listen
END_WITHIN = 10.0  # ... and to end
LAG_MOST = 0.25  # seconds by which a send may be late; beyond it the clients were the bottleneck
REPEATS = {"keyed": "token", "unsafe": "side_effect", "safe": "pure"}
CELLS = {"zones": ["amman", "aqaba"], "kind": "gen3"}


@dataclass(slots=True)
class Played:
    """What a run came to."""

    report: Report
    lag: float  # seconds, the longest by which a client's send was late
    crashed: list[str] = field(default_factory=list)  # processes that ended by themselves

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
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
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
            "dcs": CELLS["zones"],
            "kinds": [CELLS["kind"]],
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


class Stage:
    """Owns the processes of one run. `program` is the folder that the sidecar's package is taken from."""

    def __init__(self, scenario: Scenario, folder: Path, seed: int, program: Path | None = None) -> None:
        self.scenario = scenario
        self.folder = folder
        self.seed = seed
        self.program = program
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.addresses: dict[str, str] = {}
        self.listed: list[dict] = []
        self.loads: list[Load] = []
        self.said = "all is well"
        self.ledger = Ledger(folder / "stage.jsonl")
        self.expected: set[str] = set()  # processes that were killed on purpose
        self.crashed: list[str] = []

    # Processes

    async def start(self, name: str, *command: str, **environment: str) -> asyncio.subprocess.Process:
        with (self.folder / f"{name}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=self.program if name.startswith("sidecar") else None,
                env={**os.environ, **environment},
            )
        self.processes[name] = process
        return process

    async def stand_in(self, name: str, kind: str, options: dict) -> str:
        """Start a stand-in; its address."""
        path = str(self.folder / f"{name}.jsonl")
        process = await self.start(name, "-m", "ochreflow.lab.stand_in", kind, path, json.dumps(options))
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), START_WITHIN)
        if not line:
            raise RuntimeError(f"{name} did not start: see {self.folder / name}.log")
        return line.decode().strip()

    async def node(self, number: int, cold: bool) -> dict:
        """Start a node; its entry for the directory."""
        name = f"node-{number}"
        fleet = self.scenario.fleet
        options = {
            "name": name,
            "cores": fleet.cores,
            "room": fleet.room,
            "work": {name: kind.work for name, kind in self.scenario.kinds.items()},
            "start_capacity": fleet.start_capacity,
            "warm_within": fleet.warm_within if cold else 0.0,
            "seed": self.seed * 1000 + number,
        }
        self.addresses[name] = await self.stand_in(name, "node", options)
        self.expected.discard(name)
        return {
            "name": name,
            "address": self.addresses[name],
            "zone": CELLS["zones"][(number + 1) % 2],
            "type": CELLS["kind"],
            "group": number,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": int(time() * 1000) if cold else 0,
        }

    async def sidecar(self, number: int) -> str:
        """Start a sidecar; the address where clients connect, the same after a restart."""
        name = f"sidecar-{number}"
        path = self.folder / f"{name}.json"
        listen = self.addresses.get(name, f"{HOST}:0")
        given = platform_config(self.scenario, number, listen, self.addresses["directory"], self.listed)
        path.write_text(json.dumps(given))
        process = await self.start(name, "-m", "ochreflow", GW_CONFIG=str(path))
        log = self.folder / f"{name}.log"
        async with asyncio.timeout(START_WITHIN):
            while " listens at " not in log.read_text():
                if process.returncode is not None:
                    raise RuntimeError(f"{name} did not start: {log.read_text().strip()}")
                await asyncio.sleep(0.02)
        self.expected.discard(name)
        self.addresses[name] = log.read_text().split(" listens at ")[1].split()[0]
        self.ledger.note("started", name=name)
        return self.addresses[name]

    async def end(self, name: str, kill: bool) -> None:
        process = self.processes[name]
        if process.returncode is not None:
            return
        self.expected.add(name)
        self.ledger.note("killed" if kill else "ended", name=name)
        process.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), END_WITHIN)
        except TimeoutError:
            process.kill()
            await process.wait()

    def order(self, address: str, order: dict) -> None:
        """Tell a stand-in what to do."""
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
        if step.do in ("directory_down", "directory_up"):
            self.order(self.addresses["directory"], {"down": step.do == "directory_down"})
        elif step.do in ("kill_sidecar", "end_sidecar"):
            for number in range(1, self.scenario.sidecars + 1):
                await self.end(f"sidecar-{number}", kill=step.do == "kill_sidecar")
                await self.sidecar(number)
        else:
            for number in step.nodes:
                await self.take_node(step, number)

    async def take_node(self, step: Step, number: int) -> None:
        name, directory = f"node-{number}", self.addresses["directory"]
        if step.do == "swallow":
            self.order(self.addresses[name], {"swallow": True})
        elif step.do in ("fail", "slow"):
            self.order(self.addresses[name], {step.do: step.much})
        elif step.do == "well":
            self.order(self.addresses[name], {"swallow": False, "fail": 0.0, "slow": 1.0})
        elif step.do in ("drain", "serve"):
            status = "DRAINING" if step.do == "drain" else "SERVING"
            self.order(directory, {"name": name, "status": status})
        elif step.do in ("gone", "vanish"):
            await self.end(name, kill=True)
            if step.do == "gone":
                self.order(directory, {"name": name, "status": "DELETED"})
        else:  # come, restart
            if step.do == "restart":
                await self.end(name, kill=True)
            self.order(directory, await self.node(number, cold=True))

    # The run

    async def run(self, tick: Callable[[float, Stage], None] = lambda passed, stage: None) -> Played:
        """Play it to its end, and judge it."""
        scenario = self.scenario
        try:
            self.addresses["directory"] = await self.stand_in("directory", "directory", {})
            made = [self.node(number, cold=False) for number in range(1, scenario.fleet.nodes + 1)]
            self.listed = await asyncio.gather(*made)
            for entry in self.listed:
                self.order(self.addresses["directory"], entry)
            kinds = [
                Kind(name, kind.share, kind.repeat, kind.deadline) for name, kind in scenario.kinds.items()
            ]
            for number in range(1, scenario.sidecars + 1):
                host, _, port = (await self.sidecar(number)).rpartition(":")
                ledger = Ledger(self.folder / f"clients-{number}.jsonl")
                part = scenario.load.rate / scenario.sidecars
                seed = self.seed * 100 + number
                load = Load((host, int(port)), kinds, part, scenario.load.keys, seed, ledger, self.times)
                self.loads.append(load)
            steps = asyncio.create_task(self._steps())
            watch = asyncio.create_task(self._tick(tick))
            await asyncio.gather(*(load.run(scenario.seconds) for load in self.loads))
            watch.cancel()
            await steps
        finally:
            await self.stop()
        return self._judged()

    def times(self, passed: float) -> float:
        """The factor on the load at a time of the run."""
        part = passed / self.scenario.seconds
        load = self.scenario.load
        wave = 1.0 + load.wave * (2.0 * abs(2.0 * (part % 1.0) - 1.0) - 1.0)
        for burst in load.bursts:
            if burst.at <= part < burst.until:
                wave *= burst.times
        return wave

    async def _steps(self) -> None:
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for step in sorted(self.scenario.steps, key=lambda step: step.at):
            await asyncio.sleep(max(begin + step.at * self.scenario.seconds - loop.time(), 0.0))
            await self.take(step)

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
            load.ledger.close()
        self.ledger.close()

    def _judged(self) -> Played:
        nodes = {name: self.folder / f"{name}.jsonl" for name in self.addresses if name.startswith("node")}
        clients = [load.ledger.path for load in self.loads if load.ledger.path is not None]
        unsafe = [name for name, kind in self.scenario.kinds.items() if kind.repeat != "safe"]
        stage = self.folder / "stage.jsonl"
        report = judge(clients, nodes, self.folder / "directory.jsonl", unsafe, stage)
        return Played(report, max(load.lag for load in self.loads), self.crashed)
