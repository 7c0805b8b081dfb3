"""Tests of the HTTP/1.1 parsers, with the bytes split in all ways."""

from collections.abc import Iterable
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkcrank.protocol import http1

FIRST = (
    b"POST /reserve?x=1 HTTP/1.1\r\nHost: backend\r\nReq-Id: 9b1f\r\nX-Odd:  a b \r\n"
    b"Content-Length: 5\r\n\r\nhello"
)
SECOND = (
    b"POST /book HTTP/1.1\r\nHost: backend\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4;note=1\r\nWiki\r\nA\r\npedia in c\r\n0\r\nX-Trailer: 1\r\n\r\n"
)
THIRD = b"\r\nGET /proof HTTP/1.1\r\nHost: backend\r\nConnection: close\r\n\r\n"


def split(data: bytes, cuts: Iterable[int]) -> list[bytes]:
    offsets = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[start:end] for start, end in pairwise(offsets)]


def parse_requests(parts: Iterable[bytes]) -> list[http1.Request]:
    parser, parsed = http1.RequestParser(), []
    for part in parts:
        parser.feed(part)
        while (request := parser.next()) is not None:
            parsed.append(request)
    assert not parser.has_partial_request
    return parsed


def parse_response(parts: Iterable[bytes]) -> http1.Response:
    parser = http1.ResponseParser()
    for part in parts:
        parser.feed(part)
    return parser.response()


@given(st.lists(st.integers(0, 1000), max_size=12))
def test_request_parsing_does_not_depend_on_splits(cuts: list[int]) -> None:
    first, second, third = parse_requests(split(FIRST + SECOND + THIRD, cuts))
    assert (first.method, first.target, first.body) == (b"POST", b"/reserve?x=1", b"hello")
    assert first.fields.get_single(b"x-odd") == b"a b"
    assert first.keep_alive and second.keep_alive and not third.keep_alive
    assert second.body == b"Wikipedia in c"
    assert (third.method, third.body) == (b"GET", b"")


def test_requests_are_parsed_byte_by_byte() -> None:
    data = FIRST + SECOND + THIRD
    assert len(parse_requests(data[i : i + 1] for i in range(len(data)))) == 3


@given(st.binary(max_size=300), st.lists(st.integers(0, 600), max_size=8), st.booleans())
def test_response_parsing_does_not_depend_on_splits(body: bytes, cuts: list[int], chunked: bool) -> None:
    if chunked:
        parts = [body[i : i + 50] for i in range(0, len(body), 50)]
        text = http1.encode_response_head(200, ()) + b"".join(map(http1.encode_chunk, [*parts, b""]))
    else:
        text = http1.encode_response(200, (), body)
    found = parse_response(split(text, cuts))
    assert (found.status, found.body, found.keep_alive) == (200, body, True)


@given(st.binary(max_size=400), st.lists(st.integers(0, 400), max_size=6))
def test_arbitrary_bytes_give_the_same_result_however_they_are_split(data: bytes, cuts: list[int]) -> None:
    """A parser raises nothing but `MessageError`, and the same one for every split."""

    def outcome(parts: list[bytes]) -> object:
        parser, parsed = http1.RequestParser(), []
        try:
            for part in parts:
                parser.feed(part)
                while (request := parser.next()) is not None:
                    parsed.append(request)
        except http1.MessageError as error:
            return parsed, error.status
        return parsed, None

    assert outcome([data]) == outcome(split(data, cuts))


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", 400),  # no Host
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505),
        (b"GET /\x01 HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nBad Name: 1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 41943041\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2800001\r\n", 413),
        (b"POST / HTTP/1.1\r\nHost: a\r\nExpect: miracles\r\nContent-Length: 1\r\n\r\n", 417),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 17000, 431),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 17000 + b"\r\n\r\n", 431),
    ],
)
def test_malformed_or_ambiguous_requests_are_rejected(text: bytes, status: int) -> None:
    with pytest.raises(http1.MessageError) as caught:
        parse_requests([text])
    assert caught.value.status == status


@pytest.mark.parametrize(
    "text",
    [
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",  # the body ends where the connection ends
        b"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n",
    ],
)
def test_malformed_responses_are_rejected(text: bytes) -> None:
    with pytest.raises(http1.MessageError):
        parse_response([text])


def test_a_truncated_response_is_rejected() -> None:
    with pytest.raises(http1.MessageError):
        parse_response([b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell"])


def test_extra_bytes_after_a_response_prevent_keep_alive() -> None:
    found = parse_response([http1.encode_response(200, (), b"one") + b"HTTP/1.1"])
    assert found.body == b"one" and not found.keep_alive


def test_interim_responses_are_ignored() -> None:
    found = parse_response([http1.CONTINUE_RESPONSE + b"HTTP/1.0 503 \r\nContent-Length: 2\r\n\r\nno"])
    assert (found.status, found.body, found.keep_alive) == (503, b"no", False)


def test_header_lines_are_forwarded_unchanged_except_hop_by_hop_ones() -> None:
    (request,) = parse_requests(
        [
            b"GET / HTTP/1.1\r\nHost: a\r\nX-Odd:\t v\r\nConnection: keep-alive, X-Mine\r\n"
            b"X-Mine: 1\r\nTE: trailers\r\nREQ-ID: 7\r\n\r\n"
        ]
    )
    assert list(request.fields.forwarded_lines()) == [b"Host: a", b"X-Odd:\t v", b"REQ-ID: 7"]


def test_expect_continue_is_reported_until_the_body_arrives() -> None:
    parser = http1.RequestParser()
    parser.feed(b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    assert parser.next() is None and parser.expects_continue and parser.has_partial_request
    parser.feed(b"ok")
    request = parser.next()
    assert request is not None and request.body == b"ok" and not parser.expects_continue
