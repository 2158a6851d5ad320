"""The records of the decision module: servers, groups of servers, pending requests, attempts and timers.

Times are integer nanoseconds of the caller's monotonic clock, unless a name says otherwise.
"""

import heapq
import random
from enum import Enum, IntEnum
from typing import NamedTuple

from .interface import Action, Endpoint, Log, Request, RequestClass, Settings, State, Status

SECOND = 1_000_000_000
# Statuses of attempts that caused no work on any server.
UNWRITTEN = frozenset((Status.CONNECT_FAILED, Status.NOT_SENT))
# Statuses that prove that the server did not run the request.
PROVES_NOT_RUN = UNWRITTEN | {Status.REJECTED}
# Share of the time from a request's arrival to its deadline. If no attempt has reached a server by then, the
# request is not retried any more: a later retry would be of no use.
MAX_UNSENT_SHARE = 0.45


class AttemptState(Enum):
    """Whether the server has run an attempt, as far as is known."""

    IN_FLIGHT = 0
    NEVER_RAN = 1
    MAY_HAVE_RUN = 2


# Module-level aliases: in Python 3.11, access to an enumeration member through its class is a function call.
IN_FLIGHT, NEVER_RAN, MAY_HAVE_RUN = AttemptState


class TimerKind(IntEnum):
    """The purpose of a timer; timers that are due at the same time fire in this order."""

    OVERDUE = 0  # an attempt is late
    RETRY = 1  # a backoff is over
    POLL = 2  # discovery is due to be polled for the endpoint list


OVERDUE, RETRY, POLL = TimerKind


class ScheduledTimer(NamedTuple):
    """An entry of the timer heap; the order of its fields is the order in which timers fire."""

    due_ns: int
    kind: TimerKind
    request_id: int = 0
    rechecks: int = 0  # earlier timers of this kind for the attempt: 0 or 1
    attempt: int = 0


# Identifies an attempt: the id of its request and its number within that request. A plain tuple is cheap; one
# is created for each attempt and each outcome.
AttemptKey = tuple[int, int]


class InFlightAttempt(NamedTuple):
    """An attempt in flight, as recorded for its server."""

    since_ns: int
    class_index: int


class Context:
    """State shared by the parts of the balancer: settings, current time, random numbers, timers and actions.

    The balancer sets the time and clears the actions before it handles an event.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without a time, timers or actions; the same seed gives the same random numbers."""
        self.settings = settings
        self.random = random.Random(seed)
        self.now = self.next_log_at = 0
        self.actions: list[Action] = []
        self.timers: list[ScheduledTimer] = []
        self.shortest_deadline_ns = min(spec.deadline_ns for spec in settings.classes)

    def schedule(self, timer: ScheduledTimer) -> None:
        """Add a timer to the heap."""
        heapq.heappush(self.timers, timer)

    def log(self, text: str) -> None:
        """Log a line, at most one a second: the report keeps only a few hundred."""
        if self.now >= self.next_log_at:
            self.next_log_at = self.now + SECOND
            self.actions.append(Log(text))


