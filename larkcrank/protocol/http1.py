"""Parses and encodes HTTP/1.1 messages, without I/O.

A parser is fed bytes as they arrive and returns the same messages however the bytes were split. It rejects
whatever two implementations could read as two different messages, because a proxy must not forward that.
"""

import re
from collections.abc import Iterable
from dataclasses import replace

from larkcrank.protocol.body import BodyDecoder
from larkcrank.protocol.messages import HOP_BY_HOP as HOP_BY_HOP
from larkcrank.protocol.messages import MAX_HEAD_BYTES as MAX_HEAD_BYTES
from larkcrank.protocol.messages import Field as Field
from larkcrank.protocol.messages import Fields as Fields
from larkcrank.protocol.messages import MessageError as MessageError
from larkcrank.protocol.messages import Request as Request
from larkcrank.protocol.messages import Response as Response
from larkcrank.protocol.messages import ResponseHead as ResponseHead

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a longer body is forwarded in parts as it arrives
MAX_BODY_BYTES = 40 << 20
MAX_FIELDS = 100  # in one head
# What a body takes while it is buffered, as a multiple of its size: it grows in place and is copied at last.
BODY_COPIES = 3

_TOKEN_PATTERN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET_PATTERN = re.compile(rb"[!-~]+")
_REQUEST_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([!-~]+) HTTP/(\d)\.(\d)")
_STATUS_LINE = re.compile(rb"HTTP/(\d)\.(\d) (\d{3})(?: ([\t -~\x80-\xff]*))?")
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_EMPTY_LINES = re.compile(rb"(?:\r\n)+")
_CONTENT_LENGTH_PATTERN = re.compile(rb"\d{1,15}")

REASON_PHRASES = {
    100: b"Continue",
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    414: b"URI Too Long",
    417: b"Expectation Failed",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}


def _parse_fields(lines: list[bytes]) -> Fields:
    fields = []
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not _TOKEN_PATTERN.fullmatch(name):  # this rejects folded lines too
            raise MessageError(400, "malformed header line")
        value = value.strip(b" \t")
        if _CONTROL_CHARACTER.search(value):
            raise MessageError(400, "control character in a header")
        fields.append(Field(name.lower(), value, line))
    return Fields(fields)


def _is_keep_alive(major: bytes, minor: bytes, fields: Fields) -> bool:
    if major != b"1":
        raise MessageError(505, "not HTTP/1")
    options = fields.get_list(b"connection")
    return b"close" not in options and (minor != b"0" or b"keep-alive" in options)


def _take_head_lines(buffer: bytearray) -> list[bytes] | None:
    """Remove the head from the buffer and return its lines, or None as long as it is incomplete."""
    end = buffer.find(b"\r\n\r\n")
    # Of the 4 bytes that end the head, 3 may have arrived.
    if end > MAX_HEAD_BYTES or (end < 0 and len(buffer) > MAX_HEAD_BYTES + 3):
        raise MessageError(431, "head too large")
    if end < 0:
        return None
    lines = bytes(memoryview(buffer)[:end]).split(b"\r\n")
    del buffer[: end + 4]
    if len(lines) > MAX_FIELDS + 1:  # the first line is no field
        raise MessageError(431, "too many header fields")
    return lines


def _content_length(fields: Fields) -> int | None:
    """Return the value of Content-Length, or None if it is absent."""
    values = set(fields.get_all(b"content-length"))
    if not values:
        return None
    if len(values) > 1 or not _CONTENT_LENGTH_PATTERN.fullmatch(value := values.pop()):
        raise MessageError(400, "malformed or contradictory Content-Length")
    return int(value)


def _is_chunked(fields: Fields) -> bool:
    codings = fields.get_list(b"transfer-encoding")
    if not codings:
        return False
    if codings != [b"chunked"]:
        raise MessageError(400, "unknown transfer coding")
    if fields.get_all(b"content-length"):
        raise MessageError(400, "both Content-Length and Transfer-Encoding")
    return True


