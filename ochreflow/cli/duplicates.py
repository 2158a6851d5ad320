"""The command `ochreflow lab duplicates`."""

from __future__ import annotations

import math
from pathlib import Path

import click

from .common import example

FAULT_GROUP_NAMES = ("early", "freeze", "second-answer", "spoilt", "sidecars", "servers", "clients", "bursts")
EXAMPLE = "ochreflow lab duplicates --seed 7 --runs 10 --seconds 5 --build ../other-checkout"


@click.command(name="duplicates", epilog=example(EXAMPLE))
@click.option(
    "--seed", type=click.IntRange(0, 2**32), default=1, show_default=True, help="Seed of the first run."
)
@click.option(
    "--runs",
    type=click.IntRange(1, 10_000),
    default=1,
    show_default=True,
    help="Number of runs; each uses the next seed.",
)
@click.option(
    "--seconds", type=click.FloatRange(2, 60), default=5.0, show_default=True, help="Length of a run."
)
@click.option(
    "--jobs", type=click.IntRange(1, 64), default=1, show_default=True, help="Number of runs in parallel."
)
@click.option(
    "--build", type=click.Path(path_type=Path), help="Directory of another checkout, whose sidecar is run."
)
@click.option(
    "--without", type=click.Choice(FAULT_GROUP_NAMES), multiple=True, help="Do not inject these faults."
)
@click.option(
    "--keep",
    metavar="FOLDER",
    type=click.Path(path_type=Path),
    help="Directory that receives the logs of the sidecars.",
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
    """Search for requests that are retried, or whose clients are told to retry, though they may have run.

    Sidecars run on loopback under faults drawn from the seed. Exit code 0: no request broke rule
    `duplicate`; 1: one did, and its events are printed.
    """
    from ..lab.duplicates.fault_groups import FaultGroup
    from ..lab.duplicates.fleet import FleetError
    from ..lab.duplicates.search import CHECKOUT, SearchError, SearchOptions, search

    if not math.isfinite(seconds):
        message = f"--seconds: expected a finite number, got {seconds}"
        raise click.UsageError(message)
    fault_groups = frozenset(group for group in FaultGroup if group.value not in without)
    try:
        return search(SearchOptions(seed, runs, seconds, jobs, build or CHECKOUT, fault_groups, keep))
    except (SearchError, FleetError) as error:
        raise click.UsageError(str(error)) from None
