"""HTTP/1.1 messages from bytes and back, without I/O.

A parser is fed whatever came and gives the same messages however the bytes were split. It is strict
where two readers could see two different messages: a proxy must not pass such a thing on.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass, replace

MAX_HEAD = 16 * 1024
HELD = 64 * 1024  # a body up to here is held whole; what is longer passes through in parts
MAX_BODY = 40 << 20
_MAX_CHUNK_LINE = 256

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(rb"[!-~]+")
_REQUEST_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([!-~]+) HTTP/(\d)\.(\d)")
_STATUS_LINE = re.compile(rb"HTTP/(\d)\.(\d) (\d{3})(?: ([\t -~\x80-\xff]*))?")
_BAD_IN_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t -~\x80-\xff]*)?")
_DIGITS = re.compile(rb"\d{1,15}")

# Belong to one connection, so they end here; the framing is written anew.
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

REASONS = {
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
    """The bytes are no message that may be passed on. `status` is the answer that says so."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True, frozen=True)
class Field:
    name: bytes  # in lower case
    value: bytes
    line: bytes  # as it came


class Fields(tuple[Field, ...]):
    """The header fields of one message in their order."""

    __slots__ = ()

    def all(self, name: bytes) -> list[bytes]:
        return [field.value for field in self if field.name == name]

    def one(self, name: bytes) -> bytes | None:
        """The field's value, None where it is absent; a field that stands twice is ambiguous."""
        found = self.all(name)
        if len(found) > 1:
            raise MessageError(400, f"header {name.decode('latin-1')} stands {len(found)} times")
        return found[0] if found else None

    def list(self, name: bytes) -> list[bytes]:
        """The members of a comma-separated field in lower case."""
        members = (part.strip(b" \t").lower() for value in self.all(name) for part in value.split(b","))
        return [member for member in members if member]

    def passed_on(self, but: frozenset[bytes] = frozenset()) -> Iterable[bytes]:
        """The lines that go on to the next hop, as they came."""
        named = set(self.list(b"connection"))
        return [
            field.line
            for field in self
            if field.name not in HOP_BY_HOP and field.name not in named and field.name not in but
        ]


@dataclass(slots=True, frozen=True)
class Request:
    method: bytes
    target: bytes
    fields: Fields
    body: bytes  # where it is not whole: its beginning
    keep_alive: bool
    length: int | None = 0  # of the body as told; None: in chunks
    whole: bool = True  # else the rest of the body is taken from the parser
    is_old: bool = False  # HTTP/1.0: knows no chunks


@dataclass(slots=True, frozen=True)
class ResponseHead:
    status: int
    fields: Fields
    keep_alive: bool
    length: int | None = 0  # of the body; None: only its end will tell


@dataclass(slots=True, frozen=True)
class Response:
    status: int
    fields: Fields
    body: bytes
    keep_alive: bool


def _fields(lines: list[bytes]) -> Fields:
    fields = []
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not _TOKEN.fullmatch(name):  # a folded line fails here too
            raise MessageError(400, "malformed header line")
        value = value.strip(b" \t")
        if _BAD_IN_VALUE.search(value):
            raise MessageError(400, "control character in a header")
        fields.append(Field(name.lower(), value, line))
    return Fields(fields)


def _keep_alive(major: bytes, minor: bytes, fields: Fields) -> bool:
    if major != b"1":
        raise MessageError(505, "not HTTP/1")
    options = fields.list(b"connection")
    return b"close" not in options and (minor != b"0" or b"keep-alive" in options)


