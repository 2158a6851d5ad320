"""The commands that call the management address of a running sidecar."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from http import HTTPStatus

import click

from .common import EXIT_OK, example, parse_address

CALL_TIMEOUT_S = 2.0  # a sidecar answers within one second


@dataclass(frozen=True, slots=True)
class ManagementResponse:
    """The response of a sidecar to a call at its management address."""

    status: int
    body: str


def _call(method: str, address: str, path: str) -> ManagementResponse:
    """Make one call; ClickException if there is no response."""
    host, port = parse_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return ManagementResponse(response.status, response.read().decode())
    except (OSError, http.client.HTTPException) as error:
        message = f"no answer from {address}: {error or type(error).__name__}"
        raise click.ClickException(message) from None
    finally:
        connection.close()


def _require_ok(address: str, response: ManagementResponse) -> None:
    """Raise ClickException with the sidecar's own text if it did not do what was asked."""
    if response.status != HTTPStatus.OK:
        message = f"{address} says no: {response.body.strip()}"
        raise click.ClickException(message)


def _change_state(address: str, path: str, state: str) -> int:
    """Order a change of state and print the state that the sidecar is now in."""
    _require_ok(address, _call("POST", address, path))
    click.echo(f"{address}: {state}")
    return EXIT_OK


@click.command(epilog=example("ochreflow stats 127.0.0.1:9100"))
@click.argument("address")
def stats(address: str) -> int:
    """Print the figures of the sidecar whose operators' address this is."""
    response = _call("GET", address, "/stats")
    _require_ok(address, response)
    click.echo(response.body, nl=False)
    return EXIT_OK


@click.command(epilog=example("ochreflow drain 127.0.0.1:9100"))
@click.argument("address")
def drain(address: str) -> int:
    """Empty a sidecar: it answers what it holds and refuses what is new."""
    return _change_state(address, "/healthcheck/fail", "draining")


@click.command(epilog=example("ochreflow undrain 127.0.0.1:9100"))
@click.argument("address")
def undrain(address: str) -> int:
    """Put a drained sidecar back to work."""
    return _change_state(address, "/healthcheck/ok", "serving")


@click.group(epilog=example("ochreflow admission show 127.0.0.1:9100"))
def admission() -> None:
    """The gate for clients' connections, where [admission] is on."""


@admission.command(name="show", epilog=example("ochreflow admission show 127.0.0.1:9100"))
@click.argument("address")
def admission_show(address: str) -> int:
    """Print caps, refusals with their reasons, and the addresses with most connections."""
    response = _call("GET", address, "/admission")
    if response.status == HTTPStatus.NOT_FOUND:
        message = f"{address}: admission is off in its operator's file"
        raise click.ClickException(message)
    _require_ok(address, response)
    click.echo(response.body, nl=False)
    return EXIT_OK
