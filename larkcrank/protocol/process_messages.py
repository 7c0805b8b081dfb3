"""The messages between two processes of one sidecar, without I/O.

They follow the handover message on the same connection. The successor asks before it takes a request that
must not run twice; the process that was there first answers, and tells which ids it takes itself. Both tell
each other what discovery has told them, since that binds the sidecar.

A process ends the connection at a kind that it does not know. News are therefore sent only to a process that
has said that it understands them: the predecessor in its handover message, the successor by `SHARES_NEWS`.
"""

import struct
from enum import IntEnum
from typing import NamedTuple, TypeAlias

import msgspec

_HEADER = struct.Struct(">BIH")  # kind, number, length of the payload
MAX_PAYLOAD_BYTES = 0xFFFF


class MessageKind(IntEnum):
    """What a message says."""

    CLAIM = 1  # from the successor: may this request id be taken?
    GRANTED = 2
    DENIED = 3
    KNOWN = 4  # from the predecessor: this request id was taken here
    SHARES_NEWS = 5  # from the successor: it understands the messages of this kind and below
    NEWS_PART = 6  # a part of news; its number tells how many parts follow


class ProcessMessage(NamedTuple):
    """One message. Answers repeat the number of their claim; where nothing else is said it is 0."""

    kind: MessageKind
    number: int = 0
    payload: bytes = b""

    @property
    def request_id(self) -> str:
        """The request id that the message is about."""
        return self.payload.decode("latin-1")


def id_message(kind: MessageKind, request_id: str, number: int = 0) -> ProcessMessage:
    """Return a message about a request id."""
    return ProcessMessage(kind, number, request_id.encode("latin-1")[:MAX_PAYLOAD_BYTES])


def encode(message: ProcessMessage) -> bytes:
    """Return the header and the payload."""
    return _HEADER.pack(message.kind, message.number & 0xFFFFFFFF, len(message.payload)) + message.payload


class MessageParser:
    """Parses the messages of one connection, however they are split."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[ProcessMessage]:
        """Return the messages that are complete. Raises `ValueError` if a kind is unknown."""
        self._buffer += data
        messages, position = [], 0
        while len(self._buffer) >= position + _HEADER.size:
            kind, number, length = _HEADER.unpack_from(self._buffer, position)
            end = position + _HEADER.size + length
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[position + _HEADER.size : end])
            messages.append(ProcessMessage(MessageKind(kind), number, payload))
            position = end
        del self._buffer[:position]
        return messages


class SharedList(msgspec.Struct, frozen=True, tag="list"):
    """A server list as a discovery service has told it to one process of a sidecar."""

    discovery: str  # host:port of the service, which counts generations on its own
    base_generation: int | None  # the changes are those since this one; None: it is the whole list
    text: bytes  # as discovery sent it


class DiscoveryMove(msgspec.Struct, frozen=True, tag="move"):
    """One process of a sidecar was told to call another discovery service."""

    discovery: str  # host:port
    fallbacks: list[str]


News: TypeAlias = SharedList | DiscoveryMove
_news_decoder = msgspec.msgpack.Decoder(News)


def news_messages(news: News) -> list[ProcessMessage]:
    """Return the parts in which news are sent."""
    text = msgspec.msgpack.encode(news)
    parts = [text[start : start + MAX_PAYLOAD_BYTES] for start in range(0, len(text), MAX_PAYLOAD_BYTES)]
    return [
        ProcessMessage(MessageKind.NEWS_PART, len(parts) - 1 - index, part)
        for index, part in enumerate(parts)
    ]


class NewsAssembler:
    """Puts the parts of news together."""

    def __init__(self) -> None:
        self._parts = bytearray()

    def add(self, message: ProcessMessage) -> News | None:
        """Return the news that this part completes, or None. News of a form that is not known are dropped."""
        self._parts += message.payload
        if message.number:
            return None
        text = bytes(self._parts)
        self._parts.clear()
        try:
            return _news_decoder.decode(text)
        except msgspec.DecodeError:
            return None
