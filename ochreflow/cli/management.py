"""The commands that call the management interface of a running sidecar."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from http import HTTPStatus

import click

from .common import EXIT_OK, example, parse_address

CALL_TIMEOUT_S = 2.0  # a sidecar answers within one second


@dataclass(frozen=True, slots=True)
class ManagementResponse:
    """The response of a sidecar's management interface."""

    status: int
    body: str


def _call(method: str, address: str, path: str) -> ManagementResponse:
    """Make one call. Raise ClickException if there is no response."""
    host, port = parse_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return ManagementResponse(response.status, response.read().decode())
    except (OSError, http.client.HTTPException) as error:
        message = f"no response from {address}: {error or type(error).__name__}"
        raise click.ClickException(message) from None
    finally:
        connection.close()


def _require_ok(address: str, response: ManagementResponse) -> None:
    """Raise ClickException with the sidecar's message if the call failed."""
    if response.status != HTTPStatus.OK:
        message = f"{address} rejected the call: {response.body.strip()}"
        raise click.ClickException(message)


def _change_state(address: str, path: str, state: str) -> int:
    """Request a change of state and print the new state of the sidecar."""
    _require_ok(address, _call("POST", address, path))
    click.echo(f"{address}: {state}")
    return EXIT_OK


@click.command(epilog=example("ochreflow stats 127.0.0.1:9100"))
@click.argument("address")
def stats(address: str) -> int:
    """Print the statistics of the sidecar with this management address."""
    response = _call("GET", address, "/stats")
    _require_ok(address, response)
    click.echo(response.body, nl=False)
    return EXIT_OK


@click.command(epilog=example("ochreflow drain 127.0.0.1:9100"))
@click.argument("address")
def drain(address: str) -> int:
    """Drain a sidecar: it completes pending requests and rejects new ones."""
    return _change_state(address, "/healthcheck/fail", "draining")


@click.command(epilog=example("ochreflow undrain 127.0.0.1:9100"))
@click.argument("address")
def undrain(address: str) -> int:
    """Return a drained sidecar to service."""
    return _change_state(address, "/healthcheck/ok", "serving")


@click.group(epilog=example("ochreflow admission show 127.0.0.1:9100"))
def admission() -> None:
    """Inspect connection admission, if [admission] is on in the operator's file."""


@admission.command(name="show", epilog=example("ochreflow admission show 127.0.0.1:9100"))
@click.argument("address")
def admission_show(address: str) -> int:
    """Print limits, rejections by reason, and the addresses with the most connections."""
    response = _call("GET", address, "/admission")
    if response.status == HTTPStatus.NOT_FOUND:
        message = f"{address}: admission is off in the sidecar's operator file"
        raise click.ClickException(message)
    _require_ok(address, response)
    click.echo(response.body, nl=False)
    return EXIT_OK
