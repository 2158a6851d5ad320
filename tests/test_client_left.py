"""A client's disconnect is detected by its connection even if the event loop does not read the EOF.

The loop is busy, or the EOF is behind unread bytes or behind a complete request in the backlog. The check at
the first byte of an attempt is tested in `test_client_left_attempts`.
"""

import asyncio
import socket
import time

import pytest
from disconnecting_clients import (
    ATTEMPT_START_LIMIT_S,
    DISCONNECT_MODES,
    LOOP_BLOCK_S,
    Server,
    block_until_eof_readable,
    connect,
    disconnect,
    disconnect_while_loop_blocked,
    sidecar_connection,
)
from net_helpers import (
    HOST,
    Sidecar,
    config,
    endpoint_update,
    entry,
    http_request,
    http_response,
    run,
    send_request,
    wait_until,
)

from ochreflow.core.body import MAX_BUFFERED_BYTES
from ochreflow.http import closing_connection
from ochreflow.http.acceptor import Acceptor
from ochreflow.http.request_reader import MAX_PIPELINED_REQUESTS
from ochreflow.http.socket_progress import DISCONNECT_POLL_INTERVAL_S, DisconnectMonitor

pytestmark = pytest.mark.xdist_group("real-time")

STREAMED_BYTES = 2 * MAX_BUFFERED_BYTES  # bytes of a body that is streamed to its server
# more bytes than the sidecar reads while a request is pending
PIPELINED = b"".join(http_request("order", f"more{n}") for n in range(400))


async def connect_with_pending_request(sidecar, server, sent=b""):
    """Connect a client whose first request the server does not answer; it then sends `sent`.

    Return the client's socket and the server's connection.
    """
    client = connect(sidecar.port)
    client.sendall(http_request("order", "pending") + sent)
    server_connection = await server.accept()
    await server_connection.wait_for(b"pending")
    return client, server_connection


async def connect_paused_client(sidecar, server):
    """Connect a client with a pending request and so many after it that the sidecar pauses reading from it.

    Return the client's socket, the server's connection and the sidecar's connection.
    """
    client, server_connection = await connect_with_pending_request(sidecar, server)
    connection = sidecar_connection(sidecar, client)
    client.sendall(b"".join(http_request("order", f"id{n}") for n in range(MAX_PIPELINED_REQUESTS)))
    await wait_until(lambda: connection.paused)
    client.sendall(PIPELINED)
    return client, server_connection, connection


@pytest.mark.parametrize("how", DISCONNECT_MODES)
@pytest.mark.parametrize("eof_position", ["unread", "behind bytes", "paused"])
def test_is_disconnected_detects_a_disconnect_without_a_loop_iteration(tmp_path, eof_position, how):
    """Guards against an attempt for a client whose EOF is in the socket but not yet reported by the loop."""

    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            if eof_position == "paused":
                client, _, connection = await connect_paused_client(sidecar, server)
            else:
                client, _ = await connect_with_pending_request(sidecar, server)
                connection = sidecar_connection(sidecar, client)
            request = connection.current
            if eof_position == "behind bytes":
                client.sendall(PIPELINED)
            assert not connection.is_disconnected(request) and not connection.transport.is_closing()
            disconnect(client, how)
            block_until_eof_readable(connection)
            assert connection.is_disconnected(request) and connection.transport.is_closing()
            assert connection.is_disconnected(request)  # a second call before the next loop iteration
            await wait_until(
                lambda: not sidecar.engine.requests.pending and not sidecar.http.clients.connections
            )
            assert connection.is_disconnected(request)  # a call by a later attempt
            client.close()
        server.close()

    run(scenario())


