"""Safety rules: every send passes `may_send`, its first byte `write_by`, every rejection `may_reject`."""

from .interface import Effect, Scope
from .slow_start import SlowStart
from .state_records import IN_FLIGHT, NEVER_RAN, Context, RequestState, Server

NO_END = 1 << 62  # ns; later than any time


class SafetyRules:
    """The rules against effects that happen twice, by what each attempt may have done."""

    def __init__(self, context: Context, slow_start: SlowStart) -> None:
        """Judge by the settings, and by slow start."""
        self.context, self.slow_start = context, slow_start

    def may_send(self, request: RequestState, server: Server) -> bool:
        """Whether this request may be sent to this server now, by the rules and by slow start."""
        number = len(request.attempts)
        if number >= self.context.settings.max_attempts or not self.write_by(request, server, number):
            return False
        return self.slow_start.allows(server, request.class_index, consume=False)

    def write_by(self, request: RequestState, server: Server, number: int) -> int:
        """Until when the last byte of this attempt may go out, on the clock; 0: it may not begin any more."""
        if not server.ready or not server.listed or request.streaming or request.body_discarded:
            return 0
        spec = request.spec
        for other, at in enumerate(request.attempts):
            if other == number or at.state is NEVER_RAN:
                continue
            if spec.effect is Effect.NON_IDEMPOTENT or (
                at.state is IN_FLIGHT and not self.context.settings.hedging
            ):
                return 0
            apart = at.cell != server.cell if spec.scope is Scope.CELL else at.zone != server.zone
            if spec.effect is Effect.IDEMPOTENT_WITH_KEY and spec.scope is not Scope.ALL and apart:
                return 0
        end = self._window_end(request, number)
        return end if self.context.now < end else 0

    def _window_end(self, request: RequestState, but: int) -> int:
        """Return until when servers drop a retry of what may have run, by its first other attempt."""
        if request.spec.effect is not Effect.IDEMPOTENT_WITH_KEY:
            return NO_END
        begun = [
            one.decided_at
            for n, one in enumerate(request.attempts)
            if n != but and one.state is not NEVER_RAN
        ]
        return min(begun) + request.spec.window_ns - self.context.settings.tick_ns if begun else NO_END

    def may_reject(self, request: RequestState) -> bool:
        """Whether a rejection, which invites the client to retry, does no harm."""
        spec = request.spec
        if spec.effect is Effect.IDEMPOTENT or (
            spec.effect is Effect.IDEMPOTENT_WITH_KEY and spec.scope is Scope.ALL
        ):
            return True
        return request.never_ran()

    def attempts_allowed(self, request: RequestState) -> bool:
        """Whether the rules allow any further attempt at all, wherever it went."""
        if len(request.attempts) >= self.context.settings.max_attempts or request.body_discarded:
            return False
        unsafe = request.spec.effect is Effect.NON_IDEMPOTENT
        return (
            request.never_ran()
            if unsafe
            else self.context.now < self._window_end(request, len(request.attempts))
        )
