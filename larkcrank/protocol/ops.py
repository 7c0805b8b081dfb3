"""The operators' calls: one line in, one line out, without I/O."""

from enum import Enum

MAX_LINE = 128  # the longest call is a tenth of it; whatever is longer is none


class Call(Enum):
    PING = b"PING"
    LAMEDUCK = b"LAMEDUCK"
    REJOIN = b"REJOIN"
    VIEW = b"VIEW"


class CallError(Exception):
    """The line is no call; the message says why."""


class CallParser:
    """The call out of the bytes of one connection, however they were cut. A line ends with LF or CRLF."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Call | None:
        """The call once its line is whole. Raises `CallError`."""
        self._buffer += data
        line, end, _ = self._buffer.partition(b"\n")
        if len(line) > MAX_LINE:
            raise CallError(f"a call is a line of at most {MAX_LINE} bytes")
        if not end:
            return None
        word = bytes(line.removesuffix(b"\r"))
        try:
            return Call(word)
        except ValueError:
            known = ", ".join(call.value.decode() for call in Call)
            raise CallError(f"unknown call; known are {known}") from None


def answer(done: bool, text: str) -> bytes:
    return f"{200 if done else 400} {text}\n".encode()
