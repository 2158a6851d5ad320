"""When the endpoint list is due, by the protocol's times after which a change counts as notified.

A change of the list counts as notified within a fixed time after discovery had it and could be reached, even
if it has not arrived; a draining server may get new requests for the drain grace from then on. So the list is
due the protocol's time and the grace after the last moment at which discovery had no unseen change, as far as
is known: it refused a connection, or sent the list. `docs/design/discovery.md` has the terms.
"""

from .interface import PollFailure, Settings
from .state_records import SECOND

# Times after which, by the protocol, what discovery has counts as notified:
REACHABLE_NS = 6 * SECOND  # after discovery could be reached, whatever has failed
RELOCATED_NS = 4 * SECOND  # after SIGHUP changed its address
HANDED_OVER_NS = 2 * SECOND  # after a new process has taken over, if another process was notified
WAIT_ENDED_NS = 2 * SECOND  # after the wait of a long poll
# By the protocol, a poll is answered or rejected within this time; the connect timeout is as long.
POLL_TIMEOUT_NS = 2 * SECOND


class ListDeadline:
    """Owns the time at which the list is due, and what failed polls show of it."""

    def __init__(self, settings: Settings) -> None:
        """Start with an up-to-date list."""
        self.settings = settings
        self.due_at = 0  # 0: the list is up to date, as far as is known
        # The failed poll since then that shows best that discovery is there; None: no poll has failed.
        self.strongest_failure: PollFailure | None = None
        self.failed_polls = 0  # since the due time has moved
        self.returned = False  # whether the due time counts from the first sign of discovery after an outage

    @property
    def window_ns(self) -> int:
        """The time from the moment at which discovery can be reached until its list is due."""
        return REACHABLE_NS + self.settings.drain_grace_ns

    def list_received(self) -> None:
        """Record that the list is up to date."""
        self.due_at = 0
        self.strongest_failure = None
        self.failed_polls = 0

    def begin(self, now: int, notified_ns: int) -> None:
        """Record that changes may be missed from now on, and count as notified in `notified_ns`."""
        self.due_at = now + notified_ns + self.settings.drain_grace_ns
        self.strongest_failure = None
        self.failed_polls = 0
        self.returned = False

    def bring_forward(self, now: int, notified_ns: int) -> None:
        """Let the list be due no later than for changes that count as notified in `notified_ns`."""
        due_at = now + notified_ns + self.settings.drain_grace_ns
        self.due_at = min(self.due_at or due_at, due_at)

    def poll_failed(self, failure: PollFailure, now: int, previous_started_at: int) -> None:
        """Take a failed poll into account; the poll before it began at `previous_started_at`.

        A refused connection shows that discovery had been away until now. If the list is overdue, and a
        failure shows better than the earlier ones that discovery is there, it may have returned as soon as
        the poll before this one began. Any other failure leaves the due time as it is.
        """
        if failure is PollFailure.REFUSED:
            self.begin(now, REACHABLE_NS)
            self.returned = True
        elif self._is_overdue(now) and self._shows_more(failure):
            self.due_at = previous_started_at + self.window_ns
            self.failed_polls = 0
            self.returned = True
        self.failed_polls += 1
        self.strongest_failure = max(failure, self.strongest_failure or failure)

    def _shows_more(self, failure: PollFailure) -> bool:
        """Return whether a failure shows better than the earlier ones that discovery is there."""
        return self.strongest_failure is not None and failure > self.strongest_failure

    def _is_overdue(self, now: int) -> bool:
        return now > self.due_at

    def time_left_ns(self, now: int) -> int:
        """Return the time until the list is due; it is negative after that."""
        return self.due_at - now
