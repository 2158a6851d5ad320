"""Bad clients: each sends a request without an id, whose body of 60 MB comes in chunks of one byte."""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
from time import monotonic

HEAD = b"POST /assign/seat HTTP/1.1\r\nHost: origin.svc\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1\r\nx\r\n"
CHUNKS_AT_ONCE = 100_000
BODY_BYTES = 60_000_000
STALL_S = 30.0  # a client that can write nothing for so long goes
READ_BYTES = 65_536


def read_all(sock: socket.socket) -> None:
    """Read whatever the client is sent."""
    with contextlib.suppress(OSError):
        while sock.recv(READ_BYTES):
            pass


def misbehave(host: str, port: int, end_at: float, sent: list[int]) -> None:
    """Be one bad client, until its body is sent, its connection is closed, or the day ends."""
    with contextlib.suppress(OSError), socket.create_connection((host, port)) as sock:
        sock.settimeout(STALL_S)
        threading.Thread(target=read_all, args=(sock,), daemon=True).start()
        sock.sendall(HEAD)
        pieces = CHUNK * CHUNKS_AT_ONCE
        size = 0
        while size < BODY_BYTES and monotonic() < end_at:
            sock.sendall(pieces)
            size += CHUNKS_AT_ONCE
            sent.append(CHUNKS_AT_ONCE)


def main(host: str, port: str, clients: str, seconds: str) -> None:
    """Run the clients side by side."""
    end_at = monotonic() + float(seconds)
    sent: list[int] = []
    threads = [
        threading.Thread(target=misbehave, args=(host, int(port), end_at, sent)) for _ in range(int(clients))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(f"bad clients {clients} sent {sum(sent) / 1e6:.1f} MB of bodies in all")


if __name__ == "__main__":
    main(*sys.argv[1:])
