"""Errors of the adapter: the input is no frame of the wire, and each class says in which way."""

from __future__ import annotations

from ..errors import OchreflowError


class FrameError(OchreflowError):
    """The input is no frame of this protocol; nothing that follows it can be read."""


class TruncatedInputError(FrameError):
    """The input ended inside a frame."""

    def __init__(self, missing: int) -> None:
        """Take how many bytes are missing."""
        super().__init__(f"input ended {missing} bytes short")


class ShortFrameError(FrameError):
    """A frame is too short for the clock and the number of records."""

    def __init__(self) -> None:
        """Need nothing: the header has one size."""
        super().__init__("frame shorter than its header")


class RecordCountError(FrameError):
    """A frame announces more records than it has room for."""

    def __init__(self, size: int, count: int) -> None:
        """Take the frame's size in bytes, without its length field, and the announced number of records."""
        super().__init__(f"frame of {size} bytes cannot hold {count} records")


class TailRangeError(FrameError):
    """A field points behind the end of the frame's tail."""

    def __init__(self, end: int) -> None:
        """Take the offset in the tail, in bytes, that the field reaches to."""
        super().__init__(f"tail ends before byte {end}")


class UnknownListError(FrameError):
    """`ENDPOINTS` names a list that no `SNAPSHOT_ROWS` has defined."""

    def __init__(self, number: int) -> None:
        """Take the list's number."""
        super().__init__(f"list {number} was never sent")


class UnknownClassError(FrameError):
    """`INBOUND` names a class that the instance's settings do not have."""

    def __init__(self, request_id: int, class_index: int) -> None:
        """Take the request's id and the position that it names in the list of classes."""
        super().__init__(f"request {request_id} is of unknown class {class_index}")


class UnknownEventError(FrameError):
    """An event record begins with a code that the protocol does not have."""

    def __init__(self, code: int) -> None:
        """Take the code."""
        super().__init__(f"event code {code} is unknown")
