"""Structured logs: structlog writes the events of `core.log` as JSON lines or for a console."""

from __future__ import annotations

import sys

import structlog

from ..core.log import Sink


def structured_sink(format_name: str) -> Sink:
    """Return a sink that writes to standard error in the format "json" or "console"."""
    render: structlog.typing.Processor
    if format_name == "json":
        render = structlog.processors.JSONRenderer(sort_keys=False)
    else:
        render = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    logger = structlog.wrap_logger(
        structlog.WriteLogger(sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            render,
        ],
    )

    def sink(level: str, event: str, fields: dict[str, object]) -> None:
        getattr(logger, level)(event, **fields)

    return sink
