"""The `ochreflow` command. Each command imports its modules when it is called."""

from __future__ import annotations

import json
import os
import sys

import click

from .. import __version__
from .common import EXIT_FAILURE, EXIT_INTERRUPTED, EXIT_OK, EXIT_USAGE_ERROR, example
from .lab import lab
from .management import admission, drain, stats, undrain


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(__version__, message="%(version)s")
def ochreflow() -> None:
    """A sidecar load balancer: one final answer to each request, whatever its servers do."""


@ochreflow.command(epilog=example("ochreflow run --platform config.json --config deploy/ochreflow.toml"))
@click.option("--config", metavar="FILE", help="The operator's file.")
@click.option(
    "--platform",
    metavar="FILE",
    help="The platform's configuration; default: the file that $GW_CONFIG names.",
)
def run(config: str | None, platform: str | None) -> int:
    """Run a sidecar until SIGTERM."""
    from ..app.process import main as serve

    if platform is not None:
        os.environ["GW_CONFIG"] = platform
    return serve(config)


@ochreflow.command(epilog=example("ochreflow check deploy/ochreflow.toml"))
@click.argument("file")
def check(file: str) -> int:
    """Validate an operator's file: print a line for each error, and exit with code 2 if there is one."""
    from ..app.operator_reader import OperatorFileError, read_file

    try:
        read_file(file)
    except OperatorFileError as error:
        for line in error.errors:
            click.echo(line, err=True)
        return EXIT_USAGE_ERROR
    click.echo(f"{file}: fine")
    return EXIT_OK


@ochreflow.command(epilog=example("ochreflow schema > ochreflow.schema.json"))
def schema() -> int:
    """Print the JSON Schema of the operator's file."""
    from ..app.operator_schema import schema as operator_schema

    click.echo(json.dumps(operator_schema(), indent=2))
    return EXIT_OK


@ochreflow.command(epilog=example("ochreflow demo --seconds 20"))
@click.option("--seconds", type=click.FloatRange(5, 600), default=20.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the load and the nodes.")
@click.option("--keep", metavar="FOLDER", help="Directory that receives the logs and event logs.")
def demo(seconds: float, seed: int, keep: str | None) -> int:
    """Run a sidecar with fake nodes that don't answer, fail, drain and start cold, and check the rules."""
    from ..lab.demo import main as run_demo

    return run_demo(seconds, seed, keep)


for command in (stats, drain, undrain, admission, lab):
    ochreflow.add_command(command)


def main(arguments: list[str] | None = None) -> int:
    """Run a command and return its exit code; a usage error prints one line and returns 2."""
    try:
        result = ochreflow.main(arguments, prog_name="ochreflow", standalone_mode=False)
    except click.UsageError as error:
        print(f"ochreflow: {error.format_message()} (see --help)", file=sys.stderr)
        return EXIT_USAGE_ERROR
    except click.ClickException as error:
        print(f"ochreflow: {error.format_message()}", file=sys.stderr)
        return EXIT_FAILURE
    except click.Abort:
        return EXIT_INTERRUPTED
    return result if isinstance(result, int) else EXIT_OK
