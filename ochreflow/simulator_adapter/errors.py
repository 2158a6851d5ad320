"""Errors of the adapter: one class for each way in which the input violates the wire protocol."""

from __future__ import annotations

from ..errors import OchreflowError


class FrameError(OchreflowError):
    """The input is not a valid frame; nothing after that frame can be read."""


class TruncatedInputError(FrameError):
    """The input ended inside a frame."""

    def __init__(self, missing: int) -> None:
        """Report the number of missing bytes."""
        super().__init__(f"input ended inside a frame: {missing} bytes are missing")


class ShortFrameError(FrameError):
    """A frame is too short for its header, the clock and the number of records."""

    def __init__(self) -> None:
        """Use a fixed text, since the header has a fixed size."""
        super().__init__("frame is shorter than its header")


class RecordCountError(FrameError):
    """The record count of a frame is more than its size allows."""

    def __init__(self, size: int, count: int) -> None:
        """Report the frame's size in bytes, without its length field, and its record count."""
        super().__init__(f"frame of {size} bytes cannot hold {count} records")


class TailRangeError(FrameError):
    """A field refers to data beyond the end of the frame's tail."""

    def __init__(self, end: int) -> None:
        """Report the end of that data, as an offset into the tail in bytes."""
        super().__init__(f"a field refers to data up to byte {end} of the tail, which is shorter")


class UnknownListError(FrameError):
    """An `ENDPOINTS` record refers to a list that no `SNAPSHOT_ROWS` record has defined."""

    def __init__(self, number: int) -> None:
        """Report the list's number."""
        super().__init__(f"ENDPOINTS refers to list {number}, which no SNAPSHOT_ROWS has defined")


class UnknownClassError(FrameError):
    """An `INBOUND` record refers to a request class that the instance's settings do not define."""

    def __init__(self, request_id: int, class_index: int) -> None:
        """Report the request's id and its index into the list of classes."""
        super().__init__(f"request {request_id} has the unknown class index {class_index}")


class UnknownEventError(FrameError):
    """An event record has a code that the protocol does not define."""

    def __init__(self, code: int) -> None:
        """Report the code."""
        super().__init__(f"unknown event code {code}")
