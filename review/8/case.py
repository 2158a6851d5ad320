"""Case 8: after a new configuration the sidecar gives up every call to a slow discovery before its answer."""

# A script of a review: its names say what it does, and its stand-ins take what varies as arguments.
# ruff: noqa: D103, EM101

import asyncio
import contextlib
import json
import signal
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
    response,
)

TURN_S = 1.9  # a call waits so long for its turn; after 2 s it would be refused
PIECES = 18  # of an answer
PIECE_S = 0.1  # between two pieces, so that an answer takes 1.8 s
TOLD_S = 4.0  # after SIGHUP
GRACE_S = 2.5  # rules.drain-grace-ns
SLACK_S = 0.05 + 0.1  # the slack of the pages, and what this script's own loop may be late
CLIENTS = 8
ENDS_S = 4.0  # after the grace the drained server ends, and resets what it still has


class SlowDiscovery(Discovery):
    """Handles calls in turn, writes each answer in pieces, and answers each call."""

    async def _serve(self, reader, writer):
        try:
            while True:
                line, _ = await read_head(reader)
                target = line.split(" ")[1]
                self.record.add("slow discovery called", target=target)
                query = dict(part.split("=", 1) for part in target.partition("?")[2].split("&") if part)
                after = int(query["after"]) if "after" in query else None
                end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
                await asyncio.sleep(TURN_S)
                while after is not None and self.index <= after and (left := end - time.monotonic()) > 0:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.news.wait(), left)
                answer = self._answer(after)
                data = response(200, json.dumps(answer).encode())
                size = len(data) // PIECES + 1
                for at in range(0, len(data), size):
                    writer.write(data[at : at + size])
                    await writer.drain()
                    await asyncio.sleep(PIECE_S)
                    if reader.at_eof() or writer.is_closing():
                        self.record.add("the sidecar left during its answer", sent=at + size, of=len(data))
                        return
                self.record.add("slow discovery told", index=answer["index"])
        except (OSError, asyncio.IncompleteReadError):
            self.record.add("the sidecar closed a connection to discovery")
        finally:
            writer.close()


async def work(_server, _item, writer):
    await asyncio.sleep(0.3)
    writer.write(response(200, b"seat"))


async def client(record, port, number, until):
    count = 0
    while time.monotonic() < until:
        count += 1
        request_id = f"{number:03d}{count:05d}"
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(request("assign", request_id, 5000, b"seat"))
            line, _ = await asyncio.wait_for(read_head(reader), 6)
            record.add("client answered", id=request_id, code=int(line.split()[1]))
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record.add("client got no answer", id=request_id, error=type(error).__name__)
        await asyncio.sleep(0.1)


async def case(record, folder, trouble):
    servers = [await Server(f"s{number}", record, work).start() for number in range(4)]
    known = {"index": 1, "snapshot": True, "endpoints": [entry(server) for server in servers]}
    first = await Discovery(record, known["endpoints"]).start()
    second = await SlowDiscovery(record, known["endpoints"]).start()
    data = configuration(first.address, known)
    sidecar = Sidecar(record, data, folder)
    try:
        await sidecar.start()
        until = time.monotonic() + 18
        load = [asyncio.create_task(client(record, sidecar.port, number, until)) for number in range(CLIENTS)]
        await asyncio.sleep(3)
        if trouble:
            data["discovery"] = second.address
            sidecar.write_configuration()
            sidecar.signal(signal.SIGHUP)
            first.listener.close()
            end = time.monotonic() + TOLD_S + GRACE_S + SLACK_S
            second.change(entry(servers[0], "DRAINING"))
            await asyncio.sleep(1.5)
            for writer in list(first.writers):
                writer.close()
        else:
            first.change(entry(servers[0], "DRAINING"))
            end = time.monotonic() + GRACE_S + SLACK_S
        await asyncio.sleep(max(end + ENDS_S - time.monotonic(), 0))
        servers[0].die()
        record.add("the drained server has ended")
        await asyncio.gather(*load)
    finally:
        await sidecar.end()
    if not servers[0].requests:
        raise CaseError("the draining server got no request at all")
    late = [item["first"] - end for item in servers[0].requests if item["first"] > end]
    for seconds in late:
        record.add("late send", after_limit_s=round(seconds, 3))
    text = f"{len(late)} requests sent to the draining server after its grace"
    text += f", the last one {max(late):.1f} s after it" if late else ""
    return (BROKEN if late else HELD), text


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).with_name("record.txt")))
