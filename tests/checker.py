"""The four rules, judged from outside by what went in and what came out. Shares no code with the module."""

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


def require(truth, text):
    if not truth:
        raise BrokenRuleError(text)


class Checker:
    """Feed it every event before, and every action after, the balancer has seen it."""

    def __init__(self, settings):
        self.settings = settings
        self.servers = {}  # id -> Endpoint as last listed
        self.listed = set()
        self.requests = {}  # id -> [class, deadline, ended, attempts]
        self.warming_up = {}  # id -> [sends, answers] since the start it was listed with
        self.answers = []

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
                self.answers.append(now)
                self.warming_up[event.server][1] += 1
        elif isinstance(event, StreamStarted):
            self.requests[event.id][3][event.attempt][2] = "streaming"

    def check_actions(self, now, actions):
        for action in actions:
            if isinstance(action, Send):
                self._check_send(now, action)
            elif isinstance(action, Reject | Fail):
                require(action.id in self.requests, "answers an unknown request")
                class_index, _, ended, attempts = self.requests[action.id]
                require(not ended, "a second final answer")
                if isinstance(action, Reject):
                    self._check_rejection(self.settings.classes[class_index], attempts)
                self.requests[action.id][2] = True
            elif isinstance(action, Probe):
                require(self.settings.can_probe, "probes where it may not")
                require(action.server in self.servers, "probes an unknown server")
            elif isinstance(action, Cancel):
                require(self.settings.can_cancel, "cancels where it may not")
                require(action.attempt < len(self.requests[action.id][3]), "cancels what was never sent")

    def _check_rejection(self, spec, attempts):
        harmless = spec.effect is Effect.IDEMPOTENT or (
            spec.effect is Effect.IDEMPOTENT_WITH_KEY and spec.scope is Scope.ALL
        )
        require(harmless or all(a[2] == "never" for a in attempts), "refuses what may have run")

    def _check_send(self, now, action):
        require(action.id in self.requests, "sends an unknown request")
        class_index, deadline, ended, attempts = self.requests[action.id]
        spec = self.settings.classes[class_index]
        require(not ended and now <= deadline, "sends after the end")
        require(action.server in self.listed, "sends to a server that is not ready")
        require(len(attempts) < self.settings.max_attempts, "too many attempts")
        target = self.servers[action.server]
        for server, sent, state in attempts:
            require(state != "streaming", "sends beside a stream")
            if state == "never":
                continue
            require(state != "out" or self.settings.hedging, "two attempts out")
            require(spec.effect is not Effect.NON_IDEMPOTENT, "an effect twice: unsafe")
            if spec.effect is Effect.IDEMPOTENT_WITH_KEY:
                require(now < sent + spec.window_ns, "an effect twice: after the window")
                if spec.scope is Scope.CELL:
                    require(server.cell == target.cell, "an effect twice: another cell")
                if spec.scope is Scope.ZONE:
                    require(server.zone == target.zone, "an effect twice: another zone")
        attempts.append([target, now, "out"])
        self._check_slow_start(now, target)

    def _check_slow_start(self, now, target):
        """Sends to a cold server: what it answered, twice, and its part of what this sidecar gets done."""
        age = now - target.started_ns
        warm = self.settings.warm_up_ns
        if not target.started_ns or age >= warm:
            return
        tally = self.warming_up[target.server]
        tally[0] += 1
        start = self.settings.start_capacity
        part = start + (1 - start) * max(age, 0) / warm
        done = sum(when >= target.started_ns for when in self.answers) / max(len(self.listed), 1)
        require(tally[0] <= 6 + 2 * tally[1] + 3 * part * done, "pushes a cold server over")

    def check_all_answered(self, now):
        for ident, (_, deadline, ended, _) in self.requests.items():
            late = now > deadline + self.settings.answer_slack_ns
            require(ended or not late, f"request {ident} was never answered")
