"""What members say of each other, which of two records counts, and how a view is told in a few bytes."""

from enum import IntEnum
from hashlib import blake2b

import msgspec

BUCKETS = 64


class Standing(IntEnum):
    """In the order in which one outranks the other, at the same incarnation (SWIM)."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # it said so itself


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A member as somebody knows it. Only the member itself raises its incarnation."""

    name: str
    place: str  # host:port for datagrams
    zone: str
    life: int  # drawn anew by each start of the process: tells two with one name apart
    incarnation: int
    standing: Standing = Standing.ALIVE
    started_ms: float = 0.0  # by the member's own clock; shown, never compared
    versions: tuple[int, int] = (1, 1)  # the protocol versions that it speaks, least and most
    by: str = ""  # who suspects it

    @property
    def is_live(self) -> bool:
        return self.standing <= Standing.SUSPECT

    def outranks(self, other: "Record") -> bool:
        """The life decides last, so that two processes with one name give one view everywhere."""
        mine = self.incarnation, self.standing, self.life
        return mine > (other.incarnation, other.standing, other.life)


def bucket_of(name: str) -> int:
    return blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def mark_of(record: Record) -> int:
    """What a live member adds to a digest. Suspicion adds nothing: it passes."""
    text = f"{record.name}\0{record.life}\0{record.incarnation}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


class Digest:
    """Of all live members, by bucket and in all. Two sides with the same one agree, but for chance."""

    def __init__(self) -> None:
        self.buckets = [0] * BUCKETS
        self.whole = 0

    def change(self, before: Record | None, after: Record | None) -> None:
        for record in (before, after):
            if record is not None and record.is_live:
                mark = mark_of(record)  # adding twice takes out again
                self.whole ^= mark
                self.buckets[bucket_of(record.name)] ^= mark
