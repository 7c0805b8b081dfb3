"""After a failed call to discovery, its next word comes within 6 s of its return: aimed at are 5 s.

Sidecars and discovery are real and talk over loopback sockets; time is virtual (`virtual_loop.py`), so that
a minute costs a moment and what is measured does not hang on how busy the machine is.
"""

import asyncio
import io
import json
import math
import os
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from larkcrank.config import sidecar as config
from larkcrank.core import interface as api
from larkcrank.fleet import speaker
from larkcrank.fleet.asking import ALONE_TURNS, TURN_MS, Asking
from larkcrank.program import handover
from larkcrank.program.log import Log
from larkcrank.program.sidecar import Sidecar
from larkcrank.protocol import http1
from larkcrank.routing import discovery
from tests import bed as b
from tests import virtual_loop
from tests.frames import CONFIG

WAYS = (
    "refused",
    "never comes up",
    "reset",
    "503",
    "half a head",
    "half a body",
    "hang",
    "hang within the head",
    "hang within the body",
    "endless",
    "flood",
    "no list",
)
TOLD_S = 5.0  # aimed at; 6 s are allowed
SIDECARS = 20
CALM_S = 10.0  # by then all watch: the first calls of those that have to ask are spread over 3 s
HOST = f"127.77.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}"  # its ports are nobody else's
LIMIT_S = 1000.0  # of virtual time: it ends a test that hangs


def _line(number: int, lifecycle: str) -> dict[str, object]:
    return {"instanceId": f"s-{number}", "hostPort": f"127.0.0.1:{9 + number}", "lifecycle": lifecycle}


class Service:
    """Discovery with one list, which can fail in every way; a call that came while it failed stays failed."""

    def __init__(self) -> None:
        self.way = ""  # to fail; "" is none
        self.drained = False
        self.crosses = False  # a second call on a connection meets its end; one on a new one hangs
        self.calls: list[tuple[float, bytes]] = []
        self.answered = 0
        self._changed, self._never = asyncio.Event(), asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._sock: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._server: asyncio.Server | None = None
        self.port = 0

    # What a test does with it

    async def start(self) -> None:
        sock = self._listen(128)
        self._server = await asyncio.start_server(self._connected, sock=sock)

    def _listen(self, backlog: int) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, self.port))
        sock.listen(backlog)
        sock.setblocking(False)
        self.port = sock.getsockname()[1]
        return sock

    def drain(self, watches: bool = True) -> None:
        """From now on it tells that the first server drains, new callers alone where `watches` is off."""
        self.drained = True
        if watches:
            self._changed.set()

    def touch(self) -> None:
        """Answer all watches with nothing."""
        self._changed.set()

    async def fail(self, way: str, ends: bool = True) -> None:
        """Fail in this way from now on; open watches end, or stay silent for good."""
        self.way = way
        if ends:
            for writer in list(self._writers):
                _reset(writer)
        if way in ("refused", "never comes up"):
            assert self._server is not None
            self._server.close()
            self._server = None
        if way == "never comes up":  # a full backlog: the kernel drops what asks for a connection
            self._sock = self._listen(0)
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((HOST, self.port))
                self._fillers.append(filler)

    async def heal(self) -> None:
        """Every new call is answered from now on."""
        self.way = ""
        for one in self._fillers:
            one.close()
        self._fillers.clear()
        if self._sock is not None:
            self._sock.close()
            self._sock = None
        if self._server is None:
            await self.start()

    async def stop(self) -> None:
        await self.heal()
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.close()
        for task in self._tasks:
            task.cancel()

    # What it does with calls

    async def _connected(self, reader: b.Reader, writer: b.Writer) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        parser, answered = http1.RequestParser(), False
        try:
            while (request := await b.read_request(reader, parser)) is not None:
                self.calls.append((asyncio.get_running_loop().time(), request.target))
                if self.crosses and answered:
                    _reset(writer)
                    break
                answered = True
                if not await self._serve(
                    request.target, reader, writer, "hang" if self.crosses else self.way
                ):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _serve(self, target: bytes, reader: b.Reader, writer: b.Writer, way: str) -> bool:
        """Whether the connection goes on."""
        match way:
            case "":
                return await self._tell(target, writer)
            case "reset":
                _reset(writer)
                return False
            case "503":
                writer.write(http1.encode_response(503, (), b""))
                return True
            case "no list":
                writer.write(http1.encode_response(200, (), b'{"generation":"?"}'))
                return True
            case "endless":
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                while not writer.is_closing():
                    writer.write(b"1\r\n \r\n")
                    await asyncio.sleep(0.2)
                return False
            case "flood":
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                while not writer.is_closing():
                    writer.write(b"10000\r\n" + b" " * 65536 + b"\r\n")
                    await writer.drain()
                return False
        begun = {
            "hang": b"",
            "hang within the head": b"HTTP/1.1 200 OK\r\nContent-Le",
            "hang within the body": b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"generation":',
            "half a head": b"HTTP/1.1 200 OK\r\nContent-Le",
            "half a body": b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"generation":',
        }[way]
        writer.write(begun)
        if way.startswith("hang"):
            await reader.read()  # for as long as the caller has patience
        return False

    async def _tell(self, target: bytes, writer: b.Writer) -> bool:
        generation = 2 if self.drained else 1
        if b"after=" in target:
            after, wait_ms = (int(part.rpartition(b"=")[2]) for part in target.split(b"&"))
            if after >= generation:
                try:
                    async with asyncio.timeout(wait_ms / 1000.0):
                        await (self._never if self.drained else self._changed).wait()
                except TimeoutError:
                    pass
                if self.way:
                    return True  # it waits in vain
                generation = 2 if self.drained else 1
            lines = [_line(0, "Terminating")] if generation > after else []
            text = {"generation": generation, "reset": False, "instances": lines}
        else:
            first = [_line(0, "Terminating" if self.drained else "Ready")]
            text = {"generation": generation, "reset": True, "instances": [*first, _line(1, "Ready")]}
        writer.write(http1.encode_response(200, (), json.dumps(text).encode()))
        self.answered += 1
        return True


