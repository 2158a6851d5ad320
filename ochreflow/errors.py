"""The root of the errors that this package raises across module borders."""

from __future__ import annotations


class OchreflowError(Exception):
    """Base class of every error of this package; its text says what failed, where, and what was expected."""
