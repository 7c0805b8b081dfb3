"""Discovery of the tests' own, tiers and receivers on loopback, all in one loop."""

import asyncio
import io
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from larkcrank.program.log import Log
from larkcrank.protocol import http1
from larkcrank.tiers import config
from larkcrank.tiers.program import Tier

FAST = {"spread_ms": 20.0, "again_max_ms": 50.0, "gather_ms": 20.0, "wait_ms": 300, "slack_ms": 300.0}


def line(name: str, lifecycle: str = "Ready", **more: Any) -> dict[str, Any]:
    return {"instanceId": name, "hostPort": "127.0.0.1:9", "zone": "a", "lifecycle": lifecycle} | more


class Discovery:
    """The published protocol over a list that tests change; `spoil` makes of an answer what they like."""

    def __init__(self, *names: str) -> None:
        self._log: list[dict[str, Any]] = [line(name) for name in names]
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.place = ""
        self.calls: list[str] = []
        self.spoil: Callable[[bytes], bytes | None] = lambda body: body  # None: no answer
        self.status = 200
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> "Discovery":
        port = int(self.place.rpartition(":")[2]) if self.place else 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.place = "{}:{}".format(*self._server.sockets[0].getsockname())
        return self

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def tell(self, *lines: dict[str, Any]) -> None:
        self._log += lines
        self._wake()

    def begin_anew(self, *names: str) -> None:
        """It counts from the start again, with this list."""
        self._log = [line(name) for name in names]
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        parser = http1.RequestParser()
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while (request := parser.next()) is not None:
                    target = request.target.decode()
                    self.calls.append(target)
                    told = await self._answer(target)
                    body = self.spoil(told)
                    if body is not None:
                        writer.write(http1.encode_response(self.status, (), body))
        except (ConnectionError, asyncio.CancelledError):
            pass  # the loop may end while a watch waits
        finally:
            writer.close()

    async def _answer(self, target: str) -> bytes:
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
        after = int(query.get("after", -1))
        if 0 <= after <= len(self._log):
            try:
                async with asyncio.timeout(int(query["wait_ms"]) / 1000.0):
                    while after == len(self._log):
                        await self._changed.wait()
            except TimeoutError:
                pass
        whole = not 0 <= after <= len(self._log)
        last = {one["instanceId"]: one for one in self._log[0 if whole else after :]}
        lines = [one for one in last.values() if not (whole and one["lifecycle"] == "Gone")]
        return json.dumps({"generation": len(self._log), "reset": whole, "instances": lines}).encode()


class Link:
    """Passes bytes between whoever connects and one place; while it is cut they stay where they are."""

    def __init__(self, place: str) -> None:
        self.to = place
        self.place = ""
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []
        self.taken = 0

    async def start(self) -> "Link":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.place = "{}:{}".format(*self._server.sockets[0].getsockname())
        return self

    def cut(self) -> None:
        self._open.clear()

    def heal(self) -> None:
        """What stood in cut connections is lost with them."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        self._open.set()

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        self.heal()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        self.taken += 1
        try:
            await self._open.wait()
            host, _, port = self.to.rpartition(":")
            there = await asyncio.open_connection(host, int(port))
            self._writers.append(there[1])
            await asyncio.gather(self._pass(reader, there[1]), self._pass(there[0], writer))
        except (OSError, asyncio.CancelledError):  # the loop may end meanwhile
            writer.transport.abort()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
        except ConnectionError:
            pass
        writer.close()


class Running:
    """A tier that runs in this loop, with the lines of its log."""

    def __init__(self, **told: Any) -> None:
        settings = FAST | told.pop("settings", {})
        self.told = {"name": "t", "listen": "127.0.0.1:0", "settings": settings} | told
        self._out = io.BytesIO()
        self.tier: Tier | None = None

    async def start(self) -> "Running":
        parsed = config.parse(json.dumps(self.told).encode())
        self.tier = Tier(parsed, Log(parsed.name, self._out))
        await self.tier.start()
        return self

    async def stop(self) -> None:
        if self.tier is not None:
            await self.tier.stop()
            self.tier = None

    @property
    def it(self) -> Tier:
        assert self.tier is not None
        return self.tier

    @property
    def listen(self) -> str:
        return "{}:{}".format(*self.it.listen.place)

    @property
    def own(self) -> str:
        assert self.it.own is not None
        return "{}:{}".format(*self.it.own.place)

    def door(self, index: int = 0) -> str:
        return "{}:{}".format(*self.it.doors[index].place)

    def events(self, name: str) -> list[dict[str, Any]]:
        found = [json.loads(text) for text in self._out.getvalue().splitlines()]
        return [one for one in found if one["event"] == name]


@asynccontextmanager
async def running(*tiers: Running) -> AsyncIterator[None]:
    try:
        for one in tiers:
            await one.start()
        yield
    finally:
        for one in tiers:
            await one.stop()


class Receiver:
    """Asks one place as a sidecar does, one call at a time; keeps the list that it was told."""

    def __init__(self, place: str) -> None:
        host, _, port = place.rpartition(":")
        self._place = (host, int(port))
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.generation: int | None = None
        self.lines: dict[str, dict[str, Any]] = {}
        self.last: dict[str, Any] = {}
        self.returned: set[str] = set()  # told Gone, and alive again later
        self._gone: set[str] = set()

    async def call(self, target: str, header: str = "") -> tuple[int, bytes]:
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._place)
        reader, writer = self._streams
        writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n{header}\r\n".encode())
        parser = http1.ResponseParser()
        while not parser.complete:
            data = await reader.read(65536)
            if not data:
                raise ConnectionError("ended")
            parser.feed(data)
        response = parser.response()
        return response.status, response.body

    async def ask(self, wait_ms: int = 20_000) -> int:
        target = "/registry/instances"
        if self.generation is not None:
            target += f"?after={self.generation}&wait_ms={wait_ms}"
        status, body = await self.call(target)
        if status == 200:
            self.take(json.loads(body), whole=self.generation is None)
        return status

    def take(self, answer: dict[str, Any], whole: bool = False) -> None:
        self.last = answer
        self.generation = answer["generation"]
        if whole or answer["reset"]:
            self.lines.clear()
        for one in answer["instances"]:
            name = one["instanceId"]
            if one["lifecycle"] == "Gone":
                self.lines.pop(name, None)
                self._gone.add(name)
            else:
                self.lines[name] = one
                if name in self._gone:
                    self.returned.add(name)

    @property
    def states(self) -> dict[str, str]:
        return {name: one["lifecycle"] for name, one in sorted(self.lines.items())}

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


async def operator(tier: Running, line: str) -> tuple[int, Any]:
    """The code and the text, or what it is in JSON."""
    place = tier.it.ops_place
    assert place is not None
    reader, writer = await asyncio.open_connection(*place)
    writer.write(line.encode() + b"\n")
    code, _, text = (await reader.read()).decode().strip().partition(" ")
    writer.close()
    return int(code), json.loads(text) if text.startswith("{") else text


async def whole(receiver: Receiver) -> None:
    """Ask until there is a list."""
    while await receiver.ask() != 200:
        await asyncio.sleep(0.01)


async def until_told(receiver: Receiver, true: Callable[[], bool]) -> None:
    while not true():
        await receiver.ask()
