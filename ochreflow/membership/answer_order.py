"""Which answers of discovery may be applied: guards the list against one that is older than what is known."""

from __future__ import annotations

from ..core.endpoints import EndpointUpdate
from .endpoint_list import EndpointListError


class AnswerOrder:
    """Owns the version of the list that is known, and how many answers have been accepted."""

    def __init__(self, version: int) -> None:
        """Start from the version of a list that is known already."""
        self.version: int | None = version  # None: a complete list is needed first
        self.answers_accepted = 0

    def require_complete_list(self) -> None:
        """Accept nothing but a complete list next, whatever its version."""
        self.version = None

    def check(self, update: EndpointUpdate, accepted_before: int) -> EndpointUpdate:
        """The update to apply; EndpointListError if there is none.

        `accepted_before` is how many answers had been accepted as this one was asked for. An answer that
        comes after a newer one to a later request is replaced by an update without entries. A version that
        went back without such a request means that discovery has lost its list.
        """
        if self.version is None:
            if not update.complete:
                msg = "changes came in place of the whole list"
                raise EndpointListError(msg)
        elif update.version < self.version:
            if accepted_before != self.answers_accepted:
                return EndpointUpdate(self.version, complete=False, entries=[])
            if not update.complete:
                self.version = None
                msg = "the index went back"
                raise EndpointListError(msg)
        return update

    def accept(self, update: EndpointUpdate) -> None:
        """Note that this update is applied now."""
        self.version = update.version
        self.answers_accepted += 1
