"""The program's log: events by name, with typed fields, at a bounded rate.

This is the only list of events. A sink that the process sets writes them: by default plain lines, which need
only the standard library.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

# The text of each event. Fields that don't stand in the text are appended by `format_event`.
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
    "discovery_failed": "discovery failed: {reason}",
    "discovery_poll_overdue": "discovery has not answered a poll in time: another one is sent beside it",
    "discovery_recovered": "discovery has recovered",
    "inherited_list_invalid": "the inherited endpoint list is invalid: {reason}",
    "reload_rejected": "reload rejected, the configuration is unchanged: {reason}",
    "reload_applied": "reload applied: {changed}",
    "hot_restart_unavailable": "other processes of this sidecar can't be found: {reason}",
    "hot_restart_message_invalid": "invalid message from another process: its connection is closed",
    "hot_restart_peer_connected": "process {process} serves beside this one",
    "hot_restart_peer_disconnected": "process {process} is gone",
    "accept_paused": "no file descriptor left ({reason}): {closed} idle connections closed, "
    "accepting paused for {seconds} s",
    "connection_rejected": "connection from {address} rejected: {reason}",
    "balancer_message": "{message}",
    "final_response": "{frontend} request {request} {outcome}: {reason}",
    "attempt": "{frontend} request {request} attempt {attempt} at server {server}: {status}",
    "internal_error": "{reason}",
}
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
RATE_WINDOW_S = 1.0
MAX_LINES_PER_SECOND = 100  # lines of one event; a list of servers may name some dozens at once

Sink = Callable[[str, str, dict[str, object]], None]


def format_event(event: str, fields: dict[str, object]) -> str:
    """Return the plain words of an event."""
    words = EVENTS.get(event, event)
    message = words.format_map(fields) if "{" in words else words
    rest = [f"{key}={value}" for key, value in fields.items() if f"{{{key}}}" not in words]
    return " ".join([message, *rest])


def write_plain_line(level: str, event: str, fields: dict[str, object]) -> None:
    """Write one line on standard error, and the trace of an exception after it."""
    fields = dict(fields)
    trace = fields.pop("trace", "")
    print(f"{level.upper()} ochreflow: {format_event(event, fields)}", file=sys.stderr, flush=True)
    if trace:
        print(trace, file=sys.stderr, end="", flush=True)


@dataclass(slots=True)
class RateWindow:
    """How often one event came within a second."""

    started_s: float
    written: int = 0
    suppressed: int = 0  # since one was last written


class Log:
    """Where all parts write. Events over their bound are counted, and the next one written says how many."""

    def __init__(self, sink: Sink = write_plain_line, clock: Callable[[], float] = monotonic) -> None:
        """Write to `sink`; `clock` gives seconds."""
        self.clock = clock
        self.configure(sink)

    def configure(self, sink: Sink, min_level: str = "info", per_second: int = MAX_LINES_PER_SECOND) -> None:
        """Write to this sink, nothing below `min_level`, and each event `per_second` times at most."""
        self.sink = sink
        self.min_level = LEVELS[min_level]
        self.debugging = min_level == "debug"  # asked for each request: it must cost nothing otherwise
        self.per_second = per_second
        self.windows: dict[str, RateWindow] = {}  # by event

    def write(self, level: str, event: str, fields: dict[str, object]) -> None:
        """Write an event, unless its level is too low or it came too often within this second."""
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
        """Write an error with the trace of the exception that is being handled."""
        self.write("error", event, {**fields, "trace": traceback.format_exc()})


log = Log()
