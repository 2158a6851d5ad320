"""Closes sockets with a TCP reset."""

from __future__ import annotations

import contextlib
import socket
import struct

LINGER_ZERO = struct.pack("ii", 1, 0)  # `struct linger`: on, with a timeout of 0 s


def reset_when_closed(sock: socket.socket) -> None:
    """Make a later close of the socket send a reset; raise OSError if it is already closed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)


def reset(sock: socket.socket) -> None:
    """Close a socket with a reset; do nothing if it is already closed."""
    with contextlib.suppress(OSError):
        reset_when_closed(sock)
    sock.close()
