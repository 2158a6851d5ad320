"""The commands of the group `ochreflow lab`: scenarios, comparisons, measurements and fault injection."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from .common import EXIT_OK, EXIT_USAGE_ERROR, example, parse_address
from .duplicates import duplicates

if TYPE_CHECKING:
    from ..lab.runs import Player


@click.group(epilog=example("ochreflow lab fault --help"))
def lab() -> None:
    """Run scenarios with fake servers, compare builds, and inject faults."""


def _select_player(*, simulated: bool) -> Player:
    """Return the function that runs a scenario: as processes on loopback, or simulated without sockets."""
    if simulated:
        from ..simulation.simulation import simulate

        return simulate
    from ..lab.demo import play

    return play


@lab.command(name="run", epilog=example("ochreflow lab run quiet burst --seeds 3 --out results.jsonl"))
@click.argument("scenarios", nargs=-1, metavar="SCENARIO...")
@click.option("--seeds", type=click.IntRange(1, 1000), default=1, show_default=True, help="Number of seeds.")
@click.option(
    "--jobs", type=click.IntRange(1, 64), default=1, show_default=True, help="Number of runs in parallel."
)
@click.option(
    "--seconds",
    type=click.FloatRange(2, 3600),
    help="Length of each run in seconds; overrides the scenario's.",
)
@click.option("--rehearse", "simulated", is_flag=True, help="Simulate the decision module alone.")
@click.option("--out", metavar="FILE", help="File to which a JSON line for each run is appended.")
def lab_run(
    scenarios: tuple[str, ...],
    seeds: int,
    jobs: int,
    seconds: float | None,
    *,
    simulated: bool,
    out: str | None,
) -> int:
    """Run scenarios of the library, or of files that end in .toml, and check the rules for each run."""
    from ..lab.runs import RunPlan, run_all
    from ..lab.scenario import ScenarioError, scenario_names

    if not scenarios:
        message = f"no scenario given; the library has {', '.join(scenario_names())}"
        raise click.UsageError(message)
    try:
        return run_all(
            _select_player(simulated=simulated), RunPlan(list(scenarios), seeds, jobs, seconds, out)
        )
    except ScenarioError as error:
        raise click.UsageError(str(error)) from None


@lab.command(name="compare", epilog=example("ochreflow lab compare HEAD~1 . -s burst --seeds 8 --rehearse"))
@click.argument("a")
@click.argument("b")
@click.option(
    "-s",
    "--scenario",
    "scenarios",
    multiple=True,
    help="Name in the library, or a file; by default all of the library.",
)
@click.option("--seeds", type=click.IntRange(1, 1000), default=8, show_default=True, help="Number of seeds.")
@click.option(
    "--jobs", type=click.IntRange(1, 64), default=1, show_default=True, help="Number of runs in parallel."
)
@click.option(
    "--seconds",
    type=click.FloatRange(2, 3600),
    help="Length of each run in seconds; overrides the scenario's.",
)
@click.option("--rehearse", "simulated", is_flag=True, help="Simulate the decision module alone.")
@click.option("--out", metavar="FILE", help="File to which a JSON line for each run is appended.")
@click.option("--html", metavar="FILE", help="File for a report with plots.")
def lab_compare(
    a: str,
    b: str,
    scenarios: tuple[str, ...],
    seeds: int,
    jobs: int,
    seconds: float | None,
    *,
    simulated: bool,
    out: str | None,
    html: str | None,
) -> int:
    """Run builds A and B on the same scenarios and seeds, and report whether B is better.

    A build is "." (this checkout), a git revision, or either with constants changed, such as
    ".,policy/slow_start.py:BURST_S=0.5".
    """
    try:
        from ..lab.compare import compare
    except ImportError as error:
        message = f"package {error.name} is not installed: install requirements-report.txt"
        raise click.ClickException(message) from None
    from ..lab.builds import BuildError
    from ..lab.runs import RunPlan
    from ..lab.scenario import ScenarioError, scenario_names

    chosen = list(scenarios) or scenario_names()
    try:
        plan = RunPlan(chosen, seeds, jobs, seconds, out)
        return compare(_select_player(simulated=simulated), (a, b), plan, html)
    except (ScenarioError, BuildError) as error:
        raise click.UsageError(str(error)) from None


@lab.command(
    name="trace", epilog=example("ochreflow lab trace 'cold start' step --seeds 4 --html limit.html")
)
@click.argument("courses", nargs=-1, metavar="[COURSE...]")
@click.option("--seeds", type=click.IntRange(1, 1000), default=4, show_default=True, help="Number of seeds.")
@click.option(
    "--jobs", type=click.IntRange(1, 64), default=1, show_default=True, help="Number of runs in parallel."
)
@click.option("--html", metavar="FILE", help="File for plots of the first seed.")
def lab_trace(courses: tuple[str, ...], seeds: int, jobs: int, html: str | None) -> int:
    """Compare the concurrency limit, in simulated time, with that of an oracle that knows the capacity."""
    from ..simulation.limit_scenarios import LIMIT_SCENARIOS
    from ..simulation.limit_trace_report import run

    if unknown := [name for name in courses if name not in LIMIT_SCENARIOS]:
        message = f"{unknown[0]}: no such course; known courses: {', '.join(LIMIT_SCENARIOS)}"
        raise click.UsageError(message)
    return run(list(courses or LIMIT_SCENARIOS), seeds, jobs, html)


@lab.command(name="pace", epilog=example("ochreflow lab pace 30/10 30/60 --seeds 4 --jobs 4"))
@click.argument("fleets", nargs=-1, metavar="[SIDECARS/SERVERS...]")
@click.option("--seeds", type=click.IntRange(1, 1000), default=20, show_default=True, help="Number of seeds.")
@click.option(
    "--jobs", type=click.IntRange(1, 64), default=1, show_default=True, help="Number of runs in parallel."
)
@click.option("--slow", is_flag=True, help="Cold servers work at the speed of their slow-start ramp.")
@click.option(
    "--unequal", is_flag=True, help="Two kinds of servers and one slow cell, both named in the endpoint list."
)
@click.option(
    "--program",
    type=click.Path(path_type=Path),
    help="Directory of another checkout, whose decision module is simulated.",
)
def lab_slow_start(
    fleets: tuple[str, ...], seeds: int, jobs: int, *, slow: bool, unequal: bool, program: Path | None
) -> int:
    """Compare, in simulated time, the load that all sidecars send to a cold server with its capacity."""
    from ..simulation.slow_start_report import FLEETS, SlowStartPlan, run

    fleet_names = [f"{sidecars}/{servers}" for sidecars, servers in FLEETS]
    if unknown := [name for name in fleets if name not in fleet_names]:
        message = f"{unknown[0]}: no such fleet; known fleets: {', '.join(fleet_names)}"
        raise click.UsageError(message)
    plan = SlowStartPlan(list(fleets), seeds, jobs, program, slow_while_warming_up=slow, unequal=unequal)
    return run(plan)


lab.add_command(duplicates)


@lab.command(epilog=example("ochreflow lab fault --to 127.0.0.1:7070 --script faults.toml --seed 7"))
@click.option("--to", "target", metavar="ADDRESS", required=True, help="Address that receives the traffic.")
@click.option("--listen", metavar="ADDRESS", default="127.0.0.1:0", show_default=True)
@click.option("--script", metavar="FILE", help="TOML file of [[fault]] tables.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--control", metavar="ADDRESS", help="Address that serves POST /faults, POST /cut and GET /transcript."
)
@click.option("--udp", is_flag=True, help="Forward datagrams instead of connections.")
def fault(target: str, listen: str, script: str | None, seed: int, control: str | None, *, udp: bool) -> int:
    """Forward traffic and inject faults (delay, cut, half-close, garble), the same ones for the same seed."""
    import asyncio

    from ..lab.fault.proxy import FaultProxy, serve
    from ..lab.fault.script import DATAGRAM_FAULTS, STREAM_FAULTS, ScriptError, read_script

    try:
        faults = read_script(script, DATAGRAM_FAULTS if udp else STREAM_FAULTS) if script else []
    except ScriptError as error:
        click.echo(str(error), err=True)
        return EXIT_USAGE_ERROR
    listen_address, target_address = parse_address(listen), parse_address(target)
    control_address = parse_address(control) if control else None
    try:
        proxy = FaultProxy(target_address, faults, seed, datagrams=udp)
        asyncio.run(serve(proxy, listen_address, control_address, udp=udp))
    except OSError as error:
        message = f"can't start the proxy: {error}"
        raise click.ClickException(message) from None
    return EXIT_OK
