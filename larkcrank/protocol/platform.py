"""The platform's own headers and paths: what a request asks for and how an attempt ended."""

import math
import re
from dataclasses import dataclass

from larkcrank.core.interface import Result
from larkcrank.protocol import http1

READY_PATH = b"/health/ready"
LIVE_PATH = b"/health/live"
LOAD_PATH = b"/stats"

_ID = b"req-id"
_KIND = b"req-kind"
_DEADLINE = b"req-deadline"
_RETRY = b"req-retry"
_OWNER = b"req-owner"
_KEY = b"idempotency-key"
_EXTRA = b"req-extra"
_ITEM = "item"  # the simulator's name of the subject
_DECLINED = b"srv-declined"
_LOAD = b"srv-load"
_MAX_WAIT_S = 3600.0
_SUBJECT = re.compile(r"[0-9]{1,20}", re.ASCII)
_SECONDS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{0,15})?|\.[0-9]{1,15}")
_ABSOLUTE = re.compile(rb"[Hh][Tt][Tt][Pp]://([^/?#]+)((?:[/?].*)?)")
_REPLACED = frozenset((_DEADLINE,))


@dataclass(slots=True, frozen=True)
class Call:
    """What a decision needs of a request."""

    id: str  # for the log
    kind: str
    wait_ms: float | None  # how long the client waits, where it says so
    is_retry: bool
    has_key: bool
    owner: str


def is_ready_check(request: http1.Request) -> bool:
    return request.method == b"GET" and _place_and_path(request.target)[1].partition(b"?")[0] == READY_PATH


def first_part(target: bytes) -> str:
    path = _place_and_path(target)[1]
    return path.partition(b"?")[0].lstrip(b"/").partition(b"/")[0].decode("latin-1")


def _place_and_path(target: bytes) -> tuple[bytes, bytes]:
    """Host and path with query; the host is empty but in the absolute form, which is for proxies."""
    match = _ABSOLUTE.fullmatch(target)
    return (match[1], match[2] or b"/") if match is not None else (b"", target)


def read_call(request: http1.Request) -> Call:
    """Raises `MessageError` where a field is missing or no value of its kind."""
    fields = request.fields
    number = fields.one(_ID)
    if not number:
        raise http1.MessageError(400, "no Req-Id")
    kind = fields.one(_KIND)
    return Call(
        id=number.decode("latin-1"),
        kind=first_part(request.target) if kind is None else kind.decode("latin-1"),
        wait_ms=_wait_ms(fields.one(_DEADLINE)),
        is_retry=fields.one(_RETRY) == b"1",
        has_key=bool(fields.one(_KEY)),
        owner=(fields.one(_OWNER) or b"").decode("latin-1"),
    )


def subject_of(request: http1.Request) -> int:
    """The subject that `Req-Extra` names among a request's further figures; 0: none.

    Raises `MessageError` where it is no whole number below 2**64: what can't be told apart loses its order.
    """
    value = _pairs(request.fields.one(_EXTRA) or b"").get(_ITEM)
    if value is None:
        return 0
    if not _SUBJECT.fullmatch(value) or int(value) >= 1 << 64:
        raise http1.MessageError(400, "item in Req-Extra is no whole number below 2**64")
    return int(value)


def _pairs(text: bytes) -> dict[str, str]:
    """The parts of `name=value,name=value`; of a name that stands twice, the last."""
    parts = (part.partition("=") for part in text.decode("latin-1").split(","))
    return {name.strip(): value.strip() for name, _, value in parts}


def _wait_ms(value: bytes | None) -> float | None:
    if value is None:
        return None
    seconds = float(value) if _SECONDS.fullmatch(value) else math.inf  # float() alone takes 1_0, nan and more
    if seconds > _MAX_WAIT_S:
        raise http1.MessageError(400, "Req-Deadline is no number of seconds")
    return seconds * 1000.0


def request_to_endpoint(request: http1.Request, wait_ms: float) -> bytes:
    """The request as it came, with the time that this hop waits; of one that passes through, the head."""
    host, target = _place_and_path(request.target)
    but = _REPLACED | {b"host"} if host else _REPLACED
    lines = [*request.fields.passed_on(but), b"Req-Deadline: %.3f" % (max(wait_ms, 0.0) / 1000.0)]
    if host:  # the next hop is no proxy: it gets the path, and the host that the target named
        lines.append(b"Host: " + host)
        target = target if target.startswith(b"/") else b"/" + target
    elif not request.fields.all(b"host"):  # HTTP/1.0 may leave it out, the next hop's 1.1 may not
        lines.append(b"Host:")
    if request.whole:
        return http1.request_bytes(request.method, target, lines, request.body)
    framing = http1.CHUNKED if request.length is None else http1.length_line(request.length)
    return http1.request_bytes(request.method, target, lines, framing=framing)


def result_of(head: http1.Response | http1.ResponseHead) -> Result:
    if head.status == 200:
        return Result.OK
    if head.status in (503, 504) and b"1" in head.fields.all(_DECLINED):
        return Result.REJECTED
    return Result.ERROR


def load_report(text: bytes, names: tuple[str, ...]) -> tuple[float, ...]:
    """The values of a report `name=value,...` in the settings' order; empty where one is missing."""
    found: dict[str, float] = {}
    for name, value in _pairs(text).items():
        try:
            figure = float(value)
        except ValueError:
            continue
        if math.isfinite(figure):
            found[name] = figure
    return tuple(found[name] for name in names) if names and all(name in found for name in names) else ()


def load_of(fields: http1.Fields, names: tuple[str, ...]) -> tuple[float, ...]:
    found = fields.all(_LOAD) if names else []
    return load_report(found[0], names) if found else ()


def retry_after_line(wait_ms: float) -> bytes:
    return b"Retry-After: %.3f" % (wait_ms / 1000.0)
