"""The messages about request ids between two processes of one sidecar, without I/O.

They follow the handover message on the same connection. The successor asks before it takes a request that
must not run twice; the process that was there first answers, and tells which ids it takes itself.
"""

import struct
from enum import IntEnum
from typing import NamedTuple

_HEADER = struct.Struct(">BIH")  # kind, number of the claim, length of the id
MAX_ID_BYTES = 0xFFFF


class ClaimKind(IntEnum):
    """What a message says about a request id."""

    CLAIM = 1  # from the successor: may this id be taken?
    GRANTED = 2
    DENIED = 3
    KNOWN = 4  # from the predecessor: this id was taken here


class ClaimMessage(NamedTuple):
    """One message. Answers repeat the number of their claim; in others it is 0."""

    kind: ClaimKind
    number: int
    request_id: str


def encode(message: ClaimMessage) -> bytes:
    """Return the header and the id."""
    text = message.request_id.encode("latin-1")[:MAX_ID_BYTES]
    return _HEADER.pack(message.kind, message.number & 0xFFFFFFFF, len(text)) + text


class ClaimParser:
    """Parses the messages of one connection, however they are split."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[ClaimMessage]:
        """Return the messages that are complete. Raises `ValueError` if a kind is unknown."""
        self._buffer += data
        messages, position = [], 0
        while len(self._buffer) >= position + _HEADER.size:
            kind, number, length = _HEADER.unpack_from(self._buffer, position)
            end = position + _HEADER.size + length
            if len(self._buffer) < end:
                break
            text = bytes(self._buffer[position + _HEADER.size : end]).decode("latin-1")
            messages.append(ClaimMessage(ClaimKind(kind), number, text))
            position = end
        del self._buffer[:position]
        return messages
