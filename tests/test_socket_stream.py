"""`SocketStream` knows exactly which bytes the system has accepted, and sends nothing after `close`."""

import asyncio
import contextlib
import socket

import pytest
from net_helpers import HOST, run, wait_until

from ochreflow.http.socket_stream import SocketStream

LARGE = 1 << 20  # bytes, more than the small buffers can hold
SMALL_BUFFER = 8 * 1024


class Owner:
    """Records the callbacks of a stream."""

    def __init__(self):
        self.received = bytearray()
        self.events = []

    def data_received(self, data):
        self.received += data

    def eof_received(self):
        self.events.append("end")

    def connection_broken(self):
        self.events.append("broken")

    def pause_writing(self):
        self.events.append("pause")

    def resume_writing(self):
        self.events.append("resume")


@contextlib.contextmanager
def connected():
    """Yield a reading stream, its owner, and the socket of its peer."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    listener.bind((HOST, 0))
    listener.listen()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
    sock.connect(listener.getsockname())
    sock.setblocking(False)
    peer, _ = listener.accept()
    peer.setblocking(False)
    owner = Owner()
    stream = SocketStream(asyncio.get_running_loop(), sock, owner)
    stream.resume_reading()
    try:
        yield stream, owner, peer
    finally:
        stream.close()
        peer.close()
        listener.close()


def drain(peer):
    """Read all bytes that have arrived at the peer; return their number."""
    received = 0
    with contextlib.suppress(BlockingIOError, ConnectionResetError):
        while data := peer.recv(LARGE):
            received += len(data)
    return received


def reset(peer):
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    peer.close()


def test_bytes_that_are_unsent_at_the_close_never_reach_the_peer():
    async def scenario():
        with connected() as (stream, owner, peer):
            assert stream.begin(bytes(LARGE))
            received = drain(peer)  # the socket is writable now, which the loop has not noticed
            unsent = len(stream.unsent)
            stream.close()
            for _ in range(10):
                await asyncio.sleep(0)
                received += drain(peer)
            assert received == LARGE - unsent
            assert owner.events == []

    run(scenario())


def test_all_bytes_arrive_and_the_owner_is_notified_when_none_is_unsent():
    async def scenario():
        with connected() as (stream, owner, peer):
            assert stream.begin(b"a" * 100)
            stream.write(bytes(LARGE))
            assert owner.events == ["pause"]
            received = 0
            while stream.unsent:
                received += drain(peer)
                await asyncio.sleep(0)
            await wait_until(lambda: stream.unacknowledged() == 0 or drain(peer))
            assert owner.events == ["pause", "resume"]

    run(scenario())


def test_data_that_arrived_before_a_reset_is_delivered_before_the_reset_is_reported():
    async def scenario():
        with connected() as (_, owner, peer):
            peer.sendall(b"whole")
            reset(peer)
            await wait_until(lambda: owner.events)
            assert bytes(owner.received) == b"whole"
            assert owner.events[0] == "broken"

    run(scenario())


def test_an_end_of_stream_after_a_failed_write_is_reported_as_broken():
    """The failed write consumes the error of the socket, and the next read then looks like an orderly end."""

    async def scenario():
        with connected() as (stream, owner, peer):
            reset(peer)
            stream.write(b"more")
            assert stream.failed and bytes(stream.unsent) == b"more"
            await wait_until(lambda: "broken" in owner.events)
            assert "end" not in owner.events

    run(scenario())


@pytest.mark.parametrize("end", ["closed", "failed"])
def test_data_written_to_a_closed_or_failed_stream_counts_as_unsent(end):
    async def scenario():
        with connected() as (stream, _, peer):
            if end == "closed":
                stream.close()
            else:
                reset(peer)
                stream.write(b"first")
            stream.write(b"second")
            assert bytes(stream.unsent).endswith(b"second")
            assert stream.unacknowledged() >= len(b"second")

    run(scenario())


def test_an_exception_of_the_owner_ends_the_connection():
    async def scenario():
        with connected() as (_, owner, peer):

            def fail(data):
                raise RuntimeError("simulated fault of the owner")

            owner.data_received = fail
            reported = []
            asyncio.get_running_loop().set_exception_handler(lambda _, context: reported.append(context))
            peer.sendall(b"x")
            await wait_until(lambda: owner.events == ["broken"] and reported)

    run(scenario())
