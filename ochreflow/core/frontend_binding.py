"""A frontend with the state that the core keeps for it."""

from __future__ import annotations

from .ports import Frontend, UpstreamTransport
from .request_ids import RequestIdRegistry


class FrontendBinding:
    """A frontend, the transport of its attempts, its response counts and its request ids."""

    def __init__(
        self,
        label: str,
        frontend: Frontend,
        upstream_transport: UpstreamTransport,
        counts: list[int],
        request_ids: RequestIdRegistry,
    ) -> None:
        """Bind a frontend; `label` names it in statistics, `counts` are its responses by disposition."""
        self.label = label
        self.frontend = frontend
        self.upstream_transport = upstream_transport
        self.counts = counts
        self.request_ids = request_ids  # ids are unique within one frontend only
