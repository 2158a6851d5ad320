"""What happened to one request, as its client and the servers saw it, on one clock in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened at a time."""

    at: float


@dataclass(frozen=True, slots=True)
class RequestSent(Event):
    """The client began to write the request."""

    sidecar: int
    cls: str
    size: int  # of the body
    connection: int

    def __str__(self) -> str:
        """The line of a report."""
        where = f"to sidecar {self.sidecar}, connection {self.connection}"
        return f"client writes {self.cls}, body {self.size} bytes, {where}"


@dataclass(frozen=True, slots=True)
class CopyReceived(Event):
    """A server read the last byte of an attempt: a complete copy of the request has reached it."""

    attempt: int
    server: int
    began: float  # when its first byte was read
    not_before: float  # its last byte came no sooner: the server's socket was seen empty then
    size: int

    def __str__(self) -> str:
        """The line of a report."""
        waited = self.at - self.began
        return f"COPY {self.attempt} is whole at server {self.server}: {self.size} bytes in {waited:.3f} s"


@dataclass(frozen=True, slots=True)
class AttemptRejected(Event):
    """The server answered 503 or 504 with `X-Not-Run: 1`, and did not run the attempt."""

    attempt: int

    def __str__(self) -> str:
        """The line of a report."""
        return f"attempt {self.attempt} is turned away, and never ran"


@dataclass(frozen=True, slots=True)
class AttemptEnded(Event):
    """The attempt is over for its server: it has answered, or has seen the connection end."""

    attempt: int

    def __str__(self) -> str:
        """The line of a report."""
        return f"attempt {self.attempt} is over for its server"


@dataclass(frozen=True, slots=True)
class ServerAction(Event):
    """Something that a server did; shown to readers, never judged."""

    attempt: int
    server: int
    text: str

    def __str__(self) -> str:
        """The line of a report."""
        return f"server {self.server}, attempt {self.attempt}: {self.text}"


@dataclass(frozen=True, slots=True)
class ResponseReceived(Event):
    """The client has the complete final answer."""

    code: int

    def __str__(self) -> str:
        """The line of a report."""
        return f"client got {self.code}"


@dataclass(frozen=True, slots=True)
class ConnectionClosed(Event):
    """The sidecar's side ended the client's connection before the answer was complete."""

    answer_begun: bool
    killed: bool  # the sidecar was killed: it could not have answered

    def __str__(self) -> str:
        """The line of a report."""
        answer = "part of an answer" if self.answer_begun else "no answer"
        return f"client's connection ended with {answer}{', the sidecar was killed' if self.killed else ''}"


@dataclass(frozen=True, slots=True)
class ClientDisconnected(Event):
    """The client closed its connection, or its sending on it."""

    reason: str

    def __str__(self) -> str:
        """The line of a report."""
        return f"client left: {self.reason}"


@dataclass(frozen=True, slots=True)
class ClientHalfClosed(Event):
    """The client ended its sending after the complete request, and waits for the answer; never judged."""

    def __str__(self) -> str:
        """The line of a report."""
        return "client has ended its sending, and waits for the answer"


@dataclass(frozen=True, slots=True)
class ProcessEvent(Event):
    """Something that happened to a sidecar or a server as a whole; shown to readers, never judged."""

    text: str

    def __str__(self) -> str:
        """The line of a report."""
        return self.text
