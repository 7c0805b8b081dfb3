"""A tier's copy of the instance list: merged by version and served by generation. No I/O.

Each instance record has one owner, the tier that watches the discovery service that lists the instance, and a
version that this owner assigned. Of two records of one instance the greater version wins, so the result does
not depend on the order, the repetition or the route of messages. `known_versions` holds for each owner the
version up to which every record has been merged: a record within that range that is not in the table has been
removed, even if its tombstone has been pruned since.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice
from typing import TypeVar

SEQUENCE_BITS = 20  # low bits of a generation; the rest is the generation prefix
_RANDOM_BITS, _SECONDS_BITS = 12, 31  # of the generation prefix

Version = tuple[int, int]  # epoch, counter
NO_VERSION: Version = (-1, 0)  # below every version
_Key = TypeVar("_Key")


@dataclass(slots=True)
class InstanceRecord:
    """One instance. `body` is its published JSON object; the `_seq` fields are table sequence numbers."""

    instance_id: str
    service: str
    owner: str
    version: Version
    gone: bool  # the record is a tombstone
    body: bytes
    source: str = ""  # the discovery service that reported it; set only at the owner
    changed_seq: int = 0  # when the record last changed, if only in its version
    content_changed_seq: int = 0  # when the content that sidecars receive last changed
    gone_since_ms: float = 0.0  # when a tombstone was created

    @property
    def precedence(self) -> tuple[Version, str, bool]:
        """Of all records of one instance, the one with the greatest precedence wins."""
        return (self.version, self.owner, self.gone)


@dataclass(slots=True, frozen=True)
class DiscoveryRecord:
    """One instance as a discovery service reports it."""

    instance_id: str
    service: str
    gone: bool
    body: bytes


def new_generation_prefix(now_s: float, random_value: int) -> int:
    """The high bits of a process's generations: its start time in seconds and 12 random bits."""
    return (int(now_s) & ((1 << _SECONDS_BITS) - 1)) << _RANDOM_BITS | random_value & (
        (1 << _RANDOM_BITS) - 1
    )


@dataclass(slots=True)
class Changes:
    """The services and owners that an update of the table affected."""

    services: set[str]  # services whose content for sidecars changed
    owners: set[str]  # owners of which at least one record changed

    def __bool__(self) -> bool:
        return bool(self.owners)


