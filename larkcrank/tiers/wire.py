"""Answers of discovery and of tiers, from bytes and to bytes.

Between tiers a line carries `service`, `owner` and `version` beside its published fields, and an answer
`owners`, which is its knowledge. A plain sidecar reads past these.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

import msgspec

from larkcrank.protocol.discovery import LIST_TARGET
from larkcrank.tiers.state import Line, Told, Version

MOST_LINE = 4096  # bytes of one line's published fields
MOST_NAME = 256
_EXTRA = ("service", "owner", "version")


class AnswerError(Exception):
    """The answer can't be taken in; the message says why."""


class _Line(msgspec.Struct, rename="camel"):
    instance_id: str
    lifecycle: str
    host_port: str = ""
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_ms: float = 0.0
    service: str | None = None
    owner: str | None = None
    version: tuple[int, int] | None = None


class _Answer(msgspec.Struct):
    generation: int
    instances: list[_Line]
    reset: bool = False
    owners: dict[str, tuple[int, int]] | None = None
    provisional: bool = False
    stale: bool = False


class _Raw(msgspec.Struct):
    instances: list[dict[str, object]]


@dataclass(slots=True)
class FromDiscovery:
    generation: int
    whole: bool
    lines: list[Told]


@dataclass(slots=True)
class FromTier:
    generation: int
    whole: bool
    lines: list[Line]
    known: dict[str, Version]
    provisional: bool  # it has not yet heard from all that it depends on
    stale: bool = False  # it, or one above it, has heard nothing from above of late


_answer = msgspec.json.Decoder(_Answer)
_raw = msgspec.json.Decoder(_Raw)
_line = msgspec.json.Encoder()


def read(text: bytes, service: str = "", services: Collection[str] | None = None) -> FromDiscovery | FromTier:
    """What the answer says; it is a tier's where it tells what it knows.

    A discovery's lines without a service are of `service`; with `services` no others are taken. Raises
    `AnswerError`.
    """
    try:
        told = _answer.decode(text)
        raw = _raw.decode(text).instances
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise AnswerError(f"malformed: {error}") from None
    if told.generation < 0:
        raise AnswerError(f"malformed: generation {told.generation}")
    pairs = zip(told.instances, raw, strict=True)
    if told.owners is None:
        lines = [_told(line, fields, service) for line, fields in pairs]
        _check_services((one.service for one in lines), services if services is not None else None)
        return FromDiscovery(told.generation, told.reset, lines)
    merged = [_merged(line, fields) for line, fields in pairs]
    _check_services((one.service for one in merged), services)
    return FromTier(told.generation, told.reset, merged, told.owners, told.provisional, told.stale)


def _check_services(found: Iterable[str], services: Collection[str] | None) -> None:
    if services is not None:
        for one in found:
            if one not in services:
                raise AnswerError(f"unknown service {one!r}")


def _told(line: _Line, fields: dict[str, object], service: str) -> Told:
    if service and line.service not in (None, service):
        raise AnswerError(f"unknown service {line.service!r} in a list of {service!r}")
    return Told(
        line.instance_id, _name(line.service or service, True), line.lifecycle == "Gone", _body(line, fields)
    )


def _merged(line: _Line, fields: dict[str, object]) -> Line:
    if line.owner is None or line.version is None or min(line.version) < 0:
        raise AnswerError(f"foreign: no owner or version of {line.instance_id!r}")
    return Line(
        line.instance_id,
        _name(line.service or "", True),
        _name(line.owner),
        line.version,
        line.lifecycle == "Gone",
        _body(line, fields),
    )


def _name(text: str, empty: bool = False) -> str:
    if len(text) > MOST_NAME or not (text or empty):
        raise AnswerError(f"malformed: a name of {len(text)} characters")
    return text


def _body(line: _Line, fields: dict[str, object]) -> bytes:
    _name(line.instance_id)
    for key in _EXTRA:
        fields.pop(key, None)
    body = _line.encode(fields)
    if len(body) > MOST_LINE:
        raise AnswerError(f"malformed: a line of {len(body)} bytes")
    return body


# To bytes. The fields were encoded when they came; an answer is put together from these.


def _gone(line: Line) -> bytes:
    return _line.encode({"instanceId": line.id, "lifecycle": "Gone"})


def plain(lines: Iterable[Line], generation: int, whole: bool) -> bytes:
    """An answer for sidecars."""
    text = b",".join([_gone(line) if line.gone else line.body for line in lines])
    return b'{"generation":%d,"reset":%s,"instances":[%s]}' % (generation, _bool(whole), text)


def full(
    lines: Iterable[Line],
    generation: int,
    whole: bool,
    known: dict[str, Version],
    provisional: bool,
    stale: bool = False,
) -> bytes:
    """An answer for tiers."""
    names: dict[tuple[str, str], bytes] = {}
    parts = []
    for line in lines:
        key = (line.service, line.owner)
        extra = names.get(key)
        if extra is None:
            extra = names[key] = b',"service":%s,"owner":%s,"version":[' % tuple(map(_line.encode, key))
        body = _gone(line) if line.gone else line.body
        parts.append(b"%s%s%d,%d]}" % (body[:-1], extra, *line.version))
    return b'{"generation":%d,"reset":%s,"provisional":%s,"stale":%s,"owners":%s,"instances":[%s]}' % (
        generation,
        _bool(whole),
        _bool(provisional),
        _bool(stale),
        _line.encode(known),
        b",".join(parts),
    )


def _bool(value: bool) -> bytes:
    return b"true" if value else b"false"


def asked(target: bytes, longest_ms: int) -> tuple[int | None, int] | None:
    """`after` (None: the whole is asked for) and the wait in ms; None where the target is no such call."""
    path, _, query = target.partition(b"?")
    if path != LIST_TARGET:
        return None
    after, wait_ms = None, 0
    for pair in query.split(b"&") if query else ():
        key, _, value = pair.partition(b"=")
        if key in (b"after", b"wait_ms"):
            if not value.isdigit() or len(value) > 19:
                return None
            if key == b"after":
                after = int(value)
            else:
                wait_ms = min(int(value), longest_ms)
    return after, wait_ms