def _reset(writer: b.Writer) -> None:
    sock = writer.get_extra_info("socket")
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _free_ports(count: int) -> list[int]:
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def _together(number: int, ports: list[int]) -> dict[str, object]:
    seeds = ",".join(f"{HOST}:{port}" for port in ports[:3])
    own = f"{HOST}:{ports[number]}"
    return {"name": "t", "listen": own, "public": own, "seeds": seeds, "recovery": {"same_places": True}}


class Fleet:
    """Sidecars that go by a service, and when each was told of the drain."""

    def __init__(self, service: Service, count: int, mode: str, seed: int, **changes: Any) -> None:
        self.service, self.told = service, dict[int, float]()
        asked = mode.startswith("asked")
        settings = CONFIG | {
            "grades": b.CLASSES,
            "registry-mode": "subscribe" if asked else "automatic",
            "n-instances": count,
            "bounds": CONFIG["bounds"] | {"peers": True},
        }
        ports = _free_ports(count) if mode.endswith("by turns") else []
        self.files = [
            {
                "name": f"n{number}",
                "listen": "127.0.0.1:0",
                "discovery": f"{HOST}:{service.port}",
                "seed": str(seed * 1000 + number),
                "limits": {"sockets": 64, "memory_mb": 64.0},
                "known": {
                    "generation": 1,
                    "reset": True,
                    "instances": [_line(0, "Ready"), _line(1, "Ready")],
                },
                "settings": settings | {"ordinal": number},
                "fleet": _together(number, ports) if ports else None,
                **changes,
            }
            for number in range(count)
        ]
        self.sidecars = [self._sidecar(number) for number in range(count)]

    def _sidecar(self, number: int) -> Sidecar:
        def read() -> config.Config:
            return config.parse(json.dumps(self.files[number]).encode(), {}, again=True)

        sidecar = Sidecar(read(), Log(f"n{number}", io.BytesIO()), read)
        self.listen(number, sidecar)
        return sidecar

    def listen(self, number: int, sidecar: Sidecar) -> None:
        """Note when its decisions know of the drain."""
        decisions = sidecar._driver._decisions
        handle = decisions.handle

        def noting(now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.ServerList):
                drains = [one for one in event.endpoints if one.state is api.State.DRAINING]
                if drains:
                    self.told.setdefault(number, asyncio.get_running_loop().time())
            return handle(now, event)

        sidecar._driver._decisions.handle = noting  # type: ignore[method-assign]

    def move(self, port: int) -> None:
        for file, sidecar in zip(self.files, self.sidecars, strict=True):
            file["discovery"] = f"{HOST}:{port}"
            sidecar.reload()

    async def worst(self, since: float, left: int = SIDECARS) -> float:
        """How long after that moment the last one was told, of the last so many."""
        last = range(len(self.sidecars))[-left:]
        while not all(number in self.told for number in last):
            await asyncio.sleep(0.01)
        return max(self.told[number] for number in last) - since

    def close(self) -> None:
        for sidecar in self.sidecars:
            sidecar.close()


