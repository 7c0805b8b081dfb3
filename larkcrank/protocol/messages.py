"""HTTP/1.1 messages and their header fields."""

from collections.abc import Iterable
from dataclasses import dataclass

MAX_HEAD_BYTES = 16 * 1024
FIELD_BYTES = 200  # objects of one parsed field, without its text

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
