"""Starts and stops the processes of one run: nodes, the directory and sidecars on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
from pathlib import Path
from time import time
from typing import Any

import msgspec

from ..errors import OchreflowError
from .control import send_order
from .event_log import EventKind, EventLog
from .platform_config import HOST, MS_PER_S, directory_entry, platform_config
from .scenario import Scenario, StepAction, node_profile
from .sidecar_log import EjectionReader, resource_usage

START_TIMEOUT_S = 20.0  # time limit for a process to listen
END_TIMEOUT_S = 10.0  # time limit for a process to end
START_POLL_INTERVAL_S = 0.02
LISTEN_BACKLOG = 512
LISTENS_MESSAGE = " listens at "  # precedes the address in a sidecar's log


class StartError(OchreflowError, RuntimeError):
    """Raised if a process does not start; its log holds the reason."""


class ProcessEnvironment:
    """Owns the processes of one run; `program` is the directory of the source tree that sidecars run from."""

    def __init__(
        self, scenario: Scenario, run_dir: Path, seed: int, event_log: EventLog, program: Path | None = None
    ) -> None:
        """Create an environment without processes; `run_dir` holds their logs and configurations."""
        self.scenario = scenario
        self.run_dir = run_dir
        self.seed = seed
        self.event_log = event_log
        self.program = program
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.addresses: dict[str, str] = {}
        self.process_of: dict[str, str] = {}  # the process that runs each fake server, by server
        self.initial_entries: list[dict[str, Any]] = []  # entries of the nodes that run from the start
        self.entries: dict[str, dict[str, Any]] = {}  # the directory's current entries, by name
        self.has_upgrades = any(step.action is StepAction.UPGRADE_SIDECAR for step in scenario.steps)
        self.listening_sockets: dict[int, socket.socket] = {}  # by sidecar; only in runs with upgrades
        self.shared_dir = tempfile.mkdtemp(prefix="lab-") if self.has_upgrades else ""
        self.sidecar_options: tuple[str, ...] = ()  # appended to the sidecars' command line
        self.expected_ends: set[str] = set()  # processes that were stopped on purpose
        self.crashes: list[str] = []
        self.ejections = EjectionReader(run_dir, event_log)

    # Processes

    async def start_process(self, name: str, *command: str, **environment: str) -> asyncio.subprocess.Process:
        """Start a Python process that writes its standard error to `run_dir`/NAME.log."""
        self.ejections.forget(name)
        with (self.run_dir / f"{name}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=self.program if name.startswith("sidecar") else None,
                env={**os.environ, **environment},
                pass_fds=[listener.fileno() for listener in self.listening_sockets.values()],
            )
        self.processes[name] = process
        return process

    async def end(self, name: str, *, kill: bool) -> None:
        """End a process with SIGKILL or SIGTERM and wait for its exit."""
        process = self.processes[name]
        if process.returncode is not None:
            return
        self.expected_ends.add(name)
        self.event_log.record(EventKind.PROCESS_KILLED if kill else EventKind.PROCESS_TERMINATED, name=name)
        process.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
        process.send_signal(signal.SIGCONT)  # a frozen process does not handle SIGTERM
        try:
            await asyncio.wait_for(process.wait(), END_TIMEOUT_S)
        except TimeoutError:
            process.kill()
            await process.wait()

    async def stop(self) -> None:
        """End all processes, sidecars first so that they can answer their pending requests."""
        for name, process in self.processes.items():
            if process.returncode is not None and name not in self.expected_ends:
                self.crashes.append(f"{name} ended unexpectedly: exit code {process.returncode}")
        for name in sorted(self.processes, key=lambda name: not name.startswith("sidecar")):
            with contextlib.suppress(ProcessLookupError):
                await self.end(name, kill=False)
        for listener in self.listening_sockets.values():
            listener.close()
        if self.shared_dir:
            shutil.rmtree(self.shared_dir, ignore_errors=True)

    # Nodes

    async def start_servers(self, kind: str, server_options: list[dict[str, Any]]) -> list[str]:
        """Start fake servers in one process; return their addresses."""
        name = server_options[0]["name"]
        command = ("-m", "ochreflow.lab.fake_server", kind, str(self.run_dir), json.dumps(server_options))
        process = await self.start_process(name, *command)
        self.expected_ends.discard(name)
        assert process.stdout is not None
        addresses = []
        for options in server_options:
            self.process_of[options["name"]] = name
            line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)
            if not line:
                message = f"{options['name']} ended before it listened: see {self.run_dir / name}.log"
                raise StartError(message)
            self.addresses[options["name"]] = line.decode().strip()
            addresses.append(self.addresses[options["name"]])
        return addresses

    async def start_fleet(self) -> None:
        """Start the initial nodes, one process for each group."""
        fleet = self.scenario.fleet
        numbers = range(1, fleet.node_count + 1)
        groups = [
            numbers[start : start + fleet.group_size]
            for start in range(0, fleet.node_count, fleet.group_size)
        ]
        server_options = (
            [self._node_options(number, warming_up=fleet.starts_warming_up) for number in group]
            for group in groups
        )
        await asyncio.gather(*(self.start_servers("nodes", options) for options in server_options))
        since_ms = int(time() * MS_PER_S) if fleet.starts_warming_up else 0
        self.initial_entries = [self._entry(number, since_ms) for number in numbers]
        self.entries = {entry["name"]: entry for entry in self.initial_entries}

    async def start_node(self, number: int, address: str = "") -> dict[str, Any]:
        """Start a cold node, at `address` if one is given, and return its directory entry."""
        options = self._node_options(number, warming_up=True, port=_port(address))
        await self.start_servers("nodes", [options])
        return self._entry(number, int(time() * MS_PER_S))

    async def end_node(self, name: str) -> None:
        """Kill a node; the other nodes of its process keep running."""
        process = self.process_of.pop(name)
        if process in self.process_of.values():
            await self.send_order(self.addresses[name], {"end": True})
        else:
            await self.end(process, kill=True)

    def freeze(self, name: str) -> None:
        """Suspend a node's process with SIGSTOP."""
        self.processes[self.process_of[name]].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a frozen node's process with SIGCONT."""
        self.processes[self.process_of[name]].send_signal(signal.SIGCONT)

    async def send_order(self, address: str, order: dict[str, Any]) -> None:
        """Send a control order to a fake server."""
        await send_order(address, order)

    def _node_options(self, number: int, *, warming_up: bool, port: int = 0) -> dict[str, Any]:
        seed = self.seed * 1000 + number
        profile = node_profile(self.scenario, f"node-{number}", warming_up=warming_up)
        return {**profile, "seed": seed, "port": port}

    def _entry(self, number: int, since_ms: int) -> dict[str, Any]:
        return directory_entry(self.scenario, number, self.addresses[f"node-{number}"], since_ms)

    # The directory

    async def start_directory(self, address: str = "") -> None:
        """Start a directory with the current entries, at `address` if one is given."""
        number = sum(name.startswith("directory") for name in self.process_of) + 1
        options = {
            "name": f"directory-{number}",
            "manners": msgspec.to_builtins(self.scenario.directory),
            "seed": self.seed,
            "port": _port(address),
        }
        self.addresses["directory"] = (await self.start_servers("directory", [options]))[0]
        for entry in self.entries.values():
            if entry["status"] != "DELETED":
                await self.send_order(self.addresses["directory"], entry)

    async def publish(self, change: dict[str, Any]) -> None:
        """Send a changed entry, or its changed fields, to the directory."""
        name = change["name"]
        self.entries[name] = {**self.entries.get(name, {}), **change}
        await self.send_order(self.addresses["directory"], change)

    async def set_directory_down(self, *, down: bool) -> None:
        """Make the directory answer 503 to all calls, or answer normally again."""
        await self.send_order(self.addresses["directory"], {"down": down})

    async def restart_directory(self) -> None:
        """Kill the directory and start a new one at the same address."""
        address = self.addresses["directory"]
        await self.end(self._directory_name(), kill=True)
        await self.start_directory(address)

    async def move_directory(self) -> None:
        """Start a directory at a new address, notify the sidecars with SIGHUP and kill the old one."""
        old = self._directory_name()
        await self.start_directory()
        for number in range(1, self.scenario.sidecar_count + 1):
            self.write_config(number, self.addresses[f"sidecar-{number}"])
            self.processes[f"sidecar-{number}"].send_signal(signal.SIGHUP)
        await self.end(old, kill=True)

    def _directory_name(self) -> str:
        return [name for name in self.process_of if name.startswith("directory")][-1]

    # Sidecars

    async def start_sidecar(self, number: int) -> str:
        """Start a sidecar; return the address where clients connect, which a restart keeps."""
        name = f"sidecar-{number}"
        path = self.run_dir / f"{name}.json"
        self.write_config(number, self.addresses.get(name, f"{HOST}:0"))
        inherited = {}
        if self.has_upgrades:
            listener = self.listening_sockets.get(number) or socket.create_server(
                (HOST, 0), backlog=LISTEN_BACKLOG
            )
            self.listening_sockets[number] = listener
            inherited = {"GW_FD": str(listener.fileno()), "TMPDIR": self.shared_dir}
        process = await self.start_process(
            name, "-m", "ochreflow", *self.sidecar_options, GW_CONFIG=str(path), **inherited
        )
        log = self.run_dir / f"{name}.log"
        async with asyncio.timeout(START_TIMEOUT_S):
            while LISTENS_MESSAGE not in log.read_text():
                if process.returncode is not None:
                    message = f"{name} ended before it listened: {log.read_text().strip()}"
                    raise StartError(message)
                await asyncio.sleep(START_POLL_INTERVAL_S)
        self.expected_ends.discard(name)
        self.addresses[name] = log.read_text().split(LISTENS_MESSAGE)[1].split()[0]
        self.event_log.record(EventKind.PROCESS_STARTED, name=name)
        return self.addresses[name]

    def write_config(self, number: int, listen: str) -> None:
        """Write a sidecar's configuration file."""
        directory = self.addresses["directory"]
        config = platform_config(self.scenario, number, listen, directory, self.initial_entries)
        (self.run_dir / f"sidecar-{number}.json").write_text(json.dumps(config))

    async def restart_sidecar(self, number: int, *, kill: bool) -> None:
        """End a sidecar and start it again."""
        await self.end(f"sidecar-{number}", kill=kill)
        await self.start_sidecar(number)

    async def upgrade_sidecar(self, number: int) -> None:
        """Start a new sidecar on the running one's socket, then end the old one with SIGTERM."""
        name = f"sidecar-{number}"
        old = self.processes[name]
        await self.start_sidecar(number)
        old.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(old.wait(), END_TIMEOUT_S)
        except TimeoutError:
            self.crashes.append(f"{name} did not end within {END_TIMEOUT_S:g} s of its upgrade")
            old.kill()
            await old.wait()

    def sample_sidecars(self) -> None:
        """Record the sidecars' resource usage and ejections."""
        for number in range(1, self.scenario.sidecar_count + 1):
            name = f"sidecar-{number}"
            if usage := resource_usage(self.processes[name].pid):
                self.event_log.record(EventKind.RESOURCES_USED, name=name, **usage)
            self.ejections.read(name)


def _port(address: str) -> int:
    """Return the port of an address; 0, for any free port, if the address is empty."""
    return int(address.rpartition(":")[2]) if address else 0
