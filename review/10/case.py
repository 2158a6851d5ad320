"""Case 10: discovery is down for 8 s, a server drains, and then one call of each sidecar is refused."""

# A script of a review: its names say what it does, and its stand-ins take what varies as arguments.
# ruff: noqa: C901, D103, D107, EM101

import asyncio
import contextlib
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common2 import (
    BROKEN,
    HELD,
    HOST,
    CaseError,
    Discovery,
    Server,
    Sidecar,
    configuration,
    entry,
    main,
    read_head,
    request,
    reset,
    response,
)

SIDECARS = 20  # of the fleet that the settings name, these are started
FLEET = 200
OUTAGE_S = 8.0
CALL_WAIT_S = 2.0  # a call that has waited so long is refused
TOLD_S = 6.0  # after discovery had the change and could be reached
GRACE_S = 2.5  # rules.drain-grace-ns
SLACK_S = 0.05 + 0.1  # the slack of the pages, and what this script's own loop may be late
CLIENTS = 2  # of each sidecar


class BusyDiscovery(Discovery):
    """Refuses the first call on each of `refuse` connections after it has waited for `CALL_WAIT_S`."""

    refuse = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.refused = set()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                target, caller = line.split(" ")[1], headers["host"]
                self.record.add("discovery called", target=target, caller=caller)
                if self.refuse and caller not in self.refused:
                    self.refused.add(caller)
                    await asyncio.sleep(CALL_WAIT_S)
                    writer.write(response(503))
                    self.record.add("discovery refused", caller=caller)
                    continue
                query = dict(part.split("=", 1) for part in target.partition("?")[2].split("&") if part)
                after = int(query["after"]) if "after" in query else None
                end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
                while after is not None and self.index <= after and (left := end - time.monotonic()) > 0:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.news.wait(), left)
                if writer.is_closing():
                    return
                answer = self._answer(after)
                writer.write(response(200, json.dumps(answer).encode()))
                self.record.add("discovery told", index=answer["index"], caller=caller)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def client(record, port, number, until):
    count = 0
    while time.monotonic() < until:
        count += 1
        request_id = f"{number:03d}{count:05d}"
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(request("exposure", request_id, 5000, b"shown"))
            line, _ = await asyncio.wait_for(read_head(reader), 6)
            record.add("client answered", id=request_id, code=int(line.split()[1]))
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record.add("client got no answer", id=request_id, error=type(error).__name__)
        await asyncio.sleep(0.2)


async def case(record, folder, trouble):
    servers = [await Server(f"s{number}", record).start() for number in range(4)]
    known = {"index": 1, "snapshot": True, "endpoints": [entry(server) for server in servers]}
    # One listener for each sidecar, so that the record tells the callers apart; all have one list.
    discoveries = [await BusyDiscovery(record, known["endpoints"]).start() for _ in range(SIDECARS)]
    sidecars = []
    try:
        for number, discovery in enumerate(discoveries):
            data = configuration(discovery.address, known, **{"fleet-size": FLEET, "index": number})
            data["name"], data["seed"] = f"n{number}", f"{0x8C1F30D27A5BE964 + number * 977:x}"
            sub = Path(folder) / f"n{number}"
            sub.mkdir()
            sidecars.append(Sidecar(record, data, sub))
        await asyncio.gather(*(sidecar.start() for sidecar in sidecars))
        began = time.monotonic()
        until = began + 26
        load = [
            asyncio.create_task(client(record, sidecar.port, number * CLIENTS + part, until))
            for number, sidecar in enumerate(sidecars)
            for part in range(CLIENTS)
        ]
        await asyncio.sleep(6)  # the first calls of a fleet of this size are spread over some seconds
        if trouble:
            for discovery in discoveries:
                discovery.listener.close()
                for writer in list(discovery.writers):
                    reset(writer)
            record.add("discovery down")
            await asyncio.sleep(OUTAGE_S / 2)
        for discovery in discoveries:
            discovery.change(entry(servers[0], "DRAINING"))
        if trouble:
            await asyncio.sleep(OUTAGE_S / 2)
            for discovery in discoveries:
                discovery.refuse = True
                await discovery.start(discovery.port)
            record.add("discovery back")
        told = time.monotonic() + (TOLD_S if trouble else 0.0)
        await asyncio.gather(*load)
        if not servers[0].requests:
            raise CaseError("the draining server got no request at all")
        end = told + GRACE_S + SLACK_S
        late = [item for item in servers[0].requests if item["first"] > end]
        for item in late:
            record.add("late send", id=item["id"], after_limit_s=round(item["first"] - end, 3))
        who = sorted({item["id"][:3] for item in late})
        text = f"{len(late)} requests sent to the draining server after its grace, from clients {who}"
        return (BROKEN if late else HELD), text
    finally:
        for sidecar in sidecars:
            await sidecar.end()


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).with_name("record.txt")))
