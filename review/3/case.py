"""A planned restart cuts off long answers that the servers still give."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as kit  # noqa: E402  # the stand-ins lie beside the cases

DEADLINE_MS = 6000
PIECE = b"0123456789abcdef" * 4096  # 64 KiB
PIECES_PER_S = 20.0  # 1.3 MB a second
PIECES = (60, 90, 120, 150)  # 4 to 10 MB, in 3 to 7.5 s
REQUESTS = 8
FIRST_BYTES_AFTER_S = 0.2
SIGTERM_AFTER_S = 1.0
SIGKILL_AFTER_S = 12.0  # no sooner than 3.7 s after SIGTERM


class Day:
    """What clients got, and what servers gave."""

    def __init__(self, record: kit.Record) -> None:
        """Begin with nothing."""
        self.record = record
        self.cut_by_sidecar: set[str] = set()
        self.whole = self.not_whole = 0

    async def serve(self, server: str, message: kit.Message, connection: kit.ServerConnection) -> None:
        """Give a long answer piece by piece, at an even pace."""
        request_id = message.headers["x-request-id"]
        pieces = PIECES[int(request_id, 16) % len(PIECES)]
        await asyncio.sleep(FIRST_BYTES_AFTER_S)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {pieces * len(PIECE)}\r\n\r\n"
        connection.write(head.encode())
        for given in range(pieces):
            if connection.writer.is_closing():
                self.cut_by_sidecar.add(request_id)
                self.record.write("server_lost_its_peer", id=request_id, server=server, pieces=given)
                return
            connection.write(PIECE)
            await asyncio.sleep(1 / PIECES_PER_S)
        connection.waiting -= 1
        self.record.write("run", id=request_id, server=server, pieces=pieces)

    async def ask(self, port: int, request_id: str) -> None:
        """Send one request and read its answer as fast as it comes."""
        reader, writer = await asyncio.open_connection(kit.HOST, port)
        self.record.write("sent", id=request_id)
        writer.write(kit.request("/assign/seat", request_id, DEADLINE_MS, body=b"user=7"))
        received = length = 0
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            length = int(head.partition("content-length:")[2].split("\r\n")[0])
            self.record.write("first_bytes", id=request_id, status=head.split("\r\n")[0], length=length)
            while received < length and (data := await reader.read(len(PIECE))):
                received += len(data)
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            self.record.write("connection_ended", id=request_id, error=type(error).__name__)
        writer.close()
        whole = 0 < length == received
        self.whole += whole
        self.not_whole += not whole
        self.record.write("answered" if whole else "CUT_OFF", id=request_id, received=received, of=length)


async def play(day: Day, sidecar: kit.Sidecar, *, trouble: bool) -> float:
    """Send the requests and end the sidecar as at a planned restart; return when it ended after SIGTERM."""
    await sidecar.start()
    assert sidecar.process is not None
    loop = asyncio.get_running_loop()
    asked = [asyncio.create_task(day.ask(sidecar.port, f"{n:016x}")) for n in range(REQUESTS)]
    await asyncio.sleep(SIGTERM_AFTER_S)
    ended_after_s = 0.0
    if trouble:
        terminated_at = loop.time()
        day.record.write("sigterm")
        sidecar.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SIGKILL_AFTER_S):
                await sidecar.process.wait()
        ended_after_s = loop.time() - terminated_at
        day.record.write("sidecar_ended", seconds_after_sigterm=round(ended_after_s, 3))
        sidecar.signal(signal.SIGKILL)
    await asyncio.gather(*asked)
    await asyncio.sleep(2 / PIECES_PER_S)  # servers notice the end with their next piece
    return ended_after_s


async def case(record: kit.Record, folder: Path, trouble: bool) -> int:  # noqa: FBT001  # called by position
    """Play the day; return the exit code."""
    day = Day(record)
    servers = []
    for number in range(4):

        async def handle(message: kit.Message, connection: kit.ServerConnection, name: int = number) -> None:
            await day.serve(f"s-{name}", message, connection)

        servers.append(kit.Server(f"s-{number}", handle))
    for server in servers:
        await server.start()
    discovery = kit.Discovery([server.entry() for server in servers])
    await discovery.start()
    classes = [
        kit.request_class("exposure", "token", DEADLINE_MS),
        kit.request_class("assign", "side_effect", DEADLINE_MS, points=24.0),
    ]
    sidecar = kit.Sidecar(folder, discovery, kit.settings(classes))
    try:
        ended_after_s = await play(day, sidecar, trouble=trouble)
    finally:
        await sidecar.stop()
    text = (
        f"requests {REQUESTS} answered whole {day.whole} not whole {day.not_whole}"
        f" cut off while their server gave {len(day.cut_by_sidecar)}"
        f" sidecar ended {ended_after_s:.2f} s after SIGTERM"
    )
    record.write("result", text=text)
    print(text)
    return kit.BROKEN if day.not_whole else kit.HELD


if __name__ == "__main__":
    sys.exit(kit.main(case, FOLDER, 60.0))
