"""Peers for tests in which two things meet: what the tests hold back, and release at their word.

Each order is forced by the test's own peers, by decisions that wait for the test's word, or by doing both
things within one turn of the loop. No sleep has to hit anything.
"""

import asyncio
import math
import os
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec
import pytest

from larkcrank.core import interface as api
from larkcrank.program.counters import Counters
from larkcrank.protocol import http1
from larkcrank.protocol.discovery import ListUpdate, NameTable
from larkcrank.routing.discovery import Discovery
from larkcrank.transport.connection import Connection, PendingConnection
from larkcrank.transport.descriptors import DescriptorBudget
from tests import bed as b


class Waiting:
    """Decisions that hold every request until the test says that it goes to a server."""

    def __init__(self, bed: b.Bed) -> None:
        self.events: list[api.Event] = []
        self.on_outcome: Callable[[api.Outcome], list[api.Action]] = lambda _: []
        self._say: list[api.Action] = []
        self._driver = bed.sidecar._driver
        bed.sidecar._driver._decisions = self

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        if isinstance(event, api.Outcome):
            return self.on_outcome(event)
        actions, self._say = self._say, []
        return actions

    def say(self, *actions: api.Action) -> None:
        """Have these decided now."""
        self._say = list(actions)
        self._driver.feed(api.TimerFired(0))

    def seen(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]

    async def request(self, count: int = 1) -> int:
        """The number of the request that is taken next."""
        await b.until(lambda: len(self.seen(api.Request)) == count)
        return int(self.seen(api.Request)[-1].id)


def leave(client: b.Client, how: str) -> None:
    """End the connection in the kernel now, without a turn of the loop in between."""
    sock = client.writer.get_extra_info("socket")._sock
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.writer.transport.abort()
        os.close(sock.detach())
    elif how == "half-closed":  # it still reads
        sock.shutdown(socket.SHUT_WR)
    else:
        sock.shutdown(socket.SHUT_RDWR)


async def pooled(bed: b.Bed, client: b.Client) -> None:
    """Have an idle connection to the server, so that nothing is awaited between choice and first byte."""
    assert (await client.call("view")).status == 200
    await b.until(lambda: len(bed.sidecar.pool) == 1)


LONG = 200_000  # bytes of a body that passes through
SHAPES = ["plain", "old", "body", "ahead", "long", "long behind"]


def ask(client: b.Client, shape: str) -> None:
    """Send a request, as one of `SHAPES`."""
    long = b"POST /take/1 HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Kind: take\r\nContent-Length: %d\r\n\r\n"
    match shape:
        case "plain":
            client.send("view")
        case "old":  # neither a host nor a kept connection
            client.writer.write(b"GET /view/1 HTTP/1.0\r\nReq-Id: old\r\nReq-Kind: view\r\n\r\n")
        case "body":
            client.send("take", 8.0, "POST", body=b"ink")
        case "ahead":  # bytes behind it hide the end from whoever reads
            client.send("view")
            client.writer.write(b"GET /view HTTP/1.1\r\nHost: a\r\n")
        case "long" | "long behind":  # half of a body that passes through
            client.writer.write(long % (b"long", LONG) + b"x" * (LONG // 2))


def ask_more(client: b.Client, shape: str) -> None:
    """What it sends at the very end, so that its end stands behind unread bytes."""
    match shape:
        case "ahead":
            client.writer.write(b"Req-Kind: view\r\n")
        case "long behind":
            client.writer.write(b"x" * 1000)


class Late:
    """Connections to endpoints that come up only at the test's word."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.waiting = 0
        self.up = asyncio.Event()
        wait = PendingConnection.wait

        async def late(connecting: PendingConnection, timeout_ms: float) -> Connection:
            self.waiting += 1
            connection = await wait(connecting, timeout_ms)
            await self.up.wait()
            return connection

        monkeypatch.setattr(PendingConnection, "wait", late)


@dataclass(frozen=True)
class Dialling:
    """A request whose server is chosen, while the connection to it comes up."""

    bed: b.Bed
    endpoint: b.Endpoint
    late: Late
    client: b.Client
    waiting: Waiting

    async def outcomes(self) -> list[api.Result]:
        """How its attempts ended, once one has."""
        await b.until(lambda: bool(self.waiting.seen(api.Outcome)))
        return [outcome.result for outcome in self.waiting.seen(api.Outcome)]


@asynccontextmanager
async def dialling(
    monkeypatch: pytest.MonkeyPatch, ask: Callable[[b.Client], None], within_ms: float = math.inf
) -> AsyncIterator[Dialling]:
    """Only within so long may its attempt begin."""
    one = b.Endpoint("s-1")
    async with b.bed(one, discovery_up=False) as bed:
        late = Late(monkeypatch)
        client = await bed.client()
        waiting = Waiting(bed)
        ask(client)
        number = await waiting.request()
        waiting.say(api.Send(number, b"s-1", begin_by_ms=bed.sidecar._clock() + within_ms))
        await b.until(lambda: late.waiting > 0)
        yield Dialling(bed, one, late, client, waiting)


class Script:
    """A discovery whose every answer is given by the test, on whichever connection the call came."""

    def __init__(self) -> None:
        self.calls: list[tuple[bytes, b.Writer]] = []
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _connected(self, reader: b.Reader, writer: b.Writer) -> None:
        parser = http1.RequestParser()
        while (request := await b.read_request(reader, parser)) is not None:
            self.calls.append((request.target, writer))
        writer.close()

    def answer(self, index: int, generation: int, state: str, whole: bool) -> None:
        line = {"instanceId": "s-1", "hostPort": "127.0.0.1:9", "lifecycle": state}
        text = msgspec.json.encode({"generation": generation, "reset": whole, "instances": [line]})
        self.calls[index][1].write(http1.encode_response(200, (), text))

    async def called(self, count: int) -> bytes:
        await b.until(lambda: len(self.calls) >= count)
        return self.calls[count - 1][0]

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()


class Asker:
    """A `Discovery` that asks a `Script`."""

    def __init__(self, always: bool = True) -> None:
        self.script, self.always = Script(), always
        self.lists: list[ListUpdate] = []
        self.failures: list[str] = []

    async def __aenter__(self) -> "Asker":
        await self.script.start()
        place = ("127.0.0.1", self.script.port)
        self.counters = Counters()
        self.discovery = Discovery(
            place,
            DescriptorBudget(256),
            NameTable([], []),
            5000.0,
            self.always,
            Random(1),
            self.counters,
            print,
        )
        self.discovery.on_list = self.lists.append
        self.discovery.on_failure = self.failures.append
        return self

    async def __aexit__(self, *_: object) -> None:
        self.discovery.close()
        self.script.stop()

    def told(self) -> list[tuple[int, bool]]:
        return [(listing.generation, listing.is_full) for listing in self.lists]