class Server:
    """What this sidecar knows and estimates about one server."""

    def __init__(self, entry: Endpoint, rank: float, now: int) -> None:
        """Start from an entry of the endpoint list; servers join the subset in the order of `rank`."""
        self.id = entry.server
        self.rank = rank  # random by this sidecar's seed, so that sidecars choose different subsets
        self.in_flight: dict[AttemptKey, InFlightAttempt] = {}
        # Attempts in flight whose answers are no longer expected.
        self.presumed_lost: set[AttemptKey] = set()
        # Attempts in flight that wait for a connection, so the server does not know of them yet.
        self.waiting: set[AttemptKey] = set()
        self.listed = True
        self.restart(entry, now)

    def awaited_count(self) -> int:
        """Return the number of attempts that were sent and whose answers are still expected."""
        return len(self.in_flight) - len(self.presumed_lost) - len(self.waiting)

    def restart(self, entry: Endpoint, now: int) -> None:
        """Reset all estimates: the entry describes another incarnation of the server."""
        self.zone, self.kind, self.cell = entry.zone, entry.kind, entry.cell
        self.ready = entry.state is State.READY
        self.started = entry.started_ns
        self.start_learned_at = now  # when this sidecar learned of that start
        # Until its first answer a server counts as average, even while it warms up: slow start protects it.
        self.relative_latency = 1.0  # smoothed latency, as a multiple of the class mean
        self.samples = self.last_heard_at = self.last_alive_at = 0
        self.success_rate = 1.0  # smoothed share of its answers that are not errors
        self.answering = True  # whether the attempt that ended last was answered, even by an error
        self.load, self.load_reported_at = 0.0, 0  # requests in progress as last reported, and when
        # Smoothed latency for each request in progress, as a multiple of the class mean; 0: unknown.
        self.latency_per_request = 0.0
        self.consecutive_failures, self.half_open_waits, self.half_open_at = 0.0, 0, 0
        self.ejected = self.half_open_in_flight = False
        self.slow_start_tokens, self.tokens_updated_at = 0.0, 0
        self.completed_work = 0.0  # work answered since the loads were updated, in requests of mean work


class EndpointGroup:
    """Estimates for the servers of one kind that are either all local or all remote."""

    def __init__(self) -> None:
        """Start at the mean of all servers."""
        self.relative_latency = 1.0  # smoothed latency, as a multiple of the class mean
        self.samples = self.reports = 0
        self.load = 0.0  # smoothed mean of the reported loads
        self.latency_per_request = 1.0
        self.weight_bias = 0.0  # natural logarithm of the weight with which its servers are sampled


class Attempt(NamedTuple):
    """One attempt of a request.

    An attempt keeps its own zone and cell: an update of the list may move the server after the attempt was
    sent.
    """

    server: Server
    zone: int  # zone of its server when the first byte was sent, as far as is known
    cell: int  # cell of its server at that time
    decided_at: int  # ns; the idempotency window starts here
    sent_at: int  # ns; `decided_at`, or the end of the upload of its body or of its wait for a connection
    state: AttemptState = IN_FLIGHT


class RequestState:
    """A request that has no final response yet."""

    def __init__(self, request: Request, spec: RequestClass, now: int) -> None:
        """Start to track a request of the class `spec` that arrived at `now`."""
        self.id, self.class_index, self.tenant, self.spec = (
            request.id,
            request.class_index,
            request.tenant,
            spec,
        )
        self.deadline = request.deadline_ns
        self.first_send_by = now + int(MAX_UNSENT_SHARE * (self.deadline - now))
        self.reached_server = False  # at least one attempt has reached a server
        self.age = 0  # ns since the client's first attempt, as far as is known
        self.attempts: list[Attempt] = []  # indexed by attempt number
        self.retries = 0  # backoffs drawn so far
        self.retry_paid = False  # the tokens for the next retry have been taken
        self.retry_scheduled = False  # a retry is in the timer heap
        self.streaming = False
        self.uploading = request.uploading  # its body is still arriving: no server works on it yet
        self.body_discarded = False  # its body cannot be sent again

    def record_end(self, number: int, status: Status) -> bool:
        """Record the end of an attempt; return False if it had ended already or does not exist."""
        if number >= len(self.attempts) or self.attempts[number].state is not IN_FLIGHT:
            return False
        state = NEVER_RAN if status in PROVES_NOT_RUN else MAY_HAVE_RUN
        self.attempts[number] = self.attempts[number]._replace(state=state)
        self.reached_server |= status not in UNWRITTEN
        return True

    def any_in_flight(self) -> bool:
        """Return whether any attempt may still be answered."""
        return any(attempt.state is IN_FLIGHT for attempt in self.attempts)

    def never_ran(self) -> bool:
        """Return whether every attempt is proven not to have run; one in flight may have run."""
        return all(attempt.state is NEVER_RAN for attempt in self.attempts)