class RequestParser:
    """Parses the requests of one connection."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._max_body_bytes = max_body_bytes
        self._buffer = bytearray()
        self._head: Request | None = None
        self._body_decoder = BodyDecoder(0, 0, 0)
        self._body = bytearray()
        self.expects_continue = False  # whether the client waits for 100 Continue before it sends the body
        # Whether the last request was returned before the end of its body; `take_part` returns the rest.
        self.is_streaming = False

    @property
    def has_partial_request(self) -> bool:
        """Whether some bytes of the next request, or of a streamed body, were received but not all."""
        return bool(self._buffer) or self._head is not None or self.is_streaming

    @property
    def awaits_body(self) -> bool:
        """Whether a head has arrived, and too little of its body for `next` to return the request."""
        return self._head is not None

    @property
    def has_sized_body(self) -> bool:
        """Whether the bytes that come next belong to a body of known length."""
        return self.has_body_ahead and not self._body_decoder.is_chunked

    @property
    def has_body_ahead(self) -> bool:
        """Whether the bytes that come next belong to a body."""
        return self._head is not None or self.is_streaming

    @property
    def held_bytes(self) -> int:
        """About how much memory the request that is arriving takes, or will take when it is complete."""
        if self._head is None:
            return len(self._buffer)
        body_bytes = max(self._head.content_length or 0, len(self._body))
        return len(self._buffer) + BODY_COPIES * body_bytes + self._head.fields.held_bytes

    @property
    def body_bytes_left(self) -> int | None:
        """How many bytes must still be fed until the body is complete; None if its length is unknown."""
        if self._body_decoder.is_chunked:
            return None
        return self._body_decoder.bytes_left - len(self._buffer)

    def discard(self) -> None:
        """Drop what has arrived, when nothing more is parsed."""
        self._buffer.clear()
        self._body.clear()
        self._head = None

    def feed(self, data: bytes) -> None:
        """Add received bytes, which `next` or `take_part` then parses."""
        self._buffer += data

    def next(self) -> Request | None:
        """Return the next request, or None if more bytes are needed.

        If the body is longer than `MAX_BUFFERED_BODY_BYTES`, the request contains only the part that has
        arrived, and `take_part` returns the rest.
        Raises `MessageError`, after which the connection can't be used any more.
        """
        if self.is_streaming:
            return None
        if self._head is None:
            empty_lines = _EMPTY_LINES.match(self._buffer)
            if empty_lines is not None:  # they are ignored before a request
                del self._buffer[: empty_lines.end()]
            lines = _take_head_lines(self._buffer)
            if lines is None:
                return None
            self._head = self._parse_head(lines)
        self._body_decoder.decode(self._buffer, self._body)
        head = self._head
        is_complete = self._body_decoder.done
        if (
            not is_complete
            and (head.content_length or 0) <= MAX_BUFFERED_BODY_BYTES
            and len(self._body) <= MAX_BUFFERED_BODY_BYTES
        ):
            return None
        request = replace(head, body=bytes(self._body), is_complete=is_complete)
        self._head, self.is_streaming = None, not is_complete
        self.expects_continue = self.expects_continue and not is_complete
        self._body.clear()
        return request

    def take_part(self) -> bytes:
        """Return what has arrived of a streamed body since the last call.

        At the end of the body `is_streaming` becomes false.
        """
        self._body_decoder.decode(self._buffer, self._body)
        data = bytes(self._body)
        self._body.clear()
        if self._body_decoder.done:
            self.is_streaming = self.expects_continue = False
        return data

    def _parse_head(self, lines: list[bytes]) -> Request:
        match = _REQUEST_LINE.fullmatch(lines[0])
        if match is None:
            raise MessageError(400, "malformed request line")
        fields = _parse_fields(lines[1:])
        keep_alive = _is_keep_alive(match[3], match[4], fields)
        is_http10 = match[4] == b"0"
        if len(fields.get_all(b"host")) != 1 and not is_http10:
            raise MessageError(400, "not one Host header")
        if is_http10 and fields.get_all(b"transfer-encoding"):
            raise MessageError(400, "chunks in HTTP/1.0")
        content_length = None if _is_chunked(fields) else _content_length(fields) or 0
        self._body_decoder = BodyDecoder(content_length, self._max_body_bytes, 413)
        expectations = fields.get_list(b"expect")
        if expectations not in ([], [b"100-continue"]):
            raise MessageError(417, "unknown expectation")
        self.expects_continue = bool(expectations) and content_length != 0 and not is_http10
        return Request(match[1], match[2], fields, b"", keep_alive, content_length, False, is_http10)


class ResponseParser:
    """Parses one response from the bytes of a connection.

    With an infinite `max_body_bytes` the body may have any length; the caller then takes it in parts with
    `take_body`.
    """

    def __init__(self, max_body_bytes: float = MAX_BODY_BYTES) -> None:
        self._max_body_bytes = max_body_bytes
        self._buffer = bytearray()
        self._body_decoder = BodyDecoder(0, 0, 0)
        self._body = bytearray()
        self.head: ResponseHead | None = None

    @property
    def complete(self) -> bool:
        """Whether the whole response has arrived."""
        return self.head is not None and self._body_decoder.done

    @property
    def has_sized_body(self) -> bool:
        """Whether the bytes that come next belong to a body of known length."""
        return self.head is not None and self.head.content_length is not None

    @property
    def has_extra_bytes(self) -> bool:
        """Whether bytes follow the response. The connection can't be reused then."""
        return bool(self._buffer)

    def take_extra_bytes(self) -> bytes:
        """Return and remove the bytes that follow the response."""
        extra_bytes = bytes(self._buffer)
        self._buffer.clear()
        return extra_bytes

    def content_digest(self) -> int:
        """Return a number that is equal for responses with equal status and body, in this process only."""
        assert self.head is not None
        return hash((self.head.status, bytes(self._body)))

    def feed(self, data: bytes) -> None:
        """Parse received bytes. Raises `MessageError` if the response is invalid."""
        self._buffer += data
        while self.head is None:
            lines = _take_head_lines(self._buffer)
            if lines is None:
                return
            self._parse_head(lines)
        self._body_decoder.decode(self._buffer, self._body)

    def handle_clean_close(self) -> bool:
        """Handle an orderly close of the connection. Returns whether the response is complete."""
        if self.head is not None and self._body_decoder.until_close:
            self._body_decoder.done = True
        return self.complete

    @property
    def buffered_bytes(self) -> int:
        """The number of body bytes that have arrived and were not yet taken."""
        return len(self._body)

    def take_body(self) -> bytes:
        """Return what has arrived of the body since the last call."""
        body = bytes(self._body)
        self._body.clear()
        return body

    def response(self) -> Response:
        """Return the complete response. Raises `MessageError` if it is incomplete."""
        if self.head is None or not self._body_decoder.done:
            raise MessageError(502, "incomplete response")
        keep_alive = self.head.keep_alive and not self._buffer
        return Response(self.head.status, self.head.fields, self.take_body(), keep_alive)

    def _parse_head(self, lines: list[bytes]) -> None:
        match = _STATUS_LINE.fullmatch(lines[0])
        if match is None:
            raise MessageError(502, "malformed status line")
        fields = _parse_fields(lines[1:])
        keep_alive = _is_keep_alive(match[1], match[2], fields)
        status = int(match[3])
        if 100 <= status < 200:  # an interim response, which is skipped; the final one follows
            if status == 101:
                raise MessageError(502, "unrequested protocol switch")
            return
        if status in (204, 304):
            content_length: int | None = 0
        else:
            content_length = None if _is_chunked(fields) else _content_length(fields)
        until_close = content_length is None and not _is_chunked(fields)
        self._body_decoder = BodyDecoder(content_length, self._max_body_bytes, 502, until_close)
        self.head = ResponseHead(status, fields, keep_alive and not until_close, content_length)


