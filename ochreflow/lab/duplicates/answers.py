"""The bytes that a server sends when it ends an attempt."""

from __future__ import annotations

from .treatment import Ending

RESPONSE_BODY = b"served"


def response_bytes(code: int, *lines: str, body: bytes = RESPONSE_BODY) -> bytes:
    """Return a response with the given status code, additional header lines and body."""
    head = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}", *lines, "", ""]
    return "\r\n".join(head).encode() + body


RESPONSES = {  # complete responses; the connection can be reused after them
    Ending.SERVE: response_bytes(200),
    Ending.FAIL: response_bytes(500),
    Ending.REJECT: response_bytes(503, "X-Not-Run: 1"),
    Ending.UNAVAILABLE: response_bytes(503),
    Ending.REJECT_THEN_DENY: response_bytes(503, "X-Not-Run: 1", "X-Not-Run: 0"),
    Ending.DENY_THEN_REJECT: response_bytes(503, "X-Not-Run: 0", "X-Not-Run: 1"),
    Ending.REJECT_IN_INTERIM: b"HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\n\r\n" + response_bytes(503),
    Ending.REJECT_IN_TRAILER: (
        b"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\nTrailer: X-Not-Run\r\n\r\n"
        b"6\r\nserved\r\n0\r\nX-Not-Run: 1\r\n\r\n"
    ),
    Ending.REJECT_WITH_500: response_bytes(500, "X-Not-Run: 1"),
}
TRUNCATED_RESPONSES = {  # sent before the server shuts down its side of the connection
    Ending.TRUNCATED_HEAD: b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Le",
    Ending.HALF_CLOSE: b"",
}
GARBAGE = b"HTP/1.1 2O0 \x00K\r\n\r\n"
