"""The core with the decision module over a simulated loop, transport and clients, judged by rule `duplicate`.

The rule knows what was written to servers and what each server answered; it shares no code with the program.
"""

import heapq
import itertools
from concurrent.futures import Future
from dataclasses import dataclass, field

from helpers import MS, SECOND, START

from ochreflow.core.body import Body
from ochreflow.core.endpoints import EndpointIds, EndpointRecord, EndpointUpdate
from ochreflow.core.engine import Engine
from ochreflow.core.limits import MB, Descriptors, Memory, Usage
from ochreflow.core.ports import IncomingRequest
from ochreflow.core.stats import Disposition
from ochreflow.policy.interface import Effect, Endpoint, RequestClass, Scope, Settings, State, Status

CLASSES = {
    "safe": (Effect.IDEMPOTENT, Scope.ALL),
    "keyed everywhere": (Effect.IDEMPOTENT_WITH_KEY, Scope.ALL),
    "keyed by zone": (Effect.IDEMPOTENT_WITH_KEY, Scope.ZONE),
    "keyed by cell": (Effect.IDEMPOTENT_WITH_KEY, Scope.CELL),
    "unsafe": (Effect.NON_IDEMPOTENT, Scope.ALL),
}
WINDOW = 900 * MS
DEADLINE = 2 * SECOND
ANSWER_SLACK = 20 * MS  # after its deadline a request counts as not answered


class Handle:
    """A timer of the simulated loop."""

    def __init__(self, when, callback, args):
        self.when, self.callback, self.args = when, callback, args
        self.cancelled = False

    def cancel(self):
        self.cancelled = True


class SimulatedLoop:
    """Timers in simulated time. What a real loop reports of a callback that failed is kept in `failed`."""

    def __init__(self):
        self.now = START
        self.timers = []
        self.order = itertools.count()
        self.failed = []

    def create_future(self):
        return Future()

    def call_later(self, seconds, callback, *args):
        handle = Handle(self.now + max(round(seconds * SECOND), 0), callback, args)
        heapq.heappush(self.timers, (handle.when, next(self.order), handle))
        return handle

    def call_soon(self, callback, *args):
        return self.call_later(0, callback, *args)

    def due(self):
        """The timers that are due by now, in their order."""
        return [entry for entry in sorted(self.timers) if entry[0] <= self.now and not entry[2].cancelled]

    def ring(self, entry):
        """Run one timer, whatever its place is among those that are due."""
        self.timers.remove(entry)
        heapq.heapify(self.timers)
        handle = entry[2]
        try:
            handle.callback(*handle.args)
        except Exception as error:
            self.failed.append(error)

    def run_until(self, end):
        """Run all timers up to a time, in order."""
        while self.timers and self.timers[0][0] <= end:
            entry = self.timers[0]
            self.now = max(self.now, entry[0])
            if entry[2].cancelled:
                heapq.heappop(self.timers)
            else:
                self.ring(entry)
        self.now = max(self.now, end)


@dataclass(eq=False)
class Copy:
    """One copy of a request on its way to a server, as the model sees it."""

    server: int
    group: dict  # by scope, as the list said when its first byte went out
    first_byte_at: int
    complete: bool = False  # its last byte has been written
    ended: bool = False
    never_ran: bool = False  # by its server's word

    @property
    def may_have_run(self):
        return self.complete and not self.never_ran


@dataclass(eq=False)
class RequestRecord:
    """A request as the model sees it."""

    call: IncomingRequest
    spec: RequestClass
    copies: list = field(default_factory=list)
    responses: list = field(default_factory=list)
    rejected: bool = False
    client_disconnected: bool = False
    streaming: bool = False  # a server's answer has begun to reach the client

    @property
    def may_reject(self):
        effect, scope = self.spec.effect, self.spec.scope
        return effect is Effect.IDEMPOTENT or (effect is Effect.IDEMPOTENT_WITH_KEY and scope is Scope.ALL)


class DuplicateRule:
    """Judges each byte written and each final answer."""

    def __init__(self, settings):
        self.settings = settings
        self.requests = {}
        self.groups = {}  # server -> its groups by scope, as last published
        self.findings = []  # violations; not raised, since the engine survives exceptions of what it calls

    def first_byte(self, now, call, server):
        request = self.requests[call.request_id]
        copy = Copy(server, self.groups[server], now)
        for other in request.copies:
            self._may_follow(now, request, other, copy)
        request.copies.append(copy)
        return copy

    def _may_follow(self, now, request, other, copy):
        spec = request.spec
        if other.ended and not other.may_have_run:
            return
        what = f"{request_label(request)}: {copy} after {other}"
        if not other.ended and not self.settings.hedging:
            self.findings.append(f"two out: {what}")
        if spec.effect is Effect.NON_IDEMPOTENT:
            self.findings.append(f"unsafe: {what}")
        if spec.effect is Effect.IDEMPOTENT_WITH_KEY:
            if spec.scope is not Scope.ALL and copy.group[spec.scope] != other.group[spec.scope]:
                self.findings.append(f"another group: {what}")
            if now >= other.first_byte_at + spec.window_ns:
                self.findings.append(f"after the window: {what}")

    def last_byte(self, now, call, copy):
        request = self.requests[call.request_id]
        copy.complete = True
        if request.rejected and not request.may_reject:
            self.findings.append(f"{request_label(request)}: written after the client was invited to repeat")
        for other in request.copies:
            if other is not copy:
                self._may_follow(now, request, other, copy)

    def respond(self, call, response):
        request = self.requests[call.request_id]
        if request.responses:
            self.findings.append(f"{request_label(request)}: answered twice")
        request.responses.append(response)
        if response.disposition is not Disposition.DECLINED:
            return
        request.rejected = True
        if not request.may_reject and any(copy.may_have_run for copy in request.copies):
            self.findings.append(f"{request_label(request)}: invited to repeat after {request.copies}")

    def check_at_end(self):
        """All deadlines are over."""
        for request in self.requests.values():
            if not request.responses and not request.client_disconnected and not request.streaming:
                self.findings.append(f"{request_label(request)}: no answer, after {request.copies}")
        assert not self.findings, "\n".join(self.findings)


