"""What may be done: every send passes `may_send`, its first byte `write_by`, every refusal `may_refuse`."""

from .interface import Effect, Scope
from .slow_start import SlowStart
from .state_records import NEVER_RAN, OUT, Context, PendingRequest, Server

NO_END = 1 << 62  # ns; later than any time


class SafetyRules:
    def __init__(self, ctx: Context, slow_start: SlowStart) -> None:
        self.ctx, self.slow_start = ctx, slow_start

    def may_send(self, req: PendingRequest, server: Server) -> bool:
        """Whether this request may be sent to this server now, by the rules and by pace."""
        number = len(req.attempts)
        if number >= self.ctx.settings.max_attempts or not self.write_by(req, server, number):
            return False
        return self.slow_start.allows(server, req.cls, False)

    def write_by(self, req: PendingRequest, server: Server, number: int) -> int:
        """Until when the last byte of this attempt may go out, on the clock; 0: it may not begin any more."""
        if not server.ready or not server.listed or req.streaming or req.spent:
            return 0
        spec = req.spec
        for other, at in enumerate(req.attempts):
            if other == number or at.state == NEVER_RAN:
                continue
            if spec.effect is Effect.NON_IDEMPOTENT or (at.state == OUT and not self.ctx.settings.hedging):
                return 0
            apart = at.cell != server.cell if spec.scope is Scope.CELL else at.zone != server.zone
            if spec.effect is Effect.IDEMPOTENT_WITH_KEY and spec.scope is not Scope.ALL and apart:
                return 0
        end = self._window_end(req, number)
        return end if self.ctx.now < end else 0

    def _window_end(self, req: PendingRequest, but: int) -> int:
        """Until when servers drop a repeat of what may have run, by its first copy but for this one."""
        if req.spec.effect is not Effect.IDEMPOTENT_WITH_KEY:
            return NO_END
        begun = [one.decided for n, one in enumerate(req.attempts) if n != but and one.state != NEVER_RAN]
        return min(begun) + req.spec.window_ns - self.ctx.settings.tick_ns if begun else NO_END

    def may_refuse(self, req: PendingRequest) -> bool:
        """Whether a refusal, which invites the client to try again, does no harm."""
        spec = req.spec
        if spec.effect is Effect.IDEMPOTENT or (
            spec.effect is Effect.IDEMPOTENT_WITH_KEY and spec.scope is Scope.ALL
        ):
            return True
        return req.never_ran()

    def any_left(self, req: PendingRequest) -> bool:
        """Whether the rules allow any further attempt at all, wherever it went."""
        if len(req.attempts) >= self.ctx.settings.max_attempts or req.spent:
            return False
        unsafe = req.spec.effect is Effect.NON_IDEMPOTENT
        return req.never_ran() if unsafe else self.ctx.now < self._window_end(req, len(req.attempts))