@pytest.mark.parametrize("last_check", ["look", "sweep"])
@pytest.mark.parametrize("iteration_s", [0.0, 0.02], ids=["idle", "busy"])
@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_a_disconnect_of_a_paused_client_is_detected_within_half_of_the_limit(
    tmp_path, how, iteration_s, last_check
):
    """A timer that is set when the EOF is readable fires after the detection, even in a busy loop.

    The client disconnects just after a check. Timers fire in the order of their times, so a pause of the
    machine does not change the result.
    """

    async def scenario():
        server = Server()
        loop = asyncio.get_running_loop()

        def work():
            time.sleep(iteration_s)
            loop.call_soon(work)

        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client, server_connection, connection = await connect_paused_client(sidecar, server)
            if iteration_s:
                work()
            detected = loop.create_future()
            checker, name = (
                (sidecar.http, "sweep")
                if last_check == "sweep"
                else (sidecar.http.disconnect_monitor, "_poll")
            )
            check = getattr(checker, name)

            def check_and_disconnect():
                check()
                setattr(checker, name, check)
                disconnect(client, how)
                block_until_eof_readable(connection)
                loop.call_later(
                    ATTEMPT_START_LIMIT_S / 2, lambda: detected.set_result(connection.transport.is_closing())
                )

            setattr(checker, name, check_and_disconnect)
            assert await detected
            await wait_until(lambda: not sidecar.engine.requests.pending)
            client.close()
            server_connection.read_available()
            assert server_connection.received.count(b"X-Request-Id") == 1
        server.close()

    run(scenario())


@pytest.mark.parametrize("first", ["answer", "end"])
@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_a_queued_request_is_not_sent_after_a_disconnect(tmp_path, how, first):
    """The answer to the previous request and the EOF arrive in one loop iteration, in either order."""

    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client, server_connection = await connect_with_pending_request(
                sidecar, server, http_request("order", "disconnected")
            )
            await wait_until(lambda: sidecar_connection(sidecar, client).queue)
            if first == "answer":
                server_connection.answer()
            disconnect_while_loop_blocked(sidecar, client, how)
            if first == "end":
                server_connection.answer()
            await wait_until(
                lambda: not sidecar.http.clients.connections and not sidecar.engine.attempts.in_flight
            )
            assert b"disconnected" not in server.read_all()
            client.close()
        server.close()

    run(scenario())


@pytest.mark.parametrize("accepts", ["loop", "own"])
@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_a_request_is_not_sent_if_its_client_disconnects_while_the_loop_is_blocked(tmp_path, how, accepts):
    """The request and the EOF are in the backlog; an idle connection to the server exists."""

    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            port = sidecar.port
            if accepts == "own":
                sock = Server().listening
                port = sock.getsockname()[1]
                clients = sidecar.http.clients
                loop = asyncio.get_running_loop()
                sidecar.http.listen(Acceptor(loop, sock, sidecar.http.connection, clients))
            first_answer = asyncio.create_task(send_request(port, http_request("order", "first")))
            server_connection = await server.accept()
            await server_connection.wait_for(b"first")
            server_connection.answer()
            assert (await first_answer).code == 200
            await wait_until(lambda: not sidecar.http.clients.connections)

            client = connect(port)
            client.sendall(http_request("order", "disconnected"))
            disconnect(client, how)
            time.sleep(LOOP_BLOCK_S)
            second_answer = asyncio.create_task(send_request(port, http_request("order", "other")))
            await server_connection.wait_for(b"other")  # accepted after the first client
            server_connection.answer()
            assert (await second_answer).code == 200
            assert b"disconnected" not in server.read_all()
            client.close()
        server.close()

    run(scenario())


@pytest.mark.parametrize("how", DISCONNECT_MODES)
def test_a_streamed_body_is_not_completed_after_a_disconnect(tmp_path, how):
    """The last part of the body and the EOF arrive in one iteration; an incomplete request can't run."""

    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            client = connect(sidecar.port)
            client.sendall(
                http_request("order", "big", "3000m", b"a" * STREAMED_BYTES + b"last")[: -len(b"last")]
            )
            server_connection = await server.accept()
            await wait_until(
                lambda: (
                    server_connection.read_available()
                    or server_connection.received.endswith(b"a" * STREAMED_BYTES)
                )
            )
            client.sendall(b"last")
            disconnect_while_loop_blocked(sidecar, client, how)
            await wait_until(
                lambda: not sidecar.engine.requests.pending and not sidecar.engine.attempts.in_flight
            )
            await wait_until(lambda: server_connection.read_available() or server_connection.ended)
            assert b"big" in server_connection.received and b"last" not in server_connection.received
            assert sidecar.engine.stats.forwards == 0
            client.close()
        server.close()

    run(scenario())


