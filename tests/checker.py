"""Checks the four rules on the events and actions of the decision module alone; shares no code with it."""

from ochreflow.policy.interface import (
    Cancel,
    Effect,
    Fail,
    Membership,
    Outcome,
    Probe,
    Reject,
    Request,
    Scope,
    Send,
    State,
    Status,
    StreamStarted,
)

NEVER_RAN_STATUSES = (Status.REJECTED, Status.CONNECT_FAILED, Status.NOT_SENT)


class BrokenRuleError(AssertionError):
    pass


def require(condition, text):
    if not condition:
        raise BrokenRuleError(text)


class Checker:
    """Checks one balancer; `observe_event` comes before its handling of an event, `check_actions` after."""

    def __init__(self, settings):
        self.settings = settings
        self.servers = {}  # id -> Endpoint as last listed
        self.listed = set()
        self.requests = {}  # id -> [class, deadline, ended, attempts]
        self.warming_up = {}  # id -> [sends, OK responses] since its last listed start
        self.response_times = []  # one for each OK response

    def observe_event(self, now, event):
        if isinstance(event, Membership):
            if event.kind.name in ("FULL", "CACHED"):
                self.listed = set()
            for entry in event.entries:
                before = self.servers.get(entry.server)
                if before is None or before.started_ns != entry.started_ns:
                    self.warming_up[entry.server] = [0, 0]
                self.servers[entry.server] = entry
                if entry.state is State.READY:
                    self.listed.add(entry.server)
                else:
                    self.listed.discard(entry.server)
        elif isinstance(event, Request):
            self.requests[event.id] = [event.class_index, event.deadline_ns, False, []]
        elif isinstance(event, Outcome):
            request = self.requests[event.id]
            request[3][event.attempt][2] = "never" if event.status in NEVER_RAN_STATUSES else "maybe"
            if event.final:
                request[2] = True
            if event.status is Status.OK:
                self.response_times.append(now)
                self.warming_up[event.server][1] += 1
        elif isinstance(event, StreamStarted):
            self.requests[event.id][3][event.attempt][2] = "streaming"

    def check_actions(self, now, actions):
        for action in actions:
            if isinstance(action, Send):
                self._check_send(now, action)
            elif isinstance(action, Reject | Fail):
                require(action.id in self.requests, "final response to an unknown request")
                class_index, _, ended, attempts = self.requests[action.id]
                require(not ended, "second final response to a request")
                if isinstance(action, Reject):
                    self._check_rejection(self.settings.classes[class_index], attempts)
                self.requests[action.id][2] = True
            elif isinstance(action, Probe):
                require(self.settings.can_probe, "probe although probing is off")
                require(action.server in self.servers, "probe of an unknown server")
            elif isinstance(action, Cancel):
                require(self.settings.can_cancel, "cancellation although cancelling is off")
                require(
                    action.attempt < len(self.requests[action.id][3]),
                    "cancellation of an attempt that was never sent",
                )

    def _check_rejection(self, spec, attempts):
        may_reject = spec.effect is Effect.IDEMPOTENT or (
            spec.effect is Effect.IDEMPOTENT_WITH_KEY and spec.scope is Scope.ALL
        )
        require(may_reject or all(attempt[2] == "never" for attempt in attempts), "refuses what may have run")

    def _check_send(self, now, action):
        require(action.id in self.requests, "attempt for an unknown request")
        class_index, deadline, ended, attempts = self.requests[action.id]
        spec = self.settings.classes[class_index]
        require(not ended and now <= deadline, "attempt after the final response or the deadline")
        require(action.server in self.listed, "attempt to a server that is not ready")
        require(len(attempts) < self.settings.max_attempts, "too many attempts")
        target = self.servers[action.server]
        for server, sent, state in attempts:
            require(state != "streaming", "attempt while another one streams its response")
            if state == "never":
                continue
            require(state != "in flight" or self.settings.hedging, "two attempts out")
            require(spec.effect is not Effect.NON_IDEMPOTENT, "an effect twice: unsafe")
            if spec.effect is Effect.IDEMPOTENT_WITH_KEY:
                require(now < sent + spec.window_ns, "an effect twice: after the window")
                if spec.scope is Scope.CELL:
                    require(server.cell == target.cell, "an effect twice: another cell")
                if spec.scope is Scope.ZONE:
                    require(server.zone == target.zone, "an effect twice: another zone")
        attempts.append([target, now, "in flight"])
        self._check_slow_start(now, target)

    def _check_slow_start(self, now, target):
        """Limit attempts to a cold server by twice its OK responses and its share of all since its start."""
        age = now - target.started_ns
        warm_up = self.settings.warm_up_ns
        if not target.started_ns or age >= warm_up:
            return
        counts = self.warming_up[target.server]
        counts[0] += 1
        start = self.settings.start_capacity
        share = start + (1 - start) * max(age, 0) / warm_up
        completed = sum(when >= target.started_ns for when in self.response_times) / max(len(self.listed), 1)
        require(
            counts[0] <= 6 + 2 * counts[1] + 3 * share * completed,
            "attempts to a cold server exceed its share",
        )

    def check_all_answered(self, now):
        for request_id, (_, deadline, ended, _) in self.requests.items():
            late = now > deadline + self.settings.answer_slack_ns
            require(ended or not late, f"request {request_id} was never answered")
