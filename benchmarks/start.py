"""From start to the first "ready" at a share of a core, and what the processor time of a start goes into.

    python benchmarks/start.py [--starts N] [--shares 1 1/2 ...] [--servers N] [--slice MS]

A share is made by stopping and continuing the process by its own processor time, as the kernel counts it
(/proc/PID/schedstat): after each slice it is held until what it used is that share of the time since the
slice began, so that none is saved up. The sidecar is a copy as the build leaves it, with its bytecode; its
directory is up, or nobody listens at its address. Starts come one after another. Prints one JSON object;
how far it is goes to standard error. Exit code 1 if a start was not ready within MAX_START_S.
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

TARGETS_S = (10.0, 6.0)  # within which nine in ten starts are to be ready, the second on a short day
MAX_START_S = 60.0  # that a start may take here
SHARES = "1 1/2 1/5 1/10 1/20 1/32"
SHARE_WITHOUT_DIRECTORY = Fraction(1, 10)  # the share at which it is also measured without a directory
READY = b"GET /-/ready HTTP/1.1\r\nHost: sidecar\r\n\r\n"
LIBRARY = ctypes.CDLL(None)  # loaded here, so that a start does not pay for it
PR_SET_PDEATHSIG = 1  # of prctl: the signal that a process gets when its parent dies

MARKS = """
import time
marks = [time.process_time()]
def mark():
    marks.append(time.process_time())
from ochreflow.app import process
mark()
read, said = process.read_config, process.log.info
def reads(path):
    made = read(path)
    mark()
    return made
def info(what, **fields):
    said(what, **fields)
    if what == "listening":
        mark()
        print(*marks, flush=True)
        process.os.kill(process.os.getpid(), process.signal.SIGTERM)
