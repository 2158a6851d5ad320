"""Safety rules that prevent duplicate effects.

Every send is checked by `may_send`, its first byte by `write_by`, and every rejection by `may_reject`.
"""

from .interface import Effect, Scope
from .slow_start import SlowStart
from .state_records import IN_FLIGHT, NEVER_RAN, Context, RequestState, Server

NO_END = 1 << 62  # ns; later than any clock time


class SafetyRules:
    """Decides what may be sent or rejected, given what each earlier attempt may have done."""

    def __init__(self, context: Context, slow_start: SlowStart) -> None:
        """Use the settings of `context` and the token buckets of `slow_start`."""
        self.context, self.slow_start = context, slow_start

    def may_send(self, request: RequestState, server: Server) -> bool:
        """Return whether the safety rules and slow start allow this request to be sent to this server now."""
        number = len(request.attempts)
        if number >= self.context.settings.max_attempts or not self.write_by(request, server, number):
            return False
        return self.slow_start.allows(server, request.class_index, consume=False)

    def write_by(self, request: RequestState, server: Server, number: int) -> int:
        """Return the time in ns by which the last byte of this attempt must be sent; 0: do not send it."""
        if not server.ready or not server.listed or request.streaming or request.body_discarded:
            return 0
        spec = request.spec
        for other, attempt in enumerate(request.attempts):
            if other == number or attempt.state is NEVER_RAN:
                continue
            if spec.effect is Effect.NON_IDEMPOTENT or (
                attempt.state is IN_FLIGHT and not self.context.settings.hedging
            ):
                return 0
            out_of_scope = (
                attempt.cell != server.cell if spec.scope is Scope.CELL else attempt.zone != server.zone
            )
            if spec.effect is Effect.IDEMPOTENT_WITH_KEY and spec.scope is not Scope.ALL and out_of_scope:
                return 0
        end = self._window_end(request, number)
        return end if self.context.now < end else 0

    def _window_end(self, request: RequestState, excluded: int) -> int:
        """Return the time in ns until which servers drop a duplicate of this request.

        The window starts at the first attempt that may have run, other than attempt number `excluded`.
        """
        if request.spec.effect is not Effect.IDEMPOTENT_WITH_KEY:
            return NO_END
        starts = [
            attempt.decided_at
            for number, attempt in enumerate(request.attempts)
            if number != excluded and attempt.state is not NEVER_RAN
        ]
        return min(starts) + request.spec.window_ns - self.context.settings.tick_ns if starts else NO_END

    def may_reject(self, request: RequestState) -> bool:
        """Return whether a rejection is safe, given that it invites the client to retry."""
        spec = request.spec
        if spec.effect is Effect.IDEMPOTENT or (
            spec.effect is Effect.IDEMPOTENT_WITH_KEY and spec.scope is Scope.ALL
        ):
            return True
        return request.never_ran()

    def attempts_allowed(self, request: RequestState) -> bool:
        """Return whether the rules allow another attempt at any server."""
        if len(request.attempts) >= self.context.settings.max_attempts or request.body_discarded:
            return False
        non_idempotent = request.spec.effect is Effect.NON_IDEMPOTENT
        return (
            request.never_ran()
            if non_idempotent
            else self.context.now < self._window_end(request, len(request.attempts))
        )
