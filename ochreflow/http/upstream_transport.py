"""Sends attempts and health checks to servers over HTTP/1.1."""

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

NS_PER_MS = 1_000_000


class HttpUpstreamTransport:
    """The HTTP/1.1 upstream transport, which uses pooled connections."""

    def __init__(self, upstreams: Upstreams, report_columns: tuple[str, ...]) -> None:
        """Send on connections of `upstreams`; `report_columns` names the fields of a load report."""
        self.upstreams = upstreams
        self.load_report_parser = LoadReportParser(report_columns)
        self.probe_path = b"/-/load" if report_columns else b"/-/healthy"

    def start(
        self, server: int, request: IncomingRequest, timeout: float | None, observer: AttemptObserver
    ) -> UpstreamAttempt:
        """Start an attempt; `timeout` is in seconds, None if it is set once the body is complete."""
        assert isinstance(request, HttpRequest)
        request_lines = self._format_request_lines(request)
        body: Body | None = request.body
        if not request.is_write and request.body.complete and not request.body.size:
            body = None

        def head() -> bytes:
            remaining_ms = max(observer.remaining_time_ns() // NS_PER_MS, 1)
            return b"%sX-Deadline: %dm\r\n%s" % (
                request_lines,
                remaining_ms,
                b"\r\n" if body is None else b"",
            )

        def done(_: Exchange, status: Status, response: Response | None) -> None:
            report: tuple[float, ...] = ()
            if response is not None and response.load and self.load_report_parser.columns:
                report = self.load_report_parser.parse(response.load)
            observer.ended(status, response, report)

        exchange = Exchange(
            head,
            done,
            MAX_BUFFERED_BYTES,
            observer.written,
            body,
            observer,
            observer.write_timeout_s,
            observer.begin_wait,
        )
        self.upstreams.start(server, exchange, timeout)
        return exchange

    @staticmethod
    def _format_request_lines(request: HttpRequest) -> bytes:
        """Return request line and header lines; the deadline and the body's framing are added on sending."""
        return b"%s %s HTTP/1.1\r\n%s" % (request.method, request.target, request.header_lines)

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
        """Apply a server's entry of the endpoint list."""
        self.upstreams.update(server, address, since_ms, state)

    def forget(self, server: int) -> None:
        """Forget a server that was removed from the endpoint list."""
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
