"""The schedule of polls of discovery: when to poll after a start, a change of its address or a failed poll.

`ListDeadline` knows when the list is due. Until then, each failed poll is followed by another within a part
of the time that is left, so that further ones may fail. Once the due time has passed, discovery may return at
any moment without notice. Polls then begin at a steady period, of which the time between the return and the
due time holds two to four: as many as the fleet's polls together allow, since one service answers all
sidecars. `docs/design/discovery.md` has the inequalities and measurements.
"""

import math

from .interface import PollFailure
from .list_deadline import HANDED_OVER_NS, POLL_TIMEOUT_NS, REACHABLE_NS, RELOCATED_NS, ListDeadline
from .state_records import POLL, SECOND, Context, ScheduledTimer

MS = SECOND // 1000

# The first poll after an event is spread over this time for each sidecar, and over more than a share of the
# time in which it must begin only in large fleets.
FIRST_POLL_SPREAD_PER_SIDECAR_NS = 70 * MS
LEAST_FIRST_SPREAD_PER_SIDECAR_NS = 18 * MS
FIRST_POLL_SHARE = 0.7
CROWDED_POLL_PER_SIDECAR_NS = SECOND // 9  # a crowded discovery answers nine polls a second
MAX_SLOW_FAILURES = 3  # after which another poll may be in time
MIN_SPREAD_NS = 500 * MS
MAX_DELAY_SHARE = 0.6  # longest delay of a poll, as a share of the interval within which a sidecar must poll

PROMPT_ANSWER_NS = 100 * MS  # answer of a discovery that is not crowded
# Least time between two polls that fail, from start to start: in any case, and for each poll that has failed.
MIN_RETRY_PERIOD_NS = 500 * MS
RETRY_PERIOD_PER_FAILURE_NS = 200 * MS
SLOW_RETRY_SPREAD_NS = 250 * MS  # of the next poll after a slow failure
MIN_RETRY_DELAY_NS = 100 * MS  # least time between the end of a failed poll and the next one
URGENT_SHARE = 0.5  # a retry takes this part of the time in which an answer of any length is in time
CROWDED_URGENT_SHARE = 0.4  # the same after a slow failure, of the time after which another one fits
RETURN_SHARE = 0.9  # the same after the first sign that discovery is back: all sidecars poll it again then
LATE_URGENT_SHARE = 0.5  # the same once only a prompt answer is in time
REFUSED_PERIOD_PER_SIDECAR_NS = 10 * MS  # while connections are refused: a poll costs discovery nothing
MAX_REFUSED_PERIOD_NS = 2 * SECOND

# Steady period of failing polls for each sidecar, from start to start.
STEADY_PERIOD_PER_SIDECAR_NS = 70 * MS
# The same, if fewer polls than wanted fit into the time until the list is due.
LEAST_PERIOD_PER_SIDECAR_NS = 21 * MS
# The same, while polls fail slowly: with more calls, discovery would have too many callers for good.
CROWDED_PERIOD_PER_SIDECAR_NS = 135 * MS
SLOW_FAILURE_NS = POLL_TIMEOUT_NS // 2  # a poll that failed later had to wait for other callers

# Least delay as a share of the greatest one: all sidecars that had a common failure must not poll together.
MIN_JITTER = 0.1
MIN_RETRY_JITTER = 0.6  # of the second retry and later ones, since the first one has spread the polls
MIN_CROWDED_JITTER = 0.85  # once the period is steady, while polls fail slowly
MIN_STEADY_JITTER = 0.95  # once the period is steady: polls are spread by then, and fewer are enough