def request_label(request):
    return f"request {request.call.request_id} ({request.spec.name})"


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
        elif not self.upstream_transport.blocked:
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
        if not self.upstream_transport.blocked:
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

    def begin(self):
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
        self.upstream_transport.out.remove(self)
        observer.ended(status, "answer" if status is Status.OK else None, ())


class SimulatedTransport:
    """Keeps the attempts in flight, in the order of their starts."""

    def __init__(self, loop, rule):
        self.loop, self.rule = loop, rule
        self.out = []
        self.states = {}
        self.pooled = False  # a connection stands idle: attempts are written within their start
        self.blocked = False  # the socket takes no last byte
        self.starts_fail = None  # "before" or "after" the writing, for the next start
        self.on_start = None

    def start(self, server, call, timeout, observer):
        attempt = SimulatedAttempt(self, server, call, observer)
        self.out.append(attempt)
        fails, self.starts_fail = self.starts_fail, None
        if fails == "before":
            raise RuntimeError("injected before anything was written")
        if self.states.get(server) is not State.READY:
            self.loop.call_soon(attempt.fail_to_connect)
        elif self.pooled or fails == "after":
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
            for attempt in [one for one in self.out if one.server == server and not one.begun]:
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


def simulated_settings(names, **more):
    classes = [
        RequestClass(name, 500 * MS, DEADLINE, 1.0, 0.2, *CLASSES[name], window_ns=WINDOW) for name in names
    ]
    values = {
        "classes": classes,
        "zones": ["a", "b"],
        "max_attempts": 4,
        "hedging": True,
        "can_cancel": True,
        "start_capacity": 0.2,
        "warm_up_ns": 10 * SECOND,
        "retry_after": True,
        "max_retry_after_ns": SECOND,
    }
    values.update(more)
    return Settings(**values)


class EngineSimulation:
    """An engine over all of it, with servers 1 to `servers` in two zones and three cells."""

    def __init__(self, classes=("unsafe",), servers=6, seed=1, **more):
        self.settings = simulated_settings(classes, **more)
        self.loop = SimulatedLoop()
        self.rule = DuplicateRule(self.settings)
        self.upstream_transport = SimulatedTransport(self.loop, self.rule)
        self.clients = SimulatedClients(self.rule)
        usage = Usage(Descriptors(1000), Memory(64 * MB))
        self.engine = Engine(
            self.loop, self.settings, usage, EndpointIds(["a", "b"], ["k"]), max_open=1000, seed=seed
        )
        self.engine.clock.now = lambda: self.loop.now
        self.frontend_binding = self.engine.bind_frontend("simulated", self.clients, self.upstream_transport)
        self.endpoints = {
            number: Endpoint(number, number % 2, 0, number % 3, State.READY)
            for number in range(1, servers + 1)
        }
        self.version = 0
        self.names = itertools.count()
        self.publish()

    def publish(self):
        """Send the complete endpoint list as it is now."""
        self.version += 1
        entries = []
        for number, known in self.endpoints.items():
            endpoint = Endpoint(
                number, known.zone, known.kind, known.cell, known.state, 1.0, known.started_ns
            )
            since_ms = known.started_ns // MS
            entries.append(EndpointRecord(f"s{number}", endpoint, ("host", number), since_ms))
            self.engine.endpoints.ids.servers[f"s{number}"] = number
            self.rule.groups[number] = {Scope.ZONE: known.zone, Scope.CELL: known.cell}
        self.engine.on_endpoint_update(EndpointUpdate(self.version, True, entries))

    def submit(self, cls=0, complete=True, name=None):
        """A request comes; with `complete` false, its body goes on coming."""
        name = next(self.names) if name is None else name
        body = Body(self.engine.memory, None)
        body.add(b"x")
        if complete:
            body.end()
        spec = self.settings.classes[cls]
        call = IncomingRequest(name, cls, 0, 0, DEADLINE, self.loop.now + DEADLINE, 0, False, True, body)
        self.rule.requests[name] = RequestRecord(call, spec)
        self.engine.requests.accept(self.frontend_binding, self.clients, call)
        return call

    def end_body(self, call):
        call.deadline_ns = self.loop.now + call.timeout_ns
        call.body.end()
        self.engine.requests.body_ended(call)

    def disconnect_client(self, call):
        self.rule.requests[call.request_id].client_disconnected = True
        self.clients.disconnected_ids.add(call.request_id)
        call.body.discard()
        self.engine.requests.client_disconnected(call)

    def attempt(self, call, number=-1):
        """An attempt of a request, by its place among those in flight."""
        return [one for one in self.upstream_transport.out if one.call is call][number]

    def run(self, ns):
        self.loop.run_until(self.loop.now + ns)

    def finish(self):
        """Let all time pass that anyone may wait."""
        self.run(DEADLINE + ANSWER_SLACK)
        self.rule.check_at_end()
