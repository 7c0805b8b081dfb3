"""Ready again: what a process waits for before it takes requests, whatever discovery does."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from larkcrank.program import handover
from larkcrank.program.log import Log
from larkcrank.program.sidecar import LIST_S, Sidecar
from larkcrank.protocol import http1
from tests import bed as b

MANY = 200
READY = b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n"
NEVER_S = 1000.0  # who waits for this to pass does not get to the end of its test


class Overbooked:
    """Works through calls in turn, so many at the test's word, and gives up those that waited too long."""

    def __init__(self, endpoints: list[b.Endpoint]) -> None:
        self.toy = b.FakeDiscovery(endpoints)
        self.waiting: list[tuple[bytes, b.Writer]] = []
        self.calls = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _connected(self, reader: b.Reader, writer: b.Writer) -> None:
        parser = http1.RequestParser()
        while (request := await b.read_request(reader, parser)) is not None:
            self.calls += 1
            self.waiting.append((request.target, writer))
        writer.close()

    def work(self, count: int) -> None:
        """Answer those who have waited longest."""
        for _ in range(min(count, len(self.waiting))):
            _, writer = self.waiting.pop(0)
            writer.write(http1.encode_response(200, (), self.toy.list_body(self.toy.endpoints, True)))

    def give_up(self) -> None:
        while self.waiting:
            self.waiting.pop(0)[1].write(http1.encode_response(503, (), b""))

    def stop(self) -> None:
        self._server.close()


async def ready(sidecar: Sidecar) -> bool:
    """What the platform is told."""
    reader, writer = await asyncio.open_connection(*sidecar.place)
    writer.write(READY)
    line = await reader.readline()
    writer.close()
    return line.startswith(b"HTTP/1.1 200")


@asynccontextmanager
async def place(
    how: str, endpoint: b.Endpoint, known: bool, **more: Any
) -> AsyncIterator[tuple[b.Bed, Overbooked]]:
    """What a bed reads, with a discovery that never answers: its own sidecar is not looked at."""
    discovery = Overbooked([endpoint])
    await discovery.start()
    if how == "down":
        discovery.stop()
    async with b.bed(endpoint, known=known, discovery_up=False, **more) as bed:
        bed.config_file["discovery"] = f"127.0.0.1:{discovery.port}"
        yield bed, discovery
    discovery.stop()


def made(bed: b.Bed, passed: socket.socket | None = None) -> Sidecar:
    return Sidecar(bed.load_config(), Log("n1", bed._log), bed.load_config, passed)


@pytest.mark.parametrize("known", [True, False])
@pytest.mark.parametrize("how", ["down", "hangs", "gives up"])
def test_two_hundred_at_once_are_ready_before_discovery_has_answered_one(
    how: str, known: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Ready means that requests are served or refused; nobody's start waits for its turn at discovery."""
    monkeypatch.setattr(b, "LONG_S", 120.0)

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with place(how, one, known) as (bed, discovery):
            fleet = [made(bed) for _ in range(MANY)]
            for sidecar in fleet:
                await sidecar.begin()
                if how == "gives up":
                    discovery.give_up()
            assert [await ready(sidecar) for sidecar in fleet] == [True] * MANY
            assert sum(sidecar.counters.lists for sidecar in fleet) == 0
            if known:  # and served, by the list as last held
                client = b.Client(*await asyncio.open_connection(*fleet[-1].place))
                assert (await client.call("view")).status == 200
            for sidecar in fleet:
                sidecar.close()

    b.run(work())


def test_of_many_who_ask_each_has_one_call_and_is_told_in_its_turn() -> None:
    """A few turns at a time: who waits adds no call of its own, and all have the list in the end."""

    async def work() -> None:
        one = b.Endpoint("s-1")
        async with place("hangs", one, known=False) as (bed, discovery):
            fleet = [made(bed) for _ in range(20)]
            for sidecar in fleet:
                sidecar._discovery.watch()
            await b.until(lambda: discovery.calls == 20)
            for turn in range(1, 6):
                discovery.work(4)
                await b.until(
                    lambda turn=turn: sum(sidecar.counters.lists > 0 for sidecar in fleet) >= 4 * turn  # type: ignore[misc]
                )
                firsts = sum(sidecar.counters.lists == 0 for sidecar in fleet)
                assert firsts == 20 - 4 * turn
            for sidecar in fleet:
                sidecar.close()

    b.run(work())


def test_a_socket_of_the_platform_and_no_predecessor_waits_for_nobody(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def work() -> None:
        monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
        monkeypatch.setattr("larkcrank.program.sidecar.LIST_S", NEVER_S)
        async with place("hangs", b.Endpoint("s-1"), known=False) as (bed, _):
            sidecar = made(bed, socket.create_server(("127.0.0.1", 0)))
            await sidecar.begin()
            assert await ready(sidecar) and sidecar.counters.lists == 0
            sidecar.close()

    b.run(work())


@pytest.mark.parametrize("comes", [True, False])
def test_beside_a_predecessor_that_cannot_be_heard_discovery_is_waited_for_but_not_long(
    comes: bool, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """Its list ends the wait at once; where none comes the bound does."""

    async def work() -> None:
        monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
        monkeypatch.setattr("larkcrank.program.handover.ASK_S", 0.01)
        monkeypatch.setattr("larkcrank.program.sidecar.LIST_S", NEVER_S if comes else 0.05)
        silent = await asyncio.start_unix_server(
            lambda reader, writer: None, str(handover.path_in(str(tmp_path), "n0"))
        )
        async with place("hangs", b.Endpoint("s-1"), known=False) as (bed, discovery):
            sidecar = made(bed, socket.create_server(("127.0.0.1", 0)))
            beginning = asyncio.create_task(sidecar.begin())
            await b.until(lambda: discovery.calls > 0)  # asked while it waits
            if comes:
                assert not beginning.done() and not sidecar.life.is_ready
                discovery.work(1)
            await beginning
            assert sidecar.life.is_ready and (sidecar.counters.lists > 0) is comes
            sidecar.close()
        silent.close()

    b.run(work())


def test_the_waits_of_a_start_end_well_before_ten_seconds() -> None:
    """To find the predecessor, to hear it, and for discovery, one after another: half of the time at most."""
    assert 2 * handover.ASK_S + LIST_S <= 5.0


@pytest.mark.parametrize("known", [True, False])
def test_a_member_of_a_fleet_whose_turn_to_ask_it_is_not_is_ready_all_the_same(
    known: bool, tmp_path: Path
) -> None:
    """Its fellows are silent, and calls to discovery wait for turns: readiness waits for neither."""

    async def work() -> None:
        fleet = {
            "name": "t",
            "listen": "127.0.0.1:0",
            "seeds": ["127.0.0.1:1"],
            "recovery": {"snapshot": str(tmp_path / "snapshot")},
        }
        async with place("hangs", b.Endpoint("s-1"), known, bounds=BOUNDS, ordinal=3) as (bed, discovery):
            bed.config_file["fleet"] = fleet
            sidecar = made(bed)
            await sidecar.begin()
            assert sidecar._discovery.gate is not None and not sidecar._discovery.gate()
            assert await ready(sidecar) and discovery.calls == 0
            assert sidecar.counters.lists == 0
            sidecar.close()

    b.run(work())


BOUNDS = {
    "may-cancel": True,
    "max-retry-after-ms": 2000.0,
    "peers": True,
    "probes": True,
    "retry-after": True,
    "second-copies": False,
    "send-cap": 5,
}