@asynccontextmanager
async def fleet(mode: str, count: int = SIDECARS, seed: int = 1) -> AsyncIterator[tuple[Fleet, Service]]:
    service = Service()
    await service.start()
    some = Fleet(service, count, mode, seed)
    try:
        for sidecar in some.sidecars:
            sidecar.start()
        async with asyncio.timeout(LIMIT_S):
            yield some, service
    finally:
        some.close()
        await service.stop()


def now() -> float:
    return asyncio.get_running_loop().time()


async def found(
    way: str,
    mode: str,
    lasts: float,
    seed: int = 1,
    count: int = SIDECARS,
    change: Callable[[Fleet, Service], None] = lambda some, service: None,
    left: int = SIDECARS,
) -> float:
    """Watches end and every call fails in this way for so long; a drain came meanwhile. The worst time.

    `change`: what else happens as it begins to fail; the last `left` sidecars are there to be told.
    """
    async with fleet(mode, count, seed) as (some, service):
        await asyncio.sleep(CALM_S)
        await service.fail(way)
        change(some, service)
        await asyncio.sleep(lasts / 2)
        service.drain()
        await asyncio.sleep(lasts / 2)
        assert not some.told
        await service.heal()
        return await some.worst(now(), left)


def measured(monkeypatch: pytest.MonkeyPatch, work: Callable[[], Any]) -> float:
    result: list[float] = []
    monkeypatch.setattr(speaker, "secrets", SimpleNamespace(randbits=Random(5).getrandbits))

    async def keep() -> None:
        result.append(await work())

    virtual_loop.run(keep(), monkeypatch)
    return result[0]


def test_a_watch_is_aborted_and_the_next_call_hangs_unanswered(monkeypatch: pytest.MonkeyPatch) -> None:
    """As it was found: the next watch waited its 60 s though the call before it had failed."""
    assert measured(monkeypatch, lambda: found("hang", "pushed", 12.0, count=6)) <= TOLD_S


@pytest.mark.parametrize(
    ("mode", "lasts"),
    [
        ("pushed", 4.0),
        ("pushed", 30.0),
        ("asked", 4.0),
        ("asked", 30.0),
        ("pushed by turns", 12.0),
        ("asked by turns", 12.0),
    ],
)
@pytest.mark.parametrize("way", WAYS)
def test_in_every_way_to_fail(way: str, mode: str, lasts: float, monkeypatch: pytest.MonkeyPatch) -> None:
    """After 30 s pauses are at their longest."""
    assert measured(monkeypatch, lambda: found(way, mode, lasts)) <= TOLD_S


