"""Structured log: named events with typed fields, written at a bounded rate.

`EVENTS` is the only list of events. They are written by a sink that the process sets; the default one writes
plain lines and needs only the standard library.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

# The text of each event. `format_event` appends the fields that the text doesn't contain.
EVENTS = {
    "listening": "{name} listens at {host}:{port}",
    "management_listening": "management interface is at {host}:{port}",
    "draining": "draining: requested by an operator",
    "drain_cancelled": "drain cancelled: new requests are accepted again",
    "terminating": "terminating: graceful shutdown with {clients} client connections open",
    "server_added": "{name} is server {server} at {host}:{port}",
    "server_state_changed": "{name} ({server}) is {state}",
    "server_restarted": "{name} ({server}) has restarted",
    "server_removed": "server {server} was removed from the endpoint list",
    "discovery_address_changed": "discovery is now at {host}:{port}",
    "discovery_polled": "polling discovery: {target}",
    "discovery_failed": "discovery failed: {reason}",
    "discovery_failed_again": "discovery failed again: {reason}",
    "discovery_request_given_up": "request to discovery given up: {open} are open, and another one is made",
    "discovery_poll_overdue": "discovery has not answered a poll in time: another one is sent beside it",
    "discovery_recovered": "discovery has recovered",
    "inherited_list_invalid": "the inherited endpoint list is invalid: {reason}",
    "endpoint_list_shared": "version {version} of the endpoint list comes from another process",
    "reload_rejected": "reload rejected, the configuration is unchanged: {reason}",
    "reload_applied": "reload applied: {changed}",
    "hot_restart_unavailable": "other processes of this sidecar can't be found: {reason}",
    "hot_restart_available": "process {pid} is {process} to the other processes of this sidecar",
    "hot_restart_message_invalid": "invalid message from another process: its connection is closed",
    "hot_restart_peer_connected": "process {process} serves beside this one",
    "hot_restart_peer_disconnected": "process {process} is gone",
    "hot_restart_peer_unresponsive": "process {process} does not answer: requests wait for it",
    "accept_paused": "no file descriptor left ({reason}): {closed} idle connections closed, "
    "accepting paused for {seconds} s",
    "memory_exhausted": "no memory left for {size} bytes of {purpose}: {reserved} of {allowed} bytes are "
    "reserved",
    "stalled_message_ended": "an incomplete message of {size} bytes has stalled and is ended: memory is "
    "short",
    "response_due_unread": "request {request} is answered although its body may not have been read to its "
    "end",
    "connection_rejected": "connection from {address} rejected: {reason}",
    "unrequested_data": "server at {host}:{port} sent data that belongs to no request: {state}",
    "event_loop_delayed": "the event loop ran a timer {late_s} s late",
    "balancer_message": "{message}",
    "final_response": "{frontend} request {request} {outcome}: {reason}",
    "attempt": "{frontend} request {request} attempt {attempt} at server {server}: {status}",
    "internal_error": "{reason}",
}
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
RATE_WINDOW_S = 1.0
MAX_LINES_PER_SECOND = 100  # lines of one event; an endpoint list may log dozens of servers at once

Sink = Callable[[str, str, dict[str, object]], None]


def format_event(event: str, fields: dict[str, object]) -> str:
    """Return the text of an event, followed by the fields that it doesn't contain."""
    template = EVENTS.get(event, event)
    message = template.format_map(fields) if "{" in template else template
    extra_fields = [f"{key}={value}" for key, value in fields.items() if f"{{{key}}}" not in template]
    return " ".join([message, *extra_fields])


def write_plain_line(level: str, event: str, fields: dict[str, object]) -> None:
    """Write an event as one line to standard error, followed by the traceback of an exception, if any."""
    fields = dict(fields)
    trace = fields.pop("trace", "")
    print(f"{level.upper()} ochreflow: {format_event(event, fields)}", file=sys.stderr, flush=True)
    if trace:
        print(trace, file=sys.stderr, end="", flush=True)


@dataclass(slots=True)
class RateWindow:
    """The occurrences of one event within the current second."""

    started_s: float
    written: int = 0
    suppressed: int = 0  # occurrences since the last one that was written


class Log:
    """The log of all parts. Events over their limit are counted, and the next one written says how many."""

    def __init__(self, sink: Sink = write_plain_line, clock: Callable[[], float] = monotonic) -> None:
        """Write to `sink`; `clock` returns seconds."""
        self.clock = clock
        self.configure(sink)

    def configure(self, sink: Sink, min_level: str = "info", per_second: int = MAX_LINES_PER_SECOND) -> None:
        """Write to `sink`, from `min_level` up, at most `per_second` lines of each event a second."""
        self.sink = sink
        self.min_level = LEVELS[min_level]
        self.debugging = min_level == "debug"  # checked for each request, so it has to be cheap
        self.per_second = per_second
        self.windows: dict[str, RateWindow] = {}  # by event

    def write(self, level: str, event: str, fields: dict[str, object]) -> None:
        """Write an event, unless its level is too low or its limit for this second is reached."""
        if LEVELS[level] < self.min_level:
            return
        now = self.clock()
        window = self.windows.setdefault(event, RateWindow(now))
        if now - window.started_s >= RATE_WINDOW_S:
            window.started_s, window.written = now, 0
        if window.written >= self.per_second:
            window.suppressed += 1
            return
        window.written += 1
        if window.suppressed:
            fields["suppressed"] = window.suppressed
            window.suppressed = 0
        self.sink(level, event, fields)

    def debug(self, event: str, **fields: object) -> None:
        """Write an event of level debug."""
        self.write("debug", event, fields)

    def info(self, event: str, **fields: object) -> None:
        """Write an event of level info."""
        self.write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Write an event of level warning."""
        self.write("warning", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Write an event of level error."""
        self.write("error", event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """Write an event of level error, with the traceback of the exception that is being handled."""
        self.write("error", event, {**fields, "trace": traceback.format_exc()})


log = Log()
