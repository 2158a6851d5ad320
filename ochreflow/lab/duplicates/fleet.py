"""The sidecars of a run as processes, and the directory from which they get their servers."""

from __future__ import annotations

import asyncio
import json
import math
import os
import signal
import sys
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from time import time

from ...errors import OchreflowError
from ..event_log import EventLog
from ..fake_directory import FakeDirectory
from ..platform_config import HOST
from ..process_environment import START_TIMEOUT_S
from .plan import Plan, SidecarChange
from .recorder import EventRecorder
from .server import Server
from .sidecar_config import directory_entry, sidecar_configuration

LISTENS = " listens at "  # in the line that a sidecar logs once it listens
LOG_POLL_INTERVAL_S = 0.01
KILL_DELAY_S = 0.7  # after SIGTERM and the longest deadline
DEBUG_LINES = '[log]\nlevel = "debug"\nper_second = 10000\n'
SIGSTOP_DELAY_S = 0.003  # until a process that gets SIGSTOP runs no more


class FleetError(OchreflowError):
    """A sidecar did not start; the text says why."""


class Fleet:
    """Owns the processes. `program` is the checkout that their package is taken from."""

    def __init__(
        self,
        plan: Plan,
        run_dir: Path,
        program: Path,
        recorder: EventRecorder,
        servers: list[Server],
        *,
        with_debug_lines: bool = False,
    ) -> None:
        """Prepare the processes of a run, whose files go into `run_dir`."""
        self.options = self._debug_options(run_dir) if with_debug_lines else ()
        self.plan = plan
        self.run_dir = run_dir.absolute()
        self.program = program
        self.recorder = recorder
        self.servers = servers
        self.event_log = EventLog(self.run_dir / "directory.jsonl")
        self.directory = FakeDirectory(self.event_log, asyncio.get_running_loop())
        self.directory_address = ""
        self.listening: asyncio.Server | None = None  # the directory's
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.killed: dict[int, float] = {}
        self.freezes: dict[int, int] = defaultdict(int)  # that last, by sidecar
        self.starts = 0
        self.ending: set[int] = set()  # sidecars that were asked to end
        self.crashed: list[str] = []

    @staticmethod
    def _debug_options(run_dir: Path) -> tuple[str, ...]:
        """The command line of a sidecar that logs each attempt and final response."""
        path = (run_dir / "debug.toml").absolute()
        path.write_text(DEBUG_LINES)
        return ("--config", str(path))

    # The directory

    async def start(self) -> None:
        """Start the directory and all sidecars."""
        loop = asyncio.get_running_loop()
        self.listening = await loop.create_server(self.directory.service.connection, HOST, 0)
        self.directory_address = f"{HOST}:{self.listening.sockets[0].getsockname()[1]}"
        for server in self.servers:
            self.publish(server)
        await asyncio.gather(*(self.start_sidecar(number) for number in range(self.plan.sidecars)))

    def publish(self, server: Server, status: str = "SERVING", since_ms: int = 0) -> None:
        """Publish the state of a server in the directory."""
        self.directory.put(directory_entry(server, status, since_ms))

    # The sidecars

    async def start_sidecar(self, number: int) -> None:
        """Start one, at the address where it listened before."""
        self.starts += 1
        log = self.run_dir / f"sidecar-{number}-{self.starts}.log"
        path = self.configure(number)
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ochreflow",
                *self.options,
                stdout=file,
                stderr=file,
                cwd=self.program,
                env={**os.environ, "GW_CONFIG": str(path), "PYTHONPATH": str(self.program)},
            )
        self.processes[number] = process
        output = await self._wait_until_listening(number, process, log)
        host, _, port = output.split(LISTENS)[1].split()[0].rpartition(":")
        self.addresses[number] = (host, int(port))
        self.ending.discard(number)

    @staticmethod
    async def _wait_until_listening(number: int, process: asyncio.subprocess.Process, log: Path) -> str:
        """Wait until a sidecar listens, and return its output; FleetError if it does not."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while LISTENS not in (output := log.read_text(errors="replace")):
                    if process.returncode is not None:
                        last = (output.strip().splitlines() or ["it said nothing"])[-1]
                        message = f"sidecar {number} did not start: {last}"
                        raise FleetError(message)
                    await asyncio.sleep(LOG_POLL_INTERVAL_S)
        except TimeoutError:
            message = f"sidecar {number} did not listen within {START_TIMEOUT_S:g} s"
            raise FleetError(message) from None
        return output

    def _configuration(self, number: int) -> dict[str, object]:
        return sidecar_configuration(
            self.plan,
            number,
            listen=self.addresses.get(number, (HOST, 0)),
            directory_address=self.directory_address,
            entries=[directory_entry(server) for server in self.servers],
        )

    def configure(self, number: int) -> Path:
        """Write the configuration of a sidecar."""
        path = self.run_dir / f"sidecar-{number}.json"
        path.write_text(json.dumps(self._configuration(number)))
        return path

    @asynccontextmanager
    async def frozen(self, number: int) -> AsyncIterator[None]:
        """Keep a sidecar from running; several who want that at once share it."""
        self.freezes[number] += 1
        self._signal(number, signal.SIGSTOP)
        try:
            await asyncio.sleep(SIGSTOP_DELAY_S)
            yield
        finally:
            self.freezes[number] -= 1
            if not self.freezes[number]:
                self._signal(number, signal.SIGCONT)

    def _signal(self, number: int, which: signal.Signals) -> None:
        process = self.processes.get(number)
        if process is not None and process.returncode is None:
            with suppress(ProcessLookupError):
                process.send_signal(which)

    async def apply_change(self, number: int, change: SidecarChange, seconds: float) -> None:
        """Do something to a sidecar; one that ends is started again."""
        if change is SidecarChange.FREEZE:
            async with self.frozen(number):
                await asyncio.sleep(seconds)
            return
        self.recorder.record_process_event(f"sidecar {number} gets {change.value}")
        if change is SidecarChange.HUP:
            self.configure(number)
            self._signal(number, signal.SIGHUP)
            return
        self.ending.add(number)
        process = self.processes[number]
        if change is SidecarChange.KILL:
            await self._kill(number)
        else:
            self._signal(number, signal.SIGTERM)
            longest = max(cls.deadline for cls in self.plan.classes)
            try:
                await asyncio.wait_for(process.wait(), longest + KILL_DELAY_S)
                self.recorder.record_process_event(f"sidecar {number} has ended")
            except TimeoutError:
                await self._kill(number)
        await self.start_sidecar(number)
        self.recorder.record_process_event(f"sidecar {number} is back")

    async def _kill(self, number: int) -> None:
        self.killed[number] = math.inf  # until it is over: what is still connected to it is cut
        self._signal(number, signal.SIGKILL)
        await self.processes[number].wait()
        self.killed[number] = self.recorder.now()
        self.recorder.record_process_event(f"sidecar {number} was killed")

    def killed_at(self, number: int) -> float:
        """Until when connections to a sidecar were to a process that was then killed."""
        return self.killed.get(number, -1.0)

    async def stop(self) -> None:
        """End all that was started."""
        for number, process in self.processes.items():
            if process.returncode is not None and number not in self.ending:
                self.crashed.append(f"sidecar {number} ended by itself: exit code {process.returncode}")
            self._signal(number, signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        if self.listening is not None:
            self.listening.close()
        self.directory.close()
        self.event_log.close()

    def publish_restart(self, server: Server) -> None:
        """Publish a server that has just started again."""
        self.publish(server, since_ms=int(time() * 1000))
