"""Checks the rule `duplicate` on each first and last byte sent to a server and on each final response.

The check knows only what was sent to servers and what they responded; it shares no code with the program.
"""

from dataclasses import dataclass, field

from ochreflow.core.ports import IncomingRequest
from ochreflow.core.stats import Disposition
from ochreflow.policy.interface import Effect, RequestClass, Scope


@dataclass(eq=False)
class Copy:
    """One copy of a request that is sent to a server, as the check sees it."""

    server: int
    group: dict  # scope -> the server's group, as published when the copy's first byte was sent
    first_byte_at: int  # time in ns
    complete: bool = False  # the last byte has been sent
    ended: bool = False
    never_ran: bool = False  # the server rejected the copy without running it

    @property
    def may_have_run(self):
        return self.complete and not self.never_ran


@dataclass(eq=False)
class RequestRecord:
    """A request with its copies and responses, as the check sees it."""

    request: IncomingRequest
    request_class: RequestClass
    copies: list = field(default_factory=list)
    responses: list = field(default_factory=list)
    rejected: bool = False
    client_disconnected: bool = False
    streaming: bool = False  # a server's response has begun to reach the client

    @property
    def may_reject(self):
        """Whether the client may be invited to retry although a copy may have run."""
        effect, scope = self.request_class.effect, self.request_class.scope
        return effect is Effect.IDEMPOTENT or (effect is Effect.IDEMPOTENT_WITH_KEY and scope is Scope.ALL)


class DuplicateRule:
    """Checks each first and last byte and each final response; violations are collected in `violations`."""

    def __init__(self, settings):
        self.settings = settings
        self.requests = {}  # request ID -> its record
        self.groups = {}  # server -> its groups by scope, as last published
        self.violations = []  # not raised, since the engine catches exceptions of what it calls

    def first_byte(self, now, request, server):
        record = self.requests[request.request_id]
        copy = Copy(server, self.groups[server], now)
        for other in record.copies:
            self._check_pair(now, record, other, copy)
        record.copies.append(copy)
        return copy

    def _check_pair(self, now, record, other, copy):
        """Check that `copy` may be sent although `other` was."""
        request_class = record.request_class
        if other.ended and not other.may_have_run:
            return
        pair = f"{request_label(record)}: {copy} after {other}"
        if not other.ended and not self.settings.hedging:
            self.violations.append(f"two copies in flight without hedging: {pair}")
        if request_class.effect is Effect.NON_IDEMPOTENT:
            self.violations.append(f"second copy of a non-idempotent request: {pair}")
        if request_class.effect is Effect.IDEMPOTENT_WITH_KEY:
            if (
                request_class.scope is not Scope.ALL
                and copy.group[request_class.scope] != other.group[request_class.scope]
            ):
                self.violations.append(f"second copy sent to another group: {pair}")
            if now >= other.first_byte_at + request_class.window_ns:
                self.violations.append(f"second copy sent after the deduplication window: {pair}")

    def last_byte(self, now, request, copy):
        record = self.requests[request.request_id]
        copy.complete = True
        if record.rejected and not record.may_reject:
            self.violations.append(f"{request_label(record)}: sent after the client was invited to retry")
        for other in record.copies:
            if other is not copy:
                self._check_pair(now, record, other, copy)

    def respond(self, request, response):
        record = self.requests[request.request_id]
        if record.responses:
            self.violations.append(f"{request_label(record)}: more than one final response")
        record.responses.append(response)
        if response.disposition is not Disposition.DECLINED:
            return
        record.rejected = True
        if not record.may_reject and any(copy.may_have_run for copy in record.copies):
            self.violations.append(f"{request_label(record)}: client invited to retry after {record.copies}")

    def check_at_end(self):
        """Check that every request got a response, once all deadlines have passed; fail on any violation."""
        for record in self.requests.values():
            if not record.responses and not record.client_disconnected and not record.streaming:
                self.violations.append(f"{request_label(record)}: no response, after {record.copies}")
        assert not self.violations, "\n".join(self.violations)


def request_label(record):
    return f"request {record.request.request_id} ({record.request_class.name})"
