"""Plays one plan on real sockets, and judges what was seen."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from .classes import Effect, RequestClass
from .client import Clients
from .events import Answered, Copy, Event, NotRun
from .fleet import Fleet
from .judge import Break, Place, judge
from .pipelining import play_pair
from .plan import Burst, ClientRequest, PipelinedPair, Plan, ServerChange, ServerStep, SidecarStep
from .record import Record
from .server import Server, Shared

CERTAIN = (200, 429, 503)  # answers that say whether the request ran
FINISH_WITHIN = 10.0  # seconds for which the last requests and restarts are waited for


@dataclass(slots=True)
class Failure:
    """A request that broke the rule, and all that is known of it."""

    ident: str
    cls: RequestClass
    breaks: list[Break]
    story: list[Event]


@dataclass(slots=True)
class Result:
    """What a run came to."""

    seed: int
    failures: list[Failure] = field(default_factory=list)
    crashed: list[str] = field(default_factory=list)
    requests: int = 0
    copies: int = 0
    unrepeatable: Counter[int] = field(default_factory=Counter)  # answers by code, of unsafe requests
    needless: int = 0  # unsafe requests answered as failed, none of whose copies may have run

    @property
    def broken(self) -> bool:
        return bool(self.failures or self.crashed)

    @property
    def unproved(self) -> int:
        """Unsafe requests whose answer says neither that they ran nor that they did not."""
        return sum(count for code, count in self.unrepeatable.items() if code not in CERTAIN)


def play(plan: Plan, program: Path, keep: Path | None = None) -> Result:
    """Play a plan with the program of a checkout; logs, with a line for each attempt, are kept in `keep`."""
    folder = keep or Path(tempfile.mkdtemp(prefix="ochreflow-duplicates-"))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        return uvloop.run(_play(plan, folder, program, keep is not None))
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)


async def _play(plan: Plan, folder: Path, program: Path, with_debug_lines: bool) -> Result:
    return await Run(plan, folder, program, with_debug_lines).play()


class Run:
    """Owns all that takes part in one run."""

    def __init__(self, plan: Plan, folder: Path, program: Path, with_debug_lines: bool) -> None:
        self.plan = plan
        self.record = Record()
        pairs = (request for pair in plan.pairs for request in (pair.lookup, pair.order))
        self.requests = {request.id: request for request in (*plan.requests, *pairs)}
        shared = Shared(
            plan, self.record, lambda number: self.fleet.frozen(number), self._move, self.requests
        )
        self.servers = [Server(number, given, shared) for number, given in enumerate(plan.servers)]
        self.fleet = Fleet(plan, folder, program, self.record, self.servers, with_debug_lines)
        self.clients = Clients(self.record, lambda number: self.fleet.addresses[number], self.fleet.killed_at)
        self.quick = Clients(Record(), lambda number: self.fleet.addresses[number], self.fleet.killed_at)
        self.begin = 0.0

    async def play(self) -> Result:
        """Play it, and judge it."""
        try:
            for server in self.servers:
                await server.start()
            await self.fleet.start()
            self.begin = self.record.now()
            await self._play_all()
        finally:
            await self.fleet.stop()
            self.clients.close()
            self.quick.close()
            for server in self.servers:
                server.stop()
        return self._result()

    async def _play_all(self) -> None:
        plan = self.plan
        parts = [
            *(self._play_request(request) for request in plan.requests),
            *(self._server_step(step) for step in plan.server_steps),
            *(self._sidecar_step(step) for step in plan.sidecar_steps),
            *(self._burst(burst) for burst in plan.bursts),
            *(self._play_pair(pair) for pair in plan.pairs),
        ]
        tasks = [asyncio.ensure_future(part) for part in parts]
        done, unfinished = await asyncio.wait(tasks, timeout=plan.seconds + FINISH_WITHIN)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        for task in done:
            task.result()  # a fault of the search itself ends it

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(self.begin + at - self.record.now(), 0.0))

    async def _play_request(self, request: ClientRequest) -> None:
        await self._until(request.at)
        await self.clients.send(request)

    async def _burst(self, burst: Burst) -> None:
        await self._until(burst.at)
        lookup = self.plan.classes[0]
        names = (
            f"{self.plan.seed % 65536:04x}{round(burst.at * 1e6):08x}{number:04x}"
            for number in range(burst.count)
        )
        requests = [
            ClientRequest(burst.at, name, burst.sidecar, lookup, 0, False, lookup.deadline, 1, None, "")
            for name in names
        ]
        await asyncio.gather(*(self.quick.send(request) for request in requests))

    async def _play_pair(self, pair: PipelinedPair) -> None:
        await self._until(pair.at)
        await play_pair(pair, self.fleet.addresses[pair.lookup.sidecar], self.record)

    async def _sidecar_step(self, step: SidecarStep) -> None:
        await self._until(step.at)
        await self.fleet.change(step.sidecar, step.change, step.seconds)

    async def _server_step(self, step: ServerStep) -> None:
        await self._until(step.at)
        server = self.servers[step.server]
        self.record.trouble(f"server {step.server}: {step.change.value}, {step.seconds:g} s")
        if step.change is ServerChange.MOVE:
            self._move(step.server, step.group_offset)
        elif step.change is ServerChange.DRAIN:
            self.fleet.list(server, "DRAINING")
            await asyncio.sleep(step.seconds)
            self.fleet.list(server)
        elif step.change is ServerChange.RESTART:
            server.stop()
            await asyncio.sleep(step.seconds)
            await server.start()
            self.fleet.restarted(server)
        else:
            server.accept_nothing()
            await asyncio.sleep(step.seconds)
            server.accept()

    def _move(self, number: int, further: int) -> None:
        """Move a server to the group of the one so many numbers further, and tell the directory."""
        place = self.servers[(number + further) % len(self.servers)].places[-1]
        self.servers[number].move(place.zone, place.cell)
        self.fleet.list(self.servers[number])

    # The end

    def _places(self, server: int, begin: float, end: float) -> list[Place]:
        return self.servers[server].stood(begin, end)

    def _result(self) -> Result:
        result = Result(self.plan.seed, crashed=self.fleet.crashed)
        for ident, request in self.requests.items():
            events = self.record.requests.get(ident)
            if not events:
                continue
            result.requests += 1
            result.copies += sum(isinstance(event, Copy) for event in events)
            if request.cls.effect is Effect.UNSAFE:
                self._count(result, events)
            if breaks := judge(request.cls, events, self._places, self.plan.hedging):
                result.failures.append(Failure(ident, request.cls, breaks, self.record.story(ident)))
        result.failures.sort(key=lambda failure: failure.breaks[0].at)
        return result

    @staticmethod
    def _count(result: Result, events: list[Event]) -> None:
        copies = {event.attempt for event in events if isinstance(event, Copy)}
        turned_away = {event.attempt for event in events if isinstance(event, NotRun)}
        for event in events:
            if isinstance(event, Answered):
                result.unrepeatable[event.code] += 1
                if event.code not in CERTAIN and not copies - turned_away:
                    result.needless += 1
