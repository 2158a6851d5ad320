"""Tests the rule `duplicate` in the core and the decision module with events in any order.

Hypothesis draws the next event: bytes sent, outcomes of attempts, timers that fire late and out of order,
endpoint lists, clients that disconnect, bodies that fail, the shutdown. `DuplicateRule` checks each copy and
each response.
"""

import pytest
from engine_simulation import CLASSES, EngineSimulation
from helpers import MS
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from ochreflow.core.stats import Disposition
from ochreflow.policy.interface import State, Status

SERVERS = 5
MAX_REQUESTS = 4  # in one run; with more, fewer of the drawn events concern the same request
RETRY_TOKENS = 20.0  # enough that the retry budget does not prevent a wrong retry
ATTEMPT_EVENTS = {
    "connects": lambda attempt: attempt.connect(),
    "fails to connect": lambda attempt: attempt.fail_to_connect(),
    "sends its last byte": lambda attempt: attempt.finish(),
    "starts its response": lambda attempt: attempt.begin_response(),
    "succeeds": lambda attempt: attempt.answer(Status.OK),
    "fails": lambda attempt: attempt.answer(Status.ERROR),
    "is rejected": lambda attempt: attempt.answer(Status.REJECTED),
    "is reset": lambda attempt: attempt.answer(Status.RESET),
}
CLIENT_EVENTS = [
    "a request arrives",
    "a body ends",
    "a body fails",
    "a client disconnects",
    "the process shuts down",
]
LIST_EVENTS = ["a server moves", "a server restarts", "a server drains", "a server is ready"]
SOCKET_EVENTS = ["idle connections", "new connections", "full sockets", "free sockets"]
FAULT_EVENTS = ["a start fails before", "a start fails after"]
EVENTS = [
    *ATTEMPT_EVENTS,
    *CLIENT_EVENTS,
    *LIST_EVENTS,
    *SOCKET_EVENTS,
    *FAULT_EVENTS,
    "a timer fires out of order",
]
# Events that advance requests are drawn more often than events that end them.
EVENTS += (
    ["connects"] * 8 + ["is reset", "is rejected"] * 3 + ["a server moves"] * 3 + ["a request arrives"] * 3
)
DELAYS_MS = [0, 0, 0, 1, 5, 20, 20, 60, 200]
any_index = st.integers(0, 5)


class Crossings(RuleBasedStateMachine):
    """One engine with requests of one class; it has a single rule, as hypothesis draws all equally often."""

    class_name = ""  # set by each test

    @initialize(seed=any_index, hedging=st.booleans(), can_cancel=st.booleans(), complete=st.booleans())
    def begin(self, seed, hedging, can_cancel, complete):
        self.simulation = EngineSimulation(
            [self.class_name], SERVERS, seed, hedging=hedging, can_cancel=can_cancel, max_attempts=6
        )
        self.simulation.engine.balancer.retry_policy.tokens = RETRY_TOKENS
        self.requests = [self.simulation.submit(), self.simulation.submit(complete=complete)]
        self.shut_down = False

    def teardown(self):
        if hasattr(self, "simulation"):
            for request in self.unfinished():  # a request with an incomplete body gets no response
                self.simulation.disconnect_client(request)
            self.simulation.finish()
            assert not self.simulation.loop.callback_errors

    @property
    def attempts(self):
        return self.simulation.upstream_transport.in_flight

    @property
    def pending(self):
        """Requests without a final response."""
        return [
            request
            for request in self.requests
            if request.pending_id in self.simulation.engine.requests.pending
        ]

    def unfinished(self):
        """Return the pending requests whose body is incomplete."""
        return [request for request in self.pending if not request.body.complete]

    @rule(
        event=st.sampled_from(EVENTS),
        index=any_index,
        delay_ms=st.sampled_from(DELAYS_MS),
        call_timers=st.sampled_from([True, True, False]),
    )
    def step(self, event, index, delay_ms, call_timers):
        """Apply an event and advance the time; without `call_timers` the loop is busy and fires no timer."""
        if event in ATTEMPT_EVENTS:
            if self.attempts:
                ATTEMPT_EVENTS[event](self.attempts[index % len(self.attempts)])
        elif event in CLIENT_EVENTS:
            self._change_clients(event, index)
        elif event in LIST_EVENTS:
            self._change_list(event, index)
        elif event in SOCKET_EVENTS:
            self._change_sockets(event)
        elif event in FAULT_EVENTS:
            self.simulation.upstream_transport.fail_next_start = event.split()[-1]
        elif due := self.simulation.loop.due_timers():
            self.simulation.loop.fire(due[index % len(due)])
        if call_timers:
            self.simulation.run(delay_ms * MS)
        else:
            self.simulation.loop.now += delay_ms * MS

    def _change_clients(self, event, index):
        if event == "a request arrives":
            if len(self.requests) < MAX_REQUESTS and not self.shut_down:
                self.requests.append(self.simulation.submit(complete=index > 1))
        elif event == "the process shuts down":
            self.shut_down = True
            self.simulation.engine.lifecycle._give_final_answers()
        elif event == "a client disconnects":
            if self.pending:
                self.simulation.disconnect_client(self.pending[index % len(self.pending)])
        elif self.unfinished():
            self._end_body(self.unfinished()[index % len(self.unfinished())], event == "a body fails")

    def _change_list(self, event, index):
        """Publish a change of a server that has a copy of a pending request, or of server 1 if none has."""
        records = [self.simulation.rule.requests[request.request_id] for request in self.pending]
        servers = [copy.server for record in records for copy in record.copies] or [1]
        endpoint = self.simulation.endpoints[servers[index % len(servers)]]
        if event == "a server moves":
            endpoint.zone, endpoint.cell = 1 - endpoint.zone, (endpoint.cell + 1) % 3
        elif event == "a server restarts":
            endpoint.started_ns = self.simulation.loop.now
        else:
            endpoint.state = State.DRAINING if event == "a server drains" else State.READY
        self.simulation.publish()

    def _change_sockets(self, event):
        if event.endswith("connections"):
            self.simulation.upstream_transport.has_idle_connection = event.startswith("idle")
        else:
            self.simulation.upstream_transport.socket_full = event.startswith("full")

    def _end_body(self, request, fails):
        if fails:
            request.body.discard()
            self.simulation.engine.requests.body_failed(
                request, Disposition.DECLINED, (503, b"too much is held\n")
            )
        else:
            self.simulation.end_body(request)


@pytest.mark.parametrize("class_name", list(CLASSES))
def test_events_in_any_order_cause_no_duplicate_and_no_unsafe_reject(class_name):
    machine = type("CrossingsOfOneClass", (Crossings,), {"class_name": class_name})
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=100, stateful_step_count=40, derandomize=True, deadline=None, database=None
        ),
    )
