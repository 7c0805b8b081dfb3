"""Servers, the network between them and the sidecars, and discovery."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from stand_ins.record import Record
from stand_ins.wire import Message, ok, read_message


class Link:
    """A way to a server that delays what passes, by the same time in both directions and in order."""

    def __init__(self, one_way_ms: float) -> None:
        self._delay_s = one_way_ms / 1000.0
        self._to_port = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, to_port: int) -> int:
        """Listen on a free port, which is returned, for what goes to `to_port`."""
        self._to_port = to_port
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._to_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._carry(reader, far_writer), self._carry(far_reader, writer))

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                loop.call_later(self._delay_s, self._deliver, writer, data)
            loop.call_later(self._delay_s, writer.close)
        except ConnectionError:
            loop.call_later(self._delay_s, writer.transport.abort)

    @staticmethod
    def _deliver(writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)


class Connection:
    """One connection to a server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.in_hand = 0  # requests that have come whole and are not answered yet

    @property
    def is_waited_on(self) -> bool:
        """Whether a request, or a part of one, has come and is not answered yet."""
        return bool(self.in_hand or self.reader._buffer)


Behavior = Callable[["Server", Connection, Message], Awaitable[bytes | None]]


class Server:
    """A server. `serve` returns the answer to each request, or None where there is none."""

    def __init__(self, name: str, zone: str, record: Record, serve: Behavior, one_way_ms: float) -> None:
        self.name, self.zone, self.record, self._serve = name, zone, record, serve
        self._link = Link(one_way_ms)
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = await self._link.start(server.sockets[0].getsockname()[1])

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        while (request := await read_message(reader)) is not None:
            connection.in_hand += 1
            answer = await self._serve(self, connection, request)
            connection.in_hand -= 1
            if answer is None:
                break
            if not writer.is_closing():
                writer.write(answer)
        writer.close()

    def entry(self) -> dict[str, Any]:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": "plain",
            "cell": 0,
            "lifecycle": "Ready",
            "weight": 1.0,
            "startedAtMs": 0,
        }


class Discovery:
    """Discovery, with a list that does not change."""

    def __init__(self, servers: list[Server]) -> None:
        self._servers = servers
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def list(self) -> dict[str, Any]:
        return {"generation": 1, "reset": True, "instances": [server.entry() for server in self._servers]}

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_message(reader)) is not None:
            query = parse_qs(urlsplit(request.target).query)
            body = self.list()
            if query.get("after") == ["1"]:
                await asyncio.sleep(int(query["wait_ms"][0]) / 1000.0)
                body = {"generation": 1, "reset": False, "instances": []}
            if writer.is_closing():
                return
            writer.write(ok(json.dumps(body).encode()))
        writer.close()
