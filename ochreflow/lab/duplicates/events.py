"""Events of one request, as observed by its client and the servers, on one clock in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """An event at a time since the run began."""

    at: float


@dataclass(frozen=True, slots=True)
class RequestSent(Event):
    """The client began to write the request."""

    sidecar: int
    class_name: str
    size: int  # bytes of the body
    connection: int

    def __str__(self) -> str:
        """Return the line for the report."""
        where = f"to sidecar {self.sidecar}, connection {self.connection}"
        return f"client writes {self.class_name}, body {self.size} bytes, {where}"


@dataclass(frozen=True, slots=True)
class CopyReceived(Event):
    """A server read the last byte of an attempt and so has a complete copy of the request."""

    attempt: int
    server: int
    began_at: float  # when its first byte was read
    not_before: float  # earliest arrival of its last byte: the socket was seen empty then
    size: int

    def __str__(self) -> str:
        """Return the line for the report."""
        waited = self.at - self.began_at
        return f"COPY {self.attempt} is whole at server {self.server}: {self.size} bytes in {waited:.3f} s"


@dataclass(frozen=True, slots=True)
class AttemptRejected(Event):
    """The server answered 503 or 504 with `X-Not-Run: 1`, and did not run the attempt."""

    attempt: int

    def __str__(self) -> str:
        """Return the line for the report."""
        return f"attempt {self.attempt} is turned away, and never ran"


@dataclass(frozen=True, slots=True)
class AttemptEnded(Event):
    """The attempt ended at its server: it has responded, or has seen the connection close."""

    attempt: int

    def __str__(self) -> str:
        """Return the line for the report."""
        return f"attempt {self.attempt} is over for its server"


@dataclass(frozen=True, slots=True)
class ServerAction(Event):
    """An action of a server, which is printed but not judged."""

    attempt: int
    server: int
    text: str

    def __str__(self) -> str:
        """Return the line for the report."""
        return f"server {self.server}, attempt {self.attempt}: {self.text}"


@dataclass(frozen=True, slots=True)
class ResponseReceived(Event):
    """The client received the complete final response."""

    code: int

    def __str__(self) -> str:
        """Return the line for the report."""
        return f"client got {self.code}"


@dataclass(frozen=True, slots=True)
class ConnectionClosed(Event):
    """The sidecar closed the client's connection before the response was complete."""

    response_begun: bool
    killed: bool  # the sidecar was killed, so that it could not have responded

    def __str__(self) -> str:
        """Return the line for the report."""
        answer = "part of an answer" if self.response_begun else "no answer"
        return f"client's connection ended with {answer}{', the sidecar was killed' if self.killed else ''}"


@dataclass(frozen=True, slots=True)
class ClientDisconnected(Event):
    """The client closed its connection or its sending side, or stopped waiting."""

    reason: str

    def __str__(self) -> str:
        """Return the line for the report."""
        return f"client left: {self.reason}"


@dataclass(frozen=True, slots=True)
class ClientHalfClosed(Event):
    """The client shut down sending after the complete request and waits for the response; not judged."""

    def __str__(self) -> str:
        """Return the line for the report."""
        return "client has ended its sending, and waits for the answer"


@dataclass(frozen=True, slots=True)
class ProcessEvent(Event):
    """An event of a whole sidecar or server, which is printed but not judged."""

    text: str

    def __str__(self) -> str:
        """Return the line for the report."""
        return self.text
