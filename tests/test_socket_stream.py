"""A stream knows exactly what the system has taken, and nothing leaves it after its close."""

import asyncio
import contextlib
import socket

import pytest
from net_helpers import HOST, run, wait_until

from ochreflow.http.socket_stream import SocketStream

LARGE = 1 << 20  # bytes: more than the small buffers have room for
SMALL_BUFFER = 8 * 1024


class Owner:
    """Notes what it is told."""

    def __init__(self):
        self.received = bytearray()
        self.told = []

    def data_received(self, data):
        self.received += data

    def eof_received(self):
        self.told.append("end")

    def connection_broken(self):
        self.told.append("broken")

    def pause_writing(self):
        self.told.append("pause")

    def resume_writing(self):
        self.told.append("resume")


@contextlib.contextmanager
def connected():
    """A stream that reads, its owner, and the peer's socket."""
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
    """All that has come to the peer."""
    received = 0
    with contextlib.suppress(BlockingIOError, ConnectionResetError):
        while data := peer.recv(LARGE):
            received += len(data)
    return received


def reset(peer):
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    peer.close()


def test_what_is_unsent_at_the_close_never_reaches_the_peer():
    async def play():
        with connected() as (stream, owner, peer):
            assert stream.begin(bytes(LARGE))
            received = drain(peer)  # there is room now, which the loop has not polled
            unsent = len(stream.unsent)
            stream.close()
            for _ in range(10):
                await asyncio.sleep(0)
                received += drain(peer)
            assert received == LARGE - unsent
            assert owner.told == []

    run(play())


def test_all_arrives_and_the_owner_hears_when_nothing_waits_any_more():
    async def play():
        with connected() as (stream, owner, peer):
            assert stream.begin(b"a" * 100)
            stream.write(bytes(LARGE))
            assert owner.told == ["pause"]
            received = 0
            while stream.unsent:
                received += drain(peer)
                await asyncio.sleep(0)
            await wait_until(lambda: stream.unacknowledged() == 0 or drain(peer))
            assert owner.told == ["pause", "resume"]

    run(play())


def test_what_came_before_a_reset_is_received_before_the_owner_hears_of_it():
    async def play():
        with connected() as (_, owner, peer):
            peer.sendall(b"whole")
            reset(peer)
            await wait_until(lambda: owner.told)
            assert bytes(owner.received) == b"whole"
            assert owner.told[0] == "broken"

    run(play())


def test_an_end_after_a_write_that_failed_is_no_orderly_end():
    """The failed write takes the error from the system, and what is read then looks like an end."""

    async def play():
        with connected() as (stream, owner, peer):
            reset(peer)
            stream.write(b"more")
            assert stream.failed and bytes(stream.unsent) == b"more"
            await wait_until(lambda: "broken" in owner.told)
            assert "end" not in owner.told

    run(play())


@pytest.mark.parametrize("how", ["closed", "failed"])
def test_what_is_written_to_a_stream_that_has_ended_counts_as_unsent(how):
    async def play():
        with connected() as (stream, _, peer):
            if how == "closed":
                stream.close()
            else:
                reset(peer)
                stream.write(b"first")
            stream.write(b"second")
            assert bytes(stream.unsent).endswith(b"second")
            assert stream.unacknowledged() >= len(b"second")

    run(play())


def test_a_fault_of_the_owner_ends_the_connection():
    async def play():
        with connected() as (_, owner, peer):

            def fail(data):
                raise RuntimeError("as if it had a fault")

            owner.data_received = fail
            reported = []
            asyncio.get_running_loop().set_exception_handler(lambda _, context: reported.append(context))
            peer.sendall(b"x")
            await wait_until(lambda: owner.told == ["broken"] and reported)

    run(play())
