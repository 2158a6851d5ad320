"""The demo: a directory, six nodes, a sidecar and a load, all as processes on loopback, with troubles."""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import shutil
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from time import time

import uvloop

from .judge import RULES, Report, judge
from .ledger import Ledger
from .load import Kind, Load

HOST = "127.0.0.1"
MS = 1_000_000
START_WITHIN = 15.0  # seconds for a process to listen
RATE = 160.0  # requests a second: about half of what six warm nodes can do
LAG_MOST = 0.25  # seconds by which a send may be late; beyond it the clients were the bottleneck
KINDS = [Kind("exposure", 0.71, "keyed", 6.0), Kind("assign", 0.29, "unsafe", 6.0)]
WORK = {"exposure": 0.045, "assign": 0.028}
WARM_WITHIN = 8.0


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that goes wrong, at a part of the run."""

    part: float
    says: str
    do: Callable[[Demo], None]


def config(directory: str, listed: list[dict]) -> dict:
    """The platform's configuration, in the form that the sidecar is given in service."""
    classes = [
        {
            "name": kind.name,
            "deadline-ns": int(kind.deadline * 1000) * MS,
            "objective-ns": 2000 * MS,
            "repeat": {"keyed": "token", "unsafe": "side_effect", "safe": "pure"}[kind.repeat],
            "key-scope": "cell",
            "window-ns": 4000 * MS,
            "points": 24.0 if kind.name == "assign" else 8.0,
            "late-value": 0.0,
            "stream": False,
        }
        for kind in KINDS
    ]
    return {
        "name": "demo",
        "listen": f"{HOST}:0",
        "management": f"{HOST}:0",
        "discovery": directory,
        "seed": "0a11",
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
            "classes": classes,
            "dcs": ["amman", "aqaba"],
            "kinds": ["gen3"],
            "my-zone": 0,
            "discovery": "ask",
            "fleet-size": 1,
            "rules": {
                "must-ask-in-ns": 10_000 * MS,
                "drain-grace-ns": 2500 * MS,
                "start-capacity": 0.15,
                "warm-within-ns": int(WARM_WITHIN * 1000) * MS,
                "overload-factor": 2.5,
                "overload-for-ns": 3000 * MS,
            },
            "tick-ns": 5 * MS,
        },
    }


