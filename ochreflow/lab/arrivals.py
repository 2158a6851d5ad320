"""The schedule of client requests, drawn from the seed alone so that every build is offered the same load."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import accumulate

from .node_model import WORK_LOG_STDDEV, draw_work_factor

KEY_ZIPF_EXPONENT = 0.9  # a few keys are far more popular than the others
# Longest time until a client disconnects, in means of its class's work; many disconnect during processing:
MAX_ABANDON_FACTOR = 3.0
COST_HINT_LOG_STDDEV = 0.35  # standard deviation of the logarithm of a cost hint's error factor
MIN_ABANDON_S = 0.001
REQUEST_ID_BITS = 64
BEHAVIOUR_DRAWS = 5


class Idempotency(StrEnum):
    """Whether a request may be executed more than once; the values are those of scenario files."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"  # the nodes of a group drop duplicates of an idempotency key
    NON_IDEMPOTENT = "unsafe"


@dataclass(slots=True)
class RequestClass:
    """A class of requests that clients send."""

    name: str
    share: float
    idempotency: Idempotency
    deadline_s: float
    mean_work_s: float = 0.0  # mean core time of a request on a warm node


@dataclass(slots=True)
class ClientProfile:
    """The behaviour of clients, mostly as shares of requests."""

    abandon_share: float = 0.0  # share of requests whose client may disconnect before the response
    slow_share: float = 0.0  # share of requests written in pieces, with the response read late
    large_body_share: float = 0.0  # share of requests with `large_body_bytes` added to their body
    large_body_bytes: int = 200_000
    cost_hint_share: float = 0.0  # share of requests with a cost hint
    work_log_stddev: float = WORK_LOG_STDDEV
    max_attempts: int = 1  # attempts of one logical request; a rejection says when the next may be sent


@dataclass(slots=True)
class ScheduledRequest:
    """One logical request that a client will send."""

    due_s: float  # due time since the start of the run
    request_class: RequestClass
    request_id: str
    key: int
    work_factor: float  # work as a multiple of the mean of the request's class
    cost_hint_s: float = 0.0  # the client's estimate of the work; 0: no hint
    abandon_after_s: float = 0.0  # time until its client disconnects; 0: never
    slow: bool = False
    extra_body_bytes: int = 0


def _constant_rate(_elapsed_s: float) -> float:
    return 1.0


@dataclass(slots=True)
class ClientLoad:
    """The load that the clients of one sidecar generate."""

    request_classes: list[RequestClass]
    rate_per_s: float
    key_count: int
    rate_factor: Callable[[float], float] = _constant_rate  # factor of the rate, by second of the run
    profile: ClientProfile = field(default_factory=ClientProfile)


class ArrivalSchedule:
    """An endless sequence of requests at a rate that varies over time."""

    def __init__(self, load: ClientLoad, seed: int) -> None:
        """Prepare to draw the requests of `load` from `seed`."""
        self.load = load
        self.random = random.Random(seed)
        self.class_weights = list(accumulate(entry.share for entry in load.request_classes))
        self.key_weights = list(
            accumulate(1.0 / (rank + 1) ** KEY_ZIPF_EXPONENT for rank in range(load.key_count))
        )

    def __iter__(self) -> Iterator[ScheduledRequest]:
        """Yield the requests of a Poisson process in order of their due times."""
        due_s = 0.0
        while True:
            due_s += self.random.expovariate(self.load.rate_per_s * self.load.rate_factor(due_s))
            yield self._draw(due_s)

    def _draw(self, due_s: float) -> ScheduledRequest:
        rng, profile = self.random, self.load.profile
        request_class = rng.choices(self.load.request_classes, cum_weights=self.class_weights)[0]
        request_id = f"{rng.getrandbits(REQUEST_ID_BITS):016x}"
        key = rng.choices(range(len(self.key_weights)), cum_weights=self.key_weights)[0]
        work_factor = draw_work_factor(rng, profile.work_log_stddev)
        request = ScheduledRequest(due_s, request_class, request_id, key, work_factor)
        # All values are drawn even if unused, so that enabling one behaviour leaves the others unchanged.
        abandon, abandon_point, slow, large, hint = (rng.random() for _ in range(BEHAVIOUR_DRAWS))
        hint_error = rng.lognormvariate(0.0, COST_HINT_LOG_STDDEV)
        if abandon < profile.abandon_share:
            reference_s = request_class.mean_work_s or request_class.deadline_s
            request.abandon_after_s = max(abandon_point * MAX_ABANDON_FACTOR * reference_s, MIN_ABANDON_S)
        request.slow = slow < profile.slow_share
        has_body = request_class.idempotency != Idempotency.IDEMPOTENT
        if has_body and large < profile.large_body_share:
            request.extra_body_bytes = profile.large_body_bytes
        if hint < profile.cost_hint_share:
            request.cost_hint_s = request_class.mean_work_s * request.work_factor * hint_error
        return request
