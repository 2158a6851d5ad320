"""A transport and clients without sockets; the test advances each attempt step by step."""

from ochreflow.policy.interface import State, Status


class SimulatedAttempt:
    """An attempt that advances only when the test calls its next step."""

    def __init__(self, upstream_transport, server, request, observer):
        self.upstream_transport, self.server, self.request, self.observer = (
            upstream_transport,
            server,
            request,
            observer,
        )
        self.copy = None
        self.may_run = False
        self.timer = None
        self.write_timer = None

    @property
    def begun(self):
        return self.copy is not None

    @property
    def has_ended(self):
        return self.observer is None

    def connect(self):
        """Establish the connection and write the first byte, and the last one unless the socket is full."""
        if self.has_ended or self.begun:
            return
        write_timeout_s = self.observer.write_timeout_s()
        if write_timeout_s <= 0.0:
            self.end(Status.NOT_SENT)
            return
        self.copy = self.upstream_transport.rule.first_byte(
            self.upstream_transport.loop.now, self.request, self.server
        )
        if write_timeout_s < float("inf"):
            self.write_timer = self.upstream_transport.loop.call_later(write_timeout_s, self._write_timed_out)
        if not self.request.body.complete:
            self.request.body.stream_to(self)
        elif not self.upstream_transport.socket_full:
            self.finish()

    def finish(self):
        """Write the last byte of the request."""
        if self.has_ended or not self.begun or self.may_run or not self.request.body.complete:
            return
        if self.write_timer is not None and self.write_timer.when <= self.upstream_transport.loop.now:
            self._write_timed_out()
            return
        self.may_run = True
        self.upstream_transport.rule.last_byte(self.upstream_transport.loop.now, self.request, self.copy)
        self.observer.written()

    def body_part(self, data):
        pass

    def body_end(self):
        if not self.upstream_transport.socket_full:
            self.finish()

    def answer(self, status):
        """End the attempt; a response that does not prove non-execution may precede the last byte."""
        if self.has_ended or not self.begun:
            return
        if status is Status.REJECTED:
            self.copy.never_ran = True
        if status is Status.RESET and not self.may_run:
            status = Status.CONNECT_FAILED
        self.end(status)

    def begin_response(self):
        """Begin to stream the server's response."""
        if self.has_ended or not self.may_run:
            return
        if not self.observer.begin(None, None):
            self.give_up(Status.CANCELLED)

    def fail_to_connect(self):
        if not self.has_ended and not self.begun:
            self.end(Status.CONNECT_FAILED)

    def _write_timed_out(self):
        if not self.has_ended and not self.may_run:
            self.end(Status.NOT_SENT)

    def set_timeout(self, seconds):
        self.clear_timeout()
        if not self.has_ended:
            self.timer = self.upstream_transport.loop.call_later(
                max(seconds, 0.001), self.give_up, Status.TIMEOUT
            )

    def clear_timeout(self):
        if self.timer is not None:
            self.timer.cancel()

    def pause(self, paused):
        pass

    def give_up(self, status):
        if status is not Status.NOT_SENT and not self.may_run:
            status = Status.CONNECT_FAILED
        self.end(status)

    def end(self, status):
        observer, self.observer = self.observer, None
        if observer is None:
            return
        self.clear_timeout()
        if self.write_timer is not None:
            self.write_timer.cancel()
        if self.copy is not None:
            self.copy.ended = True
        self.upstream_transport.in_flight.remove(self)
        observer.ended(status, "answer" if status is Status.OK else None, ())


class SimulatedTransport:
    """An upstream transport that keeps its attempts in flight in the order of their starts."""

    def __init__(self, loop, rule):
        self.loop, self.rule = loop, rule
        self.in_flight = []
        self.states = {}
        self.has_idle_connection = False  # attempts are written within `start`
        self.socket_full = False  # the last byte can't be written
        self.fail_next_start = None  # raise in the next `start`, "before" or "after" the first byte
        self.on_start = None

    def start(self, server, request, timeout, observer):
        attempt = SimulatedAttempt(self, server, request, observer)
        self.in_flight.append(attempt)
        failure, self.fail_next_start = self.fail_next_start, None
        if failure == "before":
            raise RuntimeError("injected before anything was written")
        if self.states.get(server) is not State.READY:
            self.loop.call_soon(attempt.fail_to_connect)
        elif self.has_idle_connection or failure == "after":
            if timeout is not None:
                attempt.set_timeout(timeout)
            self._connect_in_start(attempt)
            if failure == "after":
                raise RuntimeError("injected after it was written")
        elif timeout is not None:
            attempt.set_timeout(timeout)
        if self.on_start is not None:
            self.on_start(attempt)
        return attempt

    def _connect_in_start(self, attempt):
        """Connect as `connect` does, but report a missed write deadline later, not from within `start`."""
        write_timeout_s = attempt.observer.write_timeout_s()
        if write_timeout_s <= 0.0:
            self.loop.call_soon(attempt.end, Status.NOT_SENT)
        else:
            attempt.connect()

    def probe(self, server, timeout, done):
        pass

    def update(self, server, address, since_ms, state):
        self.states[server] = state
        if state is not State.READY:
            for attempt in [other for other in self.in_flight if other.server == server and not other.begun]:
                attempt.give_up(Status.CONNECT_FAILED)

    def forget(self, server):
        self.states.pop(server, None)

    def close_idle(self, server):
        pass

    def sweep(self):
        pass

    def close(self):
        pass


class SimulatedClients:
    """All clients: the frontend and response sink of every request."""

    connected = 0

    def __init__(self, rule):
        self.rule = rule
        self.disconnected_ids = set()

    def respond(self, request, response):
        self.rule.respond(request, response)

    def is_disconnected(self, request):
        return request.request_id in self.disconnected_ids

    def begin(self, request, head, length, pause):
        self.rule.requests[request.request_id].streaming = True

    def part(self, request, data):
        pass

    def end(self, request, *, complete):
        self.rule.requests[request.request_id].responses.append(complete)

    def stop_accepting(self):
        pass

    def close_idle_connections(self):
        pass

    def sweep(self):
        pass

    def close(self):
        pass
