"""Runs a scenario with processes: starts the fleet, sends the load, applies the steps and judges the run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from .event_log import EventKind, EventLog, RunEvents, read_events
from .judge import judge
from .load_generator import LoadGenerator
from .platform_config import RESOURCE_LIMITS
from .process_environment import ProcessEnvironment
from .run_result import RunResult
from .scenario import (
    DIRECTORY_ACTIONS,
    SIDECAR_ACTIONS,
    Scenario,
    Step,
    StepAction,
    client_load,
)
from .series import build_series
from .step_orders import NODE_ORDERS, STATUS_AFTER

SAMPLE_INTERVAL_S = 0.25  # between samples of the sidecars' resource usage
TICK_INTERVAL_S = 1.0


def step_text(step: Step) -> str:
    """Return a step as readable text: its action and its nodes."""
    return f"{step.action.replace('_', ' ')} {', '.join(map(str, step.nodes))}".strip()


class ScenarioRunner:
    """Runs one scenario; `program` is the directory of the sidecar's package, if it isn't this one."""

    def __init__(self, scenario: Scenario, run_dir: Path, seed: int, program: Path | None = None) -> None:
        """Create the environment without starting it; event logs and process logs go into `run_dir`."""
        self.scenario = scenario
        self.run_dir = run_dir
        self.seed = seed
        self.event_log = EventLog(run_dir / "stage.jsonl")
        self.environment = self.make_environment(program)
        self.loads: list[LoadGenerator] = []
        self.latest_step = "no step yet"

    def make_environment(self, program: Path | None) -> ProcessEnvironment:
        """Return the environment that starts and stops the processes of the run."""
        return ProcessEnvironment(self.scenario, self.run_dir, self.seed, self.event_log, program)

    async def run(
        self, on_tick: Callable[[float, ScenarioRunner], None] = lambda _elapsed_s, _runner: None
    ) -> RunResult:
        """Run the scenario to its end and judge it; call `on_tick` once a second."""
        try:
            await self.environment.start_fleet()
            await self.environment.start_directory()
            for number in range(1, self.scenario.sidecar_count + 1):
                self.loads.append(self._load(number, await self.environment.start_sidecar(number)))
            steps = asyncio.create_task(self._run_steps())
            ticks = asyncio.create_task(self._tick(on_tick))
            samples = asyncio.create_task(self._sample())
            self.event_log.record(EventKind.RUN_STARTED)
            await asyncio.gather(*(load.run(self.scenario.duration_s) for load in self.loads))
            ticks.cancel()
            samples.cancel()
            await steps
        finally:
            await self.environment.stop()
            for load in self.loads:
                load.event_log.close()
            self.event_log.close()
        return self._result()

    def _load(self, number: int, address: str) -> LoadGenerator:
        """Return the load generator for one sidecar."""
        host, _, port = address.rpartition(":")
        event_log = EventLog(self.run_dir / f"clients-{number}.jsonl")
        seed = self.seed * 100 + number
        return LoadGenerator((host, int(port)), client_load(self.scenario), seed, event_log)

    async def _run_steps(self) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        for step in sorted(self.scenario.steps, key=lambda step: step.at):
            await asyncio.sleep(max(start + step.at * self.scenario.duration_s - loop.time(), 0.0))
            await self._apply(step)

    async def _sample(self) -> None:
        while True:
            self.environment.sample_sidecars()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _tick(self, on_tick: Callable[[float, ScenarioRunner], None]) -> None:
        for second in range(int(self.scenario.duration_s) + 1):
            on_tick(float(second), self)
            await asyncio.sleep(TICK_INTERVAL_S)

    # Steps

    async def _apply(self, step: Step) -> None:
        self.latest_step = step_text(step)
        self.event_log.record(EventKind.STEP, do=step.action, nodes=step.nodes)
        if step.action in DIRECTORY_ACTIONS:
            await self._apply_to_directory(step.action)
        elif step.action in SIDECAR_ACTIONS:
            for number in range(1, self.scenario.sidecar_count + 1):
                if step.action is StepAction.UPGRADE_SIDECAR:
                    await self.environment.upgrade_sidecar(number)
                else:
                    kill = step.action is StepAction.KILL_SIDECAR
                    await self.environment.restart_sidecar(number, kill=kill)
        else:
            for position, number in enumerate(step.nodes):
                replacement = step.replacements[position] if step.replacements else number
                await self._apply_to_node(step, number, replacement)

    async def _apply_to_directory(self, action: StepAction) -> None:
        match action:
            case StepAction.DIRECTORY_DOWN | StepAction.DIRECTORY_UP:
                down = action is StepAction.DIRECTORY_DOWN
                await self.environment.set_directory_down(down=down)
            case StepAction.DIRECTORY_RESTART:
                await self.environment.restart_directory()
            case _:
                await self.environment.move_directory()

    async def _apply_to_node(self, step: Step, number: int, replacement: int) -> None:
        environment, action, name = self.environment, step.action, f"node-{number}"
        if action in NODE_ORDERS:
            await environment.send_order(environment.addresses[name], NODE_ORDERS[action](step))
        elif action is StepAction.FREEZE:
            environment.freeze(name)
        elif action is StepAction.THAW:
            environment.thaw(name)
        elif action in STATUS_AFTER:
            await environment.publish({"name": name, "status": STATUS_AFTER[action]})
        elif action is StepAction.ADD:
            await environment.publish(await environment.start_node(number))
        else:  # REMOVE, VANISH, RESTART, REPLACE
            address = environment.addresses[name]
            await environment.end_node(name)
            if action in (StepAction.REMOVE, StepAction.REPLACE):
                await environment.publish({"name": name, "status": "DELETED"})
            if action in (StepAction.RESTART, StepAction.REPLACE):
                reused = address if action is StepAction.REPLACE else ""
                await environment.publish(await environment.start_node(replacement, reused))

    def _result(self) -> RunResult:
        """Read and judge the event logs."""
        paths = {path.stem: path for path in self.run_dir.glob("*.jsonl")}
        nodes = {name: list(read_events(path)) for name, path in paths.items() if name.startswith("node")}
        clients = [list(read_events(path)) for name, path in paths.items() if name.startswith("clients")]
        directories = [path for name, path in paths.items() if name.startswith("directory")]
        directory_events = sorted(
            (event for path in directories for event in read_events(path)), key=lambda event: event["at"]
        )
        runner_events = list(read_events(self.run_dir / "stage.jsonl"))
        run = RunEvents(clients, nodes, directory_events, runner_events)
        report = judge(run, self.scenario.non_idempotent, RESOURCE_LIMITS)
        max_send_delay_s = max(load.max_send_delay_s for load in self.loads)
        run_series = build_series(run, self.scenario.duration_s)
        return RunResult(report, max_send_delay_s, self.environment.crashes, run_series)
