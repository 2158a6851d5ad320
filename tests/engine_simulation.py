"""The core and the decision module over a simulated loop, transport and clients, checked by a rule."""

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
ANSWER_SLACK_NS = 20 * MS  # a request without a response this long after its deadline is unanswered


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
    """An engine over simulated parts, with servers 1 to `servers` in two zones and three cells."""

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
        """Give the engine the complete endpoint list in its present state."""
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

    def submit(self, class_index=0, complete=True, name=None):
        """Submit a request; unless `complete`, the end of its body follows by `end_body`."""
        name = next(self.request_ids) if name is None else name
        body = Body(self.engine.memory, None)
        body.add(b"x")
        if complete:
            body.end()
        spec = self.settings.classes[class_index]
        call = IncomingRequest(
            name, class_index, 0, 0, DEADLINE_NS, self.loop.now + DEADLINE_NS, 0, False, True, body
        )
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
        """Return an attempt of a request by its index among its attempts in flight."""
        return [attempt for attempt in self.upstream_transport.in_flight if attempt.call is call][number]

    def run(self, ns):
        self.loop.run_until(self.loop.now + ns)

    def finish(self):
        """Run until every request must have been answered, and check the rule."""
        self.run(DEADLINE_NS + ANSWER_SLACK_NS)
        self.rule.check_at_end()
