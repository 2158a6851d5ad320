"""What servers send at the ending of an attempt."""

from __future__ import annotations

from .treatment import Ending

ANSWER_BODY = b"served"


def answer_bytes(code: int, *lines: str, body: bytes = ANSWER_BODY) -> bytes:
    """An answer with these further header lines."""
    head = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}", *lines, "", ""]
    return "\r\n".join(head).encode() + body


ANSWERS = {  # complete answers, after which a connection is used again
    Ending.SERVE: answer_bytes(200),
    Ending.FAIL: answer_bytes(500),
    Ending.REJECT: answer_bytes(503, "X-Not-Run: 1"),
    Ending.UNAVAILABLE: answer_bytes(503),
    Ending.REJECT_THEN_DENY: answer_bytes(503, "X-Not-Run: 1", "X-Not-Run: 0"),
    Ending.DENY_THEN_REJECT: answer_bytes(503, "X-Not-Run: 0", "X-Not-Run: 1"),
    Ending.REJECT_IN_INTERIM: b"HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\n\r\n" + answer_bytes(503),
    Ending.REJECT_IN_TRAILER: (
        b"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\nTrailer: X-Not-Run\r\n\r\n"
        b"6\r\nserved\r\n0\r\nX-Not-Run: 1\r\n\r\n"
    ),
    Ending.REJECT_WITH_500: answer_bytes(500, "X-Not-Run: 1"),
}
TRUNCATED_ANSWERS = {  # what is sent before the server ends its sending
    Ending.TRUNCATED_HEAD: b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Le",
    Ending.HALF_CLOSE: b"",
}
GARBAGE = b"HTP/1.1 2O0 \x00K\r\n\r\n"