process.read_config, process.log.info = reads, info
process.sys.exit(process.main())
"""
PARTS = ("interpreter", "imports", "configuration", "until it listens")


class Discovery:
    """The lab's directory in a thread, with so many servers, all at one socket that nobody reads."""

    def __init__(self, servers: int, directory: Path) -> None:
        """Start it, and return once it listens; its event log goes below `directory`."""
        self.nodes = socket.create_server((HOST, 0), backlog=512)
        address = f"{HOST}:{self.nodes.getsockname()[1]}"
        entry = {"address": address, "zone": "amman", "type": "gen3", "status": "SERVING", "weight": 1.0}
        names = ({"name": f"node-{number}", "group": 1 + number // 4} for number in range(servers))
        self.listed = [{**entry, "since_ms": 0, **name} for name in names]
        self.event_log = EventLog(directory / "directory.jsonl")
        self.address = ""
        up = threading.Event()
        threading.Thread(target=lambda: uvloop.run(self._serve(up)), daemon=True).start()
        up.wait()

    async def _serve(self, up: threading.Event) -> None:
        loop = asyncio.get_running_loop()
        self.directory = FakeDirectory(self.event_log, loop)
        for entry in self.listed:
            self.directory.put(entry)
        server = await loop.create_server(self.directory.service.connection, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        up.set()
        await asyncio.Event().wait()

    @property
    def watched(self) -> bool:
        """Whether a sidecar has its list, and waits for changes."""
        return any(not watch.request.disconnected for watch in list(self.directory.watches))


def unused_address() -> str:
    """Find an address at which nobody listens."""
    with socket.create_server((HOST, 0)) as sock:
        return f"{HOST}:{sock.getsockname()[1]}"


@contextlib.contextmanager
def started(directory: Path, path: Path, *command: str, **pipes: int) -> Iterator[subprocess.Popen[bytes]]:
    """Start a process of the sidecar's copy; it is gone at the end of this, whatever happens."""
    process = subprocess.Popen(
        [sys.executable, *command],
        cwd=directory,
        env={**os.environ, "GW_CONFIG": str(path)},
        preexec_fn=lambda: LIBRARY.prctl(PR_SET_PDEATHSIG, signal.SIGKILL),
        **pipes,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


@dataclass
class Start:
    """The times of one start, in seconds."""

    real: float  # from its start to its first "ready"; infinite if it was not ready in MAX_START_S
    used: float  # of processor time in them
    waited: float  # ... in which it could have run, and had no core
    listed: float | None = None  # of processor time from then on, until it had the first list


class ThrottledProcess:
    """A process that runs at a share of a core, until it is ready and beyond."""

    def __init__(self, process: subprocess.Popen[bytes], share: Fraction, slice_s: float) -> None:
        """Take over a process whose log is a pipe; it runs for slices of `slice_s` seconds."""
        assert process.stderr is not None
        self.process = process
        self.share = float(share)
        self.slice_s = slice_s
        self.log = process.stderr.fileno()
        os.set_blocking(self.log, False)
        self.text = b""
        self.probe: socket.socket | None = None
        self.ready_at = 0.0

    def times(self) -> tuple[float, float]:
        """Read its processor time, and how long it waited for a core, in seconds. It has one thread."""
        used, waited, _ = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        return int(used) / 1e9, int(waited) / 1e9

    def look(self, seconds: float) -> None:
        """Read its log for so many seconds: where it listens, then whether it is ready."""
        end = perf_counter() + seconds
        while not self.ready_at and (remaining := end - perf_counter()) > 0.0:
            files = [self.log] if self.probe is None else [self.log, self.probe]
            got, _, _ = select.select(files, [], [], remaining)
            if self.probe is not None and self.probe in got:
                if not self.probe.recv(4096).startswith(b"HTTP/1.1 200"):
                    message = "its first answer was not that it is ready"
                    raise SystemExit(message)
                self.ready_at = perf_counter()
                self.probe.close()
            elif self.log in got:
                self._read()
        if (remaining := end - perf_counter()) > 0.0:
            select.select([], [], [], remaining)

    def _read(self) -> None:
        data = os.read(self.log, 65536)
        if not data:
            message = f"it did not start: {self.text.decode()}"
            raise SystemExit(message)
        self.text += data
        if self.probe is None and (match := re.search(rb" listens at [\d.]+:(\d+)\n", self.text)):
            self.probe = socket.create_connection((HOST, int(match[1])))
            self.probe.sendall(READY)

    def run_slice(self) -> None:
        """Let it run for a slice, and hold it until that is no more than its share."""
        begin, (before, _) = perf_counter(), self.times()
        self.process.send_signal(signal.SIGCONT)
        self.look(self.slice_s)
        if self.share >= 1.0:
            return
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)
        self.throttle(begin, self.times()[0] - before)

    def throttle(self, begin: float, used: float) -> None:
        """Leave it stopped until `used` seconds of processor time are its share of the time since `begin`."""
        if (remaining := begin + used / self.share - perf_counter()) > 0.0:
            self.look(remaining)


def start(directory: Path, path: Path, share: Fraction, slice_s: float, discovery: Discovery | None) -> Start:
    """Start the sidecar once at a share of a core; with a discovery until it has the first list too."""
    begun = perf_counter()
    with started(directory, path, "-m", "ochreflow", stderr=subprocess.PIPE) as process:
        throttled = ThrottledProcess(process, share, slice_s)
        if share < 1:  # what it ran already counts
            process.send_signal(signal.SIGSTOP)
            os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)
            throttled.throttle(begun, throttled.times()[0])
        while not throttled.ready_at:
            if perf_counter() - begun > MAX_START_S:
                return Start(float("inf"), *throttled.times())
            throttled.run_slice()
        used, waited = throttled.times()
        made = Start(throttled.ready_at - begun, used, waited)
        while discovery is not None and not discovery.watched:
            if perf_counter() - begun > MAX_START_S:
                return made
            throttled.run_slice()
        if discovery is not None:
            made.listed = throttled.times()[0] - used
    end = perf_counter() + MAX_START_S
    while discovery is not None and discovery.watched:  # or the next one's watch is taken for this one's
        if perf_counter() > end:
            message = "the directory still holds the watch of a process that is gone"
            raise SystemExit(message)
        select.select([], [], [], slice_s)
    return made


def measure_parts(directory: Path, path: Path) -> list[float]:
    """Measure the processor time of each of PARTS, in seconds."""
    with started(directory, path, "-c", MARKS, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL) as process:
        out, _ = process.communicate(timeout=MAX_START_S)
    marks = [float(mark) for mark in out.split()]
    return [after - before for before, after in zip([0.0, *marks], marks, strict=False)]


def spread(values: list[float], unit: float = 1.0, digits: int = 3) -> list[float]:
    """Round the least, the median and the most of the values, in `unit` parts of one."""
    return [round(value * unit, digits) for value in (min(values), statistics.median(values), max(values))]


def row(share: Fraction, *, directory_up: bool, made: list[Start]) -> dict[str, object]:
    """Sum up the starts of one kind."""
    listed = [one.listed for one in made if one.listed is not None]
    return {
        "share": str(share),
        "directory": "up" if directory_up else "down",
        "starts": len(made),
        **{f"ready within {target:g} s": sum(one.real <= target for one in made) for target in TARGETS_S},
        "real_s": spread([one.real for one in made]),
        "processor_ms": spread([one.used for one in made], 1e3, 1),
        "real_by_share_to_processor": spread([one.real * float(share) / one.used for one in made]),
        "waited_for_a_core_ms": spread([one.waited for one in made], 1e3, 1),
        **({"then_first_list_ms": spread(listed, 1e3, 1)} if listed else {}),
    }


def copy_program(directory: Path) -> None:
    """Copy the program, with the bytecode that the build leaves."""
    shutil.copytree(ROOT / "ochreflow", directory / "ochreflow", ignore=shutil.ignore_patterns("__pycache__"))
    subprocess.run([sys.executable, "-m", "compileall", "-q", "ochreflow"], cwd=directory, check=True)


def parse_share(text: str) -> Fraction:
    """Read a share of a core. ValueError, which the parser tells: it is no number above 0 and at most 1."""
    top, _, bottom = text.partition("/")
    if not int(bottom or 1) or not 0 < (share := Fraction(int(top), int(bottom or 1))) <= 1:
        raise ValueError
    return share


def main() -> int:
    """Measure all kinds of starts, and print the figures; 1 if a start was not ready in MAX_START_S."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--starts", type=int, default=5, help="of each kind")
    parser.add_argument(
        "--shares", type=parse_share, nargs="+", default=[Fraction(one) for one in SHARES.split()]
    )
    parser.add_argument("--servers", type=int, default=200)
    parser.add_argument("--slice", type=float, default=2.0, help="milliseconds that it runs at a time")
    given = parser.parse_args()
    if given.starts < 1 or not all(0 < share <= 1 for share in given.shares):
        parser.error("there is at least one start, and a share is above 0 and at most 1")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    rows = []
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(temporary)
        copy_program(directory)
        discovery = Discovery(given.servers, directory)
        paths = {up: directory / f"config-{'up' if up else 'down'}.json" for up in (True, False)}
        for up, path in paths.items():
            path.write_text(
                json.dumps(config(discovery.address if up else unused_address(), discovery.listed))
            )
        measure_parts(directory, paths[True])  # the first start after the copy is not like the others
        part_times = [measure_parts(directory, paths[True]) for _ in range(given.starts)]
        for share in given.shares:
            for up in (True, False) if share == SHARE_WITHOUT_DIRECTORY else (True,):
                made = []
                for number in range(given.starts):
                    made.append(
                        start(directory, paths[up], share, given.slice / 1e3, discovery if up else None)
                    )
                    head = f"share {share}, directory {'up' if up else 'down'}, {number + 1}/{given.starts}"
                    print(f"{head}: ready after {made[-1].real:.3f} s", file=sys.stderr, flush=True)
                rows.append((share, up, made))
    names = zip(PARTS, zip(*part_times, strict=True), strict=True)
    result = {
        "of": "least, median, most",
        "starts": [row(share, directory_up=up, made=made) for share, up, made in rows],
        "parts_ms": {name: spread(list(values), 1e3, 1) for name, values in names},
    }
    print(
        re.sub(r"\[\s+([\d.]+),\s+([\d.]+),\s+([\d.]+)\s+\]", r"[\1, \2, \3]", json.dumps(result, indent=1))
    )
    return int(any(one.real > MAX_START_S for _, _, made in rows for one in made))


if __name__ == "__main__":
    sys.exit(main())
