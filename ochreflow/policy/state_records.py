"""The records of the decision module: servers, groups of servers, pending requests, attempts and timers.

Times are integer nanoseconds of the caller's monotonic clock, unless a name says otherwise.
"""

import heapq
import random
from enum import Enum, IntEnum
from typing import NamedTuple

from .interface import Action, Endpoint, Log, Request, RequestClass, Settings, State, Status

SECOND = 1_000_000_000
UNWRITTEN = frozenset(
    (Status.CONNECT_FAILED, Status.NOT_SENT)
)  # ends of attempts that cost no server any work
PROVES_NOT_RUN = UNWRITTEN | {Status.REJECTED}
# Of a request's time so much may pass with nothing sent, while another attempt is still of use.
MAX_UNSENT_SHARE = 0.45


class AttemptState(Enum):
    """What is known of an attempt's run at its server."""

    IN_FLIGHT = 0
    NEVER_RAN = 1
    MAY_HAVE_RUN = 2


# Members by themselves: Python 3.11 looks up a member of an enumeration by a call.
IN_FLIGHT, NEVER_RAN, MAY_HAVE_RUN = AttemptState


class TimerKind(IntEnum):
    """What a timer is for; timers that fall due together ring in this order."""

    OVERDUE = 0  # an attempt is late
    RETRY = 1  # a backoff is over
    POLL = 2  # the endpoint list is to be asked for


OVERDUE, RETRY, POLL = TimerKind


class ScheduledTimer(NamedTuple):
    """An entry of the timer heap; its fields are in the order in which timers ring."""

    due_ns: int
    kind: TimerKind
    request_id: int = 0
    rechecks: int = 0  # how often the attempt was overdue before: 0 or 1
    attempt: int = 0


# Names an attempt: the id of its request, and its number within that request. A bare pair, as one is made for
# each attempt and each outcome.
AttemptKey = tuple[int, int]


class InFlightAttempt(NamedTuple):
    """What a server's record holds of an attempt that is in flight."""

    since_ns: int
    class_index: int


class Context:
    """The settings, the event's time, the random numbers, the timers, and the actions of this event.

    The balancer sets the time and empties the actions before each event.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without a time, timers or actions; the same seed gives the same random numbers."""
        self.settings = settings
        self.random = random.Random(seed)
        self.now = self.log_at = 0
        self.actions: list[Action] = []
        self.timers: list[ScheduledTimer] = []
        self.shortest_deadline_ns = min(spec.deadline_ns for spec in settings.classes)

    def schedule(self, timer: ScheduledTimer) -> None:
        """Add a timer to the heap."""
        heapq.heappush(self.timers, timer)

    def log(self, text: str) -> None:
        """One line a second at most: the report keeps only a few hundred."""
        if self.now >= self.log_at:
            self.log_at = self.now + SECOND
            self.actions.append(Log(text))


class Server:
    """What this sidecar believes of one server."""

    def __init__(self, entry: Endpoint, rank: float, now: int) -> None:
        """Start from an entry of the list; `rank` orders the servers of a subset."""
        self.id = entry.server
        self.rank = rank  # by the own seed: each sidecar samples from others
        self.in_flight: dict[AttemptKey, InFlightAttempt] = {}
        self.presumed_lost: set[AttemptKey] = (
            set()
        )  # in flight, but their answers are not waited for any more
        self.listed = True
        self.restart(entry, now)

    def awaited_count(self) -> int:
        """Count the attempts in flight whose answers are still waited for."""
        return len(self.in_flight) - len(self.presumed_lost)

    def restart(self, entry: Endpoint, now: int) -> None:
        """Forget what was learned: this is another incarnation of the server."""
        self.zone, self.kind, self.cell = entry.zone, entry.kind, entry.cell
        self.ready = entry.state is State.READY
        self.started = entry.started_ns
        self.start_learned_at = now  # when this sidecar heard of that start
        # Not heard from: counts at the mean, one that is warming up too, which slow start protects.
        self.relative_latency = 1.0
        self.samples = self.last_heard_at = self.last_alive_at = 0
        self.success_rate = 1.0  # smoothed part of its answers that are no errors
        self.answering = True  # whether the latest attempt that ended was answered, if only by an error
        self.load, self.load_reported_at = 0.0, 0  # requests held, as last reported, and when
        self.latency_per_request = 0.0  # smoothed latency for each request held, in class means; 0: not known
        self.consecutive_failures, self.ejections, self.half_open_at = 0.0, 0, 0
        self.ejected = self.half_open_in_flight = False
        self.slow_start_tokens, self.tokens_updated_at = 0.0, 0
        self.completed_work = 0.0  # answered since the last tally, in requests of mean work


class EndpointGroup:
    """What this sidecar believes of servers that the list describes alike: of one kind, local or remote."""

    def __init__(self) -> None:
        """Start at the mean of all servers."""
        self.relative_latency = 1.0  # smoothed latency, in class means
        self.samples = self.reports = 0
        self.load = 0.0  # mean of what is reported
        self.latency_per_request = 1.0
        self.weight_bias = 0.0  # logarithm of the weight with which its servers are sampled


class Attempt(NamedTuple):
    """One attempt. Lists move servers to other groups: it may have run in the one that it was sent to."""

    server: Server
    zone: int  # of its server when its first byte went out, as far as that is known
    cell: int
    decided_at: int  # ns: its window runs from here
    sent_at: int  # ns: the same, or when the body that was still coming was through
    state: AttemptState = IN_FLIGHT


class RequestState:
    """A request that has no final response yet."""

    def __init__(self, request: Request, spec: RequestClass, now: int) -> None:
        """Take up a request of the class `spec` at `now`."""
        self.id, self.class_index, self.tenant, self.spec = (
            request.id,
            request.class_index,
            request.tenant,
            spec,
        )
        self.deadline = request.deadline_ns
        self.first_send_by = now + int(MAX_UNSENT_SHARE * (self.deadline - now))
        self.reached_server = False  # some attempt has reached a server
        self.age = 0  # ns since the client's first attempt, as far as is known
        self.attempts: list[Attempt] = []  # by number
        self.retries = 0  # delays waited so far
        self.retry_paid = False  # the next retry has been paid for
        self.retry_scheduled = False  # a retry waits in the timer heap
        self.streaming = False
        self.uploading = request.uploading  # its body still comes: no server works on it yet
        self.body_discarded = False  # its body can't be brought again

    def record_end(self, number: int, status: Status) -> bool:
        """Record the end of an attempt; False for one that has ended before or was never decided."""
        if number >= len(self.attempts) or self.attempts[number].state is not IN_FLIGHT:
            return False
        state = NEVER_RAN if status in PROVES_NOT_RUN else MAY_HAVE_RUN
        self.attempts[number] = self.attempts[number]._replace(state=state)
        self.reached_server |= status not in UNWRITTEN
        return True

    def any_in_flight(self) -> bool:
        """Whether an attempt may still be answered."""
        return any(attempt.state is IN_FLIGHT for attempt in self.attempts)

    def never_ran(self) -> bool:
        """Whether each attempt is proven not to have run; one in flight may have."""
        return all(attempt.state is NEVER_RAN for attempt in self.attempts)
