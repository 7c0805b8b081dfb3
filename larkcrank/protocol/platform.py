"""The platform's own headers and paths: what a request asks for and how an attempt ended."""

import math
import re
from dataclasses import dataclass

from larkcrank.core.interface import Result
from larkcrank.protocol import http1

READY_PATH = b"/health/ready"
LIVE_PATH = b"/health/live"
LOAD_PATH = b"/stats"

_ID_HEADER = b"req-id"
_KIND_HEADER = b"req-kind"
_DEADLINE_HEADER = b"req-deadline"
_RETRY_HEADER = b"req-retry"
_OWNER_HEADER = b"req-owner"
_IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
_EXTRA_HEADER = b"req-extra"
_OBJECT_KEY_NAME = "item"  # the name of the object key in Req-Extra, as in the simulator
_DECLINED_HEADER = b"srv-declined"
_LOAD_HEADER = b"srv-load"
_MAX_DEADLINE_S = 3600.0
_OBJECT_KEY_PATTERN = re.compile(r"[0-9]{1,20}", re.ASCII)
_SECONDS_PATTERN = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{0,15})?|\.[0-9]{1,15}")
_ABSOLUTE_FORM = re.compile(rb"[Hh][Tt][Tt][Pp]://([^/?#]+)((?:[/?].*)?)")
_REPLACED_HEADERS = frozenset((_DEADLINE_HEADER,))


@dataclass(slots=True, frozen=True)
class CallInfo:
    """The properties of a request that the balancer needs."""

    id: str  # only for the log
    kind: str  # the name of its request class
    client_timeout_ms: float | None  # how long the client waits; None if it sends no deadline
    is_retry: bool
    has_idempotency_key: bool
    owner: str  # the name of its tenant


def is_ready_check(request: http1.Request) -> bool:
    """Return whether the request is the platform's readiness check of the sidecar."""
    return request.method == b"GET" and _split_target(request.target)[1].partition(b"?")[0] == READY_PATH


def first_path_segment(target: bytes) -> str:
    """Return the first segment of the path, which names the request class if there is no Req-Kind."""
    path = _split_target(target)[1]
    return path.partition(b"?")[0].lstrip(b"/").partition(b"/")[0].decode("latin-1")


def _split_target(target: bytes) -> tuple[bytes, bytes]:
    """Return the host and the path with its query.

    The host is empty unless the target is in absolute form, which clients use towards proxies.
    """
    match = _ABSOLUTE_FORM.fullmatch(target)
    return (match[1], match[2] or b"/") if match is not None else (b"", target)


def read_call_info(request: http1.Request) -> CallInfo:
    """Read the platform's headers of a request.

    Raises `MessageError` if Req-Id is missing or a header is repeated or malformed.
    """
    fields = request.fields
    request_id = fields.get_single(_ID_HEADER)
    if not request_id:
        raise http1.MessageError(400, "no Req-Id")
    kind = fields.get_single(_KIND_HEADER)
    return CallInfo(
        id=request_id.decode("latin-1"),
        kind=first_path_segment(request.target) if kind is None else kind.decode("latin-1"),
        client_timeout_ms=_parse_deadline_ms(fields.get_single(_DEADLINE_HEADER)),
        is_retry=fields.get_single(_RETRY_HEADER) == b"1",
        has_idempotency_key=bool(fields.get_single(_IDEMPOTENCY_KEY_HEADER)),
        owner=(fields.get_single(_OWNER_HEADER) or b"").decode("latin-1"),
    )


def read_object_key(request: http1.Request) -> int:
    """Return the key of the object that the request concerns, from `Req-Extra`; 0 if there is none.

    Raises `MessageError` if it is not an integer below 2**64, since requests for objects that can't be told
    apart could not be kept in order.
    """
    value = _parse_pairs(request.fields.get_single(_EXTRA_HEADER) or b"").get(_OBJECT_KEY_NAME)
    if value is None:
        return 0
    if not _OBJECT_KEY_PATTERN.fullmatch(value) or int(value) >= 1 << 64:
        raise http1.MessageError(400, "item in Req-Extra is no whole number below 2**64")
    return int(value)


def _parse_pairs(text: bytes) -> dict[str, str]:
    """Parse `name=value,name=value`. If a name is repeated, its last value counts."""
    parts = (part.partition("=") for part in text.decode("latin-1").split(","))
    return {name.strip(): value.strip() for name, _, value in parts}


def _parse_deadline_ms(value: bytes | None) -> float | None:
    if value is None:
        return None
    # float() alone would also accept 1_0, nan and other forms that the header does not allow.
    seconds = float(value) if _SECONDS_PATTERN.fullmatch(value) else math.inf
    if seconds > _MAX_DEADLINE_S:
        raise http1.MessageError(400, "Req-Deadline is no number of seconds")
    return seconds * 1000.0


def encode_endpoint_request(request: http1.Request, timeout_ms: float) -> bytes:
    """Return the client's request with the timeout of this attempt as its deadline.

    Without the complete body, return the head only; the body is sent on separately.
    """
    host, target = _split_target(request.target)
    excluded = _REPLACED_HEADERS | {b"host"} if host else _REPLACED_HEADERS
    lines = [
        *request.fields.forwarded_lines(excluded),
        b"Req-Deadline: %.3f" % (max(timeout_ms, 0.0) / 1000.0),
    ]
    if host:  # the endpoint is not a proxy, so it gets the path, and the host from the target as a header
        lines.append(b"Host: " + host)
        target = target if target.startswith(b"/") else b"/" + target
    elif not request.fields.get_all(b"host"):  # optional in HTTP/1.0, but required in the HTTP/1.1 sent here
        lines.append(b"Host:")
    if request.is_complete:
        return http1.encode_request(request.method, target, lines, request.body)
    framing = (
        http1.CHUNKED_LINE
        if request.content_length is None
        else http1.content_length_line(request.content_length)
    )
    return http1.encode_request(request.method, target, lines, framing=framing)


def classify_response(response: http1.Response | http1.ResponseHead) -> Result:
    """Return the result of an attempt. It is REJECTED if the server says that it declined the request."""
    if response.status == 200:
        return Result.OK
    if response.status in (503, 504) and b"1" in response.fields.get_all(_DECLINED_HEADER):
        return Result.REJECTED
    return Result.ERROR


def parse_load_report(text: bytes, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the values of a report `name=value,...` in the order of `names`; empty if one is missing."""
    values: dict[str, float] = {}
    for name, value in _parse_pairs(text).items():
        try:
            number = float(value)
        except ValueError:
            continue
        if math.isfinite(number):
            values[name] = number
    return tuple(values[name] for name in names) if names and all(name in values for name in names) else ()


def read_load_report(fields: http1.Fields, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the load report in a response's header, as `parse_load_report` does; empty if there is none."""
    reports = fields.get_all(_LOAD_HEADER) if names else []
    return parse_load_report(reports[0], names) if reports else ()


def retry_after_line(delay_ms: float) -> bytes:
    """Return the header line that asks the client to wait, in seconds."""
    return b"Retry-After: %.3f" % (delay_ms / 1000.0)
