"""A scenario of the lab with the whole program on loopback sockets, in simulated time.

`play` runs this file as a program, once for each build: nodes, directory, clients and sidecars share one
loop. Its clock stands still while bytes are under way, however slow the machine is, and leaps to the next
timer when all is quiet. So what is late is late by what the program waits for, and a build is judged alike
on a busy machine. What the program's own work takes is not judged here.
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
MIN_WAIT_S = 0.001  # seconds, the least that a selector waits: what the kernel has in hand arrives in less
STALL_TIMEOUT_S = 60.0  # seconds without a timer or a byte: nothing will come any more
PLAY_TIMEOUT_S = 300.0  # seconds of real time for one scenario, some 3 on an idle machine


class Clock:
    """What the modules of the program take for the system's clock. In nanoseconds, as floats lose them."""

    def __init__(self) -> None:
        self.now = 1_000_000_000_000
        self.epoch_offset_ns = 1_700_000_000_000_000_000  # of the Unix epoch

    def advance(self, seconds: float) -> None:
        self.now += math.ceil(seconds * 1e9)

    def install(self) -> None:
        """Before anything of the program is imported: it takes the functions by their names."""
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
        found = super().select(0)
        if found or timeout == 0:
            return found
        if timeout is None:
            found = super().select(STALL_TIMEOUT_S)
            if not found:
                raise RuntimeError("everybody waits, and nothing can come")
            return found
        found = super().select(MIN_WAIT_S)
        if not found:
            self.clock.advance(timeout)
        return found


@dataclass
class Outcome:
    """What a run came to."""

    findings: list  # (rule, text) of each
    crashed: list  # exceptions that nobody caught, and whoever did not end
    requests: int  # attempts that clients sent

    @property
    def broken_rules(self):
        return {rule for rule, _ in self.findings}


def run_scenario(scenario, run_dir, seed, program=None):
    """Play it with a build of the program, this one without `program`; the event logs are in `run_dir`."""
    import msgspec

    given = run_dir / "scenario.json"
    given.write_bytes(msgspec.json.encode(scenario))
    done = subprocess.run(
        [sys.executable, str(Path(__file__)), str(given), str(seed)],
        env={**os.environ, "PYTHONPATH": str(program or TESTS.parent)},
        capture_output=True,
        text=True,
        timeout=PLAY_TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 0, done.stderr[-4000:]
    return Outcome(**json.loads(done.stdout.splitlines()[-1]))


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
        runner_of_scenario = SimulatedRunner(scenario, path.parent, seed)
        result = runner.run(runner_of_scenario.run())
    findings = [(finding.rule, finding.text) for finding in result.report.findings]
    requests = sum(counts["asked"] for counts in result.report.by_class.values())
    print(json.dumps({"findings": findings, "crashed": crashed + result.crashes, "requests": requests}))


if __name__ == "__main__":
    main(Path(sys.argv[1]), int(sys.argv[2]))