class PollSchedule:
    """Owns the time of the next poll, and the polls since the last list."""

    def __init__(self, context: Context) -> None:
        """Start without a scheduled poll."""
        self.context = context
        self.deadline = ListDeadline(context.settings)
        self.poll_at = 0  # 0: no poll is scheduled
        self.poll_started_at = 0  # when the latest poll began, as far as is known
        self.previous_poll_started_at = 0
        self.scheduled_polls = 0  # since the last list or change of the address
        self.is_steady = False  # whether the latest poll kept the steady period

    def on_start(self) -> None:
        """Schedule the first poll: sidecars that restart together must not poll together."""
        self._schedule_first(REACHABLE_NS)

    def on_list(self) -> None:
        """Record that an endpoint list has arrived."""
        self._reset()

    def on_relocation(self) -> None:
        """Schedule a poll of the new address; a poll that is scheduled for an earlier time keeps it."""
        self._reset()
        self._schedule_first(RELOCATED_NS, not_after=self.poll_at)

    def on_silent_peer(self) -> None:
        """Poll soon, since another process of this sidecar may be notified in place of this one."""
        self.deadline.bring_forward(self.context.now, HANDED_OVER_NS)
        if self.poll_at:
            self._schedule(self._first_spread(), MIN_JITTER, not_after=self.poll_at)

    def on_failure(self, failure: PollFailure, notified_ns: int | None = None) -> None:
        """Schedule the next poll after a failed one, or after the subscription broke.

        With `notified_ns`, changes that were missed before count as notified in that time.
        Discovery may have recovered as soon as the failed poll began, and a change may count from then on.
        """
        now = self.context.now
        poll_duration_ns = now - self.poll_started_at
        # A poll that seems to have taken longer had been answered before its subscription failed.
        failed_for_ns = poll_duration_ns * (poll_duration_ns <= 2 * POLL_TIMEOUT_NS)
        if not self.scheduled_polls or notified_ns is not None:
            missed_ns = REACHABLE_NS - failed_for_ns if notified_ns is None else notified_ns
            self._schedule_first(missed_ns)
            return
        if failure is PollFailure.REJECTED and failed_for_ns >= SLOW_FAILURE_NS:
            failure = PollFailure.REJECTED_LATE
        self.deadline.poll_failed(failure, now, self.previous_poll_started_at)
        if failure is PollFailure.REFUSED:
            self._schedule(self._refused_period(), MIN_JITTER)
            return
        steady_delay_ns = self._steady_delay(failed_for_ns)
        urgent_delay_ns = self._urgent_delay(failure, failed_for_ns)
        if urgent_delay_ns is not None and urgent_delay_ns < steady_delay_ns:
            self.is_steady = False
            self._schedule(
                urgent_delay_ns, MIN_JITTER if self.deadline.failed_polls <= 1 else MIN_RETRY_JITTER
            )
            return
        # Urgent polls of a fleet draw near to each other, since their list is due at the same time.
        steady_jitter = MIN_CROWDED_JITTER if failed_for_ns >= SLOW_FAILURE_NS else MIN_STEADY_JITTER
        self._schedule(steady_delay_ns, steady_jitter if self.is_steady else MIN_JITTER)
        self.is_steady = True

    def take_due_poll(self) -> bool:
        """Return whether a poll is due now; it counts as begun then."""
        if not 0 < self.poll_at <= self.context.now:
            return False
        self.previous_poll_started_at = self.poll_started_at
        self.poll_at, self.poll_started_at = 0, self.context.now
        return True

    def _schedule_first(self, notified_ns: int, not_after: int = 0) -> None:
        """Schedule the first poll after an event, from which a drain counts as notified in `notified_ns`."""
        self.deadline.begin(self.context.now, notified_ns)
        self._schedule(self._first_spread(), MIN_JITTER, not_after)

    def _first_spread(self) -> float:
        """Return the span in which to poll first until the list is due."""
        to_poll_ns = self.deadline.time_left_ns(self.context.now) - POLL_TIMEOUT_NS
        # A slow failure, and a prompt answer to the next poll, still fit into the time after this spread.
        after_failure_ns = to_poll_ns - MIN_RETRY_DELAY_NS - PROMPT_ANSWER_NS
        least_ns = min(self._for_fleet(LEAST_FIRST_SPREAD_PER_SIDECAR_NS), after_failure_ns)
        most_ns = max(FIRST_POLL_SHARE * to_poll_ns, least_ns, MIN_SPREAD_NS)
        wanted_ns = max(self._for_fleet(FIRST_POLL_SPREAD_PER_SIDECAR_NS), MIN_SPREAD_NS)
        return min(wanted_ns, most_ns, self._spread_before_slow_failures(to_poll_ns))

    def _spread_before_slow_failures(self, to_poll_ns: int) -> float:
        """Return the span after which two or more slow failures fit, if the fleet can poll in that time.

        A crowded discovery has to answer all of these polls before it rejects the first one.
        """
        crowded_ns = self._for_fleet(CROWDED_POLL_PER_SIDECAR_NS) - POLL_TIMEOUT_NS
        for failures in (MAX_SLOW_FAILURES, MAX_SLOW_FAILURES - 1):
            failed_ns = failures * (POLL_TIMEOUT_NS + SLOW_RETRY_SPREAD_NS)
            spread_ns = to_poll_ns + POLL_TIMEOUT_NS - PROMPT_ANSWER_NS - failed_ns
            if spread_ns >= max(crowded_ns, MIN_SPREAD_NS):
                return spread_ns
        return math.inf

    def _urgent_delay(self, failure: PollFailure, failed_for_ns: int) -> float | None:
        """Return the delay of a poll that leaves time for another until the list is due.

        Return None if no poll is in time any more.
        """
        left_ns = self.deadline.time_left_ns(self.context.now)
        latest_ns = left_ns - PROMPT_ANSWER_NS
        retry_period_ns = max(MIN_RETRY_PERIOD_NS, RETRY_PERIOD_PER_FAILURE_NS * self.deadline.failed_polls)
        if failed_for_ns >= SLOW_FAILURE_NS:
            delay_ns = self._slow_retry_spread(failure, failed_for_ns, latest_ns)
        elif left_ns > POLL_TIMEOUT_NS:
            delay_ns = max((left_ns - POLL_TIMEOUT_NS) * URGENT_SHARE, retry_period_ns - failed_for_ns)
        else:
            delay_ns = max(latest_ns * LATE_URGENT_SHARE, retry_period_ns - failed_for_ns)
        return delay_ns if delay_ns <= latest_ns else None

    def _slow_retry_spread(self, failure: PollFailure, failed_for_ns: int, latest_ns: int) -> float:
        """Return the span in which to poll again after a slow failure.

        If discovery has too many callers, that is the time after which another slow failure and one more
        poll fit, or an answer of any length.
        """
        spread_ns = SLOW_RETRY_SPREAD_NS
        if failure is PollFailure.REJECTED_LATE:
            another_ns = latest_ns - max(failed_for_ns + SLOW_RETRY_SPREAD_NS, POLL_TIMEOUT_NS)
            fleet_spread_ns = self._for_fleet(FIRST_POLL_SPREAD_PER_SIDECAR_NS)
            share = RETURN_SHARE if self.deadline.returned else CROWDED_URGENT_SHARE
            spread_ns = max(spread_ns, min(fleet_spread_ns, int(another_ns * share)))
        return max(min(spread_ns, latest_ns), MIN_RETRY_DELAY_NS)

    def _steady_delay(self, failed_for_ns: int) -> float:
        """Return the delay with which polls that go on failing begin at a steady period.

        Discovery may return just after a poll has begun. With a part of the time until the list is due as the
        period, the last poll of that part is still answered in time although the others fail.
        """
        window_ns = self.deadline.window_ns
        longest_ns = window_ns - POLL_TIMEOUT_NS  # with a longer period, one poll alone might be late
        two_polls_ns = (window_ns - PROMPT_ANSWER_NS) / 2
        three_polls_ns = (window_ns - PROMPT_ANSWER_NS) / 3
        fleet_period_ns = self._for_fleet(LEAST_PERIOD_PER_SIDECAR_NS)
        crowded_period_ns = self._for_fleet(CROWDED_PERIOD_PER_SIDECAR_NS)
        least_ns = max(longest_ns / 4, min(fleet_period_ns, longest_ns))
        if failed_for_ns < SLOW_FAILURE_NS:
            wanted_ns: float = self._for_fleet(STEADY_PERIOD_PER_SIDECAR_NS)
            most_ns = three_polls_ns if fleet_period_ns <= three_polls_ns else two_polls_ns
        elif crowded_period_ns <= longest_ns:
            wanted_ns = most_ns = crowded_period_ns
        else:
            wanted_ns = most_ns = two_polls_ns
        period_ns = max(min(wanted_ns, most_ns), least_ns)
        return max(period_ns - failed_for_ns, MIN_RETRY_DELAY_NS)

    def _refused_period(self) -> float:
        period_ns = max(self._for_fleet(REFUSED_PERIOD_PER_SIDECAR_NS), MIN_RETRY_PERIOD_NS)
        return min(period_ns, MAX_REFUSED_PERIOD_NS)

    def _for_fleet(self, per_sidecar_ns: int) -> int:
        """Return the time for all sidecars of the fleet together."""
        return per_sidecar_ns * self.context.settings.fleet_size

    def _reset(self) -> None:
        self.poll_started_at = self.previous_poll_started_at = self.context.now
        self.scheduled_polls = 0
        self.is_steady = False
        self.deadline.list_received()

    def _schedule(self, delay_ns: float, min_jitter: float, not_after: int = 0) -> None:
        """Schedule a poll after `min_jitter` to 1 times a delay, and by `not_after` if that is given."""
        settings = self.context.settings
        if not settings.polling_required:
            return
        delay_ns = min(delay_ns, MAX_DELAY_SHARE * settings.polling_interval_ns)
        self.scheduled_polls += 1
        self.poll_at = self.context.now + int(delay_ns * self.context.random.uniform(min_jitter, 1.0)) + 1
        if not_after:
            self.poll_at = min(self.poll_at, not_after)
        self.context.schedule(ScheduledTimer(self.poll_at, POLL))
