"""Membership records, the rule for which of two records is newer, and a compact digest of a view."""

from enum import IntEnum
from hashlib import blake2b

import msgspec

BUCKET_COUNT = 64  # groups of members, by hash of their names, that are compared separately


class Standing(IntEnum):
    """State of a member. At the same incarnation, the higher value takes precedence, as in SWIM."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # the member announced that it is leaving


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A member as known to another one. Only the member itself raises its incarnation."""

    name: str
    address: str  # host:port for datagrams
    zone: str
    boot_id: int  # random, drawn at each process start; distinguishes processes with the same name
    incarnation: int
    standing: Standing = Standing.ALIVE
    started_at_ms: float = 0.0  # on the member's own clock; informational, never compared
    protocol_versions: tuple[int, int] = (1, 1)  # lowest and highest supported protocol version
    reported_by: str = ""  # the member that reported the suspicion or death

    @property
    def is_live(self) -> bool:
        return self.standing <= Standing.SUSPECT

    def supersedes(self, other: "MemberRecord") -> bool:
        """Return whether this record replaces the other one of the same name.

        The boot ID is compared last, so that all members choose the same of two processes with one name.
        """
        own_rank = self.incarnation, self.standing, self.boot_id
        return own_rank > (other.incarnation, other.standing, other.boot_id)


def bucket_index(name: str) -> int:
    """Return the bucket of a member, derived from a hash of its name."""
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def record_hash(record: MemberRecord) -> int:
    """Return the hash of a live member's record for a digest.

    The standing is left out: a suspicion is temporary and must not make two views differ.
    """
    text = f"{record.name}\0{record.boot_id}\0{record.incarnation}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


class ViewDigest:
    """XOR of the hashes of all live members, per bucket and in total.

    Apart from hash collisions, two views with equal digests have the same live processes and incarnations.
    """

    def __init__(self) -> None:
        self.buckets = [0] * BUCKET_COUNT
        self.total = 0

    def update(self, before: MemberRecord | None, after: MemberRecord | None) -> None:
        """Replace a member's record. `before` is None for a new member, `after` for a removed one."""
        for record in (before, after):
            if record is not None and record.is_live:
                hash_value = record_hash(record)  # XOR: applying a hash a second time removes it
                self.total ^= hash_value
                self.buckets[bucket_index(record.name)] ^= hash_value
