"""Parses and encodes HTTP/1.1 messages, without I/O.

A parser is fed bytes as they arrive and returns the same messages however the bytes were split. It rejects
whatever two implementations could read as two different messages, because a proxy must not forward that.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass, replace

MAX_HEAD_BYTES = 16 * 1024
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a longer body is forwarded in parts as it arrives
MAX_BODY_BYTES = 40 << 20
MAX_FIELDS = 100  # in one head
# What a body takes while it is buffered, as a multiple of its size: it grows in place and is copied at last.
BODY_COPIES = 3
FIELD_BYTES = 200  # objects of one parsed field, without its text
_MAX_CHUNK_LINE_BYTES = 256

_TOKEN_PATTERN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET_PATTERN = re.compile(rb"[!-~]+")
_REQUEST_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([!-~]+) HTTP/(\d)\.(\d)")
_STATUS_LINE = re.compile(rb"HTTP/(\d)\.(\d) (\d{3})(?: ([\t -~\x80-\xff]*))?")
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t -~\x80-\xff]*)?")
_PLAIN_CHUNK_START = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")
_EMPTY_LINES = re.compile(rb"(?:\r\n)+")
_CONTENT_LENGTH_PATTERN = re.compile(rb"\d{1,15}")

# These headers concern one connection only, so they are not forwarded. The framing is written anew.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

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


class MessageError(Exception):
    """The message is invalid and must not be forwarded. `status` is the status of the error response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True, frozen=True)
class Field:
    """One header field."""

    name: bytes  # in lower case
    value: bytes
    raw_line: bytes  # as received


class Fields(tuple[Field, ...]):
    """The header fields of one message in their original order."""

    __slots__ = ()

    @property
    def held_bytes(self) -> int:
        """About how much memory the fields take."""
        return FIELD_BYTES * len(self) + 2 * sum([len(field.raw_line) for field in self])

    def get_all(self, name: bytes) -> list[bytes]:
        """Return the values of all fields with this name, which must be in lower case."""
        return [field.value for field in self if field.name == name]

    def get_single(self, name: bytes) -> bytes | None:
        """Return the value of a field, or None if it is absent.

        A repeated field is ambiguous, so it raises `MessageError`.
        """
        values = self.get_all(name)
        if len(values) > 1:
            raise MessageError(400, f"header {name.decode('latin-1')} stands {len(values)} times")
        return values[0] if values else None

    def get_list(self, name: bytes) -> list[bytes]:
        """Return the members of a comma-separated field in lower case."""
        members = (part.strip(b" \t").lower() for value in self.get_all(name) for part in value.split(b","))
        return [member for member in members if member]

    def forwarded_lines(self, excluded: frozenset[bytes] = frozenset()) -> Iterable[bytes]:
        """Return the header lines to forward to the next hop, unchanged."""
        connection_options = set(self.get_list(b"connection"))
        return [
            field.raw_line
            for field in self
            if field.name not in HOP_BY_HOP
            and field.name not in connection_options
            and field.name not in excluded
        ]


_NO_FIELDS = Fields()


@dataclass(slots=True)
class Request:
    """A request whose body may still be arriving."""

    method: bytes
    target: bytes
    fields: Fields
    body: bytes  # only its beginning, unless the request is complete
    keep_alive: bool
    content_length: int | None = 0  # as announced in the head; None if the body is chunked
    is_complete: bool = True  # if false, `RequestParser.take_part` returns the rest of the body
    is_http10: bool = False  # whether the client uses HTTP/1.0, which has no chunked bodies

    @property
    def held_bytes(self) -> int:
        """About how much memory the request takes."""
        return len(self.body) + self.fields.held_bytes

    def release(self) -> None:
        """Drop the body and the header, which are not needed once nothing more is sent for the request."""
        self.body, self.fields = b"", _NO_FIELDS


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """The status and header of a response, before its body has arrived."""

    status: int
    fields: Fields
    keep_alive: bool
    content_length: int | None = 0  # None if the length is known only at the end of the body


@dataclass(slots=True, frozen=True)
class Response:
    """A response whose body is complete."""

    status: int
    fields: Fields
    body: bytes
    keep_alive: bool


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


