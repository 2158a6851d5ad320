"""Encodes the requests of clients."""

from __future__ import annotations

from ..platform_config import HOST
from .classes import Effect
from .plan import ClientRequest

MS_PER_S = 1000


def request_bytes(request: ClientRequest) -> bytes:
    """Return a request as HTTP/1.1 bytes."""
    idempotent = request.request_class.effect is Effect.IDEMPOTENT
    head = [
        f"{'GET' if idempotent else 'POST'} /{request.request_class.name}/part HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request.id}",
        f"X-Deadline: {round(request.deadline * MS_PER_S)}m",
    ]
    if request.closes_connection:
        head.append("Connection: close")
    if request.request_class.effect is Effect.IDEMPOTENT_WITH_KEY:
        head.append(f"Idempotency-Key: key-of-{request.id}")
    body = b"x" * request.size
    if request.chunked:
        head.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        body += b"0\r\n\r\n"
    elif not idempotent:
        head.append(f"Content-Length: {request.size}")
    return "\r\n".join([*head, "", ""]).encode() + body
