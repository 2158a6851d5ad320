"""The sidecar processes of a run, and the directory that lists the servers for them."""

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

LISTENING_MARKER = " listens at "  # part of the line that a sidecar logs once it listens
LOG_POLL_INTERVAL_S = 0.01
KILL_DELAY_S = 0.7  # after SIGTERM, beyond the longest deadline
DEBUG_CONFIG = '[log]\nlevel = "debug"\nper_second = 10000\n'
SIGSTOP_DELAY_S = 0.003  # until SIGSTOP has surely taken effect


class FleetError(OchreflowError):
    """A sidecar did not start; the message gives the reason."""


class Fleet:
    """Owns the sidecar processes, which run the package of `checkout`, and the directory."""

    def __init__(
        self,
        plan: Plan,
        run_dir: Path,
        checkout: Path,
        recorder: EventRecorder,
        servers: list[Server],
        *,
        with_debug_lines: bool = False,
    ) -> None:
        """Prepare the processes of a run, whose files are written to `run_dir`."""
        self.arguments = self._debug_arguments(run_dir) if with_debug_lines else ()
        self.plan = plan
        self.run_dir = run_dir.absolute()
        self.checkout = checkout
        self.recorder = recorder
        self.servers = servers
        self.event_log = EventLog(self.run_dir / "directory.jsonl")
        self.directory = FakeDirectory(self.event_log, asyncio.get_running_loop())
        self.directory_address = ""
        self.directory_listener: asyncio.Server | None = None
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.kill_times: dict[int, float] = {}
        self.freeze_counts: dict[int, int] = defaultdict(int)  # freezes in effect, by sidecar
        self.start_count = 0
        self.stopping: set[int] = set()  # sidecars that are being stopped on purpose
        self.crashed: list[str] = []

    @staticmethod
    def _debug_arguments(run_dir: Path) -> tuple[str, ...]:
        """Write a configuration that logs each attempt and final response; return the arguments for it."""
        path = (run_dir / "debug.toml").absolute()
        path.write_text(DEBUG_CONFIG)
        return ("--config", str(path))

    # The directory

    async def start(self) -> None:
        """Start the directory and all sidecars."""
        loop = asyncio.get_running_loop()
        self.directory_listener = await loop.create_server(self.directory.service.connection, HOST, 0)
        self.directory_address = f"{HOST}:{self.directory_listener.sockets[0].getsockname()[1]}"
        for server in self.servers:
            self.publish(server)
        await asyncio.gather(*(self.start_sidecar(number) for number in range(self.plan.sidecars)))

    def publish(self, server: Server, status: str = "SERVING", since_ms: int = 0) -> None:
        """Publish the state of a server in the directory."""
        self.directory.put(directory_entry(server, status, since_ms))

    # The sidecars

    async def start_sidecar(self, number: int) -> None:
        """Start a sidecar and wait until it listens; a restarted one keeps its address."""
        self.start_count += 1
        log_path = self.run_dir / f"sidecar-{number}-{self.start_count}.log"
        path = self.configure(number)
        with log_path.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ochreflow",
                *self.arguments,
                stdout=file,
                stderr=file,
                cwd=self.checkout,
                env={**os.environ, "GW_CONFIG": str(path), "PYTHONPATH": str(self.checkout)},
            )
        self.processes[number] = process
        output = await self._wait_until_listening(number, process, log_path)
        host, _, port = output.split(LISTENING_MARKER)[1].split()[0].rpartition(":")
        self.addresses[number] = (host, int(port))
        self.stopping.discard(number)

    @staticmethod
    async def _wait_until_listening(number: int, process: asyncio.subprocess.Process, log_path: Path) -> str:
        """Wait until a sidecar listens and return its output; raise FleetError if it does not."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while LISTENING_MARKER not in (output := log_path.read_text(errors="replace")):
                    if process.returncode is not None:
                        last_line = (output.strip().splitlines() or ["no output"])[-1]
                        message = f"sidecar {number} did not start: {last_line}"
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
        """Write the configuration file of a sidecar and return its path."""
        path = self.run_dir / f"sidecar-{number}.json"
        path.write_text(json.dumps(self._configuration(number)))
        return path

    @asynccontextmanager
    async def frozen(self, number: int) -> AsyncIterator[None]:
        """Stop a sidecar with SIGSTOP while the context lasts; overlapping freezes are counted."""
        self.freeze_counts[number] += 1
        self._signal(number, signal.SIGSTOP)
        try:
            await asyncio.sleep(SIGSTOP_DELAY_S)
            yield
        finally:
            self.freeze_counts[number] -= 1
            if not self.freeze_counts[number]:
                self._signal(number, signal.SIGCONT)

    def _signal(self, number: int, signal_number: signal.Signals) -> None:
        process = self.processes.get(number)
        if process is not None and process.returncode is None:
            with suppress(ProcessLookupError):
                process.send_signal(signal_number)

    async def apply_change(self, number: int, change: SidecarChange, seconds: float) -> None:
        """Freeze, reconfigure or stop a sidecar; start a stopped one again."""
        if change is SidecarChange.FREEZE:
            async with self.frozen(number):
                await asyncio.sleep(seconds)
            return
        self.recorder.record_process_event(f"sidecar {number} gets {change.value}")
        if change is SidecarChange.HUP:
            self.configure(number)
            self._signal(number, signal.SIGHUP)
            return
        self.stopping.add(number)
        process = self.processes[number]
        if change is SidecarChange.KILL:
            await self._kill(number)
        else:
            self._signal(number, signal.SIGTERM)
            longest_deadline = max(request_class.deadline for request_class in self.plan.classes)
            try:
                await asyncio.wait_for(process.wait(), longest_deadline + KILL_DELAY_S)
                self.recorder.record_process_event(f"sidecar {number} has ended")
            except TimeoutError:
                await self._kill(number)
        await self.start_sidecar(number)
        self.recorder.record_process_event(f"sidecar {number} is back")

    async def _kill(self, number: int) -> None:
        self.kill_times[number] = math.inf  # until the process has exited: all its connections end with it
        self._signal(number, signal.SIGKILL)
        await self.processes[number].wait()
        self.kill_times[number] = self.recorder.now()
        self.recorder.record_process_event(f"sidecar {number} was killed")

    def killed_at(self, number: int) -> float:
        """Return when a sidecar was last killed, or -1; connections opened before ended with its process."""
        return self.kill_times.get(number, -1.0)

    async def stop(self) -> None:
        """Stop all sidecars and the directory; list sidecars that had ended unexpectedly in `crashed`."""
        for number, process in self.processes.items():
            if process.returncode is not None and number not in self.stopping:
                self.crashed.append(f"sidecar {number} ended unexpectedly: exit code {process.returncode}")
            self._signal(number, signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        if self.directory_listener is not None:
            self.directory_listener.close()
        self.directory.close()
        self.event_log.close()

    def publish_restart(self, server: Server) -> None:
        """Publish a server as restarted at the current time."""
        self.publish(server, since_ms=int(time() * 1000))
