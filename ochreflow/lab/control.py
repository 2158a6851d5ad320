"""Sends control orders to fake servers over HTTP."""

from __future__ import annotations

import asyncio
import http.client
import json
from typing import Any

from ..errors import OchreflowError

CONTROL_PATH = "/-/lab"
CONTROL_TIMEOUT_S = 2.0


class ControlError(OchreflowError, RuntimeError):
    """Raised if a fake server rejects a control order."""


async def send_order(address: str, order: dict[str, Any]) -> None:
    """Send a control order to the fake server at `address`; raise ControlError if it is rejected."""
    await asyncio.to_thread(_send_order, address, order)


def _send_order(address: str, order: dict[str, Any]) -> None:
    connection = http.client.HTTPConnection(address, timeout=CONTROL_TIMEOUT_S)
    try:
        connection.request("POST", CONTROL_PATH, json.dumps(order))
        response = connection.getresponse()
        if response.status != http.HTTPStatus.OK:
            message = f"{address} rejected the control order: {response.read().decode()}"
            raise ControlError(message)
    finally:
        connection.close()
