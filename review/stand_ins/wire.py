"""HTTP/1.1 as the stand-ins speak it: requests and answers with a Content-Length."""

import asyncio
from dataclasses import dataclass


@dataclass(slots=True)
class Message:
    """A request or an answer; names of headers are in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first_line.split(" ")[1])

    @property
    def target(self) -> str:
        return self.first_line.split(" ")[1]

    @property
    def closes(self) -> bool:
        return self.headers.get("connection", "").lower() == "close"


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, or None where the connection ends before a whole one has come."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first_line, *lines = head[:-4].split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first_line, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


def encode(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message. Its Content-Length is written unless it is a GET."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    if not first_line.startswith("GET "):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def ok(body: bytes) -> bytes:
    return encode("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body)
