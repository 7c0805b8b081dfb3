"""Encodes datagrams between members, with a version, a MAC, a size limit and replay protection.

Format: one version byte, a 16-byte keyed BLAKE2b MAC of the version and the body, then the body in msgpack.
The key is derived from the fleet's name and a secret, which may be empty. The MAC rejects datagrams of
outsiders and of other fleets, and damaged ones; nothing is encrypted.
"""

import hmac
from hashlib import blake2b

import msgspec

from larkcrank.fleet.records import MemberRecord

PROTOCOL_VERSION = 2
MAX_DATAGRAM_BYTES = 1200
MAC_BYTES = 16
REPLAY_WINDOW = 64  # a datagram is rejected if its sequence number is this far below the newest one


class _Message(msgspec.Struct, tag_field="t", array_like=True, frozen=True):
    """Fields that every message starts with."""

    sender: MemberRecord
    recipient: str  # name of the member addressed; empty: any member at the address
    sequence: int  # increases with each message of the sender's process
    digest: int  # total of the sender's view digest


class Ping(_Message, tag=1, frozen=True):
    """Probes the recipient, which answers with an Ack."""

    probe_id: int
    updates: list[MemberRecord]
    # An answer is never longer than its request, so that forged requests cannot amplify traffic. The padding
    # makes room for the receiver's record of the sender.
    padding: bytes


class Ack(_Message, tag=2, frozen=True):
    """Answers a Ping, or a PingRequest whose target answered."""

    probe_id: int
    updates: list[MemberRecord]


class PingRequest(_Message, tag=3, frozen=True):
    """Asks the recipient to ping `target` for the sender and to forward its Ack (SWIM ping-req)."""

    probe_id: int
    target: str
    target_address: str
    updates: list[MemberRecord]


class Nack(_Message, tag=4, frozen=True):
    """Answers a PingRequest whose target has not answered yet; shows that the sender itself is alive."""

    probe_id: int


class BucketDigests(_Message, tag=5, frozen=True):
    """Starts a comparison of views. Members are divided into buckets by a hash of their names."""

    buckets: list[int]  # low 32 bits of each bucket's digest


class DifferingBuckets(_Message, tag=6, frozen=True):
    """Answers BucketDigests with the buckets in which the sender's view differs."""

    buckets: list[int]  # indexes


class BucketPage(_Message, tag=7, frozen=True):
    """All records that the sender has in one bucket for names after `after_name`, up to `last_name`.

    Padded, since the answer must not be longer.
    """

    bucket: int  # index
    after_name: str  # empty: from the start of the bucket
    last_name: str  # empty: to the end of the bucket
    records: list[MemberRecord]
    padding: bytes


class BucketReply(_Message, tag=8, frozen=True):
    """Answers a `BucketPage` with records in its range that it lacks or that supersede its own."""

    bucket: int
    last_name: str  # last name included, if not all records fit; empty: the whole range is covered
    records: list[MemberRecord]


class ServerEntry(msgspec.Struct, frozen=True, array_like=True):
    """A server as reported by discovery."""

    name: str
    state: int  # value of `core.interface.State`
    zone: str
    kind: str  # machine type
    cell: int
    size: float  # nominal capacity relative to the other servers
    started_at_ms: float
    host_port: str  # host:port at which the sender of the entry reaches the server


class ListStatus(_Message, tag=9, frozen=True):
    """Announces the sender's server list, and when discovery reported it."""

    epoch: int  # number of times that discovery restarted its generation count
    generation: int
    # Since discovery first reported this list to a member; negative: the list is from before a restart.
    age_ms: float
    list_hash: int  # result of `lists.list_hash`
    direct_generation: int  # last generation that the sender received from discovery itself; -1: none
    direct_age_ms: float  # since the sender received that generation
    uptime_ms: float  # since the sender's process started
    padding: bytes  # the answer is another ListStatus, and must not be longer


class ListRequest(_Message, tag=10, frozen=True):
    """Requests the entries of a list after a server name. Padded, since the answer must not be longer."""

    epoch: int
    generation: int
    after_name: str
    padding: bytes


class ListChunk(_Message, tag=11, frozen=True):
    """Answers a ListRequest with the next entries of the list, sorted by server name."""

    epoch: int
    generation: int
    list_hash: int
    age_ms: float
    after_name: str
    last_name: str  # empty: the chunk reaches the end of the list
    entries: list[ServerEntry]


Message = (
    Ping
    | Ack
    | PingRequest
    | Nack
    | BucketDigests
    | DifferingBuckets
    | BucketPage
    | BucketReply
    | ListStatus
    | ListRequest
    | ListChunk
)
ListMessage = ListStatus | ListRequest | ListChunk


class DatagramError(Exception):
    """A datagram was rejected. `reason` is the key under which it is counted.

    "damaged": invalid size or contents; "other_version": unknown protocol version; "strange": wrong MAC.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class Codec:
    """Encodes and authenticates the datagrams of one fleet."""

    def __init__(self, fleet: str, secret: str = "") -> None:
        self._key = blake2b(f"{fleet}\0{secret}".encode(), digest_size=32).digest()

    def encode(self, message: Message) -> bytes:
        """Return the datagram. Raises ValueError if it is too long; the caller must limit its contents."""
        body = _encoder.encode(message)
        if len(body) + MAC_BYTES + 1 > MAX_DATAGRAM_BYTES:
            raise ValueError(
                f"datagram has {len(body) + MAC_BYTES + 1} bytes, which exceeds the maximum size"
            )
        header = bytes((PROTOCOL_VERSION,))
        return header + self._mac(header + body) + body

    def decode(self, data: bytes) -> Message:
        """Return the message in a datagram. Raises DatagramError if it is invalid."""
        if len(data) > MAX_DATAGRAM_BYTES or len(data) <= MAC_BYTES + 1:
            raise DatagramError("damaged")
        if data[0] != PROTOCOL_VERSION:
            raise DatagramError("other_version")
        body = data[MAC_BYTES + 1 :]
        if not hmac.compare_digest(data[1 : MAC_BYTES + 1], self._mac(data[:1] + body)):
            raise DatagramError("strange")
        try:
            return _decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            raise DatagramError("damaged") from None

    def _mac(self, data: bytes) -> bytes:
        return blake2b(data, digest_size=MAC_BYTES, key=self._key).digest()


def encoded_size(value: object) -> int:
    """Return the number of bytes that a value takes in a datagram."""
    return len(_encoder.encode(value))


class ReplayFilter:
    """Rejects datagrams of one sender process that were received before.

    Stores the newest sequence number and one bit for each of the REPLAY_WINDOW latest numbers. Bit 0 is for
    the newest; a bit is set if the number was received.
    """

    def __init__(self) -> None:
        self._newest, self._seen_bits = -1, 0

    def accept(self, sequence: int) -> bool:
        """Return whether the datagram with this sequence number is new, and mark it as received."""
        if sequence > self._newest:
            self._seen_bits = ((self._seen_bits << (sequence - self._newest)) | 1) & (
                (1 << REPLAY_WINDOW) - 1
            )
            self._newest = sequence
            return True
        distance = self._newest - sequence
        if distance >= REPLAY_WINDOW or self._seen_bits >> distance & 1:
            return False
        self._seen_bits |= 1 << distance
        return True