class InstanceTable:
    """The instance records that one tier holds.

    `max_tombstones` and `tombstone_ttl_ms` bound the tombstones that are kept. A receiver that missed a
    pruned tombstone gets a full answer.
    """

    def __init__(
        self,
        name: str,
        epoch: int,
        generation_prefix: int,
        max_tombstones: int = 20_000,
        tombstone_ttl_ms: float = 7.2e6,
    ) -> None:
        self.name = name
        self.epoch = epoch
        self.version_counter = 0  # of versions that this tier has assigned
        self.generation_prefix = generation_prefix
        self.sequence = 0  # incremented by each update that changes the table
        self.known_versions: dict[str, Version] = {}  # by owner, without this tier
        self.own_records_complete = False  # every discovery service of this tier has answered since the start
        self._restored_own_version: Version | None = (
            None  # an earlier process's known version of its own records
        )
        self.subtree_owners = {name}  # this tier and the owners below it
        self._max_tombstones, self._tombstone_ttl_ms = max_tombstones, tombstone_ttl_ms
        self._records: dict[str, InstanceRecord] = {}  # by instance; ordered by `changed_seq`
        # By service and instance; ordered by `content_changed_seq`.
        self._by_service: dict[str, dict[str, InstanceRecord]] = {}
        # What this tier's discovery services report: by instance, the source and its record.
        self._own_records: dict[str, tuple[str, DiscoveryRecord]] = {}
        self._gone_since: dict[str, float] = {}  # creation times of tombstones in ms, the oldest first
        # When an instance moved away from a service, by service and instance, in ms, the oldest first.
        self._moved_since: dict[tuple[str, str], float] = {}
        self._pruned_seq = 0  # the latest sequence number of a pruned tombstone
        self._full_merge_seq = 0  # of the latest full answer that raised a known version
        self.live_count = 0  # records that are not tombstones

    # Generations.

    @property
    def generation(self) -> int:
        return self.generation_prefix << SEQUENCE_BITS | self.sequence

    def sequence_of(self, generation: int) -> int | None:
        """The sequence number in `generation`, or None if the generation has another prefix or lies ahead."""
        sequence = generation & ((1 << SEQUENCE_BITS) - 1)
        if (
            generation < 0
            or generation >> SEQUENCE_BITS != self.generation_prefix
            or sequence > self.sequence
        ):
            return None
        return sequence

    def can_answer_since(self, sequence: int, for_tier: bool) -> bool:
        """Whether a delta is enough for a receiver that holds everything up to `sequence`.

        A delta is not enough if a tombstone of a later change has been pruned, nor for a tier if a full
        answer has been merged since: records that were missing from that answer are gone, but may have no
        tombstone here.
        """
        return sequence >= self._pruned_seq and not (for_tier and sequence < self._full_merge_seq)

    def replace_generation_prefix(self, generation_prefix: int) -> None:
        """Invalidate all generations handed out so far, so that each receiver gets a full answer next."""
        if generation_prefix == self.generation_prefix:
            generation_prefix ^= 1
        self.generation_prefix = generation_prefix

    def _next_sequence(self) -> int:
        """Increment the sequence number. If it would overflow, start again at 1 with another prefix."""
        if self.sequence + 1 >= 1 << SEQUENCE_BITS:
            self.replace_generation_prefix(self.generation_prefix + 1)
            self.sequence = self._pruned_seq = self._full_merge_seq = 0
            for record in self._records.values():
                record.changed_seq = record.content_changed_seq = 0
            for service_records in self._by_service.values():
                for record in service_records.values():
                    record.changed_seq = record.content_changed_seq = 0
        self.sequence += 1
        return self.sequence

    # Merging.

    def merge(
        self, records: Iterable[InstanceRecord], known_versions: dict[str, Version], full: bool, now_ms: float
    ) -> Changes:
        """Merge another tier's answer. `known_versions` are the versions that the answering tier knows.

        Records that this tier owns are not accepted from others. If the answer is `full`, a held record that
        `known_versions` covers and that the answer does not contain is gone.
        """
        changes, sequence, seen_ids = Changes(set(), set()), 0, set()
        for record in records:
            seen_ids.add(record.instance_id)
            if record.owner == self.name:
                continue
            held = self._records.get(record.instance_id)
            if held is None:
                if record.version <= self.known_versions.get(record.owner, NO_VERSION):
                    continue  # it was held before and has been removed
            elif record.precedence <= held.precedence:
                continue
            sequence = sequence or self._next_sequence()
            self._store(record, sequence, now_ms, changes)
            if record.gone and record.instance_id in self._own_records:
                self._publish_own(record.instance_id, sequence, now_ms, changes)
        for held in list(self._records.values()) if full else ():
            if held.gone or held.instance_id in seen_ids or held.owner == self.name:
                continue
            if held.version <= known_versions.get(held.owner, NO_VERSION):
                sequence = sequence or self._next_sequence()
                self._store(_tombstone(held), sequence, now_ms, changes)
                if held.instance_id in self._own_records:
                    self._publish_own(held.instance_id, sequence, now_ms, changes)
        for owner, version in known_versions.items():
            if owner != self.name and version > self.known_versions.get(owner, NO_VERSION):
                self.known_versions[owner] = version
                if full:
                    sequence = sequence or self._next_sequence()
                    self._full_merge_seq = sequence
        self._prune(now_ms)
        return changes

    def apply_discovery(
        self, source: str, reports: Iterable[DiscoveryRecord], full: bool, now_ms: float
    ) -> Changes:
        """Apply an answer of a discovery service of this tier. A full answer lists all its instances."""
        changes, sequence, seen_ids = Changes(set(), set()), 0, set()
        for report in reports:
            seen_ids.add(report.instance_id)
            own, held = self._own_records.get(report.instance_id), self._records.get(report.instance_id)
            if report.gone:
                if own is not None and own[0] == source:
                    sequence = sequence or self._next_sequence()
                    self._remove_own(report.instance_id, sequence, now_ms, changes)
            elif own != (source, report) or held is None or held.gone:
                sequence = sequence or self._next_sequence()
                self._own_records[report.instance_id] = (source, report)
                self._publish_own(report.instance_id, sequence, now_ms, changes)
        if full:
            for instance_id in [
                instance_id
                for instance_id, own in self._own_records.items()
                if own[0] == source and instance_id not in seen_ids
            ]:
                sequence = sequence or self._next_sequence()
                self._remove_own(instance_id, sequence, now_ms, changes)
        self._prune(now_ms)
        return changes

    def remove_other_sources(self, kept_sources: Collection[str], now_ms: float) -> Changes:
        """Remove the own records of discovery services that this tier no longer watches."""
        changes, sequence = Changes(set(), set()), 0
        for instance_id, (source, _) in list(self._own_records.items()):
            if source not in kept_sources:
                sequence = sequence or self._next_sequence()
                self._remove_own(instance_id, sequence, now_ms, changes)
        return changes

    def supersede_version(self, known_version: Version, generation_prefix: int, now_ms: float) -> Changes:
        """Republish all own records above `known_version`, if an earlier process of this tier got further."""
        changes = Changes(set(), set())
        if known_version <= (self.epoch, self.version_counter):
            return changes
        self.epoch = max(self.epoch, known_version[0]) + 1
        self.replace_generation_prefix(generation_prefix)
        sequence = self._next_sequence()
        for instance_id in list(self._own_records):
            self._publish_own(instance_id, sequence, now_ms, changes)
        return changes

    def restore(
        self, records: Iterable[InstanceRecord], known_versions: dict[str, Version], now_ms: float
    ) -> None:
        """Load the records of an earlier process. Must be called before any other update."""
        sequence = self._next_sequence()
        ignored_changes = Changes(set(), set())
        for record in records:
            self._store(record, sequence, now_ms, ignored_changes)
            if record.owner == self.name:
                self.epoch = max(self.epoch, record.version[0] + 1)
                if not record.gone:
                    self._own_records[record.instance_id] = (
                        record.source,
                        DiscoveryRecord(record.instance_id, record.service, False, record.body),
                    )
        self._restored_own_version = known_versions.get(self.name)
        self.known_versions.update(
            (owner, version) for owner, version in known_versions.items() if owner != self.name
        )
        if self._restored_own_version is not None:
            self.epoch = max(self.epoch, self._restored_own_version[0] + 1)

    def _publish_own(self, instance_id: str, sequence: int, now_ms: float, changes: Changes) -> None:
        """Store an own record with a version above the one that is held."""
        source, report = self._own_records[instance_id]
        record = InstanceRecord(
            instance_id,
            report.service,
            self.name,
            self._next_version(instance_id),
            False,
            report.body,
            source,
        )
        self._store(record, sequence, now_ms, changes)

    def _remove_own(self, instance_id: str, sequence: int, now_ms: float, changes: Changes) -> None:
        """Replace an own record with a tombstone."""
        self._own_records.pop(instance_id, None)
        held = self._records.get(instance_id)
        if held is not None and not held.gone and held.owner == self.name:
            self._store(_tombstone(held, self._next_version(instance_id)), sequence, now_ms, changes)

    def _next_version(self, instance_id: str) -> Version:
        """The next version of this tier, above the one that is held for this instance."""
        held = self._records.get(instance_id)
        if held is not None and held.version[0] > self.epoch:
            self.epoch = held.version[0] + 1
        self.version_counter += 1
        return (self.epoch, self.version_counter)

    def _store(self, record: InstanceRecord, sequence: int, now_ms: float, changes: Changes) -> None:
        """Store a record, its position in the orders of change, and what it changes for receivers."""
        held = self._records.pop(record.instance_id, None)
        same_content = (
            held is not None
            and held.gone == record.gone
            and held.service == record.service
            and (record.gone or held.body == record.body)
        )
        record.changed_seq = sequence
        record.content_changed_seq = (
            held.content_changed_seq if held is not None and same_content else sequence
        )
        self._records[record.instance_id] = record
        changes.owners.add(record.owner)
        if held is not None:
            changes.owners.add(held.owner)
            self.live_count -= not held.gone
        self.live_count += not record.gone
        if record.gone:
            if held is None or not held.gone:
                self._gone_since.pop(record.instance_id, None)
                record.gone_since_ms = self._gone_since[record.instance_id] = now_ms
            else:
                record.gone_since_ms = held.gone_since_ms
        else:
            self._gone_since.pop(record.instance_id, None)
        service_records = self._by_service.setdefault(record.service, {})
        if held is not None and same_content:
            service_records[record.instance_id] = record  # keeps its position in the order of content changes
            return
        changes.services.add(record.service)
        if held is not None and held.service != record.service:
            old_service_records = self._by_service[held.service]
            old_service_records.pop(held.instance_id, None)
            moved_away = _tombstone(held)
            moved_away.changed_seq = moved_away.content_changed_seq = sequence
            old_service_records[held.instance_id] = moved_away
            self._moved_since.pop((held.service, held.instance_id), None)
            self._moved_since[held.service, held.instance_id] = now_ms
            changes.services.add(held.service)
        self._moved_since.pop((record.service, record.instance_id), None)
        service_records.pop(record.instance_id, None)
        service_records[record.instance_id] = record

    def _prune(self, now_ms: float) -> None:
        """Remove the tombstones that are too many or too old."""
        for instance_id in self._expired(self._gone_since, now_ms):
            del self._gone_since[instance_id]
            record = self._records.pop(instance_id)
            self._pruned_seq = max(self._pruned_seq, record.changed_seq)
            self._remove_from_service(record.service, instance_id)
        for service, instance_id in self._expired(self._moved_since, now_ms):
            del self._moved_since[service, instance_id]
            self._pruned_seq = max(
                self._pruned_seq, self._by_service[service][instance_id].content_changed_seq
            )
            self._remove_from_service(service, instance_id)

    def _expired(self, created_at_ms: dict[_Key, float], now_ms: float) -> list[_Key]:
        """The keys of tombstones over the limit of number or age. `created_at_ms` has the oldest first."""
        if not created_at_ms:
            return []
        excess = len(created_at_ms) - self._max_tombstones
        expired = []
        for i, (key, created_ms) in enumerate(created_at_ms.items()):
            if i >= excess and now_ms - created_ms <= self._tombstone_ttl_ms:
                break
            expired.append(key)
        return expired

    def _remove_from_service(self, service: str, instance_id: str) -> None:
        """Remove a tombstone from the records of a service."""
        service_records = self._by_service[service]
        service_records.pop(instance_id, None)
        if not service_records:
            del self._by_service[service]

    # Queries.

    def records(self) -> Iterator[InstanceRecord]:
        """All records, with tombstones."""
        return iter(self._records.values())

    def changes_for_tier(self, sequence: int, owners: Collection[str] | None = None) -> list[InstanceRecord]:
        """Records that changed after `sequence`, the latest first; -1: all records, with tombstones."""
        found = []
        for record in reversed(self._records.values()):
            if record.changed_seq <= sequence:
                break
            if owners is None or record.owner in owners:
                found.append(record)
        return found

    def changes_for_sidecar(self, services: Collection[str] | None, sequence: int) -> list[InstanceRecord]:
        """Records of these services (None: of all) whose content changed after `sequence`."""
        found: dict[str, InstanceRecord] = {}
        for service in self._by_service if services is None else services:
            for record in reversed(self._by_service.get(service, {}).values()):
                if record.content_changed_seq <= sequence:
                    break
                other = found.get(record.instance_id)
                if other is None or other is not self._records.get(record.instance_id):
                    found[record.instance_id] = record
        return list(found.values())

    def live_records(self, services: Collection[str] | None) -> list[InstanceRecord]:
        """The records of these services (None: of all) without tombstones."""
        if services is None:
            return [record for record in self._records.values() if not record.gone]
        return [
            record
            for service in services
            for record in self._by_service.get(service, {}).values()
            if not record.gone
        ]

    def last_content_change(self, services: Collection[str] | None) -> int:
        """The sequence number of the last content change in these services (None: in all)."""
        last = 0
        for service in self._by_service if services is None else services:
            for record in islice(reversed(self._by_service.get(service, {}).values()), 1):
                last = max(last, record.content_changed_seq)
        return last

    def known_versions_of(self, owners: Collection[str] | None = None) -> dict[str, Version]:
        """For each of these owners (None: for all) the version up to which the table holds everything."""
        known_versions = dict(self.known_versions)
        own_version = (
            (self.epoch, self.version_counter) if self.own_records_complete else self._restored_own_version
        )
        if own_version is not None:
            known_versions[self.name] = own_version
        return (
            known_versions
            if owners is None
            else {owner: known_versions[owner] for owner in owners if owner in known_versions}
        )

    @property
    def tombstone_count(self) -> int:
        return len(self._gone_since)


def _tombstone(record: InstanceRecord, version: Version | None = None) -> InstanceRecord:
    """A tombstone of this record. With the record's own version it outranks just that record."""
    return InstanceRecord(
        record.instance_id, record.service, record.owner, version or record.version, True, record.body
    )
