"""What may be done: every send passes `may_send`, every refusal `may_refuse`."""

from .interface import Effect, Scope
from .pace import Pace
from .records import NEVER_RAN, OUT, Context, Open, Server


class Rules:
    def __init__(self, ctx: Context, pace: Pace) -> None:
        self.ctx = ctx
        self.pace = pace

    def may_send(self, req: Open, server: Server) -> bool:
        """Whether this request may be sent to this server now, by the rules and by pace."""
        if not server.ready or not server.listed or req.streaming or req.spent:
            return False
        if len(req.attempts) >= self.ctx.settings.max_attempts:
            return False
        spec = req.spec
        for other, sent, state in req.attempts:
            if state == NEVER_RAN:
                continue
            if spec.effect is Effect.UNSAFE or (state == OUT and not self.ctx.settings.second_copies):
                return False
            if spec.effect is Effect.KEYED:
                if self.ctx.now + self.ctx.settings.tick_ns >= sent + spec.window_ns:
                    return False
                if spec.scope is Scope.CELL and other.cell != server.cell:
                    return False
                if spec.scope is Scope.ZONE and other.zone != server.zone:
                    return False
        return self.pace.allows(server, req.cls, False)

    def may_refuse(self, req: Open) -> bool:
        """Whether a refusal, which invites the client to try again, does no harm."""
        spec = req.spec
        if spec.effect is Effect.SAFE or (spec.effect is Effect.KEYED and spec.scope is Scope.ALL):
            return True
        return req.never_ran()

    def any_left(self, req: Open) -> bool:
        """Whether the rules allow any further attempt at all, wherever it went."""
        if len(req.attempts) >= self.ctx.settings.max_attempts or req.spent:
            return False
        return req.spec.effect is not Effect.UNSAFE or req.never_ran()
