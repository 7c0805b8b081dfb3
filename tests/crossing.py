"""Peers for tests of race conditions: each waits until the test releases it.

Each test forces its order of events with its own peers, with a balancer that waits for the test, or by doing
both things within one iteration of the event loop. No test depends on the length of a sleep.
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
from larkcrank.routing.discovery import DiscoveryClient
from larkcrank.transport.connection import Connection, PendingConnection
from larkcrank.transport.descriptors import DescriptorBudget
from tests import bed as testbed


class ManualBalancer:
    """A balancer that holds every request until the test sends it to a server."""

    def __init__(self, bed: testbed.Bed) -> None:
        self.events: list[api.Event] = []
        self.on_outcome: Callable[[api.Outcome], list[api.Action]] = lambda _: []
        self.on_uploaded: Callable[[api.Uploaded], list[api.Action]] = lambda _: []
        self._next_actions: list[api.Action] = []
        self._driver = bed.sidecar._driver
        bed.sidecar._driver._balancer = self

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        if isinstance(event, api.Outcome):
            return self.on_outcome(event)
        if isinstance(event, api.Uploaded) and (decided := self.on_uploaded(event)):
            return decided
        actions, self._next_actions = self._next_actions, []
        return actions

    def decide(self, *actions: api.Action) -> None:
        """Make the balancer return these actions now."""
        self._next_actions = list(actions)
        self._driver.dispatch(api.TimerFired(0))

    def events_of(self, event_type: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, event_type)]

    async def wait_for_request(self, count: int = 1) -> int:
        """Wait until `count` requests have arrived. Returns the id of the last one."""
        await testbed.until(lambda: len(self.events_of(api.Request)) == count)
        return int(self.events_of(api.Request)[-1].id)


def disconnect(client: testbed.Client, ending: str) -> None:
    """End the connection in the kernel at once, without letting the event loop run."""
    sock = client.writer.get_extra_info("socket")._sock
    if ending == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.writer.transport.abort()
        os.close(sock.detach())
    elif ending == "half-closed":  # The client still reads.
        sock.shutdown(socket.SHUT_WR)
    else:
        sock.shutdown(socket.SHUT_RDWR)


async def open_pooled_connection(bed: testbed.Bed, client: testbed.Client) -> None:
    """Put an idle connection to the server into the pool, so that nothing is awaited between the choice of a
    server and the first byte.
    """
    bed.make_times_known()
    assert (await client.call("view")).status == 200
    await testbed.until(lambda: len(bed.sidecar.pool) == 1)
    for connection_number in (
        1,
        2,
    ):  # before it is known that answers repeat, only safe requests use it again
        bed.sidecar._servers._answer_records.add_answer(0, digest=1, connection_number=connection_number)


LONG_BODY_BYTES = 200_000  # Length of a body that is forwarded while it is received.
REQUEST_KINDS = ["plain", "old", "body", "ahead", "long", "long behind"]


def send_request(client: testbed.Client, kind: str) -> None:
    """Send a request of one of `REQUEST_KINDS`."""
    long_request_head = (
        b"POST /take/1 HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Kind: take\r\nContent-Length: %d\r\n\r\n"
    )
    match kind:
        case "plain":
            client.send("view")
        case "old":  # An HTTP/1.0 request, without a Host header or keep-alive.
            client.writer.write(b"GET /view/1 HTTP/1.0\r\nReq-Id: old\r\nReq-Kind: view\r\n\r\n")
        case "body":
            client.send("take", 8.0, "POST", body=b"ink")
        case "ahead":  # Pipelined bytes after the request hide the end of the connection from a reader.
            client.send("view")
            client.writer.write(b"GET /view HTTP/1.1\r\nHost: a\r\n")
        case "long" | "long behind":  # Half of a body that is forwarded while it is received.
            client.writer.write(
                long_request_head % (b"long", LONG_BODY_BYTES) + b"x" * (LONG_BODY_BYTES // 2)
            )


def send_trailing_bytes(client: testbed.Client, kind: str) -> None:
    """Send the last bytes of a request of this kind, so that the end of the connection comes after unread
    bytes.
    """
    match kind:
        case "ahead":
            client.writer.write(b"Req-Kind: view\r\n")
        case "long behind":
            client.writer.write(b"x" * 1000)


class DelayedConnects:
    """Holds back new connections to endpoints until the test releases them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.started_count = 0
        self.released = asyncio.Event()
        original_wait = PendingConnection.wait

        async def delayed_wait(connecting: PendingConnection, timeout_ms: float) -> Connection:
            self.started_count += 1
            connection = await original_wait(connecting, timeout_ms)
            await self.released.wait()
            return connection

        monkeypatch.setattr(PendingConnection, "wait", delayed_wait)


