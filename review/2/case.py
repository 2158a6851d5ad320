"""While a new version takes over, an id that is open at the old process is taken again by the new one."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
from functools import partial
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as kit  # noqa: E402  # the stand-ins lie beside the cases

DEADLINE_MS = 6000
WORK_S = 3.5  # within the deadline of the class
REQUESTS = 12
BAD_CLIENTS = 4
SIGTERM_AFTER_S = 0.5  # after the new process has said yes; at most 6 s
BAD_CLIENTS_AFTER_S = 0.8  # after SIGTERM: the old process takes no new connection any more
KILL_AFTER_S = 3.7  # the longest deadline, counted as 3 s, and 0.7 s
BACKLOG = 512


class Day:
    """What clients sent and got, and what servers ran."""

    def __init__(self, record: kit.Record) -> None:
        """Begin with nothing."""
        self.record = record
        self.out: dict[str, int] = {}  # copies of each request that are at a server now
        self.ran: dict[str, int] = {}
        self.second_copies = self.bad_served = 0
        self.codes: list[int] = []

    async def serve(self, server: str, message: kit.Message, connection: kit.ServerConnection) -> None:
        """Run a request for a while."""
        request_id = message.headers["x-request-id"]
        self.out[request_id] = self.out.get(request_id, 0) + 1
        self.ran[request_id] = self.ran.get(request_id, 0) + 1
        self.record.write("begun", id=request_id, server=server, copies=self.out[request_id])
        if self.out[request_id] > 1:
            self.second_copies += 1
            self.record.write("SECOND_COPY", id=request_id, server=server)
        await asyncio.sleep(WORK_S)
        self.out[request_id] -= 1
        connection.waiting -= 1
        connection.write(kit.response(kit.OK_CODE, f"assigned {request_id}".encode()))
        self.record.write("run", id=request_id, server=server)

    async def ask(self, port: int, request_id: str, *, bad: bool) -> None:
        """Send one request on a new connection."""
        who = "bad_client" if bad else "client"
        reader, writer = await asyncio.open_connection(kit.HOST, port)
        self.record.write("sent", who=who, id=request_id)
        code = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            writer.write(kit.request("/assign/seat", request_id, DEADLINE_MS, body=b"user=7"))
            async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                code = (await kit.read_message(reader)).code
        writer.close()
        self.record.write("answered", who=who, id=request_id, code=code)
        if bad:
            self.bad_served += code == kit.OK_CODE
        else:
            self.codes.append(code)


async def play(day: Day, old: kit.Sidecar, new: kit.Sidecar, *, trouble: bool) -> None:
    """Send requests to the old process, hand over, and send some of their ids again while they are open."""
    await old.start()
    ids = [f"{number:016x}" for number in range(1, REQUESTS + 1)]
    async with asyncio.TaskGroup() as group:
        for request_id in ids:
            group.create_task(day.ask(old.port, request_id, bad=False))
        await asyncio.sleep(0.1)
        if trouble:
            await new.start()
            day.record.write("new_version_ready")
        await asyncio.sleep(SIGTERM_AFTER_S)
        if trouble:
            old.signal(signal.SIGTERM)
            day.record.write("sigterm", to="old")
        await asyncio.sleep(BAD_CLIENTS_AFTER_S)
        for request_id in ids[:BAD_CLIENTS]:
            group.create_task(day.ask(old.port, request_id, bad=True))
        if trouble:
            await asyncio.sleep(KILL_AFTER_S - BAD_CLIENTS_AFTER_S)
            old.signal(signal.SIGKILL)


async def case(listener: socket.socket, record: kit.Record, folder: Path, trouble: bool) -> int:  # noqa: FBT001
    """Play the day; return the exit code. The platform holds `listener`, the clients' listening socket."""
    day = Day(record)
    servers = []
    for number in range(8):

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
    listen = f"{kit.HOST}:{listener.getsockname()[1]}"
    old, new = (
        kit.Sidecar(folder, discovery, kit.settings(classes), listen=listen, inherited=listener)
        for _ in range(2)
    )
    try:
        await play(day, old, new, trouble=trouble)
    finally:
        await old.stop()
        await new.stop()
    twice = sum(runs > 1 for runs in day.ran.values())
    text = (
        f"requests {len(day.codes)} answered {sorted(day.codes)} run twice {twice}"
        f" second copies out at once {day.second_copies} bad clients served {day.bad_served}"
    )
    record.write("result", text=text)
    print(text)
    if not day.ran:
        return kit.NOT_RUN
    return kit.BROKEN if day.second_copies or day.bad_served else kit.HELD


if __name__ == "__main__":
    with socket.create_server((kit.HOST, 0), backlog=BACKLOG) as held:  # descriptor 3
        held.set_inheritable(True)
        print(f"GW_FD={held.fileno()}")
        sys.exit(kit.main(partial(case, held), FOLDER, 60.0))
