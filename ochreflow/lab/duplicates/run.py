"""Runs one plan on real sockets and judges the recorded events."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from pathlib import Path

import uvloop

from .classes import Effect
from .client import Clients
from .events import CopyReceived
from .fleet import Fleet
from .judge import Placement, find_violations
from .pipelining import send_pair
from .plan import Burst, ClientRequest, PipelinedPair, Plan, ServerChange, ServerStep, SidecarStep
from .recorder import EventRecorder
from .result import Failure, RunResult
from .run_context import RunContext
from .server import Server

FINISH_TIMEOUT_S = 10.0  # how long to wait for the last requests and restarts


def run_plan(plan: Plan, checkout: Path, keep: Path | None = None) -> RunResult:
    """Run a plan with the sidecar of a checkout; keep its logs, with a line for each attempt, in `keep`."""
    run_dir = keep or Path(tempfile.mkdtemp(prefix="ochreflow-duplicates-"))
    run_dir.mkdir(parents=True, exist_ok=True)
    try:
        return uvloop.run(_run(plan, run_dir, checkout, with_debug_lines=keep is not None))
    finally:
        if keep is None:
            shutil.rmtree(run_dir, ignore_errors=True)


async def _run(plan: Plan, run_dir: Path, checkout: Path, *, with_debug_lines: bool) -> RunResult:
    return await Run(plan, run_dir, checkout, with_debug_lines=with_debug_lines).execute()


class Run:
    """Owns the servers, sidecars and clients of one run."""

    def __init__(self, plan: Plan, run_dir: Path, checkout: Path, *, with_debug_lines: bool) -> None:
        """Prepare a run of the sidecar of `checkout`, whose files are written to `run_dir`."""
        self.plan = plan
        self.recorder = EventRecorder()
        pairs = (request for pair in plan.pairs for request in (pair.first_request, pair.second_request))
        self.requests = {request.id: request for request in (*plan.requests, *pairs)}
        context = RunContext(
            plan, self.recorder, lambda number: self.fleet.frozen(number), self._move, self.requests
        )
        self.servers = [
            Server(number, server_plan, context) for number, server_plan in enumerate(plan.servers)
        ]
        self.fleet = Fleet(
            plan, run_dir, checkout, self.recorder, self.servers, with_debug_lines=with_debug_lines
        )
        self.clients = Clients(
            self.recorder, lambda number: self.fleet.addresses[number], self.fleet.killed_at
        )
        self.burst_clients = Clients(
            EventRecorder(), lambda number: self.fleet.addresses[number], self.fleet.killed_at
        )
        self.started_at = 0.0

    async def execute(self) -> RunResult:
        """Run the plan and judge the recorded events."""
        try:
            for server in self.servers:
                await server.start()
            await self.fleet.start()
            self.started_at = self.recorder.now()
            await self._execute_steps()
        finally:
            await self.fleet.stop()
            self.clients.close()
            self.burst_clients.close()
            for server in self.servers:
                server.stop()
        return self._judge_run()

    async def _execute_steps(self) -> None:
        plan = self.plan
        parts = [
            *(self._send_request(request) for request in plan.requests),
            *(self._server_step(step) for step in plan.server_steps),
            *(self._sidecar_step(step) for step in plan.sidecar_steps),
            *(self._burst(burst) for burst in plan.bursts),
            *(self._send_pair(pair) for pair in plan.pairs),
        ]
        tasks = [asyncio.ensure_future(part) for part in parts]
        done, unfinished = await asyncio.wait(tasks, timeout=plan.seconds + FINISH_TIMEOUT_S)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)
        for task in done:
            task.result()  # raises the exception of a failed step: a fault of the search itself ends the run

    async def _wait_until(self, at: float) -> None:
        await asyncio.sleep(max(self.started_at + at - self.recorder.now(), 0.0))

    async def _send_request(self, request: ClientRequest) -> None:
        await self._wait_until(request.at)
        await self.clients.send(request)

    async def _burst(self, burst: Burst) -> None:
        await self._wait_until(burst.at)
        idempotent = self.plan.classes[0]
        request_ids = (
            f"{self.plan.seed % 65536:04x}{round(burst.at * 1e6):08x}{number:04x}"
            for number in range(burst.count)
        )
        requests = [
            ClientRequest(
                burst.at, request_id, burst.sidecar, idempotent, 0, False, idempotent.deadline, 1, None, None
            )
            for request_id in request_ids
        ]
        await asyncio.gather(*(self.burst_clients.send(request) for request in requests))

    async def _send_pair(self, pair: PipelinedPair) -> None:
        await self._wait_until(pair.at)
        await send_pair(pair, self.fleet.addresses[pair.first_request.sidecar], self.recorder)

    async def _sidecar_step(self, step: SidecarStep) -> None:
        await self._wait_until(step.at)
        await self.fleet.apply_change(step.sidecar, step.change, step.seconds)

    async def _server_step(self, step: ServerStep) -> None:
        await self._wait_until(step.at)
        server = self.servers[step.server]
        self.recorder.record_process_event(f"server {step.server}: {step.change.value}, {step.seconds:g} s")
        match step.change:
            case ServerChange.MOVE:
                self._move(step.server, step.group_offset)
            case ServerChange.DRAIN:
                self.fleet.publish(server, "DRAINING")
                await asyncio.sleep(step.seconds)
                self.fleet.publish(server)
            case ServerChange.RESTART:
                server.stop()
                await asyncio.sleep(step.seconds)
                await server.start()
                self.fleet.publish_restart(server)
            case ServerChange.ACCEPT_LATE:
                server.pause_accepting()
                await asyncio.sleep(step.seconds)
                server.resume_accepting()

    def _move(self, number: int, group_offset: int) -> None:
        """Move a server to the group of the one `group_offset` numbers after it, and publish the move."""
        placement = self.servers[(number + group_offset) % len(self.servers)].placements[-1]
        self.servers[number].move(placement.zone, placement.cell)
        self.fleet.publish(self.servers[number])

    # Judging

    def _placements(self, server: int, begin: float, end: float) -> list[Placement]:
        return self.servers[server].placements_between(begin, end)

    def _judge_run(self) -> RunResult:
        result = RunResult(self.plan.seed, crashed=self.fleet.crashed)
        for request_id, request in self.requests.items():
            events = self.recorder.requests.get(request_id)
            if not events:
                continue
            result.requests += 1
            result.copies += sum(isinstance(event, CopyReceived) for event in events)
            if request.request_class.effect is Effect.NON_IDEMPOTENT:
                result.count_non_idempotent(events)
            if violations := find_violations(
                request.request_class, events, self._placements, hedging=self.plan.hedging
            ):
                result.failures.append(
                    Failure(request_id, request.request_class, violations, self.recorder.timeline(request_id))
                )
        result.failures.sort(key=lambda failure: failure.violations[0].at)
        return result
