"""Parses the head of a request into its class, deadline, key and other attributes.

The header fields of a request (`X-Deadline`, `X-Key` ...) become fields of an `IncomingRequest` here.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from hashlib import blake2b

import httptools

from ..core.body import Body
from ..core.ports import IncomingRequest
from ..errors import OchreflowError
from ..policy.interface import Effect, RequestClass, Settings

DEADLINE_PATTERN = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
DEADLINE_UNITS_NS = {b"m": 1_000_000, b"u": 1_000}
COST_PATTERN = re.compile(rb"\d{1,12}(?:\.\d{1,9})?")  # a cost in microseconds
COST_UNIT_NS = 1000
KEY_DIGEST_BYTES = 8


class RequestError(OchreflowError):
    """A request that the frontend answers itself, without the decision module."""

    def __init__(self, code: int, text: str, class_index: int | None = None) -> None:
        """Respond to the client with `code` and `text`."""
        super().__init__(text)
        self.code = code
        self.class_index = class_index  # None if unknown; the request is not counted then
        self.keep_alive = True
        self.reserved_bytes = 0  # memory reserved while it is queued


@dataclass(slots=True, eq=False)
class HttpRequest(IncomingRequest):
    """A request as received from its client."""

    method: bytes
    target: bytes
    header_lines: bytes  # as they are forwarded
    keep_alive: bool
    reserved_bytes: int = 0  # memory reserved for the request without its body
    is_http_1_0: bool = False  # its client does not understand chunked encoding


class RequestParser:
    """Parses requests by the classes and tenants of the settings."""

    def __init__(self, settings: Settings) -> None:
        """Index the classes and tenants by name."""
        self.specs = settings.classes
        self.classes = {spec.name.encode(): number for number, spec in enumerate(settings.classes)}
        self.tenants = {tenant.name.encode(): number for number, tenant in enumerate(settings.tenants)}

    def parse(  # noqa: PLR0913  # a record of these would be one more object for each request
        self,
        now_ns: int,
        method: bytes,
        target: bytes,
        headers: dict[bytes, bytes],
        lines: bytes,
        body: Body,
        *,
        keep_alive: bool,
    ) -> HttpRequest:
        """Parse a head, with `headers` by lower-case name and `lines` to forward; RequestError if invalid."""
        class_index = self._parse_class(target)
        spec = self.specs[class_index]
        request_id = _parse_request_id(spec, class_index, method, headers)
        timeout_ns = spec.deadline_ns
        if (value := headers.get(b"x-deadline")) is not None:
            # The deadline of the class covers all attempts; a client cannot extend it.
            timeout_ns = min(timeout_ns, _parse_deadline(value))
        tenant = self._parse_tenant(headers.get(b"x-tenant")) if self.tenants else 0
        cost = _parse_cost(headers.get(b"x-cost-hint"))
        value = headers.get(b"x-key")
        return HttpRequest(
            request_id,
            class_index,
            tenant,
            _hash_key(value) if value else 0,
            timeout_ns,
            now_ns + timeout_ns,
            cost,
            headers.get(b"x-retry") == b"1",
            method == b"POST",
            body,
            method,
            target,
            lines,
            keep_alive,
        )

    def _parse_class(self, target: bytes) -> int:
        path = target
        if not path.startswith(b"/"):  # the absolute form, as sent to a proxy
            try:
                path = httptools.parse_url(target).path or b"/"
            except httptools.HttpParserInvalidURLError:
                raise RequestError(400, "the target is no path") from None
        name = path[1:].split(b"/", 1)[0].split(b"?", 1)[0]
        class_index = self.classes.get(name)
        if class_index is None:
            raise RequestError(404, "unknown class")
        return class_index

    def _parse_tenant(self, value: bytes | None) -> int:
        if value is None:
            return 0
        if value not in self.tenants:
            raise RequestError(400, "unknown tenant")
        return self.tenants[value]


def _parse_request_id(
    spec: RequestClass, class_index: int, method: bytes, headers: dict[bytes, bytes]
) -> bytes:
    """Return the request id, if the request has the method and the headers that its class requires."""
    if method != (b"GET" if spec.effect is Effect.IDEMPOTENT else b"POST"):
        raise RequestError(405, "the method is not that of the class", class_index)
    request_id = headers.get(b"x-request-id")
    if not request_id:
        raise RequestError(400, "X-Request-Id is missing", class_index)
    # Without the key no server could detect a duplicate, so a retry could run the request twice.
    if spec.effect is Effect.IDEMPOTENT_WITH_KEY and not headers.get(b"idempotency-key"):
        raise RequestError(400, "Idempotency-Key is missing", class_index)
    return request_id


def _parse_deadline(value: bytes) -> int:
    """Return the timeout in nanoseconds."""
    match = DEADLINE_PATTERN.fullmatch(value.strip())
    if match is None:
        raise RequestError(400, "X-Deadline is no number with a unit m or u")
    return int(float(match[1]) * DEADLINE_UNITS_NS[match[2]])


def _parse_cost(value: bytes | None) -> int:
    if value is None:
        return 0
    if COST_PATTERN.fullmatch(value) is None:
        raise RequestError(400, "X-Cost-Hint is no number")
    return int(float(value) * COST_UNIT_NS)


def _hash_key(value: bytes) -> int:
    return int.from_bytes(blake2b(value, digest_size=KEY_DIGEST_BYTES).digest(), "little")