@dataclass(frozen=True)
class ConnectingRequest:
    """A request whose server is chosen and whose connection is still being established."""

    bed: testbed.Bed
    endpoint: testbed.Endpoint
    delayed_connects: DelayedConnects
    client: testbed.Client
    balancer: ManualBalancer

    async def wait_for_outcomes(self) -> list[api.Result]:
        """Wait until an attempt has ended. Returns the results of all ended attempts."""
        await testbed.until(lambda: bool(self.balancer.events_of(api.Outcome)))
        return [outcome.result for outcome in self.balancer.events_of(api.Outcome)]


@asynccontextmanager
async def connecting_request(
    monkeypatch: pytest.MonkeyPatch,
    send_request: Callable[[testbed.Client], None],
    begin_within_ms: float = math.inf,
) -> AsyncIterator[ConnectingRequest]:
    """Start a request whose connection is held back. Its attempt may only begin within `begin_within_ms`."""
    endpoint = testbed.Endpoint("s-1")
    async with testbed.bed(endpoint, discovery_up=False) as bed:
        delayed_connects = DelayedConnects(monkeypatch)
        client = await bed.client()
        balancer = ManualBalancer(bed)
        send_request(client)
        request_id = await balancer.wait_for_request()
        balancer.decide(api.Send(request_id, b"s-1", begin_by_ms=bed.sidecar._clock() + begin_within_ms))
        await testbed.until(lambda: delayed_connects.started_count > 0)
        yield ConnectingRequest(bed, endpoint, delayed_connects, client, balancer)


class ScriptedDiscovery:
    """A discovery server whose responses are chosen by the test, on whichever connection the call arrived."""

    def __init__(self) -> None:
        self.calls: list[tuple[bytes, testbed.Writer]] = []
        self._listener: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self._listener = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    async def _connected(self, reader: testbed.Reader, writer: testbed.Writer) -> None:
        parser = http1.RequestParser()
        while (request := await testbed.read_request(reader, parser)) is not None:
            self.calls.append((request.target, writer))
        writer.close()

    def send_list(self, index: int, generation: int, lifecycle: str, is_full_list: bool) -> None:
        list_entry = {"instanceId": "s-1", "hostPort": "127.0.0.1:9", "lifecycle": lifecycle}
        response_body = msgspec.json.encode(
            {"generation": generation, "reset": is_full_list, "instances": [list_entry]}
        )
        self.calls[index][1].write(http1.encode_response(200, (), response_body))

    async def wait_for_call(self, count: int) -> bytes:
        await testbed.until(lambda: len(self.calls) >= count)
        return self.calls[count - 1][0]

    def stop(self) -> None:
        assert self._listener is not None
        self._listener.close()


class DiscoveryHarness:
    """A `DiscoveryClient` that calls a `ScriptedDiscovery`."""

    def __init__(self, watch_after_move: bool = True) -> None:
        self.server, self.watch_after_move = ScriptedDiscovery(), watch_after_move
        self.lists: list[ListUpdate] = []
        self.failures: list[str] = []

    async def __aenter__(self) -> "DiscoveryHarness":
        await self.server.start()
        host_port = ("127.0.0.1", self.server.port)
        self.counters = Counters()
        self.discovery = DiscoveryClient(
            host_port,
            DescriptorBudget(256),
            NameTable([], []),
            5000.0,
            self.watch_after_move,
            Random(1),
            self.counters,
            print,
        )
        self.discovery.on_list = self.lists.append
        self.discovery.on_failure = self.failures.append
        return self

    async def __aexit__(self, *_: object) -> None:
        self.discovery.close()
        self.server.stop()

    def received_lists(self) -> list[tuple[int, bool]]:
        return [(listing.generation, listing.is_full) for listing in self.lists]
