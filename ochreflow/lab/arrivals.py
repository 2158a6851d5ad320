"""When clients send requests, and which: drawn from a seed alone, so that every build is offered the same."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import accumulate

from .node_model import WORK_LOG_STDDEV, draw_work_factor

KEY_ZIPF_EXPONENT = 0.9  # a few keys are far more popular than the others
MAX_ABANDON_FACTOR = 3.0  # times the mean work of its class: many clients leave while a node is at work
COST_HINT_LOG_STDDEV = 0.35  # standard deviation of the logarithm by which a cost hint is wrong
MIN_ABANDON_S = 0.001
REQUEST_ID_BITS = 64
HABIT_DRAWS = 5


class Idempotency(StrEnum):
    """Whether a request may be executed again; the values are the words of scenario files."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"  # repeats with the same idempotency key are dropped by the nodes of a group
    NON_IDEMPOTENT = "unsafe"


@dataclass(slots=True)
class RequestClass:
    """A class of requests, as clients send it."""

    name: str
    share: float
    idempotency: Idempotency
    deadline_s: float
    mean_work_s: float = 0.0  # on a warm core


@dataclass(slots=True)
class ClientProfile:
    """The behaviour of clients: shares of requests, and numbers."""

    abandon_share: float = 0.0  # disconnect before the response
    slow_share: float = 0.0  # write their request in pieces, and read the response late
    large_body_share: float = 0.0  # send a body of `large_body_bytes`
    large_body_bytes: int = 200_000
    cost_hint_share: float = 0.0  # say what the work will cost
    work_log_stddev: float = WORK_LOG_STDDEV
    max_attempts: int = 1  # for one logical request, each as soon as a rejection allows


@dataclass(slots=True)
class ScheduledRequest:
    """One logical request that a client will send."""

    due_s: float  # since the start of the run
    request_class: RequestClass
    request_id: str
    key: int
    work_factor: float  # in means of its class
    cost_hint_s: float = 0.0  # of work, as its client guesses; 0: no hint
    abandon_after_s: float = 0.0  # after which its client disconnects; 0: it stays
    slow: bool = False
    extra_body_bytes: int = 0


def _constant_rate(_elapsed_s: float) -> float:
    return 1.0


@dataclass(slots=True)
class ClientLoad:
    """What the clients of one sidecar send."""

    request_classes: list[RequestClass]
    rate_per_s: float
    key_count: int
    rate_factor: Callable[[float], float] = _constant_rate  # on the rate, at a time of the run in seconds
    profile: ClientProfile = field(default_factory=ClientProfile)


class ArrivalSchedule:
    """An endless sequence of requests at a rate that changes with time."""

    def __init__(self, load: ClientLoad, seed: int) -> None:
        """Draw the requests of a load from a seed."""
        self.load = load
        self.random = random.Random(seed)
        self.class_weights = list(accumulate(one.share for one in load.request_classes))
        self.key_weights = list(
            accumulate(1.0 / (rank + 1) ** KEY_ZIPF_EXPONENT for rank in range(load.key_count))
        )

    def __iter__(self) -> Iterator[ScheduledRequest]:
        """Draw the requests in the order of their times: a Poisson process."""
        due_s = 0.0
        while True:
            due_s += self.random.expovariate(self.load.rate_per_s * self.load.rate_factor(due_s))
            yield self._draw(due_s)

    def _draw(self, due_s: float) -> ScheduledRequest:
        draw, profile = self.random, self.load.profile
        request_class = draw.choices(self.load.request_classes, cum_weights=self.class_weights)[0]
        request_id = f"{draw.getrandbits(REQUEST_ID_BITS):016x}"
        key = draw.choices(range(len(self.key_weights)), cum_weights=self.key_weights)[0]
        work_factor = draw_work_factor(draw, profile.work_log_stddev)
        request = ScheduledRequest(due_s, request_class, request_id, key, work_factor)
        # Each is drawn whether it matters or not: one habit more leaves the rest of the sequence as it was.
        abandon, abandon_at, slow, large, hint = (draw.random() for _ in range(HABIT_DRAWS))
        hint_error = draw.lognormvariate(0.0, COST_HINT_LOG_STDDEV)
        if abandon < profile.abandon_share:
            span_s = request_class.mean_work_s or request_class.deadline_s
            request.abandon_after_s = max(abandon_at * MAX_ABANDON_FACTOR * span_s, MIN_ABANDON_S)
        request.slow = slow < profile.slow_share
        has_body = request_class.idempotency != Idempotency.IDEMPOTENT
        if has_body and large < profile.large_body_share:
            request.extra_body_bytes = profile.large_body_bytes
        if hint < profile.cost_hint_share:
            request.cost_hint_s = request_class.mean_work_s * request.work_factor * hint_error
        return request