def test_the_disconnect_monitor_has_no_timer_unless_a_client_is_paused(tmp_path, monkeypatch):
    """Frequent polling must cost nothing while all clients are read, and one system call otherwise."""

    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            monitor = sidecar.http.disconnect_monitor
            client, _ = await connect_with_pending_request(sidecar, server)
            assert monitor.timer is None and not monitor.fds
            connection = sidecar_connection(sidecar, client)
            client.sendall(b"".join(http_request("order", f"id{n}") for n in range(MAX_PIPELINED_REQUESTS)))
            await wait_until(lambda: connection.paused)
            assert len(monitor.fds) == len(monitor.callbacks) == 1
            await asyncio.sleep(3 * DISCONNECT_POLL_INTERVAL_S)
            assert monitor.timer is not None and not connection.transport.is_closing()
            client.close()
            await wait_until(lambda: monitor.timer is None)
            assert not monitor.fds and not monitor.callbacks and not monitor.poller.poll(0)
        server.close()

    run(scenario())


def test_a_disconnect_callback_may_remove_other_monitored_transports():
    async def scenario():
        loop = asyncio.get_running_loop()
        monitor, notified = DisconnectMonitor(loop), []
        server = Server()
        ends = [connect(server.listening.getsockname()[1]) for _ in range(3)]
        transports = []
        for _ in ends:
            server_connection = await server.accept()
            transports.append(
                (await loop.connect_accepted_socket(asyncio.Protocol, server_connection.sock))[0]
            )
            transports[-1].pause_reading()

        def on_disconnect(transport):
            notified.append(transport)
            for one in transports[:2]:
                monitor.remove(one)

        for transport in transports:
            monitor.add(transport, lambda transport=transport: on_disconnect(transport))
        for end in ends[:2]:
            end.close()
        await wait_until(lambda: notified)
        await asyncio.sleep(2 * DISCONNECT_POLL_INTERVAL_S)
        assert len(notified) == 1 and notified[0] in transports[:2]
        assert list(monitor.fds) == transports[2:]
        ends[2].close()
        await wait_until(lambda: transports[2] in notified)
        monitor.close()
        assert monitor.timer is None
        for transport in transports:
            transport.abort()
        server.listening.close()

    run(scenario())


def test_a_slow_reader_that_requests_connection_close_is_disconnected(tmp_path, monkeypatch):
    """Otherwise the connection closes only after the write of the response, which never completes."""
    # Only the slow-reader timeout closes it.
    monkeypatch.setattr(closing_connection, "DRAINING_CLOSE_TIMEOUT_S", 1000.0)

    async def scenario():
        server = Server()
        async with Sidecar(
            tmp_path / "c", config(endpoint_update(1, entry("s1", server.address)))
        ) as sidecar:
            sidecar.http.clients.timeouts.slow_reader_s = 0.1
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect((HOST, sidecar.port))
            await wait_until(lambda: sidecar.http.clients.connections)
            (connection,) = sidecar.http.clients.connections
            connection.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
            client.sendall(http_request("order", "pending", "3000m", b"", "Connection: close"))
            server_connection = await server.accept()
            await server_connection.wait_for(b"pending")
            server_connection.sock.setblocking(True)
            server_connection.sock.sendall(http_response(200, bytes(MAX_BUFFERED_BYTES // 2)))
            await wait_until(lambda: connection.draining)
            assert connection.transport.get_write_buffer_size() > 0
            await wait_until(lambda: not sidecar.http.clients.connections)
            client.close()
        server.close()

    run(scenario())
