"""Case 10: at a planned restart the sidecar ends by itself and cuts off answers that servers still give."""

# A script of a review: its names say what it does, and its stand-ins take what varies as arguments.
# ruff: noqa: D103

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common2 import (
    BROKEN,
    HELD,
    HOST,
    Discovery,
    Server,
    Sidecar,
    configuration,
    entry,
    main,
    read_head,
    request,
)

BODY = 2 * 1024 * 1024
PIECE = 32 * 1024
PAUSE_S = 0.08  # 64 pieces, so that an answer takes 5.1 s
KILL_S = 9.0  # after SIGTERM; the pages allow 3.7 s and later


async def long_answer(server, item, writer):
    """Give an answer of 2 MB in small pieces, without a pause that is long."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY)
    for _ in range(BODY // PIECE):
        writer.write(b"f" * PIECE)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
    server.record.add("server gave all", id=item["id"])


async def client(record, reader, writer, request_id):
    """Send one request, read its answer to the end, and return the bytes of its body."""
    writer.write(request("assign", request_id, 5000, b"seat"))
    record.add("client sent", id=request_id)
    got, code = 0, 0
    try:
        line, _ = await read_head(reader)
        code = int(line.split()[1])
        record.add("client got the head", id=request_id, code=code)
        while got < BODY and (data := await reader.read(65536)):
            got += len(data)
    except (OSError, asyncio.IncompleteReadError) as error:
        record.add("connection ended", id=request_id, error=type(error).__name__)
    record.add("client got", id=request_id, code=code, bytes=got, of=BODY)
    writer.close()
    return code, got


async def case(record, folder, trouble):
    servers = [await Server(f"s{number}", record, long_answer).start() for number in range(3)]
    known = {"index": 1, "snapshot": True, "endpoints": [entry(server) for server in servers]}
    discovery = await Discovery(record, known["endpoints"]).start()
    sidecar = Sidecar(record, configuration(discovery.address, known), folder)
    try:
        await sidecar.start()
        kept = await asyncio.open_connection(HOST, sidecar.port)  # open before SIGTERM, used after it
        first = await asyncio.open_connection(HOST, sidecar.port)
        answers = [asyncio.create_task(client(record, *first, "before01"))]
        await asyncio.sleep(0.5)
        began = time.monotonic()
        if trouble:
            sidecar.signal(signal.SIGTERM)
        await asyncio.sleep(1.0)
        answers.append(asyncio.create_task(client(record, *kept, "after001")))
        ended = asyncio.create_task(sidecar.process.wait())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*answers), KILL_S)
        if ended.done():
            after_s = round(time.monotonic() - began, 2)
            record.add("the sidecar had ended", code=sidecar.process.returncode, by_s=after_s)
        got = [task.result() if task.done() and not task.cancelled() else (0, 0) for task in answers]
    finally:
        await sidecar.end()
    # An answer that is no 200 is final; a 200 that is cut off is lost: no SIGKILL was sent before this.
    cut = [item for item in got if item[0] in (0, 200) and item[1] < BODY]
    return (BROKEN if cut else HELD), f"answers cut off by the sidecar's own end: {len(cut)} of {len(got)}"


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).with_name("record.txt")))
