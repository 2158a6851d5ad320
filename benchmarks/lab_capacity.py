"""How much the lab's own parts carry on one core each, so that its figures can be trusted.

    python benchmarks/lab_capacity.py

Prints one JSON object: requests a second that one fake node answers when its work takes no time, with its
event log written; and the highest rate tried at which the open-loop clients still sent in time.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import tempfile
from pathlib import Path

import uvloop
from overhead import CORES, HOST, load, node, pin

from ochreflow.lab.arrivals import ClientLoad, Idempotency, RequestClass
from ochreflow.lab.event_log import EventLog
from ochreflow.lab.fake_node import FakeNode
from ochreflow.lab.load_generator import LoadGenerator
from ochreflow.lab.node_messages import NodeProfile

SECONDS = 3.0
CONNECTIONS = 8
RATES = (500, 1000, 2000, 3000, 4000, 6000, 8000)
LATE = 0.05  # seconds by which a send may be late


def fake_node(pipe, folder: str) -> None:
    """The lab's node as it is, with work that takes no time."""
    pin(CORES["node"])

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        profile = NodeProfile("node", cores=64, mean_work_s={"assign": 0.0})
        made = FakeNode(profile, EventLog(Path(folder) / "node.jsonl"), 1, loop)
        server = await loop.create_server(made.service.connection, HOST, 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await asyncio.Event().wait()

    uvloop.run(serve())


def offered(port: int, rate: int, folder: str) -> dict[str, float]:
    """One open-loop run against a node that answers at once."""
    event_log = EventLog(Path(folder) / f"clients-{rate}.jsonl")
    classes = [RequestClass("assign", 1.0, Idempotency.NON_IDEMPOTENT, 2.0)]
    made = LoadGenerator((HOST, port), ClientLoad(classes, rate, 800), 1, event_log)
    uvloop.run(made.run(SECONDS))
    event_log.close()
    return {
        "rate": rate,
        "served": made.outcomes["served"],
        "latest_send_ms": round(made.max_send_delay_s * 1000, 1),
    }


def main() -> None:
    pin(CORES["load"])
    pipe, far = multiprocessing.Pipe()
    with tempfile.TemporaryDirectory() as folder:
        multiprocessing.Process(target=fake_node, args=(far, folder), daemon=True).start()
        answered = uvloop.run(load(pipe.recv(), CONNECTIONS, SECONDS))
        multiprocessing.Process(target=node, args=(far,), daemon=True).start()
        port = pipe.recv()
        runs = [offered(port, rate, folder) for rate in RATES]
    in_time = [run["rate"] for run in runs if run["latest_send_ms"] <= LATE * 1000]
    result = {
        "node_per_second": round(len(answered) / SECONDS),
        "clients_in_time_up_to": max(in_time, default=0),
        "clients": runs,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