class _Body:
    """Takes a body out of the buffer as its framing tells. `too_large` is what a longer one is."""

    __slots__ = ("_chunked", "_left", "_room", "_state", "_too_large", "_trailer", "done", "to_end")

    def __init__(self, length: int | None, limit: float, too_large: int, to_end: bool = False) -> None:
        if length is not None and length > limit:
            raise MessageError(too_large, "body too large")
        self._room, self._too_large = limit, too_large
        self._chunked = length is None
        self._left = length or 0  # of the body, or of the chunk under way
        self._state = "size"  # of a chunked body: size, data, end, trailer
        self._trailer = 0
        self.to_end = to_end  # until the connection ends
        self.done = length == 0

    def take(self, buffer: bytearray, body: bytearray) -> None:
        if self.to_end:
            self._room -= len(buffer)
            if self._room < 0:
                raise MessageError(self._too_large, "body too large")
            body += buffer
            buffer.clear()
        elif not self._chunked:
            self._move(buffer, body)
            self.done = not self._left
        else:
            while not self.done and self._step(buffer, body):
                pass

    def _move(self, buffer: bytearray, body: bytearray) -> None:
        count = min(self._left, len(buffer))
        body += buffer[:count]
        del buffer[:count]
        self._left -= count

    def _step(self, buffer: bytearray, body: bytearray) -> bool:
        """One step of a chunked body; False where more bytes are needed."""
        if self._state == "data":
            self._move(buffer, body)
            if self._left:
                return False
            self._state = "end"
            return True
        end = buffer.find(b"\r\n")
        if end > _MAX_CHUNK_LINE or (end < 0 and len(buffer) > _MAX_CHUNK_LINE + 1):
            raise MessageError(400, "overlong line in a chunked body")
        if end < 0:
            return False
        line = bytes(buffer[:end])
        del buffer[: end + 2]
        if self._state == "size":
            match = _CHUNK_SIZE.fullmatch(line)
            if match is None:
                raise MessageError(400, "malformed chunk size")
            self._left = int(match[1], 16)
            self._room -= self._left
            if self._room < 0:
                raise MessageError(self._too_large, "body too large")
            self._state = "data" if self._left else "trailer"
        elif self._state == "end":
            if line:
                raise MessageError(400, "chunk longer than its size")
            self._state = "size"
        elif line:  # trailers are read over
            self._trailer += len(line)
            if self._trailer > MAX_HEAD:
                raise MessageError(431, "trailers too large")
        else:
            self.done = True
        return True


def _split_head(buffer: bytearray) -> list[bytes] | None:
    """The lines of the head, taken out of the buffer once it is whole."""
    end = buffer.find(b"\r\n\r\n")
    if end > MAX_HEAD or (end < 0 and len(buffer) > MAX_HEAD + 3):
        raise MessageError(431, "head too large")
    if end < 0:
        return None
    lines = bytes(buffer[:end]).split(b"\r\n")
    del buffer[: end + 4]
    return lines


def _length(fields: Fields) -> int | None:
    """Content-Length; None where it is absent."""
    values = set(fields.all(b"content-length"))
    if not values:
        return None
    if len(values) > 1 or not _DIGITS.fullmatch(value := values.pop()):
        raise MessageError(400, "malformed or contradictory Content-Length")
    return int(value)


def _is_chunked(fields: Fields) -> bool:
    codings = fields.list(b"transfer-encoding")
    if not codings:
        return False
    if codings != [b"chunked"]:
        raise MessageError(400, "unknown transfer coding")
    if fields.all(b"content-length"):
        raise MessageError(400, "both Content-Length and Transfer-Encoding")
    return True


class RequestParser:
    """Requests out of the bytes of one connection."""

    def __init__(self, max_body: int = MAX_BODY) -> None:
        self._max_body = max_body
        self._buffer = bytearray()
        self._head: Request | None = None
        self._framing = _Body(0, 0, 0)
        self._body = bytearray()
        self.wants_continue = False  # the client waits for word before it sends the body
        self.passing = False  # the body of the last request is taken in parts

    @property
    def begun(self) -> bool:
        """Part of a request is here."""
        return bool(self._buffer) or self._head is not None or self.passing

    @property
    def has_head(self) -> bool:
        """The body is awaited."""
        return self._head is not None

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def next(self) -> Request | None:
        """The next request: whole, or with the beginning of a body over `HELD`, whose rest `part` gives.

        Raises `MessageError`; the connection is of no more use then.
        """
        if self.passing:
            return None
        if self._head is None:
            while self._buffer.startswith(b"\r\n"):  # an empty line before a request is read over
                del self._buffer[:2]
            lines = _split_head(self._buffer)
            if lines is None:
                return None
            self._head = self._read_head(lines)
        self._framing.take(self._buffer, self._body)
        head = self._head
        whole = self._framing.done
        if not whole and (head.length or 0) <= HELD and len(self._body) <= HELD:
            return None
        request = replace(head, body=bytes(self._body), whole=whole)
        self._head, self.passing = None, not whole
        self.wants_continue = self.wants_continue and not whole
        self._body.clear()
        return request

    def part(self) -> bytes:
        """What has come since of the body that passes through. After its end `passing` is false."""
        self._framing.take(self._buffer, self._body)
        data = bytes(self._body)
        self._body.clear()
        if self._framing.done:
            self.passing = self.wants_continue = False
        return data

    def _read_head(self, lines: list[bytes]) -> Request:
        match = _REQUEST_LINE.fullmatch(lines[0])
        if match is None:
            raise MessageError(400, "malformed request line")
        fields = _fields(lines[1:])
        keep_alive = _keep_alive(match[3], match[4], fields)
        is_old = match[4] == b"0"
        if len(fields.all(b"host")) != 1 and not is_old:
            raise MessageError(400, "not one Host header")
        if is_old and fields.all(b"transfer-encoding"):
            raise MessageError(400, "chunks in HTTP/1.0")
        length = None if _is_chunked(fields) else _length(fields) or 0
        self._framing = _Body(length, self._max_body, 413)
        expected = fields.list(b"expect")
        if expected not in ([], [b"100-continue"]):
            raise MessageError(417, "unknown expectation")
        self.wants_continue = bool(expected) and length != 0 and not is_old
        return Request(match[1], match[2], fields, b"", keep_alive, length, False, is_old)