class _BodyDecoder:
    """Decodes a body from a buffer according to its framing.

    A body that is longer than `limit` raises `MessageError` with the status `too_large_status`.
    """

    __slots__ = (
        "_bytes_allowed",
        "_bytes_left",
        "_chunked",
        "_state",
        "_too_large_status",
        "_trailer_bytes",
        "done",
        "until_close",
    )

    def __init__(
        self, length: int | None, limit: float, too_large_status: int, until_close: bool = False
    ) -> None:
        if length is not None and length > limit:
            raise MessageError(too_large_status, "body too large")
        self._bytes_allowed, self._too_large_status = limit, too_large_status
        self._chunked = length is None
        self._bytes_left = length or 0  # in the body, or in the current chunk
        self._state = "size"  # the part of a chunked body that comes next: size, data, end or trailer
        self._trailer_bytes = 0
        self.until_close = until_close  # whether the end of the connection marks the end of the body
        self.done = length == 0  # whether the whole body was decoded

    @property
    def bytes_left(self) -> int:
        """How much of the body, or of the current chunk, has not been decoded."""
        return self._bytes_left

    @property
    def is_chunked(self) -> bool:
        """Whether the body has the chunked coding."""
        return self._chunked

    def decode(self, buffer: bytearray, body: bytearray) -> None:
        """Move the bytes of the body from `buffer` to `body`, without the chunk framing."""
        if self.until_close:
            self._bytes_allowed -= len(buffer)
            if self._bytes_allowed < 0:
                raise MessageError(self._too_large_status, "body too large")
            body += buffer
            buffer.clear()
        elif not self._chunked:
            self._move_data(buffer, body)
            self.done = not self._bytes_left
        else:
            self._decode_whole_chunks(buffer, body)
            while not self.done and self._decode_chunked_step(buffer, body):
                self._decode_whole_chunks(buffer, body)

    def _move_data(self, buffer: bytearray, body: bytearray) -> None:
        count = min(self._bytes_left, len(buffer))
        body += buffer[:count]
        del buffer[:count]
        self._bytes_left -= count

    def _decode_whole_chunks(self, buffer: bytearray, body: bytearray) -> None:
        """Decode plain chunks that have arrived whole, of which there may be thousands.

        All others, and whatever is wrong, are left to `_decode_chunked_step`.
        """
        if self._state != "size":
            return
        position, bytes_allowed = 0, self._bytes_allowed
        while (match := _PLAIN_CHUNK_START.match(buffer, position)) is not None:
            size = int(match[1], 16)
            start = match.end()
            end = start + size
            if not 0 < size <= bytes_allowed or buffer[end : end + 2] != b"\r\n":
                break
            body += buffer[start:end]
            bytes_allowed -= size
            position = end + 2
        self._bytes_allowed = bytes_allowed
        if position:
            del buffer[:position]

    def _decode_chunked_step(self, buffer: bytearray, body: bytearray) -> bool:
        """Decode the next data or the next framing line of a chunked body. Returns False if more bytes are
        needed.
        """
        if self._state == "data":
            self._move_data(buffer, body)
            if self._bytes_left:
                return False
            self._state = "end"
            return True
        end = buffer.find(b"\r\n")
        if end > _MAX_CHUNK_LINE_BYTES or (end < 0 and len(buffer) > _MAX_CHUNK_LINE_BYTES + 1):
            raise MessageError(400, "overlong line in a chunked body")
        if end < 0:
            return False
        line = bytes(buffer[:end])
        del buffer[: end + 2]
        if self._state == "size":
            match = _CHUNK_SIZE_LINE.fullmatch(line)
            if match is None:
                raise MessageError(400, "malformed chunk size")
            self._bytes_left = int(match[1], 16)
            self._bytes_allowed -= self._bytes_left
            if self._bytes_allowed < 0:
                raise MessageError(self._too_large_status, "body too large")
            self._state = "data" if self._bytes_left else "trailer"
        elif self._state == "end":
            if line:
                raise MessageError(400, "chunk longer than its size")
            self._state = "size"
        elif line:  # trailers are ignored
            self._trailer_bytes += len(line)
            if self._trailer_bytes > MAX_HEAD_BYTES:
                raise MessageError(431, "trailers too large")
        else:
            self.done = True
        return True


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
        self._body_decoder = _BodyDecoder(0, 0, 0)
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
        self._body_decoder = _BodyDecoder(content_length, self._max_body_bytes, 413)
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
        self._body_decoder = _BodyDecoder(0, 0, 0)
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
        self._body_decoder = _BodyDecoder(content_length, self._max_body_bytes, 502, until_close)
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
