"""The base class of the exceptions that this package raises across module boundaries."""

from __future__ import annotations


class OchreflowError(Exception):
    """Base class of all errors of this package; the text says what failed, where, and what was expected."""