class ResponseParser:
    """One response out of the bytes of a connection.

    A stream has no largest body: whoever passes it on takes it in parts.
    """

    def __init__(self, max_body: float = MAX_BODY) -> None:
        self._max_body = max_body
        self._buffer = bytearray()
        self._framing = _Body(0, 0, 0)
        self._body = bytearray()
        self.head: ResponseHead | None = None

    @property
    def complete(self) -> bool:
        return self.head is not None and self._framing.done

    @property
    def left_over(self) -> bool:
        """More came than the response: the connection is of no more use."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> None:
        self._buffer += data
        while self.head is None:
            lines = _split_head(self._buffer)
            if lines is None:
                return
            self._read_head(lines)
        self._framing.take(self._buffer, self._body)

    def end(self) -> bool:
        """The connection has ended in order; True where that is the body's end."""
        if self.head is not None and self._framing.to_end:
            self._framing.done = True
        return self.complete

    @property
    def held(self) -> int:
        """Bytes of the body that have come and were not taken."""
        return len(self._body)

    def take_body(self) -> bytes:
        """What has come of the body since the last call."""
        body = bytes(self._body)
        self._body.clear()
        return body

    def response(self) -> Response:
        if self.head is None or not self._framing.done:
            raise MessageError(502, "response not whole")
        keep_alive = self.head.keep_alive and not self._buffer
        return Response(self.head.status, self.head.fields, self.take_body(), keep_alive)

    def _read_head(self, lines: list[bytes]) -> None:
        match = _STATUS_LINE.fullmatch(lines[0])
        if match is None:
            raise MessageError(502, "malformed status line")
        fields = _fields(lines[1:])
        keep_alive = _keep_alive(match[1], match[2], fields)
        status = int(match[3])
        if 100 <= status < 200:
            if status == 101:
                raise MessageError(502, "unasked change of protocol")
            return
        if status in (204, 304):
            length: int | None = 0
        else:
            length = None if _is_chunked(fields) else _length(fields)
        to_end = length is None and not _is_chunked(fields)
        self._framing = _Body(length, self._max_body, 502, to_end)
        self.head = ResponseHead(status, fields, keep_alive and not to_end, length)


CHUNKED = b"Transfer-Encoding: chunked"


def request_bytes(
    method: bytes, target: bytes, lines: Iterable[bytes], body: bytes = b"", framing: bytes | None = None
) -> bytes:
    """A whole request; with `framing` the head of one whose body follows."""
    head = [method + b" " + target + b" HTTP/1.1", *lines]
    if framing is not None:
        head.append(framing)
    elif body or method not in (b"GET", b"HEAD"):
        head.append(length_line(len(body)))
    return b"\r\n".join(head) + b"\r\n\r\n" + body


def length_line(length: int) -> bytes:
    return b"Content-Length: %d" % length


def _status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b"Status"))


def response_bytes(
    status: int, lines: Iterable[bytes], body: bytes, close: bool = False, kept: bool = False
) -> bytes:
    return stream_head_bytes(status, lines, length_line(len(body)), close, kept) + body


def stream_head_bytes(
    status: int, lines: Iterable[bytes], framing: bytes = CHUNKED, close: bool = False, kept: bool = False
) -> bytes:
    """The head of an answer. `kept` says so to a client of HTTP/1.0, for which that is not the rule."""
    head = [_status_line(status), *lines]
    if framing:  # none: the connection's end is the body's
        head.append(framing)
    if close:
        head.append(b"Connection: close")
    elif kept:
        head.append(b"Connection: keep-alive")
    return b"\r\n".join(head) + b"\r\n\r\n"


def chunk_bytes(data: bytes) -> bytes:
    """One chunk; the empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
