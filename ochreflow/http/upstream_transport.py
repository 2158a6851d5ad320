"""Carries attempts to servers over HTTP/1.1."""

from __future__ import annotations

from collections.abc import Callable

from ..core.body import MAX_BUFFERED_BYTES, Body
from ..core.ports import Address, AttemptObserver, IncomingRequest, UpstreamAttempt
from ..policy.interface import State, Status
from .exchange import Exchange
from .load_reports import LoadReportParser
from .request_parser import HttpRequest
from .response import Response
from .upstream import Upstreams

MS = 1_000_000


class HttpUpstreamTransport:
    """The upstream transport of HTTP/1.1: attempts and health checks on pooled connections."""

    def __init__(self, upstreams: Upstreams, report_columns: tuple[str, ...]) -> None:
        """Use a pool; `report_columns` are the fields of a load report."""
        self.upstreams = upstreams
        self.load_report_parser = LoadReportParser(report_columns)
        self.probe_path = b"/-/load" if report_columns else b"/-/healthy"

    def start(
        self, server: int, request: IncomingRequest, timeout: float | None, watcher: AttemptObserver
    ) -> UpstreamAttempt:
        """Begin an attempt; `timeout` in seconds, None: until its observer ends it."""
        assert isinstance(request, HttpRequest)
        payload = self._payload(request)
        body: Body | None = request.body
        if not request.is_write and request.body.complete and not request.body.size:
            body = None

        def head() -> bytes:
            remaining_ms = max(watcher.remaining_time_ns() // MS, 1)
            return b"%sX-Deadline: %dm\r\n%s" % (payload, remaining_ms, b"\r\n" if body is None else b"")

        def done(_: Exchange, status: Status, response: Response | None) -> None:
            report: tuple[float, ...] = ()
            if response is not None and response.load and self.load_report_parser.columns:
                report = self.load_report_parser.parse(response.load)
            watcher.ended(status, response, report)

        exchange = Exchange(
            head,
            done,
            MAX_BUFFERED_BYTES,
            watcher.written,
            body,
            watcher,
            watcher.write_timeout_s,
            idempotent=not request.is_write,
        )
        self.upstreams.start(server, exchange, timeout)
        return exchange

    @staticmethod
    def _payload(request: HttpRequest) -> bytes:
        """The head, less what is known only as it is written: the time left, and the framing of the body."""
        return b"%s %s HTTP/1.1\r\n%s" % (request.method, request.target, b"".join(request.headers))

    def probe(self, server: int, timeout: float, done: Callable[[Status, tuple[float, ...]], None]) -> None:
        """Check a server's health; `done` gets the status and the load report."""

        def ended(_: Exchange, status: Status, response: Response | None) -> None:
            report: tuple[float, ...] = ()
            if response is not None and self.load_report_parser.columns:
                report = self.load_report_parser.parse(response.load or response.body.strip())
            done(status, report)

        head = b"GET %s HTTP/1.1\r\nHost: probe\r\n\r\n" % self.probe_path
        self.upstreams.start(server, Exchange(lambda: head, ended, MAX_BUFFERED_BYTES), timeout)

    def update(self, server: int, address: Address, since_ms: int, state: State) -> None:
        """Take a server's entry of the endpoint list."""
        self.upstreams.update(server, address, since_ms, state)

    def forget(self, server: int) -> None:
        """Drop a server that is gone from the list."""
        self.upstreams.forget(server)

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        self.upstreams.close_idle(server)

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        self.upstreams.sweep()

    def close(self) -> None:
        """Close all connections."""
        self.upstreams.close()
