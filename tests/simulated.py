"""Runs a scenario of the lab with the complete program on loopback sockets, in simulated time.

`run_scenario` runs this file as a program, once for each build: nodes, directory, clients and sidecars share
one loop. Its clock stands still while bytes are in transit, however slow the machine is, and advances to the
next timer when no socket is ready. Delays therefore stem only from what the program waits for, and a build
gets the same verdict on a busy machine. The program's own computing time is not judged here.
"""

import asyncio
import json
import math
import os
import selectors
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

TESTS = Path(__file__).parent
MIN_WAIT_S = 0.001  # shortest wait of a selector; bytes that the kernel holds arrive sooner
STALL_TIMEOUT_S = 60.0  # a run without a timer or a byte for this time is stalled
RUN_TIMEOUT_S = 300.0  # real time for one scenario, which takes some 3 s on an idle machine


class Clock:
    """Replaces the system's clock for the program; counts nanoseconds, as floats are too coarse for them."""

    def __init__(self) -> None:
        self.now = 1_000_000_000_000
        self.epoch_offset_ns = 1_700_000_000_000_000_000  # Unix time in ns at which `now` is 0

    def advance(self, seconds: float) -> None:
        self.now += math.ceil(seconds * 1e9)

    def install(self) -> None:
        """Replace the functions of `time`, before the program is imported, which binds them by name."""
        time.monotonic_ns = lambda: self.now
        time.monotonic = lambda: self.now / 1e9
        time.time_ns = lambda: self.epoch_offset_ns + self.now
        time.time = lambda: (self.epoch_offset_ns + self.now) / 1e9


class SimulatedTimeSelector(selectors.DefaultSelector):
    """Waits for sockets in real time, for timers in simulated time."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout=None):
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            ready = super().select(STALL_TIMEOUT_S)
            if not ready:
                raise RuntimeError("everybody waits, and nothing can come")
            return ready
        ready = super().select(MIN_WAIT_S)
        if not ready:
            self.clock.advance(timeout)
        return ready


@dataclass
class Outcome:
    """The result of a run."""

    findings: list  # a (rule, text) pair for each finding
    crashed: list  # uncaught exceptions, and sidecars that did not end
    requests: int  # attempts that clients sent

    @property
    def broken_rules(self):
        return {rule for rule, _ in self.findings}


def run_scenario(scenario, run_dir, seed, program=None):
    """Run a scenario with the build in `program`, by default this one; its event logs are in `run_dir`."""
    import msgspec

    scenario_file = run_dir / "scenario.json"
    scenario_file.write_bytes(msgspec.json.encode(scenario))
    process = subprocess.run(
        [sys.executable, str(Path(__file__)), str(scenario_file), str(seed)],
        env={**os.environ, "PYTHONPATH": str(program or TESTS.parent)},
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
    )
    assert process.returncode == 0, process.stderr[-4000:]
    return Outcome(**json.loads(process.stdout.splitlines()[-1]))


def main(path: Path, seed: int) -> None:
    clock = Clock()
    clock.install()
    import msgspec
    from simulated_environment import SimulatedRunner

    from ochreflow.lab.scenario import Scenario

    scenario = msgspec.json.decode(path.read_bytes(), type=Scenario)
    crashed: list[str] = []
    with asyncio.Runner(
        loop_factory=lambda: asyncio.SelectorEventLoop(SimulatedTimeSelector(clock))
    ) as runner:
        runner.get_loop().set_exception_handler(
            lambda loop, context: crashed.append(f"{context['message']}: {context.get('exception')!r}")
        )
        scenario_runner = SimulatedRunner(scenario, path.parent, seed)
        result = runner.run(scenario_runner.run())
    findings = [(finding.rule, finding.text) for finding in result.report.findings]
    requests = sum(counts["asked"] for counts in result.report.by_class.values())
    print(json.dumps({"findings": findings, "crashed": crashed + result.crashes, "requests": requests}))


if __name__ == "__main__":
    main(Path(sys.argv[1]), int(sys.argv[2]))
