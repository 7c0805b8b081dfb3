"""Endpoints and discovery for plays with hostile clients, in a process of their own.

The query of a request's target tells the endpoint what to do, see `Behavior`.
"""

import asyncio
import contextlib
import json
import socket
import struct
import time
from dataclasses import dataclass
from multiprocessing.connection import Connection as Pipe
from urllib.parse import parse_qsl

import msgspec

READ_BYTES = 64 * 1024
SOCKET_BUFFER_BYTES = 64 * 1024  # keeps the kernel from hiding what the sidecar has to hold
LIST_WAIT_S = 30.0
SILENCE_S = 60.0  # longer than any play waits for an answer
CHUNKED = b"Transfer-Encoding: chunked\r\n"

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


@dataclass(frozen=True)
class Behavior:
    """What an endpoint does with one request, read from the query of its target."""

    delay: float = 0.05  # seconds before the head of the answer
    size: int = 1000  # bytes of the answer's body
    framing: str = "length"  # length, chunked or close
    lumps: int = 1  # equal parts of the answer's body
    seconds: float = 0.0  # from the head of the answer to its last part
    read_rate: float = 0.0  # bytes of the request's body a second; 0: as fast as they come
    head_fields: int = 0  # further empty fields in the head of the answer
    stop_after: int = 0  # lumps after which the endpoint ends the connection; 0: never
    read_limit: int = 0  # bytes of the request's body after which no more is read; 0: never
    is_silent: bool = False  # whether the endpoint never answers, and keeps the connection open
    reset_after: int = 0  # bytes of the answer's body after which the connection is reset; 0: never
    declines: bool = False  # whether it answers 503 and closes the connection

    @classmethod
    def parse(cls, target: str) -> "Behavior":
        """Read the query of a target. Raises `msgspec.ValidationError`."""
        return msgspec.convert(dict(parse_qsl(target.partition("?")[2])), cls, strict=False)


@dataclass(frozen=True)
class Run:
    """One request whose last byte an endpoint has received. Times are on the monotonic clock, in seconds."""

    request_id: str
    endpoint: str
    began_at: float  # when its first byte came
    complete_at: float
    ended_at: float


class Endpoint:
    """One endpoint, which records the requests that it has received whole."""

    def __init__(self, name: str, runs: list[Run]) -> None:
        self.name, self._runs, self.port = name, runs, 0
        self.started_at_ms = 0.0
        self._server: asyncio.Server | None = None
        self._writers: set[Writer] = set()

    async def start(self) -> None:
        listener = socket.create_server(("127.0.0.1", self.port), backlog=512)
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            listener.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        self._server = await asyncio.start_server(self._serve, sock=listener)
        self.port = listener.getsockname()[1]

    def entry(self, lifecycle: str = "Ready") -> dict[str, object]:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "lifecycle": lifecycle,
            "startedAtMs": self.started_at_ms,
        }

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._answer_one(reader, writer):
                pass
        writer.close()

    async def _answer_one(self, reader: Reader, writer: Writer) -> bool:
        first = await reader.readexactly(1)
        began_at = time.monotonic()
        head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request_line, *header_lines = head.split("\r\n")
        header = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in header_lines)
        }
        behavior = Behavior.parse(request_line.split()[1])
        is_whole = await self._read_body(reader, header, behavior)
        if behavior.is_silent:
            await asyncio.sleep(SILENCE_S)
            return False
        complete_at = time.monotonic()
        await asyncio.sleep(behavior.delay)
        try:
            return await self._write_answer(writer, header["req-id"], behavior) and is_whole
        finally:
            if is_whole:
                self._runs.append(
                    Run(header["req-id"], self.name, began_at, complete_at, ended_at=time.monotonic())
                )

    async def _read_body(self, reader: Reader, header: dict[str, str], behavior: Behavior) -> bool:
        """Read the request's body, and return whether that was done to its end."""
        if behavior.read_limit:
            await _read_exactly(reader, behavior.read_limit, behavior.read_rate)
            return False
        await _read_body(reader, header, behavior.read_rate)
        return True

    async def _write_answer(self, writer: Writer, request_id: str, behavior: Behavior) -> bool:
        if behavior.declines:
            writer.write(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return False
        body = answer_body(request_id, behavior.size)
        framing = {"length": b"Content-Length: %d\r\n" % len(body), "chunked": CHUNKED, "close": b""}
        extra = b"".join(b"a%d:\r\n" % number for number in range(behavior.head_fields))
        writer.write(b"HTTP/1.1 200 OK\r\n" + framing[behavior.framing] + extra + b"\r\n")
        lump_bytes = -(-len(body) // behavior.lumps)
        for number in range(behavior.lumps):
            if behavior.seconds:
                await asyncio.sleep(behavior.seconds / behavior.lumps)
            lump = body[number * lump_bytes : (number + 1) * lump_bytes]
            if 0 < behavior.reset_after < (number + 1) * lump_bytes:
                writer.write(lump[: max(behavior.reset_after - number * lump_bytes, 0)])
                _reset(writer)
                return False
            writer.write(b"%x\r\n%s\r\n" % (len(lump), lump) if behavior.framing == "chunked" else lump)
            await writer.drain()
            if number + 1 == behavior.stop_after:
                return False
        if behavior.framing == "chunked":
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return behavior.framing != "close"


def answer_body(request_id: str, size: int) -> bytes:
    """Return the body that an endpoint makes for a request."""
    text = request_id.encode() + b" "
    return (text * (size // len(text) + 1))[:size]


def _reset(writer: Writer) -> None:
    """Reset the connection once the system has sent what was written."""
    sock: socket.socket = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def _read_body(reader: Reader, header: dict[str, str], rate: float) -> None:
    if "transfer-encoding" in header:
        while (size := int((await reader.readline()).split(b";")[0], 16)) > 0:
            await _read_exactly(reader, size + 2, rate)
        while (await reader.readline()).strip():
            pass
    else:
        await _read_exactly(reader, int(header.get("content-length", 0)), rate)


async def _read_exactly(reader: Reader, count: int, rate: float) -> None:
    while count > 0:
        part = await reader.readexactly(min(count, READ_BYTES if not rate else int(rate / 16) or 1))
        count -= len(part)
        if rate:
            await asyncio.sleep(len(part) / rate)


class Discovery:
    """Answers with the whole list; a watch waits for an announced change."""

    def __init__(self, endpoints: list[Endpoint]) -> None:
        self._endpoints, self._generation, self.port = endpoints, 1, 0
        self._changed = asyncio.Event()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def list_text(self) -> str:
        entries = [endpoint.entry() for endpoint in self._endpoints]
        return json.dumps({"generation": self._generation, "reset": True, "instances": entries})

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"after=%d&" % self._generation in head:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), LIST_WAIT_S)
                body = self.list_text().encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()


async def _run(pipe: Pipe, count: int) -> None:
    runs: list[Run] = []
    endpoints = [Endpoint(f"s-{number}", runs) for number in range(count)]
    for endpoint in endpoints:
        await endpoint.start()
    discovery = Discovery(endpoints)
    await discovery.start()
    pipe.send((discovery.port, discovery.list_text()))
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, pipe.recv) != "end":
        pipe.send(list(runs))


def run_endpoints(pipe_descriptor: int, count: int) -> None:
    """The main function of the process: serve until the pipe says "end"; other words ask for the runs."""
    with contextlib.suppress(EOFError, KeyboardInterrupt):
        asyncio.run(_run(Pipe(pipe_descriptor), count))
