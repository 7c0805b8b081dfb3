"""Fixtures of the tier tests: a discovery server, tiers and receivers on loopback in one event loop."""

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

FAST_SETTINGS = {
    "spread_ms": 20.0,
    "again_max_ms": 50.0,
    "gather_ms": 20.0,
    "wait_ms": 300,
    "slack_ms": 300.0,
}


def instance(instance_id: str, lifecycle: str = "Ready", **fields: Any) -> dict[str, Any]:
    """An instance as a discovery service publishes it."""
    return {
        "instanceId": instance_id,
        "hostPort": "127.0.0.1:9",
        "zone": "a",
        "lifecycle": lifecycle,
    } | fields


class DiscoveryServer:
    """Serves the discovery protocol from a log of changes; a generation is a length of this log.

    Each body passes through `transform_body`, which tests replace to send faulty answers.
    """

    def __init__(self, *instance_ids: str) -> None:
        self._log: list[dict[str, Any]] = [instance(instance_id) for instance_id in instance_ids]
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.targets: list[str] = []  # of all requests
        self.transform_body: Callable[[bytes], bytes | None] = lambda body: body  # None: no response
        self.status = 200
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> "DiscoveryServer":
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        return self

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def publish(self, *instances: dict[str, Any]) -> None:
        self._log += instances
        self._wake_watches()

    def reset_generations(self, *instance_ids: str) -> None:
        """Start the generations again with this list, as a restarted service does."""
        self._log = [instance(instance_id) for instance_id in instance_ids]
        self._wake_watches()

    def _wake_watches(self) -> None:
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
                    self.targets.append(target)
                    original_body = await self._answer(target)
                    body = self.transform_body(original_body)
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
        full = not 0 <= after <= len(self._log)
        latest = {entry["instanceId"]: entry for entry in self._log[0 if full else after :]}
        instances = [entry for entry in latest.values() if not (full and entry["lifecycle"] == "Gone")]
        return json.dumps({"generation": len(self._log), "reset": full, "instances": instances}).encode()


class TcpProxy:
    """Forwards connections to `upstream`. While it is stalled, connections stay open but carry no data."""

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.address = ""
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []
        self.accepted = 0  # connections

    async def start(self) -> "TcpProxy":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        return self

    def stall(self) -> None:
        self._flowing.clear()

    def reset(self) -> None:
        """Abort all connections, with any data they hold, and forward new ones."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        self._flowing.set()

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        self.accepted += 1
        try:
            await self._flowing.wait()
            host, _, port = self.upstream.rpartition(":")
            upstream_streams = await asyncio.open_connection(host, int(port))
            self._writers.append(upstream_streams[1])
            await asyncio.gather(
                self._forward(reader, upstream_streams[1]), self._forward(upstream_streams[0], writer)
            )
        except (OSError, asyncio.CancelledError):  # the loop may end meanwhile
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self._flowing.wait()
                writer.write(data)
        except ConnectionError:
            pass
        writer.close()


class TierRunner:
    """Starts, stops and restarts one tier in this event loop, and reads its log.

    The keyword arguments are keys of the configuration file.
    """

    def __init__(self, **config_fields: Any) -> None:
        settings = FAST_SETTINGS | config_fields.pop("settings", {})
        self.config_fields = {"name": "t", "listen": "127.0.0.1:0", "settings": settings} | config_fields
        self._log_output = io.BytesIO()
        self._tier: Tier | None = None

    async def start(self) -> "TierRunner":
        parsed = config.parse(json.dumps(self.config_fields).encode())
        self._tier = Tier(parsed, Log(parsed.name, self._log_output))
        await self._tier.start()
        return self

    async def stop(self) -> None:
        if self._tier is not None:
            await self._tier.stop()
            self._tier = None

    @property
    def tier(self) -> Tier:
        assert self._tier is not None
        return self._tier

    @property
    def child_address(self) -> str:
        """The listener for child tiers."""
        return "{}:{}".format(*self.tier.child_listener.address)

    @property
    def parent_address(self) -> str:
        """The listener for the parent tier."""
        assert self.tier.parent_listener is not None
        return "{}:{}".format(*self.tier.parent_listener.address)

    def sidecar_address(self, index: int = 0) -> str:
        """A listener for sidecars."""
        return "{}:{}".format(*self.tier.sidecar_listeners[index].address)

    def events(self, name: str) -> list[dict[str, Any]]:
        """The logged events of this name."""
        logged = [json.loads(text) for text in self._log_output.getvalue().splitlines()]
        return [event for event in logged if event["event"] == name]


@asynccontextmanager
async def running(*runners: TierRunner) -> AsyncIterator[None]:
    try:
        for runner in runners:
            await runner.start()
        yield
    finally:
        for runner in runners:
            await runner.stop()


class ListClient:
    """Requests the list from one address as a sidecar does, and keeps the instances that it received."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.generation: int | None = None
        self.instances: dict[str, dict[str, Any]] = {}
        self.last_answer: dict[str, Any] = {}
        self.reappeared: set[str] = set()  # instances that were live again after they were gone
        self._gone: set[str] = set()

    async def get(self, target: str, header: str = "") -> tuple[int, bytes]:
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
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

    async def poll(self, wait_ms: int = 20_000) -> int:
        """Request the changes since the last answer, or the full list. Returns the status."""
        target = "/registry/instances"
        if self.generation is not None:
            target += f"?after={self.generation}&wait_ms={wait_ms}"
        status, body = await self.get(target)
        if status == 200:
            self.apply(json.loads(body), full=self.generation is None)
        return status

    def apply(self, answer: dict[str, Any], full: bool = False) -> None:
        self.last_answer = answer
        self.generation = answer["generation"]
        if full or answer["reset"]:
            self.instances.clear()
        for fields in answer["instances"]:
            instance_id = fields["instanceId"]
            if fields["lifecycle"] == "Gone":
                self.instances.pop(instance_id, None)
                self._gone.add(instance_id)
            else:
                self.instances[instance_id] = fields
                if instance_id in self._gone:
                    self.reappeared.add(instance_id)

    @property
    def lifecycles(self) -> dict[str, str]:
        return {instance_id: fields["lifecycle"] for instance_id, fields in sorted(self.instances.items())}

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


async def operator_call(runner: TierRunner, line: str) -> tuple[int, Any]:
    """The status code and the answer, decoded if it is JSON."""
    address = runner.tier.ops_address
    assert address is not None
    reader, writer = await asyncio.open_connection(*address)
    writer.write(line.encode() + b"\n")
    code, _, text = (await reader.read()).decode().strip().partition(" ")
    writer.close()
    return int(code), json.loads(text) if text.startswith("{") else text


async def poll_until_list(client: ListClient) -> None:
    """Poll until the first successful answer."""
    while await client.poll() != 200:
        await asyncio.sleep(0.01)


async def poll_until(client: ListClient, condition: Callable[[], bool]) -> None:
    while not condition():
        await client.poll()