class Demo:
    def __init__(self, folder: Path, seconds: float, seed: int) -> None:
        self.folder = folder
        self.seconds = seconds
        self.seed = seed
        self.processes: list[asyncio.subprocess.Process] = []
        self.addresses: dict[str, str] = {}
        self.directory = ""
        self.late: asyncio.Task[None] | None = None
        self.said = "all is well"

    async def start(self, name: str, *command: str) -> asyncio.subprocess.Process:
        log = (self.folder / f"{name}.log").open("wb")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *command, stdout=asyncio.subprocess.PIPE, stderr=log
        )
        self.processes.append(process)
        return process

    async def stand_in(self, name: str, kind: str, options: dict) -> str:
        """Start a stand-in; its address."""
        path = str(self.folder / f"{name}.jsonl")
        process = await self.start(name, "ochreflow.lab.stand_in", kind, path, json.dumps(options))
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), START_WITHIN)
        if not line:
            raise RuntimeError(f"{name} did not start: see {self.folder / name}.log")
        return line.decode().strip()

    async def node(self, number: int, warm_within: float = 0.0) -> dict:
        """Start a node; its entry for the directory."""
        name = f"node-{number}"
        options = {"name": name, "work": WORK, "warm_within": warm_within, "seed": self.seed + number}
        self.addresses[name] = await self.stand_in(name, "node", options)
        return {
            "name": name,
            "address": self.addresses[name],
            "zone": "amman" if number % 2 else "aqaba",
            "type": "gen3",
            "group": number,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": int(time() * 1000) if warm_within else 0,
        }

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

    async def sidecar(self, listed: list[dict]) -> tuple[str, int]:
        """Start the sidecar; where clients connect."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(config(self.directory, listed)))
        os.environ["GW_CONFIG"] = str(path)
        await self.start("sidecar", "ochreflow")
        log = self.folder / "sidecar.log"
        async with asyncio.timeout(START_WITHIN):
            while " listens at " not in log.read_text():
                if self.processes[-1].returncode is not None:
                    raise RuntimeError(f"the sidecar did not start: {log.read_text().strip()}")
                await asyncio.sleep(0.05)
        address = log.read_text().split(" listens at ")[1].split()[0]
        host, _, port = address.rpartition(":")
        return host, int(port)

    async def bring_up(self) -> tuple[str, int]:
        self.directory = await self.stand_in("directory", "directory", {})
        listed = [await self.node(number) for number in range(1, 7)]
        for entry in listed:
            self.order(self.directory, entry)
        return await self.sidecar(listed)

    def trouble(self, name: str, **order: object) -> None:
        self.order(self.addresses[name], order)

    def drain(self, name: str) -> None:
        self.order(self.directory, {"name": name, "status": "DRAINING"})

    def new_node(self) -> None:
        """A seventh node comes up cold."""

        async def come() -> None:
            entry = await self.node(7, WARM_WITHIN)
            self.order(self.directory, entry)

        self.late = asyncio.get_running_loop().create_task(come())

    def steps(self) -> list[Step]:
        return [
            Step(0.20, "node-2 swallows requests", lambda d: d.trouble("node-2", swallow=True)),
            Step(0.35, "node-3 fails fast, too", lambda d: d.trouble("node-3", fail=0.6)),
            Step(0.45, "node-2 answers again", lambda d: d.trouble("node-2", swallow=False)),
            Step(0.50, "node-4 drains", lambda d: d.drain("node-4")),
            Step(0.60, "node-7 comes up cold", Demo.new_node),
            Step(0.70, "node-3 is well again", lambda d: d.trouble("node-3", fail=0.0)),
        ]

    async def run(self) -> int:
        address = await self.bring_up()
        ledger = Ledger(self.folder / "clients.jsonl")
        load = Load(address, KINDS, RATE, 800, self.seed, ledger)
        steps = self.steps()
        shown = -1

        def tick(passed: float) -> None:
            nonlocal shown
            while steps and passed >= steps[0].part * self.seconds:
                step = steps.pop(0)
                self.said = step.says
                step.do(self)
            if int(passed) != shown:
                shown = int(passed)
                self.progress(passed, load)

        await load.run(self.seconds, tick)
        if self.late is not None:
            await self.late
        ledger.close()
        await self.stop()
        nodes = {name: self.folder / f"{name}.jsonl" for name in self.addresses}
        unsafe = [kind.name for kind in KINDS if kind.repeat != "safe"]
        report = judge([self.folder / "clients.jsonl"], nodes, self.folder / "directory.jsonl", unsafe)
        print(f"\n{table(report)}\n{verdicts(report)}")
        crashed = [process.returncode for process in self.processes if process.returncode]
        if crashed:
            print(f"  BROKEN  no crash: exit codes {crashed}")
        if load.lag > LAG_MOST:
            print(f"\nVoid: the clients' own sends were up to {load.lag:.2f} s late on this machine.")
            return 3
        return 1 if report.findings or crashed else 0

    def progress(self, passed: float, load: Load) -> None:
        counts = " ".join(f"{name} {number}" for name, number in load.counts.items() if number)
        part = int(20 * passed / self.seconds) + 1
        line = f"[{'#' * part:<20}] {passed:4.0f} s  asked {load.asked} {counts}  {self.said}"
        print(f"\r\x1b[K{line}" if sys.stdout.isatty() else line, end="" if sys.stdout.isatty() else "\n")
        sys.stdout.flush()

    async def stop(self) -> None:
        """End all processes, the sidecar first: it answers what it holds."""
        for process in reversed(self.processes):
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
                try:
                    await asyncio.wait_for(process.wait(), 10.0)
                except TimeoutError:
                    process.kill()
                    await process.wait()


def percentile(values: list[float], part: float) -> float:
    """The value that so large a part of all stay under; 0 of none."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)] if ordered else 0.0


def table(report: Report) -> str:
    lines = ["class       asked  served  refused  failed    p50 ms   p99 ms  attempts/request"]
    for name, counts in sorted(report.by_class.items()):
        took = report.latency.get(name, [])
        lines.append(
            f"{name:<10} {counts['asked']:>6} {counts['served']:>7} {counts['refused']:>8} "
            f"{counts['failed'] + counts['lost']:>7} {percentile(took, 0.5) * 1000:>9.0f} "
            f"{percentile(took, 0.99) * 1000:>8.0f} {report.attempts[name] / counts['asked']:>17.3f}"
        )
    lines += ["", "node        taken     ran  failed  turned away  repeats dropped"]
    for name, counts in sorted(report.by_node.items()):
        counts = Counter(counts)
        lines.append(
            f"{name:<10} {counts['taken']:>6} {counts['ran']:>7} {counts['failed']:>7} "
            f"{counts['turned_away']:>12} {counts['dropped']:>16}"
        )
    return "\n".join(lines)


def verdicts(report: Report) -> str:
    lines = ["", "What clients, nodes and the directory wrote down says of the rules:"]
    for rule, meaning in RULES.items():
        broken = report.broken(rule)
        lines.append(f"  {'BROKEN' if broken else 'kept  '}  {rule}: {meaning}")
        lines += [f"            {text}" for text in broken[:3]]
        if len(broken) > 3:
            lines.append(f"            and {len(broken) - 3} more")
    return "\n".join(lines)


def main(seconds: float, seed: int, keep: str | None) -> int:
    """Play the demo; 0 if every rule held, 1 if one was broken, 3 if the machine was too slow to tell."""
    folder = Path(keep or tempfile.mkdtemp(prefix="ochreflow-demo-"))
    folder.mkdir(parents=True, exist_ok=True)

    async def play() -> int:
        demo = Demo(folder, seconds, seed)
        try:
            return await demo.run()
        finally:
            await demo.stop()

    try:
        return uvloop.run(play())
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)
