"""Startup time until the first "ready" at a share of a core, and the CPU time of each part of the startup.

    python benchmarks/start.py [--starts N] [--shares 1 1/2 ...] [--servers N] [--slice MS]

A share is enforced with SIGSTOP and SIGCONT according to the CPU time that the kernel reports in
/proc/PID/schedstat: after each slice the process stays stopped until its CPU time is that share of the time
since the slice began, so it cannot accumulate unused time. The sidecar is a copy with compiled bytecode, as
in the build; its directory is up, or its address is not listening. Starts run one after another. Prints one
JSON object, and the progress to standard error. Exit code 1 if a start was not ready within MAX_START_S.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import ctypes
import json
import os
import re
import select
import shutil
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
from collections.abc import Iterator
from dataclasses import dataclass
from fractions import Fraction
from pathlib import Path
from time import perf_counter

import uvloop
from checkout import ROOT
from overhead import HOST, config

from ochreflow.lab.event_log import EventLog
from ochreflow.lab.fake_directory import FakeDirectory

TARGETS_S = (10.0, 6.0)  # time limits for 90 % of the starts: normally, and on a short day
MAX_START_S = 60.0  # time after which a start counts as failed
SHARES = "1 1/2 1/5 1/10 1/20 1/32"
SHARE_WITHOUT_DIRECTORY = Fraction(1, 10)  # the share that is also measured with the directory down
READY = b"GET /-/ready HTTP/1.1\r\nHost: sidecar\r\n\r\n"
LIBC = ctypes.CDLL(None)  # loaded here, so that loading does not add to the startup time
PR_SET_PDEATHSIG = 1  # prctl option: the signal sent to a process when its parent dies

TIMING_PROGRAM = """
import time
marks = [time.process_time()]
def mark():
    marks.append(time.process_time())
from ochreflow.app import process
mark()
read_config, log_info = process.read_config, process.log.info
def timed_read_config(path):
    config = read_config(path)
    mark()
    return config
def timed_log_info(event, **fields):
    log_info(event, **fields)
    if event == "listening":
        mark()
        print(*marks, flush=True)
        process.os.kill(process.os.getpid(), process.signal.SIGTERM)
