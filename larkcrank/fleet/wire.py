"""Datagrams between members: versioned, bounded, sealed with the fleet's name and key, each taken once.

Format: one byte of version, 16 bytes of keyed BLAKE2b over the rest, then msgpack. The key is made of the
fleet's name and a secret that may be empty. It keeps out strangers, other fleets, damage; it hides nothing.
"""

import hmac
from hashlib import blake2b

import msgspec

from larkcrank.fleet.records import Record

VERSION = 2
MOST_BYTES = 1200
SEAL_BYTES = 16
WINDOW = 64  # datagrams of one sender that may overtake each other


class _Body(msgspec.Struct, tag_field="t", array_like=True, frozen=True):
    sender: Record
    to: str  # the member that it is for; empty: whoever is there
    count: int  # of the sender's datagrams in this life
    digest: int


class Ping(_Body, tag=1, frozen=True):
    number: int
    news: list[Record]
    room: bytes  # no answer is longer than its question: room for what the other thinks of the sender


class Ack(_Body, tag=2, frozen=True):
    number: int
    news: list[Record]


class Ask(_Body, tag=3, frozen=True):
    """Ping `target` for me, and pass on that it answered."""

    number: int
    target: str
    place: str
    news: list[Record]


class Nack(_Body, tag=4, frozen=True):
    """I am here, and have heard nothing of the one that you ask about."""

    number: int


class Summary(_Body, tag=5, frozen=True):
    buckets: list[int]  # low 32 bits of each bucket's digest


class Differ(_Body, tag=6, frozen=True):
    """The buckets in which the answerer has something else."""

    buckets: list[int]


class Page(_Body, tag=7, frozen=True):
    """All that the sender has of a bucket between two names; padded, as no answer is longer than it."""

    bucket: int
    after: str
    upto: str  # empty: to the end
    records: list[Record]
    room: bytes


class Reply(_Body, tag=8, frozen=True):
    """What the answerer has in the page's range that outranks it."""

    bucket: int
    upto: str
    records: list[Record]


class Line(msgspec.Struct, frozen=True, array_like=True):
    """A server as discovery tells it."""

    name: str
    state: int  # as `core.interface.State` has it
    zone: str
    kind: str
    cell: int
    size: float
    started_ms: float
    place: str  # host:port as the teller reaches it


class Have(_Body, tag=9, frozen=True):
    """Which server list the sender holds, and how it has it."""

    epoch: int  # times that discovery began its count anew
    generation: int
    age_ms: float  # since discovery told this list to whoever had it first; below 0: from before a restart
    mark: int  # of its lines
    direct: int  # the generation that discovery itself told the sender last, -1: none
    direct_ms: float  # how long ago that was
    up_ms: float  # since the sender's process began
    room: bytes  # the answer is another one of these, and no longer


class Want(_Body, tag=10, frozen=True):
    """Tell me the lines of that list behind this name; padded, as no answer is longer than it."""

    epoch: int
    generation: int
    after: str
    room: bytes


class Piece(_Body, tag=11, frozen=True):
    """Lines of a list in the order of their names."""

    epoch: int
    generation: int
    mark: int
    age_ms: float
    after: str
    upto: str  # empty: to the end
    lines: list[Line]


Message = Ping | Ack | Ask | Nack | Summary | Differ | Page | Reply | Have | Want | Piece
ListMessage = Have | Want | Piece


class DatagramError(Exception):
    """A datagram that is not taken. `why` is a counter's name."""

    def __init__(self, why: str) -> None:
        super().__init__(why)
        self.why = why


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class Codec:
    """Seals and opens datagrams of one fleet."""

    def __init__(self, fleet: str, secret: str = "") -> None:
        self._key = blake2b(f"{fleet}\0{secret}".encode(), digest_size=32).digest()

    def encode(self, message: Message) -> bytes:
        """Raises ValueError where it is over the bound: whoever fills it has to count."""
        body = _encoder.encode(message)
        if len(body) + SEAL_BYTES + 1 > MOST_BYTES:
            raise ValueError(f"a datagram of {len(body) + SEAL_BYTES + 1} bytes")
        head = bytes((VERSION,))
        return head + self._seal(head + body) + body

    def decode(self, data: bytes) -> Message:
        """Raises `DatagramError`."""
        if len(data) > MOST_BYTES or len(data) <= SEAL_BYTES + 1:
            raise DatagramError("damaged")
        if data[0] != VERSION:
            raise DatagramError("other_version")
        body = data[SEAL_BYTES + 1 :]
        if not hmac.compare_digest(data[1 : SEAL_BYTES + 1], self._seal(data[:1] + body)):
            raise DatagramError("strange")
        try:
            return _decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            raise DatagramError("damaged") from None

    def _seal(self, text: bytes) -> bytes:
        return blake2b(text, digest_size=SEAL_BYTES, key=self._key).digest()


def size_of(value: object) -> int:
    """Bytes that a value takes in a datagram."""
    return len(_encoder.encode(value))


class Once:
    """Which datagrams of one sender's life were taken: the newest, and those of the window before it."""

    def __init__(self) -> None:
        self._newest, self._seen = -1, 0

    def takes(self, count: int) -> bool:
        """Whether this one is new; then it is remembered."""
        if count > self._newest:
            self._seen = ((self._seen << (count - self._newest)) | 1) & ((1 << WINDOW) - 1)
            self._newest = count
            return True
        behind = self._newest - count
        if behind >= WINDOW or self._seen >> behind & 1:
            return False
        self._seen |= 1 << behind
        return True
