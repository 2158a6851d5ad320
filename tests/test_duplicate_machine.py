"""Rule `duplicate` over the core and the decision module, with timers, ends and clients in every order.

Hypothesis draws what happens next: bytes that go out, ends of attempts, timers that ring late and out of
turn, lists, clients that leave, bodies that break, the end of the process. The model judges each copy and
each answer.
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
MAX_REQUESTS = 4  # requests in one run: more only dilute what is drawn
RETRY_TOKENS = 20.0  # paid for beforehand, so that no budget hides what else would be sent
ATTEMPT = {
    "connects": lambda attempt: attempt.connect(),
    "is refused": lambda attempt: attempt.fail_to_connect(),
    "is whole": lambda attempt: attempt.finish(),
    "begins to be answered": lambda attempt: attempt.begin_response(),
    "is served": lambda attempt: attempt.answer(Status.OK),
    "fails": lambda attempt: attempt.answer(Status.ERROR),
    "is full": lambda attempt: attempt.answer(Status.REJECTED),
    "is reset": lambda attempt: attempt.answer(Status.RESET),
}
CLIENTS = ["a request comes", "a body ends", "a body breaks", "a client leaves", "the process ends"]
LISTS = ["a server moves", "a server restarts", "a server drains", "a server is ready"]
SOCKETS = ["idle connections", "new connections", "full sockets", "free sockets"]
FAULTS = ["a start fails before", "a start fails after"]
TURNS = [*ATTEMPT, *CLIENTS, *LISTS, *SOCKETS, *FAULTS, "a timer rings out of turn"]
# What drives requests on is drawn more often than what ends them.
TURNS += ["connects"] * 8 + ["is reset", "is full"] * 3 + ["a server moves"] * 3 + ["a request comes"] * 3
SPANS = [0, 0, 0, 1, 5, 20, 20, 60, 200]  # ms
any_of = st.integers(0, 5)


class Crossings(RuleBasedStateMachine):
    """One class of requests through one engine. One rule, as hypothesis draws all rules alike often."""

    cls = ""  # set by each test

    @initialize(seed=any_of, hedging=st.booleans(), can_cancel=st.booleans(), complete=st.booleans())
    def begin(self, seed, hedging, can_cancel, complete):
        self.simulation = EngineSimulation(
            [self.cls], SERVERS, seed, hedging=hedging, can_cancel=can_cancel, max_attempts=6
        )
        self.simulation.engine.balancer.retry_policy.tokens = RETRY_TOKENS
        self.calls = [self.simulation.submit(), self.simulation.submit(complete=complete)]
        self.ended = False

    def teardown(self):
        if hasattr(self, "stage"):
            for call in self.unfinished():  # a client that sends no more of its body is not waited for
                self.simulation.disconnect_client(call)
            self.simulation.finish()
            assert not self.simulation.loop.callback_errors

    @property
    def out(self):
        return self.simulation.upstream_transport.in_flight

    @property
    def pending(self):
        """Requests without a final response."""
        return [call for call in self.calls if call.pending_id in self.simulation.engine.requests.pending]

    def unfinished(self):
        """Of these, the ones whose body is still coming."""
        return [call for call in self.pending if not call.body.complete]

    @rule(
        what=st.sampled_from(TURNS),
        which=any_of,
        span=st.sampled_from(SPANS),
        rings=st.sampled_from([True, True, False]),
    )
    def step(self, what, which, span, rings):
        """Something happens, and time passes; where the loop is busy meanwhile, nothing rings yet."""
        if what in ATTEMPT:
            if self.out:
                ATTEMPT[what](self.out[which % len(self.out)])
        elif what in CLIENTS:
            self._change_clients(what, which)
        elif what in LISTS:
            self._change_list(what, which)
        elif what in SOCKETS:
            self._change_sockets(what)
        elif what in FAULTS:
            self.simulation.upstream_transport.fail_next_start = what.split()[-1]
        elif due := self.simulation.loop.due_timers():
            self.simulation.loop.fire(due[which % len(due)])
        if rings:
            self.simulation.run(span * MS)
        else:
            self.simulation.loop.now += span * MS

    def _change_clients(self, what, which):
        if what == "a request comes":
            if len(self.calls) < MAX_REQUESTS and not self.ended:
                self.calls.append(self.simulation.submit(complete=which > 1))
        elif what == "the process ends":
            self.ended = True
            self.simulation.engine.lifecycle._give_final_answers()
        elif what == "a client leaves":
            if self.pending:
                self.simulation.disconnect_client(self.pending[which % len(self.pending)])
        elif self.unfinished():
            self._end_body(self.unfinished()[which % len(self.unfinished())], what == "a body breaks")

    def _change_list(self, what, which):
        """It concerns a server to which a copy of a pending request was sent, if there is any."""
        request = [self.simulation.rule.requests[call.request_id] for call in self.pending]
        tried = [copy.server for one in request for copy in one.copies] or [1]
        known = self.simulation.endpoints[tried[which % len(tried)]]
        if what == "a server moves":
            known.zone, known.cell = 1 - known.zone, (known.cell + 1) % 3
        elif what == "a server restarts":
            known.started_ns = self.simulation.loop.now
        else:
            known.state = State.DRAINING if what == "a server drains" else State.READY
        self.simulation.publish()

    def _change_sockets(self, what):
        if what.endswith("connections"):
            self.simulation.upstream_transport.has_idle_connection = what.startswith("idle")
        else:
            self.simulation.upstream_transport.socket_full = what.startswith("full")

    def _end_body(self, call, breaks):
        if breaks:
            call.body.discard()
            self.simulation.engine.requests.body_failed(
                call, Disposition.DECLINED, (503, b"too much is held\n")
            )
        else:
            self.simulation.end_body(call)


@pytest.mark.parametrize("cls", list(CLASSES))
def test_no_order_of_events_causes_a_second_copy_or_an_invitation_to_retry(cls):
    machine = type("CrossingsOfOneClass", (Crossings,), {"cls": cls})
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=100, stateful_step_count=40, derandomize=True, deadline=None, database=None
        ),
    )
