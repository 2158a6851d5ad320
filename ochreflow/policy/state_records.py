"""What a sidecar remembers: servers, groups of servers, open requests; and what all its parts share."""

import heapq
import random
from typing import NamedTuple

from .interface import Action, Endpoint, Log, Request, RequestClass, Settings, State, Status

SECOND = 1_000_000_000
OUT, NEVER_RAN, MAY_HAVE_RUN = range(3)
UNWRITTEN = frozenset(
    (Status.CONNECT_FAILED, Status.NOT_SENT)
)  # ends of attempts that cost no server any work
PROVES_NOT_RUN = UNWRITTEN | {Status.REJECTED}
OVERDUE, RETRY, POLL = range(3)  # kinds of timers
MAX_UNSENT_SHARE = 0.45  # of a request's time may pass with nothing sent, while another try is still of use


class Context:
    """What all parts share: settings, time, chance, the timers, and the actions of this event."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = self.log_at = 0
        self.actions: list[Action] = []
        self.timers: list[tuple[int, int, int, int]] = []
        self.shortest = min(spec.deadline_ns for spec in settings.classes)

    def at(self, due: int, kind: int, ident: int = 0, attempt: int = 0) -> None:
        heapq.heappush(self.timers, (due, kind, ident, attempt))

    def log(self, text: str) -> None:
        """One line a second at most: the report keeps only a few hundred."""
        if self.now >= self.log_at:
            self.log_at = self.now + SECOND
            self.actions.append(Log(text))


class Server:
    """What this sidecar believes of one server."""

    def __init__(self, entry: Endpoint, rank: float, now: int) -> None:
        self.id = entry.server
        self.rank = rank  # by the own seed: each sidecar samples from others
        self.in_flight: dict[tuple[int, int], tuple[int, int]] = {}  # (request, attempt) -> (sent, class)
        self.written_off: set[tuple[int, int]] = set()  # of these, whose answers are not waited for any more
        self.listed = True
        self.restart(entry, now)

    def awaited_count(self) -> int:
        return len(self.in_flight) - len(self.written_off)

    def restart(self, entry: Endpoint, now: int) -> None:
        self.zone, self.kind, self.cell = entry.zone, entry.kind, entry.cell
        self.ready = entry.state is State.READY
        self.started = entry.started_ns
        self.start_learned_at = now  # when this sidecar heard of that start
        # Not heard from: counts at the mean, a cold one too, whose slow start protects it.
        self.relative_latency = 1.0
        self.samples = self.last_heard_at = self.last_alive_at = 0
        self.success_rate = 1.0  # smoothed part of its answers that are no errors
        self.answering = True  # whether the latest news of it was an answer, if only an error
        self.load, self.load_reported_at = 0.0, 0  # requests held, as last reported, and when
        self.latency_per_request = 0.0  # smoothed latency for each request held, in class means; 0: not known
        self.consecutive_failures, self.ejections, self.half_open_at = 0.0, 0, 0
        self.ejected = self.half_open_in_flight = False
        self.slow_start_tokens, self.tokens_updated_at = 0.0, 0
        self.completed_work = 0.0  # answered since the last tally, in requests of mean work


class EndpointGroup:
    """What this sidecar believes of servers that the list describes alike: of one kind, near or far."""

    def __init__(self) -> None:
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
    decided: int  # ns: its window runs from here
    sent: int  # ns: the same, or when the body that was still coming was through
    state: int = OUT


class PendingRequest:
    """A request that is owed an answer."""

    def __init__(self, request: Request, spec: RequestClass, now: int) -> None:
        self.id, self.cls, self.tenant, self.spec = request.id, request.cls, request.tenant, spec
        self.deadline = request.deadline_ns
        self.first_send_by = now + int(MAX_UNSENT_SHARE * (self.deadline - now))
        self.reached_server = False  # some attempt has reached a server
        self.age = 0  # since the client's first try, as far as is known
        self.attempts: list[Attempt] = []  # by number
        self.retries = 0  # delays waited so far
        self.retry_paid = False  # the next repeat has been paid for
        self.retry_scheduled = False  # a repeat waits in the timer heap
        self.streaming = False
        self.uploading = request.uploading  # its body still comes: no server works on it yet
        self.body_discarded = False  # its body can't be brought again

    def record_end(self, number: int, status: Status) -> bool:
        """Take an attempt's one end; False for one that has ended before or was never decided."""
        if number >= len(self.attempts) or self.attempts[number].state != OUT:
            return False
        state = NEVER_RAN if status in PROVES_NOT_RUN else MAY_HAVE_RUN
        self.attempts[number] = self.attempts[number]._replace(state=state)
        self.reached_server |= status not in UNWRITTEN
        return True

    def any_in_flight(self) -> bool:
        return any(attempt.state == OUT for attempt in self.attempts)

    def never_ran(self) -> bool:
        """Whether each attempt is proven not to have run; one still out may have."""
        return all(attempt.state == NEVER_RAN for attempt in self.attempts)
