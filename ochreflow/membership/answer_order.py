"""Decides which answers of discovery may be applied, so that an older list never replaces a newer one."""

from __future__ import annotations

from ..core.endpoints import EndpointUpdate
from .endpoint_list import EndpointListError


class AnswerOrder:
    """Owns the version of the known endpoint list and the number of accepted answers."""

    def __init__(self, version: int) -> None:
        """Start from the version of the list that is already known."""
        self.version: int | None = version  # None: only a complete list is accepted next
        self.answers_accepted = 0

    def require_complete_list(self) -> None:
        """Accept only a complete list next, of any version."""
        self.version = None

    def check(self, update: EndpointUpdate, accepted_before: int) -> EndpointUpdate:
        """Return the update to apply; raise EndpointListError if there is none.

        `accepted_before` is the number of answers that had been accepted when this one was requested. An
        answer that arrives after a newer answer to a later request is replaced by an update without entries.
        If the version decreased without such a request, discovery has lost its list.
        """
        if self.version is None:
            if not update.complete:
                msg = "received changes, but a complete list is needed first"
                raise EndpointListError(msg)
        elif update.version < self.version:
            if accepted_before != self.answers_accepted:
                return EndpointUpdate(self.version, complete=False, entries=[])
            if not update.complete:
                self.version = None
                msg = "the index of the list decreased: a complete list is needed next"
                raise EndpointListError(msg)
        return update

    def accept(self, update: EndpointUpdate) -> None:
        """Record that `update` is being applied."""
        self.version = update.version
        self.answers_accepted += 1
