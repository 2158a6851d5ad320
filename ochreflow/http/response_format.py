"""Formats responses to clients: heads, header lines, and responses of the sidecar itself.

The reason of a final response is mapped to its status code and body here.
"""

from __future__ import annotations

from ..core.clock import NS_PER_S
from ..core.ports import FinalResponse, Reason
from ..core.stats import Disposition
from .response import OK, Response

DECLINED_CODES = (429, 503)  # a client may retry the request
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
# Code and body of responses without a server's response; `DECLINED` if a retry is harmless.
LOCAL_RESPONSES = {
    (Disposition.DECLINED, Reason.BALANCER_DECISION): (503, b"refused\n"),
    (Disposition.ABORTED, Reason.BALANCER_DECISION): (502, b"failed\n"),
    (Disposition.DECLINED, Reason.DEADLINE_EXCEEDED): (503, b"refused: out of time\n"),
    (Disposition.ABORTED, Reason.DEADLINE_EXCEEDED): (504, b"failed: out of time\n"),
    (Disposition.DECLINED, Reason.OVERLOADED): (503, b"too many open requests\n"),
    (Disposition.DECLINED, Reason.DRAINING): (503, b"draining\n"),
    (Disposition.ABORTED, Reason.DUPLICATE_REQUEST_ID): (
        409,
        b"a request with this id is open or has just been\n",
    ),
}


def disposition_of(code: int) -> Disposition:
    """Return how a client interprets a response with this code."""
    if code == OK:
        return Disposition.SUCCEEDED
    return Disposition.DECLINED if code in DECLINED_CODES else Disposition.ABORTED


def format_head(code: int, headers: bytes, *, keep_alive: bool) -> bytes:
    """Return status line and header lines, with the empty line that ends them."""
    return b"HTTP/1.1 %d %s\r\n%s%s\r\n" % (
        code,
        REASON_PHRASES.get(code, b"Unknown"),
        headers,
        b"" if keep_alive else b"Connection: close\r\n",
    )


def format_response(code: int, headers: bytes, body: bytes, *, keep_alive: bool) -> bytes:
    """Return a complete response, with the length of its body stated."""
    return format_head(code, headers + b"Content-Length: %d\r\n" % len(body), keep_alive=keep_alive) + body


def format_final_response(response: FinalResponse) -> tuple[int, bytes, bytes]:
    """Return code, header lines and body of a final response."""
    answer = response.answer
    if response.disposition is Disposition.SUCCEEDED:
        assert isinstance(answer, Response)
        return OK, answer.header_lines, answer.body
    if response.reason is Reason.INVALID_BODY:
        invalid: tuple[int, bytes] = response.detail  # type: ignore[assignment]  # as passed to `body_failed`
        return invalid[0], b"", invalid[1]
    code, body = LOCAL_RESPONSES[response.disposition, response.reason]
    headers = b""
    if response.retry_after_ns > 0:
        headers = b"Retry-After: %.3f\r\n" % (response.retry_after_ns / NS_PER_S)
    return code, headers, body


CLIENT_DISCONNECTED_RESPONSE = format_response(
    502, b"", b"failed: the client has ended its sending\n", keep_alive=False
)
