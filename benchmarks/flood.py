"""Effect of a connection flood on the regular clients of a sidecar, with and without admission.

    python benchmarks/flood.py [--sockets 2000]

Runs a steady load from one address, served by a fake node, while sockets from 250 other loopback addresses
connect and send nothing or half a request head; a closed socket connects again. Prints one JSON object: the
share of requests within the target time and the p99, without a flood, and with one with admission off and on.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import socket
import tempfile
from pathlib import Path

import checkout  # noqa: F401 - puts this checkout on the import path
import msgspec
import uvloop

from ochreflow.lab.platform_config import RESOURCE_LIMITS
from ochreflow.lab.scenario import Scenario, read_scenario
from ochreflow.lab.scenario_runner import ScenarioRunner
from ochreflow.lab.sidecar_log import resource_usage

HOST = "127.0.0.1"
LOAD_S = 8.0
ADDRESSES = 250
HALF_HEAD = b"POST /assign/flags HTTP/1.1\r\nHost: x\r\nX-Req"
ADMISSION_ON = "[admission]\non = true\n"  # content of the operator's file
RECONNECT_DELAY_S = 0.2
SAMPLE_INTERVAL_S = 0.1


class Flood:
    """Sockets to one port; each of them connects again after being closed."""

    def __init__(self, port: int, sockets: int) -> None:
        """Prepare a flood of `sockets` sockets to `port`; nothing connects before `run`."""
        self.port = port
        self.sockets = sockets
        self.connects = 0

    async def run(self) -> None:
        """Connect all sockets within a second; reconnect closed ones until cancelled."""
        await asyncio.gather(*(self._keep_connected(number) for number in range(self.sockets)))

    async def _keep_connected(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(number / self.sockets)  # all within a second
        while True:
            with contextlib.suppress(OSError), socket.socket() as sock:
                sock.settimeout(0.0)
                sock.bind((f"127.{1 + number % ADDRESSES}.{number % 7}.1", 0))
                await loop.sock_connect(sock, (HOST, self.port))
                self.connects += 1
                if number % 2:
                    await loop.sock_sendall(sock, HALF_HEAD)
                while await loop.sock_recv(sock, 4096):
                    pass
            await asyncio.sleep(RECONNECT_DELAY_S)


async def run_case(
    scenario: Scenario, directory: Path, sockets: int, *, admission: bool
) -> dict[str, object]:
    """Run the scenario during a flood of `sockets` sockets; return the results of clients and sidecar."""
    runner = ScenarioRunner(scenario, directory, 1)
    flood_task: asyncio.Task[None] | None = None
    if admission:
        (directory / "operator.toml").write_text(ADMISSION_ON)
        runner.environment.sidecar_options = ("--config", str(directory / "operator.toml"))
    peak: dict[str, float] = {}

    async def monitor_sidecar() -> None:
        """Start the flood during the load, and sample the peak resource usage of the sidecar."""
        nonlocal flood_task
        while "sidecar-1" not in runner.environment.addresses or not runner.loads:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)  # the regular clients have completed requests before
        flood = Flood(int(runner.environment.addresses["sidecar-1"].rpartition(":")[2]), sockets)
        flood_task = asyncio.create_task(flood.run())
        while True:
            for name, value in resource_usage(runner.environment.processes["sidecar-1"].pid).items():
                peak[name] = max(peak.get(name, 0.0), value)
            peak["connects"] = flood.connects
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    monitor = asyncio.create_task(monitor_sidecar())
    result = await runner.run()
    monitor.cancel()
    if flood_task is not None:
        flood_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await flood_task
    targets = {name: spec.objective_s for name, spec in scenario.request_classes.items()}
    latencies = [
        (name, time) for name, times in result.report.logical_requests.items() for time in times.values()
    ]
    in_time = sum(time is not None and time <= targets[name] for name, time in latencies)
    p99 = max(histogram.percentile(0.99) for histogram in result.report.latency.values())
    return {
        "asked": len(latencies),
        "in_time": round(in_time / len(latencies), 4),
        "p99_ms": round(p99 * 1000),
        "unanswered": sum(counts["lost"] for counts in result.report.by_class.values()),
        "crashed": result.crashes,
        **peak,
    }


def main() -> None:
    """Run the three cases and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sockets", type=int, default=2000)
    options = parser.parse_args()
    scenario = msgspec.structs.replace(read_scenario("quiet"), duration_s=LOAD_S)
    result: dict[str, object] = {"descriptors": RESOURCE_LIMITS["sockets"], "sockets": options.sockets}
    for name, sockets, admission in (
        ("no flood", 0, False),
        ("flood, gate off", options.sockets, False),
        ("flood, gate on", options.sockets, True),
    ):
        with tempfile.TemporaryDirectory() as directory:
            result[name] = uvloop.run(run_case(scenario, Path(directory), sockets, admission=admission))
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
