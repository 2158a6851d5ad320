"""HTTP messages and faults that the tests of the fault tool share."""

import msgspec

from ochreflow.lab.fault.script import Fault

REQUEST = b"POST /order HTTP/1.1\r\nX-Request-Id: a\r\nContent-Length: 10\r\n\r\n0123456789"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Load: 1\r\n\r\nabcdefghij"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED_RESPONSE = CHUNKED_HEAD + b"5\r\nabcde\r\n3;x=1\r\nfgh\r\n0\r\nX-T: y\r\n\r\n"
INTERIM_RESPONSE = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"


def fault(do, side="answer", place="start", **more):
    return msgspec.convert({"do": do, "side": side, "place": place, **more}, Fault)
