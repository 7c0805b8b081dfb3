"""The operators' protocol without I/O: a call and its answer are one line each."""

from enum import Enum

MAX_LINE_BYTES = 128  # about ten times the longest call; a longer line can't be a call


class Call(Enum):
    """The calls an operator can make; the values are the lines sent."""

    PING = b"PING"
    LAMEDUCK = b"LAMEDUCK"
    REJOIN = b"REJOIN"
    VIEW = b"VIEW"


class CallError(Exception):
    """The line is not a valid call. The message tells why."""


class CallParser:
    """Parses one call from the bytes of a connection, however they are split. A line ends with LF or CRLF."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Call | None:
        """Return the call as soon as its line is complete, and None before. Raises `CallError`."""
        self._buffer += data
        line, newline, _ = self._buffer.partition(b"\n")
        if len(line) > MAX_LINE_BYTES:
            raise CallError(f"a call is a line of at most {MAX_LINE_BYTES} bytes")
        if not newline:
            return None
        name = bytes(line.removesuffix(b"\r"))
        try:
            return Call(name)
        except ValueError:
            known = ", ".join(call.value.decode() for call in Call)
            raise CallError(f"unknown call; known are {known}") from None


def encode_answer(succeeded: bool, text: str) -> bytes:
    """Return the answer line: 200 or 400, then the text."""
    return f"{200 if succeeded else 400} {text}\n".encode()
