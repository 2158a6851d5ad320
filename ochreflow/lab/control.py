"""Control orders to fake servers, over HTTP."""

from __future__ import annotations

import asyncio
import http.client
import json
from typing import Any

from ..errors import OchreflowError

CONTROL_PATH = "/-/lab"
CONTROL_TIMEOUT_S = 2.0


class ControlError(OchreflowError, RuntimeError):
    """A fake server that did not accept a control order."""


async def send_order(address: str, order: dict[str, Any]) -> None:
    """Send a control order to the fake server at `address`; ControlError if it is not accepted."""
    await asyncio.to_thread(_send_order, address, order)


def _send_order(address: str, order: dict[str, Any]) -> None:
    connection = http.client.HTTPConnection(address, timeout=CONTROL_TIMEOUT_S)
    try:
        connection.request("POST", CONTROL_PATH, json.dumps(order))
        response = connection.getresponse()
        if response.status != http.HTTPStatus.OK:
            message = f"{address} did not take the order: {response.read().decode()}"
            raise ControlError(message)
    finally:
        connection.close()
