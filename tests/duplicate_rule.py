"""Checks the rule `duplicate` on each byte that is written to a server and on each final response.

The check knows what was written to servers and what they answered; it shares no code with the program.
"""

from dataclasses import dataclass, field

from ochreflow.core.ports import IncomingRequest
from ochreflow.core.stats import Disposition
from ochreflow.policy.interface import Effect, RequestClass, Scope


@dataclass(eq=False)
class Copy:
    """One copy of a request that is sent to a server, as the model sees it."""

    server: int
    group: dict  # by scope, as published when the first byte was written
    first_byte_at: int
    complete: bool = False  # the last byte has been written
    ended: bool = False
    never_ran: bool = False  # its server said so

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
    streaming: bool = False  # a server's response has begun to reach the client

    @property
    def may_reject(self):
        effect, scope = self.spec.effect, self.spec.scope
        return effect is Effect.IDEMPOTENT or (effect is Effect.IDEMPOTENT_WITH_KEY and scope is Scope.ALL)


class DuplicateRule:
    """Checks each byte written and each final response; violations are collected in `findings`."""

    def __init__(self, settings):
        self.settings = settings
        self.requests = {}
        self.groups = {}  # server -> its groups by scope, as last published
        self.findings = []  # violations; not raised, since the engine catches exceptions of what it calls

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
        pair = f"{request_label(request)}: {copy} after {other}"
        if not other.ended and not self.settings.hedging:
            self.findings.append(f"two in flight without hedging: {pair}")
        if spec.effect is Effect.NON_IDEMPOTENT:
            self.findings.append(f"unsafe: {pair}")
        if spec.effect is Effect.IDEMPOTENT_WITH_KEY:
            if spec.scope is not Scope.ALL and copy.group[spec.scope] != other.group[spec.scope]:
                self.findings.append(f"another group: {pair}")
            if now >= other.first_byte_at + spec.window_ns:
                self.findings.append(f"after the window: {pair}")

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
        """Check that every request was answered, once all deadlines have passed, and fail on any finding."""
        for request in self.requests.values():
            if not request.responses and not request.client_disconnected and not request.streaming:
                self.findings.append(f"{request_label(request)}: no answer, after {request.copies}")
        assert not self.findings, "\n".join(self.findings)


def request_label(request):
    return f"request {request.call.request_id} ({request.spec.name})"
