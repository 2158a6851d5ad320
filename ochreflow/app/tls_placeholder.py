"""Leaves out the standard library's `ssl`, which the event loops import but no connection of a sidecar uses.

OpenSSL takes 5 MB of resident memory, a sixth of what the smallest sidecar may have.
"""

from __future__ import annotations

import sys
from types import ModuleType

EXCEPTIONS = (
    "CertificateError",
    "SSLError",
    "SSLSyscallError",
    "SSLWantReadError",
    "SSLZeroReturnError",
)
CLASSES = ("MemoryBIO", "SSLContext")
ERROR_CODES = {  # as in OpenSSL's ssl.h
    "SSL_ERROR_WANT_READ": 2,
    "SSL_ERROR_WANT_WRITE": 3,
    "SSL_ERROR_SYSCALL": 5,
    "SSL_ERROR_ZERO_RETURN": 6,
}


def leave_out_tls() -> None:
    """Put a module without functions in the place of `ssl`, unless that is loaded already.

    `hashlib` does without OpenSSL too: Python's own modules have all algorithms that are used.
    """
    if "ssl" in sys.modules or "_hashlib" in sys.modules:
        return
    placeholder = ModuleType("ssl", "No connection uses TLS.")
    for name in EXCEPTIONS:
        setattr(placeholder, name, type(name, (OSError,), {}))
    for name in CLASSES:
        setattr(placeholder, name, type(name, (), {}))
    for name, code in ERROR_CODES.items():
        setattr(placeholder, name, code)
    placeholder.__dict__["create_default_context"] = None
    sys.modules["ssl"] = placeholder
    sys.modules["_hashlib"] = None  # type: ignore[assignment]  # an import fails, as where it isn't installed
