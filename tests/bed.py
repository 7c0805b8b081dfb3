"""A sidecar on loopback with endpoints and discovery of the tests' own around it, all in one loop."""

import asyncio
import io
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any, TypeAlias

from larkcrank.config import sidecar as config
from larkcrank.program.log import Log
from larkcrank.program.sidecar import Sidecar
from larkcrank.protocol import http1
from tests.frames import CONFIG

LONG_S = 20.0  # nothing is timed by it: it ends a test that hangs

Reader: TypeAlias = asyncio.StreamReader
Writer: TypeAlias = asyncio.StreamWriter

CLASSES: list[dict[str, Any]] = [
    {"aim-ms": 4000.0, "deadline-ms": 8000.0, "effect": "retryable", "name": "view", "points": 2.0},
    {"aim-ms": 4000.0, "deadline-ms": 8000.0, "effect": "fragile", "name": "take", "points": 2.0},
    {
        "aim-ms": 4000.0,
        "deadline-ms": 8000.0,
        "effect": "dedup",
        "group": "all",
        "window-ms": 9000.0,
        "name": "book",
        "points": 2.0,
    },
    {
        "aim-ms": 4000.0,
        "deadline-ms": 8000.0,
        "effect": "retryable",
        "name": "feed",
        "points": 2.0,
        "streaming": True,
    },
]


