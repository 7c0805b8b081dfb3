"""Decodes and encodes the answers of discovery services and tiers.

Between tiers an instance carries `service`, `owner` and `version` beside its published fields, and an answer
carries `owners`: by owner, the version up to which the answering tier has merged every record (the known
version). A sidecar ignores these fields.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

import msgspec

from larkcrank.protocol.discovery import LIST_TARGET
from larkcrank.tiers.state import DiscoveryRecord, InstanceRecord, Version

MAX_RECORD_BYTES = 4096  # of the encoded published fields of one instance
MAX_NAME_CHARS = 256
_TIER_FIELDS = ("service", "owner", "version")


class AnswerError(Exception):
    """The answer cannot be used; the message says why."""


class _Instance(msgspec.Struct, rename="camel"):
    """One instance in an answer. Only tiers send `owner` and `version`, which is an epoch and a counter."""

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
    """An answer of a discovery service or a tier."""

    generation: int
    instances: list[_Instance]
    reset: bool = False  # whether the answer is a full list, not a delta
    owners: dict[str, tuple[int, int]] | None = None  # known versions by owner; None: a discovery's answer
    provisional: bool = False
    stale: bool = False


class _RawAnswer(msgspec.Struct):
    """The instances with all their fields, also those that `_Instance` does not name."""

    instances: list[dict[str, object]]


@dataclass(slots=True)
class DiscoveryAnswer:
    """A decoded answer of a discovery service."""

    generation: int
    full: bool  # whether it lists all instances; otherwise it has the changes only
    records: list[DiscoveryRecord]


@dataclass(slots=True)
class TierAnswer:
    """A decoded answer of a tier."""

    generation: int
    full: bool  # whether it lists all records; otherwise it has the changes only
    records: list[InstanceRecord]
    known_versions: dict[str, Version]  # by owner
    provisional: bool  # whether an input of the tier has not answered since its start
    stale: bool = False  # whether the tier, or one above it, has no recent answer from its parent


_answer_decoder = msgspec.json.Decoder(_Answer)
_raw_answer_decoder = msgspec.json.Decoder(_RawAnswer)
_json_encoder = msgspec.json.Encoder()


def decode_answer(
    text: bytes, service: str = "", services: Collection[str] | None = None
) -> DiscoveryAnswer | TierAnswer:
    """Decode an answer; one with known versions comes from a tier, any other from a discovery service.

    `service` is the service of a discovery's instances that name none. If `services` is given, an instance of
    any other service is an error. Raises `AnswerError`.
    """
    try:
        answer = _answer_decoder.decode(text)
        raw_instances = _raw_answer_decoder.decode(text).instances
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise AnswerError(f"malformed: {error}") from None
    if answer.generation < 0:
        raise AnswerError(f"malformed: generation {answer.generation}")
    pairs = zip(answer.instances, raw_instances, strict=True)
    if answer.owners is None:
        reports = [_discovery_record(instance, fields, service) for instance, fields in pairs]
        _check_services((report.service for report in reports), services if services is not None else None)
        return DiscoveryAnswer(answer.generation, answer.reset, reports)
    records = [_tier_record(instance, fields) for instance, fields in pairs]
    _check_services((record.service for record in records), services)
    return TierAnswer(
        answer.generation, answer.reset, records, answer.owners, answer.provisional, answer.stale
    )


def _check_services(found: Iterable[str], allowed: Collection[str] | None) -> None:
    if allowed is not None:
        for service in found:
            if service not in allowed:
                raise AnswerError(f"unknown service {service!r}")


def _discovery_record(instance: _Instance, fields: dict[str, object], service: str) -> DiscoveryRecord:
    if service and instance.service not in (None, service):
        raise AnswerError(f"unknown service {instance.service!r} in a list of {service!r}")
    return DiscoveryRecord(
        instance.instance_id,
        _checked_name(instance.service or service, True),
        instance.lifecycle == "Gone",
        _published_body(instance, fields),
    )


def _tier_record(instance: _Instance, fields: dict[str, object]) -> InstanceRecord:
    if instance.owner is None or instance.version is None or min(instance.version) < 0:
        raise AnswerError(f"foreign: no owner or version of {instance.instance_id!r}")
    return InstanceRecord(
        instance.instance_id,
        _checked_name(instance.service or "", True),
        _checked_name(instance.owner),
        instance.version,
        instance.lifecycle == "Gone",
        _published_body(instance, fields),
    )


def _checked_name(name: str, may_be_empty: bool = False) -> str:
    if len(name) > MAX_NAME_CHARS or not (name or may_be_empty):
        raise AnswerError(f"malformed: a name of {len(name)} characters")
    return name


def _published_body(instance: _Instance, fields: dict[str, object]) -> bytes:
    """Encode the instance's fields without those that only tiers use."""
    _checked_name(instance.instance_id)
    for key in _TIER_FIELDS:
        fields.pop(key, None)
    body = _json_encoder.encode(fields)
    if len(body) > MAX_RECORD_BYTES:
        raise AnswerError(f"malformed: a line of {len(body)} bytes")
    return body


# Encoding. The fields of each record were encoded when it was decoded; an answer is joined from these bodies.


def _gone_body(record: InstanceRecord) -> bytes:
    return _json_encoder.encode({"instanceId": record.instance_id, "lifecycle": "Gone"})


def encode_for_sidecar(records: Iterable[InstanceRecord], generation: int, full: bool) -> bytes:
    """An answer with the published fields of these records."""
    instances = b",".join([_gone_body(record) if record.gone else record.body for record in records])
    return b'{"generation":%d,"reset":%s,"instances":[%s]}' % (generation, _json_bool(full), instances)


def encode_for_tier(
    records: Iterable[InstanceRecord],
    generation: int,
    full: bool,
    known_versions: dict[str, Version],
    provisional: bool,
    stale: bool = False,
) -> bytes:
    """An answer with these records and the fields that only tiers use."""
    encoded_names: dict[tuple[str, str], bytes] = {}
    instances = []
    for record in records:
        key = (record.service, record.owner)
        tier_fields = encoded_names.get(key)
        if tier_fields is None:
            tier_fields = encoded_names[key] = b',"service":%s,"owner":%s,"version":[' % tuple(
                map(_json_encoder.encode, key)
            )
        body = _gone_body(record) if record.gone else record.body
        instances.append(b"%s%s%d,%d]}" % (body[:-1], tier_fields, *record.version))
    return b'{"generation":%d,"reset":%s,"provisional":%s,"stale":%s,"owners":%s,"instances":[%s]}' % (
        generation,
        _json_bool(full),
        _json_bool(provisional),
        _json_bool(stale),
        _json_encoder.encode(known_versions),
        b",".join(instances),
    )


def _json_bool(value: bool) -> bytes:
    return b"true" if value else b"false"


def parse_list_target(target: bytes, max_wait_ms: int) -> tuple[int | None, int] | None:
    """Parse the target of a list request: `after` (None: the full list) and the wait in ms.

    None if the target is not a valid list request. A wait above `max_wait_ms` is lowered to it.
    """
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
                wait_ms = min(int(value), max_wait_ms)
    return after, wait_ms
