"""Runs the core and the decision module on a simulated loop, transport and clients, checked by a rule."""

import itertools

from duplicate_rule import DuplicateRule, RequestRecord
from helpers import MS, SECOND
from simulated_loop import SimulatedLoop
from simulated_transport import SimulatedClients, SimulatedTransport

from ochreflow.core.body import Body
from ochreflow.core.endpoints import EndpointIds, EndpointRecord, EndpointUpdate
from ochreflow.core.engine import Engine
from ochreflow.core.limits import MB, Descriptors, Memory, Usage
from ochreflow.core.ports import IncomingRequest
from ochreflow.policy.interface import Effect, Endpoint, RequestClass, Scope, Settings, State

CLASSES = {
    "safe": (Effect.IDEMPOTENT, Scope.ALL),
    "keyed everywhere": (Effect.IDEMPOTENT_WITH_KEY, Scope.ALL),
    "keyed by zone": (Effect.IDEMPOTENT_WITH_KEY, Scope.ZONE),
    "keyed by cell": (Effect.IDEMPOTENT_WITH_KEY, Scope.CELL),
    "unsafe": (Effect.NON_IDEMPOTENT, Scope.ALL),
}
WINDOW_NS = 900 * MS
DEADLINE_NS = 2 * SECOND
RESPONSE_SLACK_NS = 20 * MS  # a request without a response this long after its deadline is a violation


def simulated_settings(names, **overrides):
    classes = [
        RequestClass(name, 500 * MS, DEADLINE_NS, 1.0, 0.2, *CLASSES[name], window_ns=WINDOW_NS)
        for name in names
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
    values.update(overrides)
    return Settings(**values)


class EngineSimulation:
    """An engine on simulated I/O, with servers 1 to `servers` in two zones and three cells."""

    def __init__(self, classes=("unsafe",), servers=6, seed=1, **overrides):
        self.settings = simulated_settings(classes, **overrides)
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
        self.request_ids = itertools.count()
        self.publish()

    def publish(self):
        """Give the engine the complete endpoint list in its current state."""
        self.version += 1
        records = []
        for number, endpoint in self.endpoints.items():
            snapshot = Endpoint(
                number, endpoint.zone, endpoint.kind, endpoint.cell, endpoint.state, 1.0, endpoint.started_ns
            )
            since_ms = endpoint.started_ns // MS
            records.append(EndpointRecord(f"s{number}", snapshot, ("host", number), since_ms))
            self.engine.endpoints.ids.servers[f"s{number}"] = number
            self.rule.groups[number] = {Scope.ZONE: endpoint.zone, Scope.CELL: endpoint.cell}
        self.engine.on_endpoint_update(EndpointUpdate(self.version, True, records))

    def submit(self, class_index=0, complete=True, request_id=None):
        """Submit a request; unless `complete`, the end of its body is sent by `end_body`."""
        request_id = next(self.request_ids) if request_id is None else request_id
        body = Body(self.engine.memory, None)
        body.add(b"x")
        if complete:
            body.end()
        request_class = self.settings.classes[class_index]
        request = IncomingRequest(
            request_id, class_index, 0, 0, DEADLINE_NS, self.loop.now + DEADLINE_NS, 0, False, True, body
        )
        self.rule.requests[request_id] = RequestRecord(request, request_class)
        self.engine.requests.accept(self.frontend_binding, self.clients, request)
        return request

    def end_body(self, request):
        request.deadline_ns = self.loop.now + request.timeout_ns
        request.body.end()
        self.engine.requests.body_ended(request)

    def disconnect_client(self, request):
        self.rule.requests[request.request_id].client_disconnected = True
        self.clients.disconnected_ids.add(request.request_id)
        request.body.discard()
        self.engine.requests.client_disconnected(request)

    def attempt(self, request, number=-1):
        """Return an attempt of a request by its index among its attempts in flight."""
        return [attempt for attempt in self.upstream_transport.in_flight if attempt.request is request][
            number
        ]

    def run(self, ns):
        self.loop.run_until(self.loop.now + ns)

    def finish(self):
        """Run past all deadlines, then fail on any violation of the rule."""
        self.run(DEADLINE_NS + RESPONSE_SLACK_NS)
        self.rule.check_at_end()