@pytest.mark.parametrize("left", [1, 3, 5, 10])
@pytest.mark.parametrize("way", ["refused", "hang"])
def test_by_turns_of_which_most_are_of_the_dead(way: str, left: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """They die as discovery fails, and count as live for many seconds more."""

    def die(some: Fleet, service: Service) -> None:
        for sidecar in some.sidecars[:-left]:
            sidecar.close()

    assert measured(monkeypatch, lambda: found(way, "pushed by turns", 6.0, change=die, left=left)) <= TOLD_S


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("mode", ["pushed", "asked"])
def test_after_a_move_to_a_discovery_that_fails(mode: str, way: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def moved() -> float:
        other = Service()
        await other.start()
        async with fleet(mode) as (some, _):
            await asyncio.sleep(CALM_S)
            await other.fail(way)
            some.move(other.port)
            await asyncio.sleep(10.0)
            other.drain()
            assert not some.told
            await other.heal()
            worst = await some.worst(now())
        await other.stop()
        return worst

    assert measured(monkeypatch, moved) <= TOLD_S


@pytest.mark.parametrize("mode", ["pushed", "asked"])
def test_a_successor_whose_first_call_hangs(mode: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The process before had a call that failed; what it hands over says a generation to watch from."""

    async def succeeded() -> float:
        service = Service()
        await service.start()
        before = Fleet(service, SIDECARS, mode, 1)
        for sidecar in before.sidecars:
            sidecar.start()
        await asyncio.sleep(CALM_S)
        await service.fail("hang")
        after = Fleet(service, SIDECARS, mode, 2)
        for old, new in zip(before.sidecars, after.sidecars, strict=True):
            body = old._told()[handover._HEAD.size :]
            new._learn_list(handover.decode(body, new._config.name, new._marks()))
        before.close()
        await asyncio.sleep(12.0)
        service.drain()
        assert not after.told
        await service.heal()
        worst = await after.worst(now())
        after.close()
        await service.stop()
        return worst

    assert measured(monkeypatch, succeeded) <= TOLD_S


@pytest.mark.parametrize("way", WAYS)
def test_a_whole_list_that_was_asked_for_in_doubt(way: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The watches are silent, their machine having vanished; the call for the list fails, and tells so."""

    async def fetched() -> float:
        async with fleet("pushed") as (some, service):
            await asyncio.sleep(CALM_S)
            await service.fail(way, ends=False)
            for sidecar in some.sidecars:
                sidecar._discovery.fetch()
            await asyncio.sleep(12.0)
            service.drain(watches=False)
            assert not some.told
            await service.heal()
            return await some.worst(now())

    assert measured(monkeypatch, fetched) <= TOLD_S


def test_a_watch_that_crosses_discoverys_end_and_then_hangs(monkeypatch: pytest.MonkeyPatch) -> None:
    """It met the end of its connection and was made again on a new one, without having failed."""

    async def crossed() -> float:
        async with fleet("pushed") as (some, service):
            await asyncio.sleep(CALM_S)
            service.crosses = True  # the next answer is followed by the connection's end
            service.touch()
            await asyncio.sleep(12.0)
            service.crosses = False
            service.drain()
            assert not some.told
            await service.heal()
            return await some.worst(now())

    assert measured(monkeypatch, crossed) <= TOLD_S


@pytest.mark.parametrize("spread_s", [0.0, 0.5, 2.0, 30.0])
def test_calls_begin_so_soon_after_each_other(spread_s: float) -> None:
    for seed in range(50):
        pauses = discovery._Pauses(spread_s, Random(seed))
        drawn = [pauses.draw() for _ in range(2000)]
        assert min(drawn) >= 0.0 and max(drawn) <= discovery.AGAIN_S[1] == 4.0
        assert max(drawn) > 3.9  # at their longest
        assert min(drawn[5:]) >= discovery.AGAIN_S[1] / 2  # and discovery is not asked more than needed
        first = min(max(spread_s, 1.0), 4.0)
        pauses.begin()
        assert pauses.draw() <= first


def test_turns_are_the_same_for_all_whenever_each_ones_call_failed() -> None:
    """Counted from each one's own failure there were turns of several and, in between, of nobody."""
    live = [f"n{number}" for number in range(SIDECARS)]
    some = [Asking(name, SIDECARS, number, 0.0, 0.5) for number, name in enumerate(live)]
    for number, one in enumerate(some):
        one.heard()
        one.failed(50_000.0 + 370.0 * number)
    for turn in range(100, 200):
        at = 1000.0 + TURN_MS * turn
        assert sum(one.may(at, live, -math.inf) for one in some) == 1


def test_one_whose_fellows_do_not_answer_asks_alone_and_one_alone_at_once() -> None:
    for live, lonely in ((["a", "b", "c"], True), (["a"], False)):
        one = Asking("a", 20, 7, 0.0, 0.5)
        one.heard()
        one.failed(100_000.0)
        allowed = [one.may(100_000.0 + 100.0 * step, live, -math.inf, lonely) for step in range(50)]
        assert allowed.index(True) * 100.0 <= ALONE_TURNS * TURN_MS == 2000.0


def test_a_list_told_before_a_failure_keeps_nobody_from_asking() -> None:
    """Within 20 s of a list those beyond the first two left it to them, who may be dead or cut off."""
    live = [f"n{number}" for number in range(SIDECARS)]
    some = [Asking(name, SIDECARS, number, 0.0, 0.5) for number, name in enumerate(live)]
    for one in some:
        one.heard()
        one.failed(50_000.0)
    asked = {
        one._name
        for one in some
        for turn in range(1, 21)
        if one.may(50_000.0 + TURN_MS * turn, live, 49_000.0)
    }
    assert len(asked) == SIDECARS
    assert sum(one.may(75_000.0, live, 70_000.0) for one in some) == 2  # told since: two watch
