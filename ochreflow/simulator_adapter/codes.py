"""Codes of the simulator's wire protocol, named as on its page, and the decision module's terms for them.

Accessing an enum member costs 0.1 us in Python 3.11, so the code that runs for each record uses tables and
sets that are built from the members once, here or in the module that uses them.
"""

from __future__ import annotations

from enum import IntEnum

from ..policy import interface as api


class EventCode(IntEnum):
    """First byte of an event record."""

    NEW_INSTANCE = 16  # an instance starts without state
    ENDPOINTS = 17  # discovery's list of servers, or changes to it
    INBOUND = 18  # a client's request
    FIRST = 19  # a streamed response has started
    SETTLED = 20  # an attempt has finished
    DROPPED = 21  # the client has disconnected
    BELL = 22  # a timer has expired
    HEALTH = 23  # the result of a probe
    NOTE_FROM = 24  # a message from another instance
    STOP = 25  # the instance has been killed
    SNAPSHOT_ROWS = 26  # a numbered list of servers, shared by all instances


# Events that the host handles itself and does not pass to a balancer.
HOST_EVENTS = frozenset((EventCode.NEW_INSTANCE, EventCode.STOP, EventCode.SNAPSHOT_ROWS))


class ActionCode(IntEnum):
    """First byte of an action record."""

    SHARE = 16  # send a message to one instance, or to all
    RETRACT = 17  # cancel an attempt
    FOLLOW = 18  # subscribe to discovery
    INTERNAL_ERROR = 19  # the decision module has failed
    HANG_UP = 20  # close idle connections to a server
    TRACE = 21  # a line of text for the report
    TOUCH = 22  # probe a server
    TURN_AWAY = 23  # final response: rejected
    RESOLVE = 24  # fetch discovery's list once
    DISPATCH = 25  # start an attempt
    ABORT = 26  # final response: failed
    SET_TIMER = 27  # request a `BELL` event


class ReasonCode(IntEnum):
    """`reason` of `SETTLED` and `HEALTH`: how an attempt or a probe ended."""

    OK = 200
    MOOT = 410
    CANCELLED = 499
    ERROR = 500
    CONNECT_FAILED = 502
    FULL = 503
    TIMEOUT = 504
    RESET = 598


class ScopeCode(IntEnum):
    """`scope` of `ENDPOINTS`: the kind of list."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class PhaseCode(IntEnum):
    """`phase` of a list entry: the state of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class InboundOption(IntEnum):
    """Bits of `opts` of `INBOUND`."""

    COST_VALID = 1  # `effort-ns` is set
    CLIENT_RETRY = 2
    WRITE = 4


STATUS_OF_REASON: dict[int, api.Status] = {
    ReasonCode.OK: api.Status.OK,
    ReasonCode.ERROR: api.Status.ERROR,
    ReasonCode.FULL: api.Status.REJECTED,
    ReasonCode.TIMEOUT: api.Status.TIMEOUT,
    ReasonCode.CONNECT_FAILED: api.Status.CONNECT_FAILED,
    ReasonCode.RESET: api.Status.RESET,
    ReasonCode.CANCELLED: api.Status.CANCELLED,
    ReasonCode.MOOT: api.Status.NOT_SENT,
}
LIST_KIND_OF_SCOPE: dict[int, api.ListKind] = {
    ScopeCode.DELTA: api.ListKind.DELTA,
    ScopeCode.FULL: api.ListKind.FULL,
    ScopeCode.CACHED: api.ListKind.CACHED,
    ScopeCode.FAILED: api.ListKind.FAILED,
}
STATE_OF_PHASE: dict[int, api.State] = {
    PhaseCode.GONE: api.State.REMOVED,
    PhaseCode.READY: api.State.READY,
    PhaseCode.DRAINING: api.State.DRAINING,
}
ALL_PEERS = 0xFFFFFFFF  # `recipient` of `SHARE`: all instances of the tier
