"""Capacity of the lab's fake node and load generator on one core each: the limits of its measurements.

    python benchmarks/lab_capacity.py

Prints one JSON object: requests per second that one fake node serves with zero work time while it writes its
event log, and the highest of the tested rates at which the open-loop clients sent on schedule.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import tempfile
from multiprocessing.connection import Connection
from pathlib import Path

import uvloop
from overhead import CORES, HOST, load, node, pin

from ochreflow.lab.arrivals import ClientLoad, Idempotency, RequestClass
from ochreflow.lab.event_log import EventLog
from ochreflow.lab.fake_node import FakeNode
from ochreflow.lab.load_generator import LoadGenerator
from ochreflow.lab.node_messages import NodeProfile

LOAD_S = 3.0
CONNECTIONS = 8
RATES = (500, 1000, 2000, 3000, 4000, 6000, 8000)  # requests a second
MAX_SEND_DELAY_S = 0.05  # a rate passes if no request is sent later than this after its scheduled time


def run_fake_node(pipe: Connection, directory: str) -> None:
    """Run the lab's node with zero work time until killed; send its port into the pipe."""
    pin(CORES["node"])

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        profile = NodeProfile("node", cores=64, mean_work_s={"assign": 0.0})
        fake = FakeNode(profile, EventLog(Path(directory) / "node.jsonl"), 1, loop)
        server = await loop.create_server(fake.service.connection, HOST, 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await asyncio.Event().wait()

    uvloop.run(serve())


def measure_clients(port: int, rate: int, directory: str) -> dict[str, float]:
    """Make one open-loop run against a node that responds at once; return its results."""
    event_log = EventLog(Path(directory) / f"clients-{rate}.jsonl")
    classes = [RequestClass("assign", 1.0, Idempotency.NON_IDEMPOTENT, 2.0)]
    generator = LoadGenerator((HOST, port), ClientLoad(classes, rate, 800), 1, event_log)
    uvloop.run(generator.run(LOAD_S))
    event_log.close()
    return {
        "rate": rate,
        "served": generator.outcomes["served"],
        "latest_send_ms": round(generator.max_send_delay_s * 1000, 1),
    }


def main() -> None:
    """Measure the node and the clients, and print the results."""
    pin(CORES["load"])
    pipe, child_pipe = multiprocessing.Pipe()
    with tempfile.TemporaryDirectory() as directory:
        multiprocessing.Process(target=run_fake_node, args=(child_pipe, directory), daemon=True).start()
        latencies = uvloop.run(load(pipe.recv(), CONNECTIONS, LOAD_S))
        multiprocessing.Process(target=node, args=(child_pipe,), daemon=True).start()
        port = pipe.recv()
        runs = [measure_clients(port, rate, directory) for rate in RATES]
    rates_in_time = [run["rate"] for run in runs if run["latest_send_ms"] <= MAX_SEND_DELAY_S * 1000]
    result = {
        "node_per_second": round(len(latencies) / LOAD_S),
        "clients_in_time_up_to": max(rates_in_time, default=0),
        "clients": runs,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