def run(work: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(LONG_S):
            await work

    asyncio.run(limited())


async def until(true: Callable[[], bool]) -> None:
    while not true():
        await asyncio.sleep(0.002)


async def read_request(reader: Reader, parser: http1.RequestParser) -> http1.Request | None:
    while (request := parser.next()) is None:
        data = await reader.read(65536)
        if not data:
            return None
        parser.feed(data)
    body = bytearray(request.body)
    while parser.is_streaming:
        data = await reader.read(65536)
        if not data:
            return None
        parser.feed(data)
        body += parser.take_part()
    return replace(request, body=bytes(body), is_complete=True)


Serve: TypeAlias = Callable[["Endpoint", http1.Request, Writer], Awaitable[None]]


async def say_ok(endpoint: "Endpoint", request: http1.Request, writer: Writer) -> None:
    writer.write(
        http1.encode_response(200, (b"X-From: " + endpoint.name.encode(),), b"made by " + request.target)
    )


async def say_declined(endpoint: "Endpoint", request: http1.Request, writer: Writer) -> None:
    writer.write(http1.encode_response(503, (b"Srv-Declined: 1",), b""))


async def say_error(endpoint: "Endpoint", request: http1.Request, writer: Writer) -> None:
    writer.write(http1.encode_response(500, (), b""))


async def hang_up(endpoint: "Endpoint", request: http1.Request, writer: Writer) -> None:
    writer.close()


def after(gate: asyncio.Event) -> Serve:
    """Answer once the gate is open."""

    async def wait(endpoint: "Endpoint", request: http1.Request, writer: Writer) -> None:
        await gate.wait()
        await say_ok(endpoint, request, writer)

    return wait


async def say_nothing(endpoint: "Endpoint", request: http1.Request, writer: Writer) -> None:
    return


async def say_half(endpoint: "Endpoint", request: http1.Request, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
    writer.close()


class Endpoint:
    """Answers requests as `serve` says; keeps what came and how many connections ended."""

    def __init__(self, name: str, serve: Serve = say_ok) -> None:
        self.name = name
        self.serve = serve
        self.requests: list[http1.Request] = []
        self.opened = self.ended = 0
        self.writers: list[Writer] = []
        self.lifecycle = "Ready"
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self.writers:
            writer.close()

    async def _connected(self, reader: Reader, writer: Writer) -> None:
        self.opened += 1
        self.writers.append(writer)
        parser = http1.RequestParser()
        try:
            while (request := await read_request(reader, parser)) is not None:
                self.requests.append(request)
                await self.serve(self, request, writer)
        except ConnectionError:
            pass
        finally:
            self.ended += 1
            writer.close()

    def line(self) -> dict[str, object]:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "lifecycle": self.lifecycle,
            "startedAtMs": 0,
        }


class ToyDiscovery:
    """Watches wait until `tell` says that something changed."""

    def __init__(self, endpoints: list[Endpoint]) -> None:
        self.endpoints = endpoints
        self.generation = 1
        self.targets: list[bytes] = []
        self.port = 0
        self._changed = asyncio.Event()
        self._changes: list[Endpoint] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    def text(self, endpoints: list[Endpoint], reset: bool) -> bytes:
        lines = [endpoint.line() for endpoint in endpoints]
        return json.dumps({"generation": self.generation, "reset": reset, "instances": lines}).encode()

    def tell(self, *endpoints: Endpoint) -> None:
        self.generation += 1
        self._changes = list(endpoints)
        self._changed.set()

    async def _connected(self, reader: Reader, writer: Writer) -> None:
        parser = http1.RequestParser()
        while (request := await read_request(reader, parser)) is not None:
            self.targets.append(request.target)
            if b"after=%d&" % self.generation in request.target:
                self._changed.clear()
                await self._changed.wait()
                body = self.text(self._changes, reset=False)
            else:
                body = self.text(self.endpoints, reset=True)
            writer.write(http1.encode_response(200, (), body))
        writer.close()


class Client:
    """One connection of the application."""

    sent = 0

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self.reader, self.writer = reader, writer
        self._buffered = b""

    def send(
        self, kind: str, wait_s: float = 8.0, method: str = "", *lines: bytes, body: bytes = b""
    ) -> None:
        method = method or ("GET" if kind in ("view", "feed") else "POST")
        Client.sent += 1
        head = (
            b"Host: backend.local",
            b"Req-Id: r%d" % Client.sent,
            f"Req-Kind: {kind}".encode(),
            f"Req-Deadline: {wait_s}".encode(),
            *lines,
        )
        self.writer.write(http1.encode_request(method.encode(), f"/{kind}/1".encode(), head, body))

    async def answer(self, max_body: int = http1.MAX_BODY_BYTES) -> http1.Response:
        """The next answer. Raises ConnectionError where the connection ends before it is whole."""
        parser = http1.ResponseParser(max_body)
        while not parser.complete:
            data = await self.reader.read(65536)
            if not data:
                raise ConnectionError("ended before the answer was whole")
            parser.feed(data)
        return parser.response()

    async def call(self, kind: str, wait_s: float = 8.0, method: str = "", *lines: bytes) -> http1.Response:
        self.send(kind, wait_s, method, *lines)
        return await self.answer()

    def close(self) -> None:
        self.writer.close()


class Bed:
    def __init__(self, discovery: ToyDiscovery, log: io.BytesIO, file: dict[str, Any]) -> None:
        self.file: Any = file  # what the sidecar's configuration holds; read anew on a reload
        self.discovery = discovery
        self._log = log
        self.sidecar = Sidecar(self.read(), Log("n0", log), self.read)

    def read(self) -> config.Config:
        return config.parse(json.dumps(self.file).encode(), {}, again=True)

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(*self.sidecar.place))

    async def operator(self, text: bytes) -> bytes:
        """What an operator is told: one call on a connection of its own."""
        reader, writer = await asyncio.open_connection(*self.sidecar.ops_place)
        writer.write(text)
        said = await reader.read()
        writer.close()
        return said

    def lines(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self._log.getvalue().splitlines()]

    def events(self) -> list[str]:
        return [line["event"] for line in self.lines()]


@asynccontextmanager
async def bed(
    *endpoints: Endpoint,
    sockets: int = 1024,
    known: bool = True,
    discovery_up: bool = True,
    kept: str = "",
    ops: str = "",
    memory_mb: float = 192.0,
    **changes: Any,
) -> AsyncIterator[Bed]:
    """A sidecar that knows these endpoints from its start on."""
    for endpoint in endpoints:
        if not endpoint.port:  # one with a port is played by the test itself
            await endpoint.start()
    discovery = ToyDiscovery(list(endpoints))
    await discovery.start()
    if not discovery_up:
        await discovery.stop()
    file = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "7",
        "limits": {"sockets": sockets, "memory_mb": memory_mb},
        "kept": kept,
        "ops": ops,
        "known": json.loads(discovery.text(list(endpoints), True)) if known else None,
        "settings": CONFIG | {"grades": CLASSES, "registry-mode": "subscribe"} | changes,
    }
    log = io.BytesIO()
    bed = Bed(discovery, log, file)
    sidecar = bed.sidecar
    sidecar.start()
    try:
        yield bed
    finally:
        sidecar.close()
        await discovery.stop()
        for endpoint in endpoints:
            await endpoint.stop()
