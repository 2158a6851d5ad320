"""Twenty bad clients with large bodies in small chunks keep all usual clients without an answer."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as kit  # noqa: E402  # the stand-ins lie beside the cases

DEADLINE_MS = 6000
LATE_S = 0.5  # later than this after its time, a request is lost
WAIT_S = 30.0  # so long the test waits for late answers
WORK_S = 0.1
RATE = 20.0  # requests a second of the usual clients
SECONDS = 25.0
BAD_CLIENTS = 20
BAD_CLIENTS_AFTER_S = 4.0
BAD_CLIENTS_FOR_S = 20.0
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Day:
    """What the usual clients got, and when."""

    def __init__(self, record: kit.Record) -> None:
        """Begin with nothing."""
        self.record = record
        self.sent = self.lost = 0
        self.longest_s = 0.0
        self.idle: list[Connection] = []

    async def serve(self, message: kit.Message, connection: kit.ServerConnection) -> None:
        """Run a request."""
        self.record.write("run", id=message.headers["x-request-id"])
        await asyncio.sleep(WORK_S)
        connection.waiting -= 1
        connection.write(kit.response(kit.OK_CODE, b"assigned"))

    async def connect(self, port: int, *, new: bool) -> Connection:
        """Return a connection that is free, or a new one."""
        while self.idle and not new:
            reader, writer = self.idle.pop()
            if not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(kit.HOST, port)

    async def ask(self, port: int, request_id: str) -> None:
        """Send one request of a usual client, and note when its answer has come."""
        self.sent += 1
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.record.write("sent", id=request_id)
        answer: kit.Message | None = None
        for new in (False, True):  # once more on a new connection, if a close has crossed the request
            connection = await self.connect(port, new=new)
            began = loop.time()
            answer = await exchange(
                connection, kit.request("/assign/seat", request_id, DEADLINE_MS, body=b"u=7")
            )
            if answer is not None:
                self.idle.append(connection)
                break
            connection[1].close()
        took_s = loop.time() - began
        self.longest_s = max(self.longest_s, took_s)
        lost = answer is None or took_s > DEADLINE_MS / 1000 + LATE_S
        self.lost += lost
        code = answer.code if answer is not None else None
        self.record.write("LOST" if lost else "answered", id=request_id, code=code, after_s=round(took_s, 3))


async def exchange(connection: Connection, data: bytes) -> kit.Message | None:
    """Send a request and return its answer; None if there is none."""
    reader, writer = connection
    try:
        writer.write(data)
        async with asyncio.timeout(WAIT_S):
            return await kit.read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


async def play(day: Day, sidecar: kit.Sidecar, *, trouble: bool) -> None:
    """Let the usual clients ask at an even pace; the bad ones come in between."""
    loop = asyncio.get_running_loop()
    asked: list[asyncio.Task[None]] = []
    began = loop.time()
    bad: asyncio.subprocess.Process | None = None
    while loop.time() < began + SECONDS:
        asked.append(asyncio.create_task(day.ask(sidecar.port, f"{len(asked) + 1:016x}")))
        if trouble and bad is None and loop.time() > began + BAD_CLIENTS_AFTER_S:
            arguments = [kit.HOST, str(sidecar.port), str(BAD_CLIENTS), str(BAD_CLIENTS_FOR_S)]
            bad = await asyncio.create_subprocess_exec(
                sys.executable,
                str(FOLDER / "bad_clients.py"),
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                preexec_fn=kit.end_with_parent,
            )
            day.record.write("bad_clients_start", count=BAD_CLIENTS)
        await asyncio.sleep(1 / RATE)
    try:
        await asyncio.gather(*asked)
        if bad is not None:
            output, _ = await bad.communicate()
            if bad.returncode or not output:
                message = "the bad clients did not run"
                raise kit.CaseError(message)
            day.record.write("bad_clients_end", text=output.decode().strip())
    finally:
        if bad is not None and bad.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                bad.kill()
            await bad.wait()


async def case(record: kit.Record, folder: Path, trouble: bool) -> int:  # noqa: FBT001  # called by position
    """Play the day; return the exit code."""
    day = Day(record)
    servers = [kit.Server(f"s-{number}", day.serve) for number in range(8)]
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
        await sidecar.start()
        await play(day, sidecar, trouble=trouble)
    finally:
        await sidecar.stop()
    text = f"usual requests {day.sent} lost {day.lost} longest wait for an answer {day.longest_s:.2f} s"
    record.write("result", text=text)
    print(text)
    return kit.BROKEN if day.lost else kit.HELD


if __name__ == "__main__":
    sys.exit(kit.main(case, FOLDER, 110.0))
