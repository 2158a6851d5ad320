"""How a socket is closed by a reset."""

from __future__ import annotations

import contextlib
import socket
import struct

LINGER_NO_TIME = struct.pack("ii", 1, 0)


def reset_when_closed(sock: socket.socket) -> None:
    """Let the close of a socket send a reset; OSError if it is closed already."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NO_TIME)


def reset(sock: socket.socket) -> None:
    """Close a socket by a reset; one that is closed already stays so."""
    with contextlib.suppress(OSError):
        reset_when_closed(sock)
    sock.close()
