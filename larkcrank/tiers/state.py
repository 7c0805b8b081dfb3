"""A tier's table of instance records: merged by version and served by generation. No I/O.

Each instance record has one owner, the tier that watches the discovery service that lists the instance, and a
version that this owner assigned. Of two records of one instance the greater version wins, so the result does
not depend on the order, the repetition or the route of messages. `known_versions` holds for each owner the
version up to which every record has been merged: a record within that range that is not in the table has been
removed, even if its tombstone has been pruned since.

A generation is a number that a tier gives its receivers: a prefix that is new in each process, and in its low
bits the table's sequence number. A receiver names its generation in the next call and gets what has changed.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice
from typing import TypeVar

SEQUENCE_BITS = 20  # low bits of a generation, for the sequence number; the bits above are its prefix
# The generation prefix consists of the start time in seconds and, in its low bits, a random number.
_RANDOM_BITS, _SECONDS_BITS = 12, 31

# Epoch, which is greater in each later process of the owner, and a counter within the epoch.
Version = tuple[int, int]
NO_VERSION: Version = (-1, 0)  # below every version
_Key = TypeVar("_Key")


@dataclass(slots=True)
class InstanceRecord:
    """One instance as a tier stores it. The `_seq` fields are sequence numbers of the table."""

    instance_id: str
    service: str
    owner: str
    version: Version
    gone: bool  # whether the record is a tombstone, which marks a removed instance
    body: bytes  # the published fields as a JSON object
    source: str = ""  # the discovery service that reported it; set only at the owner
    changed_seq: int = 0  # the last change of anything in the record, its version included
    content_changed_seq: int = 0  # the last change of something that sidecars receive
    gone_since_ms: float = 0.0  # system time at which the tombstone was created

    @property
    def precedence(self) -> tuple[Version, str, bool]:
        """Of all records of one instance, the one with the greatest precedence wins."""
        return (self.version, self.owner, self.gone)


@dataclass(slots=True, frozen=True)
class DiscoveryRecord:
    """One instance as a discovery service reports it."""

    instance_id: str
    service: str
    gone: bool  # whether the service reports that the instance was removed
    body: bytes  # the published fields as a JSON object


def new_generation_prefix(now_s: float, random_value: int) -> int:
    """Return a prefix for generations: the system time in seconds, then 12 bits of `random_value`."""
    return (int(now_s) & ((1 << _SECONDS_BITS) - 1)) << _RANDOM_BITS | random_value & (
        (1 << _RANDOM_BITS) - 1
    )


@dataclass(slots=True)
class Changes:
    """The services and owners whose records an update of the table changed."""

    services: set[str]  # those with a change in what sidecars receive
    owners: set[str]  # those with any change, if only of a version

    def __bool__(self) -> bool:
        return bool(self.owners)


class InstanceTable:
    """The instance records of one tier, with tombstones of removed instances.

    The records that this tier owns are its own records: those its discovery services report.

    At most `max_tombstones` are kept, each for `tombstone_ttl_ms`; older ones are pruned. A receiver that may
    have missed a pruned tombstone gets a full answer.
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
        self.version_counter = 0  # the counter of the last version that this tier assigned
        self.generation_prefix = generation_prefix
        self.sequence = 0  # incremented by each update that changes the table
        self.known_versions: dict[str, Version] = {}  # by owner; this tier has no entry
        self.own_records_complete = False  # whether all sources of this tier have answered since the start
        # The version up to which an earlier process had published its own records; None: not restored.
        self._restored_own_version: Version | None = None
        self.subtree_owners = {name}  # this tier and the tiers below it
        self._max_tombstones, self._tombstone_ttl_ms = max_tombstones, tombstone_ttl_ms
        self._records: dict[str, InstanceRecord] = {}  # by instance id; ordered by `changed_seq`
        # By service, then by instance id; ordered by `content_changed_seq`. An instance that moved to another
        # service has a tombstone under the old one.
        self._by_service: dict[str, dict[str, InstanceRecord]] = {}
        # What this tier's discovery services report: by instance id, the name of the service and its record.
        self._own_records: dict[str, tuple[str, DiscoveryRecord]] = {}
        self._gone_since: dict[str, float] = {}  # creation times of tombstones, in ms; oldest first
        # When an instance moved from one service to another, in ms; oldest first.
        # The key is the old service and the instance id.
        self._moved_since: dict[tuple[str, str], float] = {}
        self._pruned_seq = 0  # the highest sequence number of a pruned tombstone
        self._full_merge_seq = 0  # sequence number of the last full answer that raised a known version
        self.live_count = 0  # records that are not tombstones

    # Generations.

    @property
    def generation(self) -> int:
        """The current generation: the prefix, then the sequence number."""
        return self.generation_prefix << SEQUENCE_BITS | self.sequence

    def sequence_of(self, generation: int) -> int | None:
        """The sequence number in `generation`; None if the prefix differs or the number is not yet in use."""
        sequence = generation & ((1 << SEQUENCE_BITS) - 1)
        if (
            generation < 0
            or generation >> SEQUENCE_BITS != self.generation_prefix
            or sequence > self.sequence
        ):
            return None
        return sequence

    def can_answer_since(self, sequence: int, for_tier: bool) -> bool:
        """Whether a delta is enough for a receiver that has received all changes up to `sequence`.

        It is not if the tombstone of a later change has been pruned. For a tier it is not either if a full
        answer was merged later: records that were missing from that answer are removed, but this table may
        have no tombstones of them to send.
        """
        return sequence >= self._pruned_seq and not (for_tier and sequence < self._full_merge_seq)

    def replace_generation_prefix(self, generation_prefix: int) -> None:
        """Invalidate all generations sent so far, so that each receiver gets a full answer next.

        If `generation_prefix` is not above the present prefix, because the system time is the same or was
        stepped back, the next higher prefix is used.
        """
        self.generation_prefix = max(generation_prefix, self.generation_prefix + 1)

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
        """Merge another tier's answer; `known_versions` has its known version of each owner.

        Records that this tier owns are not accepted from others. A `full` answer also removes each record
        that it does not contain and whose version is not above the known version of its owner.
        """
        changes, sequence, seen_ids = Changes(set(), set()), 0, set()
        for record in records:
            seen_ids.add(record.instance_id)
            if record.owner == self.name:
                continue
            current = self._records.get(record.instance_id)
            if current is None:
                if record.version <= self.known_versions.get(record.owner, NO_VERSION):
                    continue  # the record was in this table before and has been removed
            elif record.precedence <= current.precedence:
                continue
            sequence = sequence or self._next_sequence()
            self._store(record, sequence, now_ms, changes)
            if record.gone and record.instance_id in self._own_records:
                self._publish_own(record.instance_id, sequence, now_ms, changes)
        for current in list(self._records.values()) if full else ():
            if current.gone or current.instance_id in seen_ids or current.owner == self.name:
                continue
            if current.version <= known_versions.get(current.owner, NO_VERSION):
                sequence = sequence or self._next_sequence()
                self._store(_tombstone(current), sequence, now_ms, changes)
                if current.instance_id in self._own_records:
                    self._publish_own(current.instance_id, sequence, now_ms, changes)
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
        """Apply an answer of `source`, a discovery service of this tier.

        A `full` answer lists all its instances, so that those it does not list are removed.
        """
        changes, sequence, seen_ids = Changes(set(), set()), 0, set()
        for report in reports:
            seen_ids.add(report.instance_id)
            own, current = self._own_records.get(report.instance_id), self._records.get(report.instance_id)
            if report.gone:
                if own is not None and own[0] == source:
                    sequence = sequence or self._next_sequence()
                    self._remove_own(report.instance_id, sequence, now_ms, changes)
            elif own != (source, report) or current is None or current.gone:
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
        """Remove own records whose discovery service is not among `kept_sources`."""
        changes, sequence = Changes(set(), set()), 0
        for instance_id, (source, _) in list(self._own_records.items()):
            if source not in kept_sources:
                sequence = sequence or self._next_sequence()
                self._remove_own(instance_id, sequence, now_ms, changes)
        return changes

    def supersede_version(self, known_version: Version, generation_prefix: int, now_ms: float) -> Changes:
        """Republish all own records with versions above `known_version`, unless this process has reached it.

        `known_version` is another tier's known version of this one. It is above this process's versions if an
        earlier process of this tier assigned greater ones.
        """
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
        """Store what a discovery service reports of this instance, as an own record with a new version."""
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
        """Remove the discovery service's report of this instance, and make its record a tombstone."""
        self._own_records.pop(instance_id, None)
        current = self._records.get(instance_id)
        if current is not None and not current.gone and current.owner == self.name:
            self._store(_tombstone(current, self._next_version(instance_id)), sequence, now_ms, changes)

    def _next_version(self, instance_id: str) -> Version:
        """Assign the next version of this tier; it is above that of the stored record of this instance."""
        current = self._records.get(instance_id)
        if current is not None and current.version[0] > self.epoch:
            self.epoch = current.version[0] + 1
        self.version_counter += 1
        return (self.epoch, self.version_counter)

    def _store(self, record: InstanceRecord, sequence: int, now_ms: float, changes: Changes) -> None:
        """Store a record as the latest change, and add its services and owners to `changes`.

        A record whose content for sidecars is the same keeps its `content_changed_seq`.
        """
        current = self._records.pop(record.instance_id, None)
        same_content = (
            current is not None
            and current.gone == record.gone
            and current.service == record.service
            and (record.gone or current.body == record.body)
        )
        record.changed_seq = sequence
        record.content_changed_seq = (
            current.content_changed_seq if current is not None and same_content else sequence
        )
        self._records[record.instance_id] = record
        changes.owners.add(record.owner)
        if current is not None:
            changes.owners.add(current.owner)
            self.live_count -= not current.gone
        self.live_count += not record.gone
        if record.gone:
            if current is None or not current.gone:
                self._gone_since.pop(record.instance_id, None)
                record.gone_since_ms = self._gone_since[record.instance_id] = now_ms
            else:
                record.gone_since_ms = current.gone_since_ms
        else:
            self._gone_since.pop(record.instance_id, None)
        service_records = self._by_service.setdefault(record.service, {})
        if current is not None and same_content:
            service_records[record.instance_id] = record  # stays where it is in the order of content changes
            return
        changes.services.add(record.service)
        if current is not None and current.service != record.service:
            old_service_records = self._by_service[current.service]
            old_service_records.pop(current.instance_id, None)
            moved_away = _tombstone(current)
            moved_away.changed_seq = moved_away.content_changed_seq = sequence
            old_service_records[current.instance_id] = moved_away
            self._moved_since.pop((current.service, current.instance_id), None)
            self._moved_since[current.service, current.instance_id] = now_ms
            changes.services.add(current.service)
        self._moved_since.pop((record.service, record.instance_id), None)
        service_records.pop(record.instance_id, None)
        service_records[record.instance_id] = record

    def _prune(self, now_ms: float) -> None:
        """Remove tombstones over the maximum number, the oldest first, and those that have expired."""
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
        """The keys of tombstones above the maximum number or age.

        `created_at_ms` has the creation time of each tombstone, the oldest first.
        """
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
        """Remove the tombstone of this instance from the records of a service."""
        service_records = self._by_service[service]
        service_records.pop(instance_id, None)
        if not service_records:
            del self._by_service[service]

    # Queries.

    def records(self) -> Iterator[InstanceRecord]:
        """All records, tombstones included."""
        return iter(self._records.values())

    def changes_for_tier(self, sequence: int, owners: Collection[str] | None = None) -> list[InstanceRecord]:
        """Records of these owners (None: of all) that changed after `sequence`, the latest change first.

        -1 as `sequence` returns all their records, tombstones included.
        """
        found = []
        for record in reversed(self._records.values()):
            if record.changed_seq <= sequence:
                break
            if owners is None or record.owner in owners:
                found.append(record)
        return found

    def changes_for_sidecar(self, services: Collection[str] | None, sequence: int) -> list[InstanceRecord]:
        """Records of these services (None: of all) whose content changed after `sequence`, with tombstones.

        Of an instance that moved between two of the services, the current record is returned.
        """
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
        """The records of these services (None: of all) that are not tombstones."""
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
        """The known version of each of these owners (None: of all), this tier included."""
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
        """The number of tombstones of removed instances; moves between services do not count."""
        return len(self._gone_since)


def _tombstone(record: InstanceRecord, version: Version | None = None) -> InstanceRecord:
    """A tombstone of this record, with its own version by default.

    Such a tombstone takes precedence over the record itself, but not over any greater version.
    """
    return InstanceRecord(
        record.instance_id, record.service, record.owner, version or record.version, True, record.body
    )
