"""A second frontend for tests: one request per line, `CLASS NAME MILLISECONDS`, and one response per line.

It uses the same core as HTTP does, over its own transport, which opens a connection for each attempt. The
servers here speak both protocols and tell them apart by the first line.
"""

import asyncio
from dataclasses import dataclass

from net_helpers import HOST, FakePeer, http_response, read_message, reset

from ochreflow.core.body import Body
from ochreflow.core.ports import IncomingRequest
from ochreflow.policy.interface import State, Status

STATUS_BY_WORD = {"ok": Status.OK, "full": Status.REJECTED, "error": Status.ERROR}


class LineAttempt(asyncio.Protocol):
    def __init__(self, upstream_transport, address, request, observer):
        self.upstream_transport, self.address, self.request, self.observer = (
            upstream_transport,
            address,
            request,
            observer,
        )
        self.begun = False
        self.may_run = False
        self.transport = None
        self.timer = None
        self.task = upstream_transport.loop.create_task(self.connect())

    async def connect(self):
        # Tests clear the event to hold attempts before their first byte.
        await self.upstream_transport.connecting_allowed.wait()
        try:
            await self.upstream_transport.loop.create_connection(lambda: self, *self.address)
        except OSError:
            self.end(Status.CONNECT_FAILED)

    def connection_made(self, transport):
        if self.observer is None:
            transport.abort()
            return
        self.transport = transport
        if not self.observer.write_timeout_s():
            self.end(Status.NOT_SENT)
            return
        self.begun = True
        if self.upstream_transport.partial_writes:
            transport.write(self.request.request_id)
            return
        transport.write(b"%s\n" % self.request.request_id)
        self.may_run = True
        self.observer.written()

    def data_received(self, data):
        word, _, answer = data.decode().strip().partition(" ")
        self.end(STATUS_BY_WORD[word], answer)

    def connection_lost(self, exc):
        self.end(Status.RESET)

    def set_timeout(self, seconds):
        self.clear_timeout()
        self.timer = self.upstream_transport.loop.call_later(seconds, self.give_up, Status.TIMEOUT)

    def clear_timeout(self):
        if self.timer is not None:
            self.timer.cancel()

    def give_up(self, status):
        self.end(status if self.begun else Status.CONNECT_FAILED)

    def end(self, status, answer=None):
        observer, self.observer = self.observer, None
        if observer is None:
            return
        self.clear_timeout()
        if self.transport is not None:
            self.transport.abort()
        observer.ended(status, answer, ())


class LineTransport:
    def __init__(self, loop):
        self.loop = loop
        self.addresses = {}
        self.waiting = {}
        self.partial_writes = False  # for tests of an attempt whose last byte has not been written
        self.connecting_allowed = asyncio.Event()
        self.connecting_allowed.set()

    def start(self, server, request, timeout, observer):
        upstream_attempt = LineAttempt(self, self.addresses.get(server, (HOST, 1)), request, observer)
        self.waiting.setdefault(server, []).append(upstream_attempt)
        if timeout is not None:
            upstream_attempt.set_timeout(timeout)
        return upstream_attempt

    def update(self, server, address, since_ms, state):
        self.addresses[server] = address
        if state is not State.READY:
            for upstream_attempt in self.waiting.get(server, ()):
                if not upstream_attempt.begun:
                    upstream_attempt.give_up(Status.CONNECT_FAILED)

    def forget(self, server):
        self.addresses.pop(server, None)

    def close_idle(self, server):
        pass

    def sweep(self):
        pass

    def close(self):
        for attempts in self.waiting.values():
            for upstream_attempt in attempts:
                upstream_attempt.task.cancel()


class LineClient(asyncio.Protocol):
    def __init__(self, frontend):
        self.frontend = frontend
        self.open_requests = set()
        self.buffer = b""

    def connection_made(self, transport):
        self.transport = transport
        self.frontend.clients.add(self)

    def data_received(self, data):
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        engine = self.frontend.engine
        for line in lines:
            class_name, name, timeout_ms = line.split()
            specs = engine.settings.classes
            class_index = [spec.name for spec in specs].index(class_name.decode())
            body = Body(engine.memory, 0)
            body.end()
            timeout_ns = int(timeout_ms) * 1_000_000
            request = IncomingRequest(
                name,
                class_index,
                0,
                0,
                timeout_ns,
                engine.clock.now() + timeout_ns,
                0,
                False,
                class_index > 0,
                body,
            )
            self.open_requests.add(request)
            engine.requests.accept(self.frontend.frontend_binding, self, request)

    def respond(self, request, response):
        self.open_requests.discard(request)
        word = ["served", "refused", "failed"][response.disposition]
        self.transport.write(f"{word} {response.reason.value} {response.retry_after_ns}\n".encode())
        if self.frontend.closes_on_response:
            self.transport.abort()

    def is_disconnected(self, request):
        return request not in self.open_requests or self.transport.is_closing()

    def connection_lost(self, exc):
        self.frontend.clients.discard(self)
        for request in self.open_requests:
            self.frontend.engine.requests.client_disconnected(request)
        self.frontend.engine.lifecycle.client_disconnected()


class LineFrontend:
    def __init__(self, engine, loop):
        self.engine = engine
        self.clients = set()
        self.closes_on_response = False
        self.server = None
        self.upstream_transport = LineTransport(loop)
        self.frontend_binding = engine.bind_frontend("lines", self, self.upstream_transport)

    @property
    def connected(self):
        return len(self.clients)

    def stop_accepting(self):
        if self.server is not None:
            self.server.close()

    def close_idle_connections(self):
        for client in [client for client in self.clients if not client.open_requests]:
            client.transport.close()

    def sweep(self):
        pass

    def close(self):
        self.stop_accepting()
        for client in self.clients:
            client.transport.abort()


@dataclass
class DualProtocolServer(FakePeer):
    """A server that speaks both protocols; `handler` maps the name of a request to the way it is handled."""

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while not writer.is_closing():
                line = await reader.readline()
                if not line:
                    break
                http = line.rstrip().endswith(b"HTTP/1.1")
                if http:
                    head = asyncio.StreamReader()
                    head.feed_data(line + await reader.readuntil(b"\r\n\r\n"))
                    head.feed_eof()
                    name = (await read_message(head)).headers["x-request-id"]
                else:
                    name = line.decode().strip()
                self.received.append(name)
                await self.respond(self.handler(name), http, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.ended_connections += 1
        writer.close()

    @staticmethod
    async def respond(reaction, http, reader, writer):
        if reaction == "silent":
            await reader.read()
        elif reaction == "reset":
            reset(writer)
        elif http:
            code, *lines = {"ok": (200,), "full": (503, "X-Not-Run: 1"), "error": (500,)}[reaction]
            writer.write(http_response(code, b"", *lines))
        else:
            writer.write(reaction.encode() + b"\n")
