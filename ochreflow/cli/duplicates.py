"""The command that searches for duplicated effects."""

from __future__ import annotations

import math
from pathlib import Path

import click

from .common import example

CROSSINGS = ("early", "freeze", "second-answer", "spoilt", "sidecars", "servers", "clients", "bursts")
EXAMPLE = "ochreflow lab duplicates --seed 7 --runs 10 --seconds 5 --build ../other-checkout"


@click.command(name="duplicates", epilog=example(EXAMPLE))
@click.option("--seed", type=click.IntRange(0, 2**32), default=1, show_default=True, help="Of the first run.")
@click.option(
    "--runs", type=click.IntRange(1, 10_000), default=1, show_default=True, help="Each with the next seed."
)
@click.option("--seconds", type=click.FloatRange(2, 60), default=5.0, show_default=True, help="Of each run.")
@click.option("--jobs", type=click.IntRange(1, 64), default=1, show_default=True, help="Runs at a time.")
@click.option("--build", type=click.Path(path_type=Path), help="Another checkout, whose sidecar is played.")
@click.option("--without", type=click.Choice(CROSSINGS), multiple=True, help="Leave these faults out.")
@click.option(
    "--keep", metavar="FOLDER", type=click.Path(path_type=Path), help="Keep the sidecars' logs there."
)
def duplicates(
    seed: int,
    runs: int,
    seconds: float,
    jobs: int,
    build: Path | None,
    without: tuple[str, ...],
    keep: Path | None,
) -> int:
    """Search for requests that are repeated, or whose clients are invited to, though they may have run.

    Sidecars are played on loopback under faults drawn from the seed. Exit code 0: no request broke rule
    `duplicate`; 1: one did, and its events are printed.
    """
    from ..lab.duplicates.fault_groups import FaultGroup
    from ..lab.duplicates.fleet import FleetError
    from ..lab.duplicates.search import CHECKOUT, SearchError, SearchOptions, search

    if not math.isfinite(seconds):
        message = f"--seconds: {seconds} is no length"
        raise click.UsageError(message)
    fault_groups = frozenset(group for group in FaultGroup if group.value not in without)
    try:
        return search(SearchOptions(seed, runs, seconds, jobs, build or CHECKOUT, fault_groups, keep))
    except (SearchError, FleetError) as error:
        raise click.UsageError(str(error)) from None