_RESPONSE_START = b"HTTP/"


def may_begin_response(data: bytes) -> bool:
    """Return whether `data` is the beginning of a response, as far as it goes."""
    return data[: len(_RESPONSE_START)] == _RESPONSE_START[: len(data)]


LAST_CHUNK = b"\r\n0\r\n\r\n"  # behind another one, without trailers
CHUNKED_LINE = b"Transfer-Encoding: chunked"


def encode_request(
    method: bytes,
    target: bytes,
    header_lines: Iterable[bytes],
    body: bytes = b"",
    framing: bytes | None = None,
) -> bytes:
    """Return a complete request, or with `framing` only the head of a request whose body follows."""
    head = [method + b" " + target + b" HTTP/1.1", *header_lines]
    if framing is not None:
        head.append(framing)
    elif body or method not in (b"GET", b"HEAD"):
        head.append(content_length_line(len(body)))
    return b"\r\n".join(head) + b"\r\n\r\n" + body


def content_length_line(length: int) -> bytes:
    """Return the header line without its line end."""
    return b"Content-Length: %d" % length


def _status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %s" % (status, REASON_PHRASES.get(status, b"Status"))


def encode_response(
    status: int,
    header_lines: Iterable[bytes],
    body: bytes,
    close: bool = False,
    announce_keep_alive: bool = False,
) -> bytes:
    """Return a response with its whole body. For the parameters see `encode_response_head`."""
    return (
        encode_response_head(status, header_lines, content_length_line(len(body)), close, announce_keep_alive)
        + body
    )


def encode_response_head(
    status: int,
    header_lines: Iterable[bytes],
    framing: bytes = CHUNKED_LINE,
    close: bool = False,
    announce_keep_alive: bool = False,
) -> bytes:
    """Return the head of a response.

    `framing`: the header line that gives the length or the chunked coding of the body; if empty, the body
    ends where the connection ends.

    `close`: announce that the connection closes after the response.

    `announce_keep_alive`: add the header for clients of HTTP/1.0, which expect a close by default.
    """
    head = [_status_line(status), *header_lines]
    if framing:  # empty: the body ends where the connection ends
        head.append(framing)
    if close:
        head.append(b"Connection: close")
    elif announce_keep_alive:
        head.append(b"Connection: keep-alive")
    return b"\r\n".join(head) + b"\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk. An empty chunk ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