process.read_config, process.log.info = timed_read_config, timed_log_info
process.sys.exit(process.main())
"""
PARTS = ("interpreter", "imports", "configuration", "until it listens")


class DirectoryThread:
    """The lab's directory in a thread; all its servers share the address of one socket that is never read."""

    def __init__(self, servers: int, directory: Path) -> None:
        """Start the directory and wait until it listens; write its event log below `directory`."""
        self.nodes = socket.create_server((HOST, 0), backlog=512)
        address = f"{HOST}:{self.nodes.getsockname()[1]}"
        entry = {"address": address, "zone": "amman", "type": "gen3", "status": "SERVING", "weight": 1.0}
        names = ({"name": f"node-{number}", "group": 1 + number // 4} for number in range(servers))
        self.endpoints = [{**entry, "since_ms": 0, **name} for name in names]
        self.event_log = EventLog(directory / "directory.jsonl")
        self.address = ""
        listening = threading.Event()
        threading.Thread(target=lambda: uvloop.run(self._serve(listening)), daemon=True).start()
        listening.wait()

    async def _serve(self, listening: threading.Event) -> None:
        loop = asyncio.get_running_loop()
        self.directory = FakeDirectory(self.event_log, loop)
        for entry in self.endpoints:
            self.directory.put(entry)
        server = await loop.create_server(self.directory.service.connection, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        listening.set()
        await asyncio.Event().wait()

    @property
    def has_watch(self) -> bool:
        """Whether a sidecar has received the list and waits for changes."""
        return any(not watch.request.disconnected for watch in list(self.directory.watches))


def unused_address() -> str:
    """Return an address with a closed port."""
    with socket.create_server((HOST, 0)) as sock:
        return f"{HOST}:{sock.getsockname()[1]}"


@contextlib.contextmanager
def running_process(
    directory: Path, path: Path, *command: str, **pipes: int
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a Python command in the sidecar's copy; the process is killed on exit from the context."""
    process = subprocess.Popen(
        [sys.executable, *command],
        cwd=directory,
        env={**os.environ, "GW_CONFIG": str(path)},
        preexec_fn=lambda: LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL),
        **pipes,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


@dataclass
class Start:
    """The durations of one start, in seconds."""

    ready_s: float  # time from the start to the first "ready"; infinite if not ready within MAX_START_S
    cpu_s: float  # CPU time until the first "ready"
    core_wait_s: float  # time spent runnable, but waiting for a core, until the first "ready"
    first_list_cpu_s: float | None = None  # CPU time from the first "ready" until the first list


class ThrottledProcess:
    """A process that is limited to a share of a core."""

    def __init__(self, process: subprocess.Popen[bytes], share: Fraction, slice_s: float) -> None:
        """Control a process whose standard error is a pipe; run it in slices of `slice_s` seconds."""
        assert process.stderr is not None
        self.process = process
        self.share = float(share)
        self.slice_s = slice_s
        self.log = process.stderr.fileno()
        os.set_blocking(self.log, False)
        self.log_text = b""
        self.probe: socket.socket | None = None
        self.ready_at = 0.0

    def times(self) -> tuple[float, float]:
        """Return the CPU time and the time spent waiting for a core, in seconds, of its only thread."""
        cpu_ns, core_wait_ns, _ = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        return int(cpu_ns) / 1e9, int(core_wait_ns) / 1e9

    def monitor(self, seconds: float) -> None:
        """Watch the process for `seconds`: read its port from the log, then probe whether it is ready."""
        end = perf_counter() + seconds
        while not self.ready_at and (remaining := end - perf_counter()) > 0.0:
            files = [self.log] if self.probe is None else [self.log, self.probe]
            readable, _, _ = select.select(files, [], [], remaining)
            if self.probe is not None and self.probe in readable:
                if not self.probe.recv(4096).startswith(b"HTTP/1.1 200"):
                    message = "the first response to GET /-/ready did not have status 200"
                    raise SystemExit(message)
                self.ready_at = perf_counter()
                self.probe.close()
            elif self.log in readable:
                self._read()
        if (remaining := end - perf_counter()) > 0.0:
            select.select([], [], [], remaining)

    def _read(self) -> None:
        data = os.read(self.log, 65536)
        if not data:
            message = f"the sidecar closed its log before it was ready: {self.log_text.decode()}"
            raise SystemExit(message)
        self.log_text += data
        if self.probe is None and (match := re.search(rb" listens at [\d.]+:(\d+)\n", self.log_text)):
            self.probe = socket.create_connection((HOST, int(match[1])))
            self.probe.sendall(READY)

    def run_slice(self) -> None:
        """Run the process for one slice, then keep it stopped until its CPU time matches its share."""
        slice_start, (cpu_before_s, _) = perf_counter(), self.times()
        self.process.send_signal(signal.SIGCONT)
        self.monitor(self.slice_s)
        if self.share >= 1.0:
            return
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)
        self.throttle(slice_start, self.times()[0] - cpu_before_s)

    def throttle(self, start_time: float, cpu_s: float) -> None:
        """Keep the process stopped until `cpu_s` seconds of CPU time are its share since `start_time`."""
        if (remaining := start_time + cpu_s / self.share - perf_counter()) > 0.0:
            self.monitor(remaining)


def measure_start(
    directory: Path, path: Path, share: Fraction, slice_s: float, discovery: DirectoryThread | None
) -> Start:
    """Measure one start at a share of a core; with `discovery`, also until the first list is received."""
    start_time = perf_counter()
    with running_process(directory, path, "-m", "ochreflow", stderr=subprocess.PIPE) as process:
        throttled = ThrottledProcess(process, share, slice_s)
        if share < 1:  # the CPU time used so far counts towards the share
            process.send_signal(signal.SIGSTOP)
            os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)
            throttled.throttle(start_time, throttled.times()[0])
        while not throttled.ready_at:
            if perf_counter() - start_time > MAX_START_S:
                return Start(float("inf"), *throttled.times())
            throttled.run_slice()
        cpu_s, core_wait_s = throttled.times()
        result = Start(throttled.ready_at - start_time, cpu_s, core_wait_s)
        while discovery is not None and not discovery.has_watch:
            if perf_counter() - start_time > MAX_START_S:
                return result
            throttled.run_slice()
        if discovery is not None:
            result.first_list_cpu_s = throttled.times()[0] - cpu_s
    end = perf_counter() + MAX_START_S
    while discovery is not None and discovery.has_watch:  # otherwise the next start would count this watch
        if perf_counter() > end:
            message = "the directory still holds the watch of a process that has exited"
            raise SystemExit(message)
        select.select([], [], [], slice_s)
    return result


def measure_parts(directory: Path, path: Path) -> list[float]:
    """Return the CPU time of each of PARTS in one start, in seconds."""
    with running_process(
        directory, path, "-c", TIMING_PROGRAM, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    ) as process:
        out, _ = process.communicate(timeout=MAX_START_S)
    marks = [float(mark) for mark in out.split()]
    return [after - before for before, after in zip([0.0, *marks], marks, strict=False)]


def spread(values: list[float], unit: float = 1.0, digits: int = 3) -> list[float]:
    """Return the minimum, median and maximum of the values, multiplied by `unit` and rounded."""
    return [round(value * unit, digits) for value in (min(values), statistics.median(values), max(values))]


def summarize(share: Fraction, *, directory_up: bool, starts: list[Start]) -> dict[str, object]:
    """Summarize the starts with one share and directory state."""
    first_list_cpu_s = [start.first_list_cpu_s for start in starts if start.first_list_cpu_s is not None]
    return {
        "share": str(share),
        "directory": "up" if directory_up else "down",
        "starts": len(starts),
        **{
            f"ready within {target:g} s": sum(start.ready_s <= target for start in starts)
            for target in TARGETS_S
        },
        "real_s": spread([start.ready_s for start in starts]),
        "processor_ms": spread([start.cpu_s for start in starts], 1e3, 1),
        "real_by_share_to_processor": spread(
            [start.ready_s * float(share) / start.cpu_s for start in starts]
        ),
        "waited_for_a_core_ms": spread([start.core_wait_s for start in starts], 1e3, 1),
        **({"then_first_list_ms": spread(first_list_cpu_s, 1e3, 1)} if first_list_cpu_s else {}),
    }


def copy_program(directory: Path) -> None:
    """Copy the program and compile its bytecode, as the build does."""
    shutil.copytree(ROOT / "ochreflow", directory / "ochreflow", ignore=shutil.ignore_patterns("__pycache__"))
    subprocess.run([sys.executable, "-m", "compileall", "-q", "ochreflow"], cwd=directory, check=True)


def parse_share(text: str) -> Fraction:
    """Parse a share of a core; raise ValueError, reported by argparse, unless it is above 0 and at most 1."""
    numerator, _, denominator = text.partition("/")
    if not int(denominator or 1) or not 0 < (share := Fraction(int(numerator), int(denominator or 1))) <= 1:
        raise ValueError
    return share


def main() -> int:
    """Measure all kinds of starts and print the results; return 1 if one exceeded MAX_START_S."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument(
        "--starts", type=int, default=5, help="number of starts for each share and directory state"
    )
    parser.add_argument(
        "--shares", type=parse_share, nargs="+", default=[Fraction(share) for share in SHARES.split()]
    )
    parser.add_argument("--servers", type=int, default=200)
    parser.add_argument(
        "--slice", type=float, default=2.0, help="milliseconds that the process runs before it is stopped"
    )
    options = parser.parse_args()
    if options.starts < 1 or not all(0 < share <= 1 for share in options.shares):
        parser.error("--starts must be at least 1; --shares must be above 0 and at most 1")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    rows = []
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(temporary)
        copy_program(directory)
        discovery = DirectoryThread(options.servers, directory)
        paths = {up: directory / f"config-{'up' if up else 'down'}.json" for up in (True, False)}
        for up, path in paths.items():
            path.write_text(
                json.dumps(config(discovery.address if up else unused_address(), discovery.endpoints))
            )
        measure_parts(directory, paths[True])  # warm-up: the first start after the copy is not representative
        part_times = [measure_parts(directory, paths[True]) for _ in range(options.starts)]
        for share in options.shares:
            for up in (True, False) if share == SHARE_WITHOUT_DIRECTORY else (True,):
                starts = []
                for number in range(options.starts):
                    starts.append(
                        measure_start(
                            directory, paths[up], share, options.slice / 1e3, discovery if up else None
                        )
                    )
                    progress = (
                        f"share {share}, directory {'up' if up else 'down'}, {number + 1}/{options.starts}"
                    )
                    print(f"{progress}: ready after {starts[-1].ready_s:.3f} s", file=sys.stderr, flush=True)
                rows.append((share, up, starts))
    names = zip(PARTS, zip(*part_times, strict=True), strict=True)
    result = {
        "of": "least, median, most",
        "starts": [summarize(share, directory_up=up, starts=starts) for share, up, starts in rows],
        "parts_ms": {name: spread(list(values), 1e3, 1) for name, values in names},
    }
    print(
        re.sub(r"\[\s+([\d.]+),\s+([\d.]+),\s+([\d.]+)\s+\]", r"[\1, \2, \3]", json.dumps(result, indent=1))
    )
    return int(any(start.ready_s > MAX_START_S for _, _, starts in rows for start in starts))


if __name__ == "__main__":
    sys.exit(main())
