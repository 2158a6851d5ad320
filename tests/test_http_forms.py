"""Unusual and malformed HTTP/1.1 requests: each gets the response that the standard requires.

A request is forwarded only if its framing is unambiguous; otherwise sidecar and server could disagree about
where it ends (request smuggling).
"""

import asyncio

import pytest
from net_helpers import (
    HOST,
    WAIT_TIMEOUT_S,
    FakePeer,
    Sidecar,
    answer_ok,
    config,
    endpoint_update,
    entry,
    http_request,
    read_message,
    run,
)

HEAD = b"X-Request-Id: ab\r\n"
HOSTS = b"Host: origin.svc\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
ABC = b"3\r\nabc\r\n0\r\n\r\n"


def form(line=b"POST /order HTTP/1.1", fields=b"", body=b"", head=HOSTS + HEAD):
    return line + b"\r\n" + head + fields + b"\r\n" + body


FORMS = {  # name: the request, the code of its response, the body forwarded to a server (None: not forwarded)
    "get": (form(b"GET /lookup HTTP/1.1"), 200, b""),
    "absolute target": (form(b"GET http://origin.svc/lookup HTTP/1.1"), 200, b""),
    "empty lines in front": (b"\r\n\r\n" + form(b"GET /lookup HTTP/1.1"), 200, b""),
    "1.0": (form(b"POST /order HTTP/1.0", b"Content-Length: 3\r\n", b"abc"), 200, b"abc"),
    "1.0 without host": (form(b"GET /lookup HTTP/1.0", head=HEAD), 200, b""),
    "length": (form(fields=b"Content-Length: 3\r\n", body=b"abc"), 200, b"abc"),
    "length with leading zeros": (form(fields=b"Content-Length: 003\r\n", body=b"abc"), 200, b"abc"),
    "empty body": (form(fields=b"Content-Length: 0\r\n"), 200, b""),
    "chunks": (form(fields=CHUNKED, body=ABC), 200, b"abc"),
    "chunks in upper case": (form(fields=b"transfer-encoding: CHUNKED\r\n", body=ABC), 200, b"abc"),
    "chunk extension": (form(fields=CHUNKED, body=b"3;a=b\r\nabc\r\n0\r\n\r\n"), 200, b"abc"),
    "trailer": (form(fields=CHUNKED, body=b"3\r\nabc\r\n0\r\nX-Key: z\r\n\r\n"), 200, b"abc"),
    "header without a value": (form(fields=b"X-Empty:\r\nContent-Length: 0\r\n"), 200, b""),
    "two hosts": (form(fields=b"Host: other\r\nContent-Length: 0\r\n"), 400, None),
    "the same host twice": (form(fields=HOSTS + b"Content-Length: 0\r\n"), 400, None),
    "two hosts, 1.0": (form(b"GET /lookup HTTP/1.0", b"host: other\r\n"), 400, None),
    "1.0 in chunks": (form(b"POST /order HTTP/1.0", CHUNKED, ABC), 400, None),
    "1.0 in chunks, kept alive": (
        form(b"POST /order HTTP/1.0", b"Connection: keep-alive\r\n" + CHUNKED, ABC),
        400,
        None,
    ),
    "1.0 in chunks with a length": (
        form(b"POST /order HTTP/1.0", b"Content-Length: 3\r\n" + CHUNKED, ABC),
        400,
        None,
    ),
    "length and chunks": (form(fields=b"Content-Length: 13\r\n" + CHUNKED, body=ABC), 400, None),
    "two lengths": (form(fields=b"Content-Length: 3\r\nContent-Length: 4\r\n", body=b"abcd"), 400, None),
    "length in a list": (form(fields=b"Content-Length: 3, 3\r\n", body=b"abc"), 400, None),
    "negative length": (form(fields=b"Content-Length: -3\r\n", body=b"abc"), 400, None),
    "length with a sign": (form(fields=b"Content-Length: +3\r\n", body=b"abc"), 400, None),
    "length in hex": (form(fields=b"Content-Length: 0x3\r\n", body=b"abc"), 400, None),
    "unsupported coding": (form(fields=b"Transfer-Encoding: gzip, chunked\r\n", body=ABC), 501, None),
    "coding twice": (form(fields=CHUNKED + CHUNKED, body=ABC), 400, None),
    "invalid chunk size": (form(fields=CHUNKED, body=b"x\r\nabc\r\n0\r\n\r\n"), 400, None),
    "negative chunk size": (form(fields=CHUNKED, body=b"-3\r\nabc\r\n0\r\n\r\n"), 400, None),
    "chunk longer than its size": (form(fields=CHUNKED, body=b"2\r\nabc\r\n0\r\n\r\n"), 400, None),
    "space before the colon": (form(fields=b"Content-Length : 3\r\n", body=b"abc"), 400, None),
    "folded line": (form(fields=b"X-Folded: a\r\n b\r\nContent-Length: 0\r\n"), 400, None),
    "no colon": (form(fields=b"nothing\r\nContent-Length: 0\r\n"), 400, None),
    "NUL in a value": (form(fields=b"X-Nought: a\x00b\r\nContent-Length: 0\r\n"), 400, None),
    "another version": (form(b"POST /order HTTP/3.1", b"Content-Length: 0\r\n"), 400, None),
    "HTTP/2 preface": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400, None),
    "no target": (form(b"GET HTTP/1.1"), 400, None),
    "unknown method": (form(b"STEAL /order HTTP/1.1"), 400, None),
    "upgrade": (form(b"GET /lookup HTTP/1.1", b"Connection: Upgrade\r\nUpgrade: h2c\r\n"), 400, None),
}


@pytest.mark.parametrize("name", FORMS)
def test_each_form_gets_the_standard_response_and_is_forwarded_only_if_valid(tmp_path, name):
    data, code, forwarded_body = FORMS[name]

    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            # A pipelined second request, which must not be read if the end of the first one is unknown.
            writer.write(data + http_request("lookup", "hidden"))
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                assert (await read_message(reader)).code == code
                if forwarded_body is None:
                    rest = await reader.read()
                    assert not rest or rest.startswith(b"HTTP/1.1 200")
                writer.close()
            forwarded = [got for got in fake.received if got.headers["x-request-id"] == "ab"]
            assert [got.body for got in forwarded] == ([] if forwarded_body is None else [forwarded_body])

    run(scenario())


@pytest.mark.parametrize(
    "name", ["1.0 in chunks, kept alive", "length and chunks", "chunk longer than its size"]
)
def test_data_after_a_message_with_ambiguous_framing_is_not_read(tmp_path, name):
    async def scenario():
        fake = await FakePeer(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(endpoint_update(1, entry("s1", fake.address)))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(FORMS[name][0] + http_request("lookup", "hidden"))
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                response = await read_message(reader)
                assert response.headers["connection"] == "close" and await reader.read() == b""
            assert not fake.received
            writer.close()

    run(scenario())
