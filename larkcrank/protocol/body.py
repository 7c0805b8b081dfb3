"""Decodes the bodies of HTTP/1.1 messages according to their framing."""

import re

from larkcrank.protocol.messages import MAX_HEAD_BYTES, MessageError

_MAX_CHUNK_LINE_BYTES = 256
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t -~\x80-\xff]*)?")
_PLAIN_CHUNK_START = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")


class BodyDecoder:
    """Decodes a body from a buffer according to its framing.

    A body that is longer than `limit` raises `MessageError` with the status `too_large_status`.
    """

    __slots__ = (
        "_bytes_allowed",
        "_bytes_left",
        "_chunked",
        "_state",
        "_too_large_status",
        "_trailer_bytes",
        "done",
        "until_close",
    )

    def __init__(
        self, length: int | None, limit: float, too_large_status: int, until_close: bool = False
    ) -> None:
        if length is not None and length > limit:
            raise MessageError(too_large_status, "body too large")
        self._bytes_allowed, self._too_large_status = limit, too_large_status
        self._chunked = length is None
        self._bytes_left = length or 0  # in the body, or in the current chunk
        self._state = "size"  # the part of a chunked body that comes next: size, data, end or trailer
        self._trailer_bytes = 0
        self.until_close = until_close  # whether the end of the connection marks the end of the body
        self.done = length == 0  # whether the whole body was decoded

    @property
    def bytes_left(self) -> int:
        """How much of the body, or of the current chunk, has not been decoded."""
        return self._bytes_left

    @property
    def is_chunked(self) -> bool:
        """Whether the body has the chunked coding."""
        return self._chunked

    def decode(self, buffer: bytearray, body: bytearray) -> None:
        """Move the bytes of the body from `buffer` to `body`, without the chunk framing."""
        if self.until_close:
            self._bytes_allowed -= len(buffer)
            if self._bytes_allowed < 0:
                raise MessageError(self._too_large_status, "body too large")
            body += buffer
            buffer.clear()
        elif not self._chunked:
            self._move_data(buffer, body)
            self.done = not self._bytes_left
        else:
            self._decode_whole_chunks(buffer, body)
            while not self.done and self._decode_chunked_step(buffer, body):
                self._decode_whole_chunks(buffer, body)

    def _move_data(self, buffer: bytearray, body: bytearray) -> None:
        count = min(self._bytes_left, len(buffer))
        body += buffer[:count]
        del buffer[:count]
        self._bytes_left -= count

    def _decode_whole_chunks(self, buffer: bytearray, body: bytearray) -> None:
        """Decode plain chunks that have arrived whole, of which there may be thousands.

        All others, and whatever is wrong, are left to `_decode_chunked_step`.
        """
        if self._state != "size":
            return
        position, bytes_allowed = 0, self._bytes_allowed
        while (match := _PLAIN_CHUNK_START.match(buffer, position)) is not None:
            size = int(match[1], 16)
            start = match.end()
            end = start + size
            if not 0 < size <= bytes_allowed or buffer[end : end + 2] != b"\r\n":
                break
            body += buffer[start:end]
            bytes_allowed -= size
            position = end + 2
        self._bytes_allowed = bytes_allowed
        if position:
            del buffer[:position]

    def _decode_chunked_step(self, buffer: bytearray, body: bytearray) -> bool:
        """Decode the next data or the next framing line of a chunked body. Returns False if more bytes are
        needed.
        """
        if self._state == "data":
            self._move_data(buffer, body)
            if self._bytes_left:
                return False
            self._state = "end"
            return True
        end = buffer.find(b"\r\n")
        if end > _MAX_CHUNK_LINE_BYTES or (end < 0 and len(buffer) > _MAX_CHUNK_LINE_BYTES + 1):
            raise MessageError(400, "overlong line in a chunked body")
        if end < 0:
            return False
        line = bytes(buffer[:end])
        del buffer[: end + 2]
        if self._state == "size":
            match = _CHUNK_SIZE_LINE.fullmatch(line)
            if match is None:
                raise MessageError(400, "malformed chunk size")
            self._bytes_left = int(match[1], 16)
            self._bytes_allowed -= self._bytes_left
            if self._bytes_allowed < 0:
                raise MessageError(self._too_large_status, "body too large")
            self._state = "data" if self._bytes_left else "trailer"
        elif self._state == "end":
            if line:
                raise MessageError(400, "chunk longer than its size")
            self._state = "size"
        elif line:  # trailers are ignored
            self._trailer_bytes += len(line)
            if self._trailer_bytes > MAX_HEAD_BYTES:
                raise MessageError(431, "trailers too large")
        else:
            self.done = True
        return True
