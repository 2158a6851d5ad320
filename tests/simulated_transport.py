"""The core's surroundings without sockets: attempts whose steps a test takes one by one, and clients."""

from ochreflow.policy.interface import State, Status


class SimulatedAttempt:
    """An attempt whose steps a test takes one by one."""

    def __init__(self, upstream_transport, server, call, observer):
        self.upstream_transport, self.server, self.call, self.observer = (
            upstream_transport,
            server,
            call,
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
        """Its connection is up: its first byte goes out, and its last one unless the socket is full."""
        if self.has_ended or self.begun:
            return
        write_timeout_s = self.observer.write_timeout_s()
        if write_timeout_s <= 0.0:
            self.end(Status.NOT_SENT)
            return
        self.copy = self.upstream_transport.rule.first_byte(
            self.upstream_transport.loop.now, self.call, self.server
        )
        if write_timeout_s < float("inf"):
            self.write_timer = self.upstream_transport.loop.call_later(write_timeout_s, self._too_late)
        if not self.call.body.complete:
            self.call.body.stream_to(self)
        elif not self.upstream_transport.socket_full:
            self.finish()

    def finish(self):
        """Its last byte goes out."""
        if self.has_ended or not self.begun or self.may_run or not self.call.body.complete:
            return
        if self.write_timer is not None and self.write_timer.when <= self.upstream_transport.loop.now:
            self._too_late()
            return
        self.may_run = True
        self.upstream_transport.rule.last_byte(self.upstream_transport.loop.now, self.call, self.copy)
        self.observer.written()

    def body_part(self, data):
        pass

    def body_end(self):
        if not self.upstream_transport.socket_full:
            self.finish()

    def answer(self, status):
        """Its server ends it. One that proves nothing may come before the request is complete."""
        if self.has_ended or not self.begun:
            return
        if status is Status.REJECTED:
            self.copy.never_ran = True
        if status is Status.RESET and not self.may_run:
            status = Status.CONNECT_FAILED
        self.end(status)

    def begin_response(self):
        """Its server's answer begins to flow."""
        if self.has_ended or not self.may_run:
            return
        if not self.observer.begin(None, None):
            self.give_up(Status.CANCELLED)

    def fail_to_connect(self):
        if not self.has_ended and not self.begun:
            self.end(Status.CONNECT_FAILED)

    def _too_late(self):
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
    """Keeps the attempts in flight, in the order of their starts."""

    def __init__(self, loop, rule):
        self.loop, self.rule = loop, rule
        self.in_flight = []
        self.states = {}
        self.has_idle_connection = False  # a connection stands idle: attempts are written within their start
        self.socket_full = False  # the socket takes no last byte
        self.fail_next_start = None  # "before" or "after" the writing, for the next start
        self.on_start = None

    def start(self, server, call, timeout, observer):
        attempt = SimulatedAttempt(self, server, call, observer)
        self.in_flight.append(attempt)
        fails, self.fail_next_start = self.fail_next_start, None
        if fails == "before":
            raise RuntimeError("injected before anything was written")
        if self.states.get(server) is not State.READY:
            self.loop.call_soon(attempt.fail_to_connect)
        elif self.has_idle_connection or fails == "after":
            if timeout is not None:
                attempt.set_timeout(timeout)
            self._connect_in_start(attempt)
            if fails == "after":
                raise RuntimeError("injected after it was written")
        elif timeout is not None:
            attempt.set_timeout(timeout)
        if self.on_start is not None:
            self.on_start(attempt)
        return attempt

    def _connect_in_start(self, attempt):
        """As `connect`, but its end is reported later, never from within the start."""
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
            for attempt in [one for one in self.in_flight if one.server == server and not one.begun]:
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
    """All clients: the frontend and the response sink of every request."""

    connected = 0

    def __init__(self, rule):
        self.rule = rule
        self.disconnected_ids = set()

    def respond(self, call, response):
        self.rule.respond(call, response)

    def is_disconnected(self, call):
        return call.request_id in self.disconnected_ids

    def begin(self, call, head, length, pause):
        self.rule.requests[call.request_id].streaming = True

    def part(self, call, data):
        pass

    def end(self, call, *, complete):
        self.rule.requests[call.request_id].responses.append(complete)

    def stop_accepting(self):
        pass

    def close_idle_connections(self):
        pass

    def sweep(self):
        pass

    def close(self):
        pass
