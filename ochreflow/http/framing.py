"""Frames the body of a request to a server."""

from __future__ import annotations

from ..core.body import Body

LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes | bytearray) -> bytes:
    """Return `data` as one chunk of a chunked body; empty for no data, since an empty chunk ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def frame_body(body: Body) -> bytes:
    """Return the last lines of the head, which state how the body is framed, and the buffered body."""
    length = len(body.buffered) if body.complete else body.length
    if length is not None:
        return b"Content-Length: %d\r\n\r\n%s" % (length, body.buffered)
    return b"Transfer-Encoding: chunked\r\n\r\n" + chunk(body.buffered)
